package zones

import (
	"slices"
	"time"
)

const (
	// minMachines is how many machines it takes to tell the silence of a zone from that of single machines.
	minMachines = 4
	// maxFlaps bounds the flaps that count: each doubles the probation.
	maxFlaps = 4
)

// State is the health of a zone.
type State uint8

// The states of a zone.
//
//	Healthy     -> Suspect      more than a quarter of its machines are quiet
//	Suspect     -> Healthy      they are reachable again
//	Healthy, Suspect -> Lost    more than half of its machines have been silent for long; or more than three quarters
//	                            are quiet while those of other zones are reachable
//	Lost        -> Returning    half of them are reachable again; or none is left, for ReturnGrace
//	Returning   -> OnProbation  nine tenths are reachable, or ReturnGrace has passed
//	OnProbation -> Healthy      it has stayed so for ProbationTime, doubled with each flap
//	Returning, OnProbation -> Lost  it falls silent again: a flap, as is any loss soon after the one before
const (
	Healthy State = iota
	Suspect
	Lost
	Returning
	OnProbation
)

// String returns the name of the state as it is stored and as operators read it over HTTP.
func (s State) String() string {
	return [...]string{"well", "doubted", "lost", "returning", "proving"}[s]
}

// parseState returns the state with a name.
func parseState(name string) (State, bool) {
	for state := Healthy; state <= OnProbation; state++ {
		if state.String() == name {
			return state, true
		}
	}
	return Healthy, false
}

// transition is the only place where a zone's state changes.
func (z *Zones) transition(now time.Duration, index int32, to State, count Count) {
	zone := z.at(index)
	from := zone.State
	switch {
	case to == Lost:
		z.recordLoss(now, zone)
	case to == Returning:
		zone.ReturnedAt = now
	case to == Healthy && from == OnProbation:
		zone.forgivenAt = now
	}
	zone.State = to
	zone.Since = now
	// A suspect zone is stored as healthy.
	if to == Lost || (to != Suspect && from != Suspect) {
		z.isDirty = true
	}
	if z.cfg.OnStateChange != nil {
		z.cfg.OnStateChange(now, index, from, to, count)
	}
}

// recordLoss counts a loss as a flap if it comes soon after the one before.
func (z *Zones) recordLoss(now time.Duration, zone *Zone) {
	isReturning := zone.State == Returning || zone.State == OnProbation
	isSoon := zone.wasLost && now-zone.LostAt < z.cfg.FlapForgiveness
	if isReturning || isSoon {
		zone.Flaps = min(maxFlaps, zone.Flaps+1)
	}
	zone.LostAt = now
	zone.wasLost = true
}

// Evaluate changes the states of all zones by the present counts of their machines. A zone without a count has none.
func (z *Zones) Evaluate(now time.Duration, counts map[int32]Count) {
	all := Count{}
	indices := make([]int32, 0, len(counts))
	for index, count := range counts {
		all.Machines += count.Machines
		all.Quiet += count.Quiet
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
		// Silence here while others are reachable is this zone's; silence everywhere may be the controller's.
		others := Count{Machines: all.Machines - count.Machines, Quiet: all.Quiet - count.Quiet}
		z.evaluate(now, index, count, others.areReachable())
	}
}

// evaluate changes the state of one zone. othersReachable is whether the machines of other zones are reachable.
func (z *Zones) evaluate(now time.Duration, index int32, count Count, othersReachable bool) {
	zone := z.at(index)
	if zone.State != Lost && count.isSilent(othersReachable) {
		z.transition(now, index, Lost, count)
		return
	}
	inState := now - zone.Since
	switch zone.State {
	case Healthy, Suspect:
		z.evaluateInService(now, index, zone, count)
	case Lost:
		// An empty zone has no machine that could become reachable: after a while new ones are tried, or it would stay
		// lost.
		isEmptyForLong := count.Machines == 0 && inState >= z.cfg.ReturnGrace
		if isEmptyForLong || count.isReachableAgain() {
			z.transition(now, index, Returning, count)
		}
	case Returning:
		if count.isNearlyAllReachable() || inState >= z.cfg.ReturnGrace {
			z.transition(now, index, OnProbation, count)
		}
	case OnProbation:
		if inState >= z.cfg.ProbationTime<<zone.Flaps {
			z.transition(now, index, Healthy, count)
		}
	}
}

// evaluateInService changes the state of a zone that is healthy or suspect, and forgives its flaps.
func (z *Zones) evaluateInService(now time.Duration, index int32, zone *Zone, count Count) {
	isSuspect := count.isSuspect()
	switch {
	case zone.State == Healthy && isSuspect:
		z.transition(now, index, Suspect, count)
	case zone.State == Suspect && !isSuspect:
		z.transition(now, index, Healthy, count)
	case zone.State == Healthy && zone.Flaps > 0 && now-zone.forgivenAt >= z.cfg.FlapForgiveness:
		zone.Flaps--
		zone.forgivenAt = now
		z.isDirty = true
	}
}

// isSilent reports whether a zone with this count is lost: more than half of its machines have been silent for
// long, or more than three quarters are quiet while those of other zones are reachable.
func (c Count) isSilent(othersReachable bool) bool {
	if c.Machines < minMachines {
		return false
	}
	return 2*c.Silent > c.Machines || (othersReachable && 4*c.Quiet > 3*c.Machines)
}

// isSuspect reports whether more than a quarter of the machines are quiet.
func (c Count) isSuspect() bool { return c.Machines >= minMachines && 4*c.Quiet > c.Machines }

// isReachableAgain reports whether at least half of the machines, and one, are reachable.
func (c Count) isReachableAgain() bool { return c.Machines > 0 && 2*c.Quiet <= c.Machines }

// isNearlyAllReachable reports whether at most a tenth of the machines is quiet.
func (c Count) isNearlyAllReachable() bool { return 10*c.Quiet <= c.Machines }

// areReachable reports whether there are enough machines, and less than three tenths of them are quiet.
func (c Count) areReachable() bool { return c.Machines >= minMachines && 10*c.Quiet < 3*c.Machines }
