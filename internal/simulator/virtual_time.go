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

// virtualTime is a simulation: one queue of events in simulated time, in which the world and the real code
// of the controllers run on one goroutine. The same seed gives the same run. Processors take no time in it.
type virtualTime struct {
	simulation        *Simulation
	clock             time.Duration
	queue             eventQueue
	nextSeq           uint64
	rng               *rand.Rand
	handlers          map[string]handlerFunc
	controllers       []*simulatedController
	meanDelay         time.Duration // of a message on its way
	lossShare         float64       // share of messages that are lost
	lateShare         float64       // share of requests that arrive after lag at most, perhaps when nobody waits any more
	maxLateness       time.Duration
	zoneOf            map[string]string    // by address; none of those that belong to no zone
	partitions        map[string]Partition // by zone
	delayed           []delayedMessage
	rolloutGeneration int              // how many were begun or stopped
	cutLinks          map[string]Links // by a controller's address for users: whom it has lost
	recorder          func(message)    // told of each message that is sent; nil: nobody is
}

// SetNetwork says what happens to messages from now on: the mean time on the way, the share of messages lost,
// and the share of requests that arrive late, by up to lag, long after who sent them gave up.
func (w *Simulation) SetNetwork(mean time.Duration, lost, late float64, lag time.Duration) {
	w.virtual.meanDelay, w.virtual.lossShare, w.virtual.lateShare, w.virtual.maxLateness = mean, lost, late, lag
}

// SetLinkDelay lets messages take a mean time on their way from now on; 0 is the usual one.
func (w *Simulation) SetLinkDelay(mean time.Duration) {
	w.virtual.meanDelay = max(mean, defaultMeanDelay)
}

// defaultMeanDelay is the mean time of a message on its way where nothing else is said.
const defaultMeanDelay = 2 * time.Millisecond

type event struct {
	due time.Duration
	seq uint64
	run func()
}

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(a, b int) bool {
	return e[a].due < e[b].due || (e[a].due == e[b].due && e[a].seq < e[b].seq)
}
func (e eventQueue) Swap(a, b int) { e[a], e[b] = e[b], e[a] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	(*e)[len(*e)-1] = event{}
	*e = (*e)[:len(*e)-1]
	return last
}

// simulatedController is one controller of a simulation.
type simulatedController struct {
	env         *virtualTime
	index       int
	settings    *config.Settings
	process     *controller.Simulated // nil while it does not run
	startedAt   time.Duration
	frozenUntil time.Duration // nothing happens in it before
	incarnation int           // times it was started
	draining    bool
	epochMS     int64
	maxLevel    rollout.Level // the highest that its present process knows
}

// NewVirtualTime starts a world in simulated time, with its controllers; operator, unless it is nil, adds
// operators' settings to each.
func NewVirtualTime(cfg Config, operator func(*config.Settings) error) (*Simulation, error) {
	env := &virtualTime{rng: rand.New(rand.NewPCG(cfg.Seed, 13)), handlers: map[string]handlerFunc{}, zoneOf: map[string]string{}, meanDelay: defaultMeanDelay}
	sim, err := newSimulation(cfg, env)
	if err != nil {
		return nil, err
	}
	env.simulation, sim.virtual = sim, env
	for i := range sim.settings {
		set, err := config.Parse(sim.SettingsJSON(i))
		if err == nil && operator != nil {
			err = operator(set)
		}
		if err != nil {
			return nil, err
		}
		controller := &simulatedController{env: env, index: i, settings: set, epochMS: 1_800_000_000_000}
		env.controllers = append(env.controllers, controller)
		env.handlers[set.Public], env.zoneOf[set.Public] = controller.serve, set.Zone
	}
	for i := range env.controllers {
		sim.StartController(i)
	}
	return sim, nil
}

func (s *virtualTime) now() time.Duration { return s.clock }

func (s *virtualTime) schedule(duration time.Duration, f func()) {
	s.nextSeq++
	heap.Push(&s.queue, event{s.clock + max(0, duration), s.nextSeq, f})
}

func (s *virtualTime) listen(name, zone string, handler handlerFunc) (string, error) {
	addr := name + ":80"
	s.handlers[addr], s.zoneOf[addr] = handler, zone
	return addr, nil
}

func (s *virtualTime) controllerAddrs(i int) (public, back string, err error) {
	return fmt.Sprintf("node-%d:80", i), fmt.Sprintf("node-%d:81", i), nil
}

func (s *virtualTime) close() { s.queue = nil }

