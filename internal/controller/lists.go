package controller

import (
	"time"

	"github.com/harewalk/harewalk/internal/api"
	"github.com/harewalk/harewalk/internal/query"
)

// This file holds the code that the lists of jobs and of events share: filters, page size and rate limit.

const (
	// listInterval is the minimum time between two lists: each scans all jobs in memory, on the event loop.
	listInterval = 100 * time.Millisecond
	// pageSize is the maximum number of entries in a page. It keeps the response within the maximum body size.
	pageSize = 200
)

// listFields are the fields that a filter over list entries may use, by name: their kinds, and the functions that
// read their values.
type listFields[Entry any] struct {
	kinds   query.Fields
	texts   map[string]func(*Entry) string
	numbers map[string]func(*Entry) float64
}

// newListFields returns the text and number fields whose values the given functions read.
func newListFields[Entry any](
	texts map[string]func(*Entry) string,
	numbers map[string]func(*Entry) float64,
) *listFields[Entry] {
	kinds := query.Fields{}
	for name := range texts {
		kinds[name] = query.Text
	}
	for name := range numbers {
		kinds[name] = query.Number
	}
	return &listFields[Entry]{kinds, texts, numbers}
}

// match reports whether an entry matches a filter over these fields.
func (f *listFields[Entry]) match(filter query.Filter, entry *Entry) bool {
	return filter.Match(listRow[Entry]{f, entry}, f.kinds)
}

// listRow adapts a list entry to query.Row.
type listRow[Entry any] struct {
	fields *listFields[Entry]
	entry  *Entry
}

// Text implements query.Row.
func (r listRow[Entry]) Text(field string) string { return r.fields.texts[field](r.entry) }

// Number implements query.Row.
func (r listRow[Entry]) Number(field string) float64 { return r.fields.numbers[field](r.entry) }

// listLimiter limits the rate of lists. The zero value allows the first list.
type listLimiter struct{ lastListAt time.Duration }

// allow reports whether a list may be made now and, if so, records the time.
func (l *listLimiter) allow(now time.Duration) bool {
	if l.lastListAt > 0 && now-l.lastListAt < listInterval {
		return false
	}
	l.lastListAt = now
	return true
}

// parseListRequest returns the filter of a request for a list. If the filter is malformed or lists are requested too
// often, refused is true and refusal is the response. A malformed request doesn't count towards the rate.
func (c *Controller) parseListRequest(
	now time.Duration,
	request api.LeaderRequest,
	fields query.Fields,
) (filter query.Filter, refusal api.Reply, refused bool) {
	filter, err := query.Parse(request.Query.Where, fields)
	if err != nil {
		return filter, api.Refuse(api.InvalidRequest, "where: "+err.Error()), true
	}
	if !c.listLimiter.allow(now) {
		return filter, api.Refuse(api.TooManyRequests, "too many list requests"), true
	}
	return filter, api.Reply{}, false
}
