package config

import "time"

// ZoneSettings say how a zone that was lost comes back, in HCL: zones { ... }.
type ZoneSettings struct {
	// PatienceS is how long machines that are not heard are kept once their zone returns; 0: twice silent_s.
	PatienceS float64 `hcl:"patience_s,optional" validate:"gte=0"`
	// ProveS is how long a zone has to stay before it counts as well, doubled with each flap; 0: two reports.
	ProveS float64 `hcl:"prove_s,optional" validate:"gte=0"`
	// CalmS is how long makes up for one flap; 0: ten leases.
	CalmS float64 `hcl:"calm_s,optional" validate:"gte=0"`
}

// Zones is how zones are judged here.
type Zones struct{ ReturnGrace, ProbationTime, FlapForgiveness, MaxProbation time.Duration }

// maxProbation is how long room may be kept from work that fits, by any one cause that can be bounded at will: with what a start
// takes besides, no job waits 90 s beside room.
const maxProbation = 45 * time.Second

// Zones derives it from the operators' settings and the workers' times.
func (s *Settings) Zones() Zones {
	var o ZoneSettings
	if s.Operator.Zones != nil {
		o = *s.Operator.Zones
	}
	pick := func(given, otherwise float64) time.Duration {
		if given > 0 {
			return Seconds(given)
		}
		return Seconds(otherwise)
	}
	w := s.Params.Workers
	return Zones{ReturnGrace: pick(o.PatienceS, 2*s.Operator.MachineUnheardTimeoutS), ProbationTime: pick(o.ProveS, 2*w.ReportS), FlapForgiveness: pick(o.CalmS, 10*w.LeaseS), MaxProbation: maxProbation}
}
