package simulator

import (
	"cmp"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/harewalk/harewalk/internal/licences"
)

// foreignHolder is the holder that the server lists for units in use outside the cluster.
const foreignHolder = "somebody else"

// LicenceServer simulates a licence server. It counts the units of licence pools itself as tasks check them out and
// in.
type LicenceServer struct {
	Addr string

	simulation *Simulation
	timeout    time.Duration // time until the checkout of a lost holder expires
	down       bool
	pools      map[string]*licencePool
}

type licencePool struct {
	size         int
	checkouts    map[checkoutKey]*checkout
	foreignUnits int // units in use outside the cluster
	peak         int // highest number of units in use so far
	denied       int // number of checkouts denied because they would have exceeded the size
}

// checkoutKey identifies the attempt of a task that holds units.
type checkoutKey struct {
	task    string
	attempt uint64
}

type checkout struct {
	units     int
	expiresAt time.Duration // time of expiry after the holder was lost; 0: the holder is running
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

// entries lists the holders of units, sorted by task and attempt, with units in use outside the cluster last.
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

// serve answers an HTTP request according to the protocol in docs/licences.md.
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
	size := pool.size
	return http.StatusOK, licences.Answer{Count: &size, Holders: pool.entries()}
}

// checkOut checks out a running task's units, or renews its checkouts. It returns false if a pool has too few free
// units. While the server is down checkOut returns true without a checkout, and the task repeats the call later.
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
			s.simulation.recordViolation("seats: %s checks out %d units of %s, %d of %d are in use",
				task.name, units, name, used, pool.size)
			return false
		}
		pool.checkouts[key] = &checkout{units: units}
		pool.peak = max(pool.peak, pool.used())
	}
	return true
}

// checkIn returns a task's units to their pools.
func (s *LicenceServer) checkIn(task *workerTask) {
	for name := range task.spec.Licences {
		if pool := s.pools[name]; pool != nil {
			delete(pool.checkouts, checkoutKey{task.name, task.attempt})
		}
	}
}

// holderLost records that a task ended or hangs without a check-in: its checkouts expire after the timeout.
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

// expire deletes the checkouts of lost holders whose timeout has passed.
func (s *LicenceServer) expire(now time.Duration) {
	for _, pool := range s.pools {
		for key, checkout := range pool.checkouts {
			if checkout.expiresAt > 0 && now >= checkout.expiresAt {
				delete(pool.checkouts, key)
			}
		}
	}
}

// SetDown stops or starts the server. A stopped server loses all checkouts.
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

// SetCount sets the number of units in a pool.
func (s *LicenceServer) SetCount(pool string, units int) {
	s.simulation.mu.Lock()
	defer s.simulation.mu.Unlock()
	s.pools[pool].size = units
}

// SetForeignUse sets the number of a pool's units in use outside the cluster.
func (s *LicenceServer) SetForeignUse(pool string, units int) {
	s.simulation.mu.Lock()
	defer s.simulation.mu.Unlock()
	s.pools[pool].foreignUnits = units
}

// Usage returns the number of a pool's units in use, the highest number so far, and the number of denied checkouts.
func (s *LicenceServer) Usage(pool string) (used, peak, denied int) {
	s.simulation.mu.Lock()
	defer s.simulation.mu.Unlock()
	p := s.pools[pool]
	return p.used(), p.peak, p.denied
}
