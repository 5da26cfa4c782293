package sessions

import "fmt"

// Reason is why a request about a session is refused. The caller chooses the HTTP status by it.
type Reason uint8

// The reasons of refusals.
const (
	// NotAuthorized: there is no such session, or the token isn't its own.
	NotAuthorized Reason = iota + 1
	// Conflict: the session's state, another session or a limit rules the request out.
	Conflict
	// Ended: the session is closed for good.
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

// Error is the refusal of a request. Its message is for the client.
type Error struct {
	Reason  Reason
	Message string
}

// Error returns the message.
func (e *Error) Error() string { return e.Message }

func refuse(reason Reason, format string, args ...any) error {
	return &Error{Reason: reason, Message: fmt.Sprintf(format, args...)}
}

// notAuthorized is one error for sessions that don't exist and for those of other users, so that a guess reveals no
// ids.
func notAuthorized() error {
	return refuse(NotAuthorized, "no such session, or the token is not its own")
}
