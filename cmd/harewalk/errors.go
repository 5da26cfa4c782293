package main

import (
	"errors"
	"fmt"
	"os"
)

// valueError reports an invalid value of a flag, an argument or an environment variable.
type valueError struct {
	source  string // the flag, argument or variable; empty: not named in the error text
	value   string
	problem string // the predicate of the error text, such as "is not a whole number"
}

// Error returns the source, the value and the problem.
func (e *valueError) Error() string {
	text := fmt.Sprintf("%q %s", e.value, e.problem)
	if e.source == "" {
		return text
	}
	return e.source + " " + text
}

// boundsError reports a flag's number that is out of range.
type boundsError struct {
	flag   string
	value  any
	bounds string // allowed range, such as "1 to 9"
}

// Error returns the flag, its value and the bounds.
func (e *boundsError) Error() string {
	return fmt.Sprintf("%s %v is out of range: must be %s", e.flag, e.value, e.bounds)
}

// brokenRulesError reports that a lab run broke rules of the protocol.
type brokenRulesError struct {
	run   string // "config" or "size", and the quoted name of the configuration or size
	count int
	first string // the first broken rule
}

// Error returns the run, the number of broken rules and the first broken rule.
func (e *brokenRulesError) Error() string {
	return fmt.Sprintf("%s: %d protocol rules were broken; the first: %s", e.run, e.count, e.first)
}

// serviceError reports a response whose status is not a success. Its text is that of the response.
type serviceError struct {
	status  int
	message string
}

// Error returns the text of the response.
func (e *serviceError) Error() string { return e.message }

// withStatus returns the error with the status before its text.
func (e *serviceError) withStatus() error { return fmt.Errorf("status %d: %w", e.status, e) }

// secondSignalError reports that a second signal ended a controller while it drained.
type secondSignalError struct{ signal os.Signal }

// Error returns the text with the signal's name.
func (e *secondSignalError) Error() string {
	return fmt.Sprintf("ended by a second signal (%s) before the drain was complete", e.signal)
}

// Errors of arguments and flags.
var (
	errCAWithoutTLS    = errors.New("--ca requires a --server address that begins with https://")
	errCountOrReset    = errors.New("give either a count or --reset")
	errNoPlan          = errors.New("a plan file is required, or --from with the result file of an earlier run")
	errNoZones         = errors.New("--zones names no zone")
	errNotJSONObject   = errors.New("is not a JSON object")
	errVirtualTimeOnly = errors.New("is for `harewalk lab` only: the controllers of `harewalk dev` share one process")

	errNoSessionToken = errors.New(
		"the session's token is missing: set --session-token-file or $HAREWALK_SESSION_TOKEN")
)

// Errors of a cluster and of requests to it.
var (
	errRetryTimeout      = errors.New("no success after retrying for one minute") // after retryLimit
	errJobCancelled      = errors.New("is cancelled")
	errLeaderUnreachable = errors.New("is the leader and does not respond")
	errMalformedResponse = errors.New("malformed response")
	errNotEnabled        = errors.New("the cluster does not serve this: enable the feature in the operators' settings")
	errNotReady          = errors.New("is not ready")
	errOutcomeUnknown    = errors.New("no response: check whether the command was applied before you repeat it")
	errRefused           = errors.New("refused")
	errRulesBroken       = errors.New("protocol rules were broken")
)
