package archive

import (
	"encoding/json"
	"errors"
	"testing"

	"github.com/harewalk/harewalk/internal/jobs"
)

// Every answer is decoded as it was encoded, and the largest fits maxRecordBytes.
func TestAnswersAreDecodedAsEncoded(t *testing.T) {
	for _, answer := range []Answer{
		{State: jobs.Done, Tasks: 1, Done: 1},
		{State: jobs.Cancelled, Tasks: jobs.MaxTasks, Done: jobs.MaxTasks},
		{State: jobs.Cancelled, Tasks: 7, Done: 0},
	} {
		raw := Encode(answer)
		if len(raw) > maxRecordBytes {
			t.Errorf("%s takes %d bytes, more than %d", raw, len(raw), maxRecordBytes)
		}
		if got, err := Decode(raw); err != nil || got != answer {
			t.Errorf("%s was read as %v, %v", raw, got, err)
		}
	}
}

// What can't be read is an ErrUnreadable, never an answer.
func TestUnreadableAnswersAreRefused(t *testing.T) {
	for _, raw := range []string{
		``,
		`7`,
		`{}`,
		`{"stance":"pending","n":1}`,
		`{"v":2,"stance":"done","n":1}`,
		`{"stance":"done","n":"x"}`,
	} {
		if answer, err := Decode(json.RawMessage(raw)); !errors.Is(err, ErrUnreadable) {
			t.Errorf("%q was read as %v, %v", raw, answer, err)
		}
	}
}
