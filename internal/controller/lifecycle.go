package controller

import (
	"log/slog"
	"time"
)

// lifecycleState is a phase of a controller between its start and its planned end.
type lifecycleState uint8

// The lifecycle states and the causes of their transitions:
//
//	serving     -> flushing    the leader is drained: it starts no more tasks and settles its writes in flight
//	serving     -> handingOver a controller that doesn't lead is drained
//	flushing    -> handingOver the writes are settled, or maxFlush has passed: the leader resigns at once
//	handingOver -> ended       users are answered and another controller leads, or maxHandover has passed
//	handingOver -> drained     the same, if operators requested the drain: the process keeps running, idle
//	drained     -> serving     operators undo the drain
//	drained     -> ended       the process is terminated
const (
	serving lifecycleState = iota
	flushing
	handingOver
	ended
	drained
)

// String returns the state's name in logs.
func (s lifecycleState) String() string {
	return [...]string{"serving", "flushing", "handing_over", "ended", "drained"}[s]
}

// Time limits of a drain.
const (
	maxFlush    = time.Second     // maximum time to settle a leader's writes in flight
	maxHandover = 5 * time.Second // maximum time to answer users and wait for another leader
	// minQuiescence is how long no user's request must have been in flight. A load balancer stops sending users after
	// two failed health checks, a second apart.
	minQuiescence = 2 * time.Second
)

// lifecycle is the state of this controller between its start and its planned end. Only transition changes state.
type lifecycle struct {
	state          lifecycleState
	enteredAt      time.Duration
	quiescentSince time.Duration // time since which no user's request has been in flight, while handing over
	runsAfterDrain bool          // operators requested the drain: the process keeps running
	ended          chan struct{} // closed on the transition to ended
}

// isServing reports whether the controller is neither drained nor being drained.
func (l *lifecycle) isServing() bool { return l.state == serving }

// transition changes the state and logs the change. The transition to ended closes the channel.
func (l *lifecycle) transition(now time.Duration, to lifecycleState, cause string) {
	slog.Info("lifecycle state changed", "from", l.state.String(), "to", to.String(), "cause", cause)
	l.state = to
	l.enteredAt = now
	if to == ended {
		close(l.ended)
	}
}

// finishDrain completes a drain. If operators requested the drain, the new state is drained, otherwise ended.
func (l *lifecycle) finishDrain(now time.Duration, cause string) {
	if l.runsAfterDrain {
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

// handleTermination drains the controller before its process ends.
func (c *Controller) handleTermination() {
	c.lifecycle.runsAfterDrain = false
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
	c.lifecycle.runsAfterDrain = false
	c.api.Resume()
	c.membership.Rejoin(now)
	c.lifecycle.transition(now, serving, cause)
}

// handOver releases the leadership, or the lease of a controller that doesn't lead, so that no other controller has
// to wait until the lease expires.
func (c *Controller) handOver(now time.Duration, cause string) {
	c.lifecycle.transition(now, handingOver, cause)
	c.membership.Withdraw(now)
	c.lifecycle.quiescentSince = now
}

// advanceDrain performs the next step of a drain, if one is due.
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
	case now-c.lifecycle.enteredAt > maxFlush:
		c.handOver(now, "a write is still in flight: the next leader reads what is stored")
	}
}

// advanceHandover completes the drain once users are answered and another controller leads, or after maxHandover.
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
	case now-c.lifecycle.enteredAt > maxHandover:
		c.lifecycle.finishDrain(now, "the handover took too long")
	}
}
