package fleet

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/planner"
)

// This file stops tasks to make room on machines for jobs of higher priority, and for jobs within their team's
// guarantee.

// preemptionDelayS is how many seconds a job always waits for tasks to end by themselves before it preempts.
const preemptionDelayS = 3.0

const preemptionDelay = time.Duration(preemptionDelayS * float64(time.Second))

// preemptionCooldown is how long a job for which tasks were stopped waits for them to be gone before it may stop
// more.
const preemptionCooldown = 5 * time.Second

// guaranteedLossWeight is how much a second of lost work counts, against a second of delay, for a job within its
// team's guarantee; for others they count the same.
const guaranteedLossWeight = 0.05

// taskStartS is the estimated time, in seconds, from a machine having room to a task starting there, without the
// fetch of its image.
const taskStartS = 1

// secondsToWait returns how many seconds a job may wait for tasks to end by themselves before it misses one of its
// objectives. Preempting earlier would waste work without need.
func (f *Fleet) secondsToWait(now time.Duration, job *jobs.Job) float64 {
	due, ok := f.latestUsefulStart(now, job)
	if !ok || f.ranking.withinGuarantee[job.Index] {
		return preemptionDelayS
	}
	return max(preemptionDelayS, (due-now).Seconds()-preemptionDelayS)
}

// preemptedRecently returns whether tasks stopped for a job may still be on their way out.
func (f *Fleet) preemptedRecently(now time.Duration, job *jobs.Job) bool {
	at, ok := f.preemptedAt[job.Index]
	return ok && now-at < preemptionCooldown
}

// hasLowestPriority returns whether there is no job that one may preempt: its priority is the lowest of all live
// jobs, and no guarantee covers it.
func (f *Fleet) hasLowestPriority(job *jobs.Job) bool {
	return job.Priority <= f.cycle.lowestPriority && !f.ranking.withinGuarantee[job.Index]
}

// mayPreempt returns whether a job may have another's tasks stopped: those of a lower priority and, if the job lies
// within its team's guarantee, those that another team runs in excess of its own. Gangs and services of several tasks
// are never preempted.
func (f *Fleet) mayPreempt(job, victim *jobs.Job) bool {
	if job == victim || victim.Spec == nil || job.Spec == nil {
		return false
	}
	if victim.Spec.Kind != jobs.Array && victim.TaskCount > 1 {
		return false
	}
	// This order must be that of RankJobs: otherwise two jobs can stop each other for ever, each taking the room that
	// the other made.
	jobGuaranteed := f.ranking.withinGuarantee[job.Index]
	victimGuaranteed := f.ranking.withinGuarantee[victim.Index]
	switch {
	case jobGuaranteed == victimGuaranteed:
		return victim.Priority < job.Priority
	case jobGuaranteed:
		return victim.Team != job.Team || victim.Priority < job.Priority
	}
	return false
}

// lostWork returns the work that stopping a task would waste, in seconds.
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

// victim is a task that may be stopped, and the seconds of work that this would waste.
type victim struct {
	TaskRef
	lost float64
}

// compareVictims orders victims by the work lost, then by job and task.
func compareVictims(a, b victim) int {
	return cmp.Or(cmp.Compare(a.lost, b.lost), cmp.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task))
}

// victims returns the tasks whose end would make room for one task of a job on a machine, at the least loss, and the
// seconds of work that are lost; ok is false if there are no such tasks.
func (f *Fleet) victims(now time.Duration, machine *Machine, job *jobs.Job) (refs []TaskRef, lost float64, ok bool) {
	free := f.availableRoom(machine, job)
	var candidates []victim
	for ref := range machine.Tasks {
		holder := f.jobAt(ref.Job)
		task := &holder.Tasks[ref.Task]
		switch {
		case task.Stopping:
			free = free.Add(holder.Spec.Size()) // it is on its way out already
		case task.State == jobs.OnMachine && f.mayPreempt(job, holder):
			candidates = append(candidates, victim{ref, f.lostWork(now, holder, ref.Task)})
		}
	}
	slices.SortFunc(candidates, compareVictims)
	for _, candidate := range candidates {
		if f.fitsBesideReserve(machine, job, free) {
			break
		}
		free = free.Add(f.jobAt(candidate.Job).Spec.Size())
		refs = append(refs, candidate.TaskRef)
		lost += candidate.lost
	}
	return refs, lost, f.fitsBesideReserve(machine, job, free)
}

// fitsBesideReserve returns whether a task of a job fits into what is free of a machine, without what is reserved
// there for work that needs accelerators. If the reserve didn't count, room that the job may not use would be made
// again and again.
func (f *Fleet) fitsBesideReserve(machine *Machine, job *jobs.Job, free planner.Size) bool {
	return job.Spec.Size().Fits(free.Sub(f.reservedForGPUWork(machine, job, free.GPUs)))
}

// preemptionOption is what it takes to make room for one task on a machine.
type preemptionOption struct {
	machine *Machine
	victims []TaskRef
	cost    float64 // seconds until the task could start, with the lost work counted as delay
}

// comparePreemptionOptions orders options by cost, then by machine.
func comparePreemptionOptions(a, b preemptionOption) int {
	return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.machine.Index, b.machine.Index))
}

