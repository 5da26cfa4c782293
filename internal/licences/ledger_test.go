package licences

import (
	"flag"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/harewalk/harewalk/internal/calendar"
)

// The same verdict every time, and enough steps to fill a pool.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.steps", "120")
	_ = flag.Set("rapid.checks", "4000")
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	os.Exit(m.Run())
}

func team(string) int32 { return 0 }

// truth is the slow plain model of what really happens: tasks, a licence server that counts on
// its own, outsiders within what is kept for them, and answers that are old when they arrive.
type truth struct {
	t      *rapid.T
	now    time.Duration
	pool   *Pool
	cat    *Catalog
	led    *Ledger
	tasks  map[Holder]*process
	next   int32
	server map[Holder]*checkout
	others int
	asked  []question
	count  int // the highest count that a start let through may rely on
	peak   int
	gone   []ended
}

type process struct {
	units int
}

type checkout struct {
	units int
	until time.Duration // of a crashed holder; 0: it lives
}

// ended is a task that is gone, of which the ledger is not told yet.
type ended struct {
	Holder
	how End
}

type question struct {
	sent time.Duration
	ans  Answer
}

func (w *truth) used() int {
	n := w.others
	for _, c := range w.server {
		n += c.units
	}
	return n
}

func name(h Holder) string { return fmt.Sprintf("%d/%d", h.Job, h.Task) }

func known(task string) (Ref, bool) {
	var r Ref
	n, err := fmt.Sscanf(task, "%d/%d", &r.Job, &r.Task)
	return r, err == nil && n == 2
}

func (w *truth) needs(units int) []Unit { return []Unit{{0, units}} }

func (w *truth) start(t *rapid.T) {
	units := rapid.IntRange(1, 2).Draw(t, "units")
	if d, _ := w.led.Fits(0, w.needs(units), 1); d != Granted {
		t.Skip(d.String())
	}
	w.next++
	h := Holder{Ref{w.next, 0}, uint64(w.next)}
	w.led.Take(w.now, h.Ref, h.Attempt, 0, w.needs(units), Held)
	w.tasks[h] = &process{units: units}
}

func (w *truth) any(t *rapid.T) Holder {
	if len(w.tasks) == 0 {
		t.Skip("no task")
	}
	hs := slices.SortedFunc(maps.Keys(w.tasks), func(a, b Holder) int { return int(a.Job - b.Job) })
	return rapid.SampledFrom(hs).Draw(t, "task")
}

// work lets a task check its seats out, as it does some time after its launch.
func (w *truth) work(t *rapid.T) {
	h := w.any(t)
	p := w.tasks[h]
	if _, has := w.server[h]; has {
		t.Skip("it has them")
	}
	w.server[h] = &checkout{units: p.units}
	if n := w.used(); n > w.count {
		t.Fatalf("%d seats taken of %d", n, w.count)
	}
	w.peak = max(w.peak, w.used())
}

func (w *truth) finish(t *rapid.T) {
	h := w.any(t)
	delete(w.tasks, h)
	delete(w.server, h)
	w.gone = append(w.gone, ended{h, Clean})
}

func (w *truth) crash(t *rapid.T) {
	h := w.any(t)
	delete(w.tasks, h)
	if c := w.server[h]; c != nil {
		c.until = w.now + w.pool.Linger
	}
	w.gone = append(w.gone, ended{h, Crashed})
}

// hear tells the ledger of an end: by a fenced report, the cloud or a lease.
func (w *truth) hear(t *rapid.T) {
	if len(w.gone) == 0 {
		t.Skip("nothing ended")
	}
	e := w.gone[0]
	w.gone = w.gone[1:]
	w.led.Give(w.now, e.Ref, w.needs(1), e.how)
}

func (w *truth) ask(*rapid.T) {
	if len(w.led.Due(w.now)) == 0 {
		return
	}
	q := question{sent: w.now, ans: Answer{Holders: []Entry{}}}
	for h, c := range w.server {
		q.ans.Holders = append(q.ans.Holders, Entry{Task: name(h), Attempt: h.Attempt, Units: c.units})
	}
	if w.others > 0 {
		q.ans.Holders = append(q.ans.Holders, Entry{Task: "somebody", Units: w.others})
	}
	w.asked = append(w.asked, q)
}

