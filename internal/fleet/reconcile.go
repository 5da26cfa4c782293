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

// Delays after a failed or refused attempt.
const (
	// avoidDuration is the time for which a job is not placed on a machine on which it failed.
	avoidDuration = 60 * time.Second
	// maxFailureBackoffShift limits the delay after failures, which doubles with each failure, to 64 s.
	maxFailureBackoffShift = 6
	// refusedRetryDelay is the delay after a worker refused a launch.
	refusedRetryDelay = 2 * time.Second
)

// reconcileTasks compares the tasks that a fenced heartbeat lists with the tasks that count as on the machine, and
// updates the states of both. It leaves the listed live tasks in scratch.listedTasks for buildCommands.
func (f *Fleet) reconcileTasks(now time.Duration, machine *Machine, heartbeat *Heartbeat, origin heartbeatOrigin) {
	f.resolveTaskReports(heartbeat)
	machine.beginUnexpected()
	machine.exitedListed = 0
	for i := range heartbeat.Tasks {
		report := &heartbeat.Tasks[i]
		if report.State == taskExited {
			machine.exitedListed++
		}
		switch {
		case report.job == nil || report.job.Tasks == nil:
		case report.State == taskExited:
			f.reconcileExitedTask(now, machine, report, origin)
		default:
			f.reconcileLiveTask(now, machine, report)
		}
	}
	missing := f.scratch.taskRefs[:0]
	for ref := range machine.Tasks {
		if _, ok := f.scratch.listedTasks[ref]; !ok {
			missing = append(missing, ref)
		}
	}
	f.scratch.taskRefs = missing
	sortRefs(missing)
	for _, ref := range missing {
		f.reconcileMissingTask(now, machine, ref, origin)
	}
}

// resolveTaskReports finds the jobs of the tasks that a heartbeat lists, and collects the live tasks in
// scratch.listedTasks. It runs before any task is reconciled, since a heartbeat may list a refused attempt at a task
// beside the running one.
func (f *Fleet) resolveTaskReports(heartbeat *Heartbeat) {
	clear(f.scratch.listedTasks)
	for i := range heartbeat.Tasks {
		report := &heartbeat.Tasks[i]
		report.job, report.taskIndex = f.findTask(report.Task)
		if report.job != nil && report.State != taskExited {
			f.scratch.listedTasks[report.ref()] = struct{}{}
		}
	}
}

// sortRefs sorts tasks by job and task index, so that the order of actions does not depend on the order of a map.
func sortRefs(refs []TaskRef) {
	slices.SortFunc(refs, func(a, b TaskRef) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task))
	})
}

// findTask returns the job and index of the task with a name in messages. The job is nil if there is no such task.
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

// reconcileLiveTask records that a task is on the machine whose heartbeat lists it.
func (f *Fleet) reconcileLiveTask(now time.Duration, machine *Machine, report *TaskReport) {
	job, taskIndex := report.job, report.taskIndex
	task := &job.Tasks[taskIndex]
	if task.State == jobs.Finished {
		return // buildCommands stops the attempt
	}
	if task.State.Occupies() && task.Machine != machine.Index {
		f.recordSecondMachine(now, machine, report)
		return
	}
	if task.State != jobs.Recovered && task.Attempt != report.Attempt {
		f.recordOtherAttempt(machine, report)
	}
	if task.State == jobs.Planned {
		f.dequeue(job, taskIndex)
		if task.Machine != machine.Index {
			f.checkTransition(job.SetTaskState(taskIndex, jobs.Unplanned))
		}
	}
	if task.State != jobs.OnMachine {
		f.adoptTask(now, machine, report)
	}
	task.Attempt = report.Attempt
	if len(job.LicenceUnits) > 0 {
		f.Gate.Licences.SetAttempt(now, licenceRef(job, taskIndex), report.Attempt, job.LicenceUnits)
	}
	f.updatePhase(now, machine, report)
}

// adoptTask records that a task is on a machine, though the fleet had no record of it on any machine.
func (f *Fleet) adoptTask(now time.Duration, machine *Machine, report *TaskReport) {
	job, taskIndex := report.job, report.taskIndex
	task := &job.Tasks[taskIndex]
	if task.Machine != machine.Index {
		task.Machine = machine.Index
		job.MarkDirty(taskIndex, true, now)
	}
	if task.LaunchedAt == 0 || !task.State.Occupies() {
		task.LaunchedAt = now
	}
	f.setOnMachine(now, job, taskIndex, jobs.OnMachine)
	task.Attempt = report.Attempt
	job.GangAttempt = max(job.GangAttempt, report.Attempt)
	job.Started = true
	if job.State.Terminal() || job.Suspended {
		f.stopTask(job, taskIndex)
	}
}

