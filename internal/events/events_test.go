package events

import (
	"flag"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestMain sets a fixed seed, so that every run gives the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

// listSince is the model of Log.Since. all is the list of all events ever added. Of the last size events it returns at
// most limit, from a sequence number on, and the sequence number at which to continue.
func listSince(all []Event, size int, from uint64, limit int) (read []Event, next uint64) {
	for _, event := range all[max(0, len(all)-size):] {
		if event.Seq < from {
			continue
		}
		if len(read) == limit {
			return read, event.Seq
		}
		read = append(read, event)
	}
	return read, uint64(len(all) + 1)
}

// logSince reads at most limit events from a log, from a sequence number on, and returns the sequence number at which
// to continue.
func logSince(l *Log, from uint64, limit int) (read []Event, next uint64) {
	next = l.Since(from, func(event *Event) bool {
		if len(read) == limit {
			return false
		}
		read = append(read, *event)
		return true
	})
	return read, next
}

// After each Add, Since returns the events still in the log from any sequence number on, in order, and the sequence
// number at which to continue.
func TestSinceMatchesPlainList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 8).Draw(t, "size")
		l := New(size)
		var all []Event
		for i := range rapid.IntRange(0, 30).Draw(t, "n") {
			l.Add(Event{Task: int32(i)})
			all = append(all, Event{Seq: uint64(i + 1), Task: int32(i)})
			from := uint64(rapid.IntRange(0, i+3).Draw(t, "from"))
			limit := rapid.IntRange(0, 10).Draw(t, "limit")
			want, wantNext := listSince(all, size, from, limit)
			got, gotNext := logSince(l, from, limit)
			if !slices.Equal(got, want) || gotNext != wantNext {
				t.Fatalf("Since(%d), limit %d: got %v, next %d; want %v, next %d", from, limit, got, gotNext, want, wantNext)
			}
		}
	})
}

// The tests of other packages use a nil log.
func TestAddToNilLogDoesNothing(*testing.T) {
	var l *Log
	l.Add(Event{})
}

// Every kind has a distinct name, as the names are part of the API.
func TestEveryKindHasItsOwnName(t *testing.T) {
	seen := map[string]Kind{}
	for kind := TermStarted; kind <= RolloutStateChanged; kind++ {
		name := kind.String()
		if other, ok := seen[name]; ok || name == "" {
			t.Errorf("kind %d: got the name %q, the same as kind %d or empty; want a distinct name", kind, name, other)
		}
		seen[name] = kind
	}
}
