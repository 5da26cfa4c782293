package simulator

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/capacity"
	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/rollout"
	"github.com/harewalk/harewalk/internal/store"
)

// rolling is a simulated cluster through a rollout, with a load that goes on.
type rolling struct {
	beside time.Duration // the longest wait of a job beside room, once all was well
	*World
	t     *testing.T
	rng   *rand.Rand
	users []*simUser
	until time.Duration // jobs arrive until then

	formats map[string]int // of each key, as last seen

	sessions []*simSession // interactive ones, of the scenarios that have any
}

// newRolling starts a cluster whose controllers all run the former release, or the newest one.
func newRolling(t *testing.T, seed uint64, controllers int, knows rollout.Level, words string) *rolling {
	t.Helper()
	return newRollingOn(t, seed, controllers, knows, words, 14, nil, []config.Team{{Name: "red", CPUs: 20, CPUsMax: 60}, {Name: "blue", CPUs: 20, CPUsMax: 100}})
}

// newRollingOn does so with a number of machines, types and teams.
func newRollingOn(t *testing.T, seed uint64, controllers int, knows rollout.Level, words string, machines int, types []capacity.MachineType, teams []config.Team) *rolling {
	t.Helper()
	w, err := Simulated(Config{
		Seed: seed, Machines: machines, Types: types, Controllers: controllers, Zones: []string{"a", "b", "c"}, Pools: map[string]int{"transcribe": 12}, Step: 20 * time.Millisecond,
		State: config.State{RPS: 400, WriteRPS: 60, ValueKB: 8, TxnOps: 24}, Teams: teams,
	},
		func(settings *config.Settings) error {
			if knows < rollout.Newest {
				settings.SimulateRelease(knows, Former)
			}
			return settings.ReadOperator("o.hcl", []byte(chaosPools+"rollout {\n"+words+"\n}\n"))
		})
	if err != nil {
		t.Fatal(err)
	}
	r := &rolling{World: w, t: t, rng: rand.New(rand.NewPCG(seed, 41))}
	r.watch()
	return r
}

// newRollingWith starts a cluster of three controllers whose settings are changed first.
func newRollingWith(t *testing.T, seed uint64, knows rollout.Level, change func(*config.Settings)) *rolling {
	t.Helper()
	w, err := Simulated(Config{
		Seed: seed, Machines: 30, Controllers: 3, Zones: []string{"a", "b", "c"}, Step: 50 * time.Millisecond,
		State: config.State{RPS: 400, WriteRPS: 60, ValueKB: 8, TxnOps: 24}, Teams: []config.Team{{Name: "red"}, {Name: "blue"}},
	},
		func(settings *config.Settings) error {
			if knows < rollout.Newest {
				settings.SimulateRelease(knows, Former)
			}
			change(settings)
			return settings.ReadOperator("o.hcl", []byte("archive {\n retain_s = 5\n}\n"))
		})
	if err != nil {
		t.Fatal(err)
	}
	r := &rolling{World: w, t: t, rng: rand.New(rand.NewPCG(seed, 41))}
	r.watch()
	return r
}

// load lets jobs arrive for a time, about two a second.
func (r *rolling) load(duration time.Duration) {
	r.until = r.Now() + duration
	var arrive func()
	arrive = func() {
		if r.Now() >= r.until {
			return
		}
		u := &simUser{w: r.World, rng: r.rng, spec: drawJob(r.rng, len(r.users)+1)}
		r.users = append(r.users, u)
		u.submit()
		if r.rng.IntN(8) == 0 {
			r.After(time.Duration(r.rng.IntN(15000))*time.Millisecond, u.cancel)
		}
		r.After(time.Duration(r.rng.IntN(1000))*time.Millisecond, arrive)
	}
	arrive()
}

