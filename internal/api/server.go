package api

import (
	"errors"
	"net"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/harewalk/harewalk/internal/access"
	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/fleet"
)

// connectionTimeout bounds how long a connection may be idle or take to send a request.
const connectionTimeout = 90 * time.Second

// Routes holds a server's settings, and the functions that pass requests on to the event loop and handle them. All
// functions are called from connection goroutines, except for Healthy and HandleHeartbeat, which are called on the
// event loop.
type Routes struct {
	// Post, and PostHeartbeat for heartbeats, queue a function for the event loop. They return false if the queue is
	// full.
	Post, PostHeartbeat func(func()) bool
	Now                 func() time.Duration
	Service             *Service
	// Healthy reports whether the health check succeeds.
	Healthy func() bool
	// HandleHeartbeat handles a heartbeat.
	HandleHeartbeat func(now time.Duration, heartbeat *fleet.Heartbeat, reply func(Reply))
	// Leader handles requests that only the leader can answer.
	Leader *LeaderAPI
	// MaxConns bounds the open connections. While more than MaxKeepAliveConns are open, the server closes a worker's
	// connection after each reply.
	MaxConns, MaxKeepAliveConns int
	// Counter counts replies to users and workers; nil if none are counted.
	Counter *ResponseCounter
	// Users authenticate by their tokens; nil if no tokens are required.
	Users *access.Users
	// WorkersOnly makes the server refuse all requests except heartbeats and health checks.
	WorkersOnly bool
}

// Serve serves HTTP on a listener until the listener is closed, and returns the listener's error.
func Serve(listener net.Listener, r Routes) error {
	app := fiber.New(fiber.Config{
		BodyLimit:    config.MaxBody + 1,
		Concurrency:  r.MaxConns,
		ReadTimeout:  connectionTimeout,
		IdleTimeout:  connectionTimeout,
		ErrorHandler: sendError,
	})
	// The order matters: routes that are added before the access control need no token.
	r.addHealthRoute(app)
	r.addHeartbeatRoute(app)
	r.addAccessControl(app)
	r.addJobRoutes(app)
	r.addLeaderRoutes(app)
	return app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true})
}

// sendError replies to a request that the HTTP server itself refuses, for instance because the path is unknown.
func sendError(c fiber.Ctx, err error) error {
	status := fiber.StatusInternalServerError
	var serverError *fiber.Error
	if errors.As(err, &serverError) {
		status = serverError.Code
	}
	if status == fiber.StatusRequestEntityTooLarge {
		status = fiber.StatusBadRequest // the API has no separate status for a body that is too large
	}
	return c.Status(status).JSON(errorBody{err.Error()})
}

// send sends a reply.
func send(c fiber.Ctx, reply Reply) error {
	if reply.RetryAfter > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(reply.RetryAfter))
		// For a new connection the load balancer selects a controller again, perhaps one that can serve the request.
		c.Response().SetConnectionClose()
	}
	return c.Status(reply.Status).JSON(reply.Body)
}
