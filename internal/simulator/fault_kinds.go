package simulator

import (
	"time"

	"github.com/harewalk/harewalk/internal/rollout"
)

// faultArgs holds the arguments of a fault in a script. Arguments that the fault doesn't take are zero.
type faultArgs struct {
	duration time.Duration
	count    int // a number of objects, or the number of a controller
	zone     string
}

// faultAction begins a fault and schedules its end, if the fault has one.
type faultAction func(*Simulation, faultArgs)

// Kinds of arguments in faultKind.args.
const (
	argController = 'n'
	argCount      = 'c'
	argZone       = 'z'
	argDuration   = 't'
)

// faultKind is a fault that scripts can name.
type faultKind struct {
	args            string // kinds of its arguments, in order
	virtualTimeOnly bool   // the fault acts on controllers, zones or users' requests, which needs virtual time
	apply           faultAction
}

// Parameters of faults in scripts.
const (
	lateBootFactor  = 5                      // multiple of the usual boot time
	fastBootFactor  = 0.01                   // multiple of the usual boot time; all machines are up within 2 s
	slowLinkDelay   = 150 * time.Millisecond // mean delay of messages
	leaderKillCount = 10
	duplicateShare  = 0.2         // share of messages that are duplicated
	lateWriteShare  = 0.2         // share of transactions that are applied late
	lostAnswerShare = 0.3         // share of transactions whose answer is lost
	replayShare     = 0.3         // share of heartbeats that are replayed
	repeatedShare   = 0.5         // share of direct requests that are repeated
	maxRepeatLeases = 3           // longest delay of a repeated direct request, in worker leases
	cancelShare     = 0.5         // share of completing jobs that are cancelled
	minDuplicateAge = time.Second // shortest delay of a duplicate
)

