package planner

import "container/heap"

// heapOrder is the order of the servers in a loadHeap.
type heapOrder uint8

const (
	leastLoadedFirst heapOrder = iota
	mostLoadedFirst
)

// notInHeap is the position of a server that is not in the heap.
const notInHeap int32 = -1

// loadHeap is a heap.Interface over servers, ordered by load and, among equal loads, by index. The loads are shared
// with the caller, who must call heap.Fix after changing the load of a server in the heap.
type loadHeap struct {
	loads   []float64
	servers []int32
	order   heapOrder
	// positions maps each server to its index in servers, or notInHeap. It is nil unless trackPositions was called.
	positions []int32
}

// newLoadHeap returns a heap of the servers for which include returns true, or of all servers if include is nil.
func newLoadHeap(loads []float64, order heapOrder, include func(server int32) bool) *loadHeap {
	h := &loadHeap{loads: loads, order: order, servers: make([]int32, 0, len(loads))}
	for server := range int32(len(loads)) {
		if include == nil || include(server) {
			h.servers = append(h.servers, server)
		}
	}
	heap.Init(h)
	return h
}

// trackPositions makes the heap maintain positions. heap.Push and heap.Pop must not be called on it afterwards.
func (h *loadHeap) trackPositions() {
	h.positions = make([]int32, len(h.loads))
	for server := range h.positions {
		h.positions[server] = notInHeap
	}
	for position, server := range h.servers {
		h.positions[server] = int32(position)
	}
}

// first returns the first server in the heap's order. The heap must not be empty.
func (h *loadHeap) first() int32 { return h.servers[0] }

// Len returns the number of servers in the heap.
func (h *loadHeap) Len() int { return len(h.servers) }

// Less reports whether the server at position i comes before the one at position j.
func (h *loadHeap) Less(i, j int) bool {
	a, b := h.servers[i], h.servers[j]
	if h.loads[a] != h.loads[b] {
		return (h.loads[a] < h.loads[b]) == (h.order == leastLoadedFirst)
	}
	return a < b
}

// Swap exchanges the servers at two positions.
func (h *loadHeap) Swap(i, j int) {
	h.servers[i], h.servers[j] = h.servers[j], h.servers[i]
	if h.positions != nil {
		h.positions[h.servers[i]] = int32(i)
		h.positions[h.servers[j]] = int32(j)
	}
}

// Push appends a server, an int32; only heap.Push calls it.
func (h *loadHeap) Push(server any) { h.servers = append(h.servers, server.(int32)) }

// Pop removes and returns the last server, an int32; only heap.Pop calls it.
func (h *loadHeap) Pop() any {
	last := len(h.servers) - 1
	server := h.servers[last]
	h.servers = h.servers[:last]
	return server
}
