package store_test

import (
	"errors"
	"log/slog"
	"os"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/httpio"
	"github.com/harewalk/harewalk/internal/simulator/state"
	"github.com/harewalk/harewalk/internal/store"
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	os.Exit(m.Run())
}

// simulatedService answers each request at once. If intercept is set and returns true, its response is used; otherwise
// the simulated state service handles the request.
type simulatedService struct {
	service   *state.Service
	intercept func(httpio.Request) (httpio.Response, bool)
}

func (s *simulatedService) Send(_ string, request httpio.Request, done func(httpio.Response)) {
	if s.intercept != nil {
		if response, ok := s.intercept(request); ok {
			done(response)
			return
		}
	}
	done(s.service.Serve(request))
}

// respond sets the response to all further requests.
func (s *simulatedService) respond(response httpio.Response) {
	s.intercept = func(httpio.Request) (httpio.Response, bool) { return response, true }
}

// newClient returns a client whose budget allows rps requests per second and rps writes per second.
func newClient(sender httpio.Sender, now *time.Duration, rps float64) *store.Client {
	return store.New(
		"",
		sender,
		func() time.Duration { return *now },
		store.RateShare{RPS: rps, WriteRPS: rps, BurstSeconds: 0.8},
		store.TxnLimits{MaxOps: 24, MaxValueBytes: 32 << 10},
	)
}

// Errors distinguish an expired lease, a compacted revision, an exhausted budget, a lost response and any other
// status.
func TestErrorsIdentifyTheCause(t *testing.T) {
	service := &simulatedService{service: state.New()}
	now := time.Duration(0)
	cases := []struct {
		name     string
		rps      float64
		response httpio.Response
		call     func(*store.Client, func(error))
		want     error
	}{
		{"renewal of an expired lease", 1000, httpio.Response{Status: 404}, renew, store.ErrLeaseExpired},
		{"renewal", 1000, httpio.Response{Status: 200}, renew, nil},
		{"renewal without a response", 1000, httpio.Response{Err: httpio.ErrLost}, renew, httpio.ErrLost},
		{"watch from a compacted revision", 1000, httpio.Response{Status: 410}, watch, store.ErrCompacted},
		{"watch", 1000, httpio.Response{Status: 200, Body: []byte(`{"epoch":1}`)}, watch, nil},
		{"budget exhausted", 0, httpio.Response{Status: 200}, renew, store.ErrOverBudget},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			service.respond(tc.response)
			client := newClient(service, &now, tc.rps)
			if tc.rps == 0 {
				renew(client, func(error) {}) // takes the one token that every new bucket holds
			}
			called := 0
			tc.call(client, func(err error) {
				called++
				if !errors.Is(err, tc.want) {
					t.Errorf("got error %v, want %v", err, tc.want)
				}
			})
			if called != 1 {
				t.Errorf("got %d callbacks, want 1", called)
			}
		})
	}
	t.Run("outage", func(t *testing.T) {
		service.respond(httpio.Response{Status: 503})
		renew(newClient(service, &now, 1000), func(err error) {
			var status *store.StatusError
			if !errors.As(err, &status) || status.Status != 503 {
				t.Errorf("got error %v, want a StatusError with status 503", err)
			}
		})
	})
}

func renew(client *store.Client, done func(error)) { client.RenewLease(1, done) }

func watch(client *store.Client, done func(error)) {
	client.Watch("h/", 1, time.Second, func(_ uint64, _ []store.Event, err error) { done(err) })
}
