package allocation

import (
	"cmp"
	"slices"
)

// FairShares divides a limit by what each shard could use (max-min fairness): the smallest demands are met in full,
// and the shards that demand more than is left share it evenly, with odd units to the first of them. Units that no
// shard demands are spread evenly over all shards, so that new work finds some at each of them. Equal arguments give
// equal shares on every controller.
func FairShares(limit int32, demand []int32) Shares {
	shares := make(Shares, len(demand))
	shards := make([]int, len(demand)) // by demand, the smallest first
	for shard := range shards {
		shards[shard] = shard
	}
	slices.SortStableFunc(shards, func(a, b int) int { return cmp.Compare(max(0, demand[a]), max(0, demand[b])) })
	remaining := max(0, limit)
	for i, shard := range shards {
		wanted := max(0, demand[shard])
		evenShare := remaining / int32(len(shards)-i)
		if wanted > evenShare {
			// So do all that follow.
			shares.addEvenly(remaining, shards[i:])
			return shares
		}
		shares[shard] = wanted
		remaining -= wanted
	}
	shares.addEvenly(remaining, shards)
	return shares
}

// addEvenly adds units to the given shards, odd ones to the first of them by number. It sorts the shards.
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

// Policy decides how much a shard requests.
type Policy struct {
	// Batch is the smallest change, in units, that is worth a write to the state service unless work waits for less.
	Batch int32
}

// Target returns the share that a shard should request. shares is the document, reserved what the shard may have in
// use, and demand what each shard could use, running work included: its own is current, that of the others may be out
// of date.
//
// A shard gives units beyond its fair share only where another shard lacks them, and takes free units up to its fair
// share, in batches unless its own work waits for fewer.
func (p Policy) Target(shard int, limit int32, shares Shares, reserved int32, demand []int32) int32 {
	fair := FairShares(limit, demand)
	current := shares[shard]
	free := max(0, limit-shares.Sum())
	lacking := lackingElsewhere(shard, shares, fair, demand)
	switch {
	case current > fair[shard] && lacking > free:
		given := min(current-fair[shard], max(lacking-free, p.Batch))
		return max(reserved, current-given)
	case current < fair[shard] && free > 0:
		taken := min(fair[shard]-current, free)
		hasWaitingWork := demand[shard] > current
		if taken < p.Batch && !hasWaitingWork {
			return current
		}
		return current + taken
	}
	return current
}

// lackingElsewhere returns the units that the other shards lack of their fair shares and have a demand for.
func lackingElsewhere(shard int, shares, fair Shares, demand []int32) int32 {
	lacking := int32(0)
	for other := range shares {
		if other != shard {
			lacking += max(0, min(fair[other], demand[other])-shares[other])
		}
	}
	return lacking
}
