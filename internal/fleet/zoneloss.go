package fleet

// What the loss of a zone would mean.

import (
	"cmp"
	"slices"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/planner"
)

// ZoneLoss is what one class of one team would lose with a zone.
type ZoneLoss struct {
	Class, Team int32
	Tasks       int // on machines there
	Fit         int // of them, room for which is free elsewhere now
	Jobs        int
}

// EstimateZoneLoss says what would happen if a zone were lost now: in rank order, with gangs whole, as much as the free room
// elsewhere takes. Nothing is changed by asking.
func (f *Fleet) EstimateZoneLoss(zone int32) []ZoneLoss {
	free := map[*Machine]planner.Size{}
	var hosts []*Machine
	on := map[jobs.Index]int{}
	for _, machine := range f.machines {
		switch {
		case machine.Zone == zone && machine.Condition != Terminated && machine.Condition != LeaseExpired:
			for r := range machine.Tasks {
				on[r.Job]++
			}
		case machine.Condition == Ready && !machine.Returning && !machine.Quarantined:
			hosts = append(hosts, machine)
			free[machine] = machine.Free().Sub(machine.queuedNeed)
		}
	}
	type kind struct{ class, team int32 }
	by := map[kind]*ZoneLoss{}
	ixs := make([]jobs.Index, 0, len(on))
	for jobIndex := range on {
		ixs = append(ixs, jobIndex)
	}
	f.sortIndicesByRank(ixs)
	for _, jobIndex := range ixs {
		job := f.jobAt(jobIndex)
		if job.Spec == nil || job.State.Terminal() {
			continue
		}
		k := kind{job.Class, job.Team}
		l := by[k]
		if l == nil {
			l = &ZoneLoss{Class: job.Class, Team: job.Team}
			by[k] = l
		}
		l.Tasks += on[jobIndex]
		l.Jobs++
		// A gang that loses a task starts anew, all of it; the rest of it makes room where it is.
		need := on[jobIndex]
		size := job.Spec.Size()
		var took []*Machine
		for _, machine := range hosts {
			for len(took) < need && job.Allows(machine.Type, machine.Zone, machine.Spot) && size.Fits(free[machine]) {
				free[machine] = free[machine].Sub(size)
				took = append(took, machine)
			}
			if len(took) == need {
				break
			}
		}
		if job.Spec.Kind == jobs.Gang && len(took) < need {
			for _, machine := range took {
				free[machine] = free[machine].Add(size)
			}
			continue
		}
		l.Fit += len(took)
	}
	out := make([]ZoneLoss, 0, len(by))
	for _, l := range by {
		out = append(out, *l)
	}
	slices.SortFunc(out, func(a, b ZoneLoss) int { return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Team, b.Team)) })
	return out
}
