package rollout

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/harewalk/harewalk/internal/store"
)

// trio is a leader's rollout in a cluster of three, each in a zone of its own.
func trio(auto bool) *Rollout {
	r := New(Config{Node: "a", Nodes: []NodeConfig{{"c", "z3"}, {"a", "z1"}, {"b", "z2"}}, Release: "v0.21.0", MaxLevel: Paged, Auto: auto, Soak: 10 * time.Second})
	r.HandleItem(store.Item{Key: termKey, Value: EncodeTerm(Base, 1), Version: 1})
	r.HandleSynced()
	return r
}

// is lets a controller be there with a release, or be gone with hold 0.
func is(r *Rollout, node, release string, knows Level, hold, version uint64) {
	if hold == 0 {
		r.HandleDelete(memberPrefix+node, version)
		return
	}
	raw, _ := json.Marshal(Announcement{Node: node, Release: release, Level: knows, Lease: hold})
	r.HandleItem(store.Item{Key: AnnounceKey(node), Value: raw, Version: version})
	raw, _ = json.Marshal(map[string]any{"node": node, "hold": hold})
	r.HandleItem(store.Item{Key: memberPrefix + node, Value: raw, Version: version})
	r.HandleHealth(0, node, true)
}

// Who may be restarted next: one at a time, followers first, the leader last, towards the former release after an
// abort; nobody while another is out, the rollout is held or nobody leads.
func TestPlan(t *testing.T) {
	old, now := "v0.20.9", "v0.21.0"
	for _, c := range []struct {
		name     string
		releases [3]string // of a, b and c; "": down
		mode     Mode
		leader   string
		next     string
	}{
		{"nothing has begun", [3]string{old, old, old}, NoDirective, "a", "b"},
		{"one is done", [3]string{old, now, old}, NoDirective, "a", "c"},
		{"the leader is left", [3]string{old, now, now}, NoDirective, "a", "a"},
		{"all is done", [3]string{now, now, now}, NoDirective, "a", "b"},
		{"another is out", [3]string{old, now, ""}, NoDirective, "a", ""},
		{"held", [3]string{old, now, old}, PausedByOperator, "a", ""},
		{"aborted", [3]string{old, now, old}, AbortedByOperator, "a", "b"},
		{"aborted, the leader is new", [3]string{now, old, now}, AbortedByOperator, "a", "c"},
		{"nobody leads", [3]string{old, now, old}, NoDirective, "", ""},
	} {
		r := trio(true)
		for i, n := range []string{"a", "b", "c"} {
			if rel := c.releases[i]; rel != "" {
				is(r, n, rel, map[string]Level{old: Base, now: Paged}[rel], uint64(i+1), uint64(i+2))
			}
		}
		raw, _ := json.Marshal(Directive{Mode: c.mode})
		r.HandleItem(store.Item{Key: directiveKey, Value: raw, Version: 9})
		r.Tick(0, 0, MigrationProgress{})
		v := r.View(0, Cluster{Leader: c.leader})
		if v.Restart != c.next || v.Why == "" {
			t.Errorf("%s: %q (%s), want %q", c.name, v.Restart, v.Why, c.next)
		}
		for _, n := range v.Nodes {
			if (n.NotNextReason == "") != (n.Node == v.Restart) {
				t.Errorf("%s: %s is not next because of %q", c.name, n.Node, n.NotNextReason)
			}
		}
	}
}

// Of the controllers that are there the one with the newest release is to lead; in the middle of restarts, one that
// was restarted already.
func TestBefore(t *testing.T) {
	none := func(string) bool { return false }
	r := trio(true)
	is(r, "a", "v0.21.0", Paged, 1, 2)
	is(r, "b", "v0.21.0", Paged, 2, 3)
	is(r, "c", "v0.20.9", Base, 3, 4)
	if n := r.PreferredLeaders(1_000_000, none); n != 0 {
		t.Errorf("%d come first", n)
	}
	is(r, "b", "v0.22.0", Paged, 5, 6)
	if n := r.PreferredLeaders(1_000_000, none); n != 1 {
		t.Errorf("a newer one: %d come first", n)
	}
	if n := r.PreferredLeaders(1_000_000, func(n string) bool { return n == "b" }); n != 0 {
		t.Errorf("the newer one drains: %d come first", n)
	}
	raw, _ := json.Marshal(Announcement{Node: "b", Release: "v0.21.0", Level: Paged, Lease: 5, AtMS: 990_000})
	r.HandleItem(store.Item{Key: AnnounceKey("b"), Value: raw, Version: 7})
	if n := r.PreferredLeaders(1_000_000, none); n != 1 {
		t.Errorf("one that has just been restarted: %d come first", n)
	}
	if n := r.PreferredLeaders(990_000+restartWindow.Milliseconds(), none); n != 0 {
		t.Errorf("long ago: %d come first", n)
	}
}

