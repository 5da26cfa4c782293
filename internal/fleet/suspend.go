package fleet

import (
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/licences"
	"github.com/harewalk/harewalk/internal/sessions"
)

// This file is the fleet's side of interactive sessions: it suspends their jobs, and finds the jobs that wait for
// what a session holds.

// Suspend stops a job's tasks, with time to save a checkpoint, and keeps them off machines if suspended is true;
// otherwise it lets the job be planned again.
func (f *Fleet) Suspend(_ time.Duration, job *jobs.Job, suspended bool) {
	job.Suspended = suspended
	if job.Tasks == nil {
		return
	}
	f.ranking.at = 0
	f.writer.planBecameDurable = true
	if !suspended {
		return
	}
	for t := range job.Tasks {
		switch task := &job.Tasks[t]; {
		case task.State == jobs.Planned:
			f.unplanTask(job, int32(t))
		case task.State.Occupies():
			f.stopTask(job, int32(t))
		}
	}
}

// SessionTask returns the state of the only task of a session's job. Until the plans are loaded it counts as being
// on a machine.
func (f *Fleet) SessionTask(job *jobs.Job) sessions.Task {
	if !f.plansLoaded || job.Tasks == nil {
		return sessions.Task{OnMachine: !f.plansLoaded}
	}
	task := &job.Tasks[0]
	return sessions.Task{OnMachine: task.State.Occupies(), Stopping: task.Stopping, Attempt: task.Attempt}
}

// maxWaitingJobs is for how many waiting jobs sessions to be reclaimed are looked for.
const maxWaitingJobs = 32

// WaitingJobsFor returns, for each of the given sessions' jobs, the id of a job that waits for what it holds: room
// on its machine, its licence units, or its part of the team's limit; "" if there is none. No waiting job is
// returned for more sessions than it has waiting tasks.
func (f *Fleet) WaitingJobsFor(_ time.Duration, sessionJobs []*jobs.Job) []string {
	waitingFor := make([]string, len(sessionJobs))
	examined := 0
	for _, job := range f.ranking.jobs {
		waitingTasks := job.UnstartedTasks()
		if waitingTasks == 0 || job.Idle() || job.Spec == nil {
			continue
		}
		examined++
		if examined > maxWaitingJobs {
			break
		}
		if f.startsSoon(job) {
			continue
		}
		for i, sessionJob := range sessionJobs {
			if waitingTasks == 0 {
				break
			}
			if waitingFor[i] == "" && sessionJob != job && f.wouldLetStart(job, sessionJob) {
				waitingFor[i] = job.ID
				waitingTasks--
			}
		}
	}
	return waitingFor
}

// startsSoon returns whether all waiting tasks of a job can start without any other task ending.
func (f *Fleet) startsSoon(job *jobs.Job) bool {
	if !f.mayStart(job, 1) {
		return false
	}
	room := 0 // tasks of the job that fit on the machines looked at
	for _, machine := range f.machines {
		f.PlanningSteps++
		if !takesWork(machine) || !f.mayPlace(machine, job) || !f.fits(machine, job) {
			continue
		}
		room += job.Spec.Size().Copies(machine.Free())
		if room >= job.UnstartedTasks() {
			return true
		}
	}
	return false
}

// wouldLetStart returns whether the end of a session's task would let a waiting job start one of its own.
func (f *Fleet) wouldLetStart(job, sessionJob *jobs.Job) bool {
	if sessionJob.Tasks == nil {
		return false
	}
	task := &sessionJob.Tasks[0]
	if !task.State.Occupies() || task.Stopping {
		return false
	}
	if !f.mayStart(job, 1) {
		if denial, pool := f.LicenceDenial(job); denial != licences.Granted {
			return unitsOfPool(sessionJob, pool) > 0
		}
		return sessionJob.Team == job.Team // the team's limit keeps it waiting
	}
	machine := f.machines[task.Machine]
	if machine.Condition != Ready || machine.Returning || !f.mayPlace(machine, job) {
		return false
	}
	return job.Spec.Size().Fits(machine.Free().Add(sessionJob.Spec.Size()))
}
