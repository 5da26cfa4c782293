package shards

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/harewalk/harewalk/internal/planner"
)

// The same verdict every time.
func init() { _ = flag.Set("rapid.seed", "1") }

// fill counts one by one how many tasks go onto machines that are empty, under the rules on zones.
func fill(n Need, stocks []Stock) (most int) {
	left := map[int32]int{}
	for _, s := range stocks {
		if !n.Allows(s.Type, s.Zone, s.Spot) {
			continue
		}
		for range s.Machines {
			for room := s.Size; n.Size.Fits(room); room = room.Sub(n.Size) {
				left[s.Zone]++
			}
		}
	}
	for _, k := range left {
		if n.ZoneMost > 0 {
			k = min(k, n.ZoneMost)
		}
		if n.OneZone {
			most = max(most, k)
		} else {
			most += k
		}
	}
	return min(most, n.Tasks)
}

// On empty parts a choice against counting one by one: whatever goes whole fits where it goes if it fits anywhere,
// what must be borrowed is the least there is, an array goes where most of it fits, and a part that nobody leads
// gets nothing.
func TestChooseAgainstCounting(t *testing.T) {
	m := NewMap([]string{"a", "b", "c", "d"})
	rapid.Check(t, func(t *rapid.T) {
		only := rapid.Int32Range(-1, 2).Draw(t, "only type")
		n := Need{
			ID: fmt.Sprintf("req-%d", rapid.IntRange(1, 1000).Draw(t, "id")), Tasks: rapid.IntRange(1, 30).Draw(t, "tasks"),
			Size:  planner.Size{CPUs: float64(rapid.IntRange(1, 9).Draw(t, "cpus")), GPUs: float64(rapid.IntRange(0, 2).Draw(t, "gpus")), Mem: 4},
			Whole: rapid.Bool().Draw(t, "whole"), OneZone: rapid.Bool().Draw(t, "one zone"), ZoneMost: rapid.IntRange(0, 8).Draw(t, "zone most"),
			Allows: func(typ, _ int32, _ bool) bool { return only < 0 || typ == only },
		}
		stocks := make([][]Stock, len(m))
		led := 0
		for p := range stocks {
			if rapid.IntRange(0, 4).Draw(t, "led") == 0 {
				continue
			}
			led++
			stocks[p] = []Stock{}
			for range rapid.IntRange(0, 4).Draw(t, "stocks") {
				s := Stock{Type: rapid.Int32Range(0, 2).Draw(t, "type"), Zone: rapid.Int32Range(0, 2).Draw(t, "zone"), Machines: rapid.IntRange(0, 3).Draw(t, "machines")}
				s.Size = planner.Size{CPUs: float64(4 * (1 + s.Type)), GPUs: float64(s.Type), Mem: 32}
				for range s.Machines {
					s.Free = s.Free.Add(s.Size)
				}
				stocks[p] = append(stocks[p], s)
			}
		}
		c, ok := m.Choose(n, stocks)
		if ok != (led > 0) {
			t.Fatalf("%v with %d parts led", ok, led)
		}
		if !ok {
			return
		}
		most := 0
		for p := range stocks {
			if stocks[p] != nil {
				most = max(most, fill(n, stocks[p]))
			}
		}
		if stocks[c.Part] == nil || fill(n, stocks[c.Part]) != most || c.Borrow != n.Tasks-most {
			t.Fatalf("%+v goes to %+v, where %d fit; %d fit elsewhere", n, c, fill(n, stocks[c.Part]), most)
		}
	})
}

// Full parts get no array while others have room, a gang goes where it runs now, and equal parts share jobs.
func TestChooseByRoom(t *testing.T) {
	m := NewMap([]string{"a", "b", "c"})
	stock := func(machines int, free float64) []Stock {
		return []Stock{{Size: planner.Size{CPUs: 8, Mem: 32}, Machines: machines, Free: planner.Size{CPUs: free, Mem: 4 * free}}}
	}
	need := Need{ID: "req-1", Tasks: 16, Size: planner.Size{CPUs: 1, Mem: 1}, Allows: func(int32, int32, bool) bool { return true }}
	if c, _ := m.Choose(need, [][]Stock{stock(20, 3), stock(4, 9), stock(20, 0)}); c.Part != 1 || c.Borrow != 0 {
		t.Errorf("an array goes to %+v", c)
	}
	need.Whole = true
	if c, _ := m.Choose(need, [][]Stock{stock(20, 3), stock(4, 17), stock(1, 8)}); c.Part != 1 {
		t.Errorf("a gang that fits now goes to %+v", c)
	}
	if c, _ := m.Choose(need, [][]Stock{stock(1, 8), stock(2, 0), nil}); c.Part != 1 || c.Borrow != 0 {
		t.Errorf("a gang that fits one part, later, goes to %+v", c)
	}
	need.Tasks = 40
	if c, _ := m.Choose(need, [][]Stock{stock(1, 8), stock(4, 0), stock(3, 24)}); c.Part != 1 || c.Borrow != 8 {
		t.Errorf("a gang that fits no part goes to %+v", c)
	}
	count := make([]int, 3)
	for i := range 3000 {
		need.ID = fmt.Sprintf("req-%d", i)
		c, _ := m.Choose(need, [][]Stock{stock(5, 40), stock(5, 40), stock(5, 40)})
		count[c.Part]++
	}
	for p, k := range count {
		if k < 900 || k > 1100 {
			t.Errorf("part %d got %d of 3000 equal jobs", p, k)
		}
	}
}
