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
func (f *Fleet) Suspend(_ time.Duration, job *jobs.Job, on bool) {
	if job.Suspended = on; job.Tasks == nil {
		return
	}
	f.ranking.at, f.writer.planBecameDurable = 0, true
	if !on {
		return
	}
	for t := range job.Tasks {
		switch task := &job.Tasks[t]; {
		case task.State == jobs.Planned:
			f.dequeue(job, int32(t))
			f.checkTransition(job.SetTaskState(int32(t), jobs.Unplanned))
		case task.State.Occupies():
			f.stopTask(job, int32(t))
		}
	}
}

// SessionTask is where the only task of a session's job stands.
func (f *Fleet) SessionTask(job *jobs.Job) sessions.Task {
	if !f.plansLoaded || job.Tasks == nil {
		// What is not known yet is not gone.
		return sessions.Task{On: !f.plansLoaded}
	}
	task := &job.Tasks[0]
	return sessions.Task{On: task.State.Occupies(), Ending: task.Stopping, Attempt: task.Attempt}
}

// maxWaitingJobs bounds the waiting jobs that are looked at for sessions to reclaim.
const maxWaitingJobs = 32

// WaitingJobsFor names, for each of some sessions' jobs, a job that waits for what it holds: room on its
// machine, its licences, or its part of the team's limit. Each waiting job names no more sessions than
// it has tasks that wait.
func (f *Fleet) WaitingJobsFor(now time.Duration, of []*jobs.Job) []string {
	out := make([]string, len(of))
	asked := 0
	for _, job := range f.ranking.jobs {
		n := job.UnstartedTasks()
		if n == 0 || job.Idle() || job.Spec == nil {
			continue
		}
		if asked++; asked > maxWaitingJobs {
			break
		}
		if f.startsSoon(job) {
			continue
		}
		for i, s := range of {
			if n == 0 {
				break
			}
			if out[i] == "" && s != job && f.wouldLetStart(job, s) {
				out[i] = job.ID
				n--
			}
		}
	}
	return out
}

// startsSoon tells whether a job can have all it needs without anybody's leaving.
func (f *Fleet) startsSoon(job *jobs.Job) bool {
	if !f.mayStart(job, 1) {
		return false
	}
	n := 0
	for _, machine := range f.machines {
		f.PlanningSteps++
		if machine.Condition == Ready && !machine.Returning && !machine.Quarantined && f.mayPlace(machine, job) && f.fits(machine, job) {
			if n += job.Spec.Size().Copies(machine.Free()); n >= job.UnstartedTasks() {
				return true
			}
		}
	}
	return false
}

// wouldLetStart tells whether the end of a session's task would let a waiting job start one of its own.
func (f *Fleet) wouldLetStart(job, s *jobs.Job) bool {
	if s.Tasks == nil || !s.Tasks[0].State.Occupies() || s.Tasks[0].Stopping {
		return false
	}
	if !f.mayStart(job, 1) {
		if d, pool := f.LicenceDenial(job); d != 0 {
			for _, unit := range s.LicenceUnits {
				if unit.Pool == pool {
					return true
				}
			}
			return false
		}
		return s.Team == job.Team // the limit of the team
	}
	machine := f.machines[s.Tasks[0].Machine]
	return machine.Condition == Ready && !machine.Returning && f.mayPlace(machine, job) && job.Spec.Size().Fits(machine.Free().Add(s.Spec.Size()))
}
