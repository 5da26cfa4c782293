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

// Routes hold what a server needs to pass requests on to the event loop. All functions are called from connection
// goroutines, except for Healthy and HandleHeartbeat, which are called on the event loop.
type Routes struct {
	// Post and, for heartbeats, PostHeartbeat queue a function for the event loop. They return false if the queue is
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
	// MaxConns bounds open connections. While more than MaxKeptConns are open, those of workers are closed with each
	// reply.
	MaxConns, MaxKeptConns int
	// Counter counts replies to users and workers; nil for none.
	Counter *ResponseCounter
	// Users authenticate by their tokens; nil if no tokens are required.
	Users *access.Users
	// WorkersOnly refuses all requests but heartbeats and health checks.
	WorkersOnly bool
}

// Serve serves HTTP on a listener and returns once that is closed, with the listener's error.
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

// sendError sends an error that the HTTP server found, such as an unknown path.
func sendError(c fiber.Ctx, err error) error {
	status := fiber.StatusInternalServerError
	var serverError *fiber.Error
	if errors.As(err, &serverError) {
		status = serverError.Code
	}
	if status == fiber.StatusRequestEntityTooLarge {
		status = fiber.StatusBadRequest // the protocol has no status of its own for a body that is too large
	}
	return c.Status(status).JSON(errorBody{err.Error()})
}

// send sends a reply.
func send(c fiber.Ctx, reply Reply) error {
	if reply.RetryAfter > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(reply.RetryAfter))
		// The load balancer chooses again for a new connection, perhaps a controller that can serve the request.
		c.Response().SetConnectionClose()
	}
	return c.Status(reply.Status).JSON(reply.Body)
}
