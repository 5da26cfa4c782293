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
	// maxArrivals is the largest number of jobs in a run.
	maxArrivals = 500_000
	// firstLoadStream is the random number stream of the first load. Load number i, from 0, uses firstLoadStream + i.
	firstLoadStream = 101

	minTaskS = 0.1
	maxTaskS = 1e6
	// minCancelDelayS is the shortest time from a job's arrival to its cancellation.
	minCancelDelayS = 0.1
	// maxCancelDelayTaskTimes is the longest time from a job's arrival to its cancellation, less minCancelDelayS, in
	// run times of one task. It is above 1, so that some cancellations come after the end of the job.
	maxCancelDelayTaskTimes = 2
)

// arrival is a job and the time at which a user submits it.
type arrival struct {
	load        int // index into the scenario's loads
	at          time.Duration
	spec        *jobs.Spec
	cancelDelay time.Duration // delay from the arrival to the cancellation; 0: not cancelled
}

// jobKinds maps the values of a load's setting kind to kinds of jobs; the default is an array.
var jobKinds = map[string]jobs.Kind{"": jobs.Array, "array": jobs.Array, "gang": jobs.Gang, "service": jobs.Service}

// spec returns the specification of a job of the load with the number of tasks, each of which runs for taskS seconds.
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

// drawArrivals draws all jobs of a run. Each load has its own random number stream, so that a change of one load
// doesn't change the jobs of the others.
func (s *Scenario) drawArrivals(seed uint64) ([]arrival, error) {
	var arrivals []arrival
	for index := range s.Loads {
		var err error
		arrivals, err = s.appendArrivals(arrivals, index, seed)
		if err != nil {
			return nil, err
		}
	}
	return arrivals, nil
}

// appendArrivals draws the jobs of the load with the index and appends them to arrivals.
func (s *Scenario) appendArrivals(arrivals []arrival, index int, seed uint64) ([]arrival, error) {
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
	batchSize := max(1, load.Batch)
	interarrivalS := distuv.Exponential{Rate: load.PerMinute / 60 / float64(batchSize), Src: source}
	endS := s.DurationS
	if load.ToS > 0 {
		endS = min(endS, load.ToS)
	}
	for atS := load.FromS + interarrivalS.Rand(); atS < endS; atS += interarrivalS.Rand() {
		for range batchSize {
			if len(arrivals) == maxArrivals {
				return nil, errTooManyArrivals
			}
			tasks := min(jobs.MaxTasks, max(1, int(math.Round(drawTasks()))))
			taskS := min(maxTaskS, max(minTaskS, drawSeconds()))
			id := fmt.Sprintf("req-%02d%07d", index+1, len(arrivals)+1)
			drawn := arrival{load: index, at: jobs.Seconds(atS), spec: load.spec(id, tasks, taskS)}
			if rng.Float64() < load.CancelShare {
				drawn.cancelDelay = jobs.Seconds(minCancelDelayS + rng.Float64()*maxCancelDelayTaskTimes*taskS)
			}
			arrivals = append(arrivals, drawn)
		}
	}
	return arrivals, nil
}
