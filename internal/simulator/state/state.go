// Package state simulates the state service: a key-value store with leases, conditional transactions, listings and
// watches, according to its published protocol. It keeps the stored keys, their revisions and the leases in memory. It
// has no clock, no rate limits and no sockets, and isn't safe for concurrent use. Tests call it directly, and package
// simulator serves it over HTTP with rate limits, waiting watches and outages.
package state

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/harewalk/harewalk/internal/store"
)

// minHistory is the minimum number of the newest changes that are kept for watches.
const minHistory = 10_000

// Service is the simulated state service. The caller sets Now before each call.
type Service struct {
	Now               time.Duration
	Revision          uint64                // revision of the newest change
	Keys              map[string]store.Item // stored items
	Down              bool                  // true during an outage: every request is refused with status 503
	CompactedRevision uint64                // watches from before this revision are refused with status 410
	// Changed, unless it is nil, is called for each change of a key, in order.
	Changed func(store.Event)

	leases    map[uint64]lease
	lastLease uint64
	history   []change // newest changes, oldest first
}

// lease is a lease with its time to live, which is counted from the latest renewal.
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

// Expire ends the expired leases and deletes the keys bound to them.
func (s *Service) Expire() {
	var expired []uint64
	for id, l := range s.leases {
		if s.Now >= l.expiresAt {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired) // each deletion gets its own revision: the order must be the same in every run
	for _, id := range expired {
		s.revoke(id)
	}
}

// Apply applies mutations, all at one revision.
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

// ChangesSince returns the changes of keys with a prefix after a revision. It returns false if the history no longer
// contains all of them.
func (s *Service) ChangesSince(prefix string, after uint64) (events []store.Event, ok bool) {
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

// grant creates a lease and returns its id.
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

// recordChange appends a change to the history, and drops the older half once the history exceeds twice the minimum.
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
