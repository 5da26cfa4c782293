package api

import (
	"net/http"
	"sync/atomic"
)

// ResponseCounts are the numbers of responses since the process started.
type ResponseCounts struct {
	Served            uint64 // responses to users with any status but 429 and 5xx
	TooManyRequests   uint64 // responses to users with status 429
	ServerErrors      uint64 // responses to users with status 5xx
	Heartbeats        uint64 // responses to workers with status 200
	HeartbeatsRefused uint64 // responses to workers with any other status
}

// ResponseCounter counts responses. It is safe for concurrent use. Its zero value is ready for use, and a nil counter
// counts nothing.
type ResponseCounter struct {
	served, tooManyRequests, serverErrors atomic.Uint64 // responses to users
	heartbeats, heartbeatsRefused         atomic.Uint64 // to workers
}

// countUser counts a response to a user.
func (c *ResponseCounter) countUser(status int) {
	switch {
	case c == nil:
	case status == http.StatusTooManyRequests:
		c.tooManyRequests.Add(1)
	case status >= http.StatusInternalServerError:
		c.serverErrors.Add(1)
	default:
		c.served.Add(1)
	}
}

// countWorker counts a response to a heartbeat.
func (c *ResponseCounter) countWorker(status int) {
	switch {
	case c == nil:
	case status == http.StatusOK:
		c.heartbeats.Add(1)
	default:
		c.heartbeatsRefused.Add(1)
	}
}

// Read returns the counts so far.
func (c *ResponseCounter) Read() ResponseCounts {
	return ResponseCounts{
		Served:            c.served.Load(),
		TooManyRequests:   c.tooManyRequests.Load(),
		ServerErrors:      c.serverErrors.Load(),
		Heartbeats:        c.heartbeats.Load(),
		HeartbeatsRefused: c.heartbeatsRefused.Load(),
	}
}
