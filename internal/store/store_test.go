package store_test

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/httpio"
	"github.com/harewalk/harewalk/internal/simulator/state"
	"github.com/harewalk/harewalk/internal/store"
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	os.Exit(m.Run())
}

// line answers each request at once from the stand-in, or as the test says.
type line struct {
	svc    *state.Service
	sent   int
	answer func(httpio.Request) (httpio.Response, bool)
}

func (l *line) Send(_ string, request httpio.Request, done func(httpio.Response)) {
	l.sent++
	if l.answer != nil {
		if res, ok := l.answer(request); ok {
			done(res)
			return
		}
	}
	done(l.svc.Serve(request))
}

func TestBudgetKeepsAReserveForSafety(t *testing.T) {
	b := store.NewBudget(10, 0.8)
	spend := func(now time.Duration, c store.Priority) (n int) {
		for b.Allows(now, 1, c) {
			b.Take(1)
			n++
		}
		return n
	}
	ordinary := spend(0, store.NormalPriority)
	safety := spend(0, store.SafetyPriority)
	if ordinary < 5 || safety < 1 || ordinary+safety > 10 {
		t.Fatalf("%d ordinary and %d safety requests of a burst of 10", ordinary, safety)
	}
	total := 0
	for s := 1; s <= 100; s++ {
		total += spend(time.Duration(s)*time.Second, store.SafetyPriority)
	}
	if total < 700 || total > 1000 {
		t.Fatalf("%d requests in 100 s at 10 a second", total)
	}
	// One write larger than the bucket waits for a full one and is paid off afterwards.
	if !b.Allows(200*time.Second, 30, store.SafetyPriority) {
		t.Fatal("an oversized transaction never goes out")
	}
	b.Take(30)
	if b.Allows(201*time.Second, 1, store.SafetyPriority) {
		t.Fatal("the debt was forgiven")
	}
}

// Floods of plan writes must leave room for submissions: the leader's once got 429, one in
// ten of them on a quiet day.
func TestPlanWritesLeaveRoomForUsers(t *testing.T) {
	b := store.NewBudget(18, 0.8)
	for b.Allows(0, 1, store.BulkPriority) {
		b.Take(1)
	}
	users := 0
	for b.Allows(0, 1, store.NormalPriority) {
		b.Take(1)
		users++
	}
	if users < 3 {
		t.Fatalf("room for %d submissions after a flood of plan writes", users)
	}
	if !b.Allows(0, 1, store.SafetyPriority) {
		t.Fatal("no room left for safety")
	}
}

func TestOutcomes(t *testing.T) {
	now := time.Duration(0)
	l := &line{svc: state.New()}
	c := store.New("", l, func() time.Duration { return now }, store.Share{RPS: 1000, WriteRPS: 1000, BurstS: 0.8}, store.Limits{MaxOps: 24, MaxValueBytes: 32 << 10})
	var got store.Result
	put := func(key string, version, hold uint64) store.Outcome {
		c.Txn(store.Txn{If: []store.Condition{{Key: key, Version: version}}, Then: []store.Op{{Put: key, Value: json.RawMessage("1"), Lease: hold}}},
			store.SafetyPriority, func(result store.Result) { got = result })
		return got.Outcome
	}
	cases := []struct {
		what string
		do   func() store.Outcome
		want store.Outcome
	}{
		{"a new key", func() store.Outcome { return put("a", 0, 0) }, store.Committed},
		{"the same again", func() store.Outcome { return put("a", 0, 0) }, store.Conflict},
		{"an ended hold", func() store.Outcome { return put("b", 0, 99) }, store.LeaseExpired},
		{"an outage", func() store.Outcome { l.svc.Down = true; return put("b", 0, 0) }, store.NotApplied},
		{"no answer", func() store.Outcome {
			l.answer = func(httpio.Request) (httpio.Response, bool) { return httpio.Response{Err: httpio.ErrBusy}, true }
			return put("b", 0, 0)
		}, store.Indeterminate},
		{"a strange answer", func() store.Outcome {
			l.answer = func(httpio.Request) (httpio.Response, bool) { return httpio.Response{Status: 500}, true }
			return put("b", 0, 0)
		}, store.Indeterminate},
		{"a request that never left", func() store.Outcome {
			l.answer = func(httpio.Request) (httpio.Response, bool) {
				return httpio.Response{Err: httpio.ErrBusy, Refused: true}, true
			}
			return put("b", 0, 0)
		}, store.NotApplied},
	}
	for _, k := range cases {
		if o := k.do(); o != k.want {
			t.Errorf("%s: %v, want %v", k.what, o, k.want)
		}
	}
}

