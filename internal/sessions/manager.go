package sessions

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// Task is what the fleet knows of a session's task.
type Task struct {
	On      bool   // it counts as being on a machine
	Ending  bool   // it was told to stop
	Attempt uint64 // 0: not known
}

// Env is what a Manager needs of its surroundings.
type Env struct {
	Policies *Policies
	Jobs     *jobs.Table
	// Wall is the time of day at a steady time.
	Wall func(now time.Duration) time.Time
	// Commit sends one transaction of the leader, guarded by its leader key.
	Commit func(store.Txn, func(store.Result))
	// Read re-reads one key after an open write.
	Read func(key string, done func(store.Item, error))
	// OnJobRecord hands on a job's record that was written here.
	OnJobRecord func(now time.Duration, item store.Item)
	// Task finds a session's task.
	Task func(*jobs.Job) Task
	// Suspend has a job's task stopped and kept off machines, or lets it run again.
	Suspend func(now time.Duration, job *jobs.Job, on bool)
	// WaitingFor tells who waits for what each of some sessions holds, "" for nobody; no more are
	// named than it takes to serve those who wait.
	WaitingFor func(now time.Duration, of []*jobs.Job) []string
	// OnUnreadable is told of a record that can't be read; nil for nobody.
	OnUnreadable func(key string, raw json.RawMessage, cause error)
	// Now is the steady clock, for answers that come later than the call that asked.
	Now func() time.Duration
}

// Manager keeps all sessions for one term.
type Manager struct {
	Env
	term                 uint64
	byID                 map[string]*session
	queue                queue
	sessionsByUser       map[string]int // sessions by user, reclaimed ones included
	sessionsByTeam       map[string]int // sessions by team that are not reclaimed
	pendingOpens         map[string]int // users' and teams' submissions under way, by "u/" or "t/" and name
	lastOrder            uint64
	contentionCheckedAt  time.Duration // when Wanted was asked last
	contentionCandidates []*session    // scratch
	rereads              []reread
}

// reread is a record that is to be read again.
type reread struct {
	at  time.Duration
	run func()
}

// Timing.
const (
	heartbeatInterval       = 5 * time.Second // agents report, as long as nothing presses
	urgentHeartbeatInterval = time.Second     // and while they are warned or save
	checkInterval           = 30 * time.Second
	contentionCheckInterval = time.Second
	minKeepAliveInterval    = time.Second      // a session's keep-alives are taken
	agentCheckpointInterval = 10 * time.Second // a session's own saves are written, but for its last
	maxCheckpointBackoff    = time.Hour
	rereadDelay             = 300 * time.Millisecond
	orderBits               = 20 // for orders and attachments within a term
)

// New starts a manager for a term.
func New(env Env, term uint64) *Manager {
	return &Manager{Env: env, term: term, byID: map[string]*session{}, sessionsByUser: map[string]int{}, sessionsByTeam: map[string]int{}, pendingOpens: map[string]int{}}
}

// Load takes over the records of earlier terms. Jobs of reclaimed sessions are parked before
// anything is planned; what else was known of activity the agents say again, and warnings begin
// anew.
func (m *Manager) Load(now time.Duration, items []store.Item) {
	for _, item := range items {
		var r Record
		err := json.Unmarshal(item.Value, &r)
		if err == nil && r.Format > 1 {
			err = fmt.Errorf("session in format %d", r.Format)
		}
		if err != nil {
			// Whether it was reclaimed isn't known: what runs of it goes on, nothing more is started.
			if job := m.Jobs.Get(strings.TrimPrefix(item.Key, Prefix)); job != nil {
				job.Quarantined = true
			}
			if m.OnUnreadable != nil {
				m.OnUnreadable(item.Key, item.Value, err)
			}
			continue
		}
		s := m.add(now, strings.TrimPrefix(item.Key, Prefix), r, item.Version)
		if r.Reclaimed {
			s.state = Reclaimed
			m.sessionsByTeam[r.Team]--
			if job := m.Jobs.Get(s.id); job != nil {
				m.Suspend(now, job, true)
			}
		}
	}
	slog.Info("sessions loaded", "term", m.term, "sessions", len(m.byID))
}

