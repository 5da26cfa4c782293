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

// A machine moves from shard 0 to shard 1, with the first answer lost.
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
		{"start", func() bool { return true }, AwaitingHeartbeat, NotOwned},
		{"heartbeat at another token", heartbeat(giver, 2), AwaitingHeartbeat, NotOwned},
		{"heartbeat at the token", heartbeat(giver, 1), Active, NotOwned},
		{"drain", func() bool { giver.Drain(); return true }, Draining, NotOwned},
		{"cancel drain", func() bool { giver.CancelDrain(); return true }, Active, NotOwned},
		{"drain again", func() bool { giver.Drain(); return true }, Draining, NotOwned},
		{"transfer of a machine that isn't empty", func() bool {
			_, ok := giver.BeginTransfer(1, false)
			return !ok
		}, Draining, NotOwned},
		{"transfer", func() (ok bool) {
			transfer, ok = giver.BeginTransfer(1, true)
			return ok && transfer == Transfer{RecordVersion: 0, ToShard: 1}
		}, Transferring, NotOwned},
		{"no answer", func() bool { giver.TransferUnconfirmed(transfer); return true }, Indeterminate, NotOwned},
		{"retry", func() bool {
			retried, ok := giver.RetryTransfer()
			return ok && retried == transfer
		}, Transferring, NotOwned},
		{"committed", func() bool { giver.TransferCommitted(transfer, moved, 1); return true }, NotOwned, NotOwned},
		{"record read", func() bool { receiver.RecordRead(moved, 1); return true }, NotOwned, AwaitingHeartbeat},
		{"heartbeat at the term", heartbeat(receiver, 2), NotOwned, AwaitingHeartbeat},
		{"heartbeat at the record's token", heartbeat(receiver, 3), NotOwned, Active},
	}
	for _, step := range steps {
		if !step.do() {
			t.Fatalf("%s: unexpected result", step.name)
		}
		if giver.State() != step.wantGiver || receiver.State() != step.wantReceiver {
			t.Fatalf("%s: giver %s and receiver %s, want %s and %s",
				step.name, giver.State(), receiver.State(), step.wantGiver, step.wantReceiver)
		}
	}
}

// heartbeat returns a step in which a lease receives a heartbeat.
func heartbeat(lease *Lease, token uint64) func() bool {
	return func() bool {
		lease.HeartbeatReceived(token)
		return true
	}
}
