package store

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"github.com/harewalk/harewalk/internal/httpio"
)

// Errors that callers distinguish with errors.Is.
var (
	// ErrOverBudget is returned for a request that was not sent because it exceeds the client's budget.
	ErrOverBudget = errors.New("state service: request exceeds the client's budget")
	// ErrCompacted is returned by Watch if the state service no longer has the changes after the given revision. The
	// caller has to list the keys again.
	ErrCompacted = errors.New("state service: changes after the given revision were compacted")
	// ErrLeaseExpired is returned by RenewLease if the lease no longer exists in the state service.
	ErrLeaseExpired = errors.New("state service: lease expired")
)

// StatusError is returned when the state service responded with an unexpected HTTP status.
type StatusError struct{ Status int }

// Error implements the error interface.
func (e *StatusError) Error() string {
	return fmt.Sprintf("state service responded with status %d", e.Status)
}

// checkStatus returns nil for a response with status 200. Any other response gives Response.Err or a StatusError.
func checkStatus(response httpio.Response) error {
	if response.Err != nil {
		return response.Err
	}
	if response.Status != http.StatusOK {
		return &StatusError{Status: response.Status}
	}
	return nil
}

// decode decodes the JSON body of a response into body. A status other than 200 is an error.
func decode(response httpio.Response, body any) error {
	if err := checkStatus(response); err != nil {
		return err
	}
	if err := json.Unmarshal(response.Body, body); err != nil {
		return fmt.Errorf("state service: decode response: %w", err)
	}
	return nil
}

// hasStatus reports whether a response was received and has the given HTTP status.
func hasStatus(response httpio.Response, status int) bool {
	return response.Err == nil && response.Status == status
}
