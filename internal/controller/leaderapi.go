package controller

import (
	"net/http"
	"time"

	"github.com/harewalk/harewalk/internal/api"
)

// leaderCalls returns the requests that only the leader can answer.
func (c *Controller) leaderCalls() *api.LeaderAPI {
	return &api.LeaderAPI{
		Token:    c.settings.Operator.Token,
		Handle:   c.leaderCall,
		Licences: len(c.licencePools.Pools()) > 0,
		Sessions: c.settings.Sessions().Enabled,
	}
}

// leaderCall answers such a request, or with 421 and the leader's address, or with 503 while there is no leader that
// may act.
func (c *Controller) leaderCall(now time.Duration, request api.LeaderRequest, reply func(api.Reply)) {
	isRolloutStuck := !c.rollout.Compatible() || c.membership.Leader().Node == ""
	switch {
	case request.Resource == api.ResourceRollout && request.Verb == api.VerbShow && isRolloutStuck:
		c.rolloutShow(now, reply) // this controller's own view: it may show what is in the way
	case !c.isLeader():
		reply(c.refuseNotLeader())
	case !c.membership.HasAuthority(now) || !c.term.loaded():
		reply(api.Refuse(api.Unavailable, "the leader may not act now"))
	default:
		c.dispatchLeaderCall(now, request, reply)
	}
}

// refuseNotLeader returns the answer of a controller that doesn't lead.
func (c *Controller) refuseNotLeader() api.Reply {
	leader := c.membership.Leader()
	if leader.Node == "" {
		return api.Refuse(api.Unavailable, "no controller leads")
	}
	return api.Reply{
		Status: http.StatusMisdirectedRequest,
		Body:   notLeaderBody{Error: "only the leader knows", Leader: leader.Public, LeaderTLS: leader.Secure},
	}
}

// dispatchLeaderCall answers a request that this controller may answer, by its resource.
func (c *Controller) dispatchLeaderCall(now time.Duration, request api.LeaderRequest, reply func(api.Reply)) {
	switch request.Resource {
	case api.ResourceRollout:
		c.rolloutCall(now, request, reply)
	case api.ResourceZones:
		c.zoneCall(now, request, reply)
	case api.ResourcePendingReasons:
		c.pendingReasonsCall(now, request, reply)
	case api.ResourceEvents:
		c.eventsCall(now, request, reply)
	case api.ResourceJobs:
		c.listCall(now, request, reply)
	case api.ResourceAdmin:
		c.adminCall(now, request, reply)
	case api.ResourceLicences:
		c.licenceCall(now, request, reply)
	default: // api.ResourceSessions
		c.sessionCall(now, request, reply)
	}
}
