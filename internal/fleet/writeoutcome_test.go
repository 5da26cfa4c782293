package fleet

import (
	"encoding/json"
	"errors"
	"testing"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// sentWrite is a transaction that a fleet has sent, and the callback for its result.
type sentWrite struct {
	txn  store.Txn
	done func(store.Result)
}

// newWriteRig returns a rig with one planned task, the task's job, and the list of writes sent. The write of the
// task's plan is in flight.
func newWriteRig(t *testing.T) (*rig, *jobs.Job, *[]sentWrite) {
	t.Helper()
	g := newRig(t, 1, map[string]json.RawMessage{})
	writes := &[]sentWrite{}
	g.Commit = func(txn store.Txn, done func(store.Result)) { *writes = append(*writes, sentWrite{txn, done}) }
	g.heartbeat("m", 1, fenced)
	job := g.submit(spec(1, 1))
	g.Tick(g.now, true)
	if len(*writes) != 1 || len((*writes)[0].txn.Then) != 1 || g.writer.state != writerInFlight {
		t.Fatalf("writes %+v in writer state %v, want one write of one page in flight", *writes, g.writer.state)
	}
	return g, job, writes
}

// A plan is durable only if its write was committed or is found applied. After a conflict or an indeterminate outcome
// the write may still be applied later, so the segment keeps the machines that the write would make durable.
func TestWriteOutcomes(t *testing.T) {
	for _, test := range []struct {
		name              string
		outcome           store.Outcome
		foundApplied      bool // the reads that resolve the outcome return the written value
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
			name:         "indeterminate and found applied",
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
			g.ReadKey = func(key string, done func(store.Item, error)) {
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
				t.Errorf("%d reads, writer state %v, want %d reads, idle", reads, g.writer.state, test.wantReads)
			}
			if durable := job.IsDurable(0); durable != test.wantDurable {
				t.Errorf("plan durable: %v, want %v", durable, test.wantDurable)
			}
			if indeterminate := segment.Indeterminate != nil; indeterminate != test.wantIndeterminate {
				t.Errorf("segment has an indeterminate write: %v, want %v", indeterminate, test.wantIndeterminate)
			}
			if segment.InFlight != nil || segment.Dirty == test.wantDurable {
				t.Errorf("in flight %v, dirty %v, want nil and dirty unless durable", segment.InFlight, segment.Dirty)
			}
		})
	}
}

// Failed reads of the keys of an indeterminate write are repeated, and nothing else is written until they succeed.
func TestNothingIsWrittenWhileAnOutcomeIsUnresolved(t *testing.T) {
	g, job, writes := newWriteRig(t)
	readsSucceed := false
	reads := 0
	g.ReadKey = func(key string, done func(store.Item, error)) {
		reads++
		if readsSucceed {
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
		t.Fatalf("%d reads, %d writes, state %v, want 6 reads, 1 write, resolving", reads, len(*writes), g.writer.state)
	}
	readsSucceed = true
	g.now += rereadRetryInterval
	g.Tick(g.now, true)
	if len(*writes) != 2 || g.writer.state != writerInFlight {
		t.Fatalf("%d writes and writer state %v, want 2 writes, the second in flight", len(*writes), g.writer.state)
	}
	(*writes)[1].done(store.Result{Outcome: store.Committed, Revision: 8})
	if !job.IsDurable(0) {
		t.Fatal("plan not durable after its second write was committed")
	}
}
