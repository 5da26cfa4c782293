package shards

import (
	"math"

	"github.com/harewalk/harewalk/internal/planner"
)

// Stock is what a part has of one machine type in one zone, as its owner last told: how many machines
// are up, and how much of them is free in all.
type Stock struct {
	Type, Zone int32
	Size       planner.Size // of one machine
	Machines   int
	Free       planner.Size
	Spot       bool
}

// Need is what a new job asks of the part that takes it.
type Need struct {
	ID    string
	Tasks int
	Size  planner.Size
	// Whole is set for gangs and services: all tasks at once. OneZone wants them in one zone, and ZoneMost
	// bounds how many one zone may hold, 0 for no bound.
	Whole, OneZone bool
	ZoneMost       int
	// Allows tells which machines it may use.
	Allows func(typ, zone int32, spot bool) bool
}

// Choice is where a job goes. Borrow is how many tasks have no machine in the part: it must borrow
// or rent for them.
type Choice struct {
	Part   int
	Borrow int
}

// holds is how many tasks of a size fit.
func holds(room, task planner.Size) int {
	n := math.Inf(1)
	for _, d := range [...][2]float64{{room.CPUs, task.CPUs}, {room.GPUs, task.GPUs}, {room.Mem, task.Mem}} {
		if d[1] > 0 {
			n = min(n, math.Floor(d[0]/d[1]+1e-9))
		}
	}
	if math.IsInf(n, 1) {
		return 0 // a task without a size: there is none
	}
	return int(max(0, n))
}

// slots is how many tasks a part could hold now, and if it were empty, under the job's rules on zones.
// What is free is told in all, not by machine, so it is an estimate from above.
func (n *Need) slots(stocks []Stock) (free, whole int) {
	type count struct{ free, whole int }
	zones := map[int32]*count{}
	for _, s := range stocks {
		each := holds(s.Size, n.Size)
		if each == 0 || !n.Allows(s.Type, s.Zone, s.Spot) {
			continue
		}
		z := zones[s.Zone]
		if z == nil {
			z = &count{}
			zones[s.Zone] = z
		}
		all := each * s.Machines
		z.whole += all
		z.free += min(all, holds(s.Free, n.Size))
	}
	most := func(k int) int {
		if n.ZoneMost > 0 {
			return min(k, n.ZoneMost)
		}
		return k
	}
	for _, z := range zones {
		if n.OneZone {
			free, whole = max(free, most(z.free)), max(whole, most(z.whole))
			continue
		}
		free, whole = free+most(z.free), whole+most(z.whole)
	}
	return min(free, n.Tasks), min(whole, n.Tasks)
}

// Choose finds the part for a new job; stocks are by part, nil for one that nobody leads now. A job that
// must run whole goes where all of it fits now, else where it would fit at all, else where least must
// be borrowed; an array goes where most of it fits now. Among equals the job's name decides, so that jobs spread
// and every controller that knows the same chooses the same. ok is false if no part is led.
func (m Map) Choose(n Need, stocks [][]Stock) (c Choice, ok bool) {
	type rank struct {
		fits, wholly bool
		free, whole  int
		chance       float64
	}
	better := func(a, b rank) bool {
		switch {
		case a.fits != b.fits:
			return a.fits
		case a.wholly != b.wholly:
			return a.wholly
		case n.Whole && !a.wholly && a.whole != b.whole:
			return a.whole > b.whole
		case a.free != b.free:
			return a.free > b.free
		case a.whole != b.whole:
			return a.whole > b.whole
		}
		return a.chance > b.chance
	}
	var best rank
	for p := range m {
		if p >= len(stocks) || stocks[p] == nil {
			continue
		}
		free, whole := n.slots(stocks[p])
		r := rank{free: free, whole: whole, chance: chance(n.ID, m[p].Node)}
		if n.Whole {
			r.fits, r.wholly = free >= n.Tasks, whole >= n.Tasks
		}
		if !ok || better(r, best) {
			best, c, ok = r, Choice{p, n.Tasks - whole}, true
		}
	}
	return c, ok
}
