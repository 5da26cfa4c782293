package fleet

import (
	"encoding/json"
	"errors"
	"testing"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// sentWrite is a transaction that a fleet has sent, and the function that takes its outcome.
type sentWrite struct {
	txn  store.Txn
	done func(store.Result)
}

// newWriteRig returns a rig with one planned task whose plan is being written, and the writes that are sent.
func newWriteRig(t *testing.T) (*rig, *jobs.Job, *[]sentWrite) {
	t.Helper()
	g := newRig(t, 1, map[string]json.RawMessage{})
	writes := &[]sentWrite{}
	g.Commit = func(txn store.Txn, done func(store.Result)) { *writes = append(*writes, sentWrite{txn, done}) }
	g.heartbeat("m", 1, fenced)
	job := g.submit(spec(1, 1))
	g.Tick(g.now, true)
	if len(*writes) != 1 || len((*writes)[0].txn.Then) != 1 || g.writer.state != writerInFlight {
		t.Fatalf("writes %+v in state %v, want one of one page", *writes, g.writer.state)
	}
	return g, job, writes
}

// A plan is durable only if its write was committed or is found applied. After a conflict or an indeterminate outcome
// the write may still be applied later, and the segment keeps what it would make durable.
func TestWriteOutcomes(t *testing.T) {
	for _, test := range []struct {
		name              string
		outcome           store.Outcome
		foundApplied      bool // by the reads that resolve the outcome
		wantReads         int
		wantDurable       bool
		wantIndeterminate bool
	}{
		{name: "committed", outcome: store.Committed, wantDurable: true},
		{name: "not applied", outcome: store.NotApplied},
		{name: "lease expired", outcome: store.LeaseExpired},
		{name: "conflict", outcome: store.Conflict, wantReads: 1, wantIndeterminate: true},
		{name: "indeterminate", outcome: store.Indeterminate, wantReads: 1, wantIndeterminate: true},
		{
			name:         "indeterminate and applied",
			outcome:      store.Indeterminate,
			foundApplied: true,
			wantReads:    1,
			wantDurable:  true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			g, job, writes := newWriteRig(t)
			write := (*writes)[0]
			reads := 0
			g.Read = func(key string, done func(store.Item, error)) {
				reads++
				item := store.Item{Key: key}
				if test.foundApplied {
					item.Value = write.txn.Then[0].Value
					item.Version = 7
				}
				done(item, nil)
			}
			write.done(store.Result{Outcome: test.outcome, Revision: 7})
			segment := job.Segments[0]
			if reads != test.wantReads || g.writer.state != writerIdle {
				t.Errorf("%d reads and state %v, want %d and idle", reads, g.writer.state, test.wantReads)
			}
			if durable := job.IsDurable(0); durable != test.wantDurable {
				t.Errorf("the plan is durable: %v, want %v", durable, test.wantDurable)
			}
			if indeterminate := segment.Indeterminate != nil; indeterminate != test.wantIndeterminate {
				t.Errorf("the write may still be applied: %v, want %v", indeterminate, test.wantIndeterminate)
			}
			if segment.InFlight != nil || segment.Dirty == test.wantDurable {
				t.Errorf("in flight %v, dirty %v", segment.InFlight, segment.Dirty)
			}
		})
	}
}

// While the reads that resolve an outcome fail they are repeated, and nothing else is written.
func TestNothingIsWrittenWhileAnOutcomeIsUnresolved(t *testing.T) {
	g, job, writes := newWriteRig(t)
	answers := false
	reads := 0
	g.Read = func(key string, done func(store.Item, error)) {
		reads++
		if answers {
			done(store.Item{Key: key}, nil)
			return
		}
		done(store.Item{}, errors.New("no answer"))
	}
	(*writes)[0].done(store.Result{Outcome: store.Indeterminate})
	for range 5 {
		g.now += rereadRetryInterval
		g.Tick(g.now, true)
	}
	if reads != 6 || len(*writes) != 1 || g.writer.state != writerResolving || !g.WriteInFlight() {
		t.Fatalf("%d reads, %d writes, state %v, want 6 reads and no second write", reads, len(*writes), g.writer.state)
	}
	answers = true
	g.now += rereadRetryInterval
	g.Tick(g.now, true)
	if len(*writes) != 2 || g.writer.state != writerInFlight {
		t.Fatalf("%d writes and state %v, want the plan written again", len(*writes), g.writer.state)
	}
	(*writes)[1].done(store.Result{Outcome: store.Committed, Revision: 8})
	if !job.IsDurable(0) {
		t.Fatal("the plan is not durable")
	}
}
