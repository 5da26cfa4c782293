package store

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/harewalk/harewalk/internal/httpio"
)

const (
	txnTimeout = 2 * time.Second
	// maxTxnBytes is the largest request body that the state service reads.
	maxTxnBytes = 64 << 10
	// noSuchLease is the service's error text for a transaction that names a lease which has expired.
	noSuchLease = "no such lease"
)

// Txn sends one transaction and calls done with its result, exactly once. It is not retried. One that can't be
// encoded, is larger than the service reads or exceeds the budget is NotApplied.
func (c *Client) Txn(txn Txn, priority Priority, done func(Result)) {
	body, err := c.txnEncoder.encode(txn)
	if err != nil || len(body) > maxTxnBytes {
		done(Result{Outcome: NotApplied})
		return
	}
	request := httpio.Request{Method: http.MethodPost, Path: "/txn", Body: body, Timeout: txnTimeout}
	c.call(request, len(txn.Then), priority, func(response httpio.Response) {
		result := parseTxnResponse(response)
		c.recordSize(requiredLimits(txn), response, result.Outcome)
		done(result)
	})
}

// recordSize updates the size limits by whether the service took a transaction of a size.
func (c *Client) recordSize(required Limits, response httpio.Response, outcome Outcome) {
	switch {
	case outcome == Committed || outcome == Conflict:
		c.limits.transactionAccepted(c.now(), required)
	case hasStatus(response, http.StatusBadRequest) && outcome != LeaseExpired:
		c.limits.transactionRejected(c.now(), required)
	}
}

// parseTxnResponse returns the result that a response stands for. Everything that doesn't rule out that the
// transaction was or will be applied is Indeterminate.
func parseTxnResponse(response httpio.Response) Result {
	switch {
	case response.Refused:
		return Result{Outcome: NotApplied}
	case response.Err != nil:
		return Result{Outcome: Indeterminate}
	}
	var body txnResponse
	// The status alone decides on the outcome, so an unreadable body only lacks detail.
	_ = json.Unmarshal(response.Body, &body)
	switch response.Status {
	case http.StatusOK:
		return Result{Outcome: Committed, Revision: body.Revision}
	case http.StatusConflict:
		return Result{Outcome: Conflict, Revision: body.Revision, FailedKeys: body.Failed}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return Result{Outcome: NotApplied}
	case http.StatusBadRequest:
		if body.Error == noSuchLease {
			return Result{Outcome: LeaseExpired}
		}
		return Result{Outcome: NotApplied}
	}
	return Result{Outcome: Indeterminate}
}
