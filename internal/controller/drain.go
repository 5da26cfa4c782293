package controller

import (
	"log/slog"
	"time"
)

// LifecycleState is where a controller stands between its start and a planned end.
type LifecycleState uint8

// The states of a life.
//
//	Serving   -> Flushing  told to drain while it leads: no new starts, open writes are settled
//	Serving   -> Leaving   told to drain while another leads
//	Flushing  -> Leaving   its writes are settled, or took too long: the lead is given up at once
//	Leaving   -> Ended     what was asked is answered and another leads, or it takes too long
//	Leaving   -> Parked    the same, where operators want it drained: it stays, and does nothing
//	Parked    -> Serving   they want it back
//	Parked    -> Ended     it is told to end
const (
	Serving LifecycleState = iota
	Flushing
	HandingOver
	Ended
	Drained
)

func (l LifecycleState) String() string {
	return [...]string{"serving", "flushing", "leaving", "ended", "parked"}[l]
}

// Bounds of a drain.
const (
	maxFlush    = time.Second     // for open writes of a leader
	maxHandover = 5 * time.Second // for answers, and until another leads
	// minQuiescence is how long nothing must have been under way: a load balancer takes two failed
	// health checks, a second apart, to stop sending users.
	minQuiescence = 2 * time.Second
)

// Drain takes the controller out of service: it takes no new submissions, fails its health check,
// hands the lead over instead of letting its hold run out, and answers what it was asked. The channel
// is closed when it may end, which is within a few seconds.
func (c *Controller) Drain() <-chan struct{} {
	c.loop.Post(c.handleTermination)
	return c.lifecycle.ended
}

func (c *Controller) handleTermination() {
	c.lifecycle.staysWhenDrained = false
	switch now := c.loop.Now(); c.lifecycle.state {
	case Serving:
		c.startDrain(now, "told to drain")
	case Drained:
		c.turn(now, Ended, "it was drained before")
	}
}

func (c *Controller) startDrain(now time.Duration, cause string) {
	c.api.Drain()
	if c.term.fleet == nil {
		c.handOver(now, cause)
		return
	}
	c.term.fleet.StopStarting()
	c.turn(now, Flushing, cause)
}

// finishDrain ends a drain, or leaves the controller where operators want it.
func (c *Controller) finishDrain(now time.Duration, cause string) {
	if c.lifecycle.staysWhenDrained {
		c.turn(now, Drained, cause)
		return
	}
	c.turn(now, Ended, cause)
}

// turn is the only place where the life's state changes.
func (c *Controller) turn(now time.Duration, to LifecycleState, cause string) {
	slog.Info("drain", "from", c.lifecycle.state.String(), "to", to.String(), "cause", cause)
	c.lifecycle.state, c.lifecycle.since = to, now
	if to == Ended {
		close(c.lifecycle.ended)
	}
}

// handOver gives up the lead, or the hold of one that doesn't lead, so that nobody waits for it.
func (c *Controller) handOver(now time.Duration, cause string) {
	c.turn(now, HandingOver, cause)
	c.membership.Withdraw(now)
	c.lifecycle.quiescentSince = now
}

// advanceDrain goes on with a drain.
func (c *Controller) advanceDrain(now time.Duration) {
	switch c.lifecycle.state {
	case Flushing:
		switch {
		case c.term.fleet == nil:
			c.handOver(now, "the lead is lost")
		case !c.term.fleet.WriteInFlight():
			c.handOver(now, "all writes are settled")
		case now-c.lifecycle.since > maxFlush:
			c.handOver(now, "a write is open: the next leader reads what stands")
		}
	case HandingOver:
		if c.api.Busy() {
			c.lifecycle.quiescentSince = now
		}
		led := c.membership.Leader().Node != "" && c.membership.Leader().Node != c.settings.Node
		switch {
		case now-c.lifecycle.quiescentSince > minQuiescence && (led || len(c.settings.Peers) == 0):
			c.finishDrain(now, "all is answered and another leads")
		case now-c.lifecycle.since > maxHandover:
			c.finishDrain(now, "it takes too long")
		}
	}
}
