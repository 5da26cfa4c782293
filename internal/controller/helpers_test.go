package controller

import (
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/httpio"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/simulator/state"
)

// directSender passes requests to a simulated state service, which responds immediately.
type directSender struct{ service *state.Service }

// Send implements httpio.Sender.
func (d directSender) Send(_ string, request httpio.Request, done func(httpio.Response)) {
	done(d.service.Serve(request))
}

const testSettings = `{
	"node": "n0", "public_addr": "a:80", "back": "a:81",
	"services": {"cloud": "c:1", "state": "s:1"},
	"params": {
		"workers": {"report_s": 1, "lease_s": 6, "gang_wait_s": 10, "gang_peer_s": 2, "cancel_s": 20},
		"state": {"rps": 1000, "write_rps": 1000, "value_kb": 8, "txn_ops": 24},
		"cloud": {"rps": 5, "list_lag_s": 1}
	}
}`

// newWatchingController returns a controller that watches the keys of a state service, and a function that advances
// the clock of both.
func newWatchingController(t *testing.T) (c *Controller, service *state.Service, advance func(time.Duration)) {
	t.Helper()
	return newControllerOn(t, func(service *state.Service) httpio.Sender { return directSender{service} })
}

// newControllerOn returns a controller like newWatchingController's that reaches the state service through a sender.
func newControllerOn(
	t *testing.T,
	newSender func(*state.Service) httpio.Sender,
) (c *Controller, service *state.Service, advance func(time.Duration)) {
	t.Helper()
	settings, err := config.Parse([]byte(testSettings))
	if err != nil {
		t.Fatal(err)
	}
	service = state.New()
	now := time.Duration(0)
	c = build(settings, Environment{
		Now:    func() time.Duration { return now },
		Sender: func(int) httpio.Sender { return newSender(service) },
	})
	advance = func(duration time.Duration) {
		now += duration
		service.Now = now
		c.watchCache.Tick(now)
	}
	advance(time.Second)
	return c, service, advance
}

// newSpec returns the spec of a job with one task.
func newSpec(id string) *jobs.Spec {
	return &jobs.Spec{
		ID:       id,
		Class:    "c",
		Team:     "t",
		Kind:     jobs.Array,
		Priority: "standard",
		Tasks:    1,
		CPUs:     1,
		Image:    "i",
	}
}
