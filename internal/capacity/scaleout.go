package capacity

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/fleet"
	"github.com/harewalk/harewalk/internal/httpio"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/planner"
)

const (
	// horizonFactor scales the planning horizon. Below 1, machines are rented for work that those at hand would get
	// to before a new one is useful.
	horizonFactor = 0.25
	// maxMachinesPerRequest is the cloud API's limit.
	maxMachinesPerRequest = 50
	// maxHeadroomPerRequest bounds the machines rented ahead of need in one request.
	maxHeadroomPerRequest = 5
	// refusalBackoff is for how long an offer isn't requested after the cloud had too little of it.
	refusalBackoff = 20 * time.Second
)

// capacityBin is a machine, present, booting or to be rented, with the work that it can do within the horizon.
type capacityBin struct {
	offer
	free planner.Size // resource-seconds
}

// scaleOutPlan packs the waiting work into the present machines, as resource-seconds within a horizon, and adds
// machines for what is left over.
type scaleOutPlan struct {
	manager  *Manager
	now      time.Duration
	horizonS float64 // seconds until a new machine would be useful, scaled
	machines int     // present, booting and to be rented
	bins     []*capacityBin
	toRent   map[offer]int
}

// scaleOut requests the machines that the waiting work needs beyond those at hand, or else some ahead of need. It
// sends one request at most.
func (m *Manager) scaleOut(now time.Duration) {
	if len(m.Types()) == 0 || !m.Fleet.PlansLoaded() {
		return
	}
	plan := m.planScaleOut(now)
	if o, count := plan.mostNeeded(); count > 0 {
		m.requestMachines(now, o, min(count, maxMachinesPerRequest))
		return
	}
	m.rentHeadroom(now, plan.machines)
}

// planScaleOut packs the waiting work into the machines at hand and those that are still to be requested.
func (m *Manager) planScaleOut(now time.Duration) *scaleOutPlan {
	plan := &scaleOutPlan{manager: m, now: now, horizonS: m.planningHorizonS(), toRent: map[offer]int{}}
	clear(m.machinesByZone)
	plan.addMachines()
	plan.addBoots()
	m.updateAtLimit(plan.machines)
	for _, need := range m.Fleet.Demand(now) {
		plan.pack(need)
	}
	return plan
}

// planningHorizonS is the scaled time until a new machine is useful, in seconds, by the slowest type.
func (m *Manager) planningHorizonS() float64 {
	horizonS := 0.0
	for i := range m.Types() {
		horizonS = max(horizonS, m.secondsUntilUseful(&m.Types()[i]))
	}
	return horizonS * horizonFactor
}

// addMachines adds the present machines, less the work that they are expected to do.
func (p *scaleOutPlan) addMachines() {
	m := p.manager
	for _, machine := range m.Fleet.Machines() {
		if machine.Condition == fleet.LeaseExpired || machine.Condition == fleet.Terminated {
			continue
		}
		p.machines++
		if machine.Condition == fleet.Ready {
			m.machinesByZone[machine.Zone]++
		}
		if !acceptsWork(machine) {
			continue
		}
		o := offer{typeIndex: machine.Type, zone: machine.Zone, isSpot: machine.Spot}
		bin := &capacityBin{offer: o, free: machine.Capacity.Scale(p.horizonS)}
		for _, work := range m.Fleet.ExpectedWork(p.now, machine) {
			bin.free = bin.free.Sub(work.Size.Scale(min(work.Remaining, p.horizonS)))
		}
		p.bins = append(p.bins, bin)
	}
}

// acceptsWork reports whether a present machine counts as capacity for waiting work.
func acceptsWork(machine *fleet.Machine) bool {
	if machine.Condition == fleet.ReclaimNoticed || machine.Condition == fleet.OneWayUnreachable {
		return false
	}
	isDescribed := machine.Type != jobs.None && machine.Capacity != (planner.Size{})
	return isDescribed && !machine.Quarantined
}

// addBoots adds the machines that boot, but for the overdue ones, which are replaced.
func (p *scaleOutPlan) addBoots() {
	m := p.manager
	p.machines += len(m.boots)
	overdue := m.overdueBoots(p.now)
	for _, name := range slices.Sorted(maps.Keys(m.boots)) { // sorted: the plan must be deterministic
		boot := m.boots[name]
		// Without this, one request after the other would go to the same zone.
		m.machinesByZone[boot.zone]++
		if machineType := m.machineType(boot.typeIndex); machineType != nil && !overdue[name] {
			bin := &capacityBin{offer: boot.offer, free: machineType.Size().Scale(p.horizonS)}
			p.bins = append(p.bins, bin)
		}
	}
}

// pack places the tasks of a need on the planned machines, and adds machines for those that are left over.
func (p *scaleOutPlan) pack(need fleet.Need) {
	secondsPerTask := min(max(need.Seconds, 1), p.horizonS)
	if need.StartTogether {
		secondsPerTask = p.horizonS
	}
	work := need.Job.Spec.Size().Scale(secondsPerTask)
	spread := p.manager.zoneSpread(need.Job)
	left := p.packBins(need.Job, need.Tasks, work, spread)
	p.packNewMachines(need.Job, left, work, spread)
}

