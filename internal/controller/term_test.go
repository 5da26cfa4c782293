package controller

import (
	"errors"
	"net/http"
	"testing"

	"github.com/harewalk/harewalk/internal/httpio"
)

// The outcome of commands is known if the worker answered them, or can't have received or carried them out. Its
// heartbeat is optional.
func TestOutcomeOfDirectCommands(t *testing.T) {
	const heartbeat = `{"den":"i-1","address":"x","build":"b","meadow":"a","run":1,"tally":1,"hops":[]}`
	failure := errors.New("connection failed")
	for _, test := range []struct {
		name         string
		response     httpio.Response
		hasHeartbeat bool
		isKnown      bool
	}{
		{"taken", httpio.Response{Status: http.StatusOK, Body: []byte(heartbeat)}, true, true},
		{"conflict", httpio.Response{Status: http.StatusConflict, Body: []byte(heartbeat)}, true, true},
		{"without a heartbeat", httpio.Response{Status: http.StatusOK, Body: []byte("{")}, false, true},
		{"malformed", httpio.Response{Status: http.StatusBadRequest}, false, true},
		{"server error", httpio.Response{Status: http.StatusInternalServerError}, false, false},
		{"connection refused", httpio.Response{Err: failure, Refused: true}, false, true},
		{"connection lost", httpio.Response{Err: failure}, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			received, isKnown := parseCommandAnswer(test.response)
			if (received != nil) != test.hasHeartbeat || isKnown != test.isKnown {
				t.Errorf("heartbeat %v, outcome known %v", received, isKnown)
			}
		})
	}
}
