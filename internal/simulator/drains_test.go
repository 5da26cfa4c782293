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

// drainDocument is the operators' document as it is stored.
func (r *testCluster) drainDocument() (w drain.Document) {
	_ = json.Unmarshal(r.StoredItem(drain.DocumentKey).Value, &w)
	return w
}

// drainMachine asks the leader to drain a machine, or to take it back.
func (r *testCluster) drainMachine(op, name string) (status int) {
	r.t.Helper()
	body := fmt.Sprintf(`{"op":%q,"kind":"machine","name":%q,"by":"test"}`, op, name)
	r.Request(r.waitForLeader(), "POST", "/v2/admin", []byte(body), func(s int, _ []byte) { status = s })
	r.waitFor("the answer to "+op, 5*time.Second, func() bool { return status != 0 })
	return status
}

// machineNames are machines that act at the leader.
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

// storeDrainsOfUnknownMachines stores a document of the former release with requests for machines that no leader has,
// as after a long time without one: they are requests like any other.
func (r *testCluster) storeDrainsOfUnknownMachines(count int) drain.Document {
	old := drain.Document{Machines: map[string]drain.Request{}, Last: "kana: drain machine i-old-19"}
	for i := range count {
		old.Machines[fmt.Sprintf("i-old-%02d", i)] = drain.Request{By: "kana", AtMS: 5, Stop: i%2 == 0}
	}
	raw, _ := json.Marshal(old)
	r.WriteKeys(store.Op{Put: drain.DocumentKey, Value: raw})
	return old
}

// disturbDrainMigration injects the fault of a case of TestDrainRequestsWaitForTheLevel.
func (r *testCluster) disturbDrainMigration(how string) {
	r.t.Helper()
	switch how {
	case "leader killed":
		r.waitFor("begun", 20*time.Second, func() bool { return r.CountKeys(drain.MachinePrefix) > 0 })
		leader := r.waitForLeader()
		r.KillController(leader)
		r.Advance(8 * time.Second)
		r.StartController(leader)
	case "answers lost":
		r.LoseTxnAnswers(0.3)
		r.After(10*time.Second, func() { r.LoseTxnAnswers(0) })
	case "limits shrink": // the document as it stands is larger than any value that is taken now
		if n := len(r.StoredItem(drain.DocumentKey).Value); n < 2<<10 {
			r.t.Fatalf("a document of %d bytes", n)
		}
		r.LowerStateLimits(1.5, 5, 20)
	case "late writes":
		r.DelayWrites(0.3, 500*time.Millisecond, 4*time.Second)
		r.After(20*time.Second, func() { r.DelayWrites(0, 0, 0) })
	}
}

// checkMigratedDrains checks that every request of a document has a key of its own, as it was.
func (r *testCluster) checkMigratedDrains(old drain.Document) {
	r.t.Helper()
	for name, request := range old.Machines {
		var got drain.MachineRecord
		err := json.Unmarshal(r.StoredItem(drain.MachineKey(name)).Value, &got)
		if err != nil || got.Request != request || got.Machine != name {
			r.t.Errorf("%s: %+v, %v", name, got, err)
		}
	}
}

// TestDrainRequestsWaitForTheLevel checks that only the former release's document is written until every controller
// reads the keys; then its requests are migrated, across the leader's end too, none is lost, and those of machines
// that no longer exist are deleted.
func TestDrainRequestsWaitForTheLevel(t *testing.T) {
	for _, how := range []string{"calm", "leader killed", "answers lost", "late writes", "limits shrink"} {
		t.Run(how, func(t *testing.T) {
			cluster := newTestCluster(t, 451, 3, rollout.Archived, "soak_s = 3")
			const unknown = 55
			old := cluster.storeDrainsOfUnknownMachines(unknown)
			cluster.submitJobs(100 * time.Second)
			cluster.Advance(20 * time.Second)
			names := cluster.machineNames(2)
			if len(names) < 2 {
				t.Fatalf("machines %v", names)
			}
			if s := cluster.drainMachine("drain", names[0]); s != 200 {
				t.Fatalf("status %d", s)
			}
			if cluster.CountKeys(drain.MachinePrefix) > 0 || len(cluster.drainDocument().Machines) != unknown+1 {
				t.Fatalf(
					"%d keys before the level, %d in the document",
					cluster.CountKeys(drain.MachinePrefix),
					len(cluster.drainDocument().Machines),
				)
			}
			rolled := false
			cluster.RollingRestart(rollout.Newest, 2*time.Second, nil, func() { rolled = true })
			for !rolled || cluster.ClusterLevel() < rollout.DrainKeys {
				if cluster.ClusterLevel() < rollout.DrainKeys && cluster.CountKeys(drain.MachinePrefix) > 0 {
					t.Fatal("a request has a key before the level")
				}
				cluster.Advance(100 * time.Millisecond)
			}
			cluster.disturbDrainMigration(how)
			cluster.waitFor("migrated", 2*time.Minute, cluster.migrated)
			if n := len(cluster.drainDocument().Machines); n > 0 {
				t.Errorf("%d requests are in the document", n)
			}
			cluster.checkMigratedDrains(old)
			cluster.Advance(25 * time.Second) // answers come in time again
			if s := cluster.drainMachine("undrain", "i-old-07"); s != 200 ||
				cluster.StoredItem(drain.MachineKey("i-old-07")).Version != 0 {
				t.Errorf("status %d, and the request still stands", s)
			}
			if s := cluster.drainMachine("drain", names[1]); s != 200 && s != 404 { // it may have been given back
				t.Errorf("status %d", s)
			}
			cluster.waitFor("swept", 3*time.Minute, func() bool {
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
