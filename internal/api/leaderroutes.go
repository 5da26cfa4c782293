package api

import (
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/harewalk/harewalk/internal/access"
)

// LeaderResource is what a request to the leader is about. Its value is the name that the resource has in routes.
type LeaderResource string

// The resources of requests to the leader.
const (
	ResourcePendingReasons LeaderResource = "why"  // why a job is pending
	ResourceJobs           LeaderResource = "list" // which jobs there are
	ResourceEvents         LeaderResource = "events"
	ResourceAdmin          LeaderResource = "admin" // the cluster's status and drain requests
	ResourceRollout        LeaderResource = "rollout"
	ResourceZones          LeaderResource = "zones"
	ResourceLicences       LeaderResource = "licences"
	ResourceSessions       LeaderResource = "sessions"
)

// LeaderVerb is what a request to the leader does with its resource. VerbShow reads, all others are commands.
type LeaderVerb string

// The verbs of requests to the leader. Those after VerbSet are for sessions only, and named as in their routes.
const (
	VerbShow      LeaderVerb = "show"
	VerbSet       LeaderVerb = "set"
	VerbOpen      LeaderVerb = "open"
	VerbExplain   LeaderVerb = "explain"
	VerbAttach    LeaderVerb = "attach"
	VerbKeepAlive LeaderVerb = "keep"
	VerbClose     LeaderVerb = "close"
	VerbHeartbeat LeaderVerb = "report" // of the session's agent
)

// LeaderQuery is the query parameters of a request to the leader, "" where there is none.
type LeaderQuery struct {
	User, Team string // whose sessions
	Where      string // a filter of package query
	Since      string // where in a list the page begins
	Limit      string // the maximum number of entries of a page
}

// NewLeaderQuery returns the query parameters by a function that returns the value of one.
func NewLeaderQuery(parameter func(name string) string) LeaderQuery {
	return LeaderQuery{
		User:  parameter("user"),
		Team:  parameter("team"),
		Where: parameter("where"),
		Since: parameter("since"),
		Limit: parameter("limit"),
	}
}

// LeaderRequest is a request that only the leader can answer.
type LeaderRequest struct {
	Resource LeaderResource
	Name     string // of the job, zone, licence pool or session; "": all
	Verb     LeaderVerb
	Body     []byte           // of a command
	Bearer   string           // the bearer token, "": none
	User     *access.Identity // the authenticated user, nil where no user's token is required
	Query    LeaderQuery
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
	method, path  string
	resource      LeaderResource
	verb          LeaderVerb
	operatorsOnly bool
}

// Routes to the leader.
var (
	commonLeaderRoutes = []leaderRoute{
		{method: fiber.MethodGet, path: "/v2/runs", resource: ResourceJobs, verb: VerbShow},
		{method: fiber.MethodGet, path: "/v2/runs/:name/why", resource: ResourcePendingReasons, verb: VerbShow},
		{method: fiber.MethodGet, path: "/v2/runs/:name/events", resource: ResourceEvents, verb: VerbShow},
		{method: fiber.MethodGet, path: "/v2/events", resource: ResourceEvents, verb: VerbShow},
		{method: fiber.MethodGet, path: "/v2/admin", resource: ResourceAdmin, verb: VerbShow},
		{method: fiber.MethodGet, path: "/v2/zones", resource: ResourceZones, verb: VerbShow},
		{method: fiber.MethodGet, path: "/v2/zones/:name", resource: ResourceZones, verb: VerbShow},
		{method: fiber.MethodGet, path: "/v2/rollout", resource: ResourceRollout, verb: VerbShow},
		{method: fiber.MethodPost, path: "/v2/rollout", resource: ResourceRollout, verb: VerbSet, operatorsOnly: true},
		{method: fiber.MethodPost, path: "/v2/admin", resource: ResourceAdmin, verb: VerbSet, operatorsOnly: true},
	}
	licenceRoutes = []leaderRoute{
		{method: fiber.MethodGet, path: "/v2/licences", resource: ResourceLicences, verb: VerbShow},
		{method: fiber.MethodGet, path: "/v2/licences/:name", resource: ResourceLicences, verb: VerbShow},
		{
			method:        fiber.MethodPost,
			path:          "/v2/licences/:name",
			resource:      ResourceLicences,
			verb:          VerbSet,
			operatorsOnly: true,
		},
	}
	sessionRoutes = []leaderRoute{
		{method: fiber.MethodGet, path: "/v2/sessions", resource: ResourceSessions, verb: VerbShow},
		{method: fiber.MethodPost, path: "/v2/sessions", resource: ResourceSessions, verb: VerbOpen},
		{method: fiber.MethodGet, path: "/v2/sessions/:name", resource: ResourceSessions, verb: VerbShow},
		{method: fiber.MethodGet, path: "/v2/sessions/:name/explain", resource: ResourceSessions, verb: VerbExplain},
		{method: fiber.MethodPost, path: "/v2/sessions/:name/attach", resource: ResourceSessions, verb: VerbAttach},
		{method: fiber.MethodPost, path: "/v2/sessions/:name/keep", resource: ResourceSessions, verb: VerbKeepAlive},
		{method: fiber.MethodPost, path: "/v2/sessions/:name/close", resource: ResourceSessions, verb: VerbClose},
		{method: fiber.MethodPost, path: "/v2/sessions/:name/report", resource: ResourceSessions, verb: VerbHeartbeat},
	}
)

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
		Query:    NewLeaderQuery(func(name string) string { return strings.Clone(c.Query(name)) }),
	}
	if c.Method() == fiber.MethodPost {
		request.Body = append([]byte{}, c.Body()...)
	}
	return request
}
