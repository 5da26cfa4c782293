package rollout

import (
	"fmt"
	"os"
	"testing"
)

// modelBounds is the maximum number of steps of each kind in a run.
type modelBounds struct{ starts, sends, directives, crashes, freezes uint8 }

// successors collects the states that can follow a state.
type successors struct {
	from         *modelState
	removed      removedGuard
	bounds       modelBounds
	ignoresLevel bool         // the former release has no levels: it announces nothing and ignores the level
	states       []modelState // the result
}

// add adds the state after a step. A step that isn't possible returns false, and no state is added.
func (s *successors) add(step func(next *modelState) bool) {
	next := *s.from
	if step(&next) {
		next.canonicalize()
		s.states = append(s.states, next)
	}
}

// addUnconditional adds the state after a step that is always possible.
func (s *successors) addUnconditional(step func(next *modelState)) {
	s.add(func(next *modelState) bool {
		step(next)
		return true
	})
}

// addSend adds the state after sending a transaction.
func (s *successors) addSend(txn modelTxn) {
	s.add(func(next *modelState) bool { return next.send(txn) })
}

// next returns all states that can follow a state. ignoresLevel means that the former release announces nothing and
// ignores the level.
func (m *modelState) next(removed removedGuard, bounds modelBounds, ignoresLevel bool) []modelState {
	s := successors{from: m, removed: removed, bounds: bounds, ignoresLevel: ignoresLevel}
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

// addOutcomes adds, for each transaction in flight, the states after it is committed and after it is lost.
func (s *successors) addOutcomes() {
	for i := range int(s.from.inFlightCount) {
		s.addUnconditional(func(next *modelState) {
			txn := next.inFlight[i]
			next.drop(i)
			next.commit(txn, s.removed)
		})
		s.addUnconditional(func(next *modelState) { next.drop(i) })
	}
}

// addProcessSteps adds the states after a process starts with either release, crashes or loses its lease.
func (s *successors) addProcessSteps(node int) {
	m := s.from
	process := &m.processes[node]
	down := process.supported == 0
	if down && m.starts < s.bounds.starts {
		for _, supported := range []uint8{1, 2} {
			s.addUnconditional(func(next *modelState) {
				next.starts++
				next.start(node, supported, s.ignoresLevel && supported == 1)
			})
		}
	}
	if !down && m.crashes < s.bounds.crashes {
		s.addUnconditional(func(next *modelState) { // the lease remains until it expires
			next.processes[node] = modelProcess{}
			next.crashes++
		})
	}
	s.addExpiry(node)
}

// addExpiry adds the state after a lease expires: that of a process that is down or was replaced, or that of a leader
// that freezes. A process must not act after its lease has expired.
func (s *successors) addExpiry(node int) {
	m := s.from
	process := &m.processes[node]
	replaced := process.supported == 0 || process.lease != m.keys.lease[node]
	leads := m.keys.leader == uint8(node)+1
	freezes := !replaced && leads && m.freezes < s.bounds.freezes
	expires := replaced || freezes
	if m.keys.memberVersion[node] == 0 || !expires {
		return
	}
	s.addUnconditional(func(next *modelState) {
		next.keys.endLease(node)
		if freezes {
			next.freezes++
			next.processes[node].lease = 0
			next.processes[node].frozen = true
		}
	})
}

// addReads adds the states after a process registers and after it reads all keys.
func (s *successors) addReads(node int) {
	process := &s.from.processes[node]
	if process.lease == 0 && !process.frozen {
		s.addUnconditional(func(next *modelState) { next.register(node) })
	}
	if process.view != s.from.keys {
		s.addUnconditional(func(next *modelState) { next.sync(node) })
	}
}

// addWrites adds, for each transaction that a process would send given its view, the state after sending it.
func (s *successors) addWrites(node int) {
	process := &s.from.processes[node]
	compatible := IsCompatible(Level(process.supported), Level(process.view.level)) || s.removed == guardStandDown
	if !compatible && !process.ignoresLevel {
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

// newTxn returns a transaction of a process under the leader's guard, without other conditions or a value.
func (s *successors) newTxn(kind modelTxnKind, node int) modelTxn {
	process := &s.from.processes[node]
	return modelTxn{
		kind: kind, sender: uint8(node), supported: process.supported, leaderVersion: process.term,
	}
}

func (s *successors) addCampaign(node int) {
	process := &s.from.processes[node]
	if process.view.leaderVersion != 0 || process.lease == 0 {
		return
	}
	// A release without levels can read the term only while the term is in the format of level 1.
	readsTerm := !process.ignoresLevel || s.from.keys.level == 1 || s.removed == guardTermFormat
	if !readsTerm {
		return
	}
	txn := s.newTxn(txnCampaign, node)
	txn.leaderVersion = 0
	txn.lease = process.lease
	txn.conditions[0] = process.view.levelVersion
	if process.ignoresLevel {
		txn.conditions[0] = s.from.keys.levelVersion // a release without levels has no condition on the level
	}
	s.addSend(txn)
}

// writtenFormat returns the format that a process writes at the level in its view.
func (p *modelProcess) writtenFormat() uint8 { return min(p.supported, p.view.level) }

// addJobWrite adds the write by which any process creates the job record or rewrites it in the present format.
func (s *successors) addJobWrite(node int) {
	process := &s.from.processes[node]
	if process.view.job >= process.writtenFormat() || process.ignoresLevel {
		return
	}
	txn := s.newTxn(txnJob, node)
	txn.leaderVersion = s.from.keys.leaderVersion // the transaction isn't under the leader's guard
	txn.value = process.writtenFormat()
	txn.conditions = [8]uint8{process.view.jobVersion, process.view.levelVersion}
	s.addSend(txn)
}

func (s *successors) addUpgrade(node int) {
	process := &s.from.processes[node]
	observed := s.from.observe(node, s.removed)
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

// addDirective adds the directive by which operators abort the rollout or withdraw the abort.
func (s *successors) addDirective(node int) {
	view := &s.from.processes[node].view
	if s.from.directives >= s.bounds.directives || view.level != 1 {
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
	process := &s.from.processes[node]
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
	process := &s.from.processes[node]
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

// formerRejoins, as the level of the third controller, means another initial state: all controllers have announced
// level 2, and the first one has just restarted with the former release and read the keys while there was no leader.
const formerRejoins = 3

// maxStates is the maximum number of states of one exploration. Explorations without a violation stay far below it.
const maxStates = 12_000_000

// initialState returns the state in which the first two controllers support level 2, the third supports thirdSupported,
// and the first leads. thirdSupported may also be formerRejoins.
func initialState(thirdSupported uint8, ignoresLevel bool) modelState {
	var m modelState
	m.keys = modelKeys{level: 1, plan: 1}
	for node, supported := range []uint8{2, 2, min(thirdSupported, 2)} {
		m.start(node, supported, ignoresLevel && supported == 1)
		m.register(node)
	}
	m.keys.leader = 1
	if thirdSupported == formerRejoins {
		m.start(0, 1, ignoresLevel)
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
// states found and the violation, or "" if no property is violated.
func explore(
	removed removedGuard, bounds modelBounds, thirdSupported uint8, ignoresLevel bool,
) (states int, violation string) {
	initial := initialState(thirdSupported, ignoresLevel)
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
		for _, next := range current.next(removed, bounds, ignoresLevel) {
			if _, known := visited[next]; !known {
				visited[next] = struct{}{}
				queue = append(queue, next)
			}
		}
	}
	return len(visited), ""
}

// TestEveryUpgradeKeepsTheProperties explores all runs within the bounds and checks that no property is violated. The
// runs start with one controller on the former release, with none, or with one that has just returned to the former
// release. HAREWALK_LONG allows longer runs.
func TestEveryUpgradeKeepsTheProperties(t *testing.T) {
	bounds := modelBounds{starts: 1, sends: 2, directives: 1, crashes: 1, freezes: 1}
	if os.Getenv("HAREWALK_LONG") != "" {
		bounds.sends = 3
	}
	const minStates = 20_000 // with fewer states the model doesn't exercise the code
	for _, c := range []struct {
		thirdSupported uint8
		ignoresLevel   bool
	}{{1, false}, {1, true}, {2, false}, {2, true}, {formerRejoins, false}, {formerRejoins, true}} {
		t.Run(fmt.Sprintf("third level %d ignoresLevel %v", c.thirdSupported, c.ignoresLevel), func(t *testing.T) {
			t.Parallel()
			states, violation := explore("", bounds, c.thirdSupported, c.ignoresLevel)
			t.Logf("%d states, violation %q", states, violation)
			if violation != "" || states < minStates || states >= maxStates {
				t.Fatalf("got %d states, violation %q, want minStates to maxStates, no violation", states, violation)
			}
		})
	}
}

// TestEveryGuardIsNeeded checks for each guard that some run violates a property without the guard, and that no run
// within the same bounds does with it.
func TestEveryGuardIsNeeded(t *testing.T) {
	for _, c := range []struct {
		guard          removedGuard
		thirdSupported uint8
		ignoresLevel   bool
		bounds         modelBounds
	}{
		{guardLeader, 2, false, modelBounds{1, 2, 0, 1, 1}},
		{guardMemberVersions, 2, false, modelBounds{1, 1, 0, 1, 0}},
		{guardDirectiveVersion, 2, false, modelBounds{0, 2, 1, 0, 0}},
		{guardPresentProcess, 2, true, modelBounds{1, 1, 0, 1, 0}},
		{guardAllAnnounced, 1, false, modelBounds{0, 1, 0, 0, 0}},
		{guardCampaignLevel, formerRejoins, false, modelBounds{0, 2, 0, 0, 1}},
		{guardWriteLevel, 2, false, modelBounds{0, 4, 0, 0, 0}},
		{guardRecordVersion, 2, false, modelBounds{0, 4, 0, 0, 0}},
		{guardNothingLeft, 2, false, modelBounds{0, 2, 0, 0, 0}},
		{guardStandDown, 2, false, modelBounds{1, 2, 0, 1, 1}},
		{guardTermFormat, 2, true, modelBounds{1, 2, 0, 1, 1}},
	} {
		t.Run("without "+string(c.guard), func(t *testing.T) {
			t.Parallel()
			states, violation := explore(c.guard, c.bounds, c.thirdSupported, c.ignoresLevel)
			t.Logf("%d states, violation %q", states, violation)
			if violation == "" {
				t.Error("without the guard: got no violation, want one: the guard is redundant or not exercised")
			}
			if states, violation := explore("", c.bounds, c.thirdSupported, c.ignoresLevel); violation != "" {
				t.Errorf("with the guard: after %d states got violation %q, want none", states, violation)
			}
		})
	}
}
