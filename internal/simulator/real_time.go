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

// httpRequest is one HTTP request to a part of the world.
type httpRequest struct {
	sender       string // who sent it, in a simulation
	method, path string
	query        url.Values
	body         []byte
}

// replyFunc carries a status and a body, JSON already or to be made JSON, to whoever asked.
type replyFunc func(status int, body any)

// handlerFunc answers one request, at once or later, once.
type handlerFunc func(httpRequest, replyFunc)

// environment is what a world stands on: real time and loopback sockets, or a simulation.
type environment interface {
	// now is the time since the world's start.
	now() time.Duration
	// schedule calls f once a time has passed, unless the world has ended.
	schedule(duration time.Duration, f func())
	// listen makes an address in a zone, "" for none, at which h is asked; name is unique.
	listen(name, zone string, handler handlerFunc) (addr string, err error)
	// controllerAddrs are a controller's, for users and for the others.
	controllerAddrs(controller int) (public, back string, err error)
	// post sends the request of a worker, by its machine's name, "" for a late copy, from its zone to an address; status 0
	// means that no answer came.
	post(machine, zone, addr, path string, body []byte, then func(status int, body []byte))
	close()
}

// realTime is real time and real sockets. All addresses are served by one server, and each machine has a client of its
// own, as its worker has: thousands of machines fit one process, and controllers see as many connections as there are
// workers.
type realTime struct {
	start    time.Time
	closed   chan struct{}
	server   *fasthttp.Server
	mu       sync.Mutex
	handlers map[string]handlerFunc // by address
	clients  map[string]*fasthttp.Client
}

// idleTimeout is how long a connection may stay without a request.
const idleTimeout = 30 * time.Second

func newRealTimeEnvironment() *realTime {
	env := &realTime{start: time.Now(), closed: make(chan struct{}), handlers: map[string]handlerFunc{}, clients: map[string]*fasthttp.Client{}}
	env.server = &fasthttp.Server{Handler: env.serve, IdleTimeout: idleTimeout, NoDefaultServerHeader: true, Concurrency: 1 << 20, ReduceMemoryUsage: true}
	return env
}

func (l *realTime) now() time.Duration { return time.Since(l.start) }

func (l *realTime) schedule(duration time.Duration, f func()) {
	time.AfterFunc(duration, func() {
		select {
		case <-l.closed:
		default:
			f()
		}
	})
}

func (l *realTime) listen(_, _ string, handler handlerFunc) (string, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	addr := ln.Addr().String()
	l.mu.Lock()
	l.handlers[addr] = handler
	l.mu.Unlock()
	go func() { _ = l.server.Serve(ln) }()
	return addr, nil
}

// response is what a handler answers.
type response struct {
	status int
	body   any
}

// serve answers a request by the handler of the address at which it came in.
func (l *realTime) serve(c *fasthttp.RequestCtx) {
	l.mu.Lock()
	handler := l.handlers[c.LocalAddr().String()]
	l.mu.Unlock()
	u, err := url.Parse(string(c.RequestURI()))
	if err != nil || handler == nil {
		c.SetStatusCode(400)
		return
	}
	got := make(chan response, 1)
	handler(httpRequest{method: string(c.Method()), path: u.Path, query: u.Query(), body: append([]byte(nil), c.PostBody()...)},
		func(status int, body any) { got <- response{status, body} })
	select {
	case <-l.closed:
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

func (l *realTime) controllerAddrs(int) (public, back string, err error) {
	if public, err = freePort(); err == nil {
		back, err = freePort()
	}
	return public, back, err
}

// maxConnsPerMachine is how many connections a machine may have to a controller: one, and one that was given up.
const maxConnsPerMachine = 2

// client is a machine's own, or for "" that of everything that is late.
func (l *realTime) client(machine string) *fasthttp.Client {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.clients[machine]
	if c == nil {
		c = &fasthttp.Client{Dial: fasthttp.Dial, MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true, MaxIdleConnDuration: idleTimeout}
		if machine != "" {
			c.MaxConnsPerHost = maxConnsPerMachine
		}
		l.clients[machine] = c
	}
	return c
}

func (l *realTime) post(machine, _, addr, path string, body []byte, then func(int, []byte)) {
	client := l.client(machine)
	go func() {
		status, answer := send(client, addr, path, "", body)
		select {
		case <-l.closed:
		default:
			then(status, answer)
		}
	}()
}

func (l *realTime) close() {
	close(l.closed)
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
