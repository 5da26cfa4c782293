package fleet

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// What fails on several machines is its job's fault, what fails in several jobs its machine's; a job of which something was
// done, and a service that ran for long, are in order.
func TestWhoseFaultItIs(t *testing.T) {
	for _, c := range []struct {
		name     string
		kind     jobs.Kind
		done     bool          // a task of it was done before
		ran      time.Duration // before it fails
		machines int           // on which it fails
		standing Standing
	}{
		{"once", jobs.Array, false, time.Second, 1, Untried},
		{"on two machines", jobs.Array, false, time.Second, 2, Mistaken},
		{"on three", jobs.Gang, false, time.Second, 3, Mistaken},
		{"after one was done", jobs.Array, true, time.Second, 3, Proven},
		{"a service at once", jobs.Service, false, time.Second, 2, Mistaken},
		{"a service after a minute", jobs.Service, false, time.Minute, 3, Proven},
	} {
		g := newRigOf(t, 1, map[string]json.RawMessage{}, []config.Team{{Name: "t"}})
		s := spec(1, 3)
		s.Kind = c.kind
		j := g.submit(s)
		g.now = 5 * time.Minute
		if c.done {
			g.must(j.SetTaskState(0, jobs.Finished))
		}
		for i := range c.machines {
			m := g.Machine(g.now, fmt.Sprintf("m%d", i))
			j.Tasks[1].RunningSince = g.now - c.ran
			g.failed(g.now, m, j, 1)
			g.now += time.Second
		}
		if r := g.failing[j.Index]; r == nil || r.standing != c.standing {
			t.Errorf("%s: %+v, want %s", c.name, r, c.standing)
		}
		if m := g.Find("m0"); (len(m.failed) > 0) == (c.standing == Mistaken) {
			t.Errorf("%s: a machine is blamed by %v", c.name, m.failed)
		}
	}
}

// The pauses of a mistaken job double up to a bound, and between two tries nothing of it is planned.
func TestPausesGrow(t *testing.T) {
	g := newRigOf(t, 1, map[string]json.RawMessage{}, []config.Team{{Name: "t"}})
	j := g.submit(spec(1, 100))
	ms := []string{"m0", "m1", "m2"}
	last, tries := time.Duration(0), 0
	var gaps []time.Duration
	for range 400 {
		g.now += 700 * time.Millisecond
		for _, name := range ms {
			for _, c := range starts(g.hear(name, 1, fenced)) {
				if tries++; tries > 12 {
					gaps = append(gaps, g.now-last)
				}
				last = g.now
				g.now += 100 * time.Millisecond
				gone := TaskReport{Task: c.Task, Attempt: c.Attempt, State: exited, Why: whyError}
				g.hear(name, 1, fenced, gone)
				g.hear(name, 1, fenced)
			}
		}
		g.settleFor(3, store.Committed)
	}
	r := g.mistaken(j)
	if r == nil || len(gaps) < 3 || gaps[len(gaps)-1] < 16*time.Second {
		t.Fatalf("%+v, gaps %v", r, gaps)
	}
	for i, d := range gaps {
		if i > 0 && d < gaps[i-1]-2*time.Second || d > longPause+3*time.Second {
			t.Errorf("gaps %v", gaps)
		}
	}
	if why := g.Why(g.now, j); len(why) == 0 || why[0].Why != Failing {
		t.Errorf("it is told %+v", why)
	}
}
