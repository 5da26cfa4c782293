// Package sessions manages interactive sessions: jobs of one task that a user opens, attaches to and leaves, and that
// are reclaimed when idle, after a warning and with a checkpoint of the work.
//
// The package owns the sessions' activity and records, and decides when a session is warned, checkpointed and
// reclaimed. It never places or stops a task itself: the fleet suspends a session's job once the work is durable and
// the agent has frozen the session, and later resumes the job. A session whose heartbeats are overdue is never
// reclaimed.
//
// A Manager serves one term of one leader. The controller calls it on the leader's event loop. It does no I/O.
package sessions

import (
	"encoding/json"
	"log/slog"
	"strings"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// Task is the fleet's state of a session's task.
type Task struct {
	OnMachine bool   // the fleet counts the task as being on a machine
	Stopping  bool   // the task was ordered to stop
	Attempt   uint64 // the number of the attempt on the machine, 0: unknown
}

// Env holds the dependencies of a Manager. All functions are called on the event loop.
type Env struct {
	Policies *Policies
	Jobs     *jobs.Table
	// Now returns the time of the leader's steady clock, for callbacks that run after the call that started them.
	Now func() time.Duration
	// Wall returns the time of day at a time of the steady clock.
	Wall func(now time.Duration) time.Time
	// Commit sends one transaction, with the condition on the leader's key added. The callback runs on the event loop.
	Commit func(store.Txn, func(store.Result))
	// Read reads one key again after a write with an indeterminate outcome.
	Read func(key string, done func(store.Item, error))
	// OnJobRecord is called with each job record that the manager has written.
	OnJobRecord func(now time.Duration, item store.Item)
	// OnUnreadable is called with each session record that can't be decoded; it may be nil.
	OnUnreadable func(key string, raw json.RawMessage, cause error)
	// TaskOf returns the state of a session's task.
	TaskOf func(*jobs.Job) Task
	// Suspend stops a job's task and prevents its placement, or, if suspended is false, allows it to run again.
	Suspend func(now time.Duration, job *jobs.Job, suspended bool)
	// WaitingJobsFor returns, for each of some sessions' jobs, the id of a job that waits for resources that it holds, or
	// "". It returns ids for no more holders than have to be reclaimed to serve the waiting jobs.
	WaitingJobsFor func(now time.Duration, holders []*jobs.Job) []string
}

// Manager manages all sessions for one term.
type Manager struct {
	Env
	term           uint64
	idCounter      uint64 // the counter in the newest id of an order or attachment
	byID           map[string]*session
	queue          queue
	sessionsByUser map[string]int // reclaimed sessions included
	sessionsByTeam map[string]int // without reclaimed sessions

	// Sessions whose first write is in flight also count against the limits.
	pendingOpensByUser map[string]int
	pendingOpensByTeam map[string]int

	contentionCheckedAt  time.Duration
	contentionCandidates []*session // reused by each tick
	rereads              []reread   // the earliest first
}

// Timing.
const (
	heartbeatInterval       = 5 * time.Second // time between heartbeats of an agent
	urgentHeartbeatInterval = time.Second     // the same while the session is warned or checkpointing
	minHeartbeatInterval    = 200 * time.Millisecond
	checkInterval           = 30 * time.Second // longest time between two checks of a session
	contentionCheckInterval = time.Second
	minKeepAliveInterval    = time.Second      // time between accepted keep-alives of a session
	agentCheckpointInterval = 10 * time.Second // time between writes of agent-made checkpoints, except the last
	maxCheckpointBackoff    = time.Hour
	maxBackoffDoublings     = 10
	rereadDelay             = 300 * time.Millisecond
	writeRetryDelay         = time.Second
)

// idCounterBits is the width of the counter in the low bits of an id of an order or attachment. The term is in the
// high bits, so that the ids increase from term to term.
const idCounterBits = 20

// New returns the manager for a term, without any sessions.
func New(env Env, term uint64) *Manager {
	return &Manager{
		Env:                env,
		term:               term,
		byID:               map[string]*session{},
		sessionsByUser:     map[string]int{},
		sessionsByTeam:     map[string]int{},
		pendingOpensByUser: map[string]int{},
		pendingOpensByTeam: map[string]int{},
	}
}

// Load restores the sessions from the stored records and suspends the jobs of reclaimed sessions. The caller must call
// it before any task is planned. Activity isn't stored: the agents report it again, and warnings start again.
func (m *Manager) Load(now time.Duration, items []store.Item) {
	for _, item := range items {
		id := strings.TrimPrefix(item.Key, Prefix)
		record, err := decodeRecord(item)
		if err != nil {
			m.quarantine(id, item, err)
			continue
		}
		s := m.add(now, id, record, item.Version)
		if record.Reclaimed {
			s.state = Reclaimed
			m.sessionsByTeam[record.Team]--
			if job := m.Jobs.Get(id); job != nil {
				m.Suspend(now, job, true)
			}
		}
	}
	slog.Info("sessions loaded", "term", m.term, "sessions", len(m.byID))
}

// quarantine handles a record that can't be decoded. As it is unknown whether the session was reclaimed, a running task
// is left running, and no task is started.
func (m *Manager) quarantine(id string, item store.Item, cause error) {
	if job := m.Jobs.Get(id); job != nil {
		job.Quarantined = true
	}
	if m.OnUnreadable != nil {
		m.OnUnreadable(item.Key, item.Value, cause)
	}
}

// Exists reports whether there is a session with an id.
func (m *Manager) Exists(id string) bool { return m.byID[id] != nil }

// add adds a session in the state Opening.
func (m *Manager) add(now time.Duration, id string, record Record, version uint64) *session {
	s := &session{
		id:         id,
		record:     record,
		version:    version,
		state:      Opening,
		stateSince: now,
		agent:      agentStatus{lastInputAt: now, lastHeartbeatAt: now},
		queueIndex: -1,
	}
	m.byID[id] = s
	m.sessionsByUser[record.User]++
	m.sessionsByTeam[record.Team]++
	m.queue.schedule(s, now+checkInterval)
	return s
}

// remove removes a session whose end is durable.
func (m *Manager) remove(now time.Duration, s *session) {
	if m.byID[s.id] != s {
		return
	}
	m.sessionsByUser[s.record.User]--
	if s.state != Reclaimed {
		m.sessionsByTeam[s.record.Team]--
	}
	s.setState(now, Closed, "session ended")
	m.queue.remove(s)
	delete(m.byID, s.id)
}

// Tick advances the sessions that are due. The controller calls it several times a second.
func (m *Manager) Tick(now time.Duration) {
	for len(m.rereads) > 0 && m.rereads[0].at <= now {
		write := m.rereads[0].write
		m.rereads = m.rereads[1:]
		m.resolveWrite(write)
	}
	for len(m.queue) > 0 && m.queue[0].dueAt <= now {
		s := m.queue[0]
		m.queue.schedule(s, now+checkInterval)
		m.advance(now, s)
	}
	m.warnContended(now)
}

// nextID returns a new id for an order or an attachment, larger than all earlier ids of any term.
func (m *Manager) nextID() uint64 {
	m.idCounter++
	return m.term<<idCounterBits | m.idCounter
}
