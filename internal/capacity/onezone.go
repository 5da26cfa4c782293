package capacity

// The choice of the zone of a job whose tasks must all be in the same zone.

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/fleet"
)

// zoneOption is a zone in which the tasks of a job may be placed.
type zoneOption struct {
	zone    int32
	missing int     // number of tasks for which the planned machines have no room
	price   float64 // price for one task of the cheapest offer in the zone; infinite if there is none
}

// canRent reports whether there is a suitable offer in the zone.
func (o zoneOption) canRent() bool { return !math.IsInf(o.price, 1) }

// compareZoneOptions orders zones: those with room for all tasks come first, then those in which machines can be rented,
// by the number of tasks without room and the price.
func compareZoneOptions(a, b zoneOption) int {
	rank := func(option zoneOption) int {
		switch {
		case option.missing == 0:
			return 0
		case option.canRent():
			return 1
		}
		return 2
	}
	return cmp.Or(
		cmp.Compare(rank(a), rank(b)),
		cmp.Compare(a.missing, b.missing),
		cmp.Compare(a.price, b.price),
		cmp.Compare(a.zone, b.zone),
	)
}

// chooseZone sets the zone in which tasks that must share a zone are placed: the zone of the job's other tasks or, if
// there are none, the best of all zones. It returns false if no zone is suitable.
func (p *scaleOutPlan) chooseZone(unplaced *waitingTasks) bool {
	options := p.zoneOptions(unplaced)
	if len(options) == 0 {
		return false
	}
	best := slices.MinFunc(options, compareZoneOptions)
	unplaced.zone = best.zone
	return true
}

// zoneOptions returns the zones in which the tasks may be placed.
func (p *scaleOutPlan) zoneOptions(unplaced *waitingTasks) []zoneOption {
	m := p.manager
	room := map[int32]int{}
	for _, machineType := range m.Types() {
		for _, name := range machineType.Zones {
			room[m.Names.Zones.Index(name)] = 0
		}
	}
	for _, bin := range p.bins {
		if unplaced.allows(bin.offer) && unplaced.taskWork.Fits(bin.free) {
			room[bin.zone] += unplaced.taskWork.FitCount(bin.free)
		}
	}
	occupied := m.Fleet.TasksByZone(unplaced.job)
	var options []zoneOption
	for _, zone := range slices.Sorted(maps.Keys(room)) {
		if len(occupied) > 0 && occupied[zone] == 0 {
			continue
		}
		option := zoneOption{zone: zone, missing: max(0, unplaced.count-room[zone])}
		_, option.price = m.cheapestOffer(p.now, unplaced.job, unplaced.spread, zone)
		if option.canRent() || room[zone] > 0 {
			options = append(options, option)
		}
	}
	return options
}

// isAwaited reports whether a waiting job that must stay in one zone counts on an idle machine, beside others in the
// same zone. Such a machine is kept for as long as its replacement would take twice to run a task.
func (m *Manager) isAwaited(now time.Duration, machine *fleet.Machine) bool {
	awaitedAt, ok := m.awaitedInZone[machine.Index]
	isRecent := ok && now-awaitedAt <= 2*scaleOutInterval
	return isRecent && now-machine.IdleSince <= m.idleLimit(machine)+m.retentionTime(machine)
}

// forgetAwaited removes the records of machines that no job has counted on lately.
func (m *Manager) forgetAwaited(now time.Duration) {
	maps.DeleteFunc(m.awaitedInZone, func(_ int32, at time.Duration) bool { return now-at > 2*scaleOutInterval })
}