// Operators' words: refused where they come too late or too early, on an old revision or by nobody's rules; and a
// finish counts for the rise that it was said of, not for the next.
func TestWords(t *testing.T) {
	r := trio(false)
	is(r, "a", "v0.21.0", Paged, 1, 2)
	is(r, "b", "v0.21.0", Paged, 2, 3)
	is(r, "c", "v0.20.9", Base, 3, 4)
	rev := uint64(3)
	for _, c := range []struct {
		cmd  Command
		want error
	}{
		{Command{Op: "finish"}, ErrEarly},
		{Command{Op: "stop"}, ErrMalformed},
		{Command{Op: "hold", By: strings.Repeat("x", 101)}, ErrMalformed},
		{Command{Op: "hold", Revision: &rev}, ErrChanged},
		{Command{Op: "abort"}, nil},
		{Command{Op: "hold"}, nil},
	} {
		if _, err := r.Execute(0, c.cmd, 0); !errors.Is(err, c.want) {
			t.Errorf("%+v: %v", c.cmd, err)
		}
	}
	is(r, "c", "v0.21.0", Paged, 4, 5)
	for now := time.Duration(0); now < time.Minute; now += time.Second {
		for _, n := range []string{"a", "b", "c"} {
			r.HandleHealth(now, n, true)
		}
		if _, due := r.Tick(now, 1, MigrationProgress{}); due {
			t.Fatal("it rose without operators' word")
		}
	}
	raw, _ := json.Marshal(Directive{Mode: FinishRequested, Level: Base})
	r.HandleItem(store.Item{Key: directiveKey, Value: raw, Version: 10})
	if _, due := r.Tick(time.Minute, 1, MigrationProgress{}); due {
		t.Fatal("it rose by a word that was said of an earlier rise")
	}
	x, err := r.Execute(time.Minute, Command{Op: "finish", By: "ana"}, 0)
	if err != nil {
		t.Fatal(err)
	}
	r.HandleItem(store.Item{Key: directiveKey, Value: x.Then[0].Value, Version: 11})
	x, due := r.Tick(time.Minute, 1, MigrationProgress{})
	if !due || x.Then[0].Put != levelKey || len(x.If) != 8 {
		t.Fatalf("%v %+v", due, x)
	}
	if r.HandleOutcome(time.Minute, x, store.Result{Outcome: store.Committed, Revision: 12}); r.Level() != Paged || r.State() != Upgrading {
		t.Fatalf("level %d, %s", r.Level(), r.State())
	}
	if _, err := r.Execute(time.Minute, Command{Op: "abort"}, 0); !errors.Is(err, ErrTooLate) {
		t.Errorf("an abort after the rise: %v", err)
	}
	// Each leader that takes the migration up says so once, and its end is told once.
	if _, due := r.Tick(2*time.Minute, 1, MigrationProgress{Left: 3}); due {
		t.Error("the same leader says again that it migrates")
	}
	x, due = r.Tick(2*time.Minute, 2, MigrationProgress{Left: 3})
	if !due {
		t.Fatal("another leader doesn't say that it goes on")
	}
	r.HandleOutcome(2*time.Minute, x, store.Result{Outcome: store.Committed, Revision: 13})
	x, due = r.Tick(2*time.Minute, 2, MigrationProgress{Done: true})
	if !due {
		t.Fatal("the end isn't told")
	}
	r.HandleOutcome(2*time.Minute, x, store.Result{Outcome: store.Committed, Revision: 14})
	if _, due := r.Tick(3*time.Minute, 2, MigrationProgress{Done: true}); due || !r.Migrated() || r.State() != Settled {
		t.Errorf("the end is told twice, or not known: %s", r.State())
	}
}

// The term in both formats, and by a reader that knows only the first: what it can't read leaves what it had.
func TestTermFormats(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		term := rapid.Uint64().Draw(t, "term")
		for _, l := range []Level{Base, Paged} {
			if got, err := DecodeTerm(EncodeTerm(l, term)); err != nil || got != term {
				t.Fatalf("level %d: %d %v", l, got, err)
			}
		}
		former := struct {
			Term uint64 `json:"term"`
		}{7}
		if json.Unmarshal(EncodeTerm(Base, term), &former) != nil || former.Term != term {
			t.Fatal("the former release can't read its own format")
		}
		if json.Unmarshal(EncodeTerm(Paged, term), &former) == nil {
			t.Fatal("the former release reads the term and could lead")
		}
	})
	for _, bad := range []string{`{"v":3,"term":"1"}`, `{"term":"x"}`, `{"term":-1}`, `[]`} {
		if n, err := DecodeTerm([]byte(bad)); err == nil {
			t.Errorf("%s: %d", bad, n)
		}
	}
}

// Every kind's written formats are among those it reads, levels only rise, and the longest prefix decides.
func TestTable(t *testing.T) {
	for _, row := range RecordFormats {
		last := Level(0)
		for _, w := range row.WriteFormats {
			if w.From <= last {
				t.Errorf("%s: levels out of order", row.Kind)
			}
			if last = w.From; w.Format > 0 && !strings.Contains(fmt.Sprint(row.ReadFormats), fmt.Sprint(w.Format)) {
				t.Errorf("%s writes format %d and doesn't read it", row.Kind, w.Format)
			}
		}
	}
	for key, kind := range map[string]string{"p/@/00003": "plan-page", "p/req-000001/000": "plan", "p/images/0": "image-hints", "h/c/term": "term", "h/r/n/a": "announcement", "x": ""} {
		if row, _ := RecordFormatOf(key); row.Kind != kind {
			t.Errorf("%s is taken for %q", key, row.Kind)
		}
	}
	if len(readFormats()) != len(RecordFormats) || writtenFormats(Base)["plan"] != 1 || writtenFormats(Paged)["plan"] != 0 || writtenFormats(Paged)["term"] != 2 {
		t.Error("what is announced is not what the table says")
	}
}
