package planner

import "container/heap"

// Balance returns a balanced allocation in which every task runs on a server that it prefers (Algorithm 1). It places
// the tasks one by one. Each task's augmenting path begins at the least-loaded server that has an augmenting path.
func Balance(p *Problem) *Allocation {
	b := newBalancer(p)
	for range b.tasksToPlace() {
		root, group, found := b.findPath()
		if !found {
			break // unreachable: every remaining task prefers some server
		}
		b.augment(root, group)
	}
	return b.allocation()
}

// preference is an edge of the flow network from a server: a group that prefers the server, and the server's position
// in the group's PreferredServers.
type preference struct{ group, position int32 }

// serverEdge is an edge of the flow network to a group: a server, and its position in the group's PreferredServers.
type serverEdge struct{ server, position int32 }

// balancer is the state of one run of Balance. The tasks of a group are interchangeable, so balancer only counts them
// by server; allocation assigns the individual tasks.
type balancer struct {
	problem *Problem
	// loads and taskCounts are the current load and number of tasks of each server.
	loads      []float64
	taskCounts []int32
	// placed is the number of placed tasks of each group by the server's position in its PreferredServers. waiting is
	// the number of tasks of each group that are not placed yet.
	placed  [][]int32
	waiting []int32
	// preferences are the edges from each server.
	preferences [][]preference
	// candidates are the servers at which a path may begin: servers that some task prefers, the least loaded first.
	candidates *loadHeap
	search     pathSearch
}

// pathSearch is the state of the search for one augmenting path, a round. Its slices are reused in the next round: a
// server or group is visited only if its round equals the current one.
type pathSearch struct {
	round int // number of the current round, from 1
	// serverRound and groupRound are the last rounds in which each server or group was visited.
	serverRound []int
	groupRound  []int
	// groupParents is the edge by which this round reached each group, serverParents the edge by which it reached each
	// server.
	groupParents  []serverEdge
	serverParents []preference
	// roots are the servers that this round removed from the candidates. queue holds the servers to expand.
	roots []int32
	queue []int32
}

func newBalancer(p *Problem) *balancer {
	servers, groups := len(p.InitialLoads), len(p.Groups)
	b := &balancer{
		problem:     p,
		loads:       append([]float64(nil), p.InitialLoads...),
		taskCounts:  make([]int32, servers),
		placed:      make([][]int32, groups),
		waiting:     make([]int32, groups),
		preferences: make([][]preference, servers),
		search: pathSearch{
			serverRound:   make([]int, servers),
			groupRound:    make([]int, groups),
			groupParents:  make([]serverEdge, groups),
			serverParents: make([]preference, servers),
		},
	}
	for g := range p.Groups {
		group := &p.Groups[g]
		b.placed[g] = make([]int32, len(group.PreferredServers))
		b.waiting[g] = int32(len(group.Tasks))
		for position, server := range group.PreferredServers {
			b.preferences[server] = append(b.preferences[server], preference{int32(g), int32(position)})
		}
	}
	// A server that no task prefers can't begin a path.
	b.candidates = newLoadHeap(b.loads, leastLoadedFirst, func(server int32) bool {
		return len(b.preferences[server]) > 0
	})
	return b
}

// tasksToPlace returns the number of tasks that prefer some server.
func (b *balancer) tasksToPlace() int {
	total := 0
	for g := range b.problem.Groups {
		if group := &b.problem.Groups[g]; len(group.PreferredServers) > 0 {
			total += len(group.Tasks)
		}
	}
	return total
}

// findPath searches for an augmenting path from each server, the least-loaded server first, and returns the first
// path's root and the group at the path's end. That group has a task that is not placed. findPath removes every
// searched root from the candidates; augment puts these roots back.
func (b *balancer) findPath() (root, group int32, found bool) {
	b.search.round++
	b.search.roots = b.search.roots[:0]
	for b.candidates.Len() > 0 {
		root = heap.Pop(b.candidates).(int32)
		b.search.roots = append(b.search.roots, root)
		if b.search.serverRound[root] == b.search.round {
			continue
		}
		if group, found = b.searchFrom(root); found {
			return root, group, true
		}
	}
	return 0, 0, false
}

// searchFrom searches the flow network breadth first, from a root, for a group with a task that is not placed.
func (b *balancer) searchFrom(root int32) (group int32, found bool) {
	s := &b.search
	s.serverRound[root] = s.round
	s.queue = append(s.queue[:0], root)
	for next := 0; next < len(s.queue); next++ {
		server := s.queue[next]
		for _, edge := range b.preferences[server] {
			if s.groupRound[edge.group] == s.round {
				continue
			}
			s.groupRound[edge.group] = s.round
			s.groupParents[edge.group] = serverEdge{server, edge.position}
			if b.waiting[edge.group] > 0 {
				return edge.group, true
			}
			b.enqueueServersOf(edge.group)
		}
	}
	return 0, false
}

// enqueueServersOf adds the unvisited servers that have a task of the group to the queue: such a task can be moved.
func (b *balancer) enqueueServersOf(group int32) {
	s := &b.search
	preferred := b.problem.Groups[group].PreferredServers
	for position, count := range b.placed[group] {
		server := preferred[position]
		if count > 0 && s.serverRound[server] != s.round {
			s.serverRound[server] = s.round
			s.serverParents[server] = preference{group, int32(position)}
			s.queue = append(s.queue, server)
		}
	}
}

// augment places a task of the group at the end of the path that findPath returned. Each server on the path receives a
// task, and each but the root passes one on, so that only the root's load increases.
func (b *balancer) augment(root, group int32) {
	b.waiting[group]--
	for {
		reached := b.search.groupParents[group]
		b.placed[group][reached.position]++
		if reached.server == root {
			break
		}
		moved := b.search.serverParents[reached.server]
		b.placed[moved.group][moved.position]--
		group = moved.group
	}
	b.loads[root] += b.problem.LocalCost
	b.taskCounts[root]++
	for _, server := range b.search.roots {
		heap.Push(b.candidates, server)
	}
}

// allocation returns the allocation that results from the counts in placed.
func (b *balancer) allocation() *Allocation {
	groups := b.problem.Groups
	a := &Allocation{Server: make([][]int32, len(groups)), Remote: make([][]bool, len(groups))}
	for g := range groups {
		a.Server[g] = b.serversOfGroup(g)
		a.Remote[g] = make([]bool, len(groups[g].Tasks))
	}
	for server, count := range b.taskCounts {
		if count > 0 {
			a.Makespan = max(a.Makespan, b.loads[server])
		}
	}
	return a
}

// serversOfGroup returns the servers of a group's tasks, in the order of its PreferredServers and followed by unplaced
// for each remaining task.
func (b *balancer) serversOfGroup(g int) []int32 {
	group := &b.problem.Groups[g]
	servers := make([]int32, 0, len(group.Tasks))
	for position, count := range b.placed[g] {
		for range count {
			servers = append(servers, group.PreferredServers[position])
		}
	}
	for len(servers) < len(group.Tasks) {
		servers = append(servers, unplaced)
	}
	return servers
}
