package fleet

// Direct commands: starts and stops that don't wait for the next report.

import (
	"time"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/jobs"
)

// dispatch sends launches and stops straight to machines instead of waiting for their next
// reports. A machine has at most one such request under way.
func (f *Fleet) dispatch(now time.Duration) {
	for _, m := range f.machines {
		if f.MaxDirectRequests > 0 && f.directRequests >= f.MaxDirectRequests {
			// The rest stays where it is planned: what can't be sent now must not count as
			// launched.
			f.planBecameDurable = true
			return
		}
		if m.Condition != Ready || m.directInFlight || m.fencing || m.Addr == "" || now-m.LastHeardAt > config.Seconds(f.Settings.Params.Workers.ReportS*1.6) ||
			now-m.dispatchedAt < 200*time.Millisecond {
			continue
		}
		if m.QueuedTasks == 0 && !m.hasStops {
			continue
		}
		calls := f.startCommands(now, m)
		started := len(calls)
		if m.hasStops {
			calls = append(calls, f.stopCommands(now, m)...)
		}
		if len(calls) == 0 {
			continue
		}
		f.sendDirect(now, m, calls, started)
	}
}

// stopCommands tells a machine's tasks that must go to stop, again if they have not after a second.
func (f *Fleet) stopCommands(now time.Duration, m *Machine) (calls []Command) {
	m.hasStops = false
	for r := range m.Tasks {
		j := f.jobAt(r.Job)
		k := &j.Tasks[r.Task]
		m.hasStops = m.hasStops || k.Stopping
		if k.Stopping && k.State == jobs.OnMachine && k.Phase != jobs.Saving && now-k.StopSentAt > time.Second {
			grace := j.Spec.SaveS + 1
			if j.State.Terminal() {
				grace = 0
			}
			k.StopSentAt = now
			calls = append(calls, Command{Op: opStop, Task: taskName(j, r.Task), Attempt: k.Attempt, GraceS: &grace})
		}
	}
	return calls
}

// sendDirect sends one direct request and keeps track of launches whose arrival stays open.
func (f *Fleet) sendDirect(now time.Duration, m *Machine, calls []Command, started int) {
	m.directInFlight, m.dispatchedAt = true, now
	f.directRequests++
	f.directRequestCount++
	session, seq := m.Session, m.Seq
	var sent []taskAttempt
	for _, c := range calls[:started] {
		j, t := f.findTask(c.Task)
		sent = append(sent, taskAttempt{TaskRef{j.Index, t}, c.Attempt})
		j.Tasks[t].LaunchIndeterminate = true
	}
	f.SendCommands(m, DirectCommands{Token: m.Token, Session: session, Commands: calls}, func(r *Heartbeat, ok bool) {
		m.directInFlight = false
		f.directRequests--
		for _, a := range sent {
			// The job may have ended and been swept while the request was under way.
			if j := f.jobAt(a.Job); ok && j != nil && j.Tasks != nil && j.Tasks[a.Task].Attempt == a.n {
				j.Tasks[a.Task].LaunchIndeterminate = false
			}
			if !ok && m.Session == session {
				m.indeterminateLaunches[a] = struct{}{}
			}
		}
		if !ok {
			// It may have restarted before the request got there, and the lease of its new life begins then: what it
			// was just told to start counts that long.
			m.LastAnsweredAt = max(m.LastAnsweredAt, f.Now())
		}
		if r != nil && r.Machine == m.Name {
			how := asResponse
			if r.Session == session && r.Seq <= seq {
				how = asRestarted // a worker that has gone on counts on from what it had reported before
			}
			f.acceptHeartbeat(f.Now(), r, how)
		}
	})
}
