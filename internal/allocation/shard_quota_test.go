package allocation

import (
	"errors"
	"testing"
)

// No run of two shards with three changes and a failover violates an invariant. Each change is written at any time,
// once or not at all, and its response arrives or not. Without any one of the guards some run violates an invariant.
func TestEveryRunOfShardQuotas(t *testing.T) {
	states, violation := explore(allGuards, 3)
	if violation != "" || states < 10_000 {
		t.Fatalf("%d states and violation %q, want at least 10000 and none", states, violation)
	}
	t.Logf("%d states without a violation", states)
	guards := []guard{
		guardLargerOnceDurable,
		guardSmallerAtOnce,
		guardIndeterminate,
		guardVersion,
		guardLeadership,
	}
	for _, without := range guards {
		states, violation := explore(without, 4)
		if violation == "" {
			t.Errorf("without guard %q: no violation in %d states, want one", without, states)
		}
		t.Logf("without guard %q: %d states, violation %q", without, states, violation)
	}
}

// explore visits the reachable states of two shards, breadth first, up to the first state that violates an invariant.
// It returns the number of states found, and the violation or "".
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
		t.Errorf("Release of 3 of 2 reserved units: %v, want ErrNotReserved", err)
	}
	if quota.Reserved() != 2 {
		t.Errorf("%d units reserved after a refused release, want 2", quota.Reserved())
	}
}

// A shard requests a larger share and later a smaller one. The response to the first change is lost.
func TestShardQuotaChangeStates(t *testing.T) {
	quota := NewShardQuota(0, 1)
	checkQuota(t, quota, "start", Unread, 0)
	quota.SharesRead(Shares{2, 2}, 1)
	checkQuota(t, quota, "document read", Settled, 2)
	larger, ok := quota.Request(4, 6)
	if !ok || larger.Version != 1 || larger.Shares[0] != 4 {
		t.Fatalf("Request of 4 units: %+v, %v, want version 1 and share 4", larger, ok)
	}
	checkQuota(t, quota, "larger share sent", Requesting, 2)
	quota.ChangeUnconfirmed(larger)
	checkQuota(t, quota, "no response", Indeterminate, 2)
	if _, ok := quota.RetryRequest(); !ok {
		t.Fatal("RetryRequest returned no change in state Indeterminate")
	}
	checkQuota(t, quota, "sent again", Requesting, 2)
	quota.ChangeCommitted(larger, 2)
	checkQuota(t, quota, "larger share committed", Settled, 4)
	smaller, ok := quota.Request(0, 6)
	if !ok || smaller.Shares[0] != 1 {
		t.Fatalf("Request of 0 units with 1 reserved: %+v, %v, want share 1", smaller, ok)
	}
	checkQuota(t, quota, "smaller share sent", Requesting, 1)
	quota.SharesRead(Shares{1, 5}, 3)
	checkQuota(t, quota, "newer document read", Settled, 1)
}

// checkQuota fails the test unless the quota has the given state and number of usable units.
func checkQuota(t *testing.T, quota *ShardQuota, step string, wantState State, wantUnits int32) {
	t.Helper()
	if quota.State() != wantState || quota.Usable() != wantUnits {
		t.Fatalf("%s: %s with %d usable units, want %s with %d", step, quota.State(), quota.Usable(), wantState, wantUnits)
	}
}
