// Package dependencies keeps the graph of jobs that wait for other jobs: a job's predecessors must be done before any
// of its tasks starts, and a job is cancelled when one of its predecessors is.
//
// The edges are stored in the successors' own job records, so there is no second record to keep consistent: every
// controller builds the same graph from the records that it follows. What the graph derives (blocked, doomed,
// released) is a function of durable records alone and goes one way only, as done and cancelled are final. So a
// cancellation reaches all successors whichever controller leads and whatever ends in between: the cancelled record
// and the successors' edges are durable, and each leader's Canceller goes on from there.
//
// There are no cycles: a job may name accepted jobs only, and its edges are written once, in the transaction that
// accepts it. Of the jobs on a cycle the one that was accepted first would name one that wasn't accepted yet.
//
// Graph and Resolver belong to every controller's event loop, a Canceller to one term of a leader. The package has no
// clock, plans nothing, and writes nothing but cancelled records.
package dependencies

import (
	"container/list"
	"maps"
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

// State is the state of a job in the graph.
type State uint8

// The states of a job in the graph.
//
//	Unknown  -> Blocked, Released, Done, Cancelled   its record, or its archived answer, was read
//	Blocked  -> Released                             the last predecessor is done
//	Blocked  -> Doomed                               a predecessor is cancelled or doomed
//	Released -> Done, Cancelled                      its record is terminal
//	Blocked, Doomed -> Cancelled                     its record is terminal
//	Blocked, Released, Doomed -> Unknown             its record has left the followed keys: it has ended, and how is
//	                                                 in the archive
const (
	// Unknown is a job that another one names and about which nothing was read yet.
	Unknown State = iota
	// Blocked is a live job of which a predecessor isn't done as far as is known.
	Blocked
	// Doomed is a live job of which a predecessor is cancelled or doomed. It never runs, and is to be cancelled.
	Doomed
	// Released is a live job whose predecessors are all done, or that has none.
	Released
	// Done is a job that is done.
	Done
	// Cancelled is a job that is cancelled.
	Cancelled
)

// live reports whether the state is that of a job with a pending record.
func (s State) live() bool { return s == Blocked || s == Doomed || s == Released }

// node is a job that has predecessors, or that a live job names as one.
type node struct {
	id           string
	state        State
	job          *jobs.Job     // nil unless its record is known
	predecessors []*edge       // while it is live
	successors   []*edge       // to live jobs
	unfinished   int           // predecessors that aren't known to be done
	listed       *list.Element // in the graph's list of its state, nil if there is none
	// latestEnd is valid in the ranking of latestEndStamp, see LatestEnds.
	latestEnd      time.Duration
	latestEndStamp uint64
}

// edge leads from a predecessor to a successor.
type edge struct {
	from, to *node
	position int // in from.successors
}

// Graph is the dependency graph of all jobs in a controller's table. It sets the fields Blocked, Doomed, ReleasedAt
// and Priority of the jobs in it.
type Graph struct {
	table *jobs.Table
	nodes map[string]*node // by job id
	// unknown and doomed list the nodes in these states, in the order in which they got them.
	unknown, doomed *list.List
	edges           int
	stamp           uint64 // of the newest ranking
	// onReleased is called when the last predecessor of a job that was blocked is done.
	onReleased func(now time.Duration, job *jobs.Job)
}

// New returns an empty graph of the jobs in a table. onReleased is called when the last predecessor of a job that was
// blocked is done.
func New(table *jobs.Table, onReleased func(now time.Duration, job *jobs.Job)) *Graph {
	return &Graph{
		table:      table,
		nodes:      map[string]*node{},
		unknown:    list.New(),
		doomed:     list.New(),
		onReleased: onReleased,
	}
}

// HandleJobChange takes over a job whose state is new in the table. For a job with predecessors it must be called
// before anything of the job is planned.
func (g *Graph) HandleJobChange(now time.Duration, job *jobs.Job) {
	if job.State.Terminal() {
		if end, ok := g.nodes[job.ID]; ok {
			end.job = job
			g.settle(now, end, finalState(job.State))
		}
		return
	}
	if len(job.Spec.Follows) == 0 && g.nodes[job.ID] == nil {
		return
	}
	g.addLive(now, g.nodeOf(job.ID), job)
}

// HandleArchived takes over the archived answer about a job that was Unknown.
func (g *Graph) HandleArchived(now time.Duration, id string, state jobs.State) {
	if archived, ok := g.nodes[id]; ok && !archived.state.live() {
		g.settle(now, archived, finalState(state))
	}
}

// HandleRemoved takes note that a job's record has left the followed keys, which is to say that the job has ended and
// was archived.
func (g *Graph) HandleRemoved(id string) {
	removed, ok := g.nodes[id]
	if !ok {
		return
	}
	wasLive := removed.state.live()
	removed.job = nil
	if wasLive {
		g.setState(removed, Unknown)
		g.detach(removed)
	}
	g.dropIfUnused(removed)
}

// Retain takes note of a new reading of all followed keys, once the table has: jobs that left the table, or are kept
// there only until a term ends, have left the followed keys.
func (g *Graph) Retain() {
	for _, id := range slices.Sorted(maps.Keys(g.nodes)) {
		kept := g.nodes[id]
		if kept == nil || kept.job == nil {
			continue
		}
		if job := g.table.Get(id); job == nil || job.Archived {
			g.HandleRemoved(id)
		}
	}
}

// finalState returns the state in the graph of a job whose record is terminal.
func finalState(state jobs.State) State {
	if state == jobs.Done {
		return Done
	}
	return Cancelled
}

// nodeOf returns the node of a job, which it makes if there is none. What the table has of the job is taken over.
func (g *Graph) nodeOf(id string) *node {
	if existing, ok := g.nodes[id]; ok {
		return existing
	}
	made := &node{id: id}
	g.nodes[id] = made
	job := g.table.Get(id)
	switch {
	case job == nil || job.Archived && !job.State.Terminal():
		g.setState(made, Unknown)
	case job.State.Terminal():
		made.job = job
		made.state = finalState(job.State)
	case job.Blocked:
		// HandleJobChange hasn't been called for it yet: a node with unfinished predecessors isn't forgotten.
		g.setState(made, Unknown)
	default:
		made.job = job
		made.state = Released
	}
	return made
}

// addLive links a pending job with its predecessors.
func (g *Graph) addLive(now time.Duration, added *node, job *jobs.Job) {
	if added.state != Unknown {
		return // linked already
	}
	added.job = job
	doomed := false
	for _, id := range job.Spec.Follows {
		predecessor := g.nodeOf(id)
		if predecessor.state != Done {
			added.unfinished++
		}
		doomed = doomed || predecessor.state == Doomed || predecessor.state == Cancelled
		g.link(predecessor, added)
	}
	switch {
	case doomed:
		g.setState(added, Doomed)
		g.doomSuccessors(added)
	case added.unfinished == 0:
		g.release(now, added)
	default:
		g.setState(added, Blocked)
	}
	g.recomputePriorities(added)
	g.raisePriorities(added)
}

// link adds the edge from a predecessor to a successor.
func (g *Graph) link(from, to *node) {
	linked := &edge{from: from, to: to, position: len(from.successors)}
	from.successors = append(from.successors, linked)
	to.predecessors = append(to.predecessors, linked)
	g.edges++
}

// detach removes all edges from a node's predecessors to it, before any of their priorities is computed anew.
func (g *Graph) detach(detached *node) {
	predecessors := detached.predecessors
	detached.predecessors = nil
	detached.unfinished = 0
	g.edges -= len(predecessors)
	for _, removed := range predecessors {
		from := removed.from
		last := from.successors[len(from.successors)-1]
		from.successors[removed.position] = last
		last.position = removed.position
		from.successors = from.successors[:len(from.successors)-1]
	}
	for _, removed := range predecessors {
		g.recomputePriorities(removed.from)
		g.dropIfUnused(removed.from)
	}
}

// dropIfUnused forgets a node that no live job names and that waits for nothing.
func (g *Graph) dropIfUnused(unused *node) {
	if len(unused.successors) == 0 && len(unused.predecessors) == 0 && unused.state != Doomed {
		delete(g.nodes, unused.id)
		g.unlist(unused)
	}
}

// setState is the only place where a node's state changes, and the jobs' fields with it.
func (g *Graph) setState(changed *node, to State) {
	g.unlist(changed)
	changed.state = to
	if listOfState := g.listOf(to); listOfState != nil {
		changed.listed = listOfState.PushBack(changed)
	}
	if changed.job != nil {
		changed.job.Blocked = to == Blocked || to == Doomed
		changed.job.Doomed = to == Doomed
	}
}

// listOf returns the list of the nodes in a state, nil if there is none.
func (g *Graph) listOf(state State) *list.List {
	switch state {
	case Unknown:
		return g.unknown
	case Doomed:
		return g.doomed
	}
	return nil
}

// unlist removes a node from the list of its state.
func (g *Graph) unlist(listed *node) {
	if listed.listed != nil {
		g.listOf(listed.state).Remove(listed.listed)
		listed.listed = nil
	}
}

// settle takes over that a job has ended, and what follows from it for its successors.
func (g *Graph) settle(now time.Duration, ended *node, final State) {
	if ended.state == Done || ended.state == Cancelled {
		return
	}
	g.setState(ended, final)
	g.detach(ended)
	if final == Cancelled {
		g.doomSuccessors(ended)
	} else {
		g.releaseSuccessors(now, ended)
	}
	g.dropIfUnused(ended)
}

// releaseSuccessors releases those successors of a job that is done which wait for no other one.
func (g *Graph) releaseSuccessors(now time.Duration, done *node) {
	for _, outgoing := range done.successors {
		successor := outgoing.to
		successor.unfinished--
		if successor.unfinished == 0 && successor.state == Blocked {
			g.release(now, successor)
			g.onReleased(now, successor.job)
		}
	}
}

// release lets a job start. Its predecessors stay linked: its record names them, so they aren't archived before it has
// ended.
func (g *Graph) release(now time.Duration, released *node) {
	g.setState(released, Released)
	if len(released.predecessors) > 0 {
		released.job.ReleasedAt = now
	}
}

// doomSuccessors dooms all jobs that need one, directly or through others. Chains may be long: it doesn't recurse.
func (g *Graph) doomSuccessors(start *node) {
	pending := []*node{start}
	for len(pending) > 0 {
		last := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		for _, outgoing := range last.successors {
			if outgoing.to.state == Blocked {
				g.setState(outgoing.to, Doomed)
				pending = append(pending, outgoing.to)
			}
		}
	}
}

// State returns the state of a job in the graph. A job that it doesn't contain is Unknown.
func (g *Graph) State(id string) State {
	if found, ok := g.nodes[id]; ok {
		return found.state
	}
	return Unknown
}

// Edges returns the number of edges in the graph: of predecessors of live jobs, each counted once for each successor.
func (g *Graph) Edges() int { return g.edges }

// HasSuccessors reports whether a live job names this one as its predecessor.
func (g *Graph) HasSuccessors(id string) bool {
	found, ok := g.nodes[id]
	return ok && len(found.successors) > 0
}

// Unfinished returns up to limit ids of a live job's predecessors that aren't done, and how many there are.
func (g *Graph) Unfinished(id string, limit int) (ids []string, count int) {
	found, ok := g.nodes[id]
	if !ok {
		return nil, 0
	}
	for _, incoming := range found.predecessors {
		if incoming.from.state == Done {
			continue
		}
		count++
		if len(ids) < limit {
			ids = append(ids, incoming.from.id)
		}
	}
	return ids, count
}

// ForEachUnknown calls visit for each job that is named as a predecessor and about which nothing was read, until visit
// returns false.
func (g *Graph) ForEachUnknown(visit func(id string) bool) {
	visitNodes(g.unknown, func(found *node) bool { return visit(found.id) })
}

// ForEachDoomed calls visit for each live job that is to be cancelled, the one that was doomed first at the beginning,
// until visit returns false.
func (g *Graph) ForEachDoomed(visit func(*jobs.Job) bool) {
	visitNodes(g.doomed, func(found *node) bool { return visit(found.job) })
}

// visitNodes visits the nodes of a list until visit returns false. Visit may change the state of the visited node.
func visitNodes(nodes *list.List, visit func(*node) bool) {
	for element := nodes.Front(); element != nil; {
		next := element.Next()
		if !visit(element.Value.(*node)) {
			return
		}
		element = next
	}
}

// HasUnknownAncestor reports whether it is unknown of a job before this one, directly or through others, whether it is
// cancelled.
func (g *Graph) HasUnknownAncestor(id string) bool {
	start, ok := g.nodes[id]
	if !ok || g.unknown.Len() == 0 {
		return false
	}
	visited := map[*node]bool{start: true}
	pending := []*node{start}
	for len(pending) > 0 {
		last := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		for _, incoming := range last.predecessors {
			if incoming.from.state == Unknown {
				return true
			}
			if !visited[incoming.from] {
				visited[incoming.from] = true
				pending = append(pending, incoming.from)
			}
		}
	}
	return false
}