// Advance lets time pass, by d.
func (w *Simulation) Advance(duration time.Duration) {
	env := w.virtual
	end := env.clock + duration
	for len(env.queue) > 0 && env.queue[0].due <= end {
		e := heap.Pop(&env.queue).(event)
		env.clock = e.due
		e.run()
	}
	env.clock = end
}

// After calls f in the world's time.
func (w *Simulation) After(duration time.Duration, f func()) { w.env.schedule(duration, f) }

// Request sends a user's request to a controller; status 0: no answer came.
func (w *Simulation) Request(i int, method, path string, body []byte, then func(status int, body []byte)) {
	w.request(i, method, path, body, 5*time.Second, then)
}

func (w *Simulation) request(i int, method, path string, body []byte, limit time.Duration, then func(status int, body []byte)) {
	sent := w.now()
	a, ok := parseUserRequest(method, path, body)
	w.noteCancelRequest(a)
	public := w.virtual.controllers[i].settings.Public
	q := httpRequest{sender: senderUser, method: method, path: path, body: body}
	w.virtual.roundTrip("", public, q, limit, w.virtual.linkCheck(public, UserLinks), func(status int, raw []byte) {
		if ok {
			w.checkUserAnswer(a, sent, status, raw)
		}
		then(status, raw)
	})
	if method == "POST" && (path == "/v2/runs" || strings.HasSuffix(path, "/abort")) {
		w.mu.Lock()
		w.duplicate("", path, body)
		w.mu.Unlock()
	}
}

func (s *virtualTime) post(machine, zone, addr, path string, body []byte, then func(int, []byte)) {
	request := httpRequest{sender: valueOr(machine, senderDuplicate), method: "POST", path: path, body: body}
	s.roundTrip(zone, addr, request, heartbeatTimeout, s.linkCheck(addr, WorkerLinks), then)
}

// roundTrip carries a request from a zone there and an answer back, each after a time of its own. After the time
// limit the answer is nobody's any more, though the request may be carried out.
func (s *virtualTime) roundTrip(zone, addr string, request httpRequest, limit time.Duration, cut func() bool, then func(int, []byte)) {
	s.recordMessage(requestTo(addr, request))
	over := false
	finish := func(status int, body []byte) {
		if !over {
			over = true
			then(status, body)
		}
	}
	s.schedule(limit, func() { finish(0, nil) })
	way := jitter(s.rng, s.meanDelay)
	if s.lateShare > 0 && s.rng.Float64() < s.lateShare {
		way += time.Duration(s.rng.Float64() * float64(s.maxLateness))
	}
	if s.lossShare > 0 && s.rng.Float64() < s.lossShare {
		return
	}
	refuse := func() { finish(0, nil) }
	there := func() {
		if cut() {
			return
		}
		handler := s.handlers[addr]
		if handler == nil {
			refuse()
			return
		}
		handler(request, func(status int, body any) {
			raw, ok := body.([]byte)
			if !ok {
				raw, _ = json.Marshal(body)
			}
			s.recordMessage(answerFrom(addr, request, status, raw))
			if !cut() && (s.lossShare == 0 || s.rng.Float64() >= s.lossShare) {
				s.schedule(jitter(s.rng, s.meanDelay), func() { s.deliver(s.zoneOf[addr], zone, func() { finish(status, raw) }, refuse) })
			}
		})
	}
	s.schedule(way, func() { s.deliver(zone, s.zoneOf[addr], there, refuse) })
}

// whileRunning calls f in a controller's present life, later if it is frozen, never if it has ended.
func (n *simulatedController) whileRunning(f func()) func() {
	life := n.incarnation
	var g func()
	g = func() {
		switch {
		case n.process == nil || n.incarnation != life:
		case n.frozenUntil > n.env.clock:
			n.env.schedule(n.frozenUntil-n.env.clock, g)
		default:
			f()
		}
	}
	return g
}

// serve is the controller's HTTP side.
func (n *simulatedController) serve(request httpRequest, reply replyFunc) {
	if n.process == nil {
		reply(0, nil)
		return
	}
	n.whileRunning(func() {
		n.process.Ask(request.method, request.path, request.body, func(status int, body []byte) { reply(status, body) })
	})()
}

// controllerSender is a controller's way out; it belongs to one life.
type controllerSender struct {
	controller *simulatedController
	limit      int
	inFlight   int
}

