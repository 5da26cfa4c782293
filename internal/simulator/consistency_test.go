package simulator

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// Further tests of overlapping faults, on the cluster of coinciding_faults_test.go. In all of them, answers must be
// monotonic across all controllers, and no job may wait long beside idle capacity once all faults have ended.

// leaderChanges are faults that make the leader change, by name. The int argument is the leader.
var leaderChanges = map[string]func(cluster *testCluster, leader int){
	"killed":            concurrentFaults["leader killed"],
	"restarted at once": concurrentFaults["leader restarted at once"],
	"frozen":            concurrentFaults["leader frozen"],
	"drained":           concurrentFaults["leader drained"],
	"refused": func(cluster *testCluster, leader int) {
		cluster.RefuseController(leader, true)
		cluster.After(6*time.Second, func() { cluster.RefuseController(leader, false) })
	},
	"cut off": func(cluster *testCluster, leader int) {
		cluster.cutLinksFor(leader, StateLink|PeerLinks, 6*time.Second)
	},
	"all killed": func(cluster *testCluster, _ int) { killAll(cluster.Simulation, 300*time.Millisecond) },
	"watches stall": func(cluster *testCluster, leader int) {
		cluster.StallWatches(leader, true)
		cluster.After(12*time.Second, func() { cluster.StallWatches(leader, false) })
	},
}

// killAll kills all controllers and restarts them one after the other, 200 ms apart, the first after
// firstRestart.
func killAll(sim *Simulation, firstRestart time.Duration) {
	for i := range sim.Controllers() {
		sim.KillController(i)
		sim.After(firstRestart+time.Duration(i)*200*time.Millisecond, func() { sim.StartController(i) })
	}
}

// TestAnswersAreMonotonicUnderPollBursts sends bursts of queries and repeated submissions to all controllers within
// milliseconds, some with a cancellation, right after a job was accepted, ended or confirmed as cancelled. No answer
// may be older than an earlier one: without faults, while answers of the state service are lost or slow or writes late,
// and while the leader changes.
func TestAnswersAreMonotonicUnderPollBursts(t *testing.T) {
	faults := map[string]func(cluster *testCluster){
		"nothing":      func(*testCluster) {},
		"lost answers": func(cluster *testCluster) { cluster.LoseTxnAnswers(0.2) },
		"late writes":  func(cluster *testCluster) { cluster.DelayWrites(0.15, 300*time.Millisecond, 3*time.Second) },
		"slow state":   func(cluster *testCluster) { cluster.DelayStateAnswers(5*time.Millisecond, 700*time.Millisecond) },
		"changes": func(cluster *testCluster) {
			for i, change := range []string{"killed", "drained", "refused", "frozen"} {
				cluster.After(time.Duration(2+7*i)*time.Second, func() {
					if leader, _ := cluster.Leader(); leader >= 0 {
						leaderChanges[change](cluster, leader)
					}
				})
			}
		},
		"watches stall": func(cluster *testCluster) {
			for i := range cluster.Controllers() {
				cluster.After(time.Duration(4*i)*time.Second, func() {
					cluster.during(4*time.Second, func(on bool) { cluster.StallWatches(i, on) })
				})
			}
		},
	}
	for name, inject := range faults {
		for _, controllers := range []int{3, 5} {
			t.Run(fmt.Sprint(name, " ", controllers), func(t *testing.T) {
				t.Parallel()
				cluster, _ := newBusyCluster(t, 301, controllers, 8)
				cluster.SetPollBursts(true)
				cluster.CancelAtCompletion(0.3)
				cluster.SetOddRequests(true)
				inject(cluster)
				cluster.submitJobs(24 * time.Second)
				cluster.cancelEach(cluster.users[:8], 2*time.Second, 2*time.Second, cluster.inTurn(0))
				cluster.Advance(32 * time.Second)
				cluster.LoseTxnAnswers(0)
				cluster.DelayWrites(0, 0, 0)
				cluster.DelayStateAnswers(0, 0)
				cluster.Advance(5 * time.Second)
				cluster.recoverAndCheck()
				if s := cluster.Stats(); s.PollBursts < 40 || s.OddRequests < 60 || s.OddRequestsRefused < 10 ||
					s.JobsCancelled < 4 {
					t.Errorf("got %+v, want at least 40 poll bursts, 60 repeated or invalid requests, 10 refused, 4 cancelled jobs", s)
				}
			})
		}
	}
}

