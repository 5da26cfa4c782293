package sessions

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/harewalk/harewalk/internal/archive"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// unauthorizedMessage is said alike of sessions that don't exist and of other people's: nobody learns
// from it which ids there are.
const unauthorizedMessage = "no such session, or the token is not its own"

// Request is a user's request for a session.
type Request struct {
	Spec             *jobs.Spec
	User             string
	UserTokenDigest  string // SHA-256 of the user's token, in hex
	AgentTokenDigest string // SHA-256 of the agent's token, in hex
}

// Answer is what a user is told.
type Answer struct {
	Status int // as in HTTP
	View   View
	Why    string
	Retry  bool // it may be otherwise soon
}

func no(status int, format string, a ...any) Answer {
	return Answer{Status: status, Why: fmt.Sprintf(format, a...), Retry: status == 429 || status == 503}
}

// ParseRequest reads a request for a session: a job of one replica, and whose it is.
func ParseRequest(body []byte) (*Request, error) {
	spec, err := jobs.ParseSpec(body)
	if err != nil {
		return nil, err
	}
	var who struct {
		User  string `json:"user"`
		Token string `json:"token_sha256"`
		Agent string `json:"agent_sha256"`
	}
	if err := json.Unmarshal(body, &who); err != nil {
		return nil, fmt.Errorf("%w: %v", jobs.ErrMalformed, err)
	}
	switch {
	case spec.Kind != jobs.Service || spec.Tasks != 1:
		err = fmt.Errorf("%w: a session is a job of kind %q with one task", jobs.ErrMalformed, jobs.Service)
	case who.User == "" || len(who.User) > 100:
		err = fmt.Errorf("%w: user must have 1 to 100 characters", jobs.ErrMalformed)
	case !isTokenDigest(who.Token) || !isTokenDigest(who.Agent) || who.Token == who.Agent:
		err = fmt.Errorf("%w: token_sha256 and agent_sha256 must be two different SHA-256 digests in hex", jobs.ErrMalformed)
	}
	return &Request{spec, who.User, strings.ToLower(who.Token), strings.ToLower(who.Agent)}, err
}

// Open opens a session; opening it again with the same token shows it.
func (m *Manager) Open(now time.Duration, q *Request, reply func(Answer)) {
	id, team := q.Spec.ID, q.Spec.Team
	if s := m.byID[id]; s != nil {
		if s.record.UserTokenDigest != q.UserTokenDigest || s.record.User != q.User {
			reply(no(409, "the id %s is taken", id))
			return
		}
		reply(Answer{Status: 200, View: m.view(now, s)})
		return
	}
	if m.Jobs.Get(id) != nil {
		// A job of that id, or this session: its write may have landed after its answer was lost.
		m.answerFromStore(q, no(409, "the id %s is taken by a job", id), reply)
		return
	}
	p := m.Policies
	if n := m.sessionsByUser[q.User] + m.pendingOpens["u/"+q.User]; p.MaxPerUser > 0 && n >= p.MaxPerUser {
		reply(no(409, "user %s has %d sessions, and may have %d: close one first", q.User, n, p.MaxPerUser))
		return
	}
	if n := m.sessionsByTeam[team] + m.pendingOpens["t/"+team]; p.MaxPerTeam > 0 && n >= p.MaxPerTeam {
		reply(no(409, "team %s has %d sessions that are not reclaimed, and may have %d", team, n, p.MaxPerTeam))
		return
	}
	rec := Record{User: q.User, Team: team, UserTokenDigest: q.UserTokenDigest, AgentTokenDigest: q.AgentTokenDigest, OpenedMS: m.Wall(now).UnixMilli()}
	raw, _ := json.Marshal(rec)
	job := jobs.EncodeRecord(jobs.Pending, m.Jobs.WallMS(now), 1, q.Spec)
	key := jobs.RecordKey(id)
	m.pendingOpens["u/"+q.User]++
	m.pendingOpens["t/"+team]++
	m.Commit(store.Txn{If: []store.Condition{{Key: key}, archive.Absent(id), {Key: Key(id)}}, Then: []store.Op{{Put: key, Value: job}, {Put: Key(id), Value: raw}}}, func(result store.Result) {
		at := m.Now()
		for _, k := range []string{"u/" + q.User, "t/" + team} {
			if m.pendingOpens[k]--; m.pendingOpens[k] == 0 {
				delete(m.pendingOpens, k)
			}
		}
		switch result.Outcome {
		case store.Committed:
			s := m.add(at, id, rec, result.Revision)
			m.OnJobRecord(at, store.Item{Key: key, Value: job, Version: result.Revision})
			reply(Answer{Status: 201, View: m.view(at, s)})
		case store.Conflict, store.Indeterminate:
			absent := no(503, "the session was not stored")
			if slices.Contains(result.FailedKeys, archive.Key(id)) {
				absent = no(409, "the id %s is taken by a job that has ended", id)
			}
			m.answerFromStore(q, absent, reply)
		default:
			reply(no(503, "the state service did not take the session"))
		}
	})
}

