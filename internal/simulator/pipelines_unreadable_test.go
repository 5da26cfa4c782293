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

// inUnknownFormat returns a stored record as a later release might have written it.
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

// replaceRecord writes a job's record, in any format, without the controllers' knowledge.
func (r *testCluster) replaceRecord(id string, value json.RawMessage) {
	key := jobs.RecordKey(id)
	delete(r.formats, key)
	r.WriteKeys(store.Op{Put: key, Value: value})
}

// askUntil queries every controller about jobs until a moment, and calls answered for each answer.
func (r *testCluster) askUntil(end time.Duration, users []*testUser, answered func(user *testUser, status int, raw []byte)) {
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

// TestJobInUnknownFormatBlocksItsSuccessors writes the record of a middle job of a chain in a format that no controller
// reads, with controllers that have read it before and with ones that haven't. The job before it goes on, nothing of
// it and of the jobs after it starts, and questions about it are answered 503. Once its record is as before, all goes
// on, or is cancelled with the first job. A leader that began its term without the record doesn't know what runs of the
// job, and leaves its start to the next one.
func TestJobInUnknownFormatBlocksItsSuccessors(t *testing.T) {
	for _, fault := range []string{"nothing", "leader killed", "all killed"} {
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
				refused := 0
				cluster.askUntil(cluster.Now()+30*time.Second, []*testUser{middle}, func(_ *testUser, status int, raw []byte) {
					if status != http.StatusServiceUnavailable {
						t.Errorf("%v: %d %s about a job whose record can't be read", cluster.Now(), status, raw)
					}
					refused++
				})
				if refused == 0 {
					t.Error("no question was answered")
				}
				for _, user := range chain[1:] {
					if cluster.hasStarted(user) {
						t.Errorf("%s has started after a job whose record can't be read", user.spec.ID)
					}
				}
				cluster.wantFinalStates(want, head)
				if want == stateCancelled && fault != "all killed" {
					// Controllers that have read the record before know what comes after the job.
					cluster.wantFinalStates(want, chain[2:]...)
				}
				cluster.replaceRecord(middle.spec.ID, stored)
				if fault == "all killed" {
					cluster.Advance(10 * time.Second)
					if cluster.hasStarted(middle) {
						t.Errorf("%s was started by a leader that had not read its record", middle.spec.ID)
					}
					cluster.onLeader(restartAfterKill, cluster.KillController)
				}
				cluster.waitUntilDone()
				cluster.wantFinalStates(want, chain...)
				if cluster.hasStarted(last) != (want == stateDone) {
					t.Errorf("%s has started: %v", last.spec.ID, cluster.hasStarted(last))
				}
			})
		}
	}
}