// TestTransactionsWithLostAnswersTakeEffectOnce applies transactions but loses their answers, while the other
// controllers read what was written: submissions, cancellations, ends, plans, elections and registrations. The sending
// controllers must neither undo nor repeat them.
func TestTransactionsWithLostAnswersTakeEffectOnce(t *testing.T) {
	for _, share := range []float64{0.15, 0.4, 0.8} {
		for _, controllers := range []int{3, 5} {
			t.Run(fmt.Sprint(share, " ", controllers), func(t *testing.T) {
				t.Parallel()
				cluster, _ := newBusyCluster(t, 302, controllers, 12)
				cluster.SetPollBursts(true)
				cluster.submitJobs(30 * time.Second)
				cluster.LoseTxnAnswers(share)
				cluster.cancelEach(cluster.users[:10], time.Second, 2*time.Second, cluster.inTurn(0))
				for i, change := range []string{"killed", "drained", "all killed", "restarted at once"} {
					cluster.After(time.Duration(3+7*i)*time.Second, func() {
						if leader, _ := cluster.Leader(); leader >= 0 {
							leaderChanges[change](cluster, leader)
						}
					})
				}
				cluster.Advance(32 * time.Second)
				if n := cluster.Stats().LostAnswers; n < 20 {
					t.Errorf("%d answers were lost, want at least 20", n)
				}
				cluster.LoseTxnAnswers(0)
				cluster.Advance(5 * time.Second)
				cluster.recoverAndCheck()
			})
		}
	}
}

// cpusInUse returns how many processors a team's tasks use, by the machines' true state.
func (r *testCluster) cpusInUse(team string) (cpus float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, machine := range r.cloud.machines {
		for _, task := range machine.tasks {
			if !machine.dead && task.active && task.spec.Team == team {
				cpus += task.spec.CPUs
			}
		}
	}
	return cpus
}

// TestTeamLimitsHoldAcrossFailovers keeps every team at its limit and cancels jobs whose machines are partitioned,
// receive nothing, reach no controller or hang, for less and more than a worker's lease, while the leader changes.
// Tasks must count towards the limit as long as they may still run, and no longer.
func TestTeamLimitsHoldAcrossFailovers(t *testing.T) {
	faults := map[string]func(cluster *testCluster, zone string, duration time.Duration){
		"partition": func(cluster *testCluster, zone string, duration time.Duration) {
			cluster.partitionZoneFor(zone, DropBoth, duration)
		},
		"delaying partition": func(cluster *testCluster, zone string, duration time.Duration) {
			cluster.partitionZoneFor(zone, DelayBoth, duration)
		},
		"no inbound messages": func(cluster *testCluster, zone string, duration time.Duration) {
			cluster.DropInbound(9, zone, duration)
		},
		"outbound refused": func(cluster *testCluster, zone string, duration time.Duration) {
			cluster.RefuseOutbound(9, zone, duration)
		},
		"hang": func(*testCluster, string, time.Duration) {},
	}
	for name, inject := range faults {
		for _, duration := range []time.Duration{4 * time.Second, 9 * time.Second} {
			for _, change := range []string{"killed", "frozen", "drained"} {
				t.Run(fmt.Sprint(name, " ", duration, " ", change), func(t *testing.T) {
					t.Parallel()
					cluster, _ := newBusyCluster(t, 303, 3, 24)
					for k := range 60 { // more jobs than both teams may run at once
						cluster.submitLongJob(100+k, 9)
					}
					cluster.waitFor(
						"at the teams' limits",
						30*time.Second,
						func() bool { return cluster.cpusInUse("red") > 120 && cluster.cpusInUse("blue") > 120 },
					)
					leader, zone := cluster.waitForLeader(), cluster.zoneWithoutLeader()
					inject(cluster, zone, duration)
					hang := time.Duration(0)
					if name == "hang" {
						hang = duration
					}
					if n := len(cluster.CancelRunning(16, hang)); n < 12 {
						t.Errorf("%d jobs were cancelled, want at least 12", n)
					}
					cluster.After(250*time.Millisecond, func() { leaderChanges[change](cluster, leader) })
					cluster.After(duration/2, func() { cluster.CancelRunning(8, 0) })
					cluster.Advance(duration + 4*time.Second)
					cluster.recoverAndCheck()
				})
			}
		}
	}
}

