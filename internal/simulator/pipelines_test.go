package simulator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/archive"
	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/rollout"
	"github.com/harewalk/harewalk/internal/store"
)

// Tests of pipelines on several controllers that fail. Users submit each job once all of its predecessors are
// accepted.

// awaitsPredecessor reports whether a predecessor of the user's job isn't accepted yet. If so, the user submits again
// once that predecessor is accepted.
func (u *testUser) awaitsPredecessor() bool {
	for _, predecessor := range u.predecessors {
		if predecessor.history.ID == "" {
			predecessor.onAccepted = append(predecessor.onAccepted, u.submit)
			return true
		}
	}
	return false
}

// callAccepted calls and clears the functions that wait for the job's acceptance.
func (u *testUser) callAccepted() {
	waiting := u.onAccepted
	u.onAccepted = nil
	for _, f := range waiting {
		f()
	}
}

// follow adds the jobs of other users as predecessors of the user's job.
func (u *testUser) follow(predecessors ...*testUser) {
	for _, predecessor := range predecessors {
		u.predecessors = append(u.predecessors, predecessor)
		u.spec.Follows = append(u.spec.Follows, predecessor.spec.ID)
	}
}

// pipelineOperator holds the operators' settings for tests of pipelines: jobs are archived 2 s after their end, and
// the cluster's level rises 1 s after all controllers support a higher one.
const pipelineOperator = `archive {
  retain_s = 2
}
rollout {
  soak_s = 1
}
`

// pipelineStream selects the sequence of the random generator for these tests' users.
const pipelineStream = 47

// pipelineConfig returns the configuration of these tests' clusters, with a short cancel_s.
func pipelineConfig(seed uint64) Config {
	return Config{
		Seed:         seed,
		MaxMachines:  14,
		Types:        gpuMachineTypes(1),
		Zones:        zoneNames(),
		TickInterval: 20 * time.Millisecond,
		Workers:      shortTimers,
		State:        smallStateLimits(),
		Teams:        []config.Team{{Name: "red", CPUs: 20, CPUsMax: 60}, {Name: "blue", CPUs: 20, CPUsMax: 100}},
	}
}

// newPipelineCluster starts a cluster of three controllers with a short cancel_s, and waits until it is at the newest
// level.
func newPipelineCluster(t *testing.T, seed uint64) *testCluster {
	t.Helper()
	return newPipelineClusterWith(t, seed, pipelineOperator)
}

// newPipelineClusterWith is newPipelineCluster with other operators' settings.
func newPipelineClusterWith(t *testing.T, seed uint64, operator string) *testCluster {
	t.Helper()
	cluster := startCluster(t, pipelineStream, pipelineConfig(seed), func(settings *config.Settings) error {
		return settings.ParseOperator("o.hcl", []byte(operator))
	})
	cluster.waitFor("cluster at the newest level", 30*time.Second, func() bool {
		return cluster.ClusterLevel() == rollout.Newest && len(cluster.ActingLeaders()) == 1
	})
	return cluster
}

// addUser adds the user of a job with the given predecessors. The user submits nothing yet.
func (r *testCluster) addUser(predecessors ...*testUser) *testUser {
	user := r.newUser(pipelineSpec(len(r.users) + 1))
	user.follow(predecessors...)
	r.users = append(r.users, user)
	return user
}

// addDiamond adds the users of four jobs: a head, two jobs that follow the head, and one that follows both of these.
func (r *testCluster) addDiamond() []*testUser {
	head := r.addUser()
	left, right := r.addUser(head), r.addUser(head)
	left.spec.Tasks = 3
	right.spec.Kind = jobs.Gang
	right.spec.Tasks = 2
	return []*testUser{head, left, right, r.addUser(left, right)}
}

// addChain adds the users of n jobs. Each job follows the previous job.
func (r *testCluster) addChain(n int) []*testUser {
	chain := []*testUser{r.addUser()}
	for len(chain) < n {
		chain = append(chain, r.addUser(chain[len(chain)-1]))
	}
	return chain
}

// submitAll makes all users submit, each once the predecessors of its job are accepted.
func (r *testCluster) submitAll() {
	for _, user := range r.users {
		user.submit()
	}
}

// waitUntilAccepted waits until the users' jobs are accepted, for at most a minute.
func (r *testCluster) waitUntilAccepted(users ...*testUser) {
	r.t.Helper()
	r.waitFor("jobs accepted", time.Minute, func() bool {
		for _, user := range users {
			if user.history.ID == "" {
				return false
			}
		}
		return true
	})
}

// isDone reports whether all tasks of a user's job have completed on machines.
func (r *testCluster) isDone(user *testUser) bool { return r.AllDone(user.spec.ID, user.spec.Tasks) }

// waitUntilCompleted waits until all tasks of a job have completed on machines, for at most a minute.
func (r *testCluster) waitUntilCompleted(user *testUser) {
	r.t.Helper()
	for end := r.Now() + time.Minute; !r.isDone(user); r.Advance(10 * time.Millisecond) {
		if r.Now() >= end {
			r.t.Fatalf("%v: %s has not completed within a minute (status %d)", r.Now(), user.spec.ID, user.status)
		}
	}
}

