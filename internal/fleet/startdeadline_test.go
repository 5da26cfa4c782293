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

// submitRandomJobs submits up to a dozen jobs of all kinds, priorities and ages, of which a third have started.
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

// promoteOverdueModel is a slow, plain model of the promotion of jobs that have not started and are older than an
// age.
func promoteOverdueModel(g *rig, ranked []*jobs.Job, now, age time.Duration) []*jobs.Job {
	var promoted []*jobs.Job
	overdue := func(job *jobs.Job) bool { return !job.Started && now-job.SubmittedAt > age }
	isGang := func(job *jobs.Job) bool { return job.Spec.Kind == jobs.Gang }
	take := func(oldestFirst bool, accept func(*jobs.Job) bool) {
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
	take(true, func(job *jobs.Job) bool { return overdue(job) && !isGang(job) })
	for _, within := range []bool{true, false} {
		take(true, func(job *jobs.Job) bool {
			return overdue(job) && isGang(job) && g.ranking.withinGuarantee[job.Index] == within
		})
		take(false, func(job *jobs.Job) bool {
			return !overdue(job) && g.ranking.withinGuarantee[job.Index] == within
		})
	}
	return promoted
}

// The priority order is that of a plain model: jobs with overdue starts are moved forward, all others keep the
// order that they have without the rule, and no job that has started is moved.
func TestOverdueStartsGoFirst(t *testing.T) {
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
			t.Fatal("the priority order differs from the model's")
		}
		if !slices.Equal(unpromoted, want) {
			moved++
		}
	}
	if moved < 100 {
		t.Fatalf("only %d orders differ", moved)
	}
}