// watch looks at what must hold at every moment: nobody acts at a level it doesn't know, at most one acts, the level
// never falls, and no record falls back to a former format.
func (r *rolling) watch() {
	r.formats = map[string]int{}
	level, last := rollout.Base, uint64(0)
	var look func()
	look = func() {
		now := r.Level()
		if now < level {
			r.Break("the level falls from %d to %d", level, now)
		}
		level = now
		ls := r.Leading()
		if len(ls) > 1 {
			r.Break("controllers %v believe that they may act", ls)
		}
		for _, i := range ls {
			if r.running(i) < level {
				r.Break("controller %d knows level %d and acts at level %d", i, r.running(i), level)
			}
		}
		newest := last
		for k, item := range r.Stored("h/") {
			if item.Version <= last {
				continue
			}
			newest = max(newest, item.Version)
			if f := rollout.FormatOf(item.Value); f < r.formats[k] {
				r.Break("%s falls from format %d to %d", k, r.formats[k], f)
			} else {
				r.formats[k] = f
			}
		}
		last = newest
		r.After(20*time.Millisecond, look)
	}
	look()
}

// view asks a controller where the rollout stands.
func (r *rolling) view(i int) (v rollout.View) {
	r.t.Helper()
	r.Ask(i, "GET", "/v2/rollout", nil, func(status int, raw []byte) {
		if err := json.Unmarshal(raw, &v); err != nil || status != 200 {
			r.t.Errorf("status %d: %s", status, raw)
		}
	})
	r.Advance(100 * time.Millisecond)
	return v
}

// say gives an operator's word and returns the answer.
func (r *rolling) say(op string) (status int, body string) {
	l, _ := r.Leader()
	if l < 0 {
		return 503, "nobody leads"
	}
	r.Ask(l, "POST", "/v2/rollout", []byte(fmt.Sprintf(`{"op":%q,"by":"test"}`, op)), func(s int, raw []byte) { status, body = s, string(raw) })
	r.Advance(200 * time.Millisecond)
	return status, body
}

// reach lets time pass until something holds.
func (r *rolling) reach(what string, most time.Duration, f func() bool) {
	r.t.Helper()
	for end := r.Now() + most; r.Now() < end; r.Advance(100 * time.Millisecond) {
		if f() {
			return
		}
	}
	l, _ := r.World.Leader()
	if l >= 0 {
		r.t.Logf("%+v", r.view(l))
	}
	r.t.Fatalf("%v: not %s after %v; level %d, broken %v", r.Now(), what, most, r.Level(), r.Broken())
}

// restart ends a controller and starts it with a release a little later.
func (r *rolling) restart(i int, knows rollout.Level) {
	r.KillController(i)
	r.Release(i, knows)
	r.Advance(time.Second)
	r.StartController(i)
}

// migrated tells whether the migration's end is durable.
func (r *rolling) migrated() bool {
	var m rollout.Migration
	return json.Unmarshal(r.Key("h/r/migration").Value, &m) == nil && m.Done && m.Level == rollout.Newest
}

// oldPlans counts the plans with a key of their own.
func (r *rolling) oldPlans() (n int) {
	for k := range r.Stored(jobs.PlanPrefix) {
		if !strings.HasPrefix(k, jobs.PlanPagePrefix) && !strings.HasPrefix(k, jobs.PlanPrefix+"images") {
			n++
		}
	}
	return n
}

// over waits for the end of all jobs and checks what users were told.
func (r *rolling) over() {
	r.t.Helper()
	for end := r.Now() + 10*time.Minute; r.Now() < end; r.Advance(2 * time.Second) {
		open := r.until > r.Now()
		for _, u := range r.users {
			open = open || len(u.told) < 4
		}
		if !open {
			break
		}
	}
	for _, b := range r.Broken() {
		r.t.Error(b)
	}
	for _, u := range r.users {
		switch {
		case len(u.told) == 0:
			r.t.Errorf("%s is not over (status %d)", u.spec.ID, u.status)
		case u.told[0] == "cancelled" && !u.asked && !r.AskedToEnd(u.spec.ID):
			r.t.Errorf("%s is cancelled, and nobody asked for it", u.spec.ID)
		}
		for _, s := range u.told {
			if s != u.told[0] {
				r.t.Errorf("%s was told %v", u.spec.ID, u.told)
			}
		}
	}
}