// waitUntilArchived waits until the users' jobs are in the archive, for at most two minutes.
func (r *testCluster) waitUntilArchived(users ...*testUser) {
	r.t.Helper()
	r.waitFor("jobs archived", 2*time.Minute, func() bool {
		for _, user := range users {
			if r.StoredItem(archive.Key(user.spec.ID)).Version == 0 {
				return false
			}
		}
		return true
	})
}

// wantFinalStates checks that the users received want as their job's first final state.
func (r *testCluster) wantFinalStates(want string, users ...*testUser) {
	r.t.Helper()
	for _, user := range users {
		if len(user.finalStates) == 0 || user.finalStates[0] != want {
			r.t.Errorf("%s: got final states %v, want %s", user.spec.ID, user.finalStates, want)
		}
	}
}

// submission returns the request body that submits a job.
func submission(t *testing.T, spec *jobs.Spec) []byte {
	t.Helper()
	body, err := spec.MarshalJSON()
	if err != nil {
		t.Fatal(err)
	}
	return body
}

// submitThrough submits a job through one controller and repeats the request on no answer, 429 and 503. It returns the
// first other answer, or the last one after 60 requests.
func (r *testCluster) submitThrough(controller int, spec *jobs.Spec) (status int, state string) {
	r.t.Helper()
	body := submission(r.t, spec)
	for range 60 {
		status = 0
		r.Request(controller, http.MethodPost, runsPath, body, func(got int, raw []byte) {
			status = got
			state = jobStateIn(raw)
		})
		r.Advance(500 * time.Millisecond)
		if status != 0 && status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
			return status, state
		}
	}
	return status, state
}

// wantAcceptedAt checks that a controller accepts the submission of a user's job.
func (r *testCluster) wantAcceptedAt(controller int, user *testUser) {
	r.t.Helper()
	r.RecordSubmission(user.spec)
	if status, _ := r.submitThrough(controller, user.spec); !isAcceptance(status) {
		r.t.Errorf("%v, controller %d: got status %d for a submission, want 200 or 201", r.Now(), controller, status)
	}
}

// isAcceptance reports whether an HTTP status means that a submission is accepted.
func isAcceptance(status int) bool { return status == http.StatusOK || status == http.StatusCreated }

// TestDiamondStartsInOrder runs four diamonds while three leaders are killed. All jobs are done in the end.
func TestDiamondStartsInOrder(t *testing.T) {
	cluster := newPipelineCluster(t, 601)
	for range 4 {
		cluster.addDiamond()
	}
	cluster.submitAll()
	cluster.KillLeaders(3, 12*time.Second)
	cluster.waitUntilDone()
	cluster.wantFinalStates(stateDone, cluster.users...)
}

// TestChainOfFiftyRunsInOrder runs a chain of 50 short jobs while leaders and machines are killed. All jobs are done
// in the end.
func TestChainOfFiftyRunsInOrder(t *testing.T) {
	cluster := newPipelineCluster(t, 602)
	for _, user := range cluster.addChain(50) {
		user.spec.EstimateS = 0.2
	}
	cluster.submitAll()
	cluster.KillLeaders(4, 40*time.Second)
	for i := range 6 {
		cluster.After(time.Duration(3+6*i)*time.Second, func() { cluster.KillMachine() })
	}
	cluster.waitUntilDone()
	cluster.wantFinalStates(stateDone, cluster.users...)
}

// TestJobWithFiveHundredPredecessorsStartsLast submits 500 short jobs and one that follows all of them, and kills
// leaders while they run. All jobs are done in the end.
func TestJobWithFiveHundredPredecessorsStartsLast(t *testing.T) {
	cluster := newPipelineCluster(t, 603)
	for range 500 {
		cluster.addUser().spec.EstimateS = 0.2
	}
	cluster.addUser(cluster.users...)
	cluster.submitAll()
	cluster.KillLeaders(3, 24*time.Second)
	cluster.waitUntilDone()
	cluster.wantFinalStates(stateDone, cluster.users...)
}

// dependentJobFormat is the record format of a pending job with predecessors. All other job records have format 1, also
// the record of an ended job with predecessors.
const dependentJobFormat = 2

// endsDependentJob reports whether a write ends a job with predecessors. Such a write stores a job's record in format 1
// with a final state and replaces a record in dependentJobFormat. formerFormat is the format of the replaced record.
func endsDependentJob(key string, value json.RawMessage, formerFormat int) bool {
	var record jobs.Record
	if !strings.HasPrefix(key, jobs.RecordPrefix) || json.Unmarshal(value, &record) != nil {
		return false
	}
	return formerFormat == dependentJobFormat && isFinal(record.State) && rollout.FormatOf(value) == 1
}

