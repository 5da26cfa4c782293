package api

import (
	"net/http"

	"github.com/harewalk/harewalk/internal/archive"
	"github.com/harewalk/harewalk/internal/jobs"
)

// Reply is the response to one request: an HTTP status and a body that is encoded as JSON.
type Reply struct {
	Status     int
	Body       any
	RetryAfter int // seconds until the client may retry, 0 for none
}

// Refusals that several requests share.
var (
	noSuchJob = Refuse(NotFound, "no such job")
	// notStored is for a submission whose record is absent. Its write may still be applied later.
	notStored               = Refuse(Unavailable, "the job was not stored")
	unreadableRecord        = Refuse(Unavailable, "the job's record cannot be read")
	stateServiceUnavailable = Refuse(Unavailable, "the state service does not answer")
	stateServiceOverloaded  = Refuse(Unavailable, "the state service is at its limit")
	releaseTooOld           = Refuse(Unavailable, "this controller's release is older than the cluster's: ask another")
	jobsNotLoaded           = Refuse(Unavailable, "still reading the jobs")
)

// StateRunning is the state that users see for a pending job with running tasks. Records never contain it.
const StateRunning = "running"

// jobBody is the response body that describes a job.
type jobBody struct {
	ID      string `json:"name_id"`
	State   string `json:"stance"`
	Done    *int   `json:"done,omitempty"`
	Running *int   `json:"running,omitempty"`
}

// jobReply returns the reply that describes a job of the job table, with the counts of its tasks if withCounts is
// set.
func (s *Service) jobReply(job *jobs.Job, withCounts bool) Reply {
	body := jobBody{ID: job.ID, State: job.State.String()}
	done, running := job.FinishedTasks, 0
	if job.State == jobs.Pending {
		done, running = s.Counts(job)
		if running > 0 {
			body.State = StateRunning
		}
	}
	if withCounts {
		body.Done = &done
		body.Running = &running
	}
	return Reply{Status: http.StatusOK, Body: body}
}

// archivedReply returns the reply that describes an archived job, with the counts of its tasks if withCounts is set.
func archivedReply(id string, entry archive.Entry, withCounts bool) Reply {
	body := jobBody{ID: id, State: entry.State.String()}
	if withCounts {
		running := 0
		body.Done = &entry.Done
		body.Running = &running
	}
	return Reply{Status: http.StatusOK, Body: body}
}