// faultKinds maps the names of faults in scripts to the faults. docs/lab.md lists the names.
var faultKinds = map[string]faultKind{
	// Tasks and machines.
	"crash-task":   {apply: func(sim *Simulation, _ faultArgs) { sim.CrashTask() }},
	"kill-machine": {apply: func(sim *Simulation, _ faultArgs) { sim.KillMachine() }},
	"hang":         {args: "t", apply: func(sim *Simulation, args faultArgs) { sim.HangMachine(args.duration) }},
	"delay": {args: "t", apply: func(sim *Simulation, args faultArgs) {
		sim.DelayMachineCommands(args.duration)
	}},
	"notice": {args: "t", apply: func(sim *Simulation, args faultArgs) {
		sim.ReclaimSpotMachine(args.duration)
	}},
	"deaf-machine": {args: "t", apply: func(sim *Simulation, args faultArgs) {
		sim.DropInbound(1, "", args.duration)
	}},
	"mute-machine": {args: "t", apply: func(sim *Simulation, args faultArgs) {
		sim.DropOutbound(1, "", args.duration)
	}},
	"shut-machine": {args: "t", apply: func(sim *Simulation, args faultArgs) {
		sim.RefuseOutbound(1, "", args.duration)
	}},
	"deaf-machines": {args: "zt", apply: func(sim *Simulation, args faultArgs) {
		sim.DropInbound(allMachines, args.zone, args.duration)
	}},
	"shut-machines": {args: "zt", apply: func(sim *Simulation, args faultArgs) {
		sim.RefuseOutbound(allMachines, args.zone, args.duration)
	}},
	"restart-machine": {args: "t", apply: func(sim *Simulation, args faultArgs) {
		sim.RestartMachine("", args.duration)
	}},
	"late-boots": {args: "t", apply: bootFaultFor(lateBootFactor, 0)},
	"no-boots":   {args: "t", apply: bootFaultFor(1, 1)},
	"fast-boots": {args: "t", apply: bootFaultFor(fastBootFactor, 0)},

	// Services.
	"outage":         {args: "t", apply: toggledFault((*Simulation).SetStateOutage)},
	"cloud-outage":   {args: "t", apply: toggledFault((*Simulation).SetCloudOutage)},
	"licence-down":   {args: "t", apply: toggledFault(func(sim *Simulation, on bool) { sim.Licences.SetDown(on) })},
	"small-limits":   {args: "t", apply: toggledFault((*Simulation).SetLowStateLimits)},
	"lose-positions": {args: "t", apply: func(sim *Simulation, _ faultArgs) { sim.CompactHistory() }},
	"refuse": {args: "nt", apply: func(sim *Simulation, args faultArgs) {
		if args.count < sim.cfg.Controllers {
			sim.during(args.duration, func(on bool) { sim.RefuseController(args.count, on) })
		}
	}},
	"refuse-leader": {args: "t", apply: func(sim *Simulation, args faultArgs) { sim.RefuseLeader(args.duration) }},
	"stick-leader": {args: "t", apply: func(sim *Simulation, args faultArgs) {
		sim.stallLeaderWatches(args.duration)
	}},
	"outage-at-cancel": {args: "t", apply: func(sim *Simulation, args faultArgs) {
		sim.OnCancelled(func() { sim.during(args.duration, sim.SetStateOutage) })
	}},

	// Messages.
	"copies": {args: "t", apply: toggledFault(func(sim *Simulation, on bool) {
		sim.DuplicateMessages(shareIf(on, duplicateShare), minDuplicateAge, sim.leaseFraction(2))
	})},
	"late-writes": {args: "t", apply: toggledFault(func(sim *Simulation, on bool) {
		sim.DelayWrites(shareIf(on, lateWriteShare), sim.leaseFraction(1./12), sim.leaseFraction(1./2))
	})},
	"lost-answers": {args: "t", apply: toggledFault(func(sim *Simulation, on bool) {
		sim.LoseTxnAnswers(shareIf(on, lostAnswerShare))
	})},
	"keep-copies": {args: "t", apply: toggledFault(func(sim *Simulation, on bool) {
		sim.ReplayHeartbeats(shareIf(on, replayShare))
	})},
	"slow-state":  {args: "t", apply: delayFault((*Simulation).DelayStateAnswers, 1./200, 1./5)},
	"hold-orders": {args: "t", apply: delayFault((*Simulation).DelayCommands, 1./50, 2./3)},
	"repeat-orders": {args: "t", apply: toggledFault(func(sim *Simulation, on bool) {
		sim.RepeatCommands(shareIf(on, repeatedShare), minRepeatDelay, sim.leaseFraction(maxRepeatLeases))
	})},
	"repeat-requests": {args: "t", apply: toggledFault(func(sim *Simulation, on bool) {
		sim.RepeatServiceRequests(shareIf(on, repeatedShare), minRepeatDelay, sim.leaseFraction(maxRepeatLeases))
	})},
	"replay-orders": {args: "t", apply: toggledFault((*Simulation).RepeatCommandsAtWorstTime)},
	"hold-answers":  {args: "t", apply: delayFault((*Simulation).DelayHeartbeatAnswers, 1./50, 2./3)},
	"slow-links": {args: "t", virtualTimeOnly: true, apply: toggledFault(func(sim *Simulation, on bool) {
		delay := time.Duration(0)
		if on {
			delay = slowLinkDelay
		}
		sim.SetLinkDelay(delay)
	})},

	// Users.
	"close-looks":  {args: "t", virtualTimeOnly: true, apply: toggledFault((*Simulation).SetPollBursts)},
	"odd-requests": {args: "t", virtualTimeOnly: true, apply: toggledFault((*Simulation).SetOddRequests)},
	"cancel-now": {args: "ct", virtualTimeOnly: true, apply: func(sim *Simulation, args faultArgs) {
		sim.CancelRunning(args.count, args.duration)
	}},
	"cancel-at-end": {args: "t", virtualTimeOnly: true, apply: toggledFault(func(sim *Simulation, on bool) {
		sim.CancelAtCompletion(shareIf(on, cancelShare))
	})},

	// Controllers.
	"kill-leader": {args: "t", virtualTimeOnly: true, apply: func(sim *Simulation, args faultArgs) {
		sim.onLeader(args.duration, sim.KillController)
	}},
	"drain-leader": {args: "t", virtualTimeOnly: true, apply: func(sim *Simulation, args faultArgs) {
		sim.onLeader(args.duration, sim.drainController)
	}},
	"freeze-leader": {args: "t", virtualTimeOnly: true, apply: func(sim *Simulation, args faultArgs) {
		sim.onLeader(0, func(leader int) { sim.FreezeController(leader, args.duration) })
	}},
	"cut-off-leader": {args: "t", virtualTimeOnly: true, apply: func(sim *Simulation, args faultArgs) {
		sim.onLeader(0, func(leader int) { sim.cutLinksFor(leader, StateLink|PeerLinks, args.duration) })
	}},
	"unheard-leader": {args: "t", virtualTimeOnly: true, apply: func(sim *Simulation, args faultArgs) {
		sim.onLeader(0, func(leader int) { sim.cutLinksFor(leader, WorkerLinks, args.duration) })
	}},
	"flip-leaders": {args: "t", virtualTimeOnly: true, apply: func(sim *Simulation, args faultArgs) {
		sim.KillLeaders(leaderKillCount, args.duration)
	}},
	"kill-controllers": {args: "t", virtualTimeOnly: true, apply: func(sim *Simulation, args faultArgs) {
		sim.killControllers(args.duration)
	}},
	"roll": {args: "t", virtualTimeOnly: true, apply: func(sim *Simulation, args faultArgs) {
		sim.rollTo(rollout.Newest, args.duration)
	}},
	"roll-back": {args: "t", virtualTimeOnly: true, apply: func(sim *Simulation, args faultArgs) {
		sim.rollTo(rollout.Newest-1, args.duration)
	}},

	// Zones.
	"cut-zone":    {args: "zt", virtualTimeOnly: true, apply: partitionFault(DropBoth)},
	"hold-zone":   {args: "zt", virtualTimeOnly: true, apply: partitionFault(DelayBoth)},
	"refuse-zone": {args: "zt", virtualTimeOnly: true, apply: partitionFault(RefuseBoth)},
	"deaf-zone":   {args: "zt", virtualTimeOnly: true, apply: partitionFault(DropInto)},
	"mute-zone":   {args: "zt", virtualTimeOnly: true, apply: partitionFault(DropOutOf)},
	"flap-zone": {args: "zt", virtualTimeOnly: true, apply: func(sim *Simulation, args faultArgs) {
		sim.flapZone(args.zone, args.duration)
	}},
	"power-zone": {args: "zt", virtualTimeOnly: true, apply: func(sim *Simulation, args faultArgs) {
		sim.powerOffZoneFor(args.zone, args.duration)
	}},
}

