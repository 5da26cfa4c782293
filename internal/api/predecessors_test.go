package api

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/archive"
	"github.com/harewalk/harewalk/internal/dependencies"
	"github.com/harewalk/harewalk/internal/httpio"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/simulator/state"
	"github.com/harewalk/harewalk/internal/store"
)

// dependentService is a testService whose controller accepts jobs with predecessors and keeps a dependency graph.
type dependentService struct {
	*testService
	graph   *dependencies.Graph
	accepts bool     // the cluster's level allows jobs with predecessors
	fresh   bool     // the followed keys are
	reads   []string // the paths of all requests but transactions
}

func newDependentService(svc *state.Service) *dependentService {
	s := &dependentService{testService: newTestService(svc), accepts: true, fresh: true}
	s.graph = dependencies.New(s.Jobs, func(time.Duration, *jobs.Job) {})
	s.Dependencies = s.graph.Edges
	s.AcceptsDependencies = func() bool { return s.accepts }
	s.IsBlockedCertain = func(_ time.Duration, id string) bool { return s.fresh && !s.graph.HasUnknownAncestor(id) }
	s.OnJobRecord = func(now time.Duration, item store.Item) {
		job, changed, _ := s.Jobs.Apply(jobs.IDOfKey(item.Key), item.Value, item.Version)
		if changed {
			s.graph.HandleJobChange(now, job)
		}
	}
	s.onRequest = func(request httpio.Request) {
		if request.Path != "/txn" {
			s.reads = append(s.reads, request.Path)
		}
	}
	return s
}

// dependent is the specification of a job that follows others.
func dependent(n int, predecessors ...int) *jobs.Spec {
	spec := job(n)
	for _, predecessor := range predecessors {
		spec.Follows = append(spec.Follows, jobID(predecessor))
	}
	return spec
}

// storeElsewhere stores a job's record, as another controller does, and returns it.
func (s *dependentService) storeElsewhere(state jobs.State, spec *jobs.Spec) store.Item {
	key := jobs.RecordKey(spec.ID)
	s.state.Apply([]store.Op{{Put: key, Value: jobs.EncodeRecord(state, 0, spec.Tasks, spec)}})
	return s.state.Keys[key]
}

// storeAndRead stores a job's record, and has this controller read it.
func (s *dependentService) storeAndRead(state jobs.State, spec *jobs.Spec) {
	s.OnJobRecord(s.state.Now, s.storeElsewhere(state, spec))
}

// storedJob returns a job as it is stored.
func (s *dependentService) storedJob(t *testing.T, n int) *jobs.Job {
	t.Helper()
	item := s.state.Keys[jobs.RecordKey(jobID(n))]
	if item.Version == 0 {
		t.Fatalf("job %d isn't stored", n)
	}
	job, _, err := jobs.NewTable(0).Apply(jobID(n), item.Value, item.Version)
	if err != nil {
		t.Fatal(err)
	}
	return job
}

// expectReply fails unless a reply has a status and the job's state, "" for none.
func expectReply(t *testing.T, reply Reply, status int, state string) {
	t.Helper()
	if reply.Status != status || jobState(reply) != state {
		t.Errorf("%d %q, want %d %q", reply.Status, jobState(reply), status, state)
	}
}

// An id that was never accepted gets 422, once its record and its archived answer were read as absent in this order.
func TestNeverAcceptedPredecessorIsRejectedAfterReads(t *testing.T) {
	s := newDependentService(state.New())
	expectReply(t, s.submit(t, dependent(2, 1)), 422, "")
	want := []string{"/keys/" + jobs.RecordKey(jobID(1)), "/keys/" + archive.Key(jobID(1))}
	if !slices.Equal(s.reads, want) {
		t.Errorf("reads %v, want %v", s.reads, want)
	}
	if s.storedVersion(jobID(2)) != 0 {
		t.Error("the job was stored")
	}
}

// While one of the two reads fails it isn't known whether an id was accepted: 503, never 422.
func TestPredecessorThatCannotBeReadIsNotRejected(t *testing.T) {
	for failing := range 2 {
		s := newDependentService(state.New())
		var replies []Reply
		s.Submit(s.state.Now, dependent(2, 1), func(reply Reply) { replies = append(replies, reply) })
		for range failing {
			s.deliverNext()
		}
		s.dropRequests = true
		s.deliverAll()
		if len(replies) != 1 || replies[0].Status != 503 || replies[0].RetryAfter == 0 {
			t.Errorf("read %d fails: %+v", failing, replies)
		}
	}
}

