package controller

import (
	"encoding/json"
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
		Policies: p, Jobs: c.jobs, OnJobRecord: c.learned, Read: c.read, Now: c.loop.Now, OnUnreadable: c.rollout.MarkUnreadable,
		Wall:   func(now time.Duration) time.Time { return time.UnixMilli(c.jobs.WallMS(now)) },
		Commit: func(txn store.Txn, done func(store.Result)) { c.commit(txn, store.NormalPriority, done) },
		Task:   c.term.fleet.SessionTask, Suspend: c.term.fleet.Suspend, WaitingFor: c.term.fleet.WaitingJobsFor,
	}, term)
}

// sessionCall answers a user, an operator or an agent about sessions.
func (c *Controller) sessionCall(now time.Duration, request api.LeaderRequest, reply func(api.Reply)) {
	answer := func(a sessions.Answer) {
		switch {
		case a.Status < 300:
			reply(api.Reply{Status: a.Status, Body: a.View})
		default:
			reply(api.Refuse(api.RefusalKindOf(a.Status), a.Why))
		}
	}
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
		m.Close(now, request.Name, request.Bearer, answer)
	case "report":
		r, err := sessions.ParseHeartbeat(request.Body)
		if err != nil {
			reply(api.Refuse(api.InvalidRequest, err.Error()))
			return
		}
		o, ok, why := m.Heartbeat(now, request.Name, request.Bearer, r)
		if !ok {
			reply(api.Refuse(api.Conflict, why))
			return
		}
		reply(api.Reply{Status: 200, Body: o})
	case "explain":
		lines, ok := m.Explain(now, request.Name)
		if !ok {
			reply(api.Refuse(api.NotFound, "no such session"))
			return
		}
		reply(api.Reply{Status: 200, Body: struct {
			ID  string   `json:"name_id"`
			Why []string `json:"why"`
		}{request.Name, lines}})
	default:
		if request.Name == "" {
			reply(api.Reply{Status: 200, Body: m.List(now, request.Query["user"], request.Query["team"])})
			return
		}
		v, ok := m.Show(now, request.Name)
		if !ok {
			reply(api.Refuse(api.NotFound, "no such session"))
			return
		}
		reply(api.Reply{Status: 200, Body: v})
	}
}
