package store_test

import (
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/store"
)

// spend takes single tokens while a priority may, and returns how many.
func spend(b *store.Budget, now time.Duration, priority store.Priority) (n int) {
	for b.Allows(now, 1, priority) {
		b.Take(1)
		n++
	}
	return n
}

func TestBudgetKeepsAReserveForSafety(t *testing.T) {
	b := store.NewBudget(10, 0.8)
	ordinary := spend(b, 0, store.NormalPriority)
	safety := spend(b, 0, store.SafetyPriority)
	if ordinary < 5 || safety < 1 || ordinary+safety > 10 {
		t.Fatalf("%d ordinary and %d safety requests of a burst of 10", ordinary, safety)
	}
	total := 0
	for s := 1; s <= 100; s++ {
		total += spend(b, time.Duration(s)*time.Second, store.SafetyPriority)
	}
	if total < 700 || total > 1000 {
		t.Fatalf("%d requests in 100 s at 10 a second", total)
	}
}

// One write larger than the bucket waits for a full one and is paid off afterwards.
func TestOversizedRequestNeedsAFullBucket(t *testing.T) {
	b := store.NewBudget(10, 0.8)
	spend(b, 100*time.Second, store.SafetyPriority)
	if !b.Allows(200*time.Second, 30, store.SafetyPriority) {
		t.Fatal("an oversized transaction is never sent")
	}
	b.Take(30)
	if b.Allows(201*time.Second, 1, store.SafetyPriority) {
		t.Fatal("the debt was forgiven")
	}
}

// Floods of plan writes must leave room for submissions: without a reserve one in ten submissions to the leader got
// 429 on a quiet day.
func TestPlanWritesLeaveRoomForUsers(t *testing.T) {
	b := store.NewBudget(18, 0.8)
	spend(b, 0, store.BulkPriority)
	if n := spend(b, 0, store.NormalPriority); n < 3 {
		t.Fatalf("room for %d submissions after a flood of plan writes", n)
	}
	if !b.Allows(0, 1, store.SafetyPriority) {
		t.Fatal("no room left for safety")
	}
}
