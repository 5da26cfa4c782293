package fleet

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/licences"
	"github.com/harewalk/harewalk/internal/planner"
)

// checkPendingReasons holds what a job is told against a plain look at everything.
func checkPendingReasons(t *testing.T, m *model, job *jobs.Job, seen map[PendingCause]int) {
	f := m.fleet
	parts := f.PendingReasons(m.now, job)
	n := 0
	for _, p := range parts {
		n += p.Tasks
		seen[p.Cause]++
		if p.Text == "" {
			t.Fatalf("seed %d, %v: %s is told nothing but %s", m.seed, m.now, job.ID, p.Cause)
		}
	}
	runs, writing := 0, 0
	for i := range job.Tasks {
		task := &job.Tasks[i]
		if task.State == jobs.Finished || (task.State == jobs.OnMachine && task.Phase >= jobs.Running) {
			runs++
		}
		if task.State == jobs.Planned && !job.IsDurable(int32(i)) {
			writing++
		}
	}
	if n+runs != job.TaskCount {
		t.Fatalf("seed %d, %v: %s has %d tasks, %d run or are done, %+v", m.seed, m.now, job.ID, job.TaskCount, runs, parts)
	}
	use := planner.Size{}
	free := map[string]int{}
	for _, pool := range m.pools {
		free[pool.Name] = pool.Count
	}
	for _, machine := range f.machines {
		for r := range machine.Tasks {
			o := f.jobAt(r.Job)
			if o.Team == job.Team {
				use = use.Add(o.Spec.Size())
			}
			for name, k := range o.Spec.Licences {
				free[name] -= k
			}
		}
	}
	size := job.Spec.Size()
	wrong := func(p PendingReason, what string) {
		t.Fatalf("seed %d, %v: %s (%+v) is told %+v, and %s", m.seed, m.now, job.ID, *job.Spec, p, what)
	}
	for _, p := range parts {
		switch p.Cause {
		case TeamLimit:
			n := 1
			if job.Spec.Kind == jobs.Gang {
				n = job.TaskCount
			}
			// What gangs have booked beside counts for the limit, too.
			if lim := m.settings.Params.Teams[0].CPUsMax; max(use.CPUs, f.Gate.Quota.Team(job.Team).Used.CPUs)+float64(n)*size.CPUs <= lim+1e-9 {
				wrong(p, "its team has room")
			}
		case LicenceUnavailable:
			short := false
			for name, k := range job.Spec.Licences {
				if job.Spec.Kind == jobs.Gang {
					k *= job.TaskCount
				}
				short = short || free[name] < k
			}
			if grant := f.licenceGrants[job.Index]; !short && grant.Why != licences.OtherFirst && grant.Why != licences.NoAnswer && !hasUncountedUnits(f) {
				wrong(p, "seats are free")
			}
		case NoMachine:
			for _, machine := range f.machines {
				if machine.Condition == Ready && !machine.Returning && m.now-machine.UpSince > time.Second && m.now-machine.LastHeardAt < time.Second && f.mayUse(machine, job) &&
					size.Fits(machine.Capacity.Sub(f.keptFree(machine, job, machine.Capacity.GPUs))) && m.now >= f.noMachineUntil[job.Index] {
					wrong(p, "machine "+machine.Name+" may take it")
				}
			}
		case GangShort:
			places := 0
			for _, machine := range f.machines {
				if machine.Condition == Ready && !machine.Returning && f.mayUse(machine, job) {
					places += size.Copies(f.room(machine, job))
				}
			}
			if places >= job.TaskCount && !job.Spec.OneZone && job.Spec.ZoneLimit() == 0 && !hasReservedMachine(f) {
				wrong(p, "there are enough places")
			}
		case PlanNotDurable:
			if p.Tasks != writing {
				wrong(p, "another number is being written")
			}
		}
	}
}

// hasUncountedUnits tells whether seats are counted that no task of ours holds, and claimed whether a claim
// stands that a plain look at machines doesn't see.
func hasUncountedUnits(f *Fleet) bool {
	for i := range f.Jobs.Names.Pools.Pools() {
		if v := f.Gate.Licences.Show(0, int32(i), func(int32) string { return "" }); v.Lingering > 0 || v.Line != "open" || v.Booked > 0 {
			return true
		}
	}
	return false
}

func hasReservedMachine(f *Fleet) bool {
	for _, machine := range f.machines {
		if machine.reserved != (planner.Size{}) {
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
		m := newModel(seed, modelPools()...)
		m.afterTick = func() {
			for _, job := range m.fleet.ranking.jobs {
				if !job.State.Terminal() {
					checkPendingReasons(t, m, job, seen)
				}
			}
		}
		m.run(100*time.Second, 160*time.Second)
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
	g := newLicenceRig(t, 1, map[string]json.RawMessage{}, &licences.Pool{Name: "p", Count: 0})
	for i := range 5 {
		spec := specWithLicences(i+1, 1, map[string]int{"p": 1})
		spec.Priority = []string{"prod", "urgent", "standard", "standard", "best_effort"}[i]
		g.submit(spec)
	}
	g.settle(0)
	ids, n := g.JobsAhead(g.Jobs.Get("req-000005"), 2)
	if n != 4 || len(ids) != 2 || ids[0] != "req-000004" || ids[1] != "req-000003" {
		t.Fatalf("%d ahead, %v", n, ids)
	}
}