// A roll of five controllers in the order of the plan, under load: the lead moves once, the level rises by itself after
// the soak time, everything migrates, and hardly a second passes without a start.
func TestRollOfFive(t *testing.T) {
	r := newRolling(t, 51, 5, rollout.Base, "soak_s = 5")
	r.load(3 * time.Minute)
	r.Advance(30 * time.Second)
	if r.Level() != rollout.Base || r.oldPlans() == 0 {
		t.Fatalf("level %d, %d plans of the former form", r.Level(), r.oldPlans())
	}
	_, before := r.World.Leader()
	from, rolled := r.Now(), false
	r.Roll(rollout.Newest, 3*time.Second, nil, func() { rolled = true })
	r.reach("rolled", 2*time.Minute, func() bool { return rolled })
	r.reach("risen", 30*time.Second, func() bool { return r.Level() == rollout.Newest })
	if _, after := r.World.Leader(); after != before+1 {
		t.Errorf("the lead moved %d times", after-before)
	}
	gap := r.Gap(from, r.Now())
	r.reach("migrated", time.Minute, r.migrated)
	if n := r.oldPlans(); n > 0 {
		t.Errorf("%d plans of the former form", n)
	}
	t.Logf("rolled in %v, the longest time without a start %v", r.Now()-from, gap)
	if gap > 2*time.Second {
		t.Errorf("nothing started for %v", gap)
	}
	r.over()
}

// The leader dies between the transaction that lets the level rise and its answer; or the transaction lands only after
// operators have aborted, or after a controller has come back with the former release.
func TestRiseLate(t *testing.T) {
	for _, c := range []string{"the leader dies before the answer", "after an abort", "after an old one came back", "the answer is lost"} {
		t.Run(c, func(t *testing.T) {
			r := newRolling(t, 52, 3, rollout.Base, "finish = \"operator\"")
			r.load(70 * time.Second)
			rolled, caught := false, 0
			r.Roll(rollout.Newest, time.Second, nil, func() { rolled = true })
			r.reach("rolled", time.Minute, func() bool { return rolled })
			r.Advance(2 * time.Second)
			leader, _ := r.World.Leader()
			r.Watch(func(i int, tx store.Txn) Fate {
				for _, o := range tx.Then {
					if o.Put != "h/r/level" || caught > 0 {
						continue
					}
					caught++
					switch c {
					case "the answer is lost":
						return Fate{Unanswered: true}
					case "the leader dies before the answer":
						r.After(0, func() { r.KillController(i) })
						return Fate{Unanswered: true}
					}
					return Fate{Later: 1500 * time.Millisecond}
				}
				// The leader asks again after a second: that one must not hide what becomes of the first.
				if caught > 0 && len(tx.Then) > 0 && tx.Then[0].Put == "h/r/level" {
					return Fate{Never: true}
				}
				return Fate{}
			})
			if status, body := r.say("finish"); status != 200 {
				t.Fatalf("%d %s", status, body)
			}
			r.reach("sent", 5*time.Second, func() bool { return caught > 0 })
			want := rollout.Newest
			switch c {
			case "after an abort":
				// Whoever leads now may say so again; the word goes through before the rise does.
				r.reach("aborted", 2*time.Second, func() bool { s, _ := r.say("abort"); return s == 200 })
				want = rollout.Base
			case "after an old one came back":
				r.restart((leader+1)%3, rollout.Base)
				want = rollout.Base
			}
			r.Advance(12 * time.Second)
			r.Watch(nil)
			r.Advance(5 * time.Second)
			if r.Level() != want {
				t.Fatalf("level %d", r.Level())
			}
			for i := range 3 {
				if !r.Runs(i) {
					r.StartController(i)
				}
			}
			r.over()
		})
	}
}

