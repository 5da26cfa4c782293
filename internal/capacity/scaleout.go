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
	// horizonFactor scales the planning horizon. With a factor below 1, machines are also rented for work that the
	// present machines would start before a new machine is useful.
	horizonFactor = 0.25
	// maxMachinesPerRequest is the cloud API's limit.
	maxMachinesPerRequest = 50
	// maxHeadroomPerRequest bounds the machines rented ahead of need in one request.
	maxHeadroomPerRequest = 5
	// refusalBackoff is for how long an offer isn't requested after the cloud had too few machines of it.
	refusalBackoff = 20 * time.Second
)

// capacityBin is a machine, present, booting or to be rented, with the work that it can still do within the horizon.
type capacityBin struct {
	offer
	free    planner.Size   // resource-seconds
	machine *fleet.Machine // nil unless the machine is present
}

// scaleOutPlan packs the waiting work, in resource-seconds, into the present and booting machines within a horizon. It
// adds machines for the work that doesn't fit.
type scaleOutPlan struct {
	manager  *Manager
	now      time.Duration
	horizonS float64 // seconds until a new machine would be useful, times horizonFactor
	machines int     // number of machines: present, booting and to be rented
	bins     []*capacityBin
	toRent   map[offer]int // number of machines to rent
}

// scaleOut requests machines for the waiting work that the present and booting machines can't do. If there is no such
// work, it rents machines ahead of need. It sends at most one request.
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

// planScaleOut packs the waiting work into the present and booting machines and into machines that are to be rented.
func (m *Manager) planScaleOut(now time.Duration) *scaleOutPlan {
	plan := &scaleOutPlan{manager: m, now: now, horizonS: m.planningHorizonS(), toRent: map[offer]int{}}
	clear(m.machinesByZone)
	m.forgetAwaited(now)
	plan.addMachines()
	plan.addBoots()
	m.updateAtLimit(plan.machines)
	for _, demand := range m.Fleet.Demand(now) {
		plan.pack(demand)
	}
	return plan
}

// planningHorizonS returns the planning horizon in seconds: the time until a new machine of the slowest type would be
// useful, times horizonFactor.
func (m *Manager) planningHorizonS() float64 {
	horizonS := 0.0
	for i := range m.Types() {
		horizonS = max(horizonS, m.secondsUntilUseful(&m.Types()[i]))
	}
	return horizonS * horizonFactor
}

// addMachines adds the present machines, with their capacity less the work that they are expected to do.
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
		bin := &capacityBin{offer: o, free: machine.Capacity.Scale(p.horizonS), machine: machine}
		for _, work := range m.Fleet.ExpectedWork(p.now, machine) {
			bin.free = bin.free.Sub(work.Size.Scale(min(work.Remaining, p.horizonS)))
		}
		p.bins = append(p.bins, bin)
	}
}

// acceptsWork reports whether a present machine counts as capacity for waiting work. Its size has to be known,
// responses have to reach it, and it must not be quarantined, about to be reclaimed, or about to be returned.
func acceptsWork(machine *fleet.Machine) bool {
	if machine.Condition == fleet.ReclaimNoticed || machine.Condition == fleet.OneWayUnreachable {
		return false
	}
	isSizeKnown := machine.Type != jobs.None && machine.Capacity != (planner.Size{})
	return isSizeKnown && !machine.Quarantined
}

// addBoots adds the booting machines. Overdue machines that are to be replaced count as machines, but not as capacity.
func (p *scaleOutPlan) addBoots() {
	m := p.manager
	p.machines += len(m.boots)
	overdue := m.overdueBoots(p.now)
	for _, name := range slices.Sorted(maps.Keys(m.boots)) { // sorted: the plan must be deterministic
		boot := m.boots[name]
		// If booting machines weren't counted here, consecutive requests would all go to the same zone.
		m.machinesByZone[boot.zone]++
		if machineType := m.machineType(boot.typeIndex); machineType != nil && !overdue[name] {
			bin := &capacityBin{offer: boot.offer, free: machineType.Size().Scale(p.horizonS)}
			p.bins = append(p.bins, bin)
		}
	}
}

// pack places the tasks of a need on the planned machines, and adds machines for the tasks that don't fit.
func (p *scaleOutPlan) pack(demand fleet.TaskDemand) {
	secondsPerTask := min(max(demand.Seconds, 1), p.horizonS)
	if demand.StartTogether {
		secondsPerTask = p.horizonS
	}
	taskWork := demand.Job.Spec.Size().Scale(secondsPerTask)
	unplaced := waitingTasks{
		job:      demand.Job,
		count:    demand.Tasks,
		taskWork: taskWork,
		spread:   p.manager.zoneSpread(demand.Job),
		zone:     jobs.None,
	}
	if demand.Job.Spec.OneZone && demand.Job.TaskCount > 1 && !p.chooseZone(&unplaced) {
		return
	}
	p.packBins(&unplaced)
	p.packNewMachines(&unplaced)
}

