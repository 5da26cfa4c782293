package lab

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"github.com/harewalk/harewalk/internal/jobs"
)

const (
	// maxArrivals bounds the jobs of a run.
	maxArrivals = 500_000
	// firstLoadStream is the stream of the first load's random numbers; each further load has the next one.
	firstLoadStream = 101

	minTaskS = 0.1
	maxTaskS = 1e6
	// minCancelDelayS is the shortest time from a job's arrival to its cancellation.
	minCancelDelayS = 0.1
	// maxCancelDelayTasks bounds that time, in the run time of one task: some jobs are cancelled after their end.
	maxCancelDelayTasks = 2
)

// arrival is one job that a user submits.
type arrival struct {
	load   int // index into the scenario's loads
	at     time.Duration
	spec   *jobs.Spec
	cancel time.Duration // after the arrival; 0: never
}

// jobKinds maps a scenario's words to kinds of jobs.
var jobKinds = map[string]jobs.Kind{"": jobs.Array, "array": jobs.Array, "gang": jobs.Gang, "service": jobs.Service}

// spec returns a job of the load; its tasks take so many seconds each.
func (l *Load) spec(id string, tasks int, taskS float64) *jobs.Spec {
	spec := &jobs.Spec{
		ID:          id,
		Class:       l.Name,
		Team:        l.Team,
		Kind:        jobKinds[l.Kind],
		Priority:    l.Priority,
		Tasks:       tasks,
		CPUs:        l.CPUs,
		GPUs:        l.GPUs,
		MemoryGB:    l.MemoryGB,
		Image:       "image-" + l.Name,
		ImageGB:     1,
		Spot:        !l.OnDemand,
		EstimateS:   taskS,
		CheckpointS: l.CheckpointS,
		Licences:    l.Licences,
	}
	if spec.Priority == "" {
		spec.Priority = "standard"
	}
	if l.CheckpointS > 0 {
		spec.SaveS = 1
	}
	return spec
}

// arrivals draws all jobs of a run. Each load has random numbers of its own, so that a change of one leaves the others
// as they were.
func (s *Scenario) arrivals(seed uint64) ([]arrival, error) {
	var all []arrival
	for index := range s.Loads {
		var err error
		all, err = s.appendArrivals(all, index, seed)
		if err != nil {
			return nil, err
		}
	}
	return all, nil
}

// appendArrivals draws the jobs of one load.
func (s *Scenario) appendArrivals(all []arrival, index int, seed uint64) ([]arrival, error) {
	load := &s.Loads[index]
	source := rand.NewPCG(seed, firstLoadStream+uint64(index))
	rng := rand.New(source)
	drawTasks, err := load.Tasks.sampler(source)
	if err != nil {
		return nil, err
	}
	drawSeconds, err := load.Seconds.sampler(source)
	if err != nil {
		return nil, err
	}
	batch := max(1, load.Batch)
	gap := distuv.Exponential{Rate: load.PerMinute / 60 / float64(batch), Src: source}
	endS := s.DurationS
	if load.ToS > 0 {
		endS = min(endS, load.ToS)
	}
	for atS := load.FromS + gap.Rand(); atS < endS; atS += gap.Rand() {
		for range batch {
			if len(all) == maxArrivals {
				return nil, errTooManyArrivals
			}
			tasks := min(jobs.MaxTasks, max(1, int(math.Round(drawTasks()))))
			taskS := min(maxTaskS, max(minTaskS, drawSeconds()))
			id := fmt.Sprintf("req-%02d%07d", index+1, len(all)+1)
			next := arrival{load: index, at: jobs.Seconds(atS), spec: load.spec(id, tasks, taskS)}
			if rng.Float64() < load.CancelShare {
				next.cancel = jobs.Seconds(minCancelDelayS + rng.Float64()*maxCancelDelayTasks*taskS)
			}
			all = append(all, next)
		}
	}
	return all, nil
}
