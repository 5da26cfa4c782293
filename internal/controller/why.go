package controller

import (
	"math"
	"time"

	"github.com/harewalk/harewalk/internal/api"
	"github.com/harewalk/harewalk/internal/fleet"
	"github.com/harewalk/harewalk/internal/jobs"
)

// JobPendingView is what is told of a job that waits.
type JobPendingView struct {
	ID      string                `json:"name_id"`
	Stance  string                `json:"stance"`
	Tasks   int                   `json:"tasks"`
	Done    int                   `json:"done"`
	Running int                   `json:"running"`
	Waiting []fleet.PendingReason `json:"waiting"`
	// Ahead is how many jobs that wait rank before it, and the nearest of them.
	Ahead   int      `json:"ahead"`
	Nearest []string `json:"nearest"`
	// Booting is how many machines are on their way that it may use, and in how many seconds the
	// first is expected.
	Booting  int     `json:"booting"`
	BootingS float64 `json:"booting_next_s"`
}

// maxNearestJobs bounds the names of jobs that are told.
const maxNearestJobs = 5

// whyCall answers why a job waits, from what planning has noted.
func (c *Controller) whyCall(now time.Duration, request api.LeaderRequest, reply func(api.Reply)) {
	job := c.jobs.Get(request.Name)
	if job == nil {
		reply(api.Refuse(api.NotFound, jobNotInTable))
		return
	}
	w := JobPendingView{ID: job.ID, Stance: job.State.String(), Tasks: job.TaskCount, Waiting: []fleet.PendingReason{}, Nearest: []string{}}
	w.Done, w.Running = c.taskCounts(job)
	if job.State == jobs.Pending && job.Tasks != nil {
		if w.Running > 0 {
			w.Stance = "running"
		}
		if ps := c.term.fleet.PendingReasons(now, job); ps != nil {
			w.Waiting = ps
		}
		if ids, n := c.term.fleet.JobsAhead(job, maxNearestJobs); n > 0 {
			w.Nearest, w.Ahead = ids, n
		}
		w.Booting, w.BootingS = c.term.capacity.Booting(now, job)
		w.BootingS = math.Round(w.BootingS)
	}
	reply(api.Reply{Status: 200, Body: w})
}
