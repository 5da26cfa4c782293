package store

import (
	"context"
	"errors"
	"log/slog"
	"time"
)

// watchState is the state of a watch cache:
//
//	unsynced  --list sent-->           listing
//	listing   --all keys read-->       watching
//	listing   --list failed-->         unsynced
//	watching  --revision compacted-->  unsynced
type watchState uint8

const (
	unsynced watchState = iota // the keys have to be listed, for the first time or because changes were missed
	listing                    // a list of all keys is under way
	watching                   // every change up to the revision was delivered, and a watch waits for more
)

// String returns the state as log lines show it.
func (s watchState) String() string {
	return [...]string{"unsynced", "listing", "watching"}[s]
}

const (
	// maxWatchWait is how long a watch stays open at most.
	maxWatchWait = 1500 * time.Millisecond
	// overdueMargin is by how much the answer to a watch may exceed its wait while the service answers other
	// requests. Then the watch is lost, and to wait for its time limit would let the cache grow stale.
	overdueMargin = time.Second
	// listRetryDelay is the time between a list that failed and the next one.
	listRetryDelay = 300 * time.Millisecond
	// relistDelay is the time between a compacted revision and the list that follows. It bounds the load where
	// the service reports compaction repeatedly.
	relistDelay = 100 * time.Millisecond
	// watchRetryDelay is the time between a watch that failed and the next one.
	watchRetryDelay = 250 * time.Millisecond
	// watchDelay is the time between a watch that was answered and the next one. It gathers bursts of changes into
	// one answer.
	watchDelay = 15 * time.Millisecond
)

// WatchCache follows all keys with a prefix: it lists them once, then watches for changes, and lists them again if
// the state service has compacted the changes since its revision. It delivers items and deletions to its callbacks
// and keeps no values itself. Like the client it belongs to the event loop.
type WatchCache struct {
	client   *Client
	prefix   string
	state    watchState
	inFlight bool // a list or the watch last sent is under way
	synced   bool
	revision uint64        // every change up to it was delivered
	freshAt  time.Duration // see FreshAt

	nextRequestAt time.Duration
	watchWait     time.Duration // how long a watch stays open
	watchSentAt   time.Duration
	watchID       uint64 // number of the watch last sent: an earlier one was given up
	skipWait      bool   // the watch before was lost: the next one is to be answered at once

	// OnItem, OnDelete, OnReset and OnSynced deliver what was read. OnReset comes before the items of a new list,
	// OnSynced after them. OnItem and OnDelete are required.
	OnItem   func(Item)
	OnDelete func(key string, version uint64)
	OnReset  func(items []Item)
	OnSynced func()
}

// NewWatchCache returns a watch cache that sends its first request at the first Tick. stalenessBound is the age that
// its content may reach before callers stop acting on it. Watches stay open for at most a quarter of it: where
// nothing changes, the content is two waits old when the next answer is due, and that answer may take as long again.
func NewWatchCache(client *Client, prefix string, stalenessBound time.Duration) *WatchCache {
	return &WatchCache{client: client, prefix: prefix, watchWait: min(maxWatchWait, stalenessBound/4)}
}

// Synced reports whether the keys were ever read in full.
func (w *WatchCache) Synced() bool { return w.synced }

// Revision returns the revision up to which every change was delivered.
func (w *WatchCache) Revision() uint64 { return w.revision }

// FreshAt returns a time at which the delivered content was certainly complete: when the request was sent whose
// answer came last.
func (w *WatchCache) FreshAt() time.Duration { return w.freshAt }

// setState is the only place where the state changes.
func (w *WatchCache) setState(next watchState, level slog.Level, cause string) {
	slog.Log(context.Background(), level, "watch cache state changed",
		"prefix", w.prefix, "from", w.state.String(), "to", next.String(), "cause", cause)
	w.state = next
}

