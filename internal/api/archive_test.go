package api

import (
	"encoding/json"
	"testing"

	"github.com/harewalk/harewalk/internal/archive"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/simulator/state"
	"github.com/harewalk/harewalk/internal/store"
)

// Every request about an archived job gets its final state, and an id that was never submitted still gets 404.
func TestRequestsAboutArchivedJobGetFinalState(t *testing.T) {
	for _, final := range []jobs.State{jobs.Done, jobs.Cancelled} {
		for name, request := range map[string]func(*testService) Reply{
			"status query": func(service *testService) Reply { return service.query(t, jobID(1)) },
			"submission":   func(service *testService) Reply { return service.submit(t, newSpec(1)) },
			"cancellation": func(service *testService) Reply { return service.cancel(t, jobID(1)) },
		} {
			service := newTestService(state.New())
			service.archiveElsewhere(jobID(1), archive.Entry{State: final, Tasks: 3, Done: 2})
			for range 2 { // the first request reads the answer, the second gets it from the cache
				if reply := request(service); reply.Status != 200 || stateInReply(reply) != final.String() {
					t.Errorf("%s of a job that is archived as %s: got %d %q, want 200 and the archived state",
						name, final, reply.Status, stateInReply(reply))
				}
			}
			if reply := service.query(t, jobID(2)); reply.Status != 404 {
				t.Errorf("status query of an unknown job: got %d, want 404", reply.Status)
			}
			if service.storedVersion(jobID(1)) != 0 {
				t.Errorf("%s created the record of an archived job again", name)
			}
		}
	}
}

// A repeated submission of an archived job gets its state, although a new job with the same specification is
// rejected.
func TestResubmittedArchivedJobIsNotRejected(t *testing.T) {
	service := newTestService(state.New())
	spec := newSpec(1)
	spec.Team = "a team that the settings no longer name"
	service.archiveElsewhere(spec.ID, archive.Entry{State: jobs.Done, Tasks: 3, Done: 3})
	if reply := service.submit(t, spec); reply.Status != 200 || stateInReply(reply) != "done" {
		t.Errorf("repeated submission: got %d %q, want 200 \"done\"", reply.Status, stateInReply(reply))
	}
	spec.ID = jobID(2)
	if reply := service.submit(t, spec); reply.Status != 422 {
		t.Errorf("new job with the same specification: got %d, want 422", reply.Status)
	}
}

// While a job's archived answer can't be decoded, requests about the job get 503 and the job isn't created again.
func TestUnreadableArchivedAnswer(t *testing.T) {
	service := newTestService(state.New())
	service.state.Apply([]store.Op{{Put: archive.Key(jobID(1)), Value: json.RawMessage(`{"v":9,"stance":"done"}`)}})
	for name, reply := range map[string]Reply{
		"status query": service.query(t, jobID(1)),
		"submission":   service.submit(t, newSpec(1)),
		"cancellation": service.cancel(t, jobID(1)),
	} {
		if reply.Status != 503 || reply.RetryAfter == 0 {
			t.Errorf("%s: got %d, Retry-After %d, want 503 and a Retry-After", name, reply.Status, reply.RetryAfter)
		}
	}
	if service.storedVersion(jobID(1)) != 0 {
		t.Error("the record of a job with an unreadable archived answer was created")
	}
}

// A job is found that is archived between the check of a status query and the reads that follow: its record exists at
// the check and is absent when it is read.
func TestArchivedDuringStatusQuery(t *testing.T) {
	service := newTestService(state.New())
	service.state.Apply([]store.Op{{Put: jobs.RecordKey(jobID(1)), Value: jobs.EncodeRecord(jobs.Done, 0, 3, nil)}})
	service.beforeResponse = func() {
		service.archiveElsewhere(jobID(1), archive.Entry{State: jobs.Done, Tasks: 3, Done: 3})
	}
	if reply := service.query(t, jobID(1)); reply.Status != 200 || stateInReply(reply) != "done" {
		t.Errorf("got %d %q, want 200 \"done\"", reply.Status, stateInReply(reply))
	}
}

// A job's record is read, the job is archived, and the watch delivers the record's deletion before the response to
// the read. The record that was read is obsolete, and the reply must come from the archive.
func TestArchivedDuringRecordRead(t *testing.T) {
	service := newTestService(state.New())
	service.state.Apply([]store.Op{{Put: jobs.RecordKey(jobID(1)), Value: jobs.EncodeRecord(jobs.Done, 0, 3, nil)}})
	service.ignoreRecords()
	archiveJob := func() { service.archiveElsewhere(jobID(1), archive.Entry{State: jobs.Done, Tasks: 3, Done: 3}) }
	afterCheck := func() { service.beforeResponse = archiveJob }
	service.beforeResponse = afterCheck
	if reply := service.query(t, jobID(1)); reply.Status != 200 || stateInReply(reply) != "done" {
		t.Errorf("got %d %q, want 200 \"done\"", reply.Status, stateInReply(reply))
	}
}

// A job is accepted, ends and is archived before the response to its first write arrives: the reply to the submission
// has the final state.
func TestArchivedBeforeReplyToSubmission(t *testing.T) {
	service := newTestService(state.New())
	service.ignoreRecords()
	service.beforeResponse = func() {
		service.archiveElsewhere(jobID(1), archive.Entry{State: jobs.Done, Tasks: 3, Done: 3})
	}
	if reply := service.submit(t, newSpec(1)); reply.Status != 200 || stateInReply(reply) != "done" {
		t.Errorf("got %d %q, want 200 \"done\"", reply.Status, stateInReply(reply))
	}
}
