package fleet

// An estimate of the effects of the loss of a zone.

import (
	"cmp"
	"slices"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/planner"
)

// ZoneLoss counts the tasks and jobs of one class and team that the loss of a zone would affect.
type ZoneLoss struct {
	Class, Team    int32
	Tasks          int // tasks on machines in the zone
	PlaceableTasks int // the part of Tasks that has room in other zones now
	Jobs           int // jobs with tasks in the zone
}

// EstimateZoneLoss returns the effects that the loss of a zone would have now, by class and team. It simulates the
// placement of the zone's tasks into the free room of other zones, in priority order, and gangs as a whole or not at
// all. It does not change the fleet.
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
	hosts       []*Machine                // machines in other zones that accept work
	free        map[*Machine]planner.Size // free room of the hosts that is left
	losses      map[zoneLossKey]*ZoneLoss
}

// newZoneLossEstimate counts the tasks in a zone and the free room in other zones.
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

// add adds a job with tasks in the zone to the estimate.
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

// place takes room for a number of a job's tasks and returns how many of them fit. A gang that loses a task starts
// again as a whole. Its tasks in other zones free their room, so room is needed only for its tasks in the zone, and for
// all of them.
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
