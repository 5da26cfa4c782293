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

// testCluster is a simulated cluster through a rollout, with a load that goes on.
type testCluster struct {
	idleWait time.Duration // the longest wait of a job beside idle capacity, after the faults
	*Simulation
	t           *testing.T
	rng         *rand.Rand
	users       []*testUser
	submitUntil time.Duration // jobs arrive until then

	formats map[string]int // of each key, as last seen

	sessions []*testSession // interactive ones, of the scenarios that have any
}

// newTestCluster starts a cluster whose controllers all run the former release, or the newest one.
func newTestCluster(t *testing.T, seed uint64, controllers int, maxLevel rollout.Level, words string) *testCluster {
	t.Helper()
	return newTestClusterOn(
		t,
		seed,
		controllers,
		maxLevel,
		words,
		14,
		nil,
		[]config.Team{{Name: "red", CPUs: 20, CPUsMax: 60}, {Name: "blue", CPUs: 20, CPUsMax: 100}},
	)
}

// newTestClusterOn does so with a number of machines, types and teams.
func newTestClusterOn(
	t *testing.T,
	seed uint64,
	controllers int,
	maxLevel rollout.Level,
	words string,
	machines int,
	types []capacity.MachineType,
	teams []config.Team,
) *testCluster {
	t.Helper()
	return startCluster(t, 41, Config{
		Seed:         seed,
		MaxMachines:  machines,
		Types:        types,
		Controllers:  controllers,
		Zones:        zoneNames(),
		LicencePools: map[string]int{"transcribe": 12},
		TickInterval: 20 * time.Millisecond,
		State:        smallStateLimits(),
		Teams:        teams,
	},
		func(settings *config.Settings) error {
			if maxLevel < rollout.Newest {
				settings.SimulateRelease(maxLevel, FormerRelease)
			}
			return settings.ReadOperator("o.hcl", []byte(chaosPools+"rollout {\n"+words+"\n}\n"))
		})
}

// newTestClusterWith starts a cluster of three controllers whose settings are changed first.
func newTestClusterWith(t *testing.T, seed uint64, maxLevel rollout.Level, change func(*config.Settings)) *testCluster {
	t.Helper()
	return startCluster(t, 41, Config{
		Seed:         seed,
		MaxMachines:  30,
		Controllers:  3,
		Zones:        zoneNames(),
		TickInterval: 50 * time.Millisecond,
		State:        smallStateLimits(),
		Teams:        []config.Team{{Name: "red"}, {Name: "blue"}},
	},
		func(settings *config.Settings) error {
			if maxLevel < rollout.Newest {
				settings.SimulateRelease(maxLevel, FormerRelease)
			}
			change(settings)
			return settings.ReadOperator("o.hcl", []byte("archive {\n retain_s = 5\n}\n"))
		})
}

// submitJobs lets jobs arrive for a time, about two a second.
func (r *testCluster) submitJobs(duration time.Duration) {
	r.submitUntil = r.Now() + duration
	var arrive func()
	arrive = func() {
		if r.Now() >= r.submitUntil {
			return
		}
		user := r.submit(drawJob(r.rng, len(r.users)+1))
		if r.rng.IntN(8) == 0 {
			r.After(time.Duration(r.rng.IntN(15000))*time.Millisecond, user.cancel)
		}
		r.After(time.Duration(r.rng.IntN(1000))*time.Millisecond, arrive)
	}
	arrive()
}

// watchInvariants checks at every moment that no controller acts at a level it doesn't support, at most one acts,
// the level never falls, and no record falls back to a former format, but that of a job with predecessors as it ends.
func (r *testCluster) watchInvariants() {
	r.formats = map[string]int{}
	level, last := rollout.Base, uint64(0)
	var check func()
	check = func() {
		now := r.ClusterLevel()
		if now < level {
			r.ReportViolation("the level falls from %d to %d", level, now)
		}
		level = now
		ls := r.ActingLeaders()
		if len(ls) > 1 {
			r.ReportViolation("controllers %v may act by their own state", ls)
		}
		for _, i := range ls {
			if r.runningLevel(i) < level {
				r.ReportViolation("controller %d supports level %d and acts at level %d", i, r.runningLevel(i), level)
			}
		}
		newest := last
		for k, item := range r.StoredItems("h/") {
			if item.Version <= last {
				continue
			}
			newest = max(newest, item.Version)
			f := rollout.FormatOf(item.Value)
			if f < r.formats[k] && !endsDependentJob(k, item.Value, r.formats[k]) {
				r.ReportViolation("%s falls from format %d to %d", k, r.formats[k], f)
			} else {
				r.formats[k] = f
			}
		}
		last = newest
		r.After(20*time.Millisecond, check)
	}
	check()
}

