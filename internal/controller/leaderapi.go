package controller

import (
	"time"

	"github.com/harewalk/harewalk/internal/api"
	"github.com/harewalk/harewalk/internal/membership"
)

// leaderCalls are the requests that only the leader can answer.
func (c *Controller) leaderCalls() *api.LeaderAPI {
	return &api.LeaderAPI{Token: c.settings.Operator.Token, Answer: c.leaderCall, Licences: len(c.licencePools.Pools()) > 0, Sessions: c.settings.Sessions().Enabled}
}

// leaderCall answers such a request, or says who leads.
func (c *Controller) leaderCall(now time.Duration, request api.LeaderRequest, reply func(api.Reply)) {
	switch {
	case request.Resource == "rollout" && request.Verb == "show" && (!c.rollout.Compatible() || c.membership.Leader().Node == ""):
		c.rolloutShow(now, reply) // what it knows itself: it may be what is in the way
	case c.membership.State() != membership.Leading || c.term.fleet == nil:
		l := c.membership.Leader()
		if l.Node == "" {
			reply(api.Refuse(api.Unavailable, "no controller leads"))
			return
		}
		reply(api.Reply{Status: 421, Body: struct {
			Error  string `json:"error"`
			Leader string `json:"leader"`
			Secure string `json:"leader_tls,omitempty"`
		}{"only the leader knows", l.Public, l.Secure}})
	case !c.membership.HasAuthority(now) || !c.term.fleet.PlansLoaded():
		reply(api.Refuse(api.Unavailable, "the leader may not act now"))
	case request.Resource == "rollout":
		c.rolloutCall(now, request, reply)
	case request.Resource == "zones":
		c.zoneCall(now, request, reply)
	case request.Resource == "why":
		c.whyCall(now, request, reply)
	case request.Resource == "events":
		c.eventsCall(now, request, reply)
	case request.Resource == "list":
		c.listCall(now, request, reply)
	case request.Resource == "admin":
		c.adminCall(now, request, reply)
	case request.Resource == "licences":
		c.licenceCall(now, request, reply)
	default:
		c.sessionCall(now, request, reply)
	}
}
