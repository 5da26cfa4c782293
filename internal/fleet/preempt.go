package fleet

import (
	"cmp"
	"log/slog"
	"math"
	"slices"
	"sort"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/planner"
)

// preemptionPatienceS is how many seconds a job always waits for a natural end before it preempts.
const preemptionPatienceS = 3.0

// preemptionCooldown is how long a gang that had others stopped waits for them to be gone before it
// may stop more.
const preemptionCooldown = 5 * time.Second

// secondsToWait is how many seconds a job may wait for a natural end before one of its aims is
// missed; stopping others any earlier wastes their work for nothing.
func (f *Fleet) secondsToWait(now time.Duration, j *jobs.Job) float64 {
	d, ok := f.nextDue(now, j)
	if !ok || f.withinGuarantee[j.Index] {
		return preemptionPatienceS // a guarantee is owed now
	}
	return max(preemptionPatienceS, (d-now).Seconds()-preemptionPatienceS)
}

// mayPreempt tells whether a job may have another's tasks stopped: those of a lower
// priority, and what another team runs in excess of its guarantee if the job lies within
// its own.
func (f *Fleet) mayPreempt(j, victim *jobs.Job) bool {
	if j == victim || victim.Spec == nil || j.Spec == nil || (victim.Spec.Kind != jobs.Array && victim.TaskCount > 1) {
		return false
	}
	// This order must be that of Rank: otherwise two jobs can stop each other for ever,
	// each taking the room that the other made.
	switch wj, wv := f.withinGuarantee[j.Index], f.withinGuarantee[victim.Index]; {
	case wj == wv:
		return victim.Priority < j.Priority
	case wj:
		return victim.Team != j.Team || victim.Priority < j.Priority
	}
	return false
}

// lostWork is the work that stopping a task would waste, in seconds.
func (f *Fleet) lostWork(now time.Duration, j *jobs.Job, t int32) float64 {
	k := &j.Tasks[t]
	if k.Phase != jobs.Running {
		return 0
	}
	if j.Spec.CheckpointS > 0 {
		return j.Spec.SaveS
	}
	return (now - k.RunningSince).Seconds()
}

// victims finds the tasks whose end would make room for one task of a job on a machine,
// at the least loss; ok is false if there is no such set.
func (f *Fleet) victims(now time.Duration, m *Machine, j *jobs.Job) (out []TaskRef, lost float64, ok bool) {
	type candidate struct {
		TaskRef
		lost float64
	}
	free := f.room(m, j)
	size := j.Spec.Size()
	var cs []candidate
	for r := range m.Tasks {
		v := f.jobAt(r.Job)
		k := &v.Tasks[r.Task]
		switch {
		case k.Stopping:
			free = free.Add(v.Spec.Size()) // it is on its way out already
		case k.State == jobs.OnMachine && f.mayPreempt(j, v):
			cs = append(cs, candidate{r, f.lostWork(now, v, r.Task)})
		}
	}
	sort.Slice(cs, func(a, b int) bool {
		if cs[a].lost != cs[b].lost {
			return cs[a].lost < cs[b].lost
		}
		if cs[a].Job != cs[b].Job {
			return cs[a].Job < cs[b].Job
		}
		return cs[a].Task < cs[b].Task
	})
	// What must be left for accelerators counts: room that the job would not be let into was made again and again.
	fits := func() bool { return size.Fits(free.Sub(f.keptFree(m, j, free.GPUs))) }
	for _, c := range cs {
		if fits() {
			break
		}
		free = free.Add(f.jobAt(c.Job).Spec.Size())
		out = append(out, c.TaskRef)
		lost += c.lost
	}
	return out, lost, fits()
}

// preemptionOption is what room for one task on a machine costs.
type preemptionOption struct {
	m       *Machine
	victims []TaskRef
	cost    float64 // seconds until the task could start, wasted work counted as delay
}

