package planner

import (
	"container/heap"
	"math/rand/v2"
)

// taskRef identifies a task by its group and its position in Group.Tasks.
type taskRef struct{ group, position int32 }

// remotePlacement assigns a server to each task of the pool of remote tasks, in the order of the pool.
type remotePlacement struct {
	servers  []int32
	makespan float64 // seconds
}

// reduce repeatedly makes a random task of the most-loaded server remote, as long as the resulting makespan doesn't
// exceed the expected one (Algorithm 2). It returns the best plan found, or the balanced one if no remote task lowers
// the makespan.
func reduce(p *Problem, balanced *Allocation, rng *rand.Rand) *Allocation {
	r := newReducer(p, balanced)
	if r.taskCount == 0 {
		return balanced
	}
	best := remotePlacement{makespan: balanced.Makespan}
	for range r.maxLoops() {
		if r.active.Len() == 0 {
			break
		}
		r.moveToPool(r.active.first(), rng)
		placement, ok := r.placePool()
		if !ok {
			break
		}
		if placement.makespan > r.expectedMakespan() {
			if placement.makespan < best.makespan {
				best = placement
			}
			break
		}
		best = placement
	}
	return r.apply(balanced, best)
}

// reducer is the state of one run of reduce.
//
// Each iteration changes the load of one server. Two heaps, which persist between iterations, give the most-loaded
// active server and the least-loaded host. A scan of all servers in each iteration took a fifth of a busy leader's
// processor time.
type reducer struct {
	problem   *Problem
	taskCount int
	// loads and tasks are the load and the tasks of each server, without the tasks in the pool.
	loads []float64
	tasks [][]taskRef
	// active are the servers that have tasks, the most loaded first.
	active *loadHeap
	// pool are the remote tasks in the order in which they left their servers.
	pool  []taskRef
	hosts *remoteHosts
}

func newReducer(p *Problem, balanced *Allocation) *reducer {
	r := &reducer{
		problem: p,
		loads:   append([]float64(nil), p.InitialLoads...),
		tasks:   make([][]taskRef, len(p.InitialLoads)),
	}
	for group, servers := range balanced.Server {
		for position, server := range servers {
			if server == unplaced {
				continue
			}
			r.loads[server] += p.LocalCost
			r.tasks[server] = append(r.tasks[server], taskRef{int32(group), int32(position)})
			r.taskCount++
		}
	}
	r.active = newLoadHeap(r.loads, mostLoadedFirst, func(server int32) bool { return len(r.tasks[server]) > 0 })
	r.hosts = newRemoteHosts(p, r.loads)
	return r
}

// maxLoops returns the maximum number of iterations.
func (r *reducer) maxLoops() int {
	if r.problem.MaxLoops > 0 {
		return r.problem.MaxLoops
	}
	return r.taskCount
}

// moveToPool moves a random task of a server to the pool. The server must be the first active one.
func (r *reducer) moveToPool(server int32, rng *rand.Rand) {
	tasks := r.tasks[server]
	last := len(tasks) - 1
	chosen := rng.IntN(len(tasks))
	r.pool = append(r.pool, tasks[chosen])
	tasks[chosen] = tasks[last]
	r.tasks[server] = tasks[:last]
	r.loads[server] -= r.problem.LocalCost
	if last == 0 {
		heap.Pop(r.active)
	} else {
		heap.Fix(r.active, 0)
	}
	r.hosts.setLoad(server, r.loads[server])
}

// expectedMakespan returns the highest load of the active servers, without the pool. It is 0 if all tasks are in the
// pool, since no server is active then.
func (r *reducer) expectedMakespan() float64 {
	if r.active.Len() == 0 {
		return 0
	}
	return max(0, r.loads[r.active.first()])
}

// placePool returns a placement of the pool. Its makespan is that of the whole plan. ok is false if no server accepts
// remote tasks.
func (r *reducer) placePool() (placement remotePlacement, ok bool) {
	placement, ok = r.hosts.place(len(r.pool), r.problem.RemoteCost(len(r.pool)))
	placement.makespan = max(placement.makespan, r.expectedMakespan())
	return placement, ok
}

// apply returns a copy of the balanced allocation in which the first tasks of the pool run on the servers of the
// placement. The pool may have more tasks than the placement.
func (r *reducer) apply(balanced *Allocation, placement remotePlacement) *Allocation {
	a := &Allocation{
		Server:      make([][]int32, len(balanced.Server)),
		Remote:      make([][]bool, len(balanced.Server)),
		Makespan:    placement.makespan,
		RemoteTasks: len(placement.servers),
	}
	for group, servers := range balanced.Server {
		a.Server[group] = append([]int32(nil), servers...)
		a.Remote[group] = make([]bool, len(servers))
	}
	for i, server := range placement.servers {
		task := r.pool[i]
		a.Server[task.group][task.position] = server
		a.Remote[task.group][task.position] = true
	}
	return a
}

// remoteHosts are the servers that accept remote tasks, the least loaded first.
type remoteHosts struct {
	byLoad *loadHeap
	// savedLoads is scratch space of place: the load of each chosen server before its task was placed.
	savedLoads []float64
}

// newRemoteHosts returns the servers that accept remote tasks. It copies the loads, since place changes its own.
func newRemoteHosts(p *Problem, loads []float64) *remoteHosts {
	var accepts func(server int32) bool
	if p.AcceptsRemote != nil {
		accepts = func(server int32) bool { return p.AcceptsRemote(int(server)) }
	}
	byLoad := newLoadHeap(append([]float64(nil), loads...), leastLoadedFirst, accepts)
	byLoad.trackPositions()
	return &remoteHosts{byLoad: byLoad}
}

// setLoad sets a server's load, which doesn't include remote tasks.
func (h *remoteHosts) setLoad(server int32, load float64) {
	h.byLoad.loads[server] = load
	if position := h.byLoad.positions[server]; position != notInHeap {
		heap.Fix(h.byLoad, int(position))
	}
}

// place assigns a number of remote tasks, one by one, to the least-loaded host, and restores the loads afterwards. The
// placement's makespan is the highest load of the servers that received a task. ok is false if there are no hosts.
//
// The paper chooses a server whose load stays within the expected makespan, or else the least-loaded server. The
// least-loaded server is correct in both cases: if any server stays within the expected makespan, it does.
func (h *remoteHosts) place(tasks int, cost float64) (placement remotePlacement, ok bool) {
	if h.byLoad.Len() == 0 {
		return remotePlacement{}, false
	}
	placement.servers = make([]int32, 0, tasks)
	h.savedLoads = h.savedLoads[:0]
	for range tasks {
		server := h.byLoad.first()
		placement.servers = append(placement.servers, server)
		h.savedLoads = append(h.savedLoads, h.byLoad.loads[server])
		h.byLoad.loads[server] += cost
		placement.makespan = max(placement.makespan, h.byLoad.loads[server])
		heap.Fix(h.byLoad, 0)
	}
	for i := tasks - 1; i >= 0; i-- {
		h.setLoad(placement.servers[i], h.savedLoads[i])
	}
	return placement, true
}
