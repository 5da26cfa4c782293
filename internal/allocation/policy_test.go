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
			t.Fatalf("%d by %v: %v, want %v", limit, demand, got, want)
		}
	})
}

// fairSharesByUnit hands units out one by one: each to the shard with the fewest among those that demand more, then,
// when none does, to the one that was given the fewest beyond its demand.
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

// Shards that act in any order, each on what it has read, come to their fair shares without ever sharing out more
// than the limit or less than is in use, and then write no more.
func TestShardsConvergeToFairShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSharing(t)
		s.runUntilQuiet(t)
		s.checkUse(t)
	})
}

const (
	// The demand changes in rounds 0 and demandInterval, and the shards settle after lastDemandRound.
	demandInterval  = 12
	lastDemandRound = 24
	maxRounds       = 40
	// quietRounds without a write end a run.
	quietRounds = 3
)

// sharing is a run of several shards that share one limit.
type sharing struct {
	limit   int32
	policy  Policy
	shares  Shares // the document
	version uint64
	quotas  []*ShardQuota
	demand  []int32
	writes  int
}

// newSharing draws a limit, shared evenly at first, and its shards.
func newSharing(t *rapid.T) *sharing {
	count := rapid.IntRange(2, 5).Draw(t, "shards")
	s := &sharing{
		limit:   rapid.Int32Range(0, 80).Draw(t, "limit"),
		policy:  Policy{Batch: rapid.Int32Range(1, 8).Draw(t, "batch")},
		shares:  make(Shares, count),
		version: 1,
		demand:  make([]int32, count),
	}
	for shard := range count {
		s.shares[shard] = s.limit / int32(count)
		s.quotas = append(s.quotas, NewShardQuota(shard, 0))
	}
	return s
}

func (s *sharing) runUntilQuiet(t *rapid.T) {
	t.Helper()
	quiet := 0
	for round := 0; quiet < quietRounds; round++ {
		if round > maxRounds {
			t.Fatalf("no end of writes: %v of %d, demand %v", s.shares, s.limit, s.demand)
		}
		if round%demandInterval == 0 && round < lastDemandRound {
			s.drawDemand(t)
		}
		writesBefore := s.writes
		for _, shard := range rapid.Permutation([]int{0, 1, 2, 3, 4}[:len(s.quotas)]).Draw(t, "order") {
			s.act(t, shard)
		}
		quiet++
		if s.writes != writesBefore || round < lastDemandRound {
			quiet = 0
		}
	}
}

func (s *sharing) drawDemand(t *rapid.T) {
	for shard := range s.demand {
		s.demand[shard] = max(s.quotas[shard].Reserved(), rapid.Int32Range(0, 60).Draw(t, "demand"))
	}
}

// act lets a shard read the document, reserve what it can use, and write the change that the policy asks for.
func (s *sharing) act(t *rapid.T, shard int) {
	t.Helper()
	quota := s.quotas[shard]
	quota.SharesRead(s.shares, s.version)
	for quota.Reserved() < s.demand[shard] && quota.CanReserve(1) {
		quota.Reserve(1)
	}
	target := s.policy.Target(shard, s.limit, s.shares, quota.Reserved(), s.demand)
	change, ok := quota.Request(target, s.limit)
	if !ok {
		return
	}
	s.shares = change.Shares
	s.version++
	s.writes++
	quota.ChangeCommitted(change, s.version)
	if s.shares.Sum() > s.limit || s.shares[shard] < quota.Reserved() {
		t.Fatalf("%v of %d, shard %d uses %d", s.shares, s.limit, shard, quota.Reserved())
	}
}

// checkUse fails the test unless every shard uses its fair share, as far as it demands it. A shard may use less while
// running work of others is beyond their fair shares.
func (s *sharing) checkUse(t *rapid.T) {
	t.Helper()
	fair := FairShares(s.limit, s.demand)
	total := int32(0)
	usedBeyondFair := int32(0)
	for shard, quota := range s.quotas {
		total += quota.Reserved()
		usedBeyondFair += max(0, quota.Reserved()-fair[shard])
	}
	for shard, quota := range s.quotas {
		if quota.Reserved() < min(s.demand[shard], fair[shard]) && usedBeyondFair == 0 {
			t.Fatalf("shard %d uses %d, wants %d, its share is %d: %v of %d, demand %v",
				shard, quota.Reserved(), s.demand[shard], fair[shard], s.shares, s.limit, s.demand)
		}
	}
	if total > s.limit {
		t.Fatalf("%d in use of %d", total, s.limit)
	}
}
