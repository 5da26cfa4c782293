package dependencies

import (
	"slices"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// cancellerTrial is a canceller in front of a simulated state service.
type cancellerTrial struct {
	*stateClient
	canceller *Canceller
	maxOps    int
	txns      []store.Txn // all that were sent
}

func newCancellerTrial(t *testing.T) *cancellerTrial {
	t.Helper()
	s := &cancellerTrial{stateClient: newStateClient(t), maxOps: 64}
	s.canceller = NewCanceller(s.graph, CancellerEnv{
		CanWrite: func(int) bool { return true },
		Commit: func(txn store.Txn, done func(store.Result)) {
			s.txns = append(s.txns, txn)
			s.client.Txn(txn, store.NormalPriority, done)
		},
		Read:        s.get,
		OnJobRecord: s.onJobRecord,
		Now:         func() time.Duration { return s.now },
		MaxOps:      func() int { return s.maxOps },
	})
	return s
}

// storeDoomed stores jobs that follow job 1, which is cancelled.
func (s *cancellerTrial) storeDoomed(numbers ...int) {
	s.t.Helper()
	s.storeAndRead(jobs.Cancelled, newSpec(1))
	for _, number := range numbers {
		s.storeAndRead(jobs.Pending, newSpec(number, 1))
	}
}

// numbers returns the numbers from first to last.
func numbers(first, last int) []int {
	var all []int
	for number := first; number <= last; number++ {
		all = append(all, number)
	}
	return all
}

// tick lets the pause after a failure pass, and ticks.
func (s *cancellerTrial) tick() {
	s.now += cancelRetryBackoff
	s.canceller.Tick(s.now)
}

// batchSizes returns how many jobs each transaction cancels.
func (s *cancellerTrial) batchSizes() []int {
	var sizes []int
	for _, txn := range s.txns {
		sizes = append(sizes, len(txn.Then))
	}
	return sizes
}

// A chain of any depth is cancelled with its head, each record on the condition that it is the pending one.
func TestCancellerCancelsWholeChain(t *testing.T) {
	s := newCancellerTrial(t)
	s.storeAndRead(jobs.Cancelled, newSpec(1))
	for _, number := range numbers(2, 51) {
		s.storeAndRead(jobs.Pending, newSpec(number, number-1))
	}
	version := s.table.Get(jobID(2)).Version
	for range 3 {
		s.tick()
		s.deliverAll()
	}
	for _, number := range numbers(2, 51) {
		if s.stored(number) != jobs.Cancelled || s.table.Get(jobID(number)).State != jobs.Cancelled {
			t.Fatalf("job %d is %v", number, s.stored(number))
		}
	}
	if want := (store.Condition{Key: jobs.RecordKey(jobID(2)), Version: version}); s.txns[0].If[0] != want {
		t.Errorf("condition %v, want %v", s.txns[0].If[0], want)
	}
	if s.canceller.Cancelled != 50 || len(s.doomed()) != 0 {
		t.Errorf("%d cancelled, %d left", s.canceller.Cancelled, len(s.doomed()))
	}
}

// A transaction has no more jobs than maxCancelBatch, the state service's present limit, or the budget allow, and one
// transaction is under way at a time.
func TestCancellerKeepsBatchLimits(t *testing.T) {
	for _, c := range []struct{ maxOps, budget, want int }{
		{64, 64, maxCancelBatch},
		{8, 64, 8},
		{64, 5, 5},
	} {
		s := newCancellerTrial(t)
		s.maxOps = c.maxOps
		s.canceller.env.CanWrite = func(ops int) bool { return ops <= c.budget }
		s.storeDoomed(numbers(2, 60)...)
		s.tick()
		s.tick()
		if got := s.batchSizes(); !slices.Equal(got, []int{c.want}) {
			t.Errorf("%+v: batches %v", c, got)
		}
	}
}

// A transaction carries no more than maxCancelBytes.
func TestCancellerKeepsSizeLimit(t *testing.T) {
	s := newCancellerTrial(t)
	s.storeAndRead(jobs.Cancelled, newSpec(1))
	for _, number := range numbers(2, 31) {
		spec := newSpec(number, 1)
		spec.Image = string(make([]byte, 1<<10)) // 6 KiB as JSON
		s.storeAndRead(jobs.Pending, spec)
	}
	s.tick()
	size := 0
	for _, op := range s.txns[0].Then {
		size += len(op.Value)
	}
	if size > maxCancelBytes || size < maxCancelBytes/2 {
		t.Errorf("%d bytes", size)
	}
}

// A job that ended meanwhile fails the whole transaction; its record is read again, and the others are cancelled then.
func TestCancellerReadsAgainAfterConflict(t *testing.T) {
	s := newCancellerTrial(t)
	s.storeDoomed(2, 3)
	s.store(jobs.Cancelled, newSpec(2, 1)) // by its user
	s.tick()
	s.deliverAll()
	if s.stored(3) != jobs.Pending || s.table.Get(jobID(2)).State != jobs.Cancelled {
		t.Fatalf("job 3 %v, job 2 %v here", s.stored(3), s.table.Get(jobID(2)).State)
	}
	s.tick()
	s.deliverAll()
	if s.stored(3) != jobs.Cancelled || !slices.Equal(s.batchSizes(), []int{2, 1}) {
		t.Errorf("job 3 %v, batches %v", s.stored(3), s.batchSizes())
	}
}

// Of the keys that failed, only those of jobs are read: the leader's isn't a record.
func TestCancellerReadsOnlyJobsAgain(t *testing.T) {
	s := newCancellerTrial(t)
	s.storeDoomed(2)
	s.canceller.env.Commit = func(_ store.Txn, done func(store.Result)) {
		done(store.Result{Outcome: store.Conflict, FailedKeys: []string{"h/leader", jobs.RecordKey(jobID(2))}})
	}
	s.tick()
	if want := []string{"/keys/" + jobs.RecordKey(jobID(2))}; !slices.Equal(s.sent, want) {
		t.Errorf("requests %v", s.sent)
	}
}

// A transaction that was lost, or whose answer was, is followed by another after a pause, and no job is cancelled twice.
func TestCancellerRetriesIndeterminate(t *testing.T) {
	for _, how := range []delivery{requestLost, answerLost} {
		s := newCancellerTrial(t)
		s.storeDoomed(2)
		s.tick()
		s.deliver(how)
		s.canceller.Tick(s.now + cancelRetryBackoff - 1)
		if len(s.queue) != 0 {
			t.Errorf("%d requests within the pause", len(s.queue))
		}
		revision := s.service.Revision
		for range 2 {
			s.tick()
			s.deliverAll()
		}
		if s.stored(2) != jobs.Cancelled || len(s.doomed()) != 0 {
			t.Errorf("delivery %d: %v, %d left", how, s.stored(2), len(s.doomed()))
		}
		if how == answerLost && s.service.Revision != revision {
			t.Errorf("cancelled again")
		}
	}
}

// A late transaction of an earlier term changes nothing any more.
func TestLateCancellationIsHarmless(t *testing.T) {
	s := newCancellerTrial(t)
	s.storeDoomed(2)
	s.tick()
	late := s.queue[0]
	s.queue = nil
	later := NewCanceller(s.graph, s.canceller.env)
	later.Tick(s.now)
	s.deliverAll()
	revision := s.service.Revision
	late(carriedOut)
	s.deliverAll()
	if s.stored(2) != jobs.Cancelled || s.service.Revision != revision || later.Cancelled != 1 {
		t.Errorf("%v, revisions %d to %d", s.stored(2), revision, s.service.Revision)
	}
}

// A refusal for size halves the next transaction down to one job, and successes let it grow again.
func TestCancellerShrinksRefusedBatches(t *testing.T) {
	s := newCancellerTrial(t)
	s.storeDoomed(numbers(2, 60)...)
	for range 6 {
		s.tick()
		s.deliver(requestDenied)
	}
	s.tick()
	s.deliverAll()
	s.tick()
	if got := s.batchSizes(); !slices.Equal(got, []int{32, 16, 8, 4, 2, 1, 1, 2}) {
		t.Errorf("batches %v", got)
	}
}

// A job whose newest record can't be read is left alone, and holds up no other.
func TestCancellerSkipsQuarantinedJobs(t *testing.T) {
	s := newCancellerTrial(t)
	s.storeDoomed(2, 3)
	s.table.Get(jobID(2)).Quarantined = true
	s.tick()
	s.deliverAll()
	if s.stored(2) != jobs.Pending || s.stored(3) != jobs.Cancelled {
		t.Errorf("job 2 %v, job 3 %v", s.stored(2), s.stored(3))
	}
}
