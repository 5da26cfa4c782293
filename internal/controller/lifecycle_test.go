package controller

import "testing"

// A drain that operators asked for leaves the process running; any other ends it.
func TestFinishedDrainStaysOnlyForOperators(t *testing.T) {
	for _, stays := range []bool{true, false} {
		life := lifecycle{ended: make(chan struct{}), staysWhenDrained: stays}
		life.transition(1, handingOver, "test")
		life.finishDrain(2, "test")
		hasEnded := false
		select {
		case <-life.ended:
			hasEnded = true
		default:
		}
		if hasEnded == stays {
			t.Errorf("stays %v: ended %v in state %v", stays, hasEnded, life.state)
		}
		if isDrained := life.state == drained; isDrained != stays {
			t.Errorf("stays %v: state %v", stays, life.state)
		}
		if life.since != 2 {
			t.Errorf("in its state since %v, want 2ns", life.since)
		}
	}
}
