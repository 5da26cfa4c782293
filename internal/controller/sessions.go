package controller

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/harewalk/harewalk/internal/api"
	"github.com/harewalk/harewalk/internal/sessions"
	"github.com/harewalk/harewalk/internal/store"
)

// newSessions returns the session manager of a leader term, nil if sessions are disabled.
func (c *Controller) newSessions(term uint64) *sessions.Manager {
	policies := c.settings.Sessions()
	if !policies.Enabled {
		return nil
	}
	return sessions.New(sessions.Env{
		Policies: policies,
		Jobs:     c.jobs,
		Now:      c.loop.Now,
		Wall:     func(now time.Duration) time.Time { return time.UnixMilli(c.jobs.WallMS(now)) },
		Commit: func(txn store.Txn, done func(store.Result)) {
			c.commitInTerm(txn, store.NormalPriority, done)
		},
		Read:           c.readInTerm,
		OnJobRecord:    c.handleJobRead,
		OnUnreadable:   c.rollout.MarkUnreadable,
		TaskOf:         c.term.fleet.SessionTask,
		Suspend:        c.term.fleet.Suspend,
		WaitingJobsFor: c.term.fleet.WaitingJobsFor,
	}, term)
}

// handleSessionRequest handles a request of a user, an operator or a session's agent.
func (c *Controller) handleSessionRequest(now time.Duration, request api.LeaderRequest, reply func(api.Reply)) {
	answer := func(result sessions.Result, err error) { reply(sessionReply(result, err)) }
	manager := c.term.sessions
	switch request.Verb {
	case api.VerbOpen:
		c.openSession(now, request, reply)
	case api.VerbAttach:
		manager.Attach(now, request.Name, request.Bearer, answer)
	case api.VerbKeepAlive:
		c.extendAttachment(now, request, reply)
	case api.VerbClose:
		manager.Close(request.Name, request.Bearer, answer)
	case api.VerbHeartbeat:
		reply(c.sessionHeartbeat(now, request))
	case api.VerbExplain:
		reply(c.explainSession(now, request.Name))
	default: // api.VerbShow
		reply(c.showSessions(now, request))
	}
}

// refusalKinds maps the reasons for which package sessions refuses requests. Only this map determines their HTTP
// statuses.
var refusalKinds = [...]api.RefusalKind{
	sessions.NotAuthorized: api.Forbidden,
	sessions.Conflict:      api.Conflict,
	sessions.Ended:         api.Gone,
	sessions.TooFrequent:   api.TooManyRequests,
	sessions.Unavailable:   api.Unavailable,
}

// sessionReply returns the HTTP reply to a user's request about a session.
func sessionReply(result sessions.Result, err error) api.Reply {
	var refusal *sessions.Error
	switch {
	case errors.As(err, &refusal):
		return api.Refuse(refusalKinds[refusal.Reason], refusal.Message)
	case err != nil:
		return api.Refuse(api.Unavailable, err.Error())
	case result.Created:
		return api.Reply{Status: http.StatusCreated, Body: result.View}
	default:
		return api.Reply{Status: http.StatusOK, Body: result.View}
	}
}

// openSession opens a session, if the user may act for the team and the session's job can run.
func (c *Controller) openSession(now time.Duration, request api.LeaderRequest, reply func(api.Reply)) {
	opening, err := sessions.ParseRequest(request.Body)
	if err != nil {
		reply(api.Refuse(api.InvalidRequest, err.Error()))
		return
	}
	team := opening.Spec.Team
	if request.User != nil && !request.User.MayActFor(team) {
		reply(api.Refuse(api.Forbidden, request.User.Name+" may not open sessions of team "+team))
		return
	}
	if admission := c.admit(opening.Spec); !admission.OK {
		kind := api.Unprocessable
		if !admission.Decided {
			kind = api.Unavailable
		}
		reply(api.Refuse(kind, admission.Reason))
		return
	}
	c.term.sessions.Open(now, opening, func(result sessions.Result, err error) { reply(sessionReply(result, err)) })
}

// extendAttachment extends an attachment to a session.
func (c *Controller) extendAttachment(now time.Duration, request api.LeaderRequest, reply func(api.Reply)) {
	var body keepAliveBody
	if json.Unmarshal(request.Body, &body) != nil {
		reply(api.Refuse(api.InvalidRequest, "the attachment is missing or malformed"))
		return
	}
	reply(sessionReply(c.term.sessions.KeepAlive(now, request.Name, request.Bearer, body.Attachment)))
}

// sessionHeartbeat handles the heartbeat of a session's agent.
func (c *Controller) sessionHeartbeat(now time.Duration, request api.LeaderRequest) api.Reply {
	heartbeat, err := sessions.ParseHeartbeat(request.Body)
	if err != nil {
		return api.Refuse(api.InvalidRequest, err.Error())
	}
	response, err := c.term.sessions.HandleHeartbeat(now, request.Name, request.Bearer, heartbeat)
	if err != nil {
		// An unknown session or another session's token gets the same status as a late heartbeat.
		return api.Refuse(api.Conflict, err.Error())
	}
	return api.Reply{Status: http.StatusOK, Body: response}
}

// explainSession returns the reasons for a session's state.
func (c *Controller) explainSession(now time.Duration, id string) api.Reply {
	lines, ok := c.term.sessions.Explain(now, id)
	if !ok {
		return refuseNoSession()
	}
	return api.Reply{Status: http.StatusOK, Body: sessionExplanation{ID: id, Why: lines}}
}

// showSessions returns one session or, if the request has no name, the sessions of a user or a team.
func (c *Controller) showSessions(now time.Duration, request api.LeaderRequest) api.Reply {
	if request.Name == "" {
		list := c.term.sessions.List(now, request.Query.User, request.Query.Team)
		return api.Reply{Status: http.StatusOK, Body: list}
	}
	view, ok := c.term.sessions.Show(now, request.Name)
	if !ok {
		return refuseNoSession()
	}
	return api.Reply{Status: http.StatusOK, Body: view}
}

func refuseNoSession() api.Reply { return api.Refuse(api.NotFound, "no such session") }