// rolloutView asks a controller where the rollout stands.
func (r *testCluster) rolloutView(i int) (v rollout.View) {
	r.t.Helper()
	r.Request(i, "GET", "/v2/rollout", nil, func(status int, raw []byte) {
		if err := json.Unmarshal(raw, &v); err != nil || status != 200 {
			r.t.Errorf("status %d: %s", status, raw)
		}
	})
	r.Advance(100 * time.Millisecond)
	return v
}

// rolloutCommand gives an operator's word and returns the answer.
func (r *testCluster) rolloutCommand(op string) (status int, body string) {
	l, _ := r.Leader()
	if l < 0 {
		return 503, "nobody leads"
	}
	r.Request(
		l,
		"POST",
		"/v2/rollout",
		[]byte(fmt.Sprintf(`{"op":%q,"by":"test"}`, op)),
		func(s int, raw []byte) { status, body = s, string(raw) },
	)
	r.Advance(200 * time.Millisecond)
	return status, body
}

// waitFor advances time until a condition is met.
func (r *testCluster) waitFor(what string, limit time.Duration, isMet func() bool) {
	r.t.Helper()
	for end := r.Now() + limit; r.Now() < end; r.Advance(100 * time.Millisecond) {
		if isMet() {
			return
		}
	}
	l, _ := r.Leader()
	if l >= 0 {
		r.t.Logf("%+v", r.rolloutView(l))
	}
	r.t.Fatalf("%v: not %s after %v; level %d, violations %v", r.Now(), what, limit, r.ClusterLevel(), r.Violations())
}

// restart ends a controller and starts it with a release a little later.
func (r *testCluster) restart(i int, maxLevel rollout.Level) {
	r.KillController(i)
	r.SetRelease(i, maxLevel)
	r.Advance(time.Second)
	r.StartController(i)
}

// migrated tells whether the migration's end is durable.
func (r *testCluster) migrated() bool {
	var m struct {
		Level rollout.Level `json:"level"`
		Done  bool          `json:"done"`
	}
	return json.Unmarshal(r.StoredItem("h/r/migration").Value, &m) == nil && m.Done && m.Level == rollout.Newest
}

// unmigratedPlans counts the plans with a key of their own.
func (r *testCluster) unmigratedPlans() (n int) {
	for k := range r.StoredItems(jobs.PlanPrefix) {
		if !strings.HasPrefix(k, jobs.PlanPagePrefix) && !strings.HasPrefix(k, jobs.PlanPrefix+"images") {
			n++
		}
	}
	return n
}

// waitUntilDone waits for the end of all jobs and checks the answers that users received.
func (r *testCluster) waitUntilDone() {
	r.t.Helper()
	for end := r.Now() + 10*time.Minute; r.Now() < end; r.Advance(2 * time.Second) {
		open := r.submitUntil > r.Now()
		for _, user := range r.users {
			open = open || len(user.finalStates) < 4
		}
		if !open {
			break
		}
	}
	reportViolations(r.t, r.Simulation)
	for _, user := range r.users {
		switch {
		case len(user.finalStates) == 0:
			r.t.Errorf("%s is not over (status %d)", user.spec.ID, user.status)
		case user.finalStates[0] == "cancelled" && !user.cancelRequested && !r.MayBeCancelled(user.spec.ID):
			r.t.Errorf("%s is cancelled, and nobody asked for it", user.spec.ID)
		}
		for _, s := range user.finalStates {
			if s != user.finalStates[0] {
				r.t.Errorf("%s was answered %v", user.spec.ID, user.finalStates)
			}
		}
	}
}

// TestRollingUpgradeOfFive rolls five controllers in the order of the plan, under load: the leader changes once,
// the level rises by itself after the soak time, everything migrates, and hardly a second passes without a start.
func TestRollingUpgradeOfFive(t *testing.T) {
	cluster := newTestCluster(t, 51, 5, rollout.Base, "soak_s = 5")
	cluster.submitJobs(3 * time.Minute)
	cluster.Advance(30 * time.Second)
	if cluster.ClusterLevel() != rollout.Base || cluster.unmigratedPlans() == 0 {
		t.Fatalf("level %d, %d plans of the former form", cluster.ClusterLevel(), cluster.unmigratedPlans())
	}
	_, before := cluster.Leader()
	from, rolled := cluster.Now(), false
	cluster.RollingRestart(rollout.Newest, 3*time.Second, nil, func() { rolled = true })
	cluster.waitFor("rolled", 2*time.Minute, func() bool { return rolled })
	cluster.waitFor("upgraded", 30*time.Second, func() bool { return cluster.ClusterLevel() == rollout.Newest })
	if _, after := cluster.Leader(); after != before+1 {
		t.Errorf("the leader changed %d times", after-before)
	}
	gap := cluster.LongestStartGap(from, cluster.Now())
	cluster.waitFor("migrated", time.Minute, cluster.migrated)
	if n := cluster.unmigratedPlans(); n > 0 {
		t.Errorf("%d plans of the former form", n)
	}
	t.Logf("rolled in %v, the longest time without a start %v", cluster.Now()-from, gap)
	if gap > 2*time.Second {
		t.Errorf("nothing started for %v", gap)
	}
	cluster.waitUntilDone()
}

