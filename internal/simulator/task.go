package simulator

import (
	"slices"
	"strconv"
	"time"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/planner"
)

// failingTaskRunTime is the run time after which a failing task exits.
const failingTaskRunTime = 300 * time.Millisecond

// minRunSeconds is the shortest run time of a task, in seconds.
const minRunSeconds = 0.01

// teamLimitTolerance is the rounding error that is tolerated when a team's usage is compared with its limit.
const teamLimitTolerance = 1e-6

// advanceTask advances one task to now. A task pulls its image, waits for the other tasks if it belongs to a gang, and
// runs until it exits.
func (sim *Simulation) advanceTask(now time.Duration, machine *Machine, task *workerTask) {
	switch task.state {
	case taskPulling:
		if now >= task.imageReadyAt {
			sim.finishPull(now, machine, task)
		}
	case taskGathering:
		switch {
		case sim.countGangMembers(task) == task.spec.Tasks:
			sim.startRunning(now, task)
		case now-task.gatheringSince > jobs.Seconds(sim.cfg.Workers.GangWaitS):
			sim.exitTask(now, task, reasonGangTimeout)
		}
	case taskRunning:
		sim.advanceRunning(now, task)
	case taskCheckpointing:
		if now >= task.checkpointDoneAt {
			sim.finishCheckpoint(now, task)
		}
	}
}

// finishPull records that a task's image is ready: the task has started. A gang's task then waits for the others.
func (sim *Simulation) finishPull(now time.Duration, machine *Machine, task *workerTask) {
	machine.images[task.spec.Image] = true
	sim.taskStarted(now, machine, task)
	task.state = taskGathering
	task.gatheringSince = now
	task.faulty = machine.faulty
	if task.spec.Kind != jobs.Gang {
		sim.startRunning(now, task)
	}
}

func (sim *Simulation) advanceRunning(now time.Duration, task *workerTask) {
	if !sim.Licences.checkOut(task) {
		sim.exitTask(now, task, reasonError) // a program without its licence units fails after its start
		return
	}
	ranFor := now - task.runningSince
	fails := task.faulty || sim.faults.failingJobs[task.spec.ID]
	broken := task.spec.Kind == jobs.Gang && sim.countGangMembers(task) < task.spec.Tasks
	switch {
	case fails && ranFor >= failingTaskRunTime:
		sim.exitTask(now, task, reasonError)
	case broken && sim.progressOf(task.name).done:
		sim.exitTask(now, task, reasonDone)
	case broken:
		sim.exitTask(now, task, reasonGangPeers)
	case task.spec.Kind != jobs.Service && ranFor >= jobs.Seconds(task.remainingSeconds):
		sim.completeTask(now, task)
	}
}

// finishCheckpoint saves the work done before the checkpoint's start, and ends the task.
func (sim *Simulation) finishCheckpoint(now time.Duration, task *workerTask) {
	ran := (task.checkpointDoneAt - task.runningSince).Seconds()
	p := sim.progressOf(task.name)
	p.savedSeconds = min(task.spec.EstimateS, p.savedSeconds+ran-task.spec.SaveS)
	task.saved = true
	sim.exitTask(now, task, reasonHalted)
}

// progressOf returns a task's progress, and creates the record if there is none.
func (sim *Simulation) progressOf(name string) *progress {
	p := sim.records.progress[name]
	if p == nil {
		p = &progress{}
		sim.records.progress[name] = p
	}
	return p
}

func (sim *Simulation) startRunning(now time.Duration, task *workerTask) {
	task.state = taskRunning
	task.runningSince = now
	if session := sim.records.sessions[task.spec.ID]; session != nil {
		session.processStarted(now, task)
	}
	factor := 0.8 + 0.4*sim.rng.Float64()
	if sim.cfg.VariedRunTimes {
		factor = 0.25 + 1.75*sim.rng.Float64()
	}
	remaining := task.spec.EstimateS - sim.progressOf(task.name).savedSeconds
	task.remainingSeconds = max(minRunSeconds, remaining*factor/sim.cfg.Speed)
}

// exitTask ends a task. Its licence units are checked in, unless the task failed: then they expire on the licence
// server.
func (sim *Simulation) exitTask(now time.Duration, task *workerTask, reason string) {
	task.state = taskExited
	task.reason = reason
	task.active = false
	if reason == reasonError {
		sim.stats.TasksCrashed++
		sim.Licences.holderLost(now, task)
		return
	}
	sim.Licences.checkIn(task)
}

