package fleet

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/store"
)

// A machine whose reports reach nobody answers direct commands, one after the other: that proves nothing of its life. It gets no
// new work from the time on by which a report was due, its lease runs out for us when it does for it, and its answers don't bring
// it back: only a report does. Its answers once kept it alive for its owner, which went on sending it work that died with each lease.
func TestAskedIsNotAlive(t *testing.T) {
	g := newRig(t, 1, map[string]json.RawMessage{})
	g.hear("m", 1, 0)
	g.hear("m", 1, fenced)
	machine, last, session := g.machines[0], g.now, uint64(1)
	var on []TaskReport
	sent, late := 0, 0
	for n := 1; g.now-last < 70*time.Second; n++ {
		if n%4 == 0 {
			g.submit(spec(n, 1))
		}
		g.settleFor(2, store.Committed)
		g.Tick(g.now, true)
		if len(g.orders) == 0 {
			continue
		}
		o, done := g.sent[len(g.sent)-1], g.orders[len(g.orders)-1]
		g.orders = nil
		if g.now-last > time.Duration(session)*g.Settings.Lease() {
			session, on = session+1, nil
		}
		for i := range on { // what ran is done by now
			on[i].State, on[i].Why = taskExited, exitDone
		}
		if o.Session == session {
			for _, c := range starts(o.Commands) {
				on = append(on, TaskReport{Task: c.Task, Attempt: c.Attempt, State: taskRunning})
				if sent++; g.now-last > 5*time.Second {
					late++
				}
			}
		}
		g.seq++
		done(&Heartbeat{Machine: "m", Addr: "x", Type: "ty", Zone: "z", Session: session, Seq: g.seq, Token: o.Token, Tasks: on}, true)
	}
	if sent == 0 || late > 0 {
		t.Errorf("of %d tasks sent, %d went to a machine that had missed its report", sent, late)
	}
	if machine.Condition != LeaseExpired || len(machine.Tasks) > 0 {
		t.Errorf("70 s after its last report it is %v, with %d tasks", machine.Condition, len(machine.Tasks))
	}
	g.hear("m", session+1, machine.Token)
	if machine.Condition != Ready {
		t.Errorf("it reports again and is %v", machine.Condition)
	}
}
