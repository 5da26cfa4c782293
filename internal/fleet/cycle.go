package fleet

// Passes of planning, and what is due at a time.

import (
	"math"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/planner"
)

// Bounds on the work of one pass, so that no job however large stalls the loop.
const (
	planSlice  = 1024    // tasks planned at once
	reduceWork = 400_000 // lanes looked at by the loops of reduce, together
	reduceLoop = 256     // loops of reduce at once
	manyWork   = 64      // planned tasks read one by one into lane loads
	arraySteps = 40_000  // steps for planning arrays before the rest waits for the next pass
	searches   = 8       // preemptions for gangs
)

// endsFor is how long expected ends are used before they are estimated anew.
const endsFor = time.Second

// schedulingCycle is what one pass of planning remembers.
type schedulingCycle struct {
	fields map[jobShape]*candidateList
	vain   map[preemptionShape]bool // preemption was tried for the like and nothing was found
	tries  int                      // preemptions that were tried
	lowest int                      // the lowest priority of any live job
	packed []*Machine               // see Fleet.packed
	began  uint64                   // Steps at the start
}

// What part of its run time a task may wait for a spot machine: one of an array is moved
// again if an ordinary machine stays free, a gang is not.
const (
	yieldArray = 0.5
	yieldGang  = 0.1
)

// findGPUReserve finds what waiting work takes of a machine for each accelerator.
func (f *Fleet) findGPUReserve() {
	f.gpuReserve.perGPU, f.gpuReserve.withinGuarantee, f.gpuReserve.priority = planner.Size{}, false, math.MinInt
	var wait waitingAccelerators
	clear(f.gpuReserve.onDemandTypes)
	for _, job := range f.ranking.jobs {
		if job.Idle() {
			continue
		}
		if !job.Spec.Spot {
			for ix := range f.gpuReserve.seenTypes {
				if machineType := f.Types(ix); machineType != nil && job.Allows(ix, job.Zone, false) && job.Spec.Size().Fits(machineType.Size) {
					f.gpuReserve.onDemandTypes[ix] = true
				}
			}
		}
		// What its team's limit keeps waiting needs no room, nor what fails wherever it runs.
		if size := job.Spec.Size(); size.GPUs > 0 && job.UnstartedTasks() > 0 && f.crashLooping(job) == nil && f.mayStart(job, 1) {
			if n := size.GPUs * float64(job.UnstartedTasks()); job.Spec.Spot {
				wait.any += n
			} else {
				wait.ordinary += n
			}
			f.gpuReserve.perGPU.CPUs = max(f.gpuReserve.perGPU.CPUs, size.CPUs/size.GPUs)
			f.gpuReserve.perGPU.Mem = max(f.gpuReserve.perGPU.Mem, size.Mem/size.GPUs)
			switch w := f.ranking.withinGuarantee[job.Index]; {
			case w && !f.gpuReserve.withinGuarantee:
				f.gpuReserve.withinGuarantee, f.gpuReserve.priority = true, job.Priority
			case w == f.gpuReserve.withinGuarantee:
				f.gpuReserve.priority = max(f.gpuReserve.priority, job.Priority)
			}
		}
	}
	if f.gpuReserve.perGPU != (planner.Size{}) {
		f.reserveCPUsForGPUWork(wait)
	}
}

// reservedGPUFraction is the part of all accelerators beside which cores are left for work that is still to come.
const reservedGPUFraction = 0.25

// waitingAccelerators are the accelerators that waiting work needs, by where it may run.
type waitingAccelerators struct{ any, ordinary float64 }

// reserveCPUsForGPUWork marks the machines on which cores are left beside accelerators: as many idle accelerators as twice what waits for
// them, and a quarter of all for what comes next, on the machines that such work may use. They were once left on every
// machine as long as a single task waited: three thousand tasks without accelerators stood beside three hundred idle machines.
func (f *Fleet) reserveCPUsForGPUWork(w waitingAccelerators) {
	all, left := map[bool]float64{}, map[bool]float64{}
	for _, machine := range f.machines {
		if machine.Condition == Ready && !machine.Returning {
			all[machine.Spot] += machine.Capacity.GPUs
		}
	}
	left[true] = 2*w.any + reservedGPUFraction*all[true]
	left[false] = 2*(w.any+w.ordinary) + reservedGPUFraction*all[false]
	for _, machine := range f.machines {
		machine.keepsCPUsForGPUWork = left[machine.Spot] > 0
		if machine.Condition == Ready && !machine.Returning {
			left[machine.Spot] -= machine.Capacity.GPUs - machine.Used.GPUs
		}
	}
	f.PlanningSteps += uint64(2 * len(f.machines))
}

