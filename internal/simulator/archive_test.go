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

// everywhere asks every controller about every job, and about jobs that nobody submitted: one answer each.
func (r *rolling) everywhere() {
	r.t.Helper()
	for _, u := range r.users {
		if len(u.told) == 0 {
			continue
		}
		r.holdsEverywhere(u.spec.ID, 200, u.told[0])
	}
	r.holdsEverywhere("req-999999", 404, "")
}

// holdsEverywhere asks every controller that runs about a job until each has told something else than 503.
func (r *rolling) holdsEverywhere(id string, status int, stance string) {
	r.t.Helper()
	for i := range r.Controllers() {
		if !r.ControllerRuns(i) {
			continue
		}
		got, told := 503, ""
		for tries := 0; got != 200 && got != 404 && tries < 40; tries++ {
			r.Request(i, "GET", "/v2/runs/"+id, nil, func(s int, raw []byte) { got, told = s, jobStateIn(raw) })
			r.Advance(200 * time.Millisecond)
		}
		if got != status || told != stance {
			r.t.Errorf("controller %d says %d %q of %s, and it is %d %q", i, got, told, id, status, stance)
		}
	}
}

// recordsLeft counts the jobs' records that every controller follows.
func (r *rolling) recordsLeft() int { return r.CountKeys(jobs.Prefix) }

// moves tells whether a transaction moves jobs into the archive.
func moves(txn store.Txn) bool {
	for _, o := range txn.Then {
		if strings.HasPrefix(o.Put, archive.Prefix) {
			return true
		}
	}
	return false
}

// makes tells whether a transaction makes a job's record.
func makes(txn store.Txn, id string) bool {
	for _, o := range txn.Then {
		if o.Put == jobs.RecordKey(id) {
			return true
		}
	}
	return false
}

// All ended jobs leave the followed keys, and every controller goes on telling what became of each; repeated
// submissions and cancellations of them are answered like questions.
func TestEndedJobsAreArchived(t *testing.T) {
	r := newRolling(t, 401, 3, rollout.Newest, "soak_s = 3")
	r.load(40 * time.Second)
	r.Advance(40 * time.Second)
	r.over()
	r.reach("all moved", time.Minute, func() bool { return r.recordsLeft() == 0 })
	if n := r.CountKeys(archive.Prefix); n != len(r.users) {
		t.Errorf("%d answers are kept of %d jobs", n, len(r.users))
	}
	r.everywhere()
	for i, u := range r.users {
		path, body := "/v2/runs", []byte(nil)
		if body, _ = json.Marshal(u.spec); i%2 == 0 {
			path, body = "/v2/runs/"+u.spec.ID+"/abort", []byte("{}")
		}
		r.Request(i%3, "POST", path, body, func(status int, raw []byte) {
			if got := jobStateIn(raw); status != 200 || got != u.told[0] {
				t.Errorf("%s on %s: %d %q, and it is %s", path, u.spec.ID, status, got, u.told[0])
			}
		})
		r.Advance(50 * time.Millisecond)
	}
	if n := r.recordsLeft(); n != 0 {
		t.Errorf("%d records were made again", n)
	}
}

