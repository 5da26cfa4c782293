package simulator

import (
	"strconv"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/planner"
)

// failingTaskRunTime is how long a task runs that fails.
const failingTaskRunTime = 300 * time.Millisecond

// minRunSeconds is the shortest time for which a task runs.
const minRunSeconds = 0.01

// limitTolerance is the rounding error accepted when a team's use is compared with its limit.
const limitTolerance = 1e-6

// advanceTask brings one task up to now: pulling, then, for a gang, gathering, then running until it exits.
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

// finishPull makes a task one that counts as running on its machine; a gang's waits for the others.
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
		sim.exitTask(now, task, reasonError) // without a licence unit the program fails after its start
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

// finishCheckpoint saves the work up to the checkpoint's start, and exits.
func (sim *Simulation) finishCheckpoint(now time.Duration, task *workerTask) {
	ran := (task.checkpointDoneAt - task.runningSince).Seconds()
	p := sim.progressOf(task.name)
	p.savedSeconds = min(task.spec.EstimateS, p.savedSeconds+ran-task.spec.SaveS)
	task.saved = true
	sim.exitTask(now, task, reasonHalted)
}

// progressOf returns what is recorded of a task beside its machine.
func (sim *Simulation) progressOf(name string) *progress {
	p := sim.work.progress[name]
	if p == nil {
		p = &progress{}
		sim.work.progress[name] = p
	}
	return p
}

func (sim *Simulation) startRunning(now time.Duration, task *workerTask) {
	task.state = taskRunning
	task.runningSince = now
	if session := sim.work.sessions[task.spec.ID]; session != nil {
		session.processStarted(now, task)
	}
	factor := 0.8 + 0.4*sim.rng.Float64()
	if sim.cfg.VariedRunTimes {
		factor = 0.25 + 1.75*sim.rng.Float64()
	}
	remaining := task.spec.EstimateS - sim.progressOf(task.name).savedSeconds
	task.remainingSeconds = max(minRunSeconds, remaining*factor/sim.cfg.Speed)
}

// exitTask ends a task. Its licence units are checked in, unless it fails: then the licence server has to notice.
func (sim *Simulation) exitTask(now time.Duration, task *workerTask, reason string) {
	task.state = taskExited
	task.reason = reason
	task.counted = false
	if reason == reasonError {
		sim.stats.TasksCrashed++
		sim.Licences.holderLost(now, task)
		return
	}
	sim.Licences.checkIn(task)
}

// completeTask ends a task whose work is done; that of one member of a gang is that of all.
func (sim *Simulation) completeTask(now time.Duration, task *workerTask) {
	sim.progressOf(task.name).done = true
	sim.exitTask(now, task, reasonDone)
	sim.stats.TasksDone++
	if task.spec.Kind == jobs.Gang {
		for index := range task.spec.Tasks {
			sim.progressOf(taskName(task.spec.ID, index)).done = true
		}
	}
	sim.jobCompleted(task.spec)
}

func taskName(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// countGangMembers counts the tasks of a gang's attempt that have their image.
func (sim *Simulation) countGangMembers(task *workerTask) (n int) {
	for _, machine := range sim.cloud.machines {
		for _, other := range machine.tasks {
			if other.spec.ID == task.spec.ID && other.attempt == task.attempt && other.counted {
				n++
			}
		}
	}
	return n
}

// taskStarted records the start of a task, which is the moment when it has its image, and checks the rules that hold
// for one.
func (sim *Simulation) taskStarted(now time.Duration, machine *Machine, task *workerTask) {
	task.counted = true
	sim.stats.TaskStarts++
	sim.work.startTimes = append(sim.work.startTimes, now)
	job := task.spec.ID
	if _, ok := sim.work.startDelays[job]; !ok {
		sim.work.startDelays[job] = now - sim.work.submittedAt[job]
	}
	if cancelledAt, ok := sim.work.cancelledAt[job]; ok {
		sim.countStartAfterCancel(task, now-cancelledAt)
	}
	if sim.progressOf(task.name).done {
		sim.stats.TasksRerun++
	}
	sim.checkPredecessorsDone(machine, task)
	sim.checkTeamLimit(task, sim.checkSingleInstance(machine, task))
}

func (sim *Simulation) countStartAfterCancel(task *workerTask, after time.Duration) {
	sim.stats.StartsAfterCancel++
	if task.directLaunch {
		sim.stats.DirectStartsAfterCancel++
	}
	sim.stats.LatestStartAfterCancel = max(sim.stats.LatestStartAfterCancel, after)
}

// checkSingleInstance checks that no other attempt of the task runs, and returns the use of its team.
func (sim *Simulation) checkSingleInstance(machine *Machine, task *workerTask) (use planner.Size) {
	for _, onMachine := range sim.cloud.machines {
		if onMachine.dead {
			continue
		}
		for _, other := range onMachine.tasks {
			if !other.counted {
				continue
			}
			if other.name == task.name && other != task {
				sim.violate("ran_twice: %s on %s and %s", task.name, onMachine.Name, machine.Name)
			}
			if other.spec.Team == task.spec.Team {
				use = use.Add(other.spec.Size())
			}
		}
	}
	return use
}

func (sim *Simulation) checkTeamLimit(task *workerTask, use planner.Size) {
	for _, team := range sim.cfg.Teams {
		if team.Name != task.spec.Team {
			continue
		}
		overCPUs := team.CPUsMax > 0 && use.CPUs > team.CPUsMax+limitTolerance
		overGPUs := team.GPUsMax > 0 && use.GPUs > team.GPUsMax+limitTolerance
		if overCPUs || overGPUs {
			sim.violate("quota: team %s uses %v with %s", team.Name, use, task.name)
		}
	}
}

// checkCancelledTask checks that a task has ended in time once the cancellation of its job, or of a job before it, was
// confirmed to a user.
func (sim *Simulation) checkCancelledTask(now time.Duration, machine *Machine, task *workerTask) {
	cancelledAt, ok := sim.firstCancellation(task.spec.ID)
	if !ok || !task.counted || task.state == taskExited {
		return
	}
	sim.stats.LongestRunAfterCancel = max(sim.stats.LongestRunAfterCancel, now-cancelledAt)
	if now > cancelledAt+jobs.Seconds(sim.cfg.Workers.CancelS) {
		sim.violate("ran_cancelled: %s on %s", task.name, machine.Name)
	}
}
