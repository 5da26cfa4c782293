// Package state is a stand-in for the state service: a key-value store with leases, conditional transactions,
// listings and watches, by its published protocol. It owns the stored keys, their revisions and the leases in
// memory. It has no clock, no rate limits and no sockets of its own, and isn't safe for concurrent use: tests call
// it directly, and package simulator serves it over HTTP with rate limits, waits and outages.
package state

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/harewalk/harewalk/internal/store"
)

// minHistory is how many of the newest changes a watch can always start from.
const minHistory = 10_000

// Service is the stand-in. Its caller sets Now before each call.
type Service struct {
	Now               time.Duration
	Revision          uint64                // the revision of the newest change
	Keys              map[string]store.Item // what is stored
	Down              bool                  // an outage: every request is refused with 503
	CompactedRevision uint64                // watches that start before this revision are refused with 410
	// Changed is called for each change of a key, in their order, unless it is nil.
	Changed func(store.Event)

	leases    map[uint64]lease
	lastLease uint64
	history   []change // the newest changes, oldest first
}

// lease is a lease with its time to live, counted from its latest renewal.
type lease struct {
	expiresAt time.Duration
	ttl       time.Duration
}

// change is one change of a key and its revision.
type change struct {
	key      string
	revision uint64
	event    store.Event
}

// New returns an empty service at revision 0.
func New() *Service {
	return &Service{
		Keys:   map[string]store.Item{},
		leases: map[uint64]lease{},
	}
}

// Recover ends an outage and renews every lease for its full time to live.
func (s *Service) Recover() {
	s.Down = false
	for id := range s.leases {
		s.renew(id)
	}
}

// Expire ends the leases whose time has run out, and deletes the keys bound to them.
func (s *Service) Expire() {
	var expired []uint64
	for id, l := range s.leases {
		if s.Now >= l.expiresAt {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired) // each deletion has a revision of its own: the same run has to give the same revisions
	for _, id := range expired {
		s.revoke(id)
	}
}

// Apply carries out mutations, all at one revision.
func (s *Service) Apply(ops []store.Op) {
	if len(ops) > 0 {
		s.Revision++
	}
	for _, op := range ops {
		if op.Delete != "" {
			delete(s.Keys, op.Delete)
			s.recordChange(op.Delete, store.Event{Delete: op.Delete, Version: s.Revision})
			continue
		}
		s.Keys[op.Put] = store.Item{Key: op.Put, Value: op.Value, Version: s.Revision, Lease: op.Lease}
		s.recordChange(op.Put, store.Event{Put: op.Put, Value: op.Value, Version: s.Revision})
	}
}

// Since lists the changes of keys with a prefix after a revision. It returns false if the history no longer reaches
// back that far.
func (s *Service) Since(prefix string, after uint64) (events []store.Event, ok bool) {
	if after < s.CompactedRevision {
		return nil, false
	}
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].revision > after })
	for _, c := range s.history[first:] {
		if strings.HasPrefix(c.key, prefix) {
			events = append(events, c.event)
		}
	}
	return events, true
}

// grant makes a lease and returns its id.
func (s *Service) grant(ttl time.Duration) uint64 {
	s.lastLease++
	s.leases[s.lastLease] = lease{expiresAt: s.Now + ttl, ttl: ttl}
	return s.lastLease
}

func (s *Service) renew(id uint64) {
	l := s.leases[id]
	l.expiresAt = s.Now + l.ttl
	s.leases[id] = l
}

// revoke ends a lease and deletes the keys bound to it, each at a revision of its own.
func (s *Service) revoke(id uint64) {
	delete(s.leases, id)
	var bound []string
	for key, item := range s.Keys {
		if item.Lease == id {
			bound = append(bound, key)
		}
	}
	slices.Sort(bound)
	for _, key := range bound {
		delete(s.Keys, key)
		s.Revision++
		s.recordChange(key, store.Event{Delete: key, Version: s.Revision})
	}
}

// recordChange appends to the history of changes, and drops its older half once it is twice the minimum.
func (s *Service) recordChange(key string, event store.Event) {
	if s.Changed != nil {
		s.Changed(event)
	}
	s.history = append(s.history, change{key, event.Version, event})
	if len(s.history) > 2*minHistory {
		s.history = append([]change(nil), s.history[minHistory:]...)
		s.CompactedRevision = max(s.CompactedRevision, s.history[0].revision)
	}
}
