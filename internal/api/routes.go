package api

import (
	"strings"

	"github.com/gofiber/fiber/v3"

	"github.com/harewalk/harewalk/internal/fleet"
	"github.com/harewalk/harewalk/internal/jobs"
)

// healthBody is the response body of a successful health check.
type healthBody struct {
	OK bool `json:"ok"`
}

// addHealthRoute adds the health check. The check runs on the event loop, so it fails while the loop hangs.
func (r Routes) addHealthRoute(app *fiber.App) {
	app.Get("/up", func(c fiber.Ctx) error {
		return r.serve(c, eventLoopCall{post: r.Post, timeout: userTimeout}, func(reply func(Reply)) {
			if !r.Healthy() {
				reply(Refuse(Unavailable, "not ready"))
				return
			}
			reply(Reply{Status: fiber.StatusOK, Body: healthBody{OK: true}})
		})
	})
}

// addHeartbeatRoute adds the route for workers' heartbeats.
func (r Routes) addHeartbeatRoute(app *fiber.App) {
	app.Post("/checkin", func(c fiber.Ctx) error {
		heartbeat, err := fleet.ParseHeartbeat(c.Body())
		if err != nil {
			return send(c, Refuse(InvalidRequest, "the body is not a valid heartbeat"))
		}
		// If the fleet has more workers than there are sockets, each heartbeat needs a connection of its own.
		if int(app.Server().GetOpenConnectionsCount()) > r.MaxKeepAliveConns {
			c.Response().SetConnectionClose()
		}
		call := eventLoopCall{post: r.PostHeartbeat, timeout: heartbeatTimeout, count: r.Counter.countWorker}
		return r.serve(c, call, func(reply func(Reply)) { r.HandleHeartbeat(r.Now(), heartbeat, reply) })
	})
}

// addJobRoutes adds the routes for submissions, status queries and cancellations of jobs.
func (r Routes) addJobRoutes(app *fiber.App) {
	app.Post("/v2/runs", r.handleSubmission)
	app.Get("/v2/runs/:id", func(c fiber.Ctx) error {
		id := strings.Clone(c.Params("id"))
		return r.serveUser(c, queryTimeout, func(reply func(Reply)) { r.Service.Query(r.Now(), id, reply) })
	})
	app.Post("/v2/runs/:id/abort", func(c fiber.Ctx) error {
		id := strings.Clone(c.Params("id"))
		user := authenticatedUser(c)
		return r.serveUser(c, userTimeout, func(reply func(Reply)) { r.Service.Cancel(r.Now(), user, id, reply) })
	})
}

func (r Routes) handleSubmission(c fiber.Ctx) error {
	spec, err := jobs.ParseSpec(c.Body())
	if err != nil {
		return send(c, Refuse(InvalidRequest, err.Error()))
	}
	if user := authenticatedUser(c); user != nil && !user.MayActFor(spec.Team) {
		return send(c, Refuse(Forbidden, user.Name+" may not submit jobs of team "+spec.Team))
	}
	return r.serveUser(c, userTimeout, func(reply func(Reply)) { r.Service.Submit(r.Now(), spec, reply) })
}
