package fleet

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/licences"
	"github.com/harewalk/harewalk/internal/store"
)

// newLicenceRig returns a rig with two teams without limits.
func newLicenceRig(t testing.TB, term uint64, kv map[string]json.RawMessage, pools ...*licences.Pool) *rig {
	t.Helper()
	return newRigOf(t, term, kv, []config.Team{{Name: "t"}, {Name: "u"}}, pools...)
}

// specWithLicences returns the spec of the nth job. Each of its tasks needs the given units, by pool name.
func specWithLicences(n, tasks int, units map[string]int) *jobs.Spec {
	s := spec(n, tasks)
	s.Licences = units
	return s
}

// oneUnit returns the need for one licence unit of pool p.
func oneUnit() map[string]int { return map[string]int{"p": 1} }

// usedCPUs returns the number of processor cores that count toward the limit of a job's team.
func (g *rig) usedCPUs(job *jobs.Job) float64 { return g.Gate.Quota.Team(job.Team).Used.CPUs }

// heartbeatFromMachineOf sends a heartbeat without tasks from the machine of a task.
func (g *rig) heartbeatFromMachineOf(job *jobs.Job, taskIndex int) []Command {
	return g.heartbeat(g.machines[job.Tasks[taskIndex].Machine].Name, 1, fenced)
}

// submitGangOfTwo submits a gang of two tasks. Each needs one unit of pool p and three of a machine's four cores.
func (g *rig) submitGangOfTwo() *jobs.Job {
	spec := specWithLicences(1, 2, oneUnit())
	spec.Kind = jobs.Gang
	spec.CPUs = 3
	return g.submit(spec)
}

// freeUnits returns the number of free units of a pool.
func (g *rig) freeUnits(pool int32) int {
	return g.Gate.Licences.View(g.now, pool, func(int32) string { return "" }).Free
}

func taskReport(job *jobs.Job, taskIndex int, attempt uint64, state AttemptState, exitReason ExitCause) TaskReport {
	return TaskReport{Task: taskName(job, int32(taskIndex)), Attempt: attempt, State: state, ExitCause: exitReason}
}

// Tasks without a licence unit are neither planned nor counted as demand for machines, and they don't block a job that
// needs no licence. The next scheduling cycle uses a raised count.
func TestOnlyTasksWithLicenceUnitsArePlanned(t *testing.T) {
	pool := &licences.Pool{Name: "p", Count: 2}
	g := newLicenceRig(t, 1, map[string]json.RawMessage{}, pool)
	for i := range 3 {
		g.heartbeat(fmt.Sprintf("m%d", i), 1, fenced)
	}
	job := g.submit(specWithLicences(1, 6, oneUnit()))
	other := g.submit(spec(2, 4))
	g.settle(store.Committed)
	if job.TasksByState[jobs.Planned] != 2 || other.TasksByState[jobs.Planned] != 4 {
		t.Fatalf("%d planned tasks of the licensed job, want 2; %d of the other job, want 4",
			job.TasksByState[jobs.Planned], other.TasksByState[jobs.Planned])
	}
	if demand := g.Demand(g.now); len(demand) != 2 || demand[0].Tasks != 2 || demand[1].Tasks != 4 {
		t.Fatalf("demand %+v, want 2 tasks of the licensed job and 4 of the other job", demand)
	}
	startCount := 0
	for i := range 3 {
		startCount += len(starts(g.heartbeat(fmt.Sprintf("m%d", i), 1, fenced)))
	}
	g.settle(store.Committed)
	if startCount != 6 || g.freeUnits(0) != 0 || len(g.Demand(g.now)) != 0 {
		t.Fatalf("%d starts, want 6; %d free units, want 0; demand %+v, want none",
			startCount, g.freeUnits(0), g.Demand(g.now))
	}
	if denial, pool := g.LicenceDenial(job); denial != licences.NoFreeUnits || pool != 0 {
		t.Fatalf("denial %q in pool %d, want NoFreeUnits in pool 0", denial, pool)
	}
	pool.Count = 5
	g.settle(store.Committed)
	if job.TasksByState[jobs.Planned] != 3 {
		t.Fatalf("%d planned tasks after three units were added, want 3", job.TasksByState[jobs.Planned])
	}
}

