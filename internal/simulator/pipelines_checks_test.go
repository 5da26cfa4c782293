package simulator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// Tests of the simulation's invariant checks for pipelines. Each check receives events that violate it and events that
// don't.

// pipelineSpec returns the specification of job number n, which has one short task and the given predecessors.
func pipelineSpec(n int, follows ...string) *jobs.Spec {
	return &jobs.Spec{
		ID:        fmt.Sprintf("req-%06d", n),
		Class:     "pipeline",
		Team:      "red",
		Kind:      jobs.Array,
		Priority:  "standard",
		Tasks:     1,
		CPUs:      1,
		MemoryGB:  1,
		Image:     "i",
		ImageGB:   0.5,
		EstimateS: 1,
		Spot:      true,
		Follows:   follows,
	}
}

// pendingRecords returns the records of jobs as pending, by key, as the state service stores them.
func pendingRecords(specs ...*jobs.Spec) map[string]store.Item {
	items := map[string]store.Item{}
	for i, spec := range specs {
		record := jobs.EncodeRecord(jobs.Pending, 0, spec.Tasks, spec)
		items[jobs.RecordKey(spec.ID)] = store.Item{Value: record, Version: uint64(i + 1)}
	}
	return items
}

// newPipelineChecks returns a simulation whose checks have the given jobs. No job is submitted to a controller: the
// events come from the test.
func newPipelineChecks(t *testing.T, specs ...*jobs.Spec) *Simulation {
	t.Helper()
	sim, err := NewVirtualTime(Config{Seed: 1}, nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, spec := range specs {
		sim.RecordSubmission(spec)
	}
	return sim
}

// chainOfThree returns the specifications of three jobs: req-000002 follows req-000001, and req-000003 follows
// req-000002.
func chainOfThree() (first, second, third *jobs.Spec) {
	first = pipelineSpec(1)
	second = pipelineSpec(2, first.ID)
	third = pipelineSpec(3, second.ID)
	return first, second, third
}

// wantViolations checks that the simulation has reported want violations of a rule, and no violations of other rules.
func wantViolations(t *testing.T, sim *Simulation, rule string, want int) {
	t.Helper()
	violations := sim.Violations()
	isOther := func(violation string) bool { return !strings.Contains(violation, " s: "+rule+":") }
	if len(violations) != want || slices.ContainsFunc(violations, isOther) {
		t.Errorf("got %d violations, want only violations of rule %s and %d of them: %v", len(violations), rule, want, violations)
	}
}

// startTask reports the start of a task on a new machine that runs only this task.
func startTask(sim *Simulation, spec *jobs.Spec, index int) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	task := &workerTask{name: taskName(spec.ID, index), spec: spec, state: taskRunning}
	machine := &Machine{Name: "m-" + task.name, worker: worker{tasks: []*workerTask{task}}}
	sim.cloud.machines = append(sim.cloud.machines, machine)
	sim.taskStarted(sim.now(), machine, task)
	machine.dead = true // keeps the machine out of later checks
}

// completeTasks records the first n tasks of a job as completed.
func completeTasks(sim *Simulation, spec *jobs.Spec, n int) {
	for index := range n {
		sim.progressOf(taskName(spec.ID, index)).done = true
	}
}

// receive passes a user's query of a job and its answer to the checks, both at the current time.
func receive(sim *Simulation, job, state string) {
	request := userRequest{job: job, queries: true}
	sim.checkUserAnswer(request, sim.Now(), http.StatusOK, []byte(`{"stance":"`+state+`"}`))
}

// requestCancel passes a user's cancellation request to the checks, without an answer.
func requestCancel(sim *Simulation, job string) {
	sim.recordCancelRequest(userRequest{job: job, cancels: true})
}

// receiveCancelled passes a user's cancellation request and its confirmation to the checks.
func receiveCancelled(sim *Simulation, job string) {
	requestCancel(sim, job)
	receive(sim, job, stateCancelled)
}

// TestTooEarlyStartIsReported starts a task when no, some and all tasks of its job's predecessors have completed.
// Only the last start is allowed.
func TestTooEarlyStartIsReported(t *testing.T) {
	first, other := pipelineSpec(1), pipelineSpec(2)
	first.Tasks = 2
	last := pipelineSpec(3, first.ID, other.ID)
	sim := newPipelineChecks(t, first, other, last)
	startTask(sim, last, 0)
	wantViolations(t, sim, "too_early", 1)
	completeTasks(sim, first, 1)
	startTask(sim, last, 0)
	wantViolations(t, sim, "too_early", 2)
	completeTasks(sim, first, 2)
	startTask(sim, last, 0)
	wantViolations(t, sim, "too_early", 3)
	completeTasks(sim, other, 1)
	startTask(sim, last, 0)
	wantViolations(t, sim, "too_early", 3)
}

