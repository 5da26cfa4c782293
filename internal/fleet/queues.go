package fleet

// The queues of machines: tasks that are planned there and have not been launched.

import (
	"slices"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/planner"
)

// enqueue appends a planned task to the queue of its machine.
func (f *Fleet) enqueue(machine *Machine, job *jobs.Job, taskIndex int32) {
	machine.setQueue(job.Index, append(machine.queued(job.Index), taskIndex))
	counts := f.queuedOn[job.Index]
	if counts == nil {
		counts = map[int32]int{}
		f.queuedOn[job.Index] = counts
	}
	counts[machine.Index]++
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

// dequeue removes a task from the queue of its machine, if it is in it.
func (f *Fleet) dequeue(job *jobs.Job, taskIndex int32) {
	task := &job.Tasks[taskIndex]
	if task.Machine == jobs.None {
		return
	}
	machine := f.machines[task.Machine]
	queued := machine.queued(job.Index)
	if i := slices.Index(queued, taskIndex); i >= 0 {
		machine.setQueue(job.Index, slices.Delete(queued, i, i+1))
		f.removeQueued(machine, job, 1)
	}
}

// removeQueued updates the counts and sums of a machine's queues after count tasks of a job have been removed.
func (f *Fleet) removeQueued(machine *Machine, job *jobs.Job, count int) {
	if counts := f.queuedOn[job.Index]; counts != nil {
		counts[machine.Index] -= count
		if counts[machine.Index] <= 0 {
			delete(counts, machine.Index)
		}
		if len(counts) == 0 {
			delete(f.queuedOn, job.Index)
		}
	}
	machine.QueuedTasks -= count
	if machine.QueuedTasks == 0 {
		// Reset to exactly zero: adding and subtracting decimal amounts leaves a rounding error.
		machine.queuedNeed = planner.Size{}
		machine.queuedWithoutArrays = planner.Size{}
		return
	}
	size := job.Spec.Size().Scale(float64(count))
	machine.queuedNeed = machine.queuedNeed.Sub(size)
	if job.Spec.Kind != jobs.Array {
		machine.queuedWithoutArrays = machine.queuedWithoutArrays.Sub(size)
	}
}

// unplanTask removes a planned task from its machine's queue and makes it unplanned.
func (f *Fleet) unplanTask(job *jobs.Job, taskIndex int32) {
	f.dequeue(job, taskIndex)
	f.checkTransition(job.SetTaskState(taskIndex, jobs.Unplanned))
}

// unplanTasks makes all planned tasks of a job unplanned.
func (f *Fleet) unplanTasks(job *jobs.Job) {
	for t := range job.Tasks {
		if job.Tasks[t].State == jobs.Planned {
			f.unplanTask(job, int32(t))
		}
	}
}

// dropPlans makes n planned tasks of a job unplanned. It does nothing for a gang that has tasks on machines.
func (f *Fleet) dropPlans(job *jobs.Job, n int) {
	if n <= 0 || (job.Spec.Kind == jobs.Gang && job.TasksOnMachines() > 0) {
		return
	}
	for _, machineIndex := range f.queueMachines(job) {
		for n > 0 {
			queued := f.machines[machineIndex].queued(job.Index)
			if len(queued) == 0 {
				break
			}
			taskIndex := queued[len(queued)-1]
			f.unplanTask(job, taskIndex)
			n--
		}
	}
}

// clearQueues empties a machine's queues and makes the planned tasks in them unplanned.
func (f *Fleet) clearQueues(machine *Machine) {
	for len(machine.queues) > 0 {
		queue := machine.queues[len(machine.queues)-1]
		job := f.jobAt(queue.job)
		for _, taskIndex := range queue.tasks {
			if job.Tasks == nil {
				break
			}
			if task := &job.Tasks[taskIndex]; task.State == jobs.Planned && task.Machine == machine.Index {
				f.checkTransition(job.SetTaskState(taskIndex, jobs.Unplanned))
			}
		}
		machine.setQueue(queue.job, nil)
		f.removeQueued(machine, job, len(queue.tasks))
	}
}

// queueMachines returns the indices of the machines on which a job's tasks are queued, in ascending order.
func (f *Fleet) queueMachines(job *jobs.Job) []int32 {
	counts := f.queuedOn[job.Index]
	machines := make([]int32, 0, len(counts))
	for machineIndex := range counts {
		machines = append(machines, machineIndex)
	}
	slices.Sort(machines)
	return machines
}
