package simulator

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/archive"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/rollout"
	"github.com/harewalk/harewalk/internal/store"
)

// checkAnswersEverywhere checks that every running controller gives the one final answer of each ended job, and 404
// for a job that was never submitted.
func (r *testCluster) checkAnswersEverywhere() {
	r.t.Helper()
	for _, user := range r.users {
		if len(user.finalStates) == 0 {
			continue
		}
		r.checkAnswerEverywhere(user.spec.ID, 200, user.finalStates[0])
	}
	r.checkAnswerEverywhere("req-999999", 404, "")
}

// checkAnswerEverywhere queries every running controller about a job, again after other statuses than 200 and 404,
// and checks each controller's status and the job's state in its answer.
func (r *testCluster) checkAnswerEverywhere(id string, status int, want string) {
	r.t.Helper()
	for i := range r.Controllers() {
		if !r.ControllerRuns(i) {
			continue
		}
		got, state := 503, ""
		for tries := 0; got != 200 && got != 404 && tries < 40; tries++ {
			r.Request(i, "GET", "/v2/runs/"+id, nil, func(s int, raw []byte) { got, state = s, jobStateIn(raw) })
			r.Advance(200 * time.Millisecond)
		}
		if got != status || state != want {
			r.t.Errorf("controller %d: answer %d %q for job %s, want %d %q", i, got, state, id, status, want)
		}
	}
}

// countRecords counts the jobs' records under the prefix that every controller watches.
func (r *testCluster) countRecords() int { return r.CountKeys(jobs.RecordPrefix) }

// archivesJob reports whether a transaction moves jobs into the archive.
func archivesJob(txn store.Txn) bool {
	for _, o := range txn.Then {
		if strings.HasPrefix(o.Put, archive.Prefix) {
			return true
		}
	}
	return false
}

// writesJobRecord reports whether a transaction writes a job's record.
func writesJobRecord(txn store.Txn, id string) bool {
	for _, o := range txn.Then {
		if o.Put == jobs.RecordKey(id) {
			return true
		}
	}
	return false
}

// TestEndedJobsAreArchived checks that the records of all ended jobs leave the watched keys and that every controller
// still answers queries about each job. Repeated submissions and cancellations of archived jobs must get the same
// answer as a status query.
func TestEndedJobsAreArchived(t *testing.T) {
	cluster := newTestCluster(t, 401, 3, rollout.Newest, "soak_s = 3")
	cluster.submitJobs(40 * time.Second)
	cluster.Advance(40 * time.Second)
	cluster.waitUntilDone()
	cluster.waitFor("all jobs archived", time.Minute, func() bool { return cluster.countRecords() == 0 })
	if n := cluster.CountKeys(archive.Prefix); n != len(cluster.users) {
		t.Errorf("%d archived answers, want %d, one per job", n, len(cluster.users))
	}
	cluster.checkAnswersEverywhere()
	for i, user := range cluster.users {
		path, body := "/v2/runs", []byte(nil)
		if body, _ = json.Marshal(user.spec); i%2 == 0 {
			path, body = "/v2/runs/"+user.spec.ID+"/abort", []byte("{}")
		}
		cluster.Request(i%3, "POST", path, body, func(status int, raw []byte) {
			if got := jobStateIn(raw); status != 200 || got != user.finalStates[0] {
				t.Errorf("%s for job %s: got %d %q, want 200 %q", path, user.spec.ID, status, got, user.finalStates[0])
			}
		})
		cluster.Advance(50 * time.Millisecond)
	}
	if n := cluster.countRecords(); n != 0 {
		t.Errorf("%d job records exist after repeated requests, want 0", n)
	}
}

// TestDelayedSubmissionAfterArchivingCreatesNothing delays the transaction of a first submission until the user's
// retry was accepted by another controller and the job has ended and been archived. The late transaction must create
// no record and start no task.
func TestDelayedSubmissionAfterArchivingCreatesNothing(t *testing.T) {
	for _, delay := range []time.Duration{25 * time.Second, 2 * time.Minute, 20 * time.Minute} {
		t.Run(delay.String(), func(t *testing.T) {
			cluster := newTestCluster(t, 402, 3, rollout.Newest, "soak_s = 3")
			cluster.Advance(12 * time.Second)
			delayed := 0
			id := "req-000001"
			cluster.InterceptTxns(func(_ int, tx store.Txn) TxnOutcome {
				if writesJobRecord(tx, id) && delayed == 0 {
					delayed++
					return TxnOutcome{Delay: delay}
				}
				return TxnOutcome{}
			})
			spec := drawJob(cluster.rng, 1)
			spec.ID = id
			spec.EstimateS = 2
			spec.Tasks = 2
			spec.Kind = jobs.Array
			spec.Licences = nil
			cluster.submit(spec)
			cluster.waitFor(
				"archived",
				30*time.Second,
				func() bool { return cluster.StoredItem(archive.Key(id)).Version != 0 },
			)
			archivedAt := cluster.Now()
			startsBefore := cluster.Stats().TaskStarts
			cluster.Advance(delay + 10*time.Second)
			if delayed != 1 || cluster.StoredItem(jobs.RecordKey(id)).Version != 0 ||
				cluster.Stats().TaskStarts != startsBefore {
				t.Errorf(
					"archived at %v: %d delayed transactions, want 1; record at version %d, want 0; %d task starts later, want 0",
					archivedAt,
					delayed,
					cluster.StoredItem(jobs.RecordKey(id)).Version,
					cluster.Stats().TaskStarts-startsBefore,
				)
			}
			cluster.checkAnswerEverywhere(id, 200, "done")
			cluster.waitUntilDone()
		})
	}
}

