package capacity

import (
	"log/slog"
	"time"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/events"
	"github.com/harewalk/harewalk/internal/fleet"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/zones"
)

// judgeEvery spaces the looks at every machine. All that they judge is counted in seconds.
const judgeEvery = 250 * time.Millisecond

// judge finds machines that should go, if steady tells that authority has lasted long enough
// to hear every worker that can reach this controller: boots that never come up, silent and faulty
// machines, and idle ones where money counts.
func (c *Manager) judge(now time.Duration, steady bool) {
	for name, b := range c.boots {
		if machine := c.Fleet.FindMachine(name); machine != nil && machine.Session > 0 {
			c.bootTimes.took(b.offer, now-b.since)
			delete(c.boots, name)
			continue
		}
		// Some take several times as long as usual; far beyond that it is one of the
		// few that never come up.
		if machineType := c.typ(b.typ); machineType != nil && now-b.since > c.bootTimes.givenUp(b.offer, machineType.BootS) {
			c.toReturn[name] = "never came up"
		}
	}
	c.judgeZones(now)
	up, silent, idle := 0, 0, 0
	limit := config.Seconds(c.Settings.Operator.SilentS)
	for _, machine := range c.Fleet.Machines() {
		if machine.Condition.ExpectsHeartbeats() {
			up++
			if len(machine.Tasks) == 0 && machine.QueuedTasks == 0 {
				idle++
			}
			if now-machine.LastHeardAt > limit {
				silent++
			}
		}
	}
	c.excess = excess(up, idle, c.Settings.Operator.Headroom)
	// Many silent at once speak for a cut between us and them, not for their death.
	trust := steady && silent > 0 && silent <= max(1, up/4)
	for _, machine := range c.Fleet.Machines() {
		quiet := now - machine.LastHeardAt
		if quiet > limit && c.Zones.RetainsMachines(now, machine.Zone, c.cutPatience(machine)) {
			continue
		}
		switch machine.Condition {
		case fleet.Ready, fleet.Registered, fleet.OneWayUnreachable:
			switch {
			case quiet > limit && trust:
				c.toReturn[machine.Name] = "silent"
			case machine.Condition == fleet.OneWayUnreachable && steady && silent < up && quiet > max(limit, c.cutPatience(machine)):
				// It talks, so it isn't us who are cut off: kept for as long as getting it back would be dearer.
				c.toReturn[machine.Name] = "deaf"
			case machine.Condition == fleet.Ready && c.Fleet.Faulty(machine):
				c.Fleet.ReturnMachine(machine, "faulty")
			case machine.Condition == fleet.Ready && len(machine.Tasks) == 0 && machine.QueuedTasks == 0 &&
				now-machine.IdleSince > c.idleLimit(machine) && c.overBudget() && !c.Zones.Unsettled():
				c.Fleet.ReturnMachine(machine, "idle")
			}
		case fleet.LeaseExpired:
			// However many they are: after a while what is kept in vain costs more than what it would spare.
			if steady && quiet > 2*limit && now-machine.LastHeartbeatAt > limit && (silent <= max(1, up/4) || quiet > 2*limit+c.cutPatience(machine) && silent < up) {
				c.toReturn[machine.Name] = "lost"
			}
		}
		if machine.Returning && machine.Condition == fleet.ReclaimNoticed && len(machine.Tasks) == 0 {
			c.toReturn[machine.Name] = "retired"
		}
	}
}

// QuietFor is after how long without a report a machine counts as quiet: a report is late, and another one due.
func (c *Manager) QuietFor() time.Duration {
	return config.Seconds(1.3*c.Settings.Params.Workers.ReportS + 1)
}

// zoneTurned tells of a zone's change of state.
func (c *Manager) zoneTurned(now time.Duration, zone int32, from, to zones.State, n zones.Count) {
	slog.Info("zone", "name", c.Names.Zones.Name(zone), "from", from.String(), "to", to.String(), "machines", n.Machines, "quiet", n.Quiet, "silent", n.Silent,
		"flaps", c.Zones.Zone(zone).Flaps, "term", c.Term)
	c.Fleet.Events.Add(events.Event{At: now, Kind: events.Zone, Task: events.None, Machine: events.None, Note: c.Names.Zones.Name(zone) + " " + to.String()})
}

// judgeZones looks which zones have fallen silent, and puts what isn't heard there aside: returning it would cost a
// boot and all cached images, and what is planned there would wait for nobody. So is a single machine, once it has been silent
// for longer than one lost report explains: it may be cut off or reach nobody, and gangs were planned there until its lease
// was over. Silence counts from when we could hear.
func (c *Manager) judgeZones(now time.Duration) {
	// Well before the first of them is given up, or many would be gone when it shows.
	silent, quiet := config.Seconds(c.Settings.Operator.SilentS*0.6), c.QuietFor()
	counts := map[int32]zones.Count{}
	for _, machine := range c.Fleet.Machines() {
		if machine.Condition == fleet.Terminated || machine.Zone == jobs.None {
			continue
		}
		n := counts[machine.Zone]
		n.Machines++
		switch q := now - max(machine.LastHeardAt, c.since); {
		case q > silent:
			n.Silent++
			n.Quiet++
		case q > quiet:
			n.Quiet++
		}
		counts[machine.Zone] = n
	}
	c.Zones.Evaluate(now, counts)
	late := c.Fleet.ReachabilityTimeout()
	for _, machine := range c.Fleet.Machines() {
		if q := now - max(machine.LastHeardAt, c.since); machine.Condition == fleet.Ready && q > quiet {
			if st := c.Zones.Zone(machine.Zone).State; st == zones.Lost || st == zones.Returning || q > late {
				c.Fleet.Quarantine(machine)
			}
		}
	}
}

// cutPatience is how long a machine in a silent zone is kept: twice as long as getting it
// back would take.
func (c *Manager) cutPatience(machine *fleet.Machine) time.Duration {
	s := 60.0
	if machineType := c.typ(machine.Type); machineType != nil {
		s = machineType.BootS
		if machineType.FetchGB > 0 {
			s += c.Fleet.ImageGB() / machineType.FetchGB
		}
	}
	return config.Seconds(2 * s)
}
