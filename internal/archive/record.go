package archive

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/rollout"
)

// newestFormat is the newest stored format that this release reads.
const newestFormat = 1

// maxRecordBytes is more than the largest stored answer takes.
const maxRecordBytes = 96

// ErrUnreadable wraps every reason why a stored answer can't be read. Its job's state is unknown then: it must
// neither be answered nor acted on.
var ErrUnreadable = errors.New("an archived answer cannot be read")

// record is the stored form of an Answer, in format 1.
type record struct {
	Format int    `json:"v,omitempty"` // 0 means 1
	State  string `json:"stance"`
	Tasks  int    `json:"n"`
	Done   int    `json:"done"`
}

// Encode returns the stored form of an answer.
func Encode(answer Answer) json.RawMessage {
	raw, _ := json.Marshal(record{State: answer.State.String(), Tasks: answer.Tasks, Done: answer.Done})
	return raw
}

// Decode reads a stored answer. Its error wraps ErrUnreadable.
func Decode(raw json.RawMessage) (Answer, error) {
	var stored record
	if err := json.Unmarshal(raw, &stored); err != nil {
		return Answer{}, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	if stored.Format > newestFormat {
		return Answer{}, fmt.Errorf("%w: %w", ErrUnreadable, &rollout.NewerFormatError{Format: stored.Format})
	}
	state, err := jobs.ParseState(stored.State)
	if err == nil && !state.Terminal() {
		err = &jobs.UnknownStateError{Name: stored.State}
	}
	if err != nil {
		return Answer{}, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	return Answer{State: state, Tasks: stored.Tasks, Done: stored.Done}, nil
}