// TestArchivingDuringFaults drops, delays or leaves unanswered some archiving transactions. Right after one is sent,
// its leader is killed, frozen or hands over, the history of changes is compacted, or another controller is refused by
// the state service or its watches stall. Every job must keep its one answer at every controller, and all jobs must be
// archived in the end.
func TestArchivingDuringFaults(t *testing.T) {
	outcomes := map[string]func(n int) TxnOutcome{
		"lost":       func(n int) TxnOutcome { return TxnOutcome{Dropped: n%2 == 0} },
		"unanswered": func(n int) TxnOutcome { return TxnOutcome{Unanswered: n%2 == 0} },
		"late":       func(n int) TxnOutcome { return TxnOutcome{Delay: time.Duration(n%3) * 4 * time.Second} },
	}
	faults := map[string]func(cluster *testCluster, leader int){
		"nothing": func(*testCluster, int) {},
		"leader killed": func(cluster *testCluster, leader int) {
			cluster.KillController(leader)
			cluster.After(3*time.Second, func() { cluster.StartController(leader) })
		},
		"leader frozen": func(cluster *testCluster, leader int) { cluster.FreezeController(leader, 8*time.Second) },
		"handed over": func(cluster *testCluster, leader int) {
			cluster.DrainController(leader, func() { cluster.StartController(leader) })
		},
		"history compacted": func(cluster *testCluster, _ int) { cluster.CompactHistory() },
		"other refused": func(cluster *testCluster, leader int) {
			other := (leader + 1) % cluster.Controllers()
			cluster.RefuseController(other, true)
			cluster.After(9*time.Second, func() { cluster.RefuseController(other, false) })
		},
		"watches stall": func(cluster *testCluster, leader int) {
			other := (leader + 1) % cluster.Controllers()
			cluster.StallWatches(other, true)
			cluster.After(12*time.Second, func() { cluster.StallWatches(other, false) })
		},
	}
	for outcomeName, outcome := range outcomes {
		for faultName, inject := range faults {
			t.Run(outcomeName+" "+faultName, func(t *testing.T) {
				t.Parallel()
				cluster := newTestCluster(t, 403, 3, rollout.Newest, "soak_s = 3")
				cluster.SetPollBursts(true)
				n, next := 0, time.Duration(0)
				cluster.InterceptTxns(func(controller int, tx store.Txn) TxnOutcome {
					if !archivesJob(tx) || cluster.Now() > 80*time.Second {
						return TxnOutcome{}
					}
					if cluster.Now() >= next {
						next = cluster.Now() + 15*time.Second
						cluster.After(time.Millisecond, func() { inject(cluster, controller) })
					}
					n++
					return outcome(n)
				})
				cluster.submitJobs(50 * time.Second)
				cluster.Advance(90 * time.Second)
				for i := range cluster.Controllers() {
					cluster.StartController(i)
				}
				cluster.waitUntilDone()
				cluster.waitFor("all jobs archived", 2*time.Minute, func() bool { return cluster.countRecords() == 0 })
				cluster.checkAnswersEverywhere()
				if n < 3 {
					t.Errorf("%d archiving transactions were sent, want at least 3", n)
				}
			})
		}
	}
}

