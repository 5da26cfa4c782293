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
	for _, machine := range f.machines {
		if f.MaxDirectRequests > 0 && f.directRequests >= f.MaxDirectRequests {
			// The rest stays where it is planned: what can't be sent now must not count as
			// launched.
			f.writer.planBecameDurable = true
			return
		}
		if machine.Condition != Ready || machine.directInFlight || machine.fencing || machine.Addr == "" || now-machine.LastHeardAt > config.Seconds(f.Settings.Params.Workers.ReportS*1.6) ||
			now-machine.dispatchedAt < 200*time.Millisecond {
			continue
		}
		if machine.QueuedTasks == 0 && !machine.hasStops {
			continue
		}
		calls := f.startCommands(now, machine)
		started := len(calls)
		if machine.hasStops {
			calls = append(calls, f.stopCommands(now, machine)...)
		}
		if len(calls) == 0 {
			continue
		}
		f.sendDirect(now, machine, calls, started)
	}
}

// stopCommands tells a machine's tasks that must go to stop, again if they have not after a second.
func (f *Fleet) stopCommands(now time.Duration, machine *Machine) (calls []Command) {
	machine.hasStops = false
	for r := range machine.Tasks {
		job := f.jobAt(r.Job)
		task := &job.Tasks[r.Task]
		machine.hasStops = machine.hasStops || task.Stopping
		if task.Stopping && task.State == jobs.OnMachine && task.Phase != jobs.Saving && now-task.StopSentAt > time.Second {
			grace := job.Spec.SaveS + 1
			if job.State.Terminal() {
				grace = 0
			}
			task.StopSentAt = now
			calls = append(calls, Command{Op: opStop, Task: taskName(job, r.Task), Attempt: task.Attempt, GraceS: &grace})
		}
	}
	return calls
}

// sendDirect sends one direct request and keeps track of launches whose arrival stays open.
func (f *Fleet) sendDirect(now time.Duration, machine *Machine, calls []Command, started int) {
	machine.directInFlight, machine.dispatchedAt = true, now
	f.directRequests++
	f.activity.directRequests++
	session, seq := machine.Session, machine.Seq
	var sent []taskAttempt
	for _, c := range calls[:started] {
		job, taskIndex := f.findTask(c.Task)
		sent = append(sent, taskAttempt{TaskRef{job.Index, taskIndex}, c.Attempt})
		job.Tasks[taskIndex].LaunchIndeterminate = true
	}
	f.SendCommands(machine, DirectCommands{Token: machine.Token, Session: session, Commands: calls}, func(heartbeat *Heartbeat, ok bool) {
		machine.directInFlight = false
		f.directRequests--
		for _, a := range sent {
			// The job may have ended and been swept while the request was under way.
			if job := f.jobAt(a.Job); ok && job != nil && job.Tasks != nil && job.Tasks[a.Task].Attempt == a.attempt {
				job.Tasks[a.Task].LaunchIndeterminate = false
			}
			if !ok && machine.Session == session {
				machine.indeterminateLaunches[a] = struct{}{}
			}
		}
		if !ok {
			// It may have restarted before the request got there, and the lease of its new life begins then: what it
			// was just told to start counts that long.
			machine.LastAnsweredAt = max(machine.LastAnsweredAt, f.Now())
		}
		if heartbeat != nil && heartbeat.Machine == machine.Name {
			how := fromResponse
			if heartbeat.Session == session && heartbeat.Seq <= seq {
				how = fromRestartedWorker // a worker that has gone on counts on from what it had reported before
			}
			f.acceptHeartbeat(f.Now(), heartbeat, how)
		}
	})
}
