package capacity

import (
	"time"

	"github.com/harewalk/harewalk/internal/fleet"
	"github.com/harewalk/harewalk/internal/jobs"
)

// returnCause is why a machine is returned. Operators see it in logs and events.
type returnCause string

// The causes of a return.
const (
	causeBootTimeout returnCause = "never came up"
	causeFailed      returnCause = "failed" // by the cloud's list
	causeUnlisted    returnCause = "no longer listed"
	causeSilent      returnCause = "silent" // no heartbeats
	// causeOneWay: its heartbeats arrive, and it gets no response.
	causeOneWay      returnCause = "deaf"
	causeLeaseExpiry returnCause = "lost"
	causeFaulty      returnCause = "faulty"
	causeIdle        returnCause = "idle"
	causeRetired     returnCause = "retired" // it was stopped for its return and runs nothing any more
)

// fleetHealth summarizes the machines that should send heartbeats.
type fleetHealth struct {
	silenceLimit time.Duration // a machine without heartbeats for longer is silent
	isSteady     bool          // the controller has had authority for long enough to hear every reachable worker
	up           int
	idle         int
	silent       int
}

// fewSilent reports whether few machines are silent. Many at once are probably cut off rather than dead.
func (h fleetHealth) fewSilent() bool { return h.silent <= max(1, h.up/4) }

// someHeard reports whether any machine isn't silent.
func (h fleetHealth) someHeard() bool { return h.silent < h.up }

// evaluateMachines finds the machines to return: those that never boot, unreachable and faulty ones, and idle ones
// beyond the headroom. isSteady is as in fleetHealth.
func (m *Manager) evaluateMachines(now time.Duration, isSteady bool) {
	m.evaluateBoots(now)
	m.evaluateZones(now)
	health := m.fleetHealth(now, isSteady)
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

// fleetHealth counts the machines that should send heartbeats, and those of them that are idle or silent.
func (m *Manager) fleetHealth(now time.Duration, isSteady bool) fleetHealth {
	health := fleetHealth{silenceLimit: jobs.Seconds(m.Settings.Operator.MachineUnheardTimeoutS), isSteady: isSteady}
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

// evaluateMachine returns a machine if there is a cause.
func (m *Manager) evaluateMachine(now time.Duration, machine *fleet.Machine, health fleetHealth) {
	switch machine.Condition {
	case fleet.Ready:
		m.evaluateReady(now, machine, health)
	case fleet.Registered:
		if m.isSilent(now, machine, health) {
			m.toReturn[machine.Name] = causeSilent
		}
	case fleet.OneWayUnreachable:
		m.evaluateOneWay(now, machine, health)
	case fleet.LeaseExpired:
		if m.isLost(now, machine, health) {
			m.toReturn[machine.Name] = causeLeaseExpiry
		}
	}
	// Also a machine that was stopped for its return just now.
	if machine.Returning && machine.Condition == fleet.ReclaimNoticed && len(machine.Tasks) == 0 {
		m.toReturn[machine.Name] = causeRetired
	}
}

// evaluateReady returns a ready machine that is silent. One that is faulty or surplus gets no more work first.
func (m *Manager) evaluateReady(now time.Duration, machine *fleet.Machine, health fleetHealth) {
	switch {
	case m.isSilent(now, machine, health):
		m.toReturn[machine.Name] = causeSilent
	case m.Fleet.Faulty(machine):
		m.Fleet.ReturnMachine(machine, string(causeFaulty))
	case m.isSurplus(now, machine):
		m.Fleet.ReturnMachine(machine, string(causeIdle))
	}
}

// evaluateOneWay returns a machine that gets no responses once a replacement would have paid off. Since its
// heartbeats arrive, it isn't the controller that is cut off.
func (m *Manager) evaluateOneWay(now time.Duration, machine *fleet.Machine, health fleetHealth) {
	limit := max(health.silenceLimit, m.retentionTime(machine))
	switch {
	case m.isSilent(now, machine, health):
		m.toReturn[machine.Name] = causeSilent
	case health.isSteady && health.someHeard() && now-machine.LastContactAt > limit:
		m.toReturn[machine.Name] = causeOneWay
	}
}

// isSilent reports whether a machine has been silent for too long, and that isn't due to a cut.
func (m *Manager) isSilent(now time.Duration, machine *fleet.Machine, health fleetHealth) bool {
	return now-machine.LastContactAt > health.silenceLimit && health.isSteady && health.silent > 0 && health.fewSilent()
}

// isLost reports whether a machine whose lease has expired is to be returned. Even if many are silent, keeping one
// for longer than its retention time costs more than it can save.
func (m *Manager) isLost(now time.Duration, machine *fleet.Machine, health fleetHealth) bool {
	silence := now - machine.LastContactAt
	limit := 2 * health.silenceLimit
	if !health.isSteady || silence <= limit || now-machine.LastHeartbeatAt <= health.silenceLimit {
		return false
	}
	return health.fewSilent() || (silence > limit+m.retentionTime(machine) && health.someHeard())
}

// isSurplus reports whether a machine has been idle for too long, while more is idle than the headroom allows.
func (m *Manager) isSurplus(now time.Duration, machine *fleet.Machine) bool {
	return isIdle(machine) &&
		now-machine.IdleSince > m.idleLimit(machine) &&
		m.idleExceedsHeadroom() &&
		!m.Zones.HasRecoveringZones()
}

// defaultUsefulS stands for the time until a machine of an unknown type is useful, in seconds.
const defaultUsefulS = 60.0

// retentionTime is how long a machine that may be cut off is kept: twice as long as a replacement takes.
func (m *Manager) retentionTime(machine *fleet.Machine) time.Duration {
	seconds := defaultUsefulS
	if machineType := m.machineType(machine.Type); machineType != nil {
		seconds = m.secondsUntilUseful(machineType)
	}
	return jobs.Seconds(2 * seconds)
}
