package zones

import (
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/rollout"
)

var testZones = []string{"a", "b", "c"}

func zoneName(index int32) string { return testZones[index] }

func zoneIndex(name string) int32 { return int32(slices.Index(testZones, name)) }

// The next leader restores the states and times that an earlier leader stored, converted by Unix time. Healthy zones
// without flaps are not stored.
func TestNextLeaderRestoresZones(t *testing.T) {
	z := New(Config{ProbationTime: time.Second})
	allReachable := Count{Machines: 8}
	lostCounts := map[int32]Count{
		0: {Machines: 8, Unreachable: 8, LongUnreachable: 8},
		1: allReachable,
		2: {Machines: 8, Unreachable: 3},
	}
	reachableCounts := map[int32]Count{0: allReachable, 1: allReachable, 2: allReachable}
	z.Evaluate(10*time.Second, lostCounts)
	z.Evaluate(20*time.Second, reachableCounts)
	z.Evaluate(21*time.Second, reachableCounts)
	z.Evaluate(21500*time.Millisecond, lostCounts)
	if !z.Dirty() {
		t.Fatal("got no changes to be stored, want some")
	}
	raw := z.Encode(zoneName, func(at time.Duration) int64 { return 1_000_000 + at.Milliseconds() })

	next := New(Config{ProbationTime: time.Second})
	monotonic := func(unixMS int64) time.Duration { return time.Duration(unixMS-1_020_000) * time.Millisecond }
	if err := next.Restore(raw, zoneIndex, monotonic); err != nil {
		t.Fatal(err)
	}
	if got := next.Zone(0); got.State != Lost || got.Flaps != 1 || got.Since != 1500*time.Millisecond {
		t.Errorf("restored from %s: got %+v, want state lost, 1 flap, since 1.5 s", raw, got)
	}
	if next.Zone(1) != (Zone{}) || next.Zone(2).State != Healthy || next.Dirty() {
		t.Errorf("restored from %s: want zones 1 and 2 healthy and nothing to be stored", raw)
	}
}

// Restore returns an error for a value that it can't decode. The error for a newer format is a
// rollout.NewerFormatError; the error for an invalid value is not.
func TestUndecodableZonesAreRejected(t *testing.T) {
	for raw, isNewer := range map[string]bool{`[]`: false, `{"v":2}`: true, `{"zones":7}`: false} {
		err := New(Config{}).Restore([]byte(raw), zoneIndex, func(int64) time.Duration { return 0 })
		if err == nil {
			t.Errorf("restore of %s: got no error, want one", raw)
		}
		var newer *rollout.NewerFormatError
		if errors.As(err, &newer) != isNewer {
			t.Errorf("restore of %s: got error %v; want a NewerFormatError for a newer format only", raw, err)
		}
	}
}
