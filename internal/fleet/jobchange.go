package fleet

import (
	"log/slog"
	"time"

	"github.com/harewalk/harewalk/internal/events"
	"github.com/harewalk/harewalk/internal/jobs"
)

// HandleJobChange applies a change in the job table: a new job is made available to planning, and the tasks of a job
// that has ended are stopped. Before the plans are loaded it does nothing, since LoadPlans reads the whole table.
func (f *Fleet) HandleJobChange(now time.Duration, job *jobs.Job) {
	switch {
	case !f.plansLoaded:
	case job.State == jobs.Pending:
		f.acceptJob(now, job)
	default:
		f.closeJob(now, job)
	}
}

// acceptJob records a new job and makes it available to planning, unless it waits for its predecessor jobs.
func (f *Fleet) acceptJob(now time.Duration, job *jobs.Job) {
	slog.Info("job accepted", "job", job.ID, "class", job.Spec.Class, "kind", string(job.Spec.Kind),
		"tasks", job.TaskCount, "predecessors", len(job.Spec.Follows), "term", f.Term)
	f.addJobEvent(now, events.JobAccepted, job)
	if !job.Blocked {
		f.openJob(now, job)
	}
}

// HandleJobReleased makes a job available to planning after its last predecessor is done. Before the plans are loaded
// it does nothing, since LoadPlans reads the whole table.
func (f *Fleet) HandleJobReleased(now time.Duration, job *jobs.Job) {
	if !f.plansLoaded {
		return
	}
	slog.Info("job released", "job", job.ID, "waited_s", int((now - job.SubmittedAt).Seconds()), "term", f.Term)
	f.addJobEvent(now, events.JobReleased, job)
	f.openJob(now, job)
}

// openJob makes a job available to planning. A released job may already have tasks, from the plans of an earlier
// term.
func (f *Fleet) openJob(now time.Duration, job *jobs.Job) {
	job.CreateTasks()
	f.finishRecoveredGang(now, job)
	if f.unreadableJobs[job.ID] {
		// The job's plan was skipped when this term began, so this leader can't determine which of its tasks run. The
		// next leader reads both the record and the plan.
		job.Quarantined = true
	}
	f.ranking.at = 0
}

// closeJob removes the planning state of a job that is done or cancelled, and stops its tasks.
func (f *Fleet) closeJob(now time.Duration, job *jobs.Job) {
	kind := events.JobDone
	if job.State == jobs.Cancelled {
		kind = events.JobCancelled
	}
	f.addJobEvent(now, kind, job)
	f.ranking.at = 0
	delete(f.noMachineUntil, job.Index)
	delete(f.preemptedAt, job.Index)
	delete(f.crashLoops, job.Index)
	delete(f.licenceGrants, job.Index)
	delete(f.unplannedReasons, job.Index)
	if job.Tasks == nil {
		return
	}
	f.writer.endedJobs = append(f.writer.endedJobs, job)
	slog.Info("job ended", "job", job.ID, "state", job.State.String(), "term", f.Term)
	f.emptyQueuesOf(job)
	f.stopAllTasks(job)
}

// emptyQueuesOf removes a job's tasks from the queues of all machines.
func (f *Fleet) emptyQueuesOf(job *jobs.Job) {
	for _, machineIndex := range f.queueMachines(job) {
		machine := f.machines[machineIndex]
		queued := len(machine.queued(job.Index))
		machine.setQueue(job.Index, nil)
		f.removeQueued(machine, job, queued)
	}
}

// stopAllTasks makes a job's planned tasks unplanned, and marks those to be stopped that may be on machines.
func (f *Fleet) stopAllTasks(job *jobs.Job) {
	for t := range job.Tasks {
		task := &job.Tasks[t]
		switch {
		case task.State == jobs.Planned:
			f.checkTransition(job.SetTaskState(int32(t), jobs.Unplanned))
		case task.State.Occupies():
			f.stopTask(job, int32(t))
		}
	}
}

// addJobEvent records an event that concerns a job as a whole.
func (f *Fleet) addJobEvent(now time.Duration, kind events.Kind, job *jobs.Job) {
	f.Events.Add(events.Event{At: now, Kind: kind, Job: job.ID, Task: events.None, Machine: events.None})
}

// addTaskEvent records an event of one task.
func (f *Fleet) addTaskEvent(now time.Duration, kind events.Kind, job *jobs.Job, taskIndex int32) {
	task := &job.Tasks[taskIndex]
	f.Events.Add(events.Event{
		At:      now,
		Kind:    kind,
		Job:     job.ID,
		Task:    taskIndex,
		Machine: task.Machine,
		Attempt: task.Attempt,
	})
}
