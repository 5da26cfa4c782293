package shards

import (
	"os"
	"testing"
)

// Every run of one machine in two shards, within the bounds of the model: two launches, three transfers, one
// failover, and heartbeats up to a bound. No run breaks an invariant, and without any of the guards some run does.
func TestEveryRunOfALease(t *testing.T) {
	maxHeartbeats := 5
	guards := []guard{
		guardEmptyMachine,
		guardLateCommands,
		guardFreshHeartbeat,
		guardIndeterminate,
		guardLeadership,
		guardFencingTokens,
		guardOldHeartbeatsVoid,
	}
	if os.Getenv("HAREWALK_LONG") != "" {
		// The shortest run that a late transfer breaks takes seven heartbeats and a million states.
		maxHeartbeats = 7
		guards = append(guards, guardRecordVersion)
	}
	states, violation := explore(allGuards, maxHeartbeats)
	t.Logf("%d states: %q", states, violation)
	if violation != "" || states < 50_000 {
		t.Fatalf("%d states: %s", states, violation)
	}
	for _, without := range guards {
		states, violation := explore(without, maxHeartbeats)
		t.Logf("without %q: after %d states, %s", without, states, violation)
		if violation == "" {
			t.Errorf("without %q nothing breaks: the guard, or the model, is idle", without)
		}
	}
}

// explore visits the states that can be reached, breadth first, up to the first one that breaks an invariant. It
// returns how many were found, and the invariant.
func explore(without guard, maxHeartbeats int) (states int, violation string) {
	start := newModel()
	found := map[model]struct{}{start: {}}
	for queue := []model{start}; len(queue) > 0; {
		m := queue[0]
		queue = queue[1:]
		if violation := m.violation(); violation != "" {
			return len(found), violation
		}
		for _, next := range m.successors(without, maxHeartbeats) {
			if _, ok := found[next]; !ok {
				found[next] = struct{}{}
				queue = append(queue, next)
			}
		}
	}
	return len(found), ""
}
