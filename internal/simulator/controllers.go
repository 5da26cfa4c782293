package simulator

import (
	"net/url"
	"time"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/controller"
	"github.com/harewalk/harewalk/internal/httpio"
	"github.com/harewalk/harewalk/internal/rollout"
)

// simulatedController is one controller in virtual time. The object outlives restarts; process is the running
// instance.
type simulatedController struct {
	env         *virtualTime
	index       int
	settings    *config.Settings
	epochMS     int64 // wall clock at the simulation's start, in milliseconds since the Unix epoch
	incarnation int   // raised by each start

	process     *controller.Simulated // nil while the controller isn't running
	startedAt   time.Duration
	frozenUntil time.Duration // events before this time are deferred to this time
	draining    bool
	maxLevel    rollout.Level // highest level that the process supports
}

// whileRunning returns a function that calls f unless the controller's current incarnation has ended. While the
// controller is frozen the call is deferred.
func (c *simulatedController) whileRunning(f func()) func() {
	incarnation := c.incarnation
	var guarded func()
	guarded = func() {
		switch {
		case c.process == nil || c.incarnation != incarnation:
		case c.frozenUntil > c.env.clock:
			c.env.schedule(c.frozenUntil-c.env.clock, guarded)
		default:
			f()
		}
	}
	return guarded
}

// serve passes an HTTP request to the controller; one that isn't running refuses the connection.
func (c *simulatedController) serve(request httpRequest, reply replyFunc) {
	if c.process == nil {
		reply(0, nil)
		return
	}
	c.whileRunning(func() {
		answer := func(status int, body []byte) { reply(status, body) }
		c.process.HandleRequest(request.method, request.path, request.body, answer)
	})()
}

// controllerSender sends the requests of one incarnation of a controller to the services and the workers.
type controllerSender struct {
	controller *simulatedController
	limit      int // maximum number of requests in flight
	inFlight   int
}

// Send implements httpio.Sender.
func (s *controllerSender) Send(addr string, outgoing httpio.Request, done func(httpio.Response)) {
	c := s.controller
	if s.inFlight >= s.limit {
		busy := httpio.Response{Err: httpio.ErrBusy, Refused: true}
		c.env.schedule(0, c.whileRunning(func() { done(busy) }))
		return
	}
	s.inFlight++
	target, err := url.Parse(outgoing.Path)
	if err != nil {
		panic(err) // the controller itself built the path
	}
	incarnation := c.incarnation
	request := httpRequest{
		sender: c.settings.Node,
		method: outgoing.Method,
		path:   target.Path,
		query:  target.Query(),
		body:   outgoing.Body,
	}
	isCut := c.env.linkCheck(c.settings.PublicAddr, linkTo(addr))
	c.env.roundTrip(c.settings.Zone, addr, request, outgoing.Timeout, isCut, func(status int, body []byte) {
		if c.incarnation != incarnation {
			return
		}
		s.inFlight--
		result := httpio.Response{Status: status, Body: body}
		if status == 0 {
			result = httpio.Response{Err: httpio.ErrLost}
		}
		c.whileRunning(func() { done(result) })()
	})
}

// StartController starts a controller unless it is running. The new process has only its settings.
func (sim *Simulation) StartController(i int) {
	env := sim.virtual
	c := env.controllers[i]
	if c.process != nil {
		return
	}
	c.incarnation++
	c.startedAt = env.clock
	c.frozenUntil = 0
	c.maxLevel = sim.MaxLevel(i)
	var links []func([]byte)
	for _, peer := range env.controllers {
		if peer != c {
			links = append(links, func(status []byte) { c.sendStatus(peer, status) })
		}
	}
	c.process = controller.Simulate(c.settings, controller.Environment{
		Now:     func() time.Duration { return env.clock - c.startedAt },
		EpochMS: c.epochMS + c.startedAt.Milliseconds(),
		Seed:    env.rng.Uint64(),
		Sender:  func(limit int) httpio.Sender { return &controllerSender{controller: c, limit: limit} },
	}, links...)
	var tick func()
	tick = c.whileRunning(func() {
		c.process.Tick()
		env.schedule(controller.TickInterval, tick)
	})
	env.schedule(jitter(env.rng, controller.TickInterval), tick)
}

