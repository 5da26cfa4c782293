package store

import "time"

// Priority orders requests when the budget runs low.
type Priority uint8

// The priorities, from the highest to the lowest. Each one leaves a reserve of the budget to those above it.
const (
	// SafetyPriority is for leases and for reads that authority depends on: it may use the whole budget.
	SafetyPriority Priority = iota
	// NormalPriority is for writes that users wait for.
	NormalPriority
	// QueryPriority is for status queries, which clients repeat soon; it leaves room for submissions and
	// cancellations.
	QueryPriority
	// BulkPriority is for writes that come in floods, such as plans; it leaves room for all others.
	BulkPriority
)

// reserves is the fraction of the bucket that requests of each priority leave unused.
var reserves = [...]float64{SafetyPriority: 0, NormalPriority: 0.1, QueryPriority: 0.3, BulkPriority: 0.35}

// Budget is a token bucket with a reserve for each priority.
type Budget struct {
	rate, burst, tokens float64 // tokens per second, capacity, and what is left
	refilledAt          time.Duration
}

// NewBudget returns a full bucket that is refilled at rate tokens per second and holds burstSeconds' worth of them,
// at least one.
func NewBudget(rate, burstSeconds float64) *Budget {
	burst := max(1, rate*burstSeconds)
	return &Budget{rate: rate, burst: burst, tokens: burst}
}

// SetRate changes the rate, in tokens per second, and the capacity from now on.
func (b *Budget) SetRate(now time.Duration, rate, burstSeconds float64) {
	b.refill(now)
	b.rate = rate
	b.burst = max(1, rate*burstSeconds)
	b.tokens = min(b.tokens, b.burst)
}

func (b *Budget) refill(now time.Duration) {
	if now > b.refilledAt {
		b.tokens = min(b.burst, b.tokens+b.rate*(now-b.refilledAt).Seconds())
		b.refilledAt = now
	}
}

// Allows reports whether n tokens may be taken now by a request of a priority.
func (b *Budget) Allows(now time.Duration, n float64, priority Priority) bool {
	b.refill(now)
	if n > b.burst {
		// One transaction may be larger than the bucket: it waits for a full one.
		return b.tokens >= b.burst
	}
	return b.tokens >= min(b.burst, n+b.burst*reserves[priority])
}

// allowsHalf reports whether half of the capacity would be unused after n more tokens.
func (b *Budget) allowsHalf(now time.Duration, n float64) bool {
	return b.Allows(now, b.burst/2+n, SafetyPriority)
}

// Take removes n tokens. The bucket may go into debt after an oversized transaction.
func (b *Budget) Take(n float64) { b.tokens -= n }
