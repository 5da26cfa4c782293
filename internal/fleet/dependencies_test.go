package fleet

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/dependencies"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// dependentRig is a rig whose controller keeps a dependency graph.
type dependentRig struct {
	*rig
	graph *dependencies.Graph
}

// newDependentRig returns a rig that has read the records and loaded the plans in kv.
func newDependentRig(t testing.TB, term uint64, kv map[string]json.RawMessage, teams ...config.Team) *dependentRig {
	t.Helper()
	g := &dependentRig{rig: newRigOf(t, term, kv, teams)}
	g.graph = dependencies.New(g.Jobs, g.HandleJobReleased)
	g.LatestEnds = g.graph.LatestEnds
	g.Jobs.ForEach(func(job *jobs.Job) { g.graph.HandleJobChange(g.now, job) })
	return g
}

// read stores a job's record, and lets the job table, the graph and the fleet apply it.
func (g *dependentRig) read(state jobs.State, spec *jobs.Spec) *jobs.Job {
	g.t.Helper()
	g.revision++
	key := jobs.RecordKey(spec.ID)
	g.kv[key] = jobs.EncodeRecord(state, 0, spec.Tasks, spec)
	job, changed, err := g.Jobs.Apply(spec.ID, g.kv[key], g.revision)
	if err != nil {
		g.t.Fatal(err)
	}
	if changed {
		g.graph.HandleJobChange(g.now, job)
		g.HandleJobChange(g.now, job)
	}
	return job
}

// follower returns the specification of a job that follows others.
func follower(n, tasks int, predecessors ...*jobs.Spec) *jobs.Spec {
	s := spec(n, tasks)
	for _, predecessor := range predecessors {
		s.Follows = append(s.Follows, predecessor.ID)
	}
	return s
}

// ranked returns the ids of the jobs in the priority order.
func (g *dependentRig) ranked() []string {
	g.RankJobs(g.now)
	var ids []string
	for _, job := range g.ranking.jobs {
		ids = append(ids, job.ID)
	}
	return ids
}

// A blocked job isn't ranked, planned or started, is no demand for machines, and has no overdue start.
func TestBlockedJobIsNotPlanned(t *testing.T) {
	g := newDependentRig(t, 1, map[string]json.RawMessage{}, config.Team{Name: "t"})
	g.Settings.Operator.StartDeadlineS = 10
	g.heartbeat("m", 1, fenced)
	first := g.read(jobs.Pending, spec(1, 1))
	last := g.read(jobs.Pending, follower(2, 2, first.Spec))
	g.settle(store.Committed)
	commands := starts(g.heartbeat("m", 1, fenced))
	if len(commands) != 1 || commands[0].Task != taskName(first, 0) || last.Tasks != nil {
		t.Fatalf("started %v, tasks %v", commands, last.Tasks)
	}
	if got := g.ranked(); !slices.Equal(got, []string{first.ID}) {
		t.Errorf("ranked %v", got)
	}
	for _, need := range g.Demand(g.now) {
		if need.Job == last {
			t.Error("a blocked job is demand")
		}
	}
	g.now += time.Minute
	if g.startOverdue(g.now, last) {
		t.Error("a blocked job's start is overdue")
	}
}

// A released job is planned and started at once. How long it has been ready counts from the release, so that its start
// isn't overdue, however long ago it was submitted.
func TestReleasedJobIsPlanned(t *testing.T) {
	g := newDependentRig(t, 1, map[string]json.RawMessage{}, config.Team{Name: "t"})
	g.Settings.Operator.StartDeadlineS = 60
	first := g.read(jobs.Pending, spec(1, 1))
	last := g.read(jobs.Pending, follower(2, 2, first.Spec))
	g.settle(store.Committed)
	g.now += 5 * time.Minute
	releasedAt := g.now
	g.read(jobs.Done, first.Spec)
	if last.Blocked || last.ReadyAt() != releasedAt {
		t.Fatalf("blocked %v, ready at %v, released at %v", last.Blocked, last.ReadyAt(), releasedAt)
	}
	if g.startOverdue(g.now+29*time.Second, last) || !g.startOverdue(g.now+31*time.Second, last) {
		t.Error("its start isn't overdue half of the time after the release")
	}
	g.heartbeat("m", 1, fenced)
	g.settle(store.Committed)
	if commands := starts(g.heartbeat("m", 1, fenced)); len(commands) != 2 {
		t.Errorf("started %v", commands)
	}
}

