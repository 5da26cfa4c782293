package fleet

// What may start on a machine now, and how it is started.

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/planner"
)

// keptFree is what tasks without an accelerator must leave of a machine, so that its idle
// accelerators can be used by work that waits for them: small tasks that took every core
// as it came free would never let a large one in.
// A job that ranks before all such work, or is overdue to begin, nil for none, leaves nothing: it would stop that work for room which was then kept
// for the same work, again and again.
func (f *Fleet) keptFree(machine *Machine, job *jobs.Job, idle float64) planner.Size {
	if machine.Capacity.GPUs == 0 || f.gpuReserve.perGPU == (planner.Size{}) || job != nil && (job.Spec.GPUs > 0 || f.ranking.startDeadlineDue[job.Index] || f.isStartDeadlineDue(job) || f.isStarving(job)) {
		return planner.Size{}
	}
	// What such work may stop anyway need only be kept from as much as waits and may come.
	if !machine.keepsCPUsForGPUWork && job != nil && job.Priority < f.gpuReserve.priority && !f.ranking.withinGuarantee[job.Index] {
		return planner.Size{}
	}
	return f.gpuReserve.perGPU.Times(idle)
}

// isStartDeadlineDue tells whether a job ranks before all work that waits for accelerators.
func (f *Fleet) isStartDeadlineDue(job *jobs.Job) bool {
	if w := f.ranking.withinGuarantee[job.Index]; w != f.gpuReserve.withinGuarantee {
		return w
	}
	return job.Priority > f.gpuReserve.priority
}

// spotWaitLimit is by how many seconds a job that may use spot machines puts off an ordinary one
// which live jobs that may not use spot could need: they have no other.
func (f *Fleet) spotWaitLimit(machine *Machine, job *jobs.Job) float64 {
	if machine.Spot || !job.Spec.Spot || !f.gpuReserve.onDemandTypes[machine.Type] {
		return 0
	}
	if job.Spec.Kind == jobs.Array {
		return spotWaitFractionArray * f.estimate(job)
	}
	return spotWaitFractionGang * f.estimate(job)
}

// fits tells whether one more task of a job has room on a machine now.
func (f *Fleet) fits(machine *Machine, job *jobs.Job) bool {
	size := job.Spec.Size()
	free := machine.Free()
	if f.isReservedFrom(machine, job) {
		free = free.Sub(machine.reserved)
	}
	free = free.Sub(f.keptFree(machine, job, machine.Capacity.GPUs-machine.Used.GPUs))
	if job.Spec.Kind == jobs.Array {
		// Gangs already planned here wait only for their plan to be durable.
		free = free.Sub(machine.queuedWhole)
	}
	return size.Fits(free)
}

func (f *Fleet) rankOf(job *jobs.Job) int {
	if job.QueuePosition > 0 {
		return job.QueuePosition - 1
	}
	return 1 << 30
}

// sortRanked orders jobs by rank.
func (f *Fleet) sortRanked(ixs []jobs.Index) {
	slices.SortFunc(ixs, func(a, b jobs.Index) int {
		return cmp.Or(cmp.Compare(f.rankOf(f.jobAt(a)), f.rankOf(f.jobAt(b))), cmp.Compare(a, b))
	})
}

// mayUse tells whether a job's task may be on a machine, given where its others are.
func (f *Fleet) mayUse(machine *Machine, job *jobs.Job) bool {
	if !job.Allows(machine.Type, machine.Zone, machine.Spot) || (len(job.AvoidedMachines) > 0 && f.Now() < job.AvoidedMachines[machine.Index]) {
		return false
	}
	if job.Spec.OneZone {
		for z, n := range job.TasksByZone {
			if n > 0 && z != machine.Zone {
				return false
			}
		}
	}
	if lim := job.Spec.ZoneLimit(); lim > 0 && job.TasksByZone[machine.Zone]+job.TasksByZone[jobs.None] >= lim {
		return false
	}
	return true
}

// startable tells whether a planned task may be launched now.
func (f *Fleet) startable(now time.Duration, machine *Machine, job *jobs.Job, taskIndex int32) bool {
	task := &job.Tasks[taskIndex]
	return job.State == jobs.Pending && !job.Quarantined && task.State == jobs.Planned && task.Machine == machine.Index && task.NotBefore <= now &&
		job.IsDurable(taskIndex) && f.mayUse(machine, job) && f.fits(machine, job) && (f.Gate.Reserved(licenceRef(job, taskIndex)) || f.Gate.Fits(admissionClaim(job), 1))
}