func (w *truth) answer(t *rapid.T) {
	if len(w.asked) == 0 {
		t.Skip("nothing asked")
	}
	q := w.asked[0]
	w.asked = w.asked[1:]
	if rapid.IntRange(0, 9).Draw(t, "lost") == 0 {
		w.led.Failed(w.now, w.pool.Name)
		return
	}
	w.led.Answered(w.now, q.sent, w.pool.Name, q.ans, known)
}

// outsider takes or gives one seat, within what is kept for others.
func (w *truth) outsider(t *rapid.T) {
	if rapid.Bool().Draw(t, "takes") && w.others < w.pool.Reserve {
		w.others++
	} else {
		w.others = max(0, w.others-1)
	}
}

// forget restarts the server: it knows of nobody until they come again.
func (w *truth) forget(t *rapid.T) {
	if rapid.IntRange(0, 3).Draw(t, "rarely") > 0 {
		t.Skip("not now")
	}
	clear(w.server)
}

func (w *truth) pass(t *rapid.T) {
	w.now += time.Duration(rapid.SampledFrom([]int{1, 50, 150, 300, 900, 2500}).Draw(t, "ms")) * time.Millisecond
	for h, c := range w.server {
		if c.until > 0 && w.now >= c.until {
			delete(w.server, h)
		}
	}
	w.led.Tick(w.now, time.Unix(0, 0))
}

// succeed begins another leader's term: it knows which tasks may run, not as which attempt.
func (w *truth) succeed(t *rapid.T) {
	if rapid.IntRange(0, 4).Draw(t, "rarely") > 0 {
		t.Skip("not now")
	}
	w.led, w.asked = New(w.cat, team, w.now), nil
	for h, p := range w.tasks {
		w.led.Take(w.now, h.Ref, 0, 0, w.needs(p.units), Held)
	}
	for _, e := range w.gone {
		w.led.Take(w.now, e.Ref, 0, 0, w.needs(3), Held)
	}
}

func (w *truth) report(t *rapid.T) {
	h := w.any(t)
	w.led.Attempt(w.now, h.Ref, h.Attempt, w.needs(1))
}

// recount sets another count; the server gives out as many only once nothing relies on more.
func (w *truth) recount(t *rapid.T) {
	n := rapid.IntRange(3, 6).Draw(t, "count")
	w.pool.Count = n
	w.count = max(w.count, n)
}

// However starts, ends, crashes, answers and leaders follow on each other, the server never
// sees more seats taken than there are; and when all has ended, every seat is free again.
func TestNeverMoreThanThereAre(t *testing.T) {
	peak := 0
	rapid.Check(t, func(t *rapid.T) {
		pool := &Pool{Name: "p", Count: 4, Server: "s", Poll: 100 * time.Millisecond, Linger: 5 * time.Second, Reserve: rapid.IntRange(0, 2).Draw(t, "reserve"), Lowering: Wait}
		w := &truth{t: t, pool: pool, cat: NewCatalog([]*Pool{pool}), tasks: map[Holder]*process{}, server: map[Holder]*checkout{}, count: 4, now: time.Second}
		w.led = New(w.cat, team, w.now)
		w.ask(t)
		w.answer(t)
		t.Repeat(map[string]func(*rapid.T){
			"start": w.start, "start more": w.start, "start still more": w.start, "work": w.work, "work more": w.work, "finish": w.finish, "crash": w.crash,
			"hear": w.hear, "hear more": w.hear, "crash more": w.crash, "work still more": w.work, "work on": w.work, "ask": w.ask, "answer": w.answer, "outsider": w.outsider, "forget": w.forget,
			"pass": w.pass, "ask more": w.ask, "answer more": w.answer, "succeed": w.succeed, "report": w.report, "recount": w.recount,
			"": func(t *rapid.T) { consistent(t, w.led) },
		})
		peak = max(peak, w.peak)
		for h := range w.tasks {
			w.gone = append(w.gone, ended{h, Clean})
		}
		clear(w.tasks)
		clear(w.server)
		w.others = 0
		for _, e := range w.gone {
			w.led.Give(w.now, e.Ref, w.needs(1), e.how)
		}
		w.asked = nil
		w.led.Failed(w.now, "p")
		for range 20 {
			w.now += 2 * time.Second
			w.led.Tick(w.now, time.Unix(0, 0))
			w.ask(t)
			for _, q := range w.asked {
				w.led.Answered(w.now+time.Millisecond, q.sent, "p", q.ans, known)
			}
			w.asked = nil
		}
		if f := w.led.free(w.led.pools[0]); f != pool.Count-pool.Reserve {
			t.Fatalf("all has ended and %d of %d are free: %+v", f, pool.Count-pool.Reserve, w.led.Show(w.now, 0, func(int32) string { return "" }))
		}
	})
	if peak < 6 {
		t.Fatalf("at most %d seats were taken: the pool was never full", peak)
	}
}