// Blocked jobs hold nothing of their team's guarantee: a younger job of the team that can run is within it.
func TestBlockedJobHoldsNoGuarantee(t *testing.T) {
	g := newDependentRig(t, 1, map[string]json.RawMessage{}, config.Team{Name: "t", CPUs: 2})
	first := spec(1, 1)
	for n := range 100 {
		g.read(jobs.Pending, follower(n+2, 4, first))
	}
	young := g.read(jobs.Pending, spec(200, 2))
	g.RankJobs(g.now)
	if !g.ranking.withinGuarantee[young.Index] || young.QueuePosition != 1 {
		t.Errorf("within %v, position %d", g.ranking.withinGuarantee[young.Index], young.QueuePosition)
	}
}

// The objectives on waiting and on guarantees count from the release: a job that waited for others longer than they allow
// can still meet them.
func TestWaitObjectivesCountFromTheRelease(t *testing.T) {
	for _, objective := range []config.Objective{
		{Kind: objectiveWait, Class: "c", WithinS: 30},
		{Kind: objectiveGuarantee, WithinS: 30},
		{Kind: objectiveFinished, Class: "c", WithinS: 40},
	} {
		g := newDependentRig(t, 1, map[string]json.RawMessage{}, config.Team{Name: "t", CPUs: 8})
		g.Settings.Params.Objectives = []config.Objective{objective}
		first := g.read(jobs.Pending, spec(1, 1))
		last := g.read(jobs.Pending, follower(2, 1, first.Spec))
		g.now += 10 * time.Minute
		g.read(jobs.Done, first.Spec)
		g.RankJobs(g.now)
		latestStart, attainable := g.latestUsefulStart(g.now, last)
		if want := g.now + 30*time.Second; !attainable || latestStart != want {
			t.Errorf("%s: latest start %v, attainable %v, want %v", objective.Kind, latestStart, attainable, want)
		}
	}
}

// A job ranks by the priority of the job that needs it, and by the deadline that leaves time for the jobs in between.
func TestPredecessorRanksByItsSuccessors(t *testing.T) {
	g := newDependentRig(t, 1, map[string]json.RawMessage{}, config.Team{Name: "t"})
	alone := g.read(jobs.Pending, spec(1, 1))
	first := g.read(jobs.Pending, spec(2, 1))
	middle := g.read(jobs.Pending, follower(3, 1, first.Spec))
	last := follower(4, 1, middle.Spec)
	last.Priority = "urgent"
	g.read(jobs.Pending, last)
	if got := g.ranked(); !slices.Equal(got, []string{first.ID, alone.ID}) {
		t.Errorf("by priority: %v", got)
	}
	g.read(jobs.Cancelled, last)
	if got := g.ranked(); !slices.Equal(got, []string{alone.ID, first.ID}) {
		t.Errorf("without the last: %v", got)
	}
	deadlineS := 1000.0
	withDeadline := follower(5, 1, middle.Spec)
	withDeadline.DeadlineS = &deadlineS
	g.read(jobs.Pending, withDeadline)
	if got := g.ranked(); !slices.Equal(got, []string{first.ID, alone.ID}) {
		t.Errorf("by deadline: %v", got)
	}
	latestStart, _ := g.latestUsefulStart(g.now, first)
	// Two stages of 10 s, with a fetch of 1 s and two heartbeats of 3 s each, follow the 10 s of the first.
	if want := (1000 - 2*17 - 10) * time.Second; latestStart != want {
		t.Errorf("latest start %v, want %v", latestStart, want)
	}
}

// takenOver returns a rig of the next leader, which doesn't know yet what became of the predecessor of a job with a running
// task and one that waits.
func takenOver(t *testing.T, kind jobs.Kind) (g *dependentRig, job *jobs.Job) {
	t.Helper()
	kv := map[string]json.RawMessage{}
	team := config.Team{Name: "t"}
	former := newDependentRig(t, 1, kv, team)
	former.heartbeat("m", 1, fenced)
	first := former.read(jobs.Pending, spec(1, 1))
	last := follower(2, 2, first.Spec)
	last.Kind = kind
	last.CPUs = 2
	former.read(jobs.Pending, last)
	former.read(jobs.Done, first.Spec)
	former.settle(store.Committed)
	if commands := starts(former.heartbeat("m", 1, fenced)); len(commands) != 2 {
		t.Fatalf("started %v", commands)
	}
	delete(kv, jobs.RecordKey(first.ID)) // it was archived
	g = newDependentRig(t, 2, kv, team)
	return g, g.Jobs.Get(last.ID)
}

