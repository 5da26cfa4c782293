package controller

import (
	"log/slog"
	"net/http"
	"time"

	"github.com/harewalk/harewalk/internal/api"
	"github.com/harewalk/harewalk/internal/fleet"
	"github.com/harewalk/harewalk/internal/jobs"
)

// handleHeartbeat handles a worker's heartbeat. A leader responds with the worker's commands, or with 503 if it has
// no authority to act. A controller that doesn't lead responds with 421 and the worker's owner, if the owner is
// known.
func (c *Controller) handleHeartbeat(now time.Duration, heartbeat *fleet.Heartbeat, reply func(api.Reply)) {
	if !c.isLeader() {
		c.foreignHeartbeats.add(now, jobs.Seconds(c.settings.Params.Workers.HeartbeatIntervalS), 1)
		owner := notOwnerBody{c.ownerOf(now, heartbeat.Machine)}
		reply(api.Reply{Status: http.StatusMisdirectedRequest, Body: owner})
		return
	}
	unavailable := api.Reply{Status: http.StatusServiceUnavailable, Body: struct{}{}}
	if !c.membership.HasAuthority(now) || !c.term.loaded() {
		reply(unavailable)
		return
	}
	response, outcome := c.term.fleet.HandleHeartbeat(now, heartbeat)
	if outcome == fleet.Accepted {
		reply(api.Reply{Status: http.StatusOK, Body: response.Wire()})
		return
	}
	reply(unavailable)
	if outcome == fleet.Deposed {
		slog.Info("worker reports a higher fencing token",
			"machine", heartbeat.Machine,
			"token", heartbeat.Token,
			"term", c.membership.Term(),
		)
	}
}

// ownerOf returns the controller to which a worker is redirected, "" if unknown. It is the owner by the watched
// keys, unless they are older than a controller's lease lasts: then it is the controller that reports the highest
// term. Otherwise two controllers that were cut off together with their workers would redirect them to a controller
// that lost the leadership long ago.
func (c *Controller) ownerOf(now time.Duration, machine string) string {
	if now-c.watchCache.FreshAt() <= c.settings.ControllerLeaseTTL() {
		return c.membership.Owner(machine)
	}
	return c.peers.leader(now)
}
