package dependencies

import (
	"os"
	"strings"
	"testing"
)

// runGraph is a set of jobs by the predecessors that their users name. Its last job isn't accepted at the beginning.
type runGraph struct {
	name  string
	needs []jobSet
}

// joinGraph is a job that needs two others.
var joinGraph = runGraph{"join", []jobSet{0, 0, 0b011}}

// runGraphs are the graphs that are explored.
var runGraphs = []runGraph{
	{"chain", []jobSet{0, 0b001, 0b010}},
	joinGraph,
	{"triangle", []jobSet{0, 0b001, 0b011}},
	{"diamond", []jobSet{0, 0b0001, 0b0001, 0b0110}},
}

// shortRuns are the usual bounds, longRuns those that HAREWALK_LONG asks for.
var (
	shortRuns = runBounds{userCancels: 1, leaderChanges: 1, moves: 1, accepts: 1, sends: 2}
	longRuns  = runBounds{userCancels: 1, leaderChanges: 2, moves: 1, accepts: 1, sends: 3}
)

// runExploration visits all states of a graph's runs.
type runExploration struct {
	graph   runGraph
	bounds  runBounds
	missing runGuards
	visited map[runState]struct{}
	queue   []runState
}

// exploreRuns visits all states within the bounds until a property doesn't hold. It returns what doesn't, and how many
// states there are.
func exploreRuns(graph runGraph, bounds runBounds, missing runGuards) (wrong string, states int) {
	e := runExploration{graph: graph, bounds: bounds, missing: missing, visited: map[runState]struct{}{}}
	e.visit(graph.initial())
	for len(e.queue) > 0 {
		state := e.queue[len(e.queue)-1]
		e.queue = e.queue[:len(e.queue)-1]
		if wrong := e.check(state); wrong != "" {
			return wrong, len(e.visited)
		}
		e.expand(state)
	}
	return "", len(e.visited)
}

// initial returns the state in which all jobs but the last are accepted, and tasks of those without predecessors run.
func (g runGraph) initial() runState {
	state := runState{term: 1}
	for id, predecessors := range g.needs[:len(g.needs)-1] {
		job := &state.jobs[id]
		job.predecessors = predecessors
		state.write(job, contentPending)
		if predecessors == 0 {
			state.started = state.started.with(id)
		}
	}
	return state
}

// visit queues a state that wasn't seen before.
func (e *runExploration) visit(state runState) {
	state.canonicalize()
	if _, known := e.visited[state]; !known {
		e.visited[state] = struct{}{}
		e.queue = append(e.queue, state)
	}
}

// check returns what is wrong with a state: something unsafe happened, or a successor of a cancelled job stays.
func (e *runExploration) check(state runState) string {
	if wrong := state.violation(e.graph.needs); wrong != "" {
		return wrong
	}
	state.settleFairly(e.missing)
	if state.orphan(e.graph.needs) {
		return "orphaned: a job whose predecessor is cancelled is never cancelled"
	}
	return ""
}

// expand visits the states that can follow a state.
func (e *runExploration) expand(state runState) {
	e.carryOutOpen(state)
	if state.spent.leaderChanges < e.bounds.leaderChanges {
		next := state
		next.spent.leaderChanges++
		next.term++
		next.seenInTerm = 0
		e.visit(next)
	}
	for controller := range runControllers {
		for id := range e.graph.needs {
			next := state
			next.read(controller, id, e.missing)
			e.visit(next)
			e.cancelByUser(state, controller, id)
		}
		e.accept(state, controller)
	}
	for id := range e.graph.needs {
		e.lead(state, id)
	}
}

// carryOutOpen has each open transaction be lost, carried out, or carried out for the first of two times.
func (e *runExploration) carryOutOpen(state runState) {
	for i, txn := range state.open {
		if txn.kind == noRunTxn {
			continue
		}
		lost := state
		lost.open[i] = runTxn{}
		e.visit(lost)
		if carried := lost; carried.carryOut(txn, e.missing) {
			e.visit(carried)
			if !txn.repeated {
				carried.open[i] = txn
				carried.open[i].repeated = true
				e.visit(carried)
			}
		}
	}
}

// sendCounted visits the state after a transaction was sent, if the bound for those without one of their own allows it.
func (e *runExploration) sendCounted(state runState, txn runTxn) {
	if state.spent.sends < e.bounds.sends {
		state.spent.sends++
		e.send(state, txn)
	}
}