// TestRiseOfLevelWaits kills the leader between the transaction that raises the level and its answer, or lets the
// transaction land only after operators have aborted, or after a controller has come back with the former release.
func TestRiseOfLevelWaits(t *testing.T) {
	for _, c := range []string{
		"the leader dies before the answer",
		"after an abort",
		"after an old one came back",
		"the answer is lost",
	} {
		t.Run(c, func(t *testing.T) {
			cluster := newTestCluster(t, 52, 3, rollout.Base, "finish = \"operator\"")
			cluster.submitJobs(70 * time.Second)
			rolled, caught := false, 0
			cluster.RollingRestart(rollout.Newest, time.Second, nil, func() { rolled = true })
			cluster.waitFor("rolled", time.Minute, func() bool { return rolled })
			cluster.Advance(2 * time.Second)
			leader, _ := cluster.Leader()
			cluster.InterceptTxns(func(i int, tx store.Txn) TxnOutcome {
				for _, o := range tx.Then {
					if o.Put != "h/r/level" || caught > 0 {
						continue
					}
					caught++
					switch c {
					case "the answer is lost":
						return TxnOutcome{Unanswered: true}
					case "the leader dies before the answer":
						cluster.After(0, func() { cluster.KillController(i) })
						return TxnOutcome{Unanswered: true}
					}
					return TxnOutcome{Delay: 1500 * time.Millisecond}
				}
				// The leader asks again after a second: that one must not hide what becomes of the first.
				if caught > 0 && len(tx.Then) > 0 && tx.Then[0].Put == "h/r/level" {
					return TxnOutcome{Dropped: true}
				}
				return TxnOutcome{}
			})
			if status, body := cluster.rolloutCommand("finish"); status != 200 {
				t.Fatalf("%d %s", status, body)
			}
			cluster.waitFor("sent", 5*time.Second, func() bool { return caught > 0 })
			want := rollout.Newest
			switch c {
			case "after an abort":
				// Whoever leads now may say so again; the word goes through before the upgrade does.
				cluster.waitFor(
					"aborted",
					2*time.Second,
					func() bool { s, _ := cluster.rolloutCommand("abort"); return s == 200 },
				)
				want = rollout.Base
			case "after an old one came back":
				cluster.restart((leader+1)%3, rollout.Base)
				want = rollout.Base
			}
			cluster.Advance(12 * time.Second)
			cluster.InterceptTxns(nil)
			cluster.Advance(5 * time.Second)
			if cluster.ClusterLevel() != want {
				t.Fatalf("level %d", cluster.ClusterLevel())
			}
			for i := range 3 {
				if !cluster.ControllerRuns(i) {
					cluster.StartController(i)
				}
			}
			cluster.waitUntilDone()
		})
	}
}

