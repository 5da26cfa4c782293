package store

import "time"

// Priority is the rank of a request when the budget runs low.
type Priority uint8

// The priorities, from the highest to the lowest. Requests of a lower priority leave a larger reserve of the budget
// unused, for the higher priorities.
const (
	// CriticalPriority is for leases and for reads on which a controller's authority depends. It may use the whole
	// budget.
	CriticalPriority Priority = iota
	// NormalPriority is for writes that users wait for.
	NormalPriority
	// QueryPriority is for status queries, which clients repeat soon. Its reserve keeps tokens for submissions and
	// cancellations.
	QueryPriority
	// BulkPriority is for writes that come in large bursts, such as plans. Its reserve, the largest, keeps tokens
	// for all other requests.
	BulkPriority
)

// reserves is the fraction of the bucket's capacity that requests of each priority leave unused.
var reserves = [...]float64{CriticalPriority: 0, NormalPriority: 0.1, QueryPriority: 0.3, BulkPriority: 0.35}

// Budget is a token bucket with a reserve for each priority. Times are those of the steady clock.
type Budget struct {
	rate, burst, tokens float64       // tokens per second, capacity, and tokens left (negative: debt)
	refilledAt          time.Duration // 0 before the first refill
}

// NewBudget returns a full bucket that is refilled at rate tokens per second. Its capacity is the refill of
// burstSeconds, and at least one token.
func NewBudget(rate, burstSeconds float64) *Budget {
	burst := max(1, rate*burstSeconds)
	return &Budget{rate: rate, burst: burst, tokens: burst}
}

// SetRate changes the refill rate, in tokens per second, and the capacity. The time until now is refilled at the old
// rate.
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

// Allows reports whether a request of the given priority may take n tokens now.
func (b *Budget) Allows(now time.Duration, n float64, priority Priority) bool {
	b.refill(now)
	if n > b.burst {
		// A transaction may need more tokens than the bucket holds: it is allowed once the bucket is full.
		return b.tokens >= b.burst
	}
	return b.tokens >= min(b.burst, n+b.burst*reserves[priority])
}

// leavesHalf reports whether at least half of the capacity would be left after n tokens were taken. If n is more than
// half of the capacity, it reports whether the bucket is full.
func (b *Budget) leavesHalf(now time.Duration, n float64) bool {
	return b.Allows(now, b.burst/2+n, CriticalPriority)
}

// Take removes n tokens. After an oversized transaction the count of tokens may be negative.
func (b *Budget) Take(n float64) { b.tokens -= n }
