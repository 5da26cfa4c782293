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

// pass is what one pass of planning remembers.
type pass struct {
	fields map[shape]*field
	vain   map[plea]bool // preemption was tried for the like and nothing was found
	tries  int           // preemptions that were tried
	lowest int           // the lowest priority of any live job
	packed []*Machine    // see Fleet.packed
	began  uint64        // Steps at the start
}

// What part of its run time a task may wait for a spot machine: one of an array is moved
// again if an ordinary machine stays free, a gang is not.
const (
	yieldArray = 0.5
	yieldGang  = 0.1
)

// share finds what waiting work takes of a machine for each accelerator.
func (f *Fleet) share() {
	f.perGPU, f.gpuWithin, f.gpuLevel = planner.Size{}, false, math.MinInt
	var wait waitingGPUs
	clear(f.ordinary)
	for _, j := range f.order {
		if j.Idle() {
			continue
		}
		if !j.Spec.Spot {
			for ix := range f.kinds {
				if t := f.Types(ix); t != nil && j.Allows(ix, j.Zone, false) && j.Spec.Size().Fits(t.Size) {
					f.ordinary[ix] = true
				}
			}
		}
		// What its team's limit keeps waiting needs no room, nor what fails wherever it runs.
		if s := j.Spec.Size(); s.GPUs > 0 && j.UnstartedTasks() > 0 && f.mistaken(j) == nil && f.mayStart(j, 1) {
			if n := s.GPUs * float64(j.UnstartedTasks()); j.Spec.Spot {
				wait.any += n
			} else {
				wait.ordinary += n
			}
			f.perGPU.CPUs = max(f.perGPU.CPUs, s.CPUs/s.GPUs)
			f.perGPU.Mem = max(f.perGPU.Mem, s.Mem/s.GPUs)
			switch w := f.within[j.Index]; {
			case w && !f.gpuWithin:
				f.gpuWithin, f.gpuLevel = true, j.Priority
			case w == f.gpuWithin:
				f.gpuLevel = max(f.gpuLevel, j.Priority)
			}
		}
	}
	if f.perGPU != (planner.Size{}) {
		f.spareFor(wait)
	}
}

// spareGPUs is the part of all accelerators beside which cores are left for work that is still to come.
const spareGPUs = 0.25

// waitingGPUs are the accelerators that waiting work needs, by where it may run.
type waitingGPUs struct{ any, ordinary float64 }

// spareFor marks the machines on which cores are left beside accelerators: as many idle accelerators as twice what waits for
// them, and a quarter of all for what comes next, on the machines that such work may use. They were once left on every
// machine as long as a single task waited: three thousand tasks without accelerators stood beside three hundred idle machines.
func (f *Fleet) spareFor(w waitingGPUs) {
	all, left := map[bool]float64{}, map[bool]float64{}
	for _, m := range f.machines {
		if m.Condition == Acting && !m.Retiring {
			all[m.Spot] += m.Size.GPUs
		}
	}
	left[true] = 2*w.any + spareGPUs*all[true]
	left[false] = 2*(w.any+w.ordinary) + spareGPUs*all[false]
	for _, m := range f.machines {
		m.spared = left[m.Spot] > 0
		if m.Condition == Acting && !m.Retiring {
			left[m.Spot] -= m.Size.GPUs - m.Use.GPUs
		}
	}
	f.Steps += uint64(2 * len(f.machines))
}

// schedule plans what is unplanned, in rank order, and lets free lanes steal.
func (f *Fleet) schedule(now time.Duration) {
	f.pass = pass{fields: map[shape]*field{}, vain: map[plea]bool{}, began: f.Steps, lowest: math.MaxInt}
	if now-f.ranked > 500*time.Millisecond || f.ranked == 0 {
		f.Rank(now)
	}
	for _, m := range f.machines {
		m.claim, m.claimRank, m.claimFirm = planner.Size{}, 1<<30, false
	}
	for _, j := range f.order {
		f.pass.lowest = min(f.pass.lowest, j.Priority)
	}
	f.allot(now)
	f.share()
	f.standBeside(now)
	f.Steps += uint64(len(f.machines) + 2*len(f.order))
	for _, j := range f.order {
		if j.FinishedTasks == j.TaskCount || j.Idle() {
			continue
		}
		switch j.Spec.Kind {
		case jobs.Gang:
			f.unwedge(now, j)
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

// unwedge replans gangs that cannot start as planned: a planned gang whose machine was
// lost or filled up, and a running gang that lost a task.
func (f *Fleet) unwedge(now time.Duration, j *jobs.Job) {
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
			if m.Condition != Acting || m.Retiring || (j.IsDurable(int32(t)) && !f.fits(m, j)) || unplanned > 0 {
				for o := range j.Tasks {
					if j.Tasks[o].State == jobs.Planned {
						f.dropLane(j, int32(o))
						f.must(j.SetTaskState(int32(o), jobs.Unplanned))
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
				f.halt(j, int32(t))
			} else if k.State == jobs.Planned {
				f.dropLane(j, int32(t))
				f.must(j.SetTaskState(int32(t), jobs.Unplanned))
			}
		}
	}
}

// Tick does what is due at a time: ends leases, plans, writes and sends launches.
func (f *Fleet) Tick(now time.Duration, authority bool) {
	if !f.loaded {
		return
	}
	if f.retry != nil && now >= f.retryAt {
		again := f.retry
		f.retry = nil
		again(now)
	}
	f.expire(now)
	if !f.Gate.Seats.None() {
		f.Gate.Seats.Tick(now, time.UnixMilli(f.Jobs.WallMS(now)))
	}
	planned := now >= f.nextPass
	if planned {
		before := f.Steps
		f.schedule(now)
		// Planning leaves most of the processor to reports and renewals: the next pass
		// comes the later the more this one had to look at.
		cores := f.Settings.Params.Limits.Processor()
		f.nextPass = now + time.Duration(float64(f.Steps-before)*float64(stepPause)/cores)
	}
	f.Flush(now)
	if authority && (planned || f.news) {
		f.news = false
		f.push(now)
	}
}

// stepPause is the pause for each step of planning on a full core: about three times what
// a step costs.
const stepPause = 300 * time.Nanosecond
