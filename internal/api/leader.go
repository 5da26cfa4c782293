package api

import (
	"crypto/subtle"
	"net"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/harewalk/harewalk/internal/access"
)

// LeaderRequest is a request that only the leader can answer: why a job waits, which jobs there are, about
// operators' wishes, licences or sessions.
type LeaderRequest struct {
	Resource string      // "why", "list", "events", "admin", "rollout", "zones", "licences" or "sessions"
	Name     string      // of the one it is about; "": all
	Verb     string      // what is asked: "show", or the last part of the path
	Body     []byte      // of a command
	Bearer   string      // the token that came with it
	Who      *access.Who // whose it is, nil where nobody is asked for one
	Query    map[string]string
}

// LeaderAPI answers Calls. Commands about licences carry the operators' token or, where none is set,
// come from the controller's own machine; each session has tokens of its own.
type LeaderAPI struct {
	Token  string // the operators', "": none set
	Answer func(now time.Duration, c LeaderRequest, reply func(Reply))
	// Licences and Sessions tell which routes there are.
	Licences, Sessions bool
}

// may tells whether an operator's command is allowed, and else why not. The comparison takes
// the same time whatever was sent.
func (l *LeaderAPI) may(bearer, from string) (bool, string) {
	if l.Token == "" {
		if ip := net.ParseIP(from); ip != nil && ip.IsLoopback() {
			return true, ""
		}
		return false, "commands are taken from the controller's own machine only, since no operator_token_file is set"
	}
	if subtle.ConstantTimeCompare([]byte(bearer), []byte(l.Token)) != 1 {
		return false, "the operators' token is missing or wrong"
	}
	return true, ""
}

func bearer(c fiber.Ctx) string {
	token, ok := strings.CutPrefix(c.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return strings.Clone(token)
}

// leader adds the routes that are on.
func (r Routes) leader(app *fiber.App) {
	l := r.Leader
	ask := func(c fiber.Ctx, what, verb string) error {
		request := LeaderRequest{
			Resource: what, Name: strings.Clone(c.Params("name")), Verb: verb, Bearer: bearer(c), Who: who(c),
			Query: map[string]string{},
		}
		for _, k := range [...]string{"user", "team", "where", "since", "limit"} {
			if v := c.Query(k); v != "" {
				request.Query[k] = strings.Clone(v)
			}
		}
		if c.Method() == fiber.MethodPost {
			request.Body = append([]byte{}, c.Body()...)
		}
		return r.ask(c, r.Post, userWait, func(reply func(Reply)) { l.Answer(r.Now(), request, reply) })
	}
	on := func(what, verb string) fiber.Handler {
		return func(c fiber.Ctx) error { return ask(c, what, verb) }
	}
	command := func(what, verb string) fiber.Handler {
		return func(c fiber.Ctx) error {
			if w := who(c); w != nil {
				if !w.Operator {
					return send(c, Refuse(Forbidden, w.Name+" is no operator"))
				}
			} else if ok, why := l.may(bearer(c), c.IP()); !ok {
				return send(c, Refuse(Forbidden, why))
			}
			return ask(c, what, verb)
		}
	}
	app.Get("/v2/runs", on("list", "show"))
	app.Get("/v2/runs/:name/why", on("why", "show"))
	app.Get("/v2/runs/:name/events", on("events", "show"))
	app.Get("/v2/events", on("events", "show"))
	app.Get("/v2/admin", on("admin", "show"))
	app.Get("/v2/zones", on("zones", "show"))
	app.Get("/v2/zones/:name", on("zones", "show"))
	app.Get("/v2/rollout", on("rollout", "show"))
	app.Post("/v2/rollout", command("rollout", "set"))
	app.Post("/v2/admin", command("admin", "set"))
	if l.Licences {
		app.Get("/v2/licences", on("licences", "show"))
		app.Get("/v2/licences/:name", on("licences", "show"))
		app.Post("/v2/licences/:name", command("licences", "set"))
	}
	if l.Sessions {
		app.Get("/v2/sessions", on("sessions", "show"))
		app.Post("/v2/sessions", on("sessions", "open"))
		app.Get("/v2/sessions/:name", on("sessions", "show"))
		app.Get("/v2/sessions/:name/explain", on("sessions", "explain"))
		for _, verb := range []string{"attach", "keep", "close", "report"} {
			app.Post("/v2/sessions/:name/"+verb, on("sessions", verb))
		}
	}
}
