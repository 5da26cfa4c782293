package fleet

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/planner"
)

// Preemption: stopping tasks to make room on machines for jobs of higher priority and for jobs within their team's
// guarantee.

// preemptionDelayS is the least time, in seconds, for which a job waits for tasks to end before it preempts any.
const preemptionDelayS = 3.0

const preemptionDelay = time.Duration(preemptionDelayS * float64(time.Second))

// preemptionCooldown is the time after a preemption until the same job may preempt again. The preempted tasks need it
// to stop.
const preemptionCooldown = 5 * time.Second

// guaranteedLossWeight is the weight of a second of lost work, relative to a second of delay, if the preempting job is
// within its team's guarantee. For other jobs the weight is 1.
const guaranteedLossWeight = 0.05

// taskStartS is the estimated time in seconds between room becoming free on a machine and the start of a task there,
// without the fetch of its image.
const taskStartS = 1

// maxWaitSeconds returns how many seconds a job may wait for tasks to end before it has to preempt to meet its next
// objective. Preempting earlier would waste work needlessly. A job within its team's guarantee, or with no objective
// that it can still meet, waits for preemptionDelayS.
func (f *Fleet) maxWaitSeconds(now time.Duration, job *jobs.Job) float64 {
	latestStart, ok := f.latestUsefulStart(now, job)
	if !ok || f.ranking.withinGuarantee[job.Index] {
		return preemptionDelayS
	}
	return max(preemptionDelayS, (latestStart-now).Seconds()-preemptionDelayS)
}

// preemptedRecently reports whether tasks that were preempted for a job may still be stopping.
func (f *Fleet) preemptedRecently(now time.Duration, job *jobs.Job) bool {
	lastPreemption, ok := f.preemptedAt[job.Index]
	return ok && now-lastPreemption < preemptionCooldown
}

// hasLowestPriority reports whether a job has the lowest priority of all live jobs and is not within its team's
// guarantee. Such a job may not preempt any other.
func (f *Fleet) hasLowestPriority(job *jobs.Job) bool {
	return job.Priority <= f.cycle.lowestPriority && !f.ranking.withinGuarantee[job.Index]
}

// mayPreempt reports whether a job may preempt tasks of victim. If both jobs are within their teams' guarantees, or
// neither is, the victim must have a lower priority. If only the job is, the victim must have a lower priority or
// belong to another team. If only the victim is, the job may not preempt it. Gangs and services with several tasks are
// never preempted.
func (f *Fleet) mayPreempt(job, victim *jobs.Job) bool {
	if job == victim || victim.Spec == nil || job.Spec == nil {
		return false
	}
	if victim.Spec.Kind != jobs.Array && victim.TaskCount > 1 {
		return false
	}
	// The rule must be consistent with the order of RankJobs. Otherwise two jobs could preempt each other forever, each
	// taking the room that the other one freed.
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

// lostWorkSeconds returns how many seconds of work would be lost if a task were stopped.
func (f *Fleet) lostWorkSeconds(now time.Duration, job *jobs.Job, taskIndex int32) float64 {
	task := &job.Tasks[taskIndex]
	if task.Phase != jobs.Running {
		return 0
	}
	if job.Spec.CheckpointS > 0 {
		return job.Spec.SaveS
	}
	return (now - task.RunningSince).Seconds()
}

// victim is a task that may be preempted.
type victim struct {
	TaskRef
	lostSeconds float64 // seconds of work that its preemption would waste
}

// compareVictims orders victims by the work lost, then by job and task.
func compareVictims(a, b victim) int {
	return cmp.Or(cmp.Compare(a.lostSeconds, b.lostSeconds), cmp.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task))
}

