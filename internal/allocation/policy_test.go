package allocation

import (
	"flag"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// A fixed seed makes the outcome of the property tests repeatable.
func init() { _ = flag.Set("rapid.seed", "1") }

func TestFairSharesAgainstSingleUnits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int32Range(0, 60).Draw(t, "limit")
		demand := rapid.SliceOfN(rapid.Int32Range(0, 40), 1, 6).Draw(t, "demand")
		if got, want := FairShares(limit, demand), fairSharesByUnit(limit, demand); !slices.Equal(got, want) {
			t.Fatalf("FairShares of limit %d for demands %v: %v, want %v", limit, demand, got, want)
		}
	})
}

// fairSharesByUnit assigns the units of a limit one by one. Each goes to the shard with the fewest units among those
// below their demand. If there is none, it goes to the shard with the fewest units beyond its demand.
func fairSharesByUnit(limit int32, demand []int32) Shares {
	shares := make(Shares, len(demand))
	extra := make(Shares, len(demand))
	for range limit {
		if shard := fewestUnits(shares, demand); shard >= 0 {
			shares[shard]++
		} else {
			extra[fewestUnits(extra, nil)]++
		}
	}
	for shard := range shares {
		shares[shard] += extra[shard]
	}
	return shares
}

// fewestUnits returns the first shard with the fewest units among those below their demand, or -1. Without a demand
// it compares all shards.
func fewestUnits(shares Shares, demand []int32) int {
	fewest := -1
	for shard, units := range shares {
		isEligible := demand == nil || units < demand[shard]
		if isEligible && (fewest < 0 || units < shares[fewest]) {
			fewest = shard
		}
	}
	return fewest
}

// Shards that act in any order, each on the document that it has read, converge to their fair shares and then stop
// writing. The shares never exceed the limit, and no share is below the units in use.
func TestShardsConvergeToFairShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newConvergenceRun(t)
		r.runUntilStable(t)
		r.checkUse(t)
	})
}

const (
	// The demand changes in rounds 0 and demandInterval. Stable rounds are counted from lastDemandRound on.
	demandInterval  = 12
	lastDemandRound = 24
	maxRounds       = 40
	// stableRounds is how many rounds without a write end a run.
	stableRounds = 3
)

// convergenceRun is a run of several shards that share one limit.
type convergenceRun struct {
	limit   int32
	policy  Policy
	shares  Shares // the document
	version uint64
	quotas  []*ShardQuota
	demand  []int32
	writes  int
}

// newConvergenceRun draws the limit, policy and number of shards of a run. The limit is shared evenly at first.
func newConvergenceRun(t *rapid.T) *convergenceRun {
	count := rapid.IntRange(2, 5).Draw(t, "shards")
	r := &convergenceRun{
		limit:   rapid.Int32Range(0, 80).Draw(t, "limit"),
		policy:  Policy{MinChange: rapid.Int32Range(1, 8).Draw(t, "min change")},
		shares:  make(Shares, count),
		version: 1,
		demand:  make([]int32, count),
	}
	for shard := range count {
		r.shares[shard] = r.limit / int32(count)
		r.quotas = append(r.quotas, NewShardQuota(shard, 0))
	}
	return r
}

func (r *convergenceRun) runUntilStable(t *rapid.T) {
	t.Helper()
	stable := 0
	for round := 0; stable < stableRounds; round++ {
		if round > maxRounds {
			t.Fatalf("still writing in the last round: shares %v of %d, demand %v", r.shares, r.limit, r.demand)
		}
		if round%demandInterval == 0 && round < lastDemandRound {
			r.drawDemand(t)
		}
		writesBefore := r.writes
		for _, shard := range rapid.Permutation([]int{0, 1, 2, 3, 4}[:len(r.quotas)]).Draw(t, "order") {
			r.runShard(t, shard)
		}
		stable++
		if r.writes != writesBefore || round < lastDemandRound {
			stable = 0
		}
	}
}

func (r *convergenceRun) drawDemand(t *rapid.T) {
	for shard := range r.demand {
		r.demand[shard] = max(r.quotas[shard].Reserved(), rapid.Int32Range(0, 60).Draw(t, "demand"))
	}
}

// runShard lets a shard read the document, reserve up to its demand, and write the change that the policy requests.
func (r *convergenceRun) runShard(t *rapid.T, shard int) {
	t.Helper()
	quota := r.quotas[shard]
	quota.SharesRead(r.shares, r.version)
	for quota.Reserved() < r.demand[shard] && quota.CanReserve(1) {
		quota.Reserve(1)
	}
	target := r.policy.Target(shard, r.limit, r.shares, quota.Reserved(), r.demand)
	change, ok := quota.Request(target, r.limit)
	if !ok {
		return
	}
	r.shares = change.Shares
	r.version++
	r.writes++
	quota.ChangeCommitted(change, r.version)
	if r.shares.Sum() > r.limit || r.shares[shard] < quota.Reserved() {
		t.Fatalf("shares %v, limit %d, shard %d uses %d; want no more shared than the limit, no less than used",
			r.shares, r.limit, shard, quota.Reserved())
	}
}

// checkUse fails the test unless every shard uses the smaller of its demand and its fair share. A shard may use less
// while running work of other shards exceeds their fair shares.
func (r *convergenceRun) checkUse(t *rapid.T) {
	t.Helper()
	fair := FairShares(r.limit, r.demand)
	total := int32(0)
	usedBeyondFair := int32(0)
	for shard, quota := range r.quotas {
		total += quota.Reserved()
		usedBeyondFair += max(0, quota.Reserved()-fair[shard])
	}
	for shard, quota := range r.quotas {
		if quota.Reserved() < min(r.demand[shard], fair[shard]) && usedBeyondFair == 0 {
			t.Fatalf("shard %d uses %d units, want %d or its fair share of %d: shares %v of %d, demand %v",
				shard, quota.Reserved(), r.demand[shard], fair[shard], r.shares, r.limit, r.demand)
		}
	}
	if total > r.limit {
		t.Fatalf("%d units in use, limit %d", total, r.limit)
	}
}
