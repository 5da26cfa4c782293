package shards

import (
	"fmt"
	"math"
	"testing"
)

// Shards have machines in proportion to their weights. When a shard's weight is raised, machines move only to this
// shard. When a shard is added, machines move only to the new shard.
func TestHomeMovesMachinesOnlyToHeavierOrNewShard(t *testing.T) {
	const machines = 20_000
	const heavyShard = 2
	nodes := []string{"n-2", "n-0", "n-1", "n-4", "n-3"}
	equal := NewMap(nodes)
	heavier := append(Map{}, equal...)
	heavier[heavyShard].Weight = 2
	larger := NewMap(append(nodes, "n-5"))

	equalCounts := make([]int, len(equal))
	heavierCounts := make([]int, len(heavier))
	newShardCount := 0
	for i := range machines {
		name := fmt.Sprintf("i-%06d", i)
		home := equal.Home(name)
		homeInHeavier := heavier.Home(name)
		equalCounts[home]++
		heavierCounts[homeInHeavier]++
		if homeInHeavier != home && homeInHeavier != heavyShard {
			t.Fatalf("%s moved from shard %d to %d, want no move except to heavier shard 2", name, home, homeInHeavier)
		}
		nodeInLarger := larger[larger.Home(name)].Node
		if nodeInLarger == "n-5" {
			newShardCount++
		} else if nodeInLarger != equal[home].Node {
			t.Fatalf("%s moved between old shards after n-5 was added, want moves only to n-5", name)
		}
	}

	for shard := range equal {
		wantHeavier := 1.0 / 6
		if shard == heavyShard {
			wantHeavier = 2.0 / 6
		}
		equalShare := float64(equalCounts[shard]) / machines
		heavierShare := float64(heavierCounts[shard]) / machines
		if math.Abs(equalShare-0.2) > 0.01 || math.Abs(heavierShare-wantHeavier) > 0.012 {
			t.Errorf("shard %d: %d machines, %d with shard 2 twice as heavy; want 1/5, and 1/6 or 2/6",
				shard, equalCounts[shard], heavierCounts[shard])
		}
	}
	if math.Abs(float64(newShardCount)/machines-1.0/6) > 0.01 {
		t.Errorf("the added shard has %d machines, want about a sixth of 20000", newShardCount)
	}
}

// The ranks of the controllers for one shard all differ, so that two controllers don't campaign at once. The preferred
// leader has rank 0. Rank 1 goes to different controllers for different shards.
func TestLeaderRanksAreUniqueAndSpread(t *testing.T) {
	var nodes []string
	for i := range 7 {
		nodes = append(nodes, fmt.Sprintf("n-%d", i))
	}
	shardMap := NewMap(nodes)
	rankOneNodes := map[string]bool{}
	for shard := range shardMap {
		usedRanks := map[int]bool{}
		for _, node := range nodes {
			rank := shardMap.LeaderRank(shard, node)
			isPreferred := shardMap[shard].Node == node
			if usedRanks[rank] || rank < 0 || rank >= len(nodes) || (rank == 0) != isPreferred {
				t.Fatalf("shard %d: %s has rank %d, want unique ranks, 0 if preferred", shard, node, rank)
			}
			usedRanks[rank] = true
			if rank == 1 {
				rankOneNodes[node] = true
			}
		}
	}
	if len(rankOneNodes) < 3 {
		t.Errorf("controllers with rank 1 for some shard: %v, want at least 3", rankOneNodes)
	}
}
