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
	svc := state.New()
	a, b := newTestService(svc), newTestService(svc)
	if reply := a.submit(t, job(1)); reply.Status != 201 {
		t.Fatalf("submit: %+v", reply)
	}
	if reply := a.submit(t, job(1)); reply.Status != 200 || jobState(reply) != "pending" {
		t.Fatalf("submitted again: %+v", reply)
	}
	// Another controller hasn't read the job's record yet and must not reply 404.
	if reply := b.query(t, "req-000001"); reply.Status != 200 {
		t.Fatalf("another controller: %+v", reply)
	}
	if reply := newTestService(svc).submit(t, job(1)); reply.Status != 200 {
		t.Fatalf("retry elsewhere: %+v", reply)
	}
	if reply := a.query(t, "req-000002"); reply.Status != 404 {
		t.Fatalf("unknown: %+v", reply)
	}
	if reply := b.cancel(t, "req-000001"); reply.Status != 200 || jobState(reply) != "cancelled" {
		t.Fatalf("cancel: %+v", reply)
	}
	// In the first controller's job table it is still pending: only a read shows the cancellation.
	if reply := a.query(t, "req-000001"); jobState(reply) != "cancelled" {
		t.Fatalf("an older answer: %+v", reply)
	}
	if reply := a.cancel(t, "req-000001"); jobState(reply) != "cancelled" {
		t.Fatalf("cancel again: %+v", reply)
	}
	if reply := a.cancel(t, "req-000009"); reply.Status != 404 {
		t.Fatalf("cancel an unknown job: %+v", reply)
	}
	rejected := job(3)
	rejected.Team = "other"
	if reply := a.submit(t, rejected); reply.Status != 422 {
		t.Fatalf("unknown team: %+v", reply)
	}
	rejected.Team = undecidedTeam
	if reply := a.submit(t, rejected); reply.Status != 503 || reply.RetryAfter == 0 {
		t.Fatalf("undecided: %+v", reply)
	}
}

// Between a submission's commit and its reply, another controller has read the record and cancelled the job: the
// reply carries the newest state that is known.
func TestSubmissionCancelledElsewhereBeforeItsReply(t *testing.T) {
	svc := state.New()
	a, b := newTestService(svc), newTestService(svc)
	a.beforeResponse = func() {
		if reply := b.cancel(t, "req-000001"); jobState(reply) != "cancelled" {
			t.Fatalf("cancel elsewhere: %+v", reply)
		}
		item := svc.Keys[jobs.RecordKey("req-000001")]
		a.OnJobRecord(svc.Now, store.Item{Key: item.Key, Value: item.Value, Version: item.Version}) // by the watch
	}
	if reply := a.submit(t, job(1)); reply.Status != 200 || jobState(reply) != "cancelled" {
		t.Errorf("submit: %+v", reply)
	}
}

// What a leader can't keep in memory, or the state service can't store, is refused at once.
func TestOversizedJobsAreRefused(t *testing.T) {
	svc := state.New()
	service := newTestService(svc)
	large := func(n, tasks int) *jobs.Spec {
		spec := job(n)
		spec.Tasks = tasks
		return spec
	}
	if reply := service.submit(t, large(1, 100_000)); reply.Status != 201 {
		t.Fatalf("one job alone: %+v", reply)
	}
	if reply := service.submit(t, large(2, 1)); reply.Status != 429 || reply.RetryAfter == 0 {
		t.Fatalf("beyond the bound: %+v", reply)
	}
	if reply := service.submit(t, large(1, 100_000)); reply.Status != 200 {
		t.Fatalf("the first one again: %+v", reply)
	}
	service.cancel(t, "req-000001")
	for i, want := range []int{201, 201, 429} {
		if reply := service.submit(t, large(3+i, 1500)); reply.Status != want {
			t.Fatalf("job %d after the cancellation: %+v", i, reply)
		}
	}
	oversized := job(9)
	oversized.Class = strings.Repeat("c", 9<<10)
	if reply := newTestService(state.New()).submit(t, oversized); reply.Status != 422 {
		t.Fatalf("more than a value holds: %+v", reply)
	}
	replies := map[int]int{}
	small := newTestService(state.New())
	small.MaxBytes = 20 * len(jobs.EncodeRecord(jobs.Pending, 0, 3, job(1)))
	for i := range 100 {
		small.Submit(0, job(i), func(reply Reply) { replies[reply.Status]++ })
	}
	small.deliverAll()
	accepted, refused := replies[201], replies[429]
	if accepted < 20 || accepted > 22 || accepted+refused != 100 || small.submissionBytes != 0 {
		t.Fatalf("replies %v, %d bytes left", replies, small.submissionBytes)
	}
}