// TestOnlyEndOfDependentJobLowersFormat checks which records may replace a record in a newer format.
func TestOnlyEndOfDependentJobLowersFormat(t *testing.T) {
	spec := pipelineSpec(2, "req-000001")
	pending := jobs.EncodeRecord(jobs.Pending, 0, 1, spec)
	done := jobs.EncodeRecord(jobs.Done, 0, 1, nil)
	withoutPredecessors := jobs.EncodeRecord(jobs.Pending, 0, 1, pipelineSpec(2))
	if rollout.FormatOf(pending) != dependentJobFormat {
		t.Fatalf("record of a pending job with predecessors: got format %d, want 2", rollout.FormatOf(pending))
	}
	for _, replacement := range []struct {
		key          string
		value        json.RawMessage
		formerFormat int
		allowed      bool
	}{
		{jobs.RecordKey(spec.ID), done, dependentJobFormat, true},
		{jobs.RecordKey(spec.ID), jobs.EncodeRecord(jobs.Cancelled, 0, 1, spec), dependentJobFormat, true},
		{jobs.RecordKey(spec.ID), withoutPredecessors, dependentJobFormat, false},
		{jobs.RecordKey(spec.ID), done, dependentJobFormat + 1, false},
		{jobs.PlanPrefix + spec.ID, done, dependentJobFormat, false},
	} {
		if got := endsDependentJob(replacement.key, replacement.value, replacement.formerFormat); got != replacement.allowed {
			t.Errorf("endsDependentJob for %+v: got %v, want the opposite", replacement, got)
		}
	}
}

// controllerFaults are functions that kill controllers and restart them later, by name of the fault.
var controllerFaults = map[string]func(cluster *testCluster){
	"leader killed": func(cluster *testCluster) {
		cluster.onLeader(4*time.Second, cluster.KillController)
	},
	"all killed": func(cluster *testCluster) { killAll(cluster.Simulation, 500*time.Millisecond) },
}

// checkCancelledEverywhere checks that every controller answers that the users' jobs are cancelled. It is called after
// cancel_s has passed.
func (r *testCluster) checkCancelledEverywhere(users ...*testUser) {
	r.t.Helper()
	for _, user := range users {
		r.checkAnswerEverywhere(user.spec.ID, http.StatusOK, stateCancelled)
	}
}

// TestCancellationReachesAllSuccessors cancels the first, a middle or the last job of a chain, and kills the leader
// or all controllers right after the answer. The predecessors of the cancelled job are done, the successors
// cancelled.
func TestCancellationReachesAllSuccessors(t *testing.T) {
	for fault, strike := range controllerFaults {
		for cancelled, position := range map[string]int{"head": 0, "middle": 3, "last": 6} {
			t.Run(fault+" "+cancelled, func(t *testing.T) {
				t.Parallel()
				cluster := newPipelineCluster(t, 604)
				chain := cluster.addChain(7)
				chain[0].spec.EstimateS = 6
				cluster.submitAll()
				cluster.waitUntilAccepted(chain...)
				cluster.Advance(2 * time.Second)
				cluster.OnCancelled(func() { strike(cluster) })
				chain[position].cancel()
				cluster.Advance(jobs.Seconds(shortTimers.CancelS) + 2*time.Second)
				cluster.checkCancelledEverywhere(chain[position:]...)
				cluster.waitUntilDone()
				cluster.wantFinalStates(stateDone, chain[:position]...)
				cluster.wantFinalStates(stateCancelled, chain[position:]...)
			})
		}
	}
}

// TestCancellationReachesWideGraph cancels a job with 150 direct successors, each of which has a successor of its own,
// and kills three leaders after the answer. The cancellations don't fit into one transaction.
func TestCancellationReachesWideGraph(t *testing.T) {
	cluster := newPipelineCluster(t, 605)
	head := cluster.addUser()
	head.spec.EstimateS = 300
	for range 150 {
		cluster.addUser(cluster.addUser(head))
	}
	cluster.submitAll()
	cluster.waitUntilAccepted(cluster.users...)
	cluster.OnCancelled(func() { cluster.KillLeaders(3, 9*time.Second) })
	head.cancel()
	cluster.Advance(jobs.Seconds(shortTimers.CancelS) + time.Second)
	cluster.startControllers()
	for _, user := range cluster.users {
		cluster.Request(0, http.MethodGet, runsPath+"/"+user.spec.ID, nil, ignoreAnswer)
		cluster.Advance(10 * time.Millisecond)
	}
	cluster.waitUntilDone()
	cluster.wantFinalStates(stateCancelled, cluster.users...)
}

// pendingJobs returns the sorted IDs of the jobs whose stored records are pending or can't be decoded.
func (r *testCluster) pendingJobs() (pending []string) {
	for key, item := range r.StoredItems(jobs.RecordPrefix) {
		var record jobs.Record
		if json.Unmarshal(item.Value, &record) != nil || record.State == jobs.Pending.String() {
			pending = append(pending, jobs.IDOfKey(key))
		}
	}
	slices.Sort(pending)
	return pending
}

