package store_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/httpio"
	"github.com/harewalk/harewalk/internal/simulator/state"
	"github.com/harewalk/harewalk/internal/store"
)

const stalenessBound = 18 * time.Second

func isWatch(request httpio.Request) bool { return strings.HasPrefix(request.Path, "/follow") }

// A watch cache delivers every key of a list of several pages and every watched change. It lists all keys again when
// the changes after its revision are compacted.
func TestWatchCacheDeliversEveryKey(t *testing.T) {
	now := time.Duration(0)
	service := &simulatedService{service: state.New()}
	client := newClient(service, &now, 1e6)
	put := func(key, value string) {
		body := fmt.Appendf(nil, `{"if":[],"apply":[{"set":%q,"data":%q}]}`, key, value)
		service.service.Serve(httpio.Request{Path: "/txn", Body: body})
	}
	for i := range 2500 {
		put(fmt.Sprintf("h/%05d", i), "x")
	}
	put("p/other", "y")
	values := map[string]string{}
	cache := store.NewWatchCache(client, "h/", stalenessBound)
	cache.OnItem = func(item store.Item) { values[item.Key] = string(item.Value) }
	cache.OnDelete = func(string, uint64) {}
	watches := 0
	service.intercept = func(request httpio.Request) (httpio.Response, bool) {
		if isWatch(request) {
			watches++
		}
		return httpio.Response{}, false
	}
	cache.Tick(now)
	if len(values) != 2500 || !cache.Synced() {
		t.Fatalf("got %d keys after the list, want 2500 and a synced cache", len(values))
	}
	put("h/00007", "new")
	now += time.Second
	cache.Tick(now)
	if values["h/00007"] != `"new"` || cache.FreshAt() != now {
		t.Fatalf("after a change: got value %s, want \"new\", fresh at the time of the watch", values["h/00007"])
	}
	put("h/lost", "z")
	service.service.CompactedRevision = service.service.Revision + 1
	now += time.Second
	cache.Tick(now)
	service.service.CompactedRevision = 0
	now += time.Second
	cache.Tick(now)
	if values["h/lost"] != `"z"` || watches < 3 {
		t.Fatalf("key missing after compaction, or fewer than 3 watches (got %d)", watches)
	}
}

// deferredWatches leaves watches unanswered until the test calls respondTo.
type deferredWatches struct {
	simulatedService
	watches []func(httpio.Response)
}

func (s *deferredWatches) Send(addr string, request httpio.Request, done func(httpio.Response)) {
	if isWatch(request) {
		s.watches = append(s.watches, done)
		return
	}
	s.simulatedService.Send(addr, request, done)
}

// respondTo answers the watch at an index of watches with events that are complete up to a revision.
func (s *deferredWatches) respondTo(index, revision int, events ...string) {
	body := fmt.Appendf(nil, `{"epoch":%d,"events":[%s]}`, revision, strings.Join(events, ","))
	s.watches[index](httpio.Response{Status: 200, Body: body})
}

// A watch gets no response while the service answers other requests. Once its response is overdue, a second watch is
// sent. The late response to the first watch delivers only changes that were not delivered before, so that a key
// deleted in the meantime stays deleted.
func TestOverdueWatchIsReplaced(t *testing.T) {
	now := time.Duration(0)
	service := &deferredWatches{simulatedService: simulatedService{service: state.New()}}
	client := newClient(service, &now, 1e6)
	cache := store.NewWatchCache(client, "h/", stalenessBound)
	keys, delivered := map[string]bool{}, 0
	cache.OnItem = func(item store.Item) {
		keys[item.Key] = true
		delivered++
	}
	cache.OnDelete = func(key string, _ uint64) {
		delete(keys, key)
		delivered++
	}
	cache.Tick(now)
	if len(service.watches) != 1 {
		t.Fatalf("got %d watches after the list, want 1", len(service.watches))
	}
	for range 30 { // an outage: no other request is answered
		now += 100 * time.Millisecond
		cache.Tick(now)
	}
	if len(service.watches) != 1 {
		t.Fatal("second watch sent while the service answers no request, want one watch")
	}
	client.Get("x", store.CriticalPriority, func(store.Item, error) {})
	cache.Tick(now)
	if len(service.watches) != 2 {
		t.Fatalf("got %d watches after the service answered another request, want 2", len(service.watches))
	}
	const (
		put      = `{"set":"h/a","data":1,"stamp":1}`
		deletion = `{"drop":"h/a","stamp":2}`
		laterPut = `{"set":"h/b","data":1,"stamp":3}`
	)
	service.respondTo(1, 2, put, deletion)
	freshAt := cache.FreshAt()
	service.respondTo(0, 1, put) // the change before the deletion
	if keys["h/a"] || delivered != 2 || cache.FreshAt() != freshAt {
		t.Errorf("after an old response: got keys %v, %d changes; want no h/a, 2 changes, FreshAt as before", keys, delivered)
	}
	now += 50 * time.Millisecond
	cache.Tick(now)
	service.respondTo(0, 3, put, deletion, laterPut)
	if !keys["h/b"] || keys["h/a"] || delivered != 3 {
		t.Errorf("after a late response: got keys %v, %d changes; want only h/b, 3 changes", keys, delivered)
	}
}
