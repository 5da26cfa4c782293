package config

import (
	"time"

	"github.com/harewalk/harewalk/internal/rollout"
)

// RolloutSettings say how the cluster's level rises, in HCL: rollout { ... }.
type RolloutSettings struct {
	// Finish is "auto", by itself once all controllers have been well for the soak time, or "operator", only on
	// `harewalk rollout finish`.
	Finish string `hcl:"finish,optional" validate:"omitempty,oneof=auto operator"`
	// SoakS is how long all controllers have to be well with the new release first, in seconds; 0: a minute.
	SoakS float64 `hcl:"soak_s,optional" validate:"gte=0,lte=1000000"`
}

// Rollout is how levels rise here.
type Rollout struct {
	Auto bool
	Soak time.Duration
	// SimulatedLevel and Release make a simulated controller one of an earlier release; 0: it is what it is.
	SimulatedLevel   rollout.Level
	SimulatedRelease string
}

// defaultSoak is how long all controllers have to be well before the level rises by itself.
const defaultSoak = time.Minute

// Rollout derives it from the operators' settings: by itself, unless they want to say so.
func (s *Settings) Rollout() Rollout {
	r := Rollout{Auto: true, Soak: defaultSoak, SimulatedLevel: s.simulatedLevel, SimulatedRelease: s.simulatedRelease}
	if o := s.Operator.Rollout; o != nil {
		r.Auto = o.Finish != "operator"
		if o.SoakS > 0 {
			r.Soak = Seconds(o.SoakS)
		}
	}
	return r
}

// SimulateRelease makes the controller of these settings one of an earlier release, in a simulation.
func (s *Settings) SimulateRelease(knows rollout.Level, release string) {
	s.simulatedLevel, s.simulatedRelease = knows, release
}
