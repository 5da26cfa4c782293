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

// ListFields are the fields of a filter over jobs.
var ListFields = query.Fields{
	"id":       query.Text,
	"stance":   query.Text,
	"class":    query.Text,
	"team":     query.Text,
	"kind":     query.Text,
	"priority": query.Text,
	"tasks":    query.Number,
	"done":     query.Number,
	"running":  query.Number,
	"waiting":  query.Number,
	"age_s":    query.Number,
}

// Text implements query.Row.
func (s *JobSummary) Text(field string) string {
	switch field {
	case "id":
		return s.ID
	case "stance":
		return s.State
	case "class":
		return s.Class
	case "team":
		return s.Team
	case "kind":
		return s.Kind
	}
	return s.Priority
}

// Number implements query.Row.
func (s *JobSummary) Number(field string) float64 {
	switch field {
	case "tasks":
		return float64(s.Tasks)
	case "done":
		return float64(s.Done)
	case "running":
		return float64(s.Running)
	case "waiting":
		return float64(s.Waiting)
	}
	return s.AgeS
}

const (
	// listInterval spaces the lists that are made: each goes through every job in memory, on the event loop.
	listInterval = 100 * time.Millisecond
	// pageSize bounds a page: it stays within the largest body that users get.
	pageSize = 200
	// stanceRunning is what users are shown of a pending job of which some task runs.
	stanceRunning = "running"
)

// parseFilter reads a request's filter. If it is malformed, it answers the request and returns false.
func parseFilter(
	request api.LeaderRequest,
	fields query.Fields,
	reply func(api.Reply),
) (filter query.Filter, ok bool) {
	filter, err := query.Parse(request.Query.Where, fields)
	if err != nil {
		reply(api.Refuse(api.InvalidRequest, "where: "+err.Error()))
		return filter, false
	}
	return filter, true
}

// listLimiter bounds the rate of lists. Its zero value allows the first.
type listLimiter struct{ lastAt time.Duration }

// allow reports whether a list may be made now, and counts it if so.
func (l *listLimiter) allow(now time.Duration) bool {
	if l.lastAt > 0 && now-l.lastAt < listInterval {
		return false
	}
	l.lastAt = now
	return true
}

// listCall answers with a page of the jobs that match a filter, by id after the one named.
func (c *Controller) listCall(now time.Duration, request api.LeaderRequest, reply func(api.Reply)) {
	filter, ok := parseFilter(request, ListFields, reply)
	if !ok {
		return
	}
	if !c.listLimiter.allow(now) {
		reply(api.Refuse(api.TooManyRequests, "too many lists"))
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

// matchingJobs returns the jobs that match a filter and whose ids come after one, by id.
func (c *Controller) matchingJobs(now time.Duration, after string, filter query.Filter) []JobSummary {
	var found []JobSummary
	c.jobs.ForEach(func(job *jobs.Job) {
		if job.ID <= after {
			return
		}
		if summary := c.jobSummary(now, job); filter.Match(&summary, ListFields) {
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
	if job.State == jobs.Pending {
		summary.Done, summary.Running = c.taskCounts(job)
		summary.Waiting = job.TaskCount - summary.Done - summary.Running
		if summary.Running > 0 {
			summary.State = stanceRunning
		}
	}
	return summary
}
