package sessions

import "fmt"

// Reason is why a request about a session is refused. The caller derives the HTTP status from it.
type Reason uint8

// The reasons of refusals.
const (
	// NotAuthorized: there is no such session, or the token isn't the session's.
	NotAuthorized Reason = iota + 1
	// Conflict: the session's state, another job or session, or a limit rules out the request.
	Conflict
	// Ended: the session is closed and can't be reopened.
	Ended
	// TooFrequent: the request came too soon after the last of its kind.
	TooFrequent
	// Unavailable: the state service didn't confirm the request; a retry may succeed.
	Unavailable
)

var reasonNames = [...]string{
	NotAuthorized: "not authorized",
	Conflict:      "conflict",
	Ended:         "ended",
	TooFrequent:   "too frequent",
	Unavailable:   "unavailable",
}

// String returns the reason's name.
func (r Reason) String() string { return reasonNames[r] }

// Error is the refusal of a request. Its message is sent to the client.
type Error struct {
	Reason  Reason
	Message string
}

// Error returns the message.
func (e *Error) Error() string { return e.Message }

func refuse(reason Reason, format string, args ...any) error {
	return &Error{Reason: reason, Message: fmt.Sprintf(format, args...)}
}

// notAuthorized returns the same error for a session that doesn't exist and for another user's session, so that a
// guess doesn't reveal which ids exist.
func notAuthorized() error {
	return refuse(NotAuthorized, "no such session, or the token is not the session's")
}
