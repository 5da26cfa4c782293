package rollout

import (
	"fmt"
	"os"
	"testing"
)

// modelBounds limits the number of steps of each kind in a run.
type modelBounds struct{ starts, sends, directives, crashes, freezes uint8 }

// successors lists the states that can follow a state.
type successors struct {
	of        *modelState
	removed   removedGuard
	bounds    modelBounds
	levelless bool // the former release has no levels
	states    []modelState
}

// add adds the state after a step, unless the step returns false.
func (s *successors) add(step func(next *modelState) bool) {
	next := *s.of
	if step(&next) {
		next.canonicalize()
		s.states = append(s.states, next)
	}
}

// addAlways adds the state after a step that is always possible.
func (s *successors) addAlways(step func(next *modelState)) {
	s.add(func(next *modelState) bool {
		step(next)
		return true
	})
}

// addSend adds the state after a transaction was sent.
func (s *successors) addSend(txn modelTxn) {
	s.add(func(next *modelState) bool { return next.send(txn) })
}

// next returns all states that can follow. levelless: the former release announces nothing and ignores the level.
func (m *modelState) next(removed removedGuard, bounds modelBounds, levelless bool) []modelState {
	s := successors{of: m, removed: removed, bounds: bounds, levelless: levelless}
	s.addOutcomes()
	for node := range m.processes {
		s.addProcessSteps(node)
		if m.processes[node].supported == 0 {
			continue
		}
		s.addReads(node)
		if m.sends < bounds.sends {
			s.addWrites(node)
		}
	}
	return s.states
}

// addOutcomes has each transaction in flight carried out, or lost.
func (s *successors) addOutcomes() {
	for i := range int(s.of.inFlightCount) {
		s.addAlways(func(next *modelState) {
			txn := next.inFlight[i]
			next.drop(i)
			next.commit(txn, s.removed)
		})
		s.addAlways(func(next *modelState) { next.drop(i) })
	}
}

// addProcessSteps has a process start with either release, crash, or lose its lease.
func (s *successors) addProcessSteps(node int) {
	m := s.of
	process := &m.processes[node]
	down := process.supported == 0
	if down && m.starts < s.bounds.starts {
		for _, supported := range []uint8{1, 2} {
			s.addAlways(func(next *modelState) {
				next.starts++
				next.start(node, supported, s.levelless && supported == 1)
			})
		}
	}
	if !down && m.crashes < s.bounds.crashes {
		s.addAlways(func(next *modelState) { // its lease lives on
			next.processes[node] = modelProcess{}
			next.crashes++
		})
	}
	s.addExpiry(node)
}

// addExpiry has the lease of a process expire that is down, was replaced, or leads and is frozen. By then it must
// not act.
func (s *successors) addExpiry(node int) {
	m := s.of
	process := &m.processes[node]
	replaced := process.supported == 0 || process.lease != m.keys.lease[node]
	leads := m.keys.leader == uint8(node)+1
	freezes := !replaced && leads && m.freezes < s.bounds.freezes
	expires := replaced || freezes
	if m.keys.memberVersion[node] == 0 || !expires {
		return
	}
	s.addAlways(func(next *modelState) {
		next.keys.endLease(node)
		if freezes {
			next.freezes++
			next.processes[node].lease = 0
			next.processes[node].frozen = true
		}
	})
}

// addReads has a process register, or read all keys.
func (s *successors) addReads(node int) {
	process := &s.of.processes[node]
	if process.lease == 0 && !process.frozen {
		s.addAlways(func(next *modelState) { next.register(node) })
	}
	if process.view != s.of.keys {
		s.addAlways(func(next *modelState) { next.sync(node) })
	}
}

// addWrites has a process send each transaction that it would send by what it has read.
func (s *successors) addWrites(node int) {
	process := &s.of.processes[node]
	compatible := IsCompatible(Level(process.supported), Level(process.view.level)) || s.removed == guardStandDown
	if !compatible && !process.levelless {
		return
	}
	s.addCampaign(node)
	s.addJobWrite(node)
	if process.term == 0 || process.view.leaderVersion != process.term {
		return
	}
	s.addUpgrade(node)
	s.addDirective(node)
	s.addPlanWrite(node)
	s.addMigrationEnd(node)
}

