package drain

import (
	"errors"
	"fmt"
)

// Errors of Apply, which wraps each of them with details.
var (
	// ErrMalformed means that a command is invalid in any cluster, or that the document has no room for its request.
	ErrMalformed = errors.New("invalid drain command")
	// ErrUnknown means that the command's controller or machine doesn't exist.
	ErrUnknown = errors.New("no such controller or machine")
	// ErrLastController means that the command would drain the last controller that can serve.
	ErrLastController = errors.New("no controller would be left")
)

// MachineMismatchError is the error for a machine's drain request that is stored under the key of another machine.
// Machine is the name in the request.
type MachineMismatchError struct{ Machine string }

// Error returns the message for logs and operators.
func (e *MachineMismatchError) Error() string {
	return fmt.Sprintf("the drain request names another machine, %q", e.Machine)
}
