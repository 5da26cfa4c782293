package simulator

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/url"
	"strings"
	"time"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/controller"
	"github.com/harewalk/harewalk/internal/httpio"
	"github.com/harewalk/harewalk/internal/rollout"
)

// Sim is a simulation: one queue of events in simulated time, in which the world and the real code
// of the controllers run on one goroutine. The same seed gives the same run. Processors take no time in it.
type Sim struct {
	w      *World
	t      time.Duration
	queue  events
	seq    uint64
	rng    *rand.Rand
	at     map[string]handler
	nodes  []*node
	mean   time.Duration // of a message on its way
	lost   float64       // share of messages that are lost
	late   float64       // share of requests that arrive after lag at most, perhaps when nobody waits any more
	lag    time.Duration
	zone   map[string]string // by address; none of those that belong to no zone
	cuts   map[string]Cut    // by zone
	held   []held
	rolls  int                    // how many were begun or stopped
	cutOff map[string]Counterpart // by a controller's address for users: whom it has lost
	record func(transmission)     // told of each message that is sent; nil: nobody is
}

// Network says what happens to messages from now on: the mean time on the way, the share of messages lost,
// and the share of requests that arrive late, by up to lag, long after who sent them gave up.
func (w *World) Network(mean time.Duration, lost, late float64, lag time.Duration) {
	w.sim.mean, w.sim.lost, w.sim.late, w.sim.lag = mean, lost, late, lag
}

// SlowLinks lets messages take a mean time on their way from now on; 0 is the usual one.
func (w *World) SlowLinks(mean time.Duration) { w.sim.mean = max(mean, usualLink) }

// usualLink is the mean time of a message on its way where nothing else is said.
const usualLink = 2 * time.Millisecond

type event struct {
	at  time.Duration
	seq uint64
	f   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(a, b int) bool {
	return e[a].at < e[b].at || (e[a].at == e[b].at && e[a].seq < e[b].seq)
}
func (e events) Swap(a, b int) { e[a], e[b] = e[b], e[a] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	(*e)[len(*e)-1] = event{}
	*e = (*e)[:len(*e)-1]
	return last
}

// node is one controller of a simulation.
type node struct {
	sim     *Sim
	i       int
	s       *config.Settings
	c       *controller.Simulated // nil while it does not run
	born    time.Duration
	frozen  time.Duration // nothing happens in it before
	lives   int           // times it was started
	drains  bool
	epochMS int64
	runs    rollout.Level // the highest that its present process knows
}

// Simulated starts a world in simulated time, with its controllers; operator, unless it is nil, adds
// operators' settings to each.
func Simulated(cfg Config, operator func(*config.Settings) error) (*World, error) {
	s := &Sim{rng: rand.New(rand.NewPCG(cfg.Seed, 13)), at: map[string]handler{}, zone: map[string]string{}, mean: usualLink}
	w, err := start(cfg, s)
	if err != nil {
		return nil, err
	}
	s.w, w.sim = w, s
	for i := range w.settings {
		set, err := config.Parse(w.Settings(i))
		if err == nil && operator != nil {
			err = operator(set)
		}
		if err != nil {
			return nil, err
		}
		n := &node{sim: s, i: i, s: set, epochMS: 1_800_000_000_000}
		s.nodes = append(s.nodes, n)
		s.at[set.PublicAddr], s.zone[set.PublicAddr] = n.ask, set.Zone
	}
	for i := range s.nodes {
		w.StartController(i)
	}
	return w, nil
}

func (s *Sim) now() time.Duration { return s.t }

func (s *Sim) after(duration time.Duration, f func()) {
	s.seq++
	heap.Push(&s.queue, event{s.t + max(0, duration), s.seq, f})
}

func (s *Sim) listen(name, zone string, h handler) (string, error) {
	addr := name + ":80"
	s.at[addr], s.zone[addr] = h, zone
	return addr, nil
}

func (s *Sim) addresses(i int) (public, back string, err error) {
	return fmt.Sprintf("node-%d:80", i), fmt.Sprintf("node-%d:81", i), nil
}

func (s *Sim) close() { s.queue = nil }

// Advance lets time pass, by d.
func (w *World) Advance(duration time.Duration) {
	s := w.sim
	end := s.t + duration
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(event)
		s.t = e.at
		e.f()
	}
	s.t = end
}