// newTxn returns a transaction of a process under the leader's guard.
func (s *successors) newTxn(kind modelTxnKind, node int) modelTxn {
	process := &s.of.processes[node]
	return modelTxn{
		kind: kind, sender: uint8(node), supported: process.supported, leaderVersion: process.term,
	}
}

func (s *successors) addCampaign(node int) {
	process := &s.of.processes[node]
	if process.view.leaderVersion != 0 || process.lease == 0 {
		return
	}
	// A release without levels reads the term as long as it is in that release's format.
	readsTerm := !process.levelless || s.of.keys.level == 1 || s.removed == guardTermFormat
	if !readsTerm {
		return
	}
	txn := s.newTxn(txnCampaign, node)
	txn.leaderVersion = 0
	txn.lease = process.lease
	txn.conditions[0] = process.view.levelVersion
	if process.levelless {
		txn.conditions[0] = s.of.keys.levelVersion // it has no such condition
	}
	s.addSend(txn)
}

// writtenFormat is the format that a process writes at the level that it has read.
func (p *modelProcess) writtenFormat() uint8 { return min(p.supported, p.view.level) }

// addJobWrite: any process creates the record, and brings one to the present format.
func (s *successors) addJobWrite(node int) {
	process := &s.of.processes[node]
	if process.view.job >= process.writtenFormat() || process.levelless {
		return
	}
	txn := s.newTxn(txnJob, node)
	txn.leaderVersion = s.of.keys.leaderVersion // it isn't under the leader's guard
	txn.value = process.writtenFormat()
	txn.conditions = [8]uint8{process.view.jobVersion, process.view.levelVersion}
	s.addSend(txn)
}

func (s *successors) addUpgrade(node int) {
	process := &s.of.processes[node]
	observed := s.of.observe(node, s.removed)
	unannounced := s.removed == guardAllAnnounced &&
		process.supported > uint8(observed.Level) && observed.Mode != AbortedByOperator
	if !observed.MayUpgrade(Level(process.supported), true, true) && !unannounced {
		return
	}
	txn := s.newTxn(txnUpgrade, node)
	txn.value = process.supported
	for i, condition := range observed.Conditions(modelNodes) {
		txn.conditions[i] = uint8(condition.Version)
	}
	s.addSend(txn)
}

// addDirective: operators abort the rollout, or withdraw that.
func (s *successors) addDirective(node int) {
	view := &s.of.processes[node].view
	if s.of.directives >= s.bounds.directives || view.level != 1 {
		return
	}
	txn := s.newTxn(txnDirective, node)
	txn.conditions = [8]uint8{view.directiveVersion, view.levelVersion}
	if !view.aborted {
		txn.value = 1
	}
	s.add(func(next *modelState) bool {
		next.directives++
		return next.send(txn)
	})
}

func (s *successors) addPlanWrite(node int) {
	process := &s.of.processes[node]
	view := &process.view
	format := process.writtenFormat()
	inFormerFormat := view.plan < format
	inOnlyFormat := view.plan == 1 && format == 1
	aheadOfLevel := view.plan == 2 && process.supported > 1 && view.level == 1
	if !inFormerFormat && !inOnlyFormat && !aheadOfLevel {
		return
	}
	txn := s.newTxn(txnPlan, node)
	txn.value = max(format, 1)
	txn.conditions = [8]uint8{view.planVersion}
	s.addSend(txn)
}

func (s *successors) addMigrationEnd(node int) {
	process := &s.of.processes[node]
	view := &process.view
	if view.level != 2 || process.supported != 2 || view.migrated {
		return
	}
	nothingLeft := view.plan == 2 && view.job != 1
	if !nothingLeft && s.removed != guardNothingLeft {
		return
	}
	txn := s.newTxn(txnMigrated, node)
	txn.conditions = [8]uint8{view.migratedVersion}
	s.addSend(txn)
}

// formerReturns in place of a former release: all have announced the new one, and a process of the former one has
// just come back, which read the keys while there was no leader.
const formerReturns = 3

// maxStates bounds the states of one exploration. No exploration whose properties hold comes near it.
const maxStates = 12_000_000

