package fleet

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/events"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// fenced is the first token of term 1; n*fenced is the first token of term n.
const fenced = uint64(1) << tokenBits

// A task must start only after its plan is durable. Otherwise a leader that crashes after the start leaves no record of
// it, and its successor starts the task twice.
func TestNothingStartsBeforeItsPlanIsDurable(t *testing.T) {
	g := newRig(t, 1, map[string]json.RawMessage{})
	g.heartbeat("m", 1, fenced)
	job := g.submit(spec(1, 2))
	g.Tick(g.now, true)
	if job.Tasks[0].State != jobs.Planned || len(g.pendingCommits) != 1 {
		t.Fatalf("got state %v with %d pending writes, want planned with 1", job.Tasks[0].State, len(g.pendingCommits))
	}
	if cs := starts(g.heartbeat("m", 1, fenced)); len(cs) != 0 || len(g.sentDirect) != 0 {
		t.Fatalf("before the plan is durable: got starts %v or direct requests, want neither", cs)
	}
	g.pendingCommits[0](store.NotApplied)
	g.pendingCommits = nil
	if cs := starts(g.heartbeat("m", 1, fenced)); len(cs) != 0 {
		t.Fatalf("after the write was not applied: got starts %v, want none", cs)
	}
	g.settle(store.Committed)
	if cs := starts(g.heartbeat("m", 1, fenced)); len(cs) != 2 {
		t.Fatalf("after the plan is durable: got starts %v, want both tasks", cs)
	}
}

// While the outcome of a write that moves a task to another machine is indeterminate, a successor may read either
// machine. So the plan must not count as durable, unless the write names the same machine.
func TestPlanIsNotDurableDuringAnIndeterminateMove(t *testing.T) {
	g := newRig(t, 1, map[string]json.RawMessage{})
	g.heartbeat("m", 1, fenced)
	job := g.submit(spec(1, 1))
	g.settle(store.Committed)
	segment := job.Segments[0]
	m := job.Tasks[0].Machine
	segment.InFlight = []int32{m + 1}
	if job.IsDurable(0) {
		t.Fatal("write in flight names another machine: got durable, want not durable")
	}
	segment.InFlight = []int32{m}
	if !job.IsDurable(0) {
		t.Fatal("write in flight names the same machine: got not durable, want durable")
	}
}

// A new leader must act only on a heartbeat at its own token, since commands of the former leader may still arrive
// before.
func TestNewLeaderWaitsForAFencedHeartbeat(t *testing.T) {
	kv := map[string]json.RawMessage{}
	g := newRig(t, 1, kv)
	g.heartbeat("m", 1, fenced)
	g.submit(spec(1, 1))
	g.settle(store.Committed)

	n := newRig(t, 2, kv)
	job := n.Jobs.Get("req-000001")
	if job.Tasks[0].State != jobs.Recovered || n.Gate.Quota.Team(job.Team).Used.CPUs != 1 {
		t.Fatalf("after failover: got state %v using %v, want recovered using 1 CPU",
			job.Tasks[0].State, n.Gate.Quota.Team(job.Team).Used)
	}
	if cs := n.heartbeat("m", 1, fenced); len(cs) != 0 || job.Tasks[0].State != jobs.Recovered {
		t.Fatalf("heartbeat at the former token: got commands %v, state %v, want none, recovered", cs, job.Tasks[0].State)
	}
	if cs := starts(n.heartbeat("m", 1, 2*fenced)); len(cs) != 1 {
		t.Fatalf("heartbeat at the leader's token: got starts %v, want the task that it does not list", cs)
	}
}

// doneReport returns the report of a job's first task as done.
func doneReport(job *jobs.Job) TaskReport {
	return TaskReport{Task: taskName(job, 0), Attempt: job.Tasks[0].Attempt, State: taskExited, ExitCause: exitDone}
}

// newRigWithLaunch returns a rig and a job of one task, whose launch was sent in the response to a heartbeat.
func newRigWithLaunch(t *testing.T) (*rig, *jobs.Job) {
	t.Helper()
	g := newRig(t, 1, map[string]json.RawMessage{})
	g.heartbeat("m", 1, fenced)
	job := g.submit(spec(1, 1))
	g.settle(store.Committed)
	if commands := starts(g.heartbeat("m", 1, fenced)); len(commands) != 1 || job.Tasks[0].State != jobs.Launched {
		t.Fatalf("got starts %v, state %v, want 1, launched", commands, job.Tasks[0].State)
	}
	return g, job
}

