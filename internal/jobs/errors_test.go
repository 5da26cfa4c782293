package jobs

import (
	"encoding/json"
	"errors"
	"testing"

	"github.com/harewalk/harewalk/internal/rollout"
)

// An unreadable record yields an error whose type tells a record of a newer release from a damaged one, and whose
// message names the cause.
func TestUnreadableRecordsReturnTypedErrors(t *testing.T) {
	noMachine := func(string) int32 { return None }
	_, _, newerRecord := decodeRecord(json.RawMessage(`{"v":99,"stance":"pending"}`), newestRecordFormat)
	_, _, newerSegment := DecodeSegment(json.RawMessage(`{"v":99}`), 1, noMachine)
	for err, text := range map[error]string{newerRecord: "record in format 99", newerSegment: "plan in format 99"} {
		var newer *rollout.NewerFormatError
		if !errors.As(err, &newer) || newer.Format != 99 || err.Error() != text {
			t.Errorf("got error %v, want a NewerFormatError with the message %q", err, text)
		}
	}
	_, _, err := decodeRecord(json.RawMessage(`{"stance":"paused"}`), newestRecordFormat)
	var unknown *UnknownStateError
	if !errors.As(err, &unknown) || unknown.Name != "paused" {
		t.Errorf("unknown state: got error %v, want an UnknownStateError with the name paused", err)
	}
	_, _, err = DecodeSegment(json.RawMessage(`{"v":1}`), 9, noMachine)
	var damaged *DamagedSegmentError
	if !errors.As(err, &damaged) || err.Error() != "bitmap of 0 bytes for 9 tasks" {
		t.Errorf("segment without a bitmap: got error %v, want a DamagedSegmentError: bitmap of 0 bytes for 9 tasks", err)
	}
}

// The error for a transition that the state machine doesn't allow names the old and the new state.
func TestDisallowedTransitionReturnsTypedError(t *testing.T) {
	job := &Job{ID: "req-000001", TaskCount: 1, Spec: &Spec{Tasks: 1}, TasksByZone: map[int32]int{}}
	job.CreateTasks()
	err := job.SetTaskState(0, Launched)
	var transition *TransitionError
	if !errors.As(err, &transition) || transition.From != Unplanned || transition.To != Launched {
		t.Fatalf("unplanned task to launched: got error %v, want a TransitionError with both states", err)
	}
}
