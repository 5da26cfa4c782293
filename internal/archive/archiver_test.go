package archive

import (
	"slices"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// archiverTest holds an Archiver, a simulated clock, the candidates and the transactions that the Archiver sent.
type archiverTest struct {
	*Archiver
	now        time.Duration
	sent       []store.Txn
	done       func(store.Result) // callback of the last transaction
	archived   []string           // ids passed to OnArchived
	candidates []Candidate
	isBusy     bool // whether CanWrite forbids all writes
}

func newArchiverTest(txnOps, candidates int) *archiverTest {
	m := &archiverTest{}
	m.Archiver = NewArchiver(Env{
		Now:        func() time.Duration { return m.now },
		TxnOps:     txnOps,
		WritesPerS: 40,
		CanWrite:   func(int) bool { return !m.isBusy },
		Commit: func(txn store.Txn, done func(store.Result)) {
			m.sent = append(m.sent, txn)
			m.done = done
		},
		OnArchived: func(id string, _ Entry) { m.archived = append(m.archived, id) },
	})
	for i := range candidates {
		m.candidates = append(m.candidates, Candidate{
			ID:      "req-" + string(rune('a'+i)),
			Version: uint64(i + 1),
			Entry:   Entry{State: jobs.Done, Tasks: 1, Done: 1},
		})
	}
	return m
}

// tickAfter advances the clock by delay and calls Tick. It returns the number of jobs in the batch that Tick sent, and
// 0 if it sent none.
func (m *archiverTest) tickAfter(delay time.Duration) int {
	m.now += delay
	before := len(m.sent)
	m.Tick(m.now, false, slices.Values(m.candidates))
	if len(m.sent) == before {
		return 0
	}
	return len(m.sent[before].Then) / opsPerMove
}

// A batch stays within the transaction limit, only one is in flight at a time, and the pause after a batch keeps the
// writes within the share of the state service's write rate.
func TestBatchesStayWithinWriteShare(t *testing.T) {
	const firstBatch = 12 // a transaction of 24 changes moves 12 jobs
	m := newArchiverTest(24, firstBatch+4)
	if n := m.tickAfter(0); n != firstBatch || m.State() != Moving {
		t.Fatalf("%d jobs in the first batch, state %s; want 12 and moving", n, m.State())
	}
	if n := m.tickAfter(time.Minute); n != 0 {
		t.Errorf("second batch of %d jobs while the first is in flight, want none", n)
	}
	m.now = 0
	m.done(store.Result{Outcome: store.Committed, Revision: 50})
	if len(m.archived) != firstBatch || m.Stats.Moved != firstBatch {
		t.Errorf("archived jobs %v, counted %d; want 12", m.archived, m.Stats.Moved)
	}
	// 24 writes at a tenth of 40 per second take six seconds.
	if n := m.tickAfter(5900 * time.Millisecond); n != 0 {
		t.Errorf("batch of %d jobs sent before the end of the pause, want none", n)
	}
	if n := m.tickAfter(200 * time.Millisecond); n != 4 {
		t.Errorf("batch of %d jobs after the pause, want the remaining 4", n)
	}
}

// The size of a batch is limited by the changes in a transaction, and no batch is sent while CanWrite forbids it.
func TestBatchSizeFollowsLimits(t *testing.T) {
	for _, c := range []struct {
		name   string
		txnOps int
		isBusy bool
		want   int
	}{
		{"odd number of changes", 5, false, 2},
		{"too few changes for one move", 1, false, 0},
		{"no write allowed", 24, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newArchiverTest(c.txnOps, 12)
			m.isBusy = c.isBusy
			if got := m.tickAfter(0); got != c.want {
				t.Errorf("batch of %d jobs, want %d", got, c.want)
			}
		})
	}
}

// After a rejected batch the next one has half the size, because the service's limits may have shrunk. After a
// committed batch the next one may have one job more.
func TestRejectedBatchesShrink(t *testing.T) {
	m := newArchiverTest(16, 12)
	var sizes []int
	for range 5 {
		sizes = append(sizes, m.tickAfter(time.Minute))
		m.done(store.Result{Outcome: store.NotApplied})
	}
	if !slices.Equal(sizes, []int{8, 4, 2, 1, 1}) {
		t.Errorf("batch sizes %v, want [8 4 2 1 1]", sizes)
	}
	m.tickAfter(time.Minute)
	m.done(store.Result{Outcome: store.Committed})
	if n := m.tickAfter(time.Minute); n != 2 {
		t.Errorf("batch of %d jobs after a committed batch of one job, want 2", n)
	}
}

// After a conflict the jobs with failed conditions are backed off, and the other jobs of the batch are sent again.
// ForgetBackoff deletes the backoff of a job.
func TestConflictingJobsAreBackedOff(t *testing.T) {
	m := newArchiverTest(24, 3)
	m.tickAfter(0)
	m.done(store.Result{Outcome: store.Conflict, FailedKeys: []string{Key("req-b")}})
	if n := m.tickAfter(failureBackoff); n != 2 {
		t.Errorf("%d jobs in the next batch, want the 2 without a failed condition", n)
	}
	for _, condition := range m.sent[1].If {
		if condition.Key == Key("req-b") {
			t.Error("the next batch contains req-b, want it backed off because its archive entry exists")
		}
	}
	m.ForgetBackoff("req-b")
	if len(m.retryAt) != 0 {
		t.Errorf("backoffs %v after ForgetBackoff, want none", m.retryAt)
	}
}

// A batch with an indeterminate outcome is sent again with the same conditions, so that at most one of the two is
// committed.
func TestIndeterminateBatchIsRetried(t *testing.T) {
	m := newArchiverTest(24, 1)
	m.tickAfter(0)
	m.done(store.Result{Outcome: store.Indeterminate})
	if m.tickAfter(failureBackoff/2) != 0 || m.tickAfter(failureBackoff) != 1 {
		t.Error("batch not sent again exactly once, after the backoff")
	}
	if !slices.Equal(m.sent[0].If, m.sent[1].If) {
		t.Errorf("conditions of the first batch %v and of the second %v, want them equal", m.sent[0].If, m.sent[1].If)
	}
}
