package peers

import (
	"fmt"
	"testing"
)

// A status with as many jobs as a large fleet runs, with ids of the greatest length, fits a frame.
func TestStatusOfALargeFleetFitsAFrame(t *testing.T) {
	s := Status{Node: "node-0"}
	for i := range MaxJobCounts {
		s.Counts = append(s.Counts, JobCount{Job: fmt.Sprintf("req-%018d", i), Done: 100_000, Running: 100_000})
	}
	if n := len(Encode(s)); n > maxFrameBytes || MaxJobCounts < 4000 {
		t.Fatalf("%d counts take %d bytes", MaxJobCounts, n)
	}
}
