package controller

import (
	"time"

	"github.com/harewalk/harewalk/internal/api"
	"github.com/harewalk/harewalk/internal/query"
)

// This file holds what the lists of jobs and of events have in common: their filters, pages and rate.

const (
	// listInterval spaces the lists that are made: each goes through every job in memory, on the event loop.
	listInterval = 100 * time.Millisecond
	// pageSize bounds a page: it stays within the largest body that users get.
	pageSize = 200
)

// listFields are the fields of a filter over the entries of a list, by name: their kinds, and how the value of each is
// read.
type listFields[Entry any] struct {
	kinds   query.Fields
	texts   map[string]func(*Entry) string
	numbers map[string]func(*Entry) float64
}

// newListFields returns fields by how their values are read.
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

// listRow is an entry of a list as a filter reads it.
type listRow[Entry any] struct {
	fields *listFields[Entry]
	entry  *Entry
}

// Text implements query.Row.
func (r listRow[Entry]) Text(field string) string { return r.fields.texts[field](r.entry) }

// Number implements query.Row.
func (r listRow[Entry]) Number(field string) float64 { return r.fields.numbers[field](r.entry) }

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

// startList returns the filter of a request for a list, or the refusal if that is malformed or lists are requested too
// often. A malformed request doesn't count as a list.
func (c *Controller) startList(
	now time.Duration,
	request api.LeaderRequest,
	fields query.Fields,
) (filter query.Filter, refusal api.Reply, refused bool) {
	filter, err := query.Parse(request.Query.Where, fields)
	if err != nil {
		return filter, api.Refuse(api.InvalidRequest, "where: "+err.Error()), true
	}
	if !c.listLimiter.allow(now) {
		return filter, api.Refuse(api.TooManyRequests, "too many lists"), true
	}
	return filter, api.Reply{}, false
}
