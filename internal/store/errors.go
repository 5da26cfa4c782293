package store

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"github.com/harewalk/harewalk/internal/httpio"
)

// Errors on which callers decide, to be tested with errors.Is.
var (
	// ErrOverBudget is returned for a request that was not sent because the client's budget is used up.
	ErrOverBudget = errors.New("state service: request exceeds the client's budget")
	// ErrCompacted is returned by Watch when the state service no longer keeps the changes after the given
	// revision: the keys have to be listed again.
	ErrCompacted = errors.New("state service: revision was compacted")
	// ErrLeaseExpired is returned by RenewLease when the state service has no such lease any more.
	ErrLeaseExpired = errors.New("state service: lease expired")
)

// StatusError is returned when the state service answered with an HTTP status other than the expected one.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("state service answered %d", e.Status) }

// checkStatus returns an error unless the request was answered with status 200.
func checkStatus(response httpio.Response) error {
	if response.Err != nil {
		return response.Err
	}
	if response.Status != http.StatusOK {
		return &StatusError{Status: response.Status}
	}
	return nil
}

// decode reads the body of a response with status 200 into body.
func decode(response httpio.Response, body any) error {
	if err := checkStatus(response); err != nil {
		return err
	}
	if err := json.Unmarshal(response.Body, body); err != nil {
		return fmt.Errorf("state service: decode response: %w", err)
	}
	return nil
}

// hasStatus reports whether the state service answered with the given HTTP status.
func hasStatus(response httpio.Response, status int) bool {
	return response.Err == nil && response.Status == status
}
