package simulator

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/rollout"
)

// Tests of pipelines in a cluster that is upgraded from the release before pipelines (the former release). Simulated
// controllers of the former release can't read the records of jobs with predecessors. Users submit pipelines once all
// controllers run the newest release.

// levelBeforePipelines is the highest level of the release before pipelines.
const levelBeforePipelines = rollout.Dependencies - 1

// newUpgradeCluster starts controllers of the former release, which archive jobs soon after their end. The cluster's
// level rises soak seconds after all controllers support a higher level.
func newUpgradeCluster(t *testing.T, seed uint64, controllers int, soak string) *testCluster {
	t.Helper()
	cfg := pipelineConfig(seed)
	cfg.Controllers = controllers
	return newUpgradeClusterWith(t, cfg, strings.Replace(pipelineOperator, "soak_s = 1", "soak_s = "+soak, 1))
}

// newUpgradeClusterWith starts controllers of the former release with a configuration and operators' settings.
func newUpgradeClusterWith(t *testing.T, cfg Config, operator string) *testCluster {
	t.Helper()
	cluster := startCluster(t, pipelineStream, cfg, func(settings *config.Settings) error {
		settings.SimulateRelease(levelBeforePipelines, FormerRelease)
		return settings.ParseOperator("o.hcl", []byte(operator))
	})
	cluster.waitFor("cluster at the former release's level", 30*time.Second, func() bool {
		return cluster.ClusterLevel() == levelBeforePipelines && len(cluster.ActingLeaders()) == 1
	})
	return cluster
}

// submitPlainJobs schedules the submissions of jobs without predecessors, one every interval.
func (r *testCluster) submitPlainJobs(count int, interval time.Duration) {
	for i := range count {
		user := r.addUser()
		user.spec.EstimateS = 2
		r.After(time.Duration(i)*interval, user.submit)
	}
}

// cancelledPipelineShare is the share of pipelines whose head is cancelled: one in this many.
const cancelledPipelineShare = 3

// submitPipelines schedules the submissions of diamonds, one every interval, and cancels the head of every third
// diamond 2 s after its submission.
func (r *testCluster) submitPipelines(count int, interval time.Duration) (pipelines [][]*testUser) {
	for i := range count {
		pipeline := r.addDiamond()
		pipelines = append(pipelines, pipeline)
		r.After(time.Duration(i)*interval, func() {
			for _, user := range pipeline {
				user.submit()
			}
		})
		if i%cancelledPipelineShare == 0 {
			head := pipeline[0]
			head.spec.EstimateS = 60
			r.After(time.Duration(i)*interval+2*time.Second, head.cancel)
		}
	}
	return pipelines
}

// upgradeFault is a fault during a rolling restart.
type upgradeFault struct {
	// begin starts faults that last for the whole upgrade. It may be nil.
	begin func(cluster *testCluster)
	// strike is called before each restart. It returns whether the controller is killed while it drains.
	strike func(cluster *testCluster, controller int) (kill bool)
}

// notKilled is the strike function of faults that don't affect the restarts.
func notKilled(*testCluster, int) bool { return false }

// upgradeFaults are the faults during upgrades, by name.
var upgradeFaults = map[string]upgradeFault{
	"none": {strike: notKilled},
	"killed while draining": {
		strike: func(_ *testCluster, controller int) bool { return controller%2 == 0 },
	},
	"leader dies at each step": {
		// The killed leader restarts with the release that it ran.
		strike: func(cluster *testCluster, _ int) bool {
			cluster.After(300*time.Millisecond, func() { cluster.onLeader(restartAfterKill, cluster.KillController) })
			return false
		},
	},
	"another dies at each step": {
		strike: func(cluster *testCluster, controller int) bool {
			other := (controller + 1) % cluster.Controllers()
			cluster.KillController(other)
			cluster.After(2*time.Second, func() { cluster.StartController(other) })
			return false
		},
	},
	"late writes": {
		begin: func(cluster *testCluster) {
			cluster.DelayWrites(0.2, 500*time.Millisecond, 4*time.Second)
			cluster.LoseTxnAnswers(0.1)
		},
		strike: notKilled,
	},
	"late writes and leader dies": {
		begin: func(cluster *testCluster) {
			cluster.DelayWrites(0.2, 500*time.Millisecond, 4*time.Second)
			cluster.DuplicateMessages(0.2, 100*time.Millisecond, 10*time.Second)
		},
		strike: func(cluster *testCluster, _ int) bool {
			cluster.onLeader(restartAfterKill, cluster.KillController)
			return false
		},
	},
}

// dependentRecords returns the sorted IDs of jobs whose stored records have the format of pending jobs with
// predecessors.
func (r *testCluster) dependentRecords() (ids []string) {
	for key, item := range r.StoredItems(jobs.RecordPrefix) {
		if rollout.FormatOf(item.Value) == dependentJobFormat {
			ids = append(ids, jobs.IDOfKey(key))
		}
	}
	slices.Sort(ids)
	return ids
}

