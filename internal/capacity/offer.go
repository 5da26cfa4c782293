package capacity

import (
	"math"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

// offer is a kind of machine that can be rented: a type in a zone, as a spot or an on-demand instance.
type offer struct {
	typeIndex, zone int32
	isSpot          bool
}

// less orders offers. It makes the choice deterministic if equally many machines of several offers are needed.
func (o offer) less(other offer) bool {
	if o.typeIndex != other.typeIndex {
		return o.typeIndex < other.typeIndex
	}
	if o.zone != other.zone {
		return o.zone < other.zone
	}
	return o.isSpot && !other.isSpot
}

// allowedFor reports whether a job's spec allows machines of the offer.
func (o offer) allowedFor(job *jobs.Job) bool { return job.Allows(o.typeIndex, o.zone, o.isSpot) }

// zoneSpread counts the tasks of a job in each zone, if the job limits the tasks in a zone.
type zoneSpread struct {
	limit int           // maximum number of tasks in each zone, 0: unlimited
	tasks map[int32]int // number of tasks by zone, nil without a limit
}

// zoneSpread returns the spread of a job's tasks over the zones, as Fleet.TasksByZone counts them.
func (m *Manager) zoneSpread(job *jobs.Job) zoneSpread {
	limit := job.Spec.ZoneLimit()
	if limit <= 0 {
		return zoneSpread{}
	}
	return zoneSpread{limit: limit, tasks: m.Fleet.TasksByZone(job)}
}

// isFull reports whether a zone has reached the limit on tasks.
func (s zoneSpread) isFull(zone int32) bool { return s.limit > 0 && s.tasks[zone] >= s.limit }

// place adds at most count tasks to a zone and returns the number of tasks added.
func (s zoneSpread) place(zone int32, count int) int {
	if s.limit == 0 {
		return count
	}
	placed := min(count, s.limit-s.tasks[zone])
	s.tasks[zone] += placed
	return placed
}

// zonePenalty is added to the price of an offer for each machine in its zone. It is so small that it only decides
// between offers of equal price. Machines are spread evenly over the zones, so that the loss of a zone doesn't cut off
// all of them.
const zonePenalty = 1e-6

// chooseOffer returns the offer with the lowest price for one task of a job. It considers the offers that the job, its
// zone limit and the zones' state allow and that aren't in the backoff after a refusal, in one zone unless onlyZone is
// jobs.None. The price for a task is the
// price of the machine divided by the number of tasks that fit on it, so that a machine with GPUs isn't chosen for a
// task without GPUs.
func (m *Manager) chooseOffer(
	now time.Duration, job *jobs.Job, spread zoneSpread, onlyZone int32,
) (best offer, found bool) {
	best, price := m.cheapestOffer(now, job, spread, onlyZone)
	return best, !math.IsInf(price, 1)
}

// cheapestOffer returns the offer of chooseOffer and its price for one task, which is infinite if there is no offer.
func (m *Manager) cheapestOffer(
	now time.Duration, job *jobs.Job, spread zoneSpread, onlyZone int32,
) (best offer, bestPrice float64) {
	bestPrice = math.Inf(1)
	for _, machineType := range m.Types() {
		tasks := job.Spec.Size().FitCount(machineType.Size())
		if tasks <= 0 {
			continue
		}
		typeIndex := m.Names.Types.Index(machineType.Name)
		for _, zoneName := range machineType.Zones {
			zone := m.Names.Zones.Index(zoneName)
			isOther := onlyZone != jobs.None && zone != onlyZone
			if isOther || spread.isFull(zone) || !m.Zones.AllowsRenting(zone) {
				continue
			}
			for _, isSpot := range [...]bool{true, false} {
				o := offer{typeIndex: typeIndex, zone: zone, isSpot: isSpot}
				price := machineType.hourlyPrice(isSpot)
				if price <= 0 || !o.allowedFor(job) || now < m.refusedUntil[o] {
					continue
				}
				taskPrice := price/float64(tasks) + zonePenalty*float64(m.machinesByZone[zone])
				if taskPrice < bestPrice {
					best = o
					bestPrice = taskPrice
				}
			}
		}
	}
	return best, bestPrice
}
