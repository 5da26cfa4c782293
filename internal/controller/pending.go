package controller

import (
	"math"
	"net/http"
	"time"

	"github.com/harewalk/harewalk/internal/api"
	"github.com/harewalk/harewalk/internal/fleet"
	"github.com/harewalk/harewalk/internal/jobs"
)

// JobPendingView is why a job waits.
type JobPendingView struct {
	ID      string                `json:"name_id"`
	State   string                `json:"stance"`
	Tasks   int                   `json:"tasks"`
	Done    int                   `json:"done"`
	Running int                   `json:"running"`
	Waiting []fleet.PendingReason `json:"waiting"`
	// Ahead is how many waiting jobs rank before it, Nearest the ids of the nearest of them.
	Ahead   int      `json:"ahead"`
	Nearest []string `json:"nearest"`
	// Booting is how many machines that it may use are starting up, BootingS in how many seconds the first is expected.
	Booting  int     `json:"booting"`
	BootingS float64 `json:"booting_next_s"`
}

// maxNearestJobs bounds JobPendingView.Nearest.
const maxNearestJobs = 5

// whyCall answers why a job waits, by the reasons that planning has recorded.
func (c *Controller) whyCall(now time.Duration, request api.LeaderRequest, reply func(api.Reply)) {
	job := c.jobs.Get(request.Name)
	if job == nil {
		reply(api.Refuse(api.NotFound, jobNotInTable))
		return
	}
	reply(api.Reply{Status: http.StatusOK, Body: c.pendingView(now, job)})
}

func (c *Controller) pendingView(now time.Duration, job *jobs.Job) JobPendingView {
	view := JobPendingView{
		ID:      job.ID,
		State:   job.State.String(),
		Tasks:   job.TaskCount,
		Waiting: []fleet.PendingReason{},
		Nearest: []string{},
	}
	view.Done, view.Running = c.taskCounts(job)
	if job.State != jobs.Pending || job.Tasks == nil {
		return view
	}
	if view.Running > 0 {
		view.State = stanceRunning
	}
	if reasons := c.term.fleet.PendingReasons(now, job); reasons != nil {
		view.Waiting = reasons
	}
	if ids, count := c.term.fleet.JobsAhead(job, maxNearestJobs); count > 0 {
		view.Nearest = ids
		view.Ahead = count
	}
	view.Booting, view.BootingS = c.term.capacity.Booting(now, job)
	view.BootingS = math.Round(view.BootingS)
	return view
}
