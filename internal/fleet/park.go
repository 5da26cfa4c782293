package fleet

import (
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/sessions"
)

// This file is what sessions ask of the fleet: to keep a job's task off machines and to let it run
// again, where it is, and who waits for what it holds.

// Suspend stops a job's tasks, with time to save, and keeps them off machines; or lets the job be
// planned again.
func (f *Fleet) Suspend(_ time.Duration, j *jobs.Job, on bool) {
	if j.Suspended = on; j.Tasks == nil {
		return
	}
	f.rankedAt, f.planBecameDurable = 0, true
	if !on {
		return
	}
	for t := range j.Tasks {
		switch k := &j.Tasks[t]; {
		case k.State == jobs.Planned:
			f.dequeue(j, int32(t))
			f.checkTransition(j.SetTaskState(int32(t), jobs.Unplanned))
		case k.State.Occupies():
			f.stopTask(j, int32(t))
		}
	}
}

// SessionTask is where the only task of a session's job stands.
func (f *Fleet) SessionTask(j *jobs.Job) sessions.Task {
	if !f.plansLoaded || j.Tasks == nil {
		// What is not known yet is not gone.
		return sessions.Task{On: !f.plansLoaded}
	}
	k := &j.Tasks[0]
	return sessions.Task{On: k.State.Occupies(), Ending: k.Stopping, Attempt: k.Attempt}
}

// maxWaitingJobs bounds the waiting jobs that are looked at for sessions to reclaim.
const maxWaitingJobs = 32

// WaitingJobsFor names, for each of some sessions' jobs, a job that waits for what it holds: room on its
// machine, its licences, or its part of the team's limit. Each waiting job names no more sessions than
// it has tasks that wait.
func (f *Fleet) WaitingJobsFor(now time.Duration, of []*jobs.Job) []string {
	out := make([]string, len(of))
	asked := 0
	for _, j := range f.ranked {
		n := j.UnstartedTasks()
		if n == 0 || j.Idle() || j.Spec == nil {
			continue
		}
		if asked++; asked > maxWaitingJobs {
			break
		}
		if f.startsSoon(j) {
			continue
		}
		for i, s := range of {
			if n == 0 {
				break
			}
			if out[i] == "" && s != j && f.wouldLetStart(j, s) {
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
		f.PlanningSteps++
		if m.Condition == Ready && !m.Returning && !m.Quarantined && f.mayUse(m, j) && f.fits(m, j) {
			if n += j.Spec.Size().Copies(m.Free()); n >= j.UnstartedTasks() {
				return true
			}
		}
	}
	return false
}

// wouldLetStart tells whether the end of a session's task would let a waiting job start one of its own.
func (f *Fleet) wouldLetStart(j, s *jobs.Job) bool {
	if s.Tasks == nil || !s.Tasks[0].State.Occupies() || s.Tasks[0].Stopping {
		return false
	}
	if !f.mayStart(j, 1) {
		if d, pool := f.LicenceDenial(j); d != 0 {
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
	return m.Condition == Ready && !m.Returning && f.mayUse(m, j) && j.Spec.Size().Fits(m.Free().Add(s.Spec.Size()))
}
