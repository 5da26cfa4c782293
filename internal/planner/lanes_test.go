package planner

import (
	"math"
	"math/rand/v2"
	"sort"
	"testing"
)

// The loads of lanes follow list scheduling, and wide work takes several lanes.
func TestLanesFollowListScheduling(t *testing.T) {
	machine := Size{CPUs: 8, Mem: 16}
	work := []Work{
		{Size{CPUs: 2, Mem: 1}, 5},
		{Size{CPUs: 4, Mem: 1}, 3},
		{Size{CPUs: 2, Mem: 1}, 1},
	}
	loads := Lanes(nil, machine, Size{CPUs: 2, Mem: 1}, work)
	missing := map[float64]int{5: 1, 3: 2, 1: 1} // lanes by load
	for _, load := range loads {
		missing[load]--
	}
	for load, count := range missing {
		if count != 0 {
			t.Fatalf("lanes %v: load %v is off by %d", loads, load, count)
		}
	}
	if len(Lanes(nil, machine, Size{GPUs: 1}, nil)) != 0 {
		t.Fatal("a machine without GPUs has no lane for a GPU task")
	}
}

// Lanes against the slow plain model.
func TestLanesAgainstPlainModel(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	for n := range 500 {
		machine := Size{CPUs: float64(1 + rng.IntN(16)), Mem: float64(8 + rng.IntN(64))}
		task := Size{CPUs: 0.5 + 3*rng.Float64(), Mem: 1}
		var work []Work
		for range rng.IntN(20) {
			work = append(work, Work{Size{CPUs: machine.CPUs * rng.Float64()}, float64(rng.IntN(50))})
		}
		lanes := task.Copies(machine)
		want := plainLanes(lanes, machine, work)
		got := Lanes([]float64{7}, machine, task, work)
		if len(got) != lanes+1 || got[0] != 7 {
			t.Fatalf("problem %d: %v, want %d lanes appended", n, got, lanes)
		}
		for lane, load := range want {
			if !near(got[lane+1], load) {
				t.Fatalf("problem %d: lane %d is loaded %v, want %v", n, lane, got[lane+1], load)
			}
		}
	}
}

// plainLanes sorts the lanes anew for each piece of work, which differ in their cores only.
func plainLanes(lanes int, machine Size, work []Work) []float64 {
	loads := make([]float64, lanes)
	if lanes == 0 {
		return loads
	}
	for _, w := range work {
		byLoad := make([]int, lanes)
		for i := range byLoad {
			byLoad[i] = i
		}
		sort.SliceStable(byLoad, func(a, b int) bool { return loads[byLoad[a]] < loads[byLoad[b]] })
		width := min(lanes, max(1, int(math.Round(w.Size.CPUs/machine.CPUs*float64(lanes)))))
		start := loads[byLoad[width-1]]
		for _, lane := range byLoad[:width] {
			loads[lane] = start + w.Remaining
		}
	}
	return loads
}
