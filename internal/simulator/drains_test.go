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

// TestDrainRequestsWaitForTheLevel checks that only the former release's document is written until every controller
// reads the keys; then its requests are migrated, across the leader's end too, none is lost, and those of machines
// that no longer exist are deleted.
func TestDrainRequestsWaitForTheLevel(t *testing.T) {
	for _, how := range []string{"calm", "leader killed", "answers lost", "late writes", "limits shrink"} {
		t.Run(how, func(t *testing.T) {
			cluster := newTestCluster(t, 451, 3, rollout.Archived, "soak_s = 3")
			// Machines that no leader knows, as after a long time without one: they are requests like any other.
			const unknown = 55
			old := drain.Document{Machines: map[string]drain.Request{}, Last: "kana: drain machine i-old-19"}
			for i := range unknown {
				old.Machines[fmt.Sprintf("i-old-%02d", i)] = drain.Request{By: "kana", AtMS: 5, Stop: i%2 == 0}
			}
			raw, _ := json.Marshal(old)
			cluster.WriteKeys(store.Op{Put: drain.DocumentKey, Value: raw})
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
			switch how {
			case "leader killed":
				cluster.waitFor(
					"begun",
					20*time.Second,
					func() bool { return cluster.CountKeys(drain.MachinePrefix) > 0 },
				)
				l := cluster.waitForLeader()
				cluster.KillController(l)
				cluster.Advance(8 * time.Second)
				cluster.StartController(l)
			case "answers lost":
				cluster.LoseTxnAnswers(0.3)
				cluster.After(10*time.Second, func() { cluster.LoseTxnAnswers(0) })
			case "limits shrink": // the document as it stands is larger than any value that is taken now
				if n := len(cluster.StoredItem(drain.DocumentKey).Value); n < 2<<10 {
					t.Fatalf("a document of %d bytes", n)
				}
				cluster.LowerStateLimits(1.5, 5, 20)
			case "late writes":
				cluster.DelayWrites(0.3, 500*time.Millisecond, 4*time.Second)
				cluster.After(20*time.Second, func() { cluster.DelayWrites(0, 0, 0) })
			}
			cluster.waitFor("migrated", 2*time.Minute, cluster.migrated)
			if n := len(cluster.drainDocument().Machines); n > 0 {
				t.Errorf("%d requests are in the document", n)
			}
			for name, m := range old.Machines {
				var got drain.MachineRecord
				err := json.Unmarshal(cluster.StoredItem(drain.MachineKey(name)).Value, &got)
				if err != nil || got.Request != m || got.Machine != name {
					t.Errorf("%s: %+v, %v", name, got, err)
				}
			}
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
