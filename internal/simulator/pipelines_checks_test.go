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

// The checks of pipelines, each fed with the events that violate it and with those that don't.

// pipelineSpec returns a job of one short task that follows others.
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

// pendingRecords returns the stored records of pending jobs.
func pendingRecords(specs ...*jobs.Spec) map[string]store.Item {
	items := map[string]store.Item{}
	for i, spec := range specs {
		record := jobs.EncodeRecord(jobs.Pending, 0, spec.Tasks, spec)
		items[jobs.RecordKey(spec.ID)] = store.Item{Value: record, Version: uint64(i + 1)}
	}
	return items
}

// newPipelineChecks returns a simulation in which nobody submitted a job to a controller: the events come from the
// test.
func newPipelineChecks(t *testing.T, specs ...*jobs.Spec) *Simulation {
	t.Helper()
	sim, err := NewVirtualTime(Config{Seed: 1}, nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, spec := range specs {
		sim.AddJob(spec)
	}
	return sim
}

// chainOfThree returns the specifications of req-000001, of req-000002, which follows it, and of req-000003, which
// follows that.
func chainOfThree() (first, second, third *jobs.Spec) {
	first = pipelineSpec(1)
	second = pipelineSpec(2, first.ID)
	third = pipelineSpec(3, second.ID)
	return first, second, third
}

// wantViolations checks that the simulation has as many violations of a rule as wanted, and no others.
func wantViolations(t *testing.T, sim *Simulation, rule string, want int) {
	t.Helper()
	violations := sim.Violations()
	isOther := func(violation string) bool { return !strings.Contains(violation, " s: "+rule+":") }
	if len(violations) != want || slices.ContainsFunc(violations, isOther) {
		t.Errorf("%d violations of %s, want %d: %v", len(violations), rule, want, violations)
	}
}

// startTask lets a task of a job get its image on a machine of its own.
func startTask(sim *Simulation, spec *jobs.Spec, index int) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	task := &workerTask{name: taskName(spec.ID, index), spec: spec, state: taskRunning}
	machine := &Machine{Name: "m-" + task.name, worker: worker{tasks: []*workerTask{task}}}
	sim.cloud.machines = append(sim.cloud.machines, machine)
	sim.taskStarted(sim.now(), machine, task)
	machine.dead = true // it plays no further part
}

// completeTasks records the first tasks of a job as completed.
func completeTasks(sim *Simulation, spec *jobs.Spec, n int) {
	for index := range n {
		sim.progressOf(taskName(spec.ID, index)).done = true
	}
}

// receive lets a user receive the answer to a query of a job that was sent at the same moment.
func receive(sim *Simulation, job, state string) {
	about := userRequest{job: job, queries: true}
	sim.checkUserAnswer(about, sim.Now(), http.StatusOK, []byte(`{"stance":"`+state+`"}`))
}

// requestCancel lets a user ask for a cancellation, without an answer.
func requestCancel(sim *Simulation, job string) {
	sim.recordCancelRequest(userRequest{job: job, cancels: true})
}

// receiveCancelled lets a user ask for a cancellation and receive its confirmation.
func receiveCancelled(sim *Simulation, job string) {
	requestCancel(sim, job)
	receive(sim, job, stateCancelled)
}

// TestTooEarlyStartIsReported starts a task before any, some and all tasks of its predecessors have completed.
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

// TestStartAfterUnknownJobIsReported starts a task whose job follows a job that nobody submitted.
func TestStartAfterUnknownJobIsReported(t *testing.T) {
	spec := pipelineSpec(2, "req-000001")
	sim := newPipelineChecks(t, spec)
	startTask(sim, spec, 0)
	wantViolations(t, sim, "too_early", 1)
}

// TestOrphanedJobIsReported queries the jobs after a cancelled one until and after cancel_s: both a direct and an
// indirect successor, also one that was submitted later, are reported when they are called pending or running.
func TestOrphanedJobIsReported(t *testing.T) {
	first, second, third := chainOfThree()
	sim := newPipelineChecks(t, first, second)
	receiveCancelled(sim, first.ID)
	sim.AddJob(third)
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

// TestOrphanedJobInListIsReported lets a user receive lists of jobs before and after cancel_s has passed.
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

// TestJobListsAreRecognized checks which requests are lists of jobs.
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
			t.Errorf("%s: a list of jobs is %v", target, !want)
		}
	}
}

// TestOrphanedCountsFromTheFirstCancellation cancels two jobs before one, at different times.
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

