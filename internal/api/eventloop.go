package api

import (
	"time"

	"github.com/gofiber/fiber/v3"
)

// Timeouts of requests on the event loop: shorter than clients wait for a response.
const (
	userTimeout      = 3 * time.Second
	queryTimeout     = 1800 * time.Millisecond
	heartbeatTimeout = 3 * time.Second
)

// handler handles a request on the event loop. It replies at once or later; replies after the first are ignored.
type handler func(reply func(Reply))

// exchange is how a request gets to the event loop and its reply back to the connection.
type exchange struct {
	post    func(func()) bool
	timeout time.Duration
	count   func(status int) // counts the reply, nil: it isn't counted
}

// serveUser passes a user's request on to the event loop and sends the reply.
func (r Routes) serveUser(c fiber.Ctx, timeout time.Duration, handle handler) error {
	return r.serve(c, exchange{post: r.Post, timeout: timeout, count: r.Counter.countUser}, handle)
}

// serve passes a request on to the event loop and sends the reply.
func (r Routes) serve(c fiber.Ctx, e exchange, handle handler) error {
	reply := r.await(e, handle)
	if e.count != nil {
		e.count(reply.Status)
	}
	return send(c, reply)
}

// await runs handle on the event loop and waits for its reply. After the timeout the request is refused, and the
// event loop skips it if it hasn't begun: an overloaded controller must not work for clients that have gone.
func (r Routes) await(e exchange, handle handler) Reply {
	replies := make(chan Reply, 1)
	deadline := r.Now() + e.timeout
	posted := e.post(func() {
		if r.Now() >= deadline {
			return
		}
		handle(func(reply Reply) {
			select {
			case replies <- reply:
			default:
			}
		})
	})
	if !posted {
		return Refuse(Unavailable, "overloaded")
	}
	timer := time.NewTimer(e.timeout)
	defer timer.Stop()
	select {
	case reply := <-replies:
		return reply
	case <-timer.C:
		return Refuse(Unavailable, "no answer in time")
	}
}
