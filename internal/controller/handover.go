package controller

// When a leader hands the lead on though nothing takes it: it hears no worker, or what it knows is too old to act on.

import (
	"time"

	"github.com/harewalk/harewalk/internal/config"
)

// cutOff hands the lead on when no worker gets through to us although there must be some: at once where others
// hear many of them (on both incidents of the ops deployments nothing started for 6 to 12 s, of which this takes 3 to 5), a
// report later where another controller hears any, and otherwise only when their leases have run out. A leader that gave up before, with
// every machine gone, left the next one to count the leases anew: they never ran out, and nothing was rented.
func (c *Controller) cutOff(now time.Duration) {
	limit := config.Seconds(2*c.settings.Params.Workers.ReportS + 4)
	silent := min(now-c.term.fleet.LastHeartbeat, now-c.term.authoritySince)
	if silent < soonest(c.settings.Params.Workers.ReportS) {
		return
	}
	there, heard := 0, c.othersHear(now)
	for _, machine := range c.term.fleet.Machines() {
		if machine.Condition.ExpectsHeartbeats() {
			there++
		}
	}
	switch {
	case there == 0:
	case 4*heard > there:
		c.membership.Resign(now, "workers ask others")
	case silent >= limit && (heard > 0 || silent >= c.settings.Lease()+2*limit):
		c.membership.Resign(now, "no worker is heard")
	}
}

// blind tells that the followed keys have been too old to act on for a while, though the service answers and the hold
// is renewed: a leader whose watches are lost would keep everybody else from leading, and act for nobody.
func (c *Controller) blind(now time.Duration) bool {
	return now-c.watchCache.FreshAt() > c.settings.StalenessBound()+c.settings.ControllerLeaseTTL() && now-c.store.LastSuccess() < time.Second
}

// soonest is how long nobody must have been heard before a leader hands on because many workers ask others: for
// each of them a report was due and the next one nearly.
func soonest(reportS float64) time.Duration { return config.Seconds(1.25*reportS + 2) }

// othersHear counts the reports that other controllers have heard lately.
func (c *Controller) othersHear(now time.Duration) (n int) {
	for _, h := range c.peers.status {
		if now-h.at < peerStatusTTL {
			n += int(h.Workers)
		}
	}
	return n
}

// foreignHeartbeats counts the reports that reached this controller though another leads: workers that seek their owner.
type foreignHeartbeats struct {
	at        time.Duration // the present stretch began
	now, last uint32        // in it, and in the one before
}

// count adds n reports and tells how many there were in this stretch and the one before.
func (s *foreignHeartbeats) count(now, stretch time.Duration, n uint32) uint32 {
	if now-s.at >= stretch {
		if s.last = s.now; now-s.at >= 2*stretch {
			s.last = 0
		}
		s.at, s.now = now, 0
	}
	s.now += n
	return s.now + s.last
}
