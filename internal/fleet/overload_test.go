package fleet

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/planner"
)

// inTime is the slow plain model: can a set of claimants, worked off by due time, all be
// done?
func inTime(cs []claimant, set uint, pool planner.Size) bool {
	var order []int
	for i := range cs {
		if set&(1<<i) != 0 {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(a, b int) int { return int(cs[a].due - cs[b].due) })
	sum := planner.Size{}
	for _, i := range order {
		sum = sum.Add(cs[i].work)
		if longest(sum, pool) > cs[i].due.Seconds()+1e-9 {
			return false
		}
	}
	return true
}

// As few deadlines as possible are given up, and the others can be met: compared with every
// choice there is, on pools with one scarce resource.
func TestFewestDeadlinesAreGivenUp(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	pool := planner.Size{CPUs: 10, Mem: 1000}
	tight := 0
	for n := range 300 {
		cs := make([]claimant, 1+rng.IntN(9))
		for i := range cs {
			w := 10 + 400*rng.Float64()
			cs[i] = claimant{time.Duration(1+rng.IntN(100)) * time.Second, planner.Size{CPUs: w, Mem: w}}
		}
		best := 0
		for set := range uint(1) << len(cs) {
			if k := bits.OnesCount(set); k > best && inTime(cs, set, pool) {
				best = k
			}
		}
		kept := uint(0)
		for i, late := range giveUp(0, cs, pool) {
			if !late {
				kept |= 1 << i
			}
		}
		if !inTime(cs, kept, pool) || bits.OnesCount(kept) != best {
			t.Fatalf("problem %d: %b kept of %v, %d could be", n, kept, cs, best)
		}
		if best < len(cs) {
			tight++
		}
	}
	if tight < 100 {
		t.Fatalf("only %d problems were overloads", tight)
	}
}
