package controller

import (
	"log/slog"
	"time"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/fleet"
	"github.com/harewalk/harewalk/internal/intake"
	"github.com/harewalk/harewalk/internal/membership"
)

// report answers a worker.
func (c *Controller) report(now time.Duration, r *fleet.Report, reply func(intake.Reply)) {
	no := intake.Reply{Status: 503, Body: struct{}{}}
	if c.mem.State() == membership.Leading && c.fleet != nil {
		if !c.mem.HasAuthority(now) || !c.fleet.Loaded() {
			reply(no)
			return
		}
		a, v := c.fleet.Report(now, r)
		switch v {
		case fleet.Accept:
			reply(intake.Reply{Status: 200, Body: a})
		case fleet.Deposed:
			reply(no)
			slog.Info("a worker has seen a higher token", "machine", r.Machine, "token", r.Token, "term", c.mem.Term())
		default:
			reply(no)
		}
		return
	}
	c.strays.count(now, config.Seconds(c.s.Params.Workers.ReportS), 1)
	type keeper struct {
		Keeper string `json:"keeper,omitempty"`
	}
	reply(intake.Reply{Status: 421, Body: keeper{c.keeper(now, r.Machine)}})
}

// keeper is whom a worker is sent to, "" if that isn't known: the owner by the followed keys, unless they are older than a
// hold lives; then whoever says itself that it leads. Two controllers that were cut off with their workers would
// otherwise send them to one that has long lost the lead.
func (c *Controller) keeper(now time.Duration, machine string) string {
	if now-c.mir.FreshAt() <= c.s.HoldTTL() {
		return c.mem.Owner(machine)
	}
	name, term := "", uint64(0)
	for _, h := range c.status {
		if h.Leading && h.Term > term && now-h.at < heardFor {
			name, term = h.Node, h.Term
		}
	}
	return name
}
