package config

import (
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

// After a cancellation is confirmed, several delays can keep a task of the job running. The task is gone in time only if
// their sum fits in cancel_s:
//
//	staleness + lease + commands <= cancel_s
//
// staleness is the maximum age of a controller's copy of the jobs with which the controller answers heartbeats with 200:
// the copy lacks later cancellations. lease is how long a worker's tasks run on after the last such response, including
// the drift of the worker's clock. commands is the time for which a command that was sent because of the stale copy may
// be in flight. A worker that hangs, receives nothing or is cut off
// ends its tasks when its lease expires. Every 200 from a controller whose copy has the cancellation carries the stop
// (package fleet). docs/design.md has the argument for each case.
const (
	// clockDriftBound bounds the relative drift between two steady clocks, a controller's and a worker's: twice the
	// 0.05% that PROTOCOL allows for one.
	clockDriftBound = 0.001
	// DirectCommandTimeout is how long a controller waits for the response to a direct command.
	DirectCommandTimeout = 2 * time.Second
	// timingSlack covers the granularity of timers, late detection of expired leases (100 ms), and messages in flight
	// on a busy machine.
	timingSlack = 500 * time.Millisecond
	// leaseTTLsPerStaleness is the staleness bound in controller lease TTLs, if cancel_s allows it. A leader whose copy
	// of the store is older should hand over.
	leaseTTLsPerStaleness = 3
	// controllerTTLsPerWorkerLease is the number of default controller lease TTLs that fit in a worker's lease.
	controllerTTLsPerWorkerLease = 3
	minControllerLeaseTTL        = 2 * time.Second
	maxControllerLeaseTTL        = 6 * time.Second
)

// ControllerLeaseTTL returns the time after which a controller's lease at the state service expires without renewal.
func (s *Settings) ControllerLeaseTTL() time.Duration {
	return time.Duration(s.Operator.ControllerLeaseTTLMS) * time.Millisecond
}

// StalenessBound returns the maximum age of this controller's copy of the jobs with which it answers heartbeats with
// 200.
func (s *Settings) StalenessBound() time.Duration {
	return min(leaseTTLsPerStaleness*s.ControllerLeaseTTL(), s.maxStaleness())
}

// maxStaleness returns the part of cancel_s that remains for the age of the copy of the jobs. It is negative if the
// other delays exceed cancel_s.
func (s *Settings) maxStaleness() time.Duration {
	workers := s.Params.Workers
	leaseWithDriftS := workers.LeaseS * (1 + clockDriftBound)
	remainingS := (workers.CancelS - leaseWithDriftS) * (1 - clockDriftBound)
	return jobs.Seconds(remainingS) - DirectCommandTimeout - timingSlack
}

// defaultControllerLeaseTTL returns the TTL of a controller's lease if operators don't set it. A third of a worker's
// lease leaves time for a failover and a fenced heartbeat before any worker's lease expires. The TTL is also at most
// maxStaleness, since the copy of the jobs must be allowed to be as old as a controller's lease.
func (s *Settings) defaultControllerLeaseTTL() time.Duration {
	ttl := min(
		maxControllerLeaseTTL,
		jobs.Seconds(s.Params.Workers.LeaseS/controllerTTLsPerWorkerLease),
		s.maxStaleness().Truncate(time.Millisecond))
	return max(minControllerLeaseTTL, ttl)
}

// checkTiming returns an error for settings under which a cancelled job's tasks could run for longer than cancel_s.
func (s *Settings) checkTiming() error {
	workers := s.Params.Workers
	maxStaleness := s.maxStaleness()
	if maxStaleness < minControllerLeaseTTL {
		forCommands := DirectCommandTimeout + timingSlack
		neededS := workers.LeaseS*(1+clockDriftBound) +
			(minControllerLeaseTTL+forCommands).Seconds()/(1-clockDriftBound)
		return settingError("params.workers.cancel_s",
			"%g s is too short for a worker lease of %g s (\"lease_s\"), a controller lease of at least %v "+
				"and %v for commands in flight: at least %.1f s is needed",
			workers.CancelS, workers.LeaseS, minControllerLeaseTTL, forCommands, neededS)
	}
	if s.ControllerLeaseTTL() > maxStaleness {
		return settingError("hold_ttl_ms",
			"a controller lease of %v is too long for \"cancel_s\" %g and \"lease_s\" %g: at most %d ms is allowed",
			s.ControllerLeaseTTL(), workers.CancelS, workers.LeaseS, maxStaleness.Milliseconds())
	}
	return nil
}
