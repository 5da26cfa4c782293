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

// dependentService is a testService of a controller that accepts jobs with predecessors and keeps a dependency graph.
type dependentService struct {
	*testService
	graph               *dependencies.Graph
	acceptsDependencies bool     // whether the cluster's level allows jobs with predecessors
	watchedKeysFresh    bool     // whether the watched keys are up to date
	readPaths           []string // the paths of all requests except transactions
}

func newDependentService(stateService *state.Service) *dependentService {
	s := &dependentService{testService: newTestService(stateService), acceptsDependencies: true, watchedKeysFresh: true}
	s.graph = dependencies.New(s.Jobs, func(time.Duration, *jobs.Job) {})
	s.DependencyEdges = s.graph.Edges
	s.AcceptsDependencies = func() bool { return s.acceptsDependencies }
	s.CanReportBlocked = func(_ time.Duration, id string) bool {
		return s.watchedKeysFresh && !s.graph.HasUnknownAncestor(id)
	}
	s.OnJobRecord = func(now time.Duration, item store.Item) {
		job, changed, _ := s.Jobs.Apply(jobs.IDOfKey(item.Key), item.Value, item.Version)
		if changed {
			s.graph.HandleJobChange(now, job)
		}
	}
	s.onRequest = func(request httpio.Request) {
		if request.Path != "/txn" {
			s.readPaths = append(s.readPaths, request.Path)
		}
	}
	return s
}

// newDependentSpec returns the specification of a job with the given predecessors.
func newDependentSpec(n int, predecessors ...int) *jobs.Spec {
	spec := newSpec(n)
	for _, predecessor := range predecessors {
		spec.Follows = append(spec.Follows, jobID(predecessor))
	}
	return spec
}

// storeElsewhere stores a job's record, as another controller does, and returns the stored item.
func (s *dependentService) storeElsewhere(state jobs.State, spec *jobs.Spec) store.Item {
	key := jobs.RecordKey(spec.ID)
	s.state.Apply([]store.Op{{Put: key, Value: jobs.EncodeRecord(state, 0, spec.Tasks, spec)}})
	return s.state.Keys[key]
}

// storeAndRead stores a job's record as another controller does, and delivers it to this controller.
func (s *dependentService) storeAndRead(state jobs.State, spec *jobs.Spec) {
	s.OnJobRecord(s.state.Now, s.storeElsewhere(state, spec))
}

// storedJob returns the job that a stored record describes.
func (s *dependentService) storedJob(t *testing.T, n int) *jobs.Job {
	t.Helper()
	item := s.state.Keys[jobs.RecordKey(jobID(n))]
	if item.Version == 0 {
		t.Fatalf("got no stored record of job %d, want one", n)
	}
	job, _, err := jobs.NewTable(0).Apply(jobID(n), item.Value, item.Version)
	if err != nil {
		t.Fatal(err)
	}
	return job
}

// expectReply fails the test unless a reply has the given status and job state; the state is "" for replies without a
// job.
func expectReply(t *testing.T, reply Reply, status int, state string) {
	t.Helper()
	if reply.Status != status || stateInReply(reply) != state {
		t.Errorf("got %d %q, want %d %q", reply.Status, stateInReply(reply), status, state)
	}
}

// A predecessor that was never accepted gets its successor rejected with 422, after its record and then its archived
// answer were read as absent.
func TestNeverAcceptedPredecessorIsRejectedAfterReads(t *testing.T) {
	s := newDependentService(state.New())
	expectReply(t, s.submit(t, newDependentSpec(2, 1)), 422, "")
	want := []string{"/keys/" + jobs.RecordKey(jobID(1)), "/keys/" + archive.Key(jobID(1))}
	if !slices.Equal(s.readPaths, want) {
		t.Errorf("got reads of %v, want %v", s.readPaths, want)
	}
	if s.storedVersion(jobID(2)) != 0 {
		t.Error("a job whose predecessor was never accepted was stored")
	}
}

// While the read of a predecessor's record or archived answer fails, it is unknown whether the predecessor was
// accepted. The reply must be 503, never 422.
func TestPredecessorThatCannotBeReadIsNotRejected(t *testing.T) {
	for failing := range 2 {
		s := newDependentService(state.New())
		var replies []Reply
		s.Submit(s.state.Now, newDependentSpec(2, 1), func(reply Reply) { replies = append(replies, reply) })
		for range failing {
			s.deliverNext()
		}
		s.dropRequests = true
		s.deliverAll()
		if len(replies) != 1 || replies[0].Status != 503 || replies[0].RetryAfter == 0 {
			t.Errorf("read %d fails: got %+v, want one reply with 503 and a Retry-After", failing, replies)
		}
	}
}

