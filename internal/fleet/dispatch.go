package fleet

// Direct commands: launches and stops that do not wait for the machine's next heartbeat.

import (
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

const (
	// directInterval is the least time between two direct requests to a machine.
	directInterval = 200 * time.Millisecond
	// stopResendInterval is after how long a stop that had no effect is sent again.
	stopResendInterval = time.Second
)

// dispatch sends launches and stops directly to machines, at most one request at a time to each.
func (f *Fleet) dispatch(now time.Duration) {
	for _, machine := range f.machines {
		if f.MaxDirectRequests > 0 && f.directRequests >= f.MaxDirectRequests {
			// The other tasks stay in their queues, since a launch that can't be sent now must not count as sent.
			// Dispatch goes on with the next tick.
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

// takesDirectCommands reports whether a machine has tasks to start or stop and a direct request can be sent to it
// now.
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

// stopCommands returns the commands to stop those of a machine's tasks that must stop, unless one was sent lately.
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

// sendDirect sends one direct request, of which the first commands are launches. While it has no response, the
// launches are indeterminate.
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
	session, seq uint64 // the machine's when it was sent
	launches     []taskAttempt
}

// handleDirectResponse handles the outcome of a direct request. The heartbeat is the response's body, nil if there
// is none.
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
		// A worker that had not restarted would have continued its sequence.
		origin = fromRestartedWorker
	}
	f.acceptHeartbeat(f.Now(), heartbeat, origin)
}

// confirmLaunches records that launches have arrived.
func (f *Fleet) confirmLaunches(launches []taskAttempt) {
	for _, launch := range launches {
		job := f.jobAt(launch.Job)
		if job == nil || job.Tasks == nil {
			continue // it has ended and was swept while the request was in flight
		}
		if task := &job.Tasks[launch.Task]; task.Attempt == launch.attempt {
			task.LaunchIndeterminate = false
		}
	}
}

// recordIndeterminate records that a direct request may still arrive.
func (f *Fleet) recordIndeterminate(request directRequest) {
	machine := request.machine
	if machine.Session == request.session {
		for _, launch := range request.launches {
			machine.indeterminateLaunches[launch] = struct{}{}
		}
	}
	// The worker may have restarted before the request arrives. The lease of its new incarnation begins then, and
	// what it starts counts that long.
	machine.LastAnsweredAt = max(machine.LastAnsweredAt, f.Now())
}
