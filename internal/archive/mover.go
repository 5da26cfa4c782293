package archive

import (
	"log/slog"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// State is what a mover is doing.
type State uint8

// The states of a mover.
//
//	Idle    -> Moving   a batch was sent
//	Moving  -> Waiting  it is durable, and its share of the writes is used up for a while; or it wasn't carried out,
//	                    met a condition that didn't hold, or nobody knows
//	Waiting -> Idle     the pause is over
const (
	Idle State = iota
	Moving
	Waiting
)

func (s State) String() string { return [...]string{"idle", "moving", "waiting"}[s] }

// Candidate is an ended job whose record may be moved: no task of it can be on a machine.
type Candidate struct {
	ID      string
	Version uint64 // of its record
	Answer  Answer
}

// Env is what a mover needs of its surroundings.
type Env struct {
	// CanWrite tells whether a transaction with n changes may go out now, without taking the place of anybody's who
	// waits for an answer.
	CanWrite func(n int) bool
	// Commit sends a transaction under the leader's guard.
	Commit func(store.Txn, func(store.Result))
	// Now is the steady clock, for answers.
	Now func() time.Duration
	// OnArchived is told of each job whose move is durable.
	OnArchived func(id string, answer Answer)
	// TxnOps bounds the changes in one transaction, WritesPerS those that the state service takes in a second.
	TxnOps     int
	WritesPerS float64
}

// Stats count what a mover has done in its term.
type Stats struct {
	Moved   uint64 // jobs
	Batches uint64 // transactions that were carried out
	Failed  uint64 // transactions that weren't, as far as is known
}

// Parts of the state service's rate of writes that moves may use, of all controllers' together: the usual one, and the
// one where ended jobs wait for more than twice the time for which they are retained. Moves once used whatever the
// leader had left over; with five controllers the service then refused submissions that the others had room for.
const (
	usualPart   = 0.1
	backlogPart = 0.25
)

// Bounds of a batch, in jobs, and of the pause after one that wasn't carried out.
const (
	mostJobs = 16
	pauseFor = 2 * time.Second
	// settleFor is for how long a job isn't tried again that met a condition which didn't hold: an earlier move of
	// it has landed, and the followed keys are about to say so.
	settleFor = 30 * time.Second
)

// Mover moves ended jobs into the archive, a batch at a time, for one term of a leader. What is left to move follows
// from the records that still stand, so a later leader goes on without being told anything.
//
// A batch without an answer may be carried out later, or twice as far as its author knows. Both are harmless: each
// job's move depends on the version of its record and on the absence of its answer, so of all attempts one is carried
// out, and a job that may be moved may always be moved.
type Mover struct {
	Env
	state State
	until time.Duration // of the pause
	batch int           // most jobs in the next batch
	met   map[string]time.Duration
	Stats Stats
}

// NewMover starts a term.
func NewMover(env Env) *Mover {
	m := &Mover{Env: env, met: map[string]time.Duration{}}
	m.batch = m.most()
	return m
}

// State is what the mover is doing.
func (m *Mover) State() State { return m.state }

// most is how many jobs a batch may hold at most: each takes two changes.
func (m *Mover) most() int { return min(mostJobs, m.TxnOps/MinTxnOps) }

// to is the only place where the state changes.
func (m *Mover) to(s State) { m.state = s }

// Tick sends a batch if one is due. next calls its argument for each job that may be moved, the one that ended first
// at the beginning, until the argument returns false. backlog tells that some have waited for much longer than they
// are to be retained.
func (m *Mover) Tick(now time.Duration, backlog bool, next func(func(Candidate) bool)) {
	if m.state == Waiting && now >= m.until {
		m.to(Idle)
	}
	if m.state != Idle || m.batch < 1 || !m.CanWrite(MinTxnOps) {
		return
	}
	var batch []Candidate
	next(func(c Candidate) bool {
		if m.settling(now, c.ID) {
			return true
		}
		batch = append(batch, c)
		return len(batch) < m.batch && m.CanWrite(MinTxnOps*(len(batch)+1))
	})
	if len(batch) == 0 {
		return
	}
	m.to(Moving)
	m.until = now + m.pause(len(batch), backlog)
	m.Commit(transaction(batch), func(result store.Result) { m.outcome(batch, result) })
}

// pause is how long a batch uses up the share of moves in the state service's writes.
func (m *Mover) pause(jobs int, backlog bool) time.Duration {
	part := usualPart
	if backlog {
		part = backlogPart
	}
	return time.Duration(float64(MinTxnOps*jobs) / (m.WritesPerS * part) * float64(time.Second))
}

// settling tells whether a job's move has met a condition that didn't hold, not long ago.
func (m *Mover) settling(now time.Duration, id string) bool {
	until, met := m.met[id]
	if met && now >= until {
		delete(m.met, id)
		return false
	}
	return met
}

// transaction moves a batch: all of it, or nothing.
func transaction(batch []Candidate) store.Txn {
	txn := store.Txn{}
	for _, c := range batch {
		txn.If = append(txn.If, store.Condition{Key: jobs.RecordKey(c.ID), Version: c.Version}, Absent(c.ID))
		txn.Then = append(txn.Then, store.Op{Put: Key(c.ID), Value: Encode(c.Answer)}, store.Op{Delete: jobs.RecordKey(c.ID)})
	}
	return txn
}

// outcome takes over what became of a batch.
func (m *Mover) outcome(batch []Candidate, result store.Result) {
	now := m.Now()
	if result.Outcome == store.Committed {
		m.Stats.Moved += uint64(len(batch))
		m.Stats.Batches++
		m.batch = min(m.most(), m.batch+1)
		for _, c := range batch {
			m.met[c.ID] = now + settleFor // until its record is seen to be gone
			m.OnArchived(c.ID, c.Answer)
		}
		m.to(Waiting)
		return
	}
	m.Stats.Failed++
	if result.Outcome == store.Conflict {
		m.conflict(now, batch, result.FailedKeys)
	} else {
		// A transaction that is larger than the service takes is refused like one beyond its rate. Its limits may
		// shrink without notice, so the next batch is smaller.
		m.batch = max(1, m.batch/2)
	}
	slog.Debug("ended jobs were not moved", "outcome", result.Outcome.String(), "jobs", len(batch), "failed", result.FailedKeys)
	m.until = max(m.until, now+pauseFor)
	m.to(Waiting)
}

// conflict leaves out the jobs whose conditions didn't hold for a while.
func (m *Mover) conflict(now time.Duration, batch []Candidate, failed []string) {
	keys := make(map[string]bool, len(failed))
	for _, k := range failed {
		keys[k] = true
	}
	for _, c := range batch {
		if keys[jobs.RecordKey(c.ID)] || keys[Key(c.ID)] {
			m.met[c.ID] = now + settleFor
		}
	}
}

// ForgetConflict forgets what is remembered of a job whose record is seen to be gone.
func (m *Mover) ForgetConflict(id string) { delete(m.met, id) }
