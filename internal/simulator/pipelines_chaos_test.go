package simulator

import (
	"cmp"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/rollout"
)

// Runs with random faults and pipelines.

// Dependencies between the jobs of a run with random faults.
const (
	chaosFollowerPercent = 60 // percentage of jobs with predecessors
	chaosMaxPredecessors = 3  // maximum number of predecessors of one job
	chaosFirstFollower   = 2  // index of the first user whose job may follow others
)

// linkPipelines makes most users' jobs follow one or more jobs that are submitted earlier.
func linkPipelines(rng *rand.Rand, users []*testUser) {
	users = slices.SortedFunc(slices.Values(users), func(a, b *testUser) int {
		return cmp.Compare(a.submittedAt, b.submittedAt)
	})
	for i, user := range users {
		if i < chaosFirstFollower || rng.IntN(100) >= chaosFollowerPercent {
			continue
		}
		chosen := rng.Perm(i)[:min(i, 1+rng.IntN(chaosMaxPredecessors))]
		for _, predecessor := range chosen {
			user.follow(users[predecessor])
		}
	}
}

// checkPipelineAnswers checks that every user received a final state that never changed. It counts the final states,
// and the jobs that were cancelled with a predecessor, in counts.
func checkPipelineAnswers(t *testing.T, sim *Simulation, users []*testUser, counts map[string]int) {
	t.Helper()
	for _, user := range users {
		if len(user.finalStates) == 0 {
			t.Errorf("%s: got no final state (status %d, follows %v), want one", user.spec.ID, user.status, user.spec.Follows)
			continue
		}
		counts[user.finalStates[0]]++
		if user.finalStates[0] == stateCancelled && !user.cancelRequested {
			counts["cancelled with a predecessor"]++
			if !sim.MayBeCancelled(user.spec.ID) {
				t.Errorf("%s was cancelled without a request to cancel it or a predecessor", user.spec.ID)
			}
		}
		for _, state := range user.finalStates {
			if state != user.finalStates[0] {
				t.Errorf("%s: got final states %v, want all equal", user.spec.ID, user.finalStates)
			}
		}
	}
}

// TestPipelineChaos runs the random faults of TestChaos on jobs that follow others. No invariant is violated, and
// every accepted job ends.
func TestPipelineChaos(t *testing.T) {
	seeds := 12
	if os.Getenv("HAREWALK_LONG") != "" {
		seeds = 200
	}
	counts := map[string]int{}
	for seed := range seeds {
		rng := rand.New(rand.NewPCG(uint64(seed+1), 53))
		link := func(users []*testUser) { linkPipelines(rng, users) }
		sim, users := runChaosWith(t, uint64(1000+seed), 60, 90*time.Second, link)
		for _, violation := range sim.Violations() {
			t.Errorf("seed %d: %s", 1000+seed, violation)
		}
		checkPipelineAnswers(t, sim, users, counts)
		if t.Failed() {
			t.Fatalf("seed %d failed", 1000+seed)
		}
	}
	t.Logf("%d seeds: %v", seeds, counts)
	if counts[stateDone] == 0 || counts["cancelled with a predecessor"] == 0 {
		t.Error("got no done job, or no job cancelled with a predecessor; want some of each")
	}
}

// Load of an upgrade with random faults.
const (
	upgradeChaosPlainJobs    = 20               // number of jobs without predecessors
	upgradeChaosPlainTime    = 40 * time.Second // time in which the plain jobs are submitted
	upgradeChaosPipelines    = 12
	upgradeChaosPipelineJobs = 5                      // number of jobs in each pipeline
	upgradeChaosPipelineTime = 50 * time.Second       // time in which the first jobs of pipelines are submitted
	upgradeChaosSubmitTime   = 300 * time.Millisecond // time between the submissions of two jobs of a pipeline
	upgradeChaosRollAfter    = 10 * time.Second       // time from the start to the rolling restart
	upgradeChaosCancelTime   = 12 * time.Second       // maximum time from a submission to its cancellation
)

