package capacity

import (
	"fmt"
	"testing"
	"time"
)

// A machine that never boots is returned once, and the lagging list doesn't bring it back.
func TestBootThatNeverCompletesIsReturnedOnce(t *testing.T) {
	f := newFixture()
	f.cloud.available = map[cloudOffer]int{{"a", false}: 1}
	f.submit(t, 1, false)
	f.runFor(5 * time.Second)
	if len(f.cloud.machines) != 1 {
		t.Fatal("nothing rented")
	}
	var rented listedMachine
	for _, machine := range f.cloud.machines {
		rented = machine
	}
	f.cloud.returnRequests = 0
	f.runFor(230 * time.Second)
	f.cloud.machines[rented.Name] = rented
	f.runFor(20 * time.Second)
	if f.cloud.returnRequests != 1 {
		t.Fatalf("returned %d times, want once", f.cloud.returnRequests)
	}
}

// After several long boots of a type in a zone, boots of that kind are given longer, and others aren't.
func TestExpectedBootTimeFollowsRecentBoots(t *testing.T) {
	f := newFixture()
	machineType := f.Types()[0]
	typeIndex := f.Names.Types.Index(machineType.Name)
	slow := offer{typeIndex: typeIndex, zone: f.Names.Zones.Index("a")}
	other := offer{typeIndex: typeIndex, zone: f.Names.Zones.Index("b")}
	expected := func(o offer) time.Duration { return f.bootTimes.expected(o, machineType.BootS) }
	initial := expected(slow)
	for range 6 {
		f.bootTimes.record(slow, 2*initial)
	}
	if got := expected(slow); got < 2*initial || got > 4*initial || expected(other) != initial {
		t.Fatalf("expects %v there, %v elsewhere, %v at first", got, expected(other), initial)
	}
	for range 30 {
		f.bootTimes.record(slow, initial/4)
	}
	if got := expected(slow); got >= initial {
		t.Fatalf("expects %v after many quick boots", got)
	}
}

// Boots that are overdue together are replaced one after the other, and all of them in the end.
func TestOverdueBootsAreReplacedGradually(t *testing.T) {
	f := newFixture()
	machineType := f.Types()[0]
	o := offer{typeIndex: f.Names.Types.Index(machineType.Name), zone: f.Names.Zones.Index("b")}
	expected := f.bootTimes.expected(o, machineType.BootS)
	for i := range 40 {
		f.boots[fmt.Sprintf("i-%03d", i)] = &pendingBoot{offer: o}
	}
	replaced := 0
	for now := expected - time.Second; now < 2*expected+2*time.Second; now += time.Second {
		count := len(f.overdueBoots(now))
		if count < replaced || count-replaced > 2 {
			t.Fatalf("%v: %d boots are replaced at once", now, count-replaced)
		}
		replaced = count
	}
	if replaced != 40 {
		t.Fatalf("%d of 40 are replaced in the end", replaced)
	}
}
