// Package dependencies maintains the graph of dependencies between jobs. All predecessors of a job must be done before
// any of its tasks starts. When a predecessor is cancelled, the job is cancelled too.
//
// The edges are stored in the job records of the successors, so there is no second record to keep consistent. Every
// controller builds the same graph from the records in the keys that it follows with a watch. The derived states
// (Blocked, CancelPending, Released) are a function of durable records alone. They never revert, because done and
// cancelled are final. A cancellation therefore reaches all successors whichever controller leads and whichever
// process ends in between: the cancelled record and the successors' edges are durable, and each leader's Canceller
// continues from them.
//
// There are no cycles: a job may name only jobs that are already accepted, and its edges are written once, in the
// transaction that accepts it. In a cycle, the job accepted first would name a job that wasn't accepted yet.
//
// Every controller's event loop has a Graph and a Resolver. A Canceller lives for one term of a leader. The package
// has no clock and plans nothing. It writes only cancelled records.
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
//	Unknown -> Blocked, CancelPending, Released,    the job's record or its archive entry was read
//	           Done, Cancelled
//	Blocked -> Released                             the last unfinished predecessor is done
//	Blocked -> CancelPending                        a predecessor is Cancelled or CancelPending
//	Released -> Done, Cancelled                     the job's record is terminal
//	Blocked, CancelPending -> Cancelled             the job's record is terminal
//	Blocked, CancelPending, Released -> Unknown     the job's record was removed from the watched keys: the job has
//	                                                ended, and its final state is in the archive
const (
	// Unknown is the state of a predecessor of which neither a record nor an archive entry was read.
	Unknown State = iota
	// Blocked is the state of a live job with a predecessor that isn't known to be done.
	Blocked
	// CancelPending is the state of a live job with a predecessor that is Cancelled or CancelPending. The job never
	// runs and is to be cancelled.
	CancelPending
	// Released is the state of a live job that has no predecessors or whose predecessors are all done.
	Released
	// Done is the state of a job that was completed.
	Done
	// Cancelled is the state of a job that was cancelled.
	Cancelled
)

// live reports whether a job in this state has a pending record.
func (s State) live() bool { return s == Blocked || s == CancelPending || s == Released }

// node is a job that has predecessors, or that is a predecessor of a live job.
type node struct {
	id           string
	state        State
	job          *jobs.Job     // nil if no record of the job was read
	predecessors []*edge       // edges from predecessors; empty unless the job is live
	successors   []*edge       // edges to live successors
	unfinished   int           // number of predecessors that aren't known to be done
	listElement  *list.Element // element in the graph's list of nodes in this state; nil if the state has no list
	// latestEnd is valid if latestEndRanking equals the graph's rankingNumber, see LatestEnds.
	latestEnd        time.Duration
	latestEndRanking uint64
}

// edge leads from a predecessor to a successor.
type edge struct {
	from, to *node
	position int // index in from.successors
}

// Graph is the dependency graph of the jobs in a controller's table. It sets the fields Blocked, Doomed, ReleasedAt
// and Priority of the jobs that it contains.
type Graph struct {
	table *jobs.Table
	nodes map[string]*node // nodes by job id
	// unknown and cancelPending list the nodes in states Unknown and CancelPending, in the order in which they entered
	// them.
	unknown, cancelPending *list.List
	edges                  int
	rankingNumber          uint64 // number of the newest ranking, counted by LatestEnds
	// onReleased is called when a Blocked job becomes Released.
	onReleased func(now time.Duration, job *jobs.Job)
}

// New returns an empty graph of the jobs in a table. onReleased is called when a Blocked job becomes Released, because
// its last unfinished predecessor is done.
func New(table *jobs.Table, onReleased func(now time.Duration, job *jobs.Job)) *Graph {
	return &Graph{
		table:         table,
		nodes:         map[string]*node{},
		unknown:       list.New(),
		cancelPending: list.New(),
		onReleased:    onReleased,
	}
}

