package store

import (
	"log/slog"
	"time"
)

// Limits bounds one transaction: the number of its operations and the bytes of its largest value. The state service
// takes ConditionsPerOp conditions for each operation.
type Limits struct {
	MaxOps        int
	MaxValueBytes int
}

// ConditionsPerOp is how many conditions the state service takes for each operation that it takes.
const ConditionsPerOp = 4

// The limits that every state service is assumed to allow, however much it rejects.
const (
	minMaxOps        = 4
	minMaxValueBytes = 1 << 10
)

const (
	// minRaiseDelay is the time without a rejection after which a limit is raised a little.
	minRaiseDelay = 20 * time.Second
	// maxRaiseDelay bounds that time, which doubles each time a raised limit is rejected.
	maxRaiseDelay = 5 * time.Minute
	// raisedOps is how many operations a raise adds.
	raisedOps = 2
)

// requiredLimits returns the smallest limits within which a transaction is. Its conditions count as the operations
// for which the state service takes as many.
func requiredLimits(txn Txn) Limits {
	conditionOps := (len(txn.If) + ConditionsPerOp - 1) / ConditionsPerOp
	required := Limits{MaxOps: max(len(txn.Then), conditionOps)}
	for _, op := range txn.Then {
		required.MaxValueBytes = max(required.MaxValueBytes, len(op.Value))
	}
	return required
}

// allow reports whether a transaction that requires the given limits is within l.
func (l Limits) allow(required Limits) bool {
	return required.MaxOps <= l.MaxOps && required.MaxValueBytes <= l.MaxValueBytes
}

// limitEstimator estimates the limits of the state service. They are those of the settings until the service
// rejects a transaction as too large: its limits may shrink without notice, and the answer does not state which of
// them was exceeded.
//
//	configured  as in the settings; a rejection lowers each limit that the rejected transaction needed and that
//	            was not accepted lately
//	lowered     after a while without rejections one limit at a time is raised a little; a rejection takes it
//	            back to what was accepted
type limitEstimator struct {
	configured, current Limits
	accepted            Limits // the largest accepted since the service was last seen to take less than before
	rejections          int    // since the start
	changedAt           time.Duration
	raiseDelay          time.Duration // from changedAt until the next raise
	raised              bool          // the last change was a raise
	raisedOpsLast       bool          // the last raise was of MaxOps
}

func newLimitEstimator(configured Limits) limitEstimator {
	return limitEstimator{configured: configured, current: configured, raiseDelay: minRaiseDelay}
}

// transactionRejected handles the rejection of a transaction as too large.
func (e *limitEstimator) transactionRejected(now time.Duration, required Limits) {
	e.rejections++
	if e.accepted.allow(required) {
		e.accepted = Limits{} // one as large was accepted before: the service's limits have shrunk
	}
	before := e.current
	e.lower(required)
	if e.raised {
		e.raiseDelay = min(maxRaiseDelay, 2*e.raiseDelay) // the raise was too much
	}
	e.changedAt = now
	e.raised = false
	slog.Warn("transaction limits lowered after a rejection",
		"required_ops", required.MaxOps, "required_value_bytes", required.MaxValueBytes,
		"max_ops_before", before.MaxOps, "max_ops", e.current.MaxOps,
		"max_value_bytes_before", before.MaxValueBytes, "max_value_bytes", e.current.MaxValueBytes)
}

// lower halves what a rejected transaction required, but not below what was accepted.
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

// transactionAccepted handles a transaction that was not rejected for its size.
func (e *limitEstimator) transactionAccepted(now time.Duration, required Limits) {
	e.accepted.MaxOps = max(e.accepted.MaxOps, required.MaxOps)
	e.accepted.MaxValueBytes = max(e.accepted.MaxValueBytes, required.MaxValueBytes)
	if e.current == e.configured || now-e.changedAt < e.raiseDelay {
		return
	}
	e.changedAt = now
	if e.raised {
		e.raiseDelay = max(minRaiseDelay, e.raiseDelay/2) // the raise before was accepted
	}
	e.raised = true
	e.raise()
}

// raise raises one limit, alternately.
func (e *limitEstimator) raise() {
	e.raisedOpsLast = !e.raisedOpsLast
	if e.raisedOpsLast {
		e.current.MaxOps = min(e.configured.MaxOps, e.current.MaxOps+raisedOps)
	} else {
		e.current.MaxValueBytes = min(e.configured.MaxValueBytes, e.current.MaxValueBytes*5/4)
	}
}
