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
	restarted      bool // that it has is certain, and nobody has been told the token that was raised for it yet
}

// ReachabilityTimeout is by when the effect of an answer must have shown: a worker that lost one answer waits for it, tries
// another controller, is sent back, and reports once more.
func (f *Fleet) ReachabilityTimeout() time.Duration {
	return responseGrace + workerRetryDelay + config.Seconds(1.25*f.Settings.Params.Workers.ReportS) + 500*time.Millisecond
}

// confirmsLastResponse looks what a report of the present session at our token shows of the answer before it; false: that its
// machine doesn't hear.
func (f *Fleet) confirmsLastResponse(now time.Duration, m *Machine, r *Heartbeat) bool {
	h := &m.reachability
	if h.witness.Op == "" {
		h.unconfirmedSince = 0
		return true
	}
	listed := slices.ContainsFunc(r.Tasks, func(e TaskReport) bool { return e.Task == h.witness.Task && e.Attempt == h.witness.Attempt })
	if listed == (h.witness.Op == opStart) {
		h.unconfirmedSince, h.witness = 0, Command{}
		return true
	}
	if now-h.unconfirmedSince > f.ReachabilityTimeout() {
		f.markOneWayUnreachable(now, m, "commands have no effect")
	}
	return m.Condition != OneWayUnreachable
}

// recordResponse notes what goes out with an answer, as far as the next report must show it.
func (m *Machine) recordResponse(now time.Duration, r *Heartbeat, a HeartbeatResponse) {
	h := &m.reachability
	i := slices.IndexFunc(a.Commands, func(c Command) bool { return c.Op == opStart || c.Op == opForget })
	if i >= 0 {
		h.witness = a.Commands[i]
	}
	if h.unconfirmedSince == 0 && (i >= 0 || a.Token > r.Token) {
		h.unconfirmedSince = now
	}
}

// markOneWayUnreachable sets a machine aside that reports and doesn't hear. Its token is raised, so that the first report that carries it
// proves that it hears again. What may be on it counts as before.
func (f *Fleet) markOneWayUnreachable(now time.Duration, m *Machine, cause string) {
	if m.Condition != Ready && m.Condition != Registered {
		return
	}
	m.reachability.unconfirmedSince, m.reachability.witness = now, Command{}
	if m.reachability.highestToken >= m.Token {
		m.Token++
		m.fencing = true
	}
	f.setCondition(m, OneWayUnreachable, cause)
	f.clearQueues(m)
}

// mayBeStaleCopy tells whether a report may be a copy of what the machine said long ago: older than one seen already, of a session
// whose lease has surely run out, or at a token behind which no worker goes back, in a later session neither. Nothing may
// follow from it: a copy from a former life's higher session once gave up launches of the present one.
func (m *Machine) mayBeStaleCopy(r *Heartbeat) bool {
	switch {
	case r.Token < m.reachability.highestToken:
		return true // of a former life, whatever its session: that may have been a higher one
	case r.Session != m.Session:
		return r.Session < m.Session
	case r.Seq <= m.Seq:
		return true
	}
	return r.Session <= m.reachability.expiredSession
}

// answeredChallenge tells whether a report carries the token that nobody had before the machine was dared: whatever its session and
// sequence, it was said after that.
func (m *Machine) answeredChallenge(r *Heartbeat) bool {
	return m.reachability.challengeToken != 0 && r.Token >= m.reachability.challengeToken
}

// challenge raises a machine's token, so that what it says of its present life can be told from all that it ever said: whatever
// life the report at hand is of, the ones before it are over and never see that token. One that went out before might have been
// seen by a life that has ended since, whose last report is still on its way.
func (f *Fleet) challenge(now time.Duration, m *Machine) {
	m.Token++
	m.fencing = true
	m.reachability.challengeToken = m.Token
	// The lease of a new life began when it did, and an answer extends it.
	m.reachability.challengedAt, m.LastAnsweredAt = now, now
}

// shouldChallenge tells whether a report that seems to be of the past is answered with a raised token and nothing else, so that
// a machine that has restarted can show itself. It extends how long what is on the machine counts, so where something is there
// only a report that can't be a copy from amid its life asks for it: one with no tasks, at a token behind. A machine that is
// heard needs none.
func (f *Fleet) shouldChallenge(now time.Duration, m *Machine, r *Heartbeat) bool {
	again := config.Seconds(1.6 * f.Settings.Params.Workers.ReportS)
	h := &m.reachability
	switch {
	case !f.plansLoaded || m.Condition == Terminated:
		return false
	case h.restarted:
		h.restarted, m.LastAnsweredAt = false, now
		return true
	case now-m.LastHeardAt <= again || h.challengeToken != 0 && now-h.challengedAt <= again || len(m.Tasks) > 0 && (len(r.Tasks) > 0 || r.Token >= h.highestToken):
		return false
	}
	slog.Info("a machine may have restarted", "machine", m.Name, "session", r.Session, "seq", r.Seq, "known_session", m.Session, "known_seq", m.Seq, "term", f.Term)
	f.challenge(now, m)
	return true
}

// checkTokenTimeout sets a machine aside that was sent a token for longer than its showing can take.
func (f *Fleet) checkTokenTimeout(now time.Duration, m *Machine, r *Heartbeat) {
	if r.Token < m.Token && m.reachability.unconfirmedSince > 0 && now-m.reachability.unconfirmedSince > f.ReachabilityTimeout() {
		f.markOneWayUnreachable(now, m, "it has not seen our token")
	}
}
