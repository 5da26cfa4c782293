package capacity

import (
	"time"

	"github.com/harewalk/harewalk/internal/fleet"
	"github.com/harewalk/harewalk/internal/jobs"
)

// returnCause is the reason for which a machine is returned, as shown in logs and events.
type returnCause string

// The causes of a return.
const (
	causeBootTimeout returnCause = "never came up"
	causeFailed      returnCause = "failed" // the cloud's list has it as failed
	causeUnlisted    returnCause = "no longer listed"
	causeSilent      returnCause = "silent" // no heartbeats
	// causeOneWay: the machine's heartbeats arrive, but responses don't reach it.
	causeOneWay      returnCause = "deaf"
	causeLeaseExpiry returnCause = "lost"
	causeFaulty      returnCause = "faulty"
	causeIdle        returnCause = "idle"
	causeRetired     returnCause = "retired" // no new tasks because of the return, and the last task has ended
)

// fleetHealth counts the machines from which heartbeats are expected.
type fleetHealth struct {
	silenceLimit      time.Duration // a machine without heartbeats for longer is silent
	authorityIsStable bool          // authority was held long enough for a heartbeat of every reachable worker
	up                int           // all machines from which heartbeats are expected
	idle              int           // machines of up without tasks
	silent            int           // machines of up without a heartbeat for silenceLimit
}

// fewSilent reports whether at most a quarter of the machines, or one, is silent. If more are silent at once, they are
// probably cut off by a network fault rather than dead.
func (h fleetHealth) fewSilent() bool { return h.silent <= max(1, h.up/4) }

// anyReachable reports whether at least one machine has sent heartbeats within the silence limit.
func (h fleetHealth) anyReachable() bool { return h.silent < h.up }

// evaluateMachines marks machines for return: those that never boot, unreachable and faulty machines, and idle machines
// beyond the headroom. authorityIsStable has the meaning of the field of fleetHealth.
func (m *Manager) evaluateMachines(now time.Duration, authorityIsStable bool) {
	m.evaluateBoots(now)
	m.evaluateZones(now)
	health := m.fleetHealth(now, authorityIsStable)
	m.idleLimitFactor = idleLimitFactor(health.up, health.idle, m.Settings.Operator.Headroom)
	for _, machine := range m.Fleet.Machines() {
		silence := now - machine.LastContactAt
		isRetained := silence > health.silenceLimit &&
			m.Zones.RetainsMachines(now, machine.Zone, m.retentionTime(machine))
		if !isRetained {
			m.evaluateMachine(now, machine, health)
		}
	}
}

// fleetHealth counts the machines from which heartbeats are expected, and how many of them are idle or silent.
func (m *Manager) fleetHealth(now time.Duration, authorityIsStable bool) fleetHealth {
	health := fleetHealth{
		silenceLimit:      jobs.Seconds(m.Settings.Operator.MachineSilenceTimeoutS),
		authorityIsStable: authorityIsStable,
	}
	for _, machine := range m.Fleet.Machines() {
		if !machine.Condition.ExpectsHeartbeats() {
			continue
		}
		health.up++
		if isIdle(machine) {
			health.idle++
		}
		if now-machine.LastContactAt > health.silenceLimit {
			health.silent++
		}
	}
	return health
}

// isIdle reports whether a machine has no tasks, neither running nor queued.
func isIdle(machine *fleet.Machine) bool { return len(machine.Tasks) == 0 && machine.QueuedTasks == 0 }

// evaluateMachine marks a machine for return if there is a cause.
func (m *Manager) evaluateMachine(now time.Duration, machine *fleet.Machine, health fleetHealth) {
	switch machine.Condition {
	case fleet.Ready:
		m.evaluateReady(now, machine, health)
	case fleet.Registered:
		if m.shouldReturnSilent(now, machine, health) {
			m.toReturn[machine.Name] = causeSilent
		}
	case fleet.OneWayUnreachable:
		m.evaluateOneWay(now, machine, health)
	case fleet.LeaseExpired:
		if m.shouldReturnExpired(now, machine, health) {
			m.toReturn[machine.Name] = causeLeaseExpiry
		}
	}
	// This includes a machine that the switch above has just set to returning.
	if machine.Returning && machine.Condition == fleet.ReclaimNoticed && len(machine.Tasks) == 0 {
		m.toReturn[machine.Name] = causeRetired
	}
}

// evaluateReady marks a ready machine for return if it is silent. A faulty or surplus machine gets no more tasks from
// now on, and is returned once it is empty.
func (m *Manager) evaluateReady(now time.Duration, machine *fleet.Machine, health fleetHealth) {
	switch {
	case m.shouldReturnSilent(now, machine, health):
		m.toReturn[machine.Name] = causeSilent
	case m.Fleet.IsFaulty(machine):
		m.Fleet.ReturnMachine(machine, string(causeFaulty))
	case m.isSurplus(now, machine):
		m.Fleet.ReturnMachine(machine, string(causeIdle))
	}
}

// evaluateOneWay marks a machine that responses don't reach for return, once a replacement would have paid off. Since
// the machine's heartbeats arrive, the controller isn't cut off, so this applies even if many machines are silent.
func (m *Manager) evaluateOneWay(now time.Duration, machine *fleet.Machine, health fleetHealth) {
	limit := max(health.silenceLimit, m.retentionTime(machine))
	switch {
	case m.shouldReturnSilent(now, machine, health):
		m.toReturn[machine.Name] = causeSilent
	case health.authorityIsStable && health.anyReachable() && now-machine.LastContactAt > limit:
		m.toReturn[machine.Name] = causeOneWay
	}
}

// shouldReturnSilent reports whether a machine has been silent for too long, while so few machines are silent that a
// network fault is unlikely.
func (m *Manager) shouldReturnSilent(now time.Duration, machine *fleet.Machine, health fleetHealth) bool {
	return now-machine.LastContactAt > health.silenceLimit &&
		health.authorityIsStable &&
		health.silent > 0 &&
		health.fewSilent()
}

// shouldReturnExpired reports whether a machine whose lease has expired is to be returned. Even if many machines are
// silent, keeping a machine for longer than its retention time costs more than it can save.
func (m *Manager) shouldReturnExpired(now time.Duration, machine *fleet.Machine, health fleetHealth) bool {
	silence := now - machine.LastContactAt
	limit := 2 * health.silenceLimit
	if !health.authorityIsStable || silence <= limit || now-machine.LastHeartbeatAt <= health.silenceLimit {
		return false
	}
	return health.fewSilent() || (silence > limit+m.retentionTime(machine) && health.anyReachable())
}

// isSurplus reports whether a machine has been idle for longer than its idle limit, while the idle machines cost more
// than the headroom allows and no zone is recovering.
func (m *Manager) isSurplus(now time.Duration, machine *fleet.Machine) bool {
	return isIdle(machine) &&
		now-machine.IdleSince > m.idleLimit(machine) &&
		!m.isAwaited(now, machine) &&
		m.idleExceedsHeadroom() &&
		!m.Zones.HasRecoveringZones()
}

// defaultUsefulS is the assumed time until a new machine of an unknown type runs its first task, in seconds.
const defaultUsefulS = 60.0

// retentionTime returns how long a machine that may be cut off is kept: twice the time until a replacement runs a task.
func (m *Manager) retentionTime(machine *fleet.Machine) time.Duration {
	seconds := defaultUsefulS
	if machineType := m.machineType(machine.Type); machineType != nil {
		seconds = m.secondsUntilUseful(machineType)
	}
	return jobs.Seconds(2 * seconds)
}
