package store

import (
	"log/slog"
	"time"
)

const (
	// throttleDecrease multiplies the write rate after each burst of rejections.
	throttleDecrease = 0.8
	// minThrottleFactor bounds the decrease.
	minThrottleFactor = 0.2
	// throttleRecoveryPerSecond is the fraction of the configured rate that is regained each second.
	throttleRecoveryPerSecond = 0.02
	// throttleRecoveryDelay is for how long after a rejection nothing is regained.
	throttleRecoveryDelay = time.Second
	// minDecreaseInterval is the minimum time between two decreases: the rejections of one burst count once.
	minDecreaseInterval = 500 * time.Millisecond
)

// writeThrottle lowers the rate of writes where the state service takes fewer than the settings allow, and raises
// it again step by step: multiplicative decrease, additive increase.
type writeThrottle struct {
	factor     float64       // fraction of the configured write rate in use, at most 1
	adjustedAt time.Duration // when the factor last changed, less the recovery delay for increases
	rejections int           // since the start
}

func newWriteThrottle() writeThrottle { return writeThrottle{factor: 1} }

// rejected handles an answer of 429 to a write.
func (t *writeThrottle) rejected(now time.Duration) {
	t.rejections++
	t.recoveredFactor(now)
	if now-t.adjustedAt < minDecreaseInterval && t.rejections > 1 {
		return
	}
	t.adjustedAt = now
	t.factor = max(minThrottleFactor, t.factor*throttleDecrease)
	slog.Info("write rate lowered after a rejection", "rate_factor", t.factor)
}

// recoveredFactor raises the factor by the time since it last changed and returns it.
func (t *writeThrottle) recoveredFactor(now time.Duration) float64 {
	if t.factor < 1 && now > t.adjustedAt+throttleRecoveryDelay {
		quiet := now - t.adjustedAt - throttleRecoveryDelay
		t.factor = min(1, t.factor+throttleRecoveryPerSecond*quiet.Seconds())
		t.adjustedAt = now - throttleRecoveryDelay
	}
	return t.factor
}
