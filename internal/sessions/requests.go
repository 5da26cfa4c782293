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

// Request is a user's request to open a session.
type Request struct {
	Spec             *jobs.Spec
	User             string
	UserTokenDigest  string // SHA-256 of the user's token, in lower-case hex
	AgentTokenDigest string // SHA-256 of the agent's token, in lower-case hex
}

// Result is the outcome of a request that was accepted.
type Result struct {
	View    View
	Created bool // true if this request created the session
}

// Reply is called with the outcome of a request, on the event loop. The error is an *Error, or nil if the request was
// accepted.
type Reply func(Result, error)

const maxUserLength = 100

// ParseRequest decodes and checks a request to open a session: a job of one task, and the session's owner. Its errors
// wrap jobs.ErrMalformed.
func ParseRequest(body []byte) (*Request, error) {
	spec, err := jobs.ParseSpec(body)
	if err != nil {
		return nil, err
	}
	var owner struct {
		User             string `json:"user"`
		UserTokenDigest  string `json:"token_sha256"`
		AgentTokenDigest string `json:"agent_sha256"`
	}
	if err := json.Unmarshal(body, &owner); err != nil {
		return nil, fmt.Errorf("%w: %w", jobs.ErrMalformed, err)
	}
	isDigestPair := isTokenDigest(owner.UserTokenDigest) &&
		isTokenDigest(owner.AgentTokenDigest) &&
		owner.UserTokenDigest != owner.AgentTokenDigest
	switch {
	case spec.Kind != jobs.Service || spec.Tasks != 1:
		return nil, fmt.Errorf("%w: a session is a job of kind %q with one task", jobs.ErrMalformed, jobs.Service)
	case owner.User == "" || len(owner.User) > maxUserLength:
		return nil, fmt.Errorf("%w: user must have 1 to %d characters", jobs.ErrMalformed, maxUserLength)
	case !isDigestPair:
		return nil, fmt.Errorf(
			"%w: token_sha256 and agent_sha256 must be two different SHA-256 digests in hex", jobs.ErrMalformed)
	}
	return &Request{
		Spec:             spec,
		User:             owner.User,
		UserTokenDigest:  strings.ToLower(owner.UserTokenDigest),
		AgentTokenDigest: strings.ToLower(owner.AgentTokenDigest),
	}, nil
}

// Open opens a session. It is idempotent: a repeated request with the same user and token returns the same session.
func (m *Manager) Open(now time.Duration, request *Request, reply Reply) {
	id := request.Spec.ID
	team := request.Spec.Team
	if s := m.byID[id]; s != nil {
		if !s.record.isOwnedBy(request) {
			reply(Result{}, refuse(Conflict, "the id %s is taken", id))
			return
		}
		reply(Result{View: m.view(now, s)}, nil)
		return
	}
	if m.Jobs.Get(id) != nil {
		// The job is another one, or that of this session if its write was applied after the response was lost.
		m.replyFromStore(request, refuse(Conflict, "the id %s is taken by a job", id), reply)
		return
	}
	if err := m.checkUserLimit(request.User); err != nil {
		reply(Result{}, err)
		return
	}
	if err := m.checkTeamLimit(team, m.sessionsByTeam[team]+m.pendingOpensByTeam[team]); err != nil {
		reply(Result{}, err)
		return
	}
	m.create(now, request, reply)
}

// checkUserLimit returns an *Error if one more session would exceed the user's limit.
func (m *Manager) checkUserLimit(user string) error {
	limit := m.Policies.MaxPerUser
	count := m.sessionsByUser[user] + m.pendingOpensByUser[user]
	if limit > 0 && count >= limit {
		return refuse(Conflict, "user %s has %d sessions; the limit is %d: close one first", user, count, limit)
	}
	return nil
}

// checkTeamLimit returns an *Error if one more session of a team, which has count of them, would exceed the limit.
func (m *Manager) checkTeamLimit(team string, count int) error {
	limit := m.Policies.MaxPerTeam
	if limit > 0 && count >= limit {
		return refuse(Conflict,
			"team %s has %d sessions that are not reclaimed; the limit is %d", team, count, limit)
	}
	return nil
}

