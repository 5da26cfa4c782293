package fleet

// The conditions for the start of tasks on a machine, and their launch.

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/planner"
)

// reservedForGPUWork returns the processors and memory that a job's tasks must leave free on a machine, so that waiting
// GPU work can use the idle accelerators, idleGPUs in number. Without this reserve, small tasks that occupy each
// processor as it becomes free would keep a large task from ever starting. If job is nil, the result holds for any job
// without accelerators.
func (f *Fleet) reservedForGPUWork(machine *Machine, job *jobs.Job, idleGPUs float64) planner.Size {
	switch {
	case machine.Capacity.GPUs == 0 || f.gpuReserve.perGPU == (planner.Size{}):
		return planner.Size{}
	case job != nil && f.ignoresGPUReserve(job):
		return planner.Size{}
	case job != nil && !machine.keepsCPUsForGPUWork && f.isPreemptibleByGPUWork(job):
		// Waiting GPU work can preempt this job, so the job must leave room only on the machines that
		// reserveCPUsForGPUWork has selected, for the work that waits and may arrive.
		return planner.Size{}
	}
	return f.gpuReserve.perGPU.Scale(idleGPUs)
}

// ignoresGPUReserve reports whether a job need not leave room for waiting GPU work. Otherwise a job that ranks before
// all such work, or is overdue, would preempt GPU work for room that is then reserved for the same work, again and
// again.
func (f *Fleet) ignoresGPUReserve(job *jobs.Job) bool {
	return job.Spec.GPUs > 0 ||
		f.ranking.startDeadlineDue[job.Index] ||
		f.outranksGPUWork(job) ||
		f.isStarving(job)
}

// isPreemptibleByGPUWork reports whether some waiting GPU work may preempt a job.
func (f *Fleet) isPreemptibleByGPUWork(job *jobs.Job) bool {
	return job.Priority < f.gpuReserve.priority && !f.ranking.withinGuarantee[job.Index]
}

// outranksGPUWork reports whether a job ranks before all waiting GPU work.
func (f *Fleet) outranksGPUWork(job *jobs.Job) bool {
	withinGuarantee := f.ranking.withinGuarantee[job.Index]
	if withinGuarantee != f.gpuReserve.withinGuarantee {
		return withinGuarantee
	}
	return job.Priority > f.gpuReserve.priority
}

// spotWaitLimit returns for how many seconds a job that may use spot machines waits for a spot machine before it uses
// the given on-demand machine. It is 0 unless live jobs that must not use spot machines need a machine of this type.
func (f *Fleet) spotWaitLimit(machine *Machine, job *jobs.Job) float64 {
	if machine.Spot || !job.Spec.Spot || !f.gpuReserve.onDemandTypes[machine.Type] {
		return 0
	}
	if job.Spec.Kind == jobs.Array {
		return spotWaitFractionArray * f.estimate(job)
	}
	return spotWaitFractionGang * f.estimate(job)
}

// fits reports whether one more task of a job has room on a machine now.
func (f *Fleet) fits(machine *Machine, job *jobs.Job) bool {
	size := job.Spec.Size()
	free := machine.Free()
	free = free.Sub(f.reservedFrom(machine, job))
	free = free.Sub(f.reservedForGPUWork(machine, job, machine.Capacity.GPUs-machine.Used.GPUs))
	if job.Spec.Kind == jobs.Array {
		// Gangs and services that are queued here start as soon as their plan is durable, so arrays leave room for
		// them.
		free = free.Sub(machine.queuedWithoutArrays)
	}
	return size.Fits(free)
}

// lowestRank is the rank of jobs that are not in the priority order yet, and the reservedRank of machines without a
// reservation. Every ranked job ranks before it.
const lowestRank = 1 << 30

// rankOf returns a job's place in the priority order; 0 is the highest.
func (f *Fleet) rankOf(job *jobs.Job) int {
	if job.QueuePosition > 0 {
		return job.QueuePosition - 1
	}
	return lowestRank
}

// sortIndicesByRank sorts jobs by rank.
func (f *Fleet) sortIndicesByRank(indices []jobs.Index) {
	slices.SortFunc(indices, func(a, b jobs.Index) int {
		return cmp.Or(cmp.Compare(f.rankOf(f.jobAt(a)), f.rankOf(f.jobAt(b))), cmp.Compare(a, b))
	})
}