// consistent recounts every account from its seats.
func consistent(t *rapid.T, l *Ledger) {
	for _, a := range l.pools {
		var by [Lingering + 1]int
		weight, unsure, missing, teams := 0, 0, 0, map[int32]int{}
		for h, s := range a.seats {
			by[s.state] += s.units
			weight += max(s.units, s.shown)
			if s.state != Free {
				teams[s.team] += s.units
			}
			if s.state == Held && h.Attempt == 0 {
				unsure += s.units
			}
			if s.late {
				missing++
			}
			if (s.state == Held || s.state == Booked) != (a.current[h.Ref] == h) {
				t.Fatalf("seat %v is %s, the current one is %v", h, s.state, a.current[h.Ref])
			}
		}
		if by != a.byState || weight != a.weight || unsure != a.unsure || missing != a.missing {
			t.Fatalf("kept %v, %d, %d, %d; counted %v, %d, %d, %d", a.byState, a.weight, a.unsure, a.missing, by, weight, unsure, missing)
		}
		for ix, m := range a.teams {
			if m.units != teams[ix] {
				t.Fatalf("team %d has %d seats, %d counted", ix, m.units, teams[ix])
			}
		}
	}
}

// plainAllot hands seats out one by one, guaranteed jobs first: the slow model of Allot.
func plainAllot(l *Ledger, asks []Ask) []int {
	free := make([]int, len(l.pools))
	has := map[[2]int32]int{}
	for i, a := range l.pools {
		free[i] = l.free(a)
		for ix, m := range a.teams {
			has[[2]int32{int32(i), ix}] = m.units
		}
	}
	got := make([]int, len(asks))
	fits := func(ask Ask, n int, guaranteed bool) bool {
		promised := false
		for _, unit := range ask.Needs {
			s := Share{}
			if m := l.pools[unit.Pool].teams[ask.Team]; m != nil {
				s = m.Share
			}
			with := has[[2]int32{unit.Pool, ask.Team}] + n*unit.N
			if n*unit.N > free[unit.Pool] || (s.Most > 0 && with > s.Most) || (guaranteed && s.Guarantee > 0 && with > s.Guarantee) {
				return false
			}
			promised = promised || s.Guarantee > 0
		}
		return promised || !guaranteed
	}
	take := func(i, n int) {
		for _, unit := range asks[i].Needs {
			free[unit.Pool] -= n * unit.N
			has[[2]int32{unit.Pool, asks[i].Team}] += n * unit.N
		}
		got[i] += n
	}
	for _, guaranteed := range []bool{true, false} {
		for i, ask := range asks {
			if !ask.Whole {
				for got[i] < ask.Tasks && fits(ask, 1, guaranteed) {
					take(i, 1)
				}
				continue
			}
			if got[i] > 0 || ask.Tasks == 0 {
				continue
			}
			if fits(ask, ask.Tasks, guaranteed) {
				take(i, ask.Tasks)
			} else if !guaranteed {
				could := true
				for _, unit := range ask.Needs {
					m := l.pools[unit.Pool].teams[ask.Team]
					could = could && unit.N*ask.Tasks <= l.total(l.pools[unit.Pool])-l.pools[unit.Pool].reserve &&
						(m == nil || m.Most == 0 || has[[2]int32{unit.Pool, ask.Team}]+unit.N*ask.Tasks <= m.Most)
				}
				for _, unit := range ask.Needs {
					if could {
						free[unit.Pool] = max(0, free[unit.Pool]-unit.N*ask.Tasks)
					}
				}
			}
		}
	}
	return got
}

