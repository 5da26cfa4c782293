package store

import (
	"testing"
	"time"
)

// throttleTrial sends writes at the throttled rate to a service with a rate limit. The service accepts bursts of one
// second.
type throttleTrial struct {
	throttle writeThrottle
	now      time.Duration
	backlog  float64 // writes that the service has accepted and its rate limit has not yet covered
}

// run sends writes for a duration, at share times the throttle's factor, in writes per second. It returns the number
// of writes accepted and rejected by a service with a limit of serviceRate writes per second.
func (r *throttleTrial) run(share, serviceRate float64, duration time.Duration) (accepted, rejected float64) {
	for end := r.now + duration; r.now < end; r.now += 100 * time.Millisecond {
		r.backlog = max(0, r.backlog-serviceRate/10)
		writes := share * r.throttle.recoveredFactor(r.now) / 10
		if r.backlog+writes > serviceRate {
			r.throttle.writeRejected(r.now)
			rejected += writes
			continue
		}
		r.backlog += writes
		accepted += writes
	}
	return accepted, rejected
}

// The write rate falls to about the rate that the service accepts, and returns to the configured rate once the service
// accepts that.
func TestWriteRateFollowsTheService(t *testing.T) {
	const share, serviceRate = 30.0, 21.0
	trial := throttleTrial{throttle: newWriteThrottle()}
	trial.run(share, serviceRate, 30*time.Second)
	accepted, rejected := trial.run(share, serviceRate, time.Minute)
	if accepted < 0.8*serviceRate*60 || rejected > 0.2*accepted {
		t.Errorf("got %.0f of %.0f writes accepted in a minute, %.0f rejected; want 80%% accepted, a fifth of that rejected",
			accepted, serviceRate*60, rejected)
	}
	trial.run(share, share*2, time.Minute)
	if trial.throttle.factor != 1 {
		t.Errorf("got rate factor %.2f a minute after the service's rate limit was raised above the share, want 1",
			trial.throttle.factor)
	}
}
