package store_test

import (
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/store"
)

// takeAllowed takes single tokens as long as the priority allows, and returns their number.
func takeAllowed(b *store.Budget, now time.Duration, priority store.Priority) (n int) {
	for b.Allows(now, 1, priority) {
		b.Take(1)
		n++
	}
	return n
}

func TestBudgetKeepsAReserveForSafety(t *testing.T) {
	b := store.NewBudget(10, 0.8)
	ordinary := takeAllowed(b, 0, store.NormalPriority)
	safety := takeAllowed(b, 0, store.CriticalPriority)
	if ordinary < 5 || safety < 1 || ordinary+safety > 10 {
		t.Fatalf("got %d normal and %d safety requests, want at least 5 and 1, at most 10 in total", ordinary, safety)
	}
	total := 0
	for s := 1; s <= 100; s++ {
		total += takeAllowed(b, time.Duration(s)*time.Second, store.CriticalPriority)
	}
	if total < 700 || total > 1000 {
		t.Fatalf("got %d requests in 100 s at 10 per second, want 700 to 1,000", total)
	}
}

// A request that needs more tokens than the bucket holds is allowed once the bucket is full. Later requests wait until
// the debt is refilled.
func TestOversizedRequestNeedsAFullBucket(t *testing.T) {
	b := store.NewBudget(10, 0.8)
	takeAllowed(b, 100*time.Second, store.CriticalPriority)
	if !b.Allows(200*time.Second, 30, store.CriticalPriority) {
		t.Fatal("full bucket of 8 tokens refuses a request for 30, want it allowed")
	}
	b.Take(30)
	if b.Allows(201*time.Second, 1, store.CriticalPriority) {
		t.Fatal("request allowed 1 s after a request for 30 tokens, want it refused until the debt is refilled")
	}
}

// Bursts of plan writes must leave tokens for submissions. Without a reserve, one in ten submissions to the leader got
// status 429 on a day with little load.
func TestBulkWritesLeaveRoomForNormalPriority(t *testing.T) {
	b := store.NewBudget(18, 0.8)
	takeAllowed(b, 0, store.BulkPriority)
	if n := takeAllowed(b, 0, store.NormalPriority); n < 3 {
		t.Fatalf("got %d normal requests after a burst of bulk requests, want at least 3", n)
	}
	if !b.Allows(0, 1, store.CriticalPriority) {
		t.Fatal("safety request refused after normal and bulk requests, want it allowed")
	}
}
