package licences

import (
	"fmt"
	"testing"
	"time"
)

// ledgerWithServer is a ledger with one pool that has a licence server.
type ledgerWithServer struct {
	*Ledger
	pool *poolState
}

func newLedgerWithServer(count int) *ledgerWithServer {
	pool := &Pool{
		Name:           "p",
		Count:          count,
		Server:         "s",
		PollInterval:   2 * time.Second,
		ReleaseTimeout: 20 * time.Second,
		OnCountLowered: PreemptHolders,
	}
	l := New(NewCatalog([]*Pool{pool}), singleTeam, 0)
	return &ledgerWithServer{l, l.pools[0]}
}

// answer applies an answer to a query that was sent at the same time.
func (r *ledgerWithServer) answer(at time.Duration, holders ...AnswerHolder) {
	r.ApplyAnswer(at, at, "p", Answer{Holders: append([]AnswerHolder{}, holders...)}, taskByName)
}

// requireFree fails the test unless the number of free units is want.
func (r *ledgerWithServer) requireFree(t *testing.T, want int, when string) {
	t.Helper()
	if free := r.pool.freeUnits(); free != want {
		t.Fatalf("%s: got %d free units, want %d", when, free, want)
	}
}

// A crashed task's unit stays in use until the licence server no longer reports it, even after the task is proven to
// be gone. An answer to a query that was sent before the end of the task doesn't free the unit.
func TestCrashedHolderKeepsUnitUntilServerReturnsIt(t *testing.T) {
	r := newLedgerWithServer(1)
	r.answer(0)
	r.Acquire(0, TaskRef{1, 0}, 7, 0, oneUnit, CheckedOut)
	r.answer(time.Second, AnswerHolder{"1/0", 7, 1})
	r.Release(5*time.Second, TaskRef{1, 0}, oneUnit, Crashed)
	r.ApplyAnswer(6*time.Second, 4*time.Second, "p", Answer{Holders: []AnswerHolder{}}, taskByName)
	r.requireFree(t, 0, "after an answer to a query sent before the task crashed")
	r.answer(7*time.Second, AnswerHolder{"1/0", 7, 1})
	r.requireFree(t, 0, "while the server reports the unit of the crashed task")
	r.answer(25 * time.Second)
	r.requireFree(t, 1, "after an answer without the unit of the crashed task")
	if len(r.pool.checkouts) != 0 {
		t.Fatalf("got checkouts %v, want none", r.pool.checkouts)
	}
}

// If the count is lowered while all units are in use, no task starts and the excess units have to be preempted. The
// excess is 0 while it is unknown which tasks of an earlier term are running.
func TestCountLoweredWhileAllUnitsAreInUse(t *testing.T) {
	r := newLedgerWithServer(5)
	r.answer(0)
	for job := range int32(5) {
		r.Acquire(0, TaskRef{job, 0}, 1, 0, oneUnit, CheckedOut)
	}
	if err := r.catalog.ApplyRecord(Key("p"), []byte(`{"count":2}`), 9); err != nil {
		t.Fatal(err)
	}
	if denial, _ := r.Fits(0, oneUnit, 1); denial != NoFreeUnits || r.Excess(0) != 3 {
		t.Fatalf("got denial %v, excess %d, want NoFreeUnits, 3", denial, r.Excess(0))
	}
	r.Acquire(0, TaskRef{9, 0}, 0, 0, oneUnit, CheckedOut)
	if r.Excess(0) != 0 {
		t.Fatal("with a task that may not be running: got an excess, want 0")
	}
	r.Release(0, TaskRef{9, 0}, oneUnit, NeverStarted)
	for job := range int32(3) {
		r.Release(time.Second, TaskRef{job, 0}, oneUnit, CleanExit)
	}
	r.requireFree(t, 0, "after three tasks ended")
	if r.Excess(0) != 0 {
		t.Fatalf("after three tasks ended: got excess %d, want 0", r.Excess(0))
	}
	if err := r.catalog.ApplyRecord(Key("p"), []byte(`{"count":1}`), 8); err != nil || r.catalog.Count(0) != 2 {
		t.Fatalf("record of an older version: got count %d, error %v, want count 2 and no error", r.catalog.Count(0), err)
	}
}

// While the server is unreachable, no task starts and running tasks keep their units. Answers that lack running
// holders neither lower the number of outside units nor free the units of a crashed holder that they lack.
func TestServerUnreachableOrInconsistent(t *testing.T) {
	r := newLedgerWithServer(20)
	if denial, _ := r.Fits(0, oneUnit, 1); denial != ServerUnavailable {
		t.Fatalf("before the first answer: got denial %v, want ServerUnavailable", denial)
	}
	r.answer(0)
	var all []AnswerHolder
	for job := range int32(6) {
		r.Acquire(0, TaskRef{job, 0}, 1, 0, oneUnit, CheckedOut)
		all = append(all, AnswerHolder{fmt.Sprintf("%d/0", job), 1, 1})
	}
	r.answer(time.Second, append(all, AnswerHolder{"outside", 0, 8})...)
	r.requireFree(t, 6, "after an answer with eight outside units")
	r.Release(2*time.Second, TaskRef{0, 0}, oneUnit, Crashed)
	r.answer(3 * time.Second) // the server was restarted
	r.requireServer(t, serverInconsistent)
	r.requireFree(t, 6, "after an answer that lacks all holders")
	r.answer(4*time.Second, all[1:]...)
	r.Tick(15*time.Second, time.Unix(0, 0))
	r.requireServer(t, serverUnreachable)
	r.requireFree(t, 0, "without answers")
	r.answer(30*time.Second, all[1:]...)
	r.requireFree(t, 15, "after an answer with all running holders")
}

func (r *ledgerWithServer) requireServer(t *testing.T, want serverState) {
	t.Helper()
	if state := r.pool.server.state; state != want {
		t.Fatalf("got server state %s, want %s", state, want)
	}
}

// The server's own count limits the units only if it is lower than the pool's count.
func TestServerCountBoundsUnits(t *testing.T) {
	for _, c := range []struct {
		answer string
		want   int
	}{
		{`{"holders":[]}`, 5}, // not reported
		{`{"count":null,"holders":[]}`, 5},
		{`{"count":0,"holders":[]}`, 0},
		{`{"count":3,"holders":[]}`, 3},
		{`{"count":5,"holders":[]}`, 5},
		{`{"count":8,"holders":[]}`, 5},
	} {
		r := newLedgerWithServer(5)
		answer, err := ParseAnswer([]byte(c.answer))
		if err != nil {
			t.Fatal(err)
		}
		r.ApplyAnswer(0, 0, "p", answer, taskByName)
		r.requireFree(t, c.want, c.answer)
	}
}
