package fleet

import (
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// A machine is free and has room, and a better choice is busy, whose task goes on and on: it has the job's image, or the free one is
// an ordinary machine that others need. A job lets that put it off for a while, not for ever; without the bound it does.
func TestBetterChoicesEnd(t *testing.T) {
	for name, c := range map[string]struct {
		kind  jobs.Kind
		image float64 // GB, at 1 GB a second
		spot  bool    // the busy machine is a spot one, and ordinary ones are needed by others
	}{"array, image": {jobs.Array, 90, false}, "gang, image": {jobs.Gang, 90, false}, "array, ordinary": {jobs.Array, 1, true}} {
		waits := func(ages bool) time.Duration {
			g := mixed(t)
			on, spot := map[string][]TaskReport{}, map[string]bool{"busy": c.spot}
			run := func(m string) {
				for _, cmd := range starts(g.see(m, "cpu", spot[m], on[m]...)) {
					on[m] = append(on[m], TaskReport{Task: cmd.Task, Attempt: cmd.Attempt, State: taskRunning})
				}
				g.see(m, "cpu", spot[m], on[m]...)
			}
			give := func(n int, change func(*jobs.Spec)) *jobs.Job {
				s := spec(n, 1)
				s.CPUs, s.ImageGB, s.EstimateS, s.Spot = 8, c.image, 300, true
				change(s)
				job := g.submit(s)
				job.SubmittedAt = g.now
				return job
			}
			run("busy")
			give(1, func(spec *jobs.Spec) { spec.EstimateS = 1 }) // it runs for far longer than that
			for range 3 {
				g.settleFor(3, store.Committed)
				run("busy")
			}
			run("free")
			if c.spot { // what ordinary machines are needed for
				give(2, func(spec *jobs.Spec) { spec.Spot, spec.CPUs = false, 1 })
			}
			for range 3 {
				g.settleFor(3, store.Committed)
				run("free")
			}
			job := give(3, func(spec *jobs.Spec) { spec.Kind, spec.CPUs = c.kind, 7 })
			at := g.now
			for g.now-at < 80*time.Second && job.TasksOnMachines() == 0 {
				g.now += 700 * time.Millisecond
				if !ages {
					job.RoomSince = 0
				}
				g.settleFor(3, store.Committed)
				run("busy")
				run("free")
			}
			if len(on["busy"]) != 1 {
				t.Fatalf("%s: on the busy machine is %v", name, on["busy"])
			}
			return g.now - at
		}
		with, without := waits(true), waits(false)
		t.Logf("%s: it begins after %v, without the bound after %v", name, with, without)
		if with > 60*time.Second {
			t.Errorf("%s: it waits %v beside room", name, with)
		}
		if without < 80*time.Second {
			t.Errorf("%s: without the bound it waits %v only: the test shows nothing", name, without)
		}
	}
}
