package dependencies

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

// storedJob is a job as the state service has it.
type storedJob struct {
	spec       *jobs.Spec
	state      jobs.State
	records    []versionedRecord // all that were written, oldest first
	deletedAt  uint64            // the version at which its record was moved to the archive, 0: it wasn't
	isDeleted  bool              // the controller was told so
	isArchived bool
}

type versionedRecord struct {
	state   jobs.State
	raw     json.RawMessage
	version uint64
}

// history is a random run of jobs at the state service, of which a controller is told parts in any order that the watch,
// listings and single reads allow.
type history struct {
	*controller
	random   *rand.Rand
	revision uint64
	jobs     []*storedJob
	model    model
	releases int // in all steps
}

func newHistory(t *testing.T, random *rand.Rand) *history {
	return &history{controller: newController(t), random: random, model: model{views: map[string]*view{}}}
}

// write stores a job's record in its present state.
func (h *history) write(job *storedJob) {
	h.revision++
	raw := jobs.EncodeRecord(job.state, 0, job.spec.Tasks, job.spec)
	job.records = append(job.records, versionedRecord{job.state, raw, h.revision})
}

// accept stores a new job that follows up to four others.
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

// end stores the end of a job: cancelled, or done if all of its predecessors are.
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

// readRecord tells the controller one of a job's records, mostly the newest. The controller ignores it by itself once it
// knows of the deletion.
func (h *history) readRecord(job *storedJob) {
	record := job.records[len(job.records)-1]
	if h.random.IntN(3) == 0 {
		record = job.records[0]
	}
	if job.isDeleted {
		return
	}
	h.read(job.spec.ID, record.raw, record.version)
	h.noteRecord(job, record.state)
}

// noteRecord tells the model a record.
func (h *history) noteRecord(job *storedJob, state jobs.State) {
	known := h.model.viewOf(job.spec.ID)
	if known.state.Terminal() {
		return
	}
	known.state = state
	known.isLive = !state.Terminal()
	if known.isLive {
		known.follows = job.spec.Follows
		known.ownPriority = job.spec.PriorityLevel()
		known.runTime = runTimeOf(job.spec.Tasks)
		known.deadline = never
		if job.spec.DeadlineS != nil {
			known.deadline = jobs.Seconds(*job.spec.DeadlineS)
		}
	}
}

func runTimeOf(tasks int) time.Duration { return time.Duration(tasks) * time.Second }

// readArchiving tells the controller that a job's record has left the followed keys.
func (h *history) readArchiving(job *storedJob) {
	if !job.isArchived || job.isDeleted {
		return
	}
	job.isDeleted = true
	h.readDeletion(job.spec.ID, job.deletedAt)
	h.noteRemoved(job)
}

func (h *history) noteRemoved(job *storedJob) {
	if known := h.model.viewOf(job.spec.ID); known.isLive {
		*known = view{}
	}
}

// readAnswer tells the controller a job's archived answer if it is looking for that.
func (h *history) readAnswer(job *storedJob) {
	if !job.isArchived || !slices.Contains(h.unknown(), job.spec.ID) {
		return
	}
	job.isDeleted = true // the answer was read after the record was read as absent
	h.graph.HandleArchived(h.now, job.spec.ID, job.state)
	h.model.viewOf(job.spec.ID).state = job.state
}

// list tells the controller all records there are, in any order, and compares after each.
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
			h.noteRecord(job, newest.state)
		})
	}
	h.checkedStep(func() { h.retain(present) })
}

// retain tells the controller that there are no other records than those of some jobs.
func (h *history) retain(present map[string]bool) {
	h.table.Retain(h.revision, func(id string) bool { return present[id] })
	h.graph.Retain()
	for _, job := range h.jobs {
		if job.isArchived {
			job.isDeleted = true
			h.noteRemoved(job)
		}
	}
}

// holdTasks has the controller plan all jobs that may run, as a leader does: it keeps them when they are archived.
func (h *history) holdTasks() {
	h.table.ForEachLive(func(job *jobs.Job) {
		if !job.Blocked {
			job.CreateTasks()
		}
	})
}

// anyJob returns a random job.
func (h *history) anyJob() *storedJob { return h.jobs[h.random.IntN(len(h.jobs))] }

// step takes a random step of the state service or of the controller, and compares.
func (h *history) step() {
	h.t.Helper()
	h.now += time.Second
	if h.random.IntN(16) == 0 {
		h.list()
		return
	}
	h.checkedStep(h.singleStep)
}

// singleStep takes a random step other than a listing.
func (h *history) singleStep() {
	if len(h.jobs) == 0 {
		h.accept()
		return
	}
	switch h.random.IntN(16) {
	case 0, 1:
		h.accept()
	case 2, 3, 4:
		h.end(h.anyJob(), h.random.IntN(8) > 0)
	case 5:
		h.archive(h.anyJob())
	case 6:
		h.readArchiving(h.anyJob())
	case 7, 8:
		h.readAnswer(h.anyJob())
	case 9:
		h.holdTasks()
	case 10:
		h.table.ResetPlanning()
	default:
		h.readRecord(h.anyJob())
	}
}

