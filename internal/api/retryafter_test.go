package api

import (
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/archive"
	"github.com/harewalk/harewalk/internal/simulator/state"
	"github.com/harewalk/harewalk/internal/store"
)

// Three hundred jobs come in one moment where ten a second can be stored, and their users come back when they are told to:
// each is refused about once, not once a second, and all are accepted about as soon as the rate allows.
func TestRefusedOnesComeBackInTurn(t *testing.T) {
	const jobs, perSecond = 300, 10
	svc := state.New()
	d := newDesk(svc)
	now := func() time.Duration { return svc.Now }
	d.Store = store.New("", d, now, store.Share{RPS: 1e6, WriteRPS: perSecond, BurstS: 1}, store.Limits{MaxOps: 24, MaxValueBytes: 32 << 10})
	d.Archive = archive.NewReader(d.Store, 8)
	refused, accepted, last := 0, 0, time.Duration(0)
	due := map[int]time.Duration{}
	for i := range jobs {
		due[i] = 0
	}
	for svc.Now < 2*time.Minute && accepted < jobs {
		for i := range jobs {
			at, waits := due[i]
			if !waits || at > svc.Now {
				continue
			}
			delete(due, i)
			d.Submit(svc.Now, job(i), func(r Reply) {
				if r.Status == 429 {
					refused++
					due[i] = svc.Now + time.Duration(r.RetryAfter)*time.Second
					return
				}
				accepted++
				last = svc.Now
			})
		}
		d.run()
		svc.Now += 100 * time.Millisecond
	}
	t.Logf("%d refusals for %d jobs, the last accepted after %v", refused, jobs, last)
	if accepted != jobs || refused > 2*jobs || last > 45*time.Second {
		t.Errorf("%d accepted, %d refusals, the last accepted after %v", accepted, refused, last)
	}
}
