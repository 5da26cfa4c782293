package simulator

import (
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/rollout"
)

// partialFault is what a random fault draws. Each kind uses some of it.
type partialFault struct {
	controller      int
	kind            int // in partialFaultKinds
	duration        time.Duration
	zone            string
	links           Links
	count           int           // 0 to 5
	restartDelay    time.Duration // less than a second
	membershipState string
	bootFactor      float64
	neverBootShare  float64
}

// drawPartialFault draws a fault. The order of the draws is that of the fields.
func drawPartialFault(rng *rand.Rand, controllers int) partialFault {
	return partialFault{
		controller:      rng.IntN(controllers),
		kind:            rng.IntN(len(partialFaultKinds)),
		duration:        time.Duration(500+rng.IntN(15000)) * time.Millisecond,
		zone:            zoneNames()[rng.IntN(3)],
		links:           Links(1 + rng.IntN(31)),
		count:           rng.IntN(6),
		restartDelay:    time.Duration(50+rng.IntN(850)) * time.Millisecond,
		membershipState: membershipStates()[rng.IntN(7)],
		bootFactor:      []float64{0.01, 4, 10}[rng.IntN(3)],
		neverBootShare:  []float64{0, 0.3, 1}[rng.IntN(3)],
	}
}

// partialFaultRun is a run of random faults over a load, with users' queries through a balancer.
type partialFaultRun struct {
	*testCluster
	draws        *rand.Rand // of the faults
	pollers      *JobPollers
	followed     int         // users whose jobs the pollers follow
	failingUsers []*testUser // of jobs that fail wherever they run, until they are cancelled
}

// partialFaultKinds begin a fault each. Their order is part of what a seed draws.
var partialFaultKinds = []func(*partialFaultRun, partialFault){
	func(run *partialFaultRun, f partialFault) { run.DropInbound(1+f.count, "", f.duration) },
	func(run *partialFaultRun, f partialFault) { run.DropInbound(wholeZone, f.zone, f.duration) },
	func(run *partialFaultRun, f partialFault) { run.DropOutbound(1+f.count, "", f.duration) },
	(*partialFaultRun).cutSomeLinks,
	(*partialFaultRun).cutSomeLinks, // twice as often
	(*partialFaultRun).cutLeaderFromState,
	func(run *partialFaultRun, f partialFault) {
		for range 1 + f.count {
			run.RestartMachine("", f.restartDelay)
		}
	},
	(*partialFaultRun).restartControllers,
	(*partialFaultRun).restartLeader,
	func(run *partialFaultRun, f partialFault) {
		run.RestartControllerAtStep(f.controller, f.membershipState, f.restartDelay)
	},
	func(run *partialFaultRun, f partialFault) {
		run.SetBootFault(f.bootFactor, f.neverBootShare)
		run.After(f.duration, func() { run.SetBootFault(0, 0) })
	},
	(*partialFaultRun).submitFailingJob,
	func(run *partialFaultRun, f partialFault) {
		if leader, _ := run.Leader(); leader >= 0 {
			run.FreezeController(leader, 5*f.duration)
		}
	},
	func(run *partialFaultRun, f partialFault) { run.FreezeController(f.controller, f.duration) },
	func(run *partialFaultRun, f partialFault) {
		run.PartitionZone(f.zone, Partition(1+f.count%5))
		run.After(f.duration, func() { run.PartitionZone(f.zone, Connected) })
	},
	func(run *partialFaultRun, f partialFault) { run.during(f.duration/2, run.SetStateOutage) },
	func(run *partialFaultRun, f partialFault) {
		run.during(f.duration, func(on bool) { run.RefuseController(f.controller, on) })
	},
	func(run *partialFaultRun, f partialFault) {
		run.DrainController(f.controller, func() {
			run.After(f.restartDelay, func() { run.StartController(f.controller) })
		})
	},
	func(run *partialFaultRun, f partialFault) {
		run.HangMachine(f.duration)
		run.KillMachine()
	},
	func(run *partialFaultRun, f partialFault) { run.DelayMachineCommands(f.duration) },
	func(run *partialFaultRun, f partialFault) { run.RefuseOutbound(1+f.count, "", f.duration) },
	func(run *partialFaultRun, f partialFault) { run.RefuseOutbound(wholeZone, f.zone, f.duration) },
	func(run *partialFaultRun, f partialFault) { run.duringShare(f.duration, 0.3, run.LoseTxnAnswers) },
	func(run *partialFaultRun, f partialFault) {
		run.duringShare(f.duration, 0.2, func(share float64) {
			run.DelayWrites(share, 500*time.Millisecond, 5*time.Second)
		})
	},
	func(run *partialFaultRun, f partialFault) { run.duringShare(2*f.duration, 0.3, run.ReplayHeartbeats) },
	func(run *partialFaultRun, f partialFault) { run.during(f.duration, run.SetPollBursts) },
	func(run *partialFaultRun, f partialFault) { run.during(f.duration, run.SetOddRequests) },
	func(run *partialFaultRun, f partialFault) { run.duringShare(f.duration, 0.4, run.CancelAtCompletion) },
	func(run *partialFaultRun, f partialFault) { run.CancelRunning(1+f.count, f.duration/2) },
	func(run *partialFaultRun, f partialFault) { run.KillLeaders(2+f.count, f.duration) },
	func(run *partialFaultRun, f partialFault) {
		run.during(f.duration, func(on bool) {
			run.DelayStateAnswers(0, map[bool]time.Duration{true: 900 * time.Millisecond}[on])
		})
	},
}

