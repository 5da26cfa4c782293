package api

import (
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/harewalk/harewalk/internal/access"
)

// LeaderResource is the resource that a request to the leader reads or changes.
type LeaderResource string

// The resources of requests to the leader.
const (
	ResourcePendingReasons LeaderResource = "why"  // why a job is pending
	ResourceJobs           LeaderResource = "list" // the list of jobs
	ResourceEvents         LeaderResource = "events"
	ResourceAdmin          LeaderResource = "admin" // the cluster's status and drain requests
	ResourceRollout        LeaderResource = "rollout"
	ResourceZones          LeaderResource = "zones"
	ResourceLicences       LeaderResource = "licences"
	ResourceSessions       LeaderResource = "sessions"
)

// LeaderVerb is the operation that a request to the leader performs on its resource. VerbShow and VerbExplain read;
// all others are commands.
type LeaderVerb string

// The verbs of requests to the leader. Those after VerbSet are for sessions only; from VerbExplain on, their values
// are the last part of their routes' paths.
const (
	VerbShow      LeaderVerb = "show"
	VerbSet       LeaderVerb = "set"
	VerbOpen      LeaderVerb = "open"
	VerbExplain   LeaderVerb = "explain"
	VerbAttach    LeaderVerb = "attach"
	VerbKeepAlive LeaderVerb = "keep"
	VerbClose     LeaderVerb = "close"
	VerbHeartbeat LeaderVerb = "report" // a heartbeat of the session's agent
)

// LeaderQuery holds the query parameters of a request to the leader. An absent parameter is "".
type LeaderQuery struct {
	User, Team string // the user or team whose sessions are listed
	Where      string // a filter of package query
	Since      string // the position in the list where the page begins
	Limit      string // the maximum number of entries of a page
}

// NewLeaderQuery returns the query parameters of a request; parameter returns the value of one parameter.
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
	Name     string // name of the job, zone, licence pool or session; "" for all
	Verb     LeaderVerb
	Body     []byte           // the body of a command, nil for reads
	Bearer   string           // the bearer token, "" if there is none
	User     *access.Identity // the authenticated user, nil if no user token is required
	Query    LeaderQuery
}

// LeaderAPI holds the handler of requests to the leader and its settings. Where users have no tokens, operators'
// commands must carry OperatorToken or, if OperatorToken is empty, come from the controller's own machine. Each session
// has its own tokens.
type LeaderAPI struct {
	OperatorToken string // the operators' token, "" if none is set
	// Handle handles a request on the event loop, also on a controller that isn't the leader.
	Handle func(now time.Duration, request LeaderRequest, reply func(Reply))
	// Licences and Sessions enable the routes of these resources.
	Licences, Sessions bool
}

// leaderRoute is a route for requests that only the leader can answer.
type leaderRoute struct {
	method, path  string
	resource      LeaderResource
	verb          LeaderVerb
	operatorsOnly bool
}

// The routes to the leader, grouped by the setting of LeaderAPI that enables them.
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

// newLeaderRequest copies an HTTP request, whose data is invalid once its handler returns, into a request to the
// leader.
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