// sendStatus sends a status message of the controller to a peer.
func (c *simulatedController) sendStatus(peer *simulatedController, status []byte) {
	env := c.env
	env.recordMessage(statusTo(peer.settings.Node, c.settings.Node, status))
	receive := func() {
		cut := env.linkCheck(c.settings.PublicAddr, PeerLinks)() || env.linkCheck(peer.settings.PublicAddr, PeerLinks)()
		if peer.process != nil && !cut {
			peer.whileRunning(func() { peer.process.HandleStatus(status) })()
		}
	}
	env.schedule(jitter(env.rng, env.network.meanDelay), func() {
		env.deliver(c.settings.Zone, peer.settings.Zone, receive, func() {})
	})
}

// KillController ends a controller's process immediately, without a drain.
func (sim *Simulation) KillController(i int) {
	if c := sim.virtual.controllers[i]; c.process != nil {
		c.process = nil
		sim.stats.ControllersKilled++
	}
}

// DrainController drains a controller as SIGTERM does, and calls ended once its process has ended.
func (sim *Simulation) DrainController(i int, ended func()) {
	c := sim.virtual.controllers[i]
	if c.process == nil {
		ended()
		return
	}
	drained := c.process.Drain()
	c.draining = true
	sim.stats.ControllersDrained++
	incarnation := c.incarnation
	var poll func()
	poll = func() {
		select {
		case <-drained:
			c.process = nil
			c.draining = false
			ended()
		default:
			if c.process == nil || c.incarnation != incarnation { // killed during the drain
				c.draining = false
				ended()
				return
			}
			sim.virtual.schedule(sim.cfg.TickInterval, poll)
		}
	}
	poll()
}

// ControllerRuns reports whether a controller is running.
func (sim *Simulation) ControllerRuns(i int) bool { return sim.virtual.controllers[i].process != nil }

// FreezeController suspends a controller for the duration. Incoming messages and timers are deferred, and the
// controller's monotonic clock has advanced by the duration when it resumes.
func (sim *Simulation) FreezeController(i int, duration time.Duration) {
	sim.virtual.controllers[i].frozenUntil = sim.virtual.clock + duration
	sim.stats.ControllersFrozen++
}

// MoveWallClock shifts a controller's wall clock by a duration, from the controller's next start on.
func (sim *Simulation) MoveWallClock(i int, by time.Duration) {
	sim.virtual.controllers[i].epochMS += by.Milliseconds()
}

// ActingLeaders lists the running controllers that consider themselves the leader with the right to act now.
func (sim *Simulation) ActingLeaders() (controllers []int) {
	for i, c := range sim.virtual.controllers {
		if c.process != nil && c.frozenUntil <= sim.virtual.clock && c.process.IsActiveLeader() {
			controllers = append(controllers, i)
		}
	}
	return controllers
}

// MembershipState returns the name of a controller's membership state, as in its log; "" if it isn't running.
func (sim *Simulation) MembershipState(i int) string {
	if c := sim.virtual.controllers[i]; c.process != nil {
		return c.process.MembershipState()
	}
	return ""
}

// electionPoll is the interval at which RestartControllerAtStep checks a controller's membership state.
const electionPoll = time.Millisecond

// RestartControllerAtStep kills a controller when it reaches a membership state, and starts it again after a delay.
func (sim *Simulation) RestartControllerAtStep(i int, step string, after time.Duration) {
	incarnation := sim.virtual.controllers[i].incarnation
	var poll func()
	poll = func() {
		switch {
		case sim.virtual.controllers[i].incarnation != incarnation:
		case sim.MembershipState(i) == step:
			sim.KillController(i)
			sim.env.schedule(after, func() { sim.StartController(i) })
		default:
			sim.env.schedule(electionPoll, poll)
		}
	}
	poll()
}
