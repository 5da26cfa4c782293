package controller

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/harewalk/harewalk/internal/api"
	"github.com/harewalk/harewalk/internal/events"
	"github.com/harewalk/harewalk/internal/query"
)

// Bounds of the number of events that a leader keeps, of some 70 bytes each.
const (
	minEvents   = 256
	maxEvents   = 16384
	eventsPerMB = 32 // events per MB of the process's memory limit
)

// eventCapacity returns the number of events that a leader keeps under a memory limit.
func eventCapacity(memoryMB float64) int {
	return max(minEvents, min(maxEvents, int(memoryMB*eventsPerMB)))
}

// eventFields are the fields of a filter over events.
var eventFields = newListFields(
	map[string]func(*EventView) string{
		"event":   func(event *EventView) string { return event.Kind },
		"id":      func(event *EventView) string { return event.Job },
		"machine": func(event *EventView) string { return event.Machine },
		"note":    func(event *EventView) string { return event.Note },
	},
	map[string]func(*EventView) float64{
		"task":  (*EventView).taskNumber,
		"age_s": func(event *EventView) float64 { return event.AgeS },
	},
)

// EventFilterFields are the names and kinds of the fields of a filter over events.
var EventFilterFields = eventFields.kinds

// taskNumber returns the number of the event's task as filters read it, -1 if the event is not about a task.
func (e *EventView) taskNumber() float64 {
	if e.Task == nil {
		return events.None
	}
	return float64(*e.Task)
}

// maxEventsScanned is the maximum number of events that one request scans, since the scan runs on the event loop.
const maxEventsScanned = 4096

// jobNotInTable is the error about a job that is not in the leader's table. The leader can't distinguish a job that
// was never accepted from an archived one, of which only the answer is stored.
const jobNotInTable = "no such job here: it was never accepted, or it ended and was archived; `job get` shows which"

// handleEventsRequest handles a request for the events from a position on, of one job or of all jobs.
func (c *Controller) handleEventsRequest(now time.Duration, request api.LeaderRequest, reply func(api.Reply)) {
	filter, refusal, refused := c.parseListRequest(now, request, EventFilterFields)
	if refused {
		reply(refusal)
		return
	}
	job := request.Name
	page, isMentioned := c.eventPage(now, request.Query.Since, job, filter)
	if job != "" && !isMentioned && c.jobs.Get(job) == nil {
		reply(api.Refuse(api.NotFound, jobNotInTable))
		return
	}
	reply(api.Reply{Status: http.StatusOK, Body: page})
}

// eventPage returns a page of the events that match a filter, from a position on. If job isn't "", the page has only
// that job's events and starts of terms, and isMentioned reports whether an event was about that job.
func (c *Controller) eventPage(
	now time.Duration,
	since string,
	job string,
	filter query.Filter,
) (page EventPage, isMentioned bool) {
	page = EventPage{
		Term:   c.membership.Term(),
		First:  c.term.fleet.Events.First(),
		Events: []EventView{},
	}
	from := page.First
	if seq, ok := parseEventPosition(since, page.Term); ok {
		from = seq
	}
	scanned := 0
	page.Next = c.term.fleet.Events.Since(from, func(event *events.Event) bool {
		scanned++
		if scanned > maxEventsScanned || len(page.Events) == pageSize {
			page.More = true
			return false
		}
		if job != "" && event.Job != job && event.Kind != events.TermStarted {
			return true
		}
		isMentioned = isMentioned || event.Job == job
		if view := c.eventView(now, event); eventFields.match(filter, &view) {
			page.Events = append(page.Events, view)
		}
		return true
	})
	return page, isMentioned
}

// parseEventPosition parses a position of the form TERM-SEQ from an earlier response. If it is malformed or belongs
// to another term, ok is false, and the caller shows all events that this leader has kept.
func parseEventPosition(position string, term uint64) (seq uint64, ok bool) {
	termText, seqText, isSplit := strings.Cut(position, "-")
	if !isSplit || termText != strconv.FormatUint(term, 10) {
		return 0, false
	}
	seq, err := strconv.ParseUint(seqText, 10, 64)
	return seq, err == nil
}

func (c *Controller) eventView(now time.Duration, event *events.Event) EventView {
	view := EventView{
		Seq:     event.Seq,
		AgeS:    math.Round((now-event.At).Seconds()*1000) / 1000,
		Kind:    event.Kind.String(),
		Attempt: event.Attempt,
		Note:    event.Note,
		Saved:   event.HasCheckpoint,
	}
	if event.Job != "" {
		view.Job = event.Job
		if event.Task != events.None {
			view.Task = &event.Task
		}
	}
	if event.Machine != events.None {
		view.Machine = c.term.fleet.Machines()[event.Machine].Name
	}
	return view
}