// submitWithoutUser submits a job that no user queries.
func (r *testCluster) submitWithoutUser(spec *jobs.Spec) {
	r.t.Helper()
	r.RecordSubmission(spec)
	status := 0
	body := submission(r.t, spec)
	for range 30 {
		r.Request(1, http.MethodPost, runsPath, body, func(got int, _ []byte) { status = got })
		r.Advance(100 * time.Millisecond)
		if isAcceptance(status) {
			return
		}
	}
	r.t.Fatalf("%s: got status %d for the last of 30 submissions, want 200 or 201", spec.ID, status)
}

// TestCancellationReachesUnqueriedJobs cancels a job with 120 direct successors, each of which has a successor, while
// no user queries any job. At the answer the leader is killed, or the limits of the state service drop, or no fault
// occurs. All records are cancelled within cancel_s.
func TestCancellationReachesUnqueriedJobs(t *testing.T) {
	strikes := map[string]func(cluster *testCluster){
		"no fault":             func(*testCluster) {},
		"leader killed":        controllerFaults["leader killed"],
		"smaller transactions": func(cluster *testCluster) { cluster.SetStateLimits(2, 8, 60) },
	}
	for name, strike := range strikes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster := newPipelineCluster(t, 621)
			head := pipelineSpec(1)
			head.EstimateS = 600
			cluster.submitWithoutUser(head)
			for i := range 120 {
				middle := pipelineSpec(2*i+2, head.ID)
				cluster.submitWithoutUser(middle)
				cluster.submitWithoutUser(pipelineSpec(2*i+3, middle.ID))
			}
			cluster.OnCancelled(func() { strike(cluster) })
			cluster.CancelJob(head.ID, 0)
			cluster.Advance(jobs.Seconds(shortTimers.CancelS))
			if pending := cluster.pendingJobs(); len(pending) > 0 {
				t.Errorf("got %d jobs pending after cancel_s, want 0: %v", len(pending), pending)
			}
			reportViolations(t, cluster.Simulation)
		})
	}
}

// TestCancellationMeetsAcceptanceOfSuccessor cancels each of 24 jobs up to 24 ms before or after its successor is
// submitted through another controller, with and without killed leaders. All successors are cancelled.
func TestCancellationMeetsAcceptanceOfSuccessor(t *testing.T) {
	for _, leaderKilled := range []bool{false, true} {
		t.Run(fmt.Sprint("leader killed ", leaderKilled), func(t *testing.T) {
			t.Parallel()
			cluster := newPipelineCluster(t, 606)
			var heads, followers []*testUser
			for i := range 24 {
				head := cluster.addUser()
				head.spec.EstimateS = 60
				follower := cluster.addUser(head)
				heads = append(heads, head)
				followers = append(followers, follower)
				head.submit()
				cluster.waitUntilAccepted(head)
				offset := time.Duration(i-12) * 2 * time.Millisecond
				cluster.After(50*time.Millisecond, func() { cluster.cancelAt(head, i%3) })
				cluster.After(50*time.Millisecond+offset, follower.submit)
				cluster.Advance(200 * time.Millisecond)
				if leaderKilled && i%8 == 7 {
					cluster.KillLeaders(1, time.Second)
				}
			}
			cluster.waitUntilAccepted(followers...)
			cluster.Advance(jobs.Seconds(shortTimers.CancelS) + time.Second)
			cluster.checkCancelledEverywhere(followers...)
			cluster.waitUntilDone()
			cluster.wantFinalStates(stateCancelled, heads...)
			cluster.wantFinalStates(stateCancelled, followers...)
		})
	}
}

// TestFollowerOfCancelledJobIsAcceptedAndCancelled submits successors of a cancelled job through every controller,
// after cancel_s has passed and after the cancelled job is archived.
func TestFollowerOfCancelledJobIsAcceptedAndCancelled(t *testing.T) {
	cluster := newPipelineCluster(t, 607)
	head := cluster.addUser()
	head.spec.EstimateS = 60
	head.submit()
	cluster.waitUntilAccepted(head)
	head.cancel()
	cluster.Advance(jobs.Seconds(shortTimers.CancelS) + time.Second)
	for range 2 {
		for i := range cluster.Controllers() {
			user := cluster.addUser(head)
			cluster.wantAcceptedAt(i, user)
			cluster.checkCancelledEverywhere(user)
			user.submit() // repeats the submission and polls the job
		}
		cluster.waitUntilArchived(head)
		cluster.onLeader(time.Second, cluster.KillController)
		cluster.Advance(5 * time.Second)
	}
	cluster.waitUntilDone()
	cluster.wantFinalStates(stateCancelled, cluster.users...)
}

// TestFollowerOfUnknownJobIsRefused submits a job with a predecessor that was never accepted to every controller,
// before and after the leader is killed. The job is accepted only after that predecessor is.
func TestFollowerOfUnknownJobIsRefused(t *testing.T) {
	cluster := newPipelineCluster(t, 608)
	known := cluster.addUser()
	known.submit()
	cluster.waitUntilAccepted(known)
	unknown := cluster.addUser()
	follower := cluster.addUser(known, unknown)
	cluster.RecordSubmission(follower.spec)
	for range 2 {
		for i := range cluster.Controllers() {
			if status, _ := cluster.submitThrough(i, follower.spec); status != http.StatusUnprocessableEntity {
				t.Errorf("controller %d: got status %d, want 422", i, status)
			}
		}
		cluster.onLeader(time.Second, cluster.KillController)
		cluster.Advance(5 * time.Second)
	}
	cluster.submitAll()
	cluster.waitUntilDone()
	cluster.wantFinalStates(stateDone, cluster.users...)
}

