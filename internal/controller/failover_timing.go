package controller

import (
	"log/slog"
	"syscall"
	"time"

	"github.com/harewalk/harewalk/internal/api"
	"github.com/harewalk/harewalk/internal/fleet"
	"github.com/harewalk/harewalk/internal/membership"
)

// failoverTiming logs a controller's progress, second by second, after it started or the leader changed: what users
// and workers were answered, and where processor time, requests and writes went. Those seconds are the worst of the
// service, and means don't show them.
type failoverTiming struct {
	startedAt time.Duration
	logUntil  time.Duration
	nextLogAt time.Duration
	term      uint64
	previous  processCounters // at the last line, or at the start
}

// failoverLogFor is how long each second is logged.
const failoverLogFor = 20 * time.Second

// restart begins a new series of log lines. A start is never at 0, which means that there was none.
func (t *failoverTiming) restart(now time.Duration, term uint64, counters processCounters) {
	t.term = term
	t.startedAt = max(1, now)
	t.logUntil = now + failoverLogFor
	t.nextLogAt = now + time.Second
	t.previous = counters
}

// processCounters counts since the start of the process.
type processCounters struct {
	api.ResponseCounts
	stateRequests uint64
	writes        uint64 // of those requests
	cpu           time.Duration
}

// readCounters returns the counters as they are now.
func (c *Controller) readCounters() processCounters {
	counters := processCounters{ResponseCounts: c.responses.Read()}
	counters.stateRequests, counters.writes = c.store.Sent()
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) == nil {
		counters.cpu = time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	}
	return counters
}

// logFailoverTiming logs the last second, if it is one of those after a start or a change of the leader.
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

// countReadyMachines counts the machines that take commands, and those whose first heartbeat in this term is awaited.
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

// isLeader reports whether this controller leads and has a term of its own.
func (c *Controller) isLeader() bool {
	return c.term.active() && c.membership.State() == membership.Leading
}