// An id whose submission waits here to be stored, or whose write is open, may be accepted: 503, never 422.
func TestPredecessorBeingSubmittedIsNotRejected(t *testing.T) {
	s := newDependentService(state.New())
	var first, other, second []Reply
	s.Submit(s.state.Now, job(1), func(reply Reply) { first = append(first, reply) }) // its write is open
	s.Submit(s.state.Now, job(4), func(reply Reply) { other = append(other, reply) }) // waits for that
	s.Submit(s.state.Now, dependent(2, 1), func(reply Reply) { second = append(second, reply) })
	s.Submit(s.state.Now, dependent(3, 4), func(reply Reply) { second = append(second, reply) })
	write := s.queue[0]
	s.queue = s.queue[1:]
	for len(s.queue) > 0 {
		s.deliverNext()
	}
	if len(second) != 2 || second[0].Status != 503 || second[1].Status != 503 {
		t.Errorf("while the first is being stored: %+v", second)
	}
	write()
	s.deliverAll()
	if len(first) != 1 || first[0].Status != 201 || len(other) != 1 || other[0].Status != 201 {
		t.Errorf("the first %+v, the other %+v", first, other)
	}
	expectReply(t, s.submit(t, dependent(2, 1)), 201, "pending")
}

// A predecessor that another controller has just accepted is found by a read.
func TestPredecessorAcceptedElsewhereIsFound(t *testing.T) {
	s := newDependentService(state.New())
	s.storeElsewhere(jobs.Pending, job(1))
	expectReply(t, s.submit(t, dependent(2, 1)), 201, "pending")
	if follows := s.storedJob(t, 2).Spec.Follows; !slices.Equal(follows, []string{jobID(1)}) {
		t.Errorf("follows %v", follows)
	}
	if !s.Jobs.Get(jobID(2)).Blocked || s.graph.State(jobID(2)) != dependencies.Blocked {
		t.Errorf("job 2 is %v", s.graph.State(jobID(2)))
	}
}

// A predecessor that is moved to the archive between the two reads is found.
func TestPredecessorMovedBetweenReadsIsFound(t *testing.T) {
	s := newDependentService(state.New())
	s.ignoreRecords() // the watch has delivered the deletion before the response to the first read
	s.storeElsewhere(jobs.Done, job(1))
	s.beforeResponse = func() { s.archiveElsewhere(jobID(1), archive.Answer{State: jobs.Done, Tasks: 3, Done: 3}) }
	s.submit(t, dependent(2, 1))
	if follows := s.storedJob(t, 2).Spec.Follows; len(follows) != 0 {
		t.Errorf("follows %v", follows)
	}
}

// Archived and recorded predecessors that are done are left out of the stored record: the job needn't wait for them.
func TestDonePredecessorsAreNotStored(t *testing.T) {
	s := newDependentService(state.New())
	s.archiveElsewhere(jobID(1), archive.Answer{State: jobs.Done, Tasks: 3, Done: 3})
	s.storeElsewhere(jobs.Done, job(2))
	s.storeElsewhere(jobs.Pending, job(3))
	expectReply(t, s.submit(t, dependent(4, 1, 2, 3)), 201, "pending")
	if follows := s.storedJob(t, 4).Spec.Follows; !slices.Equal(follows, []string{jobID(3)}) {
		t.Errorf("follows %v", follows)
	}
	expectReply(t, s.submit(t, dependent(5, 1, 2)), 201, "pending")
	if stored := s.storedJob(t, 5); len(stored.Spec.Follows) != 0 || s.Jobs.Get(jobID(5)).Blocked {
		t.Errorf("follows %v, blocked %v", stored.Spec.Follows, s.Jobs.Get(jobID(5)).Blocked)
	}
}

