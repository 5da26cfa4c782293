// Package planner holds the Balance-Reduce planner as pure functions.
//
// Servers are lanes of machines, tasks with the same preferences form a group. Grouping
// changes nothing in the result, since tasks of a group are interchangeable, but it keeps
// the flow network small when a job has many tasks.
package planner

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
)

// Group is a set of interchangeable tasks that prefer the same servers.
type Group struct {
	Tasks  []int32 // task numbers
	Prefer []int32 // servers that hold the input
}

// Problem is one scheduling problem in the paper's terms.
type Problem struct {
	Initial []float64             // initial load of each server
	Groups  []Group               // tasks
	Local   float64               // local cost
	Remote  func(r int) float64   // remote cost by number of remote tasks
	MaxLoop int                   // bound on reduce's loops; 0: one per task
	Fetch   func(server int) bool // optional: may take remote tasks
}

// Allocation says which server each task goes to, by group.
type Allocation struct {
	Server   [][]int32 // per group, per task
	Remote   [][]bool  // per group, per task: runs away from its input
	Makespan float64
	NRemote  int
}

// tally is a balanced local allocation as counts: num[g][s] tasks of group g on server s.
type tally struct {
	load []float64
	num  [][]int32 // by group, by index into Prefer
	on   []int32   // tasks by server
}

// loadHeap orders servers by load, the least or the most loaded first and equal ones by
// number. at, if it is there, follows each server's place.
type loadHeap struct {
	load []float64
	ids  []int32
	most bool
	at   []int32
}

func newLoadHeap(load []float64) *loadHeap {
	h := &loadHeap{load: load, ids: make([]int32, len(load))}
	for i := range h.ids {
		h.ids[i] = int32(i)
	}
	heap.Init(h)
	return h
}

// restrict keeps only the servers that ok accepts.
func (h *loadHeap) restrict(ok func(int32) bool) {
	keep := h.ids[:0]
	for _, s := range h.ids {
		if ok(s) {
			keep = append(keep, s)
		}
	}
	h.ids = keep
	heap.Init(h)
}

func (h *loadHeap) Len() int { return len(h.ids) }
func (h *loadHeap) Less(i, j int) bool {
	a, b := h.ids[i], h.ids[j]
	if h.load[a] != h.load[b] {
		return (h.load[a] < h.load[b]) != h.most
	}
	return a < b
}

func (h *loadHeap) Swap(i, j int) {
	h.ids[i], h.ids[j] = h.ids[j], h.ids[i]
	if h.at != nil {
		h.at[h.ids[i]], h.at[h.ids[j]] = int32(i), int32(j)
	}
}
func (h *loadHeap) Push(x any) { h.ids = append(h.ids, x.(int32)) }
func (h *loadHeap) Pop() any {
	x := h.ids[len(h.ids)-1]
	h.ids = h.ids[:len(h.ids)-1]
	return x
}

// Balance returns a balanced allocation in which every task runs on a preferred server
// (Algorithm 1): it grows augmenting paths from the least-loaded server.
func Balance(p *Problem) *Allocation {
	t := balance(p)
	return t.allocation(p)
}