// A controller is down while all others are rolled. Its last word was the former release's: nothing rises, and who asks
// is told so. It comes back as it was: nothing rises. Once it is new the level does; an old one that comes then
// stays out, does not end, and says what to do.
func TestOneComesBackOld(t *testing.T) {
	r := newRolling(t, 53, 3, rollout.Base, "soak_s = 2")
	r.load(2 * time.Minute)
	r.Advance(5 * time.Second)
	leader, _ := r.World.Leader()
	out := (leader + 1) % 3
	r.KillController(out)
	for i := range 3 {
		if i != out {
			r.restart(i, rollout.Newest)
			r.Advance(10 * time.Second)
		}
	}
	if r.Level() != rollout.Base {
		t.Fatal("the level rose, and one was down that doesn't know it")
	}
	if status, body := r.say("finish"); status != 409 || !strings.Contains(body, fmt.Sprintf("node-%d", out)) {
		t.Errorf("%d %s", status, body)
	}
	r.StartController(out)
	r.Advance(10 * time.Second)
	l, _ := r.World.Leader()
	if v := r.view(l); r.Level() != rollout.Base || len(v.Missing) != 1 || v.Restart != fmt.Sprintf("node-%d", out) {
		t.Errorf("level %d, %+v", r.Level(), v)
	}
	r.restart(out, rollout.Newest)
	r.reach("risen", 20*time.Second, func() bool { return r.Level() == rollout.Newest })
	r.reach("migrated", 30*time.Second, r.migrated)

	r.restart(out, rollout.Base)
	r.Advance(8 * time.Second)
	ups := 0
	for range 3 {
		r.Ask(out, "GET", "/up", nil, func(status int, _ []byte) {
			if ups++; status != 503 {
				t.Errorf("it says that it is well: %d", status)
			}
		})
		r.Ask(out, "POST", "/v2/runs", []byte(`{}`), func(status int, _ []byte) {
			if status == 201 {
				t.Error("it took a job")
			}
		})
		r.Advance(time.Second)
	}
	if v := r.view(out); ups != 3 || !r.Runs(out) || v.State != "behind" {
		t.Errorf("%d answers, runs %v, %+v", ups, r.Runs(out), v)
	}
	// Both others end: nobody leads rather than one that can't read what is stored.
	for i := range 3 {
		if i != out {
			r.KillController(i)
		}
	}
	r.Advance(15 * time.Second)
	if l, _ := r.World.Leader(); l >= 0 {
		t.Errorf("controller %d leads", l)
	}
	for i := range 3 {
		r.restart(i, rollout.Newest)
	}
	r.over()
}

// Forward, held, back, forward again, and back once more when it is too late, with work all the time.
func TestForwardAndBack(t *testing.T) {
	r := newRolling(t, 54, 3, rollout.Base, "soak_s = 2")
	r.load(3 * time.Minute)
	roll := func(to rollout.Level) {
		done := false
		r.Roll(to, time.Second, nil, func() { done = true })
		r.reach("rolled", 2*time.Minute, func() bool { return done })
	}
	if s, b := r.say("abort"); s != 503 && s != 200 {
		t.Fatalf("%d %s", s, b)
	}
	r.Advance(5 * time.Second)
	if s, b := r.say("abort"); s != 200 { // plan the way back from the start: nothing rises
		t.Fatalf("%d %s", s, b)
	}
	for i := range 3 {
		r.restart(i, rollout.Newest)
		r.Advance(8 * time.Second)
	}
	r.Advance(10 * time.Second)
	if r.Level() != rollout.Base {
		t.Fatal("it rose though it was aborted")
	}
	roll(rollout.Base) // nothing is lost
	if r.oldPlans() == 0 {
		t.Error("no plan stands in the form that the former release reads")
	}
	if s, b := r.say("free"); s != 200 {
		t.Fatalf("%d %s", s, b)
	}
	roll(rollout.Newest)
	r.reach("risen", 20*time.Second, func() bool { return r.Level() == rollout.Newest })
	if s, b := r.say("abort"); s != 409 || !strings.Contains(b, "can't read") {
		t.Errorf("an abort that comes too late: %d %s", s, b)
	}
	r.over()
}