// A predecessor may still be accepted while its submission is queued here or its write is in flight. The reply must
// be 503, never 422.
func TestPredecessorBeingSubmittedIsNotRejected(t *testing.T) {
	s := newDependentService(state.New())
	var inFlightReplies, queuedReplies, dependentReplies []Reply
	// The write of job 1 is in flight, and job 4 is queued behind it.
	s.Submit(s.state.Now, newSpec(1), func(reply Reply) { inFlightReplies = append(inFlightReplies, reply) })
	s.Submit(s.state.Now, newSpec(4), func(reply Reply) { queuedReplies = append(queuedReplies, reply) })
	s.Submit(s.state.Now, newDependentSpec(2, 1), func(reply Reply) {
		dependentReplies = append(dependentReplies, reply)
	})
	s.Submit(s.state.Now, newDependentSpec(3, 4), func(reply Reply) {
		dependentReplies = append(dependentReplies, reply)
	})
	deliverWrite := s.pendingRequests[0]
	s.pendingRequests = s.pendingRequests[1:]
	for len(s.pendingRequests) > 0 {
		s.deliverNext()
	}
	if len(dependentReplies) != 2 || dependentReplies[0].Status != 503 || dependentReplies[1].Status != 503 {
		t.Errorf("while the predecessors are being stored: got %+v, want two replies with 503", dependentReplies)
	}
	deliverWrite()
	s.deliverAll()
	if len(inFlightReplies) != 1 || inFlightReplies[0].Status != 201 ||
		len(queuedReplies) != 1 || queuedReplies[0].Status != 201 {
		t.Errorf("got %+v for job 1 and %+v for job 4, want one reply with 201 each", inFlightReplies, queuedReplies)
	}
	expectReply(t, s.submit(t, newDependentSpec(2, 1)), 201, "pending")
}

// A predecessor that another controller has just accepted is found by a read.
func TestPredecessorAcceptedElsewhereIsFound(t *testing.T) {
	s := newDependentService(state.New())
	s.storeElsewhere(jobs.Pending, newSpec(1))
	expectReply(t, s.submit(t, newDependentSpec(2, 1)), 201, "pending")
	if follows := s.storedJob(t, 2).Spec.Follows; !slices.Equal(follows, []string{jobID(1)}) {
		t.Errorf("got stored predecessors %v, want only job 1", follows)
	}
	if !s.Jobs.Get(jobID(2)).Blocked || s.graph.State(jobID(2)) != dependencies.Blocked {
		t.Errorf("got state %v of job 2 in the dependency graph, want blocked there and in the job table",
			s.graph.State(jobID(2)))
	}
}

// A predecessor that is archived between the two reads is found.
func TestPredecessorArchivedBetweenReadsIsFound(t *testing.T) {
	s := newDependentService(state.New())
	s.ignoreRecords() // the watch has delivered the deletion before the response to the first read
	s.storeElsewhere(jobs.Done, newSpec(1))
	s.beforeResponse = func() { s.archiveElsewhere(jobID(1), archive.Entry{State: jobs.Done, Tasks: 3, Done: 3}) }
	s.submit(t, newDependentSpec(2, 1))
	if follows := s.storedJob(t, 2).Spec.Follows; len(follows) != 0 {
		t.Errorf("got stored predecessors %v, want none", follows)
	}
}

// Predecessors that are done, archived or not, are left out of the stored record: the job needn't wait for them.
func TestDonePredecessorsAreNotStored(t *testing.T) {
	s := newDependentService(state.New())
	s.archiveElsewhere(jobID(1), archive.Entry{State: jobs.Done, Tasks: 3, Done: 3})
	s.storeElsewhere(jobs.Done, newSpec(2))
	s.storeElsewhere(jobs.Pending, newSpec(3))
	expectReply(t, s.submit(t, newDependentSpec(4, 1, 2, 3)), 201, "pending")
	if follows := s.storedJob(t, 4).Spec.Follows; !slices.Equal(follows, []string{jobID(3)}) {
		t.Errorf("got stored predecessors %v, want only job 3", follows)
	}
	expectReply(t, s.submit(t, newDependentSpec(5, 1, 2)), 201, "pending")
	if stored := s.storedJob(t, 5); len(stored.Spec.Follows) != 0 || s.Jobs.Get(jobID(5)).Blocked {
		t.Errorf("got stored predecessors %v and blocked %v, want none and false",
			stored.Spec.Follows, s.Jobs.Get(jobID(5)).Blocked)
	}
}

