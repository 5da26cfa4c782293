package simulator

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// Further tests of faults that coincide, with the cluster of coinciding_faults_test.go. Throughout, answers have to
// be monotonic over all controllers, and no job may wait for long beside idle capacity once all faults have ended.

// changes are the ways in which one controller's work passes on to another, by name; each is given the leader.
var changes = map[string]func(cluster *testCluster, l int){
	"killed":  gapFaults["leader killed"],
	"at once": gapFaults["leader back at once"],
	"frozen":  gapFaults["leader frozen"],
	"drained": gapFaults["leader drained"],
	"refused": func(cluster *testCluster, l int) {
		cluster.RefuseController(l, true)
		cluster.After(6*time.Second, func() { cluster.RefuseController(l, false) })
	},
	"cut off":    func(cluster *testCluster, l int) { cluster.cutLinksFor(l, StateLink|PeerLinks, 6*time.Second) },
	"all killed": func(cluster *testCluster, _ int) { killAll(cluster.Simulation, 300*time.Millisecond) },
	"watch stuck": func(cluster *testCluster, l int) {
		cluster.StallWatches(l, true)
		cluster.After(12*time.Second, func() { cluster.StallWatches(l, false) })
	},
}

func killAll(sim *Simulation, back time.Duration) {
	for i := range sim.Controllers() {
		sim.KillController(i)
		sim.After(back+time.Duration(i)*200*time.Millisecond, func() { sim.StartController(i) })
	}
}

// TestAnswersAreMonotonicUnderPollBursts sends bursts of queries to all controllers within milliseconds, and
// repeated submissions, right after a job was accepted, ended or confirmed as cancelled, some with a cancellation:
// no answer is older than one before it. Without faults, while answers of the state service are lost, late or slow,
// and while the leader changes.
func TestAnswersAreMonotonicUnderPollBursts(t *testing.T) {
	meets := map[string]func(cluster *testCluster){
		"nothing":      func(*testCluster) {},
		"lost answers": func(cluster *testCluster) { cluster.LoseTxnAnswers(0.2) },
		"late writes":  func(cluster *testCluster) { cluster.DelayWrites(0.15, 300*time.Millisecond, 3*time.Second) },
		"slow state":   func(cluster *testCluster) { cluster.DelayStateAnswers(5*time.Millisecond, 700*time.Millisecond) },
		"changes": func(cluster *testCluster) {
			for i, how := range []string{"killed", "drained", "refused", "frozen"} {
				cluster.After(time.Duration(2+7*i)*time.Second, func() {
					if l, _ := cluster.Leader(); l >= 0 {
						changes[how](cluster, l)
					}
				})
			}
		},
		"watches stick": func(cluster *testCluster) {
			for i := range cluster.Controllers() {
				cluster.After(time.Duration(4*i)*time.Second, func() {
					cluster.during(4*time.Second, func(on bool) { cluster.StallWatches(i, on) })
				})
			}
		},
	}
	for what, f := range meets {
		for _, controllers := range []int{3, 5} {
			t.Run(fmt.Sprint(what, " ", controllers), func(t *testing.T) {
				t.Parallel()
				cluster, _ := newBusyCluster(t, 301, controllers, 8)
				cluster.SetPollBursts(true)
				cluster.CancelAtCompletion(0.3)
				cluster.SetOddRequests(true)
				f(cluster)
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
					t.Errorf("hardly anybody looked: %+v", s)
				}
			})
		}
	}
}

// TestTransactionsWithLostAnswersTakeEffectOnce carries transactions out and loses only their answers, while the
// other controllers read what they wrote: submissions, cancellations, ends, plans, elections and registrations.
// Their authors neither undo nor repeat them.
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
				for i, how := range []string{"killed", "drained", "all killed", "at once"} {
					cluster.After(time.Duration(3+7*i)*time.Second, func() {
						if l, _ := cluster.Leader(); l >= 0 {
							changes[how](cluster, l)
						}
					})
				}
				cluster.Advance(32 * time.Second)
				if n := cluster.Stats().LostAnswers; n < 20 {
					t.Errorf("%d answers were lost", n)
				}
				cluster.LoseTxnAnswers(0)
				cluster.Advance(5 * time.Second)
				cluster.recoverAndCheck()
			})
		}
	}
}

