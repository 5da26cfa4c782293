package fleet

import (
	"cmp"
	"log/slog"
	"math"
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/events"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/licences"
)

// reconcileTasks compares the list of a fenced report with what is known.
func (f *Fleet) reconcileTasks(now time.Duration, machine *Machine, heartbeat *Heartbeat, direct bool) {
	clear(f.scratch.listed)
	// Exits first: a refused attempt may stand beside the one that runs.
	for i := range heartbeat.Tasks {
		taskReport := &heartbeat.Tasks[i]
		if taskReport.job, taskReport.no = f.findTask(taskReport.Task); taskReport.job != nil && taskReport.State != taskExited {
			f.scratch.listed[TaskRef{taskReport.job.Index, taskReport.no}] = struct{}{}
		}
	}
	for i := range heartbeat.Tasks {
		taskReport := &heartbeat.Tasks[i]
		if taskReport.job == nil || taskReport.job.Tasks == nil {
			continue
		}
		if taskReport.State == taskExited {
			_, again := f.scratch.listed[TaskRef{taskReport.job.Index, taskReport.no}]
			f.handleExit(now, machine, taskReport.job, taskReport.no, taskReport, again)
		} else {
			f.handleLive(now, machine, taskReport.job, taskReport.no, taskReport)
		}
	}
	missing := f.scratch.refs[:0]
	for ref := range machine.Tasks {
		if _, ok := f.scratch.listed[ref]; !ok {
			missing = append(missing, ref)
		}
	}
	f.scratch.refs = missing
	sortRefs(missing)
	for _, ref := range missing {
		f.handleMissing(now, machine, ref, direct)
	}
}

func sortRefs(refs []TaskRef) {
	slices.SortFunc(refs, func(a, b TaskRef) int { return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task)) })
}

func (f *Fleet) findTask(name string) (*jobs.Job, int32) {
	id, taskIndex, ok := parseTaskName(name)
	if !ok {
		return nil, 0
	}
	job := f.Jobs.Get(id)
	if job == nil || int(taskIndex) >= job.TaskCount {
		return nil, 0
	}
	return job, taskIndex
}

func phaseOf(state string) jobs.Phase {
	switch state {
	case taskFetching:
		return jobs.Fetching
	case taskWaiting:
		return jobs.Waiting
	case taskRunning:
		return jobs.Running
	case taskSaving:
		return jobs.Saving
	}
	return jobs.NoPhase
}

// handleLive takes over a task that is on the machine.
func (f *Fleet) handleLive(now time.Duration, machine *Machine, job *jobs.Job, taskIndex int32, taskReport *TaskReport) {
	task := &job.Tasks[taskIndex]
	if task.State == jobs.Finished {
		return // commands will stop it
	}
	if task.State != jobs.Unplanned && task.Machine != machine.Index {
		if task.State.Occupies() {
			slog.Error("task seen on a machine that it was not sent to", "task", taskReport.Task, "machine", machine.Name,
				"expected", f.machines[task.Machine].Name, "term", f.Term)
			return
		}
		f.dequeue(job, taskIndex) // planned elsewhere, but it is here
		f.checkTransition(job.SetTaskState(taskIndex, jobs.Unplanned))
	}
	if task.State == jobs.Planned {
		f.dequeue(job, taskIndex)
	}
	if task.State != jobs.OnMachine {
		if task.Machine != machine.Index {
			task.Machine = machine.Index
			job.MarkDirty(taskIndex, true, now)
		}
		if task.LaunchedAt == 0 || !task.State.Occupies() {
			task.LaunchedAt = now
		}
		f.setOnMachine(now, job, taskIndex, jobs.OnMachine)
		task.Attempt = taskReport.Attempt
		job.GangAttempt = max(job.GangAttempt, taskReport.Attempt)
		job.Started = true
		if job.State.Terminal() || job.Suspended {
			f.stopTask(job, taskIndex)
		}
	}
	task.Attempt = taskReport.Attempt
	if len(job.LicenceUnits) > 0 {
		f.Gate.Licences.Attempt(now, licenceRef(job, taskIndex), taskReport.Attempt, job.LicenceUnits)
	}
	task.LaunchIndeterminate = false
	p := phaseOf(taskReport.State)
	if p == jobs.Running && task.Phase != jobs.Running {
		task.RunningSince = now
		f.addTaskEvent(now, events.TaskRunning, job, taskIndex, "")
	}
	if task.Phase != p {
		job.SetTaskPhase(taskIndex, p)
		machine.endsValid = false
	}
}

