package dependencies

import (
	"os"
	"strings"
	"testing"
)

// runGraph is a set of jobs with their predecessors. The last job isn't accepted in the initial state.
type runGraph struct {
	name              string
	namedPredecessors []jobSet // predecessors that the user named, by job
}

// joinGraph has one job with two predecessors.
var joinGraph = runGraph{"join", []jobSet{0, 0, 0b011}}

// runGraphs are the graphs that TestEveryRunOfDependentJobs explores.
var runGraphs = []runGraph{
	{"chain", []jobSet{0, 0b001, 0b010}},
	joinGraph,
	{"triangle", []jobSet{0, 0b001, 0b011}},
	{"diamond", []jobSet{0, 0b0001, 0b0001, 0b0110}},
}

// shortRuns are the default bounds. longRuns are used if the environment variable HAREWALK_LONG is set.
var (
	shortRuns = runBounds{userCancels: 1, leaderChanges: 1, moves: 1, accepts: 1, sends: 2}
	longRuns  = runBounds{userCancels: 1, leaderChanges: 2, moves: 1, accepts: 1, sends: 3}
)

// runExploration visits all states that the runs of a graph reach.
type runExploration struct {
	graph    runGraph
	bounds   runBounds
	disabled runGuards
	visited  map[runState]struct{}
	queue    []runState
}

// exploreRuns visits all states within the bounds until a property is violated. It returns the violation, or "" if
// there is none, and the number of states visited.
func exploreRuns(graph runGraph, bounds runBounds, disabled runGuards) (violation string, states int) {
	e := runExploration{graph: graph, bounds: bounds, disabled: disabled, visited: map[runState]struct{}{}}
	e.visit(graph.initial())
	for len(e.queue) > 0 {
		state := e.queue[len(e.queue)-1]
		e.queue = e.queue[:len(e.queue)-1]
		if violation := e.check(state); violation != "" {
			return violation, len(e.visited)
		}
		e.expand(state)
	}
	return "", len(e.visited)
}

// initial returns the state in which all jobs except the last are accepted, and the accepted jobs without predecessors
// have been started.
func (g runGraph) initial() runState {
	state := runState{term: 1}
	for id, predecessors := range g.namedPredecessors[:len(g.namedPredecessors)-1] {
		job := &state.jobs[id]
		job.predecessors = predecessors
		state.write(job, contentPending)
		if predecessors == 0 {
			state.started = state.started.with(id)
		}
	}
	return state
}

// visit queues a state unless it was visited before.
func (e *runExploration) visit(state runState) {
	state.canonicalize()
	if _, isVisited := e.visited[state]; !isVisited {
		e.visited[state] = struct{}{}
		e.queue = append(e.queue, state)
	}
}

// check returns the property that a state violates, or "": either a safety property, or that a job with a cancelled
// predecessor is cancelled once the leader remains and its transactions are applied.
func (e *runExploration) check(state runState) string {
	if violation := state.violation(e.graph.namedPredecessors); violation != "" {
		return violation
	}
	state.runFairly(e.disabled)
	if state.hasOrphan(e.graph.namedPredecessors) {
		return "orphaned: a job with a cancelled predecessor is never cancelled"
	}
	return ""
}

// expand visits the successor states of a state.
func (e *runExploration) expand(state runState) {
	e.deliverInFlight(state)
	if state.steps.leaderChanges < e.bounds.leaderChanges {
		next := state
		next.steps.leaderChanges++
		next.term++
		next.cancelledInTerm = 0
		e.visit(next)
	}
	for controller := range runControllers {
		for id := range e.graph.namedPredecessors {
			next := state
			next.read(controller, id, e.disabled)
			e.visit(next)
			e.cancelByUser(state, controller, id)
		}
		e.accept(state, controller)
	}
	for id := range e.graph.namedPredecessors {
		e.stepLeader(state, id)
	}
}

// deliverInFlight visits the states after each transaction in flight was lost, applied, or applied for the first of
// two times.
func (e *runExploration) deliverInFlight(state runState) {
	for i, txn := range state.inFlight {
		if txn.kind == noRunTxn {
			continue
		}
		lost := state
		lost.inFlight[i] = runTxn{}
		e.visit(lost)
		if applied := lost; applied.apply(txn, e.disabled) {
			e.visit(applied)
			if !txn.repeated {
				applied.inFlight[i] = txn
				applied.inFlight[i].repeated = true
				e.visit(applied)
			}
		}
	}
}

// sendBounded visits the state after a transaction was sent, unless the bound sends is reached. It is used for the
// transactions that have no bound of their own.
func (e *runExploration) sendBounded(state runState, txn runTxn) {
	if state.steps.sends < e.bounds.sends {
		state.steps.sends++
		e.send(state, txn)
	}
}

