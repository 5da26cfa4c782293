package planner

import (
	"math"
	"slices"
)

// maxSlots bounds the slots of one machine, however small the tasks are.
const maxSlots = 256

// Work is something that already loads a machine.
type Work struct {
	Size      Size
	Remaining float64 // remaining time in seconds
}

// SlotLoads divides a machine of the given size into slots for tasks of one size, one for each copy that fits, and
// appends their loads, in seconds, to dst. The work loads the slots in the order given. A piece of work that is wider
// than a slot loads several, the least-loaded ones, from when the last of them is free.
func SlotLoads(dst []float64, machine, task Size, work []Work) []float64 {
	count := min(task.Copies(machine), maxSlots)
	for range count {
		dst = append(dst, 0)
	}
	if count == 0 {
		return dst
	}
	loads := dst[len(dst)-count:]
	for i := range work {
		width := slotsTaken(work[i].Size, machine, count)
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

// slotsTaken returns how many of a machine's slots a piece of work takes.
func slotsTaken(work, machine Size, slots int) int {
	width := int(math.Round(work.largestShare(machine) * float64(slots)))
	return min(slots, max(1, width))
}

// occupyAll loads all slots from when the last of them is free.
func occupyAll(loads []float64, duration float64) {
	end := slices.Max(loads) + duration
	for i := range loads {
		loads[i] = end
	}
}

// occupyLeastLoaded loads the least-loaded slots from when the last of them is free.
func occupyLeastLoaded(loads []float64, width int, duration float64) {
	var taken [maxSlots]int
	start := 0.0
	for i := range width {
		slot := leastLoaded(loads)
		taken[i] = slot
		start = loads[slot]
		loads[slot] = math.Inf(1) // so that the next search finds another
	}
	for _, slot := range taken[:width] {
		loads[slot] = start + duration
	}
}

// leastLoaded returns the slot with the smallest load, the first among equals.
func leastLoaded(loads []float64) int {
	least := 0
	for i, load := range loads {
		if load < loads[least] {
			least = i
		}
	}
	return least
}
