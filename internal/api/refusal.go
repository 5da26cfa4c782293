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
	// Forbidden: who asks may not do this (403).
	Forbidden
	// NotFound: what the request names is not known (404).
	NotFound
	// Conflict: the state has changed, or forbids what is asked (409).
	Conflict
	// Unprocessable: the job is well-formed, and can never run here (422).
	Unprocessable
	// TooManyRequests: the client is to try again later; this controller can serve it then (429).
	TooManyRequests
	// Unavailable: this controller can't tell or do it now; another one may (503).
	Unavailable
)

// statusByKind is the one place where a refusal becomes an HTTP status.
var statusByKind = [...]int{
	InvalidRequest:  http.StatusBadRequest,
	Unauthenticated: http.StatusUnauthorized,
	Forbidden:       http.StatusForbidden,
	NotFound:        http.StatusNotFound,
	Conflict:        http.StatusConflict,
	Unprocessable:   http.StatusUnprocessableEntity,
	TooManyRequests: http.StatusTooManyRequests,
	Unavailable:     http.StatusServiceUnavailable,
}

// defaultRetryAfter is when a client may try again, in seconds, where nothing better is known.
const defaultRetryAfter = 1

// RefusalKindOf is the kind that has an HTTP status, Unavailable for a status that no kind has.
func RefusalKindOf(status int) RefusalKind {
	for kind, have := range statusByKind {
		if have == status {
			return RefusalKind(kind)
		}
	}
	return Unavailable
}

// errorBody is the body of every refusal.
type errorBody struct {
	Error string `json:"error"`
}

// Refuse is the reply to a request that is refused, with what the client is told. Kinds that are worth a retry carry
// the time after which to try again.
func Refuse(kind RefusalKind, message string) Reply {
	reply := Reply{Status: statusByKind[kind], Body: errorBody{message}}
	if kind == TooManyRequests || kind == Unavailable {
		reply.RetryAfter = defaultRetryAfter
	}
	return reply
}