// keepInContact makes all machines count as in contact now, without starting their queued tasks.
func (g *rig) keepInContact() {
	for _, machine := range g.machines {
		machine.LastContactAt = g.now
	}
}

// directResponse delivers a heartbeat of machine m in the response to a direct request.
func (g *rig) directResponse(m string, session, token uint64, tasks ...TaskReport) {
	g.seq++
	g.acceptHeartbeat(g.now, newHeartbeat(m, session, g.seq, token, tasks...), fromResponse)
}

// A direct request must launch no task, since a copy of the request would launch it again.
func TestDirectRequestsLaunchNoTask(t *testing.T) {
	g := newRig(t, 1, map[string]json.RawMessage{})
	g.heartbeat("m", 1, fenced)
	job := g.submit(spec(1, 4))
	g.settle(store.Committed)
	g.keepInContact()
	g.Tick(g.now, true)
	if len(g.sentDirect) != 1 || job.TasksByState[jobs.Launched] != 4 {
		t.Fatalf("got %d direct requests, %d launched tasks, want 1, 4", len(g.sentDirect), job.TasksByState[jobs.Launched])
	}
	for _, command := range g.sentDirect[0].Commands {
		if job, _ := g.findTask(command.Task); job != nil || jobs.ValidID(strings.Split(command.Task, "/")[0]) {
			t.Errorf("got command %v, want none for a task that exists", command)
		}
	}
	if commands := starts(g.heartbeat("m", 1, fenced)); len(commands) != 4 {
		t.Errorf("got starts %v in the response to the prompted heartbeat, want 4", commands)
	}
}

// A prompt that no heartbeat follows is sent again, but not before promptResendInterval.
func TestPromptsAreLimited(t *testing.T) {
	g := newRig(t, 1, map[string]json.RawMessage{})
	g.heartbeat("m", 1, fenced)
	g.submit(spec(1, 4))
	g.settle(store.Committed)
	for range 19 { // 1.9 s: the first prompt, and one after promptResendInterval
		g.now += 100 * time.Millisecond
		g.keepInContact()
		if g.Tick(g.now, true); len(g.directCallbacks) > 0 {
			g.directCallbacks[0](nil)
			g.directCallbacks = nil
		}
	}
	if len(g.sentDirect) != 2 {
		t.Errorf("got %d prompts, want 2", len(g.sentDirect))
	}
}

// A launch in a response that is still in flight must count against its team's quota until the worker's next heartbeat,
// whatever the response to a direct request lists.
func TestLaunchInFlightCountsUntilNextHeartbeat(t *testing.T) {
	g, job := newRigWithLaunch(t)
	g.cancel(job)
	for range 2 {
		g.directResponse("m", 1, fenced)
		if used := g.Gate.Quota.Team(job.Team).Used.CPUs; used != 1 {
			t.Fatalf("launch may still arrive: got %v CPUs used, want 1", used)
		}
	}
	g.heartbeat("m", 1, fenced)
	if used := g.Gate.Quota.Team(job.Team).Used.CPUs; used != 0 {
		t.Fatalf("after the worker's next heartbeat: got %v CPUs used, want 0", used)
	}
}

// A task that is done by an earlier attempt must count while the launch of another attempt may still arrive.
func TestDoneTaskCountsWhileAnotherLaunchMayArrive(t *testing.T) {
	g, job := newRigWithLaunch(t)
	done := doneReport(job)
	done.Attempt--
	g.directResponse("m", 1, fenced, done)
	if used := g.Gate.Quota.Team(job.Team).Used.CPUs; used != 1 || job.Tasks[0].State == jobs.Finished {
		t.Fatalf("launch may still arrive: got %v CPUs used, state %v, want 1, not finished", used, job.Tasks[0].State)
	}
	g.heartbeat("m", 1, fenced, done)
	if used := g.Gate.Quota.Team(job.Team).Used.CPUs; used != 0 || job.Tasks[0].State != jobs.Finished {
		t.Fatalf("after the worker's next heartbeat: got %v CPUs used, state %v, want 0, finished", used, job.Tasks[0].State)
	}
}

