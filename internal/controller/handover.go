package controller

import (
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

// This file decides when a leader resigns although no other controller took the leadership: no worker reaches it, or
// its watched keys are too old to act on.

// staleCacheAnswerAge is the maximum age of the state service's last answer at which a stale cache means lost
// watches. If the last answer is older, the service has an outage.
const staleCacheAnswerAge = time.Second

// Timeouts of a leader that receives no heartbeats: a number of heartbeat intervals plus a margin in seconds. After
// the short timeout the leader resigns if other controllers receive many heartbeats, after the long one if they
// receive any.
const (
	shortTimeoutIntervals = 1.25
	shortTimeoutMarginS   = 2
	longTimeoutIntervals  = 2
	longTimeoutMarginS    = 4
)

// manyHeartbeatsDivisor sets the fraction of the expected heartbeats, a quarter, above which other controllers
// receive many.
const manyHeartbeatsDivisor = 4

// heartbeatLoss is the input to the decision of a leader without recent heartbeats to resign.
type heartbeatLoss struct {
	sinceLastHeartbeat time.Duration // time since the last heartbeat or, if later, the start of authority
	heartbeatInterval  float64       // seconds between a worker's heartbeats
	lease              time.Duration // duration of a worker's lease
	expectedHeartbeats int           // number of machines that should send heartbeats
	peerHeartbeats     int           // number of heartbeats that other controllers received recently
}

// resignCause returns the reason why the leader should resign, "" if it should not. If other controllers receive many
// of the heartbeats, it resigns at once; if they receive any, after the long timeout; otherwise only when the
// workers' leases have expired. If every machine is gone and the leader resigned earlier, the next leader would count
// the leases from the beginning: they would never expire, and no machine would be rented.
func (l heartbeatLoss) resignCause() string {
	longTimeout := jobs.Seconds(longTimeoutIntervals*l.heartbeatInterval + longTimeoutMarginS)
	switch {
	case l.expectedHeartbeats == 0:
		return ""
	case manyHeartbeatsDivisor*l.peerHeartbeats > l.expectedHeartbeats:
		return "workers reach other controllers"
	case l.sinceLastHeartbeat < longTimeout:
		return ""
	case l.peerHeartbeats > 0 || l.sinceLastHeartbeat >= l.lease+2*longTimeout:
		return "no worker reaches this leader"
	}
	return ""
}

// shortHeartbeatTimeout returns how long a leader must have received no heartbeat before it resigns because many
// workers reach other controllers. Within this time each worker should have sent one heartbeat and almost a second
// one.
func shortHeartbeatTimeout(heartbeatInterval float64) time.Duration {
	return jobs.Seconds(shortTimeoutIntervals*heartbeatInterval + shortTimeoutMarginS)
}

// resignIfUnreachable resigns if no worker reaches this leader although the fleet has machines that should send
// heartbeats.
func (c *Controller) resignIfUnreachable(now time.Duration) {
	workers := &c.settings.Params.Workers
	sinceLastHeartbeat := min(now-c.term.fleet.LastContactAt, now-c.term.authoritySince)
	if sinceLastHeartbeat < shortHeartbeatTimeout(workers.HeartbeatIntervalS) {
		return
	}
	loss := heartbeatLoss{
		sinceLastHeartbeat: sinceLastHeartbeat,
		heartbeatInterval:  workers.HeartbeatIntervalS,
		lease:              c.settings.WorkerLease(),
		peerHeartbeats:     c.peers.foreignHeartbeats(now),
	}
	for _, machine := range c.term.fleet.Machines() {
		if machine.Condition.ExpectsHeartbeats() {
			loss.expectedHeartbeats++
		}
	}
	if cause := loss.resignCause(); cause != "" {
		c.membership.Resign(now, cause)
	}
}

// cacheTooStale reports whether the watched keys have been too old to act on for longer than a controller's lease,
// although the state service answers. A leader that has lost its watches but renews its lease would neither act nor
// let another controller lead.
func (c *Controller) cacheTooStale(now time.Duration) bool {
	maxAge := c.settings.StalenessBound() + c.settings.ControllerLeaseTTL()
	isStale := now-c.watchCache.FreshAt() > maxAge
	return isStale && now-c.store.LastSuccess() < staleCacheAnswerAge
}

// foreignHeartbeats counts the heartbeats that this controller receives while another one leads. They come from
// workers that are searching for their owner. The counts are for windows of equal length.
type foreignHeartbeats struct {
	windowStart time.Duration
	current     uint32 // heartbeats in the current window
	previous    uint32 // heartbeats in the previous window
}

// add adds n heartbeats and returns the total of the current window and the one before.
func (h *foreignHeartbeats) add(now, window time.Duration, n uint32) uint32 {
	if age := now - h.windowStart; age >= window {
		h.previous = h.current
		if age >= 2*window {
			h.previous = 0
		}
		h.windowStart = now
		h.current = 0
	}
	h.current += n
	return h.current + h.previous
}
