package simulator

import (
	"slices"
	"time"
)

// Balancer is the load balancer in front of a simulation's controllers, by the protocol: health checks once a second,
// pauses that double, connections that stay.
type Balancer struct {
	simulation *Simulation
	backends   []*backend
}

// backend is one controller as the balancer sees it.
type backend struct {
	healthy, everHealthy bool
	recentProbes         []bool // probes, the last six
	successes, failures  int    // in a row
	removedAt            []time.Duration
	stateSince           time.Duration // of being healthy or not
	connections          int           // connections
	refusals             int           // in a row
	skippedUntil         time.Duration
}

// Connection is one user's connection; its zero value is none.
type Connection struct {
	controller int
	open       bool
	generation int // raised whenever it breaks
}

// Balance puts a load balancer in front of the controllers.
func (w *Simulation) Balance() *Balancer {
	balancer := &Balancer{simulation: w}
	for range w.cfg.Controllers {
		balancer.backends = append(balancer.backends, &backend{})
	}
	var probe func()
	probe = func() {
		for i := range balancer.backends {
			w.request(i, "GET", "/up", nil, time.Second, func(status int, _ []byte) { balancer.recordProbe(i, status == 200) })
		}
		w.env.schedule(time.Second, probe)
	}
	probe()
	return balancer
}

// minRemoval is how long a controller stays out at least: 3 s, doubled for each further removal within two minutes.
func (n *backend) minRemoval(now time.Duration) time.Duration {
	duration := 3 * time.Second
	lately := 0
	for _, at := range n.removedAt {
		if now-at < 2*time.Minute {
			lately++
		}
	}
	for range lately - 1 {
		duration = min(2*duration, time.Minute)
	}
	return duration
}

func (b *Balancer) recordProbe(i int, ok bool) {
	backend, now := b.backends[i], b.simulation.now()
	backend.recentProbes = append(backend.recentProbes, ok)
	backend.recentProbes = backend.recentProbes[max(0, len(backend.recentProbes)-6):]
	if ok {
		backend.successes, backend.failures = backend.successes+1, 0
	} else {
		backend.successes, backend.failures = 0, backend.failures+1
	}
	failed := 0
	for _, r := range backend.recentProbes {
		if !r {
			failed++
		}
	}
	switch {
	case backend.healthy && (backend.failures >= 2 || failed >= 3):
		backend.healthy, backend.stateSince, backend.removedAt = false, now, append(backend.removedAt, now)
		backend.recentProbes = nil
	case !backend.healthy && ok && (!backend.everHealthy || backend.successes >= 2 && now-backend.stateSince >= backend.minRemoval(now)):
		backend.healthy, backend.everHealthy, backend.stateSince = true, true, now
		backend.recentProbes = nil
	}
}

// Healthy tells whether a controller gets new connections.
func (b *Balancer) Healthy(i int) bool { return b.backends[i].healthy }

// connect finds a controller for a new connection: a healthy one with few of them that takes it.
func (b *Balancer) connect(connection *Connection) bool {
	now := b.simulation.now()
	var tried []int
	for len(tried) < 3 {
		best := -1
		load := func(i int) float64 {
			backend := b.backends[i]
			return float64(backend.connections+1) / min(1, max(0.1, (now-backend.stateSince).Seconds()/10))
		}
		for i, backend := range b.backends {
			if backend.healthy && now >= backend.skippedUntil && !slices.Contains(tried, i) && (best < 0 || load(i) < load(best)) {
				best = i
			}
		}
		if best < 0 {
			return false
		}
		backend, c := b.backends[best], b.simulation.virtual.controllers[best]
		if c.process != nil && c.frozenUntil <= now && !b.simulation.virtual.linkCheck(c.settings.Public, UserLinks)() {
			backend.refusals = 0
			backend.connections++
			connection.controller, connection.open = best, true
			return true
		}
		tried = append(tried, best)
		if backend.refusals++; backend.refusals >= 3 {
			backend.refusals, backend.skippedUntil = 0, now+3*time.Second
		}
	}
	return false
}

// closeConnection ends a connection.
func (b *Balancer) closeConnection(connection *Connection) {
	if connection.open {
		b.backends[connection.controller].connections--
		connection.open = false
		connection.generation++
	}
}

// Request carries a user's request over its connection, which is made if there is none; status 0: no answer came.
// A controller closes the connection with a refusal, and one that was out for five seconds loses its connections.
func (b *Balancer) Request(connection *Connection, method, path string, body []byte, limit time.Duration, then func(status int, body []byte)) {
	if connection.open && !b.backends[connection.controller].healthy && b.simulation.now()-b.backends[connection.controller].stateSince > 5*time.Second {
		b.closeConnection(connection)
	}
	if !connection.open && !b.connect(connection) {
		b.simulation.env.schedule(0, func() { then(0, nil) })
		return
	}
	gen := connection.generation
	b.simulation.request(connection.controller, method, path, body, limit, func(status int, raw []byte) {
		if (status == 0 || status == 429 || status == 503) && connection.generation == gen {
			b.closeConnection(connection)
		}
		then(status, raw)
	})
}

// JobPollers ask about jobs as their users do, every five seconds with two for an answer, through the balancer, and keep
// when each job's question was answered.
type JobPollers struct {
	balancer *Balancer
	jobs     map[string]*polledJob
}

type polledJob struct {
	connection Connection
	answered   []time.Duration
	onAnswer   func(status int, stance string)
}

// JobPollers makes a crowd that asks about nothing yet.
func (b *Balancer) JobPollers() *JobPollers {
	return &JobPollers{balancer: b, jobs: map[string]*polledJob{}}
}

// Follow asks about an accepted job from now on; said, unless it is nil, is told every answer.
func (a *JobPollers) Follow(id string, said func(status int, stance string)) {
	job := &polledJob{onAnswer: said}
	a.jobs[id] = job
	var ask func()
	ask = func() {
		a.balancer.Request(&job.connection, "GET", "/v2/runs/"+id, nil, 2*time.Second, func(status int, raw []byte) {
			stance := jobStateIn(raw)
			if status == 200 {
				job.answered = append(job.answered, a.balancer.simulation.now())
			}
			if job.onAnswer != nil {
				job.onAnswer(status, stance)
			}
		})
		a.balancer.simulation.env.schedule(5*time.Second, ask)
	}
	ask()
}

// LongestUnanswered is the longest time, between two moments, in which no question about some one job was answered, and which job.
func (a *JobPollers) LongestUnanswered(from, to time.Duration) (gap time.Duration, job string) {
	for id, j := range a.jobs {
		last := from
		longest := func(t time.Duration) {
			if t-last > gap || (t-last == gap && id < job) {
				gap, job = t-last, id
			}
			last = t
		}
		for _, t := range j.answered {
			if t >= from && t <= to {
				longest(t)
			}
		}
		longest(to)
	}
	return gap, job
}
