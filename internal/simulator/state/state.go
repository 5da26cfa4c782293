// Package state is a stand-in for the state service, by its protocol: keys, holds,
// transactions, lists and follows, without rates and without a clock of its own. Tests call it
// directly; package world serves it over HTTP, with rates, waits and outages.
package state

import (
	"encoding/json"
	"net/url"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/harewalk/harewalk/internal/httpio"
	"github.com/harewalk/harewalk/internal/store"
)

// kept is how many changes can be followed from.
const kept = 10_000

// Service is a stand-in for the state service: keys, holds and transactions, without rates.
type Service struct {
	Now  time.Duration
	Rev  uint64
	Keys map[string]store.Item
	Down bool   // an outage: nothing is carried out
	Gone uint64 // follows from before this revision are too old
	// Changed is told of each change of a key, in their order; nil: nobody is.
	Changed func(store.Event)

	holds map[uint64]hold
	next  uint64
	log   []change // the newest changes, oldest first
}

// change is one followed change and the revision it belongs to.
type change struct {
	key string
	rev uint64
	ev  store.Event
}

// note keeps a change for those who follow.
func (s *Service) note(key string, ev store.Event) {
	if s.Changed != nil {
		s.Changed(ev)
	}
	if s.log = append(s.log, change{key, ev.Version, ev}); len(s.log) > 2*kept {
		s.log = append([]change(nil), s.log[kept:]...)
		s.Gone = max(s.Gone, s.log[0].rev)
	}
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
	var over []uint64
	for id, h := range s.holds {
		if s.Now >= h.ends {
			over = append(over, id)
		}
	}
	slices.Sort(over) // each change has a revision of its own: the same run, the same revisions
	for _, id := range over {
		s.end(id)
	}
}

func (s *Service) end(id uint64) {
	delete(s.holds, id)
	var bound []string
	for k, item := range s.Keys {
		if item.Lease == id {
			bound = append(bound, k)
		}
	}
	slices.Sort(bound)
	for _, k := range bound {
		delete(s.Keys, k)
		s.Rev++
		s.note(k, store.Event{Delete: k, Version: s.Rev})
	}
}

// Apply changes keys, all at one revision.
func (s *Service) Apply(ops []store.Op) {
	if len(ops) > 0 {
		s.Rev++
	}
	for _, o := range ops {
		if o.Delete != "" {
			delete(s.Keys, o.Delete)
			s.note(o.Delete, store.Event{Delete: o.Delete, Version: s.Rev})
			continue
		}
		s.Keys[o.Put] = store.Item{Key: o.Put, Value: o.Value, Version: s.Rev, Lease: o.Lease}
		s.note(o.Put, store.Event{Put: o.Put, Value: o.Value, Version: s.Rev})
	}
}

func reply(status int, v any) httpio.Response {
	b, _ := json.Marshal(v)
	return httpio.Response{Status: status, Body: b}
}

// Serve carries out one request.
func (s *Service) Serve(request httpio.Request) httpio.Response {
	s.Expire()
	if s.Down {
		return reply(503, nil)
	}
	switch {
	case request.Path == "/holds":
		var b struct {
			TTL int64 `json:"ttl_ms"`
		}
		_ = json.Unmarshal(request.Body, &b)
		s.next++
		ttl := time.Duration(b.TTL) * time.Millisecond
		s.holds[s.next] = hold{s.Now + ttl, ttl}
		return reply(200, map[string]uint64{"tether": s.next})
	case strings.HasPrefix(request.Path, "/holds/"):
		id, _ := strconv.ParseUint(strings.Split(request.Path, "/")[2], 10, 64)
		h, ok := s.holds[id]
		if !ok {
			return reply(404, nil)
		}
		if request.Method == "DELETE" {
			s.end(id)
		} else {
			s.holds[id] = hold{s.Now + h.ttl, h.ttl}
		}
		return reply(200, nil)
	case request.Path == "/txn":
		var txn store.Txn
		_ = json.Unmarshal(request.Body, &txn)
		for _, o := range txn.Then {
			if _, ok := s.holds[o.Lease]; o.Lease != 0 && !ok {
				return reply(400, map[string]string{"error": "no such lease"})
			}
		}
		var failed []string
		for _, c := range txn.If {
			if s.Keys[c.Key].Version != c.Version {
				failed = append(failed, c.Key)
			}
		}
		if failed != nil {
			return reply(409, map[string]any{"failed": failed, "epoch": s.Rev})
		}
		s.Apply(txn.Then)
		return reply(200, map[string]uint64{"epoch": s.Rev})
	case strings.HasPrefix(request.Path, "/keys/"):
		item, ok := s.Keys[strings.TrimPrefix(request.Path, "/keys/")]
		if !ok {
			return reply(404, nil)
		}
		return reply(200, item)
	}
	u, err := url.Parse(request.Path)
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

// follow answers at once with what has changed.
func (s *Service) follow(prefix, since string) httpio.Response {
	after, _ := strconv.ParseUint(since, 10, 64)
	ev, ok := s.Since(prefix, after)
	if !ok {
		return reply(410, nil)
	}
	return reply(200, map[string]any{"epoch": s.Rev, "events": ev})
}

// Since lists the changes of keys with a prefix after a revision; ok is false if they are no
// longer kept.
func (s *Service) Since(prefix string, after uint64) (evs []store.Event, ok bool) {
	if after < s.Gone {
		return nil, false
	}
	i := sort.Search(len(s.log), func(i int) bool { return s.log[i].rev > after })
	for _, c := range s.log[i:] {
		if strings.HasPrefix(c.key, prefix) {
			evs = append(evs, c.ev)
		}
	}
	return evs, true
}