// updatePhase records the phase of a live task.
func (f *Fleet) updatePhase(now time.Duration, machine *Machine, report *TaskReport) {
	job, taskIndex := report.job, report.taskIndex
	task := &job.Tasks[taskIndex]
	phase := taskPhase(report.State)
	if phase == task.Phase {
		return
	}
	if phase == jobs.Running {
		task.RunningSince = now
		f.addTaskEvent(now, events.TaskRunning, job, taskIndex)
	}
	job.SetTaskPhase(taskIndex, phase)
	machine.endsValid = false
}

// reconcileExitedTask records the exit of an attempt.
func (f *Fleet) reconcileExitedTask(
	now time.Duration, machine *Machine, report *TaskReport, origin heartbeatOrigin,
) {
	// The heartbeat may list another attempt at the task as live.
	_, isAlsoLive := f.scratch.listedTasks[report.ref()]
	if report.ExitCause == exitDone {
		f.reconcileDoneTask(now, machine, report, isAlsoLive, origin)
		return
	}
	task := &report.job.Tasks[report.taskIndex]
	isHere := task.State.Occupies() && task.Machine == machine.Index
	isCurrent := task.Attempt == report.Attempt || task.State == jobs.Recovered
	if !isHere || !isCurrent || isAlsoLive {
		return
	}
	if report.ExitCause == exitBusy {
		return // another attempt was on the machine: the next heartbeat shows whether it still is
	}
	f.reconcileFailedTask(now, machine, report)
}

// reconcileDoneTask records that an attempt succeeded, and so its task is done.
func (f *Fleet) reconcileDoneTask(
	now time.Duration, machine *Machine, report *TaskReport, isAlsoLive bool, origin heartbeatOrigin,
) {
	job, taskIndex := report.job, report.taskIndex
	task := &job.Tasks[taskIndex]
	isElsewhere := task.Machine != machine.Index
	if job.State.Terminal() {
		if task.State.Occupies() && !isElsewhere {
			f.release(now, job, taskIndex, jobs.Unplanned, licences.CleanExit)
		}
		return
	}
	launchMayArrive := task.State == jobs.Launched && task.Attempt != report.Attempt && origin != fromRequest
	if task.State.Occupies() && (isElsewhere || isAlsoLive || launchMayArrive) {
		// The task is done, but another attempt at it may be on a machine. The task counts there until a proof that
		// the other attempt has ended.
		task.Done = true
		f.stopTask(job, taskIndex)
		return
	}
	f.finishTask(now, machine, job, taskIndex)
	if job.Spec.Kind == jobs.Gang {
		f.finishGang(now, job)
	}
}

// reconcileFailedTask releases a task whose present attempt ended without success, and sets when and where the task may
// be launched again.
func (f *Fleet) reconcileFailedTask(now time.Duration, machine *Machine, report *TaskReport) {
	job, taskIndex := report.job, report.taskIndex
	task := &job.Tasks[taskIndex]
	slog.Info("task ended", "task", report.Task, "machine", machine.Name,
		"cause", report.ExitCause, "saved", report.Saved, "term", f.Term)
	f.Events.Add(events.Event{
		At:            now,
		Kind:          events.TaskEnded,
		Job:           job.ID,
		Task:          taskIndex,
		Machine:       machine.Index,
		Attempt:       task.Attempt,
		Note:          string(report.ExitCause),
		HasCheckpoint: report.Saved,
	})
	f.release(now, job, taskIndex, jobs.Unplanned, licenceEnd(report.ExitCause))
	job.MarkDirty(taskIndex, false, now)
	switch report.ExitCause {
	case exitError:
		task.Failures = min(task.Failures+1, maxFailureBackoffShift)
		task.NotBefore = now + time.Second<<task.Failures
		f.avoidMachine(now, machine, job)
		f.recordFailure(now, machine, job, taskIndex)
	case exitNoRoom, exitUnknown:
		task.NotBefore = now + refusedRetryDelay
	}
}

// avoidMachine excludes a machine on which a task of a job failed from the job's placement for avoidDuration, and
// removes the job's tasks from the machine's queue.
func (f *Fleet) avoidMachine(now time.Duration, machine *Machine, job *jobs.Job) {
	if job.AvoidedMachines == nil {
		job.AvoidedMachines = map[int32]time.Duration{}
	}
	job.AvoidedMachines[machine.Index] = now + avoidDuration
	for _, taskIndex := range slices.Clone(machine.queued(job.Index)) {
		f.unplanTask(job, taskIndex)
	}
}

// finishGang finishes the tasks of a gang after one of them is done. A task that may still be on a machine counts there
// until a proof that it has left, since a task that is started again after its gang was done runs briefly before it
// exits.
func (f *Fleet) finishGang(now time.Duration, job *jobs.Job) {
	job.GangDone = true
	for t := range job.Tasks {
		if !job.Tasks[t].State.Occupies() {
			f.finishTask(now, nil, job, int32(t))
		}
	}
}

