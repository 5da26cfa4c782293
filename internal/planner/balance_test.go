package planner

import (
	"math"
	"math/rand/v2"
	"testing"
)

// Example 3 of the paper: the third task is placed by an augmenting path that moves the other two.
func TestPaperExample3AugmentingPath(t *testing.T) {
	p := &Problem{
		InitialLoads: []float64{3.1, 2.2, 1.9},
		Groups: []Group{
			{Tasks: []int32{1}, PreferredServers: []int32{0, 1}},
			{Tasks: []int32{2}, PreferredServers: []int32{1, 2}},
			{Tasks: []int32{3}, PreferredServers: []int32{2}},
		},
		LocalCost:  1,
		RemoteCost: func(int) float64 { return 2 },
	}
	a := Balance(p)
	want := []int32{1, 2, 2}
	for group, server := range want {
		if a.Server[group][0] != server {
			t.Fatalf("task %d: got server %d, want %d", group+1, a.Server[group][0], server)
		}
	}
}

// Theorem 1 of the paper: no local allocation has a smaller makespan than a balanced one. The test also checks that the
// balance policy (9) holds for every task, and that Reduce doesn't increase the makespan.
func TestBalanceMatchesExhaustiveSearch(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	for range 400 {
		p := randomProblem(rng, 2+rng.IntN(3), 1+rng.IntN(7))
		balanced := Balance(p)
		if want := bestLocalMakespan(p); math.Abs(balanced.Makespan-want) > tolerance {
			t.Fatalf("balanced makespan: got %v, want %v, the best of all local allocations of %+v", balanced.Makespan, want, p)
		}
		checkBalancePolicy(t, p, balanced)
		plan := Plan(p, rng)
		recomputed := recomputeMakespan(p, plan)
		if plan.Makespan > balanced.Makespan+tolerance || math.Abs(plan.Makespan-recomputed) > tolerance {
			t.Fatalf("reduced makespan: got %v, want at most the balanced %v and equal to the recomputed %v",
				plan.Makespan, balanced.Makespan, recomputed)
		}
	}
}

// bestLocalMakespan returns the smallest makespan of all local allocations, found by exhaustive search.
func bestLocalMakespan(p *Problem) float64 {
	var preferences [][]int32 // preferred servers by task
	for _, group := range p.Groups {
		for range group.Tasks {
			preferences = append(preferences, group.PreferredServers)
		}
	}
	loads := append([]float64(nil), p.InitialLoads...)
	taskCounts := make([]int, len(loads))
	best := math.Inf(1)
	var placeFrom func(task int)
	placeFrom = func(task int) {
		if task == len(preferences) {
			best = math.Min(best, activeMakespan(loads, taskCounts))
			return
		}
		for _, server := range preferences[task] {
			loads[server] += p.LocalCost
			taskCounts[server]++
			placeFrom(task + 1)
			loads[server] -= p.LocalCost
			taskCounts[server]--
		}
	}
	placeFrom(0)
	return best
}

// activeMakespan returns the highest load among the servers that have tasks.
func activeMakespan(loads []float64, taskCounts []int) float64 {
	makespan := 0.0
	for server, count := range taskCounts {
		if count > 0 {
			makespan = math.Max(makespan, loads[server])
		}
	}
	return makespan
}

// checkBalancePolicy fails the test unless each task is on a server that it prefers, and that server's load without
// the task is at most the load of any other server that the task prefers.
func checkBalancePolicy(t *testing.T, p *Problem, a *Allocation) {
	t.Helper()
	loads := append([]float64(nil), p.InitialLoads...)
	for group := range a.Server {
		for _, server := range a.Server[group] {
			loads[server] += p.LocalCost
		}
	}
	for g, group := range p.Groups {
		for _, server := range a.Server[g] {
			isPreferred := false
			for _, other := range group.PreferredServers {
				isPreferred = isPreferred || other == server
				if loads[server]-p.LocalCost > loads[other]+tolerance {
					t.Fatalf("balance policy (9): a task is on server %d with load %v, but also prefers server %d with load %v",
						server, loads[server], other, loads[other])
				}
			}
			if !isPreferred {
				t.Fatalf("got a task on server %d, want one of the task's preferred servers", server)
			}
		}
	}
}
