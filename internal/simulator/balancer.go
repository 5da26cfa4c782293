package simulator

import (
	"net/http"
	"slices"
	"time"
)

// The load balancer's protocol.
const (
	probeInterval  = time.Second
	recentProbes   = 6 // those that count
	maxFailedInRow = 2
	maxFailed      = 3 // of the recent ones
	minPassedInRow = 2 // before a controller comes back

	// A controller that was removed stays out for removalTime, doubled for each further removal within
	// removalWindow, up to maxRemovalTime.
	removalTime    = 3 * time.Second
	maxRemovalTime = time.Minute
	removalWindow  = 2 * time.Minute

	maxRefusals     = 3 // connections in a row, before the controller is skipped
	skipTime        = 3 * time.Second
	connectAttempts = 3
	slowStart       = 10 * time.Second // until a controller that came back gets its full share of connections
	minShare        = 0.1
	closeRemoved    = 5 * time.Second // after its removal, a controller's connections are closed
)

// Balancer is the load balancer in front of the controllers in virtual time, by its protocol: health checks once a
// second, removal times that double, connections that stay open.
type Balancer struct {
	simulation *Simulation
	backends   []*backend
}

// backend is one controller as the balancer sees it.
type backend struct {
	healthy, everHealthy bool
	stateSince           time.Duration // of being healthy or not
	recentProbes         []bool        // whether they passed, the newest last
	passed, failed       int           // probes in a row
	removedAt            []time.Duration
	connections          int
	refusals             int // in a row
	skippedUntil         time.Duration
}

// Connection is one user's connection; its zero value is none.
type Connection struct {
	controller int
	open       bool
	generation int // raised whenever it is closed
}

// Balance puts a load balancer in front of the controllers, and begins its health checks.
func (sim *Simulation) Balance() *Balancer {
	b := &Balancer{simulation: sim}
	for range sim.cfg.Controllers {
		b.backends = append(b.backends, &backend{})
	}
	b.probe()
	return b
}

// probe checks every controller, and schedules the next check.
func (b *Balancer) probe() {
	sim := b.simulation
	for i := range b.backends {
		sim.requestWithin(probeInterval, i, http.MethodGet, "/up", nil, func(status int, _ []byte) {
			b.backends[i].recordProbe(sim.now(), status == http.StatusOK)
		})
	}
	sim.env.schedule(probeInterval, b.probe)
}

// minRemoval is how long a controller stays removed at least.
func (n *backend) minRemoval(now time.Duration) time.Duration {
	lately := 0
	for _, at := range n.removedAt {
		if now-at < removalWindow {
			lately++
		}
	}
	duration := removalTime
	for range lately - 1 {
		duration = min(2*duration, maxRemovalTime)
	}
	return duration
}

// recordProbe adds the result of a health check, and removes the controller or takes it back.
func (n *backend) recordProbe(now time.Duration, passed bool) {
	n.recentProbes = append(n.recentProbes, passed)
	n.recentProbes = n.recentProbes[max(0, len(n.recentProbes)-recentProbes):]
	if passed {
		n.passed++
		n.failed = 0
	} else {
		n.passed = 0
		n.failed++
	}
	switch {
	case n.healthy && n.hasFailed():
		n.removedAt = append(n.removedAt, now)
		n.setHealthy(now, false)
	case !n.healthy && passed && n.mayReturn(now):
		n.everHealthy = true
		n.setHealthy(now, true)
	}
}

func (n *backend) setHealthy(now time.Duration, healthy bool) {
	n.healthy = healthy
	n.stateSince = now
	n.recentProbes = nil
}

func (n *backend) hasFailed() bool {
	failed := 0
	for _, passed := range n.recentProbes {
		if !passed {
			failed++
		}
	}
	return n.failed >= maxFailedInRow || failed >= maxFailed
}

func (n *backend) mayReturn(now time.Duration) bool {
	return !n.everHealthy || n.passed >= minPassedInRow && now-n.stateSince >= n.minRemoval(now)
}

// load is a controller's connections, weighted up while it is new.
func (n *backend) load(now time.Duration) float64 {
	share := (now - n.stateSince).Seconds() / slowStart.Seconds()
	return float64(n.connections+1) / min(1, max(minShare, share))
}

// Healthy reports whether a controller gets new connections.
func (b *Balancer) Healthy(i int) bool { return b.backends[i].healthy }