// TestOldReleaseStaysOutAfterUpgrade keeps a controller down while all others are rolled. It announced the former
// release last: the level doesn't rise, and the status names the reason. It comes back as it was: the level doesn't
// rise. Once it is new the level does; an old one that comes then stays out, doesn't end, and logs what to do.
func TestOldReleaseStaysOutAfterUpgrade(t *testing.T) {
	cluster := newTestCluster(t, 53, 3, rollout.Base, "soak_s = 2")
	cluster.submitJobs(2 * time.Minute)
	cluster.Advance(5 * time.Second)
	leader, _ := cluster.Leader()
	out := (leader + 1) % 3
	cluster.KillController(out)
	for i := range 3 {
		if i != out {
			cluster.restart(i, rollout.Newest)
			cluster.Advance(10 * time.Second)
		}
	}
	if cluster.ClusterLevel() != rollout.Base {
		t.Fatal("the level rose, and one was down that doesn't know it")
	}
	if status, body := cluster.rolloutCommand("finish"); status != 409 ||
		!strings.Contains(body, fmt.Sprintf("node-%d", out)) {
		t.Errorf("%d %s", status, body)
	}
	cluster.StartController(out)
	cluster.Advance(10 * time.Second)
	l, _ := cluster.Leader()
	if v := cluster.rolloutView(l); cluster.ClusterLevel() != rollout.Base || len(v.Missing) != 1 ||
		v.Restart != fmt.Sprintf("node-%d", out) {
		t.Errorf("level %d, %+v", cluster.ClusterLevel(), v)
	}
	cluster.restart(out, rollout.Newest)
	cluster.waitFor("upgraded", 20*time.Second, func() bool { return cluster.ClusterLevel() == rollout.Newest })
	cluster.waitFor("migrated", 30*time.Second, cluster.migrated)

	cluster.restart(out, rollout.Base)
	cluster.Advance(8 * time.Second)
	ups := 0
	for range 3 {
		cluster.Request(out, "GET", "/up", nil, func(status int, _ []byte) {
			if ups++; status != 503 {
				t.Errorf("its health check passes: %d", status)
			}
		})
		cluster.Request(out, "POST", "/v2/runs", []byte(`{}`), func(status int, _ []byte) {
			if status == 201 {
				t.Error("it took a job")
			}
		})
		cluster.Advance(time.Second)
	}
	if v := cluster.rolloutView(out); ups != 3 || !cluster.ControllerRuns(out) || v.State != "behind" {
		t.Errorf("%d answers, runs %v, %+v", ups, cluster.ControllerRuns(out), v)
	}
	// Both others end: nobody leads rather than one that can't read what is stored.
	for i := range 3 {
		if i != out {
			cluster.KillController(i)
		}
	}
	cluster.Advance(15 * time.Second)
	if l, _ := cluster.Leader(); l >= 0 {
		t.Errorf("controller %d leads", l)
	}
	for i := range 3 {
		cluster.restart(i, rollout.Newest)
	}
	cluster.waitUntilDone()
}

// TestRollForwardAndBack rolls forward, on hold, back, forward again, and back once more when it is too late, under
// load all the time.
func TestRollForwardAndBack(t *testing.T) {
	cluster := newTestCluster(t, 54, 3, rollout.Base, "soak_s = 2")
	cluster.submitJobs(3 * time.Minute)
	roll := func(to rollout.Level) {
		done := false
		cluster.RollingRestart(to, time.Second, nil, func() { done = true })
		cluster.waitFor("rolled", 2*time.Minute, func() bool { return done })
	}
	if s, b := cluster.rolloutCommand("abort"); s != 503 && s != 200 {
		t.Fatalf("%d %s", s, b)
	}
	cluster.Advance(5 * time.Second)
	if s, b := cluster.rolloutCommand("abort"); s != 200 { // plan the way back from the start: nothing rises
		t.Fatalf("%d %s", s, b)
	}
	for i := range 3 {
		cluster.restart(i, rollout.Newest)
		cluster.Advance(8 * time.Second)
	}
	cluster.Advance(10 * time.Second)
	if cluster.ClusterLevel() != rollout.Base {
		t.Fatal("it rose though it was aborted")
	}
	roll(rollout.Base) // nothing is lost
	if cluster.unmigratedPlans() == 0 {
		t.Error("no plan stands in the form that the former release reads")
	}
	if s, b := cluster.rolloutCommand("free"); s != 200 {
		t.Fatalf("%d %s", s, b)
	}
	roll(rollout.Newest)
	cluster.waitFor("upgraded", 20*time.Second, func() bool { return cluster.ClusterLevel() == rollout.Newest })
	if s, b := cluster.rolloutCommand("abort"); s != 409 || !strings.Contains(b, "can't read") {
		t.Errorf("an abort that comes too late: %d %s", s, b)
	}
	cluster.waitUntilDone()
}

// TestDelayedWritesOfOldReleaseHaveNoEffect ends a leader of the former release with plans on their way, which land
// after the level was raised and the migration is over.
func TestDelayedWritesOfOldReleaseHaveNoEffect(t *testing.T) {
	cluster := newTestCluster(t, 55, 3, rollout.Base, "finish = \"operator\"")
	cluster.submitJobs(90 * time.Second)
	cluster.Advance(5 * time.Second)
	leader, _ := cluster.Leader()
	for i := range 3 {
		if i != leader {
			cluster.restart(i, rollout.Newest)
		}
	}
	cluster.Advance(5 * time.Second)
	held := 0
	cluster.InterceptTxns(func(i int, tx store.Txn) TxnOutcome {
		if i == leader && cluster.runningLevel(i) == rollout.Base && len(tx.Then) > 0 &&
			strings.HasPrefix(tx.Then[0].Put, jobs.PlanPrefix) {
			held++
			return TxnOutcome{Delay: 40 * time.Second}
		}
		return TxnOutcome{}
	})
	cluster.waitFor("held back", 10*time.Second, func() bool { return held > 0 })
	cluster.restart(leader, rollout.Newest)
	cluster.Advance(4 * time.Second)
	cluster.waitFor("accepted", 10*time.Second, func() bool { s, _ := cluster.rolloutCommand("finish"); return s == 200 })
	cluster.waitFor("migrated", 20*time.Second, cluster.migrated)
	cluster.Advance(45 * time.Second)
	if n := cluster.unmigratedPlans(); n > 0 {
		t.Errorf("%d plans in the former form", n)
	}
	cluster.waitUntilDone()
}

