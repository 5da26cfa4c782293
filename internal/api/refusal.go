package api

import "net/http"

// RefusalKind is why a request is refused. It alone decides the HTTP status; callers never name one.
type RefusalKind uint8

// The kinds of refusal.
const (
	// InvalidRequest: the request is malformed and will be refused whenever it is sent (400).
	InvalidRequest RefusalKind = iota + 1
	// Unauthenticated: the token is missing or unknown (401).
	Unauthenticated
	// Forbidden: the client isn't authorized (403).
	Forbidden
	// NotFound: what the request names doesn't exist (404).
	NotFound
	// Conflict: the state has changed, or rules the request out (409).
	Conflict
	// Gone: what the request names has ended for good (410).
	Gone
	// Unprocessable: the job is well-formed but can never run here (422).
	Unprocessable
	// TooManyRequests: this controller can serve the request later (429).
	TooManyRequests
	// Unavailable: this controller can't serve the request now; another one may (503).
	Unavailable
)

// statusByKind is the one place where a refusal becomes an HTTP status.
var statusByKind = [...]int{
	InvalidRequest:  http.StatusBadRequest,
	Unauthenticated: http.StatusUnauthorized,
	Forbidden:       http.StatusForbidden,
	NotFound:        http.StatusNotFound,
	Conflict:        http.StatusConflict,
	Gone:            http.StatusGone,
	Unprocessable:   http.StatusUnprocessableEntity,
	TooManyRequests: http.StatusTooManyRequests,
	Unavailable:     http.StatusServiceUnavailable,
}

// defaultRetryAfter is the Retry-After of a refusal, in seconds, where no better estimate exists.
const defaultRetryAfter = 1

// errorBody is the body of every refusal.
type errorBody struct {
	Error string `json:"error"`
}

// Refuse returns the reply to a refused request, with the message that the client gets. Kinds that are worth a
// retry carry a Retry-After.
func Refuse(kind RefusalKind, message string) Reply {
	reply := Reply{Status: statusByKind[kind], Body: errorBody{message}}
	if kind == TooManyRequests || kind == Unavailable {
		reply.RetryAfter = defaultRetryAfter
	}
	return reply
}
