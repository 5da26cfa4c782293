package capacity

import (
	"log/slog"
	"maps"
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/fleet"
	"github.com/harewalk/harewalk/internal/httpio"
	"github.com/harewalk/harewalk/internal/jobs"
)

const (
	// quiescentIdleLimitS is the maximum idle limit while there is no live job at all, in seconds.
	quiescentIdleLimitS = 30.0
	// costObjectiveIdleFactor shortens the idle limit if an objective measures cost.
	costObjectiveIdleFactor = 0.5
	// minIdleLimitFactor is the minimum result of the function idleLimitFactor.
	minIdleLimitFactor = 0.15
	// maxReturnsPerRequest is the maximum number of machines in one request to return machines.
	maxReturnsPerRequest = 100
)

// idleLimit returns how long a machine is kept idle. The default is the time until a new machine would run a task:
// replacing the machine would cost as much as keeping it for that time. Since it can't be predicted whether work
// arrives before, this default bounds the cost to twice the cost of the best choice.
func (m *Manager) idleLimit(machine *fleet.Machine) time.Duration {
	seconds := m.Settings.Operator.MachineIdleTimeoutS
	machineType := m.machineType(machine.Type)
	if seconds == 0 && machineType != nil {
		seconds = m.secondsUntilUseful(machineType)
	}
	if m.Settings.HasCostObjective() {
		seconds *= costObjectiveIdleFactor
	}
	seconds *= m.idleLimitFactor
	if m.Fleet.HasNoLiveJobs() {
		seconds = min(seconds, quiescentIdleLimitS)
	}
	return jobs.Seconds(seconds)
}

// idleLimitFactor returns the factor on the idle limit, from minIdleLimitFactor to 1. The factor is below 1 if more
// machines are idle than the headroom and random variation of the demand call for. In a small fleet several machines
// may be idle by chance and be needed soon after. The demand on a large fleet varies by about the square root of the
// fleet's size; machines that are idle beyond this variation aren't needed soon.
func idleLimitFactor(up, idle int, headroom float64) float64 {
	target := max(headroom*float64(up), 2*math.Sqrt(float64(up)))
	return min(1, max(minIdleLimitFactor, target/max(1, float64(idle))))
}

// idleExceedsHeadroom reports whether the idle machines cost more than the headroom allows. Without a live job it is
// always true.
func (m *Manager) idleExceedsHeadroom() bool {
	if m.Fleet.HasNoLiveJobs() {
		return true
	}
	cost := m.fleetCost()
	return cost.idle > m.Settings.Operator.Headroom*cost.total
}

// fleetCost is the price of the machines per hour.
type fleetCost struct {
	total float64
	idle  float64 // part of the total for machines that are booting or have no tasks
}

// fleetCost sums up the hourly prices of the present and the booting machines.
func (m *Manager) fleetCost() fleetCost {
	var cost fleetCost
	for _, machine := range m.Fleet.Machines() {
		isGone := machine.Condition == fleet.LeaseExpired || machine.Condition == fleet.Terminated
		if isGone || machine.Type == jobs.None {
			continue
		}
		price := m.hourlyPrice(machine.Type, machine.Spot)
		cost.total += price
		if len(machine.Tasks) == 0 {
			cost.idle += price
		}
	}
	for _, boot := range m.boots {
		price := m.hourlyPrice(boot.typeIndex, boot.isSpot)
		cost.total += price
		cost.idle += price
	}
	return cost
}

// hourlyPrice returns the price of a machine, or 0 if the cloud no longer offers the machine's type.
func (m *Manager) hourlyPrice(typeIndex int32, isSpot bool) float64 {
	machineType := m.machineType(typeIndex)
	if machineType == nil {
		return 0
	}
	return machineType.hourlyPrice(isSpot)
}

// returnMachines requests the return of the machines in toReturn, at most maxReturnsPerRequest of them, in the order of
// their names. It sends one request at a time.
func (m *Manager) returnMachines() {
	if m.returning || len(m.toReturn) == 0 {
		return
	}
	names := slices.Sorted(maps.Keys(m.toReturn))
	names = names[:min(len(names), maxReturnsPerRequest)]
	body := machineNamesBody{Names: names}
	m.returning = m.call(http.MethodPost, "/machines/return", body, func(response httpio.Response) {
		m.returning = false
		if isOK(response) {
			m.handleReturned(names)
		}
	})
}

// handleReturned logs and records that the cloud has confirmed the return of machines.
func (m *Manager) handleReturned(names []string) {
	now := m.Cloud.now()
	for _, name := range names {
		cause := m.toReturn[name]
		slog.Info("machine returned", "machine", name, "cause", string(cause), "term", m.Term)
		if machine := m.Fleet.FindMachine(name); machine != nil {
			m.Fleet.HandleTerminated(now, machine, string(cause))
		}
		delete(m.toReturn, name)
		delete(m.boots, name)
		m.returnedAt[name] = now
	}
}
