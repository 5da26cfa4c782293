// Package httpio sends outgoing HTTP requests and returns the responses to the event loop.
//
// The package owns the outgoing connections and one goroutine for each request in flight. The goroutine passes the
// response on and ends with the request. The package never retries a request and never interprets a response. If a
// request gets no response, the server may have processed it, and the caller decides how to proceed. The controller
// creates a client each for the state service and the cloud, for the workers, and for licence servers.
package httpio

import (
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// Request is one outgoing request.
type Request struct {
	Method          string
	Path            string // path and query
	Body            []byte // JSON; nil: no body
	Timeout         time.Duration
	CloseConnection bool // close the connection after the response
}

// Response is the outcome of a request. Err is set if no usable response was received. The server may then have
// processed the request or not; if Refused is set, the request was certainly not processed.
type Response struct {
	Status  int
	Body    []byte
	Err     error
	Refused bool
}

// Errors of a Response, for errors.Is.
var (
	// ErrBusy is returned, with Refused set, for a request that was not sent because the limit of requests in flight
	// is reached.
	ErrBusy = errors.New("too many requests in flight")
	// ErrLost is returned by simulated senders if the response is lost.
	ErrLost = errors.New("no response received")
)

// Sender sends a request to the host at addr, and calls done exactly once, on the event loop, with the outcome.
type Sender interface {
	Send(addr string, request Request, done func(Response))
}

const (
	dialTimeout      = 1500 * time.Millisecond
	idleConnTimeout  = 20 * time.Second
	bufferBytes      = 8 << 10
	maxResponseBytes = 64 << 20
	// minConnsPerHost is the minimum of the limit of connections to one host, even if the limit of requests is lower.
	minConnsPerHost = 8
)

// Client is a Sender that uses real sockets.
type Client struct {
	client *fasthttp.Client
	post   func(func())  // runs a function on the event loop
	slots  chan struct{} // contains one element for each request in flight
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

// neverRetry makes fasthttp send each request at most once. Callers rely on this when they resolve an indeterminate
// outcome.
func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

func dial(addr string) (net.Conn, error) { return net.DialTimeout("tcp4", addr, dialTimeout) }

// Send implements Sender. If the limit of requests in flight is reached, it posts ErrBusy at once.
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

// roundTrip sends a request and waits for the response for at most the request's timeout.
func (c *Client) roundTrip(addr string, request Request) Response {
	wireRequest := fasthttp.AcquireRequest()
	wireResponse := fasthttp.AcquireResponse()
	wireRequest.SetRequestURI("http://" + addr + request.Path)
	wireRequest.Header.SetMethod(request.Method)
	if request.CloseConnection {
		wireRequest.SetConnectionClose()
	}
	if request.Body != nil {
		wireRequest.Header.SetContentType("application/json")
		wireRequest.SetBody(request.Body)
	}
	// After a timeout fasthttp may still use the request and the response. They are released only after a call without
	// error.
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