// send visits the state after a transaction was sent, unless maxTxnsInFlight transactions are in flight.
func (e *runExploration) send(state runState, txn runTxn) {
	for i := range state.inFlight {
		if state.inFlight[i].kind == noRunTxn {
			state.inFlight[i] = txn
			e.visit(state)
			return
		}
	}
}

// cancelByUser visits the state after a controller sent a user's cancellation of a job.
func (e *runExploration) cancelByUser(state runState, controller, id int) {
	if state.steps.userCancels == e.bounds.userCancels || state.views[controller][id].content != contentPending {
		return
	}
	state.steps.userCancels++
	e.send(state, state.cancelTxn(controller, id, 0))
}

// accept visits the state after a controller sent the transaction that accepts the last job. The controller must have
// read all predecessors of that job.
func (e *runExploration) accept(state runState, controller int) {
	if state.steps.accepts == e.bounds.accepts {
		return
	}
	last := len(e.graph.namedPredecessors) - 1
	txn := runTxn{kind: txnAccept, job: int8(last), accepted: contentPending}
	for predecessor := range last {
		if !e.graph.namedPredecessors[last].has(predecessor) {
			continue
		}
		switch state.views[controller][predecessor].content {
		case contentAbsent:
			return
		case contentPending:
			txn.predecessors = txn.predecessors.with(predecessor)
		case contentCancelled:
			if !e.disabled.dropOnlyDone {
				txn.accepted = contentCancelled
			}
		}
	}
	if txn.accepted == contentCancelled {
		txn.predecessors = 0
	}
	state.steps.accepts++
	e.send(state, txn)
}

// stepLeader visits the states after each transaction that the leader may send for a job: to start it, to end it, to
// cancel it after its predecessor, or to archive it.
func (e *runExploration) stepLeader(state runState, id int) {
	leader := state.leader()
	view := state.views[leader][id]
	if state.isReleased(leader, id, e.disabled) && !state.started.has(id) {
		e.sendBounded(state, runTxn{kind: txnStart, job: int8(id), term: state.term})
	}
	if state.started.has(id) && view.content == contentPending {
		e.sendBounded(state, runTxn{kind: txnDone, job: int8(id), version: view.version, term: state.term})
	}
	if state.cancelPending(leader, e.disabled).has(id) {
		next := state
		next.cancelsSent = next.cancelsSent.with(id)
		e.sendBounded(next, state.cancelTxn(leader, id, state.term))
	}
	if view.content.final() && view.version != 0 && state.steps.moves < e.bounds.moves {
		next := state
		next.steps.moves++
		e.send(next, runTxn{kind: txnMove, job: int8(id), version: view.version, term: state.term})
	}
}

// In every run, tasks start only after the predecessors are done, an ended job keeps its final state, and every
// successor of a cancelled job is cancelled. The runs include a user's cancellation concurrent with completions,
// transactions that are applied once, late, twice or never, and leader changes between any two steps.
func TestEveryRunOfDependentJobs(t *testing.T) {
	const minStates = 10_000 // with fewer states the model lacks transitions
	bounds := shortRuns
	if os.Getenv("HAREWALK_LONG") != "" {
		bounds = longRuns
	}
	for _, graph := range runGraphs {
		bounds := bounds
		if len(graph.namedPredecessors) == maxRunJobs && bounds == shortRuns {
			bounds.moves = 0 // runs of the smaller graphs include moves to the archive
		}
		t.Run(graph.name, func(t *testing.T) {
			t.Parallel()
			violation, states := exploreRuns(graph, bounds, runGuards{})
			t.Logf("%d states visited", states)
			if violation != "" || states < minStates {
				t.Errorf("violation %q after %d states, want no violation and at least 10000 states", violation, states)
			}
		})
	}
}

// If any one of the guards is disabled, some run violates a property.
func TestEveryGuardOfDependentJobsIsNeeded(t *testing.T) {
	for _, c := range []struct {
		name     string
		disabled runGuards
		want     string
	}{
		{"release only after all predecessors", runGuards{releaseAfterAll: true}, "too early"},
		{"unknown predecessor is unfinished", runGuards{unknownIsUnfinished: true}, "too early"},
		{"end only on the pending record version", runGuards{recordVersion: true}, "changed its final state"},
		{"submission drops only done predecessors", runGuards{dropOnlyDone: true}, "orphaned"},
		{"submission only if absent", runGuards{acceptIfAbsent: true}, "changed its final state"},
		{"cancel from all records", runGuards{cancelFromAllRecords: true}, "orphaned"},
		{"read archive entries", runGuards{readArchive: true}, "orphaned"},
		{"retry cancellations", runGuards{retryCancels: true}, "orphaned"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			violation, states := exploreRuns(joinGraph, shortRuns, c.disabled)
			t.Logf("violation %q after %d states", violation, states)
			if !strings.Contains(violation, c.want) {
				t.Errorf("violation %q, want one that contains %q", violation, c.want)
			}
		})
	}
}
