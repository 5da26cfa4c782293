package archive

import (
	"encoding/json"
	"errors"
	"testing"

	"github.com/harewalk/harewalk/internal/jobs"
)

// Decode returns the entry that was encoded. The largest entry takes at most maxEntryBytes.
func TestEncodeDecodeRoundTrip(t *testing.T) {
	for _, entry := range []Entry{
		{State: jobs.Done, Tasks: 1, Done: 1},
		{State: jobs.Cancelled, Tasks: jobs.MaxTasks, Done: jobs.MaxTasks},
		{State: jobs.Cancelled, Tasks: 7, Done: 0},
	} {
		raw := Encode(entry)
		if len(raw) > maxEntryBytes {
			t.Errorf("%s takes %d bytes, want at most %d", raw, len(raw), maxEntryBytes)
		}
		if got, err := Decode(raw); err != nil || got != entry {
			t.Errorf("Decode(%s) = %v, %v; want the encoded entry", raw, got, err)
		}
	}
}

// Decode returns ErrUnreadable for malformed entries, newer formats and states that are not terminal.
func TestDecodeRejectsUnreadableEntries(t *testing.T) {
	for _, raw := range []string{
		``,
		`7`,
		`{}`,
		`{"stance":"pending","n":1}`,
		`{"v":2,"stance":"done","n":1}`,
		`{"stance":"done","n":"x"}`,
	} {
		if entry, err := Decode(json.RawMessage(raw)); !errors.Is(err, ErrUnreadable) {
			t.Errorf("Decode(%q) = %v, %v; want ErrUnreadable", raw, entry, err)
		}
	}
}
