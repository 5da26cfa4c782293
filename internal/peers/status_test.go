package peers

import (
	"fmt"
	"testing"
)

// A status with MaxJobCounts jobs, enough for a large fleet, and IDs of maximum length fits into a frame.
func TestLargestStatusFitsIntoFrame(t *testing.T) {
	s := Status{Node: "node-0"}
	for i := range MaxJobCounts {
		s.Counts = append(s.Counts, JobCount{Job: fmt.Sprintf("req-%018d", i), Done: 100_000, Running: 100_000})
	}
	if n := len(Encode(s)); n > maxFrameBytes || MaxJobCounts < 4000 {
		t.Fatalf("a status with %d jobs takes %d bytes, want at least 4000 jobs in one frame", MaxJobCounts, n)
	}
}
