package dependencies

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

// storedJob is a job's data at the state service.
type storedJob struct {
	spec         *jobs.Spec
	state        jobs.State
	records      []versionedRecord // all records written, oldest first
	deletedAt    uint64            // version at which its record was moved to the archive; 0 if it wasn't
	deletionRead bool              // whether the controller has read the deletion of the record
	isArchived   bool              // whether the job was moved to the archive
}

type versionedRecord struct {
	state   jobs.State
	raw     json.RawMessage
	version uint64
}

// history is a random sequence of changes to jobs at the state service. A controller reads some of them, in any order
// that the watch, listings and reads of single keys allow.
type history struct {
	*controller
	random   *rand.Rand
	revision uint64
	jobs     []*storedJob
	model    model
	releases int // number of releases in all steps
}

func newHistory(t *testing.T, random *rand.Rand) *history {
	return &history{controller: newController(t), random: random, model: model{views: map[string]*jobView{}}}
}

// write stores a job's record with its current state.
func (h *history) write(job *storedJob) {
	h.revision++
	raw := jobs.EncodeRecord(job.state, 0, job.spec.Tasks, job.spec)
	job.records = append(job.records, versionedRecord{job.state, raw, h.revision})
}

// accept stores a new job with up to three predecessors.
func (h *history) accept() {
	spec := newSpec(len(h.jobs) + 1)
	spec.ID = jobID(h.random.IntN(100)*1000 + len(h.jobs) + 1)
	spec.Priority = priorityNames[h.random.IntN(len(priorityNames))]
	spec.Tasks = 1 + h.random.IntN(9)
	if h.random.IntN(2) == 0 {
		deadlineS := float64(h.random.IntN(100))
		spec.DeadlineS = &deadlineS
	}
	for _, i := range h.random.Perm(len(h.jobs))[:min(len(h.jobs), h.random.IntN(4))] {
		spec.Follows = append(spec.Follows, h.jobs[i].spec.ID)
	}
	job := &storedJob{spec: spec}
	h.jobs = append(h.jobs, job)
	h.write(job)
}

// end stores the end of a job: done if mayBeDone is set and all of its predecessors are done, otherwise cancelled.
func (h *history) end(job *storedJob, mayBeDone bool) {
	if job.state.Terminal() {
		return
	}
	job.state = jobs.Cancelled
	unfinished := func(other *storedJob) bool {
		return other.state != jobs.Done && slices.Contains(job.spec.Follows, other.spec.ID)
	}
	if mayBeDone && !slices.ContainsFunc(h.jobs, unfinished) {
		job.state = jobs.Done
	}
	h.write(job)
}

// archive moves an ended job's record to the archive.
func (h *history) archive(job *storedJob) {
	if job.state.Terminal() && !job.isArchived {
		h.revision++
		job.deletedAt = h.revision
		job.isArchived = true
	}
}

// readRecord has the controller read one of a job's records: the first in one of three cases, otherwise the newest. It
// does nothing once the controller has read the deletion.
func (h *history) readRecord(job *storedJob) {
	record := job.records[len(job.records)-1]
	if h.random.IntN(3) == 0 {
		record = job.records[0]
	}
	if job.deletionRead {
		return
	}
	h.read(job.spec.ID, record.raw, record.version)
	h.updateView(job, record.state)
}

// updateView applies a record to the model's view of the job.
func (h *history) updateView(job *storedJob, state jobs.State) {
	view := h.model.viewOf(job.spec.ID)
	if view.state.Terminal() {
		return
	}
	view.state = state
	view.isLive = !state.Terminal()
	if view.isLive {
		view.follows = job.spec.Follows
		view.ownPriority = job.spec.PriorityLevel()
		view.runTime = runTimeOf(job.spec.Tasks)
		view.deadline = noDeadline
		if job.spec.DeadlineS != nil {
			view.deadline = jobs.Seconds(*job.spec.DeadlineS)
		}
	}
}

func runTimeOf(tasks int) time.Duration { return time.Duration(tasks) * time.Second }

// readRemoval has the controller read that a job's record was removed from the watched keys.
func (h *history) readRemoval(job *storedJob) {
	if !job.isArchived || job.deletionRead {
		return
	}
	job.deletionRead = true
	h.readDeletion(job.spec.ID, job.deletedAt)
	h.clearView(job)
}

// clearView clears the model's view of a job if that view is live.
func (h *history) clearView(job *storedJob) {
	if view := h.model.viewOf(job.spec.ID); view.isLive {
		*view = jobView{}
	}
}