// A first submission's transaction is carried out long after its user's retry was accepted elsewhere, the job has ended
// and been moved: it makes nothing.
func TestFirstSubmissionLandsAfterTheMove(t *testing.T) {
	for _, late := range []time.Duration{25 * time.Second, 2 * time.Minute, 20 * time.Minute} {
		t.Run(late.String(), func(t *testing.T) {
			r := newRolling(t, 402, 3, rollout.Newest, "soak_s = 3")
			r.Advance(12 * time.Second)
			held := 0
			id := "req-000001"
			r.InterceptTxns(func(_ int, tx store.Txn) TxnOutcome {
				if makes(tx, id) && held == 0 {
					held++
					return TxnOutcome{Delay: late}
				}
				return TxnOutcome{}
			})
			spec := drawJob(r.rng, 1)
			spec.ID, spec.EstimateS, spec.Tasks, spec.Kind, spec.Licences = id, 2, 2, jobs.Array, nil
			u := &simUser{w: r.Simulation, rng: r.rng, spec: spec}
			r.users = append(r.users, u)
			u.submit()
			r.reach("moved", 30*time.Second, func() bool { return r.StoredItem(archive.Key(id)).Version != 0 })
			moved := r.Now()
			starts := r.Stats().TaskStarts
			r.Advance(late + 10*time.Second)
			if held != 1 || r.StoredItem(jobs.RecordKey(id)).Version != 0 || r.Stats().TaskStarts != starts {
				t.Errorf("moved at %v; %d transactions were late; the record is at version %d; %d starts after the move",
					moved, held, r.StoredItem(jobs.RecordKey(id)).Version, r.Stats().TaskStarts-starts)
			}
			r.holdsEverywhere(id, 200, "done")
			r.over()
		})
	}
}

// Moves that are lost, unanswered, carried out late or twice, by leaders that are killed, frozen or handed over right
// after they sent one, while watches lose their position or one controller is refused by the state service: every job
// keeps its one answer at every controller, and all are moved in the end.
func TestMovesMeetTroubles(t *testing.T) {
	fates := map[string]func(n int) TxnOutcome{
		"lost":       func(n int) TxnOutcome { return TxnOutcome{Dropped: n%2 == 0} },
		"unanswered": func(n int) TxnOutcome { return TxnOutcome{Unanswered: n%2 == 0} },
		"late":       func(n int) TxnOutcome { return TxnOutcome{Delay: time.Duration(n%3) * 4 * time.Second} },
	}
	around := map[string]func(r *rolling, l int){
		"nothing":       func(*rolling, int) {},
		"leader killed": func(r *rolling, l int) { r.KillController(l); r.After(3*time.Second, func() { r.StartController(l) }) },
		"leader frozen": func(r *rolling, l int) { r.FreezeController(l, 8*time.Second) },
		"handed over":   func(r *rolling, l int) { r.DrainController(l, func() { r.StartController(l) }) },
		"positions":     func(r *rolling, _ int) { r.CompactHistory() },
		"refused": func(r *rolling, l int) {
			other := (l + 1) % r.Controllers()
			r.RefuseController(other, true)
			r.After(9*time.Second, func() { r.RefuseController(other, false) })
		},
		"watches stick": func(r *rolling, l int) {
			other := (l + 1) % r.Controllers()
			r.StallWatches(other, true)
			r.After(12*time.Second, func() { r.StallWatches(other, false) })
		},
	}
	for fate, f := range fates {
		for what, do := range around {
			t.Run(fate+" "+what, func(t *testing.T) {
				t.Parallel()
				r := newRolling(t, 403, 3, rollout.Newest, "soak_s = 3")
				r.SetPollBursts(true)
				n, next := 0, time.Duration(0)
				r.InterceptTxns(func(controller int, tx store.Txn) TxnOutcome {
					if !moves(tx) || r.Now() > 80*time.Second {
						return TxnOutcome{}
					}
					if r.Now() >= next {
						next = r.Now() + 15*time.Second
						r.After(time.Millisecond, func() { do(r, controller) })
					}
					n++
					return f(n)
				})
				r.load(50 * time.Second)
				r.Advance(90 * time.Second)
				for i := range r.Controllers() {
					r.StartController(i)
				}
				r.over()
				r.reach("all moved", 2*time.Minute, func() bool { return r.recordsLeft() == 0 })
				r.everywhere()
				if n < 3 {
					t.Errorf("%d moves were sent", n)
				}
			})
		}
	}
}