// A mirror sees every key over pages, every change by following, and reads all anew when
// its position is lost.
func TestMirror(t *testing.T) {
	now := time.Duration(0)
	l := &line{svc: state.New()}
	c := store.New("", l, func() time.Duration { return now }, store.Share{RPS: 1e6, WriteRPS: 1e6, BurstS: 0.8}, store.Limits{MaxOps: 24, MaxValueBytes: 32 << 10})
	put := func(k, v string) {
		l.svc.Serve(httpio.Request{Path: "/txn", Body: fmt.Appendf(nil, `{"if":[],"apply":[{"set":%q,"data":%q}]}`, k, v)})
	}
	for i := range 2500 {
		put(fmt.Sprintf("h/%05d", i), "x")
	}
	put("p/other", "y")
	seen := map[string]string{}
	m := store.NewWatchCache(c, "h/", 18*time.Second)
	m.OnItem = func(item store.Item) { seen[item.Key] = string(item.Value) }
	m.OnDelete = func(string, uint64) {}
	follows := 0
	l.answer = func(request httpio.Request) (httpio.Response, bool) {
		if len(request.Path) > 7 && request.Path[:7] == "/follow" {
			follows++
		}
		return httpio.Response{}, false
	}
	m.Tick(now)
	if len(seen) != 2500 || !m.Synced() {
		t.Fatalf("%d keys seen, want 2500", len(seen))
	}
	put("h/00007", "new")
	now += time.Second
	m.Tick(now)
	if seen["h/00007"] != `"new"` || m.FreshAt() != now {
		t.Fatalf("a change was missed: %s", seen["h/00007"])
	}
	put("h/lost", "z")
	l.svc.Gone = l.svc.Rev + 1
	now += time.Second
	m.Tick(now)
	l.svc.Gone = 0
	now += time.Second
	m.Tick(now)
	if seen["h/lost"] != `"z"` || follows < 3 {
		t.Fatalf("the position was lost and a key with it (%d follows)", follows)
	}
}

// waiting is a line whose watches are answered by hand.
type waiting struct {
	line
	watches []func(httpio.Response)
}

func (l *waiting) Send(addr string, request httpio.Request, done func(httpio.Response)) {
	if strings.HasPrefix(request.Path, "/follow") {
		l.watches = append(l.watches, done)
		return
	}
	l.line.Send(addr, request, done)
}

// A watch gets no answer while the service answers other requests: it is asked anew, once it is overdue. Its own answer, which
// comes long after the newer one, brings what is news and repeats nothing: a key that was dropped meanwhile doesn't come back.
func TestOverdueWatch(t *testing.T) {
	now := time.Duration(0)
	l := &waiting{line: line{svc: state.New()}}
	c := store.New("", l, func() time.Duration { return now }, store.Share{RPS: 1e6, WriteRPS: 1e6, BurstS: 0.8}, store.Limits{MaxOps: 24, MaxValueBytes: 32 << 10})
	m := store.NewWatchCache(c, "h/", 18*time.Second)
	there, told := map[string]bool{}, 0
	m.OnItem = func(item store.Item) { there[item.Key], told = true, told+1 }
	m.OnDelete = func(k string, _ uint64) { delete(there, k); told++ }
	m.Tick(now)
	if len(l.watches) != 1 {
		t.Fatalf("%d watches", len(l.watches))
	}
	for range 30 { // in an outage it waits
		now += 100 * time.Millisecond
		m.Tick(now)
	}
	if len(l.watches) != 1 {
		t.Fatal("asked anew though the service answers nothing")
	}
	c.Get("x", store.SafetyPriority, func(store.Item, error) {})
	m.Tick(now)
	if len(l.watches) != 2 {
		t.Fatalf("%d watches: the one that is lost is waited for", len(l.watches))
	}
	say := func(i int, rev int, events string) {
		l.watches[i](httpio.Response{Status: 200, Body: fmt.Appendf(nil, `{"epoch":%d,"events":[%s]}`, rev, events)})
	}
	put, drop, later := `{"set":"h/a","data":1,"stamp":1}`, `{"drop":"h/a","stamp":2}`, `{"set":"h/b","data":1,"stamp":3}`
	say(1, 2, put+","+drop)
	asked := m.FreshAt()
	say(0, 1, put) // what was so before it was dropped
	if there["h/a"] || told != 2 || m.FreshAt() != asked {
		t.Errorf("an old answer counts: %v, %d changes told", there, told)
	}
	now += 50 * time.Millisecond
	m.Tick(now)
	say(0, 3, put+","+drop+","+later)
	if !there["h/b"] || there["h/a"] || told != 3 {
		t.Errorf("%v, %d changes told", there, told)
	}
}
