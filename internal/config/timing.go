package config

import (
	"fmt"
	"time"
)

// A cancelled job's tasks are gone in time only if everything fits that can keep one running after its user was told:
//
//	picture + lease + orders <= cancel_s
//
// picture is how old a controller's copy of the jobs may be while it still answers reports with 200: it doesn't know of
// any cancellation since. lease is what a worker lives on after the last of those, its clock's drift included. orders is
// how long a direct launch that was sent on the old picture may be under way before the machine's token is raised against
// it. What hangs, is deaf or cut off dies with its lease; every 200 of a controller that knows of the cancellation
// carries the stop (package fleet). docs/design.md has the argument for each way.
const (
	// clockDriftBound is by how much two steady clocks may differ (PROTOCOL: 0.05%), twice: ours and the worker's.
	clockDriftBound = 0.001
	// DirectCommandTimeout is how long an answer to a direct command is waited for.
	DirectCommandTimeout = 2 * time.Second
	// timingSlack is for steps of timers, for holds that end late (100 ms) and for what is under way on a busy machine.
	timingSlack = 500 * time.Millisecond
	// leaseTTLsPerStaleness is how many lives of a hold a picture may be old at most, where cancel_s allows it: a lead that
	// follows slower than that is better handed on.
	leaseTTLsPerStaleness = 3
	minControllerLeaseTTL = 2 * time.Second
	maxControllerLeaseTTL = 6 * time.Second
)

// maxStaleness is how old a picture may be for cancel_s; it is negative where there is no room at all.
func (s *Settings) maxStaleness() time.Duration {
	w := s.Params.Workers
	return Seconds((w.CancelS-w.LeaseS*(1+clockDriftBound))*(1-clockDriftBound)) - DirectCommandTimeout - timingSlack
}

// StalenessBound is how old the copy of the jobs may be on which this controller answers reports.
func (s *Settings) StalenessBound() time.Duration {
	return min(leaseTTLsPerStaleness*s.ControllerLeaseTTL(), s.maxStaleness())
}

// defaultControllerLeaseTTL is the life of a hold where operators don't set it: a third of a worker's lease leaves room for a takeover
// and a fenced report before any lease ends, and the picture on which a hold is used must be able to be as old as that.
func (s *Settings) defaultControllerLeaseTTL() time.Duration {
	return max(minControllerLeaseTTL, min(maxControllerLeaseTTL, Seconds(s.Params.Workers.LeaseS/3), s.maxStaleness().Truncate(time.Millisecond)))
}

// checkTiming refuses settings under which a cancelled job's tasks could outlive cancel_s.
func (s *Settings) checkTiming() error {
	w, room := s.Params.Workers, s.maxStaleness()
	if room < minControllerLeaseTTL {
		return fmt.Errorf("setting \"params.workers.cancel_s\": %g s leave no room for a lease of %g s (\"lease_s\"): a hold of at least %v and %v for commands under way come on top, so at least %.1f s are needed",
			w.CancelS, w.LeaseS, minControllerLeaseTTL, DirectCommandTimeout+timingSlack, w.LeaseS*(1+clockDriftBound)+(minControllerLeaseTTL+DirectCommandTimeout+timingSlack).Seconds()/(1-clockDriftBound))
	}
	if s.ControllerLeaseTTL() > room {
		return fmt.Errorf("setting \"hold_ttl_ms\": a hold of %v is too long for \"cancel_s\" %g and \"lease_s\" %g: at most %d",
			s.ControllerLeaseTTL(), w.CancelS, w.LeaseS, room.Milliseconds())
	}
	return nil
}
