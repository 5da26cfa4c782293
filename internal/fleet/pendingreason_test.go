package fleet

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/licences"
	"github.com/harewalk/harewalk/internal/planner"
)

// reasonCheck compares the pending reasons of one job with a direct computation from the state of the whole model.
type reasonCheck struct {
	t     *testing.T
	model *model
	fleet *Fleet
	job   *jobs.Job
}

// run checks every reason of the job, and that each of its tasks is running, finished, or has exactly one reason. It
// adds the causes to countByCause.
func (c *reasonCheck) run(countByCause map[PendingCause]int) {
	c.t.Helper()
	reasons := c.fleet.PendingReasons(c.model.now, c.job)
	waiting := 0
	for _, reason := range reasons {
		waiting += reason.Tasks
		countByCause[reason.Cause]++
		if reason.Text == "" {
			c.fail(reason, "the text is empty")
		}
		c.check(reason)
	}
	if running := c.runningOrFinished(); waiting+running != c.job.TaskCount {
		c.t.Fatalf("seed %d, %v: job %s has %d tasks, %d running or finished; want one reason for each other task, got %+v",
			c.model.seed, c.model.now, c.job.ID, c.job.TaskCount, running, reasons)
	}
}

// fail fails the test for a wrong reason.
func (c *reasonCheck) fail(reason PendingReason, problem string) {
	c.t.Helper()
	c.t.Fatalf("seed %d, %v: job %s (%+v) has the reason %+v, but %s",
		c.model.seed, c.model.now, c.job.ID, *c.job.Spec, reason, problem)
}

// check checks a reason if its cause can be derived directly from the state of the model.
func (c *reasonCheck) check(reason PendingReason) {
	c.t.Helper()
	switch reason.Cause {
	case TeamLimit:
		if c.teamHasRoom() {
			c.fail(reason, "the team's limit allows it to start")
		}
	case LicenceUnavailable:
		if c.unitsAreFree() {
			c.fail(reason, "licence units are free")
		}
	case NoMachine:
		for _, machine := range c.fleet.machines {
			if c.couldTake(machine) {
				c.fail(reason, "machine "+machine.Name+" is eligible")
			}
		}
	case GangLacksRoom:
		if c.gangHasRoom() {
			c.fail(reason, "there is room for the whole gang")
		}
	case PlanNotDurable:
		if reason.Tasks != c.tasksBeingWritten() {
			c.fail(reason, "its task count differs from the number of plans that are being written")
		}
	}
}

func (c *reasonCheck) runningOrFinished() int {
	count := 0
	for i := range c.job.Tasks {
		task := &c.job.Tasks[i]
		if task.State == jobs.Finished || (task.State == jobs.OnMachine && task.Phase >= jobs.Running) {
			count++
		}
	}
	return count
}

func (c *reasonCheck) tasksBeingWritten() int {
	count := 0
	for i := range c.job.Tasks {
		if c.job.Tasks[i].State == jobs.Planned && !c.job.IsDurable(int32(i)) {
			count++
		}
	}
	return count
}

// tasksStartedTogether returns the number of tasks of the job that must start together.
func (c *reasonCheck) tasksStartedTogether() int {
	if c.job.Spec.Kind == jobs.Gang {
		return c.job.TaskCount
	}
	return 1
}

// teamHasRoom reports whether the team's limit allows the job to start. Tasks on machines and reservations for gangs
// count toward the limit.
func (c *reasonCheck) teamHasRoom() bool {
	used := planner.Size{}
	for _, machine := range c.fleet.machines {
		for ref := range machine.Tasks {
			if other := c.fleet.jobAt(ref.Job); other.Team == c.job.Team {
				used = used.Add(other.Spec.Size())
			}
		}
	}
	usedCPUs := max(used.CPUs, c.fleet.Gate.Quota.Team(c.job.Team).Used.CPUs)
	needed := float64(c.tasksStartedTogether()) * c.job.Spec.Size().CPUs
	return usedCPUs+needed <= c.model.settings.Params.Teams[0].CPUsMax+1e-9
}

