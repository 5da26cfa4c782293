package fleet

// Direct commands: starts and stops that don't wait for the next report.

import (
	"time"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/jobs"
)

// push sends launches and stops straight to machines instead of waiting for their next
// reports. A machine has at most one such request under way.
func (f *Fleet) push(now time.Duration) {
	for _, m := range f.machines {
		if f.MaxOrders > 0 && f.ordering >= f.MaxOrders {
			// The rest stays where it is planned: what can't be sent now must not count as
			// launched.
			f.news = true
			return
		}
		if m.Condition != Acting || m.ordering || m.fencing || m.Addr == "" || now-m.Heard > config.Seconds(f.Settings.Params.Workers.ReportS*1.6) ||
			now-m.pushed < 200*time.Millisecond {
			continue
		}
		if m.Planned == 0 && !m.halts {
			continue
		}
		calls := f.starts(now, m)
		started := len(calls)
		if m.halts {
			calls = append(calls, f.stops(now, m)...)
		}
		if len(calls) == 0 {
			continue
		}
		f.direct(now, m, calls, started)
	}
}

// stops tells a machine's tasks that must go to stop, again if they have not after a second.
func (f *Fleet) stops(now time.Duration, m *Machine) (calls []Command) {
	m.halts = false
	for r := range m.On {
		j := f.job(r.Job)
		k := &j.Tasks[r.Task]
		m.halts = m.halts || k.Stopping
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

// direct sends one direct request and keeps track of launches whose arrival stays open.
func (f *Fleet) direct(now time.Duration, m *Machine, calls []Command, started int) {
	m.ordering, m.pushed = true, now
	f.ordering++
	f.orders++
	session, seq := m.Session, m.Seq
	var sent []attempt
	for _, c := range calls[:started] {
		j, t := f.resolve(c.Task)
		sent = append(sent, attempt{Ref{j.Index, t}, c.Attempt})
		j.Tasks[t].LaunchIndeterminate = true
	}
	f.Order(m, Orders{Token: m.Token, Session: session, Commands: calls}, func(r *Report, ok bool) {
		m.ordering = false
		f.ordering--
		for _, a := range sent {
			// The job may have ended and been swept while the request was under way.
			if j := f.job(a.Job); ok && j != nil && j.Tasks != nil && j.Tasks[a.Task].Attempt == a.n {
				j.Tasks[a.Task].LaunchIndeterminate = false
			}
			if !ok && m.Session == session {
				m.late[a] = struct{}{}
			}
		}
		if !ok {
			// It may have restarted before the request got there, and the lease of its new life begins then: what it
			// was just told to start counts that long.
			m.Answered = max(m.Answered, f.Now())
		}
		if r != nil && r.Machine == m.Name {
			how := asResponse
			if r.Session == session && r.Seq <= seq {
				how = asRestarted // a worker that has gone on counts on from what it had reported before
			}
			f.take(f.Now(), r, how)
		}
	})
}
