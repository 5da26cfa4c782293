package controller

import (
	"math"
	"net/http"
	"time"

	"github.com/harewalk/harewalk/internal/api"
	"github.com/harewalk/harewalk/internal/fleet"
	"github.com/harewalk/harewalk/internal/jobs"
)

// maxNearestJobs is the maximum length of JobPendingView.NearestAhead.
const maxNearestJobs = 5

// handlePendingReasonsRequest handles a request for the reasons why a job is pending, as planning has recorded them.
func (c *Controller) handlePendingReasonsRequest(now time.Duration, request api.LeaderRequest, reply func(api.Reply)) {
	job := c.jobs.Get(request.Name)
	if job == nil {
		reply(api.Refuse(api.NotFound, jobNotInTable))
		return
	}
	reply(api.Reply{Status: http.StatusOK, Body: c.pendingView(now, job)})
}

func (c *Controller) pendingView(now time.Duration, job *jobs.Job) JobPendingView {
	view := JobPendingView{
		ID:           job.ID,
		State:        job.State.String(),
		Tasks:        job.TaskCount,
		Waiting:      []fleet.PendingReason{},
		NearestAhead: []string{},
	}
	view.Done, view.Running = c.taskCounts(job)
	view.NeededInS = c.secondsUntilLatestEnd(now, job)
	if job.State == jobs.Pending && job.Blocked {
		view.Waiting = append(view.Waiting, c.blockedReason(job))
		return view
	}
	if job.State != jobs.Pending || job.Tasks == nil {
		return view
	}
	if view.Running > 0 {
		view.State = api.StateRunning
	}
	if reasons := c.term.fleet.PendingReasons(now, job); reasons != nil {
		view.Waiting = reasons
	}
	if ids, count := c.term.fleet.JobsAhead(job, maxNearestJobs); count > 0 {
		view.NearestAhead = ids
		view.Ahead = count
	}
	view.Booting, view.BootingS = c.term.capacity.BootingMachines(now, job)
	view.BootingS = math.Round(view.BootingS)
	return view
}
