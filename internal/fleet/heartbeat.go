package fleet

import (
	"log/slog"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

// HeartbeatResult is whether a heartbeat was accepted.
type HeartbeatResult uint8

// The results of a heartbeat.
const (
	Accepted HeartbeatResult = iota
	Stale                    // older than one that was accepted, or possibly a copy of one: it has no effect
	Deposed                  // its token is of a later term: this controller is no longer the leader
)

// heartbeatOrigin is how a heartbeat arrived.
type heartbeatOrigin uint8

const (
	// fromRequest is a worker's own request. It may be a delayed copy.
	fromRequest heartbeatOrigin = iota
	// fromResponse is the body of a response to a direct command. It may have been made while a response to an
	// earlier request of the worker was in flight, and it proves nothing about whether the worker's own requests
	// arrive.
	fromResponse
	// fromRestartedWorker is the same, of a worker that has certainly restarted since its last heartbeat.
	fromRestartedWorker
)

// HandleHeartbeat applies a heartbeat that came as a worker's request and returns the response to it, which is only
// valid with the result Accepted. The caller has checked that this controller has authority; each accepted
// heartbeat extends the worker's lease.
func (f *Fleet) HandleHeartbeat(now time.Duration, heartbeat *Heartbeat) (HeartbeatResponse, HeartbeatResult) {
	f.activity.heartbeats++
	machine, result := f.acceptHeartbeat(now, heartbeat, fromRequest)
	if result == Stale && f.challengeStale(now, machine, heartbeat) {
		return HeartbeatResponse{Token: machine.Token, Commands: f.stopCancelled(heartbeat)}, Accepted
	}
	if result != Accepted {
		return HeartbeatResponse{}, result
	}
	machine.LastAnsweredAt = now
	response := f.buildResponse(now, machine, heartbeat)
	machine.recordResponse(now, heartbeat, response)
	return response, Accepted
}

// buildResponse returns the response to a heartbeat that was just accepted.
func (f *Fleet) buildResponse(now time.Duration, machine *Machine, heartbeat *Heartbeat) HeartbeatResponse {
	if !f.isFenced(machine, heartbeat) {
		// All other commands require a heartbeat at the machine's token first.
		return HeartbeatResponse{Token: machine.Token, Commands: f.stopCancelled(heartbeat)}
	}
	machine.raiseTokenIfIndeterminate()
	response := HeartbeatResponse{Token: machine.Token}
	if machine.Condition == Ready || machine.Condition == ReclaimNoticed {
		response.Commands = f.buildCommands(now, machine, heartbeat)
	} else {
		response.Commands = f.stopCancelled(heartbeat)
	}
	return response
}

// stopCancelled returns stop commands for the listed tasks of cancelled jobs. Every response extends the worker's
// lease, whether or not its machine is ever in contact again, so none may go out without these commands, not even a
// new leader's first one, before the machine has seen its token. Otherwise a machine whose last contact falls at the
// very end of a partition would run cancelled work for a lease longer than cancel_s allows. A cancellation is final,
// so the command is never wrong.
func (f *Fleet) stopCancelled(heartbeat *Heartbeat) []Command {
	var commands []Command
	for i := range heartbeat.Tasks {
		report := &heartbeat.Tasks[i]
		job, _ := f.findTask(report.Task)
		if job != nil && job.State == jobs.Cancelled && report.State != taskExited {
			commands = append(commands, stopCommand(report.Task, report.Attempt, 0))
		}
	}
	return commands
}

// acceptHeartbeat updates a machine's state from a heartbeat. The machine is nil if the result is Deposed.
func (f *Fleet) acceptHeartbeat(
	now time.Duration, heartbeat *Heartbeat, origin heartbeatOrigin,
) (*Machine, HeartbeatResult) {
	if heartbeat.Token>>tokenBits > f.Term {
		return nil, Deposed
	}
	machine := f.RegisterMachine(now, heartbeat.Machine)
	if machine.Condition == Terminated {
		return machine, Stale // the cloud confirmed the termination: the heartbeat was delayed for long
	}
	if origin == fromRestartedWorker {
		f.challenge(now, machine)
		machine.reachability.challengeUnsent = true
		return machine, Accepted
	}
	if isCurrent, result := f.checkIncarnation(machine, heartbeat); !isCurrent {
		return machine, result
	}
	f.updateSession(now, machine, heartbeat, origin)
	if !f.isFenced(machine, heartbeat) {
		f.acceptUnfenced(now, machine, origin)
		return machine, Accepted
	}
	if !f.confirmsReachability(now, machine, heartbeat, origin) {
		return machine, Accepted
	}
	if origin == fromRequest {
		// A machine that responds to direct commands while its own heartbeats do not arrive dies with its lease:
		// only a heartbeat counts as contact.
		f.recordContact(now, machine)
	}
	if machine.fencing {
		machine.fencing = false
		f.clearIndeterminateLaunches(machine)
	}
	f.updateCondition(now, machine, heartbeat, origin)
	f.reconcileTasks(now, machine, heartbeat, origin)
	return machine, Accepted
}

// isFenced reports whether a heartbeat carries the machine's present token, so that no command of a former leader or
// session can arrive any more, and whether the plans that commands depend on are loaded.
func (f *Fleet) isFenced(machine *Machine, heartbeat *Heartbeat) bool {
	return heartbeat.Token >= machine.Token && f.plansLoaded
}

// checkIncarnation decides whether a heartbeat is certainly of the worker's present incarnation. If not, it has no
// effect on the machine, and the result is what HandleHeartbeat returns or, if Accepted, responds to with nothing
// but the token.
func (f *Fleet) checkIncarnation(machine *Machine, heartbeat *Heartbeat) (isCurrent bool, result HeartbeatResult) {
	isStale := machine.mayBeStaleCopy(heartbeat)
	isChallenged := machine.reachability.challengeToken != 0
	switch {
	case machine.answersChallenge(heartbeat):
		if isStale {
			slog.Info("machine restarted", "machine", machine.Name, "session", heartbeat.Session, "term", f.Term)
			machine.reachability = reachability{}
			machine.cachedImages = nil
		}
	case isStale:
		return false, Stale
	case isChallenged && heartbeat.Session == machine.Session:
		return false, Accepted // of which incarnation it is can't be determined until it carries the raised token
	}
	machine.reachability.challengeToken = 0
	machine.reachability.challengeUnsent = false
	return true, Accepted
}

// updateSession records the session, sequence and details of a current heartbeat. With a new session, everything
// that was sent to the former one is void.
func (f *Fleet) updateSession(now time.Duration, machine *Machine, heartbeat *Heartbeat, origin heartbeatOrigin) {
	isNewer := heartbeat.Session > machine.Session
	// Its lease ran out although its heartbeats were answered.
	missedResponses := isNewer && machine.Session > 0 && now-machine.LastAnsweredAt < f.Settings.WorkerLease()
	if heartbeat.Session != machine.Session {
		// Direct commands name their session: the worker refuses those of the former one.
		f.clearIndeterminateLaunches(machine)
		f.handleWorkerRestart(now, machine)
		// The lease of a session counts from its beginning, even if none of its heartbeats was ever answered: a
		// direct launch may run that long.
		machine.LastAnsweredAt = now
	}
	f.SetMachineDetails(machine, heartbeat.Addr, heartbeat.Type, heartbeat.Zone, heartbeat.Spot)
	if isNewer {
		machine.reachability.highestToken = 0
		machine.reachability.confirmResponses()
	}
	machine.Session = heartbeat.Session
	machine.Seq = heartbeat.Seq
	machine.reachability.highestToken = max(machine.reachability.highestToken, heartbeat.Token)
	if missedResponses && origin == fromRequest {
		f.markOneWayUnreachable(now, machine, "its lease ran out although it was answered")
	}
	f.checkTokenTimeout(now, machine, heartbeat)
}

// acceptUnfenced records contact with a machine whose heartbeat is below its token. A command of a former leader
// may still arrive there, so nothing else follows: the response carries the token, and the next heartbeat returns
// it.
func (f *Fleet) acceptUnfenced(now time.Duration, machine *Machine, origin heartbeatOrigin) {
	if origin != fromRequest {
		return
	}
	machine.LastHeartbeatAt = now
	if machine.Condition == OneWayUnreachable || machine.Condition == LeaseExpired {
		// It must confirm first that responses reach it. Otherwise a zone of machines that are unreachable one way
		// would count as recovered with each of their new sessions, and be scaled out.
		return
	}
	f.recordContact(now, machine)
}

// confirmsReachability reports whether a fenced heartbeat shows that responses reach its machine. One that came in
// response to a direct command does.
func (f *Fleet) confirmsReachability(
	now time.Duration, machine *Machine, heartbeat *Heartbeat, origin heartbeatOrigin,
) bool {
	if origin == fromRequest {
		return f.confirmsLastResponse(now, machine, heartbeat)
	}
	machine.reachability.confirmResponses()
	return true
}

// recordContact records the heartbeat of a machine that counts as in contact. It is not called for one that is
// unreachable one way, since nothing can be done with it.
func (f *Fleet) recordContact(now time.Duration, machine *Machine) {
	machine.LastContactAt = now
	machine.LastHeartbeatAt = now
	machine.Quarantined = false
	f.LastHeartbeat = now
}

// updateCondition changes a machine's condition after a fenced heartbeat: a reclaim notice stops new launches,
// otherwise the machine is ready.
func (f *Fleet) updateCondition(now time.Duration, machine *Machine, heartbeat *Heartbeat, origin heartbeatOrigin) {
	if machine.Returning {
		return
	}
	switch {
	case heartbeat.NoticeS != nil:
		if machine.Condition == ReclaimNoticed {
			return
		}
		machine.ReclaimAt = now + jobs.Seconds(*heartbeat.NoticeS)
		f.setCondition(machine, ReclaimNoticed, "spot notice")
		f.clearQueues(machine)
	case machine.Condition != Ready && origin == fromRequest:
		if machine.UpSince == 0 {
			machine.UpSince = now
		}
		f.setCondition(machine, Ready, "heartbeat at the leader's token")
	}
}

// clearIndeterminateLaunches records that no direct launch sent so far can be executed any more.
func (f *Fleet) clearIndeterminateLaunches(machine *Machine) {
	clear(machine.indeterminateLaunches)
	for ref := range machine.Tasks {
		f.jobAt(ref.Job).Tasks[ref.Task].LaunchIndeterminate = false
	}
}
