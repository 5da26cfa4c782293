package fleet

// Whether a machine hears. A report that arrives proves that it was sent; only what comes back in reports shows that an
// answer or a command got there: the token that was raised, a task that was launched, one that was forgotten.

import (
	"log/slog"
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/config"
)

// answerWait is how long a worker waits for the answer to a report, and retryWait how long it then takes to ask the next
// controller (the protocol's).
const (
	answerWait = 4 * time.Second
	retryWait  = time.Second
)

// hearing is what is known of a machine's hearing.
type hearing struct {
	// since is when the first answer went out whose effect hasn't shown; 0: whatever was sent has.
	since time.Duration
	// witness is a command of the last answer, whose effect the next report must show.
	witness Command
	// seen is the highest token in any report of the machine's present life. A worker never goes back behind it.
	seen uint64
	// over is the last session whose lease has surely run out.
	over uint64
	// dare is a token that was raised to tell a machine that has restarted from copies of what it said before: no report
	// of the past can carry it. 0: none is out, or it was taken up.
	dare      uint64
	daredAt   time.Duration
	restarted bool // that it has is certain, and nobody has been told the token that was raised for it yet
}

// HearWithin is by when the effect of an answer must have shown: a worker that lost one answer waits for it, tries
// another controller, is sent back, and reports once more.
func (f *Fleet) HearWithin() time.Duration {
	return answerWait + retryWait + config.Seconds(1.25*f.Settings.Params.Workers.ReportS) + 500*time.Millisecond
}

// showed looks what a report of the present session at our token shows of the answer before it; false: that its
// machine doesn't hear.
func (f *Fleet) showed(now time.Duration, m *Machine, r *Report) bool {
	h := &m.hearing
	if h.witness.Op == "" {
		h.since = 0
		return true
	}
	listed := slices.ContainsFunc(r.Tasks, func(e TaskReport) bool { return e.Task == h.witness.Task && e.Attempt == h.witness.Attempt })
	if listed == (h.witness.Op == opStart) {
		h.since, h.witness = 0, Command{}
		return true
	}
	if now-h.since > f.HearWithin() {
		f.deafen(now, m, "commands have no effect")
	}
	return m.Condition != Deaf
}

// told notes what goes out with an answer, as far as the next report must show it.
func (m *Machine) told(now time.Duration, r *Report, a Answer) {
	h := &m.hearing
	i := slices.IndexFunc(a.Commands, func(c Command) bool { return c.Op == opStart || c.Op == opForget })
	if i >= 0 {
		h.witness = a.Commands[i]
	}
	if h.since == 0 && (i >= 0 || a.Token > r.Token) {
		h.since = now
	}
}

// deafen sets a machine aside that reports and doesn't hear. Its token is raised, so that the first report that carries it
// proves that it hears again. What may be on it counts as before.
func (f *Fleet) deafen(now time.Duration, m *Machine, cause string) {
	if m.Condition != Acting && m.Condition != Known {
		return
	}
	m.hearing.since, m.hearing.witness = now, Command{}
	if m.hearing.seen >= m.Token {
		m.Token++
		m.fencing = true
	}
	f.condition(m, Deaf, cause)
	f.unlane(m)
}

// past tells whether a report may be a copy of what the machine said long ago: older than one seen already, of a session
// whose lease has surely run out, or at a token behind which no worker goes back, in a later session neither. Nothing may
// follow from it: a copy from a former life's higher session once gave up launches of the present one.
func (m *Machine) past(r *Report) bool {
	switch {
	case r.Token < m.hearing.seen:
		return true // of a former life, whatever its session: that may have been a higher one
	case r.Session != m.Session:
		return r.Session < m.Session
	case r.Seq <= m.Seq:
		return true
	}
	return r.Session <= m.hearing.over
}

// tookDare tells whether a report carries the token that nobody had before the machine was dared: whatever its session and
// sequence, it was said after that.
func (m *Machine) tookDare(r *Report) bool { return m.hearing.dare != 0 && r.Token >= m.hearing.dare }

// dare raises a machine's token, so that what it says of its present life can be told from all that it ever said: whatever
// life the report at hand is of, the ones before it are over and never see that token. One that went out before might have been
// seen by a life that has ended since, whose last report is still on its way.
func (f *Fleet) dare(now time.Duration, m *Machine) {
	m.Token++
	m.fencing = true
	m.hearing.dare = m.Token
	// The lease of a new life began when it did, and an answer extends it.
	m.hearing.daredAt, m.Answered = now, now
}

// dares tells whether a report that seems to be of the past is answered with a raised token and nothing else, so that
// a machine that has restarted can show itself. It extends how long what is on the machine counts, so where something is there
// only a report that can't be a copy from amid its life asks for it: one with no tasks, at a token behind. A machine that is
// heard needs none.
func (f *Fleet) dares(now time.Duration, m *Machine, r *Report) bool {
	again := config.Seconds(1.6 * f.Settings.Params.Workers.ReportS)
	h := &m.hearing
	switch {
	case !f.loaded || m.Condition == Gone:
		return false
	case h.restarted:
		h.restarted, m.Answered = false, now
		return true
	case now-m.Heard <= again || h.dare != 0 && now-h.daredAt <= again || len(m.On) > 0 && (len(r.Tasks) > 0 || r.Token >= h.seen):
		return false
	}
	slog.Info("a machine may have restarted", "machine", m.Name, "session", r.Session, "seq", r.Seq, "known_session", m.Session, "known_seq", m.Seq, "term", f.Term)
	f.dare(now, m)
	return true
}

// deafIfUnseen sets a machine aside that was sent a token for longer than its showing can take.
func (f *Fleet) deafIfUnseen(now time.Duration, m *Machine, r *Report) {
	if r.Token < m.Token && m.hearing.since > 0 && now-m.hearing.since > f.HearWithin() {
		f.deafen(now, m, "it has not seen our token")
	}
}