// packBins places tasks on the planned machines and returns how many are left over. work is that of one task.
func (p *scaleOutPlan) packBins(job *jobs.Job, tasks int, work planner.Size, spread zoneSpread) (left int) {
	left = tasks
	for _, bin := range p.bins {
		if left == 0 {
			break
		}
		if work.Fits(bin.free) && bin.allowedFor(job) && !spread.isFull(bin.zone) {
			left -= bin.place(left, work, spread)
		}
	}
	return left
}

// packNewMachines adds machines for tasks, up to the limit on machines.
func (p *scaleOutPlan) packNewMachines(job *jobs.Job, tasks int, work planner.Size, spread zoneSpread) {
	m := p.manager
	for left := tasks; left > 0 && p.machines < m.Settings.Operator.MaxMachines; {
		o, found := m.chooseOffer(p.now, job, spread)
		if !found {
			return
		}
		bin := &capacityBin{offer: o, free: m.machineType(o.typeIndex).Size().Scale(p.horizonS)}
		if work.Copies(bin.free) <= 0 {
			return
		}
		left -= bin.place(left, work, spread)
		p.machines++
		p.bins = append(p.bins, bin)
		p.toRent[o]++
	}
}

// place takes the work of at most count tasks and returns how many it took.
func (b *capacityBin) place(count int, work planner.Size, spread zoneSpread) int {
	placed := spread.place(b.zone, min(count, work.Copies(b.free)))
	b.free = b.free.Sub(work.Scale(float64(placed)))
	return placed
}

// mostNeeded returns the offer of which most machines are to be rented, and how many; none if the count is 0.
func (p *scaleOutPlan) mostNeeded() (best offer, count int) {
	for o, needed := range p.toRent {
		if needed > count || (needed == count && o.less(best)) {
			best = o
			count = needed
		}
	}
	return best, count
}

// AtMaxMachines reports whether there are as many machines as max_machines allows, so that none are rented.
func (m *Manager) AtMaxMachines() bool { return m.atLimit }

// updateAtLimit logs when max_machines begins or ceases to bind, and which resource it follows from.
func (m *Manager) updateAtLimit(machines int) {
	operator := m.Settings.Operator
	atLimit := machines >= operator.MaxMachines
	if atLimit == m.atLimit {
		return
	}
	m.atLimit = atLimit
	if atLimit {
		slog.Warn("as many machines as are allowed: nothing more is rented",
			"machines", machines,
			"max_machines", operator.MaxMachines,
			"bound_by", string(operator.MachinesBound),
		)
		return
	}
	slog.Info("fewer machines than are allowed", "machines", machines, "max_machines", operator.MaxMachines)
}

// rentHeadroom rents ahead of need: a part of what the fleet costs may be idle, so that a burst of jobs needn't
// wait for boots. The first class of jobs for whose cheapest machine the budget suffices is served.
func (m *Manager) rentHeadroom(now time.Duration, machines int) {
	allowed := m.Settings.Operator.MaxMachines - machines
	if allowed <= 0 {
		return
	}
	cost := m.fleetCost()
	budget := m.Settings.Operator.Headroom * cost.total
	unused := budget - cost.idle
	for _, job := range m.Fleet.JobPerClass() {
		o, found := m.chooseOffer(now, job, zoneSpread{})
		if !found {
			continue
		}
		price := m.machineType(o.typeIndex).hourlyPrice(o.isSpot)
		if count := int(unused / price); count > 0 {
			m.requestMachines(now, o, min(count, maxHeadroomPerRequest, allowed))
			return
		}
	}
}

// requestMachines requests machines of an offer, under a claim that was never used before. If the outcome is
// indeterminate, any machines that were rented appear in the cloud's list.
func (m *Manager) requestMachines(now time.Duration, o offer, count int) {
	m.claims++
	body := rentBody{
		Type:   m.Names.Types.Name(o.typeIndex),
		Claim:  fmt.Sprintf("r-%d-%d", m.Term, m.claims),
		Count:  count,
		Zone:   m.Names.Zones.Name(o.zone),
		IsSpot: o.isSpot,
	}
	m.renting = m.call(http.MethodPost, "/machines", body, func(response httpio.Response) {
		m.renting = false
		m.handleRented(now, o, body, response)
	})
	if m.renting {
		m.nextScaleOut = now + scaleOutRequestInterval
	}
}

// handleRented adds the boots of a request that was sent at requestedAt, and backs off from an offer of which the
// cloud has too little.
func (m *Manager) handleRented(requestedAt time.Duration, o offer, request rentBody, response httpio.Response) {
	now := m.Cloud.now()
	if response.Err == nil && response.Status == http.StatusTooManyRequests {
		return
	}
	var rented machineNamesBody
	if !isOK(response) || json.Unmarshal(response.Body, &rented) != nil {
		m.refusedUntil[o] = now + refusalBackoff
		return
	}
	for _, name := range rented.Names {
		m.boots[name] = &pendingBoot{offer: o, startedAt: requestedAt}
	}
	if len(rented.Names) < request.Count {
		m.refusedUntil[o] = now + refusalBackoff
	}
	slog.Info("machines rented",
		"claim", request.Claim,
		"type", request.Type,
		"zone", request.Zone,
		"spot", request.IsSpot,
		"asked", request.Count,
		"got", len(rented.Names),
		"term", m.Term,
	)
}
