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
	// Learned hands on a job's record that was written here.
	Learned func(now time.Duration, item store.Item)
	// Task finds a session's task.
	Task func(*jobs.Job) Task
	// Park has a job's task stopped and kept off machines, or lets it run again.
	Park func(now time.Duration, job *jobs.Job, on bool)
	// Wanted tells who waits for what each of some sessions holds, "" for nobody; no more are
	// named than it takes to serve those who wait.
	Wanted func(now time.Duration, of []*jobs.Job) []string
	// Unreadable is told of a record that can't be read; nil for nobody.
	Unreadable func(key string, raw json.RawMessage, cause error)
	// Now is the steady clock, for answers that come later than the call that asked.
	Now func() time.Duration
}

// Manager keeps all sessions for one term.
type Manager struct {
	Env
	term   uint64
	byID   map[string]*session
	queue  queue
	users  map[string]int // sessions by user, reclaimed ones included
	teams  map[string]int // sessions by team that are not reclaimed
	opens  map[string]int // users' and teams' submissions under way, by "u/" or "t/" and name
	orders uint64
	wanted time.Duration // when Wanted was asked last
	asking []*session    // scratch
	later  []reread
}

// reread is a record that is to be read again.
type reread struct {
	at time.Duration
	f  func()
}

// Timing.
const (
	reportEvery = 5 * time.Second // agents report, as long as nothing presses
	pressing    = time.Second     // and while they are warned or save
	lookEvery   = 30 * time.Second
	wantEvery   = time.Second
	keepEvery   = time.Second      // a session's keep-alives are taken
	ownEvery    = 10 * time.Second // a session's own saves are written, but for its last
	mostBackoff = time.Hour
	rereadAfter = 300 * time.Millisecond
	numberBits  = 20 // for orders and attachments within a term
)

// New starts a manager for a term.
func New(env Env, term uint64) *Manager {
	return &Manager{Env: env, term: term, byID: map[string]*session{}, users: map[string]int{}, teams: map[string]int{}, opens: map[string]int{}}
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
			if m.Unreadable != nil {
				m.Unreadable(item.Key, item.Value, err)
			}
			continue
		}
		s := m.add(now, strings.TrimPrefix(item.Key, Prefix), r, item.Version)
		if r.Reclaimed {
			s.state = Reclaimed
			m.teams[r.Team]--
			if job := m.Jobs.Get(s.id); job != nil {
				m.Park(now, job, true)
			}
		}
	}
	slog.Info("sessions loaded", "term", m.term, "sessions", len(m.byID))
}

// Stands tells whether a session of that id is recorded.
func (m *Manager) Stands(id string) bool { return m.byID[id] != nil }

// add makes a session that opens.
func (m *Manager) add(now time.Duration, id string, r Record, version uint64) *session {
	s := &session{id: id, rec: r, version: version, state: Opening, since: now, input: now, heard: now, place: -1}
	m.byID[id] = s
	m.users[r.User]++
	m.teams[r.Team]++
	m.queue.at(s, now+lookEvery)
	return s
}

// Tick looks at the sessions that are due.
func (m *Manager) Tick(now time.Duration) {
	for len(m.later) > 0 && m.later[0].at <= now {
		f := m.later[0].f
		m.later = m.later[1:]
		f()
	}
	for len(m.queue) > 0 && m.queue[0].due <= now {
		s := m.queue[0]
		m.queue.at(s, now+lookEvery)
		m.look(now, s)
	}
	m.press(now)
}

