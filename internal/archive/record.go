package archive

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/rollout"
)

// newestFormat is the newest format of stored entries that this release reads.
const newestFormat = 1

// maxEntryBytes is an upper bound for the size of a stored entry.
const maxEntryBytes = 96

// ErrUnreadable is wrapped by every error about a stored entry that can't be decoded. The state of the job is unknown
// then: a controller must neither report a state nor act on one.
var ErrUnreadable = errors.New("archive entry cannot be decoded")

// storedEntry is the stored form of an Entry in format 1.
type storedEntry struct {
	Format int    `json:"v,omitempty"` // 0 means format 1
	State  string `json:"stance"`
	Tasks  int    `json:"n"`
	Done   int    `json:"done"`
}

// Encode returns the stored form of an archive entry.
func Encode(entry Entry) json.RawMessage {
	raw, _ := json.Marshal(storedEntry{State: entry.State.String(), Tasks: entry.Tasks, Done: entry.Done})
	return raw
}

// Decode decodes a stored archive entry. Every error wraps ErrUnreadable.
func Decode(raw json.RawMessage) (Entry, error) {
	var stored storedEntry
	if err := json.Unmarshal(raw, &stored); err != nil {
		return Entry{}, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	if stored.Format > newestFormat {
		return Entry{}, fmt.Errorf("%w: %w", ErrUnreadable, &rollout.NewerFormatError{Format: stored.Format})
	}
	state, err := jobs.ParseState(stored.State)
	if err == nil && !state.Terminal() {
		err = &jobs.UnknownStateError{Name: stored.State}
	}
	if err != nil {
		return Entry{}, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	return Entry{State: state, Tasks: stored.Tasks, Done: stored.Done}, nil
}