// Exists tells whether a session of that id is recorded.
func (m *Manager) Exists(id string) bool { return m.byID[id] != nil }

// add makes a session that opens.
func (m *Manager) add(now time.Duration, id string, r Record, version uint64) *session {
	s := &session{id: id, record: r, version: version, state: Opening, stateSince: now, lastInputAt: now, lastHeardAt: now, queueIndex: -1}
	m.byID[id] = s
	m.sessionsByUser[r.User]++
	m.sessionsByTeam[r.Team]++
	m.queue.schedule(s, now+checkInterval)
	return s
}

// Tick looks at the sessions that are due.
func (m *Manager) Tick(now time.Duration) {
	for len(m.rereads) > 0 && m.rereads[0].at <= now {
		f := m.rereads[0].run
		m.rereads = m.rereads[1:]
		f()
	}
	for len(m.queue) > 0 && m.queue[0].dueAt <= now {
		s := m.queue[0]
		m.queue.schedule(s, now+checkInterval)
		m.advance(now, s)
	}
	m.warnContended(now)
}

// advance moves a session on, as far as time alone does.
func (m *Manager) advance(now time.Duration, s *session) {
	job := m.Jobs.Get(s.id)
	if job == nil || s.writePending {
		return
	}
	if job.State.Terminal() {
		m.deleteRecord(now, s)
		return
	}
	silent := now-s.lastHeardAt > m.Policies.UnheardTimeout
	switch s.state {
	case Active, Idle, Warned, Checkpointing:
		if t := m.Task(job); s.attempt != 0 && (!t.On || (t.Attempt != 0 && t.Attempt != s.attempt)) {
			// Proof of the fleet's kind, not silence, says that it is gone.
			s.attempt = 0
			s.setState(now, Lost, "its task is gone")
			return
		}
	case Reclaimed:
		if m.Policies.Retention > 0 && m.Wall(now).UnixMilli()-s.record.ReclaimedAtMS > m.Policies.Retention.Milliseconds() {
			m.cancelJob(now, s, nil)
		}
		return
	}
	switch s.state {
	case Active:
		if !silent && m.isIdle(now, s) {
			s.setState(now, Idle, "idle by the policy")
			m.advance(now, s)
		}
	case Idle:
		m.advanceIdle(now, s, silent)
	case Warned:
		switch at := s.stateSince + m.Policies.WarningTime; {
		case silent:
			s.setState(now, Idle, "its agent is silent")
		case !m.isIdle(now, s):
			s.setState(now, Active, "not idle any more")
		case now >= at && s.contended && m.WaitingFor(now, []*jobs.Job{job})[0] == "":
			s.setState(now, Idle, "nobody waits any more")
		case now >= at:
			m.lastOrder++
			s.setState(now, Checkpointing, s.reclaimCause)
			s.checkpointOrder = m.term<<orderBits | m.lastOrder
			m.queue.schedule(s, now+m.Policies.CheckpointTimeout)
		default:
			m.queue.schedule(s, at)
		}
	case Checkpointing:
		if at := s.stateSince + m.Policies.CheckpointTimeout; now >= at {
			m.checkpointFailed(now, s, "the save took too long")
		} else {
			m.queue.schedule(s, at)
		}
	}
}

// isIdle asks the policy, as of now.
func (m *Manager) isIdle(now time.Duration, s *session) bool {
	wall := m.Wall(now)
	return m.Policies.ForTeam(s.record.Team).At(wall).Rule.Idle(s.activity(now, wall))
}

// advanceIdle warns a session whose idle limit is over. Those that somebody may wait for are gathered
// for press.
func (m *Manager) advanceIdle(now time.Duration, s *session, silent bool) {
	wall := m.Wall(now)
	p := m.Policies.ForTeam(s.record.Team)
	limits := p.At(wall)
	if !limits.Rule.Idle(s.activity(now, wall)) {
		s.setState(now, Active, "not idle any more")
		return
	}
	if silent {
		return
	}
	next := now + checkInterval
	if change, ok := p.NextChange(wall); ok {
		next = min(next, now+max(time.Second, change.Sub(wall)))
	}
	if now < s.noWarningBefore {
		m.queue.schedule(s, min(next, s.noWarningBefore))
		return
	}
	if limits.IdleLimit > 0 {
		if now-s.stateSince >= limits.IdleLimit {
			m.warn(now, s, "idle for longer than its limit", false)
			return
		}
		next = min(next, s.stateSince+limits.IdleLimit)
	}
	if limits.ContendedLimit >= 0 {
		if now-s.stateSince >= limits.ContendedLimit {
			m.contentionCandidates = append(m.contentionCandidates, s)
			next = min(next, now+contentionCheckInterval)
		} else {
			next = min(next, s.stateSince+limits.ContendedLimit)
		}
	}
	m.queue.schedule(s, next)
}