// Send implements httpio.Sender.
func (y *controllerSender) Send(addr string, r httpio.Request, done func(httpio.Response)) {
	controller := y.controller
	if y.inFlight >= y.limit {
		controller.env.schedule(0, controller.whileRunning(func() { done(httpio.Response{Err: httpio.ErrBusy, Refused: true}) }))
		return
	}
	y.inFlight++
	u, err := url.Parse(r.Path)
	if err != nil {
		panic(err) // a path of the controller's own making
	}
	life := controller.incarnation
	request := httpRequest{sender: controller.settings.Node, method: r.Method, path: u.Path, query: u.Query(), body: r.Body}
	cut := controller.env.linkCheck(controller.settings.Public, linkTo(addr))
	controller.env.roundTrip(controller.settings.Zone, addr, request, r.Timeout, cut, func(status int, body []byte) {
		if controller.incarnation != life {
			return
		}
		y.inFlight--
		controller.whileRunning(func() { // whoever stands still hears of it later
			if status == 0 {
				done(httpio.Response{Err: httpio.ErrLost})
				return
			}
			done(httpio.Response{Status: status, Body: body})
		})()
	})
}

// StartController starts a controller that does not run, with nothing but its settings.
func (w *Simulation) StartController(i int) {
	n, env := w.virtual.controllers[i], w.virtual
	if n.process != nil {
		return
	}
	n.incarnation++
	n.startedAt, n.frozenUntil, n.maxLevel = env.clock, 0, w.MaxLevel(i)
	var links []func([]byte)
	for _, p := range env.controllers {
		if p != n {
			links = append(links, func(raw []byte) {
				env.recordMessage(statusTo(p.settings.Node, n.settings.Node, raw))
				env.schedule(jitter(env.rng, env.meanDelay), func() {
					env.deliver(n.settings.Zone, p.settings.Zone, func() {
						if p.process != nil && !env.linkCheck(n.settings.Public, PeerLinks)() && !env.linkCheck(p.settings.Public, PeerLinks)() {
							p.whileRunning(func() { p.process.Hear(raw) })()
						}
					}, func() {})
				})
			})
		}
	}
	n.process = controller.Simulate(n.settings, controller.Environment{
		Now: func() time.Duration { return env.clock - n.startedAt }, EpochMS: n.epochMS + n.startedAt.Milliseconds(),
		Seed: env.rng.Uint64(), Sender: func(limit int) httpio.Sender { return &controllerSender{controller: n, limit: limit} },
	}, links...)
	var tick func()
	tick = n.whileRunning(func() {
		n.process.Tick()
		env.schedule(controller.TickEvery, tick)
	})
	env.schedule(jitter(env.rng, controller.TickEvery), tick)
}

// KillController ends a controller without notice.
func (w *Simulation) KillController(i int) {
	if controller := w.virtual.controllers[i]; controller.process != nil {
		controller.process = nil
		w.stats.ControllersKilled++
	}
}

// DrainController does to a controller what SIGTERM does, and calls ended when its process has ended.
func (w *Simulation) DrainController(i int, ended func()) {
	controller := w.virtual.controllers[i]
	if controller.process == nil {
		ended()
		return
	}
	out := controller.process.Drain()
	controller.draining = true
	w.stats.ControllersDrained++
	var look func()
	life := controller.incarnation
	look = func() {
		select {
		case <-out:
			controller.process, controller.draining = nil, false
			ended()
		default:
			if controller.process == nil || controller.incarnation != life { // killed while it drained
				controller.draining = false
				ended()
				return
			}
			w.virtual.schedule(w.cfg.TickInterval, look)
		}
	}
	look()
}

// ControllerRuns tells whether a controller runs.
func (w *Simulation) ControllerRuns(i int) bool { return w.virtual.controllers[i].process != nil }

// FreezeController lets a controller stand still for a time: what comes in waits, and its steady clock
// has jumped when it goes on.
func (w *Simulation) FreezeController(i int, duration time.Duration) {
	w.virtual.controllers[i].frozenUntil = w.virtual.clock + duration
	w.stats.ControllersFrozen++
}

// MoveWallClock moves a controller's clock on the wall; it counts from its next start.
func (w *Simulation) MoveWallClock(i int, duration time.Duration) {
	w.virtual.controllers[i].epochMS += duration.Milliseconds()
}

// ActingLeaders lists the controllers that lead and may act now, as they believe themselves.
func (w *Simulation) ActingLeaders() (ix []int) {
	for i, controller := range w.virtual.controllers {
		if controller.process != nil && controller.frozenUntil <= w.virtual.clock && controller.process.Leads() {
			ix = append(ix, i)
		}
	}
	return ix
}
