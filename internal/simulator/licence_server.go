package simulator

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/harewalk/harewalk/internal/licences"
)

// LicenceServer counts the seats of pools on its own, as tasks check them out and in.
type LicenceServer struct {
	Addr       string
	simulation *Simulation
	timeout    time.Duration
	down       bool
	pools      map[string]*licencePool
}

type licencePool struct {
	count        int
	holders      map[checkoutKey]*checkout
	foreignUnits int
	peak         int
	denied       int // check-outs for which there was no seat: the count would have been exceeded
}

type checkoutKey struct {
	task    string
	attempt uint64
}

type checkout struct {
	units     int
	expiresAt time.Duration // of a holder that is heard no more; 0: it lives
}

func newLicenceServer(sim *Simulation, pools map[string]int, linger time.Duration) *LicenceServer {
	server := &LicenceServer{simulation: sim, timeout: linger, pools: map[string]*licencePool{}}
	for n, c := range pools {
		server.pools[n] = &licencePool{count: c, holders: map[checkoutKey]*checkout{}}
	}
	return server
}

func (p *licencePool) used() int {
	n := p.foreignUnits
	for _, h := range p.holders {
		n += h.units
	}
	return n
}

// serve is the server's HTTP side, as docs/licences.md publishes it.
func (s *LicenceServer) serve(request httpRequest) (int, any) {
	s.simulation.mu.Lock()
	defer s.simulation.mu.Unlock()
	pool := s.pools[strings.TrimPrefix(request.path, "/v1/pools/")]
	switch {
	case s.down:
		return 503, nil
	case pool == nil:
		return 404, nil
	}
	a := licences.Answer{Count: pool.count, Holders: []licences.Entry{}}
	for k, h := range pool.holders {
		a.Holders = append(a.Holders, licences.Entry{Task: k.task, Attempt: k.attempt, Units: h.units})
	}
	slices.SortFunc(a.Holders, func(x, y licences.Entry) int { // the same run, the same answer
		return cmp.Or(cmp.Compare(x.Task, y.Task), cmp.Compare(x.Attempt, y.Attempt))
	})
	if pool.foreignUnits > 0 {
		a.Holders = append(a.Holders, licences.Entry{Task: "somebody else", Units: pool.foreignUnits})
	}
	return 200, a
}

// checkOut gives a running task its seats, or keeps them its own; false: there are none. While
// the server is down the task goes on and asks again.
func (s *LicenceServer) checkOut(_ time.Duration, task *workerTask) bool {
	if s.down {
		return true
	}
	for name, units := range task.spec.Licences {
		pool := s.pools[name]
		key := checkoutKey{task.name, task.attempt}
		if pool == nil {
			continue
		}
		if h := pool.holders[key]; h != nil {
			h.expiresAt = 0 // it was silent for a while
			continue
		}
		if pool.used()+units > pool.count {
			pool.denied++
			s.simulation.violate("seats: %s asks for %d of %s, %d of %d are taken", task.name, units, name, pool.used(), pool.count)
			return false
		}
		pool.holders[key] = &checkout{units: units}
		pool.peak = max(pool.peak, pool.used())
	}
	return true
}

// checkIn gives a task's seats back.
func (s *LicenceServer) checkIn(task *workerTask) {
	for name := range task.spec.Licences {
		if pool := s.pools[name]; pool != nil {
			delete(pool.holders, checkoutKey{task.name, task.attempt})
		}
	}
}

// holderLost notes that a holder is heard no more: its seats are free after the linger.
func (s *LicenceServer) holderLost(now time.Duration, task *workerTask) {
	for name := range task.spec.Licences {
		if pool := s.pools[name]; pool != nil {
			if h := pool.holders[checkoutKey{task.name, task.attempt}]; h != nil {
				h.expiresAt = now + s.timeout
			}
		}
	}
}

func (s *LicenceServer) expire(now time.Duration) {
	for _, pool := range s.pools {
		for k, h := range pool.holders {
			if h.expiresAt > 0 && now >= h.expiresAt {
				delete(pool.holders, k)
			}
		}
	}
}

// SetDown ends the server, or starts it anew with no memory of who holds what.
func (s *LicenceServer) SetDown(on bool) {
	s.simulation.mu.Lock()
	defer s.simulation.mu.Unlock()
	if s.down = on; on {
		s.simulation.stats.LicenceServerCrashes++
		for _, pool := range s.pools {
			clear(pool.holders)
		}
	}
}

// SetCount changes how many seats a pool has.
func (s *LicenceServer) SetCount(pool string, n int) {
	s.simulation.mu.Lock()
	defer s.simulation.mu.Unlock()
	s.pools[pool].count = n
}

// SetForeignUse lets outsiders hold seats of a pool.
func (s *LicenceServer) SetForeignUse(pool string, n int) {
	s.simulation.mu.Lock()
	defer s.simulation.mu.Unlock()
	s.pools[pool].foreignUnits = n
}

// Usage is how many seats of a pool are taken, the most that ever were, and how many times there
// were too few.
func (s *LicenceServer) Usage(pool string) (used, peak, denied int) {
	s.simulation.mu.Lock()
	defer s.simulation.mu.Unlock()
	p := s.pools[pool]
	return p.used(), p.peak, p.denied
}
