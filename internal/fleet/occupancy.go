package fleet

import (
	"time"

	"github.com/harewalk/harewalk/internal/events"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/licences"
	"github.com/harewalk/harewalk/internal/planner"
)

// setOnMachine lets a task count as being on its machine.
func (f *Fleet) setOnMachine(now time.Duration, job *jobs.Job, taskIndex int32, s jobs.TaskState) {
	task := &job.Tasks[taskIndex]
	if task.State.Occupies() {
		f.checkTransition(job.SetTaskState(taskIndex, s))
		return
	}
	machine := f.machines[task.Machine]
	f.checkTransition(job.SetTaskState(taskIndex, s))
	size := job.Spec.Size()
	machine.Tasks[TaskRef{job.Index, taskIndex}] = struct{}{}
	machine.Used = machine.Used.Add(size)
	machine.endsValid = false
	f.Gate.Acquire(now, licenceRef(job, taskIndex), task.Attempt, admissionClaim(job))
	kind := events.TaskFound
	if s == jobs.Launched {
		kind = events.TaskSent
	}
	f.addTaskEvent(now, kind, job, taskIndex, "")
	job.TasksByZone[machine.Zone]++
	if ty := f.machineType(machine); ty != nil {
		if !machine.HasImage(job.Image) {
			f.markHintsDirty(machine)
		}
		machine.touchImage(job.Image, job.Spec.ImageGB, ty.CacheGB)
	}
	machine.IdleSince = now
}

// release ends a task's being on its machine; it then is to. how says what that means for its
// licences.
func (f *Fleet) release(now time.Duration, job *jobs.Job, taskIndex int32, to jobs.TaskState, how licences.End) {
	task := &job.Tasks[taskIndex]
	if to != jobs.Finished && (job.GangDone || task.Done) {
		to = jobs.Finished
		f.addTaskEvent(now, events.TaskDone, job, taskIndex, "")
	}
	if !task.State.Occupies() {
		f.checkTransition(job.SetTaskState(taskIndex, to))
		return
	}
	machine := f.machines[task.Machine]
	size := job.Spec.Size()
	delete(machine.Tasks, TaskRef{job.Index, taskIndex})
	if task.Phase == jobs.Fetching {
		f.dropUnfetchedImage(machine, job.Image)
	}
	machine.Used = machine.Used.Sub(size)
	machine.endsValid = false
	if len(machine.Tasks) == 0 {
		machine.Used = planner.Size{} // decimals leave dust
		machine.IdleSince = now
	}
	f.Gate.Release(now, licenceRef(job, taskIndex), admissionClaim(job), how)
	job.TasksByZone[machine.Zone]--
	f.checkTransition(job.SetTaskState(taskIndex, to))
	if to == jobs.Planned {
		task.Machine = machine.Index
		job.SetTaskPhase(taskIndex, jobs.NoPhase)
		task.Attempt, task.Stopping = 0, false
		f.enqueue(machine, job, taskIndex)
	}
}

// stopTask marks a task that is to be stopped.
func (f *Fleet) stopTask(job *jobs.Job, taskIndex int32) {
	task := &job.Tasks[taskIndex]
	if !task.Stopping {
		f.addTaskEvent(f.Now(), events.TaskStopping, job, taskIndex, "")
	}
	task.Stopping = true
	if task.Machine != jobs.None {
		machine := f.machines[task.Machine]
		machine.hasStops, machine.endsValid = true, false
	}
}
