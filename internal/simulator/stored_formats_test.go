package simulator

import (
	"encoding/json"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/drain"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/licences"
	"github.com/harewalk/harewalk/internal/membership"
	"github.com/harewalk/harewalk/internal/rollout"
	"github.com/harewalk/harewalk/internal/sessions"
)

// storedBefore returns the records that a release without levels stored, by key (see testdata/README.md).
func storedBefore(t *testing.T) map[string]json.RawMessage {
	t.Helper()
	raw, err := os.ReadFile("testdata/stored-before-levels.json")
	if err != nil {
		t.Fatal(err)
	}
	var m map[string]json.RawMessage
	if err := json.Unmarshal(raw, &m); err != nil {
		t.Fatal(err)
	}
	return m
}

// checkRoundTrip checks that a stored value, decoded as a T and encoded again, has the same bytes.
func checkRoundTrip[T any](t *testing.T, key string, raw json.RawMessage) {
	t.Helper()
	var v T
	if err := json.Unmarshal(raw, &v); err != nil {
		t.Errorf("%s: decoding failed: %v", key, err)
		return
	}
	if got, _ := json.Marshal(v); string(got) != string(raw) {
		t.Errorf("%s: stored %s, encoded again as %s, want equal bytes", key, raw, got)
	}
}

// TestStoredStateOfEarlierReleasesIsRead checks that every record of an earlier release can be read, and that
// encoding the record at that release's level gives the same bytes, so that the cluster can be downgraded to the
// release.
func TestStoredStateOfEarlierReleasesIsRead(t *testing.T) {
	all := storedBefore(t)
	kinds := map[string]int{}
	table := jobs.NewTable(0)
	for key, raw := range all {
		if id, ok := strings.CutPrefix(key, jobs.RecordPrefix); ok {
			if _, _, err := table.Apply(id, raw, 1); err != nil {
				t.Errorf("%s: applying the record failed: %v", key, err)
			}
		}
	}
	for key, raw := range all {
		kind, ok := rollout.RecordKindOf(key)
		if !ok {
			t.Errorf("%s: no record format registered for this key", key)
			continue
		}
		kinds[kind.Kind]++
		if f := rollout.FormatOf(raw); f != 1 || !slices.Contains(kind.ReadFormats, f) ||
			kind.FormatAtLevel(rollout.Base) != 1 {
			t.Errorf("%s: got format %d, and format %d written at the base level; want a readable format 1 and 1",
				key, f, kind.FormatAtLevel(rollout.Base))
		}
		switch kind.Kind {
		case "job":
			var r jobs.Record
			if err := json.Unmarshal(raw, &r); err != nil {
				t.Fatal(err)
			}
			state := map[string]jobs.State{
				"pending":   jobs.Pending,
				"done":      jobs.Done,
				"cancelled": jobs.Cancelled,
			}[r.State]
			if got := jobs.EncodeRecord(state, r.AtMS, r.Tasks, (*jobs.Spec)(r.Spec)); string(got) != string(raw) {
				t.Errorf("%s: stored %s, encoded again as %s, want equal bytes", key, raw, got)
			}
		case "plan":
			name := strings.TrimPrefix(key, jobs.PlanPrefix)
			job := table.Get(name[:strings.Index(name, "/")])
			if job.State == jobs.Done {
				continue
			}
			job.CreateTasks()
			segmentIndex := int(name[len(name)-1] - '0')
			segment := job.Segments[segmentIndex]
			var names jobs.Names
			machines, done, err := jobs.DecodeSegment(raw, len(segment.DurableMachines), names.Index)
			if err != nil {
				t.Errorf("%s: decoding the plan failed: %v", key, err)
				continue
			}
			for i := range machines {
				task := int32(segmentIndex*jobs.SegmentTasks + i)
				job.Tasks[task].Machine = machines[i]
				if done[i] {
					_ = job.SetTaskState(task, jobs.Finished)
				}
			}
			if got, _ := job.EncodeSegment(segment, 1, names.Name); string(got) != string(raw) {
				t.Errorf("%s: stored %s, encoded again as %s, want equal bytes", key, raw, got)
			}
		case "term":
			if term, err := rollout.DecodeTerm(raw); err != nil ||
				string(rollout.EncodeTerm(rollout.Base, term)) != string(raw) {
				t.Errorf("%s: not decoded and encoded to equal bytes: %v", key, err)
			}
		case "leader":
			checkRoundTrip[membership.Leader](t, key, raw)
		case "part-map":
			checkRoundTrip[membership.ShardMap](t, key, raw)
		case "licence-count":
			checkRoundTrip[licences.CountOverride](t, key, raw)
		case "operators-wishes":
			checkRoundTrip[drain.Document](t, key, raw)
		case "session":
			checkRoundTrip[sessions.Record](t, key, raw)
		}
	}
	for _, k := range []string{
		"job",
		"plan",
		"image-hints",
		"leader",
		"term",
		"part-map",
		"member",
		"licence-count",
		"operators-wishes",
		"session",
	} {
		if kinds[k] == 0 {
			t.Errorf("got no stored record of kind %s, want at least one", k)
		}
	}
}

