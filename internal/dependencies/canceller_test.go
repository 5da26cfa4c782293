package dependencies

import (
	"slices"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// cancellerTest is a canceller that writes to a simulated state service.
type cancellerTest struct {
	*stateClient
	canceller *Canceller
	maxOps    int
	txns      []store.Txn // all transactions sent
}

func newCancellerTest(t *testing.T) *cancellerTest {
	t.Helper()
	s := &cancellerTest{stateClient: newStateClient(t), maxOps: 64}
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

// storeCancelPending stores pending jobs whose predecessor, job 1, is cancelled.
func (s *cancellerTest) storeCancelPending(numbers ...int) {
	s.t.Helper()
	s.storeAndRead(jobs.Cancelled, newSpec(1))
	for _, number := range numbers {
		s.storeAndRead(jobs.Pending, newSpec(number, 1))
	}
}

// numbers returns the numbers from first to last, both included.
func numbers(first, last int) []int {
	var all []int
	for number := first; number <= last; number++ {
		all = append(all, number)
	}
	return all
}

// tick advances the clock by the backoff after a failure and calls Tick.
func (s *cancellerTest) tick() {
	s.now += cancelRetryBackoff
	s.canceller.Tick(s.now)
}

// batchSizes returns the number of jobs that each transaction cancels.
func (s *cancellerTest) batchSizes() []int {
	var sizes []int
	for _, txn := range s.txns {
		sizes = append(sizes, len(txn.Then))
	}
	return sizes
}

// When the first job of a chain is cancelled, all jobs after it are cancelled too. Each record is written on the
// condition that the pending record is unchanged.
func TestCancellerCancelsWholeChain(t *testing.T) {
	s := newCancellerTest(t)
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
			t.Fatalf("job %d: stored state %v, want cancelled there and in the table", number, s.stored(number))
		}
	}
	if want := (store.Condition{Key: jobs.RecordKey(jobID(2)), Version: version}); s.txns[0].If[0] != want {
		t.Errorf("first condition %v, want %v", s.txns[0].If[0], want)
	}
	if s.canceller.Cancelled != 50 || len(s.cancelPending()) != 0 {
		t.Errorf("%d jobs counted as cancelled, %d still to be cancelled; want 50 and 0",
			s.canceller.Cancelled, len(s.cancelPending()))
	}
}

// A batch is limited by maxCancelBatch, by the state service's current limit and by the write budget. Only one
// transaction is in flight at a time.
func TestCancellerStaysWithinBatchLimits(t *testing.T) {
	for _, c := range []struct{ maxOps, budget, want int }{
		{64, 64, maxCancelBatch},
		{8, 64, 8},
		{64, 5, 5},
	} {
		s := newCancellerTest(t)
		s.maxOps = c.maxOps
		s.canceller.env.CanWrite = func(ops int) bool { return ops <= c.budget }
		s.storeCancelPending(numbers(2, 60)...)
		s.tick()
		s.tick()
		if got := s.batchSizes(); !slices.Equal(got, []int{c.want}) {
			t.Errorf("%+v: batch sizes %v, want one batch of the wanted size", c, got)
		}
	}
}

// The records in a transaction take at most maxCancelBytes, and at least half of that while more jobs remain.
func TestCancellerStaysWithinSizeLimit(t *testing.T) {
	s := newCancellerTest(t)
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
		t.Errorf("%d bytes of records in the transaction, want between half of maxCancelBytes and maxCancelBytes", size)
	}
}

// If one job of a batch has ended in the meantime, the whole transaction fails. The record of that job is read again,
// and the next transaction cancels the others.
func TestCancellerRereadsRecordsAfterConflict(t *testing.T) {
	s := newCancellerTest(t)
	s.storeCancelPending(2, 3)
	s.store(jobs.Cancelled, newSpec(2, 1)) // cancelled by its user
	s.tick()
	s.deliverAll()
	if s.stored(3) != jobs.Pending || s.table.Get(jobID(2)).State != jobs.Cancelled {
		t.Fatalf("after the conflict: job 3 stored as %v, want pending; job 2 in the table %v, want cancelled",
			s.stored(3), s.table.Get(jobID(2)).State)
	}
	s.tick()
	s.deliverAll()
	if s.stored(3) != jobs.Cancelled || !slices.Equal(s.batchSizes(), []int{2, 1}) {
		t.Errorf("job 3 stored as %v, want cancelled; batch sizes %v, want [2 1]", s.stored(3), s.batchSizes())
	}
}

