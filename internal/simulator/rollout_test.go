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

// testCluster is a simulated cluster with users who submit jobs, and possibly a rollout.
type testCluster struct {
	idleWait time.Duration // longest wait of a job while a machine had room for it, measured after the faults
	*Simulation
	t           *testing.T
	rng         *rand.Rand
	users       []*testUser
	submitUntil time.Duration // time until which jobs are submitted

	formats map[string]int // by key: format of the record when watchInvariants last read it

	sessions []*testSession // interactive sessions; nil in most scenarios
}

// newTestCluster starts a cluster whose controllers support levels up to maxLevel, with settings for the operators'
// rollout block.
func newTestCluster(t *testing.T, seed uint64, controllers int, maxLevel rollout.Level, rolloutSettings string) *testCluster {
	t.Helper()
	return newTestClusterWithMachines(
		t,
		seed,
		controllers,
		maxLevel,
		rolloutSettings,
		14,
		nil,
		[]config.Team{{Name: "red", CPUs: 20, CPUsMax: 60}, {Name: "blue", CPUs: 20, CPUsMax: 100}},
	)
}

// newTestClusterWithMachines starts a cluster as newTestCluster does, but with the given maximum number of machines,
// machine types and teams.
func newTestClusterWithMachines(
	t *testing.T,
	seed uint64,
	controllers int,
	maxLevel rollout.Level,
	rolloutSettings string,
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
			return settings.ParseOperator("o.hcl", []byte(chaosPools+"rollout {\n"+rolloutSettings+"\n}\n"))
		})
}

// newTestClusterWith starts a cluster of three controllers whose settings the function change modifies first.
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
			return settings.ParseOperator("o.hcl", []byte("archive {\n retain_s = 5\n}\n"))
		})
}

// submitJobs submits random jobs for a duration, about two a second. One in eight is cancelled within 15 s.
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

// watchInvariants checks every 20 ms that at most one controller acts as leader, that it supports the cluster's
// level, that the level never falls, and that no record is replaced by one in an older format, except the record of a
// job with predecessors when the job ends.
func (r *testCluster) watchInvariants() {
	r.formats = map[string]int{}
	level, last := rollout.Base, uint64(0)
	var check func()
	check = func() {
		now := r.ClusterLevel()
		if now < level {
			r.ReportViolation("the level fell from %d to %d", level, now)
		}
		level = now
		ls := r.ActingLeaders()
		if len(ls) > 1 {
			r.ReportViolation("controllers %v act as leader at the same time, want at most one", ls)
		}
		for _, i := range ls {
			if r.runningLevel(i) < level {
				r.ReportViolation("controller %d supports level %d but acts at level %d", i, r.runningLevel(i), level)
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
				r.ReportViolation("%s fell from format %d to %d", k, r.formats[k], f)
			} else {
				r.formats[k] = f
			}
		}
		last = newest
		r.After(20*time.Millisecond, check)
	}
	check()
}

// rolloutView requests the state of the rollout from a controller.
func (r *testCluster) rolloutView(i int) (v rollout.View) {
	r.t.Helper()
	r.Request(i, "GET", "/v2/rollout", nil, func(status int, raw []byte) {
		if err := json.Unmarshal(raw, &v); err != nil || status != 200 {
			r.t.Errorf("GET /v2/rollout: got status %d and %s, want 200 and a rollout view", status, raw)
		}
	})
	r.Advance(100 * time.Millisecond)
	return v
}