// A job that names a cancelled one is accepted, stored as cancelled, and answered so, however its predecessor is known.
func TestJobAfterCancelledPredecessorIsStoredAsCancelled(t *testing.T) {
	for name, prepare := range map[string]func(*dependentService){
		"archived": func(s *dependentService) {
			s.archiveElsewhere(jobID(1), archive.Answer{State: jobs.Cancelled, Tasks: 3})
		},
		"recorded":     func(s *dependentService) { s.storeElsewhere(jobs.Cancelled, job(1)) },
		"in the table": func(s *dependentService) { s.storeAndRead(jobs.Cancelled, job(1)) },
	} {
		t.Run(name, func(t *testing.T) {
			s := newDependentService(state.New())
			prepare(s)
			s.storeAndRead(jobs.Pending, job(2))
			expectReply(t, s.submit(t, dependent(3, 2, 1)), 200, "cancelled")
			if stored := s.storedJob(t, 3); stored.State != jobs.Cancelled {
				t.Errorf("stored as %v", stored.State)
			}
			expectReply(t, s.query(t, jobID(3)), 200, "cancelled")
		})
	}
}

// A predecessor is cancelled while the submission is being stored: the job is answered as cancelled, and that is durable.
func TestPredecessorCancelledDuringSubmission(t *testing.T) {
	s := newDependentService(state.New())
	s.storeAndRead(jobs.Pending, job(1))
	s.beforeResponse = func() { s.storeAndRead(jobs.Cancelled, job(1)) }
	expectReply(t, s.submit(t, dependent(2, 1)), 200, "cancelled")
	if stored := s.storedJob(t, 2); stored.State != jobs.Cancelled {
		t.Errorf("stored as %v", stored.State)
	}
}

// Below the level of dependencies, and while the followed keys are stale, jobs with predecessors get 503.
func TestDependentJobsNeedTheLevelAndFreshKeys(t *testing.T) {
	s := newDependentService(state.New())
	s.storeAndRead(jobs.Pending, job(1))
	s.accepts = false
	expectReply(t, s.submit(t, dependent(2, 1)), 503, "")
	expectReply(t, s.submit(t, job(3)), 201, "pending")
	s.accepts = true
	s.fresh = false
	expectReply(t, s.submit(t, dependent(2, 1)), 503, "")
	if s.storedVersion(jobID(2)) != 0 {
		t.Error("the job was stored")
	}
}

// A query about a doomed job writes its cancellation before it is answered; nobody is told afterwards that it waits.
func TestQueryAboutDoomedJobCancelsIt(t *testing.T) {
	s := newDependentService(state.New())
	s.storeAndRead(jobs.Pending, job(1))
	s.storeAndRead(jobs.Pending, dependent(2, 1))
	s.storeAndRead(jobs.Pending, dependent(3, 2))
	s.storeAndRead(jobs.Cancelled, job(1))
	expectReply(t, s.query(t, jobID(3)), 200, "cancelled")
	if stored := s.storedJob(t, 3); stored.State != jobs.Cancelled {
		t.Errorf("stored as %v", stored.State)
	}
	expectReply(t, newDependentService(s.state).query(t, jobID(3)), 200, "cancelled")
}

// While the cancellation of a doomed job can't be written, a query about it gets no answer.
func TestQueryAboutDoomedJobWaitsForItsCancellation(t *testing.T) {
	s := newDependentService(state.New())
	s.storeAndRead(jobs.Pending, dependent(2, 1))
	s.storeAndRead(jobs.Cancelled, job(1))
	var replies []Reply
	s.Query(s.state.Now, jobID(2), func(reply Reply) { replies = append(replies, reply) })
	s.deliverNext() // the check of its record
	if len(replies) != 0 {
		t.Fatalf("answered before the write: %+v", replies)
	}
	s.dropRequests = true
	s.deliverAll()
	if len(replies) != 1 || replies[0].Status != 503 {
		t.Errorf("%+v", replies)
	}
}

// A query about a blocked job gets 503 while the followed keys are stale, or while a job before it is unknown.
func TestQueryAboutBlockedJobNeedsCertainty(t *testing.T) {
	s := newDependentService(state.New())
	s.storeAndRead(jobs.Pending, dependent(2, 1))
	expectReply(t, s.query(t, jobID(2)), 503, "")
	s.storeAndRead(jobs.Pending, job(1))
	expectReply(t, s.query(t, jobID(2)), 200, "pending")
	s.fresh = false
	expectReply(t, s.query(t, jobID(2)), 503, "")
	s.storeAndRead(jobs.Done, job(1))
	expectReply(t, s.query(t, jobID(2)), 200, "pending")
}

