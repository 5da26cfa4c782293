package jobs

import (
	"encoding/json"
	"errors"
	"math/rand/v2"
	"testing"

	"github.com/harewalk/harewalk/internal/rollout"
)

// TestApplyKeepsNewestVersion applies the versions of a record in random order. The job has the state of the newest
// version applied so far.
func TestApplyKeepsNewestVersion(t *testing.T) {
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
				t.Fatalf("got state %v at version %d, want %v at %d", job.State, job.Version, want.state, want.version)
			}
		}
		live := 0
		table.ForEachLive(func(*Job) { live++ })
		if live != 0 {
			t.Fatal("ForEachLive visits the cancelled job")
		}
	}
}

// TestLimitFormatRejectsNewerRecords applies the record of a job with predecessors, in format 2, to a table that
// accepts only format 1. The record is rejected. A later record of the same job in format 1 is accepted.
func TestLimitFormatRejectsNewerRecords(t *testing.T) {
	spec := gangSpec(t, 2)
	ended := EncodeRecord(Cancelled, 5, 2, spec)
	spec.Follows = []string{"req-000009"}
	table := NewTable(0)
	table.LimitRecordFormat(1)
	job, _, err := table.Apply(spec.ID, EncodeRecord(Pending, 5, 2, spec), 3)
	var newer *rollout.NewerFormatError
	if !errors.As(err, &newer) || newer.Format != dependentRecordFormat || job != nil || !table.IsUnreadable(spec.ID) {
		t.Errorf("got job %v, error %v, want no job and a NewerFormatError for format %d", job, err, dependentRecordFormat)
	}
	job, _, err = table.Apply(spec.ID, ended, 4)
	if err != nil || job.State != Cancelled || table.IsUnreadable(spec.ID) {
		t.Errorf("record in format 1: got job %+v, error %v, want a readable cancelled job", job, err)
	}
}
