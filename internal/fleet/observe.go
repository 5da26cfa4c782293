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
func (f *Fleet) reconcileTasks(now time.Duration, m *Machine, r *Heartbeat, direct bool) {
	clear(f.listedTasks)
	// Exits first: a refused attempt may stand beside the one that runs.
	for i := range r.Tasks {
		e := &r.Tasks[i]
		if e.job, e.no = f.findTask(e.Task); e.job != nil && e.State != taskExited {
			f.listedTasks[TaskRef{e.job.Index, e.no}] = struct{}{}
		}
	}
	for i := range r.Tasks {
		e := &r.Tasks[i]
		if e.job == nil || e.job.Tasks == nil {
			continue
		}
		if e.State == taskExited {
			_, again := f.listedTasks[TaskRef{e.job.Index, e.no}]
			f.handleExit(now, m, e.job, e.no, e, again)
		} else {
			f.handleLive(now, m, e.job, e.no, e)
		}
	}
	missing := f.refScratch[:0]
	for ref := range m.Tasks {
		if _, ok := f.listedTasks[ref]; !ok {
			missing = append(missing, ref)
		}
	}
	f.refScratch = missing
	sortRefs(missing)
	for _, ref := range missing {
		f.handleMissing(now, m, ref, direct)
	}
}

func sortRefs(rs []TaskRef) {
	slices.SortFunc(rs, func(a, b TaskRef) int { return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task)) })
}

