package store

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/harewalk/harewalk/internal/httpio"
)

const (
	txnTimeout = 2 * time.Second
	// maxTxnBytes is the largest request body that the state service accepts.
	maxTxnBytes = 64 << 10
	// noSuchLease is the service's error text if a lease in the transaction has expired.
	noSuchLease = "no such lease"
)

// Txn sends one transaction without retries, and calls done with its result exactly once. The outcome is NotApplied if
// the transaction can't be encoded, is larger than the service accepts, or exceeds the budget.
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

// recordSize updates the size limits after a response. required are the smallest limits that allow the transaction.
func (c *Client) recordSize(required TxnLimits, response httpio.Response, outcome Outcome) {
	switch {
	case outcome == Committed || outcome == Conflict:
		c.limits.transactionAccepted(c.now(), required)
	case hasStatus(response, http.StatusBadRequest) && outcome != LeaseExpired:
		c.limits.transactionRejected(c.now(), required)
	}
}

// parseTxnResponse returns the result of a transaction. The outcome is Indeterminate if the transaction may have been
// applied, or may still be.
func parseTxnResponse(response httpio.Response) Result {
	switch {
	case response.Refused:
		return Result{Outcome: NotApplied}
	case response.Err != nil:
		return Result{Outcome: Indeterminate}
	}
	var body txnResponse
	// An unreadable body leaves out only details: the outcome follows from the status. The one exception is an expired
	// lease, which is then reported as NotApplied.
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