// Shares in an upgrade with random faults: a value n means that one in n is affected.
const (
	upgradeChaosCancelShare = 8 // one in this many jobs is cancelled
	upgradeChaosLateShare   = 3 // one in this many faulty runs has delayed writes
	upgradeChaosKillShare   = 3 // one in this many restarts of faulty runs kills the controller while it drains
)

// upgradeChaos is a run that upgrades a cluster from the release before pipelines. Jobs without predecessors are
// submitted from the start, pipelines once all controllers run the newest release.
type upgradeChaos struct {
	*testCluster
	meter       *pipelineMeter
	faulty      bool // whether random faults are injected
	allUpgraded bool // whether all controllers run the newest release
	// returns counts the restarts of a controller with the former release while pipelines were stored and the
	// cluster's level had not risen.
	returns int
}

// newUpgradeChaos starts the cluster of a run. The seed selects 3 or 5 controllers and the soak time.
func newUpgradeChaos(t *testing.T, seed uint64, faulty bool) *upgradeChaos {
	t.Helper()
	cfg := pipelineConfig(seed)
	cfg.Controllers = 3 + 2*int(seed%2)
	cfg.LicencePools = map[string]int{"transcribe": 12}
	soak := []string{"2", "40"}[seed/2%2]
	cluster := newUpgradeClusterWith(t, cfg, chaosPools+"rollout {\n soak_s = "+soak+"\n}\n")
	return &upgradeChaos{testCluster: cluster, meter: newPipelineMeter(cluster), faulty: faulty}
}

// drawDuration returns a random duration less than limit.
func (c *upgradeChaos) drawDuration(limit time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(limit)))
}

// drawUser draws a job of any kind, without predecessors, that is submitted at submitAt.
func (c *upgradeChaos) drawUser(submitAt time.Duration) *testUser {
	user := c.newUser(drawJob(c.rng, len(c.users)+1))
	user.submittedAt = submitAt
	c.users = append(c.users, user)
	return user
}

// drawPlainUsers draws jobs without predecessors and their submission times.
func (c *upgradeChaos) drawPlainUsers() (users []*testUser) {
	for range upgradeChaosPlainJobs {
		users = append(users, c.drawUser(c.drawDuration(upgradeChaosPlainTime)))
	}
	return users
}

// drawPipelines draws pipelines. Each job except the first follows one or more earlier jobs of its pipeline.
func (c *upgradeChaos) drawPipelines() (users []*testUser) {
	for range upgradeChaosPipelines {
		submitAt := c.drawDuration(upgradeChaosPipelineTime)
		var pipeline []*testUser
		for i := range upgradeChaosPipelineJobs {
			user := c.drawUser(submitAt + time.Duration(i)*upgradeChaosSubmitTime)
			for _, predecessor := range c.rng.Perm(i)[:min(i, 1+c.rng.IntN(chaosMaxPredecessors))] {
				user.follow(pipeline[predecessor])
			}
			pipeline = append(pipeline, user)
		}
		users = append(users, pipeline...)
	}
	return users
}

// scheduleUsers schedules the submissions at the drawn times, and the cancellations of some of the jobs.
func (c *upgradeChaos) scheduleUsers(users []*testUser) {
	for _, user := range users {
		c.After(user.submittedAt, user.submit)
		if c.rng.IntN(upgradeChaosCancelShare) == 0 {
			c.After(user.submittedAt+c.drawDuration(upgradeChaosCancelTime), user.cancel)
		}
	}
}

// run performs the upgrade, with faults if c.faulty is set, then ends the faults and waits until all jobs have ended.
func (c *upgradeChaos) run() {
	c.t.Helper()
	pipelines := c.drawPipelines()
	c.scheduleUsers(c.drawPlainUsers())
	if c.faulty {
		c.scheduleFaults()
	}
	c.Advance(upgradeChaosRollAfter)
	kill := func(int) bool { return c.faulty && c.rng.IntN(upgradeChaosKillShare) == 0 }
	c.RollingRestart(rollout.Newest, time.Second, kill, func() {
		c.allUpgraded = true
		c.scheduleUsers(pipelines)
		if c.faulty {
			c.After(c.drawDuration(upgradeChaosPipelineTime), c.restartWithFormerRelease)
		}
	})
	c.waitFor("all controllers restarted", 5*time.Minute, func() bool { return c.allUpgraded })
	c.Advance(upgradeChaosPipelineTime + upgradeChaosCancelTime)
	c.endRun()
	c.waitUntilDone()
}

