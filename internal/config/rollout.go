package config

import (
	"time"

	"github.com/harewalk/harewalk/internal/rollout"
)

// RolloutSettings sets how the cluster's version is upgraded, in HCL: rollout { ... }.
type RolloutSettings struct {
	// Finish is "auto", which upgrades once all controllers have been healthy for the soak time, or "operator", which
	// upgrades only on `harewalk rollout finish`.
	Finish string `hcl:"finish,optional" validate:"omitempty,oneof=auto operator"`
	// SoakS is how long all controllers have to be healthy with the new release first, in seconds; 0: a minute.
	SoakS float64 `hcl:"soak_s,optional" validate:"gte=0,lte=1000000"`
}

// finishByOperator is the value of RolloutSettings.Finish that leaves the upgrade to an operator.
const finishByOperator = "operator"

// Rollout holds how the cluster's version is upgraded.
type Rollout struct {
	Auto bool
	Soak time.Duration
	// SimulatedLevel and SimulatedRelease make a simulated controller one of an earlier release; 0 and "" for this
	// release.
	SimulatedLevel   rollout.Level
	SimulatedRelease string
}

// defaultSoak is how long all controllers have to be healthy before an automatic upgrade.
const defaultSoak = time.Minute

// Rollout returns how the cluster's version is upgraded: automatically, unless the operators' settings leave it to an
// operator.
func (s *Settings) Rollout() Rollout {
	derived := Rollout{
		Auto:             true,
		Soak:             defaultSoak,
		SimulatedLevel:   s.simulatedLevel,
		SimulatedRelease: s.simulatedRelease,
	}
	if operator := s.Operator.Rollout; operator != nil {
		derived.Auto = operator.Finish != finishByOperator
		derived.Soak = durationOr(operator.SoakS, defaultSoak)
	}
	return derived
}

// SimulateRelease makes the controller of these settings one of an earlier release, in a simulation.
func (s *Settings) SimulateRelease(level rollout.Level, release string) {
	s.simulatedLevel = level
	s.simulatedRelease = release
}