// send visits the state after a transaction was sent, unless as many are open as can be.
func (e *runExploration) send(state runState, txn runTxn) {
	for i := range state.open {
		if state.open[i].kind == noRunTxn {
			state.open[i] = txn
			e.visit(state)
			return
		}
	}
}

// cancelByUser has a user cancel a job at a controller.
func (e *runExploration) cancelByUser(state runState, controller, id int) {
	if state.spent.userCancels == e.bounds.userCancels || state.views[controller][id].content != contentPending {
		return
	}
	state.spent.userCancels++
	e.send(state, state.cancelTxn(controller, id, 0))
}

// accept has a controller that has read all predecessors of the last job store that.
func (e *runExploration) accept(state runState, controller int) {
	if state.spent.accepts == e.bounds.accepts {
		return
	}
	last := len(e.graph.needs) - 1
	txn := runTxn{kind: txnAccept, job: int8(last), accepted: contentPending}
	for predecessor := range last {
		if !e.graph.needs[last].has(predecessor) {
			continue
		}
		switch state.views[controller][predecessor].content {
		case contentAbsent:
			return
		case contentPending:
			txn.predecessors = txn.predecessors.with(predecessor)
		case contentCancelled:
			if !e.missing.acceptDropsDoneOnly {
				txn.accepted = contentCancelled
			}
		}
	}
	if txn.accepted == contentCancelled {
		txn.predecessors = 0
	}
	state.spent.accepts++
	e.send(state, txn)
}

// lead has the leader do with a job what it may: start it, end it, cancel it with its predecessor, or archive it.
func (e *runExploration) lead(state runState, id int) {
	leader := state.leader()
	known := state.views[leader][id]
	if state.isReleased(leader, id, e.missing) && !state.started.has(id) {
		e.sendCounted(state, runTxn{kind: txnStart, job: int8(id), term: state.term})
	}
	if state.started.has(id) && known.content == contentPending {
		e.sendCounted(state, runTxn{kind: txnDone, job: int8(id), version: known.version, term: state.term})
	}
	if state.doomed(leader, e.missing).has(id) {
		next := state
		next.cancelsSent = next.cancelsSent.with(id)
		e.sendCounted(next, state.cancelTxn(leader, id, state.term))
	}
	if known.content.final() && known.version != 0 && state.spent.moves < e.bounds.moves {
		next := state
		next.spent.moves++
		e.send(next, runTxn{kind: txnMove, job: int8(id), version: known.version, term: state.term})
	}
}

// In no run does a task start too early, does an ended job change its end, or is a successor of a cancelled job left: with
// a user's cancellation beside completions, transactions that are carried out once, late, twice or never, and a leader
// that changes between any two steps.
func TestEveryRunOfDependentJobs(t *testing.T) {
	const minStates = 10_000 // fewer mean that the model can't move
	bounds := shortRuns
	if os.Getenv("HAREWALK_LONG") != "" {
		bounds = longRuns
	}
	for _, graph := range runGraphs {
		bounds := bounds
		if len(graph.needs) == maxRunJobs && bounds == shortRuns {
			bounds.moves = 0 // the smaller graphs have them
		}
		t.Run(graph.name, func(t *testing.T) {
			t.Parallel()
			wrong, states := exploreRuns(graph, bounds, runGuards{})
			t.Logf("%d states", states)
			if wrong != "" || states < minStates {
				t.Errorf("%s, after %d states", wrong, states)
			}
		})
	}
}

// Without any one of the guards something goes wrong in some run.
func TestEveryGuardOfDependentJobsIsNeeded(t *testing.T) {
	for _, c := range []struct {
		name    string
		missing runGuards
		want    string
	}{
		{"release needs all", runGuards{releaseNeedsAll: true}, "too early"},
		{"unknown is unfinished", runGuards{unknownIsUnfinished: true}, "too early"},
		{"record version", runGuards{recordVersion: true}, "changed its end"},
		{"accept drops done only", runGuards{acceptDropsDoneOnly: true}, "orphaned"},
		{"accept on absence", runGuards{acceptOnAbsence: true}, "changed its end"},
		{"doom from records", runGuards{doomFromRecords: true}, "orphaned"},
		{"reads answers", runGuards{readsAnswers: true}, "orphaned"},
		{"retries cancels", runGuards{retriesCancels: true}, "orphaned"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			wrong, states := exploreRuns(joinGraph, shortRuns, c.missing)
			t.Logf("%q after %d states", wrong, states)
			if !strings.Contains(wrong, c.want) {
				t.Errorf("went wrong: %q, not %q", wrong, c.want)
			}
		})
	}
}
