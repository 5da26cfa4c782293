package allocation

import "slices"

// Fair divides a limit by what the parts could use: whoever wants least is served in full first, and
// those who want more than is left share it evenly (max-min fairness); single units go to the parts
// in their order. What nobody wants is spread evenly, so that new work finds some where it comes. Everyone who
// knows the same demand comes to the same division.
func Fair(limit int32, demand []int32) Doc {
	d := make(Doc, len(demand))
	if len(d) == 0 {
		return d
	}
	order := make([]int, len(demand))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return int(max(0, demand[a]) - max(0, demand[b])) })
	left := max(0, limit)
	for i, p := range order {
		share := left / int32(len(order)-i)
		if want := max(0, demand[p]); want <= share {
			d[p] = want
			left -= want
			continue
		}
		// All that follow want more than an even share.
		rest := slices.Clone(order[i:])
		slices.Sort(rest)
		for k, p := range rest {
			d[p] = left / int32(len(rest))
			if int32(k) < left%int32(len(rest)) {
				d[p]++
			}
		}
		return d
	}
	n := int32(len(d))
	for p := range d {
		d[p] += left / n
		if int32(p) < left%n {
			d[p]++
		}
	}
	return d
}

// Policy says how large changes of an allotment are: each is a write of the state service.
type Policy struct {
	// Batch is the least change that is worth a write, unless work waits for less.
	Batch int32
}

// Want is what a part should ask for. demand is what each part could use, running work included: its own
// as it knows it, the others' as they last told, late or wrong by a little. A part gives what is beyond its fair
// division only where another lacks, and takes as far as it lacks itself or as a batch is to be had.
func (y Policy) Want(part int, limit int32, doc Doc, use int32, demand []int32) int32 {
	fair := Fair(limit, demand)
	have := doc[part]
	lacking, free := int32(0), max(0, limit-doc.Sum())
	for p := range doc {
		if p != part {
			lacking += max(0, min(fair[p], demand[p])-doc[p])
		}
	}
	switch {
	case have > fair[part] && lacking > free:
		// No more is given than is lacked, or in whole batches, or what is in use.
		give := min(have-fair[part], max(lacking-free, y.Batch))
		return max(use, have-give)
	case have < fair[part] && free > 0:
		more := min(fair[part]-have, free)
		if more < y.Batch && demand[part] <= have {
			return have // nothing waits for it
		}
		return have + more
	}
	return have
}
