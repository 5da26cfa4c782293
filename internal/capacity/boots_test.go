package capacity

import (
	"fmt"
	"testing"
	"time"
)

// A machine that never boots is returned once, also if the lagging list still has it after its return.
func TestBootThatNeverCompletesIsReturnedOnce(t *testing.T) {
	f := newFixture()
	f.cloud.available = map[cloudOffer]int{{"a", false}: 1}
	f.submit(t, 1, false)
	f.runFor(5 * time.Second)
	if len(f.cloud.machines) != 1 {
		t.Fatalf("%d machines rented, want 1", len(f.cloud.machines))
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
		t.Fatalf("%d requests to return machines, want 1", f.cloud.returnRequests)
	}
}

// After several slow boots of a type in a zone, the expected boot time of that type in that zone is longer, and in
// another zone it is unchanged. After many fast boots it is shorter than the default.
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
		t.Fatalf("after slow boots in zone a: expected boot time %v there, want 2 to 4 times %v; %v in zone b, want %v",
			got, initial, expected(other), initial)
	}
	for range 30 {
		f.bootTimes.record(slow, initial/4)
	}
	if got := expected(slow); got >= initial {
		t.Fatalf("after many fast boots: expected boot time %v, want less than %v", got, initial)
	}
}

// If many boots become overdue at the same time, they are replaced gradually, and finally all of them.
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
			t.Fatalf("at %v: %d more boots are replaced than a second before, want 0 to 2", now, count-replaced)
		}
		replaced = count
	}
	if replaced != 40 {
		t.Fatalf("%d boots are replaced in the end, want 40", replaced)
	}
}
