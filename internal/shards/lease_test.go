package shards

import (
	"os"
	"testing"
)

// No reachable state of one machine and two shards violates an invariant, within the bounds of the model: two launches,
// three transfers, one failover, and a limited number of heartbeats. If any one of the guards is left out, some
// reachable state violates an invariant.
func TestLeaseInvariantsHoldInAllReachableStates(t *testing.T) {
	maxHeartbeats := 5
	guards := []guard{
		guardEmptyMachine,
		guardNoLaunchInFlight,
		guardHeartbeatToken,
		guardIndeterminate,
		guardLeadership,
		guardFencingTokens,
		guardHeartbeatOrder,
	}
	if os.Getenv("HAREWALK_LONG") != "" {
		// The shortest run in which a late transfer violates an invariant takes seven heartbeats and a million states.
		maxHeartbeats = 7
		guards = append(guards, guardRecordVersion)
	}
	states, violation := explore(noGuard, maxHeartbeats)
	t.Logf("%d states: %q", states, violation)
	if violation != "" || states < 50_000 {
		t.Fatalf("got %d states, violation %q, want at least 50000 states without a violation", states, violation)
	}
	for _, without := range guards {
		states, violation := explore(without, maxHeartbeats)
		t.Logf("without %q: after %d states, violation %q", without, states, violation)
		if violation == "" {
			t.Errorf("without guard %q: no violation, want one", without)
		}
	}
}

// explore visits the reachable states, breadth first, up to the first state that violates an invariant. It returns the
// number of states found and the violation, "" if there is none.
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

// A machine moves from shard 0 to shard 1 by a transfer whose first answer is lost and that is retried.
func TestLeaseTransferStates(t *testing.T) {
	giver := NewLease(0, 1, Assignment{Shard: 0}, 0)
	receiver := NewLease(1, 2, Assignment{Shard: 0}, 0)
	moved := Assignment{Shard: 1, Token: 3}
	var transfer Transfer
	steps := []struct {
		name         string
		do           func() (ok bool)
		wantGiver    LeaseState
		wantReceiver LeaseState
	}{
		{"new leases", func() bool { return true }, AwaitingHeartbeat, NotOwned},
		{"heartbeat at a higher token", heartbeat(giver, 2), AwaitingHeartbeat, NotOwned},
		{"heartbeat at the lease's token", heartbeat(giver, 1), Active, NotOwned},
		{"drain", func() bool { giver.Drain(); return true }, Draining, NotOwned},
		{"cancel drain", func() bool { giver.CancelDrain(); return true }, Active, NotOwned},
		{"drain again", func() bool { giver.Drain(); return true }, Draining, NotOwned},
		{"transfer while not empty", func() bool {
			_, ok := giver.BeginTransfer(1, false)
			return !ok
		}, Draining, NotOwned},
		{"transfer while empty", func() (ok bool) {
			transfer, ok = giver.BeginTransfer(1, true)
			return ok && transfer == Transfer{RecordVersion: 0, ToShard: 1}
		}, Transferring, NotOwned},
		{"no answer", func() bool { giver.TransferUnconfirmed(transfer); return true }, Indeterminate, NotOwned},
		{"transfer retried", func() bool {
			retried, ok := giver.RetryTransfer()
			return ok && retried == transfer
		}, Transferring, NotOwned},
		{"committed", func() bool { giver.TransferCommitted(transfer, moved, 1); return true }, NotOwned, NotOwned},
		{"record read", func() bool { receiver.RecordRead(moved, 1); return true }, NotOwned, AwaitingHeartbeat},
		{"heartbeat at the receiver's term", heartbeat(receiver, 2), NotOwned, AwaitingHeartbeat},
		{"heartbeat at the record's token", heartbeat(receiver, 3), NotOwned, Active},
	}
	for _, step := range steps {
		if !step.do() {
			t.Fatalf("step %q: the lease returned an unexpected transfer or ok", step.name)
		}
		if giver.State() != step.wantGiver || receiver.State() != step.wantReceiver {
			t.Fatalf("step %q: got giver %s and receiver %s, want %s and %s",
				step.name, giver.State(), receiver.State(), step.wantGiver, step.wantReceiver)
		}
	}
}

// heartbeat returns a step in which a lease receives a heartbeat at a token.
func heartbeat(lease *Lease, token uint64) func() bool {
	return func() bool {
		lease.HeartbeatReceived(token)
		return true
	}
}