// TestCancelledJobsStopDuringHandovers cancels a job every tenth of a second while leadership passes from one
// controller to another, through all controllers, the former leader included.
func TestCancelledJobsStopDuringHandovers(t *testing.T) {
	for name, change := range leaderChanges {
		for _, controllers := range []int{3, 5} {
			t.Run(fmt.Sprint(name, " ", controllers), func(t *testing.T) {
				t.Parallel()
				cluster, _ := newBusyCluster(t, 304, controllers, 40)
				cluster.submitJobs(12 * time.Second)
				leader := cluster.waitForLeader()
				cluster.SetPollBursts(true)
				cluster.cancelEach(cluster.users[:40], 0, 100*time.Millisecond, cluster.inTurn(leader))
				cluster.After(time.Second, func() { change(cluster, leader) })
				cluster.Advance(14 * time.Second)
				cluster.recoverAndCheck()
			})
		}
	}
}

// TestFastBootsStartOnlyPlannedTasks boots new machines within two seconds, so that they are assigned tasks at once
// while writes are slow, and changes the leader. No task may start that the stored plan doesn't contain, and no task
// may start twice.
func TestFastBootsStartOnlyPlannedTasks(t *testing.T) {
	writeFaults := map[string]func(cluster *testCluster){
		"late":             func(cluster *testCluster) { cluster.DelayWrites(0.35, 500*time.Millisecond, 4*time.Second) },
		"slow":             func(cluster *testCluster) { cluster.DelayStateAnswers(100*time.Millisecond, 1500*time.Millisecond) },
		"lost":             func(cluster *testCluster) { cluster.LoseTxnAnswers(0.5) },
		"plans unanswered": func(cluster *testCluster) { cluster.disruptPlanWrites() },
	}
	for name, inject := range writeFaults {
		for _, change := range []string{"killed", "restarted at once", "frozen"} {
			t.Run(name+" "+change, func(t *testing.T) {
				t.Parallel()
				cluster, _ := newBusyCluster(t, 305, 3, 24)
				cluster.SetBootFault(0.01, 0)
				inject(cluster)
				for range 3 {
					for range 5 {
						cluster.KillMachine()
					}
					for k := range 8 {
						cluster.submitLongJob(100+len(cluster.users)+k, 5)
					}
					cluster.Advance(1200 * time.Millisecond)
					if leader, _ := cluster.Leader(); leader >= 0 {
						leaderChanges[change](cluster, leader)
					}
					cluster.Advance(7 * time.Second)
				}
				cluster.SetBootFault(0, 0)
				cluster.DelayWrites(0, 0, 0)
				cluster.DelayStateAnswers(0, 0)
				cluster.LoseTxnAnswers(0)
				cluster.InterceptTxns(nil)
				cluster.Advance(5 * time.Second)
				cluster.recoverAndCheck()
			})
		}
	}
}

// disruptPlanWrites drops every sixth write of plans, and delays another sixth by 2.5 s.
func (r *testCluster) disruptPlanWrites() {
	n := 0
	r.InterceptTxns(func(_ int, txn store.Txn) TxnOutcome {
		if !slices.ContainsFunc(
			txn.Then,
			func(o store.Op) bool { return len(o.Put) > 1 && o.Put[:2] == jobs.PlanPrefix[:2] },
		) {
			return TxnOutcome{}
		}
		switch n++; n % 6 {
		case 0:
			return TxnOutcome{Dropped: true}
		case 3:
			return TxnOutcome{Delay: 2500 * time.Millisecond}
		}
		return TxnOutcome{}
	})
}

