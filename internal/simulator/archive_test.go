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

// checkAnswersEverywhere asks every controller about every job, and about jobs that nobody submitted: one answer
// each.
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

// checkAnswerEverywhere queries every running controller about a job until each has answered with another status
// than 503.
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
			r.t.Errorf("controller %d answers %d %q about %s, and it is %d %q", i, got, state, id, status, want)
		}
	}
}

// countRecords counts the jobs' records that every controller follows.
func (r *testCluster) countRecords() int { return r.CountKeys(jobs.Prefix) }

// archivesJob tells whether a transaction moves jobs into the archive.
func archivesJob(txn store.Txn) bool {
	for _, o := range txn.Then {
		if strings.HasPrefix(o.Put, archive.Prefix) {
			return true
		}
	}
	return false
}

// createsJob tells whether a transaction makes a job's record.
func createsJob(txn store.Txn, id string) bool {
	for _, o := range txn.Then {
		if o.Put == jobs.RecordKey(id) {
			return true
		}
	}
	return false
}

// TestEndedJobsAreArchived checks that the records of all ended jobs leave the watched keys, that every controller
// still answers for each, and that repeated submissions and cancellations of them are answered like status queries.
func TestEndedJobsAreArchived(t *testing.T) {
	cluster := newTestCluster(t, 401, 3, rollout.Newest, "soak_s = 3")
	cluster.submitJobs(40 * time.Second)
	cluster.Advance(40 * time.Second)
	cluster.waitUntilDone()
	cluster.waitFor("all moved", time.Minute, func() bool { return cluster.countRecords() == 0 })
	if n := cluster.CountKeys(archive.Prefix); n != len(cluster.users) {
		t.Errorf("%d answers are kept of %d jobs", n, len(cluster.users))
	}
	cluster.checkAnswersEverywhere()
	for i, user := range cluster.users {
		path, body := "/v2/runs", []byte(nil)
		if body, _ = json.Marshal(user.spec); i%2 == 0 {
			path, body = "/v2/runs/"+user.spec.ID+"/abort", []byte("{}")
		}
		cluster.Request(i%3, "POST", path, body, func(status int, raw []byte) {
			if got := jobStateIn(raw); status != 200 || got != user.finalStates[0] {
				t.Errorf("%s on %s: %d %q, and it is %s", path, user.spec.ID, status, got, user.finalStates[0])
			}
		})
		cluster.Advance(50 * time.Millisecond)
	}
	if n := cluster.countRecords(); n != 0 {
		t.Errorf("%d records were made again", n)
	}
}

// TestDelayedSubmissionAfterArchivingCreatesNothing carries a first submission's transaction out long after its
// user's retry was accepted elsewhere and the job has ended and been archived: it creates nothing.
func TestDelayedSubmissionAfterArchivingCreatesNothing(t *testing.T) {
	for _, late := range []time.Duration{25 * time.Second, 2 * time.Minute, 20 * time.Minute} {
		t.Run(late.String(), func(t *testing.T) {
			cluster := newTestCluster(t, 402, 3, rollout.Newest, "soak_s = 3")
			cluster.Advance(12 * time.Second)
			held := 0
			id := "req-000001"
			cluster.InterceptTxns(func(_ int, tx store.Txn) TxnOutcome {
				if createsJob(tx, id) && held == 0 {
					held++
					return TxnOutcome{Delay: late}
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
				"moved",
				30*time.Second,
				func() bool { return cluster.StoredItem(archive.Key(id)).Version != 0 },
			)
			moved := cluster.Now()
			starts := cluster.Stats().TaskStarts
			cluster.Advance(late + 10*time.Second)
			if held != 1 || cluster.StoredItem(jobs.RecordKey(id)).Version != 0 ||
				cluster.Stats().TaskStarts != starts {
				t.Errorf(
					"moved at %v; %d transactions were late; the record is at version %d; %d starts after the move",
					moved,
					held,
					cluster.StoredItem(jobs.RecordKey(id)).Version,
					cluster.Stats().TaskStarts-starts,
				)
			}
			cluster.checkAnswerEverywhere(id, 200, "done")
			cluster.waitUntilDone()
		})
	}
}

// TestArchivingDuringFaults makes archiving transactions be lost, unanswered, late or repeated, with leaders that
// are killed, frozen or hand over right after sending one, while watches lose their position or the state service
// refuses a controller: every job keeps its one answer at every controller, and all are archived in the end.
func TestArchivingDuringFaults(t *testing.T) {
	fates := map[string]func(n int) TxnOutcome{
		"lost":       func(n int) TxnOutcome { return TxnOutcome{Dropped: n%2 == 0} },
		"unanswered": func(n int) TxnOutcome { return TxnOutcome{Unanswered: n%2 == 0} },
		"late":       func(n int) TxnOutcome { return TxnOutcome{Delay: time.Duration(n%3) * 4 * time.Second} },
	}
	around := map[string]func(cluster *testCluster, l int){
		"nothing": func(*testCluster, int) {},
		"leader killed": func(cluster *testCluster, l int) {
			cluster.KillController(l)
			cluster.After(3*time.Second, func() { cluster.StartController(l) })
		},
		"leader frozen": func(cluster *testCluster, l int) { cluster.FreezeController(l, 8*time.Second) },
		"handed over":   func(cluster *testCluster, l int) { cluster.DrainController(l, func() { cluster.StartController(l) }) },
		"positions":     func(cluster *testCluster, _ int) { cluster.CompactHistory() },
		"refused": func(cluster *testCluster, l int) {
			other := (l + 1) % cluster.Controllers()
			cluster.RefuseController(other, true)
			cluster.After(9*time.Second, func() { cluster.RefuseController(other, false) })
		},
		"watches stick": func(cluster *testCluster, l int) {
			other := (l + 1) % cluster.Controllers()
			cluster.StallWatches(other, true)
			cluster.After(12*time.Second, func() { cluster.StallWatches(other, false) })
		},
	}
	for fate, f := range fates {
		for what, do := range around {
			t.Run(fate+" "+what, func(t *testing.T) {
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
						cluster.After(time.Millisecond, func() { do(cluster, controller) })
					}
					n++
					return f(n)
				})
				cluster.submitJobs(50 * time.Second)
				cluster.Advance(90 * time.Second)
				for i := range cluster.Controllers() {
					cluster.StartController(i)
				}
				cluster.waitUntilDone()
				cluster.waitFor("all moved", 2*time.Minute, func() bool { return cluster.countRecords() == 0 })
				cluster.checkAnswersEverywhere()
				if n < 3 {
					t.Errorf("%d moves were sent", n)
				}
			})
		}
	}
}

