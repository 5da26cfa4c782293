package fleet

// Direct commands: launches and stops that are sent without waiting for the machine's next heartbeat.

import (
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

const (
	// directInterval is the minimum time between two direct requests to a machine.
	directInterval = 200 * time.Millisecond
	// stopResendInterval is the time after which a stop without effect is sent again.
	stopResendInterval = time.Second
)

// dispatch sends launches and stops directly to machines, at most one request at a time to each.
func (f *Fleet) dispatch(now time.Duration) {
	for _, machine := range f.machines {
		if f.MaxDirectRequests > 0 && f.directRequests >= f.MaxDirectRequests {
			// The tasks of the remaining machines stay in their queues, since a launch that can't be sent now must
			// not count as sent. The next tick dispatches again.
			f.writer.planBecameDurable = true
			return
		}
		if !f.takesDirectCommands(now, machine) {
			continue
		}
		commands := f.appendStarts(nil, now, machine)
		launches := len(commands)
		if machine.hasStops {
			commands = append(commands, f.stopCommands(now, machine)...)
		}
		if len(commands) > 0 {
			f.sendDirect(now, machine, commands, launches)
		}
	}
}

// takesDirectCommands reports whether a machine has tasks to start or stop, and a direct request may be sent to the
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
	return machine.QueuedTasks > 0 || machine.hasStops
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
		commands = append(commands, stopCommand(taskName(job, ref.Task), task.Attempt, graceS))
	}
	return commands
}

// sendDirect sends one direct request. The given number of its first commands are launches, which are indeterminate
// until the response arrives.
func (f *Fleet) sendDirect(now time.Duration, machine *Machine, commands []Command, launches int) {
	machine.directInFlight = true
	machine.dispatchedAt = now
	f.directRequests++
	f.activity.directRequests++
	request := directRequest{machine: machine, session: machine.Session, seq: machine.Seq}
	for _, command := range commands[:launches] {
		job, taskIndex := f.findTask(command.Task)
		request.launches = append(request.launches, taskAttempt{TaskRef{job.Index, taskIndex}, command.Attempt})
		job.Tasks[taskIndex].LaunchIndeterminate = true
	}
	message := DirectCommands{Token: machine.Token, Session: machine.Session, Commands: commands}
	f.SendCommands(machine, message, func(heartbeat *Heartbeat, ok bool) {
		f.handleDirectResponse(request, heartbeat, ok)
	})
}

// directRequest is a direct request that has no response yet.
type directRequest struct {
	machine      *Machine
	session, seq uint64        // the machine's session and sequence number when the request was sent
	launches     []taskAttempt // the attempts that the request launches
}

// handleDirectResponse handles the outcome of a direct request. The heartbeat is the body of the response, or nil if
// there is none. If ok is false, the outcome is indeterminate.
func (f *Fleet) handleDirectResponse(request directRequest, heartbeat *Heartbeat, ok bool) {
	machine := request.machine
	machine.directInFlight = false
	f.directRequests--
	if ok {
		f.confirmLaunches(request.launches)
	} else {
		f.recordIndeterminate(request)
	}
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

// confirmLaunches records that the worker received launches.
func (f *Fleet) confirmLaunches(launches []taskAttempt) {
	for _, launch := range launches {
		job := f.jobAt(launch.Job)
		if job == nil || job.Tasks == nil {
			continue // the job ended and its tasks were removed while the request was in flight
		}
		if task := &job.Tasks[launch.Task]; task.Attempt == launch.attempt {
			task.LaunchIndeterminate = false
		}
	}
}

// recordIndeterminate records that a direct request may still arrive at its machine.
func (f *Fleet) recordIndeterminate(request directRequest) {
	machine := request.machine
	if machine.Session == request.session {
		for _, launch := range request.launches {
			machine.indeterminateLaunches[launch] = struct{}{}
		}
	}
	// The worker may restart before the request arrives. The lease of its new incarnation begins with the restart, and
	// the launched tasks count until that lease expires.
	machine.LeaseRenewedAt = max(machine.LeaseRenewedAt, f.Now())
}