// A job that is rejected, for lack of licences say, may have been accepted before, or by another controller: only a
// fresh read allows the rejection.
func TestRejectedOnlyAfterARead(t *testing.T) {
	svc := state.New()
	service := newTestService(svc)
	spec := job(1)
	spec.Team = rejectedTeam
	if reply := service.submit(t, spec); reply.Status != 422 {
		t.Fatalf("never accepted: %+v", reply)
	}
	record := jobs.EncodeRecord(jobs.Pending, 0, spec.Tasks, spec)
	txn := fmt.Sprintf(`{"if":[],"apply":[{"set":%q,"data":%s}]}`, jobs.RecordKey(spec.ID), record)
	svc.Serve(httpio.Request{Method: "POST", Path: "/txn", Body: []byte(txn)})
	if reply := service.submit(t, spec); reply.Status != 200 || jobState(reply) != "pending" {
		t.Fatalf("accepted by another controller: %+v", reply)
	}
	svc.Down = true
	if reply := newTestService(svc).submit(t, spec); reply.Status != 503 {
		t.Fatalf("no read possible: %+v", reply)
	}
}

// An indeterminate outcome is resolved by a read: 201 and 200 are sent only for what is stored.
func TestIndeterminateOutcomesAreRead(t *testing.T) {
	svc := state.New()
	service := newTestService(svc)
	service.loseResponses = true
	if reply := service.submit(t, job(1)); reply.Status != 200 || service.storedVersion("req-000001") == 0 {
		t.Fatalf("stored, response lost: %+v", reply)
	}
	if reply := service.cancel(t, "req-000001"); jobState(reply) != "cancelled" {
		t.Fatalf("cancelled, response lost: %+v", reply)
	}
	service.loseResponses, service.dropRequests = false, true
	if reply := service.submit(t, job(2)); reply.Status != 503 || reply.RetryAfter == 0 {
		t.Fatalf("all requests lost: %+v", reply)
	}
}

// In an outage of the state service, what needs a read or write is refused at once; final states are still
// returned.
func TestStateServiceOutage(t *testing.T) {
	svc := state.New()
	service := newTestService(svc)
	service.submit(t, job(1))
	service.submit(t, job(2))
	service.cancel(t, "req-000002")
	svc.Down = true
	for name, reply := range map[string]Reply{
		"submit":  service.submit(t, job(3)),
		"query":   service.query(t, "req-000001"),
		"unknown": service.query(t, "req-000077"),
		"cancel":  service.cancel(t, "req-000001"),
	} {
		if reply.Status != 503 || reply.RetryAfter == 0 {
			t.Errorf("%s in an outage: %+v", name, reply)
		}
	}
	if reply := service.query(t, "req-000002"); jobState(reply) != "cancelled" {
		t.Errorf("final state in an outage: %+v", reply)
	}
	svc.Now += 10 * time.Second
	sent := len(service.queue)
	service.Submit(svc.Now, job(4), func(reply Reply) {
		if reply.Status != 503 {
			t.Errorf("after 10 s of silence: %+v", reply)
		}
	})
	if len(service.queue) != sent {
		t.Error("a request was sent to a service that has been silent for 10 s")
	}
}

// The queue is bounded, and every submission gets a reply.
func TestFloodOfSubmissionsIsShed(t *testing.T) {
	svc := state.New()
	service := newTestService(svc)
	service.MaxBytes = 16 << 20 // so that the count is the limit
	replies := map[int]int{}
	for i := range 3 * maxWaitingSubmissions {
		service.Submit(svc.Now, job(i), func(reply Reply) { replies[reply.Status]++ })
	}
	service.deliverAll()
	accepted, refused := replies[201], replies[429]
	if accepted+refused != 3*maxWaitingSubmissions || accepted < maxWaitingSubmissions || refused == 0 {
		t.Fatalf("replies %v", replies)
	}
	if len(svc.Keys) != accepted {
		t.Fatalf("%d stored, %d accepted", len(svc.Keys), accepted)
	}
}
