package drain

import (
	"errors"
	"fmt"
)

// Reasons for refusing a command. Each is wrapped with what it is about.
var (
	// ErrMalformed is the refusal of a command that can't be carried out on any cluster, or for which there is no
	// room.
	ErrMalformed = errors.New("not a command")
	// ErrUnknown is the refusal of a command about a controller or machine that doesn't exist.
	ErrUnknown = errors.New("no such thing")
	// ErrLastController is the refusal to drain the last controller that could serve.
	ErrLastController = errors.New("nobody would be left")
)

// MachineMismatchError is the error of a machine's drain request that stands under the key of another machine.
type MachineMismatchError struct{ Machine string }

// Error returns the text for logs and for operators.
func (e *MachineMismatchError) Error() string {
	return fmt.Sprintf("the drain request names machine %q", e.Machine)
}
