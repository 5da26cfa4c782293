package simulator

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/drain"
	"github.com/harewalk/harewalk/internal/rollout"
	"github.com/harewalk/harewalk/internal/store"
)

// drainDocument reads the stored document of drain requests.
func (r *testCluster) drainDocument() (document drain.Document) {
	_ = json.Unmarshal(r.StoredItem(drain.DocumentKey).Value, &document)
	return document
}

// drainMachine sends the leader a drain or undrain request for a machine, and returns the status.
func (r *testCluster) drainMachine(op, name string) (status int) {
	r.t.Helper()
	body := fmt.Sprintf(`{"op":%q,"kind":"machine","name":%q,"by":"test"}`, op, name)
	r.Request(r.waitForLeader(), "POST", "/v2/admin", []byte(body), func(s int, _ []byte) { status = s })
	r.waitFor("the answer to "+op, 5*time.Second, func() bool { return status != 0 })
	return status
}

// machineNames collects the names of up to n different machines that were the busiest at some time within a minute.
func (r *testCluster) machineNames(n int) (names []string) {
	seen := map[string]bool{}
	for end := r.Now() + time.Minute; len(names) < n && r.Now() < end; r.Advance(200 * time.Millisecond) {
		if m := r.BusiestMachine(); m != "" && !seen[m] {
			seen[m] = true
			names = append(names, m)
		}
	}
	return names
}

// storeDrainsOfUnknownMachines stores a document of the former release with requests for machines that the
// cluster doesn't have, as after a long time without a leader, and returns it. The leader must handle these requests
// like all others.
func (r *testCluster) storeDrainsOfUnknownMachines(count int) drain.Document {
	document := drain.Document{Machines: map[string]drain.Request{}, Last: "kana: drain machine i-old-19"}
	for i := range count {
		document.Machines[fmt.Sprintf("i-old-%02d", i)] = drain.Request{By: "kana", AtMS: 5, Stop: i%2 == 0}
	}
	raw, _ := json.Marshal(document)
	r.WriteKeys(store.Op{Put: drain.DocumentKey, Value: raw})
	return document
}

// disturbDrainMigration injects the fault of a case of TestDrainRequestsWaitForTheLevel.
func (r *testCluster) disturbDrainMigration(fault string) {
	r.t.Helper()
	switch fault {
	case "leader killed":
		r.waitFor("migration begun", 20*time.Second, func() bool { return r.CountKeys(drain.MachinePrefix) > 0 })
		leader := r.waitForLeader()
		r.KillController(leader)
		r.Advance(8 * time.Second)
		r.StartController(leader)
	case "answers lost":
		r.LoseTxnAnswers(0.3)
		r.After(10*time.Second, func() { r.LoseTxnAnswers(0) })
	case "limits shrink": // the stored document must exceed the value size allowed from now on
		if n := len(r.StoredItem(drain.DocumentKey).Value); n < 2<<10 {
			r.t.Fatalf("document of %d bytes, want at least 2048", n)
		}
		r.SetStateLimits(1.5, 5, 20)
	case "late writes":
		r.DelayWrites(0.3, 500*time.Millisecond, 4*time.Second)
		r.After(20*time.Second, func() { r.DelayWrites(0, 0, 0) })
	}
}

// checkMigratedDrains checks that every request of a document is stored unchanged under its machine's key.
func (r *testCluster) checkMigratedDrains(document drain.Document) {
	r.t.Helper()
	for name, request := range document.Machines {
		var got drain.MachineRecord
		err := json.Unmarshal(r.StoredItem(drain.MachineKey(name)).Value, &got)
		if err != nil || got.Request != request || got.Machine != name {
			r.t.Errorf("migrated request of %s: got %+v, decoding error %v, want the request of the document", name, got, err)
		}
	}
}

// TestDrainRequestsWaitForTheLevel checks that drain requests are stored in the former release's document until every
// controller reads one key per machine. Then all requests must be migrated, also across a change of the leader or
// faults of the state service. Requests for drained machines must be deleted once the machines no longer exist.
func TestDrainRequestsWaitForTheLevel(t *testing.T) {
	for _, fault := range []string{"no fault", "leader killed", "answers lost", "late writes", "limits shrink"} {
		t.Run(fault, func(t *testing.T) {
			cluster := newTestCluster(t, 451, 3, rollout.Archived, "soak_s = 3")
			const unknown = 55
			stored := cluster.storeDrainsOfUnknownMachines(unknown)
			cluster.submitJobs(100 * time.Second)
			cluster.Advance(20 * time.Second)
			names := cluster.machineNames(2)
			if len(names) < 2 {
				t.Fatalf("busiest machines %v, want 2", names)
			}
			if status := cluster.drainMachine("drain", names[0]); status != 200 {
				t.Fatalf("drain: status %d, want 200", status)
			}
			if cluster.CountKeys(drain.MachinePrefix) > 0 || len(cluster.drainDocument().Machines) != unknown+1 {
				t.Fatalf(
					"before level DrainKeys: %d keys, want 0; %d requests in the document, want one more than stored",
					cluster.CountKeys(drain.MachinePrefix),
					len(cluster.drainDocument().Machines),
				)
			}
			rolled := false
			cluster.RollingRestart(rollout.Newest, 2*time.Second, nil, func() { rolled = true })
			for !rolled || cluster.ClusterLevel() < rollout.DrainKeys {
				if cluster.ClusterLevel() < rollout.DrainKeys && cluster.CountKeys(drain.MachinePrefix) > 0 {
					t.Fatal("a drain request was stored under a key below level DrainKeys")
				}
				cluster.Advance(100 * time.Millisecond)
			}
			cluster.disturbDrainMigration(fault)
			cluster.waitFor("migrated", 2*time.Minute, cluster.migrated)
			if n := len(cluster.drainDocument().Machines); n > 0 {
				t.Errorf("%d requests left in the document after the migration, want 0", n)
			}
			cluster.checkMigratedDrains(stored)
			cluster.Advance(25 * time.Second) // until the injected faults have ended
			if status := cluster.drainMachine("undrain", "i-old-07"); status != 200 ||
				cluster.StoredItem(drain.MachineKey("i-old-07")).Version != 0 {
				t.Errorf("undrain of a migrated request: status %d, want 200 and its key deleted", status)
			}
			if status := cluster.drainMachine("drain", names[1]); status != 200 && status != 404 { // 404: already released
				t.Errorf("drain after the migration: status %d, want 200 or 404", status)
			}
			cluster.waitFor("free of requests for the drained machines", 3*time.Minute, func() bool {
				for key := range cluster.StoredItems(drain.MachinePrefix) {
					if !strings.Contains(key, "i-old-") {
						return false
					}
				}
				return true
			})
			cluster.waitUntilDone()
		})
	}
}
