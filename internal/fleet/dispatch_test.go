package fleet

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/store"
)

// A machine whose heartbeats reach no controller responds to direct requests. The responses must not count as contact:
// the machine gets no new work once a heartbeat is overdue, its lease expires for the leader as it does for the worker,
// and only a heartbeat makes it ready again. Otherwise the leader continues to launch tasks there, which end with each
// lease.
func TestDirectResponsesAreNotContact(t *testing.T) {
	g := newRig(t, 1, map[string]json.RawMessage{})
	g.heartbeat("m", 1, 0)
	g.heartbeat("m", 1, fenced)
	machine := g.machines[0]
	lastContact := g.now
	session := uint64(1)
	var running []TaskReport
	sent, late := 0, 0
	for n := 1; g.now-lastContact < 70*time.Second; n++ {
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
		for i := range running { // the tasks launched so far are done
			running[i].State = taskExited
			running[i].ExitCause = exitDone
		}
		if request.Session == session {
			for _, c := range starts(request.Commands) {
				running = append(running, TaskReport{Task: c.Task, Attempt: c.Attempt, State: taskRunning})
				if sent++; g.now-lastContact > 5*time.Second {
					late++
				}
			}
		}
		g.seq++
		done(newHeartbeat("m", session, g.seq, request.Token, running...), true)
	}
	if sent == 0 || late > 0 {
		t.Errorf("got %d launched tasks, %d of them while a heartbeat was overdue, want some, 0", sent, late)
	}
	if machine.Condition != LeaseExpired || len(machine.Tasks) > 0 {
		t.Errorf("70 s after the last heartbeat: got condition %v, %d tasks, want lost, 0", machine.Condition, len(machine.Tasks))
	}
	g.heartbeat("m", session+1, machine.Token)
	if machine.Condition != Ready {
		t.Errorf("after a new heartbeat: got condition %v, want acting", machine.Condition)
	}
}
