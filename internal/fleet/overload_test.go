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

// allAttainable reports whether all jobs of a set, given as a bit mask, meet their deadlines if they are processed in
// the order of their latest starts. It is a slow, simple reference implementation.
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

// As few deadlines as possible are abandoned, and all others can be met. The choice is compared with all subsets of
// the jobs, on a pool with one scarce resource.
func TestFewestDeadlinesAreAbandoned(t *testing.T) {
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
		for i, abandoned := range unattainableDeadlines(0, deadlineJobs, pool) {
			if !abandoned {
				kept |= 1 << i
			}
		}
		if !allAttainable(deadlineJobs, kept, pool) || bits.OnesCount(kept) != maxKept {
			t.Fatalf("problem %d: the set %b of %v is kept, want an attainable set of %d jobs",
				problem, kept, deadlineJobs, maxKept)
		}
		if maxKept < len(deadlineJobs) {
			overloads++
		}
	}
	if overloads < 100 {
		t.Fatalf("%d problems were overloads, want at least 100", overloads)
	}
}

// In an overload a large array swaps ranks with a small one whose deadline can still be met. A job without a deadline
// that ranks between them keeps its rank.
func TestAbandonedArraysSwapRanks(t *testing.T) {
	g := newRigOf(t, 1, map[string]json.RawMessage{}, []config.Team{{Name: "t"}})
	g.heartbeat("m", 1, fenced)
	submit := func(n, tasks int, deadline *float64) *jobs.Job {
		s := spec(n, tasks)
		s.EstimateS, s.DeadlineS = 10, deadline
		return g.submit(s)
	}
	soon, later := 100.0, 130.0
	large := submit(1, 100, &soon) // 1,000 core-seconds of work within 90 s on 4 cores
	between := submit(2, 1, nil)   // no objective, so it ranks last
	small := submit(3, 10, &later) // 100 core-seconds of work within 120 s
	g.RankJobs(g.now)
	if g.rankOf(small) != 0 || g.rankOf(large) != 1 || g.rankOf(between) != 2 {
		t.Fatalf("ranks: small %d, large %d, without a deadline %d; want 0, 1, 2",
			g.rankOf(small), g.rankOf(large), g.rankOf(between))
	}
	g.Settings.Params.Objectives = []config.Objective{{Kind: "finished", Class: "d", WithinS: 120}}
	between.Spec.Class = "d" // its objective is due between the two deadlines
	g.RankJobs(g.now)
	if g.rankOf(small) != 0 || g.rankOf(between) != 1 || g.rankOf(large) != 2 {
		t.Fatalf("ranks: small %d, without a deadline %d, large %d; want 0, 1, 2",
			g.rankOf(small), g.rankOf(between), g.rankOf(large))
	}
}