// A leader fails after a plan is durable and before the launch. The next leader counts the task's licence unit as used
// until a heartbeat at its fencing token shows that the task is not on the machine.
func TestFailoverBetweenPlanAndLaunchKeepsUnit(t *testing.T) {
	kv := map[string]json.RawMessage{}
	g := newLicenceRig(t, 1, kv, &licences.Pool{Name: "p", Count: 1})
	g.heartbeat("m", 1, fenced)
	g.submit(specWithLicences(1, 1, oneUnit()))
	g.settle(store.Committed)

	n := newLicenceRig(t, 2, kv, &licences.Pool{Name: "p", Count: 1})
	n.heartbeat("spare", 1, 2*fenced)
	second := n.submit(specWithLicences(2, 1, oneUnit()))
	n.settle(store.Committed)
	if n.freeUnits(0) != 0 || second.TasksByState[jobs.Planned] != 0 {
		t.Fatalf("%d free units, %d planned tasks of the second job, want 0 and 0 while the first job may run",
			n.freeUnits(0), second.TasksByState[jobs.Planned])
	}
	if cs := starts(n.heartbeat("m", 1, 2*fenced)); len(cs) != 1 || n.freeUnits(0) != 0 {
		t.Fatalf("started %v, want the one planned task and no free unit", cs)
	}
}

// Units of tasks that crashed in an earlier term may be held for the pool's release timeout if no licence server can
// be queried. A new leader has no record of these tasks, so it grants no unit during that time.
func TestFailoverWaitsForUnknownLingeringUnits(t *testing.T) {
	n := newLicenceRig(t, 2, map[string]json.RawMessage{}, &licences.Pool{Name: "p", Count: 1, ReleaseTimeout: 8 * time.Second})
	n.heartbeat("m", 1, 2*fenced)
	job := n.submit(specWithLicences(1, 1, oneUnit()))
	n.settle(store.Committed)
	if job.TasksByState[jobs.Planned] != 0 {
		t.Fatal("the task is planned during the release timeout, although a crashed task may hold the unit")
	}
	n.now = 8 * time.Second
	n.heartbeat("m", 1, 2*fenced)
	n.settle(store.Committed)
	if job.TasksByState[jobs.Planned] != 1 {
		t.Fatal("the task is not planned after the release timeout")
	}
}

// If a machine does not report a task of the durable plan, the task may have run and crashed under the previous
// leader. Its unit is not free until the release timeout has passed.
func TestUnitOfMissingRecoveredTaskLingers(t *testing.T) {
	kv := map[string]json.RawMessage{}
	pool := func() *licences.Pool { return &licences.Pool{Name: "p", Count: 1, ReleaseTimeout: 8 * time.Second} }
	g := newLicenceRig(t, 1, kv, pool())
	g.now = 8 * time.Second
	g.heartbeat("m", 1, fenced)
	g.submit(specWithLicences(1, 1, oneUnit()))
	g.settle(store.Committed)

	n := newLicenceRig(t, 2, kv, pool())
	n.now = 9 * time.Second
	n.Tick(n.now, false)
	if cs := starts(n.heartbeat("m", 1, 2*fenced)); len(cs) != 0 || n.freeUnits(0) != 0 {
		t.Fatalf("started %v, want none; %d free units, want 0", cs, n.freeUnits(0))
	}
	n.now = 18 * time.Second
	n.settle(store.Committed)
	if cs := starts(n.heartbeat("m", 1, 2*fenced)); len(cs) != 1 {
		t.Fatalf("started %v after the release timeout, want one task", cs)
	}
}