// A new leader that doesn't know a running job's predecessor keeps its tasks running and starts nothing of it; it goes on
// once the predecessor is known.
func TestRecoveredTasksOfABlockedJobKeepRunning(t *testing.T) {
	g, job := takenOver(t, jobs.Array)
	if !job.Blocked || job.Tasks[0].State != jobs.Recovered {
		t.Fatalf("blocked %v, task %v", job.Blocked, job.Tasks[0].State)
	}
	running := TaskReport{Task: taskName(job, 0), Attempt: job.Tasks[0].Attempt, State: taskRunning}
	for range 3 {
		if commands := g.heartbeat("m", 1, 2*fenced, running); len(commands) != 0 {
			t.Fatalf("commands %+v", commands)
		}
		g.settle(store.Committed)
	}
	if !job.Tasks[0].State.Occupies() || len(g.sentDirect) != 0 {
		t.Errorf("task 0 %v, %d direct requests", job.Tasks[0].State, len(g.sentDirect))
	}
	g.graph.HandleArchived(g.now, "req-000001", jobs.Done)
	g.settle(store.Committed)
	if commands := starts(g.heartbeat("m", 1, 2*fenced, running)); len(commands) != 1 {
		t.Errorf("started %v after the release", commands)
	}
}

// A new leader leaves a blocked job without plans alone until it is released.
func TestBlockedJobIsNotPlannedAfterTakeover(t *testing.T) {
	kv := map[string]json.RawMessage{}
	waiting := follower(2, 2, spec(1, 1))
	kv[jobs.RecordKey(waiting.ID)] = jobs.EncodeRecord(jobs.Pending, 0, waiting.Tasks, waiting)
	g := newDependentRig(t, 2, kv, config.Team{Name: "t"})
	job := g.Jobs.Get(waiting.ID)
	g.heartbeat("m", 1, 2*fenced)
	g.settle(store.Committed)
	if got := g.ranked(); job.Tasks != nil || len(got) != 0 || len(g.Demand(g.now)) != 0 {
		t.Fatalf("%d tasks, ranked %v", len(job.Tasks), got)
	}
	g.graph.HandleArchived(g.now, spec(1, 1).ID, jobs.Done)
	g.settle(store.Committed)
	if commands := starts(g.heartbeat("m", 1, 2*fenced)); len(commands) != 2 {
		t.Errorf("started %v after the release", commands)
	}
}

// A new leader finds a gang of which one task is durably done, and doesn't know the gang's predecessor. Once it does, the
// whole gang is done: its other task isn't started again when its machine is lost.
func TestFinishedGangOfABlockedJobIsDone(t *testing.T) {
	kv := map[string]json.RawMessage{}
	team := config.Team{Name: "t"}
	former := newDependentRig(t, 1, kv, team)
	first := former.read(jobs.Pending, spec(1, 1))
	gang := follower(2, 2, first.Spec)
	gang.Kind = jobs.Gang
	gang.CPUs = 3
	former.heartbeat("m1", 1, fenced)
	former.heartbeat("m2", 1, fenced)
	last := former.read(jobs.Pending, gang)
	former.read(jobs.Done, first.Spec)
	former.settle(store.Committed)
	former.heartbeat("m1", 1, fenced)
	former.heartbeat("m2", 1, fenced)
	firstMachine := former.machines[last.Tasks[0].Machine].Name
	former.heartbeat(firstMachine, 1, fenced, doneReport(last))
	former.settle(store.Committed)
	delete(kv, jobs.RecordKey(first.ID)) // it was archived

	g := newDependentRig(t, 2, kv, team)
	job := g.Jobs.Get(last.ID)
	if job.FinishedTasks != 1 || !job.Tasks[1].State.Occupies() {
		t.Fatalf("%d tasks done, the other %v", job.FinishedTasks, job.Tasks[1].State)
	}
	g.graph.HandleArchived(g.now, first.ID, jobs.Done)
	if !job.GangDone {
		t.Error("the gang isn't done")
	}
}
