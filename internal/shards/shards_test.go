package shards

import (
	"fmt"
	"math"
	"testing"
)

// Parts get machines by their weights; another weight or another part moves only what it must.
func TestHomes(t *testing.T) {
	nodes := []string{"n-2", "n-0", "n-1", "n-4", "n-3"}
	m := NewMap(nodes)
	heavier := append(Map{}, m...)
	heavier[2].Weight = 2
	more := NewMap(append(nodes, "n-5"))
	count, heavy := make([]int, 5), make([]int, 5)
	moved, fresh := 0, 0
	const n = 20_000
	for i := range n {
		name := fmt.Sprintf("i-%06d", i)
		h, g, k := m.Home(name), heavier.Home(name), more.Home(name)
		count[h]++
		heavy[g]++
		if g != h {
			if moved++; g != 2 {
				t.Fatalf("%s moved from %d to %d when part 2 became heavier", name, h, g)
			}
		}
		if more[k].Node == "n-5" {
			fresh++
		} else if more[k].Node != m[h].Node {
			t.Fatalf("%s moved between old parts when one was added", name)
		}
	}
	for p := range 5 {
		want := 2.0 / 6
		if p != 2 {
			want = 1.0 / 6
		}
		if math.Abs(float64(count[p])/n-0.2) > 0.01 || math.Abs(float64(heavy[p])/n-want) > 0.012 {
			t.Errorf("part %d has %d machines, %d with part 2 twice as heavy", p, count[p], heavy[p])
		}
	}
	if math.Abs(float64(fresh)/n-1.0/6) > 0.01 {
		t.Errorf("a sixth part has %d machines", fresh)
	}
}

// Each part has one controller that leads it first, and the ranks of the others differ, so that they don't
// all offer at once; what one leaves goes to more than one of the others.
func TestRanks(t *testing.T) {
	var nodes []string
	for i := range 7 {
		nodes = append(nodes, fmt.Sprintf("n-%d", i))
	}
	m := NewMap(nodes)
	seconds := map[string]bool{}
	for p := range m {
		seen := map[int]bool{}
		for _, n := range nodes {
			r := m.Rank(p, n)
			if seen[r] || r < 0 || r >= len(nodes) || (r == 0) != (m[p].Node == n) {
				t.Fatalf("part %d: %s has rank %d", p, n, r)
			}
			if seen[r] = true; r == 1 {
				seconds[n] = true
			}
		}
	}
	if len(seconds) < 3 {
		t.Errorf("only %v would take over parts", seconds)
	}
}