// TestReplayedHeartbeatsDuringElectionHaveNoEffect delivers old heartbeats to every controller just as a new leader is
// elected, and again once the leader has acted. Some are of earlier sessions, incarnations and attempts. They must
// have no effect, and their machines must continue.
func TestReplayedHeartbeatsDuringElectionHaveNoEffect(t *testing.T) {
	faults := map[string]func(cluster *testCluster){
		"nothing": func(*testCluster) {},
		"sessions": func(cluster *testCluster) {
			cluster.DropInbound(4, "", 7*time.Second)
			cluster.RefuseOutbound(4, "", 7*time.Second)
		},
		"incarnations": func(cluster *testCluster) {
			cluster.RestartMachine("", 200*time.Millisecond)
			cluster.RestartMachine("", 900*time.Millisecond)
		},
		"task ends": func(cluster *testCluster) {
			cluster.CrashTask()
			cluster.KillMachine()
			cluster.ReclaimSpotMachine(time.Second)
		},
		"cancellations": func(cluster *testCluster) { cluster.CancelRunning(4, 3*time.Second) },
	}
	for name, inject := range faults {
		for _, change := range []string{"killed", "drained", "all killed", "cut off"} {
			t.Run(name+" "+change, func(t *testing.T) {
				t.Parallel()
				cluster, _ := newBusyCluster(t, 306, 3, 20)
				cluster.submitJobs(40 * time.Second)
				cluster.ReplayHeartbeats(0.6)
				for range 5 {
					inject(cluster)
					cluster.Advance(3 * time.Second)
					if leader, _ := cluster.Leader(); leader >= 0 {
						leaderChanges[change](cluster, leader)
					}
					cluster.Advance(6 * time.Second)
				}
				cluster.ReplayHeartbeats(0)
				if n := cluster.Stats().HeartbeatsReplayed; n < 100 {
					t.Errorf("%d heartbeats were replayed, want at least 100", n)
				}
				cluster.Advance(6 * time.Second)
				cluster.recoverAndCheck()
			})
		}
	}
}

// TestStreamOfOneTaskJobsStartsSoon submits four one-task jobs a second for 2.5 minutes and cancels a quarter of them,
// with a state service limited to 30 writes a second. All jobs must be accepted and start soon, also across two changes
// of the leader.
func TestStreamOfOneTaskJobsStartsSoon(t *testing.T) {
	for _, controllers := range []int{3, 5} {
		t.Run(fmt.Sprint(controllers), func(t *testing.T) {
			t.Parallel()
			cfg := shortTimersConfig(307, 12)
			cfg.Controllers = controllers
			cfg.TickInterval = 20 * time.Millisecond
			cfg.VariedRunTimes = false
			cfg.State.RPS = 120
			cfg.State.WriteRPS = 30
			cluster := startCluster(t, 43, cfg, nil)
			cluster.waitForLeader()
			cluster.SetPollBursts(true)
			tries, longestAcceptance := 0, time.Duration(0)
			const n = 600
			for i := range n {
				cluster.After(time.Duration(i)*250*time.Millisecond, func() {
					spec := arraySpec(fmt.Sprintf("req-5%05d", i), "tiny", teamInTurn(i))
					spec.ImageGB = 0.5
					spec.EstimateS = 5
					user := cluster.submit(spec)
					if i%4 == 0 {
						cluster.After(time.Duration(cluster.rng.IntN(6000))*time.Millisecond, user.cancel)
					}
					submittedAt := cluster.Now()
					var checkAccepted func()
					checkAccepted = func() {
						if user.isAccepted() {
							longestAcceptance = max(longestAcceptance, cluster.Now()-submittedAt)
							return
						}
						tries++
						cluster.After(100*time.Millisecond, checkAccepted)
					}
					cluster.After(50*time.Millisecond, checkAccepted)
				})
			}
			cluster.After(50*time.Second, func() {
				leaders := cluster.ActingLeaders()
				leaderChanges["killed"](cluster, leaders[0])
			})
			cluster.After(100*time.Second, func() {
				leaders := cluster.ActingLeaders()
				leaderChanges["drained"](cluster, leaders[0])
			})
			cluster.Advance(n * 250 * time.Millisecond)
			cluster.recoverAndCheck()
			delays := cluster.StartDelays("tiny")
			slices.Sort(delays)
			t.Logf(
				"%d jobs started, 50%% within %v, 98%% within %v, all within %v; all were accepted within %v",
				len(delays),
				delays[len(delays)/2],
				delays[len(delays)*98/100],
				delays[len(delays)-1],
				longestAcceptance,
			)
			if len(delays) < n*3/4 || delays[len(delays)/2] > 2*time.Second || delays[len(delays)-1] > 30*time.Second ||
				longestAcceptance > 10*time.Second {
				t.Errorf("%d jobs started, want 3/4 or more; median delay 2s, maximum 30s and acceptance 10s at most", len(delays))
			}
		})
	}
}
