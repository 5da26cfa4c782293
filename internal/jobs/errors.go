package jobs

import "fmt"

// UnknownStateError is returned for a job state whose name this release doesn't support.
type UnknownStateError struct{ Name string }

// Error returns the message, which is shown to operators in the list of unreadable records.
func (e *UnknownStateError) Error() string { return fmt.Sprintf("stance %q is unknown", e.Name) }

// DamagedSegmentError is returned for a stored plan segment that is inconsistent, or doesn't match the job's number of
// tasks.
type DamagedSegmentError struct{ Reason string }

// Error returns the message, which is shown to operators in the list of unreadable records.
func (e *DamagedSegmentError) Error() string { return e.Reason }

func damagedSegment(format string, args ...any) error {
	return &DamagedSegmentError{Reason: fmt.Sprintf(format, args...)}
}

// TransitionError is returned for a change of a task's state that the state machine doesn't allow. It indicates a
// defect in the controller.
type TransitionError struct {
	Job      string
	Task     int32
	From, To TaskState
}

// Error returns the message, which is logged.
func (e *TransitionError) Error() string {
	return fmt.Sprintf("task %s/%d cannot go from %s to %s", e.Job, e.Task, e.From, e.To)
}
