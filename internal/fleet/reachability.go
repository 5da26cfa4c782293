package fleet

// Reachability in both directions, stale copies of heartbeats, and restarted workers. A heartbeat that arrives
// proves that it was sent. Only what later heartbeats contain proves that a response or command arrived: the raised
// token, a launched task, or the lack of a forgotten one.

import (
	"log/slog"
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

// The protocol's timeouts of a worker.
const (
	workerResponseTimeout = 4 * time.Second // for the response to a heartbeat
	workerRetryDelay      = time.Second     // until it then tries the next controller
)

const (
	// reachabilityMargin is what ReachabilityTimeout allows for transmission and processing.
	reachabilityMargin = 500 * time.Millisecond
	// slowestHeartbeat is the longest interval between two heartbeats of a worker in contact, in terms of the nominal
	// one.
	slowestHeartbeat = 1.25
	// overdueHeartbeat is the interval, in the same terms, after which a heartbeat counts as missed.
	overdueHeartbeat = 1.6
)

// reachability is what the heartbeats of a machine have shown of what reaches it.
type reachability struct {
	// unconfirmedSince is when the first response was sent whose arrival is not confirmed; 0: all are.
	unconfirmedSince time.Duration
	// unconfirmedCommand is a command of the last response, whose effect the next heartbeat must show; its Op is ""
	// if none is.
	unconfirmedCommand Command
	// highestToken is the highest token in any heartbeat of the worker's present incarnation, which never returns
	// to a lower one.
	highestToken uint64
	// expiredSession is the last session whose lease has certainly run out.
	expiredSession uint64
	// challengeToken is the token that was raised to tell the heartbeats of a restarted worker from delayed copies of
	// its former incarnation's, none of which can carry it. 0: there is no challenge, or it was answered.
	challengeToken uint64
	challengedAt   time.Duration
	// challengeUnsent is set while no response has carried the challenge of a worker that has certainly restarted.
	challengeUnsent bool
}

// confirmResponses records that all responses so far have arrived or no longer matter.
func (r *reachability) confirmResponses() {
	r.unconfirmedSince = 0
	r.unconfirmedCommand = Command{}
}

// ReachabilityTimeout returns by when a heartbeat must have confirmed a response. A worker that misses one response
// waits for it, tries another controller, is redirected, and sends one more heartbeat.
func (f *Fleet) ReachabilityTimeout() time.Duration {
	interval := jobs.Seconds(slowestHeartbeat * f.Settings.Params.Workers.HeartbeatIntervalS)
	return workerResponseTimeout + workerRetryDelay + interval + reachabilityMargin
}

// overdueAfter returns how long after a machine's last contact its next heartbeat counts as missed.
func (f *Fleet) overdueAfter() time.Duration {
	return jobs.Seconds(overdueHeartbeat * f.Settings.Params.Workers.HeartbeatIntervalS)
}

// confirmsLastResponse reports whether a fenced heartbeat of the present session is consistent with its machine
// having received the response before. If it was not for too long, the machine becomes OneWayUnreachable.
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

// showsEffectOf reports whether a heartbeat shows that a start or forget command was executed: it lists the started
// attempt, or no longer lists the forgotten one.
func (h *Heartbeat) showsEffectOf(command Command) bool {
	for i := range h.Tasks {
		if h.Tasks[i].Task == command.Task && h.Tasks[i].Attempt == command.Attempt {
			return command.Op == opStart
		}
	}
	return command.Op != opStart
}

// recordResponse records what a response contains that a later heartbeat must confirm.
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

// markOneWayUnreachable quarantines a machine whose heartbeats arrive while nothing confirms that responses do. Its
// token is raised, so that the first heartbeat that carries it proves contact again. What may be on it counts as
// before.
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

// checkTokenTimeout marks a machine as unreachable one way if a token was sent to it for longer than a heartbeat
// takes to return it.
func (f *Fleet) checkTokenTimeout(now time.Duration, machine *Machine, heartbeat *Heartbeat) {
	since := machine.reachability.unconfirmedSince
	if heartbeat.Token < machine.Token && since > 0 && now-since > f.ReachabilityTimeout() {
		f.markOneWayUnreachable(now, machine, "the leader's token was not returned")
	}
}

// mayBeStaleCopy reports whether a heartbeat may be a delayed copy: not newer than an accepted one, of a session
// whose lease has certainly run out, or at a token below one that its machine has returned, whatever its session.
// Such a heartbeat must have no effect: a copy from a former incarnation's higher session would otherwise release
// launches of the present one.
func (m *Machine) mayBeStaleCopy(heartbeat *Heartbeat) bool {
	switch {
	case heartbeat.Token < m.reachability.highestToken:
		return true // of a former incarnation, whose sessions may have been higher
	case heartbeat.Session != m.Session:
		return heartbeat.Session < m.Session
	case heartbeat.Seq <= m.Seq:
		return true
	}
	return heartbeat.Session <= m.reachability.expiredSession
}

// answersChallenge reports whether a heartbeat carries the token of the machine's challenge. Then it was made after
// the challenge, whatever its session and sequence number.
func (m *Machine) answersChallenge(heartbeat *Heartbeat) bool {
	return m.reachability.challengeToken != 0 && heartbeat.Token >= m.reachability.challengeToken
}

// challenge raises a machine's token so that heartbeats of its worker's present incarnation can be told from those
// of all former ones, which have ended and can never receive it. A token that was sent earlier would not do: an
// incarnation that has ended since may have received it, and its last heartbeat may still arrive.
func (f *Fleet) challenge(now time.Duration, machine *Machine) {
	machine.raiseToken()
	machine.reachability.challengeToken = machine.Token
	machine.reachability.challengedAt = now
	// The lease of a new incarnation counts from its beginning, and the response extends it.
	machine.LastAnsweredAt = now
}

// challengeStale decides whether a heartbeat with the result Stale is answered with a raised token and nothing
// else, so that a worker that has restarted can prove its incarnation. The challenge is made if it is not under way
// already.
//
// A challenge extends how long the tasks on the machine count. Where there are any, only a heartbeat that can't be
// a copy from the midst of the present incarnation justifies it: one without tasks, below the highest token. A
// machine in contact needs none.
func (f *Fleet) challengeStale(now time.Duration, machine *Machine, heartbeat *Heartbeat) bool {
	state := &machine.reachability
	if !f.plansLoaded || machine.Condition == Terminated {
		return false
	}
	if state.challengeUnsent {
		state.challengeUnsent = false
		machine.LastAnsweredAt = now
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
