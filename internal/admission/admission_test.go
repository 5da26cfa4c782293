package admission

import (
	"testing"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/licences"
	"github.com/harewalk/harewalk/internal/planner"
	"github.com/harewalk/harewalk/internal/quota"
)

const (
	testTeam    int32 = 0
	unknownTeam int32 = 5
	testPool    int32 = 0
)

// newTestGate returns a gate with a limit of 10 CPUs and 3 licence units for a team, and a claim of 4 CPUs and 1
// unit.
func newTestGate(t *testing.T) (*Gate, Claim) {
	t.Helper()
	teamIndex := func(string) int32 { return testTeam }
	catalog := licences.NewCatalog([]*licences.Pool{{Name: "p", Count: 3}})
	units, err := catalog.Needs(map[string]int{"p": 1})
	if err != nil {
		t.Fatal(err)
	}
	gate := New(
		quota.New([]config.Team{{Name: "t", CPUsMax: 10}}, teamIndex),
		licences.New(catalog, teamIndex, 0),
	)
	return gate, Claim{Team: testTeam, Size: planner.Size{CPUs: 4}, Seats: units}
}

func checkBooked(t *testing.T, gate *Gate, wantCPUs float64, wantFreeUnits int) {
	t.Helper()
	cpus := gate.Quota.Team(testTeam).Used.CPUs
	pool := gate.Licences.Show(0, testPool, func(int32) string { return "" })
	if cpus != wantCPUs || pool.Free != wantFreeUnits {
		t.Fatalf("%v CPUs used and %d units free, want %v and %d", cpus, pool.Free, wantCPUs, wantFreeUnits)
	}
}

// What one limit denies is booked on no other.
func TestDeniedTasksBookNothing(t *testing.T) {
	gate, claim := newTestGate(t)
	if denial := gate.Ask(claim, 3); !denial.TeamLimit {
		t.Fatalf("three tasks of 4 CPUs beyond a limit of 10: %+v", denial)
	}
	small := claim
	small.Size.CPUs = 1
	denial := gate.Ask(small, 4)
	if denial.OK() || denial.TeamLimit || denial.Licence != licences.NoSeat || denial.Pool != testPool {
		t.Fatalf("four units of three: %+v", denial)
	}
	checkBooked(t, gate, 0, 3)
	withoutUnits := Claim{Team: testTeam, Size: planner.Size{CPUs: 10}}
	if !gate.Fits(withoutUnits, 1) {
		t.Fatal("a task without licences is denied")
	}
	if gate.Fits(Claim{Team: unknownTeam}, 1) {
		t.Fatal("a task of an unknown team is admitted")
	}
}

// A claim is booked and released on all ledgers at the same moments, and once, however often its task is admitted.
func TestClaimsAreBookedOnceOnAllLedgers(t *testing.T) {
	gate, claim := newTestGate(t)
	checkBooked(t, gate, 0, 3)
	launched, reserved := licences.Ref{Job: 1, Task: 0}, licences.Ref{Job: 1, Task: 1}
	gate.Acquire(0, launched, 7, claim)
	gate.Reserve(0, []licences.Ref{reserved}, 7, claim)
	gate.Reserve(0, []licences.Ref{reserved}, 7, claim)
	checkBooked(t, gate, 8, 1)
	if !gate.Reserved(reserved) || gate.Reserved(launched) || gate.Fits(claim, 1) {
		t.Fatal("the limit of 10 has room for a third task of 4")
	}
	gate.Acquire(0, reserved, 7, claim)
	checkBooked(t, gate, 8, 1)
	if gate.Reserved(reserved) {
		t.Fatal("still reserved after its launch")
	}
	gate.Release(0, launched, claim, licences.Clean)
	checkBooked(t, gate, 4, 2)
	gate.Release(0, reserved, claim, licences.Unstarted)
	checkBooked(t, gate, 0, 3)
}

func TestReservedTasksAreReleased(t *testing.T) {
	gate, claim := newTestGate(t)
	first, second := licences.Ref{Job: 1, Task: 0}, licences.Ref{Job: 1, Task: 1}
	// As in a gang's next attempt: both were launched and released before.
	for _, task := range []licences.Ref{first, second} {
		gate.Acquire(0, task, 7, claim)
		gate.Release(0, task, claim, licences.Clean)
	}
	gate.Reserve(0, []licences.Ref{first, second}, 9, claim)
	checkBooked(t, gate, 8, 1)
	gate.ReleaseReserved(0, func(task licences.Ref) bool { return task == second })
	checkBooked(t, gate, 4, 2)
	gate.ReleaseReserved(0, func(licences.Ref) bool { return true })
	checkBooked(t, gate, 0, 3)
	withoutUnits := Claim{Team: testTeam, Size: planner.Size{CPUs: 10}}
	if !gate.Fits(withoutUnits, 1) || gate.Fits(Claim{Team: unknownTeam}, 1) {
		t.Fatal("a task without licences is denied, or one of an unknown team admitted")
	}
}
