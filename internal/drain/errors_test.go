package drain

import (
	"errors"
	"testing"

	"github.com/harewalk/harewalk/internal/rollout"
)

// TestUnreadableRecordsAreTypedErrors checks that a record in a newer format, or under the key of another machine, is
// refused with a typed error and changes nothing. Operators read the texts of these errors.
func TestUnreadableRecordsAreTypedErrors(t *testing.T) {
	_, documentErr := ParseDocument([]byte(`{"v":2}`))
	requests := NewMachineRequests()
	recordErr := requests.HandleItem(MachineKey("i-1"), []byte(`{"v":2,"machine":"i-1"}`), 1)
	for err, text := range map[error]string{
		documentErr: "wishes in format 2",
		recordErr:   "drain request in format 2",
	} {
		var format *rollout.NewerFormatError
		if !errors.As(err, &format) || format.Format != 2 || err.Error() != text {
			t.Errorf("got error %v, want a NewerFormatError with format 2 and text %q", err, text)
		}
	}
	err := requests.HandleItem(MachineKey("i-1"), []byte(`{"machine":"i-2"}`), 1)
	var mismatch *MachineMismatchError
	if !errors.As(err, &mismatch) || mismatch.Machine != "i-2" {
		t.Errorf("request of another machine: got error %v, want a MachineMismatchError about i-2", err)
	}
	if names := requests.Names(); len(names) > 0 {
		t.Errorf("got requests of %v, want none", names)
	}
}
