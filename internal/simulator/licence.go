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
	Addr   string
	w      *World
	linger time.Duration
	down   bool
	pools  map[string]*seatPool
}

type seatPool struct {
	count   int
	holders map[holderKey]*checkedOut
	others  int
	peak    int
	denied  int // check-outs for which there was no seat: the count would have been exceeded
}

type holderKey struct {
	task    string
	attempt uint64
}

type checkedOut struct {
	units int
	until time.Duration // of a holder that is heard no more; 0: it lives
}

func newLicenceServer(w *World, pools map[string]int, linger time.Duration) *LicenceServer {
	s := &LicenceServer{w: w, linger: linger, pools: map[string]*seatPool{}}
	for n, c := range pools {
		s.pools[n] = &seatPool{count: c, holders: map[holderKey]*checkedOut{}}
	}
	return s
}

func (p *seatPool) used() int {
	n := p.others
	for _, h := range p.holders {
		n += h.units
	}
	return n
}

// answer is the server's HTTP side, as docs/licences.md publishes it.
func (s *LicenceServer) answer(q request) (int, any) {
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	p := s.pools[strings.TrimPrefix(q.path, "/v1/pools/")]
	switch {
	case s.down:
		return 503, nil
	case p == nil:
		return 404, nil
	}
	a := licences.Answer{Count: p.count, Holders: []licences.AnswerHolder{}}
	for k, h := range p.holders {
		a.Holders = append(a.Holders, licences.AnswerHolder{Task: k.task, Attempt: k.attempt, Units: h.units})
	}
	slices.SortFunc(a.Holders, func(x, y licences.AnswerHolder) int { // the same run, the same answer
		return cmp.Or(cmp.Compare(x.Task, y.Task), cmp.Compare(x.Attempt, y.Attempt))
	})
	if p.others > 0 {
		a.Holders = append(a.Holders, licences.AnswerHolder{Task: "somebody else", Units: p.others})
	}
	return 200, a
}

// checkOut gives a running task its seats, or keeps them its own; false: there are none. While
// the server is down the task goes on and asks again.
func (s *LicenceServer) checkOut(_ time.Duration, k *task) bool {
	if s.down {
		return true
	}
	for name, units := range k.spec.Licences {
		p := s.pools[name]
		key := holderKey{k.name, k.attempt}
		if p == nil {
			continue
		}
		if h := p.holders[key]; h != nil {
			h.until = 0 // it was silent for a while
			continue
		}
		if p.used()+units > p.count {
			p.denied++
			s.w.fail("seats: %s asks for %d of %s, %d of %d are taken", k.name, units, name, p.used(), p.count)
			return false
		}
		p.holders[key] = &checkedOut{units: units}
		p.peak = max(p.peak, p.used())
	}
	return true
}

// checkIn gives a task's seats back.
func (s *LicenceServer) checkIn(k *task) {
	for name := range k.spec.Licences {
		if p := s.pools[name]; p != nil {
			delete(p.holders, holderKey{k.name, k.attempt})
		}
	}
}

// silent notes that a holder is heard no more: its seats are free after the linger.
func (s *LicenceServer) silent(now time.Duration, k *task) {
	for name := range k.spec.Licences {
		if p := s.pools[name]; p != nil {
			if h := p.holders[holderKey{k.name, k.attempt}]; h != nil {
				h.until = now + s.linger
			}
		}
	}
}

func (s *LicenceServer) expire(now time.Duration) {
	for _, p := range s.pools {
		for k, h := range p.holders {
			if h.until > 0 && now >= h.until {
				delete(p.holders, k)
			}
		}
	}
}

// Down ends the server, or starts it anew with no memory of who holds what.
func (s *LicenceServer) Down(on bool) {
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	if s.down = on; on {
		s.w.stats.ServerEnds++
		for _, p := range s.pools {
			clear(p.holders)
		}
	}
}

// SetCount changes how many seats a pool has.
func (s *LicenceServer) SetCount(pool string, n int) {
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	s.pools[pool].count = n
}

// Others lets outsiders hold seats of a pool.
func (s *LicenceServer) Others(pool string, n int) {
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	s.pools[pool].others = n
}

// Use is how many seats of a pool are taken, the most that ever were, and how many times there
// were too few.
func (s *LicenceServer) Use(pool string) (used, peak, denied int) {
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	p := s.pools[pool]
	return p.used(), p.peak, p.denied
}