// Handing out in bulk comes to the same as one seat at a time; nobody gets more than there is,
// and a gang gets all or nothing, of every pool it needs.
func TestAllotAgainstOneByOne(t *testing.T) {
	teams := []string{"a", "b", "c"}
	index := func(n string) int32 { return int32(slices.Index(teams, n)) }
	rapid.Check(t, func(t *rapid.T) {
		var pools []*Pool
		for i := range rapid.IntRange(1, 3).Draw(t, "pools") {
			pool := &Pool{Name: fmt.Sprint(i), Count: rapid.IntRange(0, 20).Draw(t, "count"), Reserve: 0, Teams: map[string]Share{}}
			for _, n := range teams {
				most := rapid.IntRange(0, 12).Draw(t, "most")
				pool.Teams[n] = Share{Guarantee: rapid.IntRange(0, 6).Draw(t, "guarantee"), Most: most}
			}
			pools = append(pools, pool)
		}
		l := New(NewCatalog(pools), index, 0)
		draw := func(label string) (us []Unit) {
			for i := range pools {
				if n := rapid.IntRange(0, 3).Draw(t, label); n > 0 {
					us = append(us, Unit{int32(i), n})
				}
			}
			return us
		}
		for i := range rapid.IntRange(0, 5).Draw(t, "held") {
			tm, us := int32(rapid.IntRange(0, 2).Draw(t, "team")), draw("has")
			if d, _ := l.Fits(tm, us, 1); d == Granted {
				l.Take(0, Ref{int32(i), 0}, 1, tm, us, Held)
			}
		}
		var asks []Ask
		for i := range rapid.IntRange(1, 8).Draw(t, "jobs") {
			if us := draw("needs"); us != nil {
				asks = append(asks, Ask{int32(100 + i), int32(rapid.IntRange(0, 2).Draw(t, "team")), us, rapid.IntRange(0, 9).Draw(t, "tasks"), rapid.Bool().Draw(t, "whole")})
			}
		}
		want := plainAllot(l, asks)
		left := make([]int, len(pools))
		for i, a := range l.pools {
			left[i] = l.free(a)
		}
		for i, grant := range l.Allot(asks) {
			if grant.Tasks != want[i] {
				t.Fatalf("%+v was granted %d, one by one %d", asks[i], grant.Tasks, want[i])
			}
			if (grant.Tasks < asks[i].Tasks) != (grant.Why != Granted) {
				t.Fatalf("%+v got %d and is told %q", asks[i], grant.Tasks, grant.Why)
			}
			for _, unit := range asks[i].Needs {
				if left[unit.Pool] -= unit.N * grant.Tasks; left[unit.Pool] < 0 {
					t.Fatalf("more was handed out of pool %d than is free", unit.Pool)
				}
			}
		}
	})
}

