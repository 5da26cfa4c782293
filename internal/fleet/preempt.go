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
func (f *Fleet) secondsToWait(now time.Duration, job *jobs.Job) float64 {
	duration, ok := f.latestUsefulStart(now, job)
	if !ok || f.ranking.withinGuarantee[job.Index] {
		return preemptionPatienceS // a guarantee is owed now
	}
	return max(preemptionPatienceS, (duration-now).Seconds()-preemptionPatienceS)
}

// mayPreempt tells whether a job may have another's tasks stopped: those of a lower
// priority, and what another team runs in excess of its guarantee if the job lies within
// its own.
func (f *Fleet) mayPreempt(job, victim *jobs.Job) bool {
	if job == victim || victim.Spec == nil || job.Spec == nil || (victim.Spec.Kind != jobs.Array && victim.TaskCount > 1) {
		return false
	}
	// This order must be that of Rank: otherwise two jobs can stop each other for ever,
	// each taking the room that the other made.
	switch wj, wv := f.ranking.withinGuarantee[job.Index], f.ranking.withinGuarantee[victim.Index]; {
	case wj == wv:
		return victim.Priority < job.Priority
	case wj:
		return victim.Team != job.Team || victim.Priority < job.Priority
	}
	return false
}

// lostWork is the work that stopping a task would waste, in seconds.
func (f *Fleet) lostWork(now time.Duration, job *jobs.Job, taskIndex int32) float64 {
	task := &job.Tasks[taskIndex]
	if task.Phase != jobs.Running {
		return 0
	}
	if job.Spec.CheckpointS > 0 {
		return job.Spec.SaveS
	}
	return (now - task.RunningSince).Seconds()
}

// victims finds the tasks whose end would make room for one task of a job on a machine,
// at the least loss; ok is false if there is no such set.
func (f *Fleet) victims(now time.Duration, machine *Machine, job *jobs.Job) (out []TaskRef, lost float64, ok bool) {
	type candidate struct {
		TaskRef
		lost float64
	}
	free := f.availableRoom(machine, job)
	size := job.Spec.Size()
	var cs []candidate
	for r := range machine.Tasks {
		v := f.jobAt(r.Job)
		task := &v.Tasks[r.Task]
		switch {
		case task.Stopping:
			free = free.Add(v.Spec.Size()) // it is on its way out already
		case task.State == jobs.OnMachine && f.mayPreempt(job, v):
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
	fits := func() bool { return size.Fits(free.Sub(f.reservedForGPUWork(machine, job, free.GPUs))) }
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
func (f *Fleet) preemptFor(now time.Duration, job *jobs.Job, candidates []candidate, start float64) bool {
	key := preemptionShape{shapeOf(job), job.Team, job.Priority, f.ranking.withinGuarantee[job.Index], job.TaskCount, job.Spec.OneZone}
	if t, ok := f.preemptedAt[job.Index]; ok && now-t < preemptionCooldown {
		return false
	}
	if f.cycle.futilePreemptions[key] || f.cycle.preemptionSearches >= maxPreemptionSearches || (job.Priority <= f.cycle.lowestPriority && !f.ranking.withinGuarantee[job.Index]) {
		return false
	}
	f.cycle.preemptionSearches++
	weight := 1.0
	if f.ranking.withinGuarantee[job.Index] {
		weight = 0.05 // the guarantee goes before the loss
	}
	byZone := map[int32][]preemptionOption{}
	for _, candidate := range candidates {
		refs, lost, ok := f.victims(now, candidate.machine, job)
		f.PlanningSteps += uint64(len(candidate.machine.Tasks))
		if c := 1 + candidate.fetchSeconds + weight*lost; ok && c < start-preemptionPatienceS {
			zone := jobs.None
			if job.Spec.OneZone {
				zone = candidate.machine.Zone
			}
			byZone[zone] = append(byZone[zone], preemptionOption{candidate.machine, refs, c})
		}
	}
	var best []preemptionOption
	for _, ss := range byZone {
		if len(ss) < job.TaskCount {
			continue
		}
		slices.SortFunc(ss, func(a, b preemptionOption) int {
			return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.m.Index, b.m.Index))
		})
		if ss = spread(ss, job.TaskCount, job.Spec.ZoneLimit()); ss == nil {
			continue
		}
		a, b := ss[job.TaskCount-1], preemptionOption{cost: math.Inf(1)}
		if best != nil {
			b = best[job.TaskCount-1]
		}
		if a.cost < b.cost || (a.cost == b.cost && a.m.Index < b.m.Index) {
			best = ss
		}
	}
	if best == nil {
		f.cycle.futilePreemptions[key] = true
		return false
	}
	f.preemptedAt[job.Index] = now
	for _, s := range best {
		f.stopForPreemption(now, s.m, job, s.victims)
		s.m.reserved, s.m.reservedRank, s.m.reservedFirmly = job.Spec.Size(), f.rankOf(job), false
	}
	return true
}

// preemptArray makes room for an array's planned tasks where they are planned.
func (f *Fleet) preemptArray(now time.Duration, job *jobs.Job) {
	if job.TasksByState[jobs.Planned] == 0 || f.crashLooping(job) != nil || (job.Priority <= f.cycle.lowestPriority && !f.ranking.withinGuarantee[job.Index]) || !f.mayStart(job, 1) {
		return
	}
	patient := f.secondsToWait(now, job)
	for _, ix := range f.queueMachines(job) {
		machine := f.machines[ix]
		f.PlanningSteps++
		if machine.Condition != Ready || machine.Returning || machine.Quarantined || f.fits(machine, job) || f.secondsUntilRoom(now, machine, job) < patient || !f.mayPlace(machine, job) {
			continue
		}
		if refs, _, ok := f.victims(now, machine, job); ok {
			f.stopForPreemption(now, machine, job, refs)
			if machine.reserved == (planner.Size{}) {
				machine.reserved, machine.reservedRank, machine.reservedFirmly = job.Spec.Size(), f.rankOf(job), false
			}
		}
	}
}

func (f *Fleet) stopForPreemption(now time.Duration, machine *Machine, job *jobs.Job, refs []TaskRef) {
	for _, r := range refs {
		f.stopTask(f.jobAt(r.Job), r.Task)
	}
	if len(refs) > 0 {
		slog.Info("preempting", "job", job.ID, "machine", machine.Name, "tasks", len(refs), "term", f.Term)
	}
}
