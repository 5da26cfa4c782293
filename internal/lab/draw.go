package lab

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"github.com/harewalk/harewalk/internal/jobs"
)

// draw makes what draws from the distribution; its error says what is missing.
func (d Dist) draw(src rand.Source) (func() float64, error) {
	switch d.Kind {
	case "fixed":
		if d.Value <= 0 {
			return nil, errors.New("fixed needs a value above 0")
		}
		return func() float64 { return d.Value }, nil
	case "uniform":
		if d.Low <= 0 || d.High < d.Low {
			return nil, errors.New("uniform needs 0 < low <= high")
		}
		return distuv.Uniform{Min: d.Low, Max: d.High, Src: src}.Rand, nil
	case "exponential":
		if d.Median <= 0 {
			return nil, errors.New("exponential needs a median above 0")
		}
		return distuv.Exponential{Rate: math.Ln2 / d.Median, Src: src}.Rand, nil
	case "lognormal":
		if d.Median <= 0 || d.P95 < d.Median {
			return nil, errors.New("lognormal needs 0 < median <= p95")
		}
		z := distuv.UnitNormal.Quantile(0.95)
		return distuv.LogNormal{Mu: math.Log(d.Median), Sigma: math.Log(d.P95/d.Median) / z, Src: src}.Rand, nil
	case "pareto":
		if d.Low <= 0 || d.Shape <= 0 {
			return nil, errors.New("pareto needs low and shape above 0")
		}
		return distuv.Pareto{Xm: d.Low, Alpha: d.Shape, Src: src}.Rand, nil
	}
	return nil, fmt.Errorf("no distribution %q", d.Kind)
}

// arrival is one job that comes.
type arrival struct {
	load   int
	at     time.Duration
	spec   *jobs.Spec
	cancel time.Duration // after its arrival; 0: never
}

// kinds are the wire's words for the kinds of jobs.
var kinds = map[string]jobs.Kind{"": jobs.Array, "array": jobs.Array, "gang": jobs.Gang, "service": jobs.Service}

// spec is a job of the load.
func (l *Load) spec(id string, tasks int, seconds float64) *jobs.Spec {
	spec := &jobs.Spec{
		ID: id, Class: l.Name, Team: l.Team, Kind: kinds[l.Kind], Priority: l.Priority, Tasks: tasks, CPUs: l.CPUs, GPUs: l.GPUs, MemoryGB: l.MemoryGB,
		Image: "image-" + l.Name, ImageGB: 1, Spot: !l.OnDemand, EstimateS: seconds, CheckpointS: l.CheckpointS, Licences: l.Licences,
	}
	if spec.Priority == "" {
		spec.Priority = "standard"
	}
	if l.CheckpointS > 0 {
		spec.SaveS = 1
	}
	return spec
}

// maxArrivals bounds a run.
const maxArrivals = 500_000

// arrivals draws all jobs of a run. Each load has a source of its own, so that a change of one
// leaves the others as they were.
func (s *Scenario) arrivals(seed uint64) ([]arrival, error) {
	var all []arrival
	for i := range s.Loads {
		l := &s.Loads[i]
		src := rand.NewPCG(seed, uint64(i)+101)
		rng := rand.New(src)
		tasks, err := l.Tasks.draw(src)
		if err != nil {
			return nil, err
		}
		secs, err := l.Seconds.draw(src)
		if err != nil {
			return nil, err
		}
		gap := distuv.Exponential{Rate: l.PerMinute / 60 / float64(max(1, l.Batch)), Src: src}
		to := s.DurationS
		if l.ToS > 0 {
			to = min(to, l.ToS)
		}
		for t := l.FromS + gap.Rand(); t < to; t += gap.Rand() {
			for range max(1, l.Batch) {
				if len(all) == maxArrivals {
					return nil, fmt.Errorf("more than %d jobs arrive", maxArrivals)
				}
				n := min(jobs.MaxTasks, max(1, int(math.Round(tasks()))))
				a := arrival{load: i, at: jobs.Seconds(t), spec: l.spec(fmt.Sprintf("req-%02d%07d", i+1, len(all)+1), n, min(1e6, max(0.1, secs())))}
				if rng.Float64() < l.CancelShare {
					a.cancel = jobs.Seconds(0.1 + rng.Float64()*2*a.spec.EstimateS)
				}
				all = append(all, a)
			}
		}
	}
	return all, nil
}
