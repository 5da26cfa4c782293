package fleet

import (
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

// HasDrains tells whether any machine is being drained for operators.
func (f *Fleet) HasDrains() bool {
	return slices.ContainsFunc(f.machines, func(m *Machine) bool { return m.draining })
}

// ApplyDrains does what operators want of machines: nothing new starts on one that is to be drained, what
// runs there ends or, with stop, is stopped with time to save, and then the machine is given back. One
// that they want back takes part again, unless it has been given back meanwhile.
func (f *Fleet) ApplyDrains(_ time.Duration, wish func(machine string) (on, stop bool, by string)) {
	for _, m := range f.machines {
		on, stop, by := wish(m.Name)
		switch {
		case on && !m.draining && m.Condition == Ready && !m.Returning:
			m.draining = true
			f.ReturnMachine(m, "drained by "+by)
		case !on && m.draining:
			m.draining = false
			if m.Condition == ReclaimNoticed {
				m.Returning = false
				f.setCondition(m, Registered, "wanted back")
			}
		}
		if !m.draining || !stop {
			continue
		}
		for r := range m.Tasks {
			j := f.jobAt(r.Job)
			if j.Tasks[r.Task].Stopping || j.State.Terminal() {
				continue
			}
			if j.Spec.Kind != jobs.Gang || j.TaskCount == 1 {
				f.stopTask(j, r.Task)
				continue
			}
			// A gang that loses a task loses its progress: all of it stops together.
			for t := range j.Tasks {
				if j.Tasks[t].State.Occupies() {
					f.stopTask(j, int32(t))
				}
			}
		}
	}
}
