package api

import (
	"encoding/json"
	"testing"

	"github.com/harewalk/harewalk/internal/archive"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/simulator/state"
	"github.com/harewalk/harewalk/internal/store"
)

// Every request about an archived job gets its final state, and an id that was never submitted is still unknown.
func TestArchivedJobsAreFound(t *testing.T) {
	for _, final := range []jobs.State{jobs.Done, jobs.Cancelled} {
		for name, request := range map[string]func(*testService) Reply{
			"status query": func(service *testService) Reply { return service.query(t, jobID(1)) },
			"submission":   func(service *testService) Reply { return service.submit(t, job(1)) },
			"cancellation": func(service *testService) Reply { return service.cancel(t, jobID(1)) },
		} {
			service := newTestService(state.New())
			service.archiveElsewhere(jobID(1), archive.Answer{State: final, Tasks: 3, Done: 2})
			for range 2 { // from a read, and from memory
				if reply := request(service); reply.Status != 200 || jobState(reply) != final.String() {
					t.Errorf("%s of a job that was %s: %d %q", name, final, reply.Status, jobState(reply))
				}
			}
			if reply := service.query(t, jobID(2)); reply.Status != 404 {
				t.Errorf("an unknown job: %d", reply.Status)
			}
			if service.storedVersion(jobID(1)) != 0 {
				t.Errorf("%s created the job's record again", name)
			}
		}
	}
}

// A repeated submission of an archived job isn't rejected, though a new job like it would be.
func TestArchivedJobIsNotRejected(t *testing.T) {
	service := newTestService(state.New())
	spec := job(1)
	spec.Team = "a team that the settings no longer name"
	service.archiveElsewhere(spec.ID, archive.Answer{State: jobs.Done, Tasks: 3, Done: 3})
	if reply := service.submit(t, spec); reply.Status != 200 || jobState(reply) != "done" {
		t.Errorf("%d %q", reply.Status, jobState(reply))
	}
	spec.ID = jobID(2)
	if reply := service.submit(t, spec); reply.Status != 422 {
		t.Errorf("a new job: %d", reply.Status)
	}
}

// While an archived answer can't be decoded, the job is neither unknown nor created again.
func TestUnreadableArchivedAnswer(t *testing.T) {
	service := newTestService(state.New())
	service.state.Apply([]store.Op{{Put: archive.Key(jobID(1)), Value: json.RawMessage(`{"v":9,"stance":"done"}`)}})
	for name, reply := range map[string]Reply{
		"status query": service.query(t, jobID(1)),
		"submission":   service.submit(t, job(1)),
		"cancellation": service.cancel(t, jobID(1)),
	} {
		if reply.Status != 503 || reply.RetryAfter == 0 {
			t.Errorf("%s: %d, retry after %d", name, reply.Status, reply.RetryAfter)
		}
	}
	if service.storedVersion(jobID(1)) != 0 {
		t.Error("the job was created again")
	}
}

// A job that is archived between the check of a status query and the reads that follow is found: its record exists
// at the check and is absent when it is read.
func TestArchivedDuringStatusQuery(t *testing.T) {
	service := newTestService(state.New())
	service.state.Apply([]store.Op{{Put: jobs.RecordKey(jobID(1)), Value: jobs.EncodeRecord(jobs.Done, 0, 3, nil)}})
	service.beforeResponse = func() {
		service.archiveElsewhere(jobID(1), archive.Answer{State: jobs.Done, Tasks: 3, Done: 3})
	}
	if reply := service.query(t, jobID(1)); reply.Status != 200 || jobState(reply) != "done" {
		t.Errorf("%d %q", reply.Status, jobState(reply))
	}
}

// A record is read, the job is archived, and the watch delivers that before the response to the read: what was read
// is obsolete, and the reply comes from the archive.
func TestArchivedWhileItsRecordIsRead(t *testing.T) {
	service := newTestService(state.New())
	service.state.Apply([]store.Op{{Put: jobs.RecordKey(jobID(1)), Value: jobs.EncodeRecord(jobs.Done, 0, 3, nil)}})
	service.ignoreRecords()
	archiveJob := func() { service.archiveElsewhere(jobID(1), archive.Answer{State: jobs.Done, Tasks: 3, Done: 3}) }
	afterCheck := func() { service.beforeResponse = archiveJob }
	service.beforeResponse = afterCheck
	if reply := service.query(t, jobID(1)); reply.Status != 200 || jobState(reply) != "done" {
		t.Errorf("%d %q", reply.Status, jobState(reply))
	}
}

// A job was accepted, ended and was archived before the response to its first write arrived: the reply to its
// submission is its final state.
func TestArchivedBeforeReplyToSubmission(t *testing.T) {
	service := newTestService(state.New())
	service.ignoreRecords()
	service.beforeResponse = func() {
		service.archiveElsewhere(jobID(1), archive.Answer{State: jobs.Done, Tasks: 3, Done: 3})
	}
	if reply := service.submit(t, job(1)); reply.Status != 200 || jobState(reply) != "done" {
		t.Errorf("%d %q", reply.Status, jobState(reply))
	}
}