// TestFollowerOfArchivedJobRuns submits successors of an archived job through every controller, after all controllers
// were killed and restarted.
func TestFollowerOfArchivedJobRuns(t *testing.T) {
	cluster := newPipelineCluster(t, 609)
	head := cluster.addUser()
	head.submit()
	cluster.waitUntilArchived(head)
	cluster.Advance(time.Minute)
	killAll(cluster.Simulation, time.Second)
	cluster.Advance(8 * time.Second)
	for i := range cluster.Controllers() {
		user := cluster.addUser(head)
		cluster.wantAcceptedAt(i, user)
		user.submit() // repeats the submission and polls the job
	}
	cluster.waitUntilDone()
	cluster.wantFinalStates(stateDone, cluster.users...)
}

// TestFollowerAcceptedWhilePredecessorIsArchived stalls one controller's watches while a job ends and is archived, and
// submits a successor through that controller, whose state still has the job as pending. The other controllers read
// the predecessor's final state from the archive.
func TestFollowerAcceptedWhilePredecessorIsArchived(t *testing.T) {
	for _, want := range []string{stateDone, stateCancelled} {
		t.Run(want, func(t *testing.T) {
			t.Parallel()
			operator := strings.Replace(pipelineOperator, "retain_s = 2", "retain_s = 0.1", 1)
			cluster := newPipelineClusterWith(t, 622, operator)
			head := cluster.addUser()
			head.spec.EstimateS = 4
			head.submit()
			cluster.waitUntilAccepted(head)
			cluster.waitFor("one task running", 20*time.Second, func() bool { return cluster.Utilization().Running == 1 })
			leader := cluster.waitForLeader()
			stale := (leader + 1) % cluster.Controllers()
			if want == stateDone {
				cluster.waitUntilCompleted(head)
			} else {
				cluster.cancelAt(head, leader)
			}
			cluster.StallWatches(stale, true)
			cluster.waitUntilArchived(head)
			follower := cluster.addUser(head)
			cluster.RecordSubmission(follower.spec)
			status := 0
			body := submission(t, follower.spec)
			cluster.Request(stale, http.MethodPost, runsPath, body, func(got int, _ []byte) { status = got })
			cluster.Advance(time.Second)
			if !isAcceptance(status) {
				t.Errorf("%v: got status %d from the controller with stalled watches, want 200 or 201", cluster.Now(), status)
			}
			cluster.StallWatches(stale, false)
			follower.submit() // repeats the submission and polls the job
			cluster.waitUntilDone()
			cluster.wantFinalStates(want, head, follower)
		})
	}
}

// TestFollowerOfJobWithOpenWriteIsNotRefused submits a job while the transaction that accepts its predecessor is
// delayed, to the controller that sent the transaction. The answer is never 422, and the job is accepted in the end.
func TestFollowerOfJobWithOpenWriteIsNotRefused(t *testing.T) {
	cluster := newPipelineCluster(t, 623)
	head := cluster.addUser()
	follower := cluster.addUser(head)
	for _, user := range cluster.users {
		cluster.RecordSubmission(user.spec)
	}
	delayed := 0
	cluster.InterceptTxns(func(_ int, txn store.Txn) TxnOutcome {
		if writesJobRecord(txn, head.spec.ID) && delayed == 0 {
			delayed++
			return TxnOutcome{Delay: 1500 * time.Millisecond}
		}
		return TxnOutcome{}
	})
	cluster.Request(0, http.MethodPost, runsPath, submission(t, head.spec), ignoreAnswer)
	cluster.Advance(100 * time.Millisecond)
	body := submission(t, follower.spec)
	for range 30 {
		cluster.Request(0, http.MethodPost, runsPath, body, func(status int, raw []byte) {
			if status == http.StatusUnprocessableEntity {
				t.Errorf("%v: got %d %s while the predecessor's write is open, want no 422", cluster.Now(), status, raw)
			}
		})
		cluster.Advance(100 * time.Millisecond)
	}
	if delayed != 1 {
		t.Errorf("got %d delayed transactions, want 1", delayed)
	}
	cluster.submitAll()
	cluster.waitUntilDone()
	cluster.wantFinalStates(stateDone, cluster.users...)
}

