package events

import (
	"flag"
	"testing"

	"pgregory.net/rapid"
)

// The same verdict every time.
func init() { _ = flag.Set("rapid.seed", "1") }

// The ring against a plain list: whatever is added, a reader from any number on gets what is left of it,
// in order, and where to go on.
func TestRing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 8).Draw(t, "size")
		l := New(size)
		var all []Event
		for i := range rapid.IntRange(0, 30).Draw(t, "n") {
			l.Add(Event{Task: int32(i)})
			all = append(all, Event{Seq: uint64(i + 1), Task: int32(i)})
			from, most := uint64(rapid.IntRange(0, i+3).Draw(t, "from")), rapid.IntRange(0, 10).Draw(t, "most")
			var want, got []Event
			next := uint64(len(all) + 1)
			for k, e := range all {
				if k < len(all)-size || e.Seq < from {
					continue
				}
				if len(want) == most {
					next = e.Seq
					break
				}
				want = append(want, e)
			}
			end := l.Since(from, func(e *Event) bool {
				if len(got) == most {
					return false
				}
				got = append(got, *e)
				return true
			})
			if len(got) != len(want) || end != next {
				t.Fatalf("from %d at most %d: %v up to %d, want %v up to %d", from, most, got, end, want, next)
			}
			for k := range got {
				if got[k] != want[k] {
					t.Fatalf("got %v, want %v", got, want)
				}
			}
		}
	})
	var none *Log
	none.Add(Event{}) // must not panic: tests of other slices have no log
}