// answerFromStore answers from what stands, after a write that may have been carried out; with absent if
// there is no session of that id.
func (m *Manager) answerFromStore(q *Request, absent Answer, reply func(Answer)) {
	m.Read(Key(q.Spec.ID), func(item store.Item, err error) {
		var r Record
		switch {
		case err != nil:
			reply(no(503, "the state service does not answer"))
		case item.Version == 0:
			reply(absent)
		case json.Unmarshal(item.Value, &r) != nil || r.UserTokenDigest != q.UserTokenDigest || r.User != q.User:
			reply(no(409, "the id %s is taken", q.Spec.ID))
		default:
			if m.byID[q.Spec.ID] == nil {
				m.add(m.Now(), q.Spec.ID, r, item.Version)
			}
			reply(Answer{Status: 200, View: m.view(m.Now(), m.byID[q.Spec.ID])})
		}
	})
}

// authenticate finds a session by its user's token.
func (m *Manager) authenticate(id, token string) *session {
	if s := m.byID[id]; s != nil && tokenMatches(token, s.record.UserTokenDigest) {
		return s
	}
	return nil
}

// Attach is a user's return. It takes a warning back and stops a save; a reclaimed session
// begins to resume. Of two attaches the later is the one that keeps the session alive.
func (m *Manager) Attach(now time.Duration, id, token string, reply func(Answer)) {
	s := m.authenticate(id, token)
	if s == nil {
		reply(no(403, unauthorizedMessage))
		return
	}
	s.runAfterWrite(func() { m.attachSettled(m.Now(), s, reply) })
}

func (m *Manager) attachSettled(now time.Duration, s *session, reply func(Answer)) {
	job := m.Jobs.Get(s.id)
	if s.state == Closed || job == nil || job.State.Terminal() {
		reply(no(410, "the session is closed"))
		return
	}
	m.lastOrder++
	s.attachmentID = m.term<<orderBits | m.lastOrder
	s.lastAttachedAt, s.userReturnedAt = max(now, 1), now
	if s.state != Reclaimed {
		s.lastInputAt = now
		if s.state == Idle || s.state == Warned || s.state == Checkpointing {
			s.setState(now, Active, "its user returned")
		}
		reply(Answer{Status: 200, View: m.view(now, s)})
		return
	}
	if n := m.sessionsByTeam[s.record.Team]; m.Policies.MaxPerTeam > 0 && n >= m.Policies.MaxPerTeam {
		reply(no(409, "team %s has %d sessions that are not reclaimed, and may have %d", s.record.Team, n, m.Policies.MaxPerTeam))
		return
	}
	rec := s.record
	rec.Reclaimed, rec.ReclaimedAtMS = false, 0
	m.write(s, rec, func(at time.Duration, ok bool) {
		if !ok {
			reply(no(503, "the state service did not take it"))
			return
		}
		s.setState(at, Opening, "its user returned")
		m.sessionsByTeam[s.record.Team]++
		s.lastInputAt, s.lastHeardAt = at, at
		m.Suspend(at, job, false)
		reply(Answer{Status: 200, View: m.view(at, s)})
	})
}

// KeepAlive is an attached client's sign of life. It counts as little as the policy says, and no
// more often than once a second.
func (m *Manager) KeepAlive(now time.Duration, id, token string, attachment uint64) Answer {
	s := m.authenticate(id, token)
	switch {
	case s == nil:
		return no(403, unauthorizedMessage)
	case attachment < s.attachmentID:
		return no(409, "attached elsewhere since")
	case s.lastKeepAliveAt > 0 && now-s.lastKeepAliveAt < minKeepAliveInterval:
		return no(429, "kept alive less than a second ago")
	}
	s.lastKeepAliveAt, s.lastAttachedAt = max(now, 1), max(now, 1)
	return Answer{Status: 200, View: m.view(now, s)}
}

// Close ends a session and its job; the answer is given once that is durable.
func (m *Manager) Close(now time.Duration, id, token string, reply func(Answer)) {
	s := m.authenticate(id, token)
	if s == nil {
		reply(no(403, unauthorizedMessage))
		return
	}
	s.runAfterWrite(func() { m.cancelJob(m.Now(), s, reply) })
}

// cancelJob cancels a session's job and drops its record, in one transaction.
func (m *Manager) cancelJob(now time.Duration, s *session, reply func(Answer)) {
	if reply == nil {
		reply = func(Answer) {}
	}
	job := m.Jobs.Get(s.id)
	if s.state == Closed || job == nil || job.State.Terminal() {
		if s.state != Closed && !s.writePending {
			m.deleteRecord(now, s)
		}
		reply(Answer{Status: 200, View: View{ID: s.id, User: s.record.User, Team: s.record.Team, State: Closed.String()}})
		return
	}
	key := jobs.RecordKey(s.id)
	raw := jobs.EncodeRecord(jobs.Cancelled, m.Jobs.WallMS(job.SubmittedAt), job.TaskCount, job.Spec)
	s.writePending = true
	m.Commit(store.Txn{If: []store.Condition{{Key: key, Version: job.Version}}, Then: []store.Op{{Put: key, Value: raw}, {Delete: Key(s.id)}}}, func(result store.Result) {
		at := m.Now()
		s.writePending = false
		if result.Outcome != store.Committed {
			m.queue.schedule(s, at+time.Second)
			reply(no(503, "it is not known whether the session was closed"))
		} else {
			m.OnJobRecord(at, store.Item{Key: key, Value: raw, Version: result.Revision})
			m.remove(at, s)
			reply(Answer{Status: 200, View: View{ID: s.id, User: s.record.User, Team: s.record.Team, State: Closed.String()}})
		}
		s.runDeferred()
	})
}