// TestUnreadableArchivedAnswerIsUnavailable makes the archived answer of one job unreadable. Every request for that
// job must get 503 and change nothing, other jobs must be answered as usual, and the answer must be given again once
// it is readable.
func TestUnreadableArchivedAnswerIsUnavailable(t *testing.T) {
	cluster := newTestCluster(t, 404, 3, rollout.Newest, "soak_s = 3")
	cluster.submitJobs(15 * time.Second)
	cluster.Advance(15 * time.Second)
	cluster.waitUntilDone()
	cluster.waitFor("all jobs archived", time.Minute, func() bool { return cluster.countRecords() == 0 })
	for i := range cluster.Controllers() { // a restarted controller has no answer in memory
		cluster.KillController(i)
		cluster.StartController(i)
	}
	cluster.Advance(12 * time.Second)
	user := cluster.users[0]
	key := archive.Key(user.spec.ID)
	original := cluster.StoredItem(key).Value
	cluster.WriteKeys(store.Op{Put: key, Value: json.RawMessage(`{"v":7,"stance":"done"}`)})
	body, _ := json.Marshal(user.spec)
	for i := range cluster.Controllers() {
		for path, b := range map[string][]byte{"/v2/runs": body, "/v2/runs/" + user.spec.ID + "/abort": []byte("{}")} {
			cluster.Request(i, "POST", path, b, func(status int, raw []byte) {
				if status != 503 {
					t.Errorf("controller %d: POST %s: got %d %s, want 503", i, path, status, raw)
				}
			})
			cluster.Advance(300 * time.Millisecond)
		}
		cluster.Request(i, "GET", "/v2/runs/"+user.spec.ID, nil, func(status int, raw []byte) {
			if status != 503 {
				t.Errorf("controller %d: GET of a job with an unreadable archived answer: got %d %s, want 503", i, status, raw)
			}
		})
		cluster.Advance(300 * time.Millisecond)
	}
	if cluster.countRecords() != 0 || string(cluster.StoredItem(key).Value) == string(original) {
		t.Error("a job record was created or the unreadable archived answer was overwritten, want no change")
	}
	cluster.checkAnswerEverywhere(cluster.users[1].spec.ID, 200, cluster.users[1].finalStates[0])
	cluster.WriteKeys(store.Op{Put: key, Value: original})
	cluster.checkAnswersEverywhere()
}

// TestArchivingWaitsForTheLevel checks that no job is archived before every controller can read the archive. After
// the upgrade, the jobs stored by earlier releases must be archived under any leader and be found at all times.
func TestArchivingWaitsForTheLevel(t *testing.T) {
	cluster := newTestCluster(t, 405, 3, rollout.Paged, "soak_s = 3")
	cluster.submitJobs(100 * time.Second)
	cluster.Advance(45 * time.Second)
	if n := cluster.CountKeys(archive.Prefix); n != 0 || cluster.ClusterLevel() != rollout.Paged {
		t.Fatalf("%d jobs archived at level %d, want 0 at rollout.Paged", n, cluster.ClusterLevel())
	}
	rolled := false
	cluster.RollingRestart(
		rollout.Newest,
		2*time.Second,
		func(i int) bool { return i == 1 },
		func() { rolled = true },
	)
	for !rolled {
		if cluster.ClusterLevel() < rollout.Archived && cluster.CountKeys(archive.Prefix) > 0 {
			t.Fatal("a job was archived below level rollout.Archived")
		}
		cluster.Advance(200 * time.Millisecond)
	}
	cluster.waitFor("upgraded", 30*time.Second, func() bool { return cluster.ClusterLevel() == rollout.Newest })
	cluster.waitFor("archiving begun", 30*time.Second, func() bool { return cluster.CountKeys(archive.Prefix) > 5 })
	leader, _ := cluster.Leader()
	cluster.KillController(leader)
	cluster.checkAnswersEverywhere()
	cluster.StartController(leader)
	cluster.waitUntilDone()
	cluster.waitFor("all jobs archived", 2*time.Minute, func() bool { return cluster.countRecords() == 0 })
	cluster.checkAnswersEverywhere()
}

// TestControllerMemoryIsBoundedByLiveJobs checks that the number of keys that controllers watch, and read when they
// start, doesn't grow with the number of archived jobs.
func TestControllerMemoryIsBoundedByLiveJobs(t *testing.T) {
	cluster := newTestCluster(t, 406, 3, rollout.Newest, "soak_s = 3")
	watchedKeys := func() int { return cluster.CountKeys("h/") }
	var keysPerRound []int
	for range 4 {
		cluster.submitJobs(60 * time.Second)
		cluster.Advance(60 * time.Second)
		cluster.waitUntilDone()
		cluster.waitFor("all jobs archived", time.Minute, func() bool { return cluster.countRecords() == 0 })
		keysPerRound = append(keysPerRound, watchedKeys())
	}
	if fmt.Sprint(keysPerRound[1:]) != fmt.Sprint([]int{keysPerRound[1], keysPerRound[1], keysPerRound[1]}) {
		t.Errorf(
			"keys watched after each of four rounds: %d, want the same from the second on; %d jobs in all",
			keysPerRound,
			len(cluster.users),
		)
	}
	cluster.checkAnswersEverywhere()
}

