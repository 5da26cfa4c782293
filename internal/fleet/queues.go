package fleet

import (
	"slices"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/planner"
)

// enqueue queues a planned task at its machine.
func (f *Fleet) enqueue(machine *Machine, job *jobs.Job, taskIndex int32) {
	machine.setQueue(job.Index, append(machine.queued(job.Index), taskIndex))
	at := f.queuedOn[job.Index]
	if at == nil {
		at = map[int32]int{}
		f.queuedOn[job.Index] = at
	}
	at[machine.Index]++
	size := job.Spec.Size()
	if machine.QueuedTasks == 0 {
		machine.smallestQueued = size
	}
	machine.smallestQueued = machine.smallestQueued.Min(size)
	machine.QueuedTasks++
	machine.queuedNeed = machine.queuedNeed.Add(size)
	if job.Spec.Kind != jobs.Array {
		machine.queuedWithoutArrays = machine.queuedWithoutArrays.Add(size)
	}
}

// removeQueued keeps the books when n of a job's tasks have left a machine's lanes.
func (f *Fleet) removeQueued(machine *Machine, job *jobs.Job, n int) {
	if at := f.queuedOn[job.Index]; at != nil {
		if at[machine.Index] -= n; at[machine.Index] <= 0 {
			delete(at, machine.Index)
		}
		if len(at) == 0 {
			delete(f.queuedOn, job.Index)
		}
	}
	machine.QueuedTasks -= n
	if machine.QueuedTasks == 0 {
		machine.queuedNeed, machine.queuedWithoutArrays = planner.Size{}, planner.Size{} // decimals leave dust
		return
	}
	size := job.Spec.Size().Times(float64(n))
	machine.queuedNeed = machine.queuedNeed.Sub(size)
	if job.Spec.Kind != jobs.Array {
		machine.queuedWithoutArrays = machine.queuedWithoutArrays.Sub(size)
	}
}

// clearQueues empties a machine's lanes: its planned tasks are to be planned anew.
func (f *Fleet) clearQueues(machine *Machine) {
	for len(machine.queues) > 0 {
		queue := machine.queues[len(machine.queues)-1]
		job := f.jobAt(queue.job)
		for _, taskIndex := range queue.tasks {
			if job.Tasks != nil && job.Tasks[taskIndex].State == jobs.Planned && job.Tasks[taskIndex].Machine == machine.Index {
				f.checkTransition(job.SetTaskState(taskIndex, jobs.Unplanned))
			}
		}
		machine.setQueue(queue.job, nil)
		f.removeQueued(machine, job, len(queue.tasks))
	}
}

// queueMachines lists the machines on which a job's planned tasks wait, in a fixed order.
func (f *Fleet) queueMachines(job *jobs.Job) []int32 {
	at := f.queuedOn[job.Index]
	out := make([]int32, 0, len(at))
	for m := range at {
		out = append(out, m)
	}
	slices.Sort(out)
	return out
}

// dequeue takes a task out of its machine's lanes.
func (f *Fleet) dequeue(job *jobs.Job, taskIndex int32) {
	task := &job.Tasks[taskIndex]
	if task.Machine == jobs.None {
		return
	}
	machine := f.machines[task.Machine]
	ts := machine.queued(job.Index)
	if i := slices.Index(ts, taskIndex); i >= 0 {
		machine.setQueue(job.Index, slices.Delete(ts, i, i+1))
		f.removeQueued(machine, job, 1)
	}
}
