package config

import (
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

// A cancelled job's tasks are gone in time only if everything that can keep one running after the cancellation was
// confirmed fits in cancel_s:
//
//	staleness + lease + commands <= cancel_s
//
// staleness is how old a controller's copy of the jobs may be while it still answers heartbeats with 200: later
// cancellations are missing in it. lease is how long a worker's tasks run on after the last of those responses, the
// drift of its clock included. commands is how long a direct launch that was sent on the stale copy may be in flight
// before the machine's fencing token is raised against it. A worker that hangs, receives nothing or is cut off ends
// its tasks with its lease; every 200 of a controller that has the cancellation carries the stop (package fleet).
// docs/design.md has the argument for each case.
const (
	// clockDriftBound bounds the relative drift between two steady clocks, a controller's and a worker's: twice the
	// 0.05% that PROTOCOL allows for one.
	clockDriftBound = 0.001
	// DirectCommandTimeout is how long a controller waits for the response to a direct command.
	DirectCommandTimeout = 2 * time.Second
	// timingSlack covers the granularity of timers, leases that are seen to expire late (100 ms), and messages in
	// flight on a busy machine.
	timingSlack = 500 * time.Millisecond
	// leaseTTLsPerStaleness is the staleness bound in controller lease TTLs, where cancel_s allows it: a leader that
	// follows the store more slowly should hand over.
	leaseTTLsPerStaleness = 3
	// controllerTTLsPerWorkerLease is how many default controller lease TTLs fit in a worker's lease.
	controllerTTLsPerWorkerLease = 3
	minControllerLeaseTTL        = 2 * time.Second
	maxControllerLeaseTTL        = 6 * time.Second
)

// ControllerLeaseTTL returns how long a controller's lease at the state service lives without renewal.
func (s *Settings) ControllerLeaseTTL() time.Duration {
	return time.Duration(s.Operator.ControllerLeaseTTLMS) * time.Millisecond
}

// StalenessBound returns how old the copy of the jobs may be on which this controller answers heartbeats with 200.
func (s *Settings) StalenessBound() time.Duration {
	return min(leaseTTLsPerStaleness*s.ControllerLeaseTTL(), s.maxStaleness())
}

// maxStaleness returns how old a copy of the jobs may be for cancel_s; it is negative where nothing is left for it.
func (s *Settings) maxStaleness() time.Duration {
	workers := s.Params.Workers
	leaseWithDriftS := workers.LeaseS * (1 + clockDriftBound)
	remainingS := (workers.CancelS - leaseWithDriftS) * (1 - clockDriftBound)
	return jobs.Seconds(remainingS) - DirectCommandTimeout - timingSlack
}

// defaultControllerLeaseTTL returns the TTL of a controller's lease where operators don't set it: a third of a
// worker's lease leaves time for a failover and a fenced heartbeat before any worker's lease expires, and the copy of
// the jobs must be allowed to be as old as a controller's lease.
func (s *Settings) defaultControllerLeaseTTL() time.Duration {
	ttl := min(
		maxControllerLeaseTTL,
		jobs.Seconds(s.Params.Workers.LeaseS/controllerTTLsPerWorkerLease),
		s.maxStaleness().Truncate(time.Millisecond))
	return max(minControllerLeaseTTL, ttl)
}

// checkTiming refuses settings under which a cancelled job's tasks could outlive cancel_s.
func (s *Settings) checkTiming() error {
	workers := s.Params.Workers
	maxStaleness := s.maxStaleness()
	if maxStaleness < minControllerLeaseTTL {
		forCommands := DirectCommandTimeout + timingSlack
		neededS := workers.LeaseS*(1+clockDriftBound) +
			(minControllerLeaseTTL+forCommands).Seconds()/(1-clockDriftBound)
		return settingError("params.workers.cancel_s",
			"%g s leave no room for a lease of %g s (\"lease_s\"): "+
				"a hold of at least %v and %v for commands under way come on top, so at least %.1f s are needed",
			workers.CancelS, workers.LeaseS, minControllerLeaseTTL, forCommands, neededS)
	}
	if s.ControllerLeaseTTL() > maxStaleness {
		return settingError("hold_ttl_ms",
			"a hold of %v is too long for \"cancel_s\" %g and \"lease_s\" %g: at most %d",
			s.ControllerLeaseTTL(), workers.CancelS, workers.LeaseS, maxStaleness.Milliseconds())
	}
	return nil
}
