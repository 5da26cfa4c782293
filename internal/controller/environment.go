package controller

import (
	"encoding/json"
	"net/url"
	"strings"
	"time"

	"github.com/harewalk/harewalk/internal/api"
	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/fleet"
	"github.com/harewalk/harewalk/internal/httpio"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/peers"
)

// link carries statuses to one other controller, without waiting.
type link interface{ Send(raw []byte) }

// Environment is all that a controller has of the world: its clocks, its randomness and its ways out.
type Environment struct {
	// Now is a steady clock, EpochMS what the clock on the wall said when it stood at 0.
	Now     func() time.Duration
	EpochMS int64
	Seed    uint64
	// Sender makes a way out with at most limit requests under way; nil for sockets.
	Sender func(limit int) httpio.Sender
}

// Simulated is a controller without sockets, goroutines and clocks of its own: whoever made it calls
// its methods, one at a time, and lets time pass. Everything else is what a real one does.
type Simulated struct{ c *Controller }

// Simulate makes a controller whose statuses go to the links.
func Simulate(settings *config.Settings, o Environment, links ...func(raw []byte)) *Simulated {
	c := build(settings, o)
	for _, l := range links {
		c.peers.links = append(c.peers.links, sendFunc(l))
	}
	return &Simulated{c}
}

type sendFunc func([]byte)

func (f sendFunc) Send(raw []byte) { f(raw) }

// TickEvery is how often a controller's event loop looks what is due.
const TickEvery = 50 * time.Millisecond

// Tick does what is due.
func (s *Simulated) Tick() { s.c.tick(s.c.loop.Now()) }

// Hear takes a status of another controller.
func (s *Simulated) Hear(raw []byte) {
	if st, err := peers.Decode(raw); err == nil {
		s.c.handlePeerStatus(st)
	}
}

// Leads tells whether it leads and may act.
func (s *Simulated) Leads() bool {
	return s.c.term.fleet != nil && s.c.membership.HasAuthority(s.c.loop.Now())
}

// Step is where it stands between arriving and leading.
func (s *Simulated) Step() string { return s.c.membership.State().String() }

// Acts tells whether it gives a machine work.
func (s *Simulated) Acts(machine string) bool {
	if s.c.term.fleet == nil {
		return false
	}
	m := s.c.term.fleet.FindMachine(machine)
	return m != nil && m.Condition == fleet.Ready
}

// Hears tells whether it gives a machine work by the report of a session at a sequence, or a later one.
func (s *Simulated) Hears(machine string, session, seq uint64) bool {
	if !s.Acts(machine) {
		return false
	}
	m := s.c.term.fleet.FindMachine(machine)
	return m.Session == session && m.Seq+2 >= seq && m.Seq <= seq
}

// Drain is what SIGTERM does.
func (s *Simulated) Drain() <-chan struct{} {
	s.c.handleTermination()
	return s.c.lifecycle.ended
}

// Ask takes a request as its HTTP side does; reply is called once, unless the controller ends before.
func (s *Simulated) Ask(method, path string, body []byte, reply func(status int, body []byte)) {
	c, now := s.c, s.c.loop.Now()
	say := func(r api.Reply) {
		raw, _ := json.Marshal(r.Body)
		reply(r.Status, raw)
	}
	u, err := url.Parse(path)
	if err != nil {
		say(api.Refuse(api.InvalidRequest, err.Error()))
		return
	}
	id, verb, _ := strings.Cut(strings.TrimPrefix(u.Path, "/v2/runs/"), "/")
	switch {
	case path == "/up":
		if c.healthy() {
			reply(200, []byte("{}"))
		} else {
			reply(503, []byte("{}"))
		}
	case path == "/checkin":
		heartbeat, err := fleet.ParseHeartbeat(body)
		if err != nil {
			say(api.Refuse(api.InvalidRequest, "not a report"))
			return
		}
		c.handleHeartbeat(now, heartbeat, say)
	case u.Path == "/v2/runs" && method == "POST":
		spec, err := jobs.ParseSpec(body)
		if err != nil {
			say(api.Refuse(api.InvalidRequest, err.Error()))
			return
		}
		c.api.Submit(now, spec, say)
	case u.Path == "/v2/runs" || u.Path == "/v2/events":
		request := api.LeaderRequest{Resource: "list", Verb: "show", Query: map[string]string{}}
		if u.Path == "/v2/events" {
			request.Resource = "events"
		}
		for k, v := range u.Query() {
			request.Query[k] = v[0]
		}
		c.leaderCall(now, request, say)
	case u.Path == "/v2/rollout" || u.Path == "/v2/admin":
		request := api.LeaderRequest{
			Resource: strings.TrimPrefix(u.Path, "/v2/"), Verb: "show", Body: body,
			Query: map[string]string{"since": u.Query().Get("since")},
		}
		if method == "POST" {
			request.Verb = "set"
		}
		c.leaderCall(now, request, say)
	case strings.HasPrefix(u.Path, "/v2/zones"):
		c.leaderCall(now, api.LeaderRequest{Resource: "zones", Verb: "show", Name: strings.TrimPrefix(strings.TrimPrefix(u.Path, "/v2/zones"), "/")}, say)
	case verb == "":
		c.api.Query(now, id, say)
	case verb == "abort":
		c.api.Abort(now, id, say)
	default:
		c.leaderCall(now, api.LeaderRequest{Resource: verb, Name: id, Verb: "show"}, say)
	}
}

// Call takes what operators, users of sessions and their agents ask of the leader.
func (s *Simulated) Call(request api.LeaderRequest, reply func(status int, body []byte)) {
	s.c.leaderCall(s.c.loop.Now(), request, func(r api.Reply) {
		raw, _ := json.Marshal(r.Body)
		reply(r.Status, raw)
	})
}

// JobsKnown is how many jobs it has in memory, ended ones that are not archived yet included.
func (s *Simulated) JobsKnown() int { return s.c.jobs.Len() }