// An attempt must be forgotten only in response to a heartbeat, since an earlier response in flight may launch it.
func TestForgetIsSentOnlyInResponses(t *testing.T) {
	g, job := newRigWithLaunch(t)
	failed := TaskReport{Task: "req-000001/0", Attempt: job.Tasks[0].Attempt, State: taskExited, ExitCause: exitError}
	g.directResponse("m", 1, fenced, failed)
	g.now += 10 * time.Second
	g.keepInContact()
	g.settle(store.Committed)
	g.Tick(g.now, true)
	for _, request := range g.sentDirect {
		for _, command := range request.Commands {
			if command.Op == opForget {
				t.Fatalf("got the direct command %v, want no forget command", command)
			}
		}
	}
	commands := g.heartbeat("m", 1, fenced, failed)
	forgets := func(c Command) bool { return c == forgetCommand(failed.Task, failed.Attempt).because(causeExited) }
	if !slices.ContainsFunc(commands, forgets) {
		t.Fatalf("response to the worker's own heartbeat: got commands %v, want the attempt forgotten", commands)
	}
}

// A task that heartbeats list on a second machine must be counted and reported once, with both machines, and be stopped.
func TestTaskOnSecondMachineIsReportedOnce(t *testing.T) {
	g, job := newRigWithLaunch(t)
	g.Events = events.New(100)
	running := TaskReport{Task: taskName(job, 0), Attempt: job.Tasks[0].Attempt, State: taskRunning}
	g.heartbeat("m", 1, fenced, running)
	second := running
	second.Attempt--
	for range 3 {
		commands := g.heartbeat("n", 1, fenced, second)
		if len(commands) != 1 || commands[0].Op != opStop || commands[0].cause != causeNotExpected {
			t.Fatalf("got commands %v, want one stop", commands)
		}
	}
	var reported []events.Event
	g.Events.Since(0, func(event *events.Event) bool {
		if event.Kind == events.TaskOnSecondMachine {
			reported = append(reported, *event)
		}
		return true
	})
	if g.Counts().SecondMachine != 1 || len(reported) != 1 {
		t.Fatalf("got count %d, events %v, want 1 and one event", g.Counts().SecondMachine, reported)
	}
	if event := reported[0]; event.Machine != g.FindMachine("n").Index || event.Note != "m" || event.Attempt != second.Attempt {
		t.Errorf("got event %+v, want machine n, note m and attempt %d", event, second.Attempt)
	}
	g.heartbeat("n", 1, fenced)
	if g.heartbeat("n", 1, fenced, second); g.Counts().SecondMachine != 2 {
		t.Errorf("listed again after a heartbeat without it: got count %d, want 2", g.Counts().SecondMachine)
	}
}

// The commands of a term are counted by kind.
func TestCommandsAreCounted(t *testing.T) {
	g := newRig(t, 1, map[string]json.RawMessage{})
	g.heartbeat("m", 1, fenced)
	job := g.submit(spec(1, 1))
	g.settle(store.Committed)
	g.keepInContact()
	g.Tick(g.now, true)
	g.heartbeat("m", 1, fenced)
	g.cancel(job)
	running := TaskReport{Task: taskName(job, 0), Attempt: job.Tasks[0].Attempt, State: taskRunning}
	g.heartbeat("m", 1, fenced, running)
	running.State, running.ExitCause = taskExited, exitStopped
	g.heartbeat("m", 1, fenced, running)
	want := CommandCounts{Launches: 1, Stops: 1, Forgets: 1, Prompts: 1}
	if got := g.Counts(); got != want {
		t.Errorf("got counts %+v, want %+v", got, want)
	}
}

// The lease of a session counts from the session's beginning, not from the last response in the session before.
func TestLeaseOfANewSessionCountsFromItsBeginning(t *testing.T) {
	g := newRig(t, 1, map[string]json.RawMessage{})
	g.heartbeat("m", 1, fenced)
	g.now = 18 * time.Second
	g.seq++
	g.acceptHeartbeat(g.now, newHeartbeat("m", 2, g.seq, fenced), fromResponse)
	g.now = 30 * time.Second
	g.expireLeases(g.now)
	if c := g.machines[0].Condition; c == LeaseExpired {
		t.Fatal("12 s into a session with a lease of 20 s: got an expired lease, want a valid one")
	}
	g.now = 40 * time.Second
	g.expireLeases(g.now)
	if c := g.machines[0].Condition; c != LeaseExpired {
		t.Fatalf("22 s into the session: got condition %v, want lost", c)
	}
}

