package store

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/httpio"
)

// limitsTrial runs a limit estimator against a service of changing limits.
type limitsTrial struct {
	estimator limitEstimator
	now       time.Duration
}

// run writes for a duration to a service that takes what is within the limits given, and counts its rejections.
func (r *limitsTrial) run(service Limits, duration time.Duration) (rejections int) {
	for end := r.now + duration; r.now < end; r.now += time.Second {
		current := r.estimator.current
		// What is written is as large as allowed, or smaller.
		for _, required := range []Limits{
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

// A service takes less from one moment on: after a few rejections everything fits, none follows but for rare tries,
// and once it takes as much as before it is used in full again.
func TestTransactionLimitsFollowTheService(t *testing.T) {
	configured := Limits{MaxOps: 24, MaxValueBytes: 8 << 10}
	for _, small := range []Limits{{8, 2 << 10}, {24, 1 << 10}, {5, 8 << 10}, {4, 1 << 10}} {
		trial := limitsTrial{estimator: newLimitEstimator(configured)}
		current := &trial.estimator.current
		if n := trial.run(configured, time.Minute); n != 0 || *current != configured {
			t.Errorf("%d rejections, %v, while all is accepted", n, *current)
		}
		if n := trial.run(small, 5*time.Second); n > 12 || !small.allow(*current) {
			t.Errorf("%v: %d rejections at first, then %v", small, n, *current)
		}
		n := trial.run(small, 30*time.Minute)
		if n > 60 || current.MaxOps < small.MaxOps/2 || current.MaxValueBytes < small.MaxValueBytes/2 {
			t.Errorf("%v: %d rejections in half an hour, %v", small, n, *current)
		}
		if trial.run(configured, 12*time.Hour); *current != configured {
			t.Errorf("%v: all is accepted again for hours, and %v is used", small, *current)
		}
	}
}

// decodeTxn reads the body of a transaction's request.
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

// limitedService is a state service that takes no transaction beyond its limits.
type limitedService struct{ limits Limits }

func (s *limitedService) Send(_ string, request httpio.Request, done func(httpio.Response)) {
	if !s.limits.allow(requiredLimits(decodeTxn(request.Body))) {
		done(httpio.Response{Status: 400, Body: []byte(`{"error":"too large"}`)})
		return
	}
	done(httpio.Response{Status: 200, Body: []byte(`{"epoch":1}`)})
}

// A transaction that is rejected for its size wasn't applied, and the limits are lowered; conditions count too.
func TestOversizedTransactionLowersTheLimits(t *testing.T) {
	service := &limitedService{limits: Limits{MaxOps: 8, MaxValueBytes: 2 << 10}}
	client := New(
		"",
		service,
		func() time.Duration { return 0 },
		Share{RPS: 1e6, WriteRPS: 1e6, BurstSeconds: 1},
		Limits{MaxOps: 24, MaxValueBytes: 8 << 10},
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
			t.Errorf("outcome %s, limits %v", outcome, client.Limits())
		}
	}
	if size, _ := client.Rejections(); size != 2 {
		t.Errorf("%d rejections", size)
	}
	if limits := client.Limits(); limits.MaxOps > 12 || limits.MaxValueBytes > 3000 {
		t.Errorf("limits %v", limits)
	}
}
