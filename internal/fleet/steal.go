package fleet

// Stealing: an idle machine takes what would wait longest elsewhere.

import (
	"container/heap"
	"math"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/planner"
)

// delayedMachine is a machine on which a job's planned tasks wait, and for how long the last one
// is expected to wait there.
type delayedMachine struct {
	machine     *Machine
	waitSeconds float64
}

type delayHeap []delayedMachine

func (d delayHeap) Len() int { return len(d) }

func (d delayHeap) Less(a, b int) bool { return d[a].waitSeconds > d[b].waitSeconds }

func (d delayHeap) Swap(a, b int) { d[a], d[b] = d[b], d[a] }

func (d *delayHeap) Push(x any) { *d = append(*d, x.(delayedMachine)) }

func (d *delayHeap) Pop() any {
	old := *d
	x := old[len(old)-1]
	*d = old[:len(old)-1]
	return x
}

// steal gives machines with free lanes unstarted tasks of the lanes furthest behind, job by
// job in rank order. Only machines with room are looked at, and of a job only those on
// which it waits.
func (f *Fleet) steal(now time.Duration) {
	least := planner.Size{CPUs: math.Inf(1), GPUs: math.Inf(1), Mem: math.Inf(1)}
	var waiting []*jobs.Job
	anyAged := false
	for _, job := range f.ranking.jobs {
		if job.Spec.Kind == jobs.Array && job.TasksByState[jobs.Planned] > 0 && f.mayStart(job, 1) {
			waiting = append(waiting, job)
			least = least.Min(job.Spec.Size())
			anyAged = anyAged || f.isStarving(job)
		}
	}
	if len(waiting) == 0 {
		return
	}
	var idle []*Machine
	for _, machine := range f.packingOrder() {
		if least.Fits(machine.Free().Sub(machine.queuedNeed)) || anyAged && least.Fits(machine.Free().Sub(machine.queuedWhole)) {
			idle = append(idle, machine)
		}
	}
	f.PlanningSteps += uint64(len(f.cycle.packedMachines))
	for _, job := range waiting {
		var ds delayHeap
		size := job.Spec.Size()
		for _, machine := range idle {
			f.PlanningSteps++
			if !size.Fits(f.spareRoom(machine, job)) || !f.fits(machine, job) || !f.mayUse(machine, job) {
				continue
			}
			if ds == nil {
				ds = f.delayedMachines(now, job)
			}
			f.stealTasks(now, machine, job, &ds)
			if len(ds) == 0 {
				break
			}
		}
	}
}

// delayedMachines lists where a job's planned tasks wait, furthest behind first.
func (f *Fleet) delayedMachines(now time.Duration, job *jobs.Job) delayHeap {
	ds := delayHeap{}
	for _, ix := range f.queueMachines(job) {
		if w, ok := f.queueWaitSeconds(now, job, f.machines[ix]); ok {
			ds = append(ds, delayedMachine{f.machines[ix], w})
		}
	}
	f.PlanningSteps += uint64(2 * len(ds))
	heap.Init(&ds)
	return ds
}

// queueWaitSeconds estimates how long the last of a job's planned tasks waits on a machine; ok is
// false if it can't be moved.
func (f *Fleet) queueWaitSeconds(now time.Duration, job *jobs.Job, machine *Machine) (float64, bool) {
	ts := machine.queued(job.Index)
	if len(ts) == 0 || !job.IsDurable(ts[len(ts)-1]) {
		return 0, false
	}
	est := f.estimate(job)
	wait := 0.0
	if !f.fits(machine, job) {
		if wait = f.secondsUntilRoom(now, machine, job); wait > 1e5 {
			wait = est
		}
	}
	n := max(1, job.Spec.Size().Copies(machine.Capacity))
	return wait + est*machine.slowdown*float64((len(ts)-1)/n) + f.fetchSeconds(job, machine), true
}

// stealTasks moves a job's tasks to a machine for as long as it has room and they would start
// sooner there, fetch included.
func (f *Fleet) stealTasks(now time.Duration, machine *Machine, job *jobs.Job, ds *delayHeap) {
	size := job.Spec.Size()
	sooner := f.fetchSeconds(job, machine) + 0.5 + f.spotWaitLimit(machine, job)
	if f.isStarving(job) {
		sooner = 0 // what was expected of its lane hasn't come true for long
	}
	for range 64 {
		if len(*ds) == 0 || (*ds)[0].waitSeconds <= sooner || !size.Fits(f.spareRoom(machine, job)) || !f.fits(machine, job) {
			return
		}
		v := (*ds)[0].machine
		ts := v.queued(job.Index)
		taskIndex := ts[len(ts)-1]
		f.dequeue(job, taskIndex)
		f.planTask(now, job, taskIndex, machine)
		f.PlanningSteps += 4
		if w, ok := f.queueWaitSeconds(now, job, v); ok {
			(*ds)[0].waitSeconds = w
			heap.Fix(ds, 0)
		} else {
			heap.Pop(ds)
		}
	}
}
