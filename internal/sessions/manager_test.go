package sessions

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/harewalk/harewalk/internal/archive"
	"github.com/harewalk/harewalk/internal/calendar"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// The same verdict every time.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.steps", "500")
	_ = flag.Set("rapid.checks", "1200")
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	os.Exit(m.Run())
}

const id = "req-000001"

// notebook is an agent and the work of its user: the plain model. Work is counted in steps.
type notebook struct {
	attempt, seq uint64
	work, saved  int // steps done, and of them saved
	cell         time.Duration
	input        time.Duration
	frozen       bool
	save         *CheckpointResult
	resumed      string
	fresh        bool
	own, kept    string // its own saves: the newest, and what the controller keeps
}

// desk is a manager among a user, an agent, a fleet and a state service that the test moves.
type desk struct {
	t       fataler
	now     time.Duration
	m       *Manager
	term    uint64
	kv      map[string]store.Item
	rev     uint64
	commits []func(outcome int)
	book    *jobs.Table
	nb      *notebook // of the attempt that runs, nil: none
	next    uint64
	ending  bool
	parked  bool
	wanted  bool
	saves   map[string]int
	held    []Heartbeat // under way to the controller
	parks   int
	late    []func() // writes whose answer is lost and that have not landed yet
}

// outcome is the outcome of a user's request: accepted, or the reason of its refusal.
type outcome string

const (
	noReply  outcome = "no reply"
	created  outcome = "created"
	accepted outcome = "accepted"
)

var (
	forbidden   = outcome(NotAuthorized.String())
	conflict    = outcome(Conflict.String())
	ended       = outcome(Ended.String())
	tooFrequent = outcome(TooFrequent.String())
	unavailable = outcome(Unavailable.String())
)

func outcomeOf(result Result, err error) outcome {
	var refusal *Error
	switch {
	case errors.As(err, &refusal):
		return outcome(refusal.Reason.String())
	case err != nil:
		return outcome("untyped error: " + err.Error())
	case result.Created:
		return created
	default:
		return accepted
	}
}

type fataler interface {
	Fatalf(string, ...any)
	Helper()
}

func newDesk(t fataler, p *Policies) *desk {
	d := &desk{t: t, kv: map[string]store.Item{}, saves: map[string]int{}, now: time.Hour}
	d.lead(p)
	return d
}

func rule(t fataler, text string) *Rule {
	r, err := CompileRule(text, "test")
	if err != nil {
		t.Fatalf("%v", err)
	}
	return r
}

func policies(t fataler) *Policies {
	return &Policies{
		Enabled: true, WarningTime: 10 * time.Second, CheckpointTimeout: 8 * time.Second, UnheardTimeout: 20 * time.Second, MaxPerUser: 2, MaxPerTeam: 3, ByTeam: map[string]*Policy{},
		Default: &Policy{Limits: Limits{Rule: rule(t, "input_s > 30 && cpu < 0.5"), IdleLimit: 60 * time.Second, ContendedLimit: 5 * time.Second, Source: "default"}},
	}
}

func (d *desk) lead(p *Policies) {
	d.term++
	d.commits, d.parked = nil, false // a new term's fleet parks what it is told to
	d.book = jobs.NewTable(0)
	var items []store.Item
	for k, item := range d.kv {
		if strings.HasPrefix(k, Prefix) {
			items = append(items, item)
		} else {
			_, _, _ = d.book.Apply(strings.TrimPrefix(k, jobs.Prefix), item.Value, item.Version)
		}
	}
	var m *Manager
	m = New(Env{
		Policies: p, Jobs: d.book, Now: func() time.Duration { return d.now },
		Wall: func(now time.Duration) time.Time { return time.Unix(1_790_000_000, 0).Add(now) },
		Commit: func(txn store.Txn, done func(store.Result)) {
			d.commits = append(d.commits, func(outcome int) { d.commit(m, txn, outcome, done) })
		},
		Read: func(key string, done func(store.Item, error)) {
			item := d.kv[key]
			item.Key = key
			done(item, nil)
		},
		OnJobRecord: func(_ time.Duration, item store.Item) {
			_, _, _ = d.book.Apply(strings.TrimPrefix(item.Key, jobs.Prefix), item.Value, item.Version)
		},
		TaskOf: func(*jobs.Job) Task {
			if d.nb == nil {
				return Task{}
			}
			return Task{On: true, Ending: d.ending, Attempt: d.nb.attempt}
		},
		Suspend: func(_ time.Duration, _ *jobs.Job, on bool) { d.park(on) },
		WaitingFor: func(_ time.Duration, of []*jobs.Job) []string {
			out := make([]string, len(of))
			if d.wanted {
				out[0] = "req-000009"
			}
			return out
		},
	}, d.term)
	d.m = m
	m.Load(d.now, items)
}

// commit carries a transaction out: 0 committed, 1 not done, 2 done with the answer lost, 3 lost.
func (d *desk) commit(m *Manager, txn store.Txn, outcome int, done func(store.Result)) {
	if m != d.m {
		return // of an earlier term: its guard fails
	}
	if outcome == 3 { // it may land yet, as long as this leader's key stands
		d.late = append(d.late, func() {
			if m == d.m {
				d.apply(txn)
			}
		})
	}
	if outcome == 0 || outcome == 2 {
		failed := d.failed(txn)
		if !d.apply(txn) {
			done(store.Result{Outcome: store.Conflict, FailedKeys: failed})
			return
		}
	}
	done(store.Result{Outcome: []store.Outcome{store.Committed, store.NotApplied, store.Indeterminate, store.Indeterminate}[outcome], Revision: d.rev})
}

