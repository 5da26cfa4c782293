package fleet

import (
	"slices"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/planner"
)

// enqueue queues a planned task at its machine.
func (f *Fleet) enqueue(m *Machine, j *jobs.Job, t int32) {
	m.setQueue(j.Index, append(m.queued(j.Index), t))
	at := f.queuedOn[j.Index]
	if at == nil {
		at = map[int32]int{}
		f.queuedOn[j.Index] = at
	}
	at[m.Index]++
	size := j.Spec.Size()
	if m.QueuedTasks == 0 {
		m.smallestQueued = size
	}
	m.smallestQueued = m.smallestQueued.Min(size)
	m.QueuedTasks++
	m.queuedNeed = m.queuedNeed.Add(size)
	if j.Spec.Kind != jobs.Array {
		m.queuedWhole = m.queuedWhole.Add(size)
	}
}

// removeQueued keeps the books when n of a job's tasks have left a machine's lanes.
func (f *Fleet) removeQueued(m *Machine, j *jobs.Job, n int) {
	if at := f.queuedOn[j.Index]; at != nil {
		if at[m.Index] -= n; at[m.Index] <= 0 {
			delete(at, m.Index)
		}
		if len(at) == 0 {
			delete(f.queuedOn, j.Index)
		}
	}
	m.QueuedTasks -= n
	if m.QueuedTasks == 0 {
		m.queuedNeed, m.queuedWhole = planner.Size{}, planner.Size{} // decimals leave dust
		return
	}
	size := j.Spec.Size().Times(float64(n))
	m.queuedNeed = m.queuedNeed.Sub(size)
	if j.Spec.Kind != jobs.Array {
		m.queuedWhole = m.queuedWhole.Sub(size)
	}
}

// clearQueues empties a machine's lanes: its planned tasks are to be planned anew.
func (f *Fleet) clearQueues(m *Machine) {
	for len(m.queues) > 0 {
		l := m.queues[len(m.queues)-1]
		j := f.jobAt(l.job)
		for _, t := range l.tasks {
			if j.Tasks != nil && j.Tasks[t].State == jobs.Planned && j.Tasks[t].Machine == m.Index {
				f.checkTransition(j.SetTaskState(t, jobs.Unplanned))
			}
		}
		m.setQueue(l.job, nil)
		f.removeQueued(m, j, len(l.tasks))
	}
}

// queueMachines lists the machines on which a job's planned tasks wait, in a fixed order.
func (f *Fleet) queueMachines(j *jobs.Job) []int32 {
	at := f.queuedOn[j.Index]
	out := make([]int32, 0, len(at))
	for m := range at {
		out = append(out, m)
	}
	slices.Sort(out)
	return out
}

// dequeue takes a task out of its machine's lanes.
func (f *Fleet) dequeue(j *jobs.Job, t int32) {
	k := &j.Tasks[t]
	if k.Machine == jobs.None {
		return
	}
	m := f.machines[k.Machine]
	ts := m.queued(j.Index)
	if i := slices.Index(ts, t); i >= 0 {
		m.setQueue(j.Index, slices.Delete(ts, i, i+1))
		f.removeQueued(m, j, 1)
	}
}