// A leader of the former release has plans on their way when it ends; they land after the level has risen and the
// migration is over. None does anything.
func TestOldWritesLandLate(t *testing.T) {
	r := newRolling(t, 55, 3, rollout.Base, "finish = \"operator\"")
	r.load(90 * time.Second)
	r.Advance(5 * time.Second)
	leader, _ := r.World.Leader()
	for i := range 3 {
		if i != leader {
			r.restart(i, rollout.Newest)
		}
	}
	r.Advance(5 * time.Second)
	held := 0
	r.Watch(func(i int, tx store.Txn) Fate {
		if i == leader && r.running(i) == rollout.Base && len(tx.Then) > 0 && strings.HasPrefix(tx.Then[0].Put, jobs.PlanPrefix) {
			held++
			return Fate{Later: 40 * time.Second}
		}
		return Fate{}
	})
	r.reach("held back", 10*time.Second, func() bool { return held > 0 })
	r.restart(leader, rollout.Newest)
	r.Advance(4 * time.Second)
	r.reach("told", 10*time.Second, func() bool { s, _ := r.say("finish"); return s == 200 })
	r.reach("migrated", 20*time.Second, r.migrated)
	r.Advance(45 * time.Second)
	if n := r.oldPlans(); n > 0 {
		t.Errorf("%d plans in the former form", n)
	}
	r.over()
}

// The migration goes on where it was, through three takeovers, an outage of the state service, and a zone that is cut
// off with two of five controllers, the leader's among them.
func TestMigrationIsCut(t *testing.T) {
	for _, c := range []string{"takeovers", "outage", "zone"} {
		t.Run(c, func(t *testing.T) {
			r := newRolling(t, 56, 5, rollout.Base, "soak_s = 1")
			for i := range 150 { // many long jobs: there is something to migrate
				spec := &jobs.Spec{
					ID: fmt.Sprintf("req-9%05d", i), Class: "c", Team: "blue", Kind: jobs.Array, Priority: "best_effort", Tasks: 1, CPUs: 1, MemoryGB: 1,
					Image: "i", ImageGB: 1, EstimateS: 150, Spot: true,
				}
				u := &simUser{w: r.World, rng: r.rng, spec: spec}
				r.users = append(r.users, u)
				r.After(time.Duration(i*100)*time.Millisecond, u.submit)
			}
			r.Advance(40 * time.Second)
			rolled := false
			r.Roll(rollout.Newest, time.Second, nil, func() { rolled = true })
			r.reach("rolled", 2*time.Minute, func() bool { return rolled })
			r.reach("risen", 30*time.Second, func() bool { return r.Level() == rollout.Newest })
			// From here on only the leader's most urgent writes go through at once.
			start := r.oldPlans()
			switch c {
			case "takeovers":
				for range 3 {
					if l, _ := r.World.Leader(); l >= 0 {
						r.KillController(l)
						r.Advance(8 * time.Second)
						r.StartController(l)
					}
				}
			case "outage":
				r.Outage(true)
				r.Advance(15 * time.Second)
				r.Outage(false)
			case "zone":
				l, _ := r.World.Leader()
				zone := r.settings[l].Zone
				r.CutZone(zone, Held)
				r.Advance(20 * time.Second)
				if n, _ := r.World.Leader(); n < 0 || r.settings[n].Zone == zone {
					t.Errorf("controller %d leads, in a zone that is cut off", n)
				}
				r.CutZone(zone, Whole)
			}
			r.reach("migrated", 2*time.Minute, r.migrated)
			t.Logf("%d plans in the former form when the level rose", start)
			if start == 0 || r.oldPlans() != 0 {
				t.Errorf("%d plans to migrate, %d left", start, r.oldPlans())
			}
			r.over()
		})
	}
}

// A roll in which every second controller is killed while it drains.
func TestRollWithKills(t *testing.T) {
	r := newRolling(t, 57, 5, rollout.Base, "soak_s = 3")
	r.load(2 * time.Minute)
	r.Advance(5 * time.Second)
	rolled, n := false, 0
	r.Roll(rollout.Newest, 2*time.Second, func(int) bool { n++; return n%2 == 0 }, func() { rolled = true })
	r.reach("rolled", 3*time.Minute, func() bool { return rolled })
	r.reach("migrated", time.Minute, r.migrated)
	r.over()
}

