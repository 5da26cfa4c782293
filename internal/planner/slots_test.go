package planner

import (
	"math"
	"math/rand/v2"
	"sort"
	"testing"
)

// The loads of slots follow list scheduling, and wide work takes several slots.
func TestSlotLoadsFollowListScheduling(t *testing.T) {
	machine := Size{CPUs: 8, Mem: 16}
	work := []Work{
		{Size{CPUs: 2, Mem: 1}, 5},
		{Size{CPUs: 4, Mem: 1}, 3},
		{Size{CPUs: 2, Mem: 1}, 1},
	}
	loads := SlotLoads(nil, machine, Size{CPUs: 2, Mem: 1}, work)
	missing := map[float64]int{5: 1, 3: 2, 1: 1} // slots by load
	for _, load := range loads {
		missing[load]--
	}
	for load, count := range missing {
		if count != 0 {
			t.Fatalf("slots %v: load %v is off by %d", loads, load, count)
		}
	}
	if len(SlotLoads(nil, machine, Size{GPUs: 1}, nil)) != 0 {
		t.Fatal("a machine without GPUs has no slot for a GPU task")
	}
}

// SlotLoads against the slow plain model.
func TestSlotLoadsAgainstPlainModel(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	for n := range 500 {
		machine := Size{CPUs: float64(1 + rng.IntN(16)), Mem: float64(8 + rng.IntN(64))}
		task := Size{CPUs: 0.5 + 3*rng.Float64(), Mem: 1}
		var work []Work
		for range rng.IntN(20) {
			work = append(work, Work{Size{CPUs: machine.CPUs * rng.Float64()}, float64(rng.IntN(50))})
		}
		slots := task.Copies(machine)
		want := plainSlotLoads(slots, machine, work)
		got := SlotLoads([]float64{7}, machine, task, work)
		if len(got) != slots+1 || got[0] != 7 {
			t.Fatalf("problem %d: %v, want %d slots appended", n, got, slots)
		}
		for slot, load := range want {
			if !near(got[slot+1], load) {
				t.Fatalf("problem %d: slot %d is loaded %v, want %v", n, slot, got[slot+1], load)
			}
		}
	}
}

// plainSlotLoads sorts the slots anew for each piece of work, which differ in their cores only.
func plainSlotLoads(slots int, machine Size, work []Work) []float64 {
	loads := make([]float64, slots)
	if slots == 0 {
		return loads
	}
	for _, w := range work {
		byLoad := make([]int, slots)
		for i := range byLoad {
			byLoad[i] = i
		}
		sort.SliceStable(byLoad, func(a, b int) bool { return loads[byLoad[a]] < loads[byLoad[b]] })
		width := min(slots, max(1, int(math.Round(w.Size.CPUs/machine.CPUs*float64(slots)))))
		start := loads[byLoad[width-1]]
		for _, slot := range byLoad[:width] {
			loads[slot] = start + w.Remaining
		}
	}
	return loads
}
