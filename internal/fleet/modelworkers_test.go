package fleet

import (
	"fmt"
	"iter"
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/planner"
)

// This file models the workers, with their heartbeats, leases and tasks, and checks the rules when a task starts.

const (
	// heartbeatTimeout is how long a worker waits for a heartbeat's response.
	heartbeatTimeout = 4 * time.Second
	// directCommandTimeout is how long a leader waits for the response to direct commands.
	directCommandTimeout = 2 * time.Second
	// taskFailureRate is the share of tasks that end with an error. Tasks of gangs never do.
	taskFailureRate = 0.03

	exitAlone     = "alone" // the rest of the gang did not arrive in time
	exitPeersGone = "peers" // another task of the gang ended
)

// modelTask is an attempt of a task as its worker records it.
type modelTask struct {
	job          string
	task         int32
	attempt      uint64
	state        AttemptState
	exitCause    ExitCause
	imageReadyAt time.Duration
	startedAt    time.Duration
	runTime      time.Duration
	waitingSince time.Duration // start of the wait for the rest of the gang
	onMachine    bool          // has its image and has not ended; counted by the rules
}

// exit ends a task with a cause.
func (t *modelTask) exit(cause ExitCause) {
	t.state = taskExited
	t.exitCause = cause
	t.onMachine = false
}

// modelWorker is a machine and its worker process.
type modelWorker struct {
	name, machineType, zone string
	spot                    bool
	capacity                planner.Size
	tasks                   []*modelTask

	alive            bool
	hung             bool
	unreachableUntil time.Duration // no response or command arrives before this time
	incarnation      int           // number of restarts under the same name
	reclaimAt        time.Duration // 0: no reclaim notice

	session, seq uint64
	token        uint64
	leaseFrom    time.Duration

	heartbeatInFlight bool
	heartbeatSentAt   time.Duration
	nextHeartbeat     time.Duration
}

// sendCommands delivers direct commands to a worker. The commands or the response may be lost or late.
func (m *model) sendCommands(machine *Machine, commands DirectCommands, done func(*Heartbeat)) {
	responded := false
	finish := func(heartbeat *Heartbeat) {
		if !responded {
			responded = true
			done(heartbeat)
		}
	}
	m.after(directCommandTimeout, func() { finish(nil) })
	if m.rng.Float64() < m.faultRate/4 {
		return
	}
	worker := m.findWorker(machine.Name)
	incarnation := 0
	if worker != nil {
		incarnation = worker.incarnation
	}
	m.after(m.networkDelay(), func() {
		if worker == nil || !worker.alive || worker.incarnation != incarnation || m.now < worker.unreachableUntil {
			return
		}
		if worker.hung { // the worker handles the commands once it resumes
			m.after(3*time.Second, func() {
				if worker.incarnation == incarnation {
					m.handleCommands(worker, commands)
				}
			})
			return
		}
		if heartbeat, ok := m.handleCommands(worker, commands); ok {
			m.after(m.networkDelay(), func() { finish(heartbeat) })
			m.repeatCommands(worker, commands)
		}
	})
}

// repeatCommands delivers an executed direct request once more, up to four leases late, also to a worker that has
// restarted since.
func (m *model) repeatCommands(worker *modelWorker, commands DirectCommands) {
	if !m.unreliableMachines || m.rng.IntN(2) == 0 {
		return
	}
	m.after(time.Second+time.Duration(m.rng.Int64N(int64(40*time.Second))), func() {
		if !worker.hung && m.now >= worker.unreachableUntil {
			m.repeated++
			m.handleCommands(worker, commands)
		}
	})
}

// findWorker returns the newest worker with a name, or nil.
func (m *model) findWorker(name string) *modelWorker {
	for _, worker := range slices.Backward(m.workers) {
		if worker.name == name {
			return worker
		}
	}
	return nil
}

// handleCommands executes direct commands on a worker and returns the worker's response. It returns false if the
// worker is dead.
func (m *model) handleCommands(worker *modelWorker, commands DirectCommands) (*Heartbeat, bool) {
	if !worker.alive {
		return nil, false
	}
	m.expireLease(worker)
	if commands.Token >= worker.token && commands.Session == worker.session {
		worker.token = commands.Token
		m.execute(worker, commands.Commands)
	}
	return m.heartbeat(worker), true
}

