package fleet

// Processors and memory that tasks without accelerators leave beside idle accelerators, for waiting work that needs
// both.

import (
	"math"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/planner"
)

// reservedGPUFraction is the fraction of all accelerators beside which processors stay free for work still to come.
const reservedGPUFraction = 0.25

// waitingGPUs counts the accelerators that waiting work needs, by where it may run.
type waitingGPUs struct {
	anywhere float64 // on spot machines too
	onDemand float64 // on on-demand machines only
}

// computeGPUReserve finds what waiting work takes of a machine besides each accelerator, and on which machines that
// is kept free.
func (f *Fleet) computeGPUReserve() {
	reserve := &f.gpuReserve
	reserve.perGPU = planner.Size{}
	reserve.withinGuarantee = false
	reserve.priority = math.MinInt
	clear(reserve.onDemandTypes)
	var waiting waitingGPUs
	for _, job := range f.ranking.jobs {
		if job.Idle() {
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

// addOnDemandTypes adds the machine types on which a job that may not use spot machines may run.
func (f *Fleet) addOnDemandTypes(job *jobs.Job) {
	size := job.Spec.Size()
	for typeIndex := range f.gpuReserve.seenTypes {
		machineType := f.Types(typeIndex)
		if machineType != nil && job.Allows(typeIndex, job.Zone, false) && size.Fits(machineType.Size) {
			f.gpuReserve.onDemandTypes[typeIndex] = true
		}
	}
}

// addWaitingGPUs adds a job's unstarted tasks to the reserve if they need accelerators. A job that its team's limit
// holds back needs no room, nor does one in a crash loop.
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

// reserveCPUsForGPUWork marks the machines on which processors stay free beside idle accelerators: for twice the
// accelerators that waiting work needs, and for a fraction of all accelerators for work still to come, on machines
// that such work may use. To keep them on every machine as long as a single task waits would leave most of the
// fleet idle.
func (f *Fleet) reserveCPUsForGPUWork(waiting waitingGPUs) {
	total := map[bool]float64{} // accelerators, by whether on spot machines
	for _, machine := range f.machines {
		if machine.Condition == Ready && !machine.Returning {
			total[machine.Spot] += machine.Capacity.GPUs
		}
	}
	unreserved := map[bool]float64{ // idle accelerators still to be found, by whether on spot machines
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
