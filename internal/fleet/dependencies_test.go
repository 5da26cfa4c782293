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

// dependentRig is a rig with a dependency graph of its jobs.
type dependentRig struct {
	*rig
	graph *dependencies.Graph
}

// newDependentRig returns a rig that has applied the job records and loaded the plans in kv.
func newDependentRig(t testing.TB, term uint64, kv map[string]json.RawMessage, teams ...config.Team) *dependentRig {
	t.Helper()
	g := &dependentRig{rig: newRigOf(t, term, kv, teams)}
	g.graph = dependencies.New(g.Jobs, g.HandleJobReleased)
	g.LatestEnds = g.graph.LatestEnds
	g.Jobs.ForEach(func(job *jobs.Job) { g.graph.HandleJobChange(g.now, job) })
	return g
}

// storeRecord stores a job's record and applies it to the job table, the graph and the fleet.
func (g *dependentRig) storeRecord(state jobs.State, spec *jobs.Spec) *jobs.Job {
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

// follower returns the specification of a job with predecessors.
func follower(n, tasks int, predecessors ...*jobs.Spec) *jobs.Spec {
	s := spec(n, tasks)
	for _, predecessor := range predecessors {
		s.Follows = append(s.Follows, predecessor.ID)
	}
	return s
}

// rankedIDs returns the ids of the ranked jobs, highest priority first.
func (g *dependentRig) rankedIDs() []string {
	g.RankJobs(g.now)
	var ids []string
	for _, job := range g.ranking.jobs {
		ids = append(ids, job.ID)
	}
	return ids
}

// A blocked job must not be ranked, planned or started, must not count as demand for machines, and must not have an
// overdue start.
func TestBlockedJobIsNotPlanned(t *testing.T) {
	g := newDependentRig(t, 1, map[string]json.RawMessage{}, config.Team{Name: "t"})
	g.Settings.Operator.StartDeadlineS = 10
	g.heartbeat("m", 1, fenced)
	first := g.storeRecord(jobs.Pending, spec(1, 1))
	last := g.storeRecord(jobs.Pending, follower(2, 2, first.Spec))
	g.settle(store.Committed)
	commands := starts(g.heartbeat("m", 1, fenced))
	if len(commands) != 1 || commands[0].Task != taskName(first, 0) || last.Tasks != nil {
		t.Fatalf("got starts %v, blocked job's tasks %v, want a start of the predecessor, no tasks", commands, last.Tasks)
	}
	if got := g.rankedIDs(); !slices.Equal(got, []string{first.ID}) {
		t.Errorf("got ranked jobs %v, want only the predecessor", got)
	}
	for _, demand := range g.Demand(g.now) {
		if demand.Job == last {
			t.Error("got demand for machines from a blocked job, want none")
		}
	}
	g.now += time.Minute
	if g.startOverdue(g.now, last) {
		t.Error("blocked job after a minute: got an overdue start, want none")
	}
}

// A released job must be planned and started at once. It counts as ready from its release, so its start must not be
// overdue, however long ago it was submitted.
func TestReleasedJobIsPlanned(t *testing.T) {
	g := newDependentRig(t, 1, map[string]json.RawMessage{}, config.Team{Name: "t"})
	g.Settings.Operator.StartDeadlineS = 60
	first := g.storeRecord(jobs.Pending, spec(1, 1))
	last := g.storeRecord(jobs.Pending, follower(2, 2, first.Spec))
	g.settle(store.Committed)
	g.now += 5 * time.Minute
	releasedAt := g.now
	g.storeRecord(jobs.Done, first.Spec)
	if last.Blocked || last.ReadyAt() != releasedAt {
		t.Fatalf("got blocked %v, ready at %v, want false, %v", last.Blocked, last.ReadyAt(), releasedAt)
	}
	if g.startOverdue(g.now+29*time.Second, last) || !g.startOverdue(g.now+31*time.Second, last) {
		t.Error("start with a deadline of 60 s: want overdue 31 s after the release, and not after 29 s")
	}
	g.heartbeat("m", 1, fenced)
	g.settle(store.Committed)
	if commands := starts(g.heartbeat("m", 1, fenced)); len(commands) != 2 {
		t.Errorf("got starts %v, want 2", commands)
	}
}

// Blocked jobs must not use their team's guarantee: a younger job of the team that can run is within the guarantee.
func TestBlockedJobHoldsNoGuarantee(t *testing.T) {
	g := newDependentRig(t, 1, map[string]json.RawMessage{}, config.Team{Name: "t", CPUs: 2})
	first := spec(1, 1)
	for n := range 100 {
		g.storeRecord(jobs.Pending, follower(n+2, 4, first))
	}
	young := g.storeRecord(jobs.Pending, spec(200, 2))
	g.RankJobs(g.now)
	if !g.ranking.withinGuarantee[young.Index] || young.QueuePosition != 1 {
		t.Errorf("got within guarantee %v at position %d, want true at 1", g.ranking.withinGuarantee[young.Index], young.QueuePosition)
	}
}

// The objectives on waiting and on guarantees must count from the release. Otherwise a job that was blocked for longer
// than the objective's time could never meet the objective.
func TestWaitObjectivesCountFromTheRelease(t *testing.T) {
	for _, objective := range []config.Objective{
		{Kind: objectiveWait, Class: "c", WithinS: 30},
		{Kind: objectiveGuarantee, WithinS: 30},
		{Kind: objectiveFinished, Class: "c", WithinS: 40},
	} {
		g := newDependentRig(t, 1, map[string]json.RawMessage{}, config.Team{Name: "t", CPUs: 8})
		g.Settings.Params.Objectives = []config.Objective{objective}
		first := g.storeRecord(jobs.Pending, spec(1, 1))
		last := g.storeRecord(jobs.Pending, follower(2, 1, first.Spec))
		g.now += 10 * time.Minute
		g.storeRecord(jobs.Done, first.Spec)
		g.RankJobs(g.now)
		latestStart, attainable := g.latestUsefulStart(g.now, last)
		if want := g.now + 30*time.Second; !attainable || latestStart != want {
			t.Errorf("%s: got latest start %v, attainable %v, want %v, true", objective.Kind, latestStart, attainable, want)
		}
	}
}

// A job must rank by the highest priority of the jobs that depend on it, and by their deadline less the time for the
// jobs in between.
func TestPredecessorRanksByItsSuccessors(t *testing.T) {
	g := newDependentRig(t, 1, map[string]json.RawMessage{}, config.Team{Name: "t"})
	alone := g.storeRecord(jobs.Pending, spec(1, 1))
	first := g.storeRecord(jobs.Pending, spec(2, 1))
	middle := g.storeRecord(jobs.Pending, follower(3, 1, first.Spec))
	last := follower(4, 1, middle.Spec)
	last.Priority = "urgent"
	g.storeRecord(jobs.Pending, last)
	if got := g.rankedIDs(); !slices.Equal(got, []string{first.ID, alone.ID}) {
		t.Errorf("successor with priority urgent: got ranked jobs %v, want the predecessor before the single job", got)
	}
	g.storeRecord(jobs.Cancelled, last)
	if got := g.rankedIDs(); !slices.Equal(got, []string{alone.ID, first.ID}) {
		t.Errorf("urgent successor cancelled: got ranked jobs %v, want the single job before the predecessor", got)
	}
	deadlineS := 1000.0
	withDeadline := follower(5, 1, middle.Spec)
	withDeadline.DeadlineS = &deadlineS
	g.storeRecord(jobs.Pending, withDeadline)
	if got := g.rankedIDs(); !slices.Equal(got, []string{first.ID, alone.ID}) {
		t.Errorf("successor with a deadline: got ranked jobs %v, want the predecessor before the single job", got)
	}
	latestStart, _ := g.latestUsefulStart(g.now, first)
	// Two stages of 17 s follow the first job's 10 s: a run of 10 s, a download of 1 s and two heartbeats of 3 s each.
	if want := (1000 - 2*17 - 10) * time.Second; latestStart != want {
		t.Errorf("got latest start %v, want %v", latestStart, want)
	}
}

// newRigAfterFailover returns a rig of the next leader and a job with a running and a waiting task. The leader has no
// record of the job's predecessor, which was archived.
func newRigAfterFailover(t *testing.T, kind jobs.Kind) (g *dependentRig, job *jobs.Job) {
	t.Helper()
	kv := map[string]json.RawMessage{}
	team := config.Team{Name: "t"}
	former := newDependentRig(t, 1, kv, team)
	former.heartbeat("m", 1, fenced)
	first := former.storeRecord(jobs.Pending, spec(1, 1))
	last := follower(2, 2, first.Spec)
	last.Kind = kind
	last.CPUs = 2
	former.storeRecord(jobs.Pending, last)
	former.storeRecord(jobs.Done, first.Spec)
	former.settle(store.Committed)
	if commands := starts(former.heartbeat("m", 1, fenced)); len(commands) != 2 {
		t.Fatalf("got starts %v, want 2", commands)
	}
	delete(kv, jobs.RecordKey(first.ID)) // the predecessor was archived
	g = newDependentRig(t, 2, kv, team)
	return g, g.Jobs.Get(last.ID)
}

// A new leader without a record of a running job's predecessor must keep the job's tasks running and start no more of
// them. It must start the others after the archive shows that the predecessor is done.
func TestRecoveredTasksOfABlockedJobKeepRunning(t *testing.T) {
	g, job := newRigAfterFailover(t, jobs.Array)
	if !job.Blocked || job.Tasks[0].State != jobs.Recovered {
		t.Fatalf("after failover: got blocked %v, task state %v, want true, recovered", job.Blocked, job.Tasks[0].State)
	}
	running := TaskReport{Task: taskName(job, 0), Attempt: job.Tasks[0].Attempt, State: taskRunning}
	for range 3 {
		if commands := g.heartbeat("m", 1, 2*fenced, running); len(commands) != 0 {
			t.Fatalf("blocked job's running task: got commands %+v, want none", commands)
		}
		g.settle(store.Committed)
	}
	if !job.Tasks[0].State.Occupies() || len(g.sentDirect) != 0 {
		t.Errorf("got task 0 in state %v, %d direct requests, want it on its machine, 0", job.Tasks[0].State, len(g.sentDirect))
	}
	g.graph.HandleArchived(g.now, "req-000001", jobs.Done)
	g.settle(store.Committed)
	if commands := starts(g.heartbeat("m", 1, 2*fenced, running)); len(commands) != 1 {
		t.Errorf("after the release: got starts %v, want 1", commands)
	}
}

// A new leader must not plan a blocked job without plans until the job is released.
func TestBlockedJobIsNotPlannedAfterFailover(t *testing.T) {
	kv := map[string]json.RawMessage{}
	waiting := follower(2, 2, spec(1, 1))
	kv[jobs.RecordKey(waiting.ID)] = jobs.EncodeRecord(jobs.Pending, 0, waiting.Tasks, waiting)
	g := newDependentRig(t, 2, kv, config.Team{Name: "t"})
	job := g.Jobs.Get(waiting.ID)
	g.heartbeat("m", 1, 2*fenced)
	g.settle(store.Committed)
	if got := g.rankedIDs(); job.Tasks != nil || len(got) != 0 || len(g.Demand(g.now)) != 0 {
		t.Fatalf("got %d tasks, ranked jobs %v, want none of either and no demand", len(job.Tasks), got)
	}
	g.graph.HandleArchived(g.now, spec(1, 1).ID, jobs.Done)
	g.settle(store.Committed)
	if commands := starts(g.heartbeat("m", 1, 2*fenced)); len(commands) != 2 {
		t.Errorf("after the release: got starts %v, want 2", commands)
	}
}

// A new leader reads the plan of a gang with one task durably done, and has no record of the gang's predecessor. After
// the release, the whole gang must be done. Otherwise its other task would be started again after the loss of its
// machine.
func TestFinishedGangOfABlockedJobIsDone(t *testing.T) {
	kv := map[string]json.RawMessage{}
	team := config.Team{Name: "t"}
	former := newDependentRig(t, 1, kv, team)
	first := former.storeRecord(jobs.Pending, spec(1, 1))
	gang := follower(2, 2, first.Spec)
	gang.Kind = jobs.Gang
	gang.CPUs = 3
	former.heartbeat("m1", 1, fenced)
	former.heartbeat("m2", 1, fenced)
	last := former.storeRecord(jobs.Pending, gang)
	former.storeRecord(jobs.Done, first.Spec)
	former.settle(store.Committed)
	former.heartbeat("m1", 1, fenced)
	former.heartbeat("m2", 1, fenced)
	firstMachine := former.machines[last.Tasks[0].Machine].Name
	former.heartbeat(firstMachine, 1, fenced, doneReport(last))
	former.settle(store.Committed)
	delete(kv, jobs.RecordKey(first.ID)) // the predecessor was archived

	g := newDependentRig(t, 2, kv, team)
	job := g.Jobs.Get(last.ID)
	if job.FinishedTasks != 1 || !job.Tasks[1].State.Occupies() {
		t.Fatalf("after failover: got %d done tasks, the other in state %v, want 1, one on its machine",
			job.FinishedTasks, job.Tasks[1].State)
	}
	g.graph.HandleArchived(g.now, first.ID, jobs.Done)
	if !job.GangDone {
		t.Error("after the release: got a gang that is not done, want done")
	}
}
