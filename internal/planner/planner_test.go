package planner

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"reflect"
	"sort"
	"testing"
)

// paper is the paper's running example: seven tasks, three servers, two replicas each.
func paper() *Problem {
	g := func(t int32, s ...int32) Group { return Group{Tasks: []int32{t}, Prefer: s} }
	return &Problem{
		Initial: []float64{7.1, 4.2, 0.3},
		Groups: []Group{
			g(1, 0, 1), g(2, 1, 2), g(3, 1, 2), g(4, 0, 2), g(5, 0, 1), g(6, 0, 1), g(7, 0, 1),
		},
		Local:  1,
		Remote: func(r int) float64 { return 1 + 0.1*float64(r) },
	}
}

func near(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

// Example 1: the load of an allocation with two remote tasks, where idle servers with a
// high initial load do not count.
func TestPaperExample1Makespan(t *testing.T) {
	p := paper()
	a := &Allocation{
		Server:  [][]int32{{1}, {1}, {2}, {2}, {2}, {1}, {2}},
		Remote:  [][]bool{{false}, {false}, {false}, {false}, {true}, {false}, {true}},
		NRemote: 2,
	}
	if got := Makespan(p, a); !near(got, 7.2) {
		t.Fatalf("makespan %v, want 7.2", got)
	}
	a.Remote[0][0] = true
	a.NRemote = 3
	if near(Makespan(p, a), 7.2) {
		t.Fatal("a third remote task must cost something")
	}
}

// Example 3: the third task is placed by an augmenting path that moves two others.
func TestPaperExample3AugmentingPath(t *testing.T) {
	p := &Problem{
		Initial: []float64{3.1, 2.2, 1.9},
		Groups: []Group{
			{Tasks: []int32{1}, Prefer: []int32{0, 1}},
			{Tasks: []int32{2}, Prefer: []int32{1, 2}},
			{Tasks: []int32{3}, Prefer: []int32{2}},
		},
		Local:  1,
		Remote: func(int) float64 { return 2 },
	}
	a := Balance(p)
	want := []int32{1, 2, 2}
	for i, w := range want {
		if a.Server[i][0] != w {
			t.Fatalf("task %d on server %d, want %d", i+1, a.Server[i][0], w)
		}
	}
}

// Examples 2 and 4: a balanced plan whose makespan reduce lowers step by step, stopping
// when the expected makespan is missed.
func TestPaperExample4Reduce(t *testing.T) {
	p := paper()
	b := Balance(p)
	if !near(b.Makespan, 8.1) {
		t.Fatalf("balanced makespan %v", b.Makespan)
	}
	a := Plan(p, rand.New(rand.NewPCG(1, 2)))
	if !near(a.Makespan, Makespan(p, a)) {
		t.Fatalf("claimed makespan %v, recomputed %v", a.Makespan, Makespan(p, a))
	}
	if !near(a.Makespan, 6.2) || a.NRemote != 2 {
		t.Fatalf("makespan %v with %d remote tasks, want 6.2 with 2", a.Makespan, a.NRemote)
	}
}

func random(rng *rand.Rand, servers, tasks int) *Problem {
	q := rng.Float64()
	p := &Problem{Local: 1 + rng.Float64()*3}
	p.Remote = func(r int) float64 { return p.Local + q*float64(r) }
	for range servers {
		p.Initial = append(p.Initial, rng.Float64()*6)
	}
	for left := tasks; left > 0; {
		n := 1 + rng.IntN(left)
		left -= n
		g := Group{Tasks: make([]int32, n)}
		for s := range servers {
			if rng.IntN(2) == 0 {
				g.Prefer = append(g.Prefer, int32(s))
			}
		}
		if len(g.Prefer) == 0 {
			g.Prefer = []int32{int32(rng.IntN(servers))}
		}
		p.Groups = append(p.Groups, g)
	}
	return p
}

// bestLocal is the slow plain model: every local allocation is tried.
func bestLocal(p *Problem) float64 {
	var flat [][]int32
	for _, g := range p.Groups {
		for range g.Tasks {
			flat = append(flat, g.Prefer)
		}
	}
	load := append([]float64(nil), p.Initial...)
	on := make([]int, len(load))
	best := math.Inf(1)
	var try func(i int)
	try = func(i int) {
		if i == len(flat) {
			m := 0.0
			for s, n := range on {
				if n > 0 {
					m = math.Max(m, load[s])
				}
			}
			best = math.Min(best, m)
			return
		}
		for _, s := range flat[i] {
			load[s] += p.Local
			on[s]++
			try(i + 1)
			load[s] -= p.Local
			on[s]--
		}
	}
	try(0)
	return best
}

// Theorem 1: no local allocation has a smaller makespan than a balanced one. The policy
// (9) holds for every task, and reduce never makes a plan worse.
func TestBalanceAgainstExhaustiveSearch(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	for range 400 {
		p := random(rng, 2+rng.IntN(3), 1+rng.IntN(7))
		b := Balance(p)
		if want := bestLocal(p); math.Abs(b.Makespan-want) > 1e-9 {
			t.Fatalf("makespan %v, best local %v: %+v", b.Makespan, want, p)
		}
		checkPolicy(t, p, b)
		a := Plan(p, rng)
		if a.Makespan > b.Makespan+1e-9 || math.Abs(a.Makespan-Makespan(p, a)) > 1e-9 {
			t.Fatalf("reduce: %v, balance %v, recomputed %v", a.Makespan, b.Makespan, Makespan(p, a))
		}
	}
}

func checkPolicy(t *testing.T, p *Problem, a *Allocation) {
	t.Helper()
	load := append([]float64(nil), p.Initial...)
	for g := range a.Server {
		for _, s := range a.Server[g] {
			load[s] += p.Local
		}
	}
	for g, gr := range p.Groups {
		for _, s := range a.Server[g] {
			ok := false
			for _, o := range gr.Prefer {
				ok = ok || o == s
				if load[s]-p.Local > load[o]+1e-9 {
					t.Fatalf("policy (9) broken: server %d at %v, preferred %d at %v", s, load[s], o, load[o])
				}
			}
			if !ok {
				t.Fatalf("task placed on server %d that it does not prefer", s)
			}
		}
	}
}

// The protocol's largest job must not stall the loop: work is counted, not timed.
func TestPlanLargestJobIsBounded(t *testing.T) {
	p := &Problem{Local: 10, MaxLoop: 200}
	calls := 0
	p.Remote = func(r int) float64 { calls++; return 10 + float64(r) }
	g := Group{Tasks: make([]int32, 100_000)}
	for s := range 800 {
		p.Initial = append(p.Initial, float64(s%7))
		if s%4 == 0 {
			g.Prefer = append(g.Prefer, int32(s))
		}
	}
	p.Groups = []Group{g}
	a := Plan(p, rand.New(rand.NewPCG(1, 1)))
	if calls > 200 {
		t.Fatalf("reduce ran %d loops, bound 200", calls)
	}
	for _, s := range a.Server[0] {
		if s < 0 {
			t.Fatal("a task was left out")
		}
	}
}

// Lane loads follow list scheduling, and wide work takes several lanes.
func TestLanes(t *testing.T) {
	m := Size{CPUs: 8, Mem: 16}
	got := Lanes(nil, m, Size{CPUs: 2, Mem: 1}, []Work{{Size{CPUs: 2, Mem: 1}, 5}, {Size{CPUs: 4, Mem: 1}, 3}, {Size{CPUs: 2, Mem: 1}, 1}})
	want := map[float64]int{5: 1, 3: 2, 1: 1}
	for _, l := range got {
		want[l]--
	}
	for l, n := range want {
		if n != 0 {
			t.Fatalf("lanes %v: load %v is off by %d", got, l, n)
		}
	}
	if len(Lanes(nil, m, Size{GPUs: 1}, nil)) != 0 {
		t.Fatal("a machine without GPUs has no lane for a GPU task")
	}
}

func TestFirstFitIsWholeOrNothing(t *testing.T) {
	hosts := []Host{{1, 0, Size{CPUs: 4}}, {2, 1, Size{CPUs: 8}}, {3, 0, Size{CPUs: 4}}}
	one := Size{CPUs: 4}
	if got := FirstFit(hosts, one, 5, false, 0); got != nil {
		t.Fatalf("five do not fit, got %v", got)
	}
	if got := FirstFit(hosts, one, 4, false, 0); len(got) != 4 {
		t.Fatalf("four fit, got %v", got)
	}
	if got := FirstFit(hosts, one, 3, true, 0); got != nil {
		t.Fatalf("no zone takes three, got %v", got)
	}
	if got := FirstFit(hosts, one, 2, true, 0); len(got) != 2 || got[0] != 1 || got[1] != 3 {
		t.Fatalf("zone 0 takes two, got %v", got)
	}
	if got := FirstFit(hosts, one, 3, false, 1); got != nil {
		t.Fatalf("spread over two zones takes two, got %v", got)
	}
}

// Lanes against the slow plain model: the lanes sorted anew for every piece of work.
func TestLanesAgainstThePlainModel(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	for n := range 500 {
		m := Size{CPUs: float64(1 + rng.IntN(16)), Mem: float64(8 + rng.IntN(64))}
		task := Size{CPUs: 0.5 + 3*rng.Float64(), Mem: 1}
		var work []Work
		for range rng.IntN(20) {
			work = append(work, Work{Size{CPUs: m.CPUs * rng.Float64()}, float64(rng.IntN(50))})
		}
		lanes := task.Copies(m)
		want := make([]float64, lanes)
		for _, w := range work {
			order := make([]int, lanes)
			for i := range order {
				order[i] = i
			}
			sort.SliceStable(order, func(a, b int) bool { return want[order[a]] < want[order[b]] })
			width := min(lanes, max(1, int(math.Round(w.Size.CPUs/m.CPUs*float64(lanes)))))
			if lanes == 0 {
				break
			}
			start := want[order[width-1]]
			for _, i := range order[:width] {
				want[i] = start + w.Left
			}
		}
		got := Lanes([]float64{7}, m, task, work)
		if len(got) != lanes+1 || got[0] != 7 {
			t.Fatalf("problem %d: %v, want %d lanes appended", n, got, lanes)
		}
		for i, w := range want {
			if !near(got[i+1], w) {
				t.Fatalf("problem %d: lane %d is loaded %v, want %v", n, i, got[i+1], w)
			}
		}
	}
}

// plainReduce is the slow plain model of reduce: every server is looked at in every loop.
func plainReduce(p *Problem, b *Allocation, rng *rand.Rand) *Allocation {
	n := len(p.Initial)
	load := append([]float64(nil), p.Initial...)
	tasks := make([][]ref, n)
	total := 0
	for g := range b.Server {
		for i, s := range b.Server[g] {
			if s < 0 {
				continue
			}
			load[s] += p.Local
			tasks[s] = append(tasks[s], ref{int32(g), int32(i)})
			total++
		}
	}
	if total == 0 {
		return b
	}
	loops := p.MaxLoop
	if loops <= 0 {
		loops = total
	}
	var pool []ref
	kept, keptSpan, keptN := []int32(nil), b.Makespan, 0
	for range loops {
		smax := -1
		for s := range load {
			if len(tasks[s]) > 0 && (smax < 0 || load[s] > load[smax]) {
				smax = s
			}
		}
		if smax < 0 {
			break
		}
		k := rng.IntN(len(tasks[smax]))
		last := len(tasks[smax]) - 1
		t := tasks[smax][k]
		tasks[smax][k] = tasks[smax][last]
		tasks[smax] = tasks[smax][:last]
		load[smax] -= p.Local
		pool = append(pool, t)

		// The expected makespan is the highest remaining load. Where all tasks are in
		// the pool no server is active, and nothing is expected but the pool itself.
		exp := 0.0
		for s := range load {
			if len(tasks[s]) > 0 {
				exp = max(exp, load[s])
			}
		}
		rem := p.Remote(len(pool))
		where, span := plainPlace(p, load, len(pool), rem)
		for s := range load {
			if len(tasks[s]) > 0 {
				span = max(span, load[s])
			}
		}
		if where == nil {
			break
		}
		if span > exp {
			if span < keptSpan {
				kept, keptSpan, keptN = where, span, len(pool)
			}
			break
		}
		kept, keptSpan, keptN = where, span, len(pool)
	}
	a := &Allocation{Server: make([][]int32, len(b.Server)), Remote: make([][]bool, len(b.Server)), Makespan: keptSpan, NRemote: keptN}
	for g := range b.Server {
		a.Server[g] = append([]int32(nil), b.Server[g]...)
		a.Remote[g] = make([]bool, len(b.Server[g]))
	}
	for i := 0; i < keptN; i++ {
		t := pool[i]
		a.Server[t.group][t.at] = kept[i]
		a.Remote[t.group][t.at] = true
	}
	return a
}

// plainPlace places n remote tasks, one by one, on the least-loaded server.
func plainPlace(p *Problem, load []float64, n int, rem float64) ([]int32, float64) {
	cur := append([]float64(nil), load...)
	h := newLoadHeap(cur)
	if p.Fetch != nil {
		h.restrict(func(s int32) bool { return p.Fetch(int(s)) })
	}
	if h.Len() == 0 {
		return nil, 0
	}
	where := make([]int32, 0, n)
	span := 0.0
	for range n {
		s := h.ids[0]
		cur[s] += rem
		span = max(span, cur[s])
		heap.Fix(h, 0)
		where = append(where, s)
	}
	return where, span
}

// Reduce keeps its servers in order from loop to loop; with the same luck it must plan the
// very same as if it looked at every server in every loop, equal loads included.
func TestReducePlansAsThePlainModel(t *testing.T) {
	moved := 0
	for seed := range uint64(600) {
		rng := rand.New(rand.NewPCG(seed, 21))
		p := random(rng, 1+rng.IntN(40), 1+rng.IntN(120))
		if seed%2 == 0 { // many equal loads
			for s := range p.Initial {
				p.Initial[s] = math.Floor(p.Initial[s] / 2)
			}
			p.Local = 1
		}
		if seed%3 == 0 {
			p.MaxLoop = 1 + rng.IntN(20)
		}
		if seed%5 == 0 {
			odd := rng.IntN(2)
			p.Fetch = func(s int) bool { return s%2 == odd }
		}
		b := Balance(p)
		want := plainReduce(p, b, rand.New(rand.NewPCG(seed, 4)))
		got := reduce(p, b, rand.New(rand.NewPCG(seed, 4)))
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("seed %d: makespan %v with %d remote tasks, want %v with %d", seed, got.Makespan, got.NRemote, want.Makespan, want.NRemote)
		}
		moved += got.NRemote
	}
	if moved < 600 {
		t.Fatalf("only %d tasks were moved: the test decides nothing", moved)
	}
}