// HandleJobChange updates the graph after a job was added to the table or changed its state there. For a job with
// predecessors, it must be called before the job is planned.
func (g *Graph) HandleJobChange(now time.Duration, job *jobs.Job) {
	if job.State.Terminal() {
		if ended, ok := g.nodes[job.ID]; ok {
			ended.job = job
			g.applyEnd(now, ended, finalState(job.State))
		}
		return
	}
	if len(job.Spec.Follows) == 0 && g.nodes[job.ID] == nil {
		return
	}
	g.addLive(now, g.ensureNode(job.ID), job)
}

// HandleArchived applies the final state from a job's archive entry. It ignores a job that is live in the graph or not
// in it.
func (g *Graph) HandleArchived(now time.Duration, id string, state jobs.State) {
	if archived, ok := g.nodes[id]; ok && !archived.state.live() {
		g.applyEnd(now, archived, finalState(state))
	}
}

// HandleRemoved updates the graph after a job's record was removed from the watched keys: the job has ended and was
// archived.
func (g *Graph) HandleRemoved(id string) {
	removed, ok := g.nodes[id]
	if !ok {
		return
	}
	wasLive := removed.state.live()
	removed.job = nil
	if wasLive {
		g.setState(removed, Unknown)
		g.unlinkPredecessors(removed)
	}
	g.dropIfUnused(removed)
}

// RemoveMissing removes the jobs that a new listing of all watched keys lacks. The table must have applied the listing
// first: the missing jobs are no longer in the table, or remain there as archived until the term ends.
func (g *Graph) RemoveMissing() {
	for _, id := range slices.Sorted(maps.Keys(g.nodes)) {
		existing := g.nodes[id]
		if existing == nil || existing.job == nil {
			continue
		}
		if job := g.table.Get(id); job == nil || job.Archived {
			g.HandleRemoved(id)
		}
	}
}

// finalState returns the graph state for a terminal state of a record.
func finalState(state jobs.State) State {
	if state == jobs.Done {
		return Done
	}
	return Cancelled
}

// ensureNode returns the node of a job. If there is none, it creates one with the job's state from the table.
func (g *Graph) ensureNode(id string) *node {
	if existing, ok := g.nodes[id]; ok {
		return existing
	}
	created := &node{id: id}
	g.nodes[id] = created
	job := g.table.Get(id)
	switch {
	case job == nil || job.Archived && !job.State.Terminal():
		g.setState(created, Unknown)
	case job.State.Terminal():
		created.job = job
		created.state = finalState(job.State)
	case job.Blocked:
		// HandleJobChange wasn't called for this job yet: a node with unfinished predecessors stays in the graph.
		g.setState(created, Unknown)
	default:
		created.job = job
		created.state = Released
	}
	return created
}

