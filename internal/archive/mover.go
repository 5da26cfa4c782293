package archive

import (
	"iter"
	"log/slog"
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// opsPerMove is how many changes of a transaction the move of one job takes: its answer's key is written and its
// record's key deleted together.
const opsPerMove = 2

// Shares of the state service's write rate that moves may use, of all controllers' together: the usual one, and the
// one while ended jobs wait for more than twice the time for which they are retained. Without such a bound the
// leader's moves take the writes that the other controllers' submissions need.
const (
	usualWriteShare   = 0.1
	backlogWriteShare = 0.25
)

const (
	// maxBatchJobs bounds the jobs in a batch.
	maxBatchJobs = 16
	// failureBackoff passes after a batch that wasn't carried out.
	failureBackoff = 2 * time.Second
	// conflictBackoff is for how long a job isn't tried again whose move met a condition that didn't hold, or was
	// carried out: an earlier move of it has succeeded, and the followed keys are about to show it.
	conflictBackoff = 30 * time.Second
)

// State is what a Mover is doing.
type State uint8

// The states of a Mover.
//
//	Idle    -> Moving   a batch was sent
//	Moving  -> Waiting  it is durable, and its share of the writes is used up for a while; or it wasn't carried out,
//	                    met a condition that didn't hold, or its outcome is indeterminate
//	Waiting -> Idle     the pause is over
const (
	Idle State = iota
	Moving
	Waiting
)

// String returns the name of the state, as operators read it over HTTP.
func (s State) String() string { return [...]string{"idle", "moving", "waiting"}[s] }

// Candidate is an ended job whose record may be moved: no task of it can be on a machine.
type Candidate struct {
	ID      string
	Version uint64 // of its record
	Answer  Answer
}

// Env is what a Mover needs of the controller.
type Env struct {
	// CanWrite reports whether a transaction with ops changes may be sent now without delaying the writes that users
	// wait for.
	CanWrite func(ops int) bool
	// Commit sends a transaction on the condition that this controller still leads.
	Commit func(store.Txn, func(store.Result))
	// Now returns the monotonic time, for results.
	Now func() time.Duration
	// OnArchived is called for each job whose move is durable.
	OnArchived func(id string, answer Answer)
	// TxnOps is the most changes in one transaction.
	TxnOps int
	// WritesPerS is how many writes per second the state service takes of all controllers.
	WritesPerS float64
}

// Stats counts what a Mover has done in its term.
type Stats struct {
	Moved   uint64 // jobs
	Batches uint64 // transactions that were carried out
	Failed  uint64 // transactions that weren't, or whose outcome is indeterminate
}

// Mover moves ended jobs into the archive, a batch at a time, for one term of a leader. What is left to move follows
// from the records that still exist, so a later leader needs nothing from an earlier one.
//
// A batch without an answer may be carried out later, or after it was sent again. Both are harmless: each job's move
// depends on the version of its record and on the absence of its answer, so of all attempts one is carried out, and a
// job that may be moved may always be moved.
type Mover struct {
	env         Env
	state       State
	pausedUntil time.Duration
	batchLimit  int                      // of jobs in the next batch; shrinks after failures
	retryAt     map[string]time.Duration // by job; for those that aren't tried before
	// Stats may be read by the owner of the Mover.
	Stats Stats
}

// NewMover returns a Mover for one term.
func NewMover(env Env) *Mover {
	m := &Mover{env: env, retryAt: map[string]time.Duration{}}
	m.batchLimit = m.maxBatch()
	return m
}

// State returns what the mover is doing.
func (m *Mover) State() State { return m.state }

// maxBatch is how many jobs a batch may hold within the limits of a transaction.
func (m *Mover) maxBatch() int { return min(maxBatchJobs, m.env.TxnOps/opsPerMove) }

// Tick sends a batch if one is due. candidates are the jobs that may be moved, the one that ended first at the
// beginning. hasBacklog is whether some have waited for much longer than they are to be retained.
func (m *Mover) Tick(now time.Duration, hasBacklog bool, candidates iter.Seq[Candidate]) {
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

// nextBatch picks the first candidates that aren't backed off, as many as may be written now.
func (m *Mover) nextBatch(now time.Duration, candidates iter.Seq[Candidate]) []Candidate {
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

// pause is how long a batch of jobs uses up the share of moves in the state service's writes.
func (m *Mover) pause(jobCount int, hasBacklog bool) time.Duration {
	share := usualWriteShare
	if hasBacklog {
		share = backlogWriteShare
	}
	return jobs.Seconds(float64(opsPerMove*jobCount) / (m.env.WritesPerS * share))
}

// isBackedOff reports whether a job isn't to be tried yet.
func (m *Mover) isBackedOff(now time.Duration, id string) bool {
	retryAt, ok := m.retryAt[id]
	if ok && now >= retryAt {
		delete(m.retryAt, id)
		return false
	}
	return ok
}

// moveTxn returns the transaction that moves a batch: all of it, or nothing.
func moveTxn(batch []Candidate) store.Txn {
	txn := store.Txn{}
	for _, candidate := range batch {
		recordKey := jobs.RecordKey(candidate.ID)
		txn.If = append(txn.If,
			store.Condition{Key: recordKey, Version: candidate.Version},
			Absent(candidate.ID))
		txn.Then = append(txn.Then,
			store.Op{Put: Key(candidate.ID), Value: Encode(candidate.Answer)},
			store.Op{Delete: recordKey})
	}
	return txn
}

// handleResult takes over the outcome of the batch under way.
func (m *Mover) handleResult(batch []Candidate, result store.Result) {
	now := m.env.Now()
	if result.Outcome == store.Committed {
		m.handleMoved(now, batch)
	} else {
		m.handleFailure(now, batch, result)
	}
	m.state = Waiting
}

func (m *Mover) handleMoved(now time.Duration, batch []Candidate) {
	m.Stats.Moved += uint64(len(batch))
	m.Stats.Batches++
	m.batchLimit = min(m.maxBatch(), m.batchLimit+1)
	for _, candidate := range batch {
		m.retryAt[candidate.ID] = now + conflictBackoff // until its record is seen to be deleted
		m.env.OnArchived(candidate.ID, candidate.Answer)
	}
}

func (m *Mover) handleFailure(now time.Duration, batch []Candidate, result store.Result) {
	m.Stats.Failed++
	if result.Outcome == store.Conflict {
		m.backOffConflicts(now, batch, result.FailedKeys)
	} else {
		// A transaction that is larger than the service takes is refused like one beyond its rate. Its limits may
		// shrink without notice, so the next batch is smaller.
		m.batchLimit = max(1, m.batchLimit/2)
	}
	slog.Debug("archive batch not committed",
		"outcome", result.Outcome.String(), "jobs", len(batch), "failed_keys", result.FailedKeys)
	m.pausedUntil = max(m.pausedUntil, now+failureBackoff)
}

// backOffConflicts leaves out the jobs whose conditions didn't hold for a while.
func (m *Mover) backOffConflicts(now time.Duration, batch []Candidate, failedKeys []string) {
	for _, candidate := range batch {
		recordFailed := slices.Contains(failedKeys, jobs.RecordKey(candidate.ID))
		answerFailed := slices.Contains(failedKeys, Key(candidate.ID))
		if recordFailed || answerFailed {
			m.retryAt[candidate.ID] = now + conflictBackoff
		}
	}
}

// ForgetBackoff ends the back-off of a job whose record is seen to be deleted.
func (m *Mover) ForgetBackoff(id string) { delete(m.retryAt, id) }
