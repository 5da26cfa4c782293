package fleet

import (
	"log/slog"
	"time"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/jobs"
)

// HeartbeatResult is what becomes of a report.
type HeartbeatResult uint8

// The verdicts.
const (
	Accepted HeartbeatResult = iota
	Stale                    // older than one already seen: void
	Deposed                  // the worker has seen a higher token than ours
)

// HandleHeartbeat takes over one report that came as a request and answers it. The caller has
// checked that this controller has authority.
func (f *Fleet) HandleHeartbeat(now time.Duration, r *Heartbeat) (a HeartbeatResponse, v HeartbeatResult) {
	f.heartbeatCount++
	m, v := f.acceptHeartbeat(now, r, asRequest)
	if v == Stale && f.shouldChallenge(now, m, r) {
		return HeartbeatResponse{Token: m.Token, Commands: f.stopCancelled(r)}, Accepted
	}
	if v != Accepted {
		return HeartbeatResponse{}, v
	}
	m.LastAnsweredAt = now
	defer func() { m.recordResponse(now, r, a) }()
	a = HeartbeatResponse{Token: m.Token, Commands: []Command{}}
	if r.Token < m.Token || !f.plansLoaded {
		a.Commands = f.stopCancelled(r) // for all else the token has to be seen first
		return a, Accepted
	}
	m.fence()
	a.Token = m.Token
	if m.Condition == Ready || m.Condition == ReclaimNoticed {
		a.Commands = f.buildCommands(now, m, r)
	} else {
		a.Commands = f.stopCancelled(r)
	}
	return a, Accepted
}

// stopCancelled stops what a report lists of cancelled jobs. Every answer extends what its machine lives on, whether it is
// ever heard again or not: none may go out without these, not even the first one of a new owner, whose token the machine
// hasn't seen. A machine that was last heard from at the very end of a cut, and then by nobody, ran cancelled work
// for a lease longer than cancel_s allows. A cancellation is final, so the stop is never wrong.
func (f *Fleet) stopCancelled(r *Heartbeat) []Command {
	out := []Command{}
	for i := range r.Tasks {
		e := &r.Tasks[i]
		if j, _ := f.findTask(e.Task); j != nil && e.State != taskExited && j.State == jobs.Cancelled {
			out = append(out, Command{Op: opStop, Task: e.Task, Attempt: e.Attempt, GraceS: new(float64)})
		}
	}
	return out
}

// heartbeatOrigin is how a report came.
type heartbeatOrigin uint8

const (
	asRequest   heartbeatOrigin = iota // as a request of the worker's; it may be a copy of an old one
	asResponse                         // the body of a response to a command of ours; it may have been made while an answer of ours was under way
	asRestarted                        // as that, and the worker has restarted since it was last heard
)

// acceptHeartbeat brings the machine's state up to a report.
func (f *Fleet) acceptHeartbeat(now time.Duration, r *Heartbeat, how heartbeatOrigin) (*Machine, HeartbeatResult) {
	direct := how != asRequest
	if r.Token>>tokenBits > f.Term {
		return nil, Deposed
	}
	m := f.RegisterMachine(now, r.Machine)
	if m.Condition == Terminated {
		// The cloud confirmed its return: this report was under way for long.
		return m, Stale
	}
	if how == asRestarted {
		f.challenge(now, m)
		m.reachability.restarted = true
		return m, Accepted
	}
	past, dared := m.mayBeStaleCopy(r), m.answeredChallenge(r)
	if !dared && (past || m.reachability.challengeToken != 0 && r.Session == m.Session) {
		if !past {
			return m, Accepted // of which life it is nobody knows: the raised token goes out, and nothing follows
		}
		return m, Stale
	}
	if dared && past {
		slog.Info("a machine has restarted", "machine", m.Name, "session", r.Session, "term", f.Term)
		m.reachability, m.cachedImages = reachability{}, nil
	}
	m.reachability.challengeToken, m.reachability.restarted = 0, false
	unheard := r.Session > m.Session && m.Session > 0 && now-m.LastAnsweredAt < f.Settings.Lease()
	if r.Session != m.Session {
		// Direct commands name their session: those of the old one are refused now.
		f.resolveLaunches(m)
		f.handleWorkerRestart(now, m)
		// The lease of a session counts from its beginning, even if no report of it was
		// ever answered: a direct launch may run that long.
		m.LastAnsweredAt = now
	}
	f.SetMachineDetails(m, r.Addr, r.Type, r.Zone, r.Spot)
	if r.Session > m.Session {
		m.reachability.highestToken, m.reachability.unconfirmedSince, m.reachability.witness = 0, 0, Command{}
	}
	m.Session, m.Seq, m.reachability.highestToken = r.Session, r.Seq, max(m.reachability.highestToken, r.Token)
	if unheard && !direct {
		// Its lease ran out although its reports were answered.
		f.markOneWayUnreachable(now, m, "its lease ran out although it was answered")
	}
	f.checkTokenTimeout(now, m, r)
	if r.Token < m.Token || !f.plansLoaded {
		// Not fenced yet: a former owner's command may still arrive. Our token goes
		// out with the answer, and the next report will carry it.
		// One that was lost has to show that it hears first: a zone of machines that don't once counted as back with
		// each of their new sessions, and more were rented there.
		if direct {
			return m, Accepted
		}
		if m.LastHeartbeatAt = now; m.Condition != OneWayUnreachable && m.Condition != LeaseExpired {
			f.markHeard(now, m)
		}
		return m, Accepted
	}
	if direct {
		m.reachability.unconfirmedSince, m.reachability.witness = 0, Command{}
	} else if !f.confirmsLastResponse(now, m, r) {
		return m, Accepted
	}
	// What it was asked it answers, and may reach nobody all the same: then it dies with its lease, and no new work belongs
	// there. Only a report tells that it lives.
	if !direct {
		f.markHeard(now, m)
	}
	if m.fencing {
		m.fencing = false
		f.resolveLaunches(m)
	}
	switch {
	case r.NoticeS != nil && !m.Returning:
		if m.Condition != ReclaimNoticed {
			m.ReclaimAt = now + config.Seconds(*r.NoticeS)
			f.setCondition(m, ReclaimNoticed, "spot notice")
			f.clearQueues(m)
		}
	case m.Condition != Ready && !m.Returning && !direct:
		if m.UpSince == 0 {
			m.UpSince = now
		}
		f.setCondition(m, Ready, "report at our token")
	}
	f.reconcileTasks(now, m, r, direct)
	return m, Accepted
}

// markHeard notes that a machine is there. One that doesn't hear is not: nothing can be done with it.
func (f *Fleet) markHeard(now time.Duration, m *Machine) {
	m.LastHeardAt, m.LastHeartbeatAt, m.Quarantined = now, now, false
	f.LastHeartbeat = now
}

// resolveLaunches notes that no direct launch sent so far can be executed any more.
func (f *Fleet) resolveLaunches(m *Machine) {
	clear(m.indeterminateLaunches)
	for ref := range m.Tasks {
		f.jobAt(ref.Job).Tasks[ref.Task].LaunchIndeterminate = false
	}
}

// avoidFor is how long a job stays away from a machine on which it failed.
const avoidFor = 60 * time.Second
