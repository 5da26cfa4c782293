package shards

import (
	"fmt"
	"math"
	"testing"
)

// Shards get machines by their weights. A heavier shard takes machines from the others, and a new shard from all;
// no other machine moves.
func TestHomeMovesOnlyMachinesThatMust(t *testing.T) {
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
			t.Fatalf("%s moved from %d to %d when shard 2 became heavier", name, home, homeInHeavier)
		}
		nodeInLarger := larger[larger.Home(name)].Node
		if nodeInLarger == "n-5" {
			newShardCount++
		} else if nodeInLarger != equal[home].Node {
			t.Fatalf("%s moved between old shards when one was added", name)
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
			t.Errorf("shard %d has %d machines, %d with shard 2 twice as heavy",
				shard, equalCounts[shard], heavierCounts[shard])
		}
	}
	if math.Abs(float64(newShardCount)/machines-1.0/6) > 0.01 {
		t.Errorf("a sixth shard has %d machines", newShardCount)
	}
}

// Each shard has one controller with rank 0, the ranks of the others differ, so that they don't all offer at once,
// and the second place goes to more than one controller.
func TestLeaderRanksDifferAndSpread(t *testing.T) {
	var nodes []string
	for i := range 7 {
		nodes = append(nodes, fmt.Sprintf("n-%d", i))
	}
	shardMap := NewMap(nodes)
	seconds := map[string]bool{}
	for shard := range shardMap {
		taken := map[int]bool{}
		for _, node := range nodes {
			rank := shardMap.LeaderRank(shard, node)
			isPreferred := shardMap[shard].Node == node
			if taken[rank] || rank < 0 || rank >= len(nodes) || (rank == 0) != isPreferred {
				t.Fatalf("shard %d: %s has rank %d", shard, node, rank)
			}
			taken[rank] = true
			if rank == 1 {
				seconds[node] = true
			}
		}
	}
	if len(seconds) < 3 {
		t.Errorf("only %v would take over shards", seconds)
	}
}
