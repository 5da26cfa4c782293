package intake

import (
	"crypto/subtle"
	"net"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
)

// OperatorCall is an operator's request, once it is allowed.
type OperatorCall struct {
	Name string // of what it is about; "": all
	Body []byte // of a command; nil: a question
}

// Operator answers operators. Questions are free; commands carry the operators' token or, where
// none is set, come from the controller's own machine.
type Operator struct {
	Token    string // "": none set
	Licences func(now time.Duration, q OperatorCall, reply func(Reply))
}

// may tells whether a command is allowed, and else why not. The comparison takes the same time
// whatever was sent.
func (o *Operator) may(authorization, from string) (bool, string) {
	if o.Token == "" {
		if ip := net.ParseIP(from); ip != nil && ip.IsLoopback() {
			return true, ""
		}
		return false, "commands are taken from the controller's own machine only, since no operator_token_file is set"
	}
	given, ok := strings.CutPrefix(authorization, "Bearer ")
	if !ok || subtle.ConstantTimeCompare([]byte(given), []byte(o.Token)) != 1 {
		return false, "the operators' token is missing or wrong"
	}
	return true, ""
}

// operators adds their routes.
func (r Routes) operators(app *fiber.App) {
	o := r.Operator
	ask := func(c fiber.Ctx, q OperatorCall) error {
		return r.ask(c, r.Post, userWait, func(reply func(Reply)) { o.Licences(r.Now(), q, reply) })
	}
	name := func(c fiber.Ctx) string { return strings.Clone(c.Params("name")) }
	app.Get("/v2/licences", func(c fiber.Ctx) error { return ask(c, OperatorCall{}) })
	app.Get("/v2/licences/:name", func(c fiber.Ctx) error { return ask(c, OperatorCall{Name: name(c)}) })
	app.Post("/v2/licences/:name", func(c fiber.Ctx) error {
		if ok, why := o.may(c.Get("Authorization"), c.IP()); !ok {
			return send(c, refuse(403, why))
		}
		return ask(c, OperatorCall{Name: name(c), Body: append([]byte{}, c.Body()...)})
	})
}
