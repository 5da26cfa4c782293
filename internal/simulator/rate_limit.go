package simulator

import "time"

// rateLimit bounds a rate, with bursts of up to a second's worth.
type rateLimit struct {
	rate  float64 // units a second
	level float64 // units of the last second
	at    time.Duration
}

// take uses n units, and returns false if that would exceed the rate.
func (l *rateLimit) take(now time.Duration, n float64) bool {
	l.level = max(0, l.level-l.rate*(now-l.at).Seconds())
	l.at = now
	if l.level+n > l.rate {
		return false
	}
	l.level += n
	return true
}
