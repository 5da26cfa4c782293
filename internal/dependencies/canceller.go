package dependencies

import (
	"encoding/json"
	"log/slog"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

const (
	// maxCancelBatch is the maximum number of jobs that one transaction cancels.
	maxCancelBatch = 32
	// maxCancelBytes limits the total size of the records in one transaction. The state service accepts 64 KiB.
	maxCancelBytes = 48 << 10
	// cancelRetryBackoff is the delay after a transaction that wasn't committed, or whose outcome is indeterminate.
	cancelRetryBackoff = 300 * time.Millisecond
)

// CancellerEnv holds the controller functions that a Canceller calls.
type CancellerEnv struct {
	// CanWrite reports whether a transaction with ops changes may be sent now.
	CanWrite func(ops int) bool
	// Commit sends a transaction on the condition that this controller is still the leader.
	Commit func(store.Txn, func(store.Result))
	// Read reads one key; a missing key has version 0.
	Read func(key string, done func(store.Item, error))
	// OnJobRecord receives each record that was written or read.
	OnJobRecord func(now time.Duration, item store.Item)
	// Now returns the monotonic time. It is called when a result arrives.
	Now func() time.Duration
	// MaxOps returns the current maximum number of changes in a transaction.
	MaxOps func() int
}

// Canceller cancels the jobs of a graph that are in state CancelPending, during one term of a leader. These jobs
// follow from the stored records, so a new leader needs no data from the previous one.
//
// A transaction without a response may be committed later, even after it was sent again. Both are harmless: each
// record is written on the condition that the pending record's version is unchanged, and a CancelPending job can only
// be cancelled.
type Canceller struct {
	env        CancellerEnv
	graph      *Graph
	inFlight   bool
	retryAt    time.Duration // no transaction is sent before this time
	batchLimit int           // limit of the next batch in jobs; halved after failures other than conflicts
	// Cancelled counts the jobs that this Canceller has cancelled.
	Cancelled uint64
}

// NewCanceller returns a Canceller for one term.
func NewCanceller(graph *Graph, env CancellerEnv) *Canceller {
	return &Canceller{env: env, graph: graph, batchLimit: maxCancelBatch}
}

// Tick sends a transaction if there are jobs to cancel, no transaction is in flight and the backoff is over.
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

// cancelledRecord is the cancelled record to be written for a CancelPending job.
type cancelledRecord struct {
	key     string
	version uint64 // version of the pending record that is replaced
	record  json.RawMessage
}

// nextBatch returns the records of the first CancelPending jobs, as many as may be written now.
func (c *Canceller) nextBatch() []cancelledRecord {
	limit := min(c.batchLimit, c.env.MaxOps())
	size := 0
	var batch []cancelledRecord
	c.graph.ForEachCancelPending(func(job *jobs.Job) bool {
		if job.Quarantined {
			return true // the job's newest record can't be read
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

// cancelTxn returns the transaction that writes all records of a batch, or none.
func cancelTxn(batch []cancelledRecord) store.Txn {
	txn := store.Txn{}
	for _, cancelled := range batch {
		txn.If = append(txn.If, store.Condition{Key: cancelled.key, Version: cancelled.version})
		txn.Then = append(txn.Then, store.Op{Put: cancelled.key, Value: cancelled.record})
	}
	return txn
}

// handleResult handles the outcome of the transaction that was in flight.
func (c *Canceller) handleResult(batch []cancelledRecord, result store.Result) {
	now := c.env.Now()
	if result.Outcome == store.Committed {
		c.Cancelled += uint64(len(batch))
		c.batchLimit = min(maxCancelBatch, c.batchLimit+1)
		for _, written := range batch {
			c.env.OnJobRecord(now, store.Item{Key: written.key, Value: written.record, Version: result.Revision})
		}
		slog.Info("jobs cancelled because a predecessor was cancelled", "jobs", len(batch))
		return
	}
	c.retryAt = now + cancelRetryBackoff
	if result.Outcome == store.Conflict {
		c.rereadRecords(result.FailedKeys)
		return
	}
	// The service rejects an oversized transaction with the same outcome as one above its rate limit.
	c.batchLimit = max(1, c.batchLimit/2)
	slog.Debug("cancellation batch not committed",
		"outcome", result.Outcome.String(), "jobs", len(batch))
}

// rereadRecords reads the job records whose versions differ from those in the graph.
func (c *Canceller) rereadRecords(failedKeys []string) {
	for _, key := range failedKeys {
		if jobs.IDOfKey(key) == "" {
			continue // the leader's key, whose condition Commit adds
		}
		c.env.Read(key, func(item store.Item, err error) {
			if err == nil && item.Version != 0 {
				c.env.OnJobRecord(c.env.Now(), item)
			}
		})
	}
}