// A submission that is repeated after its predecessors have ended gets the job's state, here and at a controller that
// has read nothing, whether the predecessors have records or answers.
func TestRepeatedSubmissionAfterPredecessorsEnded(t *testing.T) {
	for _, archived := range []bool{false, true} {
		for _, final := range []jobs.State{jobs.Pending, jobs.Done, jobs.Cancelled} {
			s := newDependentService(state.New())
			s.storeAndRead(jobs.Pending, job(1))
			expectReply(t, s.submit(t, dependent(2, 1)), 201, "pending")
			s.storeAndRead(jobs.Done, job(1))
			if archived {
				s.archiveElsewhere(jobID(1), archive.Answer{State: jobs.Done, Tasks: 3, Done: 3})
			}
			if final != jobs.Pending {
				s.storeAndRead(final, dependent(2, 1))
			}
			expectReply(t, s.submit(t, dependent(2, 1)), 200, final.String())
			other := newDependentService(s.state)
			if archived && final == jobs.Pending {
				// Its graph has yet to read the answer about job 1.
				expectReply(t, other.submit(t, dependent(2, 1)), 503, "")
				other.graph.HandleArchived(other.state.Now, jobID(1), jobs.Done)
			}
			expectReply(t, other.submit(t, dependent(2, 1)), 200, final.String())
		}
	}
}

// A submission names more predecessors that have to be read than maxPredecessorReads: it is refused for now, and accepted
// once the reads have brought all of them.
func TestPredecessorReadsAreBounded(t *testing.T) {
	s := newDependentService(state.New())
	spec := dependent(1000)
	for n := range maxPredecessorReads + 50 {
		s.storeElsewhere(jobs.Pending, job(n+1))
		spec.Follows = append(spec.Follows, jobID(n+1))
	}
	repeated := *spec
	expectReply(t, s.submit(t, spec), 503, "")
	if len(s.reads) != maxPredecessorReads {
		t.Errorf("%d reads", len(s.reads))
	}
	expectReply(t, s.submit(t, &repeated), 201, "pending")
	if follows := s.storedJob(t, 1000).Spec.Follows; len(follows) != maxPredecessorReads+50 {
		t.Errorf("%d predecessors stored", len(follows))
	}
}

// Predecessors take memory on every controller: together with the unfinished tasks they are bounded.
func TestPredecessorsAreBoundedWithTasks(t *testing.T) {
	s := newDependentService(state.New())
	s.storeAndRead(jobs.Pending, job(1))
	s.storeAndRead(jobs.Pending, job(2))
	s.MaxTasks = s.Jobs.LiveTasks() + 2*(job(3).Tasks+2) // room for two jobs that follow both
	for n, status := range []int{201, 201, 429} {
		reply := s.submit(t, dependent(n+3, 1, 2))
		if reply.Status != status {
			t.Errorf("job %d got %d, want %d", n+3, reply.Status, status)
		}
	}
}

// A cancellation of a blocked job at the moment when its predecessor is done is answered with what is durable.
func TestCancellationOfBlockedJobIsDurable(t *testing.T) {
	s := newDependentService(state.New())
	s.storeAndRead(jobs.Pending, job(1))
	s.storeAndRead(jobs.Pending, dependent(2, 1))
	s.beforeResponse = func() { s.storeAndRead(jobs.Done, job(1)) }
	expectReply(t, s.cancel(t, jobID(2)), 200, "cancelled")
	if stored := s.storedJob(t, 2); stored.State != jobs.Cancelled || len(stored.Spec.Follows) != 0 {
		t.Errorf("stored as %v after %v", stored.State, stored.Spec.Follows)
	}
}

// A predecessor whose record can't be read exists: the submission is refused for now, not rejected.
func TestPredecessorInUnknownFormatIsNotRejected(t *testing.T) {
	s := newDependentService(state.New())
	record := strings.Replace(string(jobs.EncodeRecord(jobs.Pending, 0, 3, job(1))), "{", `{"v":9,`, 1)
	s.state.Apply([]store.Op{{Put: jobs.RecordKey(jobID(1)), Value: []byte(record)}})
	expectReply(t, s.submit(t, dependent(2, 1)), 503, "")
}
