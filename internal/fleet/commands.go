package fleet

// The commands in the response to a heartbeat.

import (
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

// buildCommands returns the commands in response to a fenced heartbeat that reconcileTasks has just applied. The
// commands forget exited attempts whose outcome is durable, stop tasks that must stop, repeat launches that did not
// arrive, and start queued tasks.
func (f *Fleet) buildCommands(now time.Duration, machine *Machine, heartbeat *Heartbeat) []Command {
	commands := f.scratch.commands[:0]
	for i := range heartbeat.Tasks {
		report := &heartbeat.Tasks[i]
		if report.State == taskExited {
			if mayForget(report) {
				commands = append(commands, forgetCommand(report.Task, report.Attempt).because(causeExited))
			}
			continue
		}
		if graceS, cause := f.mustStop(now, machine, report); cause != "" {
			commands = append(commands, stopCommand(report.Task, report.Attempt, graceS).because(cause))
		}
	}
	if machine.Condition == Ready {
		machine.hasLaunches = false
		machine.promptedAt = 0
		commands = f.appendRepeatedLaunches(commands, machine)
		commands = f.appendStarts(commands, now, machine)
	}
	f.scratch.commands = commands
	sent := limitCommands(commands)
	if len(sent) < len(commands) {
		machine.hasLaunches = true // the next heartbeat is prompted for the others
	}
	return slices.Clone(sent)
}

// appendRepeatedLaunches appends the launches that dispatch made or an earlier response sent, and whose tasks the
// heartbeat does not list. A worker ignores a repeated launch of an attempt that it already lists.
func (f *Fleet) appendRepeatedLaunches(commands []Command, machine *Machine) []Command {
	refs := f.scratch.taskRefs[:0]
	for ref := range machine.Tasks {
		job := f.jobAt(ref.Job)
		if job.Tasks[ref.Task].State != jobs.Launched || job.State.Terminal() {
			continue
		}
		if _, isListed := f.scratch.listedTasks[ref]; !isListed {
			refs = append(refs, ref)
		}
	}
	f.scratch.taskRefs = refs
	sortRefs(refs)
	for _, ref := range refs {
		job := f.jobAt(ref.Job)
		command := startCommand(taskName(job, ref.Task), job.Tasks[ref.Task].Attempt)
		commands = append(commands, command.because(causeNotListed))
	}
	return commands
}

// mayForget reports whether a worker may stop listing an exited attempt. The attempt's outcome must be durable. No
// launch of the attempt can still arrive: the worker executed or dropped all earlier responses before it sent this
// heartbeat.
func mayForget(report *TaskReport) bool {
	job := report.job
	if job == nil {
		return true
	}
	if report.ExitCause != exitDone || job.State.Terminal() {
		return true
	}
	return job.Tasks != nil && job.IsDurablyDone(report.taskIndex)
}

// mustStop returns the grace period in seconds and the cause with which a live task must be stopped. The cause is "" if
// the task may continue.
func (f *Fleet) mustStop(now time.Duration, machine *Machine, report *TaskReport) (graceS float64, cause commandCause) {
	job := report.job
	if job == nil || job.State.Terminal() || job.Tasks == nil {
		return 0, causeJobEnded
	}
	task := &job.Tasks[report.taskIndex]
	if task.State == jobs.Finished || task.Machine != machine.Index {
		return 0, causeNotExpected
	}
	if report.State == taskSaving {
		return 0, ""
	}
	if task.Stopping {
		return saveGraceS(job), causeStopping
	}
	isReclaimed := machine.Condition == ReclaimNoticed && !machine.Returning
	if isReclaimed && f.shouldStopBeforeReclaim(now, machine, job, report.taskIndex) {
		return saveGraceS(job), causeReclaim
	}
	return 0, ""
}

// saveGraceS returns the grace period, in seconds, that lets a task save a checkpoint.
func saveGraceS(job *jobs.Job) float64 { return job.Spec.SaveS + 1 }

// reclaimFinishShare is the share of the time until a reclaim within which a task must be expected to end; otherwise
// the task is stopped.
const reclaimFinishShare = 0.7

// shouldStopBeforeReclaim reports whether a task should stop now on a machine that the cloud is about to reclaim. A
// running task that is expected to end in time continues. All other tasks stop while there is time to save a
// checkpoint, and are started again on other machines.
func (f *Fleet) shouldStopBeforeReclaim(now time.Duration, machine *Machine, job *jobs.Job, taskIndex int32) bool {
	untilReclaimS := (machine.ReclaimAt - now).Seconds()
	if job.Spec.Kind == jobs.Gang && job.TaskCount > 1 {
		// A gang continues or stops as a whole. It continues only if the remaining time also suffices for its tasks to
		// save a checkpoint and for the timeout of their peers.
		hasTime := untilReclaimS > job.Spec.SaveS+f.Settings.Params.Workers.GangPeerS+1
		if hasTime && f.remainingSeconds(now, job, taskIndex) < untilReclaimS*reclaimFinishShare {
			return false
		}
		f.stopTasksOnMachines(job)
		return true
	}
	isRunning := job.Tasks[taskIndex].Phase == jobs.Running
	return !isRunning || f.remainingSeconds(now, job, taskIndex) >= untilReclaimS*reclaimFinishShare
}
