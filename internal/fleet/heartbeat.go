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
func (f *Fleet) HandleHeartbeat(now time.Duration, heartbeat *Heartbeat) (a HeartbeatResponse, v HeartbeatResult) {
	f.activity.heartbeats++
	machine, v := f.acceptHeartbeat(now, heartbeat, fromRequest)
	if v == Stale && f.shouldChallenge(now, machine, heartbeat) {
		return HeartbeatResponse{Token: machine.Token, Commands: f.stopCancelled(heartbeat)}, Accepted
	}
	if v != Accepted {
		return HeartbeatResponse{}, v
	}
	machine.LastAnsweredAt = now
	defer func() { machine.recordResponse(now, heartbeat, a) }()
	a = HeartbeatResponse{Token: machine.Token, Commands: []Command{}}
	if heartbeat.Token < machine.Token || !f.plansLoaded {
		a.Commands = f.stopCancelled(heartbeat) // for all else the token has to be seen first
		return a, Accepted
	}
	machine.raiseTokenIfIndeterminate()
	a.Token = machine.Token
	if machine.Condition == Ready || machine.Condition == ReclaimNoticed {
		a.Commands = f.buildCommands(now, machine, heartbeat)
	} else {
		a.Commands = f.stopCancelled(heartbeat)
	}
	return a, Accepted
}

// stopCancelled stops what a report lists of cancelled jobs. Every answer extends what its machine lives on, whether it is
// ever heard again or not: none may go out without these, not even the first one of a new owner, whose token the machine
// hasn't seen. A machine that was last heard from at the very end of a cut, and then by nobody, ran cancelled work
// for a lease longer than cancel_s allows. A cancellation is final, so the stop is never wrong.
func (f *Fleet) stopCancelled(heartbeat *Heartbeat) []Command {
	out := []Command{}
	for i := range heartbeat.Tasks {
		taskReport := &heartbeat.Tasks[i]
		if job, _ := f.findTask(taskReport.Task); job != nil && taskReport.State != taskExited && job.State == jobs.Cancelled {
			out = append(out, Command{Op: opStop, Task: taskReport.Task, Attempt: taskReport.Attempt, GraceS: new(float64)})
		}
	}
	return out
}

// heartbeatOrigin is how a report came.
type heartbeatOrigin uint8

const (
	fromRequest         heartbeatOrigin = iota // as a request of the worker's; it may be a copy of an old one
	fromResponse                               // the body of a response to a command of ours; it may have been made while an answer of ours was under way
	fromRestartedWorker                        // as that, and the worker has restarted since it was last heard
)

// acceptHeartbeat brings the machine's state up to a report.
func (f *Fleet) acceptHeartbeat(now time.Duration, heartbeat *Heartbeat, how heartbeatOrigin) (*Machine, HeartbeatResult) {
	direct := how != fromRequest
	if heartbeat.Token>>tokenBits > f.Term {
		return nil, Deposed
	}
	machine := f.RegisterMachine(now, heartbeat.Machine)
	if machine.Condition == Terminated {
		// The cloud confirmed its return: this report was under way for long.
		return machine, Stale
	}
	if how == fromRestartedWorker {
		f.challenge(now, machine)
		machine.reachability.restartCertain = true
		return machine, Accepted
	}
	past, dared := machine.mayBeStaleCopy(heartbeat), machine.answeredChallenge(heartbeat)
	if !dared && (past || machine.reachability.challengeToken != 0 && heartbeat.Session == machine.Session) {
		if !past {
			return machine, Accepted // of which life it is nobody knows: the raised token goes out, and nothing follows
		}
		return machine, Stale
	}
	if dared && past {
		slog.Info("a machine has restarted", "machine", machine.Name, "session", heartbeat.Session, "term", f.Term)
		machine.reachability, machine.cachedImages = reachability{}, nil
	}
	machine.reachability.challengeToken, machine.reachability.restartCertain = 0, false
	unheard := heartbeat.Session > machine.Session && machine.Session > 0 && now-machine.LastAnsweredAt < f.Settings.Lease()
	if heartbeat.Session != machine.Session {
		// Direct commands name their session: those of the old one are refused now.
		f.clearIndeterminateLaunches(machine)
		f.handleWorkerRestart(now, machine)
		// The lease of a session counts from its beginning, even if no report of it was
		// ever answered: a direct launch may run that long.
		machine.LastAnsweredAt = now
	}
	f.SetMachineDetails(machine, heartbeat.Addr, heartbeat.Type, heartbeat.Zone, heartbeat.Spot)
	if heartbeat.Session > machine.Session {
		machine.reachability.highestToken, machine.reachability.unconfirmedSince, machine.reachability.witness = 0, 0, Command{}
	}
	machine.Session, machine.Seq, machine.reachability.highestToken = heartbeat.Session, heartbeat.Seq, max(machine.reachability.highestToken, heartbeat.Token)
	if unheard && !direct {
		// Its lease ran out although its reports were answered.
		f.markOneWayUnreachable(now, machine, "its lease ran out although it was answered")
	}
	f.checkTokenTimeout(now, machine, heartbeat)
	if heartbeat.Token < machine.Token || !f.plansLoaded {
		// Not fenced yet: a former owner's command may still arrive. Our token goes
		// out with the answer, and the next report will carry it.
		// One that was lost has to show that it hears first: a zone of machines that don't once counted as back with
		// each of their new sessions, and more were rented there.
		if direct {
			return machine, Accepted
		}
		if machine.LastHeartbeatAt = now; machine.Condition != OneWayUnreachable && machine.Condition != LeaseExpired {
			f.recordContact(now, machine)
		}
		return machine, Accepted
	}
	if direct {
		machine.reachability.unconfirmedSince, machine.reachability.witness = 0, Command{}
	} else if !f.confirmsLastResponse(now, machine, heartbeat) {
		return machine, Accepted
	}
	// What it was asked it answers, and may reach nobody all the same: then it dies with its lease, and no new work belongs
	// there. Only a report tells that it lives.
	if !direct {
		f.recordContact(now, machine)
	}
	if machine.fencing {
		machine.fencing = false
		f.clearIndeterminateLaunches(machine)
	}
	switch {
	case heartbeat.NoticeS != nil && !machine.Returning:
		if machine.Condition != ReclaimNoticed {
			machine.ReclaimAt = now + config.Seconds(*heartbeat.NoticeS)
			f.setCondition(machine, ReclaimNoticed, "spot notice")
			f.clearQueues(machine)
		}
	case machine.Condition != Ready && !machine.Returning && !direct:
		if machine.UpSince == 0 {
			machine.UpSince = now
		}
		f.setCondition(machine, Ready, "report at our token")
	}
	f.reconcileTasks(now, machine, heartbeat, direct)
	return machine, Accepted
}

// recordContact notes that a machine is there. One that doesn't hear is not: nothing can be done with it.
func (f *Fleet) recordContact(now time.Duration, machine *Machine) {
	machine.LastHeardAt, machine.LastHeartbeatAt, machine.Quarantined = now, now, false
	f.LastHeartbeat = now
}

// clearIndeterminateLaunches notes that no direct launch sent so far can be executed any more.
func (f *Fleet) clearIndeterminateLaunches(machine *Machine) {
	clear(machine.indeterminateLaunches)
	for ref := range machine.Tasks {
		f.jobAt(ref.Job).Tasks[ref.Task].LaunchIndeterminate = false
	}
}

// avoidDuration is how long a job stays away from a machine on which it failed.
const avoidDuration = 60 * time.Second
