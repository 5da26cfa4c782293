package jobs

import (
	"encoding/json"
	"errors"
	"math/rand/v2"
	"testing"

	"github.com/harewalk/harewalk/internal/rollout"
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

// TestTableOfFormerReleaseQuarantinesNewerFormat applies the record of a job with predecessors to a table that reads
// format 1 only, and one in format 1 to the same job afterwards.
func TestTableOfFormerReleaseQuarantinesNewerFormat(t *testing.T) {
	spec := gangSpec(t, 2)
	ended := EncodeRecord(Cancelled, 5, 2, spec)
	spec.Follows = []string{"req-000009"}
	table := NewTable(0)
	table.LimitFormat(1)
	job, _, err := table.Apply(spec.ID, EncodeRecord(Pending, 5, 2, spec), 3)
	var newer *rollout.NewerFormatError
	if !errors.As(err, &newer) || newer.Format != dependentRecordFormat || job != nil || !table.IsUnreadable(spec.ID) {
		t.Errorf("job %v, error %v: format %d was read", job, err, dependentRecordFormat)
	}
	job, _, err = table.Apply(spec.ID, ended, 4)
	if err != nil || job.State != Cancelled || table.IsUnreadable(spec.ID) {
		t.Errorf("job %+v, error %v: format 1 was not read", job, err)
	}
}
