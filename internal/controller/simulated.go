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

// Simulated is a controller without sockets, goroutines and a clock of its own. Its owner calls its methods, one at a
// time, and advances the clock. In every other respect it is the same as a controller of New.
type Simulated struct{ c *Controller }

// Simulate returns a simulated controller that sends its statuses to the links.
func Simulate(settings *config.Settings, env Environment, links ...func(raw []byte)) *Simulated {
	c := build(settings, env)
	for _, send := range links {
		c.peers.links = append(c.peers.links, sendFunc(send))
	}
	return &Simulated{c}
}

// sendFunc adapts a function to a link.
type sendFunc func([]byte)

// Send implements link.
func (f sendFunc) Send(raw []byte) { f(raw) }

// Tick performs the periodic work that is due.
func (s *Simulated) Tick() { s.c.tick(s.c.loop.Now()) }

// HandleStatus applies a status of another controller. A malformed status is ignored.
func (s *Simulated) HandleStatus(raw []byte) {
	if status, err := peers.Decode(raw); err == nil {
		s.c.handlePeerStatus(status)
	}
}

// IsActiveLeader reports whether the controller leads and has the authority to act.
func (s *Simulated) IsActiveLeader() bool {
	return s.c.term.active() && s.c.membership.HasAuthority(s.c.loop.Now())
}

// MembershipState returns the state of the controller's membership, between joining and leading.
func (s *Simulated) MembershipState() string { return s.c.membership.State().String() }

// IsReady reports whether the controller leads and counts a machine as ready.
func (s *Simulated) IsReady(machine string) bool {
	if !s.c.term.active() {
		return false
	}
	found := s.c.term.fleet.FindMachine(machine)
	return found != nil && found.Condition == fleet.Ready
}

// HasHeartbeat reports whether the controller counts a machine as ready, and the machine's last received heartbeat is
// the session's heartbeat with number seq or one of the two before.
func (s *Simulated) HasHeartbeat(machine string, session, seq uint64) bool {
	if !s.IsReady(machine) {
		return false
	}
	found := s.c.term.fleet.FindMachine(machine)
	return found.Session == session && found.Seq+2 >= seq && found.Seq <= seq
}

// Drain has the same effect as SIGTERM. The returned channel is closed when the controller may end.
func (s *Simulated) Drain() <-chan struct{} {
	s.c.handleTermination()
	return s.c.lifecycle.ended
}

// HandleRequest handles a request like the HTTP server. It calls reply once, unless the controller ends before.
func (s *Simulated) HandleRequest(method, path string, body []byte, reply func(status int, body []byte)) {
	c, now := s.c, s.c.loop.Now()
	send := encodeReply(reply)
	location, err := url.Parse(path)
	if err != nil {
		send(api.Refuse(api.InvalidRequest, err.Error()))
		return
	}
	switch {
	case path == "/up":
		s.health(reply)
	case path == "/checkin":
		s.heartbeat(now, body, send)
	case location.Path == jobsPath && method == http.MethodPost:
		s.submit(now, body, send)
	default:
		if request, ok := parseLeaderRequest(method, location, body); ok {
			c.handleLeaderRequest(now, request, send)
			return
		}
		s.jobRequest(now, strings.TrimPrefix(location.Path, jobsPath+"/"), send)
	}
}

// jobRequest handles a request about one job. path is the part after the path of all jobs.
func (s *Simulated) jobRequest(now time.Duration, path string, send func(api.Reply)) {
	id, subresource, _ := strings.Cut(path, "/")
	switch subresource {
	case "":
		s.c.api.Query(now, id, send)
	case "abort":
		s.c.api.Cancel(now, nil, id, send)
	default:
		resource, ok := leaderJobResources[subresource]
		if !ok {
			send(api.Refuse(api.NotFound, "no such path"))
			return
		}
		s.c.handleLeaderRequest(now, api.LeaderRequest{Resource: resource, Name: id, Verb: api.VerbShow}, send)
	}
}

// health handles a health check.
func (s *Simulated) health(reply func(status int, body []byte)) {
	status := http.StatusServiceUnavailable
	if s.c.healthy() {
		status = http.StatusOK
	}
	reply(status, []byte("{}"))
}

func (s *Simulated) heartbeat(now time.Duration, body []byte, send func(api.Reply)) {
	heartbeat, err := fleet.ParseHeartbeat(body)
	if err != nil {
		send(api.Refuse(api.InvalidRequest, "the body is not a valid heartbeat"))
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

const (
	jobsPath  = "/v2/runs"
	zonesPath = "/v2/zones"
)

// leaderResources maps the paths that the leader serves, except those of a single job or zone.
var leaderResources = map[string]api.LeaderResource{
	jobsPath:      api.ResourceJobs,
	"/v2/events":  api.ResourceEvents,
	"/v2/rollout": api.ResourceRollout,
	"/v2/admin":   api.ResourceAdmin,
}

// leaderJobResources maps the last segments of a job's paths that the leader serves.
var leaderJobResources = map[string]api.LeaderResource{
	"why":    api.ResourcePendingReasons,
	"events": api.ResourceEvents,
}

// parseLeaderRequest returns the request to the leader for a path, except a path of a single job. ok is false if the
// path is not one of the leader's.
func parseLeaderRequest(method string, location *url.URL, body []byte) (request api.LeaderRequest, ok bool) {
	if zone, isZone := strings.CutPrefix(location.Path, zonesPath); isZone {
		return api.LeaderRequest{
			Resource: api.ResourceZones,
			Verb:     api.VerbShow,
			Name:     strings.TrimPrefix(zone, "/"),
		}, true
	}
	resource, ok := leaderResources[location.Path]
	if !ok {
		return api.LeaderRequest{}, false
	}
	request = api.LeaderRequest{
		Resource: resource,
		Verb:     api.VerbShow,
		Body:     body,
		Query:    api.NewLeaderQuery(location.Query().Get),
	}
	if method == http.MethodPost {
		request.Verb = api.VerbSet
	}
	return request, true
}

// HandleLeaderRequest handles a request to the leader by an operator, a user of a session or a session's agent.
func (s *Simulated) HandleLeaderRequest(request api.LeaderRequest, reply func(status int, body []byte)) {
	s.c.handleLeaderRequest(s.c.loop.Now(), request, encodeReply(reply))
}

// encodeReply returns a function that encodes a response's body as JSON and passes it to reply.
func encodeReply(reply func(status int, body []byte)) func(api.Reply) {
	return func(r api.Reply) {
		raw, _ := json.Marshal(r.Body)
		reply(r.Status, raw)
	}
}

// JobsInMemory returns the number of jobs in memory, including ended jobs that are not archived yet.
func (s *Simulated) JobsInMemory() int { return s.c.jobs.Len() }