// schedule plans what is unplanned, in rank order, and lets free lanes steal.
func (f *Fleet) schedule(now time.Duration) {
	f.cycle = schedulingCycle{fields: map[jobShape]*candidateList{}, vain: map[preemptionShape]bool{}, began: f.PlanningSteps, lowest: math.MaxInt}
	if now-f.ranking.at > 500*time.Millisecond || f.ranking.at == 0 {
		f.RankJobs(now)
	}
	for _, machine := range f.machines {
		machine.reserved, machine.reservedRank, machine.reservedFirmly = planner.Size{}, 1<<30, false
	}
	for _, job := range f.ranking.jobs {
		f.cycle.lowest = min(f.cycle.lowest, job.Priority)
	}
	f.grantLicences(now)
	f.findGPUReserve()
	f.trackRoom(now)
	f.PlanningSteps += uint64(len(f.machines) + 2*len(f.ranking.jobs))
	for _, job := range f.ranking.jobs {
		if job.FinishedTasks == job.TaskCount || job.Idle() {
			continue
		}
		switch job.Spec.Kind {
		case jobs.Gang:
			f.replanGang(now, job)
			f.placeGang(now, job)
		case jobs.Service:
			f.placeService(now, job)
		default:
			f.planArray(now, job)
			f.preemptForArray(now, job)
		}
	}
	f.steal(now)
}

// replanGang replans gangs that cannot start as planned: a planned gang whose machine was
// lost or filled up, and a running gang that lost a task.
func (f *Fleet) replanGang(now time.Duration, job *jobs.Job) {
	unplanned, planned, on := job.TasksByState[jobs.Unplanned], job.TasksByState[jobs.Planned], job.TasksOnMachines()
	if planned > 0 && on == 0 {
		for t := range job.Tasks {
			task := &job.Tasks[t]
			if task.State != jobs.Planned {
				continue
			}
			machine := f.machines[task.Machine]
			// Placed gangs are started at the next chance; one that no longer fits
			// (its room went to a task that a report brought up) is placed anew.
			if machine.Condition != Ready || machine.Returning || (job.IsDurable(int32(t)) && !f.fits(machine, job)) || unplanned > 0 {
				for o := range job.Tasks {
					if job.Tasks[o].State == jobs.Planned {
						f.dequeue(job, int32(o))
						f.checkTransition(job.SetTaskState(int32(o), jobs.Unplanned))
					}
				}
				return
			}
		}
	}
	if on > 0 && unplanned > 0 && job.TaskCount > 1 {
		// The rest must go before the gang can start anew.
		for t := range job.Tasks {
			task := &job.Tasks[t]
			if task.State.Occupies() {
				f.stopTask(job, int32(t))
			} else if task.State == jobs.Planned {
				f.dequeue(job, int32(t))
				f.checkTransition(job.SetTaskState(int32(t), jobs.Unplanned))
			}
		}
	}
}

// Tick does what is due at a time: ends leases, plans, writes and sends launches.
func (f *Fleet) Tick(now time.Duration, authority bool) {
	if !f.plansLoaded {
		return
	}
	if f.writer.retry != nil && now >= f.writer.retryAt {
		again := f.writer.retry
		f.writer.retry = nil
		again(now)
	}
	f.expire(now)
	if !f.Gate.Licences.None() {
		f.Gate.Licences.Tick(now, time.UnixMilli(f.Jobs.WallMS(now)))
	}
	planned := now >= f.nextCycle
	if planned {
		before := f.PlanningSteps
		f.schedule(now)
		// Planning leaves most of the processor to reports and renewals: the next pass
		// comes the later the more this one had to look at.
		cores := f.Settings.Params.Limits.Processor()
		f.nextCycle = now + time.Duration(float64(f.PlanningSteps-before)*float64(stepPause)/cores)
	}
	f.FlushWrites(now)
	if authority && (planned || f.writer.planBecameDurable) {
		f.writer.planBecameDurable = false
		f.dispatch(now)
	}
}

// stepPause is the pause for each step of planning on a full core: about three times what
// a step costs.
const stepPause = 300 * time.Nanosecond