// After a conflict only the failed keys of job records are read. The leader's key is not a job record.
func TestCancellerRereadsOnlyJobRecords(t *testing.T) {
	s := newCancellerTest(t)
	s.storeCancelPending(2)
	s.canceller.env.Commit = func(_ store.Txn, done func(store.Result)) {
		done(store.Result{Outcome: store.Conflict, FailedKeys: []string{"h/leader", jobs.RecordKey(jobID(2))}})
	}
	s.tick()
	if want := []string{"/keys/" + jobs.RecordKey(jobID(2))}; !slices.Equal(s.sent, want) {
		t.Errorf("requests %v, want only a read of job 2's record", s.sent)
	}
}

// If a transaction or its response is lost, the next transaction is sent after the backoff. No job is cancelled twice.
func TestCancellerRetriesIndeterminate(t *testing.T) {
	for _, mode := range []deliveryMode{requestLost, responseLost} {
		s := newCancellerTest(t)
		s.storeCancelPending(2)
		s.tick()
		s.deliver(mode)
		s.canceller.Tick(s.now + cancelRetryBackoff - 1)
		if len(s.queue) != 0 {
			t.Errorf("%d requests sent within the backoff, want 0", len(s.queue))
		}
		revision := s.service.Revision
		for range 2 {
			s.tick()
			s.deliverAll()
		}
		if s.stored(2) != jobs.Cancelled || len(s.cancelPending()) != 0 {
			t.Errorf("delivery mode %d: job 2 stored as %v, want cancelled; %d jobs still to be cancelled, want 0",
				mode, s.stored(2), len(s.cancelPending()))
		}
		if mode == responseLost && s.service.Revision != revision {
			t.Errorf("the state service's revision changed: job 2 was cancelled twice")
		}
	}
}

// A transaction of an earlier term that arrives after the job was cancelled changes nothing.
func TestLateCancellationIsHarmless(t *testing.T) {
	s := newCancellerTest(t)
	s.storeCancelPending(2)
	s.tick()
	lateRequest := s.queue[0]
	s.queue = nil
	newCanceller := NewCanceller(s.graph, s.canceller.env)
	newCanceller.Tick(s.now)
	s.deliverAll()
	revision := s.service.Revision
	lateRequest(processed)
	s.deliverAll()
	if s.stored(2) != jobs.Cancelled || s.service.Revision != revision || newCanceller.Cancelled != 1 {
		t.Errorf("job 2 stored as %v, want cancelled and counted once; revision %d became %d, want no change",
			s.stored(2), revision, s.service.Revision)
	}
}

// Each rejected transaction halves the next batch, down to one job. Each committed one lets it grow by one job.
func TestCancellerShrinksRejectedBatches(t *testing.T) {
	s := newCancellerTest(t)
	s.storeCancelPending(numbers(2, 60)...)
	for range 6 {
		s.tick()
		s.deliver(requestRejected)
	}
	s.tick()
	s.deliverAll()
	s.tick()
	if got := s.batchSizes(); !slices.Equal(got, []int{32, 16, 8, 4, 2, 1, 1, 2}) {
		t.Errorf("batch sizes %v, want [32 16 8 4 2 1 1 2]", got)
	}
}

// A job whose newest record can't be read is skipped, and the other jobs are cancelled.
func TestCancellerSkipsQuarantinedJobs(t *testing.T) {
	s := newCancellerTest(t)
	s.storeCancelPending(2, 3)
	s.table.Get(jobID(2)).Quarantined = true
	s.tick()
	s.deliverAll()
	if s.stored(2) != jobs.Pending || s.stored(3) != jobs.Cancelled {
		t.Errorf("job 2 stored as %v, want pending; job 3 stored as %v, want cancelled", s.stored(2), s.stored(3))
	}
}
