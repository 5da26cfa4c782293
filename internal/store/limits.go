package store

import (
	"log/slog"
	"time"
)

// Limits are what the state service takes in one transaction: changes, and bytes of the largest value. It takes four
// times as many conditions as changes.
type Limits struct {
	MaxOps        int
	MaxValueBytes int
}

// ConditionsPerOp is how many conditions the state service takes for each change that it takes.
const ConditionsPerOp = 4

// The least that is assumed of a state service, whatever it refuses.
const (
	leastOps   = 4
	leastValue = 1 << 10
)

// shapeOf is how large a transaction is: conditions count as the changes that they need.
func shapeOf(txn Txn) Limits {
	s := Limits{MaxOps: max(len(txn.Then), (len(txn.If)+ConditionsPerOp-1)/ConditionsPerOp)}
	for _, o := range txn.Then {
		s.MaxValueBytes = max(s.MaxValueBytes, len(o.Value))
	}
	return s
}

// How long limits that were learnt stand before a little more is tried, and how long at most: the time doubles with
// each try that is refused.
const (
	raiseAfter = 20 * time.Second
	mostRaise  = 5 * time.Minute
)

// learner knows within which limits to write. They are those of the settings until the service refuses a transaction as
// too large: its limits may shrink without notice, and it doesn't say which of them was passed.
//
//	given      as the settings say; a refusal lowers what was refused and wasn't taken since the last one
//	lowered    a little more is tried after a while, one limit at a time; refused, it falls back to what was taken
type learner struct {
	given, now Limits
	taken      Limits // the largest that was carried out since the service last took less than before
	refusals   int
	quietAt    time.Duration // the last refusal, or the last raise
	wait       time.Duration // until the next raise
	raised     bool          // and nothing was refused since
	raiseOps   bool          // which limit is raised next
}

func newLearner(given Limits) learner {
	return learner{given: given, now: given, wait: raiseAfter}
}

// refused takes over that a transaction of a shape was refused as too large.
func (l *learner) refused(now time.Duration, s Limits) {
	l.refusals++
	if s.MaxOps <= l.taken.MaxOps && s.MaxValueBytes <= l.taken.MaxValueBytes {
		l.taken = Limits{} // as large a one was taken before: the limits have shrunk
	}
	was := l.now
	if s.MaxValueBytes > l.taken.MaxValueBytes {
		l.now.MaxValueBytes = min(l.now.MaxValueBytes, max(leastValue, l.taken.MaxValueBytes, s.MaxValueBytes/2))
	}
	if s.MaxOps > l.taken.MaxOps {
		l.now.MaxOps = min(l.now.MaxOps, max(leastOps, l.taken.MaxOps, s.MaxOps/2))
	}
	if l.raised {
		l.wait = min(mostRaise, 2*l.wait) // that was too much
	}
	l.quietAt, l.raised = now, false
	slog.Warn("the state service refuses a transaction as too large: smaller ones from now on", "changes", s.MaxOps, "largest_value", s.MaxValueBytes,
		"changes_before", was.MaxOps, "changes_now", l.now.MaxOps, "value_before", was.MaxValueBytes, "value_now", l.now.MaxValueBytes)
}

// took takes over that a transaction of a shape was not refused for its size.
func (l *learner) took(now time.Duration, s Limits) {
	l.taken = Limits{MaxOps: max(l.taken.MaxOps, s.MaxOps), MaxValueBytes: max(l.taken.MaxValueBytes, s.MaxValueBytes)}
	if l.now == l.given || now-l.quietAt < l.wait {
		return
	}
	l.quietAt = now
	if l.raised { // and nothing was refused since
		l.wait = max(raiseAfter, l.wait/2)
	}
	l.raised = true
	if l.raiseOps = !l.raiseOps; l.raiseOps {
		l.now.MaxOps = min(l.given.MaxOps, l.now.MaxOps+2)
	} else {
		l.now.MaxValueBytes = min(l.given.MaxValueBytes, l.now.MaxValueBytes*5/4)
	}
}

// Of a budget for writes that the service refuses: what is left of it after each refusal, the least, and what comes back
// each second.
const (
	throttleBy    = 0.8
	leastThrottle = 0.2
	throttleBack  = 0.02
	// throttleEvery spaces the refusals that count: those of one burst are one.
	throttleEvery = 500 * time.Millisecond
)

// throttle is by how much less than its share a controller writes, where the service refuses what the settings allow.
type throttle struct {
	factor   float64 // 1: all of it
	at       time.Duration
	refusals int
}

// refused takes over an answer of 429 to a write.
func (h *throttle) refused(now time.Duration) {
	h.refusals++
	h.recover(now)
	if now-h.at < throttleEvery && h.refusals > 1 {
		return
	}
	h.at = now
	h.factor = max(leastThrottle, h.factor*throttleBy)
	slog.Info("the state service refuses writes beyond its rate", "part_of_share_now", h.factor)
}

// recover gives some of the share back, by the time since the last refusal or the last look.
func (h *throttle) recover(now time.Duration) float64 {
	if h.factor < 1 && now > h.at+time.Second {
		h.factor = min(1, h.factor+throttleBack*(now-h.at-time.Second).Seconds())
		h.at = now - time.Second
	}
	return h.factor
}

// Rejections counts what the service refused: transactions as too large, and writes beyond its rate.
func (c *Client) Rejections() (size, rate int) { return c.limits.refusals, c.throttle.refusals }

// Limits is what a transaction may hold now.
func (c *Client) Limits() Limits { return c.limits.now }
