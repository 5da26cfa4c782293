// Package httpio sends outgoing HTTP requests from I/O goroutines and hands the answers
// back to the event loop.
package httpio

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// Request is one outgoing request.
type Request struct {
	Method  string
	Path    string // path and query
	Body    []byte
	Timeout time.Duration
	Once    bool // close the connection after the answer
}

// Response is its outcome: Err is set when nothing usable came back, in which case the
// request may or may not have been carried out. Refused means it surely was not.
type Response struct {
	Status  int
	Body    []byte
	Err     error
	Refused bool
}

// Sender sends a request to one host and calls done, on the event loop, exactly once.
type Sender interface {
	Send(addr string, req Request, done func(Response))
}

// Client is the Sender on real sockets.
type Client struct {
	client *fasthttp.Client
	post   func(func())
	slots  chan struct{}
}

// New makes a client that has at most limit requests in flight; answers go through post.
func New(limit int, post func(func())) *Client {
	return &Client{
		client: &fasthttp.Client{
			MaxConnsPerHost:               max(8, limit/2),
			MaxIdleConnDuration:           20 * time.Second,
			ReadBufferSize:                8 << 10,
			WriteBufferSize:               8 << 10,
			MaxResponseBodySize:           64 << 20,
			NoDefaultUserAgentHeader:      true,
			MaxIdemponentCallAttempts:     1,
			DisableHeaderNamesNormalizing: false,
			RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) {
				// A request sent twice behind our back would break "unknown outcome".
				return false, false
			},
			Dial: func(addr string) (net.Conn, error) {
				return net.DialTimeout("tcp4", addr, 1500*time.Millisecond)
			},
		},
		post:  post,
		slots: make(chan struct{}, limit),
	}
}

type localErr string

func (e localErr) Error() string { return string(e) }

// ErrBusy says that too many requests are in flight already, ErrLost that no answer came.
const (
	ErrBusy = localErr("too many requests in flight")
	ErrLost = localErr("no answer came")
)

// Send implements Sender.
func (c *Client) Send(addr string, req Request, done func(Response)) {
	select {
	case c.slots <- struct{}{}:
	default:
		c.post(func() { done(Response{Err: ErrBusy, Refused: true}) })
		return
	}
	go func() {
		response := c.do(addr, req)
		<-c.slots
		c.post(func() { done(response) })
	}()
}

func (c *Client) do(addr string, req Request) Response {
	q, p := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	q.SetRequestURI("http://" + addr + req.Path)
	q.Header.SetMethod(req.Method)
	if req.Once {
		q.SetConnectionClose()
	}
	if req.Body != nil {
		q.Header.SetContentType("application/json")
		q.SetBody(req.Body)
	}
	// After a time-out fasthttp still owns both; only a finished call gives them back.
	if err := c.client.DoTimeout(q, p, req.Timeout); err != nil {
		return Response{Err: err}
	}
	response := Response{Status: p.StatusCode(), Body: append([]byte(nil), p.Body()...)}
	fasthttp.ReleaseRequest(q)
	fasthttp.ReleaseResponse(p)
	return response
}
