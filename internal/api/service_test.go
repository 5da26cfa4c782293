package api

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/httpio"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/simulator/state"
	"github.com/harewalk/harewalk/internal/store"
)

func TestSubmitQueryCancelOnSeveralControllers(t *testing.T) {
	stateService := state.New()
	controllerA, controllerB := newTestService(stateService), newTestService(stateService)
	if reply := controllerA.submit(t, newSpec(1)); reply.Status != 201 {
		t.Fatalf("submission: got %+v, want 201", reply)
	}
	if reply := controllerA.submit(t, newSpec(1)); reply.Status != 200 || stateInReply(reply) != "pending" {
		t.Fatalf("repeated submission: got %+v, want 200 and pending", reply)
	}
	// The second controller hasn't read the job's record yet and must not reply 404.
	if reply := controllerB.query(t, "req-000001"); reply.Status != 200 {
		t.Fatalf("status query on the second controller: got %+v, want 200", reply)
	}
	if reply := newTestService(stateService).submit(t, newSpec(1)); reply.Status != 200 {
		t.Fatalf("repeated submission on a third controller: got %+v, want 200", reply)
	}
	if reply := controllerA.query(t, "req-000002"); reply.Status != 404 {
		t.Fatalf("status query of an unknown job: got %+v, want 404", reply)
	}
	if reply := controllerB.cancel(t, "req-000001"); reply.Status != 200 || stateInReply(reply) != "cancelled" {
		t.Fatalf("cancellation on the second controller: got %+v, want 200 and cancelled", reply)
	}
	// The job is still pending in the first controller's job table: only a read shows the cancellation.
	if reply := controllerA.query(t, "req-000001"); stateInReply(reply) != "cancelled" {
		t.Fatalf("status query after the cancellation: got %+v, want cancelled", reply)
	}
	if reply := controllerA.cancel(t, "req-000001"); stateInReply(reply) != "cancelled" {
		t.Fatalf("repeated cancellation: got %+v, want cancelled", reply)
	}
	if reply := controllerA.cancel(t, "req-000009"); reply.Status != 404 {
		t.Fatalf("cancellation of an unknown job: got %+v, want 404", reply)
	}
	rejected := newSpec(3)
	rejected.Team = "other"
	if reply := controllerA.submit(t, rejected); reply.Status != 422 {
		t.Fatalf("job of a rejected team: got %+v, want 422", reply)
	}
	rejected.Team = undecidedTeam
	if reply := controllerA.submit(t, rejected); reply.Status != 503 || reply.RetryAfter == 0 {
		t.Fatalf("job of an undecided team: got %+v, want 503 and a Retry-After", reply)
	}
}

// Between a submission's commit and its reply, another controller reads the record and cancels the job. The reply has
// the newest state in the job table.
func TestSubmissionCancelledElsewhereBeforeReply(t *testing.T) {
	stateService := state.New()
	controllerA, controllerB := newTestService(stateService), newTestService(stateService)
	controllerA.beforeResponse = func() {
		if reply := controllerB.cancel(t, "req-000001"); stateInReply(reply) != "cancelled" {
			t.Fatalf("cancellation on the other controller: got %+v, want cancelled", reply)
		}
		item := stateService.Keys[jobs.RecordKey("req-000001")]
		// The watch delivers the cancelled record.
		controllerA.OnJobRecord(stateService.Now, store.Item{Key: item.Key, Value: item.Value, Version: item.Version})
	}
	if reply := controllerA.submit(t, newSpec(1)); reply.Status != 200 || stateInReply(reply) != "cancelled" {
		t.Errorf("submission: got %+v, want 200 and cancelled", reply)
	}
}

// Jobs that a leader can't keep in memory or the state service can't store are refused at once.
func TestOversizedJobsAreRefused(t *testing.T) {
	stateService := state.New()
	service := newTestService(stateService)
	large := func(n, tasks int) *jobs.Spec {
		spec := newSpec(n)
		spec.Tasks = tasks
		return spec
	}
	if reply := service.submit(t, large(1, 100_000)); reply.Status != 201 {
		t.Fatalf("large job as the only one: got %+v, want 201", reply)
	}
	if reply := service.submit(t, large(2, 1)); reply.Status != 429 || reply.RetryAfter == 0 {
		t.Fatalf("job beyond MaxTasks: got %+v, want 429 and a Retry-After", reply)
	}
	if reply := service.submit(t, large(1, 100_000)); reply.Status != 200 {
		t.Fatalf("repeated submission of the first job: got %+v, want 200", reply)
	}
	service.cancel(t, "req-000001")
	for i, want := range []int{201, 201, 429} {
		if reply := service.submit(t, large(3+i, 1500)); reply.Status != want {
			t.Fatalf("job %d after the cancellation: got %+v, want 201, 201 and 429 in this order", i, reply)
		}
	}
	oversized := newSpec(9)
	oversized.Class = strings.Repeat("c", 9<<10)
	if reply := newTestService(state.New()).submit(t, oversized); reply.Status != 422 {
		t.Fatalf("record larger than MaxRecordBytes: got %+v, want 422", reply)
	}
	replies := map[int]int{}
	small := newTestService(state.New())
	small.MaxQueuedBytes = 20 * len(jobs.EncodeRecord(jobs.Pending, 0, 3, newSpec(1)))
	for i := range 100 {
		small.Submit(0, newSpec(i), func(reply Reply) { replies[reply.Status]++ })
	}
	small.deliverAll()
	accepted, refused := replies[201], replies[429]
	if accepted < 20 || accepted > 22 || accepted+refused != 100 || small.submissionBytes != 0 {
		t.Fatalf("got counts of replies by status %v and %d bytes queued, want 20 to 22 of 201, else 429, and 0 bytes",
			replies, small.submissionBytes)
	}
}