// heartbeat returns a worker's next heartbeat.
func (m *model) heartbeat(worker *modelWorker) *Heartbeat {
	worker.seq++
	heartbeat := &Heartbeat{
		Machine: worker.name,
		Addr:    "x",
		Type:    worker.machineType,
		Zone:    worker.zone,
		Spot:    worker.spot,
		Session: worker.session,
		Seq:     worker.seq,
		Token:   worker.token,
	}
	if worker.reclaimAt > 0 {
		seconds := (worker.reclaimAt - m.now).Seconds()
		heartbeat.ReclaimInS = &seconds
	}
	for _, task := range worker.tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, TaskReport{
			Task:      fmt.Sprintf("%s/%d", task.job, task.task),
			Attempt:   task.attempt,
			State:     task.state,
			ExitCause: task.exitCause,
		})
	}
	return heartbeat
}

// sendHeartbeat sends a worker's heartbeat if it is due, and delivers the response.
func (m *model) sendHeartbeat(worker *modelWorker) {
	if worker.heartbeatInFlight && m.now-worker.heartbeatSentAt > heartbeatTimeout {
		worker.heartbeatInFlight = false
		worker.nextHeartbeat = m.now + time.Second
	}
	if worker.heartbeatInFlight || m.now < worker.nextHeartbeat {
		return
	}
	heartbeat := m.heartbeat(worker)
	incarnation := worker.incarnation
	if m.unreliableMachines && m.rng.IntN(8) == 0 {
		m.sendLateCopy(heartbeat)
	}
	worker.heartbeatInFlight = true
	worker.heartbeatSentAt = m.now
	worker.nextHeartbeat = m.now + time.Second + time.Duration(m.rng.Int64N(int64(time.Second)))
	sentAt := m.now
	if m.rng.Float64() < m.faultRate/4 {
		return
	}
	m.after(m.networkDelay(), func() {
		if m.fleet == nil {
			return
		}
		response, decision := m.fleet.HandleHeartbeat(m.now, heartbeat)
		if decision != Accepted || m.rng.Float64() < m.faultRate/4 {
			return
		}
		m.after(m.networkDelay(), func() {
			m.handleResponse(worker, incarnation, heartbeat.Session, sentAt, response)
		})
	})
}

// sendLateCopy delivers a copy of a heartbeat up to four leases late.
func (m *model) sendLateCopy(heartbeat *Heartbeat) {
	m.lateCopies++
	m.after(time.Second+time.Duration(m.rng.Int64N(int64(40*time.Second))), func() {
		if m.fleet != nil {
			late := *heartbeat
			late.Tasks = slices.Clone(heartbeat.Tasks)
			m.fleet.HandleHeartbeat(m.now, &late)
		}
	})
}

// handleResponse handles the response to the heartbeat that a worker sent at sentAt in an incarnation and session. It
// drops a response that is too late or belongs to an earlier incarnation or session.
func (m *model) handleResponse(
	worker *modelWorker,
	incarnation int,
	session uint64,
	sentAt time.Duration,
	response HeartbeatResponse,
) {
	m.expireLease(worker)
	if !worker.alive || worker.hung || m.now < worker.unreachableUntil {
		return
	}
	if worker.incarnation != incarnation || worker.session != session {
		return
	}
	if worker.heartbeatSentAt != sentAt || m.now-sentAt > heartbeatTimeout {
		return
	}
	worker.heartbeatInFlight = false
	if response.Token < worker.token {
		return
	}
	if response.Token > worker.token {
		worker.nextHeartbeat = m.now + 500*time.Millisecond
	}
	worker.token = response.Token
	worker.leaseFrom = sentAt
	m.execute(worker, response.Commands)
}

// expireLease kills a worker's tasks and begins a new session if the worker's lease has expired.
func (m *model) expireLease(worker *modelWorker) {
	if m.now-worker.leaseFrom <= m.settings.WorkerLease() {
		return
	}
	m.crashTasks(worker.tasks)
	worker.tasks = nil
	worker.session++
	worker.leaseFrom = m.now
	worker.heartbeatInFlight = false
}

// crashTasks ends tasks without notice: their licence units stay taken for the ReleaseTimeout of their pools.
func (m *model) crashTasks(tasks []*modelTask) {
	for _, task := range tasks {
		if !task.onMachine {
			continue
		}
		for name, units := range m.specs[task.job].Licences {
			for _, pool := range m.pools {
				if pool.Name == name {
					m.lingering = append(m.lingering, lingeringUnits{name, units, m.now + pool.ReleaseTimeout})
				}
			}
		}
	}
}