func (f *Fleet) findTask(name string) (*jobs.Job, int32) {
	id, t, ok := parseTaskName(name)
	if !ok {
		return nil, 0
	}
	j := f.Jobs.Get(id)
	if j == nil || int(t) >= j.TaskCount {
		return nil, 0
	}
	return j, t
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
func (f *Fleet) handleLive(now time.Duration, m *Machine, j *jobs.Job, t int32, e *TaskReport) {
	k := &j.Tasks[t]
	if k.State == jobs.Finished {
		return // commands will stop it
	}
	if k.State != jobs.Unplanned && k.Machine != m.Index {
		if k.State.Occupies() {
			slog.Error("task seen on a machine that it was not sent to", "task", e.Task, "machine", m.Name,
				"expected", f.machines[k.Machine].Name, "term", f.Term)
			return
		}
		f.dequeue(j, t) // planned elsewhere, but it is here
		f.checkTransition(j.SetTaskState(t, jobs.Unplanned))
	}
	if k.State == jobs.Planned {
		f.dequeue(j, t)
	}
	if k.State != jobs.OnMachine {
		if k.Machine != m.Index {
			k.Machine = m.Index
			j.MarkDirty(t, true, now)
		}
		if k.LaunchedAt == 0 || !k.State.Occupies() {
			k.LaunchedAt = now
		}
		f.setOnMachine(now, j, t, jobs.OnMachine)
		k.Attempt = e.Attempt
		j.GangAttempt = max(j.GangAttempt, e.Attempt)
		j.Started = true
		if j.State.Terminal() || j.Suspended {
			f.stopTask(j, t)
		}
	}
	k.Attempt = e.Attempt
	if len(j.LicenceUnits) > 0 {
		f.Gate.Licences.Attempt(now, licenceRef(j, t), e.Attempt, j.LicenceUnits)
	}
	k.LaunchIndeterminate = false
	p := phaseOf(e.State)
	if p == jobs.Running && k.Phase != jobs.Running {
		k.RunningSince = now
		f.addTaskEvent(now, events.TaskRunning, j, t, "")
	}
	if k.Phase != p {
		j.SetTaskPhase(t, p)
		m.endsValid = false
	}
}

// handleExit takes over the end of a task. again tells that another attempt of it is listed as
// alive on the same machine.
func (f *Fleet) handleExit(now time.Duration, m *Machine, j *jobs.Job, t int32, e *TaskReport, again bool) {
	k := &j.Tasks[t]
	if e.Why == exitDone {
		if j.State.Terminal() {
			if k.State.Occupies() && k.Machine == m.Index {
				f.release(now, j, t, jobs.Unplanned, licences.Clean)
			}
			return
		}
		if k.State.Occupies() && (k.Machine != m.Index || again || (k.LaunchIndeterminate && k.Attempt != e.Attempt)) {
			// It is done, but another attempt may be on a machine: that counts until it
			// is seen to be gone.
			k.Done = true
			f.stopTask(j, t)
			return
		}
		f.finishTask(now, m, j, t, true)
		if j.Spec.Kind == jobs.Gang {
			f.finishGang(now, j)
		}
		return
	}
	mine := k.Machine == m.Index && k.State.Occupies() && (k.Attempt == e.Attempt || k.State == jobs.Recovered)
	if !mine || again {
		return
	}
	if e.Why == exitBusy {
		// Another attempt of it is here: the next report lists it, or nothing of it.
		return
	}
	slog.Info("task ended", "task", e.Task, "machine", m.Name, "cause", e.Why, "saved", e.Saved, "term", f.Term)
	f.Events.Add(events.Event{At: now, Kind: events.TaskEnded, Job: j.ID, Task: t, Machine: m.Index, Attempt: k.Attempt, Note: e.Why, Saved: e.Saved})
	f.release(now, j, t, jobs.Unplanned, licenceEnd(e.Why))
	j.MarkDirty(t, false, now)
	switch e.Why {
	case exitError:
		k.Failures = min(k.Failures+1, 6)
		k.NotBefore = now + time.Second<<k.Failures
		f.avoid(now, m, j)
		f.recordFailure(now, m, j, t)
	case exitNoRoom, exitUnknown:
		k.NotBefore = now + 2*time.Second
	}
}

// avoid keeps a job off a machine on which one of its tasks failed.
func (f *Fleet) avoid(now time.Duration, m *Machine, j *jobs.Job) {
	if j.AvoidedMachines == nil {
		j.AvoidedMachines = map[int32]time.Duration{}
	}
	j.AvoidedMachines[m.Index] = now + avoidFor
	for _, t := range slices.Clone(m.queued(j.Index)) {
		f.dequeue(j, t)
		f.checkTransition(j.SetTaskState(t, jobs.Unplanned))
	}
}

// finishGang follows from one task of a gang being done: every one is. Those that may still
// be on a machine count there until they are seen to be gone, since a task that is started
// again after its gang was done is on its machine for a moment before it exits.
func (f *Fleet) finishGang(now time.Duration, j *jobs.Job) {
	j.GangDone = true
	for t := range j.Tasks {
		if !j.Tasks[t].State.Occupies() {
			f.finishTask(now, nil, j, int32(t), false)
		}
	}
}

// finishTask records a task's completion.
func (f *Fleet) finishTask(now time.Duration, m *Machine, j *jobs.Job, t int32, seen bool) {
	k := &j.Tasks[t]
	if k.State == jobs.Finished {
		return
	}
	if seen && k.Machine == m.Index && k.Phase == jobs.Running {
		f.recordRunTime(j, m, (now - k.RunningSince).Seconds(), k.Failures == 0)
		f.recordSuccess(j, m)
	}
	if k.State == jobs.Planned {
		f.dequeue(j, t)
	}
	f.addTaskEvent(now, events.TaskDone, j, t, "")
	f.release(now, j, t, jobs.Finished, licences.Clean)
	j.MarkDirty(t, false, now)
	if j.FinishedTasks == j.TaskCount {
		slog.Info("all tasks done", "job", j.ID, "term", f.Term)
	}
}

// recordRunTime compares a run time with its estimate.
func (f *Fleet) recordRunTime(j *jobs.Job, m *Machine, ran float64, clean bool) {
	if j.Spec.EstimateS <= 0 || ran < 2 || !clean || j.Spec.CheckpointS > 0 && j.GangAttempt != 0 && ran < j.Spec.EstimateS/4 {
		return
	}
	s := f.stats(j.Class)
	r := math.Min(8, math.Max(0.1, ran/j.Spec.EstimateS))
	// One job's tasks share its owner's error: a job counts once, not once a task.
	w := 1 / math.Sqrt(float64(j.TaskCount))
	rate := math.Max(w/(s.n+w), w*0.1)
	m.slowdown += 0.2 * (math.Min(6, math.Max(0.5, r/s.ratio)) - m.slowdown)
	s.ratio = math.Exp((1-rate)*math.Log(s.ratio) + rate*math.Log(r))
	s.n += w
}

// handleMissing handles a task that should be on the machine but is not listed by a fenced
// report.
func (f *Fleet) handleMissing(now time.Duration, m *Machine, ref TaskRef, direct bool) {
	j := f.jobAt(ref.Job)
	k := &j.Tasks[ref.Task]
	switch k.State {
	case jobs.Launched:
		// Its launch went out directly, in an answer that is still under way (a direct
		// report says nothing of that), or in one that the worker dropped. Only in the
		// last case it surely won't start any more: it is sent again or given up.
		if (j.State.Terminal() || m.Condition != Ready) && !k.LaunchIndeterminate && !direct {
			f.release(now, j, ref.Task, jobs.Unplanned, licences.Unstarted)
		}
	case jobs.Recovered:
		to := jobs.Planned
		if j.State.Terminal() || j.Spec.Kind != jobs.Array || m.Condition != Ready {
			to = jobs.Unplanned
		}
		// It may have run and crashed under the owner before.
		f.release(now, j, ref.Task, to, licences.Crashed)
	case jobs.OnMachine:
		slog.Info("task vanished", "job", j.ID, "task", ref.Task, "machine", m.Name, "term", f.Term)
		f.addTaskEvent(now, events.TaskVanished, j, ref.Task, "")
		f.release(now, j, ref.Task, jobs.Unplanned, licences.Crashed)
		if !j.State.Terminal() {
			j.MarkDirty(ref.Task, false, now)
		}
	}
}
