package store

import (
	"testing"
	"time"
)

// throttleTrial writes at the throttled rate to a service that takes a rate of its own, with bursts of a second.
type throttleTrial struct {
	throttle writeThrottle
	now      time.Duration
	backlog  float64 // writes in the service's bucket
}

// run writes for a duration at the share (writes per second) that the throttle leaves, and counts writes accepted
// and rejected by a service that takes serviceRate writes per second.
func (r *throttleTrial) run(share, serviceRate float64, duration time.Duration) (accepted, rejected float64) {
	for end := r.now + duration; r.now < end; r.now += 100 * time.Millisecond {
		r.backlog = max(0, r.backlog-serviceRate/10)
		writes := share * r.throttle.recoveredFactor(r.now) / 10
		if r.backlog+writes > serviceRate {
			r.throttle.rejected(r.now)
			rejected += writes
			continue
		}
		r.backlog += writes
		accepted += writes
	}
	return accepted, rejected
}

// The rate of writes shrinks to about what the service takes, and grows back.
func TestWriteRateFollowsTheService(t *testing.T) {
	const share, serviceRate = 30.0, 21.0
	trial := throttleTrial{throttle: newWriteThrottle()}
	trial.run(share, serviceRate, 30*time.Second)
	accepted, rejected := trial.run(share, serviceRate, time.Minute)
	if accepted < 0.8*serviceRate*60 || rejected > 0.2*accepted {
		t.Errorf("%.0f writes accepted in a minute of %.0f, %.0f rejected", accepted, serviceRate*60, rejected)
	}
	trial.run(share, share*2, time.Minute)
	if trial.throttle.factor != 1 {
		t.Errorf("%.2f of the share is used where all would be accepted", trial.throttle.factor)
	}
}