// After a failover, a cancelled job's task that may still run must count against its team's quota and be stopped.
func TestCancelledTasksCountAfterFailover(t *testing.T) {
	g, job := newRigWithLaunch(t)
	g.cancel(job)
	n := newRig(t, 2, g.kv)
	if used := n.Gate.Quota.Team(n.Jobs.Names.Teams.Index("t")).Used.CPUs; used != 1 {
		t.Fatalf("after failover: got %v CPUs used, want 1 for the cancelled task", used)
	}
	task := TaskReport{Task: "req-000001/0", Attempt: job.Tasks[0].Attempt, State: taskRunning}
	cs := n.heartbeat("m", 1, 2*fenced, task)
	if len(cs) != 1 || cs[0].Op != opStop {
		t.Fatalf("got commands %v, want one stop", cs)
	}
}

// A response to a direct request that arrives after its job's tasks were removed must not cause a panic.
func TestDirectResponseAfterTasksWereRemoved(t *testing.T) {
	g, job := newRigWithLaunch(t)
	running := TaskReport{Task: "req-000001/0", Attempt: job.Tasks[0].Attempt, State: taskRunning}
	g.heartbeat("m", 1, fenced, running)
	g.stopTask(job, 0)
	g.now += 2 * time.Second
	g.Tick(g.now, true)
	done := doneReport(job)
	g.heartbeat("m", 1, fenced, done)
	g.settle(store.Committed)
	if job.Tasks != nil || job.State != jobs.Done {
		t.Fatalf("got state %v, want done and the tasks removed", job.State)
	}
	callbacks := g.directCallbacks
	if len(callbacks) != 1 {
		t.Fatalf("got %d direct requests, want 1", len(callbacks))
	}
	callbacks[0](newHeartbeat("m", 1, g.seq+1, fenced, done))
}

// The write of a job's terminal record must be conditional on the version that was read, so that it can't overwrite an
// earlier cancellation.
func TestDoneRecordIsConditionalOnReadVersion(t *testing.T) {
	g, job := newRigWithLaunch(t)
	g.heartbeat("m", 1, fenced, doneReport(job))
	var conditions []store.Condition
	g.Commit = func(tx store.Txn, done func(store.Result)) { conditions = append(conditions, tx.If...) }
	g.FlushWrites(g.now)
	want := store.Condition{Key: jobs.RecordKey(job.ID), Version: job.Version}
	for _, c := range conditions {
		if c == want {
			return
		}
	}
	t.Fatalf("got conditions %v, want %v among them", conditions, want)
}

// The next leader must load the hints about the machines' image caches, and ignore invalid positions in them.
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
		t.Fatal("got no stored hints, want some")
	}
	n := newRig(t, 2, kv)
	if machine := n.RegisterMachine(0, "m"); !machine.HasImage(n.Jobs.Names.Images.Index("i")) {
		t.Fatal("machine of the next leader: got no cached image, want the one of the hint")
	}
	kv[imageHintsPrefix+"/0"] = json.RawMessage(`{"images":["i"],"gb":[1],"on":{"m":[0,7,-1]}}`)
	if machine := newRig(t, 3, kv).RegisterMachine(0, "m"); len(machine.cachedImages) != 1 {
		t.Fatalf("hint with invalid positions: got images %v, want 1", machine.cachedImages)
	}
}

