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

// partialFault holds the random parameters of a fault. Each kind of fault uses some of them.
type partialFault struct {
	controller      int
	kind            int // index into partialFaultKinds
	duration        time.Duration
	zone            string
	links           Links
	count           int           // 0 to 5; each kind derives a number of objects from it
	restartDelay    time.Duration // less than a second
	membershipState string
	bootFactor      float64
	neverBootShare  float64
}

// drawPartialFault draws a fault's parameters in the order of the fields, which is part of what a seed produces.
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

// partialFaultRun is a run with random faults under load, with users' queries through a balancer.
type partialFaultRun struct {
	*testCluster
	draws        *rand.Rand // random source of the faults
	pollers      *JobPollers
	followed     int         // number of users whose jobs the pollers follow
	failingUsers []*testUser // users of jobs that fail on every machine until they are cancelled
}

// partialFaultKinds are functions that begin a fault, one for each kind. Their order is part of what a seed produces.
var partialFaultKinds = []func(*partialFaultRun, partialFault){
	func(run *partialFaultRun, f partialFault) { run.DropInbound(1+f.count, "", f.duration) },
	func(run *partialFaultRun, f partialFault) { run.DropInbound(allZoneMachines, f.zone, f.duration) },
	func(run *partialFaultRun, f partialFault) { run.DropOutbound(1+f.count, "", f.duration) },
	(*partialFaultRun).cutSomeLinks,
	(*partialFaultRun).cutSomeLinks, // listed twice to double its probability
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
	func(run *partialFaultRun, f partialFault) { run.RefuseOutbound(allZoneMachines, f.zone, f.duration) },
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

// duringShare sets a share of affected events for a duration, and then sets it to 0.
func (run *partialFaultRun) duringShare(duration time.Duration, share float64, set func(float64)) {
	run.during(duration, func(on bool) { set(map[bool]float64{true: share}[on]) })
}

// cutSomeLinks cuts the drawn links of a controller for the fault's duration.
func (run *partialFaultRun) cutSomeLinks(f partialFault) {
	run.CutLinks(f.controller, f.links)
	run.After(f.duration, func() { run.CutLinks(f.controller, 0) })
}

// cutLeaderFromState cuts the leader off from the state service and its peers for the fault's duration.
func (run *partialFaultRun) cutLeaderFromState(f partialFault) {
	if leader, _ := run.Leader(); leader >= 0 {
		run.CutLinks(leader, StateLink|PeerLinks)
		run.After(f.duration, func() { run.CutLinks(leader, 0) })
	}
}

// restartControllers kills one controller or all, and restarts them within a second.
func (run *partialFaultRun) restartControllers(f partialFault) {
	for i := range run.Controllers() {
		if f.count > 2 || i == f.count {
			run.KillController(i)
			run.After(f.restartDelay, func() { run.StartController(i) })
		}
	}
}

// restartLeader kills the leader and restarts it within a second.
func (run *partialFaultRun) restartLeader(f partialFault) {
	if leader, _ := run.Leader(); leader >= 0 {
		run.KillController(leader)
		run.After(f.restartDelay, func() { run.StartController(leader) })
	}
}

// submitFailingJob submits a job that fails on every machine, and cancels the job after the fault's duration.
func (run *partialFaultRun) submitFailingJob(f partialFault) {
	spec := drawJob(run.draws, 700000+len(run.failingUsers))
	user := run.newUser(spec)
	run.failingUsers = append(run.failingUsers, user)
	run.FailJob(spec.ID)
	user.submit()
	run.After(f.duration, user.cancel)
}

// followAccepted makes the pollers follow the jobs in the order of run.users, up to the first that isn't accepted
// yet. It repeats every second.
func (run *partialFaultRun) followAccepted() {
	for ; run.followed < len(run.users) && run.users[run.followed].isAccepted(); run.followed++ {
		run.pollers.Follow(run.users[run.followed].spec.ID, nil)
	}
	run.After(time.Second, run.followAccepted)
}

// endFaults ends all faults, and waits 80 s for freezes to end by themselves.
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

// newPartialFaultRun starts a cluster under load whose network delays, loses and duplicates messages.
func newPartialFaultRun(t *testing.T, seed uint64, duration time.Duration) *partialFaultRun {
	t.Helper()
	cluster := newTestClusterWithMachines(
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
	run.pollers = run.NewBalancer().NewJobPollers()
	run.submitJobs(duration)
	return run
}

// runRandomFaults injects overlapping random faults of all kinds, then ends them and waits until all jobs have ended.
// It returns the cluster, the longest time after the faults in which no query of one job was answered, and that job's
// ID.
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
	longestUnanswered, job := run.pollers.LongestUnanswered(faultsEnd, run.Now())
	run.users = append(run.users, run.failingUsers...)
	run.waitUntilDone()
	run.idleWait, _ = idleWait()
	return run.testCluster, longestUnanswered, job
}

// startedJobShares returns the share of jobs that started within four minutes: by kind, by team, and of the largest
// quarter of each kind. Jobs that were cancelled or may be cancelled with a predecessor don't count.
func (r *testCluster) startedJobShares() map[string]float64 {
	byKind := map[string][]*testUser{}
	started, total := map[string]int{}, map[string]int{}
	count := func(set string, user *testUser) {
		total[set]++
		if duration, ok := r.FirstStart(user.spec.ID); ok && duration <= 4*time.Minute {
			started[set]++
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
	for set, n := range total {
		share[set] = float64(started[set]) / float64(n)
	}
	return share
}

// addPartialFaultStats adds the counters that TestRandomPartialFaults logs and checks from s to total.
func addPartialFaultStats(total *Stats, s Stats) {
	total.LostAnswers += s.LostAnswers
	total.LateWrites += s.LateWrites
	total.HeartbeatsReplayed += s.HeartbeatsReplayed
	total.PollBursts += s.PollBursts
	total.JobsCancelled += s.JobsCancelled
	total.OddRequests += s.OddRequests
	total.OddRequestsRefused += s.OddRequestsRefused
	total.TaskStartsAfterCancel += s.TaskStartsAfterCancel
	total.LatestStartAfterCancel = max(total.LatestStartAfterCancel, s.LatestStartAfterCancel)
	total.LongestRunAfterCancel = max(total.LongestRunAfterCancel, s.LongestRunAfterCancel)
	total.TaskStarts += s.TaskStarts
	total.OneWayFaults += s.OneWayFaults
	total.DuplicatesSent += s.DuplicatesSent
	total.MachinesRestarted += s.MachinesRestarted
	total.LinksCut += s.LinksCut
	total.ControllersKilled += s.ControllersKilled
	total.ControllersFrozen += s.ControllersFrozen
}

// TestRandomPartialFaults injects overlapping random faults of all kinds in virtual time. After the faults every job's
// queries are answered and all jobs end, and at least half of the jobs start within four minutes.
func TestRandomPartialFaults(t *testing.T) {
	seeds := 12
	if os.Getenv("HAREWALK_LONG") != "" {
		seeds = 200
	}
	counts, longestUnanswered, leastShares, longestIdleWait := map[string]int{}, time.Duration(0), map[string]float64{}, time.Duration(0)
	var total Stats
	for seed := range seeds {
		cluster, unanswered, job := runRandomFaults(t, uint64(600+seed), 90*time.Second)
		if longestUnanswered = max(longestUnanswered, unanswered); unanswered > 75*time.Second-time.Second {
			t.Errorf(
				"seed %d: no query of %s was answered for %v after all faults had ended, want at most 74 s",
				600+seed,
				job,
				unanswered,
			)
		}
		countEnds(counts, cluster.users)
		for set, share := range cluster.startedJobShares() {
			if share < 0.5 {
				t.Errorf("seed %d: got a share of %.2f of %s started within four minutes, want at least 0.5", 600+seed, share, set)
			}
			if least, ok := leastShares[set]; !ok || share < least {
				leastShares[set] = share
			}
		}
		longestIdleWait = max(longestIdleWait, cluster.idleWait)
		addPartialFaultStats(&total, cluster.Stats())
		if t.Failed() {
			t.Fatalf("seed %d failed", 600+seed)
		}
	}
	t.Logf(
		"%d seeds: %v, %+v; longest time without an answer %v, longest wait beside idle capacity %v; least shares started within four minutes %v",
		seeds,
		counts,
		total,
		longestUnanswered,
		longestIdleWait,
		leastShares,
	)
	if total.LostAnswers == 0 || total.LateWrites == 0 || total.HeartbeatsReplayed == 0 || total.PollBursts == 0 ||
		total.JobsCancelled == 0 ||
		total.OddRequestsRefused == 0 ||
		total.OneWayFaults == 0 ||
		total.DuplicatesSent == 0 ||
		total.MachinesRestarted == 0 ||
		total.LinksCut == 0 ||
		total.ControllersFrozen == 0 {
		t.Error("got a counter of 0 for a kind of fault, want all kinds injected")
	}
}
