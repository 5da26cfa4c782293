package controller

import (
	"strings"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/config"
)

// The shares of all controllers together stay within the state service's limits, rates and
// bursts, for any number of controllers: five once had 1.3 times the rate between them.
func TestSharesAddUp(t *testing.T) {
	for n := 1; n <= 9; n++ {
		settings := &config.Settings{Peers: make([]config.Peer, n-1)}
		settings.Params.State = config.State{RPS: 120, WriteRPS: 30}
		c := &Controller{settings: settings}
		rps, writes, burst := 0.0, 0.0, 0.0
		for i := range n {
			h := c.rateShare(i == 0)
			if h.RPS <= 0 || h.WriteRPS <= 0 {
				t.Fatalf("controller %d of %d has no share", i, n)
			}
			rps, writes, burst = rps+h.RPS, writes+h.WriteRPS, burst+h.WriteRPS*h.BurstS
		}
		if rps > 120+1e-9 || writes > 30+1e-9 || burst > 30+1e-9 {
			t.Fatalf("%d controllers: %v requests, %v writes a second, %v at once", n, rps, writes, burst)
		}
	}
}

// The heartbeats of a large fleet that arrive at once, after a takeover, all find room.
func TestHeartbeatsOfALargeFleetFindRoom(t *testing.T) {
	const machines = 4000
	l := NewLoop(func() time.Duration { return 0 })
	for i := range machines {
		if !l.OfferWorker(func() {}) {
			t.Fatalf("heartbeat %d of %d was refused", i, machines)
		}
	}
}

// A controller that falls behind takes its own answers first, then reports, then users, each
// in their order, and refuses at once what it has no room for.
func TestUrgentMessagesGoFirst(t *testing.T) {
	l := NewLoop(func() time.Duration { return 0 })
	var got strings.Builder
	say := func(s string) func() { return func() { got.WriteString(s) } }
	for _, s := range []string{"u1 ", "u2 "} {
		l.Offer(say(s))
	}
	l.OfferWorker(say("w "))
	l.Post(say("a "))
	for f := l.next(); f != nil; f = l.next() {
		f()
	}
	if got.String() != "a w u1 u2 " {
		t.Fatalf("order %q", got.String())
	}
	n := 0
	for l.Offer(func() {}) {
		n++
	}
	if n != maxQueue || !l.OfferWorker(func() {}) {
		t.Fatalf("%d messages of users taken, and no report after them", n)
	}
}
