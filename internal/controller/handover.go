package controller

import (
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

// This file holds why a leader resigns though nothing took the leadership from it: its workers don't reach it, or what
// it follows is too old to act on.

// staleCacheAnswerAge is how recently the state service must have answered for a stale cache to mean lost watches
// rather than an outage.
const staleCacheAnswerAge = time.Second

// Limits of how long no heartbeat reaches a leader: so many intervals between a worker's heartbeats, and so many
// seconds more. Beyond the shorter limit other controllers' heartbeats decide, beyond the longer one the leader's own.
const (
	minSilentIntervals = 1.25
	minSilenceMarginS  = 2
	maxSilentIntervals = 2
	maxSilenceMarginS  = 4
)

// manyReachedDivisor sets the part of the expected heartbeats, a quarter, above which other controllers receive many.
const manyReachedDivisor = 4

// workerSilence is what a leader goes by when no worker's heartbeat has reached it for a while.
type workerSilence struct {
	silentFor         time.Duration // since the last heartbeat, or since authority began
	heartbeatInterval float64       // of workers, in seconds
	lease             time.Duration // of workers
	expected          int           // machines of which heartbeats are expected
	reachedByOthers   int           // heartbeats that other controllers received lately
}

// resignCause returns why the leader should resign, "" if it should not: at once where other controllers receive many
// of the heartbeats, one heartbeat later where they receive any, and otherwise only when the workers' leases have
// expired. A leader that resigned earlier, with every machine gone, would leave the next one to count the leases anew:
// they would never expire, and no machine would be rented.
func (s workerSilence) resignCause() string {
	limit := jobs.Seconds(maxSilentIntervals*s.heartbeatInterval + maxSilenceMarginS)
	switch {
	case s.expected == 0:
		return ""
	case manyReachedDivisor*s.reachedByOthers > s.expected:
		return "workers reach other controllers"
	case s.silentFor < limit:
		return ""
	case s.reachedByOthers > 0 || s.silentFor >= s.lease+2*limit:
		return "no worker reaches this leader"
	}
	return ""
}

// minSilence is how long no heartbeat must have arrived before a leader resigns because many workers reach others: for
// each of them one heartbeat was due and the next one nearly.
func minSilence(heartbeatInterval float64) time.Duration {
	return jobs.Seconds(minSilentIntervals*heartbeatInterval + minSilenceMarginS)
}

// resignIfUnreachable resigns when no worker reaches this leader although there must be some.
func (c *Controller) resignIfUnreachable(now time.Duration) {
	workers := &c.settings.Params.Workers
	silentFor := min(now-c.term.fleet.LastHeartbeat, now-c.term.authoritySince)
	if silentFor < minSilence(workers.HeartbeatIntervalS) {
		return
	}
	silence := workerSilence{
		silentFor:         silentFor,
		heartbeatInterval: workers.HeartbeatIntervalS,
		lease:             c.settings.WorkerLease(),
		reachedByOthers:   c.peers.foreignHeartbeats(now),
	}
	for _, machine := range c.term.fleet.Machines() {
		if machine.Condition.ExpectsHeartbeats() {
			silence.expected++
		}
	}
	if cause := silence.resignCause(); cause != "" {
		c.membership.Resign(now, cause)
	}
}

// cacheTooStale reports whether the followed keys have been too old to act on for a while, though the service answers
// and the lease is renewed: a leader whose watches are lost would keep all others from leading, and not act itself.
func (c *Controller) cacheTooStale(now time.Duration) bool {
	maxAge := c.settings.StalenessBound() + c.settings.ControllerLeaseTTL()
	isStale := now-c.watchCache.FreshAt() > maxAge
	return isStale && now-c.store.LastSuccess() < staleCacheAnswerAge
}

// foreignHeartbeats counts the heartbeats that reached this controller though another leads: of workers that look for
// their owner. It counts in windows of equal length.
type foreignHeartbeats struct {
	windowStart time.Duration
	current     uint32 // in the present window
	previous    uint32 // in the one before
}

// add adds n heartbeats and returns how many there were in this window and the one before.
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
