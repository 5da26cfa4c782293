package admission

import (
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/licences"
	"github.com/harewalk/harewalk/internal/planner"
	"github.com/harewalk/harewalk/internal/quota"
)

// now is the time of all calls. The gate's decisions don't depend on it.
const now time.Duration = 0

// newGate returns a gate for one team with a limit of 10 CPUs and one pool of three licence units, and the licence
// units of a task that needs one unit of the pool.
func newGate(t *testing.T) (*Gate, []licences.Requirement) {
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

// A claim that one limit denies is taken from no limit. Claims are taken from and released to all limits at the same
// time, and only once if a task is reserved or acquired repeatedly.
func TestClaimsAreTakenFromAllLimitsOrNone(t *testing.T) {
	gate, units := newGate(t)
	claim := Claim{Team: 0, Size: planner.Size{CPUs: 4}, LicenceUnits: units}
	expect := func(wantCPUs float64, wantFree int) {
		t.Helper()
		used := gate.Quota.Team(0).Used.CPUs
		view := gate.Licences.View(now, 0, func(int32) string { return "" })
		if used != wantCPUs || view.Free != wantFree {
			t.Fatalf("%v CPUs used and %d units free, want %v and %d", used, view.Free, wantCPUs, wantFree)
		}
	}
	if denial := gate.Check(claim, 3); !denial.TeamLimit {
		t.Fatalf("Check of 3 tasks of 4 CPUs with a limit of 10: %+v, want TeamLimit", denial)
	}
	small := claim
	small.Size.CPUs = 1
	denial := gate.Check(small, 4)
	if denial.OK() || denial.TeamLimit || denial.Licence != licences.NoFreeUnits || denial.Pool != 0 {
		t.Fatalf("Check of 4 licence units with 3 free: %+v, want NoFreeUnits of pool 0", denial)
	}
	expect(0, 3)

	first, second := licences.TaskRef{Job: 1, Task: 0}, licences.TaskRef{Job: 1, Task: 1}
	gate.Acquire(now, first, 7, claim)
	gate.Reserve(now, []licences.TaskRef{second}, 7, claim)
	gate.Reserve(now, []licences.TaskRef{second}, 7, claim)
	expect(8, 1)
	if !gate.Reserved(second) || gate.Reserved(first) || gate.Fits(claim, 1) {
		t.Fatal("want the second task reserved, the first not, and no room for a third task of 4 CPUs")
	}
	gate.Acquire(now, second, 7, claim) // a reserved claim is counted already
	expect(8, 1)
	if gate.Reserved(second) {
		t.Fatal("the second task is still reserved after Acquire")
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
		t.Fatal("Fits of 10 CPUs without licence units is false with a limit of 10, want true")
	}
	if gate.Fits(Claim{Team: 5}, 1) {
		t.Fatal("Fits for an unknown team is true, want false")
	}
}
