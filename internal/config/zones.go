package config

import (
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

// ZoneSettings sets how a lost zone's return is handled, in HCL: zones { ... }.
type ZoneSettings struct {
	// ReturnGraceS is how long machines without heartbeats are kept once their zone returns, in seconds; 0: twice
	// silent_s.
	ReturnGraceS float64 `hcl:"patience_s,optional" validate:"gte=0"`
	// ProbationS is how long a returned zone has to stay reachable before it is healthy, in seconds, doubled with
	// each flap; 0: two heartbeats.
	ProbationS float64 `hcl:"prove_s,optional" validate:"gte=0"`
	// FlapForgivenessS is the healthy time that makes up for one flap, in seconds; 0: ten leases.
	FlapForgivenessS float64 `hcl:"calm_s,optional" validate:"gte=0"`
}

// Zones holds the times of zone health. The fields are those of zones.Config.
type Zones struct {
	ReturnGrace     time.Duration
	ProbationTime   time.Duration
	FlapForgiveness time.Duration
	MaxProbation    time.Duration
}

// maxProbation bounds how long a zone on probation may keep capacity from work that fits. Together with the time that
// a start takes, no job waits 90 s while fitting capacity is free.
const maxProbation = 45 * time.Second

// Defaults of ZoneSettings.
const (
	returnGraceTimeouts  = 2  // times silent_s
	probationHeartbeats  = 2  // times report_s
	flapForgivenessLease = 10 // times lease_s
)

// Zones returns the times of zone health, from the operators' settings and the workers' timing.
func (s *Settings) Zones() Zones {
	var operator ZoneSettings
	if s.Operator.Zones != nil {
		operator = *s.Operator.Zones
	}
	workers := s.Params.Workers
	unheardTimeoutS := s.Operator.MachineUnheardTimeoutS
	return Zones{
		ReturnGrace:     durationOr(operator.ReturnGraceS, jobs.Seconds(returnGraceTimeouts*unheardTimeoutS)),
		ProbationTime:   durationOr(operator.ProbationS, jobs.Seconds(probationHeartbeats*workers.HeartbeatIntervalS)),
		FlapForgiveness: durationOr(operator.FlapForgivenessS, jobs.Seconds(flapForgivenessLease*workers.LeaseS)),
		MaxProbation:    maxProbation,
	}
}

// durationOr returns a setting in seconds as a duration, or the fallback if it is 0, which means that it isn't set.
func durationOr(seconds float64, fallback time.Duration) time.Duration {
	if seconds == 0 {
		return fallback
	}
	return jobs.Seconds(seconds)
}
