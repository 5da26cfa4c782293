package simulator

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/harewalk/harewalk/internal/fleet"
	"github.com/harewalk/harewalk/internal/jobs"
)

const (
	// heartbeatTimeout is how long a worker waits for the answer to a heartbeat.
	heartbeatTimeout = 4 * time.Second
	// maxEarlyInterval is the upper bound of the minimum time between a heartbeat and an early next one.
	maxEarlyInterval = 500 * time.Millisecond
	// newOwnerInterval is the delay of the next heartbeat after an answer with a higher token.
	newOwnerInterval = 100 * time.Millisecond
	// maxRetryIntervalS is the longest delay of the next heartbeat after a failed one, in seconds.
	maxRetryIntervalS = 1
)

// Paths of requests to controllers and workers.
const (
	heartbeatPath      = "/checkin"
	directCommandsPath = "/orders"
	statusPath         = "/status"
)

// Names of commands on the wire.
const (
	commandLaunch = "launch"
	commandHalt   = "halt"
	commandForget = "forget"
)

// directCommands is the body of a request with commands that a controller sends to a worker's own address.
type directCommands struct {
	Token    *uint64             `json:"mark"`
	Session  *uint64             `json:"run"`
	Commands []fleet.WireCommand `json:"calls"`
}

// redirect is the body of an answer that names the controller to which heartbeats must be sent.
type redirect struct {
	Node string `json:"keeper"`
}

// heartbeat returns a worker's current state as a heartbeat with the next sequence number.
func (sim *Simulation) heartbeat(now time.Duration, machine *Machine) fleet.WireHeartbeat {
	machine.seq++
	heartbeat := fleet.Heartbeat{
		Machine: machine.Name,
		Addr:    machine.addr,
		Type:    machine.machineType.Name,
		Zone:    machine.zone,
		Spot:    machine.spot,
		Session: machine.session,
		Seq:     machine.seq,
		Token:   machine.token,
		Tasks:   []fleet.TaskReport{},
	}
	if machine.noticeAt > 0 {
		remaining := (machine.noticeAt - now).Seconds()
		heartbeat.ReclaimInS = &remaining
	}
	for _, task := range machine.tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, fleet.TaskReport{
			Task:      task.name,
			Attempt:   task.attempt,
			State:     fleet.AttemptState(task.state),
			ExitCause: fleet.ExitCause(task.reason),
			Saved:     task.saved,
		})
	}
	return heartbeat.Wire()
}

// serveCommands answers direct requests to a worker. While commands are delayed, the request and the answer each get
// a delay. A hung machine serves pending requests once it resumes. Delayed commands are executed even if their sender
// has timed out long before.
func (sim *Simulation) serveCommands(machine *Machine, request httpRequest, reply replyFunc) {
	answerDelay := sim.drawDelay(&sim.faults.delays.commandDelay)
	requestDelay := sim.drawDelay(&sim.faults.delays.commandDelay)
	delayedReply := func(status int, body any) {
		sim.afterDelay(answerDelay, func() { reply(status, body) })
	}
	sim.afterDelay(requestDelay, func() { sim.receiveCommands(machine, request, delayedReply) })
}

func (sim *Simulation) receiveCommands(machine *Machine, request httpRequest, reply replyFunc) {
	sim.mu.Lock()
	now := sim.now()
	if now < machine.inboundLostUntil {
		sim.countLostLaunches(request.body)
		sim.mu.Unlock()
		return
	}
	if machine.dead || now < machine.upAt {
		sim.mu.Unlock()
		reply(http.StatusGatewayTimeout, nil)
		return
	}
	if wait := max(machine.hungUntil-now, machine.commandDelay); wait > 0 {
		if machine.commandDelay > 0 {
			sim.stats.CommandsDelayed++
			machine.commandDelay = 0
		}
		sim.mu.Unlock()
		sim.env.schedule(wait, func() { sim.receiveCommands(machine, request, reply) })
		return
	}
	status, body := sim.applyDirectCommands(now, machine, request)
	answerLost := now < machine.outboundLostUntil
	if status == http.StatusOK && request.path == directCommandsPath && !answerLost {
		sim.keepAnsweredCommands(now, machine, request.body)
	}
	sim.mu.Unlock()
	if !answerLost {
		reply(status, body)
	}
}

// applyDirectCommands executes the commands of a request and answers with the worker's status. Commands with the token
// of a former owner, or for another session, are refused with status 409.
func (sim *Simulation) applyDirectCommands(now time.Duration, machine *Machine, request httpRequest) (int, any) {
	sim.expireWorkerLease(now, machine)
	if request.path == statusPath {
		return http.StatusOK, sim.heartbeat(now, machine)
	}
	var direct directCommands
	if json.Unmarshal(request.body, &direct) != nil || direct.Token == nil || direct.Session == nil {
		return http.StatusBadRequest, nil
	}
	if *direct.Token < machine.token || *direct.Session != machine.session {
		return http.StatusConflict, sim.heartbeat(now, machine)
	}
	machine.token = *direct.Token
	before := len(machine.tasks)
	sim.execute(now, machine, direct.Commands)
	sim.checkDirectLaunches(machine.tasks[min(before, len(machine.tasks)):])
	return http.StatusOK, sim.heartbeat(now, machine)
}

