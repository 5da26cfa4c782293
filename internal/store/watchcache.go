package store

import (
	"log/slog"
	"time"
)

// WatchState names what a mirror is doing.
type WatchState uint8

// The states of a mirror.
const (
	Empty     WatchState = iota // nothing read yet, or the position was lost
	Listing                     // reading all keys
	Following                   // up to date, waiting for changes
)

// WatchCache keeps a copy of all keys with a prefix by reading and then following them.
type WatchCache struct {
	client *Client
	prefix string
	state  WatchState
	busy   bool
	rev    uint64
	next   time.Duration // no request before
	fresh  time.Duration
	synced bool
	wait   time.Duration // for which a watch stays open
	asked  time.Duration // the watch that is open was sent
	hasty  bool          // the one before was lost: the next is answered at once
	turn   uint64        // of watches: the answer to an earlier one is nobody's any more

	// OnItem, OnDelete and OnReset carry changes; OnReset comes before the items of a new
	// reading, and OnSynced after them.
	OnItem   func(Item)
	OnDelete func(key string, version uint64)
	OnReset  func(items []Item)
	OnSynced func()
}

// mostWait is how long a watch stays open at most.
const mostWait = 1500 * time.Millisecond

// overdue is how much later than it should have come the answer to a watch may be while the service answers other
// requests: then the watch is lost, and waiting for its end would leave the copy old for long.
const overdue = time.Second

// NewWatchCache makes a mirror; it starts with the first Tick. Its copy may get as old as picture before anybody minds: where
// nothing changes it is two waits old when the next answer is due, and that answer may take as long again.
func NewWatchCache(c *Client, prefix string, picture time.Duration) *WatchCache {
	return &WatchCache{client: c, prefix: prefix, wait: min(mostWait, picture/4)}
}

// Synced tells whether the keys were ever read in full.
func (m *WatchCache) Synced() bool { return m.synced }

// Revision is up to where the copy is complete: every change by then has been handed on.
func (m *WatchCache) Revision() uint64 { return m.rev }

// FreshAt is a time at which the copy was surely complete.
func (m *WatchCache) FreshAt() time.Duration { return m.fresh }

// to is the only place where the state changes.
func (m *WatchCache) to(s WatchState) { m.state = s }

// Tick sends what is due.
func (m *WatchCache) Tick(now time.Duration) {
	if late := m.asked + m.wait + overdue; m.busy && m.state == Following && now > late && m.client.LastSuccess() > late-overdue/2 {
		slog.Info("a watch is lost, asking anew", "prefix", m.prefix)
		m.busy, m.hasty = false, true
	}
	if m.busy || now < m.next {
		return
	}
	switch m.state {
	case Empty:
		m.to(Listing)
		m.busy = true
		m.client.List(m.prefix, func(items []Item, rev uint64, err error) { m.listed(now, items, rev, err) })
	case Following:
		m.busy, m.asked = true, now
		m.turn++
		turn, wait := m.turn, m.wait
		if m.hasty {
			wait, m.hasty = 0, false
		}
		m.client.Watch(m.prefix, m.rev, wait, func(rev uint64, ev []Event, gone bool, err error) {
			if m.turn == turn {
				m.followed(now, rev, ev, gone, err)
			} else if m.state == Following && err == nil && !gone {
				m.take(now, rev, ev) // what it brings is as true as ever
			}
		})
	}
}

func (m *WatchCache) listed(sent time.Duration, items []Item, rev uint64, err error) {
	m.busy = false
	if err != nil {
		slog.Debug("reading all keys failed", "prefix", m.prefix, "cause", err)
		m.to(Empty)
		m.next = m.client.now() + 300*time.Millisecond
		return
	}
	m.to(Following)
	m.rev, m.fresh, m.synced = rev, sent, true
	if m.OnReset != nil {
		m.OnReset(items)
	}
	for _, item := range items {
		m.OnItem(item)
	}
	if m.OnSynced != nil {
		m.OnSynced()
	}
	m.Tick(m.client.now())
}

func (m *WatchCache) followed(sent time.Duration, rev uint64, ev []Event, gone bool, err error) {
	m.busy = false
	now := m.client.now()
	switch {
	case gone:
		// The service keeps a bounded number of changes: ours is no longer among them.
		slog.Info("position lost, reading all keys again", "prefix", m.prefix)
		// A service that says so time and again must not be asked without a pause.
		m.to(Empty)
		m.next = now + 100*time.Millisecond
	case err != nil:
		m.next = now + 250*time.Millisecond
		return
	default:
		m.take(sent, rev, ev)
		// A short pause gathers bursts of changes into one answer.
		m.next = now + 15*time.Millisecond
	}
	m.Tick(now)
}

// take hands changes on, each once and in their order, whichever watch brings them: a watch that was given up may still be
// answered, long after newer ones, and what it says of keys that have gone since would stand for ever.
func (m *WatchCache) take(sent time.Duration, rev uint64, ev []Event) {
	m.fresh = max(m.fresh, sent)
	for _, e := range ev {
		if e.Version <= m.rev {
			continue
		}
		if e.Put != "" {
			m.OnItem(Item{Key: e.Put, Value: e.Value, Version: e.Version})
		} else if e.Delete != "" {
			m.OnDelete(e.Delete, e.Version)
		}
	}
	m.rev = max(m.rev, rev)
}
