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

// The order of ranks against a plain one: what is overdue to begin goes forward by the rule, everybody else keeps the order
// they have without it, and nothing that has begun moves.
func TestWhatIsOverdueGoesFirst(t *testing.T) {
	rng := rand.New(rand.NewPCG(4, 4))
	moved := 0
	for range 300 {
		g := newRigOf(t, 1, map[string]json.RawMessage{}, []config.Team{{Name: "t", CPUs: 8}, {Name: "u"}})
		for i := range 1 + rng.IntN(12) {
			s := spec(i+1, 1+rng.IntN(6))
			s.Kind = []jobs.Kind{jobs.Array, jobs.Gang, jobs.Service}[rng.IntN(3)]
			s.Priority = []string{"prod", "urgent", "standard", "best_effort"}[rng.IntN(4)]
			s.Team = []string{"t", "u"}[rng.IntN(2)]
			job := g.submit(s)
			job.SubmittedAt, job.Started = time.Duration(rng.IntN(300))*time.Second, rng.IntN(3) == 0
		}
		now := 300 * time.Second
		g.Settings.Operator.BeginS = 0
		g.RankJobs(now)
		was := slices.Clone(g.ranking.jobs)
		g.Settings.Operator.BeginS = 240
		g.RankJobs(now)
		var want []*jobs.Job
		late := func(job *jobs.Job) bool { return !job.Started && now-job.SubmittedAt > 120*time.Second }
		take := func(oldest bool, f func(*jobs.Job) bool) {
			var jobList []*jobs.Job
			for _, job := range was {
				if f(job) {
					jobList = append(jobList, job)
				}
			}
			if oldest {
				slices.SortStableFunc(jobList, func(a, b *jobs.Job) int { return int((a.SubmittedAt - b.SubmittedAt) / time.Second) })
			}
			want = append(want, jobList...)
		}
		gang := func(job *jobs.Job) bool { return job.Spec.Kind == jobs.Gang }
		take(true, func(job *jobs.Job) bool { return late(job) && !gang(job) })
		for _, within := range []bool{true, false} {
			take(true, func(job *jobs.Job) bool {
				return late(job) && gang(job) && g.ranking.withinGuarantee[job.Index] == within
			})
			take(false, func(job *jobs.Job) bool { return !late(job) && g.ranking.withinGuarantee[job.Index] == within })
		}
		if !slices.Equal(g.ranking.jobs, want) {
			t.Fatalf("ranked otherwise")
		}
		if !slices.Equal(was, want) {
			moved++
		}
	}
	if moved < 100 {
		t.Fatalf("only %d orders differ", moved)
	}
}

// Under a constant stream of small gangs that are urgent still, a gang that needs all machines at once, and has missed what it
// could aim for, begins within the time; without the rule it never does. Guests' idle-time array begins too.
func TestTheLargestBegin(t *testing.T) {
	told := false
	began := func(beginS float64) (gang, guest time.Duration) {
		g := newRigOf(t, 1, map[string]json.RawMessage{}, []config.Team{{Name: "t"}, {Name: "guest"}})
		g.Settings.Operator.BeginS = beginS
		g.Settings.Params.Objectives = []config.Objective{{Kind: "wait", Class: "c", WithinS: 30}}
		on := map[string][]TaskReport{}
		ends := map[string]time.Duration{}
		names := []string{"m1", "m2", "m3", "m4"}
		big := gang4()
		var bigJob, guestJob *jobs.Job
		rng := rand.New(rand.NewPCG(1, 2))
		for n := 0; g.now < 400*time.Second; n++ {
			g.now += 700 * time.Millisecond // and 300 more while writes settle
			if n%3 == 0 {                   // more small ones than the machines can do
				s := spec(100+n, 1)
				s.Kind, s.CPUs, s.EstimateS = jobs.Gang, 3, 14
				g.submit(s).SubmittedAt = g.now
			}
			if n == 40 {
				bigJob = g.submit(big)
				bigJob.SubmittedAt = g.now
				s := spec(2, 50)
				s.Team, s.Priority, s.EstimateS, s.Class, s.CPUs = "guest", "best_effort", 5, "idle", 2
				guestJob = g.submit(s)
				guestJob.SubmittedAt = g.now
			}
			for _, m := range names {
				list := on[m][:0]
				for _, k := range on[m] {
					if g.now >= ends[k.Task] && k.State == taskRunning {
						k.State, k.Why = taskExited, exitDone
					}
					list = append(list, k)
				}
				on[m] = list
				for _, c := range g.see(m, "ty", false, on[m]...) {
					switch c.Op {
					case opStart:
						on[m] = append(on[m], TaskReport{Task: c.Task, Attempt: c.Attempt, State: taskRunning})
						ends[c.Task] = g.now + time.Duration(10+rng.IntN(8))*time.Second
					case opForget:
						on[m] = slices.DeleteFunc(on[m], func(k TaskReport) bool { return k.Task == c.Task })
					}
				}
			}
			g.settleFor(3, store.Committed)
			if bigJob != nil && !bigJob.Started && beginS < 1000 && beginS > 0 && g.now-bigJob.SubmittedAt > 125*time.Second {
				why := g.PendingReasons(g.now, bigJob)
				told = told || len(why) == 1 && why[0].Cause == GangShort && strings.Contains(why[0].Text, "kept for it") && strings.Contains(why[0].Text, "goes first")
			}
			if bigJob != nil && bigJob.Started && gang == 0 {
				gang = g.now - bigJob.SubmittedAt
			}
			if guestJob != nil && guestJob.Started && guest == 0 {
				guest = g.now - guestJob.SubmittedAt
			}
		}
		return gang, guest
	}
	gang, guest := began(240)
	if !told {
		t.Error("nobody who asks why it waits is told what is kept for it")
	}
	t.Logf("with the rule the gang begins after %v, the guests after %v", gang, guest)
	if gang == 0 || gang > 240*time.Second || guest == 0 || guest > 240*time.Second {
		t.Errorf("the gang begins after %v, the guests after %v", gang, guest)
	}
	if gang, guest = began(0); gang > 0 && gang < 240*time.Second && guest > 0 && guest < 240*time.Second {
		t.Errorf("without the rule they begin too, after %v and %v: the test shows nothing", gang, guest)
	}
	t.Logf("without the rule after %v and %v (0: never)", gang, guest)
}

