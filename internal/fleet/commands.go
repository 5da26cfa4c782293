package fleet

import (
	"strconv"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

func taskName(job *jobs.Job, taskIndex int32) string {
	return job.ID + "/" + strconv.Itoa(int(taskIndex))
}

// buildCommands answers a fenced report: forget what is recorded, stop what must stop, repeat
// launches that did not arrive, and start what the machine's lanes hold. The report has
// just been taken over: f.listed holds what it says is alive.
func (f *Fleet) buildCommands(now time.Duration, machine *Machine, heartbeat *Heartbeat) []Command {
	out := []Command{}
	for i := range heartbeat.Tasks {
		taskReport := &heartbeat.Tasks[i]
		job, taskIndex := taskReport.job, taskReport.taskIndex
		if taskReport.State == taskExited {
			if f.mayForget(machine, job, taskIndex, taskReport) {
				out = append(out, Command{Op: opForget, Task: taskReport.Task, Attempt: taskReport.Attempt})
			}
			continue
		}
		if grace, stop := f.mustStop(now, machine, job, taskIndex, taskReport); stop {
			out = append(out, Command{Op: opStop, Task: taskReport.Task, Attempt: taskReport.Attempt, GraceS: &grace})
		}
	}
	if machine.Condition != Ready {
		return out
	}
	again := f.scratch.taskRefs[:0]
	for ref := range machine.Tasks {
		job := f.jobAt(ref.Job)
		if job.Tasks[ref.Task].State != jobs.Launched || job.State.Terminal() {
			continue
		}
		if _, alive := f.scratch.listedTasks[ref]; !alive {
			again = append(again, ref)
		}
	}
	f.scratch.taskRefs = again
	sortRefs(again)
	for _, ref := range again {
		job := f.jobAt(ref.Job)
		out = append(out, Command{Op: opStart, Task: taskName(job, ref.Task), Attempt: job.Tasks[ref.Task].Attempt})
	}
	return append(out, f.startCommands(now, machine)...)
}

// mayForget tells whether an exited task may vanish from the reports: its outcome must
// be durable, and no direct launch of the same attempt may still be under way, since a
// worker that has forgotten an attempt would start it anew.
func (f *Fleet) mayForget(machine *Machine, job *jobs.Job, taskIndex int32, taskReport *TaskReport) bool {
	if machine.directInFlight {
		return false
	}
	if job == nil {
		return true
	}
	if _, late := machine.indeterminateLaunches[taskAttempt{TaskRef{job.Index, taskIndex}, taskReport.Attempt}]; late {
		return false
	}
	if taskReport.Why != exitDone || job.State.Terminal() {
		return true
	}
	return job.Tasks != nil && job.IsDurablyDone(taskIndex)
}

// mustStop tells whether a task that is alive on a machine has to go, and with what grace.
func (f *Fleet) mustStop(now time.Duration, machine *Machine, job *jobs.Job, taskIndex int32, taskReport *TaskReport) (float64, bool) {
	if job == nil || job.State.Terminal() || job.Tasks == nil {
		return 0, true
	}
	task := &job.Tasks[taskIndex]
	if task.State == jobs.Finished || task.Machine != machine.Index {
		return 0, true
	}
	if task.Stopping && taskReport.State != taskSaving {
		return job.Spec.SaveS + 1, true
	}
	if machine.Condition == ReclaimNoticed && !machine.Returning && taskReport.State != taskSaving {
		return f.stopBeforeReclaim(now, machine, job, taskIndex)
	}
	return 0, false
}

// stopBeforeReclaim decides whether a task on a machine that is being taken should stop now: one that
// will be done in time goes on, one that can save does so while there is time, and one
// that cannot is started elsewhere at once.
func (f *Fleet) stopBeforeReclaim(now time.Duration, machine *Machine, job *jobs.Job, taskIndex int32) (float64, bool) {
	rest := (machine.ReclaimAt - now).Seconds()
	task := &job.Tasks[taskIndex]
	if job.Spec.Kind == jobs.Gang && job.TaskCount > 1 {
		if rest > job.Spec.SaveS+f.Settings.Params.Workers.GangPeerS+1 && f.remainingSeconds(now, job, taskIndex) < rest*0.7 {
			return 0, false
		}
		for o := range job.Tasks {
			if job.Tasks[o].State.Occupies() {
				f.stopTask(job, int32(o))
			}
		}
		return job.Spec.SaveS + 1, true
	}
	if task.Phase == jobs.Running && f.remainingSeconds(now, job, taskIndex) < rest*0.7 {
		return 0, false
	}
	return job.Spec.SaveS + 1, true
}