// readArchiveEntry has the controller read a job's archive entry if the job is Unknown in the graph.
func (h *history) readArchiveEntry(job *storedJob) {
	if !job.isArchived || !slices.Contains(h.unknown(), job.spec.ID) {
		return
	}
	job.deletionRead = true // the entry is read only after the record was found absent
	h.graph.HandleArchived(h.now, job.spec.ID, job.state)
	h.model.viewOf(job.spec.ID).state = job.state
}

// list has the controller read all existing records in a random order. It compares the graph with the model after each
// record and after the end of the listing.
func (h *history) list() {
	h.t.Helper()
	present := map[string]bool{}
	for _, i := range h.random.Perm(len(h.jobs)) {
		job := h.jobs[i]
		if job.isArchived {
			continue
		}
		newest := job.records[len(job.records)-1]
		present[job.spec.ID] = true
		h.checkedStep(func() {
			h.read(job.spec.ID, newest.raw, newest.version)
			h.updateView(job, newest.state)
		})
	}
	h.checkedStep(func() { h.removeMissing(present) })
}

// removeMissing has the controller remove the jobs that a listing lacks. present holds the ids of the listed jobs.
func (h *history) removeMissing(present map[string]bool) {
	h.table.ArchiveMissing(h.revision, func(id string) bool { return present[id] })
	h.graph.RemoveMissing()
	for _, job := range h.jobs {
		if job.isArchived {
			job.deletionRead = true
			h.clearView(job)
		}
	}
}

// createTasks creates the tasks of all jobs that may run, as a leader does. The table keeps such jobs when they are
// archived.
func (h *history) createTasks() {
	h.table.ForEachLive(func(job *jobs.Job) {
		if !job.Blocked {
			job.CreateTasks()
		}
	})
}

// randomJob returns a random job.
func (h *history) randomJob() *storedJob { return h.jobs[h.random.IntN(len(h.jobs))] }

// step performs a random step of the state service or the controller and compares the graph with the model.
func (h *history) step() {
	h.t.Helper()
	h.now += time.Second
	if h.random.IntN(16) == 0 {
		h.list()
		return
	}
	h.checkedStep(h.singleStep)
}

// singleStep performs a random step other than a listing.
func (h *history) singleStep() {
	if len(h.jobs) == 0 {
		h.accept()
		return
	}
	switch h.random.IntN(16) {
	case 0, 1:
		h.accept()
	case 2, 3, 4:
		h.end(h.randomJob(), h.random.IntN(8) > 0)
	case 5:
		h.archive(h.randomJob())
	case 6:
		h.readRemoval(h.randomJob())
	case 7, 8:
		h.readArchiveEntry(h.randomJob())
	case 9:
		h.createTasks()
	case 10:
		h.table.ResetPlanning()
	default:
		h.readRecord(h.randomJob())
	}
}

// finish ends and archives all jobs and has the controller list them.
func (h *history) finish() {
	for _, job := range h.jobs {
		h.end(job, true)
		h.archive(job)
	}
	h.list()
	h.checkedStep(h.table.ResetPlanning)
}

// hasTerminalState reports whether a job is in the table with a terminal state.
func (h *history) hasTerminalState(id string) bool {
	job := h.table.Get(id)
	return job != nil && job.State.Terminal()
}

// checkedStep performs a step and compares the graph with the model.
func (h *history) checkedStep(step func()) {
	h.t.Helper()
	before := h.model.states()
	h.released = nil
	step()
	h.releases += len(h.released)
	released := h.model.update(h.now, before, h.hasTerminalState)
	slices.Sort(h.released)
	if !slices.Equal(h.released, released) {
		h.t.Fatalf("released jobs %v, want %v", h.released, released)
	}
	h.checkGraph()
	latestEndOf := h.graph.LatestEnds(func(job *jobs.Job) time.Duration { return runTimeOf(job.TaskCount) })
	for _, job := range h.jobs {
		h.checkNode(job.spec.ID)
		h.checkJob(job.spec.ID)
		h.checkLatestEnd(job.spec.ID, latestEndOf)
	}
}

