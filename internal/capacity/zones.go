package capacity

import (
	"log/slog"
	"time"

	"github.com/harewalk/harewalk/internal/events"
	"github.com/harewalk/harewalk/internal/fleet"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/zones"
)

// zoneSilenceFactor is the part of a machine's silence limit after which its zone counts it as silent: well before
// the first machine is returned, or many would be gone when the zone is found lost.
const zoneSilenceFactor = 0.6

// QuietFor returns after how long without a heartbeat a machine counts as quiet: one is late, and another one due.
func (m *Manager) QuietFor() time.Duration {
	return jobs.Seconds(1.3*m.Settings.Params.Workers.HeartbeatIntervalS + 1)
}

// evaluateZones updates the zones' state, and then quarantines machines that send no heartbeats: returning them
// would cost a boot and all cached images, and new work would wait there for its lease to expire.
func (m *Manager) evaluateZones(now time.Duration) {
	m.Zones.Evaluate(now, m.countByZone(now))
	quietLimit := m.QuietFor()
	reachabilityTimeout := m.Fleet.ReachabilityTimeout()
	for _, machine := range m.Fleet.Machines() {
		silence := m.observedSilence(now, machine)
		if machine.Condition != fleet.Ready || silence <= quietLimit {
			continue
		}
		// A single machine may be cut off as well, once it is silent for longer than one lost heartbeat explains.
		state := m.Zones.Zone(machine.Zone).State
		if state == zones.Lost || state == zones.Returning || silence > reachabilityTimeout {
			m.Fleet.Quarantine(machine)
		}
	}
}

// observedSilence is how long a machine hasn't been heard while this controller could hear it.
func (m *Manager) observedSilence(now time.Duration, machine *fleet.Machine) time.Duration {
	return now - max(machine.LastContactAt, m.authoritySince)
}

// countByZone counts the machines of each zone by how long they haven't been heard.
func (m *Manager) countByZone(now time.Duration) map[int32]zones.Count {
	silentLimit := jobs.Seconds(m.Settings.Operator.MachineUnheardTimeoutS * zoneSilenceFactor)
	quietLimit := m.QuietFor()
	counts := map[int32]zones.Count{}
	for _, machine := range m.Fleet.Machines() {
		if machine.Condition == fleet.Terminated || machine.Zone == jobs.None {
			continue
		}
		count := counts[machine.Zone]
		count.Machines++
		switch silence := m.observedSilence(now, machine); {
		case silence > silentLimit:
			count.Silent++
			count.Quiet++
		case silence > quietLimit:
			count.Quiet++
		}
		counts[machine.Zone] = count
	}
	return counts
}

// onZoneStateChange logs a zone's change of state and adds it to the events.
func (m *Manager) onZoneStateChange(now time.Duration, zone int32, from, to zones.State, count zones.Count) {
	name := m.Names.Zones.Name(zone)
	slog.Info("zone state changed",
		"zone", name,
		"from", from.String(),
		"to", to.String(),
		"machines", count.Machines,
		"quiet", count.Quiet,
		"silent", count.Silent,
		"flaps", m.Zones.Zone(zone).Flaps,
		"term", m.Term,
	)
	m.Fleet.Events.Add(events.Event{
		At:      now,
		Kind:    events.ZoneStateChanged,
		Task:    events.None,
		Machine: events.None,
		Note:    name + " " + to.String(),
	})
}