// The leader stands still while another takes over and lets the level rise. When it goes on it still believes, for a
// moment, that it leads at the former level: it acts for nobody.
func TestRiseWhileTheLeaderStandsStill(t *testing.T) {
	r := newRolling(t, 58, 3, rollout.Base, "finish = \"operator\"")
	r.load(80 * time.Second)
	rolled := false
	r.Roll(rollout.Newest, time.Second, nil, func() { rolled = true })
	r.reach("rolled", time.Minute, func() bool { return rolled })
	old, _ := r.World.Leader()
	r.FreezeController(old, 25*time.Second)
	r.reach("led by another", 15*time.Second, func() bool { l, _ := r.World.Leader(); return l >= 0 && l != old })
	r.Advance(time.Second)
	r.reach("told", 10*time.Second, func() bool { s, _ := r.say("finish"); return s == 200 })
	r.reach("risen", 5*time.Second, func() bool { return r.Level() == rollout.Newest })
	r.over()
}

// In the middle of a rollout the leader is lost: whoever follows has the new release, if one that has it is there.
func TestSuccessorHasTheNewRelease(t *testing.T) {
	for seed := range uint64(8) {
		r := newRolling(t, 80+seed, 5, rollout.Base, "soak_s = 600")
		r.Advance(3 * time.Second)
		leader, _ := r.World.Leader()
		newer := (leader + 2) % 5
		r.restart(newer, rollout.Newest)
		r.Advance(8 * time.Second)
		if seed%2 == 0 {
			r.KillController(leader)
		} else {
			r.DrainController(leader, func() {})
		}
		r.Advance(12 * time.Second)
		if l, _ := r.World.Leader(); l != newer {
			t.Errorf("seed %d: controller %d leads, %d has the new release", 80+seed, l, newer)
		}
	}
}

// What can't be read is not skipped: a controller's announcement keeps the level down, a job's record and a plan keep
// the job from starting anywhere else, and status, figures and `job why` say so.
func TestUnreadableRecords(t *testing.T) {
	r := newRolling(t, 59, 3, rollout.Base, "soak_s = 2")
	r.Advance(3 * time.Second)
	leader, _ := r.World.Leader()
	other := (leader + 1) % 3
	key := rollout.AnnounceKey(fmt.Sprintf("node-%d", other))
	rolled := false
	r.Roll(rollout.Newest, time.Second, nil, func() { rolled = true })
	r.reach("rolled", time.Minute, func() bool { return rolled })
	r.Store(store.Op{Put: key, Value: json.RawMessage(`{"v":"?"}`)})
	r.Advance(10 * time.Second)
	l, _ := r.World.Leader()
	if v := r.view(l); r.Level() != rollout.Base || len(v.Unreadable) != 1 || v.Unreadable[0].Key != key || len(v.Missing) != 1 {
		t.Fatalf("level %d, %+v", r.Level(), v)
	}
	r.restart(other, rollout.Newest) // it says it anew
	r.reach("migrated", 30*time.Second, r.migrated)

	long := func(n int) *simUser {
		u := &simUser{w: r.World, rng: r.rng, spec: &jobs.Spec{
			ID: fmt.Sprintf("req-%06d", n), Class: "c", Team: "red", Kind: jobs.Array, Priority: "standard",
			Tasks: 3, CPUs: 1, MemoryGB: 1, Image: "i", ImageGB: 1, EstimateS: 25, Spot: true,
		}}
		u.submit()
		return u
	}
	a, b := long(1), long(2)
	r.reach("running", 20*time.Second, func() bool { return r.Look().Running == 6 })
	// Of a, the record is damaged; of both, the page with their plans. The next leader finds it so.
	r.Store(store.Op{Put: jobs.RecordKey("req-000001"), Value: json.RawMessage(`{"stance":"?"}`)})
	for k := range r.Stored(jobs.PlanPagePrefix) {
		r.Store(store.Op{Put: k, Value: json.RawMessage(`{"plans":7}`)})
	}
	l, _ = r.World.Leader()
	r.KillController(l)
	r.Advance(12 * time.Second)
	l2, _ := r.World.Leader()
	r.StartController(l)
	starts := r.Stats().Starts
	v := r.view(l2)
	if len(v.Unreadable) < 2 {
		t.Errorf("%+v", v.Unreadable)
	}
	why := ""
	r.Ask(l2, "GET", "/v2/runs/req-000002/why", nil, func(_ int, raw []byte) { why = string(raw) })
	r.Ask(l2, "GET", "/v2/runs/req-000001", nil, func(status int, _ []byte) {
		if status != 503 {
			t.Errorf("a job whose record can't be read is told with status %d", status)
		}
	})
	r.Advance(40 * time.Second)
	if r.Stats().Starts != starts || !strings.Contains(why, "unreadable") {
		t.Errorf("%d starts on a guess; why: %s", r.Stats().Starts-starts, why)
	}
	for _, x := range r.Broken() {
		t.Error(x)
	}
	_, _ = a, b
}

