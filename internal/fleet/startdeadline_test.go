package fleet

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// submitRandomJobs submits up to 12 jobs of random kinds, priorities, teams and ages. About a third of them have
// started.
func submitRandomJobs(g *rig, rng *rand.Rand) {
	g.t.Helper()
	for i := range 1 + rng.IntN(12) {
		s := spec(i+1, 1+rng.IntN(6))
		s.Kind = []jobs.Kind{jobs.Array, jobs.Gang, jobs.Service}[rng.IntN(3)]
		s.Priority = []string{"prod", "urgent", "standard", "best_effort"}[rng.IntN(4)]
		s.Team = []string{"t", "u"}[rng.IntN(2)]
		job := g.submit(s)
		job.SubmittedAt = time.Duration(rng.IntN(300)) * time.Second
		job.Started = rng.IntN(3) == 0
	}
}

// promoteOverdueModel returns ranked with the jobs promoted that have not started and are older than age. It is a
// slow, simple reference implementation of promoteOverdueJobs.
func promoteOverdueModel(g *rig, ranked []*jobs.Job, now, age time.Duration) []*jobs.Job {
	var promoted []*jobs.Job
	overdue := func(job *jobs.Job) bool { return !job.Started && now-job.SubmittedAt > age }
	isGang := func(job *jobs.Job) bool { return job.Spec.Kind == jobs.Gang }
	appendAccepted := func(oldestFirst bool, accept func(*jobs.Job) bool) {
		var accepted []*jobs.Job
		for _, job := range ranked {
			if accept(job) {
				accepted = append(accepted, job)
			}
		}
		if oldestFirst {
			slices.SortStableFunc(accepted, func(a, b *jobs.Job) int {
				return int((a.SubmittedAt - b.SubmittedAt) / time.Second)
			})
		}
		promoted = append(promoted, accepted...)
	}
	appendAccepted(true, func(job *jobs.Job) bool { return overdue(job) && !isGang(job) })
	for _, within := range []bool{true, false} {
		appendAccepted(true, func(job *jobs.Job) bool {
			return overdue(job) && isGang(job) && g.ranking.withinGuarantee[job.Index] == within
		})
		appendAccepted(false, func(job *jobs.Job) bool {
			return !overdue(job) && g.ranking.withinGuarantee[job.Index] == within
		})
	}
	return promoted
}

// The priority order equals that of a reference implementation: jobs with overdue starts are promoted, and all other
// jobs, including those that have started, keep their order among themselves.
func TestOverdueStartsArePromoted(t *testing.T) {
	rng := rand.New(rand.NewPCG(4, 4))
	moved := 0
	for range 300 {
		g := newRigOf(t, 1, map[string]json.RawMessage{}, []config.Team{{Name: "t", CPUs: 8}, {Name: "u"}})
		submitRandomJobs(g, rng)
		now := 300 * time.Second
		g.Settings.Operator.StartDeadlineS = 0
		g.RankJobs(now)
		unpromoted := slices.Clone(g.ranking.jobs)
		g.Settings.Operator.StartDeadlineS = 240
		g.RankJobs(now)
		want := promoteOverdueModel(g, unpromoted, now, 120*time.Second)
		if !slices.Equal(g.ranking.jobs, want) {
			t.Fatal("the priority order differs from that of the reference implementation")
		}
		if !slices.Equal(unpromoted, want) {
			moved++
		}
	}
	if moved < 100 {
		t.Fatalf("the promotion changed %d of 300 orders, want at least 100", moved)
	}
}

// contention is a scenario with a constant stream of small gangs that exceeds the capacity of the machines. All small
// gangs can still meet an objective. A gang that needs all machines at once and an array of the lowest priority wait
// at the same time.
type contention struct {
	*rig
	rng      *rand.Rand
	machines []string
	reports  map[string][]TaskReport  // reported tasks by machine
	endsAt   map[string]time.Duration // end of each task by task name
	gang     *jobs.Job
	array    *jobs.Job
	// gangWait and arrayWait are the times from submission to the first start of gang and array; 0: not started.
	gangWait  time.Duration
	arrayWait time.Duration
	explained bool // the pending reason of gang has named the reservations and the promotion
}

