package fleet

import (
	"log/slog"
	"time"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/jobs"
)

// Verdict is what becomes of a report.
type Verdict uint8

// The verdicts.
const (
	Accept  Verdict = iota
	Stale           // older than one already seen: void
	Deposed         // the worker has seen a higher token than ours
)

// Report takes over one report that came as a request and answers it. The caller has
// checked that this controller has authority.
func (f *Fleet) Report(now time.Duration, r *Report) (a Answer, v Verdict) {
	f.reports++
	m, v := f.take(now, r, asReport)
	if v == Stale && f.dares(now, m, r) {
		return Answer{Token: m.Token, Commands: f.cancelled(r)}, Accept
	}
	if v != Accept {
		return Answer{}, v
	}
	m.Answered = now
	defer func() { m.told(now, r, a) }()
	a = Answer{Token: m.Token, Commands: []Command{}}
	if r.Token < m.Token || !f.loaded {
		a.Commands = f.cancelled(r) // for all else the token has to be seen first
		return a, Accept
	}
	m.fence()
	a.Token = m.Token
	if m.Condition == Acting || m.Condition == Noticed {
		a.Commands = f.commands(now, m, r)
	} else {
		a.Commands = f.cancelled(r)
	}
	return a, Accept
}

// cancelled stops what a report lists of cancelled jobs. Every answer extends what its machine lives on, whether it is
// ever heard again or not: none may go out without these, not even the first one of a new owner, whose token the machine
// hasn't seen. A machine that was last heard from at the very end of a cut, and then by nobody, ran cancelled work
// for a lease longer than cancel_s allows. A cancellation is final, so the stop is never wrong.
func (f *Fleet) cancelled(r *Report) []Command {
	out := []Command{}
	for i := range r.Tasks {
		e := &r.Tasks[i]
		if j, _ := f.resolve(e.Task); j != nil && e.State != exited && j.State == jobs.Cancelled {
			out = append(out, Command{Op: opStop, Task: e.Task, Attempt: e.Attempt, GraceS: new(float64)})
		}
	}
	return out
}

// origin is how a report came.
type origin uint8

const (
	asReport    origin = iota // as a request of the worker's; it may be a copy of an old one
	asResponse                // the body of a response to a command of ours; it may have been made while an answer of ours was under way
	asRestarted               // as that, and the worker has restarted since it was last heard
)

// take brings the machine's state up to a report.
func (f *Fleet) take(now time.Duration, r *Report, how origin) (*Machine, Verdict) {
	direct := how != asReport
	if r.Token>>tokenBits > f.Term {
		return nil, Deposed
	}
	m := f.Machine(now, r.Machine)
	if m.Condition == Gone {
		// The cloud confirmed its return: this report was under way for long.
		return m, Stale
	}
	if how == asRestarted {
		f.dare(now, m)
		m.hearing.restarted = true
		return m, Accept
	}
	past, dared := m.past(r), m.tookDare(r)
	if !dared && (past || m.hearing.dare != 0 && r.Session == m.Session) {
		if !past {
			return m, Accept // of which life it is nobody knows: the raised token goes out, and nothing follows
		}
		return m, Stale
	}
	if dared && past {
		slog.Info("a machine has restarted", "machine", m.Name, "session", r.Session, "term", f.Term)
		m.hearing, m.images = hearing{}, nil
	}
	m.hearing.dare, m.hearing.restarted = 0, false
	unheard := r.Session > m.Session && m.Session > 0 && now-m.Answered < f.Settings.Lease()
	if r.Session != m.Session {
		// Direct commands name their session: those of the old one are refused now.
		f.settleLate(m)
		f.crashed(now, m)
		// The lease of a session counts from its beginning, even if no report of it was
		// ever answered: a direct launch may run that long.
		m.Answered = now
	}
	f.Describe(m, r.Addr, r.Type, r.Zone, r.Spot)
	if r.Session > m.Session {
		m.hearing.seen, m.hearing.since, m.hearing.witness = 0, 0, Command{}
	}
	m.Session, m.Seq, m.hearing.seen = r.Session, r.Seq, max(m.hearing.seen, r.Token)
	if unheard && !direct {
		// Its lease ran out although its reports were answered.
		f.deafen(now, m, "its lease ran out although it was answered")
	}
	f.deafIfUnseen(now, m, r)
	if r.Token < m.Token || !f.loaded {
		// Not fenced yet: a former owner's command may still arrive. Our token goes
		// out with the answer, and the next report will carry it.
		// One that was lost has to show that it hears first: a zone of machines that don't once counted as back with
		// each of their new sessions, and more were rented there.
		if direct {
			return m, Accept
		}
		if m.Spoke = now; m.Condition != Deaf && m.Condition != Lost {
			f.heard(now, m)
		}
		return m, Accept
	}
	if direct {
		m.hearing.since, m.hearing.witness = 0, Command{}
	} else if !f.showed(now, m, r) {
		return m, Accept
	}
	// What it was asked it answers, and may reach nobody all the same: then it dies with its lease, and no new work belongs
	// there. Only a report tells that it lives.
	if !direct {
		f.heard(now, m)
	}
	if m.fencing {
		m.fencing = false
		f.settleLate(m)
	}
	switch {
	case r.NoticeS != nil && !m.Retiring:
		if m.Condition != Noticed {
			m.NoticeAt = now + config.Seconds(*r.NoticeS)
			f.condition(m, Noticed, "spot notice")
			f.unlane(m)
		}
	case m.Condition != Acting && !m.Retiring && !direct:
		if m.UpSince == 0 {
			m.UpSince = now
		}
		f.condition(m, Acting, "report at our token")
	}
	f.tasks(now, m, r, direct)
	return m, Accept
}

// heard notes that a machine is there. One that doesn't hear is not: nothing can be done with it.
func (f *Fleet) heard(now time.Duration, m *Machine) {
	m.Heard, m.Spoke, m.Aside = now, now, false
	f.LastReport = now
}

// settleLate notes that no direct launch sent so far can be executed any more.
func (f *Fleet) settleLate(m *Machine) {
	clear(m.late)
	for ref := range m.On {
		f.job(ref.Job).Tasks[ref.Task].LaunchIndeterminate = false
	}
}

// avoidFor is how long a job stays away from a machine on which it failed.
const avoidFor = 60 * time.Second
