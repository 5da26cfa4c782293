package planner

import (
	"math"
	"slices"
)

// maxSlots is the maximum number of slots of one machine, for tasks of any size.
const maxSlots = 256

// QueuedWork is load that a machine already has, such as a running or queued task.
type QueuedWork struct {
	Size      Size
	Remaining float64 // remaining time in seconds
}

// SlotLoads divides a machine of the given size into slots for tasks of one size, one slot for each task that fits, and
// appends the load of each slot, in seconds, to dst. The elements of work are assigned in order, each to the
// least-loaded slot. An element that is larger than a slot is assigned to several of the least-loaded slots, and starts
// when all of them are free.
func SlotLoads(dst []float64, machine, task Size, work []QueuedWork) []float64 {
	count := min(task.FitCount(machine), maxSlots)
	for range count {
		dst = append(dst, 0)
	}
	if count == 0 {
		return dst
	}
	loads := dst[len(dst)-count:]
	for i := range work {
		width := slotsNeeded(work[i].Size, machine, count)
		switch width {
		case count:
			occupyAll(loads, work[i].Remaining)
		case 1:
			loads[leastLoaded(loads)] += work[i].Remaining
		default:
			occupyLeastLoaded(loads, width, work[i].Remaining)
		}
	}
	return dst
}

// slotsNeeded returns the number of a machine's slots that a size occupies, at least one.
func slotsNeeded(work, machine Size, slots int) int {
	width := int(math.Round(work.largestShare(machine) * float64(slots)))
	return min(slots, max(1, width))
}

// occupyAll adds work of a duration to all slots. The work starts when the last slot is free.
func occupyAll(loads []float64, duration float64) {
	end := slices.Max(loads) + duration
	for i := range loads {
		loads[i] = end
	}
}

// occupyLeastLoaded adds work of a duration to the width least-loaded slots. The work starts when the last of them is
// free.
func occupyLeastLoaded(loads []float64, width int, duration float64) {
	var chosen [maxSlots]int
	start := 0.0
	for i := range width {
		slot := leastLoaded(loads)
		chosen[i] = slot
		start = loads[slot]
		loads[slot] = math.Inf(1) // excludes the slot from the next search
	}
	for _, slot := range chosen[:width] {
		loads[slot] = start + duration
	}
}

// leastLoaded returns the index of the first slot with the smallest load.
func leastLoaded(loads []float64) int {
	least := 0
	for i, load := range loads {
		if load < loads[least] {
			least = i
		}
	}
	return least
}
