package fleet

import (
	"encoding/json"
	"math/bits"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/planner"
)

// inTime is the slow plain model: can a set of claimants, worked off by due time, all be
// done?
func inTime(cs []deadlineJob, set uint, pool planner.Size) bool {
	var order []int
	for i := range cs {
		if set&(1<<i) != 0 {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(a, b int) int { return int(cs[a].latestStart - cs[b].latestStart) })
	sum := planner.Size{}
	for _, i := range order {
		sum = sum.Add(cs[i].work)
		if secondsOfWork(sum, pool) > cs[i].latestStart.Seconds()+1e-9 {
			return false
		}
	}
	return true
}

// As few deadlines as possible are given up, and the others can be met: compared with every
// choice there is, on pools with one scarce resource.
func TestFewestDeadlinesAreGivenUp(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	pool := planner.Size{CPUs: 10, Mem: 1000}
	tight := 0
	for n := range 300 {
		cs := make([]deadlineJob, 1+rng.IntN(9))
		for i := range cs {
			w := 10 + 400*rng.Float64()
			cs[i] = deadlineJob{time.Duration(1+rng.IntN(100)) * time.Second, planner.Size{CPUs: w, Mem: w}}
		}
		best := 0
		for set := range uint(1) << len(cs) {
			if k := bits.OnesCount(set); k > best && inTime(cs, set, pool) {
				best = k
			}
		}
		kept := uint(0)
		for i, late := range unattainableDeadlines(0, cs, pool) {
			if !late {
				kept |= 1 << i
			}
		}
		if !inTime(cs, kept, pool) || bits.OnesCount(kept) != best {
			t.Fatalf("problem %d: %b kept of %v, %d could be", n, kept, cs, best)
		}
		if best < len(cs) {
			tight++
		}
	}
	if tight < 100 {
		t.Fatalf("only %d problems were overloads", tight)
	}
}

// In an overload the large array changes places with the small one that can still be in
// time; a job without a deadline between them keeps its rank. Ranking given-up arrays behind
// everything once cost an earlier deployment 0.02.
func TestGivenUpArraysChangePlaces(t *testing.T) {
	g := newRigOf(t, 1, map[string]json.RawMessage{}, []config.Team{{Name: "t"}})
	g.hear("m", 1, fenced)
	job := func(n, tasks int, deadline *float64) *jobs.Job {
		s := spec(n, tasks)
		s.EstimateS, s.DeadlineS = 10, deadline
		return g.submit(s)
	}
	soon, later := 100.0, 130.0
	large := job(1, 100, &soon) // 1,000 core-seconds for 4 cores within 90 s
	between := job(2, 1, nil)   // past all aims from the start: ranks last
	small := job(3, 10, &later) // 100 core-seconds within 120 s
	g.RankJobs(g.now)
	if !(g.rankOf(small) == 0 && g.rankOf(large) == 1 && g.rankOf(between) == 2) {
		t.Fatalf("small ranks %d, large %d, without a deadline %d", g.rankOf(small), g.rankOf(large), g.rankOf(between))
	}
	g.Settings.Params.Objectives = []config.Objective{{Kind: "finished", Class: "d", WithinS: 120}}
	between.Spec.Class = "d" // due between the two deadlines
	g.RankJobs(g.now)
	if !(g.rankOf(small) == 0 && g.rankOf(between) == 1 && g.rankOf(large) == 2) {
		t.Fatalf("small ranks %d, due between %d, large %d", g.rankOf(small), g.rankOf(between), g.rankOf(large))
	}
}
