package fleet

import (
	"log/slog"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

// HeartbeatResult tells whether a heartbeat was accepted.
type HeartbeatResult uint8

// The results of a heartbeat.
const (
	Accepted HeartbeatResult = iota
	Stale                    // possibly a delayed copy, or from a terminated machine: without effect
	Deposed                  // the token is from a later term: this controller is no longer the leader
)

// heartbeatOrigin tells in which message a heartbeat arrived.
type heartbeatOrigin uint8

const (
	// fromRequest is the origin of a heartbeat that the worker sent as a request. It may be a delayed copy.
	fromRequest heartbeatOrigin = iota
	// fromResponse is the origin of a heartbeat in the body of a response to direct commands. The worker may have made
	// it while the response to one of its own requests was in flight. It does not prove that the worker's own requests
	// arrive.
	fromResponse
	// fromRestartedWorker is like fromResponse, for a worker that has certainly restarted since its last heartbeat.
	fromRestartedWorker
)

// HandleHeartbeat applies a heartbeat that a worker sent as a request, and returns the response. The response is valid
// only if the result is Accepted, and renews the worker's lease. The caller must have checked that this controller may
// act as the leader.
func (f *Fleet) HandleHeartbeat(now time.Duration, heartbeat *Heartbeat) (HeartbeatResponse, HeartbeatResult) {
	f.activity.heartbeats++
	machine, result := f.acceptHeartbeat(now, heartbeat, fromRequest)
	if result == Stale && f.challengeStale(now, machine, heartbeat) {
		response := HeartbeatResponse{Token: machine.Token, Commands: f.stopCancelled(heartbeat)}
		f.recordCommands(machine, response.Commands, inResponse)
		return response, Accepted
	}
	if result != Accepted {
		return HeartbeatResponse{}, result
	}
	machine.LeaseRenewedAt = now
	response := f.buildResponse(now, machine, heartbeat)
	machine.recordResponse(now, heartbeat, response)
	f.recordCommands(machine, response.Commands, inResponse)
	return response, Accepted
}

// buildResponse returns the response to a heartbeat that was just accepted.
func (f *Fleet) buildResponse(now time.Duration, machine *Machine, heartbeat *Heartbeat) HeartbeatResponse {
	if !f.isFenced(machine, heartbeat) {
		// All other commands require a heartbeat at the machine's token.
		return HeartbeatResponse{Token: machine.Token, Commands: f.stopCancelled(heartbeat)}
	}
	response := HeartbeatResponse{Token: machine.Token}
	if machine.Condition == Ready || machine.Condition == ReclaimNoticed {
		response.Commands = f.buildCommands(now, machine, heartbeat)
	} else {
		response.Commands = f.stopCancelled(heartbeat)
	}
	return response
}

// stopCancelled returns stop commands for the listed tasks of cancelled jobs. Every response renews the worker's lease
// and may be the last one that reaches the machine. So every response must include these commands, also a new leader's
// first response, which the worker receives before its token. Otherwise a machine whose last contact is at the very end
// of a partition would run cancelled work for one lease longer than cancel_s allows. A cancellation is final, so the
// command is correct whichever leader sends it.
func (f *Fleet) stopCancelled(heartbeat *Heartbeat) []Command {
	var commands []Command
	for i := range heartbeat.Tasks {
		report := &heartbeat.Tasks[i]
		job, _ := f.findTask(report.Task)
		if job != nil && job.State == jobs.Cancelled && report.State != taskExited {
			commands = append(commands, stopCommand(report.Task, report.Attempt, 0).because(causeJobEnded))
		}
	}
	return limitCommands(commands)
}

// acceptHeartbeat updates the state of a heartbeat's machine, and returns the machine; nil if the result is Deposed.
func (f *Fleet) acceptHeartbeat(
	now time.Duration, heartbeat *Heartbeat, origin heartbeatOrigin,
) (*Machine, HeartbeatResult) {
	if heartbeat.Token>>tokenBits > f.Term {
		return nil, Deposed
	}
	machine := f.RegisterMachine(now, heartbeat.Machine)
	if machine.Condition == Terminated {
		return machine, Stale // the heartbeat was sent before the confirmed termination
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
		// Only a worker's own heartbeat counts as contact. If its heartbeats do not arrive, its lease expires, even if
		// it responds to direct commands.
		f.recordContact(now, machine)
	}
	machine.fencing = false
	f.updateCondition(now, machine, heartbeat, origin)
	f.reconcileTasks(now, machine, heartbeat, origin)
	return machine, Accepted
}

// isFenced reports whether a heartbeat carries the machine's present token and the durable plans, on which commands
// depend, are loaded. After a heartbeat at this token, the worker refuses commands of a former leader or session.
func (f *Fleet) isFenced(machine *Machine, heartbeat *Heartbeat) bool {
	return heartbeat.Token >= machine.Token && f.plansLoaded
}

// checkIncarnation decides whether a heartbeat is certainly from the worker's present incarnation. If isCurrent is
// false, the heartbeat has no effect on the machine and result is the heartbeat's result. With the result Accepted, the
// response carries the token and no commands but stops of cancelled tasks.
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
		return false, Accepted // the incarnation is unknown until a heartbeat carries the raised token
	}
	machine.reachability.challengeToken = 0
	machine.reachability.challengeUnsent = false
	return true, Accepted
}