// After calls f in the world's time.
func (w *World) After(duration time.Duration, f func()) { w.ground.after(duration, f) }

// Ask sends a user's request to a controller; status 0: no answer came.
func (w *World) Ask(i int, method, path string, body []byte, then func(status int, body []byte)) {
	w.ask(i, method, path, body, 5*time.Second, then)
}

func (w *World) ask(i int, method, path string, body []byte, limit time.Duration, then func(status int, body []byte)) {
	sent := w.now()
	a, ok := about(method, path, body)
	w.wanted(a)
	public := w.sim.nodes[i].s.PublicAddr
	q := request{from: senderUser, method: method, path: path, body: body}
	w.sim.exchange("", public, q, limit, w.sim.severed(public, FromUsers), func(status int, raw []byte) {
		if ok {
			w.received(a, sent, status, raw)
		}
		then(status, raw)
	})
	if method == "POST" && (path == "/v2/runs" || strings.HasSuffix(path, "/abort")) {
		w.mu.Lock()
		w.copyLater("", path, body)
		w.mu.Unlock()
	}
}

func (s *Sim) ask(machine, zone, addr, path string, body []byte, then func(int, []byte)) {
	q := request{from: or(machine, senderCopy), method: "POST", path: path, body: body}
	s.exchange(zone, addr, q, reportWait, s.severed(addr, FromWorkers), then)
}

// exchange carries a request from a zone there and an answer back, each after a time of its own. After the time
// limit the answer is nobody's any more, though the request may be carried out.
func (s *Sim) exchange(zone, addr string, q request, limit time.Duration, cut func() bool, then func(int, []byte)) {
	s.sent(requestTo(addr, q))
	over := false
	finish := func(status int, body []byte) {
		if !over {
			over = true
			then(status, body)
		}
	}
	s.after(limit, func() { finish(0, nil) })
	way := jitter(s.rng, s.mean)
	if s.late > 0 && s.rng.Float64() < s.late {
		way += time.Duration(s.rng.Float64() * float64(s.lag))
	}
	if s.lost > 0 && s.rng.Float64() < s.lost {
		return
	}
	refuse := func() { finish(0, nil) }
	there := func() {
		if cut() {
			return
		}
		h := s.at[addr]
		if h == nil {
			refuse()
			return
		}
		h(q, func(status int, body any) {
			raw, ok := body.([]byte)
			if !ok {
				raw, _ = json.Marshal(body)
			}
			s.sent(answerFrom(addr, q, status, raw))
			if !cut() && (s.lost == 0 || s.rng.Float64() >= s.lost) {
				s.after(jitter(s.rng, s.mean), func() { s.carry(s.zone[addr], zone, func() { finish(status, raw) }, refuse) })
			}
		})
	}
	s.after(way, func() { s.carry(zone, s.zone[addr], there, refuse) })
}

// live calls f in a controller's present life, later if it is frozen, never if it has ended.
func (n *node) live(f func()) func() {
	life := n.lives
	var g func()
	g = func() {
		switch {
		case n.c == nil || n.lives != life:
		case n.frozen > n.sim.t:
			n.sim.after(n.frozen-n.sim.t, g)
		default:
			f()
		}
	}
	return g
}

// ask is the controller's HTTP side.
func (n *node) ask(q request, reply answer) {
	if n.c == nil {
		reply(0, nil)
		return
	}
	n.live(func() {
		n.c.Ask(q.method, q.path, q.body, func(status int, body []byte) { reply(status, body) })
	})()
}

// way is a controller's way out; it belongs to one life.
type way struct {
	n     *node
	limit int
	open  int
}

