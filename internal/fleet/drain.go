package fleet

import (
	"slices"

	"github.com/harewalk/harewalk/internal/jobs"
)

// HasDrains reports whether any machine is being drained for operators.
func (f *Fleet) HasDrains() bool {
	return slices.ContainsFunc(f.machines, func(machine *Machine) bool { return machine.draining })
}

// ApplyDrains applies the operators' drain requests. The function request returns whether a machine is to be drained,
// whether its running tasks are to be stopped, and who requested the drain. No task starts on a machine that is being
// drained. Running tasks end by themselves or are stopped with time to save a checkpoint, and then the machine is
// returned. If the request is withdrawn before the return, the machine accepts work again.
func (f *Fleet) ApplyDrains(request func(machine string) (drain, stop bool, by string)) {
	for _, machine := range f.machines {
		drain, stop, by := request(machine.Name)
		switch {
		case drain && !machine.draining && machine.Condition == Ready && !machine.Returning:
			machine.draining = true
			f.ReturnMachine(machine, "drained by "+by)
		case !drain && machine.draining:
			machine.draining = false
			if machine.Condition == ReclaimNoticed {
				machine.Returning = false
				f.setCondition(machine, Registered, "drain request withdrawn")
			}
		}
		if machine.draining && stop {
			f.stopTasksForDrain(machine)
		}
	}
}

// stopTasksForDrain stops the tasks on a machine. A gang that loses one task loses its progress, so all tasks of the
// gang stop together, on all machines.
func (f *Fleet) stopTasksForDrain(machine *Machine) {
	for ref := range machine.Tasks {
		job := f.jobAt(ref.Job)
		switch {
		case job.Tasks[ref.Task].Stopping || job.State.Terminal():
		case job.Spec.Kind == jobs.Gang && job.TaskCount > 1:
			f.stopTasksOnMachines(job)
		default:
			f.stopTask(job, ref.Task)
		}
	}
}
