// Package statetest is a stand-in for the state service, by its protocol, for tests: keys,
// holds, transactions, lists and follows, without rates and without a clock of its own.
package statetest

import (
	"encoding/json"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/harewalk/harewalk/internal/httpio"
	"github.com/harewalk/harewalk/internal/store"
)

// Service is a stand-in for the state service: keys, holds and transactions, without rates.
type Service struct {
	Now  time.Duration
	Rev  uint64
	Keys map[string]store.Item
	Down bool   // an outage: nothing is carried out
	Gone uint64 // follows from before this revision are too old

	holds map[uint64]hold
	next  uint64
}

// New makes an empty service.
func New() *Service { return &Service{Keys: map[string]store.Item{}, holds: map[uint64]hold{}} }

// Recover ends an outage: every hold has its full time once more.
func (s *Service) Recover() {
	s.Down = false
	for id, h := range s.holds {
		s.holds[id] = hold{s.Now + h.ttl, h.ttl}
	}
}

type hold struct {
	ends time.Duration
	ttl  time.Duration
}

// Expire ends the holds whose time has run out.
func (s *Service) Expire() {
	for id, h := range s.holds {
		if s.Now >= h.ends {
			s.end(id)
		}
	}
}

func (s *Service) end(id uint64) {
	delete(s.holds, id)
	for k, it := range s.Keys {
		if it.Hold == id {
			delete(s.Keys, k)
			s.Rev++
		}
	}
}

func reply(status int, v any) httpio.Response {
	b, _ := json.Marshal(v)
	return httpio.Response{Status: status, Body: b}
}

// Serve carries out one request.
func (s *Service) Serve(r httpio.Request) httpio.Response {
	s.Expire()
	if s.Down {
		return reply(503, nil)
	}
	switch {
	case r.Path == "/holds":
		var b struct {
			TTL int64 `json:"ttl_ms"`
		}
		_ = json.Unmarshal(r.Body, &b)
		s.next++
		ttl := time.Duration(b.TTL) * time.Millisecond
		s.holds[s.next] = hold{s.Now + ttl, ttl}
		return reply(200, map[string]uint64{"tether": s.next})
	case strings.HasPrefix(r.Path, "/holds/"):
		id, _ := strconv.ParseUint(strings.Split(r.Path, "/")[2], 10, 64)
		h, ok := s.holds[id]
		if !ok {
			return reply(404, nil)
		}
		if r.Method == "DELETE" {
			s.end(id)
		} else {
			s.holds[id] = hold{s.Now + h.ttl, h.ttl}
		}
		return reply(200, nil)
	case r.Path == "/txn":
		var t store.Txn
		_ = json.Unmarshal(r.Body, &t)
		for _, o := range t.Then {
			if _, ok := s.holds[o.Hold]; o.Hold != 0 && !ok {
				return reply(400, map[string]string{"error": "no such lease"})
			}
		}
		for _, c := range t.If {
			if s.Keys[c.Key].Version != c.Version {
				return reply(409, map[string]any{"failed": []string{c.Key}})
			}
		}
		if len(t.Then) > 0 {
			s.Rev++
		}
		for _, o := range t.Then {
			if o.Delete != "" {
				delete(s.Keys, o.Delete)
				continue
			}
			s.Keys[o.Put] = store.Item{Key: o.Put, Value: o.Value, Version: s.Rev, Hold: o.Hold}
		}
		return reply(200, map[string]uint64{"epoch": s.Rev})
	case strings.HasPrefix(r.Path, "/keys/"):
		it, ok := s.Keys[strings.TrimPrefix(r.Path, "/keys/")]
		if !ok {
			return reply(404, nil)
		}
		return reply(200, it)
	}
	u, err := url.Parse(r.Path)
	if err != nil {
		return reply(400, nil)
	}
	prefix := u.Query().Get("starts")
	since := u.Query().Get("since")
	if u.Path == "/follow" {
		return s.follow(prefix, since)
	}
	limit, _ := strconv.Atoi(u.Query().Get("limit"))
	var names []string
	for k := range s.Keys {
		if strings.HasPrefix(k, prefix) && k > since {
			names = append(names, k)
		}
	}
	sort.Strings(names)
	var items []store.Item
	for _, k := range names[:min(len(names), limit)] {
		items = append(items, s.Keys[k])
	}
	return reply(200, map[string]any{"pairs": items, "has_next": len(names) > limit, "epoch": s.Rev})
}

// follow answers at once with what has changed; drops are not shown.
func (s *Service) follow(prefix, since string) httpio.Response {
	after, _ := strconv.ParseUint(since, 10, 64)
	if after < s.Gone {
		return reply(410, nil)
	}
	var ev []store.Event
	for k, it := range s.Keys {
		if strings.HasPrefix(k, prefix) && it.Version > after {
			ev = append(ev, store.Event{Put: k, Value: it.Value, Version: it.Version})
		}
	}
	sort.Slice(ev, func(a, b int) bool { return ev[a].Version < ev[b].Version })
	return reply(200, map[string]any{"epoch": s.Rev, "events": ev})
}