func balance(p *Problem) *tally {
	t := &tally{load: append([]float64(nil), p.Initial...), on: make([]int32, len(p.Initial)), num: make([][]int32, len(p.Groups))}
	left := make([]int32, len(p.Groups))
	total := 0
	// byServer lists, for a server, the groups that prefer it and its place among theirs.
	type edge struct{ group, at int32 }
	byServer := make([][]edge, len(p.Initial))
	for g, gr := range p.Groups {
		t.num[g] = make([]int32, len(gr.Prefer))
		left[g] = int32(len(gr.Tasks))
		if len(gr.Prefer) == 0 {
			continue
		}
		total += len(gr.Tasks)
		for i, s := range gr.Prefer {
			byServer[s] = append(byServer[s], edge{int32(g), int32(i)})
		}
	}
	// Servers that no task prefers can start no augmenting path.
	h := newLoadHeap(t.load)
	h.restrict(func(s int32) bool { return len(byServer[s]) > 0 })
	visitedS := make([]int, len(p.Initial))
	visitedG := make([]int, len(p.Groups))
	// via[g] is how the search reached group g: from server at place via[g].
	via := make([]edge, len(p.Groups))
	from := make([]edge, len(p.Initial)) // the group and place through which a server was reached
	for round := 1; total > 0; round++ {
		var set []int32
		found := int32(-1)
		var start int32
		for found < 0 && h.Len() > 0 {
			start = heap.Pop(h).(int32)
			set = append(set, start)
			if visitedS[start] == round {
				continue
			}
			visitedS[start] = round
			queue := []int32{start}
			for len(queue) > 0 && found < 0 {
				s := queue[0]
				queue = queue[1:]
				for _, e := range byServer[s] {
					if visitedG[e.group] == round {
						continue
					}
					visitedG[e.group] = round
					via[e.group] = edge{s, e.at}
					if left[e.group] > 0 {
						found = e.group
						break
					}
					for i, n := range t.num[e.group] {
						o := p.Groups[e.group].Prefer[i]
						if n > 0 && visitedS[o] != round {
							visitedS[o] = round
							from[o] = edge{e.group, int32(i)}
							queue = append(queue, o)
						}
					}
				}
			}
		}
		if found < 0 {
			break // cannot happen: every remaining group prefers some server
		}
		// Walk the path back: each server on it gives one task away and takes one.
		g := found
		left[g]--
		for {
			s, at := via[g].group, via[g].at
			t.num[g][at]++
			if s == start {
				break
			}
			g = from[s].group
			t.num[g][from[s].at]--
		}
		t.load[start] += p.Local
		t.on[start]++
		total--
		for _, s := range set {
			heap.Push(h, s)
		}
	}
	return t
}

// allocation turns counts into servers per task.
func (t *tally) allocation(p *Problem) *Allocation {
	a := &Allocation{Server: make([][]int32, len(p.Groups)), Remote: make([][]bool, len(p.Groups))}
	for g, gr := range p.Groups {
		a.Server[g] = make([]int32, len(gr.Tasks))
		a.Remote[g] = make([]bool, len(gr.Tasks))
		k := 0
		for i, n := range t.num[g] {
			for ; n > 0; n-- {
				a.Server[g][k] = gr.Prefer[i]
				k++
			}
		}
		for ; k < len(gr.Tasks); k++ {
			a.Server[g][k] = -1
		}
	}
	for s, n := range t.on {
		if n > 0 {
			a.Makespan = max(a.Makespan, t.load[s])
		}
	}
	return a
}

// ref names a task by its group and its place there.
type ref struct{ group, at int32 }

// Plan runs balance and then reduce, and returns the better plan.
func Plan(p *Problem, rng *rand.Rand) *Allocation {
	return reduce(p, Balance(p), rng)
}