// TestUnreadableArchivedAnswerIsUnavailable checks that no controller answers for a job whose archived answer can't
// be read or decides anything about it, that all other jobs are answered as usual, and that the answer is given
// once it can be read.
func TestUnreadableArchivedAnswerIsUnavailable(t *testing.T) {
	cluster := newTestCluster(t, 404, 3, rollout.Newest, "soak_s = 3")
	cluster.submitJobs(15 * time.Second)
	cluster.Advance(15 * time.Second)
	cluster.waitUntilDone()
	cluster.waitFor("all moved", time.Minute, func() bool { return cluster.countRecords() == 0 })
	for i := range cluster.Controllers() { // nobody has it in memory any more
		cluster.KillController(i)
		cluster.StartController(i)
	}
	cluster.Advance(12 * time.Second)
	user := cluster.users[0]
	key := archive.Key(user.spec.ID)
	was := cluster.StoredItem(key).Value
	cluster.WriteKeys(store.Op{Put: key, Value: json.RawMessage(`{"v":7,"stance":"done"}`)})
	body, _ := json.Marshal(user.spec)
	for i := range cluster.Controllers() {
		for path, b := range map[string][]byte{"/v2/runs": body, "/v2/runs/" + user.spec.ID + "/abort": []byte("{}")} {
			cluster.Request(i, "POST", path, b, func(status int, raw []byte) {
				if status != 503 {
					t.Errorf("controller %d answers %s with %d %s", i, path, status, raw)
				}
			})
			cluster.Advance(300 * time.Millisecond)
		}
		cluster.Request(i, "GET", "/v2/runs/"+user.spec.ID, nil, func(status int, raw []byte) {
			if status != 503 {
				t.Errorf("controller %d answers %d %s about what it can't read", i, status, raw)
			}
		})
		cluster.Advance(300 * time.Millisecond)
	}
	if cluster.countRecords() != 0 || string(cluster.StoredItem(key).Value) == string(was) {
		t.Error("something was decided on what can't be read")
	}
	cluster.checkAnswerEverywhere(cluster.users[1].spec.ID, 200, cluster.users[1].finalStates[0])
	cluster.WriteKeys(store.Op{Put: key, Value: was})
	cluster.checkAnswersEverywhere()
}