func newContention(t *testing.T, beginS float64) *contention {
	t.Helper()
	g := newRigOf(t, 1, map[string]json.RawMessage{}, []config.Team{{Name: "t"}, {Name: "guest"}})
	g.Settings.Operator.StartDeadlineS = beginS
	g.Settings.Params.Objectives = []config.Objective{{Kind: "wait", Class: "c", WithinS: 30}}
	return &contention{
		rig:      g,
		rng:      rand.New(rand.NewPCG(1, 2)),
		machines: []string{"m1", "m2", "m3", "m4"},
		reports:  map[string][]TaskReport{},
		endsAt:   map[string]time.Duration{},
	}
}

// run simulates 400 s of the scenario.
func (c *contention) run() {
	c.t.Helper()
	for step := 0; c.now < 400*time.Second; step++ {
		c.now += 700 * time.Millisecond // settleFor adds another 300 ms
		if step%3 == 0 {
			c.submitSmallGang(step)
		}
		if step == 40 {
			c.submitWaitingJobs()
		}
		for _, machine := range c.machines {
			c.heartbeat(machine)
		}
		c.settleFor(3, store.Committed)
		if c.gang != nil {
			c.observe()
		}
	}
}

func (c *contention) submitNow(s *jobs.Spec) *jobs.Job {
	job := c.submit(s)
	job.SubmittedAt = c.now
	return job
}

func (c *contention) submitSmallGang(step int) {
	s := spec(100+step, 1)
	s.Kind = jobs.Gang
	s.CPUs = 3
	s.EstimateS = 14
	c.submitNow(s)
}

func (c *contention) submitWaitingJobs() {
	c.gang = c.submitNow(fourMachineGangSpec())
	s := spec(2, 50)
	s.Team = "guest"
	s.Priority = "best_effort"
	s.EstimateS = 5
	s.Class = "idle"
	s.CPUs = 2
	c.array = c.submitNow(s)
}

// heartbeat ends the tasks of a machine that have reached their end, reports all its tasks, and executes the start and
// forget commands of the response.
func (c *contention) heartbeat(machine string) {
	c.t.Helper()
	reports := c.reports[machine]
	for i := range reports {
		if report := &reports[i]; c.now >= c.endsAt[report.Task] && report.State == taskRunning {
			report.State = taskExited
			report.ExitCause = exitDone
		}
	}
	for _, command := range c.heartbeatOfType(machine, "ty", false, reports...) {
		switch command.Op {
		case opStart:
			reports = append(reports, TaskReport{Task: command.Task, Attempt: command.Attempt, State: taskRunning})
			c.endsAt[command.Task] = c.now + time.Duration(10+c.rng.IntN(8))*time.Second
		case opForget:
			reports = slices.DeleteFunc(reports, func(report TaskReport) bool { return report.Task == command.Task })
		}
	}
	c.reports[machine] = reports
}

// observe records the first starts of gang and array, and whether the pending reason of gang explains its promotion
// once its start is overdue.
func (c *contention) observe() {
	age := c.now - c.gang.SubmittedAt
	if !c.gang.Started && c.Settings.Operator.StartDeadlineS > 0 && age > 125*time.Second {
		reasons := c.PendingReasons(c.now, c.gang)
		c.explained = c.explained || len(reasons) == 1 &&
			reasons[0].Cause == GangLacksRoom &&
			strings.Contains(reasons[0].Text, "reserved for it") &&
			strings.Contains(reasons[0].Text, "ranks first")
	}
	if c.gang.Started && c.gangWait == 0 {
		c.gangWait = age
	}
	if c.array.Started && c.arrayWait == 0 {
		c.arrayWait = c.now - c.array.SubmittedAt
	}
}

