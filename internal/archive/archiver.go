package archive

import (
	"iter"
	"log/slog"
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// opsPerMove is the number of changes in a transaction that moves one job: the archive entry is written and the record
// is deleted.
const opsPerMove = 2

// Shares of the state service's write rate for all controllers that moves may use. backlogWriteShare applies while
// ended jobs have been waiting for more than twice their retention time. Without these limits the leader's moves use
// up the writes that the other controllers need for submissions.
const (
	usualWriteShare   = 0.1
	backlogWriteShare = 0.25
)

const (
	// maxBatchJobs is the maximum number of jobs in a batch.
	maxBatchJobs = 16
	// failureBackoff is the minimum delay between a failed batch and the next one.
	failureBackoff = 2 * time.Second
	// conflictBackoff is the time for which a job is left out of batches after its move was committed or one of its
	// conditions failed. In both cases some move of the job has succeeded, and the watch will report that its record
	// was deleted.
	conflictBackoff = 30 * time.Second
)

// State is the state of an Archiver.
type State uint8

// The states of an Archiver.
//
//	Idle    -> Moving   a batch was sent
//	Moving  -> Waiting  the batch was committed, and the write share is used up until the pause is over; or the batch
//	                    was not applied, had a failed condition, or its outcome is indeterminate
//	Waiting -> Idle     the pause is over
const (
	Idle State = iota
	Moving
	Waiting
)

// String returns the name of the state, which the HTTP API shows to operators.
func (s State) String() string { return [...]string{"idle", "moving", "waiting"}[s] }

// Candidate is an ended job whose record may be moved, because none of its tasks can be on a machine.
type Candidate struct {
	ID      string
	Version uint64 // version of its record
	Entry   Entry
}

// Env holds the controller functions and the limits that an Archiver uses.
type Env struct {
	// CanWrite reports whether a transaction with ops changes may be sent now without delaying writes for users'
	// requests.
	CanWrite func(ops int) bool
	// Commit sends a transaction on the condition that this controller is still the leader.
	Commit func(store.Txn, func(store.Result))
	// Now returns the monotonic time. It is called when a result arrives.
	Now func() time.Duration
	// OnArchived is called for each job whose move was committed.
	OnArchived func(id string, entry Entry)
	// TxnOps is the maximum number of changes in one transaction.
	TxnOps int
	// WritesPerS is the write rate of the state service for all controllers, in changes per second.
	WritesPerS float64
}

// Stats are the counters of an Archiver.
type Stats struct {
	Moved   uint64 // jobs moved
	Batches uint64 // transactions committed
	Failed  uint64 // transactions not committed, or with an indeterminate outcome
}

// Archiver moves ended jobs to the archive in batches, during one term of a leader. The jobs left to move follow from
// the existing records, so a new leader needs no data from the previous one.
//
// A batch without a response may be committed later, even after it was sent again. Both are harmless: each move
// depends on the version of the record and on the absence of the archive entry, so only one of several attempts is
// committed, and a job that may be moved once may be moved at any later time.
type Archiver struct {
	env         Env
	state       State
	pausedUntil time.Duration            // end of the pause of state Waiting
	batchLimit  int                      // limit of the next batch in jobs; halved after failures other than conflicts
	retryAt     map[string]time.Duration // job id to the time until which the job is left out of batches
	// Stats may be read in the event loop of the Archiver.
	Stats Stats
}

// NewArchiver returns an Archiver for one term.
func NewArchiver(env Env) *Archiver {
	m := &Archiver{env: env, retryAt: map[string]time.Duration{}}
	m.batchLimit = m.maxBatch()
	return m
}

// State returns the state of the archiver.
func (m *Archiver) State() State { return m.state }

// maxBatch returns the maximum number of jobs in a batch, given the limit on changes in a transaction.
func (m *Archiver) maxBatch() int { return min(maxBatchJobs, m.env.TxnOps/opsPerMove) }

// Tick sends a batch if the archiver is idle and CanWrite allows it. candidates are the jobs that may be moved, ordered
// by the time of their end. hasBacklog tells whether some have been waiting for more than twice their retention time.
func (m *Archiver) Tick(now time.Duration, hasBacklog bool, candidates iter.Seq[Candidate]) {
	if m.state == Waiting && now >= m.pausedUntil {
		m.state = Idle
	}
	if m.state != Idle || m.batchLimit < 1 || !m.env.CanWrite(opsPerMove) {
		return
	}
	batch := m.nextBatch(now, candidates)
	if len(batch) == 0 {
		return
	}
	m.state = Moving
	m.pausedUntil = now + m.pause(len(batch), hasBacklog)
	m.env.Commit(moveTxn(batch), func(result store.Result) { m.handleResult(batch, result) })
}

// nextBatch returns the first candidates that aren't backed off, as many as may be written now.
func (m *Archiver) nextBatch(now time.Duration, candidates iter.Seq[Candidate]) []Candidate {
	var batch []Candidate
	for candidate := range candidates {
		if m.isBackedOff(now, candidate.ID) {
			continue
		}
		batch = append(batch, candidate)
		if len(batch) == m.batchLimit || !m.env.CanWrite(opsPerMove*(len(batch)+1)) {
			break
		}
	}
	return batch
}

// pause returns the time for which the changes of a batch use up the moves' share of the state service's write rate.
func (m *Archiver) pause(jobCount int, hasBacklog bool) time.Duration {
	share := usualWriteShare
	if hasBacklog {
		share = backlogWriteShare
	}
	return jobs.Seconds(float64(opsPerMove*jobCount) / (m.env.WritesPerS * share))
}

// isBackedOff reports whether a job is still left out of batches. It deletes a backoff that is over.
func (m *Archiver) isBackedOff(now time.Duration, id string) bool {
	retryAt, ok := m.retryAt[id]
	if ok && now >= retryAt {
		delete(m.retryAt, id)
		return false
	}
	return ok
}

// moveTxn returns the transaction that moves all jobs of a batch, or none.
func moveTxn(batch []Candidate) store.Txn {
	txn := store.Txn{}
	for _, candidate := range batch {
		recordKey := jobs.RecordKey(candidate.ID)
		txn.If = append(txn.If,
			store.Condition{Key: recordKey, Version: candidate.Version},
			AbsentCondition(candidate.ID))
		txn.Then = append(txn.Then,
			store.Op{Put: Key(candidate.ID), Value: Encode(candidate.Entry)},
			store.Op{Delete: recordKey})
	}
	return txn
}

// handleResult handles the outcome of the batch that was in flight.
func (m *Archiver) handleResult(batch []Candidate, result store.Result) {
	now := m.env.Now()
	if result.Outcome == store.Committed {
		m.handleCommitted(now, batch)
	} else {
		m.handleFailure(now, batch, result)
	}
	m.state = Waiting
}

func (m *Archiver) handleCommitted(now time.Duration, batch []Candidate) {
	m.Stats.Moved += uint64(len(batch))
	m.Stats.Batches++
	m.batchLimit = min(m.maxBatch(), m.batchLimit+1)
	for _, candidate := range batch {
		m.retryAt[candidate.ID] = now + conflictBackoff // ForgetBackoff ends it once the deletion was read
		m.env.OnArchived(candidate.ID, candidate.Entry)
	}
}

func (m *Archiver) handleFailure(now time.Duration, batch []Candidate, result store.Result) {
	m.Stats.Failed++
	if result.Outcome == store.Conflict {
		m.backOffConflicts(now, batch, result.FailedKeys)
	} else {
		// The service rejects an oversized transaction with the same outcome as one above its rate limit. Its limits
		// may shrink without notice, so the next batch is smaller.
		m.batchLimit = max(1, m.batchLimit/2)
	}
	slog.Debug("archive batch not committed",
		"outcome", result.Outcome.String(), "jobs", len(batch), "failed_keys", result.FailedKeys)
	m.pausedUntil = max(m.pausedUntil, now+failureBackoff)
}

// backOffConflicts backs off the jobs whose conditions failed, for conflictBackoff.
func (m *Archiver) backOffConflicts(now time.Duration, batch []Candidate, failedKeys []string) {
	for _, candidate := range batch {
		recordFailed := slices.Contains(failedKeys, jobs.RecordKey(candidate.ID))
		entryFailed := slices.Contains(failedKeys, Key(candidate.ID))
		if recordFailed || entryFailed {
			m.retryAt[candidate.ID] = now + conflictBackoff
		}
	}
}

// ForgetBackoff ends the backoff of a job. The controller calls it after it has read that the job's record was
// deleted.
func (m *Archiver) ForgetBackoff(id string) { delete(m.retryAt, id) }