// duringShare sets a share for a time, and then none.
func (run *partialFaultRun) duringShare(duration time.Duration, share float64, set func(float64)) {
	run.during(duration, func(on bool) { set(map[bool]float64{true: share}[on]) })
}

// cutSomeLinks cuts a controller off from some of its counterparts.
func (run *partialFaultRun) cutSomeLinks(f partialFault) {
	run.CutLinks(f.controller, f.links)
	run.After(f.duration, func() { run.CutLinks(f.controller, 0) })
}

// cutLeaderFromState cuts the leader off from the state service and the other controllers.
func (run *partialFaultRun) cutLeaderFromState(f partialFault) {
	if leader, _ := run.Leader(); leader >= 0 {
		run.CutLinks(leader, StateLink|PeerLinks)
		run.After(f.duration, func() { run.CutLinks(leader, 0) })
	}
}

// restartControllers kills one controller or all, and starts them at once.
func (run *partialFaultRun) restartControllers(f partialFault) {
	for i := range run.Controllers() {
		if f.count > 2 || i == f.count {
			run.KillController(i)
			run.After(f.restartDelay, func() { run.StartController(i) })
		}
	}
}

// restartLeader kills the leader and starts it at once.
func (run *partialFaultRun) restartLeader(f partialFault) {
	if leader, _ := run.Leader(); leader >= 0 {
		run.KillController(leader)
		run.After(f.restartDelay, func() { run.StartController(leader) })
	}
}

// submitFailingJob submits a job that fails wherever it runs, and cancels it after a time.
func (run *partialFaultRun) submitFailingJob(f partialFault) {
	spec := drawJob(run.draws, 700000+len(run.failingUsers))
	user := run.newUser(spec)
	run.failingUsers = append(run.failingUsers, user)
	run.FailJob(spec.ID)
	user.submit()
	run.After(f.duration, user.cancel)
}

// followAccepted lets the pollers follow all jobs in the order of their submissions, up to the first that isn't
// accepted yet, and does so again every second.
func (run *partialFaultRun) followAccepted() {
	for ; run.followed < len(run.users) && run.users[run.followed].isAccepted(); run.followed++ {
		run.pollers.Follow(run.users[run.followed].spec.ID, nil)
	}
	run.After(time.Second, run.followAccepted)
}

// endFaults ends all faults; the last freeze ends by itself.
func (run *partialFaultRun) endFaults() {
	run.SetNetwork(2*time.Millisecond, 0, 0, 0)
	run.DuplicateMessages(0, 0, 0)
	run.SetBootFault(0, 0)
	for _, zone := range zoneNames() {
		run.PartitionZone(zone, Connected)
	}
	run.Advance(80 * time.Second)
	for i := range run.Controllers() {
		run.CutLinks(i, 0)
		run.StartController(i)
	}
}

// newPartialFaultRun starts a cluster with a load and a poor network.
func newPartialFaultRun(t *testing.T, seed uint64, duration time.Duration) *partialFaultRun {
	t.Helper()
	cluster := newTestClusterOn(
		t,
		seed,
		3+2*int(seed%2),
		rollout.Newest,
		"",
		16,
		gpuMachineTypes(5),
		[]config.Team{{Name: "red", CPUs: 30, CPUsMax: 90}, {Name: "blue", CPUs: 30, CPUsMax: 120}},
	)
	run := &partialFaultRun{testCluster: cluster, draws: rand.New(rand.NewPCG(seed, 77))}
	run.SetNetwork(time.Duration(1+run.draws.IntN(15))*time.Millisecond, 0.01, 0.01, 8*time.Second)
	run.DuplicateMessages(0.1*run.draws.Float64(), time.Second, 30*time.Second)
	run.pollers = run.Balance().JobPollers()
	run.submitJobs(duration)
	return run
}

// runRandomFaults plays all of it together at random over kills, freezes, drains, cuts and outages, then lets
// all faults end, and returns the longest time in which no query of one job was answered, from then on.
func runRandomFaults(t *testing.T, seed uint64, duration time.Duration) (*testCluster, time.Duration, string) {
	t.Helper()
	run := newPartialFaultRun(t, seed, duration)
	for at := 4 * time.Second; at < duration; at += time.Duration(run.draws.IntN(5000)) * time.Millisecond {
		fault := drawPartialFault(run.draws, run.Controllers())
		run.After(at, func() { partialFaultKinds[fault.kind](run, fault) })
	}
	run.followAccepted()
	run.Advance(duration)
	run.endFaults()
	faultsEnd := run.Now()
	idleWait := run.WatchIdleCapacity()
	run.Advance(75 * time.Second)
	gap, job := run.pollers.LongestUnanswered(faultsEnd, run.Now())
	run.users = append(run.users, run.failingUsers...)
	run.waitUntilDone()
	run.idleWait, _ = idleWait()
	return run.testCluster, gap, job
}

