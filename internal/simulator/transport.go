package simulator

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/url"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// request is one HTTP request to a part of the world.
type request struct {
	from         string // who sent it, in a simulation
	method, path string
	query        url.Values
	body         []byte
}

// answer carries a status and a body, JSON already or to be made JSON, to whoever asked.
type answer func(status int, body any)

// handler answers one request, at once or later, once.
type handler func(request, answer)

// ground is what a world stands on: real time and loopback sockets, or a simulation.
type ground interface {
	// now is the time since the world's start.
	now() time.Duration
	// after calls f once a time has passed, unless the world has ended.
	after(duration time.Duration, f func())
	// listen makes an address in a zone, "" for none, at which h is asked; name is unique.
	listen(name, zone string, h handler) (addr string, err error)
	// addresses are a controller's, for users and for the others.
	addresses(controller int) (public, back string, err error)
	// ask sends the request of a worker, by its machine's name, "" for a late copy, from its zone to an address; status 0
	// means that no answer came.
	ask(machine, zone, addr, path string, body []byte, then func(status int, body []byte))
	close()
}

// loopback is real time and real sockets. All addresses are served by one server, and each machine has a client of its
// own, as its worker has: thousands of machines fit one process, and controllers see as many connections as there are
// workers.
type loopback struct {
	start    time.Time
	stop     chan struct{}
	server   *fasthttp.Server
	mu       sync.Mutex
	handlers map[string]handler // by address
	clients  map[string]*fasthttp.Client
}

// idleTimeout is how long a connection may stay without a request.
const idleTimeout = 30 * time.Second

func newLoopback() *loopback {
	l := &loopback{start: time.Now(), stop: make(chan struct{}), handlers: map[string]handler{}, clients: map[string]*fasthttp.Client{}}
	l.server = &fasthttp.Server{Handler: l.serve, IdleTimeout: idleTimeout, NoDefaultServerHeader: true, Concurrency: 1 << 20, ReduceMemoryUsage: true}
	return l
}

func (l *loopback) now() time.Duration { return time.Since(l.start) }

func (l *loopback) after(duration time.Duration, f func()) {
	time.AfterFunc(duration, func() {
		select {
		case <-l.stop:
		default:
			f()
		}
	})
}

func (l *loopback) listen(_, _ string, h handler) (string, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	addr := ln.Addr().String()
	l.mu.Lock()
	l.handlers[addr] = h
	l.mu.Unlock()
	go func() { _ = l.server.Serve(ln) }()
	return addr, nil
}

// said is what a handler answers.
type said struct {
	status int
	body   any
}

// serve answers a request by the handler of the address at which it came in.
func (l *loopback) serve(c *fasthttp.RequestCtx) {
	l.mu.Lock()
	h := l.handlers[c.LocalAddr().String()]
	l.mu.Unlock()
	u, err := url.Parse(string(c.RequestURI()))
	if err != nil || h == nil {
		c.SetStatusCode(400)
		return
	}
	got := make(chan said, 1)
	h(request{method: string(c.Method()), path: u.Path, query: u.Query(), body: append([]byte(nil), c.PostBody()...)},
		func(status int, body any) { got <- said{status, body} })
	select {
	case <-l.stop:
		c.SetStatusCode(503)
	case a := <-got:
		raw, ok := a.body.([]byte)
		if !ok {
			raw, _ = json.Marshal(a.body)
		}
		c.SetContentType("application/json")
		c.SetStatusCode(a.status)
		c.SetBody(raw)
	}
}

func (l *loopback) addresses(int) (public, back string, err error) {
	if public, err = freePort(); err == nil {
		back, err = freePort()
	}
	return public, back, err
}

// connsOfMachine is how many connections a machine may have to a controller: one, and one that was given up.
const connsOfMachine = 2

// client is a machine's own, or for "" that of everything that is late.
func (l *loopback) client(machine string) *fasthttp.Client {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.clients[machine]
	if c == nil {
		c = &fasthttp.Client{Dial: fasthttp.Dial, MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true, MaxIdleConnDuration: idleTimeout}
		if machine != "" {
			c.MaxConnsPerHost = connsOfMachine
		}
		l.clients[machine] = c
	}
	return c
}

func (l *loopback) ask(machine, _, addr, path string, body []byte, then func(int, []byte)) {
	client := l.client(machine)
	go func() {
		status, answer := send(client, addr, path, "", body)
		select {
		case <-l.stop:
		default:
			then(status, answer)
		}
	}()
}

func (l *loopback) close() {
	close(l.stop)
	done := make(chan struct{})
	go func() { _ = l.server.Shutdown(); close(done) }()
	select {
	case <-done:
	case <-time.After(100 * time.Millisecond):
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.clients {
		c.CloseIdleConnections()
	}
}

// jitter draws a time between half and one and a half of a mean.
func jitter(rng *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration((0.5 + rng.Float64()) * float64(mean))
}