// scheduleFaults schedules random faults up to a time at which the rolling restart has probably ended.
func (c *upgradeChaos) scheduleFaults() {
	c.SetNetwork(time.Millisecond+c.drawDuration(20*time.Millisecond), 0.01, 0.01, 8*time.Second)
	c.scheduleChaosFaults(c.rng, upgradeChaosRollAfter+2*upgradeChaosPipelineTime)
	if c.rng.IntN(upgradeChaosLateShare) == 0 {
		c.DelayWrites(0.1, 500*time.Millisecond, 4*time.Second)
		c.LoseTxnAnswers(0.05)
	}
}

// restartWithFormerRelease restarts a controller with the former release, as an operator might by mistake, and later with
// the newest release.
func (c *upgradeChaos) restartWithFormerRelease() {
	if c.ClusterLevel() == levelBeforePipelines && len(c.dependentRecords()) > 0 {
		c.returns++
	}
	controller := c.rng.IntN(c.Controllers())
	c.KillController(controller)
	c.SetRelease(controller, levelBeforePipelines)
	c.After(time.Second, func() { c.StartController(controller) })
	c.After(time.Second+c.drawDuration(upgradeChaosCancelTime), func() {
		c.KillController(controller)
		c.SetRelease(controller, rollout.Newest)
		c.StartController(controller)
	})
}

// endRun ends all faults, checks that all controllers run the newest release, and waits until the cluster's level
// rises.
func (c *upgradeChaos) endRun() {
	c.t.Helper()
	c.Advance(25 * time.Second) // active faults end by themselves
	c.SetNetwork(2*time.Millisecond, 0, 0, 0)
	c.endFaults()
	for i := range c.Controllers() {
		if c.runningLevel(i) != rollout.Newest {
			c.t.Errorf("controller %d runs the former release, want the newest", i)
		}
	}
	c.waitFor("cluster at the newest level", 2*time.Minute, func() bool { return c.ClusterLevel() == rollout.Newest })
}

// TestPipelineUpgradeChaos upgrades clusters while pipelines are submitted and cancelled, with and without random
// faults. No invariant is violated, and every accepted job ends. The test logs the delays from the end of
// predecessors to a job's start, and from a cancellation to the last answer that calls a successor pending or
// running.
func TestPipelineUpgradeChaos(t *testing.T) {
	for name, run := range map[string]struct {
		faulty           bool
		seeds, longSeeds int
	}{
		"without faults": {seeds: 2, longSeeds: 20},
		"with faults":    {faulty: true, seeds: 8, longSeeds: 200},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			seeds := run.seeds
			if os.Getenv("HAREWALK_LONG") != "" {
				seeds = run.longSeeds
			}
			counts := map[string]int{}
			var delays pipelineDelays
			var kills, starts, returns int
			for seed := range seeds {
				chaos := newUpgradeChaos(t, uint64(2000+seed), run.faulty)
				chaos.run()
				checkPipelineAnswers(t, chaos.Simulation, chaos.users, counts)
				delays.add(chaos.meter.delays())
				kills += chaos.Stats().ControllersKilled
				starts += chaos.Stats().TaskStarts
				returns += chaos.returns
				if t.Failed() {
					t.Fatalf("seed %d failed", 2000+seed)
				}
			}
			t.Logf("%d seeds: %v; %d starts, %d controllers killed, %d restarts with the former release while pipelines were stored",
				seeds, counts, starts, kills, returns)
			delays.log(t, name)
			if counts[stateDone] == 0 || len(delays.releaseToStart) == 0 || len(delays.cancelToLastOpen) == 0 {
				t.Error("got no done job, no job started after its predecessors, or no job cancelled with one; want some of each")
			}
			if run.faulty && (kills == 0 || returns == 0) {
				t.Error("got no killed controller, or no restart with the former release while pipelines were stored; want both")
			}
		})
	}
}
