package controller

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/harewalk/harewalk/internal/api"
	"github.com/harewalk/harewalk/internal/sessions"
	"github.com/harewalk/harewalk/internal/store"
)

// sessionExplanation is the body of the answer to why a session is in its state.
type sessionExplanation struct {
	ID  string   `json:"name_id"`
	Why []string `json:"why"`
}

// newSessions makes a term's sessions, nil where they are off.
func (c *Controller) newSessions(term uint64) *sessions.Manager {
	policies := c.settings.Sessions()
	if !policies.On {
		return nil
	}
	return sessions.New(sessions.Env{
		Policies:   policies,
		Jobs:       c.jobs,
		Learned:    c.handleJobRead,
		Read:       c.readInTerm,
		Now:        c.loop.Now,
		Unreadable: c.rollout.MarkUnreadable,
		Wall:       func(now time.Duration) time.Time { return time.UnixMilli(c.jobs.WallMS(now)) },
		Commit: func(txn store.Txn, done func(store.Result)) {
			c.commitInTerm(txn, store.NormalPriority, done)
		},
		Task:   c.term.fleet.SessionTask,
		Park:   c.term.fleet.Suspend,
		Wanted: c.term.fleet.WaitingJobsFor,
	}, term)
}

// sessionCall answers a user, an operator or an agent about sessions.
func (c *Controller) sessionCall(now time.Duration, request api.LeaderRequest, reply func(api.Reply)) {
	answer := func(a sessions.Answer) { reply(sessionReply(a)) }
	manager := c.term.sessions
	switch request.Verb {
	case "open":
		c.openSession(now, request, reply)
	case "attach":
		manager.Attach(now, request.Name, request.Bearer, answer)
	case "keep":
		c.keepSession(now, request, reply)
	case "close":
		manager.Close(now, request.Name, request.Bearer, answer)
	case "report":
		reply(c.sessionReport(now, request))
	case "explain":
		reply(c.explainSession(now, request.Name))
	default:
		reply(c.showSessions(now, request))
	}
}

// sessionReply returns the HTTP answer for an answer of the sessions' manager.
func sessionReply(answer sessions.Answer) api.Reply {
	if answer.Status < http.StatusMultipleChoices {
		return api.Reply{Status: answer.Status, Body: answer.View}
	}
	return api.Refuse(api.RefusalKindOf(answer.Status), answer.Why)
}

// openSession opens a session, if the user may and the session's job can run.
func (c *Controller) openSession(now time.Duration, request api.LeaderRequest, reply func(api.Reply)) {
	opening, err := sessions.ParseOpening(request.Body)
	if err != nil {
		reply(api.Refuse(api.InvalidRequest, err.Error()))
		return
	}
	team := opening.Spec.Team
	if request.User != nil && !request.User.May(team) {
		reply(api.Refuse(api.Forbidden, request.User.Name+" may not open sessions of team "+team))
		return
	}
	if admission := c.admit(opening.Spec); !admission.OK {
		kind := api.Unprocessable
		if !admission.Known {
			kind = api.Unavailable
		}
		reply(api.Refuse(kind, admission.Reason))
		return
	}
	c.term.sessions.Open(now, opening, func(answer sessions.Answer) { reply(sessionReply(answer)) })
}

// keepSession extends an attachment to a session.
func (c *Controller) keepSession(now time.Duration, request api.LeaderRequest, reply func(api.Reply)) {
	var body struct {
		Attachment uint64 `json:"attachment"`
	}
	if json.Unmarshal(request.Body, &body) != nil {
		reply(api.Refuse(api.InvalidRequest, "attachment must be there"))
		return
	}
	reply(sessionReply(c.term.sessions.Keep(now, request.Name, request.Bearer, body.Attachment)))
}

// sessionReport answers the report of a session's agent.
func (c *Controller) sessionReport(now time.Duration, request api.LeaderRequest) api.Reply {
	report, err := sessions.ParseReport(request.Body)
	if err != nil {
		return api.Refuse(api.InvalidRequest, err.Error())
	}
	order, ok, cause := c.term.sessions.Report(now, request.Name, request.Bearer, report)
	if !ok {
		return api.Refuse(api.Conflict, cause)
	}
	return api.Reply{Status: http.StatusOK, Body: order}
}

// explainSession answers why a session is in its state.
func (c *Controller) explainSession(now time.Duration, id string) api.Reply {
	lines, ok := c.term.sessions.Explain(now, id)
	if !ok {
		return refuseNoSession()
	}
	return api.Reply{Status: http.StatusOK, Body: sessionExplanation{ID: id, Why: lines}}
}

// showSessions answers with one session or, without a name, with those of a user or a team.
func (c *Controller) showSessions(now time.Duration, request api.LeaderRequest) api.Reply {
	if request.Name == "" {
		list := c.term.sessions.List(now, request.Query["user"], request.Query["team"])
		return api.Reply{Status: http.StatusOK, Body: list}
	}
	view, ok := c.term.sessions.Show(now, request.Name)
	if !ok {
		return refuseNoSession()
	}
	return api.Reply{Status: http.StatusOK, Body: view}
}

func refuseNoSession() api.Reply { return api.Refuse(api.NotFound, "no such session") }
