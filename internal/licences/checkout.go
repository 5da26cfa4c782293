package licences

import "time"

// TaskRef identifies a task by dense indices.
type TaskRef struct {
	Job  int32
	Task int32
}

// Holder is one attempt of a task. Attempt is 0 while it is unknown: a new leader reads from the durable plan that
// a task may run, but not as which attempt.
type Holder struct {
	TaskRef
	Attempt uint64
}

// State is the state of a checkout.
type State uint8

// The states of a checkout and its transitions:
//
//	Free            -> Reserved         the task's gang is about to start, its own launch is deferred
//	Free            -> CheckedOut       the task's launch is about to be sent, or it was found on a machine
//	Reserved        -> CheckedOut       the launch is about to be sent
//	Reserved        -> Free             the gang was given up before this launch was sent
//	CheckedOut      -> Free             the task never started, or it is gone and the units are surely returned
//	CheckedOut      -> AwaitingRelease  the task is gone, but its units may still be checked out
//	AwaitingRelease -> Free             an answer queried after the end lacks the holder, or the deadline has passed
//	AwaitingRelease -> CheckedOut       an attempt that was taken for gone was found on a machine
const (
	Free State = iota
	Reserved
	CheckedOut
	AwaitingRelease
	stateCount // the number of states
)

// String returns the state's name for logs.
func (s State) String() string {
	return [...]string{"free", "reserved", "checked out", "awaiting release"}[s]
}

// isActive reports whether a task in this state is on a machine or about to be launched.
func (s State) isActive() bool { return s == Reserved || s == CheckedOut }

// transitions lists the valid next states of each state. Any other transition is a defect.
var transitions = [...][]State{
	Free:            {Reserved, CheckedOut},
	Reserved:        {CheckedOut, Free},
	CheckedOut:      {Free, AwaitingRelease},
	AwaitingRelease: {Free, CheckedOut},
}

// End is how a task left its machine, as far as its licence units are concerned.
type End uint8

// The ways in which a task ends.
const (
	NeverStarted End = iota // it surely never started
	CleanExit               // it exited or was stopped, with time to return its units
	Crashed                 // its process, machine or lease ended: the server may keep its units checked out
)

// checkout is what one holder has of one pool.
type checkout struct {
	state           State
	team            int32         // dense index
	units           int           // in the ledger's own count; 0 if Free
	reportedUnits   int           // in the server's last answer
	changedAt       time.Duration // of state
	releaseDeadline time.Duration // when AwaitingRelease ends without an answer
	isMissing       bool          // CheckedOut, and the last answer lacks the holder although an earlier one had it
}

// countedUnits returns how many units of its pool the checkout uses. The ledger's own count and the server's are
// of the same units, so the larger one applies.
func (c *checkout) countedUnits() int { return max(c.units, c.reportedUnits) }
