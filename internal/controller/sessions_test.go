package controller

import (
	"errors"
	"net/http"
	"testing"

	"github.com/harewalk/harewalk/internal/sessions"
)

// Each refusal reason of package sessions maps to its HTTP status. Only the responses that are worth a retry have a
// Retry-After.
func TestSessionRefusalsHaveTheirStatus(t *testing.T) {
	for _, c := range []struct {
		reason sessions.Reason
		status int
		retry  bool
	}{
		{sessions.NotAuthorized, http.StatusForbidden, false},
		{sessions.Conflict, http.StatusConflict, false},
		{sessions.Ended, http.StatusGone, false},
		{sessions.TooFrequent, http.StatusTooManyRequests, true},
		{sessions.Unavailable, http.StatusServiceUnavailable, true},
	} {
		t.Run(c.reason.String(), func(t *testing.T) {
			reply := sessionReply(sessions.Result{}, &sessions.Error{Reason: c.reason, Message: "refused"})
			if reply.Status != c.status || (reply.RetryAfter > 0) != c.retry {
				t.Errorf("status %d, Retry-After %v; want those of the test case", reply.Status, reply.RetryAfter)
			}
		})
	}
	if reply := sessionReply(sessions.Result{}, errors.New("other")); reply.Status != http.StatusServiceUnavailable {
		t.Errorf("error without a reason: status %d, want 503", reply.Status)
	}
}

func TestSessionReplyDistinguishesCreation(t *testing.T) {
	if reply := sessionReply(sessions.Result{Created: true}, nil); reply.Status != http.StatusCreated {
		t.Errorf("new session: status %d, want 201", reply.Status)
	}
	if reply := sessionReply(sessions.Result{}, nil); reply.Status != http.StatusOK {
		t.Errorf("existing session: status %d, want 200", reply.Status)
	}
}