// checkDirectLaunches checks that a direct request has launched no task, since a copy of the request would launch it
// again. Controllers that run as other programs, which may be of an earlier release, are exempt.
func (sim *Simulation) checkDirectLaunches(launched []*workerTask) {
	if sim.virtual == nil {
		return
	}
	for _, task := range launched {
		if task.state != taskExited {
			sim.recordViolation("direct_launch: %s, attempt %d", task.name, task.attempt)
		}
	}
}

// execute executes commands. Commands to halt or forget an attempt that isn't on the machine are ignored.
func (sim *Simulation) execute(now time.Duration, machine *Machine, commands []fleet.WireCommand) {
	for _, wire := range commands {
		command := wire.Command()
		i := slices.IndexFunc(machine.tasks, func(task *workerTask) bool {
			return task.name == command.Task && task.attempt == command.Attempt
		})
		switch command.Op {
		case commandLaunch:
			if i < 0 {
				machine.tasks = append(machine.tasks, sim.launch(now, machine, command))
			}
		case commandHalt:
			if i >= 0 && machine.tasks[i].state != taskExited {
				sim.halt(now, machine, machine.tasks[i], command)
			}
		case commandForget:
			if i >= 0 && machine.tasks[i].state == taskExited {
				machine.tasks = slices.Delete(machine.tasks, i, i+1)
			}
		}
	}
}

// launch returns the task for a launch command. A task that can't run has already exited.
func (sim *Simulation) launch(now time.Duration, machine *Machine, command fleet.Command) *workerTask {
	job, _, _ := strings.Cut(command.Task, "/")
	task := &workerTask{
		name:         command.Task,
		attempt:      command.Attempt,
		spec:         sim.spec(job),
		state:        taskPulling,
		imageReadyAt: now,
		launchedAt:   now,
	}
	if task.spec == nil {
		task.spec = &jobs.Spec{ID: job}
		task.reject(reasonUnknownJob)
		return task
	}
	free := machine.machineType.Size()
	for _, other := range machine.tasks {
		if other.state == taskExited {
			continue
		}
		if other.name == command.Task {
			task.reject(reasonDuplicate)
			return task
		}
		free = free.Sub(other.spec.Size())
	}
	if !task.spec.Size().Fits(free) {
		task.reject(reasonNoRoom)
		return task
	}
	if !machine.images[task.spec.Image] {
		task.imageReadyAt = now + jobs.Seconds(task.spec.ImageGB/machine.machineType.FetchGBPerS)
	}
	return task
}

func (task *workerTask) reject(reason string) {
	task.state = taskExited
	task.reason = reason
}

// spec returns a job's specification as its user submitted it or, without a recorded submission, as the state service
// stores it. It returns nil if there is none.
func (sim *Simulation) spec(job string) *jobs.Spec {
	if sim.records.specs[job] == nil {
		var record jobs.Record
		stored := sim.state.service.Keys[jobs.RecordKey(job)].Value
		if json.Unmarshal(stored, &record) == nil && record.Spec != nil {
			sim.records.specs[job] = (*jobs.Spec)(record.Spec)
		}
	}
	return sim.records.specs[job]
}

// halt stops a task. The task first saves a checkpoint if its job can do so within the command's grace period.
func (sim *Simulation) halt(now time.Duration, machine *Machine, task *workerTask, command fleet.Command) {
	if session := sim.records.sessions[task.spec.ID]; session != nil && task.state == taskRunning {
		session.processHalted(now, machine)
	}
	canCheckpoint := task.spec.CheckpointS > 0 && command.GraceS >= task.spec.SaveS && task.spec.Kind != jobs.Gang
	switch {
	case task.state == taskCheckpointing && command.GraceS > 0:
	case task.state == taskRunning && canCheckpoint:
		task.state = taskCheckpointing
		task.checkpointDoneAt = now + jobs.Seconds(task.spec.SaveS)
	default:
		sim.exitTask(now, task, reasonHalted)
	}
}

// sentHeartbeat is a heartbeat whose answer is pending, with the machine's incarnation and session when it was sent.
type sentHeartbeat struct {
	sim         *Simulation
	machine     *Machine
	incarnation int
	session     uint64
	sentAt      time.Duration
}

// heartbeatLoop sends a worker's next heartbeat if it is due, and reschedules itself until the machine has ended.
func (sim *Simulation) heartbeatLoop(machine *Machine) {
	sim.mu.Lock()
	now := sim.now()
	if machine.dead {
		sim.mu.Unlock()
		return
	}
	wait := max(machine.hungUntil, machine.upAt) - now
	if wait > 0 || !sim.heartbeatDue(now, machine) {
		sim.mu.Unlock()
		sim.env.schedule(max(sim.cfg.TickInterval, wait), func() { sim.heartbeatLoop(machine) })
		return
	}
	sim.expireWorkerLease(now, machine)
	body := sim.nextHeartbeatBody(now, machine)
	sent := &sentHeartbeat{
		sim:         sim,
		machine:     machine,
		incarnation: machine.incarnation,
		session:     machine.session,
		sentAt:      now,
	}
	to := sim.settings[machine.controller].PublicAddr
	lost := now < machine.outboundLostUntil
	refused := now < machine.outboundRefusedUntil
	if !refused {
		sim.duplicate(machine.zone, heartbeatPath, body)
		sim.copyHeartbeat(machine.zone, body)
	}
	sim.mu.Unlock()
	switch {
	case lost:
		sent.timeOut()
	case refused:
		sim.env.schedule(0, func() { sent.answered(0, nil) })
	default:
		sim.env.post(machine.Name, machine.zone, to, heartbeatPath, body, sent.answerArrived)
	}
}

