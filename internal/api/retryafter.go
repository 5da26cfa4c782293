package api

import (
	"math"
	"time"
)

const (
	// maxRetryAfter bounds a refused submission's Retry-After: clients stop retrying after a total of one minute.
	maxRetryAfter = 20 * time.Second
	// usableWriteShare is the share of the write budget that is assumed to be available to submissions.
	usableWriteShare = 0.9
)

// refuseSubmission refuses a submission with the delay after which the write budget will have room for it. Each
// refused submission gets its own time in that budget. If all got the same short Retry-After, every client of a long
// backlog would retry each second until the backlog is gone.
func (s *Service) refuseSubmission(now time.Duration, message string) Reply {
	perWrite := time.Duration(float64(time.Second) / (s.Store.WriteRate() * usableWriteShare))
	s.lastRetryAt = max(s.lastRetryAt, now) + perWrite
	refusal := Refuse(TooManyRequests, message)
	refusal.RetryAfter = retryAfterSeconds(s.lastRetryAt - now)
	s.lastRetryAt = min(s.lastRetryAt, now+maxRetryAfter) // no client got a later time
	return refusal
}

// retryAfterSeconds rounds a delay up to whole seconds, from one to maxRetryAfter.
func retryAfterSeconds(delay time.Duration) int {
	seconds := int(math.Ceil(delay.Seconds()))
	return min(int(maxRetryAfter/time.Second), max(1, seconds))
}
