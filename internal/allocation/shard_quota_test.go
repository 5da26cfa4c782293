package allocation

import (
	"errors"
	"testing"
)

// Every run of two shards with three changes and a failover, in which each change is written at any time, once or not
// at all, and its answer arrives or not: no run breaks an invariant. Each guard is needed: without it some run does.
func TestEveryRunOfShardQuotas(t *testing.T) {
	states, violation := explore(allGuards, 3)
	if violation != "" || states < 10_000 {
		t.Fatalf("%d states: %s", states, violation)
	}
	t.Logf("%d states, none broken", states)
	guards := []guard{
		guardMoreOnceDurable,
		guardLessAtOnce,
		guardIndeterminate,
		guardVersion,
		guardLeadership,
	}
	for _, without := range guards {
		states, violation := explore(without, 4)
		if violation == "" {
			t.Errorf("without %q nothing breaks in %d states: the guard, or the model, is idle", without, states)
		}
		t.Logf("without %q: after %d states, %s", without, states, violation)
	}
}

// explore visits the states of two shards that can be reached, breadth first, up to the first one that breaks an
// invariant. It returns how many were found, and the invariant.
func explore(without guard, maxChanges int) (states int, violation string) {
	start := newModel(2)
	found := map[string]struct{}{start.key(): {}}
	for queue := []*model{start}; len(queue) > 0; {
		m := queue[0]
		queue = queue[1:]
		if violation := m.violation(); violation != "" {
			return len(found), violation
		}
		for _, next := range m.successors(without, maxChanges) {
			key := next.key()
			if _, ok := found[key]; !ok {
				found[key] = struct{}{}
				queue = append(queue, next)
			}
		}
	}
	return len(found), ""
}

func TestReleaseOfMoreThanIsReserved(t *testing.T) {
	quota := NewShardQuota(0, 2)
	if err := quota.Release(3); !errors.Is(err, ErrNotReserved) {
		t.Errorf("release 3 of 2: %v", err)
	}
	if quota.Reserved() != 2 {
		t.Errorf("%d units reserved after a refused release, want 2", quota.Reserved())
	}
}
