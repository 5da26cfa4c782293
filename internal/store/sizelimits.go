package store

import (
	"log/slog"
	"time"
)

// Limits bounds one transaction: the number of its operations, and the bytes of its largest value. The number of its
// conditions may be at most MaxOps times ConditionsPerOp.
type Limits struct {
	MaxOps        int
	MaxValueBytes int
}

// ConditionsPerOp is the ratio of the state service's limit of conditions to its limit of operations.
const ConditionsPerOp = 4

// The lower bounds of the estimated limits: every state service is assumed to accept them, even after rejections.
const (
	minMaxOps        = 4
	minMaxValueBytes = 1 << 10
)

const (
	// minRaiseDelay is the minimum time without a rejection before one of the limits is raised by a step.
	minRaiseDelay = 20 * time.Second
	// maxRaiseDelay bounds the delay before a raise, which doubles each time a raised limit is rejected.
	maxRaiseDelay = 5 * time.Minute
	// opsRaiseStep is the number of operations by which a raise increases MaxOps.
	opsRaiseStep = 2
)

// requiredLimits returns the smallest limits that allow a transaction. ConditionsPerOp conditions count as one
// operation.
func requiredLimits(txn Txn) Limits {
	conditionOps := (len(txn.If) + ConditionsPerOp - 1) / ConditionsPerOp
	required := Limits{MaxOps: max(len(txn.Then), conditionOps)}
	for _, op := range txn.Then {
		required.MaxValueBytes = max(required.MaxValueBytes, len(op.Value))
	}
	return required
}

// allow reports whether l allows a transaction that requires the given limits.
func (l Limits) allow(required Limits) bool {
	return required.MaxOps <= l.MaxOps && required.MaxValueBytes <= l.MaxValueBytes
}

// limitEstimator estimates the limits of the state service. The estimate equals the configured limits until the
// service rejects a transaction as too large. The service's limits may shrink without notice, and its response does
// not state which limit was exceeded.
//
//	configured  the estimate equals the configured limits; a rejection lowers each limit for which the rejected
//	            transaction required more than was accepted recently
//	lowered     after raiseDelay without a rejection, one limit at a time is raised by a step; a rejection lowers
//	            the limit again, but not below the size that was accepted
type limitEstimator struct {
	configured, current Limits
	accepted            Limits        // largest sizes accepted since the service's limits were last seen to shrink
	rejections          int           // number of rejections since the start
	changedAt           time.Duration // time at which current last changed; 0: never
	raiseDelay          time.Duration // delay from changedAt until the next raise
	lastChangeWasRaise  bool          // the last change of current was a raise
	lastRaiseWasOps     bool          // the last raise was of MaxOps, the next one is of MaxValueBytes
}

func newLimitEstimator(configured Limits) limitEstimator {
	return limitEstimator{configured: configured, current: configured, raiseDelay: minRaiseDelay}
}

// transactionRejected lowers the limits after the service rejected a transaction as too large.
func (e *limitEstimator) transactionRejected(now time.Duration, required Limits) {
	e.rejections++
	if e.accepted.allow(required) {
		e.accepted = Limits{} // the same size was accepted before: the service's limits have shrunk
	}
	before := e.current
	e.lower(required)
	if e.lastChangeWasRaise {
		e.raiseDelay = min(maxRaiseDelay, 2*e.raiseDelay) // the last raise exceeded the service's limit
	}
	e.changedAt = now
	e.lastChangeWasRaise = false
	slog.Warn("transaction limits lowered after a rejection",
		"required_ops", required.MaxOps, "required_value_bytes", required.MaxValueBytes,
		"max_ops_before", before.MaxOps, "max_ops", e.current.MaxOps,
		"max_value_bytes_before", before.MaxValueBytes, "max_value_bytes", e.current.MaxValueBytes)
}

// lower sets each limit to half of the size that a rejected transaction required, but not below the accepted size.
func (e *limitEstimator) lower(required Limits) {
	if required.MaxValueBytes > e.accepted.MaxValueBytes {
		lowered := max(minMaxValueBytes, e.accepted.MaxValueBytes, required.MaxValueBytes/2)
		e.current.MaxValueBytes = min(e.current.MaxValueBytes, lowered)
	}
	if required.MaxOps > e.accepted.MaxOps {
		lowered := max(minMaxOps, e.accepted.MaxOps, required.MaxOps/2)
		e.current.MaxOps = min(e.current.MaxOps, lowered)
	}
}

// transactionAccepted records the size of a transaction that the service did not reject as too large, and raises a
// limit if the raise delay has passed.
func (e *limitEstimator) transactionAccepted(now time.Duration, required Limits) {
	e.accepted.MaxOps = max(e.accepted.MaxOps, required.MaxOps)
	e.accepted.MaxValueBytes = max(e.accepted.MaxValueBytes, required.MaxValueBytes)
	if e.current == e.configured || now-e.changedAt < e.raiseDelay {
		return
	}
	e.changedAt = now
	if e.lastChangeWasRaise {
		e.raiseDelay = max(minRaiseDelay, e.raiseDelay/2) // the previous raise was not rejected
	}
	e.lastChangeWasRaise = true
	e.raise()
}

// raise raises MaxOps and MaxValueBytes in turn, one of them for each call.
func (e *limitEstimator) raise() {
	e.lastRaiseWasOps = !e.lastRaiseWasOps
	if e.lastRaiseWasOps {
		e.current.MaxOps = min(e.configured.MaxOps, e.current.MaxOps+opsRaiseStep)
	} else {
		e.current.MaxValueBytes = min(e.configured.MaxValueBytes, e.current.MaxValueBytes*5/4)
	}
}
