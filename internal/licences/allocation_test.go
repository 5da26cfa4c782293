package licences

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// unitwiseAllocation is a slow model of Allocate, which grants units to one task at a time.
type unitwiseAllocation struct {
	ledger    *Ledger
	freeUnits []int            // units neither in use nor granted, by pool
	teamUnits map[poolTeam]int // units in use or granted
}

type poolTeam struct{ pool, team int32 }

func newUnitwiseAllocation(l *Ledger) *unitwiseAllocation {
	m := &unitwiseAllocation{ledger: l, teamUnits: map[poolTeam]int{}}
	for i, pool := range l.pools {
		m.freeUnits = append(m.freeUnits, pool.freeUnits())
		for team, usage := range pool.teams {
			m.teamUnits[poolTeam{int32(i), team}] = usage.units
		}
	}
	return m
}

// allocate returns how many tasks of each request get their units. Jobs within their team's guarantee come first.
func (m *unitwiseAllocation) allocate(requests []Request) []int {
	granted := make([]int, len(requests))
	for _, guaranteed := range []bool{true, false} {
		for i, request := range requests {
			switch {
			case !request.IsGang:
				for granted[i] < request.Tasks && m.fits(request, 1, guaranteed) {
					m.take(request, 1)
					granted[i]++
				}
			case granted[i] > 0 || request.Tasks == 0:
			case m.fits(request, request.Tasks, guaranteed):
				m.take(request, request.Tasks)
				granted[i] = request.Tasks
			case !guaranteed && m.canEverFit(request):
				m.withhold(request)
			}
		}
	}
	return granted
}

func (m *unitwiseAllocation) fits(request Request, tasks int, guaranteed bool) bool {
	hasGuarantee := false
	for _, requirement := range request.Needs {
		quota := TeamQuota{}
		if usage := m.ledger.pools[requirement.Pool].teams[request.Team]; usage != nil {
			quota = usage.TeamQuota
		}
		units := tasks * requirement.Units
		teamUnits := m.teamUnits[poolTeam{requirement.Pool, request.Team}] + units
		if units > m.freeUnits[requirement.Pool] ||
			(quota.Limit > 0 && teamUnits > quota.Limit) ||
			(guaranteed && quota.Guarantee > 0 && teamUnits > quota.Guarantee) {
			return false
		}
		hasGuarantee = hasGuarantee || quota.Guarantee > 0
	}
	return hasGuarantee || !guaranteed
}

func (m *unitwiseAllocation) take(request Request, tasks int) {
	for _, requirement := range request.Needs {
		m.freeUnits[requirement.Pool] -= tasks * requirement.Units
		m.teamUnits[poolTeam{requirement.Pool, request.Team}] += tasks * requirement.Units
	}
}

func (m *unitwiseAllocation) canEverFit(request Request) bool {
	for _, requirement := range request.Needs {
		pool := m.ledger.pools[requirement.Pool]
		units := requirement.Units * request.Tasks
		if units > pool.totalUnits()-pool.outsideReserve {
			return false
		}
		usage := pool.teams[request.Team]
		if usage != nil && usage.Limit > 0 && m.teamUnits[poolTeam{requirement.Pool, request.Team}]+units > usage.Limit {
			return false
		}
	}
	return true
}

func (m *unitwiseAllocation) withhold(request Request) {
	for _, requirement := range request.Needs {
		m.freeUnits[requirement.Pool] = max(0, m.freeUnits[requirement.Pool]-requirement.Units*request.Tasks)
	}
}

// drawPools draws one to three pools, each with a quota for each team.
func drawPools(t *rapid.T, teams []string) []*Pool {
	var pools []*Pool
	for i := range rapid.IntRange(1, 3).Draw(t, "pools") {
		pool := &Pool{
			Name:  fmt.Sprint(i),
			Count: rapid.IntRange(0, 20).Draw(t, "count"),
			Teams: map[string]TeamQuota{},
		}
		for _, team := range teams {
			limit := rapid.IntRange(0, 12).Draw(t, "limit")
			pool.Teams[team] = TeamQuota{Guarantee: rapid.IntRange(0, 6).Draw(t, "guarantee"), Limit: limit}
		}
		pools = append(pools, pool)
	}
	return pools
}

// drawNeeds draws the units that a task needs of each pool; it returns nil if the task needs none.
func drawNeeds(t *rapid.T, pools []*Pool, label string) []Requirement {
	var needs []Requirement
	for i := range pools {
		if units := rapid.IntRange(0, 3).Draw(t, label); units > 0 {
			needs = append(needs, Requirement{int32(i), units})
		}
	}
	return needs
}

