package simulator

import "time"

// rateLimit is a leaky bucket that allows bursts of up to the units of one second.
type rateLimit struct {
	rate  float64       // units a second
	level float64       // units in the bucket at the time at
	at    time.Duration // time of the last call of allow
}

// allow uses n units. It returns false, and uses none, if they would exceed the rate.
func (l *rateLimit) allow(now time.Duration, n float64) bool {
	l.level = max(0, l.level-l.rate*(now-l.at).Seconds())
	l.at = now
	if l.level+n > l.rate {
		return false
	}
	l.level += n
	return true
}