// Free units are granted to the job with the highest priority. Planned tasks of other jobs that have not started
// become unplanned.
func TestPlansYieldUnitsToHigherPriority(t *testing.T) {
	g := newLicenceRig(t, 1, map[string]json.RawMessage{}, &licences.Pool{Name: "p", Count: 2})
	g.heartbeat("m", 1, fenced)
	low, high := specWithLicences(1, 2, oneUnit()), specWithLicences(2, 2, oneUnit())
	low.Priority, high.Priority = "best_effort", "prod"
	lowJob := g.submit(low)
	g.settle(store.Committed)
	highJob := g.submit(high)
	before := lowJob.TasksByState[jobs.Planned]
	g.settle(store.Committed)
	lowAfter, highAfter := lowJob.TasksByState[jobs.Planned], highJob.TasksByState[jobs.Planned]
	if before != 2 || lowAfter != 0 || highAfter != 2 {
		t.Fatalf("planned tasks of low priority: %d before and %d after, want 2 and 0; of high priority: %d, want 2",
			before, lowAfter, highAfter)
	}
}

// A launch in a heartbeat's response that is still in flight keeps its unit in use until the worker's next heartbeat,
// whatever the response to a direct request lists.
func TestLaunchInFlightKeepsUnit(t *testing.T) {
	g := newLicenceRig(t, 1, map[string]json.RawMessage{}, &licences.Pool{Name: "p", Count: 1})
	g.heartbeat("m", 1, fenced)
	job := g.submit(specWithLicences(1, 1, oneUnit()))
	g.settle(store.Committed)
	if commands := starts(g.heartbeat("m", 1, fenced)); len(commands) != 1 {
		t.Fatalf("got starts %v, want 1", commands)
	}
	g.cancel(job)
	for range 2 {
		if g.directResponse("m", 1, fenced); g.freeUnits(0) != 0 {
			t.Fatal("the unit is free while the launch may still arrive, want it in use")
		}
	}
	if g.heartbeat("m", 1, fenced); g.freeUnits(0) != 1 {
		t.Fatal("the unit is not free after the worker's next heartbeat")
	}
}

// A machine hangs right after a task was sent to it, its lease expires, and it returns with a new session. The process
// of the old session crashed while it held a unit, so the same attempt is not sent again.
func TestLaunchOfLostSessionIsNotRepeated(t *testing.T) {
	g := newLicenceRig(t, 1, map[string]json.RawMessage{}, &licences.Pool{Name: "p", Count: 1, ReleaseTimeout: 5 * time.Second})
	g.now = 6 * time.Second // after the release timeout of units from an earlier term
	g.heartbeat("m", 1, fenced)
	job := g.submit(specWithLicences(1, 1, oneUnit()))
	g.settle(store.Committed)
	cs := starts(g.heartbeat("m", 1, fenced))
	if len(cs) != 1 || job.Tasks[0].State != jobs.Launched {
		t.Fatalf("start commands %v, want one, and the task in state Launched", cs)
	}
	g.now += 21 * time.Second // longer than the worker lease
	if again := starts(g.heartbeat("m", 2, fenced)); len(again) != 0 || g.freeUnits(0) != 0 {
		t.Fatalf("start commands %v, want none; %d free units, want 0 while the old process may hold one",
			again, g.freeUnits(0))
	}
	g.now += 6 * time.Second
	g.settle(store.Committed)
	again := starts(g.heartbeat("m", 2, fenced))
	if len(again) != 1 || again[0].Attempt == cs[0].Attempt {
		t.Fatalf("start commands %v after the release timeout, want one with an attempt other than %d",
			again, cs[0].Attempt)
	}
}

