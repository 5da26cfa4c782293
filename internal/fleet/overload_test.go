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

// allAttainable is a slow, plain model: it reports whether all jobs of a set, given as a bit mask, can be done in
// time if they are worked off by latest start.
func allAttainable(deadlineJobs []deadlineJob, set uint, pool planner.Size) bool {
	var order []int
	for i := range deadlineJobs {
		if set&(1<<i) != 0 {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(a, b int) int { return int(deadlineJobs[a].latestStart - deadlineJobs[b].latestStart) })
	total := planner.Size{}
	for _, i := range order {
		total = total.Add(deadlineJobs[i].work)
		if secondsOfWork(total, pool) > deadlineJobs[i].latestStart.Seconds()+1e-9 {
			return false
		}
	}
	return true
}

// As few deadlines as possible are given up, and the others can be met: compared with every possible choice, on a
// pool with one scarce resource.
func TestFewestDeadlinesAreGivenUp(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	pool := planner.Size{CPUs: 10, Mem: 1000}
	overloads := 0
	for problem := range 300 {
		deadlineJobs := make([]deadlineJob, 1+rng.IntN(9))
		for i := range deadlineJobs {
			amount := 10 + 400*rng.Float64()
			deadlineJobs[i] = deadlineJob{
				latestStart: time.Duration(1+rng.IntN(100)) * time.Second,
				work:        planner.Size{CPUs: amount, Mem: amount},
			}
		}
		maxKept := 0
		for set := range uint(1) << len(deadlineJobs) {
			if count := bits.OnesCount(set); count > maxKept && allAttainable(deadlineJobs, set, pool) {
				maxKept = count
			}
		}
		kept := uint(0)
		for i, givenUp := range unattainableDeadlines(0, deadlineJobs, pool) {
			if !givenUp {
				kept |= 1 << i
			}
		}
		if !allAttainable(deadlineJobs, kept, pool) || bits.OnesCount(kept) != maxKept {
			t.Fatalf("problem %d: %b kept of %v, %d are possible", problem, kept, deadlineJobs, maxKept)
		}
		if maxKept < len(deadlineJobs) {
			overloads++
		}
	}
	if overloads < 100 {
		t.Fatalf("only %d problems were overloads", overloads)
	}
}

// In an overload a large array changes places with a small one whose deadline can still be met, and a job without a
// deadline between them keeps its rank.
func TestGivenUpArraysChangePlaces(t *testing.T) {
	g := newRigOf(t, 1, map[string]json.RawMessage{}, []config.Team{{Name: "t"}})
	g.heartbeat("m", 1, fenced)
	submit := func(n, tasks int, deadline *float64) *jobs.Job {
		s := spec(n, tasks)
		s.EstimateS, s.DeadlineS = 10, deadline
		return g.submit(s)
	}
	soon, later := 100.0, 130.0
	large := submit(1, 100, &soon) // 1,000 core-seconds for 4 cores within 90 s
	between := submit(2, 1, nil)   // has no objective: ranks last
	small := submit(3, 10, &later) // 100 core-seconds within 120 s
	g.RankJobs(g.now)
	if g.rankOf(small) != 0 || g.rankOf(large) != 1 || g.rankOf(between) != 2 {
		t.Fatalf("small ranks %d, large %d, without a deadline %d", g.rankOf(small), g.rankOf(large), g.rankOf(between))
	}
	g.Settings.Params.Objectives = []config.Objective{{Kind: "finished", Class: "d", WithinS: 120}}
	between.Spec.Class = "d" // due between the two deadlines
	g.RankJobs(g.now)
	if g.rankOf(small) != 0 || g.rankOf(between) != 1 || g.rankOf(large) != 2 {
		t.Fatalf("small ranks %d, due between %d, large %d", g.rankOf(small), g.rankOf(between), g.rankOf(large))
	}
}
