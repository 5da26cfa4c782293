// Package store is the client of the state service, a consensus-backed key-value store: compare-and-swap
// transactions, reads, leases, watches, and a cache that follows all keys with a prefix.
//
// The package owns the load on the service. Requests stay within a rate budget in which leases have the
// highest priority, and transactions within size limits that are lowered when the service accepts less than the
// settings allow. It never retries a request and never decides what an indeterminate outcome means: both are up to
// its callers. It starts no goroutine and reads no clock of its own: requests go out through an httpio.Sender,
// and every callback runs on the event loop, which also makes every call.
//
// It is called by the controller, membership, the submission API, the fleet's writer and the archive.
package store

import (
	"net/http"
	"time"

	"github.com/harewalk/harewalk/internal/httpio"
)

// Client sends requests to the state service. It belongs to the event loop: no method may be called from elsewhere.
type Client struct {
	addr          string
	sender        httpio.Sender
	now           func() time.Duration
	share         Share
	requestBudget *Budget
	writeBudget   *Budget
	limits        limitEstimator
	throttle      writeThrottle
	txnEncoder    txnEncoder
	lastSuccess   time.Duration
	lastResponse  time.Duration

	requestsSent, writesSent uint64
}

// Share is the part of the service's rate limits that a controller may use: requests and writes per second, and how
// many seconds' worth of them may be used at once.
type Share struct{ RPS, WriteRPS, BurstSeconds float64 }

// New returns a client for the state service at addr that uses share of its rates and keeps transactions within
// limits. now is the steady clock.
func New(addr string, sender httpio.Sender, now func() time.Duration, share Share, limits Limits) *Client {
	return &Client{
		addr:          addr,
		sender:        sender,
		now:           now,
		share:         share,
		requestBudget: NewBudget(share.RPS, share.BurstSeconds),
		writeBudget:   NewBudget(share.WriteRPS, share.BurstSeconds),
		limits:        newLimitEstimator(limits),
		throttle:      newWriteThrottle(),
		txnEncoder:    newTxnEncoder(),
	}
}

// SetShare changes the rates, for example on becoming leader.
func (c *Client) SetShare(share Share) {
	now := c.now()
	c.share = share
	c.requestBudget.SetRate(now, share.RPS, share.BurstSeconds)
	c.adjustWriteRate(now)
}

// adjustWriteRate sets the rate of writes to what the service lets through.
func (c *Client) adjustWriteRate(now time.Duration) {
	if rate := c.share.WriteRPS * c.throttle.recoveredFactor(now); rate != c.writeBudget.rate {
		c.writeBudget.SetRate(now, rate, c.share.BurstSeconds)
	}
}

// Now returns the time of the steady clock.
func (c *Client) Now() time.Duration { return c.now() }

// Limits returns the limits within which transactions are to be kept now.
func (c *Client) Limits() Limits { return c.limits.current }

// Sent returns how many requests were sent since the start, and how many writes were in them.
func (c *Client) Sent() (requests, writes uint64) { return c.requestsSent, c.writesSent }

// Rejections returns how many requests the service rejected since the start: transactions as too large, and writes
// beyond its rate.
func (c *Client) Rejections() (size, rate int) { return c.limits.rejections, c.throttle.rejections }

// LastResponse returns when the service last answered anything, rejections included.
func (c *Client) LastResponse() time.Duration { return c.lastResponse }

// LastSuccess returns when the service last carried out a request of this client.
func (c *Client) LastSuccess() time.Duration { return c.lastSuccess }

// CanWrite reports whether a transaction with n writes would be within the budget now.
func (c *Client) CanWrite(n int, priority Priority) bool {
	now := c.now()
	return c.requestBudget.Allows(now, 1, priority) && (n == 0 || c.writeBudget.Allows(now, float64(n), priority))
}

// HasSpareWrites reports whether half of the budget for writes is unused.
func (c *Client) HasSpareWrites() bool { return c.writeBudget.allowsHalf(c.now(), 0) }

// HasSpareWritesFor reports whether half of the budget for writes would be unused after n more.
func (c *Client) HasSpareWritesFor(n int) bool {
	now := c.now()
	return c.requestBudget.Allows(now, 1, BulkPriority) && c.writeBudget.allowsHalf(now, float64(n))
}

// WriteRate returns how many writes per second the budget allows.
func (c *Client) WriteRate() float64 { return c.writeBudget.rate }

// call sends a request with a number of writes in it, or answers it with ErrOverBudget at once.
func (c *Client) call(request httpio.Request, writes int, priority Priority, done func(httpio.Response)) {
	c.adjustWriteRate(c.now())
	if !c.CanWrite(writes, priority) {
		done(httpio.Response{Err: ErrOverBudget, Refused: true})
		return
	}
	c.requestBudget.Take(1)
	c.writeBudget.Take(float64(writes))
	c.requestsSent++
	c.writesSent += uint64(writes)
	c.sender.Send(c.addr, request, func(response httpio.Response) {
		c.recordResponse(response, writes)
		done(response)
	})
}

// recordResponse updates when the service last answered and the rate at which it takes writes.
func (c *Client) recordResponse(response httpio.Response, writes int) {
	if response.Err != nil {
		return
	}
	now := c.now()
	c.lastResponse = now
	switch response.Status {
	case http.StatusServiceUnavailable:
	case http.StatusTooManyRequests:
		if writes > 0 {
			c.throttle.rejected(now)
			c.adjustWriteRate(now)
		}
	default:
		c.lastSuccess = now
	}
}