// A job's record is damaged, and every controller begins anew: none has ever read it. Its plan stands in a page that is
// written again and again meanwhile; it is kept there, and counts when the record can be read.
func TestPlanOfAnUnreadableRecordStays(t *testing.T) {
	r := newRolling(t, 62, 3, rollout.Newest, "")
	r.Advance(3 * time.Second)
	submit := func(n int) {
		u := &simUser{w: r.World, rng: r.rng, spec: &jobs.Spec{
			ID: fmt.Sprintf("req-%06d", n), Class: "c", Team: "blue", Kind: jobs.Array, Priority: "standard",
			Tasks: 3, CPUs: 1, MemoryGB: 1, Image: "i", ImageGB: 1, EstimateS: 30, Spot: true,
		}}
		r.users = append(r.users, u)
		u.submit()
	}
	submit(1)
	r.reach("running", 20*time.Second, func() bool { return r.Look().Running == 3 })
	key := jobs.RecordKey("req-000001")
	was := r.Key(key).Value
	r.Store(store.Op{Put: key, Value: json.RawMessage(`{"stance":"?"}`)})
	for i := range 3 {
		r.KillController(i)
	}
	r.Advance(time.Second)
	for i := range 3 {
		r.StartController(i)
	}
	r.Advance(5 * time.Second)
	for n := range 6 {
		submit(10 + n)
		r.Advance(time.Second)
	}
	kept := false
	for _, item := range r.Stored(jobs.PlanPagePrefix) {
		kept = kept || strings.Contains(string(item.Value), `"req-000001/000"`)
	}
	if !kept {
		t.Error("the plan of a job whose record can't be read was dropped")
	}
	// It can be read again: this leader doesn't know what runs of it and starts nothing, the next one reads both.
	r.Store(store.Op{Put: key, Value: was})
	r.Advance(time.Second)
	l, _ := r.World.Leader()
	why := ""
	r.Ask(l, "GET", "/v2/runs/req-000001/why", nil, func(_ int, raw []byte) { why = string(raw) })
	r.Advance(time.Second)
	if !strings.Contains(why, "unreadable") {
		t.Errorf("planned without its plan: %s", why)
	}
	r.KillController(l)
	r.Advance(5 * time.Second)
	r.StartController(l)
	r.over()
}

// A record in a format that this release doesn't know, written by one to come: whoever leads gives up, all stay out,
// and nobody ends.
func TestNewerFormatIsNotActedOn(t *testing.T) {
	r := newRolling(t, 60, 3, rollout.Newest, "")
	r.load(5 * time.Second)
	r.Advance(10 * time.Second)
	was := r.Key("h/r/migration").Value
	r.Store(store.Op{Put: "h/r/migration", Value: json.RawMessage(`{"v":7,"level":2}`)})
	r.Advance(10 * time.Second)
	if ls := r.Leading(); len(ls) > 0 {
		t.Errorf("controllers %v lead", ls)
	}
	for i := range 3 {
		if v := r.view(i); !r.Runs(i) || v.State != "behind" {
			t.Errorf("controller %d: %+v", i, v)
		}
	}
	delete(r.formats, "h/r/migration")
	r.Store(store.Op{Put: "h/r/migration", Value: was})
	r.Advance(20 * time.Second)
	r.over()
}

