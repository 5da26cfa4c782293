// Package shards divides the fleet among owners. There are as many parts as controllers; each part is
// led by one of them at a time, in a term of its own, and usually by the controller it is named after. A
// machine's part follows from its name, so no part changes when a controller ends: another leads the
// part that was its, and only there starts stand still. What a part needs beyond its own machines it
// borrows, one machine at a time, by a written hand-over (tenure.go).
package shards

import (
	"hash/fnv"
	"math"
	"slices"
)

// Part is one part of the fleet: its place in the list of all controllers by name.
type Part struct {
	Node   string  // the controller it is named after, which leads it unless it can't
	Weight float64 // its share of the machines, relative to the others'
}

// Map is the division. It follows from the settings alone and is the same at every controller.
type Map []Part

// NewMap makes a map of equal parts, one for each controller.
func NewMap(nodes []string) Map {
	names := slices.Clone(nodes)
	slices.Sort(names)
	m := make(Map, len(names))
	for i, n := range names {
		m[i] = Part{n, 1}
	}
	return m
}

// Home is the part that a machine belongs to: weighted rendezvous hashing, so that with another
// weight or another part only those machines move that must.
func (m Map) Home(machine string) int {
	best, home := math.Inf(-1), 0
	for i, p := range m {
		if p.Weight <= 0 {
			continue
		}
		if score := p.Weight / -math.Log(chance(p.Node, machine)); score > best {
			best, home = score, i
		}
	}
	return home
}

// Rank is in which order a controller offers to lead a part: 0 leads it if it can. It spreads what
// one controller leaves over all others.
func (m Map) Rank(part int, node string) int {
	if m[part].Node == node {
		return 0
	}
	rank, mine := 1, chance("lead "+node, m[part].Node)
	for i, p := range m {
		if i != part && p.Node != node && chance("lead "+p.Node, m[part].Node) > mine {
			rank++
		}
	}
	return rank
}

// chance maps two names evenly to (0, 1).
func chance(a, b string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(a))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(b))
	v := h.Sum64()
	// FNV's high bits vary too little on short names: mix them.
	v ^= v >> 33
	v *= 0xff51afd7ed558ccd
	v ^= v >> 33
	v *= 0xc4ceb9fe1a85ec53
	v ^= v >> 33
	return (float64(v>>11) + 0.5) / (1 << 53)
}
