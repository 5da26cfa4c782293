package api

import "net/http"

// RefusalKind is the reason why a request is refused. It alone determines the HTTP status; callers never choose one.
type RefusalKind uint8

// The kinds of refusal.
const (
	// InvalidRequest: the request is malformed and will be refused whenever it is sent (400).
	InvalidRequest RefusalKind = iota + 1
	// Unauthenticated: the token is missing or unknown (401).
	Unauthenticated
	// Forbidden: the client isn't authorized (403).
	Forbidden
	// NotFound: the named resource doesn't exist (404).
	NotFound
	// Conflict: the resource's state has changed, or doesn't allow the request (409).
	Conflict
	// Gone: the named resource has ended permanently (410).
	Gone
	// Unprocessable: the job is well-formed but can never run on this cluster (422).
	Unprocessable
	// TooManyRequests: this controller can serve the request later (429).
	TooManyRequests
	// Unavailable: this controller can't serve the request now; another one may (503).
	Unavailable
)

// statusByKind maps each kind of refusal to its HTTP status. Nothing else does.
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

// defaultRetryAfterSeconds is the Retry-After of a refusal where no better estimate exists.
const defaultRetryAfterSeconds = 1

// errorBody is the body of every refusal.
type errorBody struct {
	Error string `json:"error"`
}

// Refuse returns the reply to a refused request, with a message for the client. TooManyRequests and Unavailable carry
// a Retry-After, because a retry may succeed.
func Refuse(kind RefusalKind, message string) Reply {
	reply := Reply{Status: statusByKind[kind], Body: errorBody{message}}
	if kind == TooManyRequests || kind == Unavailable {
		reply.RetryAfter = defaultRetryAfterSeconds
	}
	return reply
}
