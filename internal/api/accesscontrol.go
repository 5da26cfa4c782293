package api

import (
	"crypto/subtle"
	"errors"
	"fmt"
	"net"
	"strings"

	"github.com/gofiber/fiber/v3"

	"github.com/harewalk/harewalk/internal/access"
)

// Reasons for refusing an operator's command. errNotOperator applies where users have tokens, the others elsewhere.
var (
	errLocalCommandsOnly = errors.New(
		"commands are accepted only from the controller's own machine, because operator_token_file is not set")
	errOperatorToken = errors.New("the operators' token is missing or wrong")
	errNotOperator   = errors.New("is no operator")
)

// userKey is the key under which a request's context holds its authenticated user.
type userKey struct{}

// addAccessControl adds the handlers that refuse users' requests on a server for workers only, and requests without a
// user's token where users have tokens. They apply only to routes that are added later.
func (r Routes) addAccessControl(app *fiber.App) {
	if r.WorkersOnly {
		app.Use(func(c fiber.Ctx) error { return send(c, Refuse(Forbidden, "users are served over TLS only")) })
	}
	if r.Users != nil {
		app.Use("/v2", r.authenticate)
	}
}

// authenticate refuses requests without a valid user token. A command to an existing session carries the session's
// own token instead, which the leader checks. Opening a session and reading sessions require a user token.
func (r Routes) authenticate(c fiber.Ctx) error {
	if c.Method() == fiber.MethodPost && strings.HasPrefix(c.Path(), "/v2/sessions/") {
		return c.Next()
	}
	user := r.Users.Authenticate(bearerToken(c))
	if user == nil {
		return send(c, Refuse(Unauthenticated, "the token is missing or unknown"))
	}
	c.Locals(userKey{}, user)
	return c.Next()
}

// authenticatedUser returns the user who sent a request, nil if no user token is required.
func authenticatedUser(c fiber.Ctx) *access.Identity {
	user, _ := c.Locals(userKey{}).(*access.Identity)
	return user
}

// authorizeOperator returns an error if the sender of a request may not issue operators' commands.
func (l *LeaderAPI) authorizeOperator(c fiber.Ctx) error {
	user := authenticatedUser(c)
	if user == nil {
		return l.checkOperatorToken(bearerToken(c), c.IP())
	}
	if !user.Operator {
		return fmt.Errorf("%s %w", user.Name, errNotOperator)
	}
	return nil
}

// checkOperatorToken checks a command's token. If no operators' token is set, the command must come from a loopback
// address instead. It returns errLocalCommandsOnly or errOperatorToken if the command is refused. The comparison
// takes the same time for all tokens.
func (l *LeaderAPI) checkOperatorToken(token, remoteIP string) error {
	if l.OperatorToken == "" {
		if ip := net.ParseIP(remoteIP); ip != nil && ip.IsLoopback() {
			return nil
		}
		return errLocalCommandsOnly
	}
	if subtle.ConstantTimeCompare([]byte(token), []byte(l.OperatorToken)) != 1 {
		return errOperatorToken
	}
	return nil
}

// bearerToken returns a copy of the bearer token of a request, "" if the request has none.
func bearerToken(c fiber.Ctx) string {
	token, ok := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
	if !ok {
		return ""
	}
	return strings.Clone(token)
}
