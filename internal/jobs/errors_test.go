package jobs

import (
	"encoding/json"
	"errors"
	"testing"

	"github.com/harewalk/harewalk/internal/rollout"
)

// Callers can tell a record of a newer release from a damaged one, and operators read the cause.
func TestUnreadableRecordsAreTypedErrors(t *testing.T) {
	noMachine := func(string) int32 { return None }
	_, _, newerRecord := decodeRecord(json.RawMessage(`{"v":99,"stance":"pending"}`), newestRecordFormat)
	_, _, newerSegment := DecodeSegment(json.RawMessage(`{"v":99}`), 1, noMachine)
	for err, text := range map[error]string{newerRecord: "record in format 99", newerSegment: "plan in format 99"} {
		var newer *rollout.NewerFormatError
		if !errors.As(err, &newer) || newer.Format != 99 || err.Error() != text {
			t.Errorf("error %v, want %q", err, text)
		}
	}
	_, _, err := decodeRecord(json.RawMessage(`{"stance":"paused"}`), newestRecordFormat)
	var unknown *UnknownStateError
	if !errors.As(err, &unknown) || unknown.Name != "paused" {
		t.Errorf("error %v for an unknown state", err)
	}
	_, _, err = DecodeSegment(json.RawMessage(`{"v":1}`), 9, noMachine)
	var damaged *DamagedSegmentError
	if !errors.As(err, &damaged) || err.Error() != "bitmap of 0 bytes for 9 tasks" {
		t.Errorf("error %v for a segment without its bitmap", err)
	}
}

// A transition that the state machine doesn't allow is named with its task.
func TestForbiddenTransitionIsATypedError(t *testing.T) {
	job := &Job{ID: "req-000001", TaskCount: 1, Spec: &Spec{Tasks: 1}, TasksByZone: map[int32]int{}}
	job.CreateTasks()
	err := job.SetTaskState(0, Launched)
	var transition *TransitionError
	if !errors.As(err, &transition) || transition.From != Unplanned || transition.To != Launched {
		t.Fatalf("error %v", err)
	}
}
