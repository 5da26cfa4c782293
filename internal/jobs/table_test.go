package jobs

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
)

// TestJobStateOnlyGoesForward applies the versions of a record in random orders.
func TestJobStateOnlyGoesForward(t *testing.T) {
	rng := rand.New(rand.NewPCG(4, 4))
	spec := gangSpec(t, 2)
	records := []struct {
		raw     json.RawMessage
		version uint64
		state   State
	}{
		{EncodeRecord(Pending, 5, 2, spec), 3, Pending},
		{EncodeRecord(Pending, 5, 2, spec), 4, Pending},
		{EncodeRecord(Cancelled, 5, 2, spec), 9, Cancelled},
	}
	for range 200 {
		table := NewTable(0)
		newest := 0
		for _, i := range rng.Perm(len(records)) {
			if _, _, err := table.Apply(spec.ID, records[i].raw, records[i].version); err != nil {
				t.Fatal(err)
			}
			newest = max(newest, i)
			want := records[newest]
			if job := table.Get(spec.ID); job.State != want.state || job.Version != want.version {
				t.Fatalf("%v at version %d, want %v at %d", job.State, job.Version, want.state, want.version)
			}
		}
		live := 0
		table.ForEachLive(func(*Job) { live++ })
		if live != 0 {
			t.Fatal("a cancelled job is live")
		}
	}
}