// A job that would be rejected, for instance for lack of licences, may have been accepted before or by another
// controller. It is rejected only after a fresh read.
func TestRejectionRequiresRead(t *testing.T) {
	stateService := state.New()
	service := newTestService(stateService)
	spec := newSpec(1)
	spec.Team = rejectedTeam
	if reply := service.submit(t, spec); reply.Status != 422 {
		t.Fatalf("job that was never accepted: got %+v, want 422", reply)
	}
	record := jobs.EncodeRecord(jobs.Pending, 0, spec.Tasks, spec)
	txn := fmt.Sprintf(`{"if":[],"apply":[{"set":%q,"data":%s}]}`, jobs.RecordKey(spec.ID), record)
	stateService.Serve(httpio.Request{Method: "POST", Path: "/txn", Body: []byte(txn)})
	if reply := service.submit(t, spec); reply.Status != 200 || stateInReply(reply) != "pending" {
		t.Fatalf("job that another controller accepted: got %+v, want 200 and pending", reply)
	}
	stateService.Down = true
	if reply := newTestService(stateService).submit(t, spec); reply.Status != 503 {
		t.Fatalf("while the state service is down: got %+v, want 503", reply)
	}
}

// An indeterminate outcome is resolved by a read: 200 and 201 are sent only if the record is stored.
func TestIndeterminateOutcomeIsResolvedByRead(t *testing.T) {
	stateService := state.New()
	service := newTestService(stateService)
	service.loseResponses = true
	if reply := service.submit(t, newSpec(1)); reply.Status != 200 || service.storedVersion("req-000001") == 0 {
		t.Fatalf("submission stored, response lost: got %+v, want 200 and a stored record", reply)
	}
	if reply := service.cancel(t, "req-000001"); stateInReply(reply) != "cancelled" {
		t.Fatalf("cancellation stored, response lost: got %+v, want cancelled", reply)
	}
	service.loseResponses, service.dropRequests = false, true
	if reply := service.submit(t, newSpec(2)); reply.Status != 503 || reply.RetryAfter == 0 {
		t.Fatalf("submission with all requests lost: got %+v, want 503 and a Retry-After", reply)
	}
}

// During an outage of the state service, requests that need a read or write are refused at once. Final states are
// still returned.
func TestStateServiceOutage(t *testing.T) {
	stateService := state.New()
	service := newTestService(stateService)
	service.submit(t, newSpec(1))
	service.submit(t, newSpec(2))
	service.cancel(t, "req-000002")
	stateService.Down = true
	for name, reply := range map[string]Reply{
		"submit":  service.submit(t, newSpec(3)),
		"query":   service.query(t, "req-000001"),
		"unknown": service.query(t, "req-000077"),
		"cancel":  service.cancel(t, "req-000001"),
	} {
		if reply.Status != 503 || reply.RetryAfter == 0 {
			t.Errorf("%s during an outage: got %+v, want 503 and a Retry-After", name, reply)
		}
	}
	if reply := service.query(t, "req-000002"); stateInReply(reply) != "cancelled" {
		t.Errorf("status query of an ended job during an outage: got %+v, want cancelled", reply)
	}
	stateService.Now += 10 * time.Second
	requestsBefore := len(service.pendingRequests)
	service.Submit(stateService.Now, newSpec(4), func(reply Reply) {
		if reply.Status != 503 {
			t.Errorf("submission 10 s after the last success: got %+v, want 503", reply)
		}
	})
	if len(service.pendingRequests) != requestsBefore {
		t.Error("got a new request to the state service 10 s after its last success, want none")
	}
}

// The queue of submissions is bounded, and every submission gets a reply.
func TestSubmissionQueueIsBounded(t *testing.T) {
	stateService := state.New()
	service := newTestService(stateService)
	service.MaxQueuedBytes = 16 << 20 // so that only maxWaitingSubmissions limits the queue
	replies := map[int]int{}
	for i := range 3 * maxWaitingSubmissions {
		service.Submit(stateService.Now, newSpec(i), func(reply Reply) { replies[reply.Status]++ })
	}
	service.deliverAll()
	accepted, refused := replies[201], replies[429]
	if accepted+refused != 3*maxWaitingSubmissions || accepted < maxWaitingSubmissions || refused == 0 {
		t.Fatalf("got counts of replies by status %v, want 201 for at least a full queue and 429 for the others",
			replies)
	}
	if len(stateService.Keys) != accepted {
		t.Fatalf("got %d stored records and %d accepted submissions, want equal numbers",
			len(stateService.Keys), accepted)
	}
}