// A job with a cancelled predecessor is accepted and stored as cancelled, and the replies say so, whether the
// predecessor's state comes from the archive, from a read record or from the job table.
func TestJobAfterCancelledPredecessorIsStoredAsCancelled(t *testing.T) {
	for name, prepare := range map[string]func(*dependentService){
		"archived": func(s *dependentService) {
			s.archiveElsewhere(jobID(1), archive.Entry{State: jobs.Cancelled, Tasks: 3})
		},
		"read record":  func(s *dependentService) { s.storeElsewhere(jobs.Cancelled, newSpec(1)) },
		"in the table": func(s *dependentService) { s.storeAndRead(jobs.Cancelled, newSpec(1)) },
	} {
		t.Run(name, func(t *testing.T) {
			s := newDependentService(state.New())
			prepare(s)
			s.storeAndRead(jobs.Pending, newSpec(2))
			expectReply(t, s.submit(t, newDependentSpec(3, 2, 1)), 200, "cancelled")
			if stored := s.storedJob(t, 3); stored.State != jobs.Cancelled {
				t.Errorf("got stored state %v, want cancelled", stored.State)
			}
			expectReply(t, s.query(t, jobID(3)), 200, "cancelled")
		})
	}
}

// A predecessor is cancelled while the submission is being stored: the reply has the state cancelled, and the
// cancellation is durable.
func TestPredecessorCancelledDuringSubmission(t *testing.T) {
	s := newDependentService(state.New())
	s.storeAndRead(jobs.Pending, newSpec(1))
	s.beforeResponse = func() { s.storeAndRead(jobs.Cancelled, newSpec(1)) }
	expectReply(t, s.submit(t, newDependentSpec(2, 1)), 200, "cancelled")
	if stored := s.storedJob(t, 2); stored.State != jobs.Cancelled {
		t.Errorf("got stored state %v, want cancelled", stored.State)
	}
}

// Jobs with predecessors get 503 while the cluster's level doesn't allow them, and while the watched keys are stale.
func TestDependentJobsRequireLevelAndFreshKeys(t *testing.T) {
	s := newDependentService(state.New())
	s.storeAndRead(jobs.Pending, newSpec(1))
	s.acceptsDependencies = false
	expectReply(t, s.submit(t, newDependentSpec(2, 1)), 503, "")
	expectReply(t, s.submit(t, newSpec(3)), 201, "pending")
	s.acceptsDependencies = true
	s.watchedKeysFresh = false
	expectReply(t, s.submit(t, newDependentSpec(2, 1)), 503, "")
	if s.storedVersion(jobID(2)) != 0 {
		t.Error("a job was stored although its submission got 503")
	}
}

// A status query about a job with a cancelled predecessor writes the job's cancellation before the reply. No later
// reply says that the job is pending.
func TestQueryCancelsJobWithCancelledPredecessor(t *testing.T) {
	s := newDependentService(state.New())
	s.storeAndRead(jobs.Pending, newSpec(1))
	s.storeAndRead(jobs.Pending, newDependentSpec(2, 1))
	s.storeAndRead(jobs.Pending, newDependentSpec(3, 2))
	s.storeAndRead(jobs.Cancelled, newSpec(1))
	expectReply(t, s.query(t, jobID(3)), 200, "cancelled")
	if stored := s.storedJob(t, 3); stored.State != jobs.Cancelled {
		t.Errorf("got stored state %v, want cancelled", stored.State)
	}
	expectReply(t, newDependentService(s.state).query(t, jobID(3)), 200, "cancelled")
}

// A status query about a job with a cancelled predecessor gets no reply before the job's cancellation is written, and
// 503 if it can't be written.
func TestQueryWaitsForWriteOfCancellation(t *testing.T) {
	s := newDependentService(state.New())
	s.storeAndRead(jobs.Pending, newDependentSpec(2, 1))
	s.storeAndRead(jobs.Cancelled, newSpec(1))
	var replies []Reply
	s.Query(s.state.Now, jobID(2), func(reply Reply) { replies = append(replies, reply) })
	s.deliverNext() // the check of its record
	if len(replies) != 0 {
		t.Fatalf("got %+v before the cancellation was written, want no reply", replies)
	}
	s.dropRequests = true
	s.deliverAll()
	if len(replies) != 1 || replies[0].Status != 503 {
		t.Errorf("got %+v, want one reply with 503", replies)
	}
}

// A status query about a blocked job gets 503 while the watched keys are stale, or while it is unknown whether a job
// before it is cancelled.
func TestQueryAboutBlockedJobRequiresFreshKeys(t *testing.T) {
	s := newDependentService(state.New())
	s.storeAndRead(jobs.Pending, newDependentSpec(2, 1))
	expectReply(t, s.query(t, jobID(2)), 503, "")
	s.storeAndRead(jobs.Pending, newSpec(1))
	expectReply(t, s.query(t, jobID(2)), 200, "pending")
	s.watchedKeysFresh = false
	expectReply(t, s.query(t, jobID(2)), 503, "")
	s.storeAndRead(jobs.Done, newSpec(1))
	expectReply(t, s.query(t, jobID(2)), 200, "pending")
}

