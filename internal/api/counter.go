package api

import (
	"net/http"
	"sync/atomic"
)

// ResponseCounts are the numbers of responses since the start.
type ResponseCounts struct {
	// Served, Busy and Unable count responses to users: neither 429 nor 5xx, 429, and 5xx.
	Served, Busy, Unable uint64
	// Reports and Void count responses to workers' heartbeats: 200, and anything else.
	Reports, Void uint64
}

// ResponseCounter counts responses; connection goroutines use it concurrently. Its zero value is ready, and a nil
// counter counts nothing.
type ResponseCounter struct {
	served, busy, unable, reports, void atomic.Uint64
}

// countUser counts a response to a user.
func (c *ResponseCounter) countUser(status int) {
	switch {
	case c == nil:
	case status == http.StatusTooManyRequests:
		c.busy.Add(1)
	case status >= http.StatusInternalServerError:
		c.unable.Add(1)
	default:
		c.served.Add(1)
	}
}

// countWorker counts a response to a heartbeat.
func (c *ResponseCounter) countWorker(status int) {
	switch {
	case c == nil:
	case status == http.StatusOK:
		c.reports.Add(1)
	default:
		c.void.Add(1)
	}
}

// Read returns the counts so far.
func (c *ResponseCounter) Read() ResponseCounts {
	return ResponseCounts{
		Served:  c.served.Load(),
		Busy:    c.busy.Load(),
		Unable:  c.unable.Load(),
		Reports: c.reports.Load(),
		Void:    c.void.Load(),
	}
}
