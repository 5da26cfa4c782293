package controller

import (
	"log/slog"
	"time"
)

// Life is where a controller stands between its start and a planned end.
type Life uint8

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
	Serving Life = iota
	Flushing
	Leaving
	Ended
	Parked
)

func (l Life) String() string {
	return [...]string{"serving", "flushing", "leaving", "ended", "parked"}[l]
}

// Bounds of a drain.
const (
	flushFor = time.Second     // for open writes of a leader
	leaveFor = 5 * time.Second // for answers, and until another leads
	// calmFor is how long nothing must have been under way: a load balancer takes two failed
	// health checks, a second apart, to stop sending users.
	calmFor = 2 * time.Second
)

// Drain takes the controller out of service: it takes no new submissions, fails its health check,
// hands the lead over instead of letting its hold run out, and answers what it was asked. The channel
// is closed when it may end, which is within a few seconds.
func (c *Controller) Drain() <-chan struct{} {
	c.loop.Post(c.startLeaving)
	return c.ended
}

func (c *Controller) startLeaving() {
	c.parks = false
	switch now := c.loop.Now(); c.life {
	case Serving:
		c.startDrain(now, "told to drain")
	case Parked:
		c.turn(now, Ended, "it was drained before")
	}
}

func (c *Controller) startDrain(now time.Duration, cause string) {
	c.in.Drain()
	if c.fleet == nil {
		c.leave(now, cause)
		return
	}
	c.fleet.Hold()
	c.turn(now, Flushing, cause)
}

// over ends a drain, or leaves the controller where operators want it.
func (c *Controller) over(now time.Duration, cause string) {
	if c.parks {
		c.turn(now, Parked, cause)
		return
	}
	c.turn(now, Ended, cause)
}

// turn is the only place where the life's state changes.
func (c *Controller) turn(now time.Duration, to Life, cause string) {
	slog.Info("drain", "from", c.life.String(), "to", to.String(), "cause", cause)
	c.life, c.lifeAt = to, now
	if to == Ended {
		close(c.ended)
	}
}

// leave gives up the lead, or the hold of one that doesn't lead, so that nobody waits for it.
func (c *Controller) leave(now time.Duration, cause string) {
	c.turn(now, Leaving, cause)
	c.mem.Withdraw(now)
	c.calm = now
}

// drain goes on with a drain.
func (c *Controller) drain(now time.Duration) {
	switch c.life {
	case Flushing:
		switch {
		case c.fleet == nil:
			c.leave(now, "the lead is lost")
		case !c.fleet.Writing():
			c.leave(now, "all writes are settled")
		case now-c.lifeAt > flushFor:
			c.leave(now, "a write is open: the next leader reads what stands")
		}
	case Leaving:
		if c.in.Busy() {
			c.calm = now
		}
		led := c.mem.Leader().Node != "" && c.mem.Leader().Node != c.s.Node
		switch {
		case now-c.calm > calmFor && (led || len(c.s.Peers) == 0):
			c.over(now, "all is answered and another leads")
		case now-c.lifeAt > leaveFor:
			c.over(now, "it takes too long")
		}
	}
}