// heartbeatDue reports whether the next heartbeat must be sent: at its regular time or, after a change, earlier.
func (sim *Simulation) heartbeatDue(now time.Duration, machine *Machine) bool {
	minInterval := min(maxEarlyInterval, jobs.Seconds(sim.cfg.Workers.HeartbeatIntervalS/4))
	changed := func() bool { return machine.summary() != machine.lastSummary }
	return now >= machine.nextHeartbeat || (now-machine.lastHeartbeat >= minInterval && changed())
}

// nextHeartbeatBody returns the body of a heartbeat, counts it, and draws the time of the next one.
func (sim *Simulation) nextHeartbeatBody(now time.Duration, machine *Machine) []byte {
	body, _ := json.Marshal(sim.heartbeat(now, machine))
	sim.stats.Heartbeats++
	sim.stats.HeartbeatBytes += uint64(len(body))
	machine.lastSummary = machine.summary()
	machine.lastHeartbeat = now
	machine.nextHeartbeat = now + jobs.Seconds(sim.cfg.Workers.HeartbeatIntervalS*(0.75+0.5*sim.rng.Float64()))
	return body
}

// answerArrived passes an answer on to the worker. A lost answer, or one after the timeout, counts as no answer.
func (h *sentHeartbeat) answerArrived(status int, body []byte) {
	sim := h.sim
	sim.mu.Lock()
	lost := sim.now() < h.machine.inboundLostUntil
	if lost {
		sim.countLostLaunches(body)
	}
	sim.mu.Unlock()
	if lost {
		h.timeOut()
		return
	}
	delay := sim.drawDelay(&sim.faults.delays.heartbeatAnswerDelay)
	if sim.now()+delay-h.sentAt > heartbeatTimeout {
		h.timeOut()
		return
	}
	sim.afterDelay(delay, func() { h.answered(status, body) })
}

// timeOut ends the heartbeat without an answer when the worker's timeout expires.
func (h *sentHeartbeat) timeOut() {
	wait := max(0, h.sentAt+heartbeatTimeout-h.sim.now())
	h.sim.env.schedule(wait, func() { h.answered(0, nil) })
}

// answered handles the answer to a heartbeat in the worker; status 0 stands for no answer. A hung machine handles the
// answer once it resumes.
func (h *sentHeartbeat) answered(status int, body []byte) {
	sim, machine := h.sim, h.machine
	sim.mu.Lock()
	defer sim.mu.Unlock()
	now := sim.now()
	if now < machine.hungUntil && !machine.dead {
		sim.env.schedule(machine.hungUntil-now, func() { h.answered(status, body) })
		return
	}
	defer sim.env.schedule(sim.cfg.TickInterval, func() { sim.heartbeatLoop(machine) })
	if machine.incarnation != h.incarnation {
		machine.nextHeartbeat = now // the connection of the former incarnation is lost
		return
	}
	sim.expireWorkerLease(now, machine)
	sim.stats.HeartbeatAnswerBytes += uint64(len(body))
	if machine.dead || machine.session != h.session || now-h.sentAt > heartbeatTimeout {
		return
	}
	switch status {
	case http.StatusOK:
		sim.heartbeatAccepted(now, machine, h.sentAt, body)
		return
	case http.StatusMisdirectedRequest:
		var to redirect
		_ = json.Unmarshal(body, &to)
		i := slices.Index(sim.nodeNames(), to.Node)
		if i >= 0 && i != machine.controller {
			machine.controller = i
			machine.nextHeartbeat = now
			return
		}
	}
	machine.controller = (machine.controller + 1) % sim.cfg.Controllers
	machine.nextHeartbeat = now + jobs.Seconds(min(maxRetryIntervalS, sim.cfg.Workers.HeartbeatIntervalS))
}

// heartbeatAccepted renews the worker's lease, counted from the time at which the heartbeat was sent, and executes the
// answer's commands. An answer with a lower token is ignored.
func (sim *Simulation) heartbeatAccepted(now time.Duration, machine *Machine, sentAt time.Duration, body []byte) {
	var answer fleet.WireResponse
	if json.Unmarshal(body, &answer) != nil || answer.Token < machine.token {
		return
	}
	if answer.Token > machine.token {
		machine.nextHeartbeat = now + newOwnerInterval
	}
	machine.token = answer.Token
	machine.leaseBase = sentAt
	sim.execute(now, machine, answer.Commands)
}