// TestStartAfterUnknownJobIsReported starts a task whose job follows a job that was never submitted.
func TestStartAfterUnknownJobIsReported(t *testing.T) {
	spec := pipelineSpec(2, "req-000001")
	sim := newPipelineChecks(t, spec)
	startTask(sim, spec, 0)
	wantViolations(t, sim, "too_early", 1)
}

// TestOrphanedJobIsReported queries the successors of a cancelled job up to cancel_s and later. After cancel_s,
// answers that call a direct or indirect successor pending or running are reported, even if the successor was
// submitted after the cancellation.
func TestOrphanedJobIsReported(t *testing.T) {
	first, second, third := chainOfThree()
	sim := newPipelineChecks(t, first, second)
	receiveCancelled(sim, first.ID)
	sim.RecordSubmission(third)
	sim.Advance(jobs.Seconds(sim.cfg.Workers.CancelS))
	receive(sim, second.ID, statePending)
	receive(sim, third.ID, stateRunning)
	wantViolations(t, sim, "orphaned", 0)
	sim.Advance(time.Millisecond)
	receive(sim, second.ID, stateRunning)
	wantViolations(t, sim, "orphaned", 1)
	receive(sim, third.ID, statePending)
	wantViolations(t, sim, "orphaned", 2)
	receive(sim, second.ID, stateCancelled)
	receive(sim, third.ID, stateCancelled)
	wantViolations(t, sim, "orphaned", 2)
}

// TestOrphanedJobInListIsReported passes lists with successors of a cancelled job to the checks before and after
// cancel_s has passed. Only successful answers count.
func TestOrphanedJobInListIsReported(t *testing.T) {
	first, second, third := chainOfThree()
	sim := newPipelineChecks(t, first, second, third)
	receiveCancelled(sim, first.ID)
	sim.Advance(jobs.Seconds(sim.cfg.Workers.CancelS))
	body, err := json.Marshal(jobListView{Jobs: []jobView{
		{ID: first.ID, State: stateCancelled},
		{ID: second.ID, State: statePending},
		{ID: third.ID, State: stateRunning},
	}})
	if err != nil {
		t.Fatal(err)
	}
	sim.checkJobList(http.StatusOK, body)
	wantViolations(t, sim, "orphaned", 0)
	sim.Advance(time.Millisecond)
	sim.checkJobList(http.StatusServiceUnavailable, body)
	wantViolations(t, sim, "orphaned", 0)
	sim.checkJobList(http.StatusOK, body)
	wantViolations(t, sim, "orphaned", 2)
}

// TestJobListsAreRecognized checks which requests isJobList counts as requests for a list of jobs.
func TestJobListsAreRecognized(t *testing.T) {
	for target, want := range map[string]bool{
		"GET /v2/runs":            true,
		"GET /v2/runs?limit=5":    true,
		"GET /v2/runs/req-000001": false,
		"POST /v2/runs":           false,
		"GET /v2/zones":           false,
	} {
		method, path, _ := strings.Cut(target, " ")
		if isJobList(method, path) != want {
			t.Errorf("isJobList(%s): got %v, want the opposite", target, !want)
		}
	}
}

// TestOrphanedCountsFromTheFirstCancellation cancels two predecessors of a job at different times. cancel_s counts
// from the first cancellation.
func TestOrphanedCountsFromTheFirstCancellation(t *testing.T) {
	first, second, third := chainOfThree()
	sim := newPipelineChecks(t, first, second, third)
	receiveCancelled(sim, first.ID)
	sim.Advance(jobs.Seconds(sim.cfg.Workers.CancelS))
	receiveCancelled(sim, second.ID)
	sim.Advance(time.Second)
	receive(sim, third.ID, statePending)
	wantViolations(t, sim, "orphaned", 1)
}