// addLive links a pending job with its predecessors and derives its state and priority.
func (g *Graph) addLive(now time.Duration, added *node, job *jobs.Job) {
	if added.state != Unknown {
		return // already linked
	}
	added.job = job
	cancelPending := false
	for _, id := range job.Spec.Follows {
		predecessor := g.ensureNode(id)
		if predecessor.state != Done {
			added.unfinished++
		}
		cancelPending = cancelPending || predecessor.state == CancelPending || predecessor.state == Cancelled
		g.link(predecessor, added)
	}
	switch {
	case cancelPending:
		g.setState(added, CancelPending)
		g.markSuccessorsCancelPending(added)
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

// unlinkPredecessors removes the edges from a node's predecessors. All edges are removed before any predecessor's
// priority is recomputed.
func (g *Graph) unlinkPredecessors(successor *node) {
	predecessors := successor.predecessors
	successor.predecessors = nil
	successor.unfinished = 0
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

// dropIfUnused deletes a node that has neither successors nor predecessors and isn't CancelPending.
func (g *Graph) dropIfUnused(unused *node) {
	if len(unused.successors) == 0 && len(unused.predecessors) == 0 && unused.state != CancelPending {
		delete(g.nodes, unused.id)
		g.removeFromStateList(unused)
	}
}

// setState changes a node's state and the job's fields Blocked and Doomed. Only the initial state of a node may be set
// elsewhere.
func (g *Graph) setState(changed *node, to State) {
	g.removeFromStateList(changed)
	changed.state = to
	if listOfState := g.listOf(to); listOfState != nil {
		changed.listElement = listOfState.PushBack(changed)
	}
	if changed.job != nil {
		changed.job.Blocked = to == Blocked || to == CancelPending
		changed.job.CancelPending = to == CancelPending
	}
}

// listOf returns the list of the nodes in a state, or nil if the state has no list.
func (g *Graph) listOf(state State) *list.List {
	switch state {
	case Unknown:
		return g.unknown
	case CancelPending:
		return g.cancelPending
	}
	return nil
}

// removeFromStateList removes a node from the list of its state.
func (g *Graph) removeFromStateList(removed *node) {
	if removed.listElement != nil {
		g.listOf(removed.state).Remove(removed.listElement)
		removed.listElement = nil
	}
}

// applyEnd sets the final state of a job that has ended, and updates its successors.
func (g *Graph) applyEnd(now time.Duration, ended *node, final State) {
	if ended.state == Done || ended.state == Cancelled {
		return
	}
	g.setState(ended, final)
	g.unlinkPredecessors(ended)
	if final == Cancelled {
		g.markSuccessorsCancelPending(ended)
	} else {
		g.releaseSuccessors(now, ended)
	}
	g.dropIfUnused(ended)
}

// releaseSuccessors releases the successors of a done job that have no other unfinished predecessor.
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

// release allows a job to start. The edges from its predecessors remain: as long as a live job's record names them,
// the predecessors aren't archived.
func (g *Graph) release(now time.Duration, released *node) {
	g.setState(released, Released)
	if len(released.predecessors) > 0 {
		released.job.ReleasedAt = now
	}
}

// markSuccessorsCancelPending sets all Blocked jobs that depend on a job, directly or transitively, to CancelPending.
// It doesn't recurse, because chains may be long.
func (g *Graph) markSuccessorsCancelPending(start *node) {
	pending := []*node{start}
	for len(pending) > 0 {
		last := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		for _, outgoing := range last.successors {
			if outgoing.to.state == Blocked {
				g.setState(outgoing.to, CancelPending)
				pending = append(pending, outgoing.to)
			}
		}
	}
}

// State returns the state of a job in the graph, or Unknown if the graph doesn't contain the job.
func (g *Graph) State(id string) State {
	if found, ok := g.nodes[id]; ok {
		return found.state
	}
	return Unknown
}

// Edges returns the number of edges in the graph. Each pair of a live job and one of its predecessors is one edge.
func (g *Graph) Edges() int { return g.edges }

// HasSuccessors reports whether a live job names the job as a predecessor.
func (g *Graph) HasSuccessors(id string) bool {
	found, ok := g.nodes[id]
	return ok && len(found.successors) > 0
}

// Unfinished returns the ids of up to limit predecessors of a live job that aren't done, and the total number of such
// predecessors.
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

// ForEachUnknown calls visit for each job in state Unknown, in the order in which they entered that state, until
// visit returns false.
func (g *Graph) ForEachUnknown(visit func(id string) bool) {
	visitNodes(g.unknown, func(found *node) bool { return visit(found.id) })
}

// ForEachCancelPending calls visit for each job in state CancelPending, in the order in which they entered that state,
// until visit returns false.
func (g *Graph) ForEachCancelPending(visit func(*jobs.Job) bool) {
	visitNodes(g.cancelPending, func(found *node) bool { return visit(found.job) })
}

// visitNodes calls visit for each node of a list until visit returns false. visit may change the state of the node.
func visitNodes(nodes *list.List, visit func(*node) bool) {
	for element := nodes.Front(); element != nil; {
		next := element.Next()
		if !visit(element.Value.(*node)) {
			return
		}
		element = next
	}
}

// HasUnknownAncestor reports whether a direct or transitive predecessor of the job is Unknown. Such a predecessor may
// have been cancelled.
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