// warnContended warns the quiet sessions for whose holdings somebody waits, longest idle first.
func (m *Manager) warnContended(now time.Duration) {
	if len(m.contentionCandidates) == 0 || now-m.contentionCheckedAt < contentionCheckInterval {
		m.contentionCandidates = m.contentionCandidates[:0]
		return
	}
	m.contentionCheckedAt = now
	slices.SortStableFunc(m.contentionCandidates, func(a, b *session) int { return int(a.stateSince - b.stateSince) })
	var of []*jobs.Job
	var ss []*session
	for _, s := range m.contentionCandidates {
		if job := m.Jobs.Get(s.id); job != nil && s.state == Idle {
			of, ss = append(of, job), append(ss, s)
		}
	}
	m.contentionCandidates = m.contentionCandidates[:0]
	if len(of) == 0 {
		return
	}
	for i, who := range m.WaitingFor(now, of) {
		if who != "" {
			m.warn(now, ss[i], who+" waits for what it holds", true)
		}
	}
}

func (m *Manager) warn(now time.Duration, s *session, why string, wanted bool) {
	s.setState(now, Warned, why)
	s.reclaimCause, s.contended = why, wanted
	m.queue.schedule(s, now+m.Policies.WarningTime)
}

// checkpointFailed gives a reclaim up after its save failed, and waits longer each time before another.
func (m *Manager) checkpointFailed(now time.Duration, s *session, why string) {
	s.failedCheckpoints++
	back := min(maxCheckpointBackoff, max(m.Policies.WarningTime, time.Second)<<min(s.failedCheckpoints, 10))
	s.noWarningBefore = now + back
	slog.Warn("save failed", "session", s.id, "cause", why, "failures", s.failedCheckpoints, "again_in_s", int(back.Seconds()))
	s.setState(now, Idle, "save failed: "+why)
}

// Heartbeat takes over what a session's agent says and answers it. ok is false where there is no
// such session, the token is not its agent's, or the report is old.
func (m *Manager) Heartbeat(now time.Duration, id, token string, r Heartbeat) (o HeartbeatResponse, ok bool, why string) {
	s := m.byID[id]
	if s == nil || !tokenMatches(token, s.record.AgentTokenDigest) {
		return o, false, unauthorizedMessage
	}
	job := m.Jobs.Get(id)
	if job == nil || job.State.Terminal() {
		return HeartbeatResponse{State: Closed.String()}, true, ""
	}
	if r.Attempt < s.attempt || (r.Attempt == s.attempt && r.Seq <= s.heartbeatSeq) {
		return o, false, "a newer report was heard"
	}
	switch t := m.Task(job); {
	case !t.On || (t.Attempt != 0 && t.Attempt != r.Attempt):
		return o, false, "this attempt is not the one that runs"
	case t.Ending:
		// It must not be thawed for a user who comes back meanwhile, but what it saves at its end
		// counts.
		s.attempt, s.heartbeatSeq = r.Attempt, r.Seq
		m.storeAgentCheckpoint(now, s, r, true)
		return HeartbeatResponse{State: "ending", CheckpointRef: s.checkpointRef(), NextHeartbeatS: 0.2}, true, ""
	}
	if s.writePending && r.Attempt != s.attempt {
		// Its machine died while a write is open, perhaps the one that reclaims it: until that is
		// known the new process stays as it began, frozen.
		return HeartbeatResponse{State: s.state.String(), NextHeartbeatS: urgentHeartbeatInterval.Seconds()}, true, ""
	}
	if r.Attempt != s.attempt && (s.state == Active || s.state == Idle || s.state == Warned || s.state == Checkpointing) {
		if s.attempt != 0 {
			s.setState(now, Lost, "another attempt of it runs")
		}
	}
	s.attempt, s.heartbeatSeq, s.lastHeardAt = r.Attempt, r.Seq, now
	s.lastInputAt = max(now-seconds(r.SinceInputS), s.userReturnedAt) // a return counts as input
	s.cpu, s.gpu, s.unsavedMB = r.CPU, r.GPU, r.UnsavedMB
	if s.cellRunningSince = 0; r.CellRunning {
		s.cellRunningSince = max(1, now-seconds(r.CellRunningS))
	}
	if s.state == Opening || s.state == Lost {
		s.setState(now, Active, "its agent was heard")
	}
	return m.respond(now, s, job, r), true, ""
}