// mayPlace reports whether the constraints of a job allow one more of its tasks on a machine, given the machines of its
// other tasks.
func (f *Fleet) mayPlace(machine *Machine, job *jobs.Job) bool {
	if !job.Allows(machine.Type, machine.Zone, machine.Spot) {
		return false
	}
	if len(job.AvoidedMachines) > 0 && f.Now() < job.AvoidedMachines[machine.Index] {
		return false
	}
	if job.Spec.OneZone && hasTasksOutside(job, machine.Zone) {
		return false
	}
	limit := job.Spec.ZoneLimit()
	return limit <= 0 || job.TasksByZone[machine.Zone]+job.TasksByZone[jobs.None] < limit
}

// hasTasksOutside reports whether any of a job's tasks counts in another zone than the given one.
func hasTasksOutside(job *jobs.Job, zone int32) bool {
	for taskZone, count := range job.TasksByZone {
		if count > 0 && taskZone != zone {
			return true
		}
	}
	return false
}

// mayLaunch reports whether a planned task may be launched on a machine now.
func (f *Fleet) mayLaunch(now time.Duration, machine *Machine, job *jobs.Job, taskIndex int32) bool {
	task := &job.Tasks[taskIndex]
	if job.State != jobs.Pending || job.Quarantined || job.Blocked {
		return false
	}
	if task.State != jobs.Planned || task.Machine != machine.Index || task.NotBefore > now {
		return false
	}
	if !machine.hasListRoom() || !job.IsDurable(taskIndex) || !f.mayPlace(machine, job) || !f.fits(machine, job) {
		return false
	}
	return f.Gate.Reserved(licenceRef(job, taskIndex)) || f.Gate.Fits(admissionClaim(job), 1)
}

// attemptBits is the number of low bits of an attempt number that count the attempts of a term.
const attemptBits = 24

// nextAttempt returns an attempt number that was not used before, in any term.
func (f *Fleet) nextAttempt() uint64 {
	f.attemptCounter++
	return f.Term<<attemptBits | f.attemptCounter
}

// launch changes a planned task's state to launched and returns the command that starts the task.
func (f *Fleet) launch(now time.Duration, machine *Machine, job *jobs.Job, taskIndex int32, attempt uint64) Command {
	task := &job.Tasks[taskIndex]
	task.LaunchedAt = now
	task.RunningSince = 0
	task.Attempt = attempt
	if !job.Started {
		slog.Info("job starts", "job", job.ID, "class", job.Spec.Class, "tasks", job.TaskCount, "machine", machine.Name,
			"waited_s", int((now - job.ReadyAt()).Seconds()),
			"fetch_s", int(f.fetchSeconds(job, machine)), "term", f.Term)
	}
	job.Started = true
	f.recordBorrower(machine, job, taskIndex)
	f.setOnMachine(now, job, taskIndex, jobs.Launched)
	return startCommand(taskName(job, taskIndex), attempt).because(causeStart)
}

// appendStarts launches the queued tasks that fit a machine now, in priority order, and appends their start commands.
func (f *Fleet) appendStarts(commands []Command, now time.Duration, machine *Machine) []Command {
	if f.startsStopped || machine.Condition != Ready || machine.Returning {
		return commands
	}
	if machine.QueuedTasks == 0 || !machine.hasListRoom() || !machine.smallestQueued.Fits(machine.Free()) {
		return commands
	}
	indices := f.scratch.jobIndices[:0]
	for _, queue := range machine.queues {
		job := f.jobAt(queue.job)
		if job.Spec.Kind == jobs.Gang || f.fits(machine, job) {
			indices = append(indices, queue.job)
		}
	}
	f.scratch.jobIndices = indices
	f.PlanningSteps += uint64(len(machine.queues))
	f.sortIndicesByRank(indices)
	for _, jobIndex := range indices {
		job := f.jobAt(jobIndex)
		if job.Spec.Kind == jobs.Gang {
			commands = f.appendGangStarts(commands, now, machine, job)
		} else {
			commands = f.appendQueuedStarts(commands, now, machine, job)
		}
	}
	return commands
}