// endFaults ends duplicated messages, delayed writes and lost answers, and starts the controllers that aren't running.
func (r *testCluster) endFaults() {
	r.DelayWrites(0, 0, 0)
	r.LoseTxnAnswers(0)
	r.DuplicateMessages(0, 0, 0)
	r.startControllers()
}

// checkPipelines checks that pipelines whose head was cancelled are cancelled as a whole, and that the others are
// done.
func (r *testCluster) checkPipelines(pipelines [][]*testUser) {
	r.t.Helper()
	for _, pipeline := range pipelines {
		want := stateDone
		if pipeline[0].cancelRequested {
			want = stateCancelled
		}
		r.wantFinalStates(want, pipeline...)
	}
}

// TestUpgradeToPipelines restarts controllers one by one from the former release to the newest, under load and with
// each of the faults. Pipelines are submitted from when all controllers run the newest release, before and after the
// cluster's level rises.
func TestUpgradeToPipelines(t *testing.T) {
	for name, fault := range upgradeFaults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster := newUpgradeCluster(t, 630, 5, "6")
			cluster.submitPlainJobs(40, time.Second)
			if fault.begin != nil {
				fault.begin(cluster)
			}
			cluster.Advance(5 * time.Second)
			var pipelines [][]*testUser
			kill := func(controller int) bool { return fault.strike(cluster, controller) }
			rolled := false
			cluster.RollingRestart(rollout.Newest, time.Second, kill, func() {
				rolled = true
				pipelines = cluster.submitPipelines(18, time.Second)
			})
			cluster.waitFor("all controllers restarted", 3*time.Minute, func() bool { return rolled })
			storedBefore := 0
			cluster.waitFor("cluster at the newest level", time.Minute, func() bool {
				storedBefore = max(storedBefore, len(cluster.dependentRecords()))
				return cluster.ClusterLevel() == rollout.Newest
			})
			if storedBefore == 0 {
				t.Error("got no record of a job with predecessors before the level rose, want some")
			}
			cluster.KillLeaders(2, 6*time.Second)
			cluster.Advance(25 * time.Second)
			cluster.endFaults()
			cluster.waitUntilDone()
			cluster.checkPipelines(pipelines)
		})
	}
}

// TestPipelinesWaitForAllControllers submits a job with a predecessor to every controller while one controller still
// runs the former release. Each answer is 503 and nothing is stored, until all controllers run the newest release.
func TestPipelinesWaitForAllControllers(t *testing.T) {
	cluster := newUpgradeCluster(t, 631, 3, "600")
	head := cluster.addUser()
	head.submit()
	cluster.waitUntilAccepted(head)
	follower := cluster.addUser(head)
	cluster.RecordSubmission(follower.spec)
	body := submission(t, follower.spec)
	former := (cluster.waitForLeader() + 1) % cluster.Controllers()
	cluster.forOthers(former, func(i int) {
		cluster.restart(i, rollout.Newest)
		cluster.Advance(5 * time.Second)
	})
	for range 10 {
		for i := range cluster.Controllers() {
			cluster.Request(i, http.MethodPost, runsPath, body, func(status int, _ []byte) {
				if status != http.StatusServiceUnavailable {
					t.Errorf("controller %d: got status %d, want 503", i, status)
				}
			})
		}
		cluster.Advance(time.Second)
	}
	if ids := cluster.dependentRecords(); len(ids) > 0 {
		t.Errorf("got stored records of jobs with predecessors %v, want none", ids)
	}
	cluster.restart(former, rollout.Newest)
	follower.submit()
	cluster.waitUntilDone()
	cluster.wantFinalStates(stateDone, cluster.users...)
}

// formerReturn describes the mistaken restart of a controller with the former release after pipelines were accepted.
type formerReturn struct {
	othersDown bool          // whether the other controllers are down, so that this one leads
	killAtEnd  bool          // whether the controller is finally killed instead of drained
	runTime    time.Duration // time from the restart until the controller gets the newest release
}

// formerReturns are the mistaken restarts under test, by name.
var formerReturns = map[string]formerReturn{
	"beside":                   {runTime: 20 * time.Second},
	"leads":                    {othersDown: true, runTime: 10 * time.Second, killAtEnd: true},
	"leads beyond cancel_s":    {othersDown: true, runTime: 25 * time.Second},
	"leads for a whole minute": {othersDown: true, runTime: time.Minute, killAtEnd: true},
}

// formerReleasePipelines are the pipelines of a test that restarts a controller with the former release.
type formerReleasePipelines struct {
	running   []*testUser // pipeline whose second job runs
	endsSoon  []*testUser // pipeline whose first job ends while the former release runs
	cancelled []*testUser // pipeline whose first job is cancelled while the former release runs
	gang      []*testUser // pipeline whose second job is a running gang
}

// all returns the users of all pipelines.
func (p *formerReleasePipelines) all() (users []*testUser) {
	for _, chain := range [][]*testUser{p.running, p.endsSoon, p.cancelled, p.gang} {
		users = append(users, chain...)
	}
	return users
}