// Two gangs that need two pools, named in opposite order, each with room for one gang: one has
// all it needs, the other nothing, and it follows when the first is done.
func TestTwoPoolsInOppositeOrder(t *testing.T) {
	cat := NewCatalog([]*Pool{{Name: "x", Count: 4}, {Name: "y", Count: 4}})
	l := New(cat, team, 0)
	ab, err := cat.Needs(map[string]int{"x": 1, "y": 1})
	if err != nil {
		t.Fatal(err)
	}
	ba := []Unit{ab[1], ab[0]}
	asks := []Ask{{1, 0, ab, 3, true}, {2, 0, ba, 3, true}}
	g := l.Allot(asks)
	if g[0].Tasks != 3 || g[1].Tasks != 0 || g[1].Why != OtherFirst {
		t.Fatalf("granted %+v", g)
	}
	for i := range int32(3) {
		l.Take(0, Ref{1, i}, 1, 0, ab, Held)
	}
	if g = l.Allot(asks[1:]); g[0].Tasks != 0 {
		t.Fatalf("granted %+v beside the first", g)
	}
	for i := range int32(3) {
		l.Give(0, Ref{1, i}, ab, Clean)
	}
	if g = l.Allot(asks[1:]); g[0].Tasks != 3 {
		t.Fatalf("granted %+v after the first", g)
	}
}

// served is a pool with a server that has answered once.
func served(count int) (*Ledger, *account, func(at time.Duration, es ...Entry)) {
	pool := &Pool{Name: "p", Count: count, Server: "s", Poll: 2 * time.Second, Linger: 20 * time.Second, Lowering: Stop}
	l := New(NewCatalog([]*Pool{pool}), team, 0)
	say := func(at time.Duration, es ...Entry) {
		l.Answered(at, at, "p", Answer{Holders: append([]Entry{}, es...)}, known)
	}
	return l, l.pools[0], say
}

// A task that crashes holds its seat at the server until that lets go, not until its worker
// says that it is gone; and an answer asked for before it was gone proves nothing.
func TestCrashedHolderLingers(t *testing.T) {
	l, a, say := served(1)
	say(0)
	one := []Unit{{0, 1}}
	l.Take(0, Ref{1, 0}, 7, 0, one, Held)
	say(time.Second, Entry{"1/0", 7, 1})
	l.Give(5*time.Second, Ref{1, 0}, one, Crashed)
	l.Answered(6*time.Second, 4*time.Second, "p", Answer{Holders: []Entry{}}, known)
	if l.free(a) != 0 {
		t.Fatal("an answer from before its end freed the seat")
	}
	say(7*time.Second, Entry{"1/0", 7, 1})
	if l.free(a) != 0 {
		t.Fatal("the server still shows it")
	}
	say(25 * time.Second)
	if l.free(a) != 1 || len(a.seats) != 0 {
		t.Fatalf("the server let go and %d are free", l.free(a))
	}
}

// The count falls while every seat is in use: nothing starts, the excess is what has to go,
// and not before it is known which of an earlier term's tasks run at all.
func TestCountLoweredWhileAllAreInUse(t *testing.T) {
	l, a, say := served(5)
	say(0)
	one := []Unit{{0, 1}}
	for i := range int32(5) {
		l.Take(0, Ref{i, 0}, 1, 0, one, Held)
	}
	if err := l.cat.Item(Key("p"), []byte(`{"count":2}`), 9); err != nil {
		t.Fatal(err)
	}
	if d, _ := l.Fits(0, one, 1); d != NoSeat || l.Excess(0) != 3 {
		t.Fatalf("%v, excess %d", d, l.Excess(0))
	}
	l.Take(0, Ref{9, 0}, 0, 0, one, Held)
	if l.Excess(0) != 0 {
		t.Fatal("tasks that may not run at all count as excess")
	}
	l.Give(0, Ref{9, 0}, one, Unstarted)
	for i := range int32(3) {
		l.Give(time.Second, Ref{i, 0}, one, Clean)
	}
	if l.Excess(0) != 0 || l.free(a) != 0 {
		t.Fatalf("excess %d, free %d", l.Excess(0), l.free(a))
	}
	if err := l.cat.Item(Key("p"), []byte(`{"count":1}`), 8); err != nil || l.cat.Count(0) != 2 {
		t.Fatalf("an older count was taken over: %d, %v", l.cat.Count(0), err)
	}
}

