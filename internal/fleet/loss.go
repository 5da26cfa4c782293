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
	for _, m := range f.machines {
		switch {
		case m.Zone == zone && m.Condition != Terminated && m.Condition != LeaseExpired:
			for r := range m.Tasks {
				on[r.Job]++
			}
		case m.Condition == Ready && !m.Returning && !m.Quarantined:
			hosts = append(hosts, m)
			free[m] = m.Free().Sub(m.queuedNeed)
		}
	}
	type kind struct{ class, team int32 }
	by := map[kind]*ZoneLoss{}
	ixs := make([]jobs.Index, 0, len(on))
	for ix := range on {
		ixs = append(ixs, ix)
	}
	f.sortRanked(ixs)
	for _, ix := range ixs {
		j := f.jobAt(ix)
		if j.Spec == nil || j.State.Terminal() {
			continue
		}
		k := kind{j.Class, j.Team}
		l := by[k]
		if l == nil {
			l = &ZoneLoss{Class: j.Class, Team: j.Team}
			by[k] = l
		}
		l.Tasks += on[ix]
		l.Jobs++
		// A gang that loses a task starts anew, all of it; the rest of it makes room where it is.
		need := on[ix]
		size := j.Spec.Size()
		var took []*Machine
		for _, m := range hosts {
			for len(took) < need && j.Allows(m.Type, m.Zone, m.Spot) && size.Fits(free[m]) {
				free[m] = free[m].Sub(size)
				took = append(took, m)
			}
			if len(took) == need {
				break
			}
		}
		if j.Spec.Kind == jobs.Gang && len(took) < need {
			for _, m := range took {
				free[m] = free[m].Add(size)
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
