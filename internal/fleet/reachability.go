package fleet

// Whether a machine hears. A report that arrives proves that it was sent; only what comes back in reports shows that an
// answer or a command got there: the token that was raised, a task that was launched, one that was forgotten.

import (
	"log/slog"
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/config"
)

// responseGrace is how long a worker waits for the answer to a report, and workerRetryDelay how long it then takes to ask the next
// controller (the protocol's).
const (
	responseGrace    = 4 * time.Second
	workerRetryDelay = time.Second
)

// reachability is what is known of a machine's hearing.
type reachability struct {
	// unconfirmedSince is when the first answer went out whose effect hasn't shown; 0: whatever was sent has.
	unconfirmedSince time.Duration
	// witness is a command of the last answer, whose effect the next report must show.
	witness Command
	// highestToken is the highest token in any report of the machine's present life. A worker never goes back behind it.
	highestToken uint64
	// expiredSession is the last session whose lease has surely run out.
	expiredSession uint64
	// challengeToken is a token that was raised to tell a machine that has restarted from copies of what it said before: no report
	// of the past can carry it. 0: none is out, or it was taken up.
	challengeToken uint64
	challengedAt   time.Duration
	restartCertain bool // that it has is certain, and nobody has been told the token that was raised for it yet
}

// ReachabilityTimeout is by when the effect of an answer must have shown: a worker that lost one answer waits for it, tries
// another controller, is sent back, and reports once more.
func (f *Fleet) ReachabilityTimeout() time.Duration {
	return responseGrace + workerRetryDelay + config.Seconds(1.25*f.Settings.Params.Workers.ReportS) + 500*time.Millisecond
}

// confirmsLastResponse looks what a report of the present session at our token shows of the answer before it; false: that its
// machine doesn't hear.
func (f *Fleet) confirmsLastResponse(now time.Duration, machine *Machine, heartbeat *Heartbeat) bool {
	h := &machine.reachability
	if h.witness.Op == "" {
		h.unconfirmedSince = 0
		return true
	}
	listed := slices.ContainsFunc(heartbeat.Tasks, func(e TaskReport) bool { return e.Task == h.witness.Task && e.Attempt == h.witness.Attempt })
	if listed == (h.witness.Op == opStart) {
		h.unconfirmedSince, h.witness = 0, Command{}
		return true
	}
	if now-h.unconfirmedSince > f.ReachabilityTimeout() {
		f.markOneWayUnreachable(now, machine, "commands have no effect")
	}
	return machine.Condition != OneWayUnreachable
}

// recordResponse notes what goes out with an answer, as far as the next report must show it.
func (m *Machine) recordResponse(now time.Duration, heartbeat *Heartbeat, a HeartbeatResponse) {
	h := &m.reachability
	i := slices.IndexFunc(a.Commands, func(c Command) bool { return c.Op == opStart || c.Op == opForget })
	if i >= 0 {
		h.witness = a.Commands[i]
	}
	if h.unconfirmedSince == 0 && (i >= 0 || a.Token > heartbeat.Token) {
		h.unconfirmedSince = now
	}
}

// markOneWayUnreachable sets a machine aside that reports and doesn't hear. Its token is raised, so that the first report that carries it
// proves that it hears again. What may be on it counts as before.
func (f *Fleet) markOneWayUnreachable(now time.Duration, machine *Machine, cause string) {
	if machine.Condition != Ready && machine.Condition != Registered {
		return
	}
	machine.reachability.unconfirmedSince, machine.reachability.witness = now, Command{}
	if machine.reachability.highestToken >= machine.Token {
		machine.Token++
		machine.fencing = true
	}
	f.setCondition(machine, OneWayUnreachable, cause)
	f.clearQueues(machine)
}

// mayBeStaleCopy tells whether a report may be a copy of what the machine said long ago: older than one seen already, of a session
// whose lease has surely run out, or at a token behind which no worker goes back, in a later session neither. Nothing may
// follow from it: a copy from a former life's higher session once gave up launches of the present one.
func (m *Machine) mayBeStaleCopy(heartbeat *Heartbeat) bool {
	switch {
	case heartbeat.Token < m.reachability.highestToken:
		return true // of a former life, whatever its session: that may have been a higher one
	case heartbeat.Session != m.Session:
		return heartbeat.Session < m.Session
	case heartbeat.Seq <= m.Seq:
		return true
	}
	return heartbeat.Session <= m.reachability.expiredSession
}

// answeredChallenge tells whether a report carries the token that nobody had before the machine was dared: whatever its session and
// sequence, it was said after that.
func (m *Machine) answeredChallenge(heartbeat *Heartbeat) bool {
	return m.reachability.challengeToken != 0 && heartbeat.Token >= m.reachability.challengeToken
}

// challenge raises a machine's token, so that what it says of its present life can be told from all that it ever said: whatever
// life the report at hand is of, the ones before it are over and never see that token. One that went out before might have been
// seen by a life that has ended since, whose last report is still on its way.
func (f *Fleet) challenge(now time.Duration, machine *Machine) {
	machine.Token++
	machine.fencing = true
	machine.reachability.challengeToken = machine.Token
	// The lease of a new life began when it did, and an answer extends it.
	machine.reachability.challengedAt, machine.LastAnsweredAt = now, now
}

// shouldChallenge tells whether a report that seems to be of the past is answered with a raised token and nothing else, so that
// a machine that has restarted can show itself. It extends how long what is on the machine counts, so where something is there
// only a report that can't be a copy from amid its life asks for it: one with no tasks, at a token behind. A machine that is
// heard needs none.
func (f *Fleet) shouldChallenge(now time.Duration, machine *Machine, heartbeat *Heartbeat) bool {
	again := config.Seconds(1.6 * f.Settings.Params.Workers.ReportS)
	h := &machine.reachability
	switch {
	case !f.plansLoaded || machine.Condition == Terminated:
		return false
	case h.restartCertain:
		h.restartCertain, machine.LastAnsweredAt = false, now
		return true
	case now-machine.LastHeardAt <= again || h.challengeToken != 0 && now-h.challengedAt <= again || len(machine.Tasks) > 0 && (len(heartbeat.Tasks) > 0 || heartbeat.Token >= h.highestToken):
		return false
	}
	slog.Info("a machine may have restarted", "machine", machine.Name, "session", heartbeat.Session, "seq", heartbeat.Seq, "known_session", machine.Session, "known_seq", machine.Seq, "term", f.Term)
	f.challenge(now, machine)
	return true
}

// checkTokenTimeout sets a machine aside that was sent a token for longer than its showing can take.
func (f *Fleet) checkTokenTimeout(now time.Duration, machine *Machine, heartbeat *Heartbeat) {
	if heartbeat.Token < machine.Token && machine.reachability.unconfirmedSince > 0 && now-machine.reachability.unconfirmedSince > f.ReachabilityTimeout() {
		f.markOneWayUnreachable(now, machine, "it has not seen our token")
	}
}