// A failed task must be retried on another machine after a delay, and its job's queued tasks must leave the machine.
func TestFailedTaskIsRetriedOnAnotherMachine(t *testing.T) {
	g := newRig(t, 1, map[string]json.RawMessage{})
	g.heartbeat("m", 1, fenced)
	job := g.submit(spec(1, 6)) // four run, two are queued
	g.settle(store.Committed)
	cs := starts(g.heartbeat("m", 1, fenced))
	if len(cs) != 4 {
		t.Fatalf("got %d starts, want 4", len(cs))
	}
	failed := TaskReport{Task: cs[0].Task, Attempt: cs[0].Attempt, State: taskExited, ExitCause: exitError}
	running := func() (out []TaskReport) {
		for _, c := range cs[1:] {
			out = append(out, TaskReport{Task: c.Task, Attempt: c.Attempt, State: taskRunning})
		}
		return out
	}
	g.heartbeat("m", 1, fenced, append(running(), failed)...)
	g.heartbeat("n", 1, fenced)
	g.settle(store.Committed)
	if restarts := starts(g.heartbeat("m", 1, fenced, running()...)); len(restarts) != 0 {
		t.Fatalf("machine on which the task failed: got starts %v, want none", restarts)
	}
	g.now += 5 * time.Second
	g.keepInContact()
	g.settle(store.Committed)
	if other := starts(g.heartbeat("n", 1, fenced)); len(other) != 1 || job.Spec.Tasks != 6 {
		// The team's limit of 4 CPUs leaves room for one.
		t.Fatalf("other machine: got starts %v, want 1", other)
	}
}

// A job that may preempt another job must rank before that job, whatever their priorities and guarantees are.
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
						t.Fatalf("%s may preempt %s, which ranks before: want no such preemption", x.ID, y.ID)
					}
				}
			}
		}
	}
	if preempts == 0 {
		t.Fatal("got no pair of jobs of which one may preempt the other, want some")
	}
}

// No attempt number may be used twice, in any term. A repeated launch of a task must be distinguishable from an earlier
// one, and the tasks of a gang find each other by the attempt number.
func TestAttemptsNeverRepeatAcrossTerms(t *testing.T) {
	termOf := map[uint64]uint64{}
	for term := uint64(1); term < 5; term++ {
		f := &Fleet{Term: term}
		for range 1000 {
			a := f.nextAttempt()
			if earlier, ok := termOf[a]; ok {
				t.Fatalf("attempt %d was issued in term %d and again in term %d", a, earlier, term)
			}
			termOf[a] = term
		}
	}
}

// After a task is stopped during the download of its image, the machine must not count as having the image, unless
// another task there still waits for it. After a task that ran, the machine must count as having it.
func TestStoppedDownloadRemovesImageFromInferredCache(t *testing.T) {
	for _, c := range []struct {
		states        []AttemptState // states of the task's attempt before the attempt is stopped
		otherFetching bool           // another task of the job is downloading the image
		wantImage     bool           // the machine counts as having the image afterwards
	}{
		{states: []AttemptState{taskFetching}, otherFetching: false, wantImage: false},
		{states: []AttemptState{taskFetching, taskRunning}, otherFetching: false, wantImage: true},
		{states: []AttemptState{taskFetching}, otherFetching: true, wantImage: true},
	} {
		g := newRig(t, 2, map[string]json.RawMessage{})
		machine := g.RegisterMachine(0, "m")
		g.heartbeat("m", 1, 2*fenced)
		n := 1
		if c.otherFetching {
			n = 2
		}
		job := g.submit(spec(1, n))
		g.settle(store.Committed)
		g.now += time.Second
		g.heartbeat("m", 1, 2*fenced)
		report := func(state AttemptState, cause ExitCause) {
			g.now += time.Second
			tasks := []TaskReport{{Task: "req-000001/0", Attempt: job.Tasks[0].Attempt, State: state, ExitCause: cause}}
			if c.otherFetching {
				second := TaskReport{Task: "req-000001/1", Attempt: job.Tasks[1].Attempt, State: taskFetching}
				tasks = append(tasks, second)
			}
			g.heartbeat("m", 1, 2*fenced, tasks...)
		}
		for _, s := range c.states {
			report(s, "")
		}
		if !machine.HasImage(job.Image) {
			t.Fatalf("%v: got no image while the task is on the machine, want one", c.states)
		}
		machine.Returning = true // prevents further starts
		report(taskExited, exitStopped)
		if machine.HasImage(job.Image) != c.wantImage {
			t.Errorf("states %v, another task downloading %v: machine counts as having the image: %v, want the opposite",
				c.states, c.otherFetching, !c.wantImage)
		}
	}
}
