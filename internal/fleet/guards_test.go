package fleet

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

const fenced = uint64(1) << tokenBits

// Write before act: otherwise a crash after a start that is not in the plan would start the task twice.
func TestNothingStartsBeforeItsPlanIsDurable(t *testing.T) {
	g := newRig(t, 1, map[string]json.RawMessage{})
	g.heartbeat("m", 1, fenced)
	job := g.submit(spec(1, 2))
	g.Tick(g.now, true)
	if job.Tasks[0].State != jobs.Planned || len(g.pendingCommits) != 1 {
		t.Fatalf("state %v with %d writes, want a plan being written", job.Tasks[0].State, len(g.pendingCommits))
	}
	if cs := starts(g.heartbeat("m", 1, fenced)); len(cs) != 0 || len(g.sentDirect) != 0 {
		t.Fatalf("started %v before the plan was durable", cs)
	}
	g.pendingCommits[0](store.NotApplied)
	g.pendingCommits = nil
	if cs := starts(g.heartbeat("m", 1, fenced)); len(cs) != 0 {
		t.Fatalf("started %v although the write was refused", cs)
	}
	g.settle(store.Committed)
	if cs := starts(g.heartbeat("m", 1, fenced)); len(cs) != 2 {
		t.Fatalf("started %v, want both tasks", cs)
	}
}

// While the outcome of a write that moves a task is indeterminate, a successor may read either machine.
func TestIndeterminateMoveBlocksStartsOnBothMachines(t *testing.T) {
	g := newRig(t, 1, map[string]json.RawMessage{})
	g.heartbeat("m", 1, fenced)
	job := g.submit(spec(1, 1))
	g.settle(store.Committed)
	segment := job.Segments[0]
	m := job.Tasks[0].Machine
	segment.InFlight = []int32{m + 1}
	if job.IsDurable(0) {
		t.Fatal("durable although an open write names another machine")
	}
	segment.InFlight = []int32{m}
	if !job.IsDurable(0) {
		t.Fatal("an open write that repeats the machine must not block it")
	}
}

// A new leader acts only on a heartbeat at its own token: commands of the former leader may arrive until then.
func TestNewLeaderWaitsForAFencedHeartbeat(t *testing.T) {
	kv := map[string]json.RawMessage{}
	g := newRig(t, 1, kv)
	g.heartbeat("m", 1, fenced)
	g.submit(spec(1, 1))
	g.settle(store.Committed)

	n := newRig(t, 2, kv)
	job := n.Jobs.Get("req-000001")
	if job.Tasks[0].State != jobs.Recovered || n.Gate.Quota.Team(job.Team).Used.CPUs != 1 {
		t.Fatalf("state %v using %v, want recovered and counted", job.Tasks[0].State, n.Gate.Quota.Team(job.Team).Used)
	}
	if cs := n.heartbeat("m", 1, fenced); len(cs) != 0 || job.Tasks[0].State != jobs.Recovered {
		t.Fatalf("acted on a heartbeat at the former token: %v, %v", cs, job.Tasks[0].State)
	}
	if cs := starts(n.heartbeat("m", 1, 2*fenced)); len(cs) != 1 {
		t.Fatalf("started %v, want the task that is certainly not there", cs)
	}
}

// doneReport returns the status of a job's first task that is done.
func doneReport(job *jobs.Job) TaskReport {
	return TaskReport{Task: taskName(job, 0), Attempt: job.Tasks[0].Attempt, State: taskExited, ExitCause: exitDone}
}

// launched returns a rig with a task whose direct launch was sent and has no response.
func launched(t *testing.T) (*rig, *jobs.Job) {
	t.Helper()
	g := newRig(t, 1, map[string]json.RawMessage{})
	g.heartbeat("m", 1, fenced)
	job := g.submit(spec(1, 1))
	g.settle(store.Committed)
	g.keepInContact()
	g.Tick(g.now, true)
	if len(g.sentDirect) != 1 || job.Tasks[0].State != jobs.Launched {
		t.Fatalf("%d direct commands, state %v", len(g.sentDirect), job.Tasks[0].State)
	}
	return g, job
}

// keepInContact makes all machines count as in contact now, without starting what is queued on them.
func (g *rig) keepInContact() {
	for _, machine := range g.machines {
		machine.LastContactAt = g.now
	}
}

// A direct launch whose outcome is indeterminate counts until a heartbeat carries a raised token, and its quota is
// free afterwards.
func TestIndeterminateLaunchCountsUntilFenced(t *testing.T) {
	g, job := launched(t)
	g.directCallbacks[0](nil, false)
	g.cancel(job)
	g.heartbeat("m", 1, fenced) // this response raises the token
	if used := g.Gate.Quota.Team(job.Team).Used.CPUs; used != 1 {
		t.Fatalf("uses %v, but the launch may still arrive", used)
	}
	g.heartbeat("m", 1, fenced)
	if used := g.Gate.Quota.Team(job.Team).Used.CPUs; used != 1 {
		t.Fatalf("uses %v, but no heartbeat carries the raised token yet", used)
	}
	g.heartbeat("m", 1, fenced+1)
	if used := g.Gate.Quota.Team(job.Team).Used.CPUs; used != 0 {
		t.Fatalf("uses %v, but nothing can arrive any more", used)
	}
}

