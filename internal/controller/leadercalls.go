package controller

import (
	"time"

	"github.com/harewalk/harewalk/internal/intake"
	"github.com/harewalk/harewalk/internal/membership"
)

// leaderCalls are the requests that only the leader can answer.
func (c *Controller) leaderCalls() *intake.Leader {
	return &intake.Leader{Token: c.s.Operator.Token, Answer: c.leaderCall, Licences: len(c.pools.Pools()) > 0, Sessions: c.s.Sessions().On}
}

// leaderCall answers such a request, or says who leads.
func (c *Controller) leaderCall(now time.Duration, q intake.Call, reply func(intake.Reply)) {
	switch {
	case q.What == "rollout" && q.Verb == "show" && (!c.roll.Compatible() || c.mem.Leader().Node == ""):
		c.rolloutShow(now, reply) // what it knows itself: it may be what is in the way
	case c.mem.State() != membership.Leading || c.fleet == nil:
		l := c.mem.Leader()
		if l.Node == "" {
			reply(intake.Refuse(503, "no controller leads"))
			return
		}
		reply(intake.Reply{Status: 421, Body: struct {
			Error  string `json:"error"`
			Leader string `json:"leader"`
			Secure string `json:"leader_tls,omitempty"`
		}{"only the leader knows", l.Public, l.Secure}})
	case !c.mem.HasAuthority(now) || !c.fleet.Loaded():
		reply(intake.Refuse(503, "the leader may not act now"))
	case q.What == "rollout":
		c.rolloutCall(now, q, reply)
	case q.What == "zones":
		c.zoneCall(now, q, reply)
	case q.What == "why":
		c.whyCall(now, q, reply)
	case q.What == "events":
		c.eventsCall(now, q, reply)
	case q.What == "list":
		c.listCall(now, q, reply)
	case q.What == "admin":
		c.adminCall(now, q, reply)
	case q.What == "licences":
		c.licenceCall(now, q, reply)
	default:
		c.sessionCall(now, q, reply)
	}
}
