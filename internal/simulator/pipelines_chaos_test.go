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

// Chaotic runs with pipelines.

// What of the jobs of a chaotic run follows others.
const (
	chaosFollowerPercent = 60
	chaosMaxPredecessors = 3
	chaosFirstFollower   = 2 // the index of the first user whose job may follow others
)

// linkPipelines makes most users' jobs follow some that are submitted before them.
func linkPipelines(rng *rand.Rand, users []*testUser) {
	users = slices.SortedFunc(slices.Values(users), func(a, b *testUser) int {
		return cmp.Compare(a.submitAt, b.submitAt)
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

// checkPipelineAnswers checks that every user of a chaotic run received one final state, and counts them.
func checkPipelineAnswers(t *testing.T, sim *Simulation, users []*testUser, ends map[string]int) {
	t.Helper()
	for _, user := range users {
		if len(user.finalStates) == 0 {
			t.Errorf("%s is not over (status %d, follows %v)", user.spec.ID, user.status, user.spec.Follows)
			continue
		}
		ends[user.finalStates[0]]++
		if user.finalStates[0] == stateCancelled && !user.cancelRequested {
			ends["cancelled with another"]++
			if !sim.MayBeCancelled(user.spec.ID) {
				t.Errorf("%s is cancelled, and nobody asked for it", user.spec.ID)
			}
		}
		for _, state := range user.finalStates {
			if state != user.finalStates[0] {
				t.Errorf("%s was answered %v", user.spec.ID, user.finalStates)
			}
		}
	}
}

// TestPipelineChaos is TestChaos with jobs that follow others: no rule breaks, and every accepted job ends.
func TestPipelineChaos(t *testing.T) {
	seeds := 12
	if os.Getenv("HAREWALK_LONG") != "" {
		seeds = 200
	}
	ends := map[string]int{}
	for seed := range seeds {
		rng := rand.New(rand.NewPCG(uint64(seed+1), 53))
		link := func(users []*testUser) { linkPipelines(rng, users) }
		sim, users := runChaosWith(t, uint64(1000+seed), 60, 90*time.Second, link)
		for _, violation := range sim.Violations() {
			t.Errorf("seed %d: %s", 1000+seed, violation)
		}
		checkPipelineAnswers(t, sim, users, ends)
		if t.Failed() {
			t.Fatalf("seed %d failed", 1000+seed)
		}
	}
	t.Logf("%d seeds: %v", seeds, ends)
	if ends[stateDone] == 0 || ends["cancelled with another"] == 0 {
		t.Error("no job was done, or none was cancelled with one that it follows")
	}
}

// What is submitted in a chaotic upgrade, and when.
const (
	upgradeChaosPlainJobs    = 20
	upgradeChaosPlainTime    = 40 * time.Second
	upgradeChaosPipelines    = 12
	upgradeChaosPipelineJobs = 5 // of each pipeline
	upgradeChaosPipelineTime = 50 * time.Second
	upgradeChaosSubmitTime   = 300 * time.Millisecond // between the jobs of a pipeline
	upgradeChaosRollAfter    = 10 * time.Second
	upgradeChaosCancelTime   = 12 * time.Second // from a submission to its cancellation, at most
)

// Shares of chaotic upgrades: of as many, one is affected.
const (
	upgradeChaosCancelShare = 8 // jobs that are cancelled
	upgradeChaosLateShare   = 3 // runs with faults in which writes are late
	upgradeChaosKillShare   = 3 // restarts with faults that kill the controller while it drains
)

// upgradeChaos is a run in which a cluster is upgraded from the release before pipelines, with jobs without and, once all
// controllers run the newest release, with predecessors.
type upgradeChaos struct {
	*testCluster
	meter  *pipelineMeter
	faulty bool
	rolled bool
	// returns counts the returns of the former release to stored pipelines, before the cluster's level had risen.
	returns int
}

// newUpgradeChaos starts the cluster of a run.
func newUpgradeChaos(t *testing.T, seed uint64, faulty bool) *upgradeChaos {
	t.Helper()
	cfg := pipelineConfig(seed)
	cfg.Controllers = 3 + 2*int(seed%2)
	cfg.LicencePools = map[string]int{"transcribe": 12}
	soak := []string{"2", "40"}[seed/2%2]
	cluster := newUpgradeClusterWith(t, cfg, chaosPools+"rollout {\n soak_s = "+soak+"\n}\n")
	return &upgradeChaos{testCluster: cluster, meter: newPipelineMeter(cluster), faulty: faulty}
}

// upTo draws a time.
func (c *upgradeChaos) upTo(limit time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(limit)))
}

// drawUser draws a job of any kind, with or without predecessors, and when it is submitted.
func (c *upgradeChaos) drawUser(submitAt time.Duration) *testUser {
	user := c.newUser(drawJob(c.rng, len(c.users)+1))
	user.submitAt = submitAt
	c.users = append(c.users, user)
	return user
}

// drawPlainUsers draws jobs without predecessors.
func (c *upgradeChaos) drawPlainUsers() (users []*testUser) {
	for range upgradeChaosPlainJobs {
		users = append(users, c.drawUser(c.upTo(upgradeChaosPlainTime)))
	}
	return users
}

// drawPipelines draws pipelines. Each job but the first follows some that were submitted before it in its pipeline.
func (c *upgradeChaos) drawPipelines() (users []*testUser) {
	for range upgradeChaosPipelines {
		submitAt := c.upTo(upgradeChaosPipelineTime)
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

// submitDrawn lets users submit at the times drawn. Some cancel their job.
func (c *upgradeChaos) submitDrawn(users []*testUser) {
	for _, user := range users {
		c.After(user.submitAt, user.submit)
		if c.rng.IntN(upgradeChaosCancelShare) == 0 {
			c.After(user.submitAt+c.upTo(upgradeChaosCancelTime), user.cancel)
		}
	}
}

// run plays the upgrade, with faults if it is faulty, ends the faults and waits until all jobs are over.
func (c *upgradeChaos) run() {
	c.t.Helper()
	pipelines := c.drawPipelines()
	c.submitDrawn(c.drawPlainUsers())
	if c.faulty {
		c.scheduleFaults()
	}
	c.Advance(upgradeChaosRollAfter)
	kill := func(int) bool { return c.faulty && c.rng.IntN(upgradeChaosKillShare) == 0 }
	c.RollingRestart(rollout.Newest, time.Second, kill, func() {
		c.rolled = true
		c.submitDrawn(pipelines)
		if c.faulty {
			c.After(c.upTo(upgradeChaosPipelineTime), c.returnToFormer)
		}
	})
	c.waitFor("rolled", 5*time.Minute, func() bool { return c.rolled })
	c.Advance(upgradeChaosPipelineTime + upgradeChaosCancelTime)
	c.endRun()
	c.waitUntilDone()
}

// scheduleFaults draws faults until some time after the roll has probably ended.
func (c *upgradeChaos) scheduleFaults() {
	c.SetNetwork(time.Millisecond+c.upTo(20*time.Millisecond), 0.01, 0.01, 8*time.Second)
	c.scheduleChaosFaults(c.rng, upgradeChaosRollAfter+2*upgradeChaosPipelineTime)
	if c.rng.IntN(upgradeChaosLateShare) == 0 {
		c.DelayWrites(0.1, 500*time.Millisecond, 4*time.Second)
		c.LoseTxnAnswers(0.05)
	}
}

// returnToFormer restarts a controller with the former release by mistake, and with the newest some time later.
func (c *upgradeChaos) returnToFormer() {
	if c.ClusterLevel() == levelBeforePipelines && len(c.dependentRecords()) > 0 {
		c.returns++
	}
	controller := c.rng.IntN(c.Controllers())
	c.KillController(controller)
	c.SetRelease(controller, levelBeforePipelines)
	c.After(time.Second, func() { c.StartController(controller) })
	c.After(time.Second+c.upTo(upgradeChaosCancelTime), func() {
		c.KillController(controller)
		c.SetRelease(controller, rollout.Newest)
		c.StartController(controller)
	})
}

// endRun ends all faults. All controllers run the newest release then, and the level rises.
func (c *upgradeChaos) endRun() {
	c.t.Helper()
	c.Advance(25 * time.Second) // faults that were begun end by themselves
	c.SetNetwork(2*time.Millisecond, 0, 0, 0)
	c.endFaults()
	for i := range c.Controllers() {
		if c.runningLevel(i) != rollout.Newest {
			c.t.Errorf("controller %d has the former release", i)
		}
	}
	c.waitFor("upgraded", 2*time.Minute, func() bool { return c.ClusterLevel() == rollout.Newest })
}

// TestPipelineUpgradeChaos upgrades clusters under random faults while pipelines are submitted and cancelled: no rule
// breaks, and every accepted job ends. It logs how soon jobs start after those that they follow, and how soon no job
// after a cancelled one is called pending.
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
			ends := map[string]int{}
			var delays pipelineDelays
			var kills, starts, returns int
			for seed := range seeds {
				chaos := newUpgradeChaos(t, uint64(2000+seed), run.faulty)
				chaos.run()
				checkPipelineAnswers(t, chaos.Simulation, chaos.users, ends)
				delays.add(chaos.meter.delays())
				kills += chaos.Stats().ControllersKilled
				starts += chaos.Stats().TaskStarts
				returns += chaos.returns
				if t.Failed() {
					t.Fatalf("seed %d failed", 2000+seed)
				}
			}
			t.Logf("%d seeds: %v; %d starts, %d controllers killed, %d returns of the former release to pipelines",
				seeds, ends, starts, kills, returns)
			delays.log(t, name)
			if ends[stateDone] == 0 || len(delays.releaseToStart) == 0 || len(delays.cancelToGone) == 0 {
				t.Error("no job was done, none was released, or none was cancelled with one that it follows")
			}
			if run.faulty && (kills == 0 || returns == 0) {
				t.Error("no controller was killed, or the former release returned to no pipeline")
			}
		})
	}
}
