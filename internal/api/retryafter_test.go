package api

import (
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/archive"
	"github.com/harewalk/harewalk/internal/simulator/state"
	"github.com/harewalk/harewalk/internal/store"
)

// Three hundred jobs are submitted at once where ten a second can be stored, and their clients obey Retry-After:
// each is refused about once, not once a second, and all are accepted about as soon as the rate allows.
func TestRetryAfterSpreadsRefusedSubmissions(t *testing.T) {
	const jobs, perSecond = 300, 10
	svc := state.New()
	service := newTestService(svc)
	now := func() time.Duration { return svc.Now }
	share := store.Share{RPS: 1e6, WriteRPS: perSecond, BurstSeconds: 1}
	service.Store = store.New("", service, now, share, store.Limits{MaxOps: 24, MaxValueBytes: 32 << 10})
	service.Archive = archive.NewReader(service.Store, 8)
	refused, accepted := 0, 0
	lastAccepted := time.Duration(0)
	due := map[int]time.Duration{}
	for i := range jobs {
		due[i] = 0
	}
	for svc.Now < 2*time.Minute && accepted < jobs {
		for i := range jobs {
			submitAt, isWaiting := due[i]
			if !isWaiting || submitAt > svc.Now {
				continue
			}
			delete(due, i)
			service.Submit(svc.Now, job(i), func(r Reply) {
				if r.Status == 429 {
					refused++
					due[i] = svc.Now + time.Duration(r.RetryAfter)*time.Second
					return
				}
				accepted++
				lastAccepted = svc.Now
			})
		}
		service.deliverAll()
		svc.Now += 100 * time.Millisecond
	}
	t.Logf("%d refusals for %d jobs, the last accepted after %v", refused, jobs, lastAccepted)
	if accepted != jobs || refused > 2*jobs || lastAccepted > 45*time.Second {
		t.Errorf("%d accepted, %d refusals, the last accepted after %v", accepted, refused, lastAccepted)
	}
}