// TestFollowerOfManyArchivedJobsRuns submits a job that follows 250 archived jobs, after all controllers have
// restarted and have none of these jobs in memory.
func TestFollowerOfManyArchivedJobsRuns(t *testing.T) {
	cluster := newPipelineCluster(t, 617)
	for range 250 {
		cluster.addUser().spec.EstimateS = 0.2
	}
	cluster.submitAll()
	cluster.waitUntilArchived(cluster.users...)
	killAll(cluster.Simulation, time.Second)
	cluster.Advance(8 * time.Second)
	follower := cluster.addUser(cluster.users...)
	follower.submit()
	cluster.waitUntilDone()
	cluster.wantFinalStates(stateDone, cluster.users...)
}

// TestStaleControllersDoNotCallOrphansPending stalls the watches of the followers, or cuts the followers off from the
// state service, and cancels the first job of a chain through the leader. No controller, queried for twice cancel_s,
// calls a successor pending later than cancel_s after the cancellation.
func TestStaleControllersDoNotCallOrphansPending(t *testing.T) {
	faults := map[string]func(cluster *testCluster, controller int, on bool){
		"watches stalled": func(cluster *testCluster, i int, on bool) { cluster.StallWatches(i, on) },
		"state refused":   func(cluster *testCluster, i int, on bool) { cluster.RefuseController(i, on) },
	}
	for name, set := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster := newPipelineCluster(t, 618)
			chain := cluster.addChain(6)
			chain[0].spec.EstimateS = 60
			cluster.submitAll()
			cluster.waitUntilAccepted(chain...)
			leader := cluster.waitForLeader()
			cluster.forOthers(leader, func(i int) { set(cluster, i, true) })
			cluster.cancelAt(chain[0], leader)
			limit := jobs.Seconds(shortTimers.CancelS)
			for end := cluster.Now() + 2*limit; cluster.Now() < end; cluster.Advance(500 * time.Millisecond) {
				cluster.queryEverywhere(chain)
			}
			cluster.forOthers(leader, func(i int) { set(cluster, i, false) })
			cluster.Advance(5 * time.Second)
			cluster.checkCancelledEverywhere(chain...)
			cluster.waitUntilDone()
			cluster.wantFinalStates(stateCancelled, chain...)
		})
	}
}

// TestListsCallNoOrphansPending cancels the first job of a chain through a follower, with and without stalled watches
// at the leader. No list of jobs, requested from all controllers for twice cancel_s, calls a successor pending later
// than cancel_s after the cancellation.
func TestListsCallNoOrphansPending(t *testing.T) {
	for _, stalled := range []bool{false, true} {
		t.Run(fmt.Sprint("leader's watches stalled ", stalled), func(t *testing.T) {
			t.Parallel()
			cluster := newPipelineCluster(t, 624)
			chain := cluster.addChain(4)
			chain[0].spec.EstimateS = 60
			cluster.submitAll()
			cluster.waitUntilAccepted(chain...)
			leader := cluster.waitForLeader()
			cluster.StallWatches(leader, stalled)
			cluster.cancelAt(chain[0], (leader+1)%cluster.Controllers())
			lists := 0
			limit := jobs.Seconds(shortTimers.CancelS)
			for end := cluster.Now() + 2*limit; cluster.Now() < end; cluster.Advance(250 * time.Millisecond) {
				for i := range cluster.Controllers() {
					cluster.Request(i, http.MethodGet, runsPath, nil, func(status int, _ []byte) {
						if status == http.StatusOK {
							lists++
						}
					})
				}
			}
			if lists == 0 {
				t.Error("got no successful answer with a list of jobs, want some")
			}
			cluster.StallWatches(leader, false)
			cluster.waitUntilDone()
			cluster.wantFinalStates(stateCancelled, chain...)
		})
	}
}

// TestNoControllerWithStaleStateCallsOrphansPending stalls the watches of all controllers except one follower, cancels
// the first job of a chain through that follower, and kills the follower at its answer. The other controllers are
// queried about the successors for twice cancel_s. Their reads succeed, but the successors' records haven't changed;
// still no controller may call a successor pending later than cancel_s after the cancellation.
func TestNoControllerWithStaleStateCallsOrphansPending(t *testing.T) {
	cluster := newPipelineCluster(t, 620)
	head, second, third := chainOfThree()
	head.EstimateS = 60
	for _, spec := range []*jobs.Spec{head, second, third} {
		cluster.submitWithoutUser(spec)
	}
	fresh := (cluster.waitForLeader() + 1) % cluster.Controllers()
	cluster.forOthers(fresh, func(i int) { cluster.StallWatches(i, true) })
	cluster.OnCancelled(func() { cluster.KillController(fresh) })
	cluster.CancelJob(head.ID, fresh)
	successors := []*testUser{{spec: second}, {spec: third}}
	limit := jobs.Seconds(shortTimers.CancelS)
	for end := cluster.Now() + 2*limit; cluster.Now() < end; cluster.Advance(250 * time.Millisecond) {
		cluster.queryEverywhere(successors)
	}
	if got := cluster.pendingJobs(); !slices.Equal(got, []string{second.ID, third.ID}) {
		t.Errorf("got pending records of %v, want both successors: otherwise no controller has stale state", got)
	}
	cluster.forOthers(fresh, func(i int) { cluster.StallWatches(i, false) })
	cluster.startControllers()
	cluster.Advance(8 * time.Second)
	cluster.checkCancelledEverywhere(successors...)
	cluster.waitUntilDone()
}

