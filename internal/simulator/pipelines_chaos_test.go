package simulator

import (
	"cmp"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"
)

// Chaotic runs with pipelines.

// What of the jobs of a chaotic run follows others.
const (
	chaosFollowerPercent = 60
	chaosMaxPredecessors = 3
	chaosFirstFollower   = 2 // the index of the first user whose job may follow others
)

// linkPipelines makes most users' jobs follow some that are submitted before them.
func linkPipelines(rng *rand.Rand, users []*testUser) {
	users = slices.SortedFunc(slices.Values(users), func(a, b *testUser) int {
		return cmp.Compare(a.submitAt, b.submitAt)
	})
	for i, user := range users {
		if i < chaosFirstFollower || rng.IntN(100) >= chaosFollowerPercent {
			continue
		}
		chosen := rng.Perm(i)[:min(i, 1+rng.IntN(chaosMaxPredecessors))]
		for _, predecessor := range chosen {
			user.follow(users[predecessor])
		}
	}
}

// checkPipelineAnswers checks that every user of a chaotic run received one final state, and counts them.
func checkPipelineAnswers(t *testing.T, sim *Simulation, users []*testUser, ends map[string]int) {
	t.Helper()
	for _, user := range users {
		if len(user.finalStates) == 0 {
			t.Errorf("%s is not over (status %d, follows %v)", user.spec.ID, user.status, user.spec.Follows)
			continue
		}
		ends[user.finalStates[0]]++
		if user.finalStates[0] == stateCancelled && !user.cancelRequested {
			ends["cancelled with another"]++
			if !sim.MayBeCancelled(user.spec.ID) {
				t.Errorf("%s is cancelled, and nobody asked for it", user.spec.ID)
			}
		}
		for _, state := range user.finalStates {
			if state != user.finalStates[0] {
				t.Errorf("%s was answered %v", user.spec.ID, user.finalStates)
			}
		}
	}
}

// TestPipelineChaos is TestChaos with jobs that follow others: no rule breaks, and every accepted job ends.
func TestPipelineChaos(t *testing.T) {
	seeds := 12
	if os.Getenv("HAREWALK_LONG") != "" {
		seeds = 200
	}
	ends := map[string]int{}
	for seed := range seeds {
		rng := rand.New(rand.NewPCG(uint64(seed+1), 53))
		link := func(users []*testUser) { linkPipelines(rng, users) }
		sim, users := runChaosWith(t, uint64(1000+seed), 60, 90*time.Second, link)
		for _, violation := range sim.Violations() {
			t.Errorf("seed %d: %s", 1000+seed, violation)
		}
		checkPipelineAnswers(t, sim, users, ends)
		if t.Failed() {
			t.Fatalf("seed %d failed", 1000+seed)
		}
	}
	t.Logf("%d seeds: %v", seeds, ends)
	if ends[stateDone] == 0 || ends["cancelled with another"] == 0 {
		t.Error("no job was done, or none was cancelled with one that it follows")
	}
}
