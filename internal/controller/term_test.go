package controller

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/api"
	"github.com/harewalk/harewalk/internal/httpio"
	"github.com/harewalk/harewalk/internal/simulator/state"
)

// The response to commands contains a heartbeat if the worker accepted or refused the commands. The heartbeat is optional.
func TestOutcomeOfDirectCommands(t *testing.T) {
	const heartbeat = `{"den":"i-1","address":"x","build":"b","meadow":"a","run":1,"tally":1,"hops":[]}`
	failure := errors.New("connection failed")
	for _, test := range []struct {
		name         string
		response     httpio.Response
		hasHeartbeat bool
	}{
		{"accepted", httpio.Response{Status: http.StatusOK, Body: []byte(heartbeat)}, true},
		{"conflict", httpio.Response{Status: http.StatusConflict, Body: []byte(heartbeat)}, true},
		{"without a heartbeat", httpio.Response{Status: http.StatusOK, Body: []byte("{")}, false},
		{"malformed", httpio.Response{Status: http.StatusBadRequest}, false},
		{"server error", httpio.Response{Status: http.StatusInternalServerError}, false},
		{"connection refused", httpio.Response{Err: failure, Refused: true}, false},
		{"connection lost", httpio.Response{Err: failure}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			received := parseCommandAnswer(test.response)
			if (received != nil) != test.hasHeartbeat {
				t.Errorf("got heartbeat %v, want one: %v", received, test.hasHeartbeat)
			}
		})
	}
}

// hookedSender responds like directSender, and calls beforeAnswer between a transaction and its response.
type hookedSender struct {
	directSender
	beforeAnswer func()
}

// Send implements httpio.Sender.
func (s *hookedSender) Send(addr string, request httpio.Request, done func(httpio.Response)) {
	s.directSender.Send(addr, request, func(response httpio.Response) {
		if s.beforeAnswer != nil && request.Path == state.TxnPath {
			s.beforeAnswer()
		}
		done(response)
	})
}

// A command whose leader term ends while its write is in flight must get the response that the outcome is unknown. It
// once got no response, and the operator waited until the timeout.
func TestCommandIsAnsweredWhenTermEnds(t *testing.T) {
	sender := &hookedSender{}
	c, _, _ := newControllerOn(t, func(service *state.Service) httpio.Sender {
		sender.directSender = directSender{service}
		return sender
	})
	drainMachine := api.LeaderRequest{
		Resource: api.ResourceAdmin,
		Verb:     api.VerbSet,
		Body:     []byte(`{"op":"drain","kind":"machine","name":"i-000001","by":"kana"}`),
	}
	holdRollout := api.LeaderRequest{
		Resource: api.ResourceRollout,
		Verb:     api.VerbSet,
		Body:     []byte(`{"op":"hold","by":"kana"}`),
	}
	for name, call := range map[string]func(reply func(api.Reply)){
		"drain": func(reply func(api.Reply)) { c.handleAdminRequest(time.Second, drainMachine, reply) },
		"hold":  func(reply func(api.Reply)) { c.handleRolloutRequest(time.Second, holdRollout, reply) },
	} {
		c.startTerm(time.Second, 1)
		c.term.fleet.RegisterMachine(time.Second, "i-000001")
		sender.beforeAnswer = func() { c.endTerm(time.Second) }
		var got []api.Reply
		call(func(reply api.Reply) { got = append(got, reply) })
		sender.beforeAnswer = nil
		if len(got) != 1 || got[0].Status != http.StatusServiceUnavailable {
			t.Errorf("%s: responses %+v, want one with status 503", name, got)
		}
	}
}
