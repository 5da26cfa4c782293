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
	// quiescentIdleLimitS is how long a machine is kept idle while there is no job at all, in seconds.
	quiescentIdleLimitS = 30.0
	// costObjectiveIdleFactor shortens the idle limit where the operators have set a cost objective.
	costObjectiveIdleFactor = 0.5
	// minIdleLimitFactor bounds how much the idle limit is shortened.
	minIdleLimitFactor = 0.15
	// maxReturnsPerRequest is how many machines are returned in one request.
	maxReturnsPerRequest = 100
)

// idleLimit is how long a machine is kept idle. By default that is how long a new machine takes until it is useful:
// the same money would be spent on replacing it. It isn't known whether work arrives before, and this bounds the
// cost to twice that of the best choice.
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
	if m.Fleet.Quiescent() {
		seconds = min(seconds, quiescentIdleLimitS)
	}
	return jobs.Seconds(seconds)
}

// idleLimitFactor shortens the idle limit, up to 1, while more machines are idle than the headroom and chance call
// for. Several machines of a small fleet may be idle at once and be needed the next moment; the demand on a large
// one varies by about the root of its size, and what is idle beyond that isn't needed soon.
func idleLimitFactor(up, idle int, headroom float64) float64 {
	target := max(headroom*float64(up), 2*math.Sqrt(float64(up)))
	return min(1, max(minIdleLimitFactor, target/max(1, float64(idle))))
}

// idleExceedsHeadroom reports whether more is idle than the headroom allows.
func (m *Manager) idleExceedsHeadroom() bool {
	if m.Fleet.Quiescent() {
		return true
	}
	cost := m.fleetCost()
	return cost.idle > m.Settings.Operator.Headroom*cost.total
}

// fleetCost is what the machines cost per hour.
type fleetCost struct {
	total float64
	idle  float64 // of those that boot or run nothing
}

// fleetCost sums up the prices of the machines at hand and of those that boot.
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

// hourlyPrice is the price of a machine, 0 if its type isn't offered any more.
func (m *Manager) hourlyPrice(typeIndex int32, isSpot bool) float64 {
	machineType := m.machineType(typeIndex)
	if machineType == nil {
		return 0
	}
	return machineType.hourlyPrice(isSpot)
}

// returnMachines requests the return of the machines for which there is a cause, the first by name.
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

// handleReturned records that the cloud has confirmed the return of machines.
func (m *Manager) handleReturned(names []string) {
	now := m.Cloud.now()
	for _, name := range names {
		cause := m.toReturn[name]
		slog.Info("machine returned", "machine", name, "cause", string(cause), "term", m.Term)
		if machine := m.Fleet.FindMachine(name); machine != nil {
			m.Fleet.HandleReturned(now, machine, string(cause))
		}
		delete(m.toReturn, name)
		delete(m.boots, name)
		m.returnedAt[name] = now
	}
}
