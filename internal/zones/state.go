package zones

import (
	"slices"
	"time"
)

const (
	// minMachines is the least number of machines with which a zone can become suspect or lost. With fewer machines, the
	// silence of a zone can't be distinguished from that of single machines.
	minMachines = 4
	// maxFlaps bounds Zone.Flaps, since each flap doubles the probation.
	maxFlaps = 4
)

// State is the health of a zone.
type State uint8

// The states of a zone.
//
//	Healthy     -> Suspect      more than a quarter of its machines are unreachable
//	Suspect     -> Healthy      at most a quarter of its machines are unreachable
//	Healthy, Suspect -> Lost    more than half of its machines have long been unreachable; or more than three quarters
//	                            are unreachable while those of other zones are reachable
//	Lost        -> Returning    at least half of its machines are reachable; or it has no machines, and ReturnGrace has
//	                            passed since the loss
//	Returning   -> OnProbation  nine tenths of its machines are reachable, or ReturnGrace has passed since the return
//	OnProbation -> Healthy      ProbationTime, doubled with each flap, has passed
//	Returning, OnProbation -> Lost  as for Healthy; this loss is a flap, as is any loss soon after the previous one
const (
	Healthy State = iota
	Suspect
	Lost
	Returning
	OnProbation
)

// String returns the name of the state in stored records and in the HTTP API.
func (s State) String() string {
	return [...]string{"well", "doubted", "lost", "returning", "proving"}[s]
}

// parseState returns the state with the given name and whether there is one.
func parseState(name string) (State, bool) {
	for state := Healthy; state <= OnProbation; state++ {
		if state.String() == name {
			return state, true
		}
	}
	return Healthy, false
}

// transition changes a zone's state and calls Config.OnStateChange. Only transition and Restore set a zone's state.
func (z *Zones) transition(now time.Duration, index int32, to State, count Count) {
	zone := z.zoneForUpdate(index)
	from := zone.State
	switch {
	case to == Lost:
		z.recordLoss(now, zone)
	case to == Returning:
		zone.ReturnedAt = now
	case to == Healthy && from == OnProbation:
		zone.flapDecayStart = now
	}
	zone.State = to
	zone.Since = now
	// Suspect zones are stored as healthy, so changes between Suspect and Healthy need no write.
	if to == Lost || (to != Suspect && from != Suspect) {
		z.isDirty = true
	}
	if z.cfg.OnStateChange != nil {
		z.cfg.OnStateChange(now, index, from, to, count)
	}
}

// recordLoss records a loss of the zone. The loss is a flap if the zone is returning or on probation, or if the
// previous loss is less than FlapDecayTime ago.
func (z *Zones) recordLoss(now time.Duration, zone *Zone) {
	isReturning := zone.State == Returning || zone.State == OnProbation
	isSoon := zone.wasLost && now-zone.LostAt < z.cfg.FlapDecayTime
	if isReturning || isSoon {
		zone.Flaps = min(maxFlaps, zone.Flaps+1)
	}
	zone.LostAt = now
	zone.wasLost = true
}

// Evaluate updates the states of all zones from the present counts of their machines. A zone without an entry in counts
// has no machines.
func (z *Zones) Evaluate(now time.Duration, counts map[int32]Count) {
	all := Count{}
	indices := make([]int32, 0, len(counts))
	for index, count := range counts {
		all.Machines += count.Machines
		all.Unreachable += count.Unreachable
		indices = append(indices, index)
	}
	for index := range z.zones {
		if _, ok := counts[index]; !ok {
			indices = append(indices, index)
		}
	}
	slices.Sort(indices)
	for _, index := range indices {
		count := counts[index]
		// If the machines of other zones are reachable, the cause lies in this zone. If all zones are unreachable, this
		// controller may be the cause.
		others := Count{Machines: all.Machines - count.Machines, Unreachable: all.Unreachable - count.Unreachable}
		z.evaluate(now, index, count, others.areReachable())
	}
}

// evaluate updates the state of one zone. othersReachable reports whether the machines of other zones are reachable.
func (z *Zones) evaluate(now time.Duration, index int32, count Count, othersReachable bool) {
	zone := z.zoneForUpdate(index)
	if zone.State != Lost && count.isLost(othersReachable) {
		z.transition(now, index, Lost, count)
		return
	}
	timeInState := now - zone.Since
	switch zone.State {
	case Healthy, Suspect:
		z.evaluateInService(now, index, zone, count)
	case Lost:
		// An empty zone has no machine that could become reachable. It returns after a while, so that machines are rented
		// in it again: otherwise it would stay lost.
		isEmptyForLong := count.Machines == 0 && timeInState >= z.cfg.ReturnGrace
		if isEmptyForLong || count.isReachableAgain() {
			z.transition(now, index, Returning, count)
		}
	case Returning:
		if count.isNearlyAllReachable() || timeInState >= z.cfg.ReturnGrace {
			z.transition(now, index, OnProbation, count)
		}
	case OnProbation:
		if timeInState >= z.cfg.ProbationTime<<zone.Flaps {
			z.transition(now, index, Healthy, count)
		}
	}
}

// evaluateInService updates the state of a zone that is healthy or suspect, and reduces its flaps over time.
func (z *Zones) evaluateInService(now time.Duration, index int32, zone *Zone, count Count) {
	isSuspect := count.isSuspect()
	switch {
	case zone.State == Healthy && isSuspect:
		z.transition(now, index, Suspect, count)
	case zone.State == Suspect && !isSuspect:
		z.transition(now, index, Healthy, count)
	case zone.State == Healthy && zone.Flaps > 0 && now-zone.flapDecayStart >= z.cfg.FlapDecayTime:
		zone.Flaps--
		zone.flapDecayStart = now
		z.isDirty = true
	}
}

// isLost reports whether a zone with this count is lost: more than half of its machines have long been unreachable, or
// more than three quarters are unreachable while machines of other zones are reachable.
func (c Count) isLost(othersReachable bool) bool {
	if c.Machines < minMachines {
		return false
	}
	return 2*c.LongUnreachable > c.Machines || (othersReachable && 4*c.Unreachable > 3*c.Machines)
}

// isSuspect reports whether more than a quarter of the machines are unreachable.
func (c Count) isSuspect() bool { return c.Machines >= minMachines && 4*c.Unreachable > c.Machines }

// isReachableAgain reports whether there are machines and at least half of them are reachable.
func (c Count) isReachableAgain() bool { return c.Machines > 0 && 2*c.Unreachable <= c.Machines }

// isNearlyAllReachable reports whether at most a tenth of the machines are unreachable.
func (c Count) isNearlyAllReachable() bool { return 10*c.Unreachable <= c.Machines }

// areReachable reports whether there are at least minMachines and fewer than three tenths of them are unreachable.
func (c Count) areReachable() bool {
	return c.Machines >= minMachines && 10*c.Unreachable < 3*c.Machines
}