// nextAttempt makes an attempt that no term has used.
func (f *Fleet) nextAttempt() uint64 {
	f.attemptCounter++
	return f.Term<<24 | f.attemptCounter
}

// launch turns a planned task into a command.
func (f *Fleet) launch(now time.Duration, machine *Machine, job *jobs.Job, taskIndex int32, attempt uint64) Command {
	task := &job.Tasks[taskIndex]
	task.LaunchedAt, task.RunningSince, task.Attempt = now, 0, attempt
	if !job.Started {
		slog.Info("job starts", "job", job.ID, "class", job.Spec.Class, "tasks", job.TaskCount, "machine", machine.Name, "waited_s", int((now - job.SubmittedAt).Seconds()),
			"fetch_s", int(f.fetchSeconds(job, machine)), "term", f.Term)
	}
	job.Started = true
	f.setOnMachine(now, job, taskIndex, jobs.Launched)
	return Command{Op: opStart, Task: taskName(job, taskIndex), Attempt: attempt}
}

// startCommands launches what a machine's lanes hold, best rank first: a lane that reports free
// gets its next planned task.
func (f *Fleet) startCommands(now time.Duration, machine *Machine) []Command {
	var out []Command
	if f.startsStopped || machine.Condition != Ready || machine.Returning || machine.QueuedTasks == 0 || !machine.smallestQueued.Fits(machine.Free()) {
		return nil
	}
	ixs := f.scratch.jobs[:0]
	for _, queue := range machine.queues {
		if job := f.jobAt(queue.job); job.Spec.Kind == jobs.Gang || f.fits(machine, job) {
			ixs = append(ixs, queue.job)
		}
	}
	f.scratch.jobs = ixs
	f.PlanningSteps += uint64(len(machine.queues))
	f.sortRanked(ixs)
	for _, jobIndex := range ixs {
		job := f.jobAt(jobIndex)
		if job.Spec.Kind == jobs.Gang {
			out = append(out, f.startGang(now, machine, job)...)
			continue
		}
		ts := machine.queued(jobIndex)
		keep := ts[:0]
		for i, taskIndex := range ts {
			if !f.fits(machine, job) {
				keep = append(keep, ts[i:]...)
				break
			}
			if !f.startable(now, machine, job, taskIndex) {
				keep = append(keep, taskIndex)
				continue
			}
			out = append(out, f.launch(now, machine, job, taskIndex, f.nextAttempt()))
		}
		if n := len(ts) - len(keep); n > 0 {
			machine.setQueue(jobIndex, keep)
			f.removeQueued(machine, job, n)
		}
	}
	return out
}

// startGang launches a gang's tasks on one machine, once the whole gang is planned
// durably and fits the team's limit. All tasks carry the attempt of the first.
func (f *Fleet) startGang(now time.Duration, machine *Machine, job *jobs.Job) []Command {
	first := true
	planned := 0
	for t := range job.Tasks {
		task := &job.Tasks[t]
		switch {
		case task.State == jobs.Unplanned || task.State == jobs.Recovered || task.Stopping || task.NotBefore > now:
			return nil
		case task.State == jobs.Planned:
			if !job.IsDurable(int32(t)) || f.machines[task.Machine].Condition != Ready {
				return nil
			}
			planned++
		case task.State.Occupies():
			first = false
		}
	}
	if first {
		if !f.mayStart(job, planned) {
			return nil
		}
		job.GangAttempt = f.nextAttempt()
		job.GangStartedAt, job.FetchS = now, 0
		for t := range job.Tasks {
			if task := &job.Tasks[t]; task.State == jobs.Planned {
				job.FetchS = max(job.FetchS, f.fetchSeconds(job, f.machines[task.Machine]))
			}
		}
	}
	// A task that has its image waits gang_wait_s for the others and then gives up, which
	// costs the whole gang its start: where the image is at hand the launch is put off for
	// as long as the others fetch it, less a good part of what the task may wait.
	lead := job.FetchS - f.fetchSeconds(job, machine) - f.Settings.Params.Workers.GangWaitS/4
	if now < job.GangStartedAt+config.Seconds(lead) {
		return nil
	}
	var out []Command
	for _, taskIndex := range slices.Clone(machine.queued(job.Index)) {
		if job.Tasks[taskIndex].State == jobs.Planned && f.startable(now, machine, job, taskIndex) {
			f.dequeue(job, taskIndex)
			out = append(out, f.launch(now, machine, job, taskIndex, job.GangAttempt))
		}
	}
	if first && len(out) > 0 {
		// The rest follows from other machines, some of it seconds later: nobody may take
		// its place meanwhile.
		f.admitGang(now, job)
	}
	return out
}