// An answer that can't be read: nothing is told of its job by anybody, nothing is decided, and every other job is told
// of as ever. Once it can be read it is told.
func TestUnreadableAnswer(t *testing.T) {
	r := newRolling(t, 404, 3, rollout.Newest, "soak_s = 3")
	r.load(15 * time.Second)
	r.Advance(15 * time.Second)
	r.over()
	r.reach("all moved", time.Minute, func() bool { return r.recordsLeft() == 0 })
	for i := range r.Controllers() { // nobody has it in memory any more
		r.KillController(i)
		r.StartController(i)
	}
	r.Advance(12 * time.Second)
	u := r.users[0]
	key := archive.Key(u.spec.ID)
	was := r.StoredItem(key).Value
	r.WriteKeys(store.Op{Put: key, Value: json.RawMessage(`{"v":7,"stance":"done"}`)})
	body, _ := json.Marshal(u.spec)
	for i := range r.Controllers() {
		for path, b := range map[string][]byte{"/v2/runs": body, "/v2/runs/" + u.spec.ID + "/abort": []byte("{}")} {
			r.Request(i, "POST", path, b, func(status int, raw []byte) {
				if status != 503 {
					t.Errorf("controller %d answers %s with %d %s", i, path, status, raw)
				}
			})
			r.Advance(300 * time.Millisecond)
		}
		r.Request(i, "GET", "/v2/runs/"+u.spec.ID, nil, func(status int, raw []byte) {
			if status != 503 {
				t.Errorf("controller %d says %d %s of what it can't read", i, status, raw)
			}
		})
		r.Advance(300 * time.Millisecond)
	}
	if r.recordsLeft() != 0 || string(r.StoredItem(key).Value) == string(was) {
		t.Error("something was decided on what can't be read")
	}
	r.holdsEverywhere(r.users[1].spec.ID, 200, r.users[1].told[0])
	r.WriteKeys(store.Op{Put: key, Value: was})
	r.everywhere()
}

// Nothing is moved before every controller can read the archive; after the rise what earlier releases stored is moved,
// whoever leads, and found at every moment.
func TestArchiveWaitsForTheLevel(t *testing.T) {
	r := newRolling(t, 405, 3, rollout.Paged, "soak_s = 3")
	r.load(100 * time.Second)
	r.Advance(45 * time.Second)
	if n := r.CountKeys(archive.Prefix); n != 0 || r.ClusterLevel() != rollout.Paged {
		t.Fatalf("%d jobs are archived at level %d", n, r.ClusterLevel())
	}
	rolled := false
	r.RollingRestart(rollout.Newest, 2*time.Second, func(i int) bool { return i == 1 }, func() { rolled = true })
	for !rolled {
		if r.ClusterLevel() < rollout.Archived && r.CountKeys(archive.Prefix) > 0 {
			t.Fatal("archived before the level")
		}
		r.Advance(200 * time.Millisecond)
	}
	r.reach("risen", 30*time.Second, func() bool { return r.ClusterLevel() == rollout.Newest })
	r.reach("begun", 30*time.Second, func() bool { return r.CountKeys(archive.Prefix) > 5 })
	l, _ := r.Leader()
	r.KillController(l)
	r.everywhere()
	r.StartController(l)
	r.over()
	r.reach("all moved", 2*time.Minute, func() bool { return r.recordsLeft() == 0 })
	r.everywhere()
}

// What controllers know of jobs that ended long ago doesn't grow with their number: the state service holds their
// answers, and a controller that starts reads as little after many jobs as after few.
func TestWhatIsFollowedIsBounded(t *testing.T) {
	r := newRolling(t, 406, 3, rollout.Newest, "soak_s = 3")
	followed := func() int { return r.CountKeys("h/") }
	var seen []int
	for range 4 {
		r.load(60 * time.Second)
		r.Advance(60 * time.Second)
		r.over()
		r.reach("all moved", time.Minute, func() bool { return r.recordsLeft() == 0 })
		seen = append(seen, followed())
	}
	if fmt.Sprint(seen[1:]) != fmt.Sprint([]int{seen[1], seen[1], seen[1]}) {
		t.Errorf("%d keys are followed after each of four rounds, %d jobs in all", seen, len(r.users))
	}
	r.everywhere()
}

