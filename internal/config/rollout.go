package config

import (
	"time"

	"github.com/harewalk/harewalk/internal/rollout"
)

// RolloutSettings sets how the cluster's version is upgraded, in HCL: rollout { ... }.
type RolloutSettings struct {
	// Finish is "auto", which upgrades once all controllers have been healthy for the soak time, or "operator", which
	// upgrades only on `harewalk rollout finish`. "" means "auto".
	Finish string `hcl:"finish,optional" validate:"omitempty,oneof=auto operator"`
	// SoakS is how long all controllers have to be healthy with the new release before an automatic upgrade, in
	// seconds; 0 means a minute.
	SoakS float64 `hcl:"soak_s,optional" validate:"gte=0,lte=1000000"`
}

// finishByOperator is the value of RolloutSettings.Finish that leaves the upgrade to an operator.
const finishByOperator = "operator"

// Rollout holds the derived settings for upgrades of the cluster's version.
type Rollout struct {
	Auto bool          // upgrade automatically after Soak
	Soak time.Duration // how long all controllers have to be healthy before an automatic upgrade
	// SimulatedLevel and SimulatedRelease make a simulated controller behave as an earlier release; 0 and "" mean this
	// release.
	SimulatedLevel   rollout.Level
	SimulatedRelease string
}

// defaultSoak is the default of RolloutSettings.SoakS.
const defaultSoak = time.Minute

// Rollout returns the settings for upgrades of the cluster's version. Upgrades are automatic, unless the operators'
// settings leave them to an operator.
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

// SimulateRelease makes the controller with these settings behave as an earlier release, in a simulation.
func (s *Settings) SimulateRelease(level rollout.Level, release string) {
	s.simulatedLevel = level
	s.simulatedRelease = release
}
