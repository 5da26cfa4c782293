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

// specWithLicences returns the spec of the nth job, each of whose tasks needs the given units of some pools.
func specWithLicences(n, tasks int, units map[string]int) *jobs.Spec {
	s := spec(n, tasks)
	s.Licences = units
	return s
}

// oneUnit is one licence unit of pool p.
func oneUnit() map[string]int { return map[string]int{"p": 1} }

// usedCPUs returns how many processor cores the team of a job uses.
func (g *rig) usedCPUs(job *jobs.Job) float64 { return g.Gate.Quota.Team(job.Team).Used.CPUs }

// hearMachineOf sends a heartbeat without tasks from the machine of a task.
func (g *rig) hearMachineOf(job *jobs.Job, taskIndex int) []Command {
	return g.heartbeat(g.machines[job.Tasks[taskIndex].Machine].Name, 1, fenced)
}

// submitGangOfTwo submits a gang of two tasks, each of which needs one unit and most of a machine.
func (g *rig) submitGangOfTwo() *jobs.Job {
	spec := specWithLicences(1, 2, oneUnit())
	spec.Kind = jobs.Gang
	spec.CPUs = 3
	return g.submit(spec)
}

// freeUnits returns how many units of a pool are free.
func (g *rig) freeUnits(pool int32) int {
	return g.Gate.Licences.View(g.now, pool, func(int32) string { return "" }).Free
}

func taskReport(job *jobs.Job, taskIndex int, attempt uint64, state AttemptState, exitReason ExitCause) TaskReport {
	return TaskReport{Task: taskName(job, int32(taskIndex)), Attempt: attempt, State: state, ExitCause: exitReason}
}

// Tasks without a licence unit are neither planned nor part of the demand for machines, and don't keep work that
// needs none from starting. A raised count is used in the next scheduling cycle.
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
		t.Fatalf("%d planned with two units, %d without",
			job.TasksByState[jobs.Planned], other.TasksByState[jobs.Planned])
	}
	if d := g.Demand(g.now); len(d) != 2 || d[0].Tasks != 2 || d[1].Tasks != 4 {
		t.Fatalf("demand %+v", d)
	}
	n := 0
	for i := range 3 {
		n += len(starts(g.heartbeat(fmt.Sprintf("m%d", i), 1, fenced)))
	}
	g.settle(store.Committed)
	if n != 6 || g.freeUnits(0) != 0 || len(g.Demand(g.now)) != 0 {
		t.Fatalf("%d starts, %d units free, demand %+v", n, g.freeUnits(0), g.Demand(g.now))
	}
	if denial, pool := g.LicenceDenial(job); denial != licences.NoFreeUnits || pool != 0 {
		t.Fatalf("denied %q in %d", denial, pool)
	}
	pool.Count = 5
	g.settle(store.Committed)
	if job.TasksByState[jobs.Planned] != 3 {
		t.Fatalf("%d planned with three more units", job.TasksByState[jobs.Planned])
	}
}

// A leader fails between the durable plan and the launch. The next one counts the task's licence unit until a
// heartbeat at its fencing token shows that the task is not there.
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
		t.Fatalf("%d free, %d planned, while the first may run", n.freeUnits(0), second.TasksByState[jobs.Planned])
	}
	if cs := starts(n.heartbeat("m", 1, 2*fenced)); len(cs) != 1 || n.freeUnits(0) != 0 {
		t.Fatalf("started %v, want the planned task, with the only unit", cs)
	}
}

// Units of crashed tasks of an earlier term, unknown to a new leader, may linger where no server can be asked: for
// that long it grants none.
func TestFailoverWaitsForUnknownLingeringUnits(t *testing.T) {
	n := newLicenceRig(t, 2, map[string]json.RawMessage{}, &licences.Pool{Name: "p", Count: 1, ReleaseTimeout: 8 * time.Second})
	n.heartbeat("m", 1, 2*fenced)
	job := n.submit(specWithLicences(1, 1, oneUnit()))
	n.settle(store.Committed)
	if job.TasksByState[jobs.Planned] != 0 {
		t.Fatal("a unit was granted that a crashed task of the term before may hold")
	}
	n.now = 8 * time.Second
	n.heartbeat("m", 1, 2*fenced)
	n.settle(store.Committed)
	if job.TasksByState[jobs.Planned] != 1 {
		t.Fatal("no unit after the linger")
	}
}

