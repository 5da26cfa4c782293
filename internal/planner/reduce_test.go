package planner

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
)

// Example 1 of the paper: the makespan of an allocation with two remote tasks. Servers without tasks don't count,
// whatever their initial load.
func TestPaperExample1Makespan(t *testing.T) {
	p := paperProblem()
	a := &Allocation{
		Server:      [][]int32{{1}, {1}, {2}, {2}, {2}, {1}, {2}},
		Remote:      [][]bool{{false}, {false}, {false}, {false}, {true}, {false}, {true}},
		RemoteTasks: 2,
	}
	if got := recomputeMakespan(p, a); !almostEqual(got, 7.2) {
		t.Fatalf("two remote tasks: got makespan %v, want 7.2", got)
	}
	a.Remote[0][0] = true
	a.RemoteTasks = 3
	if almostEqual(recomputeMakespan(p, a), 7.2) {
		t.Fatal("three remote tasks: got makespan 7.2, want another one")
	}
}

// Examples 2 and 4 of the paper: Reduce lowers the makespan of a balanced plan in several iterations, and stops when
// the makespan exceeds the expected one.
func TestPaperExample4Reduce(t *testing.T) {
	p := paperProblem()
	balanced := Balance(p)
	if !almostEqual(balanced.Makespan, 8.1) {
		t.Fatalf("balanced makespan: got %v, want 8.1", balanced.Makespan)
	}
	plan := Plan(p, rand.New(rand.NewPCG(1, 2)))
	if !almostEqual(plan.Makespan, recomputeMakespan(p, plan)) {
		t.Fatalf("plan's makespan: got %v, want the recomputed %v", plan.Makespan, recomputeMakespan(p, plan))
	}
	if !almostEqual(plan.Makespan, 6.2) || plan.RemoteTasks != 2 {
		t.Fatalf("got makespan %v with %d remote tasks, want 6.2 with 2", plan.Makespan, plan.RemoteTasks)
	}
}

// Planning the largest job that the protocol allows must not block the event loop for long. The test checks the number
// of iterations, not the time.
func TestPlanLargestJobIsBounded(t *testing.T) {
	p := &Problem{LocalCost: 10, MaxLoops: 200}
	loops := 0
	p.RemoteCost = func(remoteTasks int) float64 {
		loops++
		return 10 + float64(remoteTasks)
	}
	group := Group{Tasks: make([]int32, 100_000)}
	for server := range 800 {
		p.InitialLoads = append(p.InitialLoads, float64(server%7))
		if server%4 == 0 {
			group.PreferredServers = append(group.PreferredServers, int32(server))
		}
	}
	p.Groups = []Group{group}
	plan := Plan(p, rand.New(rand.NewPCG(1, 1)))
	if loops > 200 {
		t.Fatalf("got %d iterations of reduce, want at most 200", loops)
	}
	for _, server := range plan.Server[0] {
		if server < 0 {
			t.Fatal("got a task that is not placed, want a server for every task")
		}
	}
}

// With the same random numbers, reduce, which keeps its servers in heaps between iterations, must return the same plan
// as the reference implementation, which scans all servers in each iteration. Problems with equal loads are included.
func TestReduceMatchesReference(t *testing.T) {
	remoteTasks := 0
	for seed := range uint64(600) {
		p := reduceProblem(seed)
		balanced := Balance(p)
		want := referenceReduce(p, balanced, rand.New(rand.NewPCG(seed, 4)))
		got := reduce(p, balanced, rand.New(rand.NewPCG(seed, 4)))
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("seed %d: got makespan %v with %d remote tasks, want %v with %d, or else the same assignment",
				seed, got.Makespan, got.RemoteTasks, want.Makespan, want.RemoteTasks)
		}
		remoteTasks += got.RemoteTasks
	}
	if remoteTasks < 600 {
		t.Fatalf("got %d remote tasks in all plans, want at least 600 for a meaningful comparison", remoteTasks)
	}
}

