package archive

import (
	"slices"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// moverTest is a Mover with its clock, its candidates, and what it sent.
type moverTest struct {
	*Mover
	now        time.Duration
	sent       []store.Txn
	done       func(store.Result) // of the last transaction
	archived   []string
	candidates []Candidate
	isBusy     bool // no write may be sent
}

func newMoverTest(txnOps, candidates int) *moverTest {
	m := &moverTest{}
	m.Mover = NewMover(Env{
		Now:        func() time.Duration { return m.now },
		TxnOps:     txnOps,
		WritesPerS: 40,
		CanWrite:   func(int) bool { return !m.isBusy },
		Commit: func(txn store.Txn, done func(store.Result)) {
			m.sent = append(m.sent, txn)
			m.done = done
		},
		OnArchived: func(id string, _ Answer) { m.archived = append(m.archived, id) },
	})
	for i := range candidates {
		m.candidates = append(m.candidates, Candidate{
			ID:      "req-" + string(rune('a'+i)),
			Version: uint64(i + 1),
			Answer:  Answer{State: jobs.Done, Tasks: 1, Done: 1},
		})
	}
	return m
}

// tickAfter calls Tick after a time; it returns how many jobs were sent in a batch.
func (m *moverTest) tickAfter(delay time.Duration) int {
	m.now += delay
	before := len(m.sent)
	m.Tick(m.now, false, slices.Values(m.candidates))
	if len(m.sent) == before {
		return 0
	}
	return len(m.sent[before].Then) / opsPerMove
}

// A batch keeps within the limits, nothing else is sent while it is under way, and the rate is a part of what the
// state service takes.
func TestBatchesKeepTheWriteShare(t *testing.T) {
	const first = 12 // as many as a transaction of 24 changes holds
	m := newMoverTest(24, first+4)
	if n := m.tickAfter(0); n != first || m.State() != Moving {
		t.Fatalf("%d jobs in a batch, %s", n, m.State())
	}
	if n := m.tickAfter(time.Minute); n != 0 {
		t.Errorf("a second batch of %d while one is under way", n)
	}
	m.now = 0
	m.done(store.Result{Outcome: store.Committed, Revision: 50})
	if len(m.archived) != first || m.Stats.Moved != first {
		t.Errorf("archived %v, counted %d", m.archived, m.Stats.Moved)
	}
	// 24 writes at a tenth of 40 a second take six seconds.
	if n := m.tickAfter(5900 * time.Millisecond); n != 0 {
		t.Errorf("%d jobs moved before the pause is over", n)
	}
	if n := m.tickAfter(200 * time.Millisecond); n != 4 {
		t.Errorf("%d jobs moved, 4 are left", n)
	}
}

func TestBatchesKeepTheLimitsOfATransaction(t *testing.T) {
	for _, c := range []struct {
		name   string
		txnOps int
		isBusy bool
		want   int
	}{
		{"an odd number of changes", 5, false, 2},
		{"too few changes for a move", 1, false, 0},
		{"no write to spare", 24, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newMoverTest(c.txnOps, 12)
			m.isBusy = c.isBusy
			if got := m.tickAfter(0); got != c.want {
				t.Errorf("a batch of %d, not %d", got, c.want)
			}
		})
	}
}

// A batch that is refused is tried again, smaller: the service's limits may have shrunk. It grows again.
func TestRefusedBatchesShrink(t *testing.T) {
	m := newMoverTest(16, 12)
	var sizes []int
	for range 5 {
		sizes = append(sizes, m.tickAfter(time.Minute))
		m.done(store.Result{Outcome: store.NotApplied})
	}
	if !slices.Equal(sizes, []int{8, 4, 2, 1, 1}) {
		t.Errorf("batches of %v", sizes)
	}
	m.tickAfter(time.Minute)
	m.done(store.Result{Outcome: store.Committed})
	if n := m.tickAfter(time.Minute); n != 2 {
		t.Errorf("a batch of %d after one that was carried out", n)
	}
}

// A job whose move meets a condition that doesn't hold is left out for a while, the others of its batch go on. Once
// its record is seen to be deleted nothing is kept of it.
func TestConflictingJobsAreBackedOff(t *testing.T) {
	m := newMoverTest(24, 3)
	m.tickAfter(0)
	m.done(store.Result{Outcome: store.Conflict, FailedKeys: []string{Key("req-b")}})
	if n := m.tickAfter(failureBackoff); n != 2 {
		t.Errorf("%d jobs in the next batch, and one of three was moved before", n)
	}
	for _, condition := range m.sent[1].If {
		if condition.Key == Key("req-b") {
			t.Error("the job whose answer is stored is tried again at once")
		}
	}
	m.ForgetBackoff("req-b")
	if len(m.retryAt) != 0 {
		t.Errorf("still backed off: %v", m.retryAt)
	}
}

// A batch without an answer is sent again as it was: of the two one is carried out.
func TestIndeterminateBatchIsSentAgain(t *testing.T) {
	m := newMoverTest(24, 1)
	m.tickAfter(0)
	m.done(store.Result{Outcome: store.Indeterminate})
	if m.tickAfter(failureBackoff/2) != 0 || m.tickAfter(failureBackoff) != 1 {
		t.Error("not sent again after the pause")
	}
	if !slices.Equal(m.sent[0].If, m.sent[1].If) {
		t.Errorf("other conditions: %v, %v", m.sent[0].If, m.sent[1].If)
	}
}
