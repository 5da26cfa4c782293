package planner

import (
	"container/heap"
	"math/rand/v2"
)

// taskRef names a task by its group and its position in Group.Tasks.
type taskRef struct{ group, position int32 }

// remotePlacement is where the tasks of the remote pool go: one server for each, in the order of the pool.
type remotePlacement struct {
	servers  []int32
	makespan float64 // seconds
}

// reduce makes random tasks of the most-loaded server remote for as long as the expected makespan is met
// (Algorithm 2), and returns the best plan it met, which is the balanced one where no task gains.
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
// A loop changes the load of one server: two heaps that are kept from loop to loop find the most-loaded active
// server and the least-loaded host. Looking at every server in every loop took a fifth of a busy leader's processor
// time.
type reducer struct {
	problem   *Problem
	taskCount int
	// loads and tasks are each server's load and tasks without the pool.
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

// maxLoops returns the problem's bound on loops.
func (r *reducer) maxLoops() int {
	if r.problem.MaxLoops > 0 {
		return r.problem.MaxLoops
	}
	return r.taskCount
}

// moveToPool takes a random task off the first active server.
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

// expectedMakespan returns the highest load without the pool. Where every task is in the pool no server is active,
// and nothing is expected but the pool itself.
func (r *reducer) expectedMakespan() float64 {
	if r.active.Len() == 0 {
		return 0
	}
	return max(0, r.loads[r.active.first()])
}

// placePool returns the placement of the pool and the makespan of the whole plan with it. ok is false if no server
// accepts remote tasks.
func (r *reducer) placePool() (placement remotePlacement, ok bool) {
	placement, ok = r.hosts.place(len(r.pool), r.problem.RemoteCost(len(r.pool)))
	placement.makespan = max(placement.makespan, r.expectedMakespan())
	return placement, ok
}

// apply returns a copy of the balanced allocation in which the first tasks of the pool run where the placement puts
// them.
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
	// savedLoads is used within place only.
	savedLoads []float64
}

// newRemoteHosts copies the loads: those of the hosts change while place runs.
func newRemoteHosts(p *Problem, loads []float64) *remoteHosts {
	var accepts func(server int32) bool
	if p.AcceptsRemote != nil {
		accepts = func(server int32) bool { return p.AcceptsRemote(int(server)) }
	}
	byLoad := newLoadHeap(append([]float64(nil), loads...), leastLoadedFirst, accepts)
	byLoad.trackPositions()
	return &remoteHosts{byLoad: byLoad}
}

// setLoad sets a server's load without remote tasks.
func (h *remoteHosts) setLoad(server int32, load float64) {
	h.byLoad.loads[server] = load
	if position := h.byLoad.positions[server]; position != notInHeap {
		heap.Fix(h.byLoad, int(position))
	}
}

// place puts a number of remote tasks, one by one, each on the least-loaded host, and leaves the loads as they were.
// The result's makespan is the highest load among the servers that took one. ok is false if there is no host.
//
// The paper takes a server whose load stays within the expected makespan, or the least-loaded one if there is none.
// The least-loaded server serves both cases: it qualifies whenever any does.
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
