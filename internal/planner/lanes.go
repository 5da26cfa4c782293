package planner

import (
	"math"
	"slices"
)

// maxLanes bounds the lanes of one machine, however small the tasks are.
const maxLanes = 256

// Work is something that already loads a machine.
type Work struct {
	Size      Size
	Remaining float64 // remaining time in seconds
}

// Lanes divides a machine of the given size into lanes for tasks of one size, one for each copy that fits, and
// appends their loads, in seconds, to dst. The work loads the lanes in the order given. A piece of work that is wider
// than a lane loads several, the least-loaded ones, from when the last of them is free.
func Lanes(dst []float64, machine, task Size, work []Work) []float64 {
	count := min(task.Copies(machine), maxLanes)
	for range count {
		dst = append(dst, 0)
	}
	if count == 0 {
		return dst
	}
	loads := dst[len(dst)-count:]
	for i := range work {
		width := laneWidth(work[i].Size, machine, count)
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

// laneWidth returns how many of a machine's lanes a piece of work takes.
func laneWidth(work, machine Size, lanes int) int {
	width := int(math.Round(work.largestShare(machine) * float64(lanes)))
	return min(lanes, max(1, width))
}

// occupyAll loads all lanes from when the last of them is free.
func occupyAll(loads []float64, duration float64) {
	end := slices.Max(loads) + duration
	for i := range loads {
		loads[i] = end
	}
}

// occupyLeastLoaded loads the least-loaded lanes from when the last of them is free.
func occupyLeastLoaded(loads []float64, width int, duration float64) {
	var taken [maxLanes]int
	start := 0.0
	for i := range width {
		lane := leastLoaded(loads)
		taken[i] = lane
		start = loads[lane]
		loads[lane] = math.Inf(1) // so that the next search finds another
	}
	for _, lane := range taken[:width] {
		loads[lane] = start + duration
	}
}

// leastLoaded returns the lane with the smallest load, the first among equals.
func leastLoaded(loads []float64) int {
	least := 0
	for i, load := range loads {
		if load < loads[least] {
			least = i
		}
	}
	return least
}