// Send implements httpio.Sender.
func (y *way) Send(addr string, r httpio.Request, done func(httpio.Response)) {
	n := y.n
	if y.open >= y.limit {
		n.sim.after(0, n.live(func() { done(httpio.Response{Err: httpio.ErrBusy, Refused: true}) }))
		return
	}
	y.open++
	u, err := url.Parse(r.Path)
	if err != nil {
		panic(err) // a path of the controller's own making
	}
	life := n.lives
	q := request{from: n.s.Node, method: r.Method, path: u.Path, query: u.Query(), body: r.Body}
	cut := n.sim.severed(n.s.PublicAddr, counterpart(addr))
	n.sim.exchange(n.s.Zone, addr, q, r.Timeout, cut, func(status int, body []byte) {
		if n.lives != life {
			return
		}
		y.open--
		n.live(func() { // whoever stands still hears of it later
			if status == 0 {
				done(httpio.Response{Err: httpio.ErrLost})
				return
			}
			done(httpio.Response{Status: status, Body: body})
		})()
	})
}

// StartController starts a controller that does not run, with nothing but its settings.
func (w *World) StartController(i int) {
	n, s := w.sim.nodes[i], w.sim
	if n.c != nil {
		return
	}
	n.lives++
	n.born, n.frozen, n.runs = s.t, 0, w.Knows(i)
	var links []func([]byte)
	for _, p := range s.nodes {
		if p != n {
			links = append(links, func(raw []byte) {
				s.sent(statusTo(p.s.Node, n.s.Node, raw))
				s.after(jitter(s.rng, s.mean), func() {
					s.carry(n.s.Zone, p.s.Zone, func() {
						if p.c != nil && !s.severed(n.s.PublicAddr, FromPeers)() && !s.severed(p.s.PublicAddr, FromPeers)() {
							p.live(func() { p.c.Hear(raw) })()
						}
					}, func() {})
				})
			})
		}
	}
	n.c = controller.Simulate(n.s, controller.Environment{
		Now: func() time.Duration { return s.t - n.born }, EpochMS: n.epochMS + n.born.Milliseconds(),
		Seed: s.rng.Uint64(), Sender: func(limit int) httpio.Sender { return &way{n: n, limit: limit} },
	}, links...)
	var tick func()
	tick = n.live(func() {
		n.c.Tick()
		s.after(controller.TickEvery, tick)
	})
	s.after(jitter(s.rng, controller.TickEvery), tick)
}

// KillController ends a controller without notice.
func (w *World) KillController(i int) {
	if n := w.sim.nodes[i]; n.c != nil {
		n.c = nil
		w.stats.Kills++
	}
}

// DrainController does to a controller what SIGTERM does, and calls ended when its process has ended.
func (w *World) DrainController(i int, ended func()) {
	n := w.sim.nodes[i]
	if n.c == nil {
		ended()
		return
	}
	out := n.c.Drain()
	n.drains = true
	w.stats.Drains++
	var look func()
	life := n.lives
	look = func() {
		select {
		case <-out:
			n.c, n.drains = nil, false
			ended()
		default:
			if n.c == nil || n.lives != life { // killed while it drained
				n.drains = false
				ended()
				return
			}
			w.sim.after(w.cfg.Step, look)
		}
	}
	look()
}

// Runs tells whether a controller runs.
func (w *World) Runs(i int) bool { return w.sim.nodes[i].c != nil }

// FreezeController lets a controller stand still for a time: what comes in waits, and its steady clock
// has jumped when it goes on.
func (w *World) FreezeController(i int, duration time.Duration) {
	w.sim.nodes[i].frozen = w.sim.t + duration
	w.stats.Freezes++
}

// SetWall moves a controller's clock on the wall; it counts from its next start.
func (w *World) SetWall(i int, duration time.Duration) {
	w.sim.nodes[i].epochMS += duration.Milliseconds()
}

// Leading lists the controllers that lead and may act now, as they believe themselves.
func (w *World) Leading() (ix []int) {
	for i, n := range w.sim.nodes {
		if n.c != nil && n.frozen <= w.sim.t && n.c.Leads() {
			ix = append(ix, i)
		}
	}
	return ix
}
