package main

import (
	"errors"
	"fmt"
	"os"
)

// valueError is a text, of a flag, an argument or a variable of the environment, that isn't accepted.
type valueError struct {
	source  string // what the text was given for; empty: plain from the text
	value   string
	problem string
}

// Error names the source, the value and what is wrong with it.
func (e *valueError) Error() string {
	text := fmt.Sprintf("%q %s", e.value, e.problem)
	if e.source == "" {
		return text
	}
	return e.source + " " + text
}

// boundsError is a flag's number that is out of its bounds.
type boundsError struct {
	flag   string
	value  any
	bounds string
}

// Error names the flag, its value and the bounds.
func (e *boundsError) Error() string { return fmt.Sprintf("%s %v: %s", e.flag, e.value, e.bounds) }

// brokenRulesError is a run in which rules of the protocol were broken.
type brokenRulesError struct {
	run   string // "config" or "size", and its quoted name
	count int
	first string // the first broken rule
}

// Error names the run, the number of broken rules and the first of them.
func (e *brokenRulesError) Error() string {
	return fmt.Sprintf("%s: %d rules were broken; the first: %s", e.run, e.count, e.first)
}

// serviceError is a response with a status that is no success. Its text is the service's own.
type serviceError struct {
	status  int
	message string
}

// Error returns the service's text.
func (e *serviceError) Error() string { return e.message }

// withStatus returns the error with its status before the text.
func (e *serviceError) withStatus() error { return fmt.Errorf("status %d: %w", e.status, e) }

// secondSignalError is a second signal, which ends a controller while it drains.
type secondSignalError struct{ signal os.Signal }

// Error names the signal.
func (e *secondSignalError) Error() string {
	return fmt.Sprintf("ended by a second signal (%s) while it drained", e.signal)
}

// Wrong arguments and flags.
var (
	errCAWithoutTLS    = errors.New("--ca is for a --server that begins with https://")
	errCountOrReset    = errors.New("give either a count or --reset")
	errNoPlan          = errors.New("name a plan, or a run's file with --from")
	errNoZones         = errors.New("--zones names no zone")
	errNotJSONObject   = errors.New("is not a JSON object")
	errVirtualTimeOnly = errors.New("is for `harewalk lab` only: here the controllers share one process")

	errNoSessionToken = errors.New(
		"the session's token is missing: give --session-token-file or $HAREWALK_SESSION_TOKEN")
)

// What a cluster or its service didn't do.
var (
	errGivenUp           = errors.New("given up after a minute") // after retryLimit
	errJobCancelled      = errors.New("is cancelled")
	errLeaderUnreachable = errors.New("leads and does not answer")
	errMalformedResponse = errors.New("an answer that is none")
	errNotEnabled        = errors.New("the cluster has no such thing; is it switched on in its operators' settings?")
	errNotReady          = errors.New("is not ready")
	errOutcomeUnknown    = errors.New("no answer: look whether the command was carried out before giving it again")
	errRefused           = errors.New("refused")
	errRulesNotKept      = errors.New("rules did not hold")
)