// look moves a session on, as far as time alone does.
func (m *Manager) look(now time.Duration, s *session) {
	job := m.Jobs.Get(s.id)
	if job == nil || s.writing {
		return
	}
	if job.State.Terminal() {
		m.forget(now, s)
		return
	}
	silent := now-s.heard > m.Policies.Silent
	switch s.state {
	case Active, Quiet, Warned, Saving:
		if t := m.Task(job); s.attempt != 0 && (!t.On || (t.Attempt != 0 && t.Attempt != s.attempt)) {
			// Proof of the fleet's kind, not silence, says that it is gone.
			s.attempt = 0
			s.to(now, Lost, "its task is gone")
			return
		}
	case Reclaimed:
		if m.Policies.Keep > 0 && m.Wall(now).UnixMilli()-s.rec.AtMS > m.Policies.Keep.Milliseconds() {
			m.end(now, s, nil)
		}
		return
	}
	switch s.state {
	case Active:
		if !silent && m.idle(now, s) {
			s.to(now, Quiet, "idle by the policy")
			m.look(now, s)
		}
	case Quiet:
		m.quiet(now, s, silent)
	case Warned:
		switch at := s.since + m.Policies.Warn; {
		case silent:
			s.to(now, Quiet, "its agent is silent")
		case !m.idle(now, s):
			s.to(now, Active, "not idle any more")
		case now >= at && s.wanted && m.Wanted(now, []*jobs.Job{job})[0] == "":
			s.to(now, Quiet, "nobody waits any more")
		case now >= at:
			m.orders++
			s.to(now, Saving, s.reason)
			s.order = m.term<<numberBits | m.orders
			m.queue.at(s, now+m.Policies.Save)
		default:
			m.queue.at(s, at)
		}
	case Saving:
		if at := s.since + m.Policies.Save; now >= at {
			m.failed(now, s, "the save took too long")
		} else {
			m.queue.at(s, at)
		}
	}
}

// idle asks the policy, as of now.
func (m *Manager) idle(now time.Duration, s *session) bool {
	wall := m.Wall(now)
	return m.Policies.Of(s.rec.Team).At(wall).Rule.Idle(s.activity(now, wall))
}

// quiet warns a session whose idle limit is over. Those that somebody may wait for are gathered
// for press.
func (m *Manager) quiet(now time.Duration, s *session, silent bool) {
	wall := m.Wall(now)
	p := m.Policies.Of(s.rec.Team)
	limits := p.At(wall)
	if !limits.Rule.Idle(s.activity(now, wall)) {
		s.to(now, Active, "not idle any more")
		return
	}
	if silent {
		return
	}
	next := now + lookEvery
	if change, ok := p.Changes(wall); ok {
		next = min(next, now+max(time.Second, change.Sub(wall)))
	}
	if now < s.notNow {
		m.queue.at(s, min(next, s.notNow))
		return
	}
	if limits.Limit > 0 {
		if now-s.since >= limits.Limit {
			m.warn(now, s, "idle for longer than its limit", false)
			return
		}
		next = min(next, s.since+limits.Limit)
	}
	if limits.Wanted >= 0 {
		if now-s.since >= limits.Wanted {
			m.asking = append(m.asking, s)
			next = min(next, now+wantEvery)
		} else {
			next = min(next, s.since+limits.Wanted)
		}
	}
	m.queue.at(s, next)
}

// press warns the quiet sessions for whose holdings somebody waits, longest idle first.
func (m *Manager) press(now time.Duration) {
	if len(m.asking) == 0 || now-m.wanted < wantEvery {
		m.asking = m.asking[:0]
		return
	}
	m.wanted = now
	slices.SortStableFunc(m.asking, func(a, b *session) int { return int(a.since - b.since) })
	var of []*jobs.Job
	var ss []*session
	for _, s := range m.asking {
		if job := m.Jobs.Get(s.id); job != nil && s.state == Quiet {
			of, ss = append(of, job), append(ss, s)
		}
	}
	m.asking = m.asking[:0]
	if len(of) == 0 {
		return
	}
	for i, who := range m.Wanted(now, of) {
		if who != "" {
			m.warn(now, ss[i], who+" waits for what it holds", true)
		}
	}
}

func (m *Manager) warn(now time.Duration, s *session, why string, wanted bool) {
	s.to(now, Warned, why)
	s.reason, s.wanted = why, wanted
	m.queue.at(s, now+m.Policies.Warn)
}

