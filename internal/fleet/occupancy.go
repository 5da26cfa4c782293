package fleet

import (
	"time"

	"github.com/harewalk/harewalk/internal/events"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/licences"
	"github.com/harewalk/harewalk/internal/planner"
)

// place lets a task count as being on its machine.
func (f *Fleet) place(now time.Duration, j *jobs.Job, t int32, s jobs.TaskState) {
	k := &j.Tasks[t]
	if k.State.Occupies() {
		f.must(j.SetTaskState(t, s))
		return
	}
	m := f.machines[k.Machine]
	f.must(j.SetTaskState(t, s))
	size := j.Spec.Size()
	m.On[Ref{j.Index, t}] = struct{}{}
	m.Use = m.Use.Add(size)
	m.endsOK = false
	f.Gate.Take(now, seatRef(j, t), k.Attempt, claimOf(j))
	kind := events.TaskFound
	if s == jobs.Launched {
		kind = events.TaskSent
	}
	f.happened(now, kind, j, t, "")
	j.TasksByZone[m.Zone]++
	if ty := f.typ(m); ty != nil {
		if !m.HasImage(j.Image) {
			f.newImage(m)
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
		f.happened(now, events.TaskDone, j, t, "")
	}
	if !k.State.Occupies() {
		f.must(j.SetTaskState(t, to))
		return
	}
	m := f.machines[k.Machine]
	size := j.Spec.Size()
	delete(m.On, Ref{j.Index, t})
	if k.Phase == jobs.Fetching {
		f.unfetched(m, j.Image)
	}
	m.Use = m.Use.Sub(size)
	m.endsOK = false
	if len(m.On) == 0 {
		m.Use = planner.Size{} // decimals leave dust
		m.IdleSince = now
	}
	f.Gate.Give(now, seatRef(j, t), claimOf(j), how)
	j.TasksByZone[m.Zone]--
	f.must(j.SetTaskState(t, to))
	if to == jobs.Planned {
		k.Machine = m.Index
		j.SetTaskPhase(t, jobs.NoPhase)
		k.Attempt, k.Stopping = 0, false
		f.lane(m, j, t)
	}
}

// halt marks a task that is to be stopped.
func (f *Fleet) halt(j *jobs.Job, t int32) {
	k := &j.Tasks[t]
	if !k.Stopping {
		f.happened(f.Now(), events.TaskStopping, j, t, "")
	}
	k.Stopping = true
	if k.Machine != jobs.None {
		m := f.machines[k.Machine]
		m.halts, m.endsOK = true, false
	}
}
