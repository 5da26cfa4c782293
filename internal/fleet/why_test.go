package fleet

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/licences"
	"github.com/harewalk/harewalk/internal/planner"
)

// checkWhy holds what a job is told against a plain look at everything.
func checkWhy(t *testing.T, w *world, j *jobs.Job, seen map[PendingCause]int) {
	f := w.fleet
	parts := f.PendingReasons(w.now, j)
	n := 0
	for _, p := range parts {
		n += p.Tasks
		seen[p.Cause]++
		if p.Text == "" {
			t.Fatalf("seed %d, %v: %s is told nothing but %s", w.seed, w.now, j.ID, p.Cause)
		}
	}
	runs, writing := 0, 0
	for i := range j.Tasks {
		k := &j.Tasks[i]
		if k.State == jobs.Finished || (k.State == jobs.OnMachine && k.Phase >= jobs.Running) {
			runs++
		}
		if k.State == jobs.Planned && !j.IsDurable(int32(i)) {
			writing++
		}
	}
	if n+runs != j.TaskCount {
		t.Fatalf("seed %d, %v: %s has %d tasks, %d run or are done, %+v", w.seed, w.now, j.ID, j.TaskCount, runs, parts)
	}
	use := planner.Size{}
	free := map[string]int{}
	for _, p := range w.pools {
		free[p.Name] = p.Count
	}
	for _, m := range f.machines {
		for r := range m.Tasks {
			o := f.jobAt(r.Job)
			if o.Team == j.Team {
				use = use.Add(o.Spec.Size())
			}
			for name, k := range o.Spec.Licences {
				free[name] -= k
			}
		}
	}
	size := j.Spec.Size()
	wrong := func(p PendingReason, what string) {
		t.Fatalf("seed %d, %v: %s (%+v) is told %+v, and %s", w.seed, w.now, j.ID, *j.Spec, p, what)
	}
	for _, p := range parts {
		switch p.Cause {
		case TeamLimit:
			n := 1
			if j.Spec.Kind == jobs.Gang {
				n = j.TaskCount
			}
			// What gangs have booked beside counts for the limit, too.
			if lim := w.settings.Params.Teams[0].CPUsMax; max(use.CPUs, f.Gate.Quota.Team(j.Team).Used.CPUs)+float64(n)*size.CPUs <= lim+1e-9 {
				wrong(p, "its team has room")
			}
		case LicenceUnavailable:
			short := false
			for name, k := range j.Spec.Licences {
				if j.Spec.Kind == jobs.Gang {
					k *= j.TaskCount
				}
				short = short || free[name] < k
			}
			if g := f.licenceGrants[j.Index]; !short && g.Why != licences.OtherFirst && g.Why != licences.NoAnswer && !lingers(f) {
				wrong(p, "seats are free")
			}
		case NoMachine:
			for _, m := range f.machines {
				if m.Condition == Ready && !m.Returning && w.now-m.UpSince > time.Second && w.now-m.LastHeardAt < time.Second && f.mayUse(m, j) &&
					size.Fits(m.Capacity.Sub(f.keptFree(m, j, m.Capacity.GPUs))) && w.now >= f.noMachineUntil[j.Index] {
					wrong(p, "machine "+m.Name+" may take it")
				}
			}
		case GangShort:
			places := 0
			for _, m := range f.machines {
				if m.Condition == Ready && !m.Returning && f.mayUse(m, j) {
					places += size.Copies(f.room(m, j))
				}
			}
			if places >= j.TaskCount && !j.Spec.OneZone && j.Spec.ZoneLimit() == 0 && !claimed(f) {
				wrong(p, "there are enough places")
			}
		case PlanNotDurable:
			if p.Tasks != writing {
				wrong(p, "another number is being written")
			}
		}
	}
}

// lingers tells whether seats are counted that no task of ours holds, and claimed whether a claim
// stands that a plain look at machines doesn't see.
func lingers(f *Fleet) bool {
	for i := range f.Jobs.Names.Pools.Pools() {
		if v := f.Gate.Licences.Show(0, int32(i), func(int32) string { return "" }); v.Lingering > 0 || v.Line != "open" || v.Booked > 0 {
			return true
		}
	}
	return false
}

func claimed(f *Fleet) bool {
	for _, m := range f.machines {
		if m.reserved != (planner.Size{}) {
			return true
		}
	}
	return false
}

// Whatever the model of workers and network does, each task of each job that waits has exactly one
// reason, and the reason is so.
func TestWhyAgainstThePlainModel(t *testing.T) {
	seen := map[PendingCause]int{}
	for seed := uint64(1); seed <= 25; seed++ {
		w := newWorld(t, seed, 0.12, &licences.Pool{Name: "p", Count: 6}, &licences.Pool{Name: "q", Count: 5, Linger: 6 * time.Second})
		w.each = func() {
			for _, j := range w.fleet.ranked {
				if !j.State.Terminal() {
					checkWhy(t, w, j, seen)
				}
			}
		}
		w.run(100*time.Second, 160*time.Second)
	}
	for _, c := range []PendingCause{TeamLimit, LicenceUnavailable, NoMachine, GangShort, RetryLater, QueuedOnMachine, PlanNotDurable, GangStopping, Arriving} {
		if seen[c] < 20 {
			t.Errorf("%s was told %d times: the model does not exercise the code", c, seen[c])
		}
	}
	t.Logf("%v", seen)
}

// Who is asked for names those that rank before, nearest first.
func TestAhead(t *testing.T) {
	g := seatRig(t, 1, map[string]json.RawMessage{}, &licences.Pool{Name: "p", Count: 0})
	for i := range 5 {
		s := needing(i+1, 1, map[string]int{"p": 1})
		s.Priority = []string{"prod", "urgent", "standard", "standard", "best_effort"}[i]
		g.submit(s)
	}
	g.settle(0)
	ids, n := g.JobsAhead(g.Jobs.Get("req-000005"), 2)
	if n != 4 || len(ids) != 2 || ids[0] != "req-000004" || ids[1] != "req-000003" {
		t.Fatalf("%d ahead, %v", n, ids)
	}
}