// respond moves a session on by its agent's report.
func (m *Manager) respond(now time.Duration, s *session, job *jobs.Job, r Heartbeat) HeartbeatResponse {
	o := HeartbeatResponse{NextHeartbeatS: heartbeatInterval.Seconds()}
	if r.Fresh && r.ResumedFrom != s.checkpointRef() {
		o.ResumeFrom = s.checkpointRef()
	}
	m.storeAgentCheckpoint(now, s, r, false)
	o.CheckpointRef = s.checkpointRef()
	if !s.writePending {
		switch {
		case s.state == Checkpointing && r.Checkpoint != nil && r.Checkpoint.Order == s.checkpointOrder:
			m.finishCheckpoint(now, s, job, r)
		case s.state == Checkpointing && r.CellRunning:
			s.setState(now, Active, "a cell runs")
		default:
			m.advance(now, s)
		}
	}
	o.State = s.state.String()
	switch s.state {
	case Warned:
		left := max(0, (s.stateSince + m.Policies.WarningTime - now).Seconds())
		o.ReclaimInS, o.Cause, o.NextHeartbeatS = &left, s.reclaimCause, min(urgentHeartbeatInterval.Seconds(), max(0.2, left))
	case Checkpointing:
		o.Cause, o.NextHeartbeatS = s.reclaimCause, urgentHeartbeatInterval.Seconds()
		if !s.writePending {
			o.CheckpointOrder = s.checkpointOrder
		}
	}
	// While the outcome of a reclaim is open it stays frozen: it is either parked, or thawed by
	// the next answer.
	o.Thaw = r.Frozen && o.ResumeFrom == "" && !s.writePending && s.state != Checkpointing && s.state != Reclaimed
	return o
}

// storeAgentCheckpoint takes over a save of the agent's own: what is kept of it when its machine dies. They are
// written at most every ten seconds, the last one at once.
func (m *Manager) storeAgentCheckpoint(now time.Duration, s *session, r Heartbeat, last bool) {
	if r.Checkpoint == nil || r.Checkpoint.Order != 0 || !r.Checkpoint.OK || r.Checkpoint.Ref == "" || r.Checkpoint.Ref == s.checkpointRef() || s.writePending || r.Fresh ||
		s.state == Reclaimed || (!last && s.agentCheckpointAt > 0 && now-s.agentCheckpointAt < agentCheckpointInterval) {
		return
	}
	s.agentCheckpointAt = now
	rec := s.record
	rec.Checkpoint = &Checkpoint{Ref: r.Checkpoint.Ref, MB: r.Checkpoint.MB, AtMS: m.Wall(now).UnixMilli()}
	m.write(s, rec, func(time.Duration, bool) {})
}

// finishCheckpoint takes over the outcome of an ordered save. The session is reclaimed only if all its work
// is saved and it is frozen, and once that is durable.
func (m *Manager) finishCheckpoint(now time.Duration, s *session, job *jobs.Job, r Heartbeat) {
	switch {
	case !r.Checkpoint.OK:
		m.checkpointFailed(now, s, r.Checkpoint.Cause)
		return
	case r.CellRunning || !r.Frozen || r.UnsavedMB > 0 || s.lastInputAt > s.stateSince:
		s.setState(now, Active, "it was used while it saved")
		return
	}
	rec := s.record
	rec.Reclaimed, rec.ReclaimedAtMS = true, m.Wall(now).UnixMilli()
	rec.Checkpoint = &Checkpoint{Ref: r.Checkpoint.Ref, MB: r.Checkpoint.MB, AtMS: rec.ReclaimedAtMS}
	why := s.reclaimCause
	m.write(s, rec, func(at time.Duration, ok bool) {
		switch {
		case !ok:
			if s.state == Checkpointing {
				m.checkpointFailed(at, s, "its record was not written")
			}
		default:
			// Whatever came meanwhile: what is durable counts, and a returning user resumes.
			s.failedCheckpoints = 0
			if s.state == Checkpointing {
				s.setState(at, Reclaimed, why)
				m.sessionsByTeam[s.record.Team]--
				s.attempt, s.heartbeatSeq, s.cellRunningSince = 0, 0, 0
				m.Suspend(at, job, true)
			}
		}
	})
}

