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

// A shard takes a larger share and gives it back; the answer to the first change is lost.
func TestShardQuotaChangeStates(t *testing.T) {
	quota := NewShardQuota(0, 1)
	checkQuota(t, quota, "start", Unread, 0)
	quota.SharesRead(Shares{2, 2}, 1)
	checkQuota(t, quota, "document read", Settled, 2)
	larger, ok := quota.Request(4, 6)
	if !ok || larger.Version != 1 || larger.Shares[0] != 4 {
		t.Fatalf("request of 4: %+v, %v", larger, ok)
	}
	checkQuota(t, quota, "larger share sent", Requesting, 2)
	quota.ChangeUnconfirmed(larger)
	checkQuota(t, quota, "no answer", Indeterminate, 2)
	if _, ok := quota.RetryRequest(); !ok {
		t.Fatal("an indeterminate change can't be sent again")
	}
	checkQuota(t, quota, "sent again", Requesting, 2)
	quota.ChangeCommitted(larger, 2)
	checkQuota(t, quota, "larger share committed", Settled, 4)
	smaller, ok := quota.Request(0, 6)
	if !ok || smaller.Shares[0] != 1 {
		t.Fatalf("request of less than is reserved: %+v, %v", smaller, ok)
	}
	checkQuota(t, quota, "smaller share sent", Requesting, 1)
	quota.SharesRead(Shares{1, 5}, 3)
	checkQuota(t, quota, "newer document read", Settled, 1)
}

// checkQuota fails the test unless the quota is in a state and that many units are usable.
func checkQuota(t *testing.T, quota *ShardQuota, step string, state State, usable int32) {
	t.Helper()
	if quota.State() != state || quota.Usable() != usable {
		t.Fatalf("%s: %s with %d usable, want %s with %d", step, quota.State(), quota.Usable(), state, usable)
	}
}
