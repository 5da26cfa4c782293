package simulator

import (
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// idleTimeout is how long a connection may stay open without a request.
	idleTimeout = 30 * time.Second
	// shutdownTimeout is how long a shutdown waits for requests that are being served.
	shutdownTimeout = 100 * time.Millisecond
	// maxServerConns is far above the number of connections in any simulation.
	maxServerConns = 1 << 20
	// maxConnsPerMachine limits a machine's connections to a controller: one in use, and one whose request timed out.
	maxConnsPerMachine = 2
)

// realTime is the environment in real time, on loopback sockets. One server serves all addresses, so that thousands of
// machines fit one process. Each machine has its own client, as a real worker has, so that controllers have as many
// connections as there are workers.
type realTime struct {
	start  time.Time
	closed chan struct{}
	server *fasthttp.Server
	ports  portAllocator

	mu       sync.Mutex
	handlers map[string]handlerFunc      // by address
	clients  map[string]*fasthttp.Client // by machine
}

func newRealTimeEnvironment() *realTime {
	env := &realTime{
		start:    time.Now(),
		closed:   make(chan struct{}),
		handlers: map[string]handlerFunc{},
		clients:  map[string]*fasthttp.Client{},
	}
	env.server = &fasthttp.Server{
		Handler:               env.serve,
		IdleTimeout:           idleTimeout,
		NoDefaultServerHeader: true,
		Concurrency:           maxServerConns,
		ReduceMemoryUsage:     true,
	}
	return env
}

func (env *realTime) now() time.Duration { return time.Since(env.start) }

func (env *realTime) schedule(duration time.Duration, f func()) {
	time.AfterFunc(duration, func() { env.unlessClosed(f) })
}

func (env *realTime) unlessClosed(f func()) {
	select {
	case <-env.closed:
	default:
		f()
	}
}

// listen serves a new address until the environment is closed.
func (env *realTime) listen(_, _ string, handler handlerFunc) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	addr := listener.Addr().String()
	env.mu.Lock()
	env.handlers[addr] = handler
	env.mu.Unlock()
	go func() { _ = env.server.Serve(listener) }()
	return addr, nil
}

// response is a handler's answer, passed to the server's goroutine.
type response struct {
	status int
	body   any
}

// serve passes a request to the handler of the address at which it arrived, and sends the handler's answer.
func (env *realTime) serve(ctx *fasthttp.RequestCtx) {
	env.mu.Lock()
	handler := env.handlers[ctx.LocalAddr().String()]
	env.mu.Unlock()
	target, err := url.Parse(string(ctx.RequestURI()))
	if err != nil || handler == nil {
		ctx.SetStatusCode(http.StatusBadRequest)
		return
	}
	request := httpRequest{
		method: string(ctx.Method()),
		path:   target.Path,
		query:  target.Query(),
		body:   append([]byte(nil), ctx.PostBody()...),
	}
	answered := make(chan response, 1)
	handler(request, func(status int, body any) { answered <- response{status, body} })
	select {
	case <-env.closed:
		ctx.SetStatusCode(http.StatusServiceUnavailable)
	case answer := <-answered:
		ctx.SetContentType("application/json")
		ctx.SetStatusCode(answer.status)
		ctx.SetBody(encodeBody(answer.body))
	}
}

func (env *realTime) controllerAddrs(int) (public, peer string, err error) {
	if public, err = env.ports.allocate(); err != nil {
		return "", "", err
	}
	peer, err = env.ports.allocate()
	return public, peer, err
}

// client returns the client of a machine; "" stands for the shared client that sends the copies of messages.
func (env *realTime) client(machine string) *fasthttp.Client {
	env.mu.Lock()
	defer env.mu.Unlock()
	client := env.clients[machine]
	if client != nil {
		return client
	}
	client = &fasthttp.Client{
		Dial:                      fasthttp.Dial,
		MaxIdemponentCallAttempts: 1,
		NoDefaultUserAgentHeader:  true,
		MaxIdleConnDuration:       idleTimeout,
	}
	if machine != "" {
		client.MaxConnsPerHost = maxConnsPerMachine
	}
	env.clients[machine] = client
	return client
}

// post sends the request on a new goroutine, which ends with the answer or the client's timeout.
func (env *realTime) post(machine, _, addr, path string, body []byte, then func(int, []byte)) {
	client := env.client(machine)
	go func() {
		status, answer := send(client, addr, path, "", body)
		env.unlessClosed(func() { then(status, answer) })
	}()
}

func (env *realTime) close() {
	close(env.closed)
	done := make(chan struct{})
	go func() {
		_ = env.server.Shutdown()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(shutdownTimeout):
	}
	env.mu.Lock()
	defer env.mu.Unlock()
	for _, client := range env.clients {
		client.CloseIdleConnections()
	}
	_ = env.ports.close() // the ports are free even if closing a listener reports an error
}

// sendTimeout is how long send waits for an answer.
const sendTimeout = 4 * time.Second

// newUserClient returns a client that doesn't retry requests.
func newUserClient() *fasthttp.Client {
	return &fasthttp.Client{MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true}
}

// send sends a POST request if body isn't nil and a GET request otherwise, with the bearer token unless it is "";
// status 0 stands for no answer.
func send(client *fasthttp.Client, to, path, token string, body []byte) (status int, answer []byte) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + to + path)
	if body != nil {
		request.Header.SetMethod(http.MethodPost)
		request.Header.SetContentType("application/json")
		request.SetBody(body)
	}
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	if client.DoTimeout(request, response, sendTimeout) != nil {
		return 0, nil
	}
	return response.StatusCode(), append([]byte(nil), response.Body()...)
}