// execute executes commands on a worker.
func (m *model) execute(worker *modelWorker, commands []Command) {
	for _, command := range commands {
		id, taskIndex, _ := parseTaskName(command.Task)
		index := slices.IndexFunc(worker.tasks, func(task *modelTask) bool {
			return task.job == id && task.task == taskIndex && task.attempt == command.Attempt
		})
		switch {
		case command.Op == opStart && index < 0:
			m.launch(worker, id, taskIndex, command.Attempt)
		case command.Op == opStop && index >= 0 && worker.tasks[index].state != taskExited:
			worker.tasks[index].exit(exitStopped)
		case command.Op == opForget && index >= 0 && worker.tasks[index].state == taskExited:
			if worker.tasks[index].exitCause == exitDone && !m.durablyFinished(id, taskIndex) {
				m.violation("forget command for %s arrived before the task's end was durable", command.Task)
			}
			worker.tasks = slices.Delete(worker.tasks, index, index+1)
		}
	}
}

// launch starts a new attempt of a task on a worker by fetching its image, or refuses the attempt.
func (m *model) launch(worker *modelWorker, id string, taskIndex int32, attempt uint64) {
	task := &modelTask{
		job:          id,
		task:         taskIndex,
		attempt:      attempt,
		state:        taskFetching,
		imageReadyAt: m.now + time.Duration(m.rng.Int64N(int64(4*time.Second))),
		runTime:      time.Second + time.Duration(m.rng.Int64N(int64(12*time.Second))),
	}
	free := worker.capacity
	otherAttempt := false
	for _, other := range worker.tasks {
		if other.state == taskExited {
			continue
		}
		free = free.Sub(m.specs[other.job].Size())
		otherAttempt = otherAttempt || (other.job == id && other.task == taskIndex)
	}
	switch spec := m.specs[id]; {
	case spec == nil:
		task.exit(exitUnknown)
	case otherAttempt:
		task.exit(exitBusy)
	case !spec.Size().Fits(free):
		task.exit(exitNoRoom)
	}
	worker.tasks = append(worker.tasks, task)
}

// advanceTasks advances a worker's tasks to the present time.
func (m *model) advanceTasks(worker *modelWorker) {
	m.expireLease(worker)
	for _, task := range worker.tasks {
		if task.state == taskExited {
			continue
		}
		if m.runsCancelled(task) {
			m.violation("ran_cancelled: %s/%d on %s", task.job, task.task, worker.name)
			task.exit(exitStopped)
			continue
		}
		switch task.state {
		case taskFetching:
			m.advanceFetching(worker, task)
		case taskWaiting:
			m.advanceWaiting(task)
		case taskRunning:
			m.advanceRunning(task)
		}
	}
}

// runsCancelled returns whether a task is on its machine longer than allowed after its job was cancelled.
func (m *model) runsCancelled(task *modelTask) bool {
	cancelledAt, ok := m.cancelledAt[task.job]
	return ok && m.now > cancelledAt+jobs.Seconds(m.settings.Params.Workers.CancelS) && task.onMachine
}

func (m *model) advanceFetching(worker *modelWorker, task *modelTask) {
	if m.now < task.imageReadyAt {
		return
	}
	m.checkStart(worker, task)
	switch {
	case m.finished[task.job][task.task]:
		task.exit(exitDone)
	case m.specs[task.job].Kind == jobs.Gang:
		task.state = taskWaiting
		task.waitingSince = m.now
	default:
		task.state = taskRunning
		task.startedAt = m.now
	}
}

func (m *model) advanceWaiting(task *modelTask) {
	switch {
	case m.now-task.waitingSince > jobs.Seconds(m.settings.Params.Workers.GangWaitS):
		task.exit(exitAlone)
	case m.gangTasksOnMachines(task) == m.specs[task.job].Tasks:
		task.state = taskRunning
		task.startedAt = m.now
	}
}

func (m *model) advanceRunning(task *modelTask) {
	spec := m.specs[task.job]
	isGang := spec.Kind == jobs.Gang
	if isGang && m.gangTasksOnMachines(task) < spec.Tasks {
		task.exit(exitPeersGone)
		return
	}
	if spec.Kind == jobs.Service || m.now-task.startedAt <= task.runTime {
		return
	}
	fails := m.rng.Float64() < taskFailureRate
	switch {
	case isGang:
		m.finishGang(task)
	case fails:
		m.crashTasks([]*modelTask{task})
		task.exit(exitError)
	default:
		task.exit(exitDone)
		m.finished[task.job][task.task] = true
	}
}

