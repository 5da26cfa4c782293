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

// storedBefore is the state service as a release without levels left it (testdata/README.md).
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

// same decodes a value into its type and writes it again.
func same[T any](t *testing.T, key string, raw json.RawMessage) {
	t.Helper()
	var v T
	if err := json.Unmarshal(raw, &v); err != nil {
		t.Errorf("%s: %v", key, err)
		return
	}
	if got, _ := json.Marshal(v); string(got) != string(raw) {
		t.Errorf("%s was %s and is written as %s", key, raw, got)
	}
}

// TestStoredStateOfEarlierReleasesIsRead checks that every record that an earlier release wrote is read, and at the
// level of that release written back to the byte, so that the release can be returned to.
func TestStoredStateOfEarlierReleasesIsRead(t *testing.T) {
	all := storedBefore(t)
	kinds := map[string]int{}
	book := jobs.NewTable(0)
	for key, raw := range all {
		if id, ok := strings.CutPrefix(key, jobs.Prefix); ok {
			if _, _, err := book.Apply(id, raw, 1); err != nil {
				t.Errorf("%s: %v", key, err)
			}
		}
	}
	for key, raw := range all {
		row, ok := rollout.RecordFormatOf(key)
		if !ok {
			t.Errorf("%s: of no kind that is known", key)
			continue
		}
		kinds[row.Kind]++
		if f := rollout.FormatOf(raw); f != 1 || !slices.Contains(row.ReadFormats, f) ||
			row.WrittenAt(rollout.Base) != 1 {
			t.Errorf("%s: format %d, written at the first level: %d", key, f, row.WrittenAt(rollout.Base))
		}
		switch row.Kind {
		case "job":
			var r jobs.Record
			if err := json.Unmarshal(raw, &r); err != nil {
				t.Fatal(err)
			}
			st := map[string]jobs.State{
				"pending":   jobs.Pending,
				"done":      jobs.Done,
				"cancelled": jobs.Cancelled,
			}[r.State]
			if got := jobs.EncodeRecord(st, r.AtMS, r.Tasks, (*jobs.Spec)(r.Spec)); string(got) != string(raw) {
				t.Errorf("%s was %s and is written as %s", key, raw, got)
			}
		case "plan":
			name := strings.TrimPrefix(key, jobs.PlanPrefix)
			job := book.Get(name[:strings.Index(name, "/")])
			if job.State == jobs.Done {
				continue
			}
			job.CreateTasks()
			no := int(name[len(name)-1] - '0')
			segment := job.Segments[no]
			var names jobs.Names
			on, done, err := jobs.DecodeSegment(raw, len(segment.DurableMachines), names.Index)
			if err != nil {
				t.Errorf("%s: %v", key, err)
				continue
			}
			for i := range on {
				task := int32(no*jobs.SegmentTasks + i)
				job.Tasks[task].Machine = on[i]
				if done[i] {
					_ = job.SetTaskState(task, jobs.Finished)
				}
			}
			if got, _ := job.EncodeSegment(segment, 1, names.Name); string(got) != string(raw) {
				t.Errorf("%s was %s and is written as %s", key, raw, got)
			}
		case "term":
			if term, err := rollout.DecodeTerm(raw); err != nil ||
				string(rollout.EncodeTerm(rollout.Base, term)) != string(raw) {
				t.Errorf("%s: %v", key, err)
			}
		case "leader":
			same[membership.Leader](t, key, raw)
		case "part-map":
			same[membership.ShardMap](t, key, raw)
		case "licence-count":
			same[licences.CountOverride](t, key, raw)
		case "operators-wishes":
			same[drain.Document](t, key, raw)
		case "session":
			same[sessions.Record](t, key, raw)
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
			t.Errorf("no record of kind %s is kept", k)
		}
	}
}

// pendingRecord decodes a job's record. It returns false unless that is readable and the job's state is pending.
func pendingRecord(raw []byte) (record jobs.Record, ok bool) {
	err := json.Unmarshal(raw, &record)
	return record, err == nil && record.State == "pending"
}

// TestStartOnStoredState starts a cluster of today's controllers on what an earlier release has stored: it goes on
// at that release's level, is upgraded, migrates, and every job ends.
func TestStartOnStoredState(t *testing.T) {
	all := storedBefore(t)
	for _, key := range []string{"h/c/leader", "h/c/n/node-0", "h/c/n/node-1", "h/c/n/node-2", drain.DocumentKey} {
		delete(all, key) // of leases that have expired, and of machines that this simulation doesn't have
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
			return settings.ReadOperator("o.hcl", []byte(chaosPools+"rollout { soak_s = 5 }\n"))
		})
	if err != nil {
		t.Fatal(err)
	}
	cluster := &testCluster{Simulation: sim, t: t}
	cluster.watchInvariants()
	open := 0
	for key, raw := range all {
		if !strings.HasPrefix(key, jobs.Prefix) {
			continue
		}
		if record, ok := pendingRecord(raw); ok {
			sim.AddJob((*jobs.Spec)(record.Spec))
			if record.Spec.Kind != jobs.Service {
				open++
			}
		}
	}
	sim.Advance(4 * time.Second)
	if cluster.ClusterLevel() != rollout.Base {
		t.Fatal("it began at a level that an earlier release doesn't know")
	}
	cluster.waitFor("upgraded", 30*time.Second, func() bool { return cluster.ClusterLevel() == rollout.Newest })
	cluster.waitFor("migrated", 30*time.Second, cluster.migrated)
	l, _ := sim.Leader()
	if v := cluster.rolloutView(l); len(v.Unreadable) > 0 {
		t.Errorf("%+v", v.Unreadable)
	}
	pending := func() (n int) {
		for _, item := range sim.StoredItems(jobs.Prefix) {
			if record, ok := pendingRecord(item.Value); ok && record.Spec.Kind != jobs.Service {
				n++
			}
		}
		return n
	}
	if open < 10 {
		t.Fatalf("only %d jobs were open", open)
	}
	cluster.waitFor("done", 10*time.Minute, func() bool { return pending() == 0 })
	reportViolations(t, cluster.Simulation)
}
