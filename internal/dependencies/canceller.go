package dependencies

import (
	"encoding/json"
	"log/slog"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

const (
	// maxCancelBatch bounds the jobs that one transaction cancels.
	maxCancelBatch = 32
	// maxCancelBytes bounds the records in one transaction. The state service takes 64 KiB.
	maxCancelBytes = 48 << 10
	// cancelRetryBackoff passes after a transaction that wasn't carried out, or whose outcome is indeterminate.
	cancelRetryBackoff = 300 * time.Millisecond
)

// CancellerEnv is what a Canceller needs of the controller.
type CancellerEnv struct {
	// CanWrite reports whether a transaction with ops changes may be sent now.
	CanWrite func(ops int) bool
	// Commit sends a transaction on the condition that this controller still leads.
	Commit func(store.Txn, func(store.Result))
	// Read reads one key; a missing key has version 0.
	Read func(key string, done func(store.Item, error))
	// OnJobRecord receives each record that was written or read.
	OnJobRecord func(now time.Duration, item store.Item)
	// Now returns the monotonic time, for results.
	Now func() time.Duration
	// MaxOps returns how many changes a transaction may have now.
	MaxOps func() int
}

// Canceller cancels the doomed jobs of a graph, for one term of a leader. What is left to cancel follows from the
// records, so a later leader needs nothing from an earlier one.
//
// A transaction without an answer may be carried out later, or after it was sent again. Both are harmless: each record
// is written on the condition that it has the version of a pending job, and a doomed job can only be cancelled.
type Canceller struct {
	env        CancellerEnv
	graph      *Graph
	inFlight   bool
	retryAt    time.Duration
	batchLimit int // of jobs in the next transaction; shrinks after failures
	// Cancelled counts the jobs that were cancelled in this term.
	Cancelled uint64
}

// NewCanceller returns a Canceller for one term.
func NewCanceller(graph *Graph, env CancellerEnv) *Canceller {
	return &Canceller{env: env, graph: graph, batchLimit: maxCancelBatch}
}

// Tick sends a transaction if one is due.
func (c *Canceller) Tick(now time.Duration) {
	if c.inFlight || now < c.retryAt {
		return
	}
	batch := c.nextBatch()
	if len(batch) == 0 {
		return
	}
	c.inFlight = true
	c.env.Commit(cancelTxn(batch), func(result store.Result) {
		c.inFlight = false
		c.handleResult(batch, result)
	})
}

// cancelledRecord is the record of a doomed job that is to be written.
type cancelledRecord struct {
	key     string
	version uint64 // of the pending record
	record  json.RawMessage
}

// nextBatch returns the records of the first doomed jobs, as many as may be written now.
func (c *Canceller) nextBatch() []cancelledRecord {
	limit := min(c.batchLimit, c.env.MaxOps())
	size := 0
	var batch []cancelledRecord
	c.graph.ForEachDoomed(func(job *jobs.Job) bool {
		if job.Quarantined {
			return true // its newest record can't be read
		}
		if len(batch) == limit || !c.env.CanWrite(len(batch)+1) {
			return false
		}
		record := c.graph.table.CancelledRecord(job)
		size += len(record)
		if size > maxCancelBytes {
			return false
		}
		batch = append(batch, cancelledRecord{jobs.RecordKey(job.ID), job.Version, record})
		return true
	})
	return batch
}

// cancelTxn returns the transaction that writes a batch: all of it, or nothing.
func cancelTxn(batch []cancelledRecord) store.Txn {
	txn := store.Txn{}
	for _, cancelled := range batch {
		txn.If = append(txn.If, store.Condition{Key: cancelled.key, Version: cancelled.version})
		txn.Then = append(txn.Then, store.Op{Put: cancelled.key, Value: cancelled.record})
	}
	return txn
}

// handleResult takes over the outcome of the transaction under way.
func (c *Canceller) handleResult(batch []cancelledRecord, result store.Result) {
	now := c.env.Now()
	if result.Outcome == store.Committed {
		c.Cancelled += uint64(len(batch))
		c.batchLimit = min(maxCancelBatch, c.batchLimit+1)
		for _, written := range batch {
			c.env.OnJobRecord(now, store.Item{Key: written.key, Value: written.record, Version: result.Revision})
		}
		slog.Info("jobs cancelled with a predecessor", "jobs", len(batch))
		return
	}
	c.retryAt = now + cancelRetryBackoff
	if result.Outcome == store.Conflict {
		c.readAgain(result.FailedKeys)
		return
	}
	// A transaction that is larger than the service takes is refused like one beyond its rate.
	c.batchLimit = max(1, c.batchLimit/2)
	slog.Debug("jobs with a cancelled predecessor not cancelled",
		"outcome", result.Outcome.String(), "jobs", len(batch))
}

// readAgain reads the records whose versions weren't those of the graph's jobs.
func (c *Canceller) readAgain(failedKeys []string) {
	for _, key := range failedKeys {
		if jobs.IDOfKey(key) == "" {
			continue // the leader's condition
		}
		c.env.Read(key, func(item store.Item, err error) {
			if err == nil && item.Version != 0 {
				c.env.OnJobRecord(c.env.Now(), item)
			}
		})
	}
}