// handleExit takes over the end of a task. again tells that another attempt of it is listed as
// alive on the same machine.
func (f *Fleet) handleExit(now time.Duration, machine *Machine, job *jobs.Job, taskIndex int32, taskReport *TaskReport, again bool) {
	task := &job.Tasks[taskIndex]
	if taskReport.Why == exitDone {
		if job.State.Terminal() {
			if task.State.Occupies() && task.Machine == machine.Index {
				f.release(now, job, taskIndex, jobs.Unplanned, licences.Clean)
			}
			return
		}
		if task.State.Occupies() && (task.Machine != machine.Index || again || (task.LaunchIndeterminate && task.Attempt != taskReport.Attempt)) {
			// It is done, but another attempt may be on a machine: that counts until it
			// is seen to be gone.
			task.Done = true
			f.stopTask(job, taskIndex)
			return
		}
		f.finishTask(now, machine, job, taskIndex, true)
		if job.Spec.Kind == jobs.Gang {
			f.finishGang(now, job)
		}
		return
	}
	mine := task.Machine == machine.Index && task.State.Occupies() && (task.Attempt == taskReport.Attempt || task.State == jobs.Recovered)
	if !mine || again {
		return
	}
	if taskReport.Why == exitBusy {
		// Another attempt of it is here: the next report lists it, or nothing of it.
		return
	}
	slog.Info("task ended", "task", taskReport.Task, "machine", machine.Name, "cause", taskReport.Why, "saved", taskReport.Saved, "term", f.Term)
	f.Events.Add(events.Event{At: now, Kind: events.TaskEnded, Job: job.ID, Task: taskIndex, Machine: machine.Index, Attempt: task.Attempt, Note: taskReport.Why, Saved: taskReport.Saved})
	f.release(now, job, taskIndex, jobs.Unplanned, licenceEnd(taskReport.Why))
	job.MarkDirty(taskIndex, false, now)
	switch taskReport.Why {
	case exitError:
		task.Failures = min(task.Failures+1, 6)
		task.NotBefore = now + time.Second<<task.Failures
		f.avoid(now, machine, job)
		f.recordFailure(now, machine, job, taskIndex)
	case exitNoRoom, exitUnknown:
		task.NotBefore = now + 2*time.Second
	}
}

// avoid keeps a job off a machine on which one of its tasks failed.
func (f *Fleet) avoid(now time.Duration, machine *Machine, job *jobs.Job) {
	if job.AvoidedMachines == nil {
		job.AvoidedMachines = map[int32]time.Duration{}
	}
	job.AvoidedMachines[machine.Index] = now + avoidFor
	for _, taskIndex := range slices.Clone(machine.queued(job.Index)) {
		f.dequeue(job, taskIndex)
		f.checkTransition(job.SetTaskState(taskIndex, jobs.Unplanned))
	}
}

// finishGang follows from one task of a gang being done: every one is. Those that may still
// be on a machine count there until they are seen to be gone, since a task that is started
// again after its gang was done is on its machine for a moment before it exits.
func (f *Fleet) finishGang(now time.Duration, job *jobs.Job) {
	job.GangDone = true
	for t := range job.Tasks {
		if !job.Tasks[t].State.Occupies() {
			f.finishTask(now, nil, job, int32(t), false)
		}
	}
}

// finishTask records a task's completion.
func (f *Fleet) finishTask(now time.Duration, machine *Machine, job *jobs.Job, taskIndex int32, seen bool) {
	task := &job.Tasks[taskIndex]
	if task.State == jobs.Finished {
		return
	}
	if seen && task.Machine == machine.Index && task.Phase == jobs.Running {
		f.recordRunTime(job, machine, (now - task.RunningSince).Seconds(), task.Failures == 0)
		f.recordSuccess(job, machine)
	}
	if task.State == jobs.Planned {
		f.dequeue(job, taskIndex)
	}
	f.addTaskEvent(now, events.TaskDone, job, taskIndex, "")
	f.release(now, job, taskIndex, jobs.Finished, licences.Clean)
	job.MarkDirty(taskIndex, false, now)
	if job.FinishedTasks == job.TaskCount {
		slog.Info("all tasks done", "job", job.ID, "term", f.Term)
	}
}

// recordRunTime compares a run time with its estimate.
func (f *Fleet) recordRunTime(job *jobs.Job, machine *Machine, ran float64, clean bool) {
	if job.Spec.EstimateS <= 0 || ran < 2 || !clean || job.Spec.CheckpointS > 0 && job.GangAttempt != 0 && ran < job.Spec.EstimateS/4 {
		return
	}
	s := f.classStatsOf(job.Class)
	r := math.Min(8, math.Max(0.1, ran/job.Spec.EstimateS))
	// One job's tasks share its owner's error: a job counts once, not once a task.
	w := 1 / math.Sqrt(float64(job.TaskCount))
	rate := math.Max(w/(s.samples+w), w*0.1)
	machine.slowdown += 0.2 * (math.Min(6, math.Max(0.5, r/s.ratio)) - machine.slowdown)
	s.ratio = math.Exp((1-rate)*math.Log(s.ratio) + rate*math.Log(r))
	s.samples += w
}

// handleMissing handles a task that should be on the machine but is not listed by a fenced
// report.
func (f *Fleet) handleMissing(now time.Duration, machine *Machine, ref TaskRef, direct bool) {
	job := f.jobAt(ref.Job)
	task := &job.Tasks[ref.Task]
	switch task.State {
	case jobs.Launched:
		// Its launch went out directly, in an answer that is still under way (a direct
		// report says nothing of that), or in one that the worker dropped. Only in the
		// last case it surely won't start any more: it is sent again or given up.
		if (job.State.Terminal() || machine.Condition != Ready) && !task.LaunchIndeterminate && !direct {
			f.release(now, job, ref.Task, jobs.Unplanned, licences.Unstarted)
		}
	case jobs.Recovered:
		to := jobs.Planned
		if job.State.Terminal() || job.Spec.Kind != jobs.Array || machine.Condition != Ready {
			to = jobs.Unplanned
		}
		// It may have run and crashed under the owner before.
		f.release(now, job, ref.Task, to, licences.Crashed)
	case jobs.OnMachine:
		slog.Info("task vanished", "job", job.ID, "task", ref.Task, "machine", machine.Name, "term", f.Term)
		f.addTaskEvent(now, events.TaskVanished, job, ref.Task, "")
		f.release(now, job, ref.Task, jobs.Unplanned, licences.Crashed)
		if !job.State.Terminal() {
			job.MarkDirty(ref.Task, false, now)
		}
	}
}
