// Package httpio sends outgoing HTTP requests and returns the responses to the event loop.
//
// The package owns the outgoing connections and one goroutine for each request in flight, which ends with the request
// and passes its response on. It never retries a request and never interprets a response: a request without an answer
// may have been carried out, and what that means is up to the caller. The controller makes its clients, for the state
// service and the cloud, the workers, and licence servers.
package httpio

import (
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// Request is one outgoing request.
type Request struct {
	Method  string
	Path    string // path and query
	Body    []byte // JSON; nil for none
	Timeout time.Duration
	Once    bool // close the connection after the response
}

// Response is the outcome of a request. Err is set when no usable response came, in which case the request may or may
// not have been carried out; with Refused it certainly was not.
type Response struct {
	Status  int
	Body    []byte
	Err     error
	Refused bool
}

// Errors of a Response, to be tested with errors.Is.
var (
	// ErrBusy is returned, with Refused, for a request that was not sent because too many are in flight.
	ErrBusy = errors.New("too many requests in flight")
	// ErrLost stands for a response that never came; simulated senders return it.
	ErrLost = errors.New("no answer came")
)

// Sender sends a request to the host at addr and calls done with its outcome, on the event loop, exactly once.
type Sender interface {
	Send(addr string, request Request, done func(Response))
}

const (
	dialTimeout      = 1500 * time.Millisecond
	idleConnTimeout  = 20 * time.Second
	bufferBytes      = 8 << 10
	maxResponseBytes = 64 << 20
	// minConnsPerHost is how many connections to one host are allowed, however low the limit of requests is.
	minConnsPerHost = 8
)

// Client is the Sender on real sockets.
type Client struct {
	client *fasthttp.Client
	post   func(func())
	slots  chan struct{} // one for each request in flight
}

// New returns a client that has at most limit requests in flight. post runs a function on the event loop.
func New(limit int, post func(func())) *Client {
	return &Client{
		client: &fasthttp.Client{
			MaxConnsPerHost:           max(minConnsPerHost, limit/2),
			MaxIdleConnDuration:       idleConnTimeout,
			ReadBufferSize:            bufferBytes,
			WriteBufferSize:           bufferBytes,
			MaxResponseBodySize:       maxResponseBytes,
			NoDefaultUserAgentHeader:  true,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                neverRetry,
			Dial:                      dial,
		},
		post:  post,
		slots: make(chan struct{}, limit),
	}
}

// neverRetry keeps fasthttp from sending a request twice: a caller resolves an indeterminate outcome on the
// assumption that its request was sent once at most.
func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

func dial(addr string) (net.Conn, error) { return net.DialTimeout("tcp4", addr, dialTimeout) }

// Send implements Sender. Beyond the limit of requests in flight the outcome is ErrBusy, at once.
func (c *Client) Send(addr string, request Request, done func(Response)) {
	select {
	case c.slots <- struct{}{}:
	default:
		c.post(func() { done(Response{Err: ErrBusy, Refused: true}) })
		return
	}
	go func() {
		response := c.roundTrip(addr, request)
		<-c.slots
		c.post(func() { done(response) })
	}()
}

// roundTrip sends a request and waits for the response, for at most the request's timeout.
func (c *Client) roundTrip(addr string, request Request) Response {
	wireRequest := fasthttp.AcquireRequest()
	wireResponse := fasthttp.AcquireResponse()
	wireRequest.SetRequestURI("http://" + addr + request.Path)
	wireRequest.Header.SetMethod(request.Method)
	if request.Once {
		wireRequest.SetConnectionClose()
	}
	if request.Body != nil {
		wireRequest.Header.SetContentType("application/json")
		wireRequest.SetBody(request.Body)
	}
	// After a timeout fasthttp may still use both, so they are released only when the call has finished.
	if err := c.client.DoTimeout(wireRequest, wireResponse, request.Timeout); err != nil {
		return Response{Err: err}
	}
	response := Response{
		Status: wireResponse.StatusCode(),
		Body:   append([]byte(nil), wireResponse.Body()...),
	}
	fasthttp.ReleaseRequest(wireRequest)
	fasthttp.ReleaseResponse(wireResponse)
	return response
}
