package store

import (
	"log/slog"
	"time"
)

const (
	// throttleDecrease is the factor by which the write rate is multiplied after each burst of rejections.
	throttleDecrease = 0.8
	// minThrottleFactor is the lowest fraction of the configured write rate.
	minThrottleFactor = 0.2
	// throttleRecoveryPerSecond is the fraction of the configured write rate that is regained each second.
	throttleRecoveryPerSecond = 0.02
	// throttleRecoveryDelay is the time after a decrease during which the write rate does not increase.
	throttleRecoveryDelay = time.Second
	// minDecreaseInterval is the minimum time between two decreases, so that the rejections of one burst cause one
	// decrease.
	minDecreaseInterval = 500 * time.Millisecond
)

// writeThrottle lowers the write rate when the state service accepts fewer writes than the settings allow, and raises
// the rate again gradually: multiplicative decrease, additive increase.
type writeThrottle struct {
	factor     float64       // fraction of the configured write rate in use, at most 1
	adjustedAt time.Duration // last change of factor; after an increase, its time less throttleRecoveryDelay
	rejections int           // number of rejections since the start
}

func newWriteThrottle() writeThrottle { return writeThrottle{factor: 1} }

// writeRejected lowers the factor after a response of 429 to a write.
func (t *writeThrottle) writeRejected(now time.Duration) {
	t.rejections++
	t.recoveredFactor(now)
	if now-t.adjustedAt < minDecreaseInterval && t.rejections > 1 {
		return
	}
	t.adjustedAt = now
	t.factor = max(minThrottleFactor, t.factor*throttleDecrease)
	slog.Info("write rate lowered after a rejection", "rate_factor", t.factor)
}

// recoveredFactor raises the factor in proportion to the time since its last change, and returns the new factor.
func (t *writeThrottle) recoveredFactor(now time.Duration) float64 {
	if t.factor < 1 && now > t.adjustedAt+throttleRecoveryDelay {
		elapsed := now - t.adjustedAt - throttleRecoveryDelay
		t.factor = min(1, t.factor+throttleRecoveryPerSecond*elapsed.Seconds())
		t.adjustedAt = now - throttleRecoveryDelay
	}
	return t.factor
}
