package capacity

import (
	"fmt"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/fleet"
)

func TestSpotMachinesAreRentedFirst(t *testing.T) {
	f := newFixture()
	f.cloud.available = map[cloudOffer]int{{"a", true}: 1, {"b", true}: 2, {"a", false}: 9}
	f.runFor(5 * time.Second)
	if len(f.cloud.machines) != 0 {
		t.Fatalf("%d machines rented without a job, want 0", len(f.cloud.machines))
	}
	f.submit(t, 16, true)
	f.runFor(15 * time.Second)
	spot, onDemand := 0, 0
	for _, machine := range f.cloud.machines {
		if machine.IsSpot {
			spot++
		} else {
			onDemand++
		}
	}
	if spot != 3 || onDemand != 1 {
		t.Fatalf("%d spot and %d on-demand machines rented, want 3 and 1", spot, onDemand)
	}
}

func TestSpotMachinesAreNotRentedForJobsThatForbidThem(t *testing.T) {
	f := newFixture()
	f.cloud.available = map[cloudOffer]int{{"a", true}: 5, {"b", false}: 5}
	f.submit(t, 4, false)
	f.runFor(15 * time.Second)
	for _, machine := range f.cloud.machines {
		if machine.IsSpot {
			t.Fatalf("spot machine %s rented for a job that doesn't allow spot machines", machine.Name)
		}
	}
	if len(f.cloud.machines) != 1 {
		t.Fatalf("%d machines rented for tasks that fill one machine, want 1", len(f.cloud.machines))
	}
}

// No machines beyond max_machines are rented, neither for waiting work nor ahead of need.
func TestMaxMachinesIsNeverExceeded(t *testing.T) {
	for _, maxMachines := range []int{1, 7, 8} {
		t.Run(fmt.Sprintf("%d machines", maxMachines), func(t *testing.T) {
			testMaxMachinesForWaitingWork(t, maxMachines)
			testMaxMachinesForHeadroom(t, maxMachines)
		})
	}
}

func testMaxMachinesForWaitingWork(t *testing.T, maxMachines int) {
	t.Helper()
	f := newFixture()
	f.Settings.Operator.MaxMachines = maxMachines
	f.Settings.Operator.Headroom = 1
	f.cloud.available = map[cloudOffer]int{{"a", true}: 40, {"a", false}: 40}
	f.submit(t, 400, true)
	f.runFor(30 * time.Second)
	if len(f.cloud.machines) != maxMachines {
		t.Errorf("%d machines rented for waiting work, want %d", len(f.cloud.machines), maxMachines)
	}
	if !f.AtMaxMachines() {
		t.Error("AtMaxMachines() = false, want true")
	}
}

// testMaxMachinesForHeadroom checks that a fleet of busy machines, one below the limit, grows by one machine. A fleet
// without machines has no budget for headroom.
func testMaxMachinesForHeadroom(t *testing.T, maxMachines int) {
	t.Helper()
	f := newFixture()
	f.Settings.Operator.MaxMachines = maxMachines
	f.Settings.Operator.Headroom = 10
	f.cloud.available = map[cloudOffer]int{{"a", true}: 40, {"a", false}: 40}
	f.submit(t, 4*maxMachines, true)
	for i := range maxMachines - 1 {
		busy := heartbeat(i, 1)
		busy.Zone = "a"
		busy.Spot = true
		for k := range 4 {
			task := fmt.Sprintf("req-000001/%d", 4*i+k)
			busy.Tasks = append(busy.Tasks, fleet.TaskReport{Task: task, Attempt: 1, State: "running"})
		}
		f.Fleet.HandleHeartbeat(f.cloud.now, busy)
	}
	f.inventory.readAt = 1
	f.rentHeadroom(f.cloud.now, maxMachines-1)
	f.cloud.deliverAll()
	if rented := len(f.cloud.machines); rented != min(1, maxMachines-1) {
		t.Errorf("%d of %d machines present: %d rented ahead of need, want %d",
			maxMachines-1, maxMachines, rented, min(1, maxMachines-1))
	}
}
