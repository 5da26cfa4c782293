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

// A next leader restores what an earlier one found, by Unix time; healthy zones aren't stored.
func TestZonesAreRestoredByTheNextLeader(t *testing.T) {
	z := New(Config{ProbationTime: time.Second})
	allHeard := Count{Machines: 8}
	quiet := map[int32]Count{0: {Machines: 8, Quiet: 8, Silent: 8}, 1: allHeard, 2: {Machines: 8, Quiet: 3}}
	heard := map[int32]Count{0: allHeard, 1: allHeard, 2: allHeard}
	z.Evaluate(10*time.Second, quiet)
	z.Evaluate(20*time.Second, heard)
	z.Evaluate(21*time.Second, heard)
	z.Evaluate(21500*time.Millisecond, quiet)
	if !z.Dirty() {
		t.Fatal("nothing to be stored")
	}
	raw := z.Encode(zoneName, func(at time.Duration) int64 { return 1_000_000 + at.Milliseconds() })

	next := New(Config{ProbationTime: time.Second})
	monotonic := func(unixMS int64) time.Duration { return time.Duration(unixMS-1_020_000) * time.Millisecond }
	if err := next.Restore(raw, zoneIndex, monotonic); err != nil {
		t.Fatal(err)
	}
	if got := next.Zone(0); got.State != Lost || got.Flaps != 1 || got.Since != 1500*time.Millisecond {
		t.Errorf("%s: %+v", raw, got)
	}
	if next.Zone(1) != (Zone{}) || next.Zone(2).State != Healthy || next.Dirty() {
		t.Errorf("%s", raw)
	}
}

// What can't be read, or is in a newer format, is an error.
func TestUnreadableZonesAreRefused(t *testing.T) {
	for raw, isNewer := range map[string]bool{`[]`: false, `{"v":2}`: true, `{"zones":7}`: false} {
		err := New(Config{}).Restore([]byte(raw), zoneIndex, func(int64) time.Duration { return 0 })
		if err == nil {
			t.Errorf("%s is taken", raw)
		}
		var format *rollout.NewerFormatError
		if errors.As(err, &format) != isNewer {
			t.Errorf("%s: %v", raw, err)
		}
	}
}
