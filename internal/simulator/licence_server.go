package simulator

import (
	"cmp"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/harewalk/harewalk/internal/licences"
)

// foreignHolder is the holder of units that no task of the cluster uses.
const foreignHolder = "somebody else"

// LicenceServer counts the units of licence pools by itself, as tasks check them out and in.
type LicenceServer struct {
	Addr string

	simulation *Simulation
	timeout    time.Duration // of a checkout whose holder was lost
	down       bool
	pools      map[string]*licencePool
}

type licencePool struct {
	size         int
	checkouts    map[checkoutKey]*checkout
	foreignUnits int // used outside the cluster
	peak         int // of the units in use
	denied       int // checkouts that would have exceeded the size
}

// checkoutKey identifies the attempt of a task that holds units.
type checkoutKey struct {
	task    string
	attempt uint64
}

type checkout struct {
	units     int
	expiresAt time.Duration // of a holder that was lost; 0: it runs
}

func newLicenceServer(sim *Simulation, sizes map[string]int, timeout time.Duration) *LicenceServer {
	server := &LicenceServer{simulation: sim, timeout: timeout, pools: map[string]*licencePool{}}
	for name, size := range sizes {
		server.pools[name] = &licencePool{size: size, checkouts: map[checkoutKey]*checkout{}}
	}
	return server
}

func (p *licencePool) used() int {
	units := p.foreignUnits
	for _, checkout := range p.checkouts {
		units += checkout.units
	}
	return units
}

// entries lists who holds units, in a fixed order.
func (p *licencePool) entries() []licences.AnswerHolder {
	entries := []licences.AnswerHolder{}
	for key, checkout := range p.checkouts {
		entries = append(entries, licences.AnswerHolder{Task: key.task, Attempt: key.attempt, Units: checkout.units})
	}
	slices.SortFunc(entries, func(a, b licences.AnswerHolder) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
	})
	if p.foreignUnits > 0 {
		entries = append(entries, licences.AnswerHolder{Task: foreignHolder, Units: p.foreignUnits})
	}
	return entries
}

// serve is the server's HTTP side, by docs/licences.md.
func (s *LicenceServer) serve(request httpRequest) (status int, body any) {
	s.simulation.mu.Lock()
	defer s.simulation.mu.Unlock()
	pool := s.pools[strings.TrimPrefix(request.path, "/v1/pools/")]
	switch {
	case s.down:
		return http.StatusServiceUnavailable, nil
	case pool == nil:
		return http.StatusNotFound, nil
	}
	return http.StatusOK, licences.Answer{Count: pool.size, Holders: pool.entries()}
}

// checkOut gives a running task its units, or keeps them its own. It returns false if there are too few. While the
// server is down the task goes on and asks again.
func (s *LicenceServer) checkOut(task *workerTask) bool {
	if s.down {
		return true
	}
	key := checkoutKey{task.name, task.attempt}
	for name, units := range task.spec.Licences {
		pool := s.pools[name]
		if pool == nil {
			continue
		}
		if held := pool.checkouts[key]; held != nil {
			held.expiresAt = 0
			continue
		}
		if used := pool.used(); used+units > pool.size {
			pool.denied++
			s.simulation.violate("seats: %s asks for %d of %s, %d of %d are taken",
				task.name, units, name, used, pool.size)
			return false
		}
		pool.checkouts[key] = &checkout{units: units}
		pool.peak = max(pool.peak, pool.used())
	}
	return true
}

// checkIn returns a task's units.
func (s *LicenceServer) checkIn(task *workerTask) {
	for name := range task.spec.Licences {
		if pool := s.pools[name]; pool != nil {
			delete(pool.checkouts, checkoutKey{task.name, task.attempt})
		}
	}
}

// holderLost records that a task was lost: its units are free after the timeout.
func (s *LicenceServer) holderLost(now time.Duration, task *workerTask) {
	for name := range task.spec.Licences {
		pool := s.pools[name]
		if pool == nil {
			continue
		}
		if held := pool.checkouts[checkoutKey{task.name, task.attempt}]; held != nil {
			held.expiresAt = now + s.timeout
		}
	}
}

// expire frees the units of holders that were lost at least the timeout ago.
func (s *LicenceServer) expire(now time.Duration) {
	for _, pool := range s.pools {
		for key, checkout := range pool.checkouts {
			if checkout.expiresAt > 0 && now >= checkout.expiresAt {
				delete(pool.checkouts, key)
			}
		}
	}
}

// SetDown stops the server, which loses all checkouts, or starts it again.
func (s *LicenceServer) SetDown(down bool) {
	s.simulation.mu.Lock()
	defer s.simulation.mu.Unlock()
	s.down = down
	if !down {
		return
	}
	s.simulation.stats.LicenceServerCrashes++
	for _, pool := range s.pools {
		clear(pool.checkouts)
	}
}

// SetCount changes the number of a pool's units.
func (s *LicenceServer) SetCount(pool string, units int) {
	s.simulation.mu.Lock()
	defer s.simulation.mu.Unlock()
	s.pools[pool].size = units
}

// SetForeignUse changes how many of a pool's units are used outside the cluster.
func (s *LicenceServer) SetForeignUse(pool string, units int) {
	s.simulation.mu.Lock()
	defer s.simulation.mu.Unlock()
	s.pools[pool].foreignUnits = units
}

// Usage returns how many units of a pool are in use, the most that ever were, and how many checkouts were denied.
func (s *LicenceServer) Usage(pool string) (used, peak, denied int) {
	s.simulation.mu.Lock()
	defer s.simulation.mu.Unlock()
	p := s.pools[pool]
	return p.used(), p.peak, p.denied
}
