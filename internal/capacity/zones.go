package capacity

import (
	"log/slog"
	"time"

	"github.com/harewalk/harewalk/internal/events"
	"github.com/harewalk/harewalk/internal/fleet"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/zones"
)

// zoneSilenceFactor is the part of the silence limit for machines after which a machine counts as long unreachable in
// its zone. A zone has to be found lost well before its first machine is returned: otherwise many would be returned by
// then.
const zoneSilenceFactor = 0.6

// HeartbeatOverdueLimit returns how long after its last heartbeat a machine counts as unreachable: the next heartbeat
// is then overdue by 30% of the heartbeat interval plus a second.
func (m *Manager) HeartbeatOverdueLimit() time.Duration {
	return jobs.Seconds(1.3*m.Settings.Params.Workers.HeartbeatIntervalS + 1)
}

// evaluateZones updates the zones' state, and then quarantines machines that send no heartbeats. Returning them at once
// would cost a boot and all cached images, and new tasks placed on them would wait for the machine's lease to expire.
func (m *Manager) evaluateZones(now time.Duration) {
	m.Zones.Evaluate(now, m.countByZone(now))
	overdueLimit := m.HeartbeatOverdueLimit()
	reachabilityTimeout := m.Fleet.ReachabilityTimeout()
	for _, machine := range m.Fleet.Machines() {
		silence := m.observedSilence(now, machine)
		if machine.Condition != fleet.Ready || silence <= overdueLimit {
			continue
		}
		// A single machine may be cut off in a healthy zone, too: its silence is then longer than one lost heartbeat
		// explains.
		state := m.Zones.Zone(machine.Zone).State
		if state == zones.Lost || state == zones.Returning || silence > reachabilityTimeout {
			m.Fleet.Quarantine(machine)
		}
	}
}

// observedSilence returns the time since a machine's last contact or since this controller gained its authority,
// whichever is later.
func (m *Manager) observedSilence(now time.Duration, machine *fleet.Machine) time.Duration {
	return now - max(machine.LastContactAt, m.authoritySince)
}

// countByZone counts the machines of each zone, and how many of them are unreachable or long unreachable.
func (m *Manager) countByZone(now time.Duration) map[int32]zones.Count {
	longUnreachableLimit := jobs.Seconds(m.Settings.Operator.MachineSilenceTimeoutS * zoneSilenceFactor)
	unreachableLimit := m.HeartbeatOverdueLimit()
	counts := map[int32]zones.Count{}
	for _, machine := range m.Fleet.Machines() {
		if machine.Condition == fleet.Terminated || machine.Zone == jobs.None {
			continue
		}
		count := counts[machine.Zone]
		count.Machines++
		switch silence := m.observedSilence(now, machine); {
		case silence > longUnreachableLimit:
			count.LongUnreachable++
			count.Unreachable++
		case silence > unreachableLimit:
			count.Unreachable++
		}
		counts[machine.Zone] = count
	}
	return counts
}

// onZoneStateChange logs a zone's change of state and adds an event.
func (m *Manager) onZoneStateChange(now time.Duration, zone int32, from, to zones.State, count zones.Count) {
	name := m.Names.Zones.Name(zone)
	slog.Info("zone state changed",
		"zone", name,
		"from", from.String(),
		"to", to.String(),
		"machines", count.Machines,
		"quiet", count.Unreachable,
		"silent", count.LongUnreachable,
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