// write makes a session's record durable. While it is under way nothing else about the session
// is decided; an open outcome is settled by reading the record again.
func (m *Manager) write(s *session, rec Record, done func(now time.Duration, ok bool)) {
	raw, _ := json.Marshal(rec)
	s.writePending = true
	finish := func(ok bool, version uint64) {
		s.writePending = false
		if ok {
			s.record, s.version = rec, version
		}
		done(m.Now(), ok)
		s.runDeferred()
		if m.byID[s.id] == s {
			m.queue.schedule(s, m.Now())
		}
	}
	was := s.version
	m.Commit(store.Txn{If: []store.Condition{{Key: Key(s.id), Version: was}}, Then: []store.Op{{Put: Key(s.id), Value: raw}}}, func(result store.Result) {
		switch result.Outcome {
		case store.Committed:
			finish(true, result.Revision)
		case store.NotApplied, store.LeaseExpired:
			finish(false, 0)
		default:
			m.resolveWrite(s, raw, was, finish)
		}
	})
}

// resolveWrite finds out what became of an open write. A read that shows it was not carried out proves
// nothing yet: it may land afterwards, and the next leader would stop a session that is in use. So
// the record is written again as it was, which moves its version; then the open write can't land.
func (m *Manager) resolveWrite(s *session, raw json.RawMessage, was uint64, finish func(ok bool, version uint64)) {
	again := func() {
		m.rereads = append(m.rereads, reread{m.Now() + rereadDelay, func() { m.resolveWrite(s, raw, was, finish) }})
	}
	m.Read(Key(s.id), func(item store.Item, err error) {
		switch {
		case err != nil:
			again()
		case item.Version != was && string(item.Value) == string(raw):
			finish(true, item.Version)
		case item.Version != was:
			s.version = item.Version
			finish(false, 0)
		default:
			old, _ := json.Marshal(s.record)
			m.Commit(store.Txn{If: []store.Condition{{Key: Key(s.id), Version: was}}, Then: []store.Op{{Put: Key(s.id), Value: old}}}, func(result store.Result) {
				if result.Outcome != store.Committed {
					again()
					return
				}
				s.version = result.Revision
				finish(false, 0)
			})
		}
	})
}

// runAfterWrite runs f now, or once the write under way is settled.
func (s *session) runAfterWrite(f func()) {
	if s.writePending {
		s.afterWrite = append(s.afterWrite, f)
		return
	}
	f()
}

// runDeferred does what has waited for a write.
func (s *session) runDeferred() {
	waiting := s.afterWrite
	s.afterWrite = nil
	for _, f := range waiting {
		f()
	}
}

// deleteRecord drops a session whose job has ended; its record goes with it.
func (m *Manager) deleteRecord(now time.Duration, s *session) {
	s.writePending = true
	m.Commit(store.Txn{Then: []store.Op{{Delete: Key(s.id)}}}, func(result store.Result) {
		s.writePending = false
		if result.Outcome == store.Committed {
			m.remove(m.Now(), s)
		} else {
			m.queue.schedule(s, m.Now()+time.Second)
		}
	})
}

func (m *Manager) remove(now time.Duration, s *session) {
	if m.byID[s.id] != s {
		return
	}
	m.sessionsByUser[s.record.User]--
	if s.state != Reclaimed {
		m.sessionsByTeam[s.record.Team]--
	}
	s.setState(now, Closed, "over")
	m.queue.remove(s)
	delete(m.byID, s.id)
}
