package controller

import (
	"log/slog"
	"time"

	"github.com/harewalk/harewalk/internal/api"
	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/fleet"
	"github.com/harewalk/harewalk/internal/membership"
)

// report answers a worker.
func (c *Controller) report(now time.Duration, heartbeat *fleet.Heartbeat, reply func(api.Reply)) {
	no := api.Reply{Status: 503, Body: struct{}{}}
	if c.membership.State() == membership.Leading && c.term.fleet != nil {
		if !c.membership.HasAuthority(now) || !c.term.fleet.PlansLoaded() {
			reply(no)
			return
		}
		a, v := c.term.fleet.HandleHeartbeat(now, heartbeat)
		switch v {
		case fleet.Accepted:
			reply(api.Reply{Status: 200, Body: a})
		case fleet.Deposed:
			reply(no)
			slog.Info("a worker has seen a higher token", "machine", heartbeat.Machine, "token", heartbeat.Token, "term", c.membership.Term())
		default:
			reply(no)
		}
		return
	}
	c.foreignHeartbeats.count(now, config.Seconds(c.settings.Params.Workers.ReportS), 1)
	type keeper struct {
		Keeper string `json:"keeper,omitempty"`
	}
	reply(api.Reply{Status: 421, Body: keeper{c.keeper(now, heartbeat.Machine)}})
}

// keeper is whom a worker is sent to, "" if that isn't known: the owner by the followed keys, unless they are older than a
// hold lives; then whoever says itself that it leads. Two controllers that were cut off with their workers would
// otherwise send them to one that has long lost the lead.
func (c *Controller) keeper(now time.Duration, machine string) string {
	if now-c.watchCache.FreshAt() <= c.settings.ControllerLeaseTTL() {
		return c.membership.Owner(machine)
	}
	name, term := "", uint64(0)
	for _, h := range c.peers.status {
		if h.Leading && h.Term > term && now-h.at < peerStatusTTL {
			name, term = h.Node, h.Term
		}
	}
	return name
}