// contention is a constant stream of small gangs, more than the machines can run, that can all still meet an
// objective. Beside them a gang that needs all machines at once and an array of the lowest priority wait.
type contention struct {
	*rig
	rng      *rand.Rand
	machines []string
	reports  map[string][]TaskReport  // by machine
	endsAt   map[string]time.Duration // by task
	gang     *jobs.Job
	array    *jobs.Job
	// gangAfter and arrayAfter are how long the two waited for their first start, 0 until then.
	gangAfter  time.Duration
	arrayAfter time.Duration
	explained  bool // the gang's pending reason names the reservations and the promotion
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

// run runs 400 s of it.
func (c *contention) run() {
	c.t.Helper()
	for step := 0; c.now < 400*time.Second; step++ {
		c.now += 700 * time.Millisecond // and 300 more while writes settle
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
	c.gang = c.submitNow(gang4())
	s := spec(2, 50)
	s.Team = "guest"
	s.Priority = "best_effort"
	s.EstimateS = 5
	s.Class = "idle"
	s.CPUs = 2
	c.array = c.submitNow(s)
}

// heartbeat reports a machine's tasks, which end when their time has come, and starts and forgets tasks as commanded.
func (c *contention) heartbeat(machine string) {
	c.t.Helper()
	reports := c.reports[machine]
	for i := range reports {
		if report := &reports[i]; c.now >= c.endsAt[report.Task] && report.State == taskRunning {
			report.State = taskExited
			report.ExitCause = exitDone
		}
	}
	for _, command := range c.see(machine, "ty", false, reports...) {
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

// observe records first starts, and whether the gang's pending reason explains its promotion once its start is
// overdue.
func (c *contention) observe() {
	age := c.now - c.gang.SubmittedAt
	if !c.gang.Started && c.Settings.Operator.StartDeadlineS > 0 && age > 125*time.Second {
		reasons := c.PendingReasons(c.now, c.gang)
		c.explained = c.explained || len(reasons) == 1 &&
			reasons[0].Cause == GangShort &&
			strings.Contains(reasons[0].Text, "reserved for it") &&
			strings.Contains(reasons[0].Text, "ranks first")
	}
	if c.gang.Started && c.gangAfter == 0 {
		c.gangAfter = age
	}
	if c.array.Started && c.arrayAfter == 0 {
		c.arrayAfter = c.now - c.array.SubmittedAt
	}
}

// Under a constant stream of small gangs that can still meet an objective, a gang that needs all machines at once,
// and has missed its own, starts within the time. So does an array of the lowest priority. Without the rule not
// both do.
func TestLargestGangStartsInTime(t *testing.T) {
	const limit = 240 * time.Second
	promoted := newContention(t, limit.Seconds())
	promoted.run()
	t.Logf("with the rule the gang starts after %v, the array after %v", promoted.gangAfter, promoted.arrayAfter)
	if !promoted.explained {
		t.Error("the gang's pending reason doesn't name the machines that are kept for it")
	}
	gangInTime := promoted.gangAfter > 0 && promoted.gangAfter <= limit
	arrayInTime := promoted.arrayAfter > 0 && promoted.arrayAfter <= limit
	if !gangInTime || !arrayInTime {
		t.Errorf("the gang starts after %v, the array after %v", promoted.gangAfter, promoted.arrayAfter)
	}
	plain := newContention(t, 0)
	plain.run()
	t.Logf("without the rule after %v and %v (0: never)", plain.gangAfter, plain.arrayAfter)
	gangInTime = plain.gangAfter > 0 && plain.gangAfter < limit
	arrayInTime = plain.arrayAfter > 0 && plain.arrayAfter < limit
	if gangInTime && arrayInTime {
		t.Errorf("without the rule they start too, after %v and %v: the test shows nothing",
			plain.gangAfter, plain.arrayAfter)
	}
}

// Jobs without accelerators start on machines that all have them, although other work always waits for those:
// either because their start is overdue, or because nothing is kept from starving jobs. Without both rules they
// never start.
func TestJobsWithoutAcceleratorsStartBesideThem(t *testing.T) {
	for _, c := range []struct {
		name    string
		beginS  float64
		starves bool
		want    bool // to have started
	}{
		{name: "overdue", beginS: 240, want: true},
		{name: "starving", starves: true, want: true},
		{name: "neither"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := mixed(t)
			g.Settings.Operator.StartDeadlineS = c.beginS
			running := map[string][]TaskReport{}
			g.see("g1", "gpu", false)
			for n, cpus := range []float64{5, 6} { // the larger ones wait for ever, and leave nothing beside them
				s := spec(10+n, 2)
				s.GPUs = 1
				s.CPUs = cpus
				s.EstimateS = 1000
				g.submit(s)
				g.settleFor(3, store.Committed)
				g.runAll("g1", "gpu", running)
			}
			s := spec(2, 5)
			s.Priority = "best_effort"
			s.Class = "idle"
			job := g.submit(s)
			for range 160 {
				g.now += time.Second
				if !c.starves {
					job.RoomSince = 0
				}
				g.runAll("g1", "gpu", running)
				g.settleFor(3, store.Committed)
				if c.starves && !job.Started && g.now-job.SubmittedAt > 90*time.Second {
					t.Error("the job hasn't started after 90 s")
					break
				}
			}
			if job.Started != c.want {
				t.Errorf("the job started: %v, want %v", job.Started, c.want)
			}
		})
	}
}

// One task that waits for an accelerator, of which most are idle, doesn't keep the cores of all machines from work
// without: of twenty idle machines some are left for it and for work still to come, the others are used.
func TestOneWaitingTaskKeepsFewCores(t *testing.T) {
	g := mixed(t)
	names := make([]string, 20)
	for i := range names {
		names[i] = fmt.Sprintf("g%02d", i)
		g.see(names[i], "gpu", false)
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
			g.runAll(name, "gpu", running)
		}
	}
	used := 0
	for _, name := range names {
		if len(running[name]) > 0 {
			used++
		}
	}
	if used < 10 || used > 17 || job.TasksOnMachines() < 30 {
		t.Errorf("%d of 20 machines are used, by %d tasks", used, job.TasksOnMachines())
	}
}

// gang4 is a gang that takes four whole machines.
func gang4() *jobs.Spec {
	s := spec(1, 4)
	s.Kind = jobs.Gang
	s.CPUs = 4
	s.EstimateS = 20
	s.Class = "big"
	return s
}