// failed gives a reclaim up after its save failed, and waits longer each time before another.
func (m *Manager) failed(now time.Duration, s *session, why string) {
	s.failures++
	back := min(mostBackoff, max(m.Policies.Warn, time.Second)<<min(s.failures, 10))
	s.notNow = now + back
	slog.Warn("save failed", "session", s.id, "cause", why, "failures", s.failures, "again_in_s", int(back.Seconds()))
	s.to(now, Quiet, "save failed: "+why)
}

// Report takes over what a session's agent says and answers it. ok is false where there is no
// such session, the token is not its agent's, or the report is old.
func (m *Manager) Report(now time.Duration, id, token string, r Report) (o Order, ok bool, why string) {
	s := m.byID[id]
	if s == nil || !opens(token, s.rec.Agent) {
		return o, false, notYours
	}
	job := m.Jobs.Get(id)
	if job == nil || job.State.Terminal() {
		return Order{State: Closed.String()}, true, ""
	}
	if r.Attempt < s.attempt || (r.Attempt == s.attempt && r.Seq <= s.seq) {
		return o, false, "a newer report was heard"
	}
	switch t := m.Task(job); {
	case !t.On || (t.Attempt != 0 && t.Attempt != r.Attempt):
		return o, false, "this attempt is not the one that runs"
	case t.Ending:
		// It must not be thawed for a user who comes back meanwhile, but what it saves at its end
		// counts.
		s.attempt, s.seq = r.Attempt, r.Seq
		m.own(now, s, r, true)
		return Order{State: "ending", Kept: s.kept(), ReportS: 0.2}, true, ""
	}
	if s.writing && r.Attempt != s.attempt {
		// Its machine died while a write is open, perhaps the one that reclaims it: until that is
		// known the new process stays as it began, frozen.
		return Order{State: s.state.String(), ReportS: pressing.Seconds()}, true, ""
	}
	if r.Attempt != s.attempt && (s.state == Active || s.state == Quiet || s.state == Warned || s.state == Saving) {
		if s.attempt != 0 {
			s.to(now, Lost, "another attempt of it runs")
		}
	}
	s.attempt, s.seq, s.heard = r.Attempt, r.Seq, now
	s.input = max(now-seconds(r.InputS), s.returned) // a return counts as input
	s.cpu, s.gpu, s.unsaved = r.CPU, r.GPU, r.Unsaved
	if s.cellFrom = 0; r.Cell {
		s.cellFrom = max(1, now-seconds(r.CellS))
	}
	if s.state == Opening || s.state == Lost {
		s.to(now, Active, "its agent was heard")
	}
	return m.answer(now, s, job, r), true, ""
}

// answer moves a session on by its agent's report.
func (m *Manager) answer(now time.Duration, s *session, job *jobs.Job, r Report) Order {
	o := Order{ReportS: reportEvery.Seconds()}
	if r.Fresh && r.Resumed != s.kept() {
		o.Resume = s.kept()
	}
	m.own(now, s, r, false)
	o.Kept = s.kept()
	if !s.writing {
		switch {
		case s.state == Saving && r.Save != nil && r.Save.Order == s.order:
			m.saved(now, s, job, r)
		case s.state == Saving && r.Cell:
			s.to(now, Active, "a cell runs")
		default:
			m.look(now, s)
		}
	}
	o.State = s.state.String()
	switch s.state {
	case Warned:
		left := max(0, (s.since + m.Policies.Warn - now).Seconds())
		o.ReclaimS, o.Why, o.ReportS = &left, s.reason, min(pressing.Seconds(), max(0.2, left))
	case Saving:
		o.Why, o.ReportS = s.reason, pressing.Seconds()
		if !s.writing {
			o.Save = s.order
		}
	}
	// While the outcome of a reclaim is open it stays frozen: it is either parked, or thawed by
	// the next answer.
	o.Thaw = r.Frozen && o.Resume == "" && !s.writing && s.state != Saving && s.state != Reclaimed
	return o
}

