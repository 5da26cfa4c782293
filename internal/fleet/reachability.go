package fleet

// One-way unreachable machines, stale copies of heartbeats, and restarted workers. A heartbeat proves only that
// messages from the worker arrive. The worker's later heartbeats show whether a response or command has reached it:
// they carry the raised token, list the launched task, or no longer list the forgotten one.

import (
	"log/slog"
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

// The protocol's timeouts of a worker.
const (
	workerResponseTimeout = 4 * time.Second // time for which a worker waits for the response to a heartbeat
	workerRetryDelay      = time.Second     // delay after that timeout until the request to the next controller
)

const (
	// reachabilityMargin is the part of ReachabilityTimeout for transmission and processing.
	reachabilityMargin = 500 * time.Millisecond
	// maxIntervalFactor is the maximum interval between two heartbeats of a worker in contact, as a multiple of the
	// configured interval.
	maxIntervalFactor = 1.25
	// overdueIntervalFactor is the interval after which a heartbeat counts as missed, as a multiple of the configured
	// one.
	overdueIntervalFactor = 1.6
)

// reachability records what the heartbeats of a machine have shown about the messages that reach its worker.
type reachability struct {
	// unconfirmedSince is the time of the first response whose arrival is not confirmed; 0 if all are confirmed.
	unconfirmedSince time.Duration
	// unconfirmedCommand is a command of the last response, whose effect the next heartbeat must show. Its Op is "" if
	// there is no such command.
	unconfirmedCommand Command
	// highestToken is the highest token in any heartbeat of the worker's present incarnation. The tokens of an
	// incarnation never decrease.
	highestToken uint64
	// expiredSession is the last session whose lease has certainly expired.
	expiredSession uint64
	// challengeToken is a raised token that distinguishes heartbeats of a restarted worker from delayed copies of its
	// former incarnation's heartbeats: no such copy can carry it. 0 if no challenge is pending.
	challengeToken uint64
	challengedAt   time.Duration // time of the last challenge
	// challengeUnsent is set while a worker that has certainly restarted has not been sent its challenge token.
	challengeUnsent bool
}

// confirmResponses records that no response sent so far needs a confirmation any more.
func (r *reachability) confirmResponses() {
	r.unconfirmedSince = 0
	r.unconfirmedCommand = Command{}
}

// ReachabilityTimeout returns the time within which a heartbeat must confirm a response. A worker that misses one
// response waits for the response timeout, sends a request to another controller, is redirected, and sends one more
// heartbeat.
func (f *Fleet) ReachabilityTimeout() time.Duration {
	interval := jobs.Seconds(maxIntervalFactor * f.Settings.Params.Workers.HeartbeatIntervalS)
	return workerResponseTimeout + workerRetryDelay + interval + reachabilityMargin
}

// overdueAfter returns the time after a machine's last contact at which its next heartbeat counts as missed.
func (f *Fleet) overdueAfter() time.Duration {
	return jobs.Seconds(overdueIntervalFactor * f.Settings.Params.Workers.HeartbeatIntervalS)
}

// confirmsLastResponse reports whether the machine of a fenced heartbeat counts as reachable. The heartbeat confirms
// the last response if it shows the effect of the unconfirmed command. A machine whose heartbeats have not confirmed a
// response for ReachabilityTimeout becomes OneWayUnreachable.
func (f *Fleet) confirmsLastResponse(now time.Duration, machine *Machine, heartbeat *Heartbeat) bool {
	state := &machine.reachability
	if state.unconfirmedCommand.Op == "" || heartbeat.showsEffectOf(state.unconfirmedCommand) {
		state.confirmResponses()
		return true
	}
	if now-state.unconfirmedSince > f.ReachabilityTimeout() {
		f.markOneWayUnreachable(now, machine, "commands have no effect")
	}
	return machine.Condition != OneWayUnreachable
}

// showsEffectOf reports whether a heartbeat shows that the worker executed a start or forget command: it lists the
// started attempt, or no longer lists the forgotten one.
func (h *Heartbeat) showsEffectOf(command Command) bool {
	for i := range h.Tasks {
		if h.Tasks[i].Task == command.Task && h.Tasks[i].Attempt == command.Attempt {
			return command.Op == opStart
		}
	}
	return command.Op != opStart
}

// recordResponse records the first command and a raised token of a response that a later heartbeat must confirm.
func (m *Machine) recordResponse(now time.Duration, heartbeat *Heartbeat, response HeartbeatResponse) {
	state := &m.reachability
	first := slices.IndexFunc(response.Commands, func(command Command) bool {
		return command.Op == opStart || command.Op == opForget
	})
	hasCommand := first >= 0
	if hasCommand {
		state.unconfirmedCommand = response.Commands[first]
	}
	raisesToken := response.Token > heartbeat.Token
	if state.unconfirmedSince == 0 && (hasCommand || raisesToken) {
		state.unconfirmedSince = now
	}
}

// markOneWayUnreachable stops the use of a machine whose heartbeats arrive but do not confirm that responses reach it.
// It raises the machine's token, so that the first heartbeat at the raised token proves contact again. Launched tasks
// still count as on the machine.
func (f *Fleet) markOneWayUnreachable(now time.Duration, machine *Machine, cause string) {
	if machine.Condition != Ready && machine.Condition != Registered {
		return
	}
	machine.reachability.unconfirmedSince = now
	machine.reachability.unconfirmedCommand = Command{}
	if machine.reachability.highestToken >= machine.Token {
		machine.raiseToken()
	}
	f.setCondition(machine, OneWayUnreachable, cause)
	f.clearQueues(machine)
}

// checkTokenTimeout marks a machine as unreachable one way if its heartbeats have not returned the token that responses
// carry for longer than ReachabilityTimeout.
func (f *Fleet) checkTokenTimeout(now time.Duration, machine *Machine, heartbeat *Heartbeat) {
	since := machine.reachability.unconfirmedSince
	if heartbeat.Token < machine.Token && since > 0 && now-since > f.ReachabilityTimeout() {
		f.markOneWayUnreachable(now, machine, "the leader's token was not returned")
	}
}

// mayBeStaleCopy reports whether a heartbeat may be a delayed copy of an earlier one: if it is not newer than the last
// accepted heartbeat, if the lease of its session has certainly expired, or, in any session, if its token is below the
// highest token that the machine has returned. Such a heartbeat must have no effect. Otherwise a copy from a former
// incarnation with a higher session number would release launches of the present incarnation.
func (m *Machine) mayBeStaleCopy(heartbeat *Heartbeat) bool {
	switch {
	case heartbeat.Token < m.reachability.highestToken:
		return true // sent by a former incarnation, whose session numbers may have been higher
	case heartbeat.Session != m.Session:
		return heartbeat.Session < m.Session
	case heartbeat.Seq <= m.Seq:
		return true
	}
	return heartbeat.Session <= m.reachability.expiredSession
}

// answersChallenge reports whether a heartbeat carries the machine's challenge token. Such a heartbeat was made after
// the challenge, whatever its session and sequence number are.
func (m *Machine) answersChallenge(heartbeat *Heartbeat) bool {
	return m.reachability.challengeToken != 0 && heartbeat.Token >= m.reachability.challengeToken
}

// challenge raises a machine's token to distinguish heartbeats of the worker's present incarnation from those of former
// incarnations, which have ended and can never receive the raised token. A token that was sent earlier does not
// suffice: an incarnation that has ended since may have received it, and its last heartbeat may still arrive.
func (f *Fleet) challenge(now time.Duration, machine *Machine) {
	machine.raiseToken()
	machine.reachability.challengeToken = machine.Token
	machine.reachability.challengedAt = now
	// The lease of a new incarnation counts from its beginning, and the response to this heartbeat renews the lease.
	machine.LeaseRenewedAt = now
}

// challengeStale decides whether the response to a heartbeat with the result Stale carries a raised token, with which a
// restarted worker can prove its incarnation. It raises the token unless an unsent challenge is pending.
//
// A challenge extends the time for which the tasks on the machine count. If there are tasks, only a heartbeat that
// can't be a copy from the present incarnation justifies a challenge: one without tasks and below the highest token.
// A machine in contact needs no challenge.
func (f *Fleet) challengeStale(now time.Duration, machine *Machine, heartbeat *Heartbeat) bool {
	state := &machine.reachability
	if !f.plansLoaded || machine.Condition == Terminated {
		return false
	}
	if state.challengeUnsent {
		state.challengeUnsent = false
		machine.LeaseRenewedAt = now
		return true
	}
	interval := f.overdueAfter()
	inContact := now-machine.LastContactAt <= interval
	challengedLately := state.challengeToken != 0 && now-state.challengedAt <= interval
	mayBeCopy := len(heartbeat.Tasks) > 0 || heartbeat.Token >= state.highestToken
	if inContact || challengedLately || len(machine.Tasks) > 0 && mayBeCopy {
		return false
	}
	slog.Info("machine may have restarted", "machine", machine.Name, "session", heartbeat.Session, "seq", heartbeat.Seq,
		"known_session", machine.Session, "known_seq", machine.Seq, "term", f.Term)
	f.challenge(now, machine)
	return true
}