// create stores a session's record and its job, in one transaction.
func (m *Manager) create(now time.Duration, request *Request, reply Reply) {
	id := request.Spec.ID
	team := request.Spec.Team
	record := Record{
		User:             request.User,
		Team:             team,
		UserTokenDigest:  request.UserTokenDigest,
		AgentTokenDigest: request.AgentTokenDigest,
		OpenedMS:         m.Wall(now).UnixMilli(),
	}
	jobKey := jobs.RecordKey(id)
	jobRecord := jobs.EncodeRecord(jobs.Pending, m.Jobs.WallMS(now), 1, request.Spec)
	txn := store.Txn{
		If:   []store.Condition{{Key: jobKey}, archive.AbsentCondition(id), {Key: Key(id)}},
		Then: []store.Op{{Put: jobKey, Value: jobRecord}, {Put: Key(id), Value: record.encode()}},
	}
	m.pendingOpensByUser[request.User]++
	m.pendingOpensByTeam[team]++
	m.Commit(txn, func(result store.Result) {
		at := m.Now()
		decrement(m.pendingOpensByUser, request.User)
		decrement(m.pendingOpensByTeam, team)
		switch result.Outcome {
		case store.Committed:
			s := m.add(at, id, record, result.Revision)
			m.OnJobRecord(at, store.Item{Key: jobKey, Value: jobRecord, Version: result.Revision})
			reply(Result{View: m.view(at, s), Created: true}, nil)
		case store.Conflict, store.Indeterminate:
			errIfAbsent := refuse(Unavailable, "the session was not stored")
			if slices.Contains(result.FailedKeys, archive.Key(id)) {
				errIfAbsent = refuse(Conflict, "the id %s is taken by a job that has ended", id)
			}
			m.replyFromStore(request, errIfAbsent, reply)
		default:
			reply(Result{}, refuse(Unavailable, "the state service did not store the session"))
		}
	})
}

// decrement decrements a count, and deletes the entry when the count reaches 0.
func decrement(counts map[string]int, key string) {
	counts[key]--
	if counts[key] == 0 {
		delete(counts, key)
	}
}

// replyFromStore reads the stored record to reply to a request to open a session whose write may have been applied. If
// there is no record, it replies with errIfAbsent.
func (m *Manager) replyFromStore(request *Request, errIfAbsent error, reply Reply) {
	id := request.Spec.ID
	m.Read(Key(id), func(item store.Item, err error) {
		var record Record
		switch {
		case err != nil:
			reply(Result{}, refuse(Unavailable, "the state service does not answer"))
		case item.Version == 0:
			reply(Result{}, errIfAbsent)
		case json.Unmarshal(item.Value, &record) != nil || !record.isOwnedBy(request):
			reply(Result{}, refuse(Conflict, "the id %s is taken", id))
		default:
			if m.byID[id] == nil {
				m.add(m.Now(), id, record, item.Version)
			}
			reply(Result{View: m.view(m.Now(), m.byID[id])}, nil)
		}
	})
}

// authenticate returns the session with an id if the token is its user's, otherwise nil.
func (m *Manager) authenticate(id, token string) *session {
	s := m.byID[id]
	if s == nil || !tokenMatches(token, s.record.UserTokenDigest) {
		return nil
	}
	return s
}

// Attach records that a user has returned. It withdraws a warning, ends a checkpoint, and starts to resume a reclaimed
// session. Keep-alives of earlier attachments are refused from then on.
func (m *Manager) Attach(now time.Duration, id, token string, reply Reply) {
	s := m.authenticate(id, token)
	if s == nil {
		reply(Result{}, notAuthorized())
		return
	}
	s.runAfterWrite(func() { m.attachAfterWrite(m.Now(), s, reply) })
}

