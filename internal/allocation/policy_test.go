package allocation

import (
	"flag"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// The same verdict every time.
func init() { _ = flag.Set("rapid.seed", "1") }

// slowFair hands units out one by one: each to the part that has least of those that want more, then,
// when nobody does, to the one that was given least beyond its demand.
func slowFair(limit int32, demand []int32) Doc {
	d, extra := make(Doc, len(demand)), make(Doc, len(demand))
	for range limit {
		best := -1
		for p := range d {
			if d[p] < demand[p] && (best < 0 || d[p] < d[best]) {
				best = p
			}
		}
		if best < 0 {
			for p := range extra {
				if best < 0 || extra[p] < extra[best] {
					best = p
				}
			}
			extra[best]++
			continue
		}
		d[best]++
	}
	for p := range d {
		d[p] += extra[p]
	}
	return d
}

func TestFairAgainstUnits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int32Range(0, 60).Draw(t, "limit")
		demand := rapid.SliceOfN(rapid.Int32Range(0, 40), 1, 6).Draw(t, "demand")
		if got, want := Fair(limit, demand), slowFair(limit, demand); !slices.Equal(got, want) {
			t.Fatalf("%d by %v: %v, want %v", limit, demand, got, want)
		}
	})
}

// Parts that act in any order, each on what it knows, come to the division they should without ever giving
// more than there is or less than is in use, and then write no more.
func TestPartsComeToTheirShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 5).Draw(t, "parts")
		limit := rapid.Int32Range(0, 80).Draw(t, "limit")
		y := Policy{Batch: rapid.Int32Range(1, 8).Draw(t, "batch")}
		doc, version := make(Doc, n), uint64(1)
		for p := range doc {
			doc[p] = limit / int32(n)
		}
		owners, demand := make([]*Holder, n), make([]int32, n)
		for p := range owners {
			owners[p] = New(p, 0)
		}
		quiet, writes := 0, 0
		for round := 0; quiet < 3; round++ {
			if round > 40 {
				t.Fatalf("no end of writes: %v of %d, demand %v", doc, limit, demand)
			}
			if round%12 == 0 && round < 24 { // the demand changes
				for p := range demand {
					demand[p] = max(owners[p].Use(), rapid.Int32Range(0, 60).Draw(t, "demand"))
				}
			}
			before := writes
			for _, p := range rapid.Permutation([]int{0, 1, 2, 3, 4}[:n]).Draw(t, "order") {
				h := owners[p]
				h.Learn(doc, version)
				for h.Use() < demand[p] && h.Fits(1) {
					h.Take(1)
				}
				c, ok := h.Ask(y.Want(p, limit, doc, h.Use(), demand), limit)
				if !ok {
					continue
				}
				doc, version = c.Doc, version+1
				writes++
				h.Ended(c, version)
				if doc.Sum() > limit || doc[p] < h.Use() {
					t.Fatalf("%v of %d, part %d uses %d", doc, limit, p, h.Use())
				}
			}
			if quiet++; writes != before || round < 24 {
				quiet = 0
			}
		}
		total := int32(0)
		for p, h := range owners {
			total += h.Use()
			// Who still wants more has its fair share, or the others' running work holds what is beyond theirs.
			if fair := Fair(limit, demand); h.Use() < min(demand[p], fair[p]) {
				over := int32(0)
				for q, o := range owners {
					over += max(0, o.Use()-fair[q])
				}
				if over == 0 {
					t.Fatalf("part %d uses %d, wants %d, its share is %d: %v of %d, demand %v", p, h.Use(), demand[p], fair[p], doc, limit, demand)
				}
			}
		}
		if total > limit {
			t.Fatalf("%d in use of %d", total, limit)
		}
	})
}