// Guests without accelerators on machines that all have them, for which other work always waits: no lane was left for them.
func TestGuestsBeginBesideAccelerators(t *testing.T) {
	// Either what is overdue to begin goes first, or nothing is held from what has waited for long; without both they never begin.
	for _, c := range []struct {
		beginS float64
		ages   bool
	}{{240, false}, {0, true}, {0, false}} {
		g := mixed(t)
		g.Settings.Operator.BeginS = c.beginS
		on := map[string][]TaskReport{}
		g.see("g1", "gpu", false)
		for n, cpus := range []float64{5, 6} { // the larger ones wait for ever, and leave nothing beside them
			s := spec(10+n, 2)
			s.GPUs, s.CPUs, s.EstimateS = 1, cpus, 1000
			g.submit(s)
			g.settleFor(3, store.Committed)
			g.runAll("g1", "gpu", on)
		}
		guest := spec(2, 5)
		guest.Priority, guest.Class = "best_effort", "idle"
		job := g.submit(guest)
		for range 160 {
			g.now += time.Second
			if !c.ages {
				job.RoomSince = 0
			}
			g.runAll("g1", "gpu", on)
			g.settleFor(3, store.Committed)
			if c.ages && !job.Started && g.now-job.SubmittedAt > 90*time.Second {
				t.Errorf("%+v: the guests haven't begun after 90 s", c)
				break
			}
		}
		if began := job.Started; began != (c.beginS > 0 || c.ages) {
			t.Errorf("%+v: the guests began: %v", c, began)
		}
	}
}

// One task that waits for an accelerator, of which most are idle, doesn't keep the cores of all machines from work without: of twenty
// idle machines some are left for it and what comes next, the others are used.
func TestFewWaitForAccelerators(t *testing.T) {
	g := mixed(t)
	names := make([]string, 20)
	for i := range names {
		names[i] = fmt.Sprintf("g%02d", i)
		g.see(names[i], "gpu", false)
	}
	s, elsewhere := spec(1, 1), "y"
	s.GPUs, s.CPUs, s.Zone = 2, 12, &elsewhere // where no machine is
	g.submit(s)
	guest := spec(2, 200)
	guest.Priority, guest.Class, guest.CPUs = "best_effort", "idle", 4
	job := g.submit(guest)
	on := map[string][]TaskReport{}
	for range 6 {
		g.settleFor(3, store.Committed)
		for _, n := range names {
			g.runAll(n, "gpu", on)
		}
	}
	used := 0
	for _, n := range names {
		if len(on[n]) > 0 {
			used++
		}
	}
	if used < 10 || used > 17 || job.TasksOnMachines() < 30 {
		t.Errorf("%d of 20 machines are used, by %d tasks", used, job.TasksOnMachines())
	}
}

func gang4() *jobs.Spec {
	s := spec(1, 4)
	s.Kind, s.CPUs, s.EstimateS, s.Class = jobs.Gang, 4, 20, "big"
	return s
}