// A task of the durable plan that its machine doesn't have may have run and crashed under the leader before: its unit
// may linger.
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
		t.Fatalf("started %v, %d free", cs, n.freeUnits(0))
	}
	n.now = 18 * time.Second
	n.settle(store.Committed)
	if cs := starts(n.heartbeat("m", 1, 2*fenced)); len(cs) != 1 {
		t.Fatalf("started %v after the linger", cs)
	}
}

// The next unit goes to the job of highest priority: tasks that are planned and not started lose their plan.
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
		t.Fatalf("planned %d, then %d beside %d of higher priority", before, lowAfter, highAfter)
	}
}

// A direct launch without a response may arrive late: its unit is taken until a heartbeat carries a raised fencing
// token.
func TestIndeterminateLaunchKeepsUnit(t *testing.T) {
	g := newLicenceRig(t, 1, map[string]json.RawMessage{}, &licences.Pool{Name: "p", Count: 1})
	g.heartbeat("m", 1, fenced)
	job := g.submit(specWithLicences(1, 1, oneUnit()))
	g.settle(store.Committed)
	g.keepInContact()
	g.Tick(g.now, true)
	g.directCallbacks[0](nil, false)
	g.cancel(job)
	for _, token := range []uint64{fenced, fenced} {
		if g.heartbeat("m", 1, token); g.freeUnits(0) != 0 {
			t.Fatal("the unit is free while the launch may arrive")
		}
	}
	if g.heartbeat("m", 1, fenced+1); g.freeUnits(0) != 1 {
		t.Fatal("the unit is lost for good")
	}
}

// A machine hangs with a task that it was just sent, its lease expires, and it comes back in a new session: the
// process of the old one crashed with its unit, so the same attempt is not sent again.
func TestLaunchOfLostSessionIsNotRepeated(t *testing.T) {
	g := newLicenceRig(t, 1, map[string]json.RawMessage{}, &licences.Pool{Name: "p", Count: 1, ReleaseTimeout: 5 * time.Second})
	g.now = 6 * time.Second // past the lingering units of an earlier term
	g.heartbeat("m", 1, fenced)
	job := g.submit(specWithLicences(1, 1, oneUnit()))
	g.settle(store.Committed)
	cs := starts(g.heartbeat("m", 1, fenced))
	if len(cs) != 1 || job.Tasks[0].State != jobs.Launched {
		t.Fatalf("commands %v", cs)
	}
	g.now += 21 * time.Second // its lease
	if again := starts(g.heartbeat("m", 2, fenced)); len(again) != 0 || g.freeUnits(0) != 0 {
		t.Fatalf("sent %v again, %d units free while the old process may hold one", again, g.freeUnits(0))
	}
	g.now += 6 * time.Second
	g.settle(store.Committed)
	again := starts(g.heartbeat("m", 2, fenced))
	if len(again) != 1 || again[0].Attempt == cs[0].Attempt {
		t.Fatalf("commands %v after the linger, the first attempt was %d", again, cs[0].Attempt)
	}
}

// A gang is launched machine by machine, seconds apart where images differ: no other job takes the units and the room
// under its team's limit that the later launches need.
func TestGangReservesAllUnitsAtOnce(t *testing.T) {
	teams := []config.Team{{Name: "t", CPUsMax: 6}}
	g := newRigOf(t, 1, map[string]json.RawMessage{}, teams, &licences.Pool{Name: "p", Count: 3})
	g.heartbeat("a", 1, fenced)
	g.heartbeat("b", 1, fenced)
	job := g.submitGangOfTwo()
	g.settle(store.Committed)
	if cs := starts(g.hearMachineOf(job, 0)); len(cs) != 1 {
		t.Fatalf("commands %v, want the first of the gang", cs)
	}
	if used := g.usedCPUs(job); used != 6 || g.freeUnits(0) != 1 {
		t.Fatalf("the team uses %v CPUs, %d units are free: the second task is not reserved", used, g.freeUnits(0))
	}
	if !g.Gate.Reserved(licenceRef(job, 1)) && !g.Gate.Reserved(licenceRef(job, 0)) {
		t.Fatal("nothing is reserved")
	}
	if cs := starts(g.hearMachineOf(job, 1)); len(cs) != 1 || g.usedCPUs(job) != 6 {
		t.Fatalf("commands %v, want the second", cs)
	}
	// It ends before the other was reported: all that is reserved or acquired is released.
	g.cancel(job)
	for i := range job.Tasks {
		g.hearMachineOf(job, i)
	}
	g.settle(store.Committed)
	if used := g.usedCPUs(job); used != 0 || g.freeUnits(0) != 3 {
		t.Fatalf("the team uses %v CPUs, %d units are free after its end", used, g.freeUnits(0))
	}
}

