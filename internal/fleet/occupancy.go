package fleet

import (
	"time"

	"github.com/harewalk/harewalk/internal/events"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/licences"
	"github.com/harewalk/harewalk/internal/planner"
)

// setOnMachine lets a task count as being on its machine.
func (f *Fleet) setOnMachine(now time.Duration, j *jobs.Job, t int32, s jobs.TaskState) {
	k := &j.Tasks[t]
	if k.State.Occupies() {
		f.checkTransition(j.SetTaskState(t, s))
		return
	}
	m := f.machines[k.Machine]
	f.checkTransition(j.SetTaskState(t, s))
	size := j.Spec.Size()
	m.Tasks[TaskRef{j.Index, t}] = struct{}{}
	m.Used = m.Used.Add(size)
	m.endsValid = false
	f.Gate.Acquire(now, licenceRef(j, t), k.Attempt, admissionClaim(j))
	kind := events.TaskFound
	if s == jobs.Launched {
		kind = events.TaskSent
	}
	f.addTaskEvent(now, kind, j, t, "")
	j.TasksByZone[m.Zone]++
	if ty := f.machineType(m); ty != nil {
		if !m.HasImage(j.Image) {
			f.addImage(m)
		}
		m.touchImage(j.Image, j.Spec.ImageGB, ty.CacheGB)
	}
	m.IdleSince = now
}

// release ends a task's being on its machine; it then is to. how says what that means for its
// licences.
func (f *Fleet) release(now time.Duration, j *jobs.Job, t int32, to jobs.TaskState, how licences.End) {
	k := &j.Tasks[t]
	if to != jobs.Finished && (j.GangDone || k.Done) {
		to = jobs.Finished
		f.addTaskEvent(now, events.TaskDone, j, t, "")
	}
	if !k.State.Occupies() {
		f.checkTransition(j.SetTaskState(t, to))
		return
	}
	m := f.machines[k.Machine]
	size := j.Spec.Size()
	delete(m.Tasks, TaskRef{j.Index, t})
	if k.Phase == jobs.Fetching {
		f.unfetched(m, j.Image)
	}
	m.Used = m.Used.Sub(size)
	m.endsValid = false
	if len(m.Tasks) == 0 {
		m.Used = planner.Size{} // decimals leave dust
		m.IdleSince = now
	}
	f.Gate.Release(now, licenceRef(j, t), admissionClaim(j), how)
	j.TasksByZone[m.Zone]--
	f.checkTransition(j.SetTaskState(t, to))
	if to == jobs.Planned {
		k.Machine = m.Index
		j.SetTaskPhase(t, jobs.NoPhase)
		k.Attempt, k.Stopping = 0, false
		f.enqueue(m, j, t)
	}
}

// stopTask marks a task that is to be stopped.
func (f *Fleet) stopTask(j *jobs.Job, t int32) {
	k := &j.Tasks[t]
	if !k.Stopping {
		f.addTaskEvent(f.Now(), events.TaskStopping, j, t, "")
	}
	k.Stopping = true
	if k.Machine != jobs.None {
		m := f.machines[k.Machine]
		m.hasStops, m.endsValid = true, false
	}
}