// failed lists the keys whose conditions don't hold.
func (d *desk) failed(txn store.Txn) (keys []string) {
	for _, c := range txn.If {
		if d.kv[c.Key].Version != c.Version {
			keys = append(keys, c.Key)
		}
	}
	return keys
}

// apply carries out a transaction whose conditions hold.
func (d *desk) apply(txn store.Txn) bool {
	for _, c := range txn.If {
		if d.kv[c.Key].Version != c.Version {
			return false
		}
	}
	d.rev++
	for _, o := range txn.Then {
		if o.Delete != "" {
			delete(d.kv, o.Delete)
		} else {
			d.kv[o.Put] = store.Item{Key: o.Put, Value: o.Value, Version: d.rev}
		}
	}
	return true
}

// land lets the writes land that were lost on their way.
func (d *desk) land() {
	for _, f := range d.late {
		f()
	}
	d.late = nil
}

// park is the fleet's side. What is checked here is what this package is for: a session is only
// stopped when nothing runs in it and all its work is saved, durably.
func (d *desk) park(on bool) {
	d.parked = on
	if !on {
		return
	}
	d.parks++
	var r Record
	if err := json.Unmarshal(d.kv[Key(id)].Value, &r); err != nil || !r.Reclaimed || r.Checkpoint == nil {
		d.t.Fatalf("parked with the record %+v", r)
	}
	if d.nb == nil {
		return
	}
	if n := d.nb; !n.frozen || n.cell > 0 || n.work != n.saved || n.work > d.saves[r.Checkpoint.Ref] {
		d.t.Fatalf("parked with %+v, saved %d", *d.nb, d.saves[r.Checkpoint.Ref])
	}
	d.ending = true
}

func (d *desk) settle(outcome int) {
	for len(d.commits) > 0 {
		f := d.commits[0]
		d.commits = d.commits[1:]
		f(outcome)
	}
}

func (d *desk) open() {
	d.t.Helper()
	spec := &jobs.Spec{ID: id, Class: "c", Team: "t", Kind: jobs.Service, Priority: "standard", Tasks: 1, CPUs: 1, Image: "i"}
	status := noReply
	d.m.Open(d.now, &Request{Spec: spec, User: "kana", UserTokenDigest: TokenDigest("user"), AgentTokenDigest: TokenDigest("agent")}, func(r Result, err error) { status = outcomeOf(r, err) })
	if d.settle(0); status != created {
		d.t.Fatalf("%s", status)
	}
}

// start lets the fleet start the task, on any machine, from what was saved.
func (d *desk) start() {
	d.next++
	d.nb, d.ending = &notebook{attempt: d.next, input: d.now, frozen: true, fresh: true}, false // until its first answer
}

func (d *desk) report() Heartbeat {
	n := d.nb
	n.seq++
	r := Heartbeat{Attempt: n.attempt, Seq: n.seq, SinceInputS: (d.now - n.input).Seconds(), UnsavedMB: float64(n.work - n.saved), Frozen: n.frozen, Checkpoint: n.save, ResumedFrom: n.resumed, Fresh: n.fresh}
	if n.save == nil && n.own != n.kept {
		r.Checkpoint = &CheckpointResult{OK: true, Ref: n.own}
	}
	if n.cell > 0 {
		r.CellRunning, r.CellRunningS, r.CPU = true, (d.now - n.cell).Seconds(), 1
	}
	return r
}

// deliver hands a report to the controller; its answer reaches the agent unless it is lost or
// the agent has gone on.
func (d *desk) deliver(r Heartbeat, lost bool) {
	o, err := d.m.HandleHeartbeat(d.now, id, "agent", r)
	n := d.nb
	if err != nil || lost || n == nil || n.attempt != r.Attempt || n.seq != r.Seq {
		return
	}
	n.kept = o.CheckpointRef
	if o.ResumeFrom != "" {
		n.work, n.saved, n.resumed = d.saves[o.ResumeFrom], d.saves[o.ResumeFrom], o.ResumeFrom
	}
	if o.Thaw {
		n.frozen, n.fresh, n.save = false, false, nil
	}
	if o.CheckpointOrder != 0 && (n.save == nil || n.save.Order != o.CheckpointOrder) {
		n.save = &CheckpointResult{Order: o.CheckpointOrder}
		if n.cell > 0 {
			n.save.Cause = "a cell runs"
			return
		}
		ref := fmt.Sprintf("%d-%d-%d", n.attempt, o.CheckpointOrder, n.work)
		d.saves[ref], n.saved, n.frozen = n.work, n.work, true
		n.save.OK, n.save.Ref = true, ref
	}
}

func (d *desk) pass(by time.Duration) {
	for end := d.now + by; d.now < end; {
		d.now = min(end, d.now+500*time.Millisecond)
		d.m.Tick(d.now)
	}
}