// onMachines tells whether a task of a job is on some machine, by the world's truth.
func (r *rolling) onMachines(id string) bool {
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

// movesNothingThatRuns breaks the run if a job is moved of which a task is on a machine.
func (r *rolling) movesNothingThatRuns() (moved *int) {
	moved = new(int)
	r.InterceptTxns(func(_ int, tx store.Txn) TxnOutcome {
		for _, o := range tx.Then {
			if id, ok := strings.CutPrefix(o.Put, archive.Prefix); ok {
				if *moved++; r.onMachines(id) {
					r.ReportViolation("%s is archived, and a task of it is on a machine", id)
				}
			}
		}
		return TxnOutcome{}
	})
	return moved
}

// Jobs are cancelled while their machines hang or hear nothing, so that their tasks stay for long, and the lead changes: none
// is archived before the last of its tasks is gone.
func TestNothingIsArchivedThatMayRun(t *testing.T) {
	r := newRolling(t, 407, 3, rollout.Newest, "soak_s = 3")
	moved := r.movesNothingThatRuns()
	r.load(90 * time.Second)
	for i := range 12 {
		r.After(time.Duration(6*i+4)*time.Second, func() {
			r.HangMachine(5 * time.Second)
			r.DropInbound(2, "", 6*time.Second)
			for _, u := range r.users[max(0, len(r.users)-6):] {
				u.cancel()
			}
		})
	}
	for i := range 3 {
		r.After(time.Duration(25*i+15)*time.Second, func() { r.onLeader(3*time.Second, r.KillController) })
	}
	r.Advance(100 * time.Second)
	r.over()
	r.reach("all moved", time.Minute, func() bool { return r.recordsLeft() == 0 })
	if *moved < 30 {
		t.Errorf("%d jobs were moved", *moved)
	}
}

// A job's record can't be read as a term begins, so that nobody knows what its plan says, and can be read again as one that
// was cancelled while its tasks run: it isn't archived in that term.
func TestUnreadableRecordIsNotArchived(t *testing.T) {
	r := newRolling(t, 408, 3, rollout.Newest, "soak_s = 3")
	moved := r.movesNothingThatRuns()
	r.Advance(3 * time.Second)
	spec := &jobs.Spec{ID: "req-000001", Class: "c", Team: "blue", Kind: jobs.Array, Priority: "standard", Tasks: 3, CPUs: 1, MemoryGB: 1, Image: "i", ImageGB: 1, EstimateS: 60, Spot: true}
	u := &simUser{w: r.Simulation, rng: r.rng, spec: spec, asked: true}
	r.users = append(r.users, u)
	u.submit()
	r.reach("running", 20*time.Second, func() bool { return r.Utilization().Running == 3 })
	key := jobs.RecordKey(spec.ID)
	r.WriteKeys(store.Op{Put: key, Value: json.RawMessage(`{"stance":"?"}`)})
	for i := range 3 {
		r.KillController(i)
	}
	r.Advance(time.Second)
	for i := range 3 {
		r.StartController(i)
	}
	r.reach("led", 20*time.Second, func() bool { return len(r.ActingLeaders()) > 0 })
	r.Advance(2 * time.Second)                 // plans are read
	for _, machine := range r.cloud.machines { // their reports say nothing meanwhile
		machine.outboundLostUntil = r.Now() + 4*time.Second
	}
	r.WriteKeys(store.Op{Put: key, Value: jobs.EncodeRecord(jobs.Cancelled, 0, 3, spec)})
	r.ConfirmCancelled(spec.ID)
	r.Advance(20 * time.Second)
	if *moved != 0 {
		t.Errorf("%d jobs were moved by a leader that doesn't know their plans", *moved)
	}
	l, _ := r.Leader()
	r.KillController(l)
	r.Advance(5 * time.Second)
	r.StartController(l)
	r.over()
	r.reach("moved by the next", time.Minute, func() bool { return r.recordsLeft() == 0 })
}