// Random rolls forward and back that overlap with kills, drains, freezes, cuts, outages and operators' words, under load.
func TestChaosOfRolls(t *testing.T) {
	seeds := 8
	if os.Getenv("HAREWALK_LONG") != "" {
		seeds = 240
	}
	risen, ends, starts, kills := 0, map[string]int{}, 0, 0
	for seed := range seeds {
		r := newRolling(t, uint64(100+seed), 3+2*(seed%2), rollout.Base, "soak_s = 3")
		rng := r.rng
		r.Network(time.Duration(1+rng.IntN(15))*time.Millisecond, 0.01, 0.01, 8*time.Second)
		r.load(100 * time.Second)
		n := r.Controllers()
		for at := time.Duration(0); at < 110*time.Second; at += time.Duration(rng.IntN(7000)) * time.Millisecond {
			i, duration := rng.IntN(n), time.Duration(500+rng.IntN(9000))*time.Millisecond
			what, zone, how := rng.IntN(14), []string{"a", "b", "c"}[rng.IntN(3)], Cut(1+rng.IntN(5))
			level := rollout.Level(1 + rng.IntN(2))
			if at > 60*time.Second {
				level = rollout.Newest
			}
			r.After(at, func() {
				switch what {
				case 0, 1, 2:
					r.KillController(i)
					r.After(duration/3, func() { r.Release(i, level); r.StartController(i) })
				case 3, 4:
					r.DrainController(i, func() { r.After(duration/4, func() { r.Release(i, level); r.StartController(i) }) })
				case 5:
					if l, _ := r.World.Leader(); l >= 0 && r.Runs(l) {
						r.FreezeController(l, duration)
					}
				case 6:
					during(duration, (*World).Outage)(r.World)
				case 7:
					during(duration, func(w *World, on bool) { w.Refuse(i, on) })(r.World)
				case 8, 9:
					r.CutZone(zone, how)
					r.After(duration, func() { r.CutZone(zone, Whole) })
				case 10:
					if l, _ := r.World.Leader(); l >= 0 {
						op := []string{"hold", "abort", "free", "finish"}[rng.IntN(4)]
						r.Ask(l, "POST", "/v2/rollout", []byte(fmt.Sprintf(`{"op":%q,"by":"chaos"}`, op)), func(int, []byte) {})
					}
				case 11:
					r.KillMachine()
				case 12:
					r.Hang(duration)
				case 13:
					done := false
					r.Roll(level, duration/4, nil, func() { done = true })
					_ = done
				}
			})
		}
		r.Advance(135 * time.Second)
		r.StopRoll()
		r.Advance(15 * time.Second)
		r.Network(2*time.Millisecond, 0, 0, 0)
		for _, z := range []string{"a", "b", "c"} {
			r.CutZone(z, Whole)
		}
		for i := range n {
			r.restart(i, rollout.Newest)
		}
		r.Advance(10 * time.Second)
		for range 5 {
			if s, _ := r.say("free"); s == 200 {
				break
			}
			r.Advance(3 * time.Second)
		}
		r.reach("risen", time.Minute, func() bool { return r.Level() == rollout.Newest })
		r.reach("migrated", time.Minute, r.migrated)
		risen++
		r.over()
		for _, u := range r.users {
			if len(u.told) > 0 {
				ends[u.told[0]]++
			}
		}
		s := r.Stats()
		starts, kills = starts+s.Starts, kills+s.Kills
		if t.Failed() {
			t.Fatalf("seed %d", 100+seed)
		}
	}
	t.Logf("%d seeds, %d risen: %v; %d starts, %d controllers killed", seeds, risen, ends, starts, kills)
}

// Every machine is gone while no controller runs. Those who lead then hear nobody; they must not hand the lead to and
// fro for ever, each counting the leases from its own beginning, but rent anew once they have run out.
func TestEveryMachineGone(t *testing.T) {
	r := newRolling(t, 61, 3, rollout.Newest, "")
	r.load(20 * time.Second)
	r.Advance(25 * time.Second)
	for _, z := range []string{"a", "b", "c"} {
		r.PowerLost(z)
	}
	r.Advance(5 * time.Second)
	_, term := r.World.Leader()
	for i := range 3 {
		r.StartController(i)
	}
	r.over()
	if _, now := r.World.Leader(); now > term+3 {
		t.Errorf("the lead passed %d times", now-term)
	}
}