// talk lets time pass while the agent reports and everything works.
func (d *desk) talk(by time.Duration) {
	for end := d.now + by; d.now < end; {
		d.pass(time.Second)
		if d.nb != nil {
			d.deliver(d.report(), false)
		}
		d.settle(0)
		if d.ending { // the worker has stopped it
			d.nb, d.ending = nil, false
		}
		if d.nb == nil && !d.parked && d.kv[Key(id)].Version != 0 {
			d.start()
		}
	}
}

func (d *desk) state() State {
	if s := d.m.byID[id]; s != nil {
		return s.state
	}
	return Closed
}

// Whatever is lost, late, used, silent or taken over: nothing that runs is ended by a reclaim,
// nothing that was done is lost by one, and once all works again a returning user has the
// session, or what was saved of it, back.
func TestReclaimLosesNothing(t *testing.T) {
	parks, resumed := 0, 0
	quick := rule(t, "input_s > 3")
	rapid.Check(t, func(t *rapid.T) {
		p := policies(t)
		p.WarningTime, p.Default.IdleLimit, p.Default.Rule = 2*time.Second, 3*time.Second, quick
		d := newDesk(t, p)
		d.open()
		d.start()
		use := func(t *rapid.T) {
			if n := d.nb; n == nil || n.frozen || d.ending {
				t.Skip("nobody can")
			}
			d.nb.input = d.now
			d.nb.work++
		}
		attach := func(*rapid.T) { d.m.Attach(d.now, id, "user", func(Result, error) {}) }
		report := func(t *rapid.T) {
			if d.nb == nil {
				t.Skip("no agent")
			}
			d.deliver(d.report(), rapid.IntRange(0, 4).Draw(t, "lost") == 0)
		}
		commit := func(t *rapid.T) {
			if len(d.commits) == 0 {
				t.Skip("no write")
			}
			d.settle(rapid.SampledFrom([]int{0, 0, 0, 1, 2, 3}).Draw(t, "outcome"))
		}
		pass := func(t *rapid.T) {
			d.pass(rapid.SampledFrom([]time.Duration{time.Second, time.Second, 3 * time.Second}).Draw(t, "by"))
		}
		t.Repeat(map[string]func(*rapid.T){
			"use": func(t *rapid.T) {
				if rapid.IntRange(0, 7).Draw(t, "rarely") > 0 {
					t.Skip("away")
				}
				use(t)
			},
			"save of its own": func(t *rapid.T) {
				n := d.nb
				if n == nil || n.fresh || n.frozen {
					t.Skip("nobody can")
				}
				n.own = fmt.Sprintf("own-%d-%d", n.attempt, n.work)
				d.saves[n.own], n.saved = n.work, n.work
			},
			"begin a cell": func(t *rapid.T) {
				if rapid.IntRange(0, 15).Draw(t, "rarely") > 0 {
					t.Skip("away")
				}
				use(t)
				d.nb.cell = d.now
			},
			"end a cell": func(t *rapid.T) {
				if d.nb == nil || d.nb.cell == 0 {
					t.Skip("none runs")
				}
				d.nb.work++
				d.nb.cell = 0
			},
			"attach": func(t *rapid.T) {
				if rapid.IntRange(0, 7).Draw(t, "rarely") > 0 {
					t.Skip("away")
				}
				attach(t)
			},
			"report": report, "report again": report, "report more": report,
			"hold a report back": func(t *rapid.T) {
				if d.nb == nil {
					t.Skip("no agent")
				}
				d.held = append(d.held, d.report())
			},
			"deliver an old one": func(t *rapid.T) {
				if len(d.held) == 0 {
					t.Skip("none")
				}
				i := rapid.IntRange(0, len(d.held)-1).Draw(t, "which")
				d.deliver(d.held[i], true)
			},
			"a lost write lands": func(t *rapid.T) {
				if len(d.late) == 0 {
					t.Skip("none")
				}
				d.land()
			},
			"commit": commit, "commit more": commit,
			"want": func(t *rapid.T) { d.wanted = rapid.Bool().Draw(t, "wanted") },
			"pass": pass, "pass more": pass, "pass still more": pass,
			"stop": func(t *rapid.T) {
				if !d.ending {
					t.Skip("not told to")
				}
				d.nb, d.ending = nil, false
			},
			"start": func(t *rapid.T) {
				if d.nb != nil || d.parked {
					t.Skip("not to be started")
				}
				d.start()
			},
			"machine lost": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "rarely") > 0 {
					t.Skip("not now")
				}
				d.nb, d.ending = nil, false
			},
			"new leader": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "rarely") > 0 {
					t.Skip("not now")
				}
				d.lead(d.m.Policies)
			},
		})
		parks += d.parks
		d.land()
		// All works again: the user returns.
		var r Record
		d.settle(0)
		_ = json.Unmarshal(d.kv[Key(id)].Value, &r)
		d.talk(5 * time.Second)
		had := -1
		if r.Checkpoint != nil && r.Reclaimed {
			had = d.saves[r.Checkpoint.Ref]
		}
		status := noReply
		for range 5 {
			d.m.Attach(d.now, id, "user", func(r Result, err error) { status = outcomeOf(r, err) })
			d.talk(3 * time.Second)
		}
		if status != accepted || d.state() != Active || d.nb == nil || d.nb.frozen {
			t.Fatalf("%s, %s, notebook %+v", status, d.state(), d.nb)
		}
		if had >= 0 {
			if resumed++; d.nb.work != had {
				t.Fatalf("resumed with %d steps, %d were saved", d.nb.work, had)
			}
		}
	})
	if parks < 200 || resumed < 15 {
		t.Fatalf("%d parked, %d resumed: the model does not exercise the code", parks, resumed)
	}
}

