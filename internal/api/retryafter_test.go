package api

import (
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/archive"
	"github.com/harewalk/harewalk/internal/simulator/state"
	"github.com/harewalk/harewalk/internal/store"
)

// Three hundred jobs are submitted at once where ten a second can be stored, and their clients obey Retry-After. Each
// job must be refused about once, not once a second, and all must be accepted about as soon as the rate allows.
func TestRetryAfterSpreadsRefusedSubmissions(t *testing.T) {
	const jobCount, writesPerSecond = 300, 10
	stateService := state.New()
	service := newTestService(stateService)
	now := func() time.Duration { return stateService.Now }
	share := store.RateShare{RPS: 1e6, WriteRPS: writesPerSecond, BurstSeconds: 1}
	service.Store = store.New("", service, now, share, store.TxnLimits{MaxOps: 24, MaxValueBytes: 32 << 10})
	service.Archive = archive.NewReader(service.Store, 8)
	refused, accepted := 0, 0
	lastAccepted := time.Duration(0)
	submitTimes := map[int]time.Duration{}
	for i := range jobCount {
		submitTimes[i] = 0
	}
	for stateService.Now < 2*time.Minute && accepted < jobCount {
		for i := range jobCount {
			submitAt, isWaiting := submitTimes[i]
			if !isWaiting || submitAt > stateService.Now {
				continue
			}
			delete(submitTimes, i)
			service.Submit(stateService.Now, newSpec(i), func(r Reply) {
				if r.Status == 429 {
					refused++
					submitTimes[i] = stateService.Now + time.Duration(r.RetryAfter)*time.Second
					return
				}
				accepted++
				lastAccepted = stateService.Now
			})
		}
		service.deliverAll()
		stateService.Now += 100 * time.Millisecond
	}
	t.Logf("%d refusals for %d jobs; the last job was accepted after %v", refused, jobCount, lastAccepted)
	if accepted != jobCount || refused > 2*jobCount || lastAccepted > 45*time.Second {
		t.Errorf("got %d jobs accepted, %d refusals, the last acceptance after %v; want 300, at most 600, at most 45s",
			accepted, refused, lastAccepted)
	}
}