// A worker that has forgotten an attempt would start it again if its launch arrived once more.
func TestForgetWaitsForAnIndeterminateLaunch(t *testing.T) {
	g, job := launched(t)
	at := job.Tasks[0].Attempt
	stopped := TaskReport{Task: "req-000001/0", Attempt: at, State: taskExited, ExitCause: exitError}
	has := func(cs []Command) bool {
		for _, c := range cs {
			if c.Op == opForget {
				return true
			}
		}
		return false
	}
	if has(g.heartbeat("m", 1, fenced, stopped)) {
		t.Fatal("forgotten while its direct launch has no response")
	}
	g.directCallbacks[0](nil, false)
	if has(g.heartbeat("m", 1, fenced, stopped)) {
		t.Fatal("forgotten while its direct launch may arrive")
	}
	if !has(g.heartbeat("m", 1, fenced+1, stopped)) {
		t.Fatal("never forgotten")
	}
}

// The lease of a session counts from its beginning, not from the last response in the session before.
func TestLeaseOfANewSessionCountsFromItsBeginning(t *testing.T) {
	g := newRig(t, 1, map[string]json.RawMessage{})
	g.heartbeat("m", 1, fenced)
	g.now = 18 * time.Second
	g.seq++
	g.acceptHeartbeat(g.now, newHeartbeat("m", 2, g.seq, fenced), fromResponse)
	g.now = 30 * time.Second
	g.expireLeases(g.now)
	if c := g.machines[0].Condition; c == LeaseExpired {
		t.Fatal("the lease expired 12 s into a session, it is 20 s")
	}
	g.now = 40 * time.Second
	g.expireLeases(g.now)
	if c := g.machines[0].Condition; c != LeaseExpired {
		t.Fatalf("condition %v, want an expired lease", c)
	}
}

// A cancelled job's tasks still run after a failover, and count against their team's quota.
func TestCancelledTasksCountAfterFailover(t *testing.T) {
	g, job := launched(t)
	g.cancel(job)
	n := newRig(t, 2, g.kv)
	if used := n.Gate.Quota.Team(n.Jobs.Names.Teams.Index("t")).Used.CPUs; used != 1 {
		t.Fatalf("uses %v, want the cancelled task counted", used)
	}
	task := TaskReport{Task: "req-000001/0", Attempt: job.Tasks[0].Attempt, State: taskRunning}
	cs := n.heartbeat("m", 1, 2*fenced, task)
	if len(cs) != 1 || cs[0].Op != opStop {
		t.Fatalf("commands %v, want a stop", cs)
	}
}

// The response to a direct request may come after its job has ended and was swept.
func TestDirectResponseAfterItsJobWasSwept(t *testing.T) {
	g, job := launched(t)
	g.heartbeat("m", 1, fenced, doneReport(job))
	g.settle(store.Committed)
	if job.Tasks != nil || job.State != jobs.Done {
		t.Fatalf("job not swept: %v", job.State)
	}
	g.directCallbacks[0](nil, true)
}

// A job's terminal record is conditional on the version that was read, so it can never overwrite an earlier
// cancellation.
func TestDoneNeverOverwritesACancellation(t *testing.T) {
	g, job := launched(t)
	g.heartbeat("m", 1, fenced, doneReport(job))
	var seen []store.Condition
	g.Commit = func(tx store.Txn, done func(store.Result)) { seen = append(seen, tx.If...) }
	g.FlushWrites(g.now)
	want := store.Condition{Key: jobs.RecordKey(job.ID), Version: job.Version}
	for _, c := range seen {
		if c == want {
			return
		}
	}
	t.Fatalf("conditions %v lack %v", seen, want)
}

// What machines have in their image caches is a hint for the next leader.
func TestImageHintsSurviveAFailover(t *testing.T) {
	kv := map[string]json.RawMessage{}
	g := newRig(t, 1, kv)
	g.heartbeat("m", 1, fenced)
	g.now = 10 * time.Second
	g.submit(spec(1, 1))
	g.settle(store.Committed)
	g.heartbeat("m", 1, fenced)
	g.now += 10 * time.Second
	g.settle(store.Committed)
	if kv[imageHintsPrefix+"/0"] == nil {
		t.Fatal("no hints written")
	}
	n := newRig(t, 2, kv)
	if machine := n.RegisterMachine(0, "m"); !machine.HasImage(n.Jobs.Names.Images.Index("i")) {
		t.Fatal("the next leader has no hint of the image")
	}
	kv[imageHintsPrefix+"/0"] = json.RawMessage(`{"images":["i"],"gb":[1],"on":{"m":[0,7,-1]}}`)
	if machine := newRig(t, 3, kv).RegisterMachine(0, "m"); len(machine.cachedImages) != 1 {
		t.Fatalf("images %v from a damaged hint", machine.cachedImages)
	}
}

