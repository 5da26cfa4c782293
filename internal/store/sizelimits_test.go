package store

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/httpio"
)

// limitsTrial runs a limit estimator against a service whose limits change.
type limitsTrial struct {
	estimator limitEstimator
	now       time.Duration
}

// run sends transactions for a duration to a service with the given limits, and returns the number of rejections.
func (r *limitsTrial) run(service TxnLimits, duration time.Duration) (rejections int) {
	for end := r.now + duration; r.now < end; r.now += time.Second {
		current := r.estimator.current
		// The transactions are at or below the estimated limits.
		for _, required := range []TxnLimits{
			current,
			{current.MaxOps / 2, current.MaxValueBytes},
			{current.MaxOps, current.MaxValueBytes / 3},
			{1, 200},
		} {
			if service.allow(required) {
				r.estimator.transactionAccepted(r.now, required)
			} else {
				r.estimator.transactionRejected(r.now, required)
				rejections++
			}
		}
	}
	return rejections
}

// A service's limits shrink. After a few rejections the estimate is within the service's limits, and later rejections
// come only from occasional raises. Once the service's limits are restored, the estimate returns to the configured
// ones.
func TestTransactionLimitsFollowTheService(t *testing.T) {
	configured := TxnLimits{MaxOps: 24, MaxValueBytes: 8 << 10}
	for _, small := range []TxnLimits{{8, 2 << 10}, {24, 1 << 10}, {5, 8 << 10}, {4, 1 << 10}} {
		trial := limitsTrial{estimator: newLimitEstimator(configured)}
		current := &trial.estimator.current
		if n := trial.run(configured, time.Minute); n != 0 || *current != configured {
			t.Errorf("service at the configured limits: got %d rejections and limits %v, want none and no change", n, *current)
		}
		if n := trial.run(small, 5*time.Second); n > 12 || !small.allow(*current) {
			t.Errorf("service limits %v: got %d rejections in 5 s, limits %v; want at most 12, within", small, n, *current)
		}
		n := trial.run(small, 30*time.Minute)
		if n > 60 || current.MaxOps < small.MaxOps/2 || current.MaxValueBytes < small.MaxValueBytes/2 {
			t.Errorf("service limits %v: got %d rejections in 30 min, limits %v; want at most 60, at least half",
				small, n, *current)
		}
		if trial.run(configured, 12*time.Hour); *current != configured {
			t.Errorf("12 h after the service's limits %v were lifted: got limits %v, want the configured ones", small, *current)
		}
	}
}

// decodeTxn decodes the request body of a transaction.
func decodeTxn(body []byte) Txn {
	var request txnRequest
	_ = json.Unmarshal(body, &request)
	var txn Txn
	for _, condition := range request.If {
		txn.If = append(txn.If, Condition(condition))
	}
	for _, op := range request.Then {
		txn.Then = append(txn.Then, Op(op))
	}
	return txn
}

// limitedService is a state service that rejects every transaction beyond its limits.
type limitedService struct{ limits TxnLimits }

func (s *limitedService) Send(_ string, request httpio.Request, done func(httpio.Response)) {
	if !s.limits.allow(requiredLimits(decodeTxn(request.Body))) {
		done(httpio.Response{Status: 400, Body: []byte(`{"error":"too large"}`)})
		return
	}
	done(httpio.Response{Status: 200, Body: []byte(`{"epoch":1}`)})
}

// A transaction that the service rejects as too large is NotApplied, and the limits are lowered. The number of
// conditions counts as well as the size of values.
func TestOversizedTransactionLowersTheLimits(t *testing.T) {
	service := &limitedService{limits: TxnLimits{MaxOps: 8, MaxValueBytes: 2 << 10}}
	client := New(
		"",
		service,
		func() time.Duration { return 0 },
		RateShare{RPS: 1e6, WriteRPS: 1e6, BurstSeconds: 1},
		TxnLimits{MaxOps: 24, MaxValueBytes: 8 << 10},
	)
	manyConditions := Txn{}
	for range 90 {
		manyConditions.If = append(manyConditions.If, Condition{Key: "k"})
	}
	largeValue := Txn{Then: []Op{
		{Put: "k", Value: json.RawMessage("1")},
		{Put: "l", Value: bytes.Repeat([]byte("7"), 6000)},
	}}
	for _, txn := range []Txn{manyConditions, largeValue} {
		before := client.Limits()
		var outcome Outcome = 99
		client.Txn(txn, NormalPriority, func(result Result) { outcome = result.Outcome })
		if outcome != NotApplied || client.Limits() == before {
			t.Errorf("got outcome %s and limits %v, want not applied and lower limits", outcome, client.Limits())
		}
	}
	if size, _ := client.Rejections(); size != 2 {
		t.Errorf("got %d rejections for size, want 2", size)
	}
	if limits := client.Limits(); limits.MaxOps > 12 || limits.MaxValueBytes > 3000 {
		t.Errorf("got limits %v, want at most 12 operations and 3,000 bytes", limits)
	}
}