// There is a constant stream of small gangs that can still meet an objective. A gang that needs all machines at once,
// and has missed its objective, starts within the start deadline, and so does an array of the lowest priority. Without
// the promotion of overdue starts at least one of them does not.
func TestOverdueGangAndArrayStartWithinDeadline(t *testing.T) {
	const limit = 240 * time.Second
	promoted := newContention(t, limit.Seconds())
	promoted.run()
	t.Logf("with promotion the gang waited %v, the array %v (0: never started)", promoted.gangWait, promoted.arrayWait)
	if !promoted.explained {
		t.Error("the gang's pending reason doesn't name its reserved machines and its promotion")
	}
	gangInTime := promoted.gangWait > 0 && promoted.gangWait <= limit
	arrayInTime := promoted.arrayWait > 0 && promoted.arrayWait <= limit
	if !gangInTime || !arrayInTime {
		t.Errorf("the gang waited %v, the array %v (0: never started), want at most 4m0s",
			promoted.gangWait, promoted.arrayWait)
	}
	unpromoted := newContention(t, 0)
	unpromoted.run()
	t.Logf("without promotion the gang waited %v, the array %v (0: never started)",
		unpromoted.gangWait, unpromoted.arrayWait)
	gangInTime = unpromoted.gangWait > 0 && unpromoted.gangWait < limit
	arrayInTime = unpromoted.arrayWait > 0 && unpromoted.arrayWait < limit
	if gangInTime && arrayInTime {
		t.Errorf("without promotion the gang waited %v and the array %v, want one of them not to start within 4m0s",
			unpromoted.gangWait, unpromoted.arrayWait)
	}
}

// All machines have accelerators, and other jobs always wait for accelerators. A job without accelerators still
// starts, either because its start is overdue or because starving jobs ignore the accelerator reserve. Without both
// rules it never starts.
func TestJobsWithoutAcceleratorsStartOnAcceleratorMachines(t *testing.T) {
	for _, c := range []struct {
		name    string
		beginS  float64
		starves bool
		want    bool // whether the job starts
	}{
		{name: "overdue", beginS: 240, want: true},
		{name: "starving", starves: true, want: true},
		{name: "neither"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newMixedRig(t)
			g.Settings.Operator.StartDeadlineS = c.beginS
			running := map[string][]TaskReport{}
			g.heartbeatOfType("g1", "gpu", false)
			for n, cpus := range []float64{5, 6} { // the larger tasks wait forever, and the reserve for them leaves no cores
				s := spec(10+n, 2)
				s.GPUs = 1
				s.CPUs = cpus
				s.EstimateS = 1000
				g.submit(s)
				g.settleFor(3, store.Committed)
				g.startTasks("g1", "gpu", running)
			}
			s := spec(2, 5)
			s.Priority = "best_effort"
			s.Class = "idle"
			job := g.submit(s)
			for range 160 {
				g.now += time.Second
				if !c.starves {
					job.StartableSince = 0
				}
				g.startTasks("g1", "gpu", running)
				g.settleFor(3, store.Committed)
				if c.starves && !job.Started && g.now-job.SubmittedAt > 90*time.Second {
					t.Error("the job has not started 90 s after its submission")
					break
				}
			}
			if job.Started != c.want {
				t.Errorf("job started: %v, want %v", job.Started, c.want)
			}
		})
	}
}

// A single task that waits for accelerators, while most accelerators are idle, doesn't reserve the cores of all
// machines. Of 20 idle machines, some are reserved for the task and for future work, and the others run tasks without
// accelerators.
func TestOneWaitingGPUTaskReservesFewMachines(t *testing.T) {
	g := newMixedRig(t)
	names := make([]string, 20)
	for i := range names {
		names[i] = fmt.Sprintf("g%02d", i)
		g.heartbeatOfType(names[i], "gpu", false)
	}
	elsewhere := "y" // a zone without machines
	waiting := spec(1, 1)
	waiting.GPUs = 2
	waiting.CPUs = 12
	waiting.Zone = &elsewhere
	g.submit(waiting)
	small := spec(2, 200)
	small.Priority = "best_effort"
	small.Class = "idle"
	small.CPUs = 4
	job := g.submit(small)
	running := map[string][]TaskReport{}
	for range 6 {
		g.settleFor(3, store.Committed)
		for _, name := range names {
			g.startTasks(name, "gpu", running)
		}
	}
	used := 0
	for _, name := range names {
		if len(running[name]) > 0 {
			used++
		}
	}
	if used < 10 || used > 17 || job.TasksOnMachines() < 30 {
		t.Errorf("%d machines are used by %d tasks, want 10 to 17 of 20 machines and at least 30 tasks",
			used, job.TasksOnMachines())
	}
}

// fourMachineGangSpec returns the spec of a gang that takes four whole machines.
func fourMachineGangSpec() *jobs.Spec {
	s := spec(1, 4)
	s.Kind = jobs.Gang
	s.CPUs = 4
	s.EstimateS = 20
	s.Class = "big"
	return s
}