// during calls set with true now and with false after the duration.
func (sim *Simulation) during(duration time.Duration, set func(on bool)) {
	set(true)
	sim.env.schedule(duration, func() { set(false) })
}

// toggledFault returns a fault that calls set with true, and with false after the fault's duration.
func toggledFault(set func(sim *Simulation, on bool)) faultAction {
	return func(sim *Simulation, args faultArgs) {
		sim.during(args.duration, func(on bool) { set(sim, on) })
	}
}

// shareIf returns share if on is true, and 0 otherwise.
func shareIf(on bool, share float64) float64 {
	if on {
		return share
	}
	return 0
}

// delayFault returns a fault that delays messages of a kind for its duration. The bounds of the delay are fractions of
// a worker's lease.
func delayFault(
	set func(sim *Simulation, minDelay, maxDelay time.Duration),
	minFraction, maxFraction float64,
) faultAction {
	return toggledFault(func(sim *Simulation, on bool) {
		if !on {
			set(sim, 0, 0)
			return
		}
		set(sim, sim.leaseFraction(minFraction), sim.leaseFraction(maxFraction))
	})
}

// partitionFault returns a fault that partitions a zone for its duration.
func partitionFault(partition Partition) faultAction {
	return func(sim *Simulation, args faultArgs) { sim.partitionZoneFor(args.zone, partition, args.duration) }
}

// bootFaultFor returns a fault that changes the boot times of the machines that are rented during the fault.
func bootFaultFor(factor, neverShare float64) faultAction {
	return func(sim *Simulation, args faultArgs) {
		sim.SetBootFault(factor, neverShare)
		sim.env.schedule(args.duration, func() { sim.SetBootFault(0, 0) })
	}
}
