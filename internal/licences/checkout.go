package licences

import "time"

// TaskRef identifies a task by dense indices.
type TaskRef struct {
	Job  int32
	Task int32
}

// Holder is one attempt of a task. Attempt is 0 while it is unknown: the durable plan that a new leader reads contains
// the tasks that may run, but not their attempts.
type Holder struct {
	TaskRef
	Attempt uint64
}

// State is the state of a checkout.
type State uint8

// The states of a checkout and its transitions:
//
//	Free            -> Reserved         the task's gang is about to start, the task's own launch is deferred
//	Free            -> CheckedOut       the task's launch is about to be sent, or the task was found on a machine
//	Reserved        -> CheckedOut       the launch is about to be sent
//	Reserved        -> Free             the start of the gang was cancelled before this launch was sent
//	CheckedOut      -> Free             the task never started, or it is gone and its units are proven to be returned
//	CheckedOut      -> AwaitingRelease  the task is gone, but its units may still be checked out
//	AwaitingRelease -> Free             an answer to a query after the end lacks the holder, or the deadline has passed
//	AwaitingRelease -> CheckedOut       an attempt that was believed to be gone was found on a machine
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

// End is how a task left its machine, which determines when its licence units are returned.
type End uint8

// The ways in which a task leaves its machine.
const (
	NeverStarted End = iota // it is proven that the task never started
	CleanExit               // the task exited or was stopped, with time to return its units
	Crashed                 // the process crashed, the machine failed or its lease expired: the units may stay checked out
)

// checkout is the units that one holder has of one pool.
type checkout struct {
	state           State
	team            int32         // dense index
	units           int           // units by the ledger's own count; 0 if Free
	reportedUnits   int           // units by the server's last answer
	changedAt       time.Duration // time of the last change of state
	releaseDeadline time.Duration // time at which AwaitingRelease ends if no answer ends it earlier
	isMissing       bool          // CheckedOut, and the last answer lacks the holder although an earlier one had it
}

// countedUnits returns how many units of its pool the checkout uses. The ledger and the server count the same units,
// so the larger count applies, not the sum.
func (c *checkout) countedUnits() int { return max(c.units, c.reportedUnits) }