// teamUse is how many processors a team's tasks take on machines, by the truth.
func (r *testCluster) teamUse(team string) (cpus float64) {
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
// receive nothing, reach nobody or hang, for less than a lease and for more, while the leader changes: what may
// still run counts, and no longer than that.
func TestTeamLimitsHoldAcrossFailovers(t *testing.T) {
	outs := map[string]func(cluster *testCluster, zone string, duration time.Duration){
		"cut": func(cluster *testCluster, zone string, duration time.Duration) {
			cluster.partitionZoneFor(zone, DropBoth, duration)
		},
		"held": func(cluster *testCluster, zone string, duration time.Duration) {
			cluster.partitionZoneFor(zone, DelayBoth, duration)
		},
		"deaf": func(cluster *testCluster, zone string, duration time.Duration) {
			cluster.DropInbound(9, zone, duration)
		},
		"shut": func(cluster *testCluster, zone string, duration time.Duration) {
			cluster.RefuseOutbound(9, zone, duration)
		},
		"hang": func(*testCluster, string, time.Duration) {},
	}
	for what, out := range outs {
		for _, duration := range []time.Duration{4 * time.Second, 9 * time.Second} {
			for _, how := range []string{"killed", "frozen", "drained"} {
				t.Run(fmt.Sprint(what, " ", duration, " ", how), func(t *testing.T) {
					t.Parallel()
					cluster, _ := newBusyCluster(t, 303, 3, 24)
					for k := range 60 { // more than both teams may run
						cluster.submitLongJob(100+k, 9)
					}
					cluster.waitFor(
						"at the limits",
						30*time.Second,
						func() bool { return cluster.teamUse("red") > 120 && cluster.teamUse("blue") > 120 },
					)
					l, zone := cluster.waitForLeader(), cluster.zoneWithoutLeader()
					out(cluster, zone, duration)
					hang := time.Duration(0)
					if what == "hang" {
						hang = duration
					}
					if n := len(cluster.CancelRunning(16, hang)); n < 12 {
						t.Errorf("%d jobs were cancelled", n)
					}
					cluster.After(250*time.Millisecond, func() { changes[how](cluster, l) })
					cluster.After(duration/2, func() { cluster.CancelRunning(8, 0) })
					cluster.Advance(duration + 4*time.Second)
					cluster.recoverAndCheck()
				})
			}
		}
	}
}

// TestCancelledJobsStopDuringHandovers cancels jobs in the seconds in which one controller's work passes to
// another, at every tenth of a second of it, through all controllers, the one that hands over among them.
func TestCancelledJobsStopDuringHandovers(t *testing.T) {
	for how, change := range changes {
		for _, controllers := range []int{3, 5} {
			t.Run(fmt.Sprint(how, " ", controllers), func(t *testing.T) {
				t.Parallel()
				cluster, _ := newBusyCluster(t, 304, controllers, 40)
				cluster.submitJobs(12 * time.Second)
				l := cluster.waitForLeader()
				cluster.SetPollBursts(true)
				cluster.cancelEach(cluster.users[:40], 0, 100*time.Millisecond, cluster.inTurn(l))
				cluster.After(time.Second, func() { change(cluster, l) })
				cluster.Advance(14 * time.Second)
				cluster.recoverAndCheck()
			})
		}
	}
}

// TestFastBootsStartOnlyPlannedTasks boots new machines within two seconds, which get work at once while writes are
// slow, and ends the leader: nothing starts on them that their plan doesn't name, and nothing twice.
func TestFastBootsStartOnlyPlannedTasks(t *testing.T) {
	lag := map[string]func(cluster *testCluster){
		"late":  func(cluster *testCluster) { cluster.DelayWrites(0.35, 500*time.Millisecond, 4*time.Second) },
		"slow":  func(cluster *testCluster) { cluster.DelayStateAnswers(100*time.Millisecond, 1500*time.Millisecond) },
		"lost":  func(cluster *testCluster) { cluster.LoseTxnAnswers(0.5) },
		"never": func(cluster *testCluster) { cluster.ignorePlans() },
	}
	for what, f := range lag {
		for _, how := range []string{"killed", "at once", "frozen"} {
			t.Run(what+" "+how, func(t *testing.T) {
				t.Parallel()
				cluster, _ := newBusyCluster(t, 305, 3, 24)
				cluster.SetBootFault(0.01, 0)
				f(cluster)
				for range 3 {
					for range 5 {
						cluster.KillMachine()
					}
					for k := range 8 {
						cluster.submitLongJob(100+len(cluster.users)+k, 5)
					}
					cluster.Advance(1200 * time.Millisecond)
					if l, _ := cluster.Leader(); l >= 0 {
						changes[how](cluster, l)
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

// ignorePlans lets every third write of plans get no answer: it is never carried out, or late.
func (r *testCluster) ignorePlans() {
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

// TestReplayedHeartbeatsDuringElectionHaveNoEffect delivers old heartbeats, of earlier sessions, incarnations and
// attempts too, to every controller just as a new leader begins, and once it has acted: they have no effect, and
// the machines they name go on.
func TestReplayedHeartbeatsDuringElectionHaveNoEffect(t *testing.T) {
	meets := map[string]func(cluster *testCluster){
		"nothing": func(*testCluster) {},
		"sessions": func(cluster *testCluster) {
			cluster.DropInbound(4, "", 7*time.Second)
			cluster.RefuseOutbound(4, "", 7*time.Second)
		},
		"lives": func(cluster *testCluster) {
			cluster.RestartMachine("", 200*time.Millisecond)
			cluster.RestartMachine("", 900*time.Millisecond)
		},
		"ends": func(cluster *testCluster) {
			cluster.CrashTask()
			cluster.KillMachine()
			cluster.ReclaimSpotMachine(time.Second)
		},
		"cancel": func(cluster *testCluster) { cluster.CancelRunning(4, 3*time.Second) },
	}
	for what, f := range meets {
		for _, how := range []string{"killed", "drained", "all killed", "cut off"} {
			t.Run(what+" "+how, func(t *testing.T) {
				t.Parallel()
				cluster, _ := newBusyCluster(t, 306, 3, 20)
				cluster.submitJobs(40 * time.Second)
				cluster.ReplayHeartbeats(0.6)
				for range 5 {
					f(cluster)
					cluster.Advance(3 * time.Second)
					if l, _ := cluster.Leader(); l >= 0 {
						changes[how](cluster, l)
					}
					cluster.Advance(6 * time.Second)
				}
				cluster.ReplayHeartbeats(0)
				if n := cluster.Stats().HeartbeatsReplayed; n < 100 {
					t.Errorf("%d copies were kept", n)
				}
				cluster.Advance(6 * time.Second)
				cluster.recoverAndCheck()
			})
		}
	}
}

// TestStreamOfOneTaskJobsStartsSoon submits four one-task jobs a second for minutes, and cancels a quarter of them,
// at the rates of a small state service (30 mutations a second): all are accepted at once and start soon, also
// across two changes of the leader.
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
			tries, latest := 0, time.Duration(0)
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
					at := cluster.Now()
					var look func()
					look = func() {
						if user.isAccepted() {
							latest = max(latest, cluster.Now()-at)
							return
						}
						tries++
						cluster.After(100*time.Millisecond, look)
					}
					cluster.After(50*time.Millisecond, look)
				})
			}
			cluster.After(50*time.Second, func() { l := cluster.ActingLeaders(); changes["killed"](cluster, l[0]) })
			cluster.After(100*time.Second, func() { l := cluster.ActingLeaders(); changes["drained"](cluster, l[0]) })
			cluster.Advance(n * 250 * time.Millisecond)
			cluster.recoverAndCheck()
			waits := cluster.StartDelays("tiny")
			slices.Sort(waits)
			t.Logf(
				"%d began, half within %v, 98%% within %v, the last after %v; the latest was accepted after %v",
				len(waits),
				waits[len(waits)/2],
				waits[len(waits)*98/100],
				waits[len(waits)-1],
				latest,
			)
			if len(waits) < n*3/4 || waits[len(waits)/2] > 2*time.Second || waits[len(waits)-1] > 30*time.Second ||
				latest > 10*time.Second {
				t.Errorf("%d began", len(waits))
			}
		})
	}
}