// appendQueuedStarts launches as many of a job's queued tasks as fit a machine now, and appends their start commands.
func (f *Fleet) appendQueuedStarts(commands []Command, now time.Duration, machine *Machine, job *jobs.Job) []Command {
	queued := machine.queued(job.Index)
	remaining := queued[:0]
	for i, taskIndex := range queued {
		if !machine.hasListRoom() || !f.fits(machine, job) {
			remaining = append(remaining, queued[i:]...)
			break
		}
		if !f.mayLaunch(now, machine, job, taskIndex) {
			remaining = append(remaining, taskIndex)
			continue
		}
		commands = append(commands, f.launch(now, machine, job, taskIndex, f.nextAttempt()))
	}
	if launched := len(queued) - len(remaining); launched > 0 {
		machine.setQueue(job.Index, remaining)
		f.removeQueued(machine, job, launched)
	}
	return commands
}

// appendGangStarts launches a gang's tasks on one machine and appends their start commands, once the whole gang has a
// durable plan and is admitted by quota and licences. All tasks of the gang have the same attempt number.
func (f *Fleet) appendGangStarts(commands []Command, now time.Duration, machine *Machine, job *jobs.Job) []Command {
	planned, mayStart := f.plannedGangTasks(now, job)
	if !mayStart {
		return commands
	}
	isFirst := job.TasksOnMachines() == 0
	if isFirst {
		if !f.mayStart(job, planned) {
			return commands
		}
		f.beginGangStart(now, job)
	}
	if now < job.GangStartedAt+f.gangLaunchDelay(machine, job) {
		return commands
	}
	before := len(commands)
	for _, taskIndex := range slices.Clone(machine.queued(job.Index)) {
		if job.Tasks[taskIndex].State == jobs.Planned && f.mayLaunch(now, machine, job, taskIndex) {
			f.dequeue(job, taskIndex)
			commands = append(commands, f.launch(now, machine, job, taskIndex, job.GangAttempt))
		}
	}
	if isFirst && len(commands) > before {
		// The gang's other tasks start on other machines, some of them seconds later. The quota and licences of all
		// tasks are taken now.
		f.admitGang(now, job)
	}
	return commands
}

// plannedGangTasks returns how many of a gang's tasks are planned and not yet launched. ok is false if the gang can't
// start now because a task has no durable plan on a ready machine, is about to stop, or must not start yet.
func (f *Fleet) plannedGangTasks(now time.Duration, job *jobs.Job) (planned int, ok bool) {
	for t := range job.Tasks {
		task := &job.Tasks[t]
		switch {
		case task.State == jobs.Unplanned || task.State == jobs.Recovered || task.Stopping || task.NotBefore > now:
			return 0, false
		case task.State == jobs.Planned:
			if !job.IsDurable(int32(t)) || f.machines[task.Machine].Condition != Ready {
				return 0, false
			}
			planned++
		}
	}
	return planned, true
}

// beginGangStart sets the attempt number and start time of a gang that is about to start, and the longest image
// download among its tasks.
func (f *Fleet) beginGangStart(now time.Duration, job *jobs.Job) {
	job.GangAttempt = f.nextAttempt()
	job.GangStartedAt = now
	job.GangFetchS = 0
	for t := range job.Tasks {
		task := &job.Tasks[t]
		if task.State == jobs.Planned {
			job.GangFetchS = max(job.GangFetchS, f.fetchSeconds(job, f.machines[task.Machine]))
		}
	}
}

// gangLaunchDelay returns the delay of the launch of a gang's tasks on a machine. A task that has its image waits for
// gang_wait_s for the other tasks and then exits, and the start of the whole gang fails. So the launch on a machine
// with a shorter download is delayed by the difference to the gang's longest download, less a quarter of gang_wait_s.
func (f *Fleet) gangLaunchDelay(machine *Machine, job *jobs.Job) time.Duration {
	delayS := job.GangFetchS - f.fetchSeconds(job, machine) - f.Settings.Params.Workers.GangWaitS/4
	return jobs.Seconds(delayS)
}
