package simulator

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// Tests of pipelines with a job whose stored record can't be read.

// unknownFormat is a format of job records that no release writes.
const unknownFormat = dependentJobFormat + 1

// inUnknownFormat returns a stored record with the format number of a later release.
func inUnknownFormat(t *testing.T, stored json.RawMessage) json.RawMessage {
	t.Helper()
	fields := map[string]any{}
	if err := json.Unmarshal(stored, &fields); err != nil {
		t.Fatal(err)
	}
	fields["v"] = unknownFormat
	raw, err := json.Marshal(fields)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// replaceRecord writes a job's record directly to the state service. The record may have any format.
func (r *testCluster) replaceRecord(id string, value json.RawMessage) {
	key := jobs.RecordKey(id)
	delete(r.formats, key)
	r.WriteKeys(store.Op{Put: key, Value: value})
}

// queryUntil queries every controller for the users' jobs twice a second until end, and calls answered for each answer.
func (r *testCluster) queryUntil(end time.Duration, users []*testUser, answered func(user *testUser, status int, raw []byte)) {
	for ; r.Now() < end; r.Advance(500 * time.Millisecond) {
		for i := range r.Controllers() {
			for _, user := range users {
				r.Request(i, http.MethodGet, runsPath+"/"+user.spec.ID, nil, func(status int, raw []byte) {
					answered(user, status, raw)
				})
			}
		}
	}
}

// TestJobInUnknownFormatBlocksItsSuccessors replaces the record of a middle job of a chain by one in a format that no
// controller reads, for controllers that have read the original record and for restarted ones that haven't. The job's
// predecessor runs on, no task of the job or its successors starts, and queries of the job are answered 503. Once the
// original record is back, the chain runs on, or is cancelled with its first job. A leader that couldn't read the
// record at the start of its term doesn't have the job's running tasks, so that only the next leader may start the
// job.
func TestJobInUnknownFormatBlocksItsSuccessors(t *testing.T) {
	for _, fault := range []string{"no fault", "leader killed", "all killed"} {
		for _, want := range []string{stateDone, stateCancelled} {
			t.Run(fault+" "+want, func(t *testing.T) {
				t.Parallel()
				cluster := newPipelineCluster(t, 640)
				chain := cluster.addChain(4)
				head, middle, last := chain[0], chain[1], chain[3]
				head.spec.EstimateS = 8
				cluster.submitAll()
				cluster.waitUntilAccepted(chain...)
				stored := cluster.StoredItem(jobs.RecordKey(middle.spec.ID)).Value
				cluster.replaceRecord(middle.spec.ID, inUnknownFormat(t, stored))
				cluster.Advance(time.Second)
				if strike := controllerFaults[fault]; strike != nil {
					strike(cluster)
				}
				if want == stateCancelled {
					head.cancel()
				}
				cluster.Advance(5 * time.Second)
				answers := 0
				cluster.queryUntil(cluster.Now()+30*time.Second, []*testUser{middle}, func(_ *testUser, status int, raw []byte) {
					if status != http.StatusServiceUnavailable {
						t.Errorf("%v: got %d %s for a job whose record can't be read, want 503", cluster.Now(), status, raw)
					}
					answers++
				})
				if answers == 0 {
					t.Error("got no answer about the job whose record can't be read, want some")
				}
				for _, user := range chain[1:] {
					if cluster.hasStarted(user) {
						t.Errorf("%s has started, want it blocked by a record that can't be read", user.spec.ID)
					}
				}
				cluster.wantFinalStates(want, head)
				if want == stateCancelled && fault != "all killed" {
					// Controllers that have read the original record still have the job's successors.
					cluster.wantFinalStates(want, chain[2:]...)
				}
				cluster.replaceRecord(middle.spec.ID, stored)
				if fault == "all killed" {
					cluster.Advance(10 * time.Second)
					if cluster.hasStarted(middle) {
						t.Errorf("%s was started by a leader that could not read its record at the start of its term", middle.spec.ID)
					}
					cluster.onLeader(restartAfterKill, cluster.KillController)
				}
				cluster.waitUntilDone()
				cluster.wantFinalStates(want, chain...)
				if cluster.hasStarted(last) != (want == stateDone) {
					t.Errorf("%s: started is %v, want the opposite", last.spec.ID, cluster.hasStarted(last))
				}
			})
		}
	}
}
