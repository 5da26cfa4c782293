package controller

import (
	"strings"
	"testing"
	"time"
)

// The queue has room for the heartbeats of a large fleet that arrive at once after a failover.
func TestHeartbeatQueueHoldsLargeFleet(t *testing.T) {
	const machines = 4000
	loop := NewLoop(func() time.Duration { return 0 })
	for i := range machines {
		if !loop.OfferWorker(func() {}) {
			t.Fatalf("heartbeat %d of %d was refused, want room for all", i, machines)
		}
	}
}

// A controller that falls behind handles responses to its own requests first, then heartbeats, then users' messages,
// each class in order of arrival. A message for which its queue has no room is refused at once.
func TestLoopHandlesUrgentMessagesFirst(t *testing.T) {
	loop := NewLoop(func() time.Duration { return 0 })
	var got strings.Builder
	message := func(name string) func() { return func() { got.WriteString(name) } }
	for _, name := range []string{"u1 ", "u2 "} {
		loop.Offer(message(name))
	}
	loop.OfferWorker(message("w "))
	loop.Post(message("a "))
	for next := loop.next(); next != nil; next = loop.next() {
		next()
	}
	if got.String() != "a w u1 u2 " {
		t.Fatalf("order %q, want \"a w u1 u2 \"", got.String())
	}
	accepted := 0
	for loop.Offer(func() {}) {
		accepted++
	}
	if accepted != maxQueuedMessages || !loop.OfferWorker(func() {}) {
		t.Fatalf("%d users' messages accepted, want maxQueuedMessages and room for a heartbeat after them", accepted)
	}
}