// Tick sends the request that is due, if any.
func (w *WatchCache) Tick(now time.Duration) {
	if w.isWatchLost(now) {
		slog.Info("watch lost, sending another", "prefix", w.prefix)
		w.inFlight = false
		w.skipWait = true
	}
	if w.inFlight || now < w.nextRequestAt {
		return
	}
	switch w.state {
	case unsynced:
		w.sendList(now)
	case watching:
		w.sendWatch(now)
	case listing: // its answer sets the next state
	}
}

// isWatchLost reports whether the answer to a watch is overdue although the service has answered other requests
// since it was due.
func (w *WatchCache) isWatchLost(now time.Duration) bool {
	overdueAt := w.watchSentAt + w.watchWait + overdueMargin
	return w.inFlight && w.state == watching &&
		now > overdueAt && w.client.LastSuccess() > overdueAt-overdueMargin/2
}

func (w *WatchCache) sendList(now time.Duration) {
	w.setState(listing, slog.LevelDebug, "list sent")
	w.inFlight = true
	w.client.List(w.prefix, func(items []Item, revision uint64, err error) {
		w.handleList(now, items, revision, err)
	})
}

func (w *WatchCache) sendWatch(now time.Duration) {
	w.inFlight = true
	w.watchSentAt = now
	w.watchID++
	id := w.watchID
	wait := w.watchWait
	if w.skipWait {
		wait = 0
		w.skipWait = false
	}
	w.client.Watch(w.prefix, w.revision, wait, func(revision uint64, events []Event, err error) {
		if id != w.watchID {
			w.handleLateWatch(now, revision, events, err)
			return
		}
		w.handleWatch(now, revision, events, err)
	})
}

// handleList handles the answer to the list that was sent at a time.
func (w *WatchCache) handleList(sentAt time.Duration, items []Item, revision uint64, err error) {
	w.inFlight = false
	if err != nil {
		w.setState(unsynced, slog.LevelDebug, err.Error())
		w.nextRequestAt = w.client.now() + listRetryDelay
		return
	}
	w.setState(watching, slog.LevelDebug, "all keys read")
	w.revision = revision
	w.freshAt = sentAt
	w.synced = true
	if w.OnReset != nil {
		w.OnReset(items)
	}
	for _, item := range items {
		w.OnItem(item)
	}
	if w.OnSynced != nil {
		w.OnSynced()
	}
	w.Tick(w.client.now())
}

// handleWatch handles the answer to the watch that was sent last, at a time.
func (w *WatchCache) handleWatch(sentAt time.Duration, revision uint64, events []Event, err error) {
	w.inFlight = false
	now := w.client.now()
	switch {
	case errors.Is(err, ErrCompacted):
		w.setState(unsynced, slog.LevelInfo, "revision compacted")
		w.nextRequestAt = now + relistDelay
	case err != nil:
		w.nextRequestAt = now + watchRetryDelay
		return
	default:
		w.apply(sentAt, revision, events)
		w.nextRequestAt = now + watchDelay
	}
	w.Tick(now)
}

// handleLateWatch handles the answer to a watch that was given up: its changes are as valid as those of any other.
func (w *WatchCache) handleLateWatch(sentAt time.Duration, revision uint64, events []Event, err error) {
	if err == nil && w.state == watching {
		w.apply(sentAt, revision, events)
	}
}

// apply delivers changes, each once and in their order, whichever watch brings them. A watch that was given up may
// be answered long after newer ones: without the check of versions, an item in it would bring back a key that was
// deleted since.
func (w *WatchCache) apply(sentAt time.Duration, revision uint64, events []Event) {
	w.freshAt = max(w.freshAt, sentAt)
	for _, event := range events {
		if event.Version <= w.revision {
			continue
		}
		if event.Put != "" {
			w.OnItem(Item{Key: event.Put, Value: event.Value, Version: event.Version})
		} else if event.Delete != "" {
			w.OnDelete(event.Delete, event.Version)
		}
	}
	w.revision = max(w.revision, revision)
}