// gangTasksOnMachines returns how many tasks of a task's gang attempt are on live machines with their image.
func (m *model) gangTasksOnMachines(task *modelTask) int {
	count := 0
	for worker, other := range m.tasksOnMachines() {
		if worker.alive && other.job == task.job && other.attempt == task.attempt {
			count++
		}
	}
	return count
}

// finishGang ends all running tasks of a task's gang attempt.
func (m *model) finishGang(task *modelTask) {
	for _, worker := range m.workers {
		for _, other := range worker.tasks {
			if other.job == task.job && other.attempt == task.attempt && other.state == taskRunning {
				other.exit(exitDone)
			}
		}
	}
	for taskIndex := range m.specs[task.job].Tasks {
		m.finished[task.job][int32(taskIndex)] = true
	}
}

// tasksOnMachines returns the tasks that the rules count as on a machine, with their workers.
func (m *model) tasksOnMachines() iter.Seq2[*modelWorker, *modelTask] {
	return func(yield func(*modelWorker, *modelTask) bool) {
		for _, worker := range m.workers {
			for _, task := range worker.tasks {
				if task.onMachine && !yield(worker, task) {
					return
				}
			}
		}
	}
}

// checkStart marks a task as on its machine once its image has been fetched, and checks the rules.
func (m *model) checkStart(worker *modelWorker, task *modelTask) {
	task.onMachine = true
	m.startCount++
	m.checkLicences(m.specs[task.job])
	m.checkRunsOnce(worker, task)
	m.checkTeamLimit(worker, task)
	m.checkPlacement(worker, task)
}

// checkLicences checks that the units in use of each pool that a job needs don't exceed the pool's highest count in
// the last minute.
func (m *model) checkLicences(spec *jobs.Spec) {
	for pool := range spec.Licences {
		units := 0
		for _, lingering := range m.lingering {
			if lingering.pool == pool && lingering.until > m.now {
				units += lingering.units
			}
		}
		for _, task := range m.tasksOnMachines() {
			units += m.specs[task.job].Licences[pool]
		}
		m.peakUnits[pool] = max(m.peakUnits[pool], units)
		if units > m.maxUnits[pool] {
			m.violation("licences: %d of %d units of %s used at a start of %s", units, m.maxUnits[pool], pool, spec.ID)
		}
	}
}

// checkRunsOnce checks that a task is on no other machine at the same time.
func (m *model) checkRunsOnce(worker *modelWorker, task *modelTask) {
	for otherWorker, other := range m.tasksOnMachines() {
		if other.job == task.job && other.task == task.task && otherWorker != worker {
			m.violation("ran_twice: %s/%d on %s and %s", task.job, task.task, otherWorker.name, worker.name)
		}
	}
}

// checkTeamLimit checks that the CPUs in use by a task's team are within the team's limit.
func (m *model) checkTeamLimit(worker *modelWorker, task *modelTask) {
	team := m.specs[task.job].Team
	used := planner.Size{}
	for _, other := range m.tasksOnMachines() {
		if spec := m.specs[other.job]; spec.Team == team {
			used = used.Add(spec.Size())
		}
	}
	if limit := m.settings.Params.Teams[0].CPUsMax; used.CPUs > limit+1e-9 {
		m.violation("quota: team %s uses %v of %v CPUs with %s/%d on %s",
			team, used.CPUs, limit, task.job, task.task, worker.name)
	}
}

// checkPlacement checks a task's machine against the placement constraints of its job.
func (m *model) checkPlacement(worker *modelWorker, task *modelTask) {
	spec := m.specs[task.job]
	othersByZone := map[string]int{}
	for otherWorker, other := range m.tasksOnMachines() {
		if other.job == task.job && other != task {
			othersByZone[otherWorker.zone]++
		}
	}
	inZone := othersByZone[worker.zone]
	wrongZone := spec.Zone != nil && *spec.Zone != worker.zone
	wrongType := spec.Types != nil && spec.Types[0] != worker.machineType
	wrongSpot := worker.spot && !spec.Spot
	zonesMixed := spec.OneZone && len(othersByZone) > 0 && (len(othersByZone) > 1 || inZone == 0)
	zoneCrowded := spec.Spread && inZone+1 > (spec.Tasks+1)/2
	if wrongZone || wrongType || wrongSpot || zonesMixed || zoneCrowded {
		m.violation("wrong_place: %s/%d on %s (%s, zone %s, spot %v), other tasks by zone %v",
			task.job, task.task, worker.name, worker.machineType, worker.zone, worker.spot, othersByZone)
	}
}