// TestMigrationIsInterrupted checks that the migration resumes where it was, through three failovers, an outage of
// the state service, and a partition of a zone with two of five controllers, the leader's among them.
func TestMigrationIsInterrupted(t *testing.T) {
	for _, c := range []string{"takeovers", "outage", "zone"} {
		t.Run(c, func(t *testing.T) {
			cluster := newTestCluster(t, 56, 5, rollout.Base, "soak_s = 1")
			for i := range 150 { // many long jobs: there is something to migrate
				spec := arraySpec(fmt.Sprintf("req-9%05d", i), "c", "blue")
				spec.Priority = "best_effort"
				spec.EstimateS = 150
				user := cluster.newUser(spec)
				cluster.users = append(cluster.users, user)
				cluster.After(time.Duration(i*100)*time.Millisecond, user.submit)
			}
			cluster.Advance(40 * time.Second)
			rolled := false
			cluster.RollingRestart(rollout.Newest, time.Second, nil, func() { rolled = true })
			cluster.waitFor("rolled", 2*time.Minute, func() bool { return rolled })
			cluster.waitFor("upgraded", 30*time.Second, func() bool { return cluster.ClusterLevel() == rollout.Newest })
			// From here on only the leader's most urgent writes go through at once.
			start := cluster.unmigratedPlans()
			switch c {
			case "takeovers":
				for range 3 {
					if l, _ := cluster.Leader(); l >= 0 {
						cluster.KillController(l)
						cluster.Advance(8 * time.Second)
						cluster.StartController(l)
					}
				}
			case "outage":
				cluster.SetStateOutage(true)
				cluster.Advance(15 * time.Second)
				cluster.SetStateOutage(false)
			case "zone":
				l, _ := cluster.Leader()
				zone := cluster.settings[l].Zone
				cluster.PartitionZone(zone, DelayBoth)
				cluster.Advance(20 * time.Second)
				if n, _ := cluster.Leader(); n < 0 || cluster.settings[n].Zone == zone {
					t.Errorf("controller %d leads, in a zone that is cut off", n)
				}
				cluster.PartitionZone(zone, Connected)
			}
			cluster.waitFor("migrated", 2*time.Minute, cluster.migrated)
			t.Logf("%d plans in the former form when the level rose", start)
			if start == 0 || cluster.unmigratedPlans() != 0 {
				t.Errorf("%d plans to migrate, %d left", start, cluster.unmigratedPlans())
			}
			cluster.waitUntilDone()
		})
	}
}

// TestRollWithKills kills every second controller of a rolling restart while it drains.
func TestRollWithKills(t *testing.T) {
	cluster := newTestCluster(t, 57, 5, rollout.Base, "soak_s = 3")
	cluster.submitJobs(2 * time.Minute)
	cluster.Advance(5 * time.Second)
	rolled, n := false, 0
	cluster.RollingRestart(
		rollout.Newest,
		2*time.Second,
		func(int) bool { n++; return n%2 == 0 },
		func() { rolled = true },
	)
	cluster.waitFor("rolled", 3*time.Minute, func() bool { return rolled })
	cluster.waitFor("migrated", time.Minute, cluster.migrated)
	cluster.waitUntilDone()
}

// TestRiseOfLevelWhileLeaderIsFrozen freezes the leader while another takes over and the level rises. When it goes
// on its own state is, for a moment, that it leads at the former level: it acts on nothing.
func TestRiseOfLevelWhileLeaderIsFrozen(t *testing.T) {
	cluster := newTestCluster(t, 58, 3, rollout.Base, "finish = \"operator\"")
	cluster.submitJobs(80 * time.Second)
	rolled := false
	cluster.RollingRestart(rollout.Newest, time.Second, nil, func() { rolled = true })
	cluster.waitFor("rolled", time.Minute, func() bool { return rolled })
	old, _ := cluster.Leader()
	cluster.FreezeController(old, 25*time.Second)
	cluster.waitFor(
		"led by another",
		15*time.Second,
		func() bool { l, _ := cluster.Leader(); return l >= 0 && l != old },
	)
	cluster.Advance(time.Second)
	cluster.waitFor("accepted", 10*time.Second, func() bool { s, _ := cluster.rolloutCommand("finish"); return s == 200 })
	cluster.waitFor("upgraded", 5*time.Second, func() bool { return cluster.ClusterLevel() == rollout.Newest })
	cluster.waitUntilDone()
}

