package fleet

// The accelerator reserve: processors and memory beside idle accelerators that most tasks without accelerators may not
// use, so that waiting tasks with accelerators can start there.

import (
	"math"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/planner"
)

// reservedGPUFraction is the fraction of all accelerators whose processors stay reserved for future work.
const reservedGPUFraction = 0.25

// waitingGPUs counts the accelerators that waiting tasks need, by the kind of machine they may use.
type waitingGPUs struct {
	anywhere float64 // tasks that may also use spot machines
	onDemand float64 // tasks that may use only on-demand machines
}

// computeGPUReserve computes how much processor and memory waiting work needs for each accelerator, and on which
// machines that amount is reserved.
func (f *Fleet) computeGPUReserve() {
	reserve := &f.gpuReserve
	reserve.perGPU = planner.Size{}
	reserve.withinGuarantee = false
	reserve.priority = math.MinInt
	clear(reserve.onDemandTypes)
	var waiting waitingGPUs
	for _, job := range f.ranking.jobs {
		if job.PlanningBlocked() {
			continue
		}
		if !job.Spec.Spot {
			f.addOnDemandTypes(job)
		}
		f.addWaitingGPUs(job, &waiting)
	}
	if reserve.perGPU != (planner.Size{}) {
		f.reserveCPUsForGPUWork(waiting)
	}
}

// addOnDemandTypes adds the machine types that a job without permission to use spot machines may run on.
func (f *Fleet) addOnDemandTypes(job *jobs.Job) {
	size := job.Spec.Size()
	for typeIndex := range f.gpuReserve.seenTypes {
		machineType := f.Types(typeIndex)
		if machineType != nil && job.Allows(typeIndex, job.Zone, false) && size.Fits(machineType.Size) {
			f.gpuReserve.onDemandTypes[typeIndex] = true
		}
	}
}

// addWaitingGPUs adds the accelerators of a job's unstarted tasks to waiting, and raises the reserve to the needs of
// the job. A job in a crash loop, or one that its team's limit or missing licences keep from starting, is ignored.
func (f *Fleet) addWaitingGPUs(job *jobs.Job, waiting *waitingGPUs) {
	size := job.Spec.Size()
	if size.GPUs <= 0 {
		return
	}
	unstarted := job.UnstartedTasks()
	if unstarted <= 0 || f.crashLooping(job) != nil || !f.mayStart(job, 1) {
		return
	}
	if gpus := size.GPUs * float64(unstarted); job.Spec.Spot {
		waiting.anywhere += gpus
	} else {
		waiting.onDemand += gpus
	}
	reserve := &f.gpuReserve
	reserve.perGPU.CPUs = max(reserve.perGPU.CPUs, size.CPUs/size.GPUs)
	reserve.perGPU.Mem = max(reserve.perGPU.Mem, size.Mem/size.GPUs)
	switch within := f.ranking.withinGuarantee[job.Index]; {
	case within && !reserve.withinGuarantee:
		reserve.withinGuarantee = true
		reserve.priority = job.Priority
	case within == reserve.withinGuarantee:
		reserve.priority = max(reserve.priority, job.Priority)
	}
}

// reserveCPUsForGPUWork marks the machines on which processors are reserved beside idle accelerators. It marks enough
// machines for twice the accelerators that waiting work needs, plus reservedGPUFraction of all accelerators for future
// work, among the machines that such work may use. Marking every machine while a single task waits would leave most of
// the fleet idle.
func (f *Fleet) reserveCPUsForGPUWork(waiting waitingGPUs) {
	total := map[bool]float64{} // accelerators; the key is Machine.Spot
	for _, machine := range f.machines {
		if machine.Condition == Ready && !machine.Returning {
			total[machine.Spot] += machine.Capacity.GPUs
		}
	}
	unreserved := map[bool]float64{ // idle accelerators still to be reserved; the key is Machine.Spot
		true:  2*waiting.anywhere + reservedGPUFraction*total[true],
		false: 2*(waiting.anywhere+waiting.onDemand) + reservedGPUFraction*total[false],
	}
	for _, machine := range f.machines {
		machine.keepsCPUsForGPUWork = unreserved[machine.Spot] > 0
		if machine.Condition == Ready && !machine.Returning {
			unreserved[machine.Spot] -= machine.Capacity.GPUs - machine.Used.GPUs
		}
	}
	f.PlanningSteps += uint64(2 * len(f.machines))
}
