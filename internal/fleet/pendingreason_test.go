package fleet

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/licences"
	"github.com/harewalk/harewalk/internal/planner"
)

// reasonCheck compares the pending reasons of one job with a plain look at the whole model.
type reasonCheck struct {
	t     *testing.T
	model *model
	fleet *Fleet
	job   *jobs.Job
}

// run checks every reason of the job, and that each of its tasks runs, is finished, or has one reason. It counts the
// causes in seen.
func (c *reasonCheck) run(seen map[PendingCause]int) {
	c.t.Helper()
	reasons := c.fleet.PendingReasons(c.model.now, c.job)
	waiting := 0
	for _, reason := range reasons {
		waiting += reason.Tasks
		seen[reason.Cause]++
		if reason.Text == "" {
			c.fail(reason, "there is no text")
		}
		c.check(reason)
	}
	if running := c.runningOrFinished(); waiting+running != c.job.TaskCount {
		c.t.Fatalf("seed %d, %v: %s has %d tasks, %d run or are finished, %+v",
			c.model.seed, c.model.now, c.job.ID, c.job.TaskCount, running, reasons)
	}
}

// fail fails the test for a reason that is wrong.
func (c *reasonCheck) fail(reason PendingReason, what string) {
	c.t.Helper()
	c.t.Fatalf("seed %d, %v: the reason of %s (%+v) is %+v, and %s",
		c.model.seed, c.model.now, c.job.ID, *c.job.Spec, reason, what)
}

// check checks the causes that can be seen by a plain look.
func (c *reasonCheck) check(reason PendingReason) {
	c.t.Helper()
	switch reason.Cause {
	case TeamLimit:
		if c.teamHasRoom() {
			c.fail(reason, "its team has room")
		}
	case LicenceUnavailable:
		if c.unitsAreFree() {
			c.fail(reason, "licence units are free")
		}
	case NoMachine:
		for _, machine := range c.fleet.machines {
			if c.couldTake(machine) {
				c.fail(reason, "machine "+machine.Name+" may take it")
			}
		}
	case GangShort:
		if c.gangHasRoom() {
			c.fail(reason, "there is room for the whole gang")
		}
	case PlanNotDurable:
		if reason.Tasks != c.tasksBeingWritten() {
			c.fail(reason, "another number is being written")
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

// tasksStartedTogether returns how many tasks of the job must start at once.
func (c *reasonCheck) tasksStartedTogether() int {
	if c.job.Spec.Kind == jobs.Gang {
		return c.job.TaskCount
	}
	return 1
}

// teamHasRoom returns whether the team's limit lets the job start. What is reserved for gangs counts against it,
// beside what is on machines.
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

// unitsAreFree returns whether no task on a machine, no job of higher priority, no missing answer of a server and no
// unit of a crashed task keeps the job from having its licence units.
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

// couldTake returns whether a machine that has been up for a while could take a task of the job if it were empty.
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

// gangHasRoom returns whether the machines have room for all tasks of a gang that may be anywhere.
func (c *reasonCheck) gangHasRoom() bool {
	spec := c.job.Spec
	room := 0
	for _, machine := range c.fleet.machines {
		if machine.Condition == Ready && !machine.Returning && c.fleet.mayPlace(machine, c.job) {
			room += spec.Size().Copies(c.fleet.availableRoom(machine, c.job))
		}
	}
	mayBeAnywhere := !spec.OneZone && spec.ZoneLimit() == 0
	return room >= c.job.TaskCount && mayBeAnywhere && !hasReservedMachine(c.fleet)
}

// hasUncountedUnits returns whether licence units are taken that no task on a machine holds, or may be.
func hasUncountedUnits(f *Fleet) bool {
	for i := range f.Jobs.Names.Pools.Pools() {
		view := f.Gate.Licences.View(0, int32(i), func(int32) string { return "" })
		if view.AwaitingRelease > 0 || view.ServerState != "open" || view.Booked > 0 {
			return true
		}
	}
	return false
}

// hasReservedMachine returns whether room on a machine is reserved, which a plain look at its tasks doesn't show.
func hasReservedMachine(f *Fleet) bool {
	for _, machine := range f.machines {
		if machine.reserved != (planner.Size{}) {
			return true
		}
	}
	return false
}

// Whatever the model does, each waiting task of each job has exactly one reason, and the reason is true.
func TestModelGivesTruePendingReasons(t *testing.T) {
	seen := map[PendingCause]int{}
	for seed := uint64(1); seed <= 25; seed++ {
		m := newModel(seed, modelPools()...)
		m.afterTick = func() {
			for _, job := range m.fleet.ranking.jobs {
				if !job.State.Terminal() {
					check := reasonCheck{t: t, model: m, fleet: m.fleet, job: job}
					check.run(seen)
				}
			}
		}
		m.run(100*time.Second, 160*time.Second)
	}
	expected := []PendingCause{
		TeamLimit, LicenceUnavailable, NoMachine, GangShort, RetryLater,
		QueuedOnMachine, PlanNotDurable, GangStopping, Arriving,
	}
	for _, cause := range expected {
		if seen[cause] < 20 {
			t.Errorf("%s was reported %d times: the model does not exercise the code", cause, seen[cause])
		}
	}
	t.Logf("%v", seen)
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
		t.Fatalf("%d ahead, %v", n, ids)
	}
}
