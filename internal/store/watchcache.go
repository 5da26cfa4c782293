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
	unsynced watchState = iota // the keys have to be listed: for the first time, or because changes were missed
	listing                    // a list of all keys is in flight
	watching                   // every change up to the revision was delivered; the cache watches for later changes
)

// String returns the state's name for log lines.
func (s watchState) String() string {
	return [...]string{"unsynced", "listing", "watching"}[s]
}

const (
	// maxWatchWait is the maximum time for which a watch waits for changes.
	maxWatchWait = 1500 * time.Millisecond
	// overdueMargin is the time after the end of a watch's wait within which the response has to arrive. After it the
	// watch counts as lost if the service answers other requests: to wait for the request timeout would let the cache
	// become stale.
	overdueMargin = time.Second
	// listRetryDelay is the time between a failed list and the next one.
	listRetryDelay = 300 * time.Millisecond
	// relistDelay is the time between the error ErrCompacted and the next list. It bounds the load if the service
	// reports compaction repeatedly.
	relistDelay = 100 * time.Millisecond
	// watchRetryDelay is the time between a failed watch and the next one.
	watchRetryDelay = 250 * time.Millisecond
	// watchDelay is the time between the response to a watch and the next watch. It lets one response deliver a burst
	// of changes.
	watchDelay = 15 * time.Millisecond
)

// WatchCache follows all keys with a prefix. It lists the keys once and then watches for changes. It lists the keys
// again if the state service has compacted the changes since the cache's revision. It passes items and deletions to
// its callbacks and keeps no values itself. Like those of Client, its methods may be called only on the event loop.
type WatchCache struct {
	client   *Client
	prefix   string
	state    watchState
	inFlight bool          // no response yet to the list or to the last watch sent
	synced   bool          // see Synced
	revision uint64        // every change up to this revision was delivered
	freshAt  time.Duration // see FreshAt

	nextRequestAt time.Duration // no list or watch is sent before this time
	watchWait     time.Duration // time that the service waits for changes before it answers a watch
	watchSentAt   time.Duration // time at which the last watch was sent
	watchID       uint64        // number of the last watch sent; watches with lower numbers were answered or replaced
	skipWait      bool          // the last watch was lost: the next one has a wait of 0

	// OnItem is called for each key listed or written, OnDelete for each key deleted. OnReset is called before the
	// items of a new list, OnSynced after them. OnItem and OnDelete are required.
	OnItem   func(Item)
	OnDelete func(key string, version uint64)
	OnReset  func(items []Item)
	OnSynced func()
}

// NewWatchCache returns a watch cache that sends its first request at the first Tick. stalenessBound is the age of the
// cache's content at which callers stop acting on it. A watch waits for at most a quarter of stalenessBound: without
// changes, the content is two waits old when the next response is due, and the response may take as long again.
func NewWatchCache(client *Client, prefix string, stalenessBound time.Duration) *WatchCache {
	return &WatchCache{client: client, prefix: prefix, watchWait: min(maxWatchWait, stalenessBound/4)}
}

// Synced reports whether all keys have been listed at least once.
func (w *WatchCache) Synced() bool { return w.synced }

// Revision returns the revision up to which every change was delivered.
func (w *WatchCache) Revision() uint64 { return w.revision }

// FreshAt returns a time at which the delivered content was certainly complete: the time at which the last answered
// request was sent, or 0 before the first response.
func (w *WatchCache) FreshAt() time.Duration { return w.freshAt }

// setState changes the state and logs the change. All changes of state go through it.
func (w *WatchCache) setState(next watchState, level slog.Level, cause string) {
	slog.Log(context.Background(), level, "watch cache state changed",
		"prefix", w.prefix, "from", w.state.String(), "to", next.String(), "cause", cause)
	w.state = next
}

// Tick sends the next list or watch if one is due, and replaces a lost watch.
func (w *WatchCache) Tick(now time.Duration) {
	if w.isWatchLost(now) {
		slog.Info("overdue watch replaced", "prefix", w.prefix)
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
	case listing: // the response to the list sets the next state
	}
}

// isWatchLost reports whether the response to the last watch is overdue, although the service has answered another
// request after the watch's wait and half of the margin had passed.
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
			w.handleReplacedWatch(now, revision, events, err)
			return
		}
		w.handleWatch(now, revision, events, err)
	})
}

// handleList handles the response to the list that was sent at sentAt.
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

// handleWatch handles the response to the last watch, which was sent at sentAt.
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
		w.deliver(sentAt, revision, events)
		w.nextRequestAt = now + watchDelay
	}
	w.Tick(now)
}

// handleReplacedWatch handles the response to a watch that was replaced. Its changes are as valid as those of other
// watches.
func (w *WatchCache) handleReplacedWatch(sentAt time.Duration, revision uint64, events []Event, err error) {
	if err == nil && w.state == watching {
		w.deliver(sentAt, revision, events)
	}
}

// deliver passes changes to the callbacks, each once and in order of version. The response to a replaced watch may
// come long after those to newer watches: without the check of versions, an old item in it would restore a key that
// has since been deleted.
func (w *WatchCache) deliver(sentAt time.Duration, revision uint64, events []Event) {
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