// List shows the sessions of a user or a team, or all; by id.
func (m *Manager) List(now time.Duration, user, team string) []View {
	out := []View{}
	for _, s := range m.byID {
		if (user == "" || s.record.User == user) && (team == "" || s.record.Team == team) {
			out = append(out, m.view(now, s))
		}
	}
	slices.SortFunc(out, func(a, b View) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// CountByState counts the sessions by state.
func (m *Manager) CountByState() map[string]int {
	n := map[string]int{}
	for _, s := range m.byID {
		n[s.state.String()]++
	}
	return n
}

// Show shows one session.
func (m *Manager) Show(now time.Duration, id string) (View, bool) {
	s := m.byID[id]
	if s == nil {
		return View{}, false
	}
	return m.view(now, s), true
}

func (m *Manager) view(now time.Duration, s *session) View {
	v := View{
		ID: s.id, User: s.record.User, Team: s.record.Team, State: s.state.String(), InStateS: (now - s.stateSince).Seconds(),
		CellRunning: s.cellRunningSince > 0, UnsavedMB: s.unsavedMB, Checkpoint: s.record.Checkpoint, AttachmentID: s.attachmentID, Cause: s.reclaimCause,
	}
	if s.state == Idle || s.state == Warned || s.state == Checkpointing {
		v.IdleS = (now - s.lastInputAt).Seconds()
	}
	if s.state == Warned {
		v.ReclaimInS = max(0, (s.stateSince + m.Policies.WarningTime - now).Seconds())
	}
	return v
}

// Explain says in plain words why a session is or isn't to be reclaimed, and when.
func (m *Manager) Explain(now time.Duration, id string) ([]string, bool) {
	s := m.byID[id]
	if s == nil {
		return nil, false
	}
	wall := m.Wall(now)
	p := m.Policies.ForTeam(s.record.Team)
	l := p.At(wall)
	a := s.activity(now, wall)
	for_ := func(duration time.Duration) string { return duration.Round(time.Second).String() }
	at := func(t time.Duration) string {
		return fmt.Sprintf("in %s, at %s", for_(max(0, t-now)), wall.Add(t-now).UTC().Format("15:04:05 MST"))
	}
	out := []string{fmt.Sprintf("It has been %s for %s; policy %q: idle = %s.", s.state, for_(now-s.stateSince), l.Source, l.Rule.text)}
	say := func(format string, a ...any) { out = append(out, fmt.Sprintf(format, a...)) }
	silent := now-s.lastHeardAt > m.Policies.UnheardTimeout
	switch s.state {
	case Opening, Lost:
		say("Its agent has not been heard since it started, so nothing is decided about it.")
	case Reclaimed:
		say("It was reclaimed; what was saved (%s) is resumed when its user attaches.", s.record.Checkpoint.Ref)
	case Active:
		for _, w := range l.Rule.UnmetConditions(a) {
			say("It is not idle: %s.", w)
		}
	case Idle:
		if now < s.noWarningBefore {
			say("Its last save failed (%d in a row): no warning before another try %s.", s.failedCheckpoints, at(s.noWarningBefore))
		}
		switch {
		case l.IdleLimit == 0:
			say("Its policy sets no limit to idleness.")
		default:
			say("It will be warned at the latest %s, when it has been idle for %s.", at(max(s.stateSince+l.IdleLimit, s.noWarningBefore)), for_(l.IdleLimit))
		}
		switch {
		case l.ContendedLimit < 0:
			say("It is not reclaimed for others who wait.")
		case now-s.stateSince < l.ContendedLimit:
			say("From %s on it is warned as soon as somebody waits for what it holds.", strings.TrimPrefix(at(s.stateSince+l.ContendedLimit), "in "))
		default:
			say("It is warned as soon as somebody waits for what it holds; nobody does.")
		}
	case Warned:
		say("It was warned, since %s; its work is saved and it is reclaimed %s, unless it is used before.", s.reclaimCause, at(s.stateSince+m.Policies.WarningTime))
	case Checkpointing:
		say("Its work is being saved, since %s; if that takes until %s, it is not reclaimed.", s.reclaimCause, strings.TrimPrefix(at(s.stateSince+m.Policies.CheckpointTimeout), "in "))
	}
	if silent && s.state != Reclaimed && s.state != Opening && s.state != Lost {
		say("Its agent has not been heard for %s: it is not reclaimed on doubt.", for_(now-s.lastHeardAt))
	}
	return out, true
}
