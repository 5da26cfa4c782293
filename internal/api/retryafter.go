package api

import (
	"math"
	"time"
)

// mostRetryAfter bounds what a refused submission is told, in seconds: users give up after a minute in all.
const mostRetryAfter = 20

// usablePart is which part of the budget for writes submissions can count on.
const usablePart = 0.9

// later refuses a submission at once, and says when there will be room for it: each refused one has a place of its own in
// the budget for writes that is to come. Told to come back after a second, whatever the backlog, a thousand users once
// asked again every second for as long as it lasted, four refusals for every job.
func (n *Service) later(now time.Duration, why string) Reply {
	perWrite := time.Duration(float64(time.Second) / (n.Store.WriteRate() * usablePart))
	n.promised = max(n.promised, now) + perWrite
	r := Refuse(TooManyRequests, why)
	r.RetryAfter = min(mostRetryAfter, max(1, int(math.Ceil((n.promised-now).Seconds()))))
	if n.promised > now+mostRetryAfter*time.Second {
		n.promised = now + mostRetryAfter*time.Second // beyond that nobody was promised anything
	}
	return r
}
