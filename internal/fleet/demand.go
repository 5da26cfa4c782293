package fleet

import (
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/planner"
)

// Need is work that waits.
type Need struct {
	Job     *jobs.Job
	Tasks   int
	Seconds float64 // expected for each
	Whole   bool    // should start now rather than after something else
}

// Demand lists the waiting work in rank order, as far as team limits let it run.
func (f *Fleet) Demand(now time.Duration) []Need {
	var out []Need
	room := map[int32]planner.Size{}
	for _, j := range f.order {
		if j.Tasks == nil || j.Spec == nil || j.Stance.Terminal() {
			continue
		}
		n := 0
		for t := range j.Tasks {
			if s := j.Tasks[t].State; s == jobs.Unplanned || s == jobs.Planned {
				n++
			}
		}
		if n == 0 {
			continue
		}
		t := f.Ledger.Team(j.Team)
		if t == nil {
			continue
		}
		left, ok := room[j.Team]
		if !ok {
			left = t.Limit.Sub(t.Used)
		}
		n = min(n, max(0, j.Spec.Size().Copies(left)))
		if n == 0 {
			continue
		}
		s := j.Spec.Size()
		room[j.Team] = left.Sub(planner.Size{CPUs: s.CPUs * float64(n), GPUs: s.GPUs * float64(n)})
		out = append(out, Need{j, n, f.estimate(j), j.Spec.Kind != jobs.Array})
	}
	return out
}

// Running lists what is on a machine with its remaining time.
func (f *Fleet) Running(now time.Duration, m *Machine) []planner.Work { return f.work(now, m, -1, nil) }

// Faulty tells whether a machine fails what runs on it: several jobs in a row.
func (f *Fleet) Faulty(m *Machine) bool { return m.errors >= 2 }

// Counts fills in what is displayed of a job.
func (f *Fleet) Counts(j *jobs.Job) (done, running int) {
	for t := range j.Tasks {
		if j.Tasks[t].State == jobs.OnMachine && j.Tasks[t].Phase >= jobs.Running {
			running++
		}
	}
	return j.DoneN, running
}
