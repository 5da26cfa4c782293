package allocation

import (
	"cmp"
	"slices"
)

// FairShares divides a limit among the shards by their demands (max-min fairness): the smallest demands are met in
// full, and the shards whose demands exceed an even share of the rest get an even share of it, with odd units to the
// first of them. Units that no shard demands are spread evenly over all shards, so that each has units for new work.
// Equal arguments give equal shares on every controller.
func FairShares(limit int32, demand []int32) Shares {
	shares := make(Shares, len(demand))
	shards := make([]int, len(demand)) // shards in ascending order of demand
	for shard := range shards {
		shards[shard] = shard
	}
	slices.SortStableFunc(shards, func(a, b int) int { return cmp.Compare(max(0, demand[a]), max(0, demand[b])) })
	remaining := max(0, limit)
	for i, shard := range shards {
		demanded := max(0, demand[shard])
		evenShare := remaining / int32(len(shards)-i)
		if demanded > evenShare {
			// All following shards demand at least as much.
			shares.addEvenly(remaining, shards[i:])
			return shares
		}
		shares[shard] = demanded
		remaining -= demanded
	}
	shares.addEvenly(remaining, shards)
	return shares
}

// addEvenly spreads units evenly over the given shards, with odd units to the lowest shard numbers. It sorts shards.
func (s Shares) addEvenly(units int32, shards []int) {
	if len(shards) == 0 {
		return
	}
	slices.Sort(shards)
	count := int32(len(shards))
	for i, shard := range shards {
		s[shard] += units / count
		if int32(i) < units%count {
			s[shard]++
		}
	}
}

// Policy decides how many units a shard requests.
type Policy struct {
	// MinChange is the smallest change of a share, in units, for which a shard writes to the state service, unless
	// waiting work needs fewer units.
	MinChange int32
}

// Target returns the share that a shard should request. shares is the document, reserved the units that the shard may
// have in use, and demand the units that each shard could use, running work included. The shard's own demand is
// current; the demands of the others may be out of date.
//
// A shard gives units beyond its fair share only if other shards lack more units than are free. It takes free units up
// to its fair share, but fewer than MinChange only if its own work waits for them.
func (p Policy) Target(shard int, limit int32, shares Shares, reserved int32, demand []int32) int32 {
	fair := FairShares(limit, demand)
	current := shares[shard]
	free := max(0, limit-shares.Sum())
	unmet := unmetElsewhere(shard, shares, fair, demand)
	switch {
	case current > fair[shard] && unmet > free:
		given := min(current-fair[shard], max(unmet-free, p.MinChange))
		return max(reserved, current-given)
	case current < fair[shard] && free > 0:
		taken := min(fair[shard]-current, free)
		hasWaitingWork := demand[shard] > current
		if taken < p.MinChange && !hasWaitingWork {
			return current
		}
		return current + taken
	}
	return current
}

// unmetElsewhere returns the total unmet demand of the other shards, each limited to the shard's fair share.
func unmetElsewhere(shard int, shares, fair Shares, demand []int32) int32 {
	unmet := int32(0)
	for other := range shares {
		if other != shard {
			unmet += max(0, min(fair[other], demand[other])-shares[other])
		}
	}
	return unmet
}
