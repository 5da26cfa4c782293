package controller

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/harewalk/harewalk/internal/api"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/query"
)

// jobFields are the fields of a filter over jobs.
var jobFields = newListFields(
	map[string]func(*JobSummary) string{
		"id":       func(job *JobSummary) string { return job.ID },
		"stance":   func(job *JobSummary) string { return job.State },
		"class":    func(job *JobSummary) string { return job.Class },
		"team":     func(job *JobSummary) string { return job.Team },
		"kind":     func(job *JobSummary) string { return job.Kind },
		"priority": func(job *JobSummary) string { return job.Priority },
	},
	map[string]func(*JobSummary) float64{
		"tasks":        func(job *JobSummary) float64 { return float64(job.Tasks) },
		"done":         func(job *JobSummary) float64 { return float64(job.Done) },
		"running":      func(job *JobSummary) float64 { return float64(job.Running) },
		"waiting":      func(job *JobSummary) float64 { return float64(job.Waiting) },
		"predecessors": func(job *JobSummary) float64 { return float64(job.Predecessors) },
		"age_s":        func(job *JobSummary) float64 { return job.AgeS },
	},
)

// JobFilterFields are the names and kinds of the fields of a filter over jobs.
var JobFilterFields = jobFields.kinds

// handleJobListRequest handles a request for a page of the jobs that match a filter, sorted by id and starting after
// the given id.
func (c *Controller) handleJobListRequest(now time.Duration, request api.LeaderRequest, reply func(api.Reply)) {
	filter, refusal, refused := c.parseListRequest(now, request, JobFilterFields)
	if refused {
		reply(refusal)
		return
	}
	size := pageSize
	if limit, err := strconv.Atoi(request.Query.Limit); err == nil && limit > 0 {
		size = min(limit, pageSize)
	}
	found := c.matchingJobs(now, request.Query.Since, filter)
	page := append([]JobSummary{}, found[:min(size, len(found))]...)
	reply(api.Reply{Status: http.StatusOK, Body: JobPage{Jobs: page, More: len(found) > size}})
}

// matchingJobs returns the jobs that match a filter and whose ids come after the given one, sorted by id.
func (c *Controller) matchingJobs(now time.Duration, after string, filter query.Filter) []JobSummary {
	var found []JobSummary
	c.jobs.ForEach(func(job *jobs.Job) {
		if job.ID <= after {
			return
		}
		if summary := c.jobSummary(now, job); jobFields.match(filter, &summary) {
			found = append(found, summary)
		}
	})
	slices.SortFunc(found, func(a, b JobSummary) int { return strings.Compare(a.ID, b.ID) })
	return found
}

func (c *Controller) jobSummary(now time.Duration, job *jobs.Job) JobSummary {
	summary := JobSummary{
		ID:    job.ID,
		State: job.State.String(),
		Tasks: job.TaskCount,
		Done:  job.FinishedTasks,
	}
	if spec := job.Spec; spec != nil {
		summary.Class = spec.Class
		summary.Team = spec.Team
		summary.Kind = string(spec.Kind)
		summary.Priority = spec.Priority
		summary.AgeS = max(0, (now - job.SubmittedAt).Seconds())
	}
	if job.Blocked {
		_, summary.Predecessors = c.dependencies.graph.Unfinished(job.ID, 0)
	}
	if job.State == jobs.Pending {
		summary.Done, summary.Running = c.taskCounts(job)
		summary.Waiting = job.TaskCount - summary.Done - summary.Running
		if summary.Running > 0 {
			summary.State = api.StateRunning
		}
	}
	return summary
}
