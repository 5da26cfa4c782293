package fleet

import (
	"time"

	"github.com/harewalk/harewalk/internal/events"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/licences"
	"github.com/harewalk/harewalk/internal/planner"
)

// The tasks that count as on a machine. A task counts from its launch, in the machine's used capacity, its team's
// quota, its licences and its zone, until release is called after a proof that the task is not on the machine any
// more.

// setOnMachine changes a task's state to one in which the task counts as on its machine.
func (f *Fleet) setOnMachine(now time.Duration, job *jobs.Job, taskIndex int32, to jobs.TaskState) {
	task := &job.Tasks[taskIndex]
	if task.State.Occupies() {
		f.checkTransition(job.SetTaskState(taskIndex, to))
		return
	}
	machine := f.machines[task.Machine]
	f.checkTransition(job.SetTaskState(taskIndex, to))
	size := job.Spec.Size()
	machine.Tasks[TaskRef{job.Index, taskIndex}] = struct{}{}
	machine.Used = machine.Used.Add(size)
	machine.endsValid = false
	f.Gate.Acquire(now, licenceRef(job, taskIndex), task.Attempt, admissionClaim(job))
	kind := events.TaskFound
	if to == jobs.Launched {
		kind = events.TaskLaunched
	}
	f.addTaskEvent(now, kind, job, taskIndex)
	job.TasksByZone[machine.Zone]++
	if machineType := f.machineType(machine); machineType != nil {
		if !machine.HasImage(job.Image) {
			f.markHintsDirty(machine)
		}
		machine.touchImage(job.Image, job.Spec.ImageGB, machineType.CacheGB)
	}
	machine.IdleSince = now
}

// release changes a task's state to one in which the task does not count as on its machine, and frees the capacity,
// quota and licence units that the task used. The state of a task that is done, or whose gang is done, becomes
// Finished instead. The end determines when the licence units are free again.
func (f *Fleet) release(now time.Duration, job *jobs.Job, taskIndex int32, to jobs.TaskState, end licences.End) {
	task := &job.Tasks[taskIndex]
	if to != jobs.Finished && (job.GangDone || task.Done) {
		to = jobs.Finished
		f.addTaskEvent(now, events.TaskDone, job, taskIndex)
	}
	if !task.State.Occupies() {
		f.checkTransition(job.SetTaskState(taskIndex, to))
		return
	}
	machine := f.machines[task.Machine]
	size := job.Spec.Size()
	delete(machine.Tasks, TaskRef{job.Index, taskIndex})
	machine.removeBorrower(TaskRef{job.Index, taskIndex}, size)
	if task.Phase == jobs.Fetching {
		f.dropUnfetchedImage(machine, job.Image)
	}
	machine.Used = machine.Used.Sub(size)
	machine.endsValid = false
	if len(machine.Tasks) == 0 {
		machine.Used = planner.Size{} // clears rounding errors
		machine.IdleSince = now
	}
	f.Gate.Release(now, licenceRef(job, taskIndex), admissionClaim(job), end)
	job.TasksByZone[machine.Zone]--
	f.checkTransition(job.SetTaskState(taskIndex, to))
	if to == jobs.Planned {
		task.Machine = machine.Index
		job.SetTaskPhase(taskIndex, jobs.NoPhase)
		task.Attempt = 0
		task.Stopping = false
		f.enqueue(machine, job, taskIndex)
	}
}

// stopTask marks a task to be stopped. The next heartbeat response or direct request to its machine carries the stop
// command.
func (f *Fleet) stopTask(job *jobs.Job, taskIndex int32) {
	task := &job.Tasks[taskIndex]
	if !task.Stopping {
		f.addTaskEvent(f.Now(), events.TaskStopping, job, taskIndex)
	}
	task.Stopping = true
	if task.Machine != jobs.None {
		machine := f.machines[task.Machine]
		machine.hasStops = true
		machine.endsValid = false
	}
}

// stopTasksOnMachines marks those of a job's tasks to be stopped that count as on a machine.
func (f *Fleet) stopTasksOnMachines(job *jobs.Job) {
	for t := range job.Tasks {
		if job.Tasks[t].State.Occupies() {
			f.stopTask(job, int32(t))
		}
	}
}
