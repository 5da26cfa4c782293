package simulator

import (
	"net/http"
	"slices"
	"time"
)

// Parameters of the load balancer's protocol.
const (
	probeInterval  = time.Second
	probeWindow    = 6 // number of probes in the sliding window
	maxFailedInRow = 2 // failed probes in a row that remove a controller
	maxFailed      = 3 // failed probes in the sliding window that remove a controller
	minPassedInRow = 2 // passed probes in a row before a removed controller returns

	// A removed controller stays out for at least removalTime, doubled for each further removal within removalWindow,
	// up to maxRemovalTime.
	removalTime    = 3 * time.Second
	maxRemovalTime = time.Minute
	removalWindow  = 2 * time.Minute

	maxRefusals       = 3               // refused connections in a row after which a controller is skipped
	skipTime          = 3 * time.Second // time for which the controller is skipped
	connectAttempts   = 3
	slowStart         = 10 * time.Second // time until a new controller gets its full share of connections
	minShare          = 0.1              // share of a controller at the beginning of slowStart
	removedCloseDelay = 5 * time.Second  // time after a controller's removal at which its connections are closed
)

// Balancer simulates the load balancer in front of the controllers in virtual time, according to its protocol: health
// checks once a second, removal times that double, and connections that stay open.
type Balancer struct {
	simulation *Simulation
	backends   []*backend
}

// backend is the balancer's state of one controller.
type backend struct {
	healthy, everHealthy bool
	stateSince           time.Duration   // time of the last change of healthy
	recentProbes         []bool          // results of the recent probes since stateSince, newest last; true: passed
	passed, failed       int             // number of passed or failed probes in a row
	removedAt            []time.Duration // times of all removals
	connections          int             // number of open connections
	refusals             int             // number of refused connections in a row
	skippedUntil         time.Duration   // end of the time for which the controller is skipped
}

// Connection is one user's connection to a controller; the zero value is a closed connection.
type Connection struct {
	controller int
	open       bool
	generation int // raised whenever the connection is closed
}

// NewBalancer returns a load balancer for the controllers, whose health checks have begun.
func (sim *Simulation) NewBalancer() *Balancer {
	b := &Balancer{simulation: sim}
	for range sim.cfg.Controllers {
		b.backends = append(b.backends, &backend{})
	}
	b.probe()
	return b
}

// probe sends a health check to every controller, and schedules the next one.
func (b *Balancer) probe() {
	sim := b.simulation
	for i := range b.backends {
		sim.requestWithin(probeInterval, i, http.MethodGet, "/up", nil, func(status int, _ []byte) {
			b.backends[i].recordProbe(sim.now(), status == http.StatusOK)
		})
	}
	sim.env.schedule(probeInterval, b.probe)
}

// minRemovalTime returns the minimum time for which a removed controller stays out.
func (n *backend) minRemovalTime(now time.Duration) time.Duration {
	recentRemovals := 0
	for _, at := range n.removedAt {
		if now-at < removalWindow {
			recentRemovals++
		}
	}
	duration := removalTime
	for range recentRemovals - 1 {
		duration = min(2*duration, maxRemovalTime)
	}
	return duration
}

// recordProbe records the result of a health check, and removes the controller or admits it again.
func (n *backend) recordProbe(now time.Duration, passed bool) {
	n.recentProbes = append(n.recentProbes, passed)
	n.recentProbes = n.recentProbes[max(0, len(n.recentProbes)-probeWindow):]
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
	return !n.everHealthy || n.passed >= minPassedInRow && now-n.stateSince >= n.minRemovalTime(now)
}

// load returns a controller's number of connections including a new one, divided by its share during slowStart.
func (n *backend) load(now time.Duration) float64 {
	share := (now - n.stateSince).Seconds() / slowStart.Seconds()
	return float64(n.connections+1) / min(1, max(minShare, share))
}

// Healthy reports whether the balancer considers a controller healthy, so that it gets new connections.
func (b *Balancer) Healthy(i int) bool { return b.backends[i].healthy }

// connect opens a connection to the least loaded healthy controller that accepts it. It returns false if the
// connection attempts fail.
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

// leastLoaded returns the least loaded controller that is healthy, not skipped and not in tried; -1 for none.
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

// accepts reports whether a controller accepts connections now.
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

// Request sends a user's request over a connection, which is opened first if it is closed; status 0 stands for no
// answer. A refused request closes the connection. A connection is also closed if its controller was removed more than
// removedCloseDelay ago.
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
		if !backend.healthy && sim.now()-backend.stateSince > removedCloseDelay {
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

// JobPollers polls jobs through the balancer as their users do, and records the times of the answers for each job.
type JobPollers struct {
	balancer *Balancer
	jobs     map[string]*polledJob
}

type polledJob struct {
	connection Connection
	answered   []time.Duration // times of the answers with status 200
	onAnswer   func(status int, state string)
}

// NewJobPollers returns pollers without jobs.
func (b *Balancer) NewJobPollers() *JobPollers {
	return &JobPollers{balancer: b, jobs: map[string]*polledJob{}}
}

// Follow polls an accepted job from now on and, unless onAnswer is nil, calls onAnswer with every answer.
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

// LongestUnanswered returns the longest period between the times from and to in which no query about a job was
// answered, over all jobs, and the job.
func (p *JobPollers) LongestUnanswered(from, to time.Duration) (longest time.Duration, job string) {
	for id, polled := range p.jobs {
		unanswered := polled.longestUnanswered(from, to)
		if unanswered > longest || (unanswered == longest && id < job) {
			longest = unanswered
			job = id
		}
	}
	return longest, job
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