// rolloutCommand sends an operator's command to the leader and returns the answer; status 503 if there is no leader.
func (r *testCluster) rolloutCommand(op string) (status int, body string) {
	l, _ := r.Leader()
	if l < 0 {
		return 503, "no leader"
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

// waitFor advances time until a condition is met. The test fails if that takes longer than limit.
func (r *testCluster) waitFor(condition string, limit time.Duration, isMet func() bool) {
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
	r.t.Fatalf("%v: condition %q not met within %v; level %d, violations %v", r.Now(), condition, limit, r.ClusterLevel(), r.Violations())
}

// restart kills a controller and starts it a second later with the release of maxLevel.
func (r *testCluster) restart(i int, maxLevel rollout.Level) {
	r.KillController(i)
	r.SetRelease(i, maxLevel)
	r.Advance(time.Second)
	r.StartController(i)
}

// migrated reports whether the end of the migration to the newest level is stored.
func (r *testCluster) migrated() bool {
	var m struct {
		Level rollout.Level `json:"level"`
		Done  bool          `json:"done"`
	}
	return json.Unmarshal(r.StoredItem("h/r/migration").Value, &m) == nil && m.Done && m.Level == rollout.Newest
}

// unmigratedPlans counts the plans in the form of the former release, with a key for each plan instead of pages.
func (r *testCluster) unmigratedPlans() (n int) {
	for k := range r.StoredItems(jobs.PlanPrefix) {
		if !strings.HasPrefix(k, jobs.PlanPagePrefix) && !strings.HasPrefix(k, jobs.PlanPrefix+"images") {
			n++
		}
	}
	return n
}

// waitUntilDone waits until all jobs have ended, for at most ten minutes. It reports violations and checks the answers
// that users received.
func (r *testCluster) waitUntilDone() {
	r.t.Helper()
	for end := r.Now() + 10*time.Minute; r.Now() < end; r.Advance(2 * time.Second) {
		pending := r.submitUntil > r.Now()
		for _, user := range r.users {
			pending = pending || len(user.finalStates) < 4
		}
		if !pending {
			break
		}
	}
	reportViolations(r.t, r.Simulation)
	for _, user := range r.users {
		switch {
		case len(user.finalStates) == 0:
			r.t.Errorf("%s: got no final state (status %d), want one", user.spec.ID, user.status)
		case user.finalStates[0] == "cancelled" && !user.cancelRequested && !r.MayBeCancelled(user.spec.ID):
			r.t.Errorf("%s was cancelled without a request to cancel it or a predecessor", user.spec.ID)
		}
		for _, s := range user.finalStates {
			if s != user.finalStates[0] {
				r.t.Errorf("%s: got final states %v, want all equal", user.spec.ID, user.finalStates)
			}
		}
	}
}

// TestRollingUpgradeOfFive restarts five controllers with the newest release in the order of the plan, under load.
// The leader changes once, the level rises by itself after the soak time, all plans migrate, and at most 2 s pass
// without a start.
func TestRollingUpgradeOfFive(t *testing.T) {
	cluster := newTestCluster(t, 51, 5, rollout.Base, "soak_s = 5")
	cluster.submitJobs(3 * time.Minute)
	cluster.Advance(30 * time.Second)
	if cluster.ClusterLevel() != rollout.Base || cluster.unmigratedPlans() == 0 {
		t.Fatalf("got level %d and %d plans in the former form, want the base level and some plans", cluster.ClusterLevel(), cluster.unmigratedPlans())
	}
	_, before := cluster.Leader()
	from, rolled := cluster.Now(), false
	cluster.RollingRestart(rollout.Newest, 3*time.Second, nil, func() { rolled = true })
	cluster.waitFor("all controllers restarted", 2*time.Minute, func() bool { return rolled })
	cluster.waitFor("cluster at the newest level", 30*time.Second, func() bool { return cluster.ClusterLevel() == rollout.Newest })
	if _, after := cluster.Leader(); after != before+1 {
		t.Errorf("got %d leader changes, want 1", after-before)
	}
	gap := cluster.LongestStartGap(from, cluster.Now())
	cluster.waitFor("plans migrated", time.Minute, cluster.migrated)
	if n := cluster.unmigratedPlans(); n > 0 {
		t.Errorf("got %d plans in the former form after the migration, want 0", n)
	}
	t.Logf("restarted and migrated in %v, longest time without a start %v", cluster.Now()-from, gap)
	if gap > 2*time.Second {
		t.Errorf("longest time without a start: got %v, want at most 2 s", gap)
	}
	cluster.waitUntilDone()
}

// TestRiseOfLevelWaits interferes with the transaction that raises the level: its answer is lost, the leader is killed
// before the answer, or the transaction is delayed until an operator has aborted the rollout or a controller has
// restarted with the former release. In the delayed cases the level must not rise.
func TestRiseOfLevelWaits(t *testing.T) {
	for _, c := range []string{
		"the leader dies before the answer",
		"after an abort",
		"after a restart with the former release",
		"the answer is lost",
	} {
		t.Run(c, func(t *testing.T) {
			cluster := newTestCluster(t, 52, 3, rollout.Base, "finish = \"operator\"")
			cluster.submitJobs(70 * time.Second)
			rolled, intercepted := false, 0
			cluster.RollingRestart(rollout.Newest, time.Second, nil, func() { rolled = true })
			cluster.waitFor("all controllers restarted", time.Minute, func() bool { return rolled })
			cluster.Advance(2 * time.Second)
			leader, _ := cluster.Leader()
			cluster.InterceptTxns(func(i int, tx store.Txn) TxnOutcome {
				for _, o := range tx.Then {
					if o.Put != "h/r/level" || intercepted > 0 {
						continue
					}
					intercepted++
					switch c {
					case "the answer is lost":
						return TxnOutcome{Unanswered: true}
					case "the leader dies before the answer":
						cluster.After(0, func() { cluster.KillController(i) })
						return TxnOutcome{Unanswered: true}
					}
					return TxnOutcome{Delay: 1500 * time.Millisecond}
				}
				// The leader repeats the transaction after a second. The repetition must not hide the outcome of the
				// first one.
				if intercepted > 0 && len(tx.Then) > 0 && tx.Then[0].Put == "h/r/level" {
					return TxnOutcome{Dropped: true}
				}
				return TxnOutcome{}
			})
			if status, body := cluster.rolloutCommand("finish"); status != 200 {
				t.Fatalf("command finish: got %d %s, want 200", status, body)
			}
			cluster.waitFor("level transaction sent", 5*time.Second, func() bool { return intercepted > 0 })
			want := rollout.Newest
			switch c {
			case "after an abort":
				// The current leader may need the command again; the command is applied before the delayed
				// transaction.
				cluster.waitFor(
					"command abort accepted",
					2*time.Second,
					func() bool { s, _ := cluster.rolloutCommand("abort"); return s == 200 },
				)
				want = rollout.Base
			case "after a restart with the former release":
				cluster.restart((leader+1)%3, rollout.Base)
				want = rollout.Base
			}
			cluster.Advance(12 * time.Second)
			cluster.InterceptTxns(nil)
			cluster.Advance(5 * time.Second)
			if cluster.ClusterLevel() != want {
				t.Fatalf("got level %d, want the other one of base and newest", cluster.ClusterLevel())
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

// TestOldReleaseStaysOutAfterUpgrade keeps a controller that announced the former release down while all others are
// upgraded. The level doesn't rise, and the status names the controller, before and after the controller restarts
// with the former release. When the controller runs the newest release, the level rises. A controller that restarts
// with the former release after that must neither lead nor accept jobs, and its process keeps running.
func TestOldReleaseStaysOutAfterUpgrade(t *testing.T) {
	cluster := newTestCluster(t, 53, 3, rollout.Base, "soak_s = 2")
	cluster.submitJobs(2 * time.Minute)
	cluster.Advance(5 * time.Second)
	leader, _ := cluster.Leader()
	excluded := (leader + 1) % 3
	cluster.KillController(excluded)
	for i := range 3 {
		if i != excluded {
			cluster.restart(i, rollout.Newest)
			cluster.Advance(10 * time.Second)
		}
	}
	if cluster.ClusterLevel() != rollout.Base {
		t.Fatal("the level rose while a controller of the former release was down, want the base level")
	}
	if status, body := cluster.rolloutCommand("finish"); status != 409 ||
		!strings.Contains(body, fmt.Sprintf("node-%d", excluded)) {
		t.Errorf("command finish: got %d %s, want 409 that names the stopped controller", status, body)
	}
	cluster.StartController(excluded)
	cluster.Advance(10 * time.Second)
	l, _ := cluster.Leader()
	if v := cluster.rolloutView(l); cluster.ClusterLevel() != rollout.Base || len(v.Missing) != 1 ||
		v.Restart != fmt.Sprintf("node-%d", excluded) {
		t.Errorf("got level %d, %+v; want the base level and the controller of the former release as missing", cluster.ClusterLevel(), v)
	}
	cluster.restart(excluded, rollout.Newest)
	cluster.waitFor("cluster at the newest level", 20*time.Second, func() bool { return cluster.ClusterLevel() == rollout.Newest })
	cluster.waitFor("plans migrated", 30*time.Second, cluster.migrated)

	cluster.restart(excluded, rollout.Base)
	cluster.Advance(8 * time.Second)
	healthChecks := 0
	for range 3 {
		cluster.Request(excluded, "GET", "/up", nil, func(status int, _ []byte) {
			if healthChecks++; status != 503 {
				t.Errorf("health check of a controller below the cluster's level: got status %d, want 503", status)
			}
		})
		cluster.Request(excluded, "POST", "/v2/runs", []byte(`{}`), func(status int, _ []byte) {
			if status == 201 {
				t.Error("a controller below the cluster's level accepted a job, want a rejection")
			}
		})
		cluster.Advance(time.Second)
	}
	if v := cluster.rolloutView(excluded); healthChecks != 3 || !cluster.ControllerRuns(excluded) || v.State != "behind" {
		t.Errorf("got %d health checks answered, running %v, %+v; want 3, true and state behind", healthChecks, cluster.ControllerRuns(excluded), v)
	}
	// With both other controllers down there is no leader, since this controller can't read the stored records.
	for i := range 3 {
		if i != excluded {
			cluster.KillController(i)
		}
	}
	cluster.Advance(15 * time.Second)
	if l, _ := cluster.Leader(); l >= 0 {
		t.Errorf("controller %d of the former release leads, want no leader", l)
	}
	for i := range 3 {
		cluster.restart(i, rollout.Newest)
	}
	cluster.waitUntilDone()
}

// TestRollForwardAndBack upgrades all controllers after an abort, so that the level stays, then returns to the former
// release, upgrades again until the level rises, and aborts once more, which is too late. All of it runs under load.
func TestRollForwardAndBack(t *testing.T) {
	cluster := newTestCluster(t, 54, 3, rollout.Base, "soak_s = 2")
	cluster.submitJobs(3 * time.Minute)
	roll := func(to rollout.Level) {
		done := false
		cluster.RollingRestart(to, time.Second, nil, func() { done = true })
		cluster.waitFor("all controllers restarted", 2*time.Minute, func() bool { return done })
	}
	if s, b := cluster.rolloutCommand("abort"); s != 503 && s != 200 {
		t.Fatalf("command abort at the start: got %d %s, want 200 or 503", s, b)
	}
	cluster.Advance(5 * time.Second)
	if s, b := cluster.rolloutCommand("abort"); s != 200 { // aborts in advance, so that the level doesn't rise
		t.Fatalf("command abort: got %d %s, want 200", s, b)
	}
	for i := range 3 {
		cluster.restart(i, rollout.Newest)
		cluster.Advance(8 * time.Second)
	}
	cluster.Advance(10 * time.Second)
	if cluster.ClusterLevel() != rollout.Base {
		t.Fatal("the level rose after an abort, want the base level")
	}
	roll(rollout.Base) // all jobs must survive the return
	if cluster.unmigratedPlans() == 0 {
		t.Error("got no plan in the form that the former release reads, want some")
	}
	if s, b := cluster.rolloutCommand("free"); s != 200 {
		t.Fatalf("command free: got %d %s, want 200", s, b)
	}
	roll(rollout.Newest)
	cluster.waitFor("cluster at the newest level", 20*time.Second, func() bool { return cluster.ClusterLevel() == rollout.Newest })
	if s, b := cluster.rolloutCommand("abort"); s != 409 || !strings.Contains(b, "can't read") {
		t.Errorf("abort after the level rose: got %d %s, want 409 that says what can't be read", s, b)
	}
	cluster.waitUntilDone()
}

// TestDelayedWritesOfOldReleaseHaveNoEffect kills a leader of the former release whose plan writes are delayed until
// the level has risen and the migration has ended. The delayed writes must not restore plans in the former form.
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
	delayed := 0
	cluster.InterceptTxns(func(i int, tx store.Txn) TxnOutcome {
		if i == leader && cluster.runningLevel(i) == rollout.Base && len(tx.Then) > 0 &&
			strings.HasPrefix(tx.Then[0].Put, jobs.PlanPrefix) {
			delayed++
			return TxnOutcome{Delay: 40 * time.Second}
		}
		return TxnOutcome{}
	})
	cluster.waitFor("plan write delayed", 10*time.Second, func() bool { return delayed > 0 })
	cluster.restart(leader, rollout.Newest)
	cluster.Advance(4 * time.Second)
	cluster.waitFor("command finish accepted", 10*time.Second, func() bool { s, _ := cluster.rolloutCommand("finish"); return s == 200 })
	cluster.waitFor("plans migrated", 20*time.Second, cluster.migrated)
	cluster.Advance(45 * time.Second)
	if n := cluster.unmigratedPlans(); n > 0 {
		t.Errorf("got %d plans in the former form, want 0", n)
	}
	cluster.waitUntilDone()
}

// TestMigrationIsInterrupted checks that the migration completes despite three failovers, an outage of the state
// service, or a partition of the leader's zone, which has two of five controllers.
func TestMigrationIsInterrupted(t *testing.T) {
	for _, c := range []string{"takeovers", "outage", "zone"} {
		t.Run(c, func(t *testing.T) {
			cluster := newTestCluster(t, 56, 5, rollout.Base, "soak_s = 1")
			for i := range 150 { // enough long jobs that there are plans to migrate
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
			cluster.waitFor("all controllers restarted", 2*time.Minute, func() bool { return rolled })
			cluster.waitFor("cluster at the newest level", 30*time.Second, func() bool { return cluster.ClusterLevel() == rollout.Newest })
			// From here on the migration competes with the leader's more urgent writes.
			plansToMigrate := cluster.unmigratedPlans()
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
					t.Errorf("got leader %d, want a controller outside the partitioned zone", n)
				}
				cluster.PartitionZone(zone, Connected)
			}
			cluster.waitFor("plans migrated", 2*time.Minute, cluster.migrated)
			t.Logf("%d plans in the former form when the level rose", plansToMigrate)
			if plansToMigrate == 0 || cluster.unmigratedPlans() != 0 {
				t.Errorf("got %d plans to migrate and %d remaining, want some and 0", plansToMigrate, cluster.unmigratedPlans())
			}
			cluster.waitUntilDone()
		})
	}
}

// TestRollWithKills kills every second controller of a rolling restart while the controller drains. The migration and
// all jobs still complete.
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
	cluster.waitFor("all controllers restarted", 3*time.Minute, func() bool { return rolled })
	cluster.waitFor("plans migrated", time.Minute, cluster.migrated)
	cluster.waitUntilDone()
}

// TestRiseOfLevelWhileLeaderIsFrozen freezes the leader while another takes over and the level rises. When the former
// leader resumes, its own state still says that it leads at the former level; it must not act on that state.
func TestRiseOfLevelWhileLeaderIsFrozen(t *testing.T) {
	cluster := newTestCluster(t, 58, 3, rollout.Base, "finish = \"operator\"")
	cluster.submitJobs(80 * time.Second)
	rolled := false
	cluster.RollingRestart(rollout.Newest, time.Second, nil, func() { rolled = true })
	cluster.waitFor("all controllers restarted", time.Minute, func() bool { return rolled })
	old, _ := cluster.Leader()
	cluster.FreezeController(old, 25*time.Second)
	cluster.waitFor(
		"led by another controller",
		15*time.Second,
		func() bool { l, _ := cluster.Leader(); return l >= 0 && l != old },
	)
	cluster.Advance(time.Second)
	cluster.waitFor("command finish accepted", 10*time.Second, func() bool { s, _ := cluster.rolloutCommand("finish"); return s == 200 })
	cluster.waitFor("cluster at the newest level", 5*time.Second, func() bool { return cluster.ClusterLevel() == rollout.Newest })
	cluster.waitUntilDone()
}

// TestSuccessorHasTheNewRelease kills or drains the leader in the middle of a rollout. The next leader must be the one
// running controller with the new release.
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
			t.Errorf("seed %d: got leader %d, want %d, which has the new release", 80+seed, l, newer)
		}
	}
}

// TestUnreadableRecords checks that records that can't be read aren't skipped. A controller's damaged announcement
// keeps the level from rising. A job's damaged record or plan keeps the job from starting on other machines. The
// rollout status and the explanation of the job (`job why`) name the records.
func TestUnreadableRecords(t *testing.T) {
	cluster := newTestCluster(t, 59, 3, rollout.Base, "soak_s = 2")
	cluster.Advance(3 * time.Second)
	leader, _ := cluster.Leader()
	other := (leader + 1) % 3
	key := rollout.AnnounceKey(fmt.Sprintf("node-%d", other))
	rolled := false
	cluster.RollingRestart(rollout.Newest, time.Second, nil, func() { rolled = true })
	cluster.waitFor("all controllers restarted", time.Minute, func() bool { return rolled })
	cluster.WriteKeys(store.Op{Put: key, Value: json.RawMessage(`{"v":"?"}`)})
	cluster.Advance(10 * time.Second)
	l, _ := cluster.Leader()
	if v := cluster.rolloutView(l); cluster.ClusterLevel() != rollout.Base || len(v.Unreadable) != 1 ||
		v.Unreadable[0].Key != key ||
		len(v.Missing) != 1 {
		t.Fatalf("got level %d, %+v; want the base level and the damaged announcement as unreadable", cluster.ClusterLevel(), v)
	}
	cluster.restart(other, rollout.Newest) // writes its announcement again
	cluster.waitFor("plans migrated", 30*time.Second, cluster.migrated)

	for n := range 2 {
		spec := arraySpec(fmt.Sprintf("req-%06d", n+1), "c", "red")
		spec.Tasks = 3
		spec.EstimateS = 25
		cluster.newUser(spec).submit()
	}
	cluster.waitFor("six tasks running", 20*time.Second, func() bool { return cluster.Utilization().Running == 6 })
	// Damages the record of the first job, and the pages with the plans of both jobs, before the next leader reads
	// them.
	cluster.WriteKeys(store.Op{Put: jobs.RecordKey("req-000001"), Value: json.RawMessage(`{"stance":"?"}`)})
	for k := range cluster.StoredItems(jobs.PlanPagePrefix) {
		cluster.WriteKeys(store.Op{Put: k, Value: json.RawMessage(`{"plans":7}`)})
	}
	l, _ = cluster.Leader()
	cluster.KillController(l)
	cluster.Advance(12 * time.Second)
	nextLeader, _ := cluster.Leader()
	cluster.StartController(l)
	starts := cluster.Stats().TaskStarts
	v := cluster.rolloutView(nextLeader)
	if len(v.Unreadable) < 2 {
		t.Errorf("got unreadable records %+v, want at least 2", v.Unreadable)
	}
	why := ""
	cluster.Request(nextLeader, "GET", "/v2/runs/req-000002/why", nil, func(_ int, raw []byte) { why = string(raw) })
	cluster.Request(nextLeader, "GET", "/v2/runs/req-000001", nil, func(status int, _ []byte) {
		if status != 503 {
			t.Errorf("query of a job whose record can't be read: got status %d, want 503", status)
		}
	})
	cluster.Advance(40 * time.Second)
	if cluster.Stats().TaskStarts != starts || !strings.Contains(why, "unreadable") {
		t.Errorf("got %d starts of jobs with unreadable records and the explanation %s, want 0 and unreadable", cluster.Stats().TaskStarts-starts, why)
	}
	reportViolations(t, cluster.Simulation)
}

// TestPlanOfAnUnreadableRecordStays damages a job's record and restarts all controllers, so that none has read the
// original. The page with the job's plan is rewritten several times for other jobs. The plan must remain in the page,
// and count again once the record can be read.
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
	cluster.waitFor("three tasks running", 20*time.Second, func() bool { return cluster.Utilization().Running == 3 })
	key := jobs.RecordKey("req-000001")
	original := cluster.StoredItem(key).Value
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
	planStored := false
	for _, item := range cluster.StoredItems(jobs.PlanPagePrefix) {
		planStored = planStored || strings.Contains(string(item.Value), `"req-000001/000"`)
	}
	if !planStored {
		t.Error("the plan of a job whose record can't be read was dropped from the pages, want it kept")
	}
	// The record can be read again. This leader doesn't have the job's running tasks, so it starts none. The next
	// leader reads record and plan.
	cluster.WriteKeys(store.Op{Put: key, Value: original})
	cluster.Advance(time.Second)
	l, _ := cluster.Leader()
	why := ""
	cluster.Request(l, "GET", "/v2/runs/req-000001/why", nil, func(_ int, raw []byte) { why = string(raw) })
	cluster.Advance(time.Second)
	if !strings.Contains(why, "unreadable") {
		t.Errorf("explanation by a leader without the job's plan: got %s, want unreadable", why)
	}
	cluster.KillController(l)
	cluster.Advance(5 * time.Second)
	cluster.StartController(l)
	cluster.waitUntilDone()
}

