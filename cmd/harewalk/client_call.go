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
	// retryLimit is how long a request is retried. The text of errRetryTimeout names it as one minute.
	retryLimit = time.Minute
	// leaderRetryDelay is the time between two attempts to reach the leader.
	leaderRetryDelay = 500 * time.Millisecond
)

// isUntrusted reports whether an error is a failed verification of the server's certificate. A retry can't help then.
func isUntrusted(err error) bool {
	var certificate *tls.CertificateVerificationError
	return errors.As(err, &certificate)
}

// isFinal reports whether an error has an exit code. The request is not retried after such an error.
func isFinal(err error) bool {
	var exit exitError
	return errors.As(err, &exit)
}

// callAny sends a request that any controller can serve and returns the body of the response. It retries temporary
// failures until retryLimit. Its errors have exit codes.
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
			return nil, failure(fmt.Errorf("%w: %w", errRetryTimeout, err))
		}
		time.Sleep(resp.retryAfter)
	}
}

// callError returns nil for a success status. For a status that a retry can't change, it returns an error with an exit
// code, for any other an error without one.
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

// callLeader sends a request to the leader and decodes the response. Any controller responds with the leader's address.
// A request that can't be served now is retried until retryLimit. A request with a body is a command: it is not
// retried after a failure that leaves open whether it was applied.
func (c *apiClient) callLeader(req request, into any) error {
	var raw []byte
	if req.body != nil {
		raw, _ = json.Marshal(req.body)
	}
	leader := "" // the leader's address; empty: unknown
	var lastErr error
	for deadline := time.Now().Add(retryLimit); time.Now().Before(deadline); time.Sleep(leaderRetryDelay) {
		resp, err := c.send(req.method, leader, req.path, raw)
		if err == nil && isLeaderSuccess(resp.status) {
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
	return failure(fmt.Errorf("%w: %w", errRetryTimeout, lastErr))
}

func isLeaderSuccess(status int) bool {
	return status == http.StatusOK || status == http.StatusCreated
}

// sendError returns the error of a request that got no response. It adds an exit code if the request must not be
// retried.
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

// redirect returns the address for the next attempt after a response without success, "" for the server of the --server
// flag, and the error of the response. The error has an exit code if the request must not be retried.
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

// leaderNamedBy returns the leader's address for the client's scheme, or "" if the response has none.
func (c *apiClient) leaderNamedBy(body []byte) string {
	var named struct {
		Plain string `json:"leader"` // address of the leader without TLS
		TLS   string `json:"leader_tls"`
	}
	_ = json.Unmarshal(body, &named)
	if c.scheme == "https" {
		return named.TLS
	}
	return named.Plain
}
