package fleet

import (
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

// HasDrains tells whether any machine is being drained for operators.
func (f *Fleet) HasDrains() bool {
	return slices.ContainsFunc(f.machines, func(machine *Machine) bool { return machine.draining })
}

// ApplyDrains does what operators want of machines: nothing new starts on one that is to be drained, what
// runs there ends or, with stop, is stopped with time to save, and then the machine is given back. One
// that they want back takes part again, unless it has been given back meanwhile.
func (f *Fleet) ApplyDrains(_ time.Duration, wish func(machine string) (on, stop bool, by string)) {
	for _, machine := range f.machines {
		on, stop, by := wish(machine.Name)
		switch {
		case on && !machine.draining && machine.Condition == Ready && !machine.Returning:
			machine.draining = true
			f.ReturnMachine(machine, "drained by "+by)
		case !on && machine.draining:
			machine.draining = false
			if machine.Condition == ReclaimNoticed {
				machine.Returning = false
				f.setCondition(machine, Registered, "wanted back")
			}
		}
		if !machine.draining || !stop {
			continue
		}
		for r := range machine.Tasks {
			job := f.jobAt(r.Job)
			if job.Tasks[r.Task].Stopping || job.State.Terminal() {
				continue
			}
			if job.Spec.Kind != jobs.Gang || job.TaskCount == 1 {
				f.stopTask(job, r.Task)
				continue
			}
			// A gang that loses a task loses its progress: all of it stops together.
			for t := range job.Tasks {
				if job.Tasks[t].State.Occupies() {
					f.stopTask(job, int32(t))
				}
			}
		}
	}
}
