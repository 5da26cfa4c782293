package archive

import (
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// Every answer is read back as it was written, and the largest fits what is asked of the state service's values.
func TestAnswersAreReadBack(t *testing.T) {
	for _, answer := range []Answer{{jobs.Done, 1, 1}, {jobs.Cancelled, jobs.MaxTasks, jobs.MaxTasks}, {jobs.Cancelled, 7, 0}} {
		raw := Encode(answer)
		if len(raw) > MaxRecordBytes {
			t.Errorf("%s takes %d bytes, more than %d", raw, len(raw), MaxRecordBytes)
		}
		if got, err := Decode(raw); err != nil || got != answer {
			t.Errorf("%s was read as %v, %v", raw, got, err)
		}
	}
}

// What can't be read is an error that says so, never a stance.
func TestUnreadableAnswers(t *testing.T) {
	for _, raw := range []string{``, `7`, `{}`, `{"stance":"pending","n":1}`, `{"v":2,"stance":"done","n":1}`, `{"stance":"done","n":"x"}`} {
		if answer, err := Decode(json.RawMessage(raw)); !errors.Is(err, ErrUnreadable) {
			t.Errorf("%q was read as %v, %v", raw, answer, err)
		}
	}
}

// Limits without room for a move are refused by name.
func TestLimitsWithoutRoom(t *testing.T) {
	if err := Fits(2, MaxRecordBytes); err != nil {
		t.Errorf("refused: %v", err)
	}
	if err := Fits(1, 1<<20); err == nil || !strings.Contains(err.Error(), "txn_ops") {
		t.Errorf("one change in a transaction: %v", err)
	}
	if err := Fits(24, MaxRecordBytes-1); err == nil || !strings.Contains(err.Error(), "value_kb") {
		t.Errorf("values too small: %v", err)
	}
}

// keys is a state service with some keys, for a reader.
type keys struct {
	items map[string]store.Item
	reads int
	err   error
}

func (k *keys) Get(key string, _ store.Priority, done func(store.Item, error)) {
	k.reads++
	item := k.items[key]
	item.Key = key
	done(item, k.err)
}

// An answer is read once; absence and failure are asked for anew, and the cache is bounded.
func TestReader(t *testing.T) {
	k := &keys{items: map[string]store.Item{}}
	r := NewReader(k, 2)
	unread := 0
	r.Unreadable = func(string, json.RawMessage, error) { unread++ }
	find := func(id string) (Answer, bool, error) {
		var answer Answer
		var found bool
		var err error
		r.Find(id, store.QueryPriority, func(x Answer, f bool, e error) { answer, found, err = x, f, e })
		return answer, found, err
	}
	for range 2 {
		if _, found, err := find("req-1"); found || err != nil {
			t.Errorf("an absent answer: %v, %v", found, err)
		}
	}
	for _, id := range []string{"req-1", "req-2", "req-3"} {
		k.items[Key(id)] = store.Item{Value: Encode(Answer{jobs.Done, 3, 3}), Version: 5}
	}
	k.reads = 0
	for range 3 {
		if answer, found, err := find("req-1"); !found || err != nil || answer.Tasks != 3 {
			t.Errorf("%v, %v, %v", answer, found, err)
		}
	}
	if k.reads != 1 {
		t.Errorf("%d reads of an answer that never changes", k.reads)
	}
	if find("req-2"); r.CacheLen() != 2 {
		t.Errorf("%d answers are cached", r.CacheLen())
	}
	if find("req-3"); r.CacheLen() != 2 {
		t.Errorf("%d answers are cached, and the bound is 2", r.CacheLen())
	}
	k.items[Key("req-9")] = store.Item{Value: json.RawMessage(`{"v":9}`), Version: 6}
	if _, found, err := find("req-9"); found || !errors.Is(err, ErrUnreadable) || unread != 1 {
		t.Errorf("an unreadable answer: %v, %v, told %d times", found, err, unread)
	}
	k.err = errors.New("no answer")
	if _, found, err := find("req-7"); found || err == nil {
		t.Errorf("a failed read: %v, %v", found, err)
	}
}

// mover is a mover with what it sent, its clock and its waiting jobs.
type mover struct {
	*Mover
	t     time.Duration
	sent  []store.Txn
	done  func(store.Result)
	moved []string
	jobs  []Candidate
	full  bool // no write may go out
}

func newMover(ops, n int) *mover {
	m := &mover{}
	m.Mover = NewMover(Env{
		Now: func() time.Duration { return m.t }, TxnOps: ops, WritesPerS: 40,
		CanWrite:   func(int) bool { return !m.full },
		Commit:     func(txn store.Txn, done func(store.Result)) { m.sent, m.done = append(m.sent, txn), done },
		OnArchived: func(id string, _ Answer) { m.moved = append(m.moved, id) },
	})
	for i := range n {
		m.jobs = append(m.jobs, Candidate{ID: "req-" + string(rune('a'+i)), Version: uint64(i + 1), Answer: Answer{jobs.Done, 1, 1}})
	}
	return m
}

// tick lets a mover look at its jobs; it reports how many it tried to move.
func (m *mover) tick(after time.Duration) int {
	m.t += after
	before := len(m.sent)
	m.Tick(m.t, false, func(take func(Candidate) bool) {
		for _, c := range m.jobs {
			if !take(c) {
				return
			}
		}
	})
	if len(m.sent) == before {
		return 0
	}
	return len(m.sent[before].Then) / MinTxnOps
}

// A batch keeps within the limits, nothing else is sent while it is under way, and its rate is a part of what the
// state service takes.
func TestBatches(t *testing.T) {
	const first = 12 // as many as a transaction of 24 changes holds
	m := newMover(24, first+4)
	if n := m.tick(0); n != first || m.State() != Moving {
		t.Fatalf("%d jobs in a batch, %s", n, m.State())
	}
	if n := m.tick(time.Minute); n != 0 {
		t.Errorf("a second batch of %d while one is under way", n)
	}
	m.t = 0
	m.done(store.Result{Outcome: store.Committed, Revision: 50})
	if len(m.moved) != first || m.Stats.Moved != first {
		t.Errorf("moved %v, counted %d", m.moved, m.Stats.Moved)
	}
	// 24 writes at a tenth of 40 a second are six seconds' worth.
	if n := m.tick(5900 * time.Millisecond); n != 0 {
		t.Errorf("%d jobs moved before their time", n)
	}
	if n := m.tick(200 * time.Millisecond); n != 4 {
		t.Errorf("%d jobs moved, 4 are left", n)
	}
	if small := newMover(5, 12); small.tick(0) != 2 {
		t.Error("a batch larger than a transaction")
	}
	if tiny := newMover(1, 12); tiny.tick(0) != 0 {
		t.Error("a batch where a transaction holds one change")
	}
	if busy := newMover(24, 12); true {
		busy.full = true
		if busy.tick(0) != 0 {
			t.Error("a batch though no write is spare")
		}
	}
}

// A batch that is refused is tried again, smaller: the service's limits may have shrunk. It grows again.
func TestRefusedBatchesShrink(t *testing.T) {
	m := newMover(16, 12)
	var sizes []int
	for range 5 {
		sizes = append(sizes, m.tick(time.Minute))
		m.done(store.Result{Outcome: store.NotApplied})
	}
	if !slices.Equal(sizes, []int{8, 4, 2, 1, 1}) {
		t.Errorf("batches of %v", sizes)
	}
	m.tick(time.Minute)
	m.done(store.Result{Outcome: store.Committed})
	if n := m.tick(time.Minute); n != 2 {
		t.Errorf("a batch of %d after one that was carried out", n)
	}
}

// A job whose move meets a condition that doesn't hold is left out for a while, the others of its batch go on; once its
// record is seen to be gone nothing is remembered of it.
func TestConflictsAreLeftOut(t *testing.T) {
	m := newMover(24, 3)
	m.tick(0)
	m.done(store.Result{Outcome: store.Conflict, FailedKeys: []string{Key("req-b")}})
	if n := m.tick(pauseFor); n != 2 {
		t.Errorf("%d jobs in the next batch, and one of three was moved before", n)
	}
	for _, c := range m.sent[1].If {
		if c.Key == Key("req-b") {
			t.Error("the job whose answer stands is tried again at once")
		}
	}
	m.ForgetConflict("req-b")
	if len(m.met) != 0 {
		t.Errorf("remembered: %v", m.met)
	}
}

// A batch without an answer is sent again as it was: of the two one is carried out.
func TestIndeterminateBatchIsSentAgain(t *testing.T) {
	m := newMover(24, 1)
	m.tick(0)
	m.done(store.Result{Outcome: store.Indeterminate})
	if m.tick(pauseFor/2) != 0 || m.tick(pauseFor) != 1 {
		t.Error("not sent again after the pause")
	}
	if !slices.Equal(m.sent[0].If, m.sent[1].If) {
		t.Errorf("other conditions: %v, %v", m.sent[0].If, m.sent[1].If)
	}
}
