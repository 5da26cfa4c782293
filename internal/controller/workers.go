package controller

import (
	"log/slog"
	"net/http"
	"time"

	"github.com/harewalk/harewalk/internal/api"
	"github.com/harewalk/harewalk/internal/fleet"
	"github.com/harewalk/harewalk/internal/jobs"
)

// handleHeartbeat answers a worker: with its commands where this controller leads, with 503 where it leads without
// the authority to act, and with 421 and the worker's owner, if that is known, where another controller leads.
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

// ownerOf returns the controller to which a worker is sent, "" if it isn't known: the owner by the followed keys,
// unless they are older than a lease lasts; then the controller that reports the highest term of its own. Two
// controllers that were cut off with their workers would otherwise send them to one that lost the leadership long ago.
func (c *Controller) ownerOf(now time.Duration, machine string) string {
	if now-c.watchCache.FreshAt() <= c.settings.ControllerLeaseTTL() {
		return c.membership.Owner(machine)
	}
	return c.peers.leader(now)
}
