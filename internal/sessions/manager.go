// Package sessions manages interactive sessions: jobs of one task that a user opens, attaches to and leaves, and that
// are reclaimed when idle, after a warning and with a checkpoint of the work.
//
// It owns the sessions' activity and records, and decides when a session is warned, checkpointed and reclaimed. It
// never places or stops a task: it asks the fleet to suspend a job once its work is durable and its agent has frozen
// it, and to resume it. A session whose agent is unheard is never reclaimed.
//
// A Manager lives for one term of one leader, on the leader's event loop, and does no I/O. The controller calls it.
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
	OnMachine bool   // it counts as being on a machine
	Stopping  bool   // it was ordered to stop
	Attempt   uint64 // 0: unknown
}

// Env is what a Manager needs of its surroundings. All functions are called on the event loop.
type Env struct {
	Policies *Policies
	Jobs     *jobs.Table
	// Now returns the steady time, for callbacks that run later than the call that caused them.
	Now func() time.Duration
	// Wall returns the time of day at a steady time.
	Wall func(now time.Duration) time.Time
	// Commit sends one transaction, guarded by the leader's key. The callback runs on the event loop.
	Commit func(store.Txn, func(store.Result))
	// Read reads one key again after a write with an indeterminate outcome.
	Read func(key string, done func(store.Item, error))
	// OnJobRecord is called with each record of a job that the manager has written.
	OnJobRecord func(now time.Duration, item store.Item)
	// OnUnreadable is called with each record that can't be read; it may be nil.
	OnUnreadable func(key string, raw json.RawMessage, cause error)
	// TaskOf returns the state of a session's task.
	TaskOf func(*jobs.Job) Task
	// Suspend stops a job's task and keeps it from being placed, or lets it run again.
	Suspend func(now time.Duration, job *jobs.Job, suspended bool)
	// WaitingFor returns which job waits for what each of some sessions' jobs holds, "" for none. It names no more
	// than are needed to serve the jobs that wait.
	WaitingFor func(now time.Duration, holders []*jobs.Job) []string
}

// Manager manages all sessions for one term.
type Manager struct {
	Env
	term           uint64
	lastOrder      uint64 // the counter in the ids of orders and attachments
	byID           map[string]*session
	queue          queue
	sessionsByUser map[string]int // reclaimed ones included
	sessionsByTeam map[string]int // without reclaimed ones

	// Opens whose write is in flight count against the limits too.
	pendingOpensByUser map[string]int
	pendingOpensByTeam map[string]int

	contentionCheckedAt  time.Duration
	contentionCandidates []*session // reused by each tick
	rereads              []reread   // by time
}

// Timing.
const (
	heartbeatInterval       = 5 * time.Second // of agents
	urgentHeartbeatInterval = time.Second     // of agents of sessions that are warned or checkpointing
	minHeartbeatInterval    = 200 * time.Millisecond
	checkInterval           = 30 * time.Second // of sessions for which nothing is due earlier
	contentionCheckInterval = time.Second
	minKeepAliveInterval    = time.Second      // of a session's accepted keep-alives
	agentCheckpointInterval = 10 * time.Second // of writes of checkpoints that an agent makes by itself, but the last
	maxCheckpointBackoff    = time.Hour
	maxBackoffDoublings     = 10
	rereadDelay             = 300 * time.Millisecond
	writeRetryDelay         = time.Second
)

// orderBits is the width of the counter in ids of orders and attachments; the term is above it, so that ids increase
// over terms.
const orderBits = 20

// New returns the manager of a term.
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

// Load takes over the records of earlier terms. The jobs of reclaimed sessions are suspended before anything is
// planned. Other activity is reported again by the agents, and warnings begin anew.
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

// quarantine handles a record that can't be read. Whether the session was reclaimed is unknown: its running task goes
// on, and no task is started.
func (m *Manager) quarantine(id string, item store.Item, cause error) {
	if job := m.Jobs.Get(id); job != nil {
		job.Quarantined = true
	}
	if m.OnUnreadable != nil {
		m.OnUnreadable(item.Key, item.Value, cause)
	}
}

// Exists reports whether a session of that id is recorded.
func (m *Manager) Exists(id string) bool { return m.byID[id] != nil }

// add adds a session in the state Opening.
func (m *Manager) add(now time.Duration, id string, record Record, version uint64) *session {
	s := &session{
		id:         id,
		record:     record,
		version:    version,
		state:      Opening,
		stateSince: now,
		agent:      agentStatus{lastInputAt: now, lastHeardAt: now},
		queueIndex: -1,
	}
	m.byID[id] = s
	m.sessionsByUser[record.User]++
	m.sessionsByTeam[record.Team]++
	m.queue.schedule(s, now+checkInterval)
	return s
}

// remove removes a session that has ended, once that is durable.
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

// nextOrderID returns a new id for an order or an attachment, larger than all earlier ones of any term.
func (m *Manager) nextOrderID() uint64 {
	m.lastOrder++
	return m.term<<orderBits | m.lastOrder
}
