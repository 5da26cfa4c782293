package fleet

import (
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/licences"
	"github.com/harewalk/harewalk/internal/sessions"
)

// Interactive sessions: suspending their jobs, and finding the jobs that wait for resources held by a session.

// Suspend suspends or resumes a job. If suspended is true, its tasks are stopped, with time to save a checkpoint, and
// the job is not planned until it is resumed. If suspended is false, the job can be planned again.
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

// SessionTask returns the state of the only task of a session's job. Until the plans are loaded, the task is reported
// as being on a machine.
func (f *Fleet) SessionTask(job *jobs.Job) sessions.Task {
	if !f.plansLoaded || job.Tasks == nil {
		return sessions.Task{OnMachine: !f.plansLoaded}
	}
	task := &job.Tasks[0]
	return sessions.Task{OnMachine: task.State.Occupies(), Stopping: task.Stopping, Attempt: task.Attempt}
}

// maxWaitingJobs is how many waiting jobs WaitingJobsFor examines, in priority order.
const maxWaitingJobs = 32

// WaitingJobsFor returns, for each of the given sessions' jobs, the id of a job that waits for resources of the
// session, or "" if there is none. The resources are room on its machine, its licence units and its share of the
// team's limit. A waiting job is returned for at most as many sessions as it has waiting tasks.
func (f *Fleet) WaitingJobsFor(_ time.Duration, sessionJobs []*jobs.Job) []string {
	waitingFor := make([]string, len(sessionJobs))
	examined := 0
	for _, job := range f.ranking.jobs {
		waitingTasks := job.UnstartedTasks()
		if waitingTasks == 0 || job.PlanningBlocked() || job.Spec == nil {
			continue
		}
		examined++
		if examined > maxWaitingJobs {
			break
		}
		if f.canStartNow(job) {
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

// canStartNow reports whether all waiting tasks of a job can start without the end of any other task.
func (f *Fleet) canStartNow(job *jobs.Job) bool {
	if !f.mayStart(job, 1) {
		return false
	}
	room := 0 // number of tasks of the job that fit on the machines examined so far
	for _, machine := range f.machines {
		f.PlanningSteps++
		if !takesWork(machine) || !f.mayPlace(machine, job) || !f.fits(machine, job) {
			continue
		}
		room += job.Spec.Size().FitCount(machine.Free())
		if room >= job.UnstartedTasks() {
			return true
		}
	}
	return false
}

// wouldLetStart reports whether the end of a session's task would allow a waiting job to start a task.
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
		return sessionJob.Team == job.Team // the waiting job is at its team's limit
	}
	machine := f.machines[task.Machine]
	if machine.Condition != Ready || machine.Returning || !f.mayPlace(machine, job) {
		return false
	}
	return job.Spec.Size().Fits(machine.Free().Add(sessionJob.Spec.Size()))
}