// TestOrphanedJobIsReportedInRealTime passes the answer to the check that simulations in real time use.
func TestOrphanedJobIsReportedInRealTime(t *testing.T) {
	first, second, _ := chainOfThree()
	sim, err := NewRealTime(Config{Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(sim.Close)
	sim.RecordSubmission(first)
	sim.RecordSubmission(second)
	longAgo := sim.Now() - jobs.Seconds(sim.cfg.Workers.CancelS) - time.Second
	sim.mu.Lock()
	sim.recordSuccessorsCancelled(first.ID, longAgo)
	sim.mu.Unlock()
	sim.CheckAnswer(&AnswerHistory{ID: second.ID, Tasks: second.Tasks}, http.StatusOK, statePending, false)
	wantViolations(t, sim, "orphaned", 1)
}

// TestTasksOfOrphansAreReported leaves a task of an indirect successor of a cancelled job on its machine for longer
// than cancel_s.
func TestTasksOfOrphansAreReported(t *testing.T) {
	first, second, third := chainOfThree()
	sim := newPipelineChecks(t, first, second, third)
	task := &workerTask{name: taskName(third.ID, 0), spec: third, state: taskRunning, active: true}
	machine := &Machine{Name: "m"}
	receiveCancelled(sim, first.ID)
	sim.Advance(jobs.Seconds(sim.cfg.Workers.CancelS))
	sim.checkCancelledTask(sim.now(), machine, task)
	wantViolations(t, sim, "ran_cancelled", 0)
	sim.Advance(time.Millisecond)
	sim.checkCancelledTask(sim.now(), machine, task)
	wantViolations(t, sim, "ran_cancelled", 1)
}

// checkCancelledAnswer passes the answer that a job is cancelled to the checks in virtual and in real time, although
// no user requested the cancellation of this job.
func checkCancelledAnswer(sim *Simulation, spec *jobs.Spec) {
	receive(sim, spec.ID, stateCancelled)
	sim.CheckAnswer(&AnswerHistory{ID: spec.ID, Tasks: spec.Tasks}, http.StatusOK, stateCancelled, false)
}

// TestCancelledForNoReasonIsReported requests the cancellation of the second job of a chain. An answer that calls the
// third job cancelled is no violation; one that calls the first cancelled is, since only a successor was cancelled.
func TestCancelledForNoReasonIsReported(t *testing.T) {
	first, second, third := chainOfThree()
	sim := newPipelineChecks(t, first, second, third)
	requestCancel(sim, second.ID)
	checkCancelledAnswer(sim, third)
	wantViolations(t, sim, "went_back", 0)
	checkCancelledAnswer(sim, first)
	wantViolations(t, sim, "went_back", 1)
}

// TestCancelledAfterDoneJobIsReported answers a predecessor's cancellation with done, and then calls the successor
// cancelled.
func TestCancelledAfterDoneJobIsReported(t *testing.T) {
	first, second, _ := chainOfThree()
	sim := newPipelineChecks(t, first, second)
	requestCancel(sim, first.ID)
	receive(sim, first.ID, stateDone)
	checkCancelledAnswer(sim, second)
	wantViolations(t, sim, "went_back", 1)
}

// TestCancelledBeforeDoneJobIsReported first calls a successor cancelled, and then its predecessor, whose cancellation
// was requested, done.
func TestCancelledBeforeDoneJobIsReported(t *testing.T) {
	first, second, _ := chainOfThree()
	sim := newPipelineChecks(t, first, second)
	requestCancel(sim, first.ID)
	checkCancelledAnswer(sim, second)
	wantViolations(t, sim, "went_back", 0)
	receive(sim, first.ID, stateDone)
	wantViolations(t, sim, "went_back", 1)
}

// receiveSubmitted passes a submission and the status of its answer to the checks, both at the current time.
func receiveSubmitted(sim *Simulation, spec *jobs.Spec, status int) {
	request := userRequest{job: spec.ID, submits: true}
	sim.checkUserAnswer(request, sim.Now(), status, []byte(`{"stance":"pending"}`))
}

// TestAcceptedFollowerOfUnknownJobIsReported accepts a job whose predecessor was never submitted.
func TestAcceptedFollowerOfUnknownJobIsReported(t *testing.T) {
	spec := pipelineSpec(2, "req-000001")
	sim := newPipelineChecks(t, spec)
	receiveSubmitted(sim, spec, http.StatusUnprocessableEntity)
	wantViolations(t, sim, "accepted", 0)
	receiveSubmitted(sim, spec, http.StatusCreated)
	wantViolations(t, sim, "accepted", 1)
}

// TestRefusedFollowerOfAcceptedJobIsReported rejects a job with 422 before and after its predecessor is accepted.
func TestRefusedFollowerOfAcceptedJobIsReported(t *testing.T) {
	first, second, _ := chainOfThree()
	sim := newPipelineChecks(t, first, second)
	receiveSubmitted(sim, second, http.StatusUnprocessableEntity)
	receiveSubmitted(sim, first, http.StatusCreated)
	receiveSubmitted(sim, second, http.StatusUnprocessableEntity) // sent before the acceptance was received
	wantViolations(t, sim, "refused", 0)
	sim.Advance(time.Millisecond)
	receiveSubmitted(sim, second, http.StatusUnprocessableEntity)
	wantViolations(t, sim, "refused", 1)
}

// TestBlockedJobDoesNotWaitBesideCapacity checks that a pending job beside an idle machine counts as waiting only
// once its predecessor is done.
func TestBlockedJobDoesNotWaitBesideCapacity(t *testing.T) {
	first, second, _ := chainOfThree()
	sim := newPipelineChecks(t, first, second)
	sim.state.service.Keys = pendingRecords(second)
	machine := &Machine{Name: "m", machineType: sim.cfg.Types[0], zone: "a"}
	use := &capacityUse{ready: []candidateMachine{{machine, machine.machineType.Size()}}}
	if sim.waitsDespiteCapacity(second, use) {
		t.Error("waitsDespiteCapacity is true for a job with an unfinished predecessor, want false")
	}
	completeTasks(sim, first, first.Tasks)
	if !sim.waitsDespiteCapacity(second, use) {
		t.Error("waitsDespiteCapacity is false for a job whose predecessor is done, want true")
	}
}
