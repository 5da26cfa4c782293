package fleet

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/store"
)

// A machine whose heartbeats reach no controller responds to direct requests. The responses must not count as contact:
// the machine is prompted no more once a heartbeat is overdue, its lease expires for the leader as it does for the
// worker, and only a heartbeat makes it ready again. Otherwise the leader continues to plan tasks there.
func TestDirectResponsesAreNotContact(t *testing.T) {
	g := newRig(t, 1, map[string]json.RawMessage{})
	g.heartbeat("m", 1, 0)
	g.heartbeat("m", 1, fenced)
	g.submit(spec(1, 1))
	g.settle(store.Committed)
	first := starts(g.heartbeat("m", 1, fenced))
	if len(first) != 1 {
		t.Fatalf("got starts %v, want 1", first)
	}
	running := []TaskReport{{Task: first[0].Task, Attempt: first[0].Attempt, State: taskRunning}}
	machine := g.machines[0]
	lastContact := g.now
	session := uint64(1)
	sent, late := 0, 0
	for n := 2; g.now-lastContact < 70*time.Second; n++ {
		if n%4 == 0 {
			g.submit(spec(n, 1))
		}
		g.settleFor(2, store.Committed)
		g.Tick(g.now, true)
		if len(g.directCallbacks) == 0 {
			continue
		}
		request := g.sentDirect[len(g.sentDirect)-1]
		done := g.directCallbacks[len(g.directCallbacks)-1]
		g.directCallbacks = nil
		if g.now-lastContact > time.Duration(session)*g.Settings.WorkerLease() {
			session++
			running = nil
		}
		for i := range running { // the task launched at the last contact is done
			running[i].State = taskExited
			running[i].ExitCause = exitDone
		}
		if sent++; g.now-lastContact > 5*time.Second {
			late++
		}
		g.seq++
		done(newHeartbeat("m", session, g.seq, request.Token, running...))
	}
	if sent == 0 || late > 0 {
		t.Errorf("got %d direct requests, %d of them while a heartbeat was overdue, want some, 0", sent, late)
	}
	if machine.Condition != LeaseExpired || len(machine.Tasks) > 0 {
		t.Errorf("70 s after the last heartbeat: got condition %v, %d tasks, want lost, 0", machine.Condition, len(machine.Tasks))
	}
	g.heartbeat("m", session+1, machine.Token)
	if machine.Condition != Ready {
		t.Errorf("after a new heartbeat: got condition %v, want acting", machine.Condition)
	}
}