// updateSession records the session, sequence number and machine details of a heartbeat from the present incarnation. A
// new session makes all commands to the former session void.
func (f *Fleet) updateSession(now time.Duration, machine *Machine, heartbeat *Heartbeat, origin heartbeatOrigin) {
	isNewer := heartbeat.Session > machine.Session
	// The worker's lease expired although the fleet responded to its heartbeats.
	missedResponses := isNewer && machine.Session > 0 && now-machine.LeaseRenewedAt < f.Settings.WorkerLease()
	if heartbeat.Session != machine.Session {
		f.handleWorkerRestart(now, machine)
		// The lease of a session counts from the session's beginning, even if none of its heartbeats ever got a response.
		machine.LeaseRenewedAt = now
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
		f.markOneWayUnreachable(now, machine, "lease expired although heartbeats were answered")
	}
	f.checkTokenTimeout(now, machine, heartbeat)
}

// acceptUnfenced records contact with a machine whose heartbeat is not fenced. The heartbeat has no other effect, since
// a command of a former leader may still arrive at the machine. The response carries the token, and the worker's next
// heartbeat returns it.
func (f *Fleet) acceptUnfenced(now time.Duration, machine *Machine, origin heartbeatOrigin) {
	if origin != fromRequest {
		return
	}
	machine.LastHeartbeatAt = now
	if machine.Condition == OneWayUnreachable || machine.Condition == LeaseExpired {
		// Such a machine must first confirm that responses reach it. Otherwise a zone of machines that are
		// unreachable one way would count as recovered with each of their new sessions, and would be scaled out.
		return
	}
	f.recordContact(now, machine)
}

// confirmsReachability reports whether a fenced heartbeat shows that responses reach its machine. A heartbeat in the
// response to a direct request always shows that.
func (f *Fleet) confirmsReachability(
	now time.Duration, machine *Machine, heartbeat *Heartbeat, origin heartbeatOrigin,
) bool {
	if origin == fromRequest {
		return f.confirmsLastResponse(now, machine, heartbeat)
	}
	machine.reachability.confirmResponses()
	return true
}

// recordContact records that a heartbeat proved contact with its machine. It is not called for a machine that is
// unreachable one way, since no work can be sent to that machine.
func (f *Fleet) recordContact(now time.Duration, machine *Machine) {
	machine.LastContactAt = now
	machine.LastHeartbeatAt = now
	machine.Quarantined = false
	f.LastContactAt = now
}

// updateCondition changes a machine's condition after a fenced heartbeat. A reclaim notice stops new launches; without
// a notice the machine becomes ready.
func (f *Fleet) updateCondition(now time.Duration, machine *Machine, heartbeat *Heartbeat, origin heartbeatOrigin) {
	if machine.Returning {
		return
	}
	switch {
	case heartbeat.ReclaimInS != nil:
		if machine.Condition == ReclaimNoticed {
			return
		}
		machine.ReclaimAt = now + jobs.Seconds(*heartbeat.ReclaimInS)
		f.setCondition(machine, ReclaimNoticed, "spot notice")
		f.clearQueues(machine)
	case machine.Condition != Ready && origin == fromRequest:
		if machine.UpSince == 0 {
			machine.UpSince = now
		}
		f.setCondition(machine, Ready, "heartbeat at the leader's token")
	}
}
