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

// newSessions starts the sessions of a term, nil where they are off.
func (c *Controller) newSessions(term uint64) *sessions.Manager {
	p := c.settings.Sessions()
	if !p.Enabled {
		return nil
	}
	return sessions.New(sessions.Env{
		Policies:     p,
		Jobs:         c.jobs,
		Now:          c.loop.Now,
		Wall:         func(now time.Duration) time.Time { return time.UnixMilli(c.jobs.WallMS(now)) },
		Commit:       func(txn store.Txn, done func(store.Result)) { c.commit(txn, store.NormalPriority, done) },
		Read:         c.read,
		OnJobRecord:  c.learned,
		OnUnreadable: c.rollout.MarkUnreadable,
		TaskOf:       c.term.fleet.SessionTask,
		Suspend:      c.term.fleet.Suspend,
		WaitingFor:   c.term.fleet.WaitingJobsFor,
	}, term)
}

// refusalKinds maps the reasons for which package sessions refuses requests; it alone decides their HTTP statuses.
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

// sessionCall answers a user, an operator or an agent about sessions.
func (c *Controller) sessionCall(now time.Duration, request api.LeaderRequest, reply func(api.Reply)) {
	answer := func(result sessions.Result, err error) { reply(sessionReply(result, err)) }
	m := c.term.sessions
	switch request.Verb {
	case "open":
		r, err := sessions.ParseRequest(request.Body)
		if err != nil {
			reply(api.Refuse(api.InvalidRequest, err.Error()))
			return
		}
		if request.Who != nil && !request.Who.MayActFor(r.Spec.Team) {
			reply(api.Refuse(api.Forbidden, request.Who.Name+" may not open sessions of team "+r.Spec.Team))
			return
		}
		if v := c.admit(r.Spec); !v.OK {
			kind := api.Unprocessable
			if !v.Known {
				kind = api.Unavailable
			}
			reply(api.Refuse(kind, v.Why))
			return
		}
		m.Open(now, r, answer)
	case "attach":
		m.Attach(now, request.Name, request.Bearer, answer)
	case "keep":
		var b struct {
			Attachment uint64 `json:"attachment"`
		}
		if json.Unmarshal(request.Body, &b) != nil {
			reply(api.Refuse(api.InvalidRequest, "attachment must be there"))
			return
		}
		answer(m.KeepAlive(now, request.Name, request.Bearer, b.Attachment))
	case "close":
		m.Close(request.Name, request.Bearer, answer)
	case "report":
		r, err := sessions.ParseHeartbeat(request.Body)
		if err != nil {
			reply(api.Refuse(api.InvalidRequest, err.Error()))
			return
		}
		response, err := m.HandleHeartbeat(now, request.Name, request.Bearer, r)
		if err != nil {
			// Agents of unknown sessions and with other tokens get the same status as late heartbeats.
			reply(api.Refuse(api.Conflict, err.Error()))
			return
		}
		reply(api.Reply{Status: http.StatusOK, Body: response})
	case "explain":
		lines, ok := m.Explain(now, request.Name)
		if !ok {
			reply(api.Refuse(api.NotFound, "no such session"))
			return
		}
		reply(api.Reply{Status: http.StatusOK, Body: struct {
			ID  string   `json:"name_id"`
			Why []string `json:"why"`
		}{request.Name, lines}})
	default:
		if request.Name == "" {
			reply(api.Reply{Status: http.StatusOK, Body: m.List(now, request.Query["user"], request.Query["team"])})
			return
		}
		v, ok := m.Show(now, request.Name)
		if !ok {
			reply(api.Refuse(api.NotFound, "no such session"))
			return
		}
		reply(api.Reply{Status: http.StatusOK, Body: v})
	}
}
