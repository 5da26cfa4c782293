package api

import (
	"math"
	"time"
)

const (
	// maxRetryAfter bounds a refused submission's Retry-After: clients give up after a minute in all.
	maxRetryAfter = 20 * time.Second
	// usableWriteShare is the share of the budget for writes that submissions can count on.
	usableWriteShare = 0.9
)

// refuseSubmission refuses a submission at once, with the time after which there will be room for it: each refused
// one gets a time of its own in the coming budget for writes. With the same short Retry-After for all, every client
// of a long backlog would return each second for as long as it lasts.
func (s *Service) refuseSubmission(now time.Duration, message string) Reply {
	perWrite := time.Duration(float64(time.Second) / (s.Store.WriteRate() * usableWriteShare))
	s.lastRetryAt = max(s.lastRetryAt, now) + perWrite
	refusal := Refuse(TooManyRequests, message)
	refusal.RetryAfter = retryAfterSeconds(s.lastRetryAt - now)
	s.lastRetryAt = min(s.lastRetryAt, now+maxRetryAfter) // no client was sent a later time
	return refusal
}

// retryAfterSeconds rounds a delay up to whole seconds, from one to maxRetryAfter.
func retryAfterSeconds(delay time.Duration) int {
	seconds := int(math.Ceil(delay.Seconds()))
	return min(int(maxRetryAfter/time.Second), max(1, seconds))
}