// The tasks of a gang are launched machine by machine, seconds apart if some machines must fetch the image. The units
// and the share of the team's limit for later launches are reserved, so that no other job uses them.
func TestGangReservesAllUnitsAtOnce(t *testing.T) {
	teams := []config.Team{{Name: "t", CPUsMax: 6}}
	g := newRigOf(t, 1, map[string]json.RawMessage{}, teams, &licences.Pool{Name: "p", Count: 3})
	g.heartbeat("a", 1, fenced)
	g.heartbeat("b", 1, fenced)
	job := g.submitGangOfTwo()
	g.settle(store.Committed)
	if cs := starts(g.heartbeatFromMachineOf(job, 0)); len(cs) != 1 {
		t.Fatalf("start commands %v, want one for the first task of the gang", cs)
	}
	if used := g.usedCPUs(job); used != 6 || g.freeUnits(0) != 1 {
		t.Fatalf("the team uses %v CPUs, want 6; %d free units, want 1: the second task must be reserved",
			used, g.freeUnits(0))
	}
	if !g.Gate.Reserved(licenceRef(job, 1)) && !g.Gate.Reserved(licenceRef(job, 0)) {
		t.Fatal("neither task of the gang has a reservation")
	}
	if cs := starts(g.heartbeatFromMachineOf(job, 1)); len(cs) != 1 || g.usedCPUs(job) != 6 {
		t.Fatalf("start commands %v, want one for the second task, and 6 CPUs in use by the team", cs)
	}
	// The job ends before its second task was reported: all reserved and acquired resources are released.
	g.cancel(job)
	for i := range job.Tasks {
		g.heartbeatFromMachineOf(job, i)
	}
	g.settle(store.Committed)
	if used := g.usedCPUs(job); used != 0 || g.freeUnits(0) != 3 {
		t.Fatalf("after the end of the job the team uses %v CPUs, want 0; %d free units, want 3", used, g.freeUnits(0))
	}
}

// The reservation for a task of a gang is released when the gang loses its plan before the task is launched.
func TestReservedUnitsOfLostPlanAreReleased(t *testing.T) {
	g := newLicenceRig(t, 1, map[string]json.RawMessage{}, &licences.Pool{Name: "p", Count: 2})
	g.heartbeat("a", 1, fenced)
	g.heartbeat("b", 1, fenced)
	job := g.submitGangOfTwo()
	g.settle(store.Committed)
	first, second := g.machines[job.Tasks[0].Machine], g.machines[job.Tasks[1].Machine]
	attempt := starts(g.heartbeat(first.Name, 1, fenced))[0].Attempt
	g.HandleTerminated(g.now, second, "gone")
	g.settle(store.Committed)
	if used := g.usedCPUs(job); g.freeUnits(0) != 1 || used != 3 {
		t.Fatalf("%d free units, want 1; the team uses %v CPUs, want 3", g.freeUnits(0), used)
	}
	g.heartbeat(first.Name, 1, fenced, taskReport(job, 0, attempt, taskExited, exitAlone))
	if g.freeUnits(0) != 2 {
		t.Fatalf("%d free units after the exit of the first task, want 2", g.freeUnits(0))
	}
}

// startHolders starts a job of n tasks, each of which holds a unit of pool p. It returns the job and the task reports
// by machine.
func startHolders(t *testing.T, g *rig, n int) (*jobs.Job, map[string][]TaskReport) {
	t.Helper()
	reports := map[string][]TaskReport{}
	for i := range n {
		g.heartbeat(fmt.Sprintf("m%d", i), 1, fenced)
	}
	spec := specWithLicences(1, n, oneUnit())
	spec.CPUs, spec.EstimateS, spec.Priority = 4, 1000, "best_effort"
	job := g.submit(spec)
	g.settle(store.Committed)
	for i := range n {
		machine := fmt.Sprintf("m%d", i)
		for _, start := range starts(g.heartbeat(machine, 1, fenced)) {
			report := TaskReport{Task: start.Task, Attempt: start.Attempt, State: taskRunning}
			reports[machine] = append(reports[machine], report)
		}
		g.now += time.Second // later tasks lose less work if they are stopped
		g.heartbeat(machine, 1, fenced, reports[machine]...)
	}
	if job.RunningTasks != n {
		t.Fatalf("%d running tasks, want %d", job.RunningTasks, n)
	}
	return job, reports
}

// stoppingTasks returns the tasks of a job that are being stopped.
func stoppingTasks(job *jobs.Job) (stopping []int) {
	for i := range job.Tasks {
		if job.Tasks[i].Stopping {
			stopping = append(stopping, i)
		}
	}
	return stopping
}