// TestPipelinesWithLateWrites runs chains and cancels a job in some of them, while transactions are delayed or lose
// their answers, messages are duplicated and leaders are killed.
func TestPipelinesWithLateWrites(t *testing.T) {
	cluster := newPipelineCluster(t, 619)
	cluster.DelayWrites(0.3, 500*time.Millisecond, 4*time.Second)
	cluster.LoseTxnAnswers(0.1)
	cluster.DuplicateMessages(0.3, 100*time.Millisecond, 10*time.Second)
	cluster.KillLeaders(5, 40*time.Second)
	for i := range 30 {
		chain := cluster.addChain(3)
		for _, user := range chain {
			user.submit()
		}
		if i%3 == 0 {
			cluster.After(time.Duration(i)*100*time.Millisecond, chain[i/3%3].cancel)
		}
		cluster.Advance(time.Second)
	}
	cluster.Advance(15 * time.Second)
	cluster.DelayWrites(0, 0, 0)
	cluster.LoseTxnAnswers(0)
	cluster.startControllers()
	cluster.waitUntilDone()
}

// TestRepeatedSubmissionAfterPredecessorsEnded repeats the submissions of a diamond through every controller, after
// its jobs are done and after they are archived. Each answer is 200 with the state done.
func TestRepeatedSubmissionAfterPredecessorsEnded(t *testing.T) {
	cluster := newPipelineCluster(t, 610)
	top := cluster.addUser()
	cluster.addUser(cluster.addUser(top), cluster.addUser(top))
	cluster.submitAll()
	cluster.waitUntilDone()
	for range 2 {
		for i := range cluster.Controllers() {
			for _, user := range cluster.users {
				if status, state := cluster.submitThrough(i, user.spec); status != http.StatusOK || state != stateDone {
					t.Errorf("%s at controller %d: got %d %q, want 200 done", user.spec.ID, i, status, state)
				}
			}
		}
		cluster.waitUntilArchived(cluster.users...)
		cluster.onLeader(time.Second, cluster.KillController)
		cluster.Advance(5 * time.Second)
	}
	cluster.waitUntilDone()
}

// TestRepeatedSubmissionWhilePredecessorRuns repeats the submission of a job while its predecessor runs, after the
// predecessor is done, and after the leader has changed. Each answer is 200 with a state that isn't final.
func TestRepeatedSubmissionWhilePredecessorRuns(t *testing.T) {
	cluster := newPipelineCluster(t, 611)
	head := cluster.addUser()
	follower := cluster.addUser(head)
	follower.spec.EstimateS = 40
	cluster.submitAll()
	cluster.waitUntilAccepted(follower)
	submitEverywhere := func() {
		t.Helper()
		for i := range cluster.Controllers() {
			if status, state := cluster.submitThrough(i, follower.spec); status != http.StatusOK || isFinal(state) {
				t.Errorf("%v, controller %d: got %d %q, want 200 and an open state", cluster.Now(), i, status, state)
			}
		}
	}
	submitEverywhere()
	cluster.waitUntilCompleted(head)
	submitEverywhere()
	cluster.onLeader(time.Second, cluster.KillController)
	submitEverywhere()
	cluster.waitUntilDone()
	cluster.wantFinalStates(stateDone, cluster.users...)
}

// TestControllersEndBetweenPredecessorsEndAndRelease kills the leader or all controllers 0 to 1000 ms after the last
// task of a job's predecessors has completed. The job must still be released and done.
func TestControllersEndBetweenPredecessorsEndAndRelease(t *testing.T) {
	for fault, strike := range controllerFaults {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			cluster := newPipelineCluster(t, 612)
			for _, offset := range []int{0, 5, 20, 100, 300, 600, 1000} {
				first, last := cluster.addUser(), cluster.addUser()
				last.spec.EstimateS = 3
				follower := cluster.addUser(first, last)
				first.submit()
				last.submit()
				follower.submit()
				cluster.waitUntilCompleted(first)
				cluster.waitUntilCompleted(last)
				cluster.Advance(time.Duration(offset) * time.Millisecond)
				strike(cluster)
				cluster.Advance(8 * time.Second)
			}
			cluster.waitUntilDone()
			cluster.wantFinalStates(stateDone, cluster.users...)
		})
	}
}