// A session goes its way: idle, warned, saved, reclaimed, resumed.
func TestReclaimAndResume(t *testing.T) {
	d := newDesk(t, policies(t))
	d.open()
	d.start()
	d.nb.work = 7
	want := func(s State) {
		t.Helper()
		if d.state() != s {
			t.Fatalf("%s, want %s: %v", d.state(), s, explain(d))
		}
	}
	d.talk(25 * time.Second)
	want(Active)
	d.talk(10 * time.Second)
	want(Idle)
	d.talk(45 * time.Second)
	want(Idle)
	d.talk(16 * time.Second)
	want(Warned)
	if v, _ := d.m.Show(d.now, id); v.ReclaimInS <= 0 || v.ReclaimInS > 10 || v.Cause == "" {
		t.Fatalf("a warning without when and why: %+v", v)
	}
	d.talk(15 * time.Second)
	want(Reclaimed)
	if d.nb != nil || d.parks != 1 {
		t.Fatalf("the task is still there: %+v", d.nb)
	}
	d.talk(time.Hour)
	d.m.Attach(d.now, id, "user", func(Result, error) {})
	d.settle(0)
	want(Opening)
	d.talk(3 * time.Second)
	if want(Active); d.nb.work != 7 {
		t.Fatalf("resumed with %d steps of 7", d.nb.work)
	}
}

func explain(d *desk) []string {
	out, _ := d.m.Explain(d.now, id)
	return out
}

// Somebody who waits shortens an idle session's time, but takes no session that is used; and when
// nobody waits any more at the end of the warning, nothing is reclaimed.
func TestReclaimedOnlyWhereItHelps(t *testing.T) {
	d := newDesk(t, policies(t))
	d.open()
	d.start()
	d.wanted = true
	d.talk(25 * time.Second)
	if d.state() != Active {
		t.Fatalf("%s while it is used", d.state())
	}
	d.talk(15 * time.Second)
	if d.state() != Warned || !strings.Contains(strings.Join(explain(d), " "), "req-000009 waits") {
		t.Fatalf("%s: %v", d.state(), explain(d))
	}
	d.wanted = false
	if d.talk(12 * time.Second); d.state() != Idle {
		t.Fatalf("%s though nobody waits any more", d.state())
	}
}

// A cell that runs for hours without any input is not idleness, whatever the policy says.
func TestLongCell(t *testing.T) {
	p := policies(t)
	p.Default.Rule = rule(t, "input_s > 1")
	d := newDesk(t, p)
	d.open()
	d.start()
	d.nb.cell = d.now
	for range 5 * 60 {
		if d.talk(time.Minute); d.state() != Active {
			t.Fatalf("%s while a cell runs", d.state())
		}
	}
	if why := strings.Join(explain(d), " "); !strings.Contains(why, "a cell has been running for 5h0m") {
		t.Fatalf("explained as: %s", why)
	}
}

// A session whose machine dies resumes from the last save of its own that was kept, also the one
// it made while it was being stopped.
func TestOwnSaves(t *testing.T) {
	d := newDesk(t, policies(t))
	d.open()
	d.start()
	d.talk(2 * time.Second)
	own := func(work int) {
		d.nb.work, d.nb.saved, d.nb.own, d.nb.input = work, work, fmt.Sprint("own-", work), d.now
		d.saves[d.nb.own] = work
	}
	own(3)
	d.talk(2 * time.Second)
	own(4)
	if d.talk(2 * time.Second); d.nb.kept != "own-3" {
		t.Fatalf("kept %q two seconds after the last", d.nb.kept)
	}
	if d.talk(10 * time.Second); d.nb.kept != "own-4" {
		t.Fatalf("kept %q", d.nb.kept)
	}
	own(5)
	d.ending = true
	d.deliver(d.report(), false)
	d.settle(0)
	if d.deliver(d.report(), false); d.nb.kept != "own-5" {
		t.Fatalf("kept %q of what it saved at its end", d.nb.kept)
	}
	d.nb, d.ending = nil, false
	if d.talk(4 * time.Second); d.nb.work != 5 || d.state() != Active || d.nb.frozen {
		t.Fatalf("%s with %+v", d.state(), d.nb)
	}
}

// Silence of an agent is doubt, not idleness: nothing is reclaimed by it, before or after the
// warning, until the fleet knows that the task is gone.
func TestSilentAgent(t *testing.T) {
	d := newDesk(t, policies(t))
	d.open()
	d.start()
	d.talk(40 * time.Second)
	d.pass(30 * time.Minute)
	if d.state() != Idle || d.parks > 0 || !strings.Contains(strings.Join(explain(d), " "), "not reclaimed on doubt") {
		t.Fatalf("%s: %v", d.state(), explain(d))
	}
	d.talk(time.Second)
	if d.state() != Warned {
		t.Fatalf("%s, heard again and idle beyond its limit", d.state())
	}
	if d.pass(25 * time.Second); d.state() != Idle {
		t.Fatalf("%s with a silent agent", d.state())
	}
	d.nb = nil
	if d.pass(time.Minute); d.state() != Lost {
		t.Fatalf("%s, its task is gone", d.state())
	}
}