// TestSuccessorHasTheNewRelease loses the leader in the middle of a rollout: its successor has the new release, if
// a controller that has it is running.
func TestSuccessorHasTheNewRelease(t *testing.T) {
	for seed := range uint64(8) {
		cluster := newTestCluster(t, 80+seed, 5, rollout.Base, "soak_s = 600")
		cluster.Advance(3 * time.Second)
		leader, _ := cluster.Leader()
		newer := (leader + 2) % 5
		cluster.restart(newer, rollout.Newest)
		cluster.Advance(8 * time.Second)
		if seed%2 == 0 {
			cluster.KillController(leader)
		} else {
			cluster.DrainController(leader, func() {})
		}
		cluster.Advance(12 * time.Second)
		if l, _ := cluster.Leader(); l != newer {
			t.Errorf("seed %d: controller %d leads, %d has the new release", 80+seed, l, newer)
		}
	}
}

// TestUnreadableRecords checks that what can't be read isn't skipped: a controller's announcement keeps the level
// down, a job's record and a plan keep the job from starting anywhere else, and the status, metrics and `job why`
// show it.
func TestUnreadableRecords(t *testing.T) {
	cluster := newTestCluster(t, 59, 3, rollout.Base, "soak_s = 2")
	cluster.Advance(3 * time.Second)
	leader, _ := cluster.Leader()
	other := (leader + 1) % 3
	key := rollout.AnnounceKey(fmt.Sprintf("node-%d", other))
	rolled := false
	cluster.RollingRestart(rollout.Newest, time.Second, nil, func() { rolled = true })
	cluster.waitFor("rolled", time.Minute, func() bool { return rolled })
	cluster.WriteKeys(store.Op{Put: key, Value: json.RawMessage(`{"v":"?"}`)})
	cluster.Advance(10 * time.Second)
	l, _ := cluster.Leader()
	if v := cluster.rolloutView(l); cluster.ClusterLevel() != rollout.Base || len(v.Unreadable) != 1 ||
		v.Unreadable[0].Key != key ||
		len(v.Missing) != 1 {
		t.Fatalf("level %d, %+v", cluster.ClusterLevel(), v)
	}
	cluster.restart(other, rollout.Newest) // it announces it again
	cluster.waitFor("migrated", 30*time.Second, cluster.migrated)

	for n := range 2 {
		spec := arraySpec(fmt.Sprintf("req-%06d", n+1), "c", "red")
		spec.Tasks = 3
		spec.EstimateS = 25
		cluster.newUser(spec).submit()
	}
	cluster.waitFor("running", 20*time.Second, func() bool { return cluster.Utilization().Running == 6 })
	// Of the first job the record is damaged; of both, the page with their plans. The next leader finds it so.
	cluster.WriteKeys(store.Op{Put: jobs.RecordKey("req-000001"), Value: json.RawMessage(`{"stance":"?"}`)})
	for k := range cluster.StoredItems(jobs.PlanPagePrefix) {
		cluster.WriteKeys(store.Op{Put: k, Value: json.RawMessage(`{"plans":7}`)})
	}
	l, _ = cluster.Leader()
	cluster.KillController(l)
	cluster.Advance(12 * time.Second)
	l2, _ := cluster.Leader()
	cluster.StartController(l)
	starts := cluster.Stats().TaskStarts
	v := cluster.rolloutView(l2)
	if len(v.Unreadable) < 2 {
		t.Errorf("%+v", v.Unreadable)
	}
	why := ""
	cluster.Request(l2, "GET", "/v2/runs/req-000002/why", nil, func(_ int, raw []byte) { why = string(raw) })
	cluster.Request(l2, "GET", "/v2/runs/req-000001", nil, func(status int, _ []byte) {
		if status != 503 {
			t.Errorf("a job whose record can't be read is answered with status %d", status)
		}
	})
	cluster.Advance(40 * time.Second)
	if cluster.Stats().TaskStarts != starts || !strings.Contains(why, "unreadable") {
		t.Errorf("%d starts on a guess; why: %s", cluster.Stats().TaskStarts-starts, why)
	}
	reportViolations(t, cluster.Simulation)
}