func drawTeam(t *rapid.T) int32 { return int32(rapid.IntRange(0, 2).Draw(t, "team")) }

func drawRequests(t *rapid.T, pools []*Pool) []Request {
	var requests []Request
	for i := range rapid.IntRange(1, 8).Draw(t, "jobs") {
		needs := drawNeeds(t, pools, "needs")
		if needs == nil {
			continue
		}
		requests = append(requests, Request{
			Job:    int32(100 + i),
			Team:   drawTeam(t),
			Needs:  needs,
			Tasks:  rapid.IntRange(0, 9).Draw(t, "tasks"),
			IsGang: rapid.Bool().Draw(t, "gang"),
		})
	}
	return requests
}

// Allocate grants the same tasks as a model that grants them one at a time. It never grants more units of a pool than
// are free, and a gang gets all its units of all pools or none.
func TestAllocateMatchesUnitwiseModel(t *testing.T) {
	teams := []string{"a", "b", "c"}
	teamIndex := func(name string) int32 { return int32(slices.Index(teams, name)) }
	rapid.Check(t, func(t *rapid.T) {
		pools := drawPools(t, teams)
		l := New(NewCatalog(pools), teamIndex, 0)
		for i := range rapid.IntRange(0, 5).Draw(t, "holders") {
			team := drawTeam(t)
			needs := drawNeeds(t, pools, "needs of a holder")
			if denial, _ := l.Fits(team, needs, 1); denial == Granted {
				l.Acquire(0, TaskRef{int32(i), 0}, 1, team, needs, CheckedOut)
			}
		}
		requests := drawRequests(t, pools)
		want := newUnitwiseAllocation(l).allocate(requests)
		freeUnits := newUnitwiseAllocation(l).freeUnits
		for i, grant := range l.Allocate(requests) {
			if grant.Tasks != want[i] {
				t.Fatalf("request %+v: got %d tasks granted, want %d as in the model", requests[i], grant.Tasks, want[i])
			}
			if (grant.Tasks < requests[i].Tasks) != (grant.Denial != Granted) {
				t.Fatalf("request %+v: got %d tasks granted, denial %q, want a denial only if not all are granted",
					requests[i], grant.Tasks, grant.Denial)
			}
			for _, requirement := range requests[i].Needs {
				if freeUnits[requirement.Pool] -= requirement.Units * grant.Tasks; freeUnits[requirement.Pool] < 0 {
					t.Fatalf("pool %d: got more units granted than are free", requirement.Pool)
				}
			}
		}
	})
}

// Two gangs name the same two pools in opposite order, and each pool has enough units for one gang. The first gang
// gets all its units and the second none, until the tasks of the first have ended.
func TestGangsWithPoolsInOppositeOrderDoNotDeadlock(t *testing.T) {
	catalog := NewCatalog([]*Pool{{Name: "x", Count: 4}, {Name: "y", Count: 4}})
	l := New(catalog, singleTeam, 0)
	inOrder, err := catalog.UnitsByIndex(map[string]int{"x": 1, "y": 1})
	if err != nil {
		t.Fatal(err)
	}
	reversed := []Requirement{inOrder[1], inOrder[0]}
	requests := []Request{
		{Job: 1, Needs: inOrder, Tasks: 3, IsGang: true},
		{Job: 2, Needs: reversed, Tasks: 3, IsGang: true},
	}
	grants := l.Allocate(requests)
	if grants[0].Tasks != 3 || grants[1].Tasks != 0 || grants[1].Denial != LowerPriority {
		t.Fatalf("got grants %+v, want 3 tasks for the first gang and LowerPriority for the second", grants)
	}
	for task := range int32(3) {
		l.Acquire(0, TaskRef{1, task}, 1, 0, inOrder, CheckedOut)
	}
	if grants = l.Allocate(requests[1:]); grants[0].Tasks != 0 {
		t.Fatalf("first gang running: got grants %+v, want no task for the second", grants)
	}
	for task := range int32(3) {
		l.Release(0, TaskRef{1, task}, inOrder, CleanExit)
	}
	if grants = l.Allocate(requests[1:]); grants[0].Tasks != 3 {
		t.Fatalf("first gang ended: got grants %+v, want 3 tasks for the second", grants)
	}
}