// selectOptions returns the first n options, at most maxPerZone of a zone (0: no bound). It returns nil if there are
// fewer: room that a gang can't use whole would be made again and again.
func selectOptions(options []preemptionOption, n, maxPerZone int) []preemptionOption {
	perZone := map[int32]int{}
	selected := make([]preemptionOption, 0, n)
	for _, option := range options {
		if len(selected) == n {
			break
		}
		if maxPerZone == 0 || perZone[option.machine.Zone] < maxPerZone {
			perZone[option.machine.Zone]++
			selected = append(selected, option)
		}
	}
	if len(selected) < n {
		return nil
	}
	return selected
}

// preemptForGang makes room for a gang on the machines where it can start soonest, one machine for each task and all
// in one zone if it needs that. startS is in how many seconds it would start without preemption. It returns whether
// any room was made.
func (f *Fleet) preemptForGang(now time.Duration, job *jobs.Job, candidates []candidate, startS float64) bool {
	withinGuarantee := f.ranking.withinGuarantee[job.Index]
	shape := preemptionShape{shapeOf(job), job.Team, job.Priority, withinGuarantee, job.TaskCount, job.Spec.OneZone}
	if f.preemptedRecently(now, job) || f.hasLowestPriority(job) {
		return false
	}
	if f.cycle.futilePreemptions[shape] || f.cycle.preemptionSearches >= maxPreemptionSearches {
		return false
	}
	f.cycle.preemptionSearches++
	best := cheapestOptions(job, f.preemptionOptions(now, job, candidates, startS))
	if best == nil {
		f.cycle.futilePreemptions[shape] = true
		return false
	}
	f.preemptedAt[job.Index] = now
	for _, option := range best {
		f.stopVictims(option.machine, job, option.victims)
		f.reserveMachine(option.machine, job)
	}
	return true
}

// preemptionOptions returns, by zone (jobs.None for all where the job may span zones), the machines on which
// preemption lets a task of a gang start earlier than in startS seconds.
func (f *Fleet) preemptionOptions(
	now time.Duration,
	job *jobs.Job,
	candidates []candidate,
	startS float64,
) map[int32][]preemptionOption {
	lossWeight := 1.0
	if f.ranking.withinGuarantee[job.Index] {
		lossWeight = guaranteedLossWeight
	}
	byZone := map[int32][]preemptionOption{}
	for _, candidate := range candidates {
		machine := candidate.machine
		refs, lost, ok := f.victims(now, machine, job)
		f.PlanningSteps += uint64(len(machine.Tasks))
		cost := taskStartS + candidate.fetchSeconds + lossWeight*lost
		if !ok || cost >= startS-preemptionDelayS {
			continue
		}
		zone := jobs.None
		if job.Spec.OneZone {
			zone = machine.Zone
		}
		byZone[zone] = append(byZone[zone], preemptionOption{machine, refs, cost})
	}
	return byZone
}

// cheapestOptions returns one option for each task of a gang, of the zone where the costliest of them costs least;
// nil if no zone has enough.
func cheapestOptions(job *jobs.Job, byZone map[int32][]preemptionOption) []preemptionOption {
	var best []preemptionOption
	for _, options := range byZone {
		if len(options) < job.TaskCount {
			continue
		}
		slices.SortFunc(options, comparePreemptionOptions)
		selected := selectOptions(options, job.TaskCount, job.Spec.ZoneLimit())
		if selected == nil {
			continue
		}
		last := job.TaskCount - 1
		if best == nil || comparePreemptionOptions(selected[last], best[last]) < 0 {
			best = selected
		}
	}
	return best
}

// preemptForArray makes room for an array's planned tasks on the machines in whose queues they are.
func (f *Fleet) preemptForArray(now time.Duration, job *jobs.Job) {
	if job.TasksByState[jobs.Planned] == 0 || f.hasLowestPriority(job) {
		return
	}
	if f.crashLooping(job) != nil || !f.mayStart(job, 1) {
		return
	}
	maxWaitS := f.secondsToWait(now, job)
	for _, machineIndex := range f.queueMachines(job) {
		machine := f.machines[machineIndex]
		f.PlanningSteps++
		if !takesWork(machine) {
			continue
		}
		if f.fits(machine, job) || f.secondsUntilRoom(now, machine, job) < maxWaitS || !f.mayPlace(machine, job) {
			continue
		}
		refs, _, ok := f.victims(now, machine, job)
		if !ok {
			continue
		}
		f.stopVictims(machine, job, refs)
		if machine.reserved == (planner.Size{}) {
			f.reserveMachine(machine, job)
		}
	}
}

// reserveMachine reserves room for one task of a job on a machine, against jobs that rank after it.
func (f *Fleet) reserveMachine(machine *Machine, job *jobs.Job) {
	machine.reserved = job.Spec.Size()
	machine.reservedRank = f.rankOf(job)
	machine.reservedFirmly = false
}

// stopVictims stops tasks on a machine for a job.
func (f *Fleet) stopVictims(machine *Machine, job *jobs.Job, refs []TaskRef) {
	for _, ref := range refs {
		f.stopTask(f.jobAt(ref.Job), ref.Task)
	}
	if len(refs) > 0 {
		slog.Info("tasks preempted", "job", job.ID, "machine", machine.Name, "tasks", len(refs), "term", f.Term)
	}
}