// TestPlanOfAnUnreadableRecordStays damages a job's record and restarts every controller, so that none has ever
// read it. Its plan is in a page that is written again and again meanwhile; it is kept there, and counts when the
// record can be read.
func TestPlanOfAnUnreadableRecordStays(t *testing.T) {
	cluster := newTestCluster(t, 62, 3, rollout.Newest, "")
	cluster.Advance(3 * time.Second)
	submit := func(n int) {
		spec := arraySpec(fmt.Sprintf("req-%06d", n), "c", "blue")
		spec.Tasks = 3
		spec.EstimateS = 30
		cluster.submit(spec)
	}
	submit(1)
	cluster.waitFor("running", 20*time.Second, func() bool { return cluster.Utilization().Running == 3 })
	key := jobs.RecordKey("req-000001")
	was := cluster.StoredItem(key).Value
	cluster.WriteKeys(store.Op{Put: key, Value: json.RawMessage(`{"stance":"?"}`)})
	for i := range 3 {
		cluster.KillController(i)
	}
	cluster.Advance(time.Second)
	cluster.startControllers()
	cluster.Advance(5 * time.Second)
	for n := range 6 {
		submit(10 + n)
		cluster.Advance(time.Second)
	}
	kept := false
	for _, item := range cluster.StoredItems(jobs.PlanPagePrefix) {
		kept = kept || strings.Contains(string(item.Value), `"req-000001/000"`)
	}
	if !kept {
		t.Error("the plan of a job whose record can't be read was dropped")
	}
	// It can be read again: this leader doesn't know what runs of it and starts nothing, the next one reads both.
	cluster.WriteKeys(store.Op{Put: key, Value: was})
	cluster.Advance(time.Second)
	l, _ := cluster.Leader()
	why := ""
	cluster.Request(l, "GET", "/v2/runs/req-000001/why", nil, func(_ int, raw []byte) { why = string(raw) })
	cluster.Advance(time.Second)
	if !strings.Contains(why, "unreadable") {
		t.Errorf("planned without its plan: %s", why)
	}
	cluster.KillController(l)
	cluster.Advance(5 * time.Second)
	cluster.StartController(l)
	cluster.waitUntilDone()
}

// TestNewerFormatIsNotActedOn stores a record in the format of a later release: every leader steps down, all stay
// out, and no process ends.
func TestNewerFormatIsNotActedOn(t *testing.T) {
	cluster := newTestCluster(t, 60, 3, rollout.Newest, "")
	cluster.submitJobs(5 * time.Second)
	cluster.Advance(10 * time.Second)
	was := cluster.StoredItem("h/r/migration").Value
	cluster.WriteKeys(store.Op{Put: "h/r/migration", Value: json.RawMessage(`{"v":7,"level":2}`)})
	cluster.Advance(10 * time.Second)
	if ls := cluster.ActingLeaders(); len(ls) > 0 {
		t.Errorf("controllers %v lead", ls)
	}
	for i := range 3 {
		if v := cluster.rolloutView(i); !cluster.ControllerRuns(i) || v.State != "behind" {
			t.Errorf("controller %d: %+v", i, v)
		}
	}
	delete(cluster.formats, "h/r/migration")
	cluster.WriteKeys(store.Op{Put: "h/r/migration", Value: was})
	cluster.Advance(20 * time.Second)
	cluster.waitUntilDone()
}

// rollFault is a random fault of a run in which controllers are rolled forward and back.
type rollFault struct {
	controller int
	duration   time.Duration
	kind       int // 0 to 13
	zone       string
	how        Partition
	level      rollout.Level // of the release with which a controller starts
}

// drawRollFault draws a fault. Its release is the newest one in the second half of a run.
func drawRollFault(rng *rand.Rand, controllers int, secondHalf bool) rollFault {
	fault := rollFault{
		controller: rng.IntN(controllers),
		duration:   time.Duration(500+rng.IntN(9000)) * time.Millisecond,
		kind:       rng.IntN(14),
		zone:       zoneNames()[rng.IntN(3)],
		how:        Partition(1 + rng.IntN(5)),
		level:      rollout.Level(1 + rng.IntN(2)),
	}
	if secondHalf {
		fault.level = rollout.Newest
	}
	return fault
}

