package controller

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/harewalk/harewalk/internal/api"
	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/fleet"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/peers"
)

// Simulated is a controller without sockets, goroutines and clocks of its own: its owner calls its methods, one at a
// time, and advances the clock. In all else it is the same as a controller of New.
type Simulated struct{ c *Controller }

// Simulate makes a controller whose statuses go to the links.
func Simulate(settings *config.Settings, env Environment, links ...func(raw []byte)) *Simulated {
	c := build(settings, env)
	for _, send := range links {
		c.peers.links = append(c.peers.links, sendFunc(send))
	}
	return &Simulated{c}
}

// sendFunc makes a function a link.
type sendFunc func([]byte)

// Send implements link.
func (f sendFunc) Send(raw []byte) { f(raw) }

// Tick does all that is due.
func (s *Simulated) Tick() { s.c.tick(s.c.loop.Now()) }

// Hear applies a status of another controller. A malformed one is ignored.
func (s *Simulated) Hear(raw []byte) {
	if status, err := peers.Decode(raw); err == nil {
		s.c.handlePeerStatus(status)
	}
}

// Leads reports whether the controller leads and has the authority to act.
func (s *Simulated) Leads() bool {
	return s.c.term.active() && s.c.membership.HasAuthority(s.c.loop.Now())
}

// Step returns the state of the controller's membership, between joining and leading.
func (s *Simulated) Step() string { return s.c.membership.State().String() }

// Acts reports whether the controller counts a machine as ready.
func (s *Simulated) Acts(machine string) bool {
	if !s.c.term.active() {
		return false
	}
	found := s.c.term.fleet.FindMachine(machine)
	return found != nil && found.Condition == fleet.Ready
}

// Hears reports whether the controller counts a machine as ready by a session's heartbeat at a sequence number, or by
// one of the two before.
func (s *Simulated) Hears(machine string, session, seq uint64) bool {
	if !s.Acts(machine) {
		return false
	}
	found := s.c.term.fleet.FindMachine(machine)
	return found.Session == session && found.Seq+2 >= seq && found.Seq <= seq
}

// Drain does what SIGTERM does to a process. The returned channel is closed when the controller may end.
func (s *Simulated) Drain() <-chan struct{} {
	s.c.handleTermination()
	return s.c.lifecycle.ended
}

// Ask takes a request as the HTTP side does. reply is called once, unless the controller ends before.
func (s *Simulated) Ask(method, path string, body []byte, reply func(status int, body []byte)) {
	c, now := s.c, s.c.loop.Now()
	send := func(r api.Reply) {
		raw, _ := json.Marshal(r.Body)
		reply(r.Status, raw)
	}
	location, err := url.Parse(path)
	if err != nil {
		send(api.Refuse(api.InvalidRequest, err.Error()))
		return
	}
	id, verb, _ := strings.Cut(strings.TrimPrefix(location.Path, "/v2/runs/"), "/")
	switch {
	case path == "/up":
		status := http.StatusServiceUnavailable
		if c.healthy() {
			status = http.StatusOK
		}
		reply(status, []byte("{}"))
	case path == "/checkin":
		s.heartbeat(now, body, send)
	case location.Path == "/v2/runs" && method == http.MethodPost:
		s.submit(now, body, send)
	case isLeaderPath(location.Path):
		c.leaderCall(now, leaderRequestOf(method, location, body), send)
	case verb == "":
		c.api.Query(now, id, send)
	case verb == "abort":
		c.api.Cancel(now, nil, id, send)
	default:
		c.leaderCall(now, api.LeaderRequest{Resource: verb, Name: id, Verb: verbShow}, send)
	}
}

func (s *Simulated) heartbeat(now time.Duration, body []byte, send func(api.Reply)) {
	heartbeat, err := fleet.ParseHeartbeat(body)
	if err != nil {
		send(api.Refuse(api.InvalidRequest, "not a report"))
		return
	}
	s.c.handleHeartbeat(now, heartbeat, send)
}

func (s *Simulated) submit(now time.Duration, body []byte, send func(api.Reply)) {
	spec, err := jobs.ParseSpec(body)
	if err != nil {
		send(api.Refuse(api.InvalidRequest, err.Error()))
		return
	}
	s.c.api.Submit(now, spec, send)
}

// isLeaderPath reports whether only the leader answers requests for a path that is about no single job.
func isLeaderPath(path string) bool {
	switch path {
	case "/v2/runs", "/v2/events", "/v2/rollout", "/v2/admin":
		return true
	}
	return strings.HasPrefix(path, zonesPath)
}

const zonesPath = "/v2/zones"

// leaderRequestOf returns the request for a path of isLeaderPath.
func leaderRequestOf(method string, location *url.URL, body []byte) api.LeaderRequest {
	query := location.Query()
	switch location.Path {
	case "/v2/runs", "/v2/events":
		request := api.LeaderRequest{Resource: "list", Verb: verbShow, Query: map[string]string{}}
		if location.Path == "/v2/events" {
			request.Resource = "events"
		}
		for name, values := range query {
			request.Query[name] = values[0]
		}
		return request
	case "/v2/rollout", "/v2/admin":
		request := api.LeaderRequest{
			Resource: strings.TrimPrefix(location.Path, "/v2/"),
			Verb:     verbShow,
			Body:     body,
			Query:    map[string]string{"since": query.Get("since")},
		}
		if method == http.MethodPost {
			request.Verb = "set"
		}
		return request
	default:
		zone := strings.TrimPrefix(strings.TrimPrefix(location.Path, zonesPath), "/")
		return api.LeaderRequest{Resource: "zones", Verb: verbShow, Name: zone}
	}
}

// Call takes a request of operators, users of sessions or their agents to the leader.
func (s *Simulated) Call(request api.LeaderRequest, reply func(status int, body []byte)) {
	s.c.leaderCall(s.c.loop.Now(), request, func(r api.Reply) {
		raw, _ := json.Marshal(r.Body)
		reply(r.Status, raw)
	})
}

// JobsKnown returns how many jobs the controller has in memory, with ended ones that are not archived yet.
func (s *Simulated) JobsKnown() int { return s.c.jobs.Len() }
