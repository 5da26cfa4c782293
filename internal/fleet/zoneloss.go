package fleet

// An estimate of what the loss of a zone would mean.

import (
	"cmp"
	"slices"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/planner"
)

// ZoneLoss is what the jobs of one class and team would lose with a zone.
type ZoneLoss struct {
	Class, Team    int32
	Tasks          int // on machines in the zone
	PlaceableTasks int // how many of them have room elsewhere now
	Jobs           int // with tasks in the zone
}

// EstimateZoneLoss returns what the loss of a zone would mean now, by class and team. The tasks there are placed
// into the free room elsewhere in priority order, gangs as a whole or not at all. It changes nothing.
func (f *Fleet) EstimateZoneLoss(zone int32) []ZoneLoss {
	estimate := f.newZoneLossEstimate(zone)
	indices := make([]jobs.Index, 0, len(estimate.tasksInZone))
	for jobIndex := range estimate.tasksInZone {
		indices = append(indices, jobIndex)
	}
	f.sortIndicesByRank(indices)
	for _, jobIndex := range indices {
		job := f.jobAt(jobIndex)
		if job.Spec != nil && !job.State.Terminal() {
			estimate.add(job)
		}
	}
	return estimate.sorted()
}

// zoneLossKey identifies a ZoneLoss.
type zoneLossKey struct{ class, team int32 }

// zoneLossEstimate is an EstimateZoneLoss in progress.
type zoneLossEstimate struct {
	tasksInZone map[jobs.Index]int
	hosts       []*Machine // that could take tasks of the zone
	free        map[*Machine]planner.Size
	losses      map[zoneLossKey]*ZoneLoss
}

// newZoneLossEstimate counts the tasks in a zone and the free room elsewhere.
func (f *Fleet) newZoneLossEstimate(zone int32) *zoneLossEstimate {
	estimate := &zoneLossEstimate{
		tasksInZone: map[jobs.Index]int{},
		free:        map[*Machine]planner.Size{},
		losses:      map[zoneLossKey]*ZoneLoss{},
	}
	for _, machine := range f.machines {
		switch {
		case machine.Zone == zone && machine.Condition != Terminated && machine.Condition != LeaseExpired:
			for ref := range machine.Tasks {
				estimate.tasksInZone[ref.Job]++
			}
		case takesWork(machine):
			estimate.hosts = append(estimate.hosts, machine)
			estimate.free[machine] = machine.Free().Sub(machine.queuedNeed)
		}
	}
	return estimate
}

// add adds a job with tasks in the zone.
func (e *zoneLossEstimate) add(job *jobs.Job) {
	key := zoneLossKey{job.Class, job.Team}
	loss := e.losses[key]
	if loss == nil {
		loss = &ZoneLoss{Class: job.Class, Team: job.Team}
		e.losses[key] = loss
	}
	count := e.tasksInZone[job.Index]
	loss.Jobs++
	loss.Tasks += count
	loss.PlaceableTasks += e.place(job, count)
}

// place takes the room for a number of a job's tasks and returns how many of them fit. A gang that loses a task
// starts again as a whole; its other tasks free the room where they are, so room is needed only for those in the
// zone, and for all of these.
func (e *zoneLossEstimate) place(job *jobs.Job, count int) int {
	size := job.Spec.Size()
	var taken []*Machine // one entry for each task
	for _, machine := range e.hosts {
		if len(taken) == count {
			break
		}
		if !job.Allows(machine.Type, machine.Zone, machine.Spot) {
			continue
		}
		for len(taken) < count && size.Fits(e.free[machine]) {
			e.free[machine] = e.free[machine].Sub(size)
			taken = append(taken, machine)
		}
	}
	if job.Spec.Kind == jobs.Gang && len(taken) < count {
		for _, machine := range taken {
			e.free[machine] = e.free[machine].Add(size)
		}
		return 0
	}
	return len(taken)
}

// sorted returns the losses by class and team.
func (e *zoneLossEstimate) sorted() []ZoneLoss {
	losses := make([]ZoneLoss, 0, len(e.losses))
	for _, loss := range e.losses {
		losses = append(losses, *loss)
	}
	slices.SortFunc(losses, func(a, b ZoneLoss) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Team, b.Team))
	})
	return losses
}