// completeTask ends a task whose work is done. If it belongs to a gang, the work of all tasks of the gang is done.
func (sim *Simulation) completeTask(now time.Duration, task *workerTask) {
	sim.progressOf(task.name).done = true
	sim.exitTask(now, task, reasonDone)
	sim.stats.TasksDone++
	if task.spec.Kind == jobs.Gang {
		for index := range task.spec.Tasks {
			sim.progressOf(taskName(task.spec.ID, index)).done = true
		}
	}
	sim.maybeCancelAtCompletion(task.spec)
}

func taskName(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// countGangMembers counts the tasks of a gang's attempt whose image is ready and that haven't exited.
func (sim *Simulation) countGangMembers(task *workerTask) (n int) {
	for _, machine := range sim.cloud.machines {
		for _, other := range machine.tasks {
			if other.spec.ID == task.spec.ID && other.attempt == task.attempt && other.active {
				n++
			}
		}
	}
	return n
}

// taskStarted records the start of a task, which is the time at which its image is ready, and checks the rules that
// apply to a start.
func (sim *Simulation) taskStarted(now time.Duration, machine *Machine, task *workerTask) {
	task.active = true
	sim.stats.TaskStarts++
	sim.records.startTimes = append(sim.records.startTimes, now)
	job := task.spec.ID
	if _, ok := sim.records.startDelays[job]; !ok {
		sim.records.startDelays[job] = now - sim.records.submittedAt[job]
	}
	if cancelledAt, ok := sim.records.cancelledAt[job]; ok {
		sim.countStartAfterCancel(now - cancelledAt)
	}
	if sim.progressOf(task.name).done {
		sim.stats.TasksRerun++
	}
	sim.checkPredecessorsDone(machine, task)
	sim.checkSingleInstance(machine, task)
	sim.checkTeamLimit(task)
}

func (sim *Simulation) countStartAfterCancel(after time.Duration) {
	sim.stats.TaskStartsAfterCancel++
	sim.stats.LatestStartAfterCancel = max(sim.stats.LatestStartAfterCancel, after)
}

// checkSingleInstance checks that no other attempt of the task runs.
func (sim *Simulation) checkSingleInstance(machine *Machine, task *workerTask) {
	sim.forEachActiveTask(func(onMachine *Machine, other *workerTask) {
		if other.name == task.name && other != task {
			sim.recordViolation("ran_twice: %s on %s and %s", task.name, onMachine.Name, machine.Name)
		}
	})
}

// forEachActiveTask calls visit for each started task that has not ended, with its machine.
func (sim *Simulation) forEachActiveTask(visit func(*Machine, *workerTask)) {
	for _, machine := range sim.cloud.machines {
		if machine.dead {
			continue
		}
		for _, task := range machine.tasks {
			if task.active {
				visit(machine, task)
			}
		}
	}
}

// teamUse returns the resources of a team's started tasks.
func (sim *Simulation) teamUse(team string) (use planner.Size) {
	sim.forEachActiveTask(func(_ *Machine, task *workerTask) {
		if task.spec.Team == team {
			use = use.Add(task.spec.Size())
		}
	})
	return use
}

// checkTeamLimit checks that the team of a task that has just started is within its limit.
func (sim *Simulation) checkTeamLimit(task *workerTask) {
	if use := sim.teamUse(task.spec.Team); sim.isAboveTeamLimit(task.spec.Team, use) {
		sim.recordViolation("quota: team %s exceeds its limit, using %v with %s", task.spec.Team, use, task.name)
	}
}

// isAboveTeamLimit reports whether the given usage exceeds a team's limit.
func (sim *Simulation) isAboveTeamLimit(name string, use planner.Size) bool {
	return slices.ContainsFunc(sim.cfg.Teams, func(team config.Team) bool {
		overCPUs := team.CPUsMax > 0 && use.CPUs > team.CPUsMax+teamLimitTolerance
		overGPUs := team.GPUsMax > 0 && use.GPUs > team.GPUsMax+teamLimitTolerance
		return team.Name == name && (overCPUs || overGPUs)
	})
}

// checkCancelledTask checks that a task ends within the time limit after a user received the cancellation of its job
// or of one of the job's predecessors.
func (sim *Simulation) checkCancelledTask(now time.Duration, machine *Machine, task *workerTask) {
	cancelledAt, ok := sim.firstCancellation(task.spec.ID)
	if !ok || !task.active || task.state == taskExited {
		return
	}
	sim.stats.LongestRunAfterCancel = max(sim.stats.LongestRunAfterCancel, now-cancelledAt)
	if now > cancelledAt+jobs.Seconds(sim.cfg.Workers.CancelS) {
		sim.recordViolation("ran_cancelled: %s still runs on %s after the time limit", task.name, machine.Name)
	}
}
