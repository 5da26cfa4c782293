package fleet

import (
	"slices"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/planner"
)

// lane queues a planned task at its machine.
func (f *Fleet) lane(m *Machine, j *jobs.Job, t int32) {
	m.wait(j.Index, append(m.waiting(j.Index), t))
	at := f.spread[j.Index]
	if at == nil {
		at = map[int32]int{}
		f.spread[j.Index] = at
	}
	at[m.Index]++
	size := j.Spec.Size()
	if m.Planned == 0 {
		m.least = size
	}
	m.least = m.least.Min(size)
	m.Planned++
	m.need = m.need.Add(size)
	if j.Spec.Kind != jobs.Array {
		m.whole = m.whole.Add(size)
	}
}

// unqueue keeps the books when n of a job's tasks have left a machine's lanes.
func (f *Fleet) unqueue(m *Machine, j *jobs.Job, n int) {
	if at := f.spread[j.Index]; at != nil {
		if at[m.Index] -= n; at[m.Index] <= 0 {
			delete(at, m.Index)
		}
		if len(at) == 0 {
			delete(f.spread, j.Index)
		}
	}
	m.Planned -= n
	if m.Planned == 0 {
		m.need, m.whole = planner.Size{}, planner.Size{} // decimals leave dust
		return
	}
	size := j.Spec.Size().Times(float64(n))
	m.need = m.need.Sub(size)
	if j.Spec.Kind != jobs.Array {
		m.whole = m.whole.Sub(size)
	}
}

// unlane empties a machine's lanes: its planned tasks are to be planned anew.
func (f *Fleet) unlane(m *Machine) {
	for len(m.lanes) > 0 {
		l := m.lanes[len(m.lanes)-1]
		j := f.job(l.job)
		for _, t := range l.tasks {
			if j.Tasks != nil && j.Tasks[t].State == jobs.Planned && j.Tasks[t].Machine == m.Index {
				f.must(j.SetTaskState(t, jobs.Unplanned))
			}
		}
		m.wait(l.job, nil)
		f.unqueue(m, j, len(l.tasks))
	}
}

// waitsAt lists the machines on which a job's planned tasks wait, in a fixed order.
func (f *Fleet) waitsAt(j *jobs.Job) []int32 {
	at := f.spread[j.Index]
	out := make([]int32, 0, len(at))
	for m := range at {
		out = append(out, m)
	}
	slices.Sort(out)
	return out
}

// dropLane takes a task out of its machine's lanes.
func (f *Fleet) dropLane(j *jobs.Job, t int32) {
	k := &j.Tasks[t]
	if k.Machine == jobs.None {
		return
	}
	m := f.machines[k.Machine]
	ts := m.waiting(j.Index)
	if i := slices.Index(ts, t); i >= 0 {
		m.wait(j.Index, slices.Delete(ts, i, i+1))
		f.unqueue(m, j, 1)
	}
}