// A task that failed is retried on another machine after a pause, and what its job had queued on the machine moves
// away too.
func TestFailedTasksRunElsewhere(t *testing.T) {
	g := newRig(t, 1, map[string]json.RawMessage{})
	g.heartbeat("m", 1, fenced)
	job := g.submit(spec(1, 6)) // four run, two are queued
	g.settle(store.Committed)
	cs := starts(g.heartbeat("m", 1, fenced))
	if len(cs) != 4 {
		t.Fatalf("%d starts", len(cs))
	}
	failed := TaskReport{Task: cs[0].Task, Attempt: cs[0].Attempt, State: taskExited, ExitCause: exitError}
	alive := func() (out []TaskReport) {
		for _, c := range cs[1:] {
			out = append(out, TaskReport{Task: c.Task, Attempt: c.Attempt, State: taskRunning})
		}
		return out
	}
	g.heartbeat("m", 1, fenced, append(alive(), failed)...)
	g.heartbeat("n", 1, fenced)
	g.settle(store.Committed)
	if again := starts(g.heartbeat("m", 1, fenced, alive()...)); len(again) != 0 {
		t.Fatalf("started %v on the machine that failed the job", again)
	}
	g.now += 5 * time.Second
	g.keepInContact()
	g.settle(store.Committed)
	if other := starts(g.heartbeat("n", 1, fenced)); len(other) != 1 || job.Spec.Tasks != 6 {
		// The team's limit of 4 CPUs leaves room for one.
		t.Fatalf("started %v on the other machine, want one", other)
	}
}

// A job that may preempt another ranks before it, whatever their priorities and guarantees.
func TestPreemptionFollowsPriorityOrder(t *testing.T) {
	g := newRig(t, 1, map[string]json.RawMessage{})
	rng := rand.New(rand.NewPCG(6, 6))
	for i := range 40 {
		s := spec(i, 1)
		s.Priority = []string{"prod", "urgent", "standard", "best_effort"}[rng.IntN(4)]
		g.submit(s)
	}
	preempts := 0
	for range 20 {
		g.RankJobs(g.now)
		for jobIndex := range g.ranking.withinGuarantee {
			g.ranking.withinGuarantee[jobIndex] = rng.IntN(2) == 0
		}
		sorted := append([]*jobs.Job(nil), g.ranking.jobs...)
		g.sortByRank(sorted, map[jobs.Index]urgency{})
		for a, x := range sorted {
			for b, y := range sorted {
				if g.mayPreempt(x, y) {
					preempts++
					if a > b {
						t.Fatalf("%s may preempt %s, which ranks before it", x.ID, y.ID)
					}
				}
			}
		}
	}
	if preempts == 0 {
		t.Fatal("nothing may preempt anything")
	}
}

// No two attempts are equal, in any term: a task that is launched again must not be taken for an earlier start, and
// the tasks of a gang find each other by the number.
func TestAttemptsNeverRepeatAcrossTerms(t *testing.T) {
	seen := map[uint64]uint64{}
	for term := uint64(1); term < 5; term++ {
		f := &Fleet{Term: term}
		for range 1000 {
			a := f.nextAttempt()
			if was, ok := seen[a]; ok {
				t.Fatalf("attempt %d is of terms %d and %d", a, was, term)
			}
			seen[a] = term
		}
	}
}

// A task that is stopped during the download of its image leaves no image behind, unless another task there still
// waits for the same one. A task that ran does.
func TestAbandonedDownloadLeavesNoImage(t *testing.T) {
	for _, c := range []struct {
		states []AttemptState
		other  bool
		has    bool
	}{
		{states: []AttemptState{taskFetching}, other: false, has: false},
		{states: []AttemptState{taskFetching, taskRunning}, other: false, has: true},
		{states: []AttemptState{taskFetching}, other: true, has: true},
	} {
		g := newRig(t, 2, map[string]json.RawMessage{})
		machine := g.RegisterMachine(0, "m")
		g.heartbeat("m", 1, 2*fenced)
		n := 1
		if c.other {
			n = 2
		}
		job := g.submit(spec(1, n))
		g.settle(store.Committed)
		g.now += time.Second
		g.heartbeat("m", 1, 2*fenced)
		report := func(state AttemptState, why ExitCause) {
			g.now += time.Second
			tasks := []TaskReport{{Task: "req-000001/0", Attempt: job.Tasks[0].Attempt, State: state, ExitCause: why}}
			if c.other {
				second := TaskReport{Task: "req-000001/1", Attempt: job.Tasks[1].Attempt, State: taskFetching}
				tasks = append(tasks, second)
			}
			g.heartbeat("m", 1, 2*fenced, tasks...)
		}
		for _, s := range c.states {
			report(s, "")
		}
		if !machine.HasImage(job.Image) {
			t.Fatalf("%v: the image isn't expected there while it is fetched", c.states)
		}
		machine.Returning = true // nothing starts anew
		report(taskExited, exitStopped)
		if machine.HasImage(job.Image) != c.has {
			t.Errorf("%v, another that waits %v: the machine counts as having the image: %v", c.states, c.other, !c.has)
		}
	}
}
