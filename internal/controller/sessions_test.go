package controller

import (
	"errors"
	"net/http"
	"testing"

	"github.com/harewalk/harewalk/internal/sessions"
)

// Each reason of package sessions has its HTTP status, and only those worth a retry carry a Retry-After.
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
				t.Errorf("status %d, Retry-After %v", reply.Status, reply.RetryAfter)
			}
		})
	}
	if reply := sessionReply(sessions.Result{}, errors.New("other")); reply.Status != http.StatusServiceUnavailable {
		t.Errorf("status %d for an error without a reason", reply.Status)
	}
}

func TestSessionReplyDistinguishesCreation(t *testing.T) {
	if reply := sessionReply(sessions.Result{Created: true}, nil); reply.Status != http.StatusCreated {
		t.Errorf("status %d for a session that was created", reply.Status)
	}
	if reply := sessionReply(sessions.Result{}, nil); reply.Status != http.StatusOK {
		t.Errorf("status %d for a session that existed", reply.Status)
	}
}