// A submission that is repeated after its predecessors have ended gets the job's state, on this controller and on one
// that has read nothing, whether the predecessors are archived or not.
func TestRepeatedSubmissionAfterPredecessorsEnded(t *testing.T) {
	for _, archived := range []bool{false, true} {
		for _, final := range []jobs.State{jobs.Pending, jobs.Done, jobs.Cancelled} {
			s := newDependentService(state.New())
			s.storeAndRead(jobs.Pending, newSpec(1))
			expectReply(t, s.submit(t, newDependentSpec(2, 1)), 201, "pending")
			s.storeAndRead(jobs.Done, newSpec(1))
			if archived {
				s.archiveElsewhere(jobID(1), archive.Entry{State: jobs.Done, Tasks: 3, Done: 3})
			}
			if final != jobs.Pending {
				s.storeAndRead(final, newDependentSpec(2, 1))
			}
			expectReply(t, s.submit(t, newDependentSpec(2, 1)), 200, final.String())
			other := newDependentService(s.state)
			if archived && final == jobs.Pending {
				// The other controller's graph hasn't read the archived answer of job 1 yet.
				expectReply(t, other.submit(t, newDependentSpec(2, 1)), 503, "")
				other.graph.HandleArchived(other.state.Now, jobID(1), jobs.Done)
			}
			expectReply(t, other.submit(t, newDependentSpec(2, 1)), 200, final.String())
		}
	}
}

// A submission that needs more than maxPredecessorReads reads of predecessors is refused with 503. It is accepted
// once the reads have brought all predecessors into memory.
func TestPredecessorReadsAreBounded(t *testing.T) {
	s := newDependentService(state.New())
	spec := newDependentSpec(1000)
	for n := range maxPredecessorReads + 50 {
		s.storeElsewhere(jobs.Pending, newSpec(n+1))
		spec.Follows = append(spec.Follows, jobID(n+1))
	}
	repeated := *spec
	expectReply(t, s.submit(t, spec), 503, "")
	if len(s.readPaths) != maxPredecessorReads {
		t.Errorf("got %d reads, want maxPredecessorReads", len(s.readPaths))
	}
	expectReply(t, s.submit(t, &repeated), 201, "pending")
	if follows := s.storedJob(t, 1000).Spec.Follows; len(follows) != maxPredecessorReads+50 {
		t.Errorf("got %d stored predecessors, want maxPredecessorReads + 50", len(follows))
	}
}

// Predecessors take memory on every controller, so their number and that of the unfinished tasks are bounded
// together.
func TestPredecessorsAreBoundedWithTasks(t *testing.T) {
	s := newDependentService(state.New())
	s.storeAndRead(jobs.Pending, newSpec(1))
	s.storeAndRead(jobs.Pending, newSpec(2))
	s.MaxTasks = s.Jobs.LiveTasks() + 2*(newSpec(3).Tasks+2) // room for two jobs with two predecessors each
	for n, status := range []int{201, 201, 429} {
		reply := s.submit(t, newDependentSpec(n+3, 1, 2))
		if reply.Status != status {
			t.Errorf("job %d: got %d, want %d", n+3, reply.Status, status)
		}
	}
}

// A blocked job is cancelled while its predecessor becomes done: the reply has the state that is durable.
func TestCancellationOfBlockedJobIsDurable(t *testing.T) {
	s := newDependentService(state.New())
	s.storeAndRead(jobs.Pending, newSpec(1))
	s.storeAndRead(jobs.Pending, newDependentSpec(2, 1))
	s.beforeResponse = func() { s.storeAndRead(jobs.Done, newSpec(1)) }
	expectReply(t, s.cancel(t, jobID(2)), 200, "cancelled")
	if stored := s.storedJob(t, 2); stored.State != jobs.Cancelled || len(stored.Spec.Follows) != 0 {
		t.Errorf("got stored state %v and predecessors %v, want cancelled and none", stored.State, stored.Spec.Follows)
	}
}

// A predecessor whose record can't be read exists, so the submission gets 503 instead of a rejection.
func TestPredecessorWithUnreadableRecordIsNotRejected(t *testing.T) {
	s := newDependentService(state.New())
	record := strings.Replace(string(jobs.EncodeRecord(jobs.Pending, 0, 3, newSpec(1))), "{", `{"v":9,`, 1)
	s.state.Apply([]store.Op{{Put: jobs.RecordKey(jobID(1)), Value: []byte(record)}})
	expectReply(t, s.submit(t, newDependentSpec(2, 1)), 503, "")
}
