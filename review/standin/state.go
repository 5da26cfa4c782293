package main

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/harewalk/harewalk/internal/httpio"
	"github.com/harewalk/harewalk/internal/simulator/state"
)

// stateStandIn serves the project's simulated state service over HTTP on the real clock. It adds what the simulated
// service lacks: open watches, the usual latency and the limits of the settings.
type stateStandIn struct {
	started time.Time

	mu      sync.Mutex
	service *state.Service
	changed chan struct{} // closed at the next change of a key
}

// stateLatency is the usual time that the state service takes to answer.
const stateLatency = 5 * time.Millisecond

func newStateStandIn() *stateStandIn {
	return &stateStandIn{started: time.Now(), service: state.New(), changed: make(chan struct{})}
}

// expireLeases ends expired leases 20 times a second, so that watches see the deletions in time.
func (s *stateStandIn) expireLeases() {
	for range time.Tick(50 * time.Millisecond) {
		s.apply(func() { s.service.Expire() })
	}
}

// apply runs f with the service's clock set, and wakes all open watches if f changed a key.
func (s *stateStandIn) apply(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.service.Now = time.Since(s.started)
	before := s.service.Revision
	f()
	if s.service.Revision != before {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// ServeHTTP implements http.Handler.
func (s *stateStandIn) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(stateLatency)
	if r.URL.Path == "/follow" {
		s.serveWatch(w, r)
		return
	}
	var answer httpio.Response
	s.apply(func() {
		answer = s.service.Serve(httpio.Request{Method: r.Method, Path: r.URL.RequestURI(), Body: body})
	})
	writeJSON(w, answer.Status, answer.Body)
}

// serveWatch answers once a key with the prefix has changed, or after the requested time.
func (s *stateStandIn) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, _ := strconv.ParseUint(query.Get("since"), 10, 64)
	waitMS, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	for isOver := false; ; {
		s.mu.Lock()
		events, ok := s.service.ChangesSince(query.Get("starts"), since)
		revision, changed := s.service.Revision, s.changed
		s.mu.Unlock()
		switch {
		case !ok:
			writeJSON(w, http.StatusGone, []byte("{}"))
			return
		case len(events) > 0 || isOver:
			raw, _ := json.Marshal(state.NewWatchResponse(revision, events))
			writeJSON(w, http.StatusOK, raw)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			isOver = true
		case <-r.Context().Done():
			return
		}
	}
}

// writeJSON sends an answer. A client that has gone gets none.
func writeJSON(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
