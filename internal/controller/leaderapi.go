package controller

import (
	"net/http"
	"time"

	"github.com/harewalk/harewalk/internal/api"
)

// leaderAPI returns the handler of the requests that only the leader can answer.
func (c *Controller) leaderAPI() *api.LeaderAPI {
	return &api.LeaderAPI{
		OperatorToken: c.settings.Operator.Token,
		Handle:        c.handleLeaderRequest,
		Licences:      len(c.licencePools.Pools()) > 0,
		Sessions:      c.settings.Sessions().Enabled,
	}
}

// handleLeaderRequest handles a request that only the leader can answer. A controller that doesn't lead responds with
// 421 and the leader's address. While no leader may act, the response is 503.
func (c *Controller) handleLeaderRequest(now time.Duration, request api.LeaderRequest, reply func(api.Reply)) {
	isRolloutStuck := !c.rollout.Compatible() || c.membership.Leader().Node == ""
	switch {
	case request.Resource == api.ResourceRollout && request.Verb == api.VerbShow && isRolloutStuck:
		c.replyWithRollout(now, reply) // this controller's view: it may show why the rollout is stuck
	case !c.isLeader():
		reply(c.refuseNotLeader())
	case !c.membership.HasAuthority(now) || !c.term.loaded():
		reply(api.Refuse(api.Unavailable, "the leader has no authority to act now"))
	default:
		c.dispatchLeaderRequest(now, request, reply)
	}
}

// refuseNotLeader returns the response of a controller that doesn't lead.
func (c *Controller) refuseNotLeader() api.Reply {
	leader := c.membership.Leader()
	if leader.Node == "" {
		return api.Refuse(api.Unavailable, "no controller leads")
	}
	return api.Reply{
		Status: http.StatusMisdirectedRequest,
		Body:   notLeaderBody{Error: "only the leader can answer", Leader: leader.Public, LeaderTLS: leader.TLSAddr},
	}
}

// dispatchLeaderRequest passes a request to the handler of its resource.
func (c *Controller) dispatchLeaderRequest(now time.Duration, request api.LeaderRequest, reply func(api.Reply)) {
	switch request.Resource {
	case api.ResourceRollout:
		c.handleRolloutRequest(now, request, reply)
	case api.ResourceZones:
		c.handleZonesRequest(now, request, reply)
	case api.ResourcePendingReasons:
		c.handlePendingReasonsRequest(now, request, reply)
	case api.ResourceEvents:
		c.handleEventsRequest(now, request, reply)
	case api.ResourceJobs:
		c.handleJobListRequest(now, request, reply)
	case api.ResourceAdmin:
		c.handleAdminRequest(now, request, reply)
	case api.ResourceLicences:
		c.handleLicenceRequest(now, request, reply)
	default: // api.ResourceSessions
		c.handleSessionRequest(now, request, reply)
	}
}