// finish ends and archives all jobs and tells the controller.
func (h *history) finish() {
	for _, job := range h.jobs {
		h.end(job, true)
		h.archive(job)
	}
	h.list()
	h.checkedStep(h.table.ResetPlanning)
}

// hasEnd reports whether the job table has a job's end.
func (h *history) hasEnd(id string) bool {
	job := h.table.Get(id)
	return job != nil && job.State.Terminal()
}

// checkedStep takes a step and compares the graph with the model.
func (h *history) checkedStep(step func()) {
	h.t.Helper()
	before := h.model.states()
	h.released = nil
	step()
	h.releases += len(h.released)
	released := h.model.update(h.now, before, h.hasEnd)
	slices.Sort(h.released)
	if !slices.Equal(h.released, released) {
		h.t.Fatalf("released %v, the model %v", h.released, released)
	}
	h.checkGraph()
	latestEndOf := h.graph.LatestEnds(func(job *jobs.Job) time.Duration { return runTimeOf(job.TaskCount) })
	for _, job := range h.jobs {
		h.checkNode(job.spec.ID)
		h.checkJob(job.spec.ID)
		h.checkLatestEnd(job.spec.ID, latestEndOf)
	}
}

// checkGraph compares what the graph says of all jobs together.
func (h *history) checkGraph() {
	h.t.Helper()
	var unknown, doomed []string
	size := 0
	for id, state := range h.model.states() {
		if !h.model.isInGraph(id) {
			continue
		}
		size++
		switch state {
		case Unknown:
			unknown = append(unknown, id)
		case Doomed:
			doomed = append(doomed, id)
		}
	}
	slices.Sort(unknown)
	slices.Sort(doomed)
	if got := h.graph.Len(); got != size {
		h.t.Fatalf("%d nodes, want %d", got, size)
	}
	if got := slices.Sorted(slices.Values(h.unknown())); !slices.Equal(got, unknown) {
		h.t.Fatalf("unknown %v, want %v", got, unknown)
	}
	if got := slices.Sorted(slices.Values(h.doomed())); !slices.Equal(got, doomed) {
		h.t.Fatalf("doomed %v, want %v", got, doomed)
	}
}

// checkNode compares what the graph says of one job.
func (h *history) checkNode(id string) {
	h.t.Helper()
	want := Unknown
	if h.model.isInGraph(id) {
		want = h.model.state(id)
	}
	if got := h.graph.State(id); got != want {
		h.t.Fatalf("%s is %v, want %v", id, got, want)
	}
	if got, want := h.graph.HasSuccessors(id), len(h.model.successors(id)) > 0; got != want {
		h.t.Fatalf("%s has successors: %v", id, got)
	}
	if got, want := h.graph.HasUnknownAncestor(id), h.model.hasUnknownAncestor(id); got != want {
		h.t.Fatalf("%s has an unknown ancestor: %v", id, got)
	}
	unfinished := h.model.unfinished(id)
	ids, count := h.graph.Unfinished(id, 2)
	if count != len(unfinished) || len(ids) != min(2, count) {
		h.t.Fatalf("%s waits for %d, %v, want %v", id, count, ids, unfinished)
	}
	for _, predecessor := range ids {
		if !slices.Contains(unfinished, predecessor) {
			h.t.Fatalf("%s waits for %v, want %v", id, ids, unfinished)
		}
	}
}

// checkJob compares the fields that the graph sets of a live job.
func (h *history) checkJob(id string) {
	h.t.Helper()
	if !h.model.isLive(id) {
		return
	}
	job := h.table.Get(id)
	state := h.model.state(id)
	if job.Blocked != (state == Blocked || state == Doomed) || job.Doomed != (state == Doomed) {
		h.t.Fatalf("%s is %v, and blocked %v, doomed %v", id, state, job.Blocked, job.Doomed)
	}
	if want := h.model.viewOf(id).releasedAt; job.ReleasedAt != want {
		h.t.Fatalf("%s released at %v, want %v", id, job.ReleasedAt, want)
	}
	if want := h.model.priority(id); job.Priority != want {
		h.t.Fatalf("%s has priority %d, want %d", id, job.Priority, want)
	}
}

// checkLatestEnd compares when a live job may end with what all paths behind it demand.
func (h *history) checkLatestEnd(id string, latestEndOf func(*jobs.Job) (time.Duration, bool)) {
	h.t.Helper()
	if !h.model.isLive(id) {
		return
	}
	want := h.model.latestEnd(id)
	got, found := latestEndOf(h.table.Get(id))
	if found != (want != never) || found && got != want {
		h.t.Fatalf("%s may end at %v, %v, want %v", id, got, found, want)
	}
}

// The graph says what a slow, plain model says, whatever jobs do and in whatever order a controller reads of it. Nothing
// is left once all jobs have ended and left the followed keys.
func TestGraphIsThatOfThePlainModel(t *testing.T) {
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
		if h.graph.Len() != 0 || h.graph.Edges() != 0 || h.graph.unknown.Len()+h.graph.doomed.Len() != 0 {
			t.Fatalf("seed %d: %d nodes and %d edges left", seed, h.graph.Len(), h.graph.Edges())
		}
	}
	t.Logf("%d releases", releases)
	if releases < histories/3 {
		t.Errorf("only %d releases", releases)
	}
}
