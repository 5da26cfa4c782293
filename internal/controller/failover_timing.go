package controller

import (
	"log/slog"
	"syscall"
	"time"

	"github.com/harewalk/harewalk/internal/api"
	"github.com/harewalk/harewalk/internal/fleet"
	"github.com/harewalk/harewalk/internal/membership"
)

// failoverTiming is the state of a series of log lines, one a second, after the controller started or the leader
// changed. The lines count the responses to users and workers, processor time, requests and writes. The service is at
// its worst in these seconds, and mean values don't show them.
type failoverTiming struct {
	startedAt time.Duration
	logUntil  time.Duration
	nextLogAt time.Duration
	term      uint64
	previous  processCounters // counters at the last log line, or at the start of the series
}

// failoverLogDuration is the length of a series of log lines.
const failoverLogDuration = 20 * time.Second

// restart begins a new series of log lines. startedAt is at least 1, since 0 means that there was no series yet.
func (t *failoverTiming) restart(now time.Duration, term uint64, counters processCounters) {
	t.term = term
	t.startedAt = max(1, now)
	t.logUntil = now + failoverLogDuration
	t.nextLogAt = now + time.Second
	t.previous = counters
}

// processCounters holds totals since the start of the process.
type processCounters struct {
	api.ResponseCounts
	stateRequests uint64
	writes        uint64 // the part of stateRequests that are writes
	cpu           time.Duration
}

// readCounters returns the current totals.
func (c *Controller) readCounters() processCounters {
	counters := processCounters{ResponseCounts: c.responses.Read()}
	counters.stateRequests, counters.writes = c.store.RequestCounts()
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) == nil {
		counters.cpu = time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	}
	return counters
}

// logFailoverTiming logs the counts of the last second during a series of log lines. A change of the leader's term
// begins a new series.
func (c *Controller) logFailoverTiming(now time.Duration) {
	timing := &c.failoverTiming
	if term := c.membership.Leader().Term; term != timing.term || timing.startedAt == 0 {
		timing.restart(now, term, c.readCounters())
		return
	}
	if now < timing.nextLogAt || now >= timing.logUntil {
		return
	}
	timing.nextLogAt += time.Second
	counters, previous := c.readCounters(), timing.previous
	timing.previous = counters
	isLeader := c.isLeader()
	ready, registered := 0, 0
	if isLeader {
		ready, registered = c.countReadyMachines()
	}
	slog.Info("failover timing",
		"after_s", (now - timing.startedAt).Round(100*time.Millisecond).Seconds(),
		"term", timing.term,
		"is_leader", isLeader,
		"served", counters.Served-previous.Served,
		"refused_429", counters.TooManyRequests-previous.TooManyRequests,
		"refused_503", counters.ServerErrors-previous.ServerErrors,
		"heartbeats", counters.Heartbeats-previous.Heartbeats,
		"heartbeats_refused", counters.HeartbeatsRefused-previous.HeartbeatsRefused,
		"state_requests", counters.stateRequests-previous.stateRequests,
		"writes", counters.writes-previous.writes,
		"cpu_ms", (counters.cpu - previous.cpu).Milliseconds(),
		"machines_ready", ready,
		"machines_registered", registered,
	)
}

// countReadyMachines returns the number of machines that accept commands, and of those that haven't sent a heartbeat
// in this term yet.
func (c *Controller) countReadyMachines() (ready, registered int) {
	for _, machine := range c.term.fleet.Machines() {
		switch machine.Condition {
		case fleet.Ready, fleet.ReclaimNoticed:
			ready++
		case fleet.Registered:
			registered++
		}
	}
	return ready, registered
}

// isLeader reports whether this controller is the leader and is in a leader term.
func (c *Controller) isLeader() bool {
	return c.term.active() && c.membership.State() == membership.Leading
}