// injectRollFault begins a random fault.
func (r *testCluster) injectRollFault(fault rollFault) {
	i, duration := fault.controller, fault.duration
	startWithRelease := func() {
		r.SetRelease(i, fault.level)
		r.StartController(i)
	}
	switch fault.kind {
	case 0, 1, 2:
		r.KillController(i)
		r.After(duration/3, startWithRelease)
	case 3, 4:
		r.DrainController(i, func() { r.After(duration/4, startWithRelease) })
	case 5:
		if leader, _ := r.Leader(); leader >= 0 && r.ControllerRuns(leader) {
			r.FreezeController(leader, duration)
		}
	case 6:
		r.during(duration, r.SetStateOutage)
	case 7:
		r.during(duration, func(on bool) { r.RefuseController(i, on) })
	case 8, 9:
		r.PartitionZone(fault.zone, fault.how)
		r.After(duration, func() { r.PartitionZone(fault.zone, Connected) })
	case 10:
		r.sendRandomRolloutCommand()
	case 11:
		r.KillMachine()
	case 12:
		r.HangMachine(duration)
	case 13:
		r.RollingRestart(fault.level, duration/4, nil, func() {})
	}
}

// sendRandomRolloutCommand draws an operator's command and sends it to the leader, if there is one.
func (r *testCluster) sendRandomRolloutCommand() {
	leader, _ := r.Leader()
	if leader < 0 {
		return
	}
	op := []string{"hold", "abort", "free", "finish"}[r.rng.IntN(4)]
	body := fmt.Appendf(nil, `{"op":%q,"by":"chaos"}`, op)
	r.Request(leader, "POST", "/v2/rollout", body, func(int, []byte) {})
}

// finishRollout ends all faults, restarts all controllers with the newest release, and waits for the migration's end.
func (r *testCluster) finishRollout() {
	r.t.Helper()
	r.StopRollingRestart()
	r.Advance(15 * time.Second)
	r.SetNetwork(2*time.Millisecond, 0, 0, 0)
	for _, zone := range zoneNames() {
		r.PartitionZone(zone, Connected)
	}
	for i := range r.Controllers() {
		r.restart(i, rollout.Newest)
	}
	r.Advance(10 * time.Second)
	for range 5 {
		if status, _ := r.rolloutCommand("free"); status == 200 {
			break
		}
		r.Advance(3 * time.Second)
	}
	r.waitFor("upgraded", time.Minute, func() bool { return r.ClusterLevel() == rollout.Newest })
	r.waitFor("migrated", time.Minute, r.migrated)
}

// TestRandomRollsUnderFaults rolls forward and back at random times that overlap with kills, drains, freezes, cut
// links, outages and operators' commands, under load.
func TestRandomRollsUnderFaults(t *testing.T) {
	seeds := 8
	if os.Getenv("HAREWALK_LONG") != "" {
		seeds = 240
	}
	upgraded, ends, starts, kills := 0, map[string]int{}, 0, 0
	for seed := range seeds {
		cluster := newTestCluster(t, uint64(100+seed), 3+2*(seed%2), rollout.Base, "soak_s = 3")
		rng := cluster.rng
		cluster.SetNetwork(time.Duration(1+rng.IntN(15))*time.Millisecond, 0.01, 0.01, 8*time.Second)
		cluster.submitJobs(100 * time.Second)
		for at := time.Duration(0); at < 110*time.Second; at += time.Duration(rng.IntN(7000)) * time.Millisecond {
			fault := drawRollFault(rng, cluster.Controllers(), at > 60*time.Second)
			cluster.After(at, func() { cluster.injectRollFault(fault) })
		}
		cluster.Advance(135 * time.Second)
		cluster.finishRollout()
		upgraded++
		cluster.waitUntilDone()
		countEnds(ends, cluster.users)
		s := cluster.Stats()
		starts, kills = starts+s.TaskStarts, kills+s.ControllersKilled
		if t.Failed() {
			t.Fatalf("seed %d", 100+seed)
		}
	}
	t.Logf("%d seeds, %d upgraded: %v; %d starts, %d controllers killed", seeds, upgraded, ends, starts, kills)
}

// TestEveryMachineGoneWhileNoControllerRuns ends every machine while no controller runs. Those that lead then
// receive no heartbeat; they must not hand over to each other for ever, each counting the leases from its own
// beginning, but rent again once the leases have expired.
func TestEveryMachineGoneWhileNoControllerRuns(t *testing.T) {
	cluster := newTestCluster(t, 61, 3, rollout.Newest, "")
	cluster.submitJobs(20 * time.Second)
	cluster.Advance(25 * time.Second)
	for _, z := range zoneNames() {
		cluster.PowerOffZone(z)
	}
	cluster.Advance(5 * time.Second)
	_, term := cluster.Leader()
	cluster.startControllers()
	cluster.waitUntilDone()
	if _, now := cluster.Leader(); now > term+3 {
		t.Errorf("the leader changed %d times", now-term)
	}
}