// startedWork is the share of jobs that began within four minutes, by kind, by team, and of the largest quarter of
// a kind; those that their users gave up don't count.
func (r *testCluster) startedWork() map[string]float64 {
	byKind := map[string][]*testUser{}
	begun, all := map[string]int{}, map[string]int{}
	count := func(set string, user *testUser) {
		all[set]++
		if duration, ok := r.FirstStart(user.spec.ID); ok && duration <= 4*time.Minute {
			begun[set]++
		}
	}
	for _, user := range r.users {
		if user.cancelRequested || r.MayBeCancelled(user.spec.ID) {
			continue
		}
		kind := string(user.spec.Kind)
		byKind[kind] = append(byKind[kind], user)
		count(kind, user)
		count("team "+user.spec.Team, user)
	}
	for kind, users := range byKind {
		slices.SortStableFunc(users, func(a, b *testUser) int {
			return int(b.spec.CPUs)*b.spec.Tasks - int(a.spec.CPUs)*a.spec.Tasks
		})
		for _, user := range users[:(len(users)+3)/4] {
			count("largest "+kind, user)
		}
	}
	share := map[string]float64{}
	for set, n := range all {
		share[set] = float64(begun[set]) / float64(n)
	}
	return share
}

// addPartialFaultStats adds the counters that TestRandomPartialFaults logs and checks.
func addPartialFaultStats(all *Stats, s Stats) {
	all.LostAnswers += s.LostAnswers
	all.LateWrites += s.LateWrites
	all.HeartbeatsReplayed += s.HeartbeatsReplayed
	all.PollBursts += s.PollBursts
	all.JobsCancelled += s.JobsCancelled
	all.OddRequests += s.OddRequests
	all.OddRequestsRefused += s.OddRequestsRefused
	all.StartsAfterCancel += s.StartsAfterCancel
	all.DirectStartsAfterCancel += s.DirectStartsAfterCancel
	all.LatestStartAfterCancel = max(all.LatestStartAfterCancel, s.LatestStartAfterCancel)
	all.LongestRunAfterCancel = max(all.LongestRunAfterCancel, s.LongestRunAfterCancel)
	all.TaskStarts += s.TaskStarts
	all.OneWayFaults += s.OneWayFaults
	all.DuplicatesSent += s.DuplicatesSent
	all.MachinesRestarted += s.MachinesRestarted
	all.LinksCut += s.LinksCut
	all.ControllersKilled += s.ControllersKilled
	all.ControllersFrozen += s.ControllersFrozen
}

// TestRandomPartialFaults injects all of the partial faults together, overlapping, in virtual time.
func TestRandomPartialFaults(t *testing.T) {
	seeds := 12
	if os.Getenv("HAREWALK_LONG") != "" {
		seeds = 200
	}
	ends, worst, leastShares, idle := map[string]int{}, time.Duration(0), map[string]float64{}, time.Duration(0)
	var all Stats
	for seed := range seeds {
		cluster, gap, job := runRandomFaults(t, uint64(600+seed), 90*time.Second)
		if worst = max(worst, gap); gap > 75*time.Second-time.Second {
			t.Errorf(
				"seed %d: no query of %s was answered for %v once all faults had ended",
				600+seed,
				job,
				gap,
			)
		}
		countEnds(ends, cluster.users)
		for set, share := range cluster.startedWork() {
			if share < 0.5 {
				t.Errorf("seed %d: %.2f of %s began within four minutes", 600+seed, share, set)
			}
			if was, ok := leastShares[set]; !ok || share < was {
				leastShares[set] = share
			}
		}
		idle = max(idle, cluster.idleWait)
		addPartialFaultStats(&all, cluster.Stats())
		if t.Failed() {
			t.Fatalf("seed %d", 600+seed)
		}
	}
	t.Logf(
		"%d seeds: %v, %+v; the longest gap without an answer %v, the longest wait beside idle capacity %v; least shares that began within four minutes %v",
		seeds,
		ends,
		all,
		worst,
		idle,
		leastShares,
	)
	if all.LostAnswers == 0 || all.LateWrites == 0 || all.HeartbeatsReplayed == 0 || all.PollBursts == 0 ||
		all.JobsCancelled == 0 ||
		all.OddRequestsRefused == 0 ||
		all.OneWayFaults == 0 ||
		all.DuplicatesSent == 0 ||
		all.MachinesRestarted == 0 ||
		all.LinksCut == 0 ||
		all.ControllersFrozen == 0 {
		t.Error("a kind of fault never came")
	}
}