// TestArchivingWaitsForTheLevel checks that nothing is archived before every controller can read the archive; after
// the upgrade what earlier releases stored is archived under any leader, and found at every moment.
func TestArchivingWaitsForTheLevel(t *testing.T) {
	cluster := newTestCluster(t, 405, 3, rollout.Paged, "soak_s = 3")
	cluster.submitJobs(100 * time.Second)
	cluster.Advance(45 * time.Second)
	if n := cluster.CountKeys(archive.Prefix); n != 0 || cluster.ClusterLevel() != rollout.Paged {
		t.Fatalf("%d jobs are archived at level %d", n, cluster.ClusterLevel())
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
			t.Fatal("archived before the level")
		}
		cluster.Advance(200 * time.Millisecond)
	}
	cluster.waitFor("upgraded", 30*time.Second, func() bool { return cluster.ClusterLevel() == rollout.Newest })
	cluster.waitFor("begun", 30*time.Second, func() bool { return cluster.CountKeys(archive.Prefix) > 5 })
	l, _ := cluster.Leader()
	cluster.KillController(l)
	cluster.checkAnswersEverywhere()
	cluster.StartController(l)
	cluster.waitUntilDone()
	cluster.waitFor("all moved", 2*time.Minute, func() bool { return cluster.countRecords() == 0 })
	cluster.checkAnswersEverywhere()
}

// TestControllerMemoryIsBoundedByLiveJobs checks that what controllers keep of jobs that ended long ago doesn't
// grow with their number, and that a controller that starts reads as little after many jobs as after few.
func TestControllerMemoryIsBoundedByLiveJobs(t *testing.T) {
	cluster := newTestCluster(t, 406, 3, rollout.Newest, "soak_s = 3")
	followed := func() int { return cluster.CountKeys("h/") }
	var seen []int
	for range 4 {
		cluster.submitJobs(60 * time.Second)
		cluster.Advance(60 * time.Second)
		cluster.waitUntilDone()
		cluster.waitFor("all moved", time.Minute, func() bool { return cluster.countRecords() == 0 })
		seen = append(seen, followed())
	}
	if fmt.Sprint(seen[1:]) != fmt.Sprint([]int{seen[1], seen[1], seen[1]}) {
		t.Errorf("%d keys are followed after each of four rounds, %d jobs in all", seen, len(cluster.users))
	}
	cluster.checkAnswersEverywhere()
}

// hasTasks reports whether a task of a job is on some machine, by the machines' true state.
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

// checkArchivedJobsAreGone breaks the run if a job is moved of which a task is on a machine.
func (r *testCluster) checkArchivedJobsAreGone() (moved *int) {
	moved = new(int)
	r.InterceptTxns(func(_ int, tx store.Txn) TxnOutcome {
		for _, o := range tx.Then {
			if id, ok := strings.CutPrefix(o.Put, archive.Prefix); ok {
				if *moved++; r.hasTasks(id) {
					r.ReportViolation("%s is archived, and a task of it is on a machine", id)
				}
			}
		}
		return TxnOutcome{}
	})
	return moved
}

// TestJobsWithTasksOnMachinesAreNotArchived cancels jobs while their machines hang or receive nothing, so that
// their tasks stay for long, and changes the leader: no job is archived before the last of its tasks is gone.
func TestJobsWithTasksOnMachinesAreNotArchived(t *testing.T) {
	cluster := newTestCluster(t, 407, 3, rollout.Newest, "soak_s = 3")
	moved := cluster.checkArchivedJobsAreGone()
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
	cluster.waitFor("all moved", time.Minute, func() bool { return cluster.countRecords() == 0 })
	if *moved < 30 {
		t.Errorf("%d jobs were moved", *moved)
	}
}

// TestUnreadableRecordIsNotArchived makes a job's record unreadable as a term begins, so that its plan isn't read,
// and readable again as that of a job that was cancelled while its tasks run: it isn't archived in that term.
func TestUnreadableRecordIsNotArchived(t *testing.T) {
	cluster := newTestCluster(t, 408, 3, rollout.Newest, "soak_s = 3")
	moved := cluster.checkArchivedJobsAreGone()
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
	cluster.waitFor("led", 20*time.Second, func() bool { return len(cluster.ActingLeaders()) > 0 })
	cluster.Advance(2 * time.Second)                 // plans are read
	for _, machine := range cluster.cloud.machines { // their reports say nothing meanwhile
		machine.outboundLostUntil = cluster.Now() + 4*time.Second
	}
	cluster.WriteKeys(store.Op{Put: key, Value: jobs.EncodeRecord(jobs.Cancelled, 0, 3, spec)})
	cluster.ConfirmCancelled(spec.ID)
	cluster.Advance(20 * time.Second)
	if *moved != 0 {
		t.Errorf("%d jobs were moved by a leader that doesn't know their plans", *moved)
	}
	l, _ := cluster.Leader()
	cluster.KillController(l)
	cluster.Advance(5 * time.Second)
	cluster.StartController(l)
	cluster.waitUntilDone()
	cluster.waitFor("moved by the next", time.Minute, func() bool { return cluster.countRecords() == 0 })
}