// The count of a pool is lowered below the number of units in use. Depending on the pool's setting, either no task is
// stopped, or as few tasks as possible are stopped, those with the least lost work first.
func TestLoweredCountPreemptsHoldersIfConfigured(t *testing.T) {
	pool := &licences.Pool{Name: "p", Count: 5, OnCountLowered: licences.WaitForRelease}
	g := newLicenceRig(t, 1, map[string]json.RawMessage{}, pool)
	job, _ := startHolders(t, g, 5)
	pool.Count = 3
	g.settle(store.Committed)
	if stopping := stoppingTasks(job); stopping != nil {
		t.Fatalf("tasks %v are being stopped, want none with the setting WaitForRelease", stopping)
	}
	pool.OnCountLowered = licences.PreemptHolders
	g.settle(store.Committed)
	stopping := stoppingTasks(job)
	if len(stopping) != 2 {
		t.Fatalf("tasks %v are being stopped, want two", stopping)
	}
	for i := range job.Tasks {
		for _, stopped := range stopping {
			if !job.Tasks[i].Stopping && job.Tasks[i].RunningSince > job.Tasks[stopped].RunningSince {
				t.Fatalf("task %d is being stopped although task %d would lose less work", stopped, i)
			}
		}
	}
}

// If all units are in use, holders are stopped for a job that may preempt others: after a delay, once, and no more
// holders than necessary. The same applies to a job within its team's guaranteed units.
func TestLicenceHoldersArePreempted(t *testing.T) {
	for _, guaranteed := range []bool{false, true} {
		pool := &licences.Pool{Name: "p", Count: 4, Teams: map[string]licences.TeamQuota{"u": {Guarantee: 2}}}
		g := newLicenceRig(t, 1, map[string]json.RawMessage{}, pool)
		job, reports := startHolders(t, g, 4)
		g.heartbeat("spare", 1, fenced)
		spec := specWithLicences(2, 2, oneUnit())
		spec.Kind, spec.Priority = jobs.Gang, "prod"
		if guaranteed {
			spec.Priority, spec.Team = "best_effort", "u"
		}
		deadline := 10.0
		spec.DeadlineS, spec.EstimateS = &deadline, 2
		raw := jobs.EncodeRecord(jobs.Pending, g.now.Milliseconds(), spec.Tasks, spec)
		g.applyRecord(jobs.RecordKey(spec.ID), raw)
		g.settle(store.Committed)
		if stopping := stoppingTasks(job); stopping != nil && g.now < 4*time.Second+preemptionDelay {
			t.Fatalf("tasks %v are being stopped before the preemption delay, want none", stopping)
		}
		g.now += preemptionDelay
		g.settle(store.Committed)
		stopping := stoppingTasks(job)
		if len(stopping) != 2 {
			t.Fatalf("guaranteed %v: tasks %v are being stopped, want two", guaranteed, stopping)
		}
		for machine, tasks := range reports {
			for i := range tasks {
				if _, taskIndex := g.findTask(tasks[i].Task); job.Tasks[taskIndex].Stopping {
					tasks[i].State = taskExited
					tasks[i].ExitCause = exitStopped
				}
			}
			g.heartbeat(machine, 1, fenced, tasks...)
		}
		g.settle(store.Committed)
		gang := g.Jobs.Get("req-000002")
		gangPlanned, victimsPlanned := gang.TasksByState[jobs.Planned], job.TasksByState[jobs.Planned]
		if gangPlanned+gang.TasksOnMachines() != 2 || victimsPlanned != 0 {
			t.Fatalf("guaranteed %v: the gang has %d planned tasks, want 2 less those on machines; its victims %d, want 0",
				guaranteed, gangPlanned, victimsPlanned)
		}
	}
}

// BenchmarkLicenceCycle measures a scheduling cycle with 200 jobs that need licences. 20 of them hold units.
func BenchmarkLicenceCycle(b *testing.B) {
	pools := []*licences.Pool{{Name: "p", Count: 400}, {Name: "q", Count: 100}}
	g := newLicenceRig(b, 1, map[string]json.RawMessage{}, pools...)
	for i := range 200 {
		g.heartbeat(fmt.Sprintf("m%03d", i), 1, fenced)
	}
	for i := range 200 {
		g.submit(specWithLicences(i+1, 50, map[string]int{"p": 1, "q": 1}))
	}
	g.settle(store.Committed)
	b.ReportAllocs()
	for b.Loop() {
		g.now += 100 * time.Millisecond
		g.schedule(g.now)
	}
}
