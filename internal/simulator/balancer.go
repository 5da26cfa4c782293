package simulator

import (
	"slices"
	"time"
)

// Balancer is the load balancer in front of a simulation's controllers, by the protocol: health checks once a second,
// pauses that double, connections that stay.
type Balancer struct {
	w     *World
	nodes []*backend
}

// backend is one controller as the balancer sees it.
type backend struct {
	healthy, ever bool
	recent        []bool // probes, the last six
	wins, losses  int    // in a row
	removed       []time.Duration
	since         time.Duration // of being healthy or not
	open          int           // connections
	refused       int           // in a row
	skipTill      time.Duration
}

// Line is one user's connection; its zero value is none.
type Line struct {
	to   int
	open bool
	gen  int // raised whenever it breaks
}

// Balance puts a load balancer in front of the controllers.
func (w *World) Balance() *Balancer {
	b := &Balancer{w: w}
	for range w.cfg.Controllers {
		b.nodes = append(b.nodes, &backend{})
	}
	var probe func()
	probe = func() {
		for i := range b.nodes {
			w.ask(i, "GET", "/up", nil, time.Second, func(status int, _ []byte) { b.probed(i, status == 200) })
		}
		w.ground.after(time.Second, probe)
	}
	probe()
	return b
}

// pause is how long a controller stays out at least: 3 s, doubled for each further removal within two minutes.
func (n *backend) pause(now time.Duration) time.Duration {
	duration := 3 * time.Second
	lately := 0
	for _, at := range n.removed {
		if now-at < 2*time.Minute {
			lately++
		}
	}
	for range lately - 1 {
		duration = min(2*duration, time.Minute)
	}
	return duration
}

func (b *Balancer) probed(i int, ok bool) {
	n, now := b.nodes[i], b.w.now()
	n.recent = append(n.recent, ok)
	n.recent = n.recent[max(0, len(n.recent)-6):]
	if ok {
		n.wins, n.losses = n.wins+1, 0
	} else {
		n.wins, n.losses = 0, n.losses+1
	}
	failed := 0
	for _, r := range n.recent {
		if !r {
			failed++
		}
	}
	switch {
	case n.healthy && (n.losses >= 2 || failed >= 3):
		n.healthy, n.since, n.removed = false, now, append(n.removed, now)
		n.recent = nil
	case !n.healthy && ok && (!n.ever || n.wins >= 2 && now-n.since >= n.pause(now)):
		n.healthy, n.ever, n.since = true, true, now
		n.recent = nil
	}
}

// Healthy tells whether a controller gets new connections.
func (b *Balancer) Healthy(i int) bool { return b.nodes[i].healthy }

// connect finds a controller for a new connection: a healthy one with few of them that takes it.
func (b *Balancer) connect(l *Line) bool {
	now := b.w.now()
	var tried []int
	for len(tried) < 3 {
		best := -1
		load := func(i int) float64 {
			n := b.nodes[i]
			return float64(n.open+1) / min(1, max(0.1, (now-n.since).Seconds()/10))
		}
		for i, n := range b.nodes {
			if n.healthy && now >= n.skipTill && !slices.Contains(tried, i) && (best < 0 || load(i) < load(best)) {
				best = i
			}
		}
		if best < 0 {
			return false
		}
		n, c := b.nodes[best], b.w.sim.nodes[best]
		if c.c != nil && c.frozen <= now && !b.w.sim.severed(c.s.PublicAddr, FromUsers)() {
			n.refused = 0
			n.open++
			l.to, l.open = best, true
			return true
		}
		tried = append(tried, best)
		if n.refused++; n.refused >= 3 {
			n.refused, n.skipTill = 0, now+3*time.Second
		}
	}
	return false
}

// close ends a connection.
func (b *Balancer) close(l *Line) {
	if l.open {
		b.nodes[l.to].open--
		l.open = false
		l.gen++
	}
}

// Ask carries a user's request over its connection, which is made if there is none; status 0: no answer came.
// A controller closes the connection with a refusal, and one that was out for five seconds loses its connections.
func (b *Balancer) Ask(l *Line, method, path string, body []byte, limit time.Duration, then func(status int, body []byte)) {
	if l.open && !b.nodes[l.to].healthy && b.w.now()-b.nodes[l.to].since > 5*time.Second {
		b.close(l)
	}
	if !l.open && !b.connect(l) {
		b.w.ground.after(0, func() { then(0, nil) })
		return
	}
	gen := l.gen
	b.w.ask(l.to, method, path, body, limit, func(status int, raw []byte) {
		if (status == 0 || status == 429 || status == 503) && l.gen == gen {
			b.close(l)
		}
		then(status, raw)
	})
}

// Watchers ask about jobs as their users do, every five seconds with two for an answer, through the balancer, and keep
// when each job's question was answered.
type Watchers struct {
	b    *Balancer
	jobs map[string]*watched
}

type watched struct {
	line     Line
	answered []time.Duration
	said     func(status int, stance string)
}

// Watchers makes a crowd that asks about nothing yet.
func (b *Balancer) Watchers() *Watchers { return &Watchers{b: b, jobs: map[string]*watched{}} }

// Follow asks about an accepted job from now on; said, unless it is nil, is told every answer.
func (a *Watchers) Follow(id string, said func(status int, stance string)) {
	j := &watched{said: said}
	a.jobs[id] = j
	var ask func()
	ask = func() {
		a.b.Ask(&j.line, "GET", "/v2/runs/"+id, nil, 2*time.Second, func(status int, raw []byte) {
			stance := stanceOf(raw)
			if status == 200 {
				j.answered = append(j.answered, a.b.w.now())
			}
			if j.said != nil {
				j.said(status, stance)
			}
		})
		a.b.w.ground.after(5*time.Second, ask)
	}
	ask()
}

// Longest is the longest time, between two moments, in which no question about some one job was answered, and which job.
func (a *Watchers) Longest(from, to time.Duration) (gap time.Duration, job string) {
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
