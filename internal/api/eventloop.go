package api

import (
	"time"

	"github.com/gofiber/fiber/v3"
)

// Timeouts of requests that the event loop handles. They are shorter than the clients' own timeouts.
const (
	userTimeout      = 3 * time.Second
	queryTimeout     = 1800 * time.Millisecond
	heartbeatTimeout = 3 * time.Second
)

// handler handles a request on the event loop. It may reply after it has returned. Replies after the first are
// ignored.
type handler func(reply func(Reply))

// eventLoopCall holds how a request is queued for the event loop, and how its reply is awaited and counted.
type eventLoopCall struct {
	post    func(func()) bool
	timeout time.Duration
	count   func(status int) // counts the reply by its status; nil if the reply isn't counted
}

// serveUser passes a user's request on to the event loop and sends the reply.
func (r Routes) serveUser(c fiber.Ctx, timeout time.Duration, handle handler) error {
	return r.serve(c, eventLoopCall{post: r.Post, timeout: timeout, count: r.Counter.countUser}, handle)
}

// serve passes a request on to the event loop and sends the reply.
func (r Routes) serve(c fiber.Ctx, call eventLoopCall, handle handler) error {
	reply := r.await(call, handle)
	if call.count != nil {
		call.count(reply.Status)
	}
	return send(c, reply)
}

// await runs handle on the event loop and waits for its reply. After the timeout the request is refused. The event
// loop then skips a request that it hasn't started: an overloaded controller must not do work for clients that have
// disconnected.
func (r Routes) await(call eventLoopCall, handle handler) Reply {
	replies := make(chan Reply, 1)
	deadline := r.Now() + call.timeout
	posted := call.post(func() {
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
	timer := time.NewTimer(call.timeout)
	defer timer.Stop()
	select {
	case reply := <-replies:
		return reply
	case <-timer.C:
		return Refuse(Unavailable, "the request timed out")
	}
}
