package main

import (
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// retryLimit is how long a request is repeated; errGivenUp names it as "a minute".
	retryLimit = time.Minute
	// leaderRetryDelay is the time between two attempts to reach the leader.
	leaderRetryDelay = 500 * time.Millisecond
)

// isUntrusted reports whether the server's certificate was not accepted: repeating the request can't help.
func isUntrusted(err error) bool {
	var certificate *tls.CertificateVerificationError
	return errors.As(err, &certificate)
}

// isFinal reports whether an error has an exit code already, so that the request isn't repeated.
func isFinal(err error) bool {
	var exit exitError
	return errors.As(err, &exit)
}

// callAny sends a request that any controller can serve. It is repeated while the service asks for it, until
// retryLimit. The errors it returns have exit codes.
func (c *apiClient) callAny(method, path string, body []byte) ([]byte, error) {
	deadline := time.Now().Add(retryLimit)
	for {
		resp, err := c.send(method, "", path, body)
		if isUntrusted(err) {
			return nil, failure(err)
		}
		if err == nil {
			err = resp.callError()
		}
		if err == nil {
			return resp.body, nil
		}
		if isFinal(err) {
			return nil, err
		}
		if time.Now().Add(resp.retryAfter).After(deadline) {
			return nil, failure(fmt.Errorf("%w: %w", errGivenUp, err))
		}
		time.Sleep(resp.retryAfter)
	}
}

// callError returns nil for a success, an error with an exit code where repeating the request can't help, and an error
// without one otherwise.
func (r apiResponse) callError() error {
	switch {
	case r.status < http.StatusMultipleChoices:
		return nil
	case r.status == http.StatusBadRequest || r.status == http.StatusUnprocessableEntity:
		return refusal(fmt.Errorf("%w with %w", errRefused, r.serviceError().withStatus()))
	case r.status == http.StatusUnauthorized || r.status == http.StatusForbidden:
		return usageError(r.serviceError())
	case r.status != http.StatusTooManyRequests && r.status < http.StatusInternalServerError:
		return failure(r.serviceError().withStatus())
	}
	return r.serviceError().withStatus()
}

// callLeader sends a request to the leader, which any controller names, and decodes the response. A request that can't
// be served now is repeated until retryLimit. A command, which has a body, isn't repeated once its outcome is
// indeterminate.
func (c *apiClient) callLeader(req request, into any) error {
	var raw []byte
	if req.body != nil {
		raw, _ = json.Marshal(req.body)
	}
	leader := "" // its address; empty: not known
	var lastErr error
	for deadline := time.Now().Add(retryLimit); time.Now().Before(deadline); time.Sleep(leaderRetryDelay) {
		resp, err := c.send(req.method, leader, req.path, raw)
		if err == nil && isLeadersSuccess(resp.status) {
			return json.Unmarshal(resp.body, into)
		}
		if err != nil {
			leader = ""
			lastErr = sendError(err, req.body != nil)
		} else {
			leader, lastErr = c.redirect(resp)
		}
		if isFinal(lastErr) {
			return lastErr
		}
	}
	return failure(fmt.Errorf("%w: %w", errGivenUp, lastErr))
}

func isLeadersSuccess(status int) bool {
	return status == http.StatusOK || status == http.StatusCreated
}

// sendError gives an exit code to the error of a request without a response, if the request must not be repeated.
func sendError(err error, isCommand bool) error {
	switch {
	case isFinal(err):
		return err
	case isUntrusted(err):
		return failure(err)
	case isCommand:
		return failure(fmt.Errorf("%w: %w", errOutcomeUnknown, err))
	}
	return err
}

// redirect returns the address to send a request to next, empty for the server of the flags, and what was wrong with
// the response; the error has an exit code where the request must not be repeated.
func (c *apiClient) redirect(resp apiResponse) (leader string, err error) {
	switch resp.status {
	case http.StatusMisdirectedRequest:
		if leader := c.leaderNamedBy(resp.body); leader != "" {
			return leader, fmt.Errorf("%s %w", leader, errLeaderUnreachable)
		}
		return "", resp.serviceError()
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return "", resp.serviceError()
	case http.StatusNotFound:
		if !strings.HasPrefix(string(resp.body), "{") {
			return "", usageError(errNotEnabled)
		}
		return "", usageError(resp.serviceError())
	case http.StatusBadRequest, http.StatusUnauthorized:
		return "", usageError(resp.serviceError())
	}
	return "", refusal(fmt.Errorf("%w (status %d)", resp.serviceError(), resp.status))
}

// leaderNamedBy returns the leader's address for the client's scheme; empty: the response names none.
func (c *apiClient) leaderNamedBy(body []byte) string {
	var named struct {
		Plain string `json:"leader"`
		TLS   string `json:"leader_tls"`
	}
	_ = json.Unmarshal(body, &named)
	if c.scheme == "https" {
		return named.TLS
	}
	return named.Plain
}
