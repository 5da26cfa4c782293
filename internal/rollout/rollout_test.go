package rollout

import (
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/store"
)

const testSoak = 10 * time.Second

// The releases of the tests' controllers: the first has no levels, the other two have them.
const (
	formerRelease  = "v0.20.9"
	presentRelease = "v0.21.0"
	nextRelease    = "v0.22.0"
)

// newTestRollout returns the rollout of leader "a" in a cluster of three controllers, each in a zone of its own.
func newTestRollout(auto bool) *Rollout {
	r := New(Config{
		Node:     "a",
		Nodes:    []NodeConfig{{"c", "z3"}, {"a", "z1"}, {"b", "z2"}},
		Release:  presentRelease,
		MaxLevel: Paged,
		Auto:     auto,
		Soak:     testSoak,
	})
	r.HandleItem(store.Item{Key: TermKey, Value: EncodeTerm(Base, 1), Version: 1})
	r.HandleSynced()
	return r
}

// join passes in a controller's announcement, its member key, both at the given version, and a report that it is
// healthy.
func join(r *Rollout, node, release string, supported Level, lease, version uint64) {
	announce(r, announcementRecord{Node: node, Release: release, Level: supported, Lease: lease}, version)
	member := encode(map[string]any{"node": node, "hold": lease})
	r.HandleItem(store.Item{Key: MemberKey(node), Value: member, Version: version})
	r.HandleHealth(0, node, true)
}

// announce passes in a controller's announcement.
func announce(r *Rollout, announcement announcementRecord, version uint64) {
	r.HandleItem(store.Item{Key: AnnounceKey(announcement.Node), Value: encode(announcement), Version: version})
}

// setDirective passes in an operators' directive.
func setDirective(r *Rollout, directive directiveRecord, version uint64) {
	r.HandleItem(store.Item{Key: directiveKey, Value: encode(directive), Version: version})
}

// mustTick returns the transaction that the leader has to send, and fails the test if none is due.
func mustTick(t *testing.T, r *Rollout, now time.Duration, term uint64, progress MigrationProgress) store.Txn {
	t.Helper()
	txn, due := r.Tick(now, term, progress)
	if !due {
		t.Fatalf("state %s: got no transaction, want one", r.State())
	}
	return txn
}

// mustNotTick fails the test if the leader has a transaction to send.
func mustNotTick(t *testing.T, r *Rollout, now time.Duration, term uint64, progress MigrationProgress) {
	t.Helper()
	if txn, due := r.Tick(now, term, progress); due {
		t.Fatalf("state %s: got transaction %+v, want none", r.State(), txn)
	}
}

// commit passes in the outcome of a transaction that was committed at a revision.
func commit(r *Rollout, now time.Duration, txn store.Txn, revision uint64) {
	r.HandleOutcome(now, txn, store.Result{Outcome: store.Committed, Revision: revision})
}
