package planner

import "container/heap"

// Balance returns a balanced allocation in which every task runs on a server that it prefers (Algorithm 1). It
// places the tasks one by one, each along an augmenting path that begins at the least-loaded server.
func Balance(p *Problem) *Allocation {
	b := newBalancer(p)
	for range b.tasksToPlace() {
		root, group, found := b.findPath()
		if !found {
			break // Doesn't happen: every task that is left prefers some server.
		}
		b.augment(root, group)
	}
	return b.allocation()
}

// preference is an edge of the flow network as a server sees it: a group that prefers the server, and the server's
// position in the group's PreferredServers.
type preference struct{ group, position int32 }

// arrival is how a search reached a group: from a server, whose position in the group's PreferredServers goes with it.
type arrival struct{ server, position int32 }

// balancer is the state of one run of Balance. The tasks of a group are interchangeable, so it counts them by
// server, and only the result lists them.
type balancer struct {
	problem *Problem
	// loads and taskCounts are each server's load and number of tasks so far.
	loads      []float64
	taskCounts []int32
	// placed counts the tasks of a group by the server's position in its PreferredServers; waiting counts those without
	// a server.
	placed  [][]int32
	waiting []int32
	// preferences are the edges of each server.
	preferences [][]preference
	// candidates are the servers at which a path may begin: those that some task prefers, the least loaded first.
	candidates *loadHeap
	search     pathSearch
}

// pathSearch is the state of the search for one augmenting path. Its slices are reused for the next one: what an
// earlier round visited counts as not visited.
type pathSearch struct {
	round int
	// serverRound and groupRound are the last round that visited the server or group.
	serverRound []int
	groupRound  []int
	// groupFrom and serverFrom are how this round reached a group, and through which group's task a server.
	groupFrom  []arrival
	serverFrom []preference
	// roots are the servers that were taken from the candidates, queue the servers to look at.
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
			serverRound: make([]int, servers),
			groupRound:  make([]int, groups),
			groupFrom:   make([]arrival, groups),
			serverFrom:  make([]preference, servers),
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

// findPath looks for an augmenting path from the least-loaded server from which there is one. It returns the path's
// root, and the group at its end, which has a task without a server. The roots that were tried leave the candidates
// until augment puts them back.
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

// searchFrom searches the flow network from a root, breadth first, for a group that has a task without a server.
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
			s.groupFrom[edge.group] = arrival{server, edge.position}
			if b.waiting[edge.group] > 0 {
				return edge.group, true
			}
			b.enqueueServersOf(edge.group)
		}
	}
	return 0, false
}

// enqueueServersOf adds the servers that have a task of the group and could give it away.
func (b *balancer) enqueueServersOf(group int32) {
	s := &b.search
	prefer := b.problem.Groups[group].PreferredServers
	for position, count := range b.placed[group] {
		server := prefer[position]
		if count > 0 && s.serverRound[server] != s.round {
			s.serverRound[server] = s.round
			s.serverFrom[server] = preference{group, int32(position)}
			s.queue = append(s.queue, server)
		}
	}
}

// augment places a task of the group at the end of the path that findPath returned. Each server on the path takes a
// task, and all but the root give one away: only the root's load rises.
func (b *balancer) augment(root, group int32) {
	b.waiting[group]--
	for {
		reached := b.search.groupFrom[group]
		b.placed[group][reached.position]++
		if reached.server == root {
			break
		}
		given := b.search.serverFrom[reached.server]
		b.placed[given.group][given.position]--
		group = given.group
	}
	b.loads[root] += b.problem.LocalCost
	b.taskCounts[root]++
	for _, server := range b.search.roots {
		heap.Push(b.candidates, server)
	}
}

// allocation lists the server of each task.
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

// serversOfGroup lists the servers of a group's tasks in the order of its PreferredServers, then the tasks without one.
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