// spread takes the first n, at most perZone of a zone (0: no bound), or none at all: room that
// a gang may not use would be made again and again.
func spread(ss []preemptionOption, n, perZone int) []preemptionOption {
	used := map[int32]int{}
	out := make([]preemptionOption, 0, n)
	for _, s := range ss {
		if len(out) == n {
			break
		}
		if perZone == 0 || used[s.m.Zone] < perZone {
			used[s.m.Zone]++
			out = append(out, s)
		}
	}
	if len(out) < n {
		return nil
	}
	return out
}

// preemptFor makes room for a gang on the machines where it can start soonest, one for each
// task and in one zone if need be, counting wasted work as delay. start is when it would
// start without.
func (f *Fleet) preemptFor(now time.Duration, j *jobs.Job, ps []candidate, start float64) bool {
	key := preemptionShape{shapeOf(j), j.Team, j.Priority, f.withinGuarantee[j.Index], j.TaskCount, j.Spec.OneZone}
	if t, ok := f.preemptedAt[j.Index]; ok && now-t < preemptionCooldown {
		return false
	}
	if f.cycle.vain[key] || f.cycle.tries >= searches || (j.Priority <= f.cycle.lowest && !f.withinGuarantee[j.Index]) {
		return false
	}
	f.cycle.tries++
	weight := 1.0
	if f.withinGuarantee[j.Index] {
		weight = 0.05 // the guarantee goes before the loss
	}
	byZone := map[int32][]preemptionOption{}
	for _, p := range ps {
		refs, lost, ok := f.victims(now, p.m, j)
		f.PlanningSteps += uint64(len(p.m.Tasks))
		if c := 1 + p.fetch + weight*lost; ok && c < start-preemptionPatienceS {
			zone := jobs.None
			if j.Spec.OneZone {
				zone = p.m.Zone
			}
			byZone[zone] = append(byZone[zone], preemptionOption{p.m, refs, c})
		}
	}
	var best []preemptionOption
	for _, ss := range byZone {
		if len(ss) < j.TaskCount {
			continue
		}
		slices.SortFunc(ss, func(a, b preemptionOption) int {
			return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.m.Index, b.m.Index))
		})
		if ss = spread(ss, j.TaskCount, j.Spec.ZoneLimit()); ss == nil {
			continue
		}
		a, b := ss[j.TaskCount-1], preemptionOption{cost: math.Inf(1)}
		if best != nil {
			b = best[j.TaskCount-1]
		}
		if a.cost < b.cost || (a.cost == b.cost && a.m.Index < b.m.Index) {
			best = ss
		}
	}
	if best == nil {
		f.cycle.vain[key] = true
		return false
	}
	f.preemptedAt[j.Index] = now
	for _, s := range best {
		f.stopForPreemption(now, s.m, j, s.victims)
		s.m.reserved, s.m.reservedRank, s.m.reservedFirmly = j.Spec.Size(), f.rankOf(j), false
	}
	return true
}

// preemptArray makes room for an array's planned tasks where they are planned.
func (f *Fleet) preemptArray(now time.Duration, j *jobs.Job) {
	if j.TasksByState[jobs.Planned] == 0 || f.crashLooping(j) != nil || (j.Priority <= f.cycle.lowest && !f.withinGuarantee[j.Index]) || !f.mayStart(j, 1) {
		return
	}
	patient := f.secondsToWait(now, j)
	for _, ix := range f.queueMachines(j) {
		m := f.machines[ix]
		f.PlanningSteps++
		if m.Condition != Ready || m.Returning || m.Quarantined || f.fits(m, j) || f.freeIn(now, m, j) < patient || !f.mayUse(m, j) {
			continue
		}
		if refs, _, ok := f.victims(now, m, j); ok {
			f.stopForPreemption(now, m, j, refs)
			if m.reserved == (planner.Size{}) {
				m.reserved, m.reservedRank, m.reservedFirmly = j.Spec.Size(), f.rankOf(j), false
			}
		}
	}
}

func (f *Fleet) stopForPreemption(now time.Duration, m *Machine, j *jobs.Job, refs []TaskRef) {
	for _, r := range refs {
		f.stopTask(f.jobAt(r.Job), r.Task)
	}
	if len(refs) > 0 {
		slog.Info("preempting", "job", j.ID, "machine", m.Name, "tasks", len(refs), "term", f.Term)
	}
}