// TestStateOutageAfterCancellation stops the state service for 1.5 times cancel_s right after the answer to a
// cancellation, with and without controllers killed in the outage. All controllers are queried about all jobs
// throughout, and all jobs are cancelled in the end.
func TestStateOutageAfterCancellation(t *testing.T) {
	for _, fault := range []string{"", "leader killed", "all killed"} {
		t.Run("outage "+fault, func(t *testing.T) {
			t.Parallel()
			cluster := newPipelineCluster(t, 613)
			chain := cluster.addChain(8)
			chain[0].spec.EstimateS = 60
			cluster.submitAll()
			cluster.waitUntilAccepted(chain...)
			outage := jobs.Seconds(1.5 * shortTimers.CancelS)
			cluster.OnCancelled(func() {
				cluster.during(outage, cluster.SetStateOutage)
				if strike := controllerFaults[fault]; strike != nil {
					cluster.After(time.Second, func() { strike(cluster) })
				}
			})
			chain[0].cancel()
			for end := cluster.Now() + outage + 5*time.Second; cluster.Now() < end; cluster.Advance(time.Second) {
				cluster.queryEverywhere(chain)
			}
			cluster.checkCancelledEverywhere(chain...)
			cluster.waitUntilDone()
			cluster.wantFinalStates(stateCancelled, chain...)
		})
	}
}

// queryEverywhere queries every controller for the users' jobs and for the list of all jobs. The simulation checks the
// answers.
func (r *testCluster) queryEverywhere(users []*testUser) {
	for i := range r.Controllers() {
		r.Request(i, http.MethodGet, runsPath, nil, ignoreAnswer)
		for _, user := range users {
			r.Request(i, http.MethodGet, runsPath+"/"+user.spec.ID, nil, ignoreAnswer)
		}
	}
}

// TestBlockedJobsTakeNoPartOfTeamLimit submits a hundred jobs that wait for a long predecessor and need several times
// their team's limit, and then other jobs of the team. The other jobs start within 15 s.
func TestBlockedJobsTakeNoPartOfTeamLimit(t *testing.T) {
	cluster := newPipelineCluster(t, 614)
	head := cluster.addUser()
	head.spec.EstimateS = 50
	for range 100 {
		blocked := cluster.addUser(head)
		blocked.spec.CPUs = 4
		blocked.spec.Priority = "urgent"
	}
	blocked := cluster.users[1:]
	cluster.submitAll()
	cluster.waitUntilAccepted(blocked...)
	var others []*testUser
	for range 14 { // with the first job, 57 of the team's limit of 60 CPUs
		other := cluster.addUser()
		other.spec.CPUs = 4
		other.spec.EstimateS = 20
		others = append(others, other)
		other.submit()
	}
	cluster.waitUntilAccepted(others...)
	cluster.onLeader(time.Second, cluster.KillController)
	cluster.Advance(15 * time.Second)
	if cluster.isDone(head) {
		t.Fatal("the predecessor has ended before the check, want it still running")
	}
	for _, other := range others {
		if !cluster.hasStarted(other) {
			t.Errorf("%s has not started within 15 s beside blocked jobs of its team", other.spec.ID)
		}
	}
	cluster.waitUntilDone()
	cluster.wantFinalStates(stateDone, cluster.users...)
}

// TestCancellationAtPredecessorsEndHasOneOutcome cancels most predecessors at the time of their completion.
// Successors of done jobs run, successors of cancelled jobs are cancelled.
func TestCancellationAtPredecessorsEndHasOneOutcome(t *testing.T) {
	cluster := newPipelineCluster(t, 615)
	cluster.CancelAtCompletion(0.7)
	cluster.SetPollBursts(true)
	for range 40 {
		head := cluster.addUser()
		follower := cluster.addUser(head)
		head.submit()
		follower.submit()
		cluster.Advance(150 * time.Millisecond)
	}
	cluster.KillLeaders(2, 4*time.Second)
	cluster.Advance(8 * time.Second)
	cluster.waitUntilDone()
	counts := map[string]int{}
	for i := 0; i < len(cluster.users); i += 2 {
		head, follower := cluster.users[i], cluster.users[i+1]
		if len(head.finalStates) == 0 {
			continue // waitUntilDone has reported the job
		}
		counts[head.finalStates[0]]++
		if head.finalStates[0] == stateCancelled {
			cluster.wantFinalStates(stateCancelled, follower)
		}
	}
	if counts[stateDone] < 5 || counts[stateCancelled] < 5 {
		t.Errorf("got final states %v of predecessors, want at least 5 done and 5 cancelled", counts)
	}
}

// TestLateReportOfPredecessorsEnd drops the messages of four machines while predecessors end on them, for less and for
// more than a worker's lease, and kills the leader meanwhile. All jobs are done in the end.
func TestLateReportOfPredecessorsEnd(t *testing.T) {
	for _, cut := range []time.Duration{4 * time.Second, 9 * time.Second} {
		t.Run(cut.String(), func(t *testing.T) {
			t.Parallel()
			cluster := newPipelineCluster(t, 616)
			for range 10 {
				head := cluster.addUser()
				head.spec.EstimateS = 3
				cluster.addUser(head)
			}
			cluster.submitAll()
			cluster.waitFor("ten tasks running", 30*time.Second, func() bool { return cluster.Utilization().Running >= 10 })
			cluster.DropOutbound(4, "", cut)
			cluster.Advance(2 * time.Second)
			cluster.onLeader(time.Second, cluster.KillController)
			cluster.Advance(cut)
			cluster.waitUntilDone()
			cluster.wantFinalStates(stateDone, cluster.users...)
		})
	}
}