// pendingRecord decodes a job's record. It returns false unless the record can be decoded and the job is pending.
func pendingRecord(raw []byte) (record jobs.Record, ok bool) {
	err := json.Unmarshal(raw, &record)
	return record, err == nil && record.State == "pending"
}

// TestStartOnStoredState starts current controllers on the records that an earlier release stored. The cluster starts
// at that release's level, is upgraded and migrated, and all jobs end.
func TestStartOnStoredState(t *testing.T) {
	all := storedBefore(t)
	for _, key := range []string{"h/c/leader", "h/c/n/node-0", "h/c/n/node-1", "h/c/n/node-2", drain.DocumentKey} {
		delete(all, key) // records of expired leases, and of machines that this simulation doesn't have
	}
	sim, err := NewVirtualTime(Config{
		Seed:         8,
		MaxMachines:  14,
		Zones:        []string{"a", "b"},
		LicencePools: map[string]int{"transcribe": 12},
		TickInterval: 20 * time.Millisecond,
		InitialKeys:  all,
		Teams:        []config.Team{{Name: "red", CPUs: 20, CPUsMax: 60}, {Name: "blue", CPUs: 20, CPUsMax: 100}},
	},
		func(settings *config.Settings) error {
			return settings.ParseOperator("o.hcl", []byte(chaosPools+"rollout { soak_s = 5 }\n"))
		})
	if err != nil {
		t.Fatal(err)
	}
	cluster := &testCluster{Simulation: sim, t: t}
	cluster.watchInvariants()
	pendingJobs := 0
	for key, raw := range all {
		if !strings.HasPrefix(key, jobs.RecordPrefix) {
			continue
		}
		if record, ok := pendingRecord(raw); ok {
			sim.RecordSubmission((*jobs.Spec)(record.Spec))
			if record.Spec.Kind != jobs.Service {
				pendingJobs++
			}
		}
	}
	sim.Advance(4 * time.Second)
	if cluster.ClusterLevel() != rollout.Base {
		t.Fatal("the cluster started above the base level, which the earlier release doesn't support")
	}
	cluster.waitFor("cluster at the newest level", 30*time.Second, func() bool { return cluster.ClusterLevel() == rollout.Newest })
	cluster.waitFor("plans migrated", 30*time.Second, cluster.migrated)
	l, _ := sim.Leader()
	if v := cluster.rolloutView(l); len(v.Unreadable) > 0 {
		t.Errorf("got unreadable records %+v, want none", v.Unreadable)
	}
	pending := func() (n int) {
		for _, item := range sim.StoredItems(jobs.RecordPrefix) {
			if record, ok := pendingRecord(item.Value); ok && record.Spec.Kind != jobs.Service {
				n++
			}
		}
		return n
	}
	if pendingJobs < 10 {
		t.Fatalf("got %d pending jobs in the stored state, want at least 10", pendingJobs)
	}
	cluster.waitFor("all jobs done", 10*time.Minute, func() bool { return pending() == 0 })
	reportViolations(t, cluster.Simulation)
}
