package config

import (
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

// ZoneSettings sets the times for zones that return after they were lost, in HCL: zones { ... }.
type ZoneSettings struct {
	// ReturnGraceS is how long machines without heartbeats are kept after their zone has returned, in seconds; 0 means
	// twice silent_s.
	ReturnGraceS float64 `hcl:"patience_s,optional" validate:"gte=0"`
	// ProbationS is how long a returned zone has to stay reachable before it counts as healthy, in seconds. The time
	// doubles with each flap, up to maxProbation. 0 means two heartbeat intervals.
	ProbationS float64 `hcl:"prove_s,optional" validate:"gte=0"`
	// FlapDecayTimeS is the healthy time after which the number of flaps decreases by one, in seconds; 0 means ten
	// times lease_s.
	FlapDecayTimeS float64 `hcl:"calm_s,optional" validate:"gte=0"`
}

// Zones holds the derived times for zone health, as the fields of zones.Config with the same names.
type Zones struct {
	ReturnGrace   time.Duration
	ProbationTime time.Duration
	FlapDecayTime time.Duration
	MaxProbation  time.Duration
}

// maxProbation bounds how long free capacity in a zone on probation isn't used for waiting work that fits. Even with
// the time that a start takes in addition, no job waits for 90 s while fitting capacity is free.
const maxProbation = 45 * time.Second

// Defaults of ZoneSettings.
const (
	returnGraceTimeouts = 2  // ReturnGrace in multiples of silent_s
	probationHeartbeats = 2  // ProbationTime in multiples of report_s
	flapDecayLeases     = 10 // FlapDecayTime in multiples of lease_s
)

// Zones returns the times for zone health, derived from the operators' settings and the workers' timing.
func (s *Settings) Zones() Zones {
	var operator ZoneSettings
	if s.Operator.Zones != nil {
		operator = *s.Operator.Zones
	}
	workers := s.Params.Workers
	silenceTimeoutS := s.Operator.MachineSilenceTimeoutS
	return Zones{
		ReturnGrace:   durationOr(operator.ReturnGraceS, jobs.Seconds(returnGraceTimeouts*silenceTimeoutS)),
		ProbationTime: durationOr(operator.ProbationS, jobs.Seconds(probationHeartbeats*workers.HeartbeatIntervalS)),
		FlapDecayTime: durationOr(operator.FlapDecayTimeS, jobs.Seconds(flapDecayLeases*workers.LeaseS)),
		MaxProbation:  maxProbation,
	}
}

// durationOr returns a setting in seconds as a duration, or the fallback if the setting is 0, which means not set.
func durationOr(seconds float64, fallback time.Duration) time.Duration {
	if seconds == 0 {
		return fallback
	}
	return jobs.Seconds(seconds)
}
