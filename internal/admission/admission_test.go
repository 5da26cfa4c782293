package admission

import (
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/licences"
	"github.com/harewalk/harewalk/internal/planner"
	"github.com/harewalk/harewalk/internal/quota"
)

// now is the time of all calls: the gate's answers don't depend on it.
const now time.Duration = 0

// newGate returns a gate for one team with a limit of 10 processor cores and one pool of three licence units, and the
// units that a task with one licence unit needs.
func newGate(t *testing.T) (*Gate, []licences.Unit) {
	t.Helper()
	teamIndex := func(string) int32 { return 0 }
	catalog := licences.NewCatalog([]*licences.Pool{{Name: "p", Count: 3}})
	units, err := catalog.UnitsByIndex(map[string]int{"p": 1})
	if err != nil {
		t.Fatal(err)
	}
	teams := quota.New([]config.Team{{Name: "t", CPUsMax: 10}}, teamIndex)
	return New(teams, licences.New(catalog, teamIndex, now)), units
}

// What one limit denies is taken from no other, and claims are taken from and released to all limits at the same
// moments, once, however often a task is acquired or reserved.
func TestClaimsAreTakenFromAllLimitsOrNone(t *testing.T) {
	gate, units := newGate(t)
	claim := Claim{Team: 0, Size: planner.Size{CPUs: 4}, LicenceUnits: units}
	expect := func(usedCPUs float64, freeUnits int) {
		t.Helper()
		used := gate.Quota.Team(0).Used.CPUs
		view := gate.Licences.View(now, 0, func(int32) string { return "" })
		if used != usedCPUs || view.Free != freeUnits {
			t.Fatalf("%v CPUs used and %d units free, want %v and %d", used, view.Free, usedCPUs, freeUnits)
		}
	}
	if denial := gate.Check(claim, 3); !denial.TeamLimit {
		t.Fatalf("three tasks of 4 CPUs beyond a limit of 10: %+v", denial)
	}
	small := claim
	small.Size.CPUs = 1
	denial := gate.Check(small, 4)
	if denial.OK() || denial.TeamLimit || denial.Licence != licences.NoFreeUnits || denial.Pool != 0 {
		t.Fatalf("four units of three: %+v", denial)
	}
	expect(0, 3)

	first, second := licences.TaskRef{Job: 1, Task: 0}, licences.TaskRef{Job: 1, Task: 1}
	gate.Acquire(now, first, 7, claim)
	gate.Reserve(now, []licences.TaskRef{second}, 7, claim)
	gate.Reserve(now, []licences.TaskRef{second}, 7, claim)
	expect(8, 1)
	if !gate.Reserved(second) || gate.Reserved(first) || gate.Fits(claim, 1) {
		t.Fatal("the limit of 10 has room for a third task of 4")
	}
	gate.Acquire(now, second, 7, claim) // its launch follows: it is counted already
	expect(8, 1)
	if gate.Reserved(second) {
		t.Fatal("still reserved after its launch")
	}
	gate.Release(now, first, claim, licences.CleanExit)
	expect(4, 2)
	gate.Release(now, second, claim, licences.NeverStarted)
	expect(0, 3)

	gate.Reserve(now, []licences.TaskRef{first, second}, 9, claim)
	gate.ReleaseReserved(now, func(ref licences.TaskRef) bool { return ref == second })
	expect(4, 2)
	gate.ReleaseReserved(now, func(licences.TaskRef) bool { return true })
	expect(0, 3)
}

func TestFitsWithoutLicenceUnits(t *testing.T) {
	gate, _ := newGate(t)
	if !gate.Fits(Claim{Team: 0, Size: planner.Size{CPUs: 10}}, 1) {
		t.Fatal("a task without licence units is denied")
	}
	if gate.Fits(Claim{Team: 5}, 1) {
		t.Fatal("a task of an unknown team is let in")
	}
}