// unitsAreFree reports whether the job's licence units are free. They are not if tasks on machines hold them, a job of
// higher priority needs them, the licence server is unavailable, or a crashed task may still hold them.
func (c *reasonCheck) unitsAreFree() bool {
	free := map[string]int{}
	for _, pool := range c.model.pools {
		free[pool.Name] = pool.Count
	}
	for _, machine := range c.fleet.machines {
		for ref := range machine.Tasks {
			for name, units := range c.fleet.jobAt(ref.Job).Spec.Licences {
				free[name] -= units
			}
		}
	}
	for name, units := range c.job.Spec.Licences {
		if free[name] < units*c.tasksStartedTogether() {
			return false
		}
	}
	denial := c.fleet.licenceGrants[c.job.Index].Denial
	return denial != licences.LowerPriority && denial != licences.ServerUnavailable && !hasUncountedUnits(c.fleet)
}

// couldTake reports whether a machine is eligible for a task of the job. The machine must have been up and in contact
// for a while; the tasks on it are ignored.
func (c *reasonCheck) couldTake(machine *Machine) bool {
	now := c.model.now
	if machine.Condition != Ready || machine.Returning {
		return false
	}
	if now-machine.UpSince <= time.Second || now-machine.LastContactAt >= time.Second {
		return false
	}
	if !c.fleet.mayPlace(machine, c.job) || now < c.fleet.noMachineUntil[c.job.Index] {
		return false
	}
	reservedForGPUWork := c.fleet.reservedForGPUWork(machine, c.job, machine.Capacity.GPUs)
	return c.job.Spec.Size().Fits(machine.Capacity.Sub(reservedForGPUWork))
}

// gangHasRoom reports whether the machines have room for all tasks of a gang without zone constraints.
func (c *reasonCheck) gangHasRoom() bool {
	spec := c.job.Spec
	room := 0
	for _, machine := range c.fleet.machines {
		if machine.Condition == Ready && !machine.Returning && c.fleet.mayPlace(machine, c.job) {
			room += spec.Size().FitCount(c.fleet.availableRoom(machine, c.job))
		}
	}
	hasNoZoneConstraint := !spec.OneZone && spec.ZoneLimit() == 0
	return room >= c.job.TaskCount && hasNoZoneConstraint && !hasReservedMachine(c.fleet)
}

// hasUncountedUnits reports whether licence units are, or may be, in use that no task on a machine holds.
func hasUncountedUnits(f *Fleet) bool {
	for i := range f.Jobs.Names.Pools.Pools() {
		view := f.Gate.Licences.View(0, int32(i), func(int32) string { return "" })
		if view.AwaitingRelease > 0 || view.ServerState != "open" || view.Reserved > 0 {
			return true
		}
	}
	return false
}

// hasReservedMachine reports whether room on a machine is reserved. Reservations can't be derived from the tasks on
// the machine.
func hasReservedMachine(f *Fleet) bool {
	for _, machine := range f.machines {
		if machine.reserved != (planner.Size{}) {
			return true
		}
	}
	return false
}

// In every state of the model, each waiting task of each job has exactly one pending reason, and the reason is
// correct.
func TestPendingReasonsMatchModel(t *testing.T) {
	countByCause := map[PendingCause]int{}
	for seed := uint64(1); seed <= 25; seed++ {
		m := newModel(seed, modelPools()...)
		m.afterTick = func() {
			for _, job := range m.fleet.ranking.jobs {
				if !job.State.Terminal() {
					check := reasonCheck{t: t, model: m, fleet: m.fleet, job: job}
					check.run(countByCause)
				}
			}
		}
		m.run(100*time.Second, 160*time.Second)
	}
	expected := []PendingCause{
		TeamLimit, LicenceUnavailable, NoMachine, GangLacksRoom, RetryLater,
		QueuedOnMachine, PlanNotDurable, GangStopping, Starting,
	}
	for _, cause := range expected {
		if countByCause[cause] < 20 {
			t.Errorf("cause %s was reported %d times, want at least 20 so that it is covered", cause, countByCause[cause])
		}
	}
	t.Logf("reports by cause: %v", countByCause)
}

func TestJobsAheadNearestFirst(t *testing.T) {
	g := newLicenceRig(t, 1, map[string]json.RawMessage{}, &licences.Pool{Name: "p", Count: 0})
	for i, priority := range []string{"prod", "urgent", "standard", "standard", "best_effort"} {
		spec := specWithLicences(i+1, 1, oneUnit())
		spec.Priority = priority
		g.submit(spec)
	}
	g.settle(0)
	ids, n := g.JobsAhead(g.Jobs.Get("req-000005"), 2)
	if n != 4 || len(ids) != 2 || ids[0] != "req-000004" || ids[1] != "req-000003" {
		t.Fatalf("%d jobs ahead, nearest %v; want 4, nearest req-000004 and req-000003", n, ids)
	}
}
