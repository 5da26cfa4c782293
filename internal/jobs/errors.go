package jobs

import "fmt"

// UnknownStateError is the error for a stored record whose state has a name that this release doesn't know.
type UnknownStateError struct{ Name string }

// Error returns the message, which operators read among the records that can't be read.
func (e *UnknownStateError) Error() string { return fmt.Sprintf("stance %q", e.Name) }

// DamagedSegmentError is the error for a stored plan segment that contradicts itself or its job's number of tasks.
type DamagedSegmentError struct{ Reason string }

// Error returns the message, which operators read among the records that can't be read.
func (e *DamagedSegmentError) Error() string { return e.Reason }

func damagedSegment(format string, args ...any) error {
	return &DamagedSegmentError{Reason: fmt.Sprintf(format, args...)}
}

// TransitionError is the error for a change of a task's state that its state machine doesn't allow: a defect.
type TransitionError struct {
	Job      string
	Task     int32
	From, To TaskState
}

// Error returns the message, which is logged.
func (e *TransitionError) Error() string {
	return fmt.Sprintf("task %s/%d cannot go from %s to %s", e.Job, e.Task, e.From, e.To)
}