// TestOrphanedJobIsReportedInRealTime feeds the answer to the users of real time.
func TestOrphanedJobIsReportedInRealTime(t *testing.T) {
	first, second, _ := chainOfThree()
	sim, err := NewRealTime(Config{Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(sim.Close)
	sim.AddJob(first)
	sim.AddJob(second)
	longAgo := sim.Now() - jobs.Seconds(sim.cfg.Workers.CancelS) - time.Second
	sim.mu.Lock()
	sim.recordSuccessorsCancelled(first.ID, longAgo)
	sim.mu.Unlock()
	sim.CheckAnswer(&History{ID: second.ID, Tasks: second.Tasks}, http.StatusOK, statePending, false)
	wantViolations(t, sim, "orphaned", 1)
}

// TestTasksOfOrphansAreReported leaves a task of an indirect successor on its machine for longer than cancel_s after
// a cancellation.
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

// checkCancelledAnswer lets a user's history get the answer that a job is cancelled, which nobody asked for.
func checkCancelledAnswer(sim *Simulation, spec *jobs.Spec) {
	receive(sim, spec.ID, stateCancelled)
	sim.CheckAnswer(&History{ID: spec.ID, Tasks: spec.Tasks}, http.StatusOK, stateCancelled, false)
}

// TestCancelledForNoReasonIsReported calls a job cancelled for which only a job after it, or none at all, was
// cancelled; and one after a job whose cancellation was requested, which is no violation.
func TestCancelledForNoReasonIsReported(t *testing.T) {
	first, second, third := chainOfThree()
	sim := newPipelineChecks(t, first, second, third)
	requestCancel(sim, second.ID)
	checkCancelledAnswer(sim, third)
	wantViolations(t, sim, "went_back", 0)
	checkCancelledAnswer(sim, first)
	wantViolations(t, sim, "went_back", 1)
}

// TestCancelledAfterDoneJobIsReported calls a job cancelled after its predecessor's cancellation was answered with
// done.
func TestCancelledAfterDoneJobIsReported(t *testing.T) {
	first, second, _ := chainOfThree()
	sim := newPipelineChecks(t, first, second)
	requestCancel(sim, first.ID)
	receive(sim, first.ID, stateDone)
	checkCancelledAnswer(sim, second)
	wantViolations(t, sim, "went_back", 1)
}

// TestCancelledBeforeDoneJobIsReported calls a job cancelled first, and then the job before it, whose cancellation was
// requested, done.
func TestCancelledBeforeDoneJobIsReported(t *testing.T) {
	first, second, _ := chainOfThree()
	sim := newPipelineChecks(t, first, second)
	requestCancel(sim, first.ID)
	checkCancelledAnswer(sim, second)
	wantViolations(t, sim, "went_back", 0)
	receive(sim, first.ID, stateDone)
	wantViolations(t, sim, "went_back", 1)
}

// receiveSubmitted lets a user receive a status for a submission that was sent at the same moment.
func receiveSubmitted(sim *Simulation, spec *jobs.Spec, status int) {
	about := userRequest{job: spec.ID, submits: true}
	sim.checkUserAnswer(about, sim.Now(), status, []byte(`{"stance":"pending"}`))
}

// TestAcceptedFollowerOfUnknownJobIsReported accepts a job that follows one that nobody submitted.
func TestAcceptedFollowerOfUnknownJobIsReported(t *testing.T) {
	spec := pipelineSpec(2, "req-000001")
	sim := newPipelineChecks(t, spec)
	receiveSubmitted(sim, spec, http.StatusUnprocessableEntity)
	wantViolations(t, sim, "accepted", 0)
	receiveSubmitted(sim, spec, http.StatusCreated)
	wantViolations(t, sim, "accepted", 1)
}

// TestRefusedFollowerOfAcceptedJobIsReported refuses a job for good before and after the one that it follows is
// accepted.
func TestRefusedFollowerOfAcceptedJobIsReported(t *testing.T) {
	first, second, _ := chainOfThree()
	sim := newPipelineChecks(t, first, second)
	receiveSubmitted(sim, second, http.StatusUnprocessableEntity)
	receiveSubmitted(sim, first, http.StatusCreated)
	receiveSubmitted(sim, second, http.StatusUnprocessableEntity) // sent before that answer was received
	wantViolations(t, sim, "refused", 0)
	sim.Advance(time.Millisecond)
	receiveSubmitted(sim, second, http.StatusUnprocessableEntity)
	wantViolations(t, sim, "refused", 1)
}

// TestBlockedJobDoesNotWaitBesideCapacity judges a job beside an idle machine before and after the job that it follows
// is done.
func TestBlockedJobDoesNotWaitBesideCapacity(t *testing.T) {
	first, second, _ := chainOfThree()
	sim := newPipelineChecks(t, first, second)
	sim.state.service.Keys = pendingRecords(second)
	machine := &Machine{Name: "m", machineType: sim.cfg.Types[0], zone: "a"}
	use := &capacityUse{ready: []candidateMachine{{machine, machine.machineType.Size()}}}
	if sim.waitsDespiteCapacity(second, use) {
		t.Error("a job that waits for another is judged")
	}
	completeTasks(sim, first, first.Tasks)
	if !sim.waitsDespiteCapacity(second, use) {
		t.Error("a job is not judged though the job that it follows is done")
	}
}