// submitFormerReleasePipelines submits the pipelines, and waits until the jobs of each that should run have started.
func (r *testCluster) submitFormerReleasePipelines() *formerReleasePipelines {
	r.t.Helper()
	p := &formerReleasePipelines{
		running:   r.addChain(3),
		endsSoon:  r.addChain(3),
		cancelled: r.addChain(4),
		gang:      r.addChain(3),
	}
	p.running[1].spec.EstimateS = 50
	p.endsSoon[0].spec.EstimateS = 20
	p.cancelled[0].spec.EstimateS = 200
	p.gang[1].spec.EstimateS = 40
	p.gang[1].spec.Kind = jobs.Gang
	p.gang[1].spec.Tasks = 3
	for _, user := range p.all() {
		user.submit()
	}
	r.waitUntilAccepted(p.all()...)
	r.waitFor("jobs running", 30*time.Second, func() bool {
		return r.hasStarted(p.running[1]) && r.hasStarted(p.gang[1]) && r.hasStarted(p.endsSoon[0])
	})
	return p
}

// hasStarted reports whether a task of a user's job has started.
func (r *testCluster) hasStarted(user *testUser) bool {
	_, started := r.FirstStart(user.spec.ID)
	return started
}

// TestFormerReleaseReturnsAfterPipelines restarts a controller with the former release by mistake, after pipelines
// were accepted and before the level rose, beside the other controllers or as the only one. The controller can't read
// the records of jobs with predecessors, so it must not start them. Once it runs the newest release all pipelines
// end.
func TestFormerReleaseReturnsAfterPipelines(t *testing.T) {
	for name, mistake := range formerReturns {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster := newUpgradeCluster(t, 632, 3, "600")
			rolled := false
			cluster.RollingRestart(rollout.Newest, time.Second, nil, func() { rolled = true })
			cluster.waitFor("all controllers restarted", time.Minute, func() bool { return rolled })
			pipelines := cluster.submitFormerReleasePipelines()
			former := (cluster.waitForLeader() + 1) % cluster.Controllers()
			cluster.restart(former, levelBeforePipelines)
			cluster.Advance(2 * time.Second)
			if mistake.othersDown {
				cluster.killOthers(former)
				cluster.waitFor("led by the former release", 30*time.Second, func() bool {
					leader, _ := cluster.Leader()
					return leader == former && len(cluster.ActingLeaders()) == 1
				})
			}
			cluster.cancelAt(pipelines.cancelled[0], former)
			cluster.checkQuarantined(former, pipelines, mistake.runTime)
			cluster.replaceFormer(former, mistake)
			cluster.waitFor("cluster at the newest level", 12*time.Minute, func() bool { return cluster.ClusterLevel() == rollout.Newest })
			cluster.waitUntilDone()
			cluster.wantFinalStates(stateCancelled, pipelines.cancelled...)
			for _, chain := range [][]*testUser{pipelines.running, pipelines.endsSoon, pipelines.gang} {
				cluster.wantFinalStates(stateDone, chain...)
			}
		})
	}
}

// killOthers kills all controllers except the given one.
func (r *testCluster) killOthers(controller int) {
	r.forOthers(controller, func(i int) { r.KillController(i) })
}

// replaceFormer restarts a controller of the former release with the newest, after a kill or a drain, and starts the
// other controllers.
func (r *testCluster) replaceFormer(former int, mistake formerReturn) {
	startAll := func() {
		r.SetRelease(former, rollout.Newest)
		r.startControllers()
	}
	if mistake.killAtEnd {
		r.KillController(former)
		startAll()
		return
	}
	r.DrainController(former, startAll)
	r.Advance(10 * time.Second)
	r.startControllers()
}

// checkQuarantined queries all controllers about all jobs for a time, and checks that the former release answers
// queries of jobs whose records it can't read with 503, never with 200.
func (r *testCluster) checkQuarantined(former int, pipelines *formerReleasePipelines, duration time.Duration) {
	r.t.Helper()
	refused := 0
	for end := r.Now() + duration; r.Now() < end; r.Advance(500 * time.Millisecond) {
		r.queryEverywhere(pipelines.all())
		for _, id := range r.dependentRecords() {
			r.Request(former, http.MethodGet, runsPath+"/"+id, nil, func(status int, raw []byte) {
				switch {
				case status == http.StatusServiceUnavailable:
					refused++
				case status == http.StatusOK && r.isDependentRecord(id):
					r.t.Errorf("%v: got 200 %s from the former release for %s, want 503", r.Now(), raw, id)
				}
			})
		}
	}
	if refused == 0 {
		r.t.Error("got no answer 503 from the former release, want some")
	}
}

// isDependentRecord reports whether a job's stored record has the format of a pending job with predecessors.
func (r *testCluster) isDependentRecord(id string) bool {
	return rollout.FormatOf(r.StoredItem(jobs.RecordKey(id)).Value) == dependentJobFormat
}
