package admission

import (
	"testing"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/licences"
	"github.com/harewalk/harewalk/internal/planner"
	"github.com/harewalk/harewalk/internal/quota"
)

// What one limit refuses no other books, and what is booked is taken and given back by all of them
// at the same moments, once, however often a task is let through.
func TestAllOrNothing(t *testing.T) {
	team := func(string) int32 { return 0 }
	cat := licences.NewCatalog([]*licences.Pool{{Name: "p", Count: 3}})
	g := New(quota.New([]config.Team{{Name: "t", CPUsMax: 10}}, team), licences.New(cat, team, 0))
	units, err := cat.Needs(map[string]int{"p": 1})
	if err != nil {
		t.Fatal(err)
	}
	c := Claim{Team: 0, Size: planner.Size{CPUs: 4}, LicenceUnits: units}
	state := func(cpus float64, free int) {
		t.Helper()
		used, v := g.Quota.Team(0).Used.CPUs, g.Licences.Show(0, 0, func(int32) string { return "" })
		if used != cpus || v.Free != free {
			t.Fatalf("%v CPUs used and %d seats free, want %v and %d", used, v.Free, cpus, free)
		}
	}
	if d := g.Ask(c, 3); !d.TeamLimit {
		t.Fatalf("three tasks of 4 CPUs beyond a limit of 10: %+v", d)
	}
	small := c
	small.Size.CPUs = 1
	if d := g.Ask(small, 4); d.OK() || d.TeamLimit || d.Licence != licences.NoSeat || d.Pool != 0 {
		t.Fatalf("four seats of three: %+v", d)
	}
	state(0, 3)
	a, b := licences.Ref{Job: 1, Task: 0}, licences.Ref{Job: 1, Task: 1}
	g.Acquire(0, a, 7, c)
	g.Reserve(0, []licences.Ref{a, b}[1:], 7, c)
	g.Reserve(0, []licences.Ref{b}, 7, c)
	state(8, 1)
	if !g.Reserved(b) || g.Reserved(a) || g.Fits(c, 1) {
		t.Fatal("the limit of 10 has room for a third task of 4")
	}
	g.Acquire(0, b, 7, c) // its launch follows: it is counted already
	state(8, 1)
	if g.Reserved(b) {
		t.Fatal("still booked after its launch")
	}
	g.Release(0, a, c, licences.Clean)
	state(4, 2)
	g.Release(0, b, c, licences.Unstarted)
	state(0, 3)
	g.Reserve(0, []licences.Ref{a, b}, 9, c)
	g.ReleaseReserved(0, func(r licences.Ref) bool { return r == b })
	state(4, 2)
	g.ReleaseReserved(0, func(licences.Ref) bool { return true })
	state(0, 3)
	none := Claim{Team: 0, Size: planner.Size{CPUs: 10}}
	if !g.Fits(none, 1) || g.Fits(Claim{Team: 5}, 1) {
		t.Fatal("a task without seats is kept out, or one of an unknown team let in")
	}
}
