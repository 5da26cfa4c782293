package fleet

import (
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/sessions"
)

// This file is what sessions ask of the fleet: to keep a job's task off machines and to let it run
// again, where it is, and who waits for what it holds.

// Park stops a job's tasks, with time to save, and keeps them off machines; or lets the job be
// planned again.
func (f *Fleet) Park(_ time.Duration, j *jobs.Job, on bool) {
	if j.Suspended = on; j.Tasks == nil {
		return
	}
	f.ranked, f.news = 0, true
	if !on {
		return
	}
	for t := range j.Tasks {
		switch k := &j.Tasks[t]; {
		case k.State == jobs.Planned:
			f.dropLane(j, int32(t))
			f.must(j.SetTaskState(int32(t), jobs.Unplanned))
		case k.State.Occupies():
			f.halt(j, int32(t))
		}
	}
}

// SessionTask is where the only task of a session's job stands.
func (f *Fleet) SessionTask(j *jobs.Job) sessions.Task {
	if !f.loaded || j.Tasks == nil {
		// What is not known yet is not gone.
		return sessions.Task{On: !f.loaded}
	}
	k := &j.Tasks[0]
	return sessions.Task{On: k.State.Occupies(), Ending: k.Stopping, Attempt: k.Attempt}
}

// askedBy bounds the waiting jobs that are looked at for sessions to reclaim.
const askedBy = 32

// Wanted names, for each of some sessions' jobs, a job that waits for what it holds: room on its
// machine, its licences, or its part of the team's limit. Each waiting job names no more sessions than
// it has tasks that wait.
func (f *Fleet) Wanted(now time.Duration, of []*jobs.Job) []string {
	out := make([]string, len(of))
	asked := 0
	for _, j := range f.order {
		n := j.UnstartedTasks()
		if n == 0 || j.Idle() || j.Spec == nil {
			continue
		}
		if asked++; asked > askedBy {
			break
		}
		if f.startsSoon(j) {
			continue
		}
		for i, s := range of {
			if n == 0 {
				break
			}
			if out[i] == "" && s != j && f.helps(j, s) {
				out[i] = j.ID
				n--
			}
		}
	}
	return out
}

// startsSoon tells whether a job can have all it needs without anybody's leaving.
func (f *Fleet) startsSoon(j *jobs.Job) bool {
	if !f.mayStart(j, 1) {
		return false
	}
	n := 0
	for _, m := range f.machines {
		f.Steps++
		if m.Condition == Acting && !m.Retiring && !m.Aside && f.allowed(m, j) && f.fits(m, j) {
			if n += j.Spec.Size().Copies(m.Free()); n >= j.UnstartedTasks() {
				return true
			}
		}
	}
	return false
}

// helps tells whether the end of a session's task would let a waiting job start one of its own.
func (f *Fleet) helps(j, s *jobs.Job) bool {
	if s.Tasks == nil || !s.Tasks[0].State.Occupies() || s.Tasks[0].Stopping {
		return false
	}
	if !f.mayStart(j, 1) {
		if d, pool := f.Denial(j); d != 0 {
			for _, u := range s.LicenceUnits {
				if u.Pool == pool {
					return true
				}
			}
			return false
		}
		return s.Team == j.Team // the limit of the team
	}
	m := f.machines[s.Tasks[0].Machine]
	return m.Condition == Acting && !m.Retiring && f.allowed(m, j) && j.Spec.Size().Fits(m.Free().Add(s.Spec.Size()))
}
