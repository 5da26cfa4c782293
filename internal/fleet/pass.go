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
	f.waitingPerGPU, f.gpuWithinGuarantee, f.gpuPriority = planner.Size{}, false, math.MinInt
	var wait waitingAccelerators
	clear(f.onDemandTypes)
	for _, j := range f.ranked {
		if j.Idle() {
			continue
		}
		if !j.Spec.Spot {
			for ix := range f.seenTypes {
				if t := f.Types(ix); t != nil && j.Allows(ix, j.Zone, false) && j.Spec.Size().Fits(t.Size) {
					f.onDemandTypes[ix] = true
				}
			}
		}
		// What its team's limit keeps waiting needs no room, nor what fails wherever it runs.
		if s := j.Spec.Size(); s.GPUs > 0 && j.UnstartedTasks() > 0 && f.crashLooping(j) == nil && f.mayStart(j, 1) {
			if n := s.GPUs * float64(j.UnstartedTasks()); j.Spec.Spot {
				wait.any += n
			} else {
				wait.ordinary += n
			}
			f.waitingPerGPU.CPUs = max(f.waitingPerGPU.CPUs, s.CPUs/s.GPUs)
			f.waitingPerGPU.Mem = max(f.waitingPerGPU.Mem, s.Mem/s.GPUs)
			switch w := f.withinGuarantee[j.Index]; {
			case w && !f.gpuWithinGuarantee:
				f.gpuWithinGuarantee, f.gpuPriority = true, j.Priority
			case w == f.gpuWithinGuarantee:
				f.gpuPriority = max(f.gpuPriority, j.Priority)
			}
		}
	}
	if f.waitingPerGPU != (planner.Size{}) {
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
	for _, m := range f.machines {
		if m.Condition == Ready && !m.Returning {
			all[m.Spot] += m.Capacity.GPUs
		}
	}
	left[true] = 2*w.any + reservedGPUFraction*all[true]
	left[false] = 2*(w.any+w.ordinary) + reservedGPUFraction*all[false]
	for _, m := range f.machines {
		m.keepsCPUsForGPUWork = left[m.Spot] > 0
		if m.Condition == Ready && !m.Returning {
			left[m.Spot] -= m.Capacity.GPUs - m.Used.GPUs
		}
	}
	f.PlanningSteps += uint64(2 * len(f.machines))
}

// schedule plans what is unplanned, in rank order, and lets free lanes steal.
func (f *Fleet) schedule(now time.Duration) {
	f.cycle = schedulingCycle{fields: map[jobShape]*candidateList{}, vain: map[preemptionShape]bool{}, began: f.PlanningSteps, lowest: math.MaxInt}
	if now-f.rankedAt > 500*time.Millisecond || f.rankedAt == 0 {
		f.RankJobs(now)
	}
	for _, m := range f.machines {
		m.reserved, m.reservedRank, m.reservedFirmly = planner.Size{}, 1<<30, false
	}
	for _, j := range f.ranked {
		f.cycle.lowest = min(f.cycle.lowest, j.Priority)
	}
	f.grantLicences(now)
	f.findGPUReserve()
	f.trackRoom(now)
	f.PlanningSteps += uint64(len(f.machines) + 2*len(f.ranked))
	for _, j := range f.ranked {
		if j.FinishedTasks == j.TaskCount || j.Idle() {
			continue
		}
		switch j.Spec.Kind {
		case jobs.Gang:
			f.replanGang(now, j)
			f.placeGang(now, j)
		case jobs.Service:
			f.placeService(now, j)
		default:
			f.planArray(now, j)
			f.preemptArray(now, j)
		}
	}
	f.steal(now)
}

// replanGang replans gangs that cannot start as planned: a planned gang whose machine was
// lost or filled up, and a running gang that lost a task.
func (f *Fleet) replanGang(now time.Duration, j *jobs.Job) {
	unplanned, planned, on := j.TasksByState[jobs.Unplanned], j.TasksByState[jobs.Planned], j.TasksOnMachines()
	if planned > 0 && on == 0 {
		for t := range j.Tasks {
			k := &j.Tasks[t]
			if k.State != jobs.Planned {
				continue
			}
			m := f.machines[k.Machine]
			// Placed gangs are started at the next chance; one that no longer fits
			// (its room went to a task that a report brought up) is placed anew.
			if m.Condition != Ready || m.Returning || (j.IsDurable(int32(t)) && !f.fits(m, j)) || unplanned > 0 {
				for o := range j.Tasks {
					if j.Tasks[o].State == jobs.Planned {
						f.dequeue(j, int32(o))
						f.checkTransition(j.SetTaskState(int32(o), jobs.Unplanned))
					}
				}
				return
			}
		}
	}
	if on > 0 && unplanned > 0 && j.TaskCount > 1 {
		// The rest must go before the gang can start anew.
		for t := range j.Tasks {
			k := &j.Tasks[t]
			if k.State.Occupies() {
				f.stopTask(j, int32(t))
			} else if k.State == jobs.Planned {
				f.dequeue(j, int32(t))
				f.checkTransition(j.SetTaskState(int32(t), jobs.Unplanned))
			}
		}
	}
}

// Tick does what is due at a time: ends leases, plans, writes and sends launches.
func (f *Fleet) Tick(now time.Duration, authority bool) {
	if !f.plansLoaded {
		return
	}
	if f.retry != nil && now >= f.retryAt {
		again := f.retry
		f.retry = nil
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
	if authority && (planned || f.planBecameDurable) {
		f.planBecameDurable = false
		f.dispatch(now)
	}
}

// stepPause is the pause for each step of planning on a full core: about three times what
// a step costs.
const stepPause = 300 * time.Nanosecond
