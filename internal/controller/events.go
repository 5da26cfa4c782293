package controller

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/harewalk/harewalk/internal/api"
	"github.com/harewalk/harewalk/internal/events"
	"github.com/harewalk/harewalk/internal/query"
)

// eventCapacity bounds the events a leader keeps: some 70 bytes each, by the memory it may use.
func eventCapacity(memoryMB float64) int { return max(256, min(16384, int(memoryMB*32))) }

// EventView is one event as it is told.
type EventView struct {
	Seq     uint64  `json:"seq"`
	AgeS    float64 `json:"age_s"`
	Kind    string  `json:"event"`
	Job     string  `json:"name_id,omitempty"`
	Task    *int32  `json:"task,omitempty"`
	Machine string  `json:"machine,omitempty"`
	Attempt uint64  `json:"attempt,omitempty"`
	Note    string  `json:"note,omitempty"`
	Saved   bool    `json:"saved,omitempty"`
}

// EventPage is a page of events. First is the oldest that is kept, Next where to go on: both count
// within the term.
type EventPage struct {
	Term   uint64      `json:"term"`
	First  uint64      `json:"first"`
	Next   uint64      `json:"next"`
	Events []EventView `json:"events"`
	More   bool        `json:"has_next"`
}

// EventFields are the fields of a filter over events.
var EventFields = query.Fields{"event": query.Text, "id": query.Text, "machine": query.Text, "note": query.Text, "task": query.Number, "age_s": query.Number}

// Text implements query.Row.
func (h *EventView) Text(field string) string {
	switch field {
	case "event":
		return h.Kind
	case "id":
		return h.Job
	case "machine":
		return h.Machine
	}
	return h.Note
}

// Number implements query.Row.
func (h *EventView) Number(field string) float64 {
	switch {
	case field == "age_s":
		return h.AgeS
	case h.Task == nil:
		return -1
	}
	return float64(*h.Task)
}

// maxEventsScanned bounds the events that one question looks at, on the event loop.
const maxEventsScanned = 4096

// eventsCall tells what happened from a number on: TERM-SEQ, from an earlier answer. A number of
// another term is void: everything this leader has kept is told.
func (c *Controller) eventsCall(now time.Duration, request api.LeaderRequest, reply func(api.Reply)) {
	f, ok := parseFilter(request, EventFields, reply)
	if !ok {
		return
	}
	only := request.Name
	if !c.allowList(now) {
		reply(api.Refuse(api.TooManyRequests, "too many lists"))
		return
	}
	out := EventPage{Term: c.membership.Term(), First: c.term.fleet.Events.First(), Events: []EventView{}}
	from := out.First
	if term, seq, ok := strings.Cut(request.Query["since"], "-"); ok && term == fmt.Sprint(out.Term) {
		if n, err := strconv.ParseUint(seq, 10, 64); err == nil {
			from = n
		}
	}
	looks, about := 0, false
	out.Next = c.term.fleet.Events.Since(from, func(e *events.Event) bool {
		if looks++; looks > maxEventsScanned || len(out.Events) == pageSize {
			out.More = true
			return false
		}
		if only != "" && e.Job != only && e.Kind != events.Term {
			return true
		}
		about = about || e.Job == only
		if h := c.eventView(now, e); f.Match(&h, EventFields) {
			out.Events = append(out.Events, h)
		}
		return true
	})
	if only != "" && !about && c.jobs.Get(only) == nil {
		reply(api.Refuse(api.NotFound, jobNotInTable))
		return
	}
	reply(api.Reply{Status: 200, Body: out})
}

// jobNotInTable is told of a job that the leader's table lacks: it can't tell a job that was never accepted from an archived
// one, of which only the answer is kept.
const jobNotInTable = "no such job here: it was never accepted, or has ended and was archived; `job get` tells which"

func (c *Controller) eventView(now time.Duration, e *events.Event) EventView {
	h := EventView{Seq: e.Seq, AgeS: math.Round((now-e.At).Seconds()*1000) / 1000, Kind: e.Kind.String(), Attempt: e.Attempt, Note: e.Note, Saved: e.Saved}
	if e.Job != "" {
		h.Job = e.Job
		if e.Task != events.None {
			h.Task = &e.Task
		}
	}
	if e.Machine != events.None {
		h.Machine = c.term.fleet.Machines()[e.Machine].Name
	}
	return h
}