// TestNewerFormatIsNotActedOn stores a migration record in the format of a later release. Every leader steps down, all
// controllers report that they are behind, and their processes keep running.
func TestNewerFormatIsNotActedOn(t *testing.T) {
	cluster := newTestCluster(t, 60, 3, rollout.Newest, "")
	cluster.submitJobs(5 * time.Second)
	cluster.Advance(10 * time.Second)
	original := cluster.StoredItem("h/r/migration").Value
	cluster.WriteKeys(store.Op{Put: "h/r/migration", Value: json.RawMessage(`{"v":7,"level":2}`)})
	cluster.Advance(10 * time.Second)
	if ls := cluster.ActingLeaders(); len(ls) > 0 {
		t.Errorf("got acting leaders %v, want none", ls)
	}
	for i := range 3 {
		if v := cluster.rolloutView(i); !cluster.ControllerRuns(i) || v.State != "behind" {
			t.Errorf("controller %d: got %+v, want it running and behind", i, v)
		}
	}
	delete(cluster.formats, "h/r/migration")
	cluster.WriteKeys(store.Op{Put: "h/r/migration", Value: original})
	cluster.Advance(20 * time.Second)
	cluster.waitUntilDone()
}

// rollFault is a random fault of a run that upgrades and downgrades controllers.
type rollFault struct {
	controller int
	duration   time.Duration
	kind       int // 0 to 13, see injectRollFault
	zone       string
	partition  Partition
	level      rollout.Level // highest level of the release with which a controller restarts
}

