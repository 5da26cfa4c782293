package controller

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/harewalk/harewalk/internal/api"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/query"
)

// JobSummary is one job in a list.
type JobSummary struct {
	ID       string  `json:"name_id"`
	Stance   string  `json:"stance"`
	Class    string  `json:"breed,omitempty"`
	Team     string  `json:"warren,omitempty"`
	Kind     string  `json:"gait,omitempty"`
	Priority string  `json:"urgency,omitempty"`
	Tasks    int     `json:"tasks"`
	Done     int     `json:"done"`
	Running  int     `json:"running"`
	Waiting  int     `json:"waiting"` // neither running nor done
	AgeS     float64 `json:"age_s"`
}

// JobPage is a page of jobs, by id. More tells that others follow after the last.
type JobPage struct {
	Jobs []JobSummary `json:"jobs"`
	More bool         `json:"has_next"`
}

// ListFields are the fields of a filter over jobs.
var ListFields = query.Fields{
	"id": query.Text, "stance": query.Text, "class": query.Text, "team": query.Text, "kind": query.Text, "priority": query.Text,
	"tasks": query.Number, "done": query.Number, "running": query.Number, "waiting": query.Number, "age_s": query.Number,
}

// Text implements query.Row.
func (l *JobSummary) Text(field string) string {
	switch field {
	case "id":
		return l.ID
	case "stance":
		return l.Stance
	case "class":
		return l.Class
	case "team":
		return l.Team
	case "kind":
		return l.Kind
	}
	return l.Priority
}

// Number implements query.Row.
func (l *JobSummary) Number(field string) float64 {
	switch field {
	case "tasks":
		return float64(l.Tasks)
	case "done":
		return float64(l.Done)
	case "running":
		return float64(l.Running)
	case "waiting":
		return float64(l.Waiting)
	}
	return l.AgeS
}

// listInterval spaces the lists that are made: each looks at every job there is, on the event loop.
const listInterval = 100 * time.Millisecond

// parseFilter reads a request's filter; ok is false if it is none, and that was answered.
func parseFilter(request api.LeaderRequest, fields query.Fields, reply func(api.Reply)) (f query.Filter, ok bool) {
	f, err := query.Parse(request.Query["where"], fields)
	if err != nil {
		reply(api.Refuse(api.InvalidRequest, "where: "+err.Error()))
		return f, false
	}
	return f, true
}

// allowList tells whether a list may be made now, and counts it.
func (c *Controller) allowList(now time.Duration) bool {
	if c.jobsListedAt > 0 && now-c.jobsListedAt < listInterval {
		return false
	}
	c.jobsListedAt = now
	return true
}

// pageSize bounds a page: it stays within what a line to users may be.
const pageSize = 200

// listCall lists jobs that match a filter, by id after the one named, a page at a time.
func (c *Controller) listCall(now time.Duration, request api.LeaderRequest, reply func(api.Reply)) {
	f, ok := parseFilter(request, ListFields, reply)
	if !ok {
		return
	}
	if !c.allowList(now) {
		reply(api.Refuse(api.TooManyRequests, "too many lists"))
		return
	}
	size := pageSize
	if n, err := strconv.Atoi(request.Query["limit"]); err == nil && n > 0 {
		size = min(n, pageSize)
	}
	var found []JobSummary
	after := request.Query["since"]
	c.jobs.ForEach(func(job *jobs.Job) {
		if job.ID > after {
			if l := c.jobSummary(now, job); f.Match(&l, ListFields) {
				found = append(found, l)
			}
		}
	})
	slices.SortFunc(found, func(a, b JobSummary) int { return strings.Compare(a.ID, b.ID) })
	out := append([]JobSummary{}, found[:min(size, len(found))]...)
	reply(api.Reply{Status: 200, Body: JobPage{Jobs: out, More: len(found) > size}})
}

func (c *Controller) jobSummary(now time.Duration, job *jobs.Job) JobSummary {
	l := JobSummary{ID: job.ID, Stance: job.State.String(), Tasks: job.TaskCount, Done: job.FinishedTasks}
	if spec := job.Spec; spec != nil {
		l.Class, l.Team, l.Kind, l.Priority = spec.Class, spec.Team, string(spec.Kind), spec.Priority
		l.AgeS = max(0, (now - job.SubmittedAt).Seconds())
	}
	if job.State == jobs.Pending {
		l.Done, l.Running = c.taskCounts(job)
		l.Waiting = job.TaskCount - l.Done - l.Running
		if l.Running > 0 {
			l.Stance = "running"
		}
	}
	return l
}