// waitingTasks are the tasks of a need that have no place in the plan yet.
type waitingTasks struct {
	job      *jobs.Job
	count    int
	taskWork planner.Size // work of one task, in resource-seconds
	spread   zoneSpread
	zone     int32 // the only zone for the tasks; jobs.None: any zone
}

// allows reports whether tasks may be placed on a machine of an offer.
func (w *waitingTasks) allows(o offer) bool {
	return (w.zone == jobs.None || w.zone == o.zone) && o.allowedFor(w.job) && !w.spread.isFull(o.zone)
}

// packBins places tasks on the planned machines.
func (p *scaleOutPlan) packBins(unplaced *waitingTasks) {
	for _, bin := range p.bins {
		if unplaced.count == 0 {
			return
		}
		if !unplaced.taskWork.Fits(bin.free) || !unplaced.allows(bin.offer) {
			continue
		}
		placed := bin.place(unplaced.count, unplaced.taskWork, unplaced.spread)
		unplaced.count -= placed
		if placed > 0 && bin.machine != nil && unplaced.zone != jobs.None {
			p.manager.awaitedInZone[bin.machine.Index] = p.now
		}
	}
}

// packNewMachines adds machines for tasks, up to max_machines. It stops if no offer is suitable.
func (p *scaleOutPlan) packNewMachines(unplaced *waitingTasks) {
	m := p.manager
	for unplaced.count > 0 && p.machines < m.Settings.Operator.MaxMachines {
		o, found := m.chooseOffer(p.now, unplaced.job, unplaced.spread, unplaced.zone)
		if !found {
			return
		}
		bin := &capacityBin{offer: o, free: m.machineType(o.typeIndex).Size().Scale(p.horizonS)}
		if unplaced.taskWork.FitCount(bin.free) <= 0 {
			return
		}
		unplaced.count -= bin.place(unplaced.count, unplaced.taskWork, unplaced.spread)
		p.machines++
		p.bins = append(p.bins, bin)
		p.toRent[o]++
	}
}

// place adds at most count tasks to a machine and returns the number of tasks added. taskWork is the work of each.
func (b *capacityBin) place(count int, taskWork planner.Size, spread zoneSpread) int {
	placed := spread.place(b.zone, min(count, taskWork.FitCount(b.free)))
	b.free = b.free.Sub(taskWork.Scale(float64(placed)))
	return placed
}

// mostNeeded returns the offer of which the most machines are to be rented, and their number. If the count is 0, no
// machine is to be rented.
func (p *scaleOutPlan) mostNeeded() (best offer, count int) {
	for o, needed := range p.toRent {
		if needed > count || (needed == count && o.less(best)) {
			best = o
			count = needed
		}
	}
	return best, count
}

// AtMaxMachines reports whether the number of machines has reached max_machines, so that no more are rented.
func (m *Manager) AtMaxMachines() bool { return m.atLimit }

// updateAtLimit logs when the number of machines reaches max_machines or falls below it. bound_by in the log is the
// resource or setting from which max_machines follows.
func (m *Manager) updateAtLimit(machines int) {
	operator := m.Settings.Operator
	atLimit := machines >= operator.MaxMachines
	if atLimit == m.atLimit {
		return
	}
	m.atLimit = atLimit
	if atLimit {
		slog.Warn("max_machines reached: no more machines are rented",
			"machines", machines,
			"max_machines", operator.MaxMachines,
			"bound_by", string(operator.MachinesBound),
		)
		return
	}
	slog.Info("number of machines below max_machines again", "machines", machines, "max_machines", operator.MaxMachines)
}

// rentHeadroom rents machines ahead of need, so that a burst of jobs needn't wait for boots. Its budget is the part of
// the fleet's hourly cost that may be idle. It rents for the first class of jobs whose cheapest machine the unused
// budget pays for.
func (m *Manager) rentHeadroom(now time.Duration, machines int) {
	allowed := m.Settings.Operator.MaxMachines - machines
	if allowed <= 0 {
		return
	}
	cost := m.fleetCost()
	budget := m.Settings.Operator.Headroom * cost.total
	unused := budget - cost.idle
	for _, job := range m.Fleet.JobPerClass() {
		o, found := m.chooseOffer(now, job, zoneSpread{}, jobs.None)
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

// requestMachines requests machines of an offer, under a claim that was never used before. If the request's outcome is
// unknown, machines that were rented are found in the cloud's list.
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

// handleRented adds the boots of a request that was sent at requestedAt. If the request failed or the cloud had fewer
// machines than requested, it starts the backoff for the offer; a response 429 starts none.
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