// checkGraph compares the results of the graph that cover all jobs with the model.
func (h *history) checkGraph() {
	h.t.Helper()
	var unknown, cancelPending []string
	size := 0
	for id, state := range h.model.states() {
		if !h.model.isInGraph(id) {
			continue
		}
		size++
		switch state {
		case Unknown:
			unknown = append(unknown, id)
		case CancelPending:
			cancelPending = append(cancelPending, id)
		}
	}
	slices.Sort(unknown)
	slices.Sort(cancelPending)
	if got := h.graph.Len(); got != size {
		h.t.Fatalf("%d nodes in the graph, want %d", got, size)
	}
	if got := slices.Sorted(slices.Values(h.unknown())); !slices.Equal(got, unknown) {
		h.t.Fatalf("unknown jobs %v, want %v", got, unknown)
	}
	if got := slices.Sorted(slices.Values(h.cancelPending())); !slices.Equal(got, cancelPending) {
		h.t.Fatalf("jobs to be cancelled %v, want %v", got, cancelPending)
	}
}

// checkNode compares the results of the graph for one job with the model.
func (h *history) checkNode(id string) {
	h.t.Helper()
	want := Unknown
	if h.model.isInGraph(id) {
		want = h.model.state(id)
	}
	if got := h.graph.State(id); got != want {
		h.t.Fatalf("state of %s is %v, want %v", id, got, want)
	}
	if got, want := h.graph.HasSuccessors(id), len(h.model.successors(id)) > 0; got != want {
		h.t.Fatalf("HasSuccessors(%s) = %v, want the opposite", id, got)
	}
	if got, want := h.graph.HasUnknownAncestor(id), h.model.hasUnknownAncestor(id); got != want {
		h.t.Fatalf("HasUnknownAncestor(%s) = %v, want the opposite", id, got)
	}
	unfinished := h.model.unfinished(id)
	ids, count := h.graph.Unfinished(id, 2)
	if count != len(unfinished) || len(ids) != min(2, count) {
		h.t.Fatalf("Unfinished(%s) returned count %d and ids %v; want all of %v counted and up to 2 returned",
			id, count, ids, unfinished)
	}
	for _, predecessor := range ids {
		if !slices.Contains(unfinished, predecessor) {
			h.t.Fatalf("unfinished predecessors of %s: %v, want only jobs of %v", id, ids, unfinished)
		}
	}
}

// checkJob compares the fields that the graph sets in a live job with the model.
func (h *history) checkJob(id string) {
	h.t.Helper()
	if !h.model.isLive(id) {
		return
	}
	job := h.table.Get(id)
	state := h.model.state(id)
	if job.Blocked != (state == Blocked || state == CancelPending) || job.CancelPending != (state == CancelPending) {
		h.t.Fatalf("%s has state %v in the model, but fields Blocked %v and CancelPending %v",
			id, state, job.Blocked, job.CancelPending)
	}
	if want := h.model.viewOf(id).releasedAt; job.ReleasedAt != want {
		h.t.Fatalf("%s released at %v, want %v", id, job.ReleasedAt, want)
	}
	if want := h.model.priority(id); job.Priority != want {
		h.t.Fatalf("%s has priority %d, want %d", id, job.Priority, want)
	}
}

// checkLatestEnd compares a live job's latest end with the model's, which follows all paths to dependent jobs.
func (h *history) checkLatestEnd(id string, latestEndOf func(*jobs.Job) (time.Duration, bool)) {
	h.t.Helper()
	if !h.model.isLive(id) {
		return
	}
	want := h.model.latestEnd(id)
	got, found := latestEndOf(h.table.Get(id))
	if found != (want != noDeadline) || found && got != want {
		h.t.Fatalf("latest end of %s is %v, found %v; want %v", id, got, found, want)
	}
}

// The graph returns the same results as a simple model for random changes of the jobs, read in random order. The graph
// is empty after all jobs have ended and were removed from the watched keys.
func TestGraphMatchesModel(t *testing.T) {
	const (
		histories = 3000
		steps     = 60
	)
	releases := 0
	for seed := range uint64(histories) {
		h := newHistory(t, rand.New(rand.NewPCG(seed, 1)))
		for range steps {
			h.step()
		}
		h.finish()
		releases += h.releases
		if h.graph.Len() != 0 || h.graph.Edges() != 0 || h.graph.unknown.Len()+h.graph.cancelPending.Len() != 0 {
			t.Fatalf("seed %d: %d nodes and %d edges after all jobs were archived, want an empty graph",
				seed, h.graph.Len(), h.graph.Edges())
		}
	}
	t.Logf("%d releases in all histories", releases)
	if releases < histories/3 {
		t.Errorf("%d releases in all histories, want at least a third of the number of histories", releases)
	}
}
