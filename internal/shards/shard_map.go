// Package shards divides the machines of the fleet among several leaders. There are as many shards as controllers.
// Each shard has one leader at a time, in a term of that shard. Its preferred leader is the controller that it is
// named after. A machine's shard is computed from the machine's name. A failover moves no machine: another controller
// becomes the leader of the same shard. A shard that needs more machines than it has borrows single machines by a
// durable transfer (Lease).
//
// The package is pure: it has no clock, I/O or goroutines. It never sends a message, writes a record or elects a
// leader. The controllers don't call it yet; docs/owners-design.md describes what is missing.
package shards

import (
	"hash/fnv"
	"math"
	"slices"
)

// Shard is one shard of the fleet.
type Shard struct {
	// Node is the controller that the shard is named after, its preferred leader.
	Node string
	// Weight is the shard's share of the machines, relative to the weights of the other shards.
	Weight float64
}

// Map is the list of all shards; a shard's number is its index. The map is computed from the settings alone and is the
// same on every controller.
type Map []Shard

// NewMap returns a map with a shard of equal weight for each controller, ordered by the controllers' names.
func NewMap(nodes []string) Map {
	names := slices.Clone(nodes)
	slices.Sort(names)
	m := make(Map, len(names))
	for i, name := range names {
		m[i] = Shard{Node: name, Weight: 1}
	}
	return m
}

// Home returns the shard that a machine belongs to. It uses weighted rendezvous hashing: when the weight of a shard
// changes or a shard is added, machines move only to or from this shard.
func (m Map) Home(machine string) int {
	home := 0
	highest := math.Inf(-1)
	for i, shard := range m {
		if shard.Weight <= 0 {
			continue
		}
		score := shard.Weight / -math.Log(hashFraction(shard.Node, machine))
		if score > highest {
			home = i
			highest = score
		}
	}
	return home
}

// LeaderRank returns the place of a controller in the order in which controllers campaign for a shard. The preferred
// leader has rank 0. The order of the other controllers differs by shard, so that the shards of a failed controller
// are spread over all of them.
func (m Map) LeaderRank(shard int, node string) int {
	preferred := m[shard].Node
	if preferred == node {
		return 0
	}
	rank := 1
	score := leaderScore(node, preferred)
	for i, other := range m {
		if i != shard && other.Node != node && leaderScore(other.Node, preferred) > score {
			rank++
		}
	}
	return rank
}

// leaderScore orders the controllers that may replace a shard's preferred leader, highest score first.
func leaderScore(node, preferred string) float64 { return hashFraction("lead "+node, preferred) }

// fractionBits is the precision of hashFraction: a float64 holds this many bits exactly.
const fractionBits = 53

// hashFraction maps a pair of names to a uniformly distributed number between 0 and 1, both excluded.
func hashFraction(a, b string) float64 {
	hash := fnv.New64a()
	// The Write method of a hash returns no error.
	_, _ = hash.Write([]byte(a))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(b))
	mixed := mixBits(hash.Sum64())
	return (float64(mixed>>(64-fractionBits)) + 0.5) / (1 << fractionBits)
}

// mixBits is the finalizer of MurmurHash3. The high bits of an FNV hash vary too little for short names.
func mixBits(v uint64) uint64 {
	v ^= v >> 33
	v *= 0xff51afd7ed558ccd
	v ^= v >> 33
	v *= 0xc4ceb9fe1a85ec53
	v ^= v >> 33
	return v
}