// reduce moves random tasks of the most-loaded server to a remote pool for as long as the
// expected makespan is met (Algorithm 2). A loop's remote tasks are placed as counts by
// server, so that only the plan that is kept is written out task by task.
//
// A loop changes the load of one server: two heaps kept from loop to loop find the most
// loaded active server and the least loaded one, where looking at every server in every loop
// was a fifth of a busy leader's processor time.
func reduce(p *Problem, b *Allocation, rng *rand.Rand) *Allocation {
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
	active := newLoadHeap(load)
	active.most = true
	active.restrict(func(s int32) bool { return len(tasks[s]) > 0 })
	hosts := newPool(p, load)
	var pool []ref
	kept, keptSpan, keptN := []int32(nil), b.Makespan, 0
	for range loops {
		if active.Len() == 0 {
			break
		}
		smax := active.ids[0]
		k := rng.IntN(len(tasks[smax]))
		last := len(tasks[smax]) - 1
		t := tasks[smax][k]
		tasks[smax][k] = tasks[smax][last]
		tasks[smax] = tasks[smax][:last]
		load[smax] -= p.Local
		pool = append(pool, t)
		if last == 0 {
			heap.Pop(active)
		} else {
			heap.Fix(active, 0)
		}

		// The expected makespan is the highest remaining load. Where all tasks are in
		// the pool no server is active, and nothing is expected but the pool itself.
		exp := 0.0
		if active.Len() > 0 {
			exp = max(0, load[active.ids[0]])
		}
		hosts.lower(smax, load[smax])
		where, span := hosts.place(len(pool), p.Remote(len(pool)))
		span = max(span, exp)
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

// remotePool keeps the servers that may take remote tasks in the order of their loads.
type remotePool struct {
	h  *loadHeap
	at []int32 // a server's place in the heap, -1 if it is not there
}

func newPool(p *Problem, load []float64) *remotePool {
	h := newLoadHeap(append([]float64(nil), load...))
	if p.Fetch != nil {
		h.restrict(func(s int32) bool { return p.Fetch(int(s)) })
	}
	r := &remotePool{h: h, at: make([]int32, len(load))}
	for s := range r.at {
		r.at[s] = -1
	}
	for i, s := range h.ids {
		r.at[s] = int32(i)
	}
	h.at = r.at
	return r
}

// lower sets a server's load.
func (r *remotePool) lower(s int32, load float64) {
	if r.h.load[s] = load; r.at[s] >= 0 {
		heap.Fix(r.h, int(r.at[s]))
	}
}

// place puts n remote tasks, one by one, on a server whose load is at most exp-rem, or on
// the least-loaded server if there is none. It returns the servers and the highest load
// among those that took one, and leaves the loads as they were.
//
// Taking the least-loaded server serves both cases: it qualifies whenever any does.
func (r *remotePool) place(n int, rem float64) ([]int32, float64) {
	if r.h.Len() == 0 {
		return nil, 0
	}
	where, before := make([]int32, 0, n), make([]float64, 0, n)
	span := 0.0
	for range n {
		s := r.h.ids[0]
		where, before = append(where, s), append(before, r.h.load[s])
		r.h.load[s] += rem
		span = max(span, r.h.load[s])
		heap.Fix(r.h, 0)
	}
	for i := n - 1; i >= 0; i-- {
		r.lower(where[i], before[i])
	}
	return where, span
}

// Makespan recomputes an allocation's makespan from scratch.
func Makespan(p *Problem, a *Allocation) float64 {
	load := append([]float64(nil), p.Initial...)
	active := make([]bool, len(load))
	rem := p.Remote(a.NRemote)
	for g := range a.Server {
		for i, s := range a.Server[g] {
			if s < 0 {
				continue
			}
			active[s] = true
			if a.Remote[g][i] {
				load[s] += rem
			} else {
				load[s] += p.Local
			}
		}
	}
	m := 0.0
	for s, on := range active {
		if on {
			m = math.Max(m, load[s])
		}
	}
	return m
}

// Size is what a task takes, or what a machine has.
type Size struct{ CPUs, GPUs, Mem float64 }

// Fits tells whether s fits into free; the slack forgives rounding of decimal amounts.
func (s Size) Fits(free Size) bool {
	const slack = 1e-6
	return s.CPUs <= free.CPUs+slack && s.GPUs <= free.GPUs+slack && s.Mem <= free.Mem+slack
}

// Sub takes o away.
func (s Size) Sub(o Size) Size { return Size{s.CPUs - o.CPUs, s.GPUs - o.GPUs, s.Mem - o.Mem} }

// Add puts o on top.
func (s Size) Add(o Size) Size { return Size{s.CPUs + o.CPUs, s.GPUs + o.GPUs, s.Mem + o.Mem} }

// Min is the smaller of both in each resource.
func (s Size) Min(o Size) Size {
	return Size{min(s.CPUs, o.CPUs), min(s.GPUs, o.GPUs), min(s.Mem, o.Mem)}
}

// Times is k of s.
func (s Size) Times(k float64) Size { return Size{s.CPUs * k, s.GPUs * k, s.Mem * k} }

// Copies is how many of s fit side by side.
func (s Size) Copies(in Size) int {
	n := math.Inf(1)
	for _, d := range [...][2]float64{{s.CPUs, in.CPUs}, {s.GPUs, in.GPUs}, {s.Mem, in.Mem}} {
		if d[0] > 0 {
			n = math.Min(n, math.Floor(d[1]/d[0]+1e-6))
		}
	}
	return int(math.Max(0, math.Min(n, maxCopies)))
}

const (
	maxCopies = 1 << 20
	maxLanes  = 256 // of one machine, however small the tasks are
)

// Work is something that already loads a machine: its width in lanes and remaining time.
type Work struct {
	Size Size
	Left float64
}

// Lanes reads a machine of the given size as lanes for tasks of one size: one lane per
// copy that fits, loaded with the estimated remaining work in the order given. A task
// wider than a lane loads several, the least loaded ones, from when the last of them is
// free. The loads are appended to dst.
func Lanes(dst []float64, machine, task Size, work []Work) []float64 {
	n := min(task.Copies(machine), maxLanes)
	for range n {
		dst = append(dst, 0)
	}
	load := dst[len(dst)-n:]
	for _, w := range work {
		share := 0.0
		for _, d := range [...][2]float64{{w.Size.CPUs, machine.CPUs}, {w.Size.GPUs, machine.GPUs}, {w.Size.Mem, machine.Mem}} {
			if d[1] > 0 {
				share = math.Max(share, d[0]/d[1])
			}
		}
		width := min(n, max(1, int(math.Round(share*float64(n)))))
		switch {
		case n == 0:
		case width == n:
			end := slices.Max(load) + w.Left
			for i := range load {
				load[i] = end
			}
		case width == 1:
			load[least(load)] += w.Left
		default:
			var taken [maxLanes]int
			start := 0.0
			for i := range width {
				taken[i] = least(load)
				start = load[taken[i]]
				load[taken[i]] = math.Inf(1)
			}
			for _, i := range taken[:width] {
				load[i] = start + w.Left
			}
		}
	}
	return dst
}

// least is the place of the smallest load, the first of equal ones.
func least(load []float64) int {
	best := 0
	for i, l := range load {
		if l < load[best] {
			best = i
		}
	}
	return best
}

// Host is a machine as first fit sees it.
type Host struct {
	ID   int32
	Zone int32
	Free Size
}

// FirstFit places n equal tasks whole, in the order of the hosts, or not at all. perZone
// bounds how many tasks one zone takes (0: no bound); oneZone asks for a single zone.
func FirstFit(hosts []Host, task Size, n int, oneZone bool, perZone int) []int32 {
	if oneZone {
		tried := map[int32]bool{}
		for _, h := range hosts {
			if tried[h.Zone] {
				continue
			}
			tried[h.Zone] = true
			var zone []Host
			for _, o := range hosts {
				if o.Zone == h.Zone {
					zone = append(zone, o)
				}
			}
			if got := FirstFit(zone, task, n, false, perZone); got != nil {
				return got
			}
		}
		return nil
	}
	used := map[int32]int{}
	out := make([]int32, 0, n)
	for _, h := range hosts {
		free := h.Free
		for len(out) < n && task.Fits(free) && (perZone == 0 || used[h.Zone] < perZone) {
			free = free.Sub(task)
			used[h.Zone]++
			out = append(out, h.ID)
		}
	}
	if len(out) < n {
		return nil
	}
	return out
}