// A save that fails or takes too long ends the reclaim; the next try comes later each time.
func TestSaveFails(t *testing.T) {
	d := newDesk(t, policies(t))
	d.open()
	d.start()
	d.talk(96 * time.Second)
	for d.state() != Checkpointing {
		d.pass(time.Second)
		_, _ = d.m.HandleHeartbeat(d.now, id, "agent", d.report())
	}
	if d.pass(9 * time.Second); d.state() != Idle || d.parks > 0 {
		t.Fatalf("%s after a save that takes too long", d.state())
	}
	for try := 1; try <= 3; try++ {
		from := d.now
		for d.state() != Checkpointing {
			if d.now-from > time.Hour {
				t.Fatal("never tried again")
			}
			d.pass(time.Second)
			_, _ = d.m.HandleHeartbeat(d.now, id, "agent", d.report())
		}
		if wait := d.now - from; wait < time.Duration(10<<try)*time.Second {
			t.Fatalf("tried again after %v", wait)
		}
		r := d.report()
		r.Checkpoint = &CheckpointResult{Order: d.m.byID[id].reclaim.checkpointOrder, Cause: "disk full"}
		if _, _ = d.m.HandleHeartbeat(d.now, id, "agent", r); d.state() != Idle {
			t.Fatalf("%s after a save that failed", d.state())
		}
	}
}

// saving brings a session with unsaved work to the point where its save was just ordered.
func saving(t *testing.T) *desk {
	d := newDesk(t, policies(t))
	d.open()
	d.start()
	d.talk(2 * time.Second)
	d.nb.work = 5
	for d.state() != Checkpointing {
		if d.now > 2*time.Hour {
			t.Fatal("never saved")
		}
		d.pass(time.Second)
		_, _ = d.m.HandleHeartbeat(d.now, id, "agent", d.report())
	}
	return d
}

// The user returns a second after the save was ordered. Before it is done the session just goes on;
// once its reclaim is being written, the answer waits and the session resumes with all its work,
// and the process that is being stopped is not thawed for it.
func TestReturnWhileSaving(t *testing.T) {
	d := saving(t)
	d.pass(time.Second)
	back := noReply
	d.m.Attach(d.now, id, "user", func(r Result, err error) { back = outcomeOf(r, err) })
	if back != accepted || d.state() != Active {
		t.Fatalf("%s, %s", back, d.state())
	}
	d.nb.frozen, d.nb.fresh = true, false // the order reached it before
	if d.deliver(d.report(), false); d.nb.frozen || d.parks > 0 {
		t.Fatal("not thawed")
	}

	d = saving(t)
	d.deliver(d.report(), false) // it saves and freezes
	d.deliver(d.report(), false) // and says so
	if d.state() != Checkpointing || len(d.commits) != 1 {
		t.Fatalf("%s with %d writes", d.state(), len(d.commits))
	}
	if d.deliver(d.report(), false); !d.nb.frozen {
		t.Fatal("thawed while its reclaim is being written")
	}
	back = noReply
	d.m.Attach(d.now, id, "user", func(r Result, err error) { back = outcomeOf(r, err) })
	if back != noReply {
		t.Fatalf("%s while the reclaim is open", back)
	}
	d.settle(0)
	if back != accepted || d.state() != Opening || d.parked {
		t.Fatalf("%s, %s, parked %v", back, d.state(), d.parked)
	}
	if d.deliver(d.report(), false); !d.nb.frozen {
		t.Fatal("the process that is being stopped was thawed")
	}
	if d.talk(3 * time.Second); d.state() != Active || d.nb.work != 5 || d.nb.frozen {
		t.Fatalf("%s with %+v", d.state(), d.nb)
	}
}

// The write that makes a reclaim durable is lost, the session goes on, and then the write lands after
// all: it must not be what the next leader reads, or it would stop a session that is in use.
func TestReclaimLandsLate(t *testing.T) {
	d := saving(t)
	d.deliver(d.report(), false)
	d.deliver(d.report(), false)
	d.settle(3)
	if d.deliver(d.report(), false); !d.nb.frozen {
		t.Fatal("thawed while it is open whether it is reclaimed")
	}
	d.pass(time.Second)
	d.settle(0)
	if d.state() != Idle {
		t.Fatalf("%s after a write that was lost", d.state())
	}
	d.deliver(d.report(), false)
	if d.nb.frozen {
		t.Fatal("not thawed")
	}
	d.nb.work++
	d.land()
	d.lead(d.m.Policies)
	if d.parks > 0 || d.state() != Opening {
		t.Fatalf("parked %d times, %s", d.parks, d.state())
	}
}

