package controller

import "testing"

// After a drain that operators requested, the process keeps running. Any other drain ends the process.
func TestProcessKeepsRunningOnlyAfterOperatorDrain(t *testing.T) {
	for _, byOperators := range []bool{true, false} {
		phase := lifecycle{ended: make(chan struct{}), runsAfterDrain: byOperators}
		phase.transition(1, handingOver, "test")
		phase.finishDrain(2, "test")
		hasEnded := false
		select {
		case <-phase.ended:
			hasEnded = true
		default:
		}
		if hasEnded == byOperators {
			t.Errorf("byOperators %v: ended %v in state %v, want ended only if byOperators is false",
				byOperators, hasEnded, phase.state)
		}
		if isDrained := phase.state == drained; isDrained != byOperators {
			t.Errorf("byOperators %v: state %v, want drained only if byOperators is true", byOperators, phase.state)
		}
		if phase.enteredAt != 2 {
			t.Errorf("time of the last transition %v, want 2ns", phase.enteredAt)
		}
	}
}
