package fleet

import (
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

// AnyDrained tells whether any machine is being drained for operators.
func (f *Fleet) AnyDrained() bool {
	return slices.ContainsFunc(f.machines, func(m *Machine) bool { return m.drained })
}

// Drained does what operators want of machines: nothing new starts on one that is to be drained, what
// runs there ends or, with stop, is stopped with time to save, and then the machine is given back. One
// that they want back takes part again, unless it has been given back meanwhile.
func (f *Fleet) Drained(_ time.Duration, wish func(machine string) (on, stop bool, by string)) {
	for _, m := range f.machines {
		on, stop, by := wish(m.Name)
		switch {
		case on && !m.drained && m.Condition == Acting && !m.Retiring:
			m.drained = true
			f.Retire(m, "drained by "+by)
		case !on && m.drained:
			m.drained = false
			if m.Condition == Noticed {
				m.Retiring = false
				f.condition(m, Known, "wanted back")
			}
		}
		if !m.drained || !stop {
			continue
		}
		for r := range m.On {
			j := f.job(r.Job)
			if j.Tasks[r.Task].Stopping || j.State.Terminal() {
				continue
			}
			if j.Spec.Kind != jobs.Gang || j.TaskCount == 1 {
				f.halt(j, r.Task)
				continue
			}
			// A gang that loses a task loses its progress: all of it stops together.
			for t := range j.Tasks {
				if j.Tasks[t].State.Occupies() {
					f.halt(j, int32(t))
				}
			}
		}
	}
}