// The machine dies while the reclaim is being written and another process starts: it stays frozen until
// that is known, and then what is durable counts.
func TestMachineLostWhileReclaiming(t *testing.T) {
	for outcome, want := range map[int]State{0: Reclaimed, 1: Active} {
		d := saving(t)
		d.deliver(d.report(), false)
		d.deliver(d.report(), false)
		d.start()
		if d.deliver(d.report(), false); !d.nb.frozen {
			t.Fatal("the new process was thawed")
		}
		d.settle(outcome)
		if d.deliver(d.report(), false); d.state() != want || (want == Reclaimed) != (d.parks == 1) || d.nb.frozen != (want == Reclaimed) {
			t.Fatalf("outcome %d: %s, parked %d times, %+v", outcome, d.state(), d.parks, d.nb)
		}
	}
}

// An id whose job has ended and was archived isn't given to a session.
func TestIdOfAnArchivedJobIsTaken(t *testing.T) {
	d := newDesk(t, policies(t))
	d.rev++
	d.kv[archive.Key(id)] = store.Item{Key: archive.Key(id), Value: archive.Encode(archive.Answer{State: jobs.Done, Tasks: 1, Done: 1}), Version: d.rev}
	spec := &jobs.Spec{ID: id, Class: "c", Team: "t", Kind: jobs.Service, Priority: "standard", Tasks: 1, CPUs: 1, Image: "i"}
	status := noReply
	d.m.Open(d.now, &Request{Spec: spec, User: "kana", UserTokenDigest: TokenDigest("user"), AgentTokenDigest: TokenDigest("agent")}, func(r Result, err error) { status = outcomeOf(r, err) })
	if d.settle(0); status != conflict || d.kv[jobs.RecordKey(id)].Version != 0 || d.m.Exists(id) {
		t.Errorf("%s, the job's record at version %d", status, d.kv[jobs.RecordKey(id)].Version)
	}
}

// Opening a session whose first answer was lost, and whose write landed late, finds it.
func TestOpeningLandsLate(t *testing.T) {
	d := newDesk(t, policies(t))
	spec := &jobs.Spec{ID: id, Class: "c", Team: "t", Kind: jobs.Service, Priority: "standard", Tasks: 1, CPUs: 1, Image: "i"}
	open := func(token string) (status outcome) {
		d.m.Open(d.now, &Request{Spec: spec, User: "kana", UserTokenDigest: TokenDigest(token), AgentTokenDigest: TokenDigest("agent")}, func(r Result, err error) { status = outcomeOf(r, err) })
		d.settle(3)
		return status
	}
	if s := open("user"); s != unavailable {
		t.Fatalf("%s for a write that was lost", s)
	}
	d.land()
	item := d.kv[jobs.RecordKey(id)]
	_, _, _ = d.book.Apply(id, item.Value, item.Version) // as its follow brings it
	if s := open("another"); s != conflict {
		t.Fatalf("%s for another's id", s)
	}
	if s := open("user"); s != accepted || d.state() != Opening {
		t.Fatalf("%s, %s for the user's retry", s, d.state())
	}
}

// What an agent says counts only if it is new, about the save that was ordered, and leaves nothing
// unsaved.
func TestWhatDoesNotReclaim(t *testing.T) {
	for name, change := range map[string]func(d *desk, r *Heartbeat){
		"another order": func(d *desk, r *Heartbeat) { r.Checkpoint.Order-- },
		"not frozen":    func(d *desk, r *Heartbeat) { r.Frozen = false },
		"unsaved work":  func(d *desk, r *Heartbeat) { r.UnsavedMB = 0.1 },
		"input":         func(d *desk, r *Heartbeat) { r.SinceInputS = 0 },
		"a cell":        func(d *desk, r *Heartbeat) { r.CellRunning = true },
		"a failed save": func(d *desk, r *Heartbeat) { r.Checkpoint.OK = false },
		"an old report": func(d *desk, r *Heartbeat) { r.Seq-- },
		"another task":  func(d *desk, r *Heartbeat) { r.Attempt++ },
	} {
		d := saving(t)
		d.pass(time.Second)
		d.deliver(d.report(), false)
		r := d.report()
		sv := *r.Checkpoint
		r.Checkpoint = &sv
		change(d, &r)
		_, _ = d.m.HandleHeartbeat(d.now, id, "agent", r)
		if d.settle(0); d.parks > 0 || d.state() == Reclaimed {
			t.Errorf("reclaimed in spite of %s", name)
		}
	}
	d := saving(t)
	d.deliver(d.report(), false)
	_, _ = d.m.HandleHeartbeat(d.now, id, "agent", d.report())
	if d.settle(0); d.parks != 1 {
		t.Fatalf("%s without any of these", d.state())
	}
}

