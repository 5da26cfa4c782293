package licences

import (
	"fmt"
	"testing"
	"time"
)

// serverRig is a ledger of one pool with a licence server.
type serverRig struct {
	*Ledger
	pool *poolState
}

func newServerRig(count int) *serverRig {
	pool := &Pool{
		Name:           "p",
		Count:          count,
		Server:         "s",
		Poll:           2 * time.Second,
		ReleaseTimeout: 20 * time.Second,
		OnCountLowered: PreemptHolders,
	}
	l := New(NewCatalog([]*Pool{pool}), singleTeam, 0)
	return &serverRig{l, l.pools[0]}
}

// answer applies an answer to a query that was sent at the same moment.
func (r *serverRig) answer(at time.Duration, holders ...AnswerHolder) {
	r.ApplyAnswer(at, at, "p", Answer{Holders: append([]AnswerHolder{}, holders...)}, taskByName)
}

// requireFree fails the test unless a number of units is free.
func (r *serverRig) requireFree(t *testing.T, want int, when string) {
	t.Helper()
	if free := r.pool.freeUnits(); free != want {
		t.Fatalf("%s: %d units free, want %d", when, free, want)
	}
}

// A crashed task's unit is in use until its server returns it, not until the task is proven to be gone; and an
// answer to a query sent before the end proves nothing.
func TestCrashedHolderKeepsUnitUntilServerReturnsIt(t *testing.T) {
	r := newServerRig(1)
	r.answer(0)
	r.Acquire(0, TaskRef{1, 0}, 7, 0, oneUnit, CheckedOut)
	r.answer(time.Second, AnswerHolder{"1/0", 7, 1})
	r.Release(5*time.Second, TaskRef{1, 0}, oneUnit, Crashed)
	r.ApplyAnswer(6*time.Second, 4*time.Second, "p", Answer{Holders: []AnswerHolder{}}, taskByName)
	r.requireFree(t, 0, "after an answer from before its end")
	r.answer(7*time.Second, AnswerHolder{"1/0", 7, 1})
	r.requireFree(t, 0, "while the server reports it")
	r.answer(25 * time.Second)
	r.requireFree(t, 1, "after the server returned it")
	if len(r.pool.checkouts) != 0 {
		t.Fatalf("checkouts left: %v", r.pool.checkouts)
	}
}

// When the count falls while every unit is in use, nothing starts and the excess has to be preempted, but not before
// it is known which of an earlier term's tasks run.
func TestCountLoweredWhileAllUnitsAreInUse(t *testing.T) {
	r := newServerRig(5)
	r.answer(0)
	for job := range int32(5) {
		r.Acquire(0, TaskRef{job, 0}, 1, 0, oneUnit, CheckedOut)
	}
	if err := r.catalog.ApplyRecord(Key("p"), []byte(`{"count":2}`), 9); err != nil {
		t.Fatal(err)
	}
	if denial, _ := r.Fits(0, oneUnit, 1); denial != NoFreeUnits || r.Excess(0) != 3 {
		t.Fatalf("%v, excess %d", denial, r.Excess(0))
	}
	r.Acquire(0, TaskRef{9, 0}, 0, 0, oneUnit, CheckedOut)
	if r.Excess(0) != 0 {
		t.Fatal("tasks that may not run at all count as excess")
	}
	r.Release(0, TaskRef{9, 0}, oneUnit, NeverStarted)
	for job := range int32(3) {
		r.Release(time.Second, TaskRef{job, 0}, oneUnit, CleanExit)
	}
	r.requireFree(t, 0, "after three tasks ended")
	if r.Excess(0) != 0 {
		t.Fatalf("excess %d", r.Excess(0))
	}
	if err := r.catalog.ApplyRecord(Key("p"), []byte(`{"count":1}`), 8); err != nil || r.catalog.Count(0) != 2 {
		t.Fatalf("an older count was applied: %d, %v", r.catalog.Count(0), err)
	}
}

// An unreachable server keeps tasks from starting, not from running. Answers that lack running
// holders neither lower the number of outside units nor free the units of a holder that they don't list.
func TestServerUnreachableOrInconsistent(t *testing.T) {
	r := newServerRig(20)
	if denial, _ := r.Fits(0, oneUnit, 1); denial != ServerUnavailable {
		t.Fatalf("%v before the first answer", denial)
	}
	r.answer(0)
	var all []AnswerHolder
	for job := range int32(6) {
		r.Acquire(0, TaskRef{job, 0}, 1, 0, oneUnit, CheckedOut)
		all = append(all, AnswerHolder{fmt.Sprintf("%d/0", job), 1, 1})
	}
	r.answer(time.Second, append(all, AnswerHolder{"somebody", 0, 8})...)
	r.requireFree(t, 6, "with eight outside units")
	r.Release(2*time.Second, TaskRef{0, 0}, oneUnit, Crashed)
	r.answer(3 * time.Second) // the server was restarted
	r.requireServer(t, serverInconsistent)
	r.requireFree(t, 6, "after an answer that lacks all holders")
	r.answer(4*time.Second, all[1:]...)
	r.Tick(15*time.Second, time.Unix(0, 0))
	r.requireServer(t, serverUnreachable)
	r.requireFree(t, 0, "without answers")
	r.answer(30*time.Second, all[1:]...)
	r.requireFree(t, 15, "after answers with all holders again")
}

func (r *serverRig) requireServer(t *testing.T, want serverState) {
	t.Helper()
	if state := r.pool.server.state; state != want {
		t.Fatalf("server state %s, want %s", state, want)
	}
}

// The server's own count bounds the units where it is lower than the pool's count, and only there.
func TestServerCountBoundsUnits(t *testing.T) {
	for _, c := range []struct{ serverCount, want int }{
		{0, 5}, // not reported
		{3, 3},
		{5, 5},
		{8, 5},
	} {
		r := newServerRig(5)
		r.ApplyAnswer(0, 0, "p", Answer{Count: c.serverCount, Holders: []AnswerHolder{}}, taskByName)
		r.requireFree(t, c.want, fmt.Sprintf("server count %d", c.serverCount))
	}
}
