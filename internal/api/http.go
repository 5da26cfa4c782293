package api

import (
	"errors"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/harewalk/harewalk/internal/access"
	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/fleet"
	"github.com/harewalk/harewalk/internal/jobs"
)

// Routes are the entries to the event loop, called from connection goroutines. Post and, for
// workers, PostReport return false if the loop's queue is full.
type Routes struct {
	Post, PostReport func(func()) bool
	Now              func() time.Duration
	Intake           *Service
	Up               func() bool
	Report           func(now time.Duration, heartbeat *fleet.Heartbeat, reply func(Reply))
	// Leader answers what only the leader can.
	Leader *LeaderAPI
	// MaxConns bounds open connections; beyond Crowded those of workers end with each answer.
	MaxConns, Crowded int
	// Counter counts what is answered; nil for nobody.
	Counter *ResponseCounter
	// Users are asked for their tokens, unless it is nil. WorkersOnly refuses everybody but
	// workers and health checks.
	Users       *access.Users
	WorkersOnly bool
}

// limits of waiting for the loop: below what the client waits for.
const (
	userWait   = 3 * time.Second
	workerWait = 3 * time.Second
)

// Serve answers HTTP on a listener until it is closed.
func Serve(ln net.Listener, r Routes) error {
	app := fiber.New(fiber.Config{
		BodyLimit:   config.MaxBody + 1,
		Concurrency: r.MaxConns,
		ReadTimeout: 90 * time.Second,
		IdleTimeout: 90 * time.Second,
		ErrorHandler: func(c fiber.Ctx, err error) error {
			status := fiber.StatusInternalServerError
			var fe *fiber.Error
			if errors.As(err, &fe) {
				status = fe.Code
			}
			if status == fiber.StatusRequestEntityTooLarge {
				status = fiber.StatusBadRequest // the protocol's word for a body too large
			}
			return c.Status(status).JSON(errorBody{err.Error()})
		},
	})
	app.Get("/up", func(c fiber.Ctx) error {
		return r.wait(c, r.Post, userWait, func(int) {}, func(reply func(Reply)) {
			if r.Up() {
				reply(Reply{Status: 200, Body: struct {
					OK bool `json:"ok"`
				}{true}})
				return
			}
			reply(Refuse(Unavailable, "not ready"))
		})
	})
	app.Post("/checkin", func(c fiber.Ctx) error {
		rep, err := fleet.ParseHeartbeat(c.Body())
		if err != nil {
			return send(c, Refuse(InvalidRequest, "not a report"))
		}
		// A fleet larger than the sockets reports over connections that are made anew: it was the sockets that bounded it.
		if int(app.Server().GetOpenConnectionsCount()) > r.Crowded {
			c.Response().SetConnectionClose()
		}
		return r.wait(c, r.PostReport, workerWait, r.Counter.worker, func(reply func(Reply)) { r.Report(r.Now(), rep, reply) })
	})
	if r.WorkersOnly {
		app.Use(func(c fiber.Ctx) error { return send(c, Refuse(Forbidden, "users are served over TLS only")) })
	}
	if r.Users != nil {
		app.Use("/v2", r.known)
	}
	app.Post("/v2/runs", func(c fiber.Ctx) error {
		spec, err := jobs.ParseSpec(c.Body())
		if err != nil {
			return send(c, Refuse(InvalidRequest, err.Error()))
		}
		if w := who(c); w != nil && !w.May(spec.Team) {
			return send(c, Refuse(Forbidden, w.Name+" may not submit jobs of team "+spec.Team))
		}
		return r.ask(c, r.Post, userWait, func(reply func(Reply)) { r.Intake.Submit(r.Now(), spec, reply) })
	})
	app.Get("/v2/runs/:id", func(c fiber.Ctx) error {
		id := string([]byte(c.Params("id")))
		return r.ask(c, r.Post, 1800*time.Millisecond, func(reply func(Reply)) { r.Intake.Query(r.Now(), id, reply) })
	})
	app.Post("/v2/runs/:id/abort", func(c fiber.Ctx) error {
		id := string([]byte(c.Params("id")))
		w := who(c)
		return r.ask(c, r.Post, userWait, func(reply func(Reply)) { r.Intake.AbortBy(r.Now(), w, id, reply) })
	})
	r.leader(app)
	return app.Listener(ln, fiber.ListenConfig{DisableStartupMessage: true})
}

// known lets those through whose token is known. What is done with a session that is open takes tokens of its
// own; to open one, and to look at any, takes a user's.
func (r Routes) known(c fiber.Ctx) error {
	if c.Method() == fiber.MethodPost && strings.HasPrefix(c.Path(), "/v2/sessions/") {
		return c.Next()
	}
	w := r.Users.Who(bearer(c))
	if w == nil {
		return send(c, Refuse(Unauthenticated, "the token is missing or unknown"))
	}
	c.Locals(whoKey{}, w)
	return c.Next()
}

type whoKey struct{}

// who is the user that asks, nil where nobody is asked for a token.
func who(c fiber.Ctx) *access.Who {
	w, _ := c.Locals(whoKey{}).(*access.Who)
	return w
}

// ask hands a request to the event loop and waits for its answer. A request that has waited
// too long is refused here and passed over there: nobody would hear the answer, and whoever
// falls behind must not work for them.
func (r Routes) ask(c fiber.Ctx, post func(func()) bool, wait time.Duration, f func(reply func(Reply))) error {
	return r.wait(c, post, wait, r.Counter.user, f)
}

// wait does so and counts the answer.
func (r Routes) wait(c fiber.Ctx, post func(func()) bool, wait time.Duration, count func(status int), f func(reply func(Reply))) error {
	send := func(c fiber.Ctx, a Reply) error {
		count(a.Status)
		return send(c, a)
	}
	ch := make(chan Reply, 1)
	late := r.Now() + wait
	ok := post(func() {
		if r.Now() >= late {
			return
		}
		f(func(a Reply) {
			select {
			case ch <- a:
			default:
			}
		})
	})
	if !ok {
		return send(c, Refuse(Unavailable, "overloaded"))
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case a := <-ch:
		return send(c, a)
	case <-t.C:
		return send(c, Refuse(Unavailable, "no answer in time"))
	}
}

func send(c fiber.Ctx, a Reply) error {
	if a.RetryAfter > 0 {
		c.Set("Retry-After", strconv.Itoa(a.RetryAfter))
		// The load balancer chooses anew for a new connection, perhaps a controller that
		// can do what this one can't.
		c.Response().SetConnectionClose()
	}
	return c.Status(a.Status).JSON(a.Body)
}