// Tokens, limits, the later of two attaches, and a flood of keep-alives.
func TestWhoMayWhat(t *testing.T) {
	d := newDesk(t, policies(t))
	d.open()
	d.start()
	d.talk(2 * time.Second)
	var first, second Result
	errNoReply := errors.New("no reply")
	firstErr, secondErr, wrongErr := errNoReply, errNoReply, errNoReply
	d.m.Attach(d.now, id, "user", func(r Result, err error) { first, firstErr = r, err })
	d.m.Attach(d.now, id, "user", func(r Result, err error) { second, secondErr = r, err })
	d.m.Attach(d.now, id, "agent", func(_ Result, err error) { wrongErr = err })
	if outcomeOf(first, firstErr) != accepted ||
		outcomeOf(second, secondErr) != accepted ||
		outcomeOf(Result{}, wrongErr) != forbidden {
		t.Fatalf("attached with %v, %v, and another's token %v", firstErr, secondErr, wrongErr)
	}
	if got := outcomeOf(d.m.KeepAlive(d.now, id, "user", first.View.AttachmentID)); got != conflict {
		t.Fatalf("the earlier of two attaches keeps it alive: %s", got)
	}
	taken := 0
	for range 1000 {
		switch got := outcomeOf(d.m.KeepAlive(d.now, id, "user", second.View.AttachmentID)); got {
		case accepted:
			taken++
		case tooFrequent:
		default:
			t.Fatalf("a keep-alive ends with %s", got)
		}
	}
	if taken != 1 {
		t.Fatalf("%d of 1000 keep-alives of an instant were taken", taken)
	}
	_, unknownErr := d.m.KeepAlive(d.now, "req-000002", "user", 0)
	_, guessErr := d.m.KeepAlive(d.now, id, "guess", 0)
	if outcomeOf(Result{}, unknownErr) != forbidden || guessErr == nil || unknownErr.Error() != guessErr.Error() {
		t.Fatalf("an unknown session is told from another's: %v, %v", unknownErr, guessErr)
	}
	if _, err := d.m.HandleHeartbeat(d.now, id, "user", d.report()); outcomeOf(Result{}, err) != forbidden {
		t.Fatalf("the user's token speaks for the agent: %v", err)
	}
	open := func(n int, user, team string) (status outcome) {
		spec := &jobs.Spec{ID: fmt.Sprintf("req-%06d", n), Class: "c", Team: team, Kind: jobs.Service, Priority: "standard", Tasks: 1, CPUs: 1, Image: "i"}
		d.m.Open(d.now, &Request{Spec: spec, User: user, UserTokenDigest: TokenDigest("a"), AgentTokenDigest: TokenDigest("b")}, func(r Result, err error) { status = outcomeOf(r, err) })
		return status
	}
	open(2, "kana", "t")
	if s := open(3, "kana", "u"); s != conflict {
		t.Fatalf("%s for a user's third, with one still being written", s)
	}
	open(4, "ren", "t")
	d.settle(0)
	if s := open(5, "mio", "t"); s != conflict {
		t.Fatalf("%s for a team's fourth", s)
	}
	if s := open(1, "kana", "t"); s != conflict {
		t.Fatalf("%s for another's id", s)
	}
}

// What operators write is checked when it is read; a policy can't run for long.
func TestRules(t *testing.T) {
	for text, want := range map[string]string{
		"input_s >": "file.hcl:3,5", "inputs > 3": "unknown name inputs", "input_s": "expected bool", `all(1..1000000000, # > 0)`: "not allowed",
		"1..1000000 == nil": "not allowed", `user matches "(a+)+$"`: "not allowed", `len(user) > 2`: "not allowed", "let a = 1; a > 2": "not allowed",
		strings.Repeat("input_s > 1 && ", 40) + "cell": "node",
	} {
		if _, err := CompileRule(text, "file.hcl:3,5"); err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), "file.hcl:3,5") {
			t.Errorf("%.40s: error %v does not say %q", text, err, want)
		}
	}
	r := rule(t, `input_s > 900 && (cpu < 0.1 || team == "red") and gpu == 0`)
	a := Activity{SinceInputS: 901, CPU: 3, Team: "red"}
	if !r.Idle(a) || r.UnmetConditions(a) != nil {
		t.Fatalf("not idle: %v", r.UnmetConditions(a))
	}
	a.SinceInputS, a.GPU = 12, 1
	if why := r.UnmetConditions(a); r.Idle(a) || len(why) != 2 || !strings.Contains(why[0], "input_s > 900") || !strings.Contains(why[1], "gpu == 0") {
		t.Fatalf("against it: %q", why)
	}
	a = Activity{SinceInputS: 1e6, CellRunning: true, CellRunningS: 60}
	if r.Idle(a) {
		t.Fatal("idle with a cell running")
	}
}

// Other limits count in their hours, to the second, and a quiet session is looked at when they
// change.
func TestHoursOfTheWeek(t *testing.T) {
	p := policies(t)
	w, err := calendar.Parse("Fri", "18:00", "23:00", "Asia/Tokyo")
	if err != nil {
		t.Fatal(err)
	}
	friday := p.Default.Limits
	friday.IdleLimit, friday.Source = 35*time.Second, "Friday"
	p.Default.IdleLimit = 0
	p.Default.Windows = []WindowLimits{{friday, w}}
	d := newDesk(t, p)
	start := time.Date(2026, 12, 4, 17, 58, 0, 0, time.FixedZone("", 9*3600))
	base := d.now
	d.m.Wall = func(now time.Duration) time.Time { return start.Add(now - base) }
	d.open()
	d.start()
	if d.talk(118 * time.Second); d.state() != Idle {
		t.Fatalf("%s before the hour", d.state())
	}
	if d.talk(4 * time.Second); d.state() != Warned {
		t.Fatalf("%s in the hour: %v", d.state(), explain(d))
	}
}

