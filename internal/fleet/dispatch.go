package fleet

// Direct requests: stops that are sent without waiting for the machine's next heartbeat, and prompts for an early
// heartbeat. A direct request never launches a task. A request that was executed and answered may reach the machine
// once more at any time, even after a restart that has reset the worker's token and session. The worker would then
// launch every attempt that it does not list, also one that was forgotten. Launches are sent only in the responses to
// heartbeats, which a worker executes once or never.

import (
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

const (
	// directInterval is the minimum time between two direct requests to a machine.
	directInterval = 200 * time.Millisecond
	// stopResendInterval is the time after which a stop without effect is sent again.
	stopResendInterval = time.Second
	// promptResendInterval is the time after which a prompt that no heartbeat followed is sent again. It is twice the
	// minimum time between two heartbeats of a worker.
	promptResendInterval = time.Second
)

// dispatch launches queued tasks and sends stops and prompts directly to machines, at most one request at a time to
// each. The response to the prompted heartbeat carries the launches, see appendRepeatedLaunches.
func (f *Fleet) dispatch(now time.Duration) {
	for _, machine := range f.machines {
		if f.MaxDirectRequests > 0 && f.directRequests >= f.MaxDirectRequests {
			// The tasks of the remaining machines stay in their queues, since a machine that can't be prompted now
			// would launch them late. The next tick dispatches again.
			f.writer.planBecameDurable = true
			return
		}
		if !f.takesDirectCommands(now, machine) {
			continue
		}
		if launches := f.appendStarts(f.scratch.commands[:0], now, machine); len(launches) > 0 {
			machine.hasLaunches = true
		}
		var commands []Command
		if machine.hasStops {
			commands = f.stopCommands(now, machine)
		}
		if machine.needsPrompt(now) {
			machine.promptedAt = now
			commands = append(commands, promptCommand(f.nextAttempt()))
		}
		if len(commands) > 0 {
			f.sendDirect(now, machine, limitCommands(commands))
		}
	}
}

// takesDirectCommands reports whether a machine has tasks to launch or stop, and a direct request may be sent to the
// machine now.
func (f *Fleet) takesDirectCommands(now time.Duration, machine *Machine) bool {
	switch {
	case machine.Condition != Ready || machine.Addr == "":
		return false
	case machine.directInFlight || machine.fencing:
		return false
	case now-machine.LastContactAt > f.overdueAfter() || now-machine.dispatchedAt < directInterval:
		return false
	}
	return machine.QueuedTasks > 0 || machine.hasStops || machine.hasLaunches
}

// needsPrompt reports whether a machine should send a heartbeat early, because tasks were launched there.
func (m *Machine) needsPrompt(now time.Duration) bool {
	isPrompted := m.promptedAt > 0 && now-m.promptedAt < promptResendInterval
	return m.hasLaunches && !isPrompted
}

// stopCommands returns the commands that stop a machine's tasks marked Stopping. It omits tasks whose last stop command
// was sent within stopResendInterval.
func (f *Fleet) stopCommands(now time.Duration, machine *Machine) (commands []Command) {
	machine.hasStops = false
	for ref := range machine.Tasks {
		job := f.jobAt(ref.Job)
		task := &job.Tasks[ref.Task]
		if !task.Stopping {
			continue
		}
		machine.hasStops = true
		isStoppable := task.State == jobs.OnMachine && task.Phase != jobs.Saving
		if !isStoppable || now-task.StopSentAt <= stopResendInterval {
			continue
		}
		graceS := saveGraceS(job)
		if job.State.Terminal() {
			graceS = 0
		}
		task.StopSentAt = now
		command := stopCommand(taskName(job, ref.Task), task.Attempt, graceS)
		commands = append(commands, command.because(causeStopping))
	}
	return commands
}

// sendDirect sends one direct request.
func (f *Fleet) sendDirect(now time.Duration, machine *Machine, commands []Command) {
	machine.directInFlight = true
	machine.dispatchedAt = now
	f.directRequests++
	f.activity.directRequests++
	f.recordCommands(machine, commands, inDirect)
	request := directRequest{machine: machine, session: machine.Session, seq: machine.Seq}
	message := DirectCommands{Token: machine.Token, Session: machine.Session, Commands: commands}
	f.SendCommands(machine, message, func(heartbeat *Heartbeat) { f.handleDirectResponse(request, heartbeat) })
}

// directRequest is a direct request that has no response yet.
type directRequest struct {
	machine      *Machine
	session, seq uint64 // the machine's session and sequence number when the request was sent
}

// handleDirectResponse handles the outcome of a direct request. The heartbeat is the body of the response, or nil if
// there is none.
func (f *Fleet) handleDirectResponse(request directRequest, heartbeat *Heartbeat) {
	machine := request.machine
	machine.directInFlight = false
	f.directRequests--
	if heartbeat == nil || heartbeat.Machine != machine.Name {
		return
	}
	origin := fromResponse
	if heartbeat.Session == request.session && heartbeat.Seq <= request.seq {
		// The worker has restarted: otherwise its sequence number would have increased.
		origin = fromRestartedWorker
	}
	f.acceptHeartbeat(f.Now(), heartbeat, origin)
}
