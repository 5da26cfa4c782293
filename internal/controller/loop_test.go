package controller

import (
	"strings"
	"testing"
	"time"
)

// The heartbeats of a large fleet that arrive at once, after a failover, all find room.
func TestHeartbeatsOfALargeFleetFindRoom(t *testing.T) {
	const machines = 4000
	loop := NewLoop(func() time.Duration { return 0 })
	for i := range machines {
		if !loop.OfferWorker(func() {}) {
			t.Fatalf("heartbeat %d of %d was refused", i, machines)
		}
	}
}

// A controller that falls behind handles its own answers first, then heartbeats, then users, each in their order, and
// refuses at once what it has no room for.
func TestUrgentMessagesGoFirst(t *testing.T) {
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
		t.Fatalf("order %q", got.String())
	}
	accepted := 0
	for loop.Offer(func() {}) {
		accepted++
	}
	if accepted != maxQueue || !loop.OfferWorker(func() {}) {
		t.Fatalf("%d messages of users accepted, and no heartbeat after them", accepted)
	}
}
