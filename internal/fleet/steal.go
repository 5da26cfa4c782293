package fleet

// Work stealing: tasks with the longest expected wait in other machines' queues are moved to a machine with free
// slots.

import (
	"container/heap"
	"math"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/planner"
)

const (
	// maxStolenTasks is how many tasks of one job may be moved to one machine in a cycle.
	maxStolenTasks = 64
	// minStealGainSeconds is how much sooner a task must start to be moved, the fetch of its image included.
	minStealGainSeconds = 0.5
)

// delayedMachine is a machine on which tasks of a job are queued.
type delayedMachine struct {
	machine     *Machine
	waitSeconds float64 // expected wait of the last of these tasks
}

// delayHeap is a heap of machines with the longest wait on top.
type delayHeap []delayedMachine

// Len implements heap.Interface.
func (h delayHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h delayHeap) Less(a, b int) bool { return h[a].waitSeconds > h[b].waitSeconds }

// Swap implements heap.Interface.
func (h delayHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

// Push implements heap.Interface.
func (h *delayHeap) Push(x any) { *h = append(*h, x.(delayedMachine)) }

// Pop implements heap.Interface.
func (h *delayHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// steal moves queued tasks of arrays from machines with the longest waits to machines with free slots, job by job in
// priority order. It examines only machines with room and, for each job, the machines where tasks of it are queued.
func (f *Fleet) steal(now time.Duration) {
	queuedJobs := f.queuedArrays()
	if len(queuedJobs) == 0 {
		return
	}
	withRoom := f.machinesWithRoom(queuedJobs)
	for _, job := range queuedJobs {
		var delayed delayHeap
		size := job.Spec.Size()
		for _, machine := range withRoom {
			f.PlanningSteps++
			if !size.Fits(f.roomBesideQueue(machine, job)) || !f.fits(machine, job) || !f.mayPlace(machine, job) {
				continue
			}
			if delayed == nil {
				delayed = f.delayedMachines(now, job)
			}
			f.stealTasks(now, machine, job, &delayed)
			if len(delayed) == 0 {
				break
			}
		}
	}
}

// queuedArrays returns the arrays with queued tasks that may start, in priority order.
func (f *Fleet) queuedArrays() []*jobs.Job {
	var queuedJobs []*jobs.Job
	for _, job := range f.ranking.jobs {
		if job.Spec.Kind == jobs.Array && job.TasksByState[jobs.Planned] > 0 && f.mayStart(job, 1) {
			queuedJobs = append(queuedJobs, job)
		}
	}
	return queuedJobs
}

// machinesWithRoom returns the machines that may have room for a task of any of the given jobs in addition to the
// tasks in their queues.
func (f *Fleet) machinesWithRoom(queuedJobs []*jobs.Job) []*Machine {
	smallest := planner.Size{CPUs: math.Inf(1), GPUs: math.Inf(1), Mem: math.Inf(1)}
	anyStarving := false
	for _, job := range queuedJobs {
		smallest = smallest.Min(job.Spec.Size())
		anyStarving = anyStarving || f.isStarving(job)
	}
	var withRoom []*Machine
	for _, machine := range f.packingOrder() {
		free := machine.Free()
		fitsBesideQueue := smallest.Fits(free.Sub(machine.queuedNeed))
		if fitsBesideQueue || anyStarving && smallest.Fits(free.Sub(machine.queuedWithoutArrays)) {
			withRoom = append(withRoom, machine)
		}
	}
	f.PlanningSteps += uint64(len(f.cycle.packedMachines))
	return withRoom
}

// delayedMachines returns the machines with queued tasks of a job that can be moved.
func (f *Fleet) delayedMachines(now time.Duration, job *jobs.Job) delayHeap {
	delayed := delayHeap{}
	for _, machineIndex := range f.queueMachines(job) {
		machine := f.machines[machineIndex]
		if wait, ok := f.queueWaitSeconds(now, job, machine); ok {
			delayed = append(delayed, delayedMachine{machine, wait})
		}
	}
	f.PlanningSteps += uint64(2 * len(delayed))
	heap.Init(&delayed)
	return delayed
}

// queueWaitSeconds estimates how long the last of a job's tasks in a machine's queue will wait. If the job has no task
// there, or the plan of that task isn't durable, ok is false: the task can't be moved.
func (f *Fleet) queueWaitSeconds(now time.Duration, job *jobs.Job, machine *Machine) (wait float64, ok bool) {
	queued := machine.queued(job.Index)
	if len(queued) == 0 || !job.IsDurable(queued[len(queued)-1]) {
		return 0, false
	}
	taskSeconds := f.estimate(job)
	if !f.fits(machine, job) {
		wait = f.secondsUntilRoom(now, machine, job)
		if wait > maxCredibleWaitSeconds {
			wait = taskSeconds
		}
	}
	slots := max(1, job.Spec.Size().FitCount(machine.Capacity))
	rounds := float64((len(queued) - 1) / slots) // batches of concurrent tasks that run before the last task
	return wait + taskSeconds*machine.slowdown*rounds + f.fetchSeconds(job, machine), true
}

// stealTasks moves queued tasks of a job to a machine until it has no more room or tasks would not start sooner there.
func (f *Fleet) stealTasks(now time.Duration, machine *Machine, job *jobs.Job, delayed *delayHeap) {
	size := job.Spec.Size()
	minWait := f.fetchSeconds(job, machine) + minStealGainSeconds + f.spotWaitLimit(machine, job)
	if f.isStarving(job) {
		minWait = 0 // the job has waited far longer than estimated: any queued task may move
	}
	for range maxStolenTasks {
		if len(*delayed) == 0 || (*delayed)[0].waitSeconds <= minWait {
			return
		}
		if !size.Fits(f.roomBesideQueue(machine, job)) || !f.fits(machine, job) {
			return
		}
		source := (*delayed)[0].machine
		queued := source.queued(job.Index)
		taskIndex := queued[len(queued)-1]
		f.dequeue(job, taskIndex)
		f.planTask(now, job, taskIndex, machine)
		f.PlanningSteps += 4
		if wait, ok := f.queueWaitSeconds(now, job, source); ok {
			(*delayed)[0].waitSeconds = wait
			heap.Fix(delayed, 0)
		} else {
			heap.Pop(delayed)
		}
	}
}
