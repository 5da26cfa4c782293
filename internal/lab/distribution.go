package lab

import (
	"fmt"
	"math"
	"math/rand/v2"

	"gonum.org/v1/gonum/stat/distuv"
)

// Kinds of distributions, by their labels in scenario files.
const (
	distFixed       = "fixed"
	distUniform     = "uniform"
	distExponential = "exponential"
	distLognormal   = "lognormal"
	distPareto      = "pareto"
)

// sampler returns a function that draws values of the distribution from the source. If a parameter is missing or out
// of range, sampler returns a *DistributionError; if the kind is unknown, an error that wraps errUnknownDistribution.
func (d Distribution) sampler(source rand.Source) (func() float64, error) {
	switch d.Kind {
	case distFixed:
		if d.Value <= 0 {
			return nil, &DistributionError{Kind: distFixed, Requirement: "a value above 0"}
		}
		return func() float64 { return d.Value }, nil
	case distUniform:
		if d.Low <= 0 || d.High < d.Low {
			return nil, &DistributionError{Kind: distUniform, Requirement: "0 < low <= high"}
		}
		return distuv.Uniform{Min: d.Low, Max: d.High, Src: source}.Rand, nil
	case distExponential:
		if d.Median <= 0 {
			return nil, &DistributionError{Kind: distExponential, Requirement: "a median above 0"}
		}
		return distuv.Exponential{Rate: math.Ln2 / d.Median, Src: source}.Rand, nil
	case distLognormal:
		if d.Median <= 0 || d.P95 < d.Median {
			return nil, &DistributionError{Kind: distLognormal, Requirement: "0 < median <= p95"}
		}
		sigma := math.Log(d.P95/d.Median) / distuv.UnitNormal.Quantile(0.95)
		return distuv.LogNormal{Mu: math.Log(d.Median), Sigma: sigma, Src: source}.Rand, nil
	case distPareto:
		if d.Low <= 0 || d.Shape <= 0 {
			return nil, &DistributionError{Kind: distPareto, Requirement: "low and shape above 0"}
		}
		return distuv.Pareto{Xm: d.Low, Alpha: d.Shape, Src: source}.Rand, nil
	}
	return nil, fmt.Errorf("%w %q", errUnknownDistribution, d.Kind)
}