// What is reserved for a gang's task is released when the gang loses its plan before the launch.
func TestReservedUnitsOfLostPlanAreReleased(t *testing.T) {
	g := newLicenceRig(t, 1, map[string]json.RawMessage{}, &licences.Pool{Name: "p", Count: 2})
	g.heartbeat("a", 1, fenced)
	g.heartbeat("b", 1, fenced)
	job := g.submitGangOfTwo()
	g.settle(store.Committed)
	first, second := g.machines[job.Tasks[0].Machine], g.machines[job.Tasks[1].Machine]
	attempt := starts(g.heartbeat(first.Name, 1, fenced))[0].Attempt
	g.HandleReturned(g.now, second, "gone")
	g.settle(store.Committed)
	if used := g.usedCPUs(job); g.freeUnits(0) != 1 || used != 3 {
		t.Fatalf("%d free, the team uses %v", g.freeUnits(0), used)
	}
	g.heartbeat(first.Name, 1, fenced, taskReport(job, 0, attempt, taskExited, exitAlone))
	if g.freeUnits(0) != 2 {
		t.Fatalf("%d free", g.freeUnits(0))
	}
}

// startHolders starts a job of n tasks, each of which holds a unit of pool p. It returns the job and what each
// machine reports.
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
		g.now += time.Second // later tasks have less work to lose
		g.heartbeat(machine, 1, fenced, reports[machine]...)
	}
	if job.RunningTasks != n {
		t.Fatalf("%d of %d run", job.RunningTasks, n)
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

// The count falls below what is in use. As its operators chose, nothing is stopped, or the tasks with the least work
// to lose are, as many as it takes and no more.
func TestLoweredCountStopsTasksIfChosen(t *testing.T) {
	pool := &licences.Pool{Name: "p", Count: 5, OnCountLowered: licences.WaitForRelease}
	g := newLicenceRig(t, 1, map[string]json.RawMessage{}, pool)
	job, _ := startHolders(t, g, 5)
	pool.Count = 3
	g.settle(store.Committed)
	if stopping := stoppingTasks(job); stopping != nil {
		t.Fatalf("tasks %v are stopped, and the operators want to wait", stopping)
	}
	pool.OnCountLowered = licences.PreemptHolders
	g.settle(store.Committed)
	stopping := stoppingTasks(job)
	if len(stopping) != 2 {
		t.Fatalf("tasks %v are stopped, want two", stopping)
	}
	for i := range job.Tasks {
		for _, stopped := range stopping {
			if !job.Tasks[i].Stopping && job.Tasks[i].RunningSince > job.Tasks[stopped].RunningSince {
				t.Fatalf("task %d was stopped, and %d had less to lose", stopped, i)
			}
		}
	}
}

// When all units are taken, holders are stopped for a job that may preempt others: after a delay, once, and no more
// than it needs. The same goes for a job within its team's guaranteed units.
func TestUnitsArePreempted(t *testing.T) {
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
			t.Fatalf("tasks %v are stopped at once", stopping)
		}
		g.now += preemptionDelay
		g.settle(store.Committed)
		stopping := stoppingTasks(job)
		if len(stopping) != 2 {
			t.Fatalf("guaranteed %v: tasks %v are stopped, want two", guaranteed, stopping)
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
			t.Fatalf("guaranteed %v: the gang has %d planned, its victims %d", guaranteed, gangPlanned, victimsPlanned)
		}
	}
}

// BenchmarkLicenceCycle is a scheduling cycle with 200 jobs that need licences, 20 of which hold units.
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
