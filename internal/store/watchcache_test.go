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

// A watch cache delivers every key over several pages, every change by watching, and lists all keys again when its
// revision is compacted.
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
	seen := map[string]string{}
	cache := store.NewWatchCache(client, "h/", stalenessBound)
	cache.OnItem = func(item store.Item) { seen[item.Key] = string(item.Value) }
	cache.OnDelete = func(string, uint64) {}
	watches := 0
	service.answer = func(request httpio.Request) (httpio.Response, bool) {
		if isWatch(request) {
			watches++
		}
		return httpio.Response{}, false
	}
	cache.Tick(now)
	if len(seen) != 2500 || !cache.Synced() {
		t.Fatalf("%d keys seen, want 2500", len(seen))
	}
	put("h/00007", "new")
	now += time.Second
	cache.Tick(now)
	if seen["h/00007"] != `"new"` || cache.FreshAt() != now {
		t.Fatalf("a change was missed: %s", seen["h/00007"])
	}
	put("h/lost", "z")
	service.service.CompactedRevision = service.service.Revision + 1
	now += time.Second
	cache.Tick(now)
	service.service.CompactedRevision = 0
	now += time.Second
	cache.Tick(now)
	if seen["h/lost"] != `"z"` || watches < 3 {
		t.Fatalf("the revision was compacted and a key was missed (%d watches)", watches)
	}
}

// heldWatches answers watches only when the test does.
type heldWatches struct {
	simulatedService
	watches []func(httpio.Response)
}

func (s *heldWatches) Send(addr string, request httpio.Request, done func(httpio.Response)) {
	if isWatch(request) {
		s.watches = append(s.watches, done)
		return
	}
	s.simulatedService.Send(addr, request, done)
}

// respondTo answers the watch of an index with events, up to a revision.
func (s *heldWatches) respondTo(index, revision int, events ...string) {
	body := fmt.Appendf(nil, `{"epoch":%d,"events":[%s]}`, revision, strings.Join(events, ","))
	s.watches[index](httpio.Response{Status: 200, Body: body})
}

// A watch gets no answer while the service answers other requests: once it is overdue, another one is sent. Its own
// answer, which comes long after the newer one, delivers what is new and repeats nothing: a key that was deleted
// meanwhile doesn't come back.
func TestOverdueWatchIsReplaced(t *testing.T) {
	now := time.Duration(0)
	service := &heldWatches{simulatedService: simulatedService{service: state.New()}}
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
		t.Fatalf("%d watches", len(service.watches))
	}
	for range 30 { // in an outage it waits
		now += 100 * time.Millisecond
		cache.Tick(now)
	}
	if len(service.watches) != 1 {
		t.Fatal("another watch was sent though the service answers nothing")
	}
	client.Get("x", store.SafetyPriority, func(store.Item, error) {})
	cache.Tick(now)
	if len(service.watches) != 2 {
		t.Fatalf("%d watches: the lost one is still waited for", len(service.watches))
	}
	const (
		put      = `{"set":"h/a","data":1,"stamp":1}`
		deletion = `{"drop":"h/a","stamp":2}`
		laterPut = `{"set":"h/b","data":1,"stamp":3}`
	)
	service.respondTo(1, 2, put, deletion)
	freshAt := cache.FreshAt()
	service.respondTo(0, 1, put) // the state before the deletion
	if keys["h/a"] || delivered != 2 || cache.FreshAt() != freshAt {
		t.Errorf("an old answer counts: %v, %d changes delivered", keys, delivered)
	}
	now += 50 * time.Millisecond
	cache.Tick(now)
	service.respondTo(0, 3, put, deletion, laterPut)
	if !keys["h/b"] || keys["h/a"] || delivered != 3 {
		t.Errorf("%v, %d changes delivered", keys, delivered)
	}
}
