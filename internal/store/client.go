// Package store is the client of the state service, a consensus-backed key-value store: compare-and-swap
// transactions, reads, leases, watches, and a cache that follows all keys with a prefix.
//
// The package limits the load on the service. Requests stay within a rate budget in which leases have the highest
// priority. Transactions stay within size limits, which are lowered when the service accepts less than the settings
// allow. The package never retries a request and never interprets an indeterminate outcome: both are up to its
// callers. It starts no goroutine and reads no clock of its own. Requests go out through an httpio.Sender. All calls
// are made on the event loop, and all callbacks run there.
//
// The callers are the controller, membership, the submission API, the fleet's writer and the archive.
package store

import (
	"net/http"
	"time"

	"github.com/harewalk/harewalk/internal/httpio"
)

// Client sends requests to the state service. Its methods may be called only on the event loop.
type Client struct {
	addr          string
	sender        httpio.Sender
	now           func() time.Duration
	share         RateShare
	requestBudget *Budget
	writeBudget   *Budget
	limits        limitEstimator
	throttle      writeThrottle
	txnEncoder    txnEncoder
	lastSuccess   time.Duration // steady clock; 0: none yet
	lastResponse  time.Duration // steady clock; 0: none yet

	requestsSent, writesSent uint64 // since the start
}

// RateShare is the part of the service's rate limits that one controller may use: requests and writes per second, and
// the length of the largest burst, in seconds at these rates.
type RateShare struct{ RPS, WriteRPS, BurstSeconds float64 }

// New returns a client for the state service at addr that stays within share of the service's rates. limits are the
// configured limits of a transaction. now reads the steady clock.
func New(addr string, sender httpio.Sender, now func() time.Duration, share RateShare, limits TxnLimits) *Client {
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

// SetShare changes the rates, for example when the controller becomes leader.
func (c *Client) SetShare(share RateShare) {
	now := c.now()
	c.share = share
	c.requestBudget.SetRate(now, share.RPS, share.BurstSeconds)
	c.adjustWriteRate(now)
}

// adjustWriteRate sets the write budget to the configured rate times the throttle's factor.
func (c *Client) adjustWriteRate(now time.Duration) {
	if rate := c.share.WriteRPS * c.throttle.recoveredFactor(now); rate != c.writeBudget.rate {
		c.writeBudget.SetRate(now, rate, c.share.BurstSeconds)
	}
}

// Now returns the time of the steady clock.
func (c *Client) Now() time.Duration { return c.now() }

// Limits returns the current limits of a transaction, which may be below the configured ones.
func (c *Client) Limits() TxnLimits { return c.limits.current }

// RequestCounts returns the number of requests sent since the start, and the number of writes in them.
func (c *Client) RequestCounts() (requests, writes uint64) { return c.requestsSent, c.writesSent }

// Rejections returns how many requests the service has rejected since the start: size counts transactions that were
// too large, rate counts requests with writes beyond the rate limit.
func (c *Client) Rejections() (size, rate int) { return c.limits.rejections, c.throttle.rejections }

// LastResponse returns the time of the service's last response, whatever its status, or 0 before the first one.
func (c *Client) LastResponse() time.Duration { return c.lastResponse }

// LastSuccess returns the time of the service's last response with a status other than 429 and 503, or 0 before the
// first one.
func (c *Client) LastSuccess() time.Duration { return c.lastSuccess }

// CanWrite reports whether a transaction with n writes would be within the budget now.
func (c *Client) CanWrite(n int, priority Priority) bool {
	now := c.now()
	return c.requestBudget.Allows(now, 1, priority) && (n == 0 || c.writeBudget.Allows(now, float64(n), priority))
}

// HasSpareWrites reports whether at least half of the write budget's capacity is left.
func (c *Client) HasSpareWrites() bool { return c.writeBudget.leavesHalf(c.now(), 0) }

// HasSpareWritesFor reports whether the budget allows a bulk request now, and at least half of the write budget's
// capacity would be left after n writes. If n is more than half of the capacity, the write budget has to be full.
func (c *Client) HasSpareWritesFor(n int) bool {
	now := c.now()
	return c.requestBudget.Allows(now, 1, BulkPriority) && c.writeBudget.leavesHalf(now, float64(n))
}

// WriteRate returns the refill rate of the write budget, in writes per second.
func (c *Client) WriteRate() float64 { return c.writeBudget.rate }

// call sends a request that contains the given number of writes. If the request exceeds the budget, it is not sent and
// done gets ErrOverBudget at once.
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

// recordResponse updates the times of the last response and success, and the write rate.
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
			c.throttle.writeRejected(now)
			c.adjustWriteRate(now)
		}
	default:
		c.lastSuccess = now
	}
}