// An agent whose clock runs by the allowed drift differently, and a controller whose time of day is wrong or
// jumps, change nothing: only ages count, and only the controller's steady clock adds to them.
func TestClocks(t *testing.T) {
	for _, drift := range []float64{0.9995, 1, 1.0005} {
		d := newDesk(t, policies(t))
		jump := time.Duration(0)
		d.m.Wall = func(now time.Duration) time.Time { return time.Unix(1_790_000_000, 0).Add(now + jump) }
		d.open()
		d.start()
		d.talk(2 * time.Second)
		for i := range 600 { // an hour of work, with input every six seconds
			d.pass(6 * time.Second)
			jump = time.Duration(i%3-1) * time.Hour
			d.nb.input = d.now - time.Duration(float64(time.Second)*drift)
			if d.deliver(d.report(), false); d.state() != Active {
				t.Fatalf("drift %v: %s while it is used", drift, d.state())
			}
		}
		from := d.now
		for d.state() != Reclaimed {
			if d.talk(time.Second); d.now-from > 2*time.Minute {
				t.Fatalf("drift %v: %s two minutes later", drift, d.state())
			}
		}
		if took := d.now - from; took < 99*time.Second || took > 106*time.Second {
			t.Fatalf("drift %v: reclaimed after %v, idle for 30 s, limit 60 s, warning 10 s", drift, took)
		}
	}
}

// A session whose job has ended otherwise can't be attached to, now or later.
func TestAttachAfterTheJobEnded(t *testing.T) {
	d := newDesk(t, policies(t))
	d.open()
	job := d.book.Get(id)
	d.rev++
	if _, _, err := d.book.Apply(id, jobs.EncodeRecord(jobs.Cancelled, 0, 1, job.Spec), d.rev); err != nil {
		t.Fatal(err)
	}
	status := noReply
	d.m.Attach(d.now, id, "user", func(r Result, err error) { status = outcomeOf(r, err) })
	if status != ended {
		t.Fatalf("%s for a session whose job has ended", status)
	}
}

// Closing is final and leaves no record; a session whose job was cancelled otherwise goes too.
func TestClose(t *testing.T) {
	for _, otherwise := range []bool{false, true} {
		d := newDesk(t, policies(t))
		d.open()
		d.start()
		d.talk(2 * time.Second)
		if otherwise {
			job := d.book.Get(id)
			d.rev++
			_, _, _ = d.book.Apply(id, jobs.EncodeRecord(jobs.Cancelled, 0, 1, job.Spec), d.rev)
			d.pass(time.Minute)
			d.settle(0)
		} else {
			status := noReply
			d.m.Close(id, "guess", func(r Result, err error) { status = outcomeOf(r, err) })
			if status != forbidden {
				t.Fatalf("%s for another's token", status)
			}
			d.m.Close(id, "user", func(r Result, err error) { status = outcomeOf(r, err) })
			if d.settle(0); status != accepted || d.book.Get(id).State != jobs.Cancelled {
				t.Fatalf("%s, job %s", status, d.book.Get(id).State)
			}
		}
		if d.state() != Closed || d.kv[Key(id)].Version != 0 || d.m.sessionsByUser["kana"] != 0 || d.m.sessionsByTeam["t"] != 0 {
			t.Fatalf("left behind: %s, %+v, %v, %v", d.state(), d.kv[Key(id)], d.m.sessionsByUser, d.m.sessionsByTeam)
		}
	}
}

// BenchmarkTick is a second of ten thousand open sessions whose agents report every five.
func BenchmarkTick(b *testing.B) {
	p := policies(b)
	p.MaxPerUser, p.MaxPerTeam, p.Default.IdleLimit = 0, 0, time.Hour
	m := New(Env{
		Policies: p, Jobs: jobs.NewTable(0), Wall: func(now time.Duration) time.Time { return time.Unix(0, 0).Add(now) },
		TaskOf: func(*jobs.Job) Task { return Task{On: true} }, Now: func() time.Duration { return 0 },
		WaitingFor: func(_ time.Duration, of []*jobs.Job) []string { return make([]string, len(of)) },
	}, 1)
	const n = 10_000
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprintf("req-%06d", i)
		spec := &jobs.Spec{ID: ids[i], Team: "t", Kind: jobs.Service, Priority: "standard", Tasks: 1}
		if _, _, err := m.Jobs.Apply(ids[i], jobs.EncodeRecord(jobs.Pending, 0, 1, spec), 1); err != nil {
			b.Fatal(err)
		}
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range ids {
		m.add(0, ids[i], Record{User: "u", Team: "t", UserTokenDigest: TokenDigest("user"), AgentTokenDigest: TokenDigest("agent")}, 1)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	now, k := time.Duration(0), 0
	b.ReportAllocs()
	for b.Loop() {
		for range 20 {
			now += 50 * time.Millisecond
			m.Tick(now)
		}
		for range n / 5 {
			k++
			heartbeat := Heartbeat{Attempt: 1, Seq: uint64(k/n + 1), SinceInputS: float64(k % 3600)}
			if _, err := m.HandleHeartbeat(now, ids[k%n], "agent", heartbeat); err != nil {
				b.Fatal(err)
			}
		}
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "B/session")
}