// victims returns the tasks to preempt on a machine to make room for one task of a job, chosen by the least lost work,
// and the seconds of work lost. If preemption can't make enough room there, ok is false.
func (f *Fleet) victims(
	now time.Duration,
	machine *Machine,
	job *jobs.Job,
) (refs []TaskRef, lostSeconds float64, ok bool) {
	free := f.availableRoom(machine, job)
	isReserved := f.isReservedFrom(machine, job)
	var candidates []victim
	for ref := range machine.Tasks {
		if _, isBorrower := machine.borrowers[ref]; isBorrower && isReserved {
			continue // the room that its end frees is reserved
		}
		holder := f.jobAt(ref.Job)
		task := &holder.Tasks[ref.Task]
		switch {
		case task.Stopping:
			free = free.Add(holder.Spec.Size()) // a stopping task needs no preemption
		case task.State == jobs.OnMachine && f.mayPreempt(job, holder):
			candidates = append(candidates, victim{ref, f.lostWorkSeconds(now, holder, ref.Task)})
		}
	}
	slices.SortFunc(candidates, compareVictims)
	for _, candidate := range candidates {
		if f.fitsBesideReserve(machine, job, free) {
			break
		}
		free = free.Add(f.jobAt(candidate.Job).Spec.Size())
		refs = append(refs, candidate.TaskRef)
		lostSeconds += candidate.lostSeconds
	}
	return refs, lostSeconds, f.fitsBesideReserve(machine, job, free)
}

// fitsBesideReserve reports whether a task of a job fits into the free room of a machine without the accelerator
// reserve. If the reserve were ignored, tasks would be preempted repeatedly for room that the job may not use.
func (f *Fleet) fitsBesideReserve(machine *Machine, job *jobs.Job, free planner.Size) bool {
	return job.Spec.Size().Fits(free.Sub(f.reservedForGPUWork(machine, job, free.GPUs)))
}

// preemptionOption is a set of victims on a machine whose preemption makes room for one task.
type preemptionOption struct {
	machine *Machine
	victims []TaskRef
	cost    float64 // seconds until the task could start, plus the weighted seconds of lost work
}

// comparePreemptionOptions orders options by cost, then by machine.
func comparePreemptionOptions(a, b preemptionOption) int {
	return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.machine.Index, b.machine.Index))
}

// selectOptions returns the first n options, with at most maxPerZone in a zone (0: no limit). It returns nil if there
// are fewer than n: otherwise tasks would be preempted repeatedly for room that is too small for the whole gang.
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

// preemptForGang preempts tasks for a gang on the machines where the gang can start at the least cost. It chooses one
// machine for each task, all in one zone if the gang needs that. startS is the number of seconds until the gang would
// start without preemption. The result is false if nothing was preempted.
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

// preemptionOptions returns the machines on which preemption lets a task of a gang start earlier than in startS
// seconds. The key is the zone, or jobs.None for all machines if the gang may span zones.
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
		refs, lostSeconds, ok := f.victims(now, machine, job)
		f.PlanningSteps += uint64(len(machine.Tasks))
		cost := taskStartS + candidate.fetchSeconds + lossWeight*lostSeconds
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

// cheapestOptions returns one option for each task of a gang. It chooses the zone where the most expensive of these
// options is the cheapest. It returns nil if no zone has enough options.
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

// preemptForArray preempts tasks for an array on the machines where tasks of the array are queued.
func (f *Fleet) preemptForArray(now time.Duration, job *jobs.Job) {
	if job.TasksByState[jobs.Planned] == 0 || f.hasLowestPriority(job) {
		return
	}
	if f.crashLooping(job) != nil || !f.mayStart(job, 1) {
		return
	}
	maxWaitS := f.maxWaitSeconds(now, job)
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

// reserveMachine reserves room for one task of a job on a machine, against jobs that rank after the job.
func (f *Fleet) reserveMachine(machine *Machine, job *jobs.Job) {
	machine.reserved = job.Spec.Size()
	machine.reservedRank = f.rankOf(job)
	machine.reservedFirmly = false
}

// stopVictims stops the tasks on a machine that are preempted for a job.
func (f *Fleet) stopVictims(machine *Machine, job *jobs.Job, refs []TaskRef) {
	for _, ref := range refs {
		f.stopTask(f.jobAt(ref.Job), ref.Task)
	}
	if len(refs) > 0 {
		slog.Info("tasks preempted", "job", job.ID, "machine", machine.Name, "tasks", len(refs), "term", f.Term)
	}
}