// finishTask records that a task is done. The machine is the sender of the heartbeat that listed the task's exit, or
// nil if no heartbeat did.
func (f *Fleet) finishTask(now time.Duration, machine *Machine, job *jobs.Job, taskIndex int32) {
	task := &job.Tasks[taskIndex]
	if task.State == jobs.Finished {
		return
	}
	if machine != nil && task.Machine == machine.Index && task.Phase == jobs.Running {
		f.recordRunTime(job, machine, (now - task.RunningSince).Seconds(), task.Failures == 0)
		f.recordSuccess(job, machine)
	}
	if task.State == jobs.Planned {
		f.dequeue(job, taskIndex)
	}
	f.addTaskEvent(now, events.TaskDone, job, taskIndex)
	f.release(now, job, taskIndex, jobs.Finished, licences.CleanExit)
	job.MarkDirty(taskIndex, false, now)
	if job.FinishedTasks == job.TaskCount {
		slog.Info("all tasks done", "job", job.ID, "term", f.Term)
	}
}

// Bounds and weights of the run times in recordRunTime.
const (
	minMeasuredRunS   = 2.0 // seconds; shorter run times are ignored
	minRunTimeRatio   = 0.1 // lower bound of one measured ratio of run time to estimate
	maxRunTimeRatio   = 8.0 // upper bound of that ratio
	minRunTimeRate    = 0.1 // least weight of a new ratio in its class's average, for a job of one task
	slowdownRate      = 0.2 // weight of a new slowdown in its machine's average
	minSlowdownSample = 0.5 // lower bound of one measured slowdown
	maxSlowdownSample = 6.0 // upper bound of one measured slowdown
)

// recordRunTime updates the run-time ratio of a job's class and the slowdown of a machine from the run time of a task,
// in seconds. It ignores tasks that failed before.
func (f *Fleet) recordRunTime(job *jobs.Job, machine *Machine, ranS float64, neverFailed bool) {
	spec := job.Spec
	if spec.EstimateS <= 0 || ranS < minMeasuredRunS || !neverFailed {
		return
	}
	if spec.CheckpointS > 0 && job.GangAttempt != 0 && ranS < spec.EstimateS/4 {
		return // the task probably continued from a checkpoint
	}
	class := f.classStatsOf(job.Class)
	ratio := math.Min(maxRunTimeRatio, math.Max(minRunTimeRatio, ranS/spec.EstimateS))
	// All tasks of a job share the error of its estimate, so a job with more tasks gets a lower weight for each.
	weight := 1 / math.Sqrt(float64(job.TaskCount))
	rate := math.Max(weight/(class.samples+weight), weight*minRunTimeRate)
	slowdown := math.Min(maxSlowdownSample, math.Max(minSlowdownSample, ratio/class.ratio))
	machine.slowdown += slowdownRate * (slowdown - machine.slowdown)
	class.ratio = math.Exp((1-rate)*math.Log(class.ratio) + rate*math.Log(ratio))
	class.samples += weight
}

// reconcileMissingTask handles a task that counts as on the machine but that a fenced heartbeat does not list.
func (f *Fleet) reconcileMissingTask(now time.Duration, machine *Machine, ref TaskRef, origin heartbeatOrigin) {
	job := f.jobAt(ref.Job)
	switch task := &job.Tasks[ref.Task]; task.State {
	case jobs.Launched:
		// The launch was not sent yet, or in a response that is in flight or that the worker never received. The heartbeat
		// of a direct response can't tell these apart. A heartbeat of the worker's own shows that the worker has not
		// received the launch and never will, since it waits for one response at a time. Then buildCommands sends the
		// launch in the response, unless the task must not start any more.
		isUnwanted := job.State.Terminal() || machine.Condition != Ready
		if isUnwanted && origin == fromRequest {
			f.release(now, job, ref.Task, jobs.Unplanned, licences.NeverStarted)
		}
	case jobs.Recovered:
		to := jobs.Planned
		if job.State.Terminal() || job.Spec.Kind != jobs.Array || machine.Condition != Ready {
			to = jobs.Unplanned
		}
		// The task may have run and crashed under the former leader.
		f.release(now, job, ref.Task, to, licences.Crashed)
	case jobs.OnMachine:
		slog.Info("task missing from heartbeat", "job", job.ID, "task", ref.Task, "machine", machine.Name, "term", f.Term)
		f.addTaskEvent(now, events.TaskMissing, job, ref.Task)
		f.release(now, job, ref.Task, jobs.Unplanned, licences.Crashed)
		if !job.State.Terminal() {
			job.MarkDirty(ref.Task, false, now)
		}
	}
}
