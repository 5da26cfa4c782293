package api

import (
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/harewalk/harewalk/internal/access"
)

// LeaderRequest is a request that only the leader can answer: why a job is pending, which jobs there are, or about
// drain requests, licences or sessions.
type LeaderRequest struct {
	Resource string           // "why", "list", "events", "admin", "rollout", "zones", "licences" or "sessions"
	Name     string           // of the job, zone, licence pool or session; "": all
	Verb     string           // "show", "set", "open", or the last part of a session's path
	Body     []byte           // of a command
	Bearer   string           // the bearer token, "": none
	User     *access.Identity // the authenticated user, nil where no user's token is required
	Query    map[string]string
}

// LeaderAPI holds the settings and the handler of leader requests. Operators' commands carry the operators' token
// or, if that is empty, come from the controller's own machine; each session has tokens of its own.
type LeaderAPI struct {
	Token string // the operators', "": none set
	// Handle handles a request on the event loop, also on a controller that doesn't lead.
	Handle func(now time.Duration, request LeaderRequest, reply func(Reply))
	// Licences and Sessions add the routes of these resources.
	Licences, Sessions bool
}

// leaderRoute is a route to the leader.
type leaderRoute struct {
	method, path   string
	resource, verb string
	operatorsOnly  bool
}

// Routes to the leader.
var (
	commonLeaderRoutes = []leaderRoute{
		{method: fiber.MethodGet, path: "/v2/runs", resource: "list", verb: "show"},
		{method: fiber.MethodGet, path: "/v2/runs/:name/why", resource: "why", verb: "show"},
		{method: fiber.MethodGet, path: "/v2/runs/:name/events", resource: "events", verb: "show"},
		{method: fiber.MethodGet, path: "/v2/events", resource: "events", verb: "show"},
		{method: fiber.MethodGet, path: "/v2/admin", resource: "admin", verb: "show"},
		{method: fiber.MethodGet, path: "/v2/zones", resource: "zones", verb: "show"},
		{method: fiber.MethodGet, path: "/v2/zones/:name", resource: "zones", verb: "show"},
		{method: fiber.MethodGet, path: "/v2/rollout", resource: "rollout", verb: "show"},
		{method: fiber.MethodPost, path: "/v2/rollout", resource: "rollout", verb: "set", operatorsOnly: true},
		{method: fiber.MethodPost, path: "/v2/admin", resource: "admin", verb: "set", operatorsOnly: true},
	}
	licenceRoutes = []leaderRoute{
		{method: fiber.MethodGet, path: "/v2/licences", resource: "licences", verb: "show"},
		{method: fiber.MethodGet, path: "/v2/licences/:name", resource: "licences", verb: "show"},
		{method: fiber.MethodPost, path: "/v2/licences/:name", resource: "licences", verb: "set", operatorsOnly: true},
	}
	sessionRoutes = []leaderRoute{
		{method: fiber.MethodGet, path: "/v2/sessions", resource: "sessions", verb: "show"},
		{method: fiber.MethodPost, path: "/v2/sessions", resource: "sessions", verb: "open"},
		{method: fiber.MethodGet, path: "/v2/sessions/:name", resource: "sessions", verb: "show"},
		{method: fiber.MethodGet, path: "/v2/sessions/:name/explain", resource: "sessions", verb: "explain"},
		{method: fiber.MethodPost, path: "/v2/sessions/:name/attach", resource: "sessions", verb: "attach"},
		{method: fiber.MethodPost, path: "/v2/sessions/:name/keep", resource: "sessions", verb: "keep"},
		{method: fiber.MethodPost, path: "/v2/sessions/:name/close", resource: "sessions", verb: "close"},
		{method: fiber.MethodPost, path: "/v2/sessions/:name/report", resource: "sessions", verb: "report"},
	}
)

// leaderQueryParameters are the query parameters that are passed on to the leader.
var leaderQueryParameters = [...]string{"user", "team", "where", "since", "limit"}

// addLeaderRoutes adds the routes of the resources that are enabled.
func (r Routes) addLeaderRoutes(app *fiber.App) {
	r.addRoutes(app, commonLeaderRoutes)
	if r.Leader.Licences {
		r.addRoutes(app, licenceRoutes)
	}
	if r.Leader.Sessions {
		r.addRoutes(app, sessionRoutes)
	}
}

func (r Routes) addRoutes(app *fiber.App, routes []leaderRoute) {
	for _, route := range routes {
		app.Add([]string{route.method}, route.path, func(c fiber.Ctx) error { return r.serveLeaderRequest(c, route) })
	}
}

// serveLeaderRequest passes a request on to the leader's handler.
func (r Routes) serveLeaderRequest(c fiber.Ctx, route leaderRoute) error {
	if route.operatorsOnly {
		if err := r.Leader.authorizeOperator(c); err != nil {
			return send(c, Refuse(Forbidden, err.Error()))
		}
	}
	request := newLeaderRequest(c, route)
	return r.serveUser(c, userTimeout, func(reply func(Reply)) { r.Leader.Handle(r.Now(), request, reply) })
}

// newLeaderRequest copies what the leader needs of an HTTP request, which is invalid once its handler returns.
func newLeaderRequest(c fiber.Ctx, route leaderRoute) LeaderRequest {
	request := LeaderRequest{
		Resource: route.resource,
		Name:     strings.Clone(c.Params("name")),
		Verb:     route.verb,
		Bearer:   bearerToken(c),
		User:     authenticatedUser(c),
		Query:    map[string]string{},
	}
	for _, key := range leaderQueryParameters {
		if value := c.Query(key); value != "" {
			request.Query[key] = strings.Clone(value)
		}
	}
	if c.Method() == fiber.MethodPost {
		request.Body = append([]byte{}, c.Body()...)
	}
	return request
}