// connect opens a connection to the healthy controller with the least load that accepts it. It returns false if none
// does.
func (b *Balancer) connect(connection *Connection) bool {
	now := b.simulation.now()
	var tried []int
	for len(tried) < connectAttempts {
		i := b.leastLoaded(now, tried)
		if i < 0 {
			return false
		}
		backend := b.backends[i]
		if b.accepts(now, i) {
			backend.refusals = 0
			backend.connections++
			connection.controller = i
			connection.open = true
			return true
		}
		tried = append(tried, i)
		backend.refusals++
		if backend.refusals >= maxRefusals {
			backend.refusals = 0
			backend.skippedUntil = now + skipTime
		}
	}
	return false
}

// leastLoaded returns the healthy controller with the least load that wasn't tried, -1 for none.
func (b *Balancer) leastLoaded(now time.Duration, tried []int) int {
	best := -1
	for i, backend := range b.backends {
		if !backend.healthy || now < backend.skippedUntil || slices.Contains(tried, i) {
			continue
		}
		if best < 0 || backend.load(now) < b.backends[best].load(now) {
			best = i
		}
	}
	return best
}

// accepts reports whether a controller accepts connections at this moment.
func (b *Balancer) accepts(now time.Duration, i int) bool {
	env := b.simulation.virtual
	c := env.controllers[i]
	return c.process != nil && c.frozenUntil <= now && !env.linkCheck(c.settings.PublicAddr, UserLinks)()
}

func (b *Balancer) closeConnection(connection *Connection) {
	if connection.open {
		b.backends[connection.controller].connections--
		connection.open = false
		connection.generation++
	}
}

// Request sends a user's request over its connection, which is opened if it isn't; status 0 stands for no answer. A
// refusal closes the connection, and so does the removal of its controller after a while.
func (b *Balancer) Request(
	connection *Connection,
	method, path string,
	body []byte,
	timeout time.Duration,
	then func(status int, body []byte),
) {
	sim := b.simulation
	if connection.open {
		backend := b.backends[connection.controller]
		if !backend.healthy && sim.now()-backend.stateSince > closeRemoved {
			b.closeConnection(connection)
		}
	}
	if !connection.open && !b.connect(connection) {
		sim.env.schedule(0, func() { then(0, nil) })
		return
	}
	generation := connection.generation
	sim.requestWithin(timeout, connection.controller, method, path, body, func(status int, raw []byte) {
		refused := status == 0 || status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
		if refused && connection.generation == generation {
			b.closeConnection(connection)
		}
		then(status, raw)
	})
}

const (
	jobPollInterval = 5 * time.Second
	jobPollTimeout  = 2 * time.Second
)

// JobPollers query jobs as their users do, through the balancer, and record when each job's query was answered.
type JobPollers struct {
	balancer *Balancer
	jobs     map[string]*polledJob
}

type polledJob struct {
	connection Connection
	answered   []time.Duration
	onAnswer   func(status int, state string)
}

// JobPollers returns pollers of no jobs yet.
func (b *Balancer) JobPollers() *JobPollers {
	return &JobPollers{balancer: b, jobs: map[string]*polledJob{}}
}

// Follow polls an accepted job from now on; onAnswer, unless it is nil, gets every answer.
func (p *JobPollers) Follow(job string, onAnswer func(status int, state string)) {
	polled := &polledJob{onAnswer: onAnswer}
	p.jobs[job] = polled
	p.poll(job, polled)
}

func (p *JobPollers) poll(job string, polled *polledJob) {
	sim := p.balancer.simulation
	answered := func(status int, raw []byte) {
		if status == http.StatusOK {
			polled.answered = append(polled.answered, sim.now())
		}
		if polled.onAnswer != nil {
			polled.onAnswer(status, jobStateIn(raw))
		}
	}
	p.balancer.Request(&polled.connection, http.MethodGet, runsPath+"/"+job, nil, jobPollTimeout, answered)
	sim.env.schedule(jobPollInterval, func() { p.poll(job, polled) })
}

// LongestUnanswered returns the longest time between two moments in which no query of some job was answered, and
// the job.
func (p *JobPollers) LongestUnanswered(from, to time.Duration) (gap time.Duration, job string) {
	for id, polled := range p.jobs {
		longest := polled.longestUnanswered(from, to)
		if longest > gap || (longest == gap && id < job) {
			gap = longest
			job = id
		}
	}
	return gap, job
}

func (j *polledJob) longestUnanswered(from, to time.Duration) (longest time.Duration) {
	last := from
	for _, at := range j.answered {
		if at >= from && at <= to {
			longest = max(longest, at-last)
			last = at
		}
	}
	return max(longest, to-last)
}
