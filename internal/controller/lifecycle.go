package controller

import (
	"log/slog"
	"time"
)

// lifecycleState is a phase of a controller between its start and a planned end.
type lifecycleState uint8

// The states of a controller's life, and what leads from one to the next:
//
//	serving     -> flushing    drain while it leads: no new starts, writes in flight are settled
//	serving     -> handingOver drain while another leads
//	flushing    -> handingOver its writes are settled, or took too long: it resigns at once
//	handingOver -> ended       its users are answered and another leads, or it took too long
//	handingOver -> drained     the same, where operators drained it: the process goes on and does nothing
//	drained     -> serving     operators undo the drain
//	drained     -> ended       the process is terminated
const (
	serving lifecycleState = iota
	flushing
	handingOver
	ended
	drained
)

// String returns the state as it is logged.
func (s lifecycleState) String() string {
	return [...]string{"serving", "flushing", "handing_over", "ended", "drained"}[s]
}

// Bounds of a drain.
const (
	maxFlush    = time.Second     // for a leader's writes in flight
	maxHandover = 5 * time.Second // for users' answers, and until another leads
	// minQuiescence is how long nothing must have been in flight: a load balancer takes two failed health checks, a
	// second apart, to stop sending users.
	minQuiescence = 2 * time.Second
)

// lifecycle is this controller's phase between its start and a planned end. Only transition changes state.
type lifecycle struct {
	state            lifecycleState
	since            time.Duration
	quiescentSince   time.Duration // since when nothing has been in flight while handing over
	staysWhenDrained bool          // drained by operators: the process stays instead of ending
	ended            chan struct{} // closed on the transition to ended
}

// isServing reports whether the controller is in full service.
func (l *lifecycle) isServing() bool { return l.state == serving }

// transition changes the state.
func (l *lifecycle) transition(now time.Duration, to lifecycleState, cause string) {
	slog.Info("lifecycle state changed", "from", l.state.String(), "to", to.String(), "cause", cause)
	l.state = to
	l.since = now
	if to == ended {
		close(l.ended)
	}
}

// finishDrain ends a drain: the controller ends, or stays where operators drained it.
func (l *lifecycle) finishDrain(now time.Duration, cause string) {
	if l.staysWhenDrained {
		l.transition(now, drained, cause)
		return
	}
	l.transition(now, ended, cause)
}

// Drain takes the controller out of service: it accepts no new submissions, fails its health check, hands its
// leadership over instead of letting its lease expire, and answers the requests it has accepted. The returned channel
// is closed when the process may end, which is within a few seconds.
func (c *Controller) Drain() <-chan struct{} {
	c.loop.Post(c.handleTermination)
	return c.lifecycle.ended
}

// handleTermination drains the controller because its process is to end.
func (c *Controller) handleTermination() {
	c.lifecycle.staysWhenDrained = false
	now := c.loop.Now()
	switch c.lifecycle.state {
	case serving:
		c.startDrain(now, "the process is terminated")
	case drained:
		c.lifecycle.transition(now, ended, "the process is terminated, and was drained before")
	}
}

// startDrain begins a drain.
func (c *Controller) startDrain(now time.Duration, cause string) {
	c.api.Drain()
	if !c.term.active() {
		c.handOver(now, cause)
		return
	}
	c.term.fleet.StopStarting()
	c.lifecycle.transition(now, flushing, cause)
}

// undoDrain puts a drained controller back into service.
func (c *Controller) undoDrain(now time.Duration, cause string) {
	c.lifecycle.staysWhenDrained = false
	c.api.Resume()
	c.membership.Rejoin(now)
	c.lifecycle.transition(now, serving, cause)
}

// handOver gives up the leadership, or the lease of a controller that doesn't lead, so that no other controller waits
// for it.
func (c *Controller) handOver(now time.Duration, cause string) {
	c.lifecycle.transition(now, handingOver, cause)
	c.membership.Withdraw(now)
	c.lifecycle.quiescentSince = now
}

// advanceDrain takes the next step of a drain, if one is due.
func (c *Controller) advanceDrain(now time.Duration) {
	switch c.lifecycle.state {
	case flushing:
		c.advanceFlush(now)
	case handingOver:
		c.advanceHandover(now)
	}
}

// advanceFlush hands over once no write is in flight, or after maxFlush.
func (c *Controller) advanceFlush(now time.Duration) {
	switch {
	case !c.term.active():
		c.handOver(now, "the leadership is lost")
	case !c.term.fleet.WriteInFlight():
		c.handOver(now, "all writes are settled")
	case now-c.lifecycle.since > maxFlush:
		c.handOver(now, "a write is still in flight: the next leader reads what is stored")
	}
}

// advanceHandover finishes the drain once users are answered and another controller leads, or after maxHandover.
func (c *Controller) advanceHandover(now time.Duration) {
	if c.api.Busy() {
		c.lifecycle.quiescentSince = now
	}
	leader := c.membership.Leader().Node
	anotherLeads := leader != "" && leader != c.settings.Node
	isQuiescent := now-c.lifecycle.quiescentSince > minQuiescence
	switch {
	case isQuiescent && (anotherLeads || len(c.settings.Peers) == 0):
		c.lifecycle.finishDrain(now, "all requests are answered and another controller leads")
	case now-c.lifecycle.since > maxHandover:
		c.lifecycle.finishDrain(now, "the handover took too long")
	}
}
