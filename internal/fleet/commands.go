package fleet

import (
	"strconv"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

func taskName(j *jobs.Job, t int32) string { return j.ID + "/" + strconv.Itoa(int(t)) }

// buildCommands answers a fenced report: forget what is recorded, stop what must stop, repeat
// launches that did not arrive, and start what the machine's lanes hold. The report has
// just been taken over: f.listed holds what it says is alive.
func (f *Fleet) buildCommands(now time.Duration, m *Machine, r *Heartbeat) []Command {
	out := []Command{}
	for i := range r.Tasks {
		e := &r.Tasks[i]
		j, t := e.job, e.no
		if e.State == taskExited {
			if f.forgettable(m, j, t, e) {
				out = append(out, Command{Op: opForget, Task: e.Task, Attempt: e.Attempt})
			}
			continue
		}
		if grace, stop := f.mustStop(now, m, j, t, e); stop {
			out = append(out, Command{Op: opStop, Task: e.Task, Attempt: e.Attempt, GraceS: &grace})
		}
	}
	if m.Condition != Ready {
		return out
	}
	again := f.refScratch[:0]
	for ref := range m.Tasks {
		j := f.jobAt(ref.Job)
		if j.Tasks[ref.Task].State != jobs.Launched || j.State.Terminal() {
			continue
		}
		if _, alive := f.listedTasks[ref]; !alive {
			again = append(again, ref)
		}
	}
	f.refScratch = again
	sortRefs(again)
	for _, ref := range again {
		j := f.jobAt(ref.Job)
		out = append(out, Command{Op: opStart, Task: taskName(j, ref.Task), Attempt: j.Tasks[ref.Task].Attempt})
	}
	return append(out, f.startCommands(now, m)...)
}

// forgettable tells whether an exited task may vanish from the reports: its outcome must
// be durable, and no direct launch of the same attempt may still be under way, since a
// worker that has forgotten an attempt would start it anew.
func (f *Fleet) forgettable(m *Machine, j *jobs.Job, t int32, e *TaskReport) bool {
	if m.directInFlight {
		return false
	}
	if j == nil {
		return true
	}
	if _, late := m.indeterminateLaunches[taskAttempt{TaskRef{j.Index, t}, e.Attempt}]; late {
		return false
	}
	if e.Why != exitDone || j.State.Terminal() {
		return true
	}
	return j.Tasks != nil && j.IsDurablyDone(t)
}

// mustStop tells whether a task that is alive on a machine has to go, and with what grace.
func (f *Fleet) mustStop(now time.Duration, m *Machine, j *jobs.Job, t int32, e *TaskReport) (float64, bool) {
	if j == nil || j.State.Terminal() || j.Tasks == nil {
		return 0, true
	}
	k := &j.Tasks[t]
	if k.State == jobs.Finished || k.Machine != m.Index {
		return 0, true
	}
	if k.Stopping && e.State != taskSaving {
		return j.Spec.SaveS + 1, true
	}
	if m.Condition == ReclaimNoticed && !m.Returning && e.State != taskSaving {
		return f.drain(now, m, j, t)
	}
	return 0, false
}

// drain decides whether a task on a machine that is being taken should stop now: one that
// will be done in time goes on, one that can save does so while there is time, and one
// that cannot is started elsewhere at once.
func (f *Fleet) drain(now time.Duration, m *Machine, j *jobs.Job, t int32) (float64, bool) {
	rest := (m.ReclaimAt - now).Seconds()
	k := &j.Tasks[t]
	if j.Spec.Kind == jobs.Gang && j.TaskCount > 1 {
		if rest > j.Spec.SaveS+f.Settings.Params.Workers.GangPeerS+1 && f.remainingSeconds(now, j, t) < rest*0.7 {
			return 0, false
		}
		for o := range j.Tasks {
			if j.Tasks[o].State.Occupies() {
				f.stopTask(j, int32(o))
			}
		}
		return j.Spec.SaveS + 1, true
	}
	if k.Phase == jobs.Running && f.remainingSeconds(now, j, t) < rest*0.7 {
		return 0, false
	}
	return j.Spec.SaveS + 1, true
}