// hasTasks reports whether a task of a job is on a machine that is up, by the machines' true state.
func (r *testCluster) hasTasks(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, machine := range r.cloud.machines {
		for _, task := range machine.tasks {
			if !machine.dead && task.spec.ID == id && task.state != taskExited {
				return true
			}
		}
	}
	return false
}

// checkArchivedJobsAreGone reports a violation for every job that is archived while one of its tasks is on a machine,
// and returns a running count of archived jobs.
func (r *testCluster) checkArchivedJobsAreGone() (archived *int) {
	archived = new(int)
	r.InterceptTxns(func(_ int, tx store.Txn) TxnOutcome {
		for _, o := range tx.Then {
			if id, ok := strings.CutPrefix(o.Put, archive.Prefix); ok {
				if *archived++; r.hasTasks(id) {
					r.ReportViolation("%s is archived while one of its tasks is on a machine", id)
				}
			}
		}
		return TxnOutcome{}
	})
	return archived
}

// TestJobsWithTasksOnMachinesAreNotArchived cancels jobs while their machines hang or receive nothing, so that their
// tasks stay long after the cancellation, and kills leaders. No job may be archived before its last task is gone.
func TestJobsWithTasksOnMachinesAreNotArchived(t *testing.T) {
	cluster := newTestCluster(t, 407, 3, rollout.Newest, "soak_s = 3")
	archived := cluster.checkArchivedJobsAreGone()
	cluster.submitJobs(90 * time.Second)
	for i := range 12 {
		cluster.After(time.Duration(6*i+4)*time.Second, func() {
			cluster.HangMachine(5 * time.Second)
			cluster.DropInbound(2, "", 6*time.Second)
			for _, user := range cluster.users[max(0, len(cluster.users)-6):] {
				user.cancel()
			}
		})
	}
	for i := range 3 {
		cluster.After(
			time.Duration(25*i+15)*time.Second,
			func() { cluster.onLeader(3*time.Second, cluster.KillController) },
		)
	}
	cluster.Advance(100 * time.Second)
	cluster.waitUntilDone()
	cluster.waitFor("all jobs archived", time.Minute, func() bool { return cluster.countRecords() == 0 })
	if *archived < 30 {
		t.Errorf("%d jobs were archived, want at least 30", *archived)
	}
}

// TestUnreadableRecordIsNotArchived makes a running job's record unreadable while a new leader reads its state, so
// that the leader doesn't read the job's plan. The record then becomes readable again: the job is cancelled, and its
// tasks still run. The job must not be archived in that term, but under the next leader.
func TestUnreadableRecordIsNotArchived(t *testing.T) {
	cluster := newTestCluster(t, 408, 3, rollout.Newest, "soak_s = 3")
	archived := cluster.checkArchivedJobsAreGone()
	cluster.Advance(3 * time.Second)
	spec := arraySpec("req-000001", "c", "blue")
	spec.Tasks = 3
	spec.EstimateS = 60
	user := &testUser{simulation: cluster.Simulation, rng: cluster.rng, spec: spec, cancelRequested: true}
	cluster.users = append(cluster.users, user)
	user.submit()
	cluster.waitFor("running", 20*time.Second, func() bool { return cluster.Utilization().Running == 3 })
	key := jobs.RecordKey(spec.ID)
	cluster.WriteKeys(store.Op{Put: key, Value: json.RawMessage(`{"stance":"?"}`)})
	for i := range 3 {
		cluster.KillController(i)
	}
	cluster.Advance(time.Second)
	cluster.startControllers()
	cluster.waitFor("led by a controller", 20*time.Second, func() bool { return len(cluster.ActingLeaders()) > 0 })
	cluster.Advance(2 * time.Second)                 // enough time for the leader to read the plans
	for _, machine := range cluster.cloud.machines { // every machine's heartbeats are lost for 4 s
		machine.outboundLostUntil = cluster.Now() + 4*time.Second
	}
	cluster.WriteKeys(store.Op{Put: key, Value: jobs.EncodeRecord(jobs.Cancelled, 0, 3, spec)})
	cluster.ConfirmCancelled(spec.ID)
	cluster.Advance(20 * time.Second)
	if *archived != 0 {
		t.Errorf("%d jobs were archived by a leader without their plans, want 0", *archived)
	}
	leader, _ := cluster.Leader()
	cluster.KillController(leader)
	cluster.Advance(5 * time.Second)
	cluster.StartController(leader)
	cluster.waitUntilDone()
	cluster.waitFor("archived under the next leader", time.Minute, func() bool { return cluster.countRecords() == 0 })
}