// drawRollFault draws a fault. In the second half of a run controllers restart with the newest release.
func drawRollFault(rng *rand.Rand, controllers int, secondHalf bool) rollFault {
	fault := rollFault{
		controller: rng.IntN(controllers),
		duration:   time.Duration(500+rng.IntN(9000)) * time.Millisecond,
		kind:       rng.IntN(14),
		zone:       zoneNames()[rng.IntN(3)],
		partition:  Partition(1 + rng.IntN(5)),
		level:      rollout.Level(1 + rng.IntN(2)),
	}
	if secondHalf {
		fault.level = rollout.Newest
	}
	return fault
}

// injectRollFault starts a fault. Faults with a duration end by themselves.
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
		r.PartitionZone(fault.zone, fault.partition)
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

// sendRandomRolloutCommand sends a random operator's command to the leader, if any.
func (r *testCluster) sendRandomRolloutCommand() {
	leader, _ := r.Leader()
	if leader < 0 {
		return
	}
	op := []string{"hold", "abort", "free", "finish"}[r.rng.IntN(4)]
	body := fmt.Appendf(nil, `{"op":%q,"by":"chaos"}`, op)
	r.Request(leader, "POST", "/v2/rollout", body, func(int, []byte) {})
}

// finishRollout ends all faults, restarts all controllers with the newest release, releases any hold or abort, and
// waits for the end of the migration.
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
	r.waitFor("cluster at the newest level", time.Minute, func() bool { return r.ClusterLevel() == rollout.Newest })
	r.waitFor("plans migrated", time.Minute, r.migrated)
}

// TestRandomRollsUnderFaults upgrades and downgrades controllers at random times under load, with overlapping kills,
// drains, freezes, partitions, outages and operators' commands. All clusters reach the newest level and all jobs end.
func TestRandomRollsUnderFaults(t *testing.T) {
	seeds := 8
	if os.Getenv("HAREWALK_LONG") != "" {
		seeds = 240
	}
	upgraded, counts, starts, kills := 0, map[string]int{}, 0, 0
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
		countEnds(counts, cluster.users)
		s := cluster.Stats()
		starts, kills = starts+s.TaskStarts, kills+s.ControllersKilled
		if t.Failed() {
			t.Fatalf("seed %d failed", 100+seed)
		}
	}
	t.Logf("%d seeds, %d upgraded: %v; %d starts, %d controllers killed", seeds, upgraded, counts, starts, kills)
}

// TestEveryMachineGoneWhileNoControllerRuns powers off all zones, so that no machine and no controller runs. The
// leaders after the restart receive no heartbeats. They must not hand over to each other endlessly, each counting the
// machines' leases from its own start, but rent machines once the leases have expired.
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
		t.Errorf("got %d leader changes, want at most 3", now-term)
	}
}