// initialState returns a cluster whose third controller supports the level of the former release.
func initialState(former uint8, levelless bool) modelState {
	var m modelState
	m.keys = modelKeys{level: 1, plan: 1}
	for node, supported := range []uint8{2, 2, min(former, 2)} {
		m.start(node, supported, levelless && supported == 1)
		m.register(node)
	}
	m.keys.leader = 1
	if former == formerReturns {
		m.start(0, 1, levelless)
		m.keys.leader = 2
	}
	m.keys.bump(&m.keys.leaderVersion)
	for node := range m.processes {
		if m.processes[node].lease > 0 {
			m.sync(node)
		}
	}
	m.canonicalize()
	return m
}

// explore visits all states within the bounds, breadth first, until a property is violated. It returns the number of
// states and the violation, "" for none.
func explore(removed removedGuard, bounds modelBounds, former uint8, levelless bool) (states int, violation string) {
	initial := initialState(former, levelless)
	visited := map[modelState]struct{}{initial: {}}
	for queue := []modelState{initial}; len(queue) > 0; {
		current := queue[0]
		queue = queue[1:]
		if violation := current.check(); violation != "" {
			return len(visited), violation
		}
		if len(visited) > maxStates {
			return len(visited), ""
		}
		for _, next := range current.next(removed, bounds, levelless) {
			if _, known := visited[next]; !known {
				visited[next] = struct{}{}
				queue = append(queue, next)
			}
		}
	}
	return len(visited), ""
}

// TestEveryUpgradeKeepsTheProperties explores every run within the bounds, from a cluster in which one controller has
// the former release and from one in which none has: no property is violated. HAREWALK_LONG asks for longer runs.
func TestEveryUpgradeKeepsTheProperties(t *testing.T) {
	bounds := modelBounds{starts: 1, sends: 2, directives: 1, crashes: 1, freezes: 1}
	if os.Getenv("HAREWALK_LONG") != "" {
		bounds.sends = 3
	}
	const minStates = 20_000 // fewer mean that the model can't move
	for _, c := range []struct {
		former    uint8
		levelless bool
	}{{1, false}, {1, true}, {2, false}, {2, true}, {formerReturns, false}, {formerReturns, true}} {
		t.Run(fmt.Sprintf("former %d levelless %v", c.former, c.levelless), func(t *testing.T) {
			t.Parallel()
			states, violation := explore("", bounds, c.former, c.levelless)
			t.Logf("%d states: %q", states, violation)
			if violation != "" || states < minStates || states >= maxStates {
				t.Fatalf("%d states: %s", states, violation)
			}
		})
	}
}

// TestEveryGuardIsNeeded: without any one of the guards some run violates a property, and with it none does.
func TestEveryGuardIsNeeded(t *testing.T) {
	for _, c := range []struct {
		guard     removedGuard
		former    uint8
		levelless bool
		bounds    modelBounds
	}{
		{guardLeader, 2, false, modelBounds{1, 2, 0, 1, 1}},
		{guardMemberVersions, 2, false, modelBounds{1, 1, 0, 1, 0}},
		{guardDirectiveVersion, 2, false, modelBounds{0, 2, 1, 0, 0}},
		{guardPresentProcess, 2, true, modelBounds{1, 1, 0, 1, 0}},
		{guardAllAnnounced, 1, false, modelBounds{0, 1, 0, 0, 0}},
		{guardCampaignLevel, formerReturns, false, modelBounds{0, 2, 0, 0, 1}},
		{guardWriteLevel, 2, false, modelBounds{0, 4, 0, 0, 0}},
		{guardRecordVersion, 2, false, modelBounds{0, 4, 0, 0, 0}},
		{guardNothingLeft, 2, false, modelBounds{0, 2, 0, 0, 0}},
		{guardStandDown, 2, false, modelBounds{1, 2, 0, 1, 1}},
		{guardTermFormat, 2, true, modelBounds{1, 2, 0, 1, 1}},
	} {
		t.Run("without "+string(c.guard), func(t *testing.T) {
			t.Parallel()
			states, violation := explore(c.guard, c.bounds, c.former, c.levelless)
			t.Logf("after %d states, %s", states, violation)
			if violation == "" {
				t.Error("no property is violated: the guard, or the model, is idle")
			}
			if states, violation := explore("", c.bounds, c.former, c.levelless); violation != "" {
				t.Errorf("with it, after %d states: %s", states, violation)
			}
		})
	}
}