// A server that falls silent stops new starts, not what runs; one that forgets those who run
// is not believed when it shows fewer others, and frees nothing by its silence about them.
func TestServerSilentOrLyingLow(t *testing.T) {
	l, a, say := served(20)
	if d, _ := l.Fits(0, []Unit{{0, 1}}, 1); d != NoAnswer {
		t.Fatalf("%v before the first answer", d)
	}
	one := []Unit{{0, 1}}
	var all []Entry
	say(0)
	for i := range int32(6) {
		l.Take(0, Ref{i, 0}, 1, 0, one, Held)
		all = append(all, Entry{fmt.Sprintf("%d/0", i), 1, 1})
	}
	say(time.Second, append(all, Entry{"somebody", 0, 8})...)
	if l.free(a) != 6 {
		t.Fatalf("%d free", l.free(a))
	}
	l.Give(2*time.Second, Ref{0, 0}, one, Crashed)
	say(3 * time.Second) // it restarted
	if a.line != Doubted || l.free(a) != 6 {
		t.Fatalf("line %s, %d free", a.line, l.free(a))
	}
	say(4*time.Second, all[1:]...)
	l.Tick(15*time.Second, time.Unix(0, 0))
	if a.line != Silent || l.free(a) != 0 {
		t.Fatalf("line %s, %d free", a.line, l.free(a))
	}
	say(30*time.Second, all[1:]...)
	if l.free(a) != 15 {
		t.Fatalf("it has all of them again and %d are free", l.free(a))
	}
}

// Counts set at run time go before what is declared, and what is kept for others changes with
// the time of day.
func TestCountsAndReserves(t *testing.T) {
	w, err := calendar.Parse("Fri", "18:00", "23:00", "Asia/Tokyo")
	if err != nil {
		t.Fatal(err)
	}
	cat := NewCatalog([]*Pool{{Name: "p", Count: 10, Reserve: 1, Windows: []Reserve{{4, w}}, Teams: map[string]Share{"t": {Most: 6}}}})
	l := New(cat, team, 0)
	for at, want := range map[string]int{"2026-12-04T17:59:00+09:00": 9, "2026-12-04T18:00:00+09:00": 6, "2026-12-04T23:00:00+09:00": 9} {
		wall, _ := time.Parse(time.RFC3339, at)
		if l.Tick(0, wall); l.free(l.pools[0]) != want {
			t.Errorf("%s: %d free, want %d", at, l.free(l.pools[0]), want)
		}
	}
	for n, want := range map[int]string{6: "", 7: "never gives it more than 6"} {
		if ok, why := cat.Ever(map[string]int{"p": 1}, "t", n); ok != (want == "") || !strings.Contains(why, want) {
			t.Errorf("%d at once: %v, %q", n, ok, why)
		}
	}
	if ok, why := cat.Ever(map[string]int{"q": 1}, "t", 1); ok || !strings.Contains(why, `unknown licence pool "q"`) {
		t.Errorf("%v, %q", ok, why)
	}
	if err := cat.Item(Key("p"), []byte(`{"count":30}`), 5); err != nil || cat.Count(0) != 30 {
		t.Fatalf("%d, %v", cat.Count(0), err)
	}
	cat.Drop(Key("p"), 4)
	if cat.Count(0) != 30 {
		t.Fatal("an old drop was taken over")
	}
	if cat.Drop(Key("p"), 6); cat.Count(0) != 10 {
		t.Fatal("dropped, but still counts")
	}
	if err := cat.Item(Key("p"), []byte(`{"count":-1}`), 7); err == nil || cat.Count(0) != 0 {
		t.Fatalf("%d, %v: nobody knows how many there are, and some are handed out", cat.Count(0), err)
	}
	if err := cat.Item(Key("p"), []byte(`{"v":2,"count":20}`), 8); err == nil || cat.Count(0) != 0 {
		t.Fatalf("%d, %v: a format that isn't known is acted on", cat.Count(0), err)
	}
	if err := cat.Item(Key("p"), []byte(`{"count":12}`), 9); err != nil || cat.Count(0) != 12 {
		t.Fatalf("%d, %v: set anew", cat.Count(0), err)
	}
}
