package planner

import (
	"math"
	"math/rand/v2"
	"sort"
	"testing"
)

// SlotLoads assigns work by list scheduling, and an element of work that is larger than a slot to several slots.
func TestSlotLoadsFollowListScheduling(t *testing.T) {
	machine := Size{CPUs: 8, Mem: 16}
	work := []QueuedWork{
		{Size{CPUs: 2, Mem: 1}, 5},
		{Size{CPUs: 4, Mem: 1}, 3},
		{Size{CPUs: 2, Mem: 1}, 1},
	}
	loads := SlotLoads(nil, machine, Size{CPUs: 2, Mem: 1}, work)
	countDifferences := map[float64]int{5: 1, 3: 2, 1: 1} // wanted minus actual number of slots, by load
	for _, load := range loads {
		countDifferences[load]--
	}
	for load, count := range countDifferences {
		if count != 0 {
			t.Fatalf("loads %v: number of slots with load %v: want minus got is %d, want 0", loads, load, count)
		}
	}
	if len(SlotLoads(nil, machine, Size{GPUs: 1}, nil)) != 0 {
		t.Fatal("got slots for a GPU task on a machine without GPUs, want none")
	}
}

// SlotLoads returns the same loads as the slow reference implementation.
func TestSlotLoadsMatchReference(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	for n := range 500 {
		machine := Size{CPUs: float64(1 + rng.IntN(16)), Mem: float64(8 + rng.IntN(64))}
		task := Size{CPUs: 0.5 + 3*rng.Float64(), Mem: 1}
		var work []QueuedWork
		for range rng.IntN(20) {
			work = append(work, QueuedWork{Size{CPUs: machine.CPUs * rng.Float64()}, float64(rng.IntN(50))})
		}
		slots := task.FitCount(machine)
		want := referenceSlotLoads(slots, machine, work)
		got := SlotLoads([]float64{7}, machine, task, work)
		if len(got) != slots+1 || got[0] != 7 {
			t.Fatalf("problem %d: got %v, want 7 followed by the loads of %d slots", n, got, slots)
		}
		for slot, load := range want {
			if !almostEqual(got[slot+1], load) {
				t.Fatalf("problem %d: slot %d: got load %v, want %v", n, slot, got[slot+1], load)
			}
		}
	}
}

// referenceSlotLoads is the slow reference implementation of SlotLoads: it sorts the slots for each element of work,
// and considers CPUs only.
func referenceSlotLoads(slots int, machine Size, work []QueuedWork) []float64 {
	loads := make([]float64, slots)
	if slots == 0 {
		return loads
	}
	for _, element := range work {
		byLoad := make([]int, slots)
		for i := range byLoad {
			byLoad[i] = i
		}
		sort.SliceStable(byLoad, func(a, b int) bool { return loads[byLoad[a]] < loads[byLoad[b]] })
		width := min(slots, max(1, int(math.Round(element.Size.CPUs/machine.CPUs*float64(slots)))))
		start := loads[byLoad[width-1]]
		for _, slot := range byLoad[:width] {
			loads[slot] = start + element.Remaining
		}
	}
	return loads
}