// own takes over a save of the agent's own: what is kept of it when its machine dies. They are
// written at most every ten seconds, the last one at once.
func (m *Manager) own(now time.Duration, s *session, r Report, last bool) {
	if r.Save == nil || r.Save.Order != 0 || !r.Save.OK || r.Save.Ref == "" || r.Save.Ref == s.kept() || s.writing || r.Fresh ||
		s.state == Reclaimed || (!last && s.ownAt > 0 && now-s.ownAt < ownEvery) {
		return
	}
	s.ownAt = now
	rec := s.rec
	rec.Saved = &Saved{Ref: r.Save.Ref, MB: r.Save.MB, AtMS: m.Wall(now).UnixMilli()}
	m.write(s, rec, func(time.Duration, bool) {})
}

// saved takes over the outcome of an ordered save. The session is reclaimed only if all its work
// is saved and it is frozen, and once that is durable.
func (m *Manager) saved(now time.Duration, s *session, job *jobs.Job, r Report) {
	switch {
	case !r.Save.OK:
		m.failed(now, s, r.Save.Why)
		return
	case r.Cell || !r.Frozen || r.Unsaved > 0 || s.input > s.since:
		s.to(now, Active, "it was used while it saved")
		return
	}
	rec := s.rec
	rec.Reclaimed, rec.AtMS = true, m.Wall(now).UnixMilli()
	rec.Saved = &Saved{Ref: r.Save.Ref, MB: r.Save.MB, AtMS: rec.AtMS}
	why := s.reason
	m.write(s, rec, func(at time.Duration, ok bool) {
		switch {
		case !ok:
			if s.state == Saving {
				m.failed(at, s, "its record was not written")
			}
		default:
			// Whatever came meanwhile: what is durable counts, and a returning user resumes.
			s.failures = 0
			if s.state == Saving {
				s.to(at, Reclaimed, why)
				m.teams[s.rec.Team]--
				s.attempt, s.seq, s.cellFrom = 0, 0, 0
				m.Park(at, job, true)
			}
		}
	})
}

// write makes a session's record durable. While it is under way nothing else about the session
// is decided; an open outcome is settled by reading the record again.
func (m *Manager) write(s *session, rec Record, done func(now time.Duration, ok bool)) {
	raw, _ := json.Marshal(rec)
	s.writing = true
	finish := func(ok bool, version uint64) {
		s.writing = false
		if ok {
			s.rec, s.version = rec, version
		}
		done(m.Now(), ok)
		s.goOn()
		if m.byID[s.id] == s {
			m.queue.at(s, m.Now())
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
			m.settle(s, raw, was, finish)
		}
	})
}

// settle finds out what became of an open write. A read that shows it was not carried out proves
// nothing yet: it may land afterwards, and the next leader would stop a session that is in use. So
// the record is written again as it was, which moves its version; then the open write can't land.
func (m *Manager) settle(s *session, raw json.RawMessage, was uint64, finish func(ok bool, version uint64)) {
	again := func() {
		m.later = append(m.later, reread{m.Now() + rereadAfter, func() { m.settle(s, raw, was, finish) }})
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
			old, _ := json.Marshal(s.rec)
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

// after runs f now, or once the write under way is settled.
func (s *session) after(f func()) {
	if s.writing {
		s.waiting = append(s.waiting, f)
		return
	}
	f()
}

// goOn does what has waited for a write.
func (s *session) goOn() {
	waiting := s.waiting
	s.waiting = nil
	for _, f := range waiting {
		f()
	}
}

// forget drops a session whose job has ended; its record goes with it.
func (m *Manager) forget(now time.Duration, s *session) {
	s.writing = true
	m.Commit(store.Txn{Then: []store.Op{{Delete: Key(s.id)}}}, func(result store.Result) {
		s.writing = false
		if result.Outcome == store.Committed {
			m.remove(m.Now(), s)
		} else {
			m.queue.at(s, m.Now()+time.Second)
		}
	})
}

func (m *Manager) remove(now time.Duration, s *session) {
	if m.byID[s.id] != s {
		return
	}
	m.users[s.rec.User]--
	if s.state != Reclaimed {
		m.teams[s.rec.Team]--
	}
	s.to(now, Closed, "over")
	m.queue.remove(s)
	delete(m.byID, s.id)
}