// attachAfterWrite attaches to a session that has no write in flight.
func (m *Manager) attachAfterWrite(now time.Duration, s *session, reply Reply) {
	job := m.Jobs.Get(s.id)
	if s.state == Closed || job == nil || job.State.Terminal() {
		reply(Result{}, refuse(Ended, "the session is closed"))
		return
	}
	s.user.attachmentID = m.nextID()
	s.user.lastAttachedAt = max(now, 1)
	s.user.returnedAt = now
	if s.state == Reclaimed {
		m.resume(s, job, reply)
		return
	}
	s.agent.lastInputAt = now
	if s.state == Idle || s.state == Warned || s.state == Checkpointing {
		s.setState(now, Active, "user returned")
	}
	reply(Result{View: m.view(now, s)}, nil)
}

// resume stores that a session is no longer reclaimed, and then allows its job to run again.
func (m *Manager) resume(s *session, job *jobs.Job, reply Reply) {
	team := s.record.Team
	if err := m.checkTeamLimit(team, m.sessionsByTeam[team]); err != nil {
		reply(Result{}, err)
		return
	}
	record := s.record
	record.Reclaimed = false
	record.ReclaimedAtMS = 0
	m.write(s, record, func(at time.Duration, ok bool) {
		if !ok {
			reply(Result{}, refuse(Unavailable, "the state service did not store the resumption of the session"))
			return
		}
		s.setState(at, Opening, "user returned")
		m.sessionsByTeam[team]++
		s.agent.lastInputAt = at
		s.agent.lastHeartbeatAt = at
		m.Suspend(at, job, false)
		reply(Result{View: m.view(at, s)}, nil)
	})
}

// KeepAlive records that a client is still attached. It delays a reclaim only if the idle rule uses attached_s, and is
// accepted at most once a second. Its error is an *Error.
func (m *Manager) KeepAlive(now time.Duration, id, token string, attachmentID uint64) (Result, error) {
	s := m.authenticate(id, token)
	switch {
	case s == nil:
		return Result{}, notAuthorized()
	case attachmentID < s.user.attachmentID:
		return Result{}, refuse(Conflict, "a newer attachment replaces this one")
	case s.user.lastKeepAliveAt > 0 && now-s.user.lastKeepAliveAt < minKeepAliveInterval:
		return Result{}, refuse(TooFrequent, "the last keep-alive was less than a second ago")
	}
	s.user.lastKeepAliveAt = max(now, 1)
	s.user.lastAttachedAt = max(now, 1)
	return Result{View: m.view(now, s)}, nil
}

// Close ends a session and its job. It replies after the end is durable.
func (m *Manager) Close(id, token string, reply Reply) {
	s := m.authenticate(id, token)
	if s == nil {
		reply(Result{}, notAuthorized())
		return
	}
	s.runAfterWrite(func() { m.cancelJob(s, reply) })
}

// cancelJob cancels a session's job and deletes the session's record, in one transaction. reply may be nil.
func (m *Manager) cancelJob(s *session, reply Reply) {
	if reply == nil {
		reply = func(Result, error) {}
	}
	job := m.Jobs.Get(s.id)
	if s.state == Closed || job == nil || job.State.Terminal() {
		if s.state != Closed && !s.writePending {
			m.deleteRecord(s)
		}
		reply(Result{View: s.closedView()}, nil)
		return
	}
	jobKey := jobs.RecordKey(s.id)
	jobRecord := m.Jobs.CancelledRecord(job)
	txn := store.Txn{
		If:   []store.Condition{{Key: jobKey, Version: job.Version}},
		Then: []store.Op{{Put: jobKey, Value: jobRecord}, {Delete: Key(s.id)}},
	}
	s.writePending = true
	m.Commit(txn, func(result store.Result) {
		at := m.Now()
		s.writePending = false
		if result.Outcome == store.Committed {
			m.OnJobRecord(at, store.Item{Key: jobKey, Value: jobRecord, Version: result.Revision})
			m.remove(at, s)
			reply(Result{View: s.closedView()}, nil)
		} else {
			m.queue.schedule(s, at+writeRetryDelay)
			reply(Result{}, refuse(Unavailable, "the state service did not confirm that the session was closed"))
		}
		s.runDeferred()
	})
}