// reduceProblem returns a random problem. The seed decides whether it has many equal loads, a limit on iterations, and
// servers that reject remote tasks.
func reduceProblem(seed uint64) *Problem {
	rng := rand.New(rand.NewPCG(seed, 21))
	p := randomProblem(rng, 1+rng.IntN(40), 1+rng.IntN(120))
	if seed%2 == 0 { // many equal loads
		for server := range p.InitialLoads {
			p.InitialLoads[server] = math.Floor(p.InitialLoads[server] / 2)
		}
		p.LocalCost = 1
	}
	if seed%3 == 0 {
		p.MaxLoops = 1 + rng.IntN(20)
	}
	if seed%5 == 0 {
		parity := rng.IntN(2)
		p.AcceptsRemote = func(server int) bool { return server%2 == parity }
	}
	return p
}

// referenceReduce is the slow reference implementation of reduce: it scans all servers in each iteration.
func referenceReduce(p *Problem, balanced *Allocation, rng *rand.Rand) *Allocation {
	loads := append([]float64(nil), p.InitialLoads...)
	tasks := make([][]taskRef, len(loads))
	taskCount := 0
	for group := range balanced.Server {
		for position, server := range balanced.Server[group] {
			if server == unplaced {
				continue
			}
			loads[server] += p.LocalCost
			tasks[server] = append(tasks[server], taskRef{int32(group), int32(position)})
			taskCount++
		}
	}
	if taskCount == 0 {
		return balanced
	}
	loops := p.MaxLoops
	if loops <= 0 {
		loops = taskCount
	}
	var pool []taskRef
	best := remotePlacement{makespan: balanced.Makespan}
	for range loops {
		mostLoaded := referenceMostLoaded(loads, tasks)
		if mostLoaded < 0 {
			break
		}
		chosen := rng.IntN(len(tasks[mostLoaded]))
		last := len(tasks[mostLoaded]) - 1
		pool = append(pool, tasks[mostLoaded][chosen])
		tasks[mostLoaded][chosen] = tasks[mostLoaded][last]
		tasks[mostLoaded] = tasks[mostLoaded][:last]
		loads[mostLoaded] -= p.LocalCost

		expected := 0.0
		for server := range loads {
			if len(tasks[server]) > 0 {
				expected = max(expected, loads[server])
			}
		}
		servers, makespan := referencePlace(p, loads, len(pool), p.RemoteCost(len(pool)))
		if servers == nil {
			break
		}
		makespan = max(makespan, expected)
		if makespan > expected {
			if makespan < best.makespan {
				best = remotePlacement{servers, makespan}
			}
			break
		}
		best = remotePlacement{servers, makespan}
	}
	return referenceApply(balanced, pool, best)
}

// referenceMostLoaded returns the first of the most-loaded servers that have tasks, or -1 if no server has any.
func referenceMostLoaded(loads []float64, tasks [][]taskRef) int {
	mostLoaded := -1
	for server := range loads {
		if len(tasks[server]) > 0 && (mostLoaded < 0 || loads[server] > loads[mostLoaded]) {
			mostLoaded = server
		}
	}
	return mostLoaded
}

// referencePlace assigns a number of remote tasks, one by one, to the least-loaded server. It doesn't change loads.
func referencePlace(p *Problem, loads []float64, tasks int, cost float64) (servers []int32, makespan float64) {
	loads = append([]float64(nil), loads...)
	hosts := newLoadHeap(loads, leastLoadedFirst, func(server int32) bool {
		return p.AcceptsRemote == nil || p.AcceptsRemote(int(server))
	})
	if hosts.Len() == 0 {
		return nil, 0
	}
	servers = make([]int32, 0, tasks)
	for range tasks {
		server := hosts.first()
		loads[server] += cost
		makespan = max(makespan, loads[server])
		heap.Fix(hosts, 0)
		servers = append(servers, server)
	}
	return servers, makespan
}

func referenceApply(balanced *Allocation, pool []taskRef, placement remotePlacement) *Allocation {
	a := &Allocation{
		Server:      make([][]int32, len(balanced.Server)),
		Remote:      make([][]bool, len(balanced.Server)),
		Makespan:    placement.makespan,
		RemoteTasks: len(placement.servers),
	}
	for group := range balanced.Server {
		a.Server[group] = append([]int32(nil), balanced.Server[group]...)
		a.Remote[group] = make([]bool, len(balanced.Server[group]))
	}
	for i, server := range placement.servers {
		task := pool[i]
		a.Server[task.group][task.position] = server
		a.Remote[task.group][task.position] = true
	}
	return a
}
