package main

// Exit codes. An error that is not an exitError ends the process with exitUsage.
const (
	exitFailed  = 1 // the request or the service failed
	exitUsage   = 2 // wrong arguments or settings
	exitRefused = 3 // the service refused the request: a retry can't succeed
)

// exitError is an error with the process's exit code.
type exitError struct {
	code int
	err  error
}

// Error returns the text of the wrapped error.
func (e exitError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error, which has no exit code.
func (e exitError) Unwrap() error { return e.err }

func failure(err error) error { return exitError{code: exitFailed, err: err} }

func usageError(err error) error { return exitError{code: exitUsage, err: err} }

func refusal(err error) error { return exitError{code: exitRefused, err: err} }
