package simulator

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// Tests of two overlapping faults, with the parameters of each varied. A controller's lease is 2 s here, a worker's
// 6 s, and cancel_s 11.5 s, 1 s more than the minimum that the settings accept.

// newBusyCluster starts a cluster with short worker timers and n long jobs of all kinds, so that faults hit running
// tasks.
func newBusyCluster(t *testing.T, seed uint64, controllers, n int) (*testCluster, *Balancer) {
	t.Helper()
	return newBusyClusterWith(t, seed, controllers, n, shortTimers)
}

// newBusyClusterWith starts a cluster as newBusyCluster does, but with the given worker settings.
func newBusyClusterWith(
	t *testing.T,
	seed uint64,
	controllers, n int,
	workers config.Workers,
) (*testCluster, *Balancer) {
	t.Helper()
	cfg := shortTimersConfig(seed, 20)
	cfg.Controllers = controllers
	cfg.TickInterval = 20 * time.Millisecond
	cfg.Workers = workers
	cfg.LicencePools = map[string]int{"transcribe": 12}
	cfg.Teams = []config.Team{{Name: "red", CPUs: 60, CPUsMax: 130}, {Name: "blue", CPUs: 60, CPUsMax: 130}}
	cluster := startCluster(t, 43, cfg, readChaosPools)
	balancer := cluster.NewBalancer()
	for i := range n {
		cluster.submitLongJob(i, 20)
	}
	cluster.waitFor(
		"running more tasks than jobs",
		40*time.Second,
		func() bool { return n == 0 || cluster.Utilization().Running > n },
	)
	return cluster, balancer
}

// submitLongJob submits a long job: an array, a gang, or an array with checkpoints, in turn.
func (r *testCluster) submitLongJob(i int, estimate float64) *testUser {
	return r.submitLongJobWith(i, estimate, func(*jobs.Spec) {})
}

// submitLongJobWith is submitLongJob with a change to the job's spec.
func (r *testCluster) submitLongJobWith(i int, estimate float64, change func(*jobs.Spec)) *testUser {
	spec := arraySpec(fmt.Sprintf("req-6%05d", i), "long", teamInTurn(i))
	spec.Tasks = 1 + i%3
	spec.CPUs = 3
	spec.EstimateS = estimate
	if i%5 > 0 { // four of five jobs are bound to a zone, so that machines are rented in all zones
		spec.Zone = &zoneNames()[i%3]
	}
	switch i % 4 {
	case 1:
		spec.Kind = jobs.Gang
	case 2:
		spec.CheckpointS = 1
		spec.SaveS = 1.5
	}
	change(spec)
	return r.submit(spec)
}

// cancelAt sends a user's cancellation to controller i, and to random controllers from a second later on if
// controller i doesn't accept the request.
func (r *testCluster) cancelAt(user *testUser, i int) {
	user.cancelRequested = true
	r.Request(i, "POST", "/v2/runs/"+user.spec.ID+"/abort", []byte("{}"), func(status int, raw []byte) {
		switch {
		case status != 200:
			r.After(time.Second, user.cancel)
		case jobStateIn(raw) == "cancelled":
			r.ConfirmCancelled(user.spec.ID)
		}
	})
}

// waitForLeader waits until exactly one controller acts as the leader, and returns it.
func (r *testCluster) waitForLeader() int {
	r.t.Helper()
	r.waitFor("led by one controller", 15*time.Second, func() bool { return len(r.ActingLeaders()) == 1 })
	return r.ActingLeaders()[0]
}

// recoverAndCheck starts all controllers, waits until all jobs have ended, and checks that no rule was broken and
// that every controller has its member key.
func (r *testCluster) recoverAndCheck() {
	r.t.Helper()
	r.startControllers()
	idleWait := r.WatchIdleCapacity()
	r.waitUntilDone()
	for _, n := range r.nodeNames() {
		if r.StoredItem("h/c/n/"+n).Version == 0 {
			r.t.Errorf("%s runs without a member key, want one", n)
		}
	}
	s := r.Stats()
	longest, job := idleWait()
	r.t.Logf(
		"longest run after a cancellation %v, of %v; %s waited %v beside idle capacity; %d starts after a cancellation, the latest %v",
		s.LongestRunAfterCancel,
		jobs.Seconds(shortTimers.CancelS),
		job,
		longest,
		s.TaskStartsAfterCancel,
		s.LatestStartAfterCancel,
	)
}

// concurrentFaults are further faults that tests inject during an outage, by name. The int argument is the leader.
var concurrentFaults = map[string]func(cluster *testCluster, leader int){
	"nothing": func(*testCluster, int) {},
	"leader killed": func(cluster *testCluster, leader int) {
		cluster.KillController(leader)
		cluster.After(4*time.Second, func() { cluster.StartController(leader) })
	},
	"leader restarted at once": func(cluster *testCluster, leader int) {
		cluster.KillController(leader)
		cluster.After(100*time.Millisecond, func() { cluster.StartController(leader) })
	},
	"leader frozen": func(cluster *testCluster, leader int) { cluster.FreezeController(leader, 5*time.Second) },
	"leader drained": func(cluster *testCluster, leader int) {
		cluster.DrainController(leader, func() { cluster.StartController(leader) })
	},
	"machines hang": func(cluster *testCluster, _ int) {
		for range 6 {
			cluster.HangMachine(5 * time.Second)
		}
	},
	"machines receive nothing": func(cluster *testCluster, _ int) { cluster.DropInbound(8, "", 9*time.Second) },
	"commands delayed": func(cluster *testCluster, _ int) {
		cluster.DelayCommands(time.Second, 5*time.Second)
		cluster.After(6*time.Second, func() { cluster.DelayCommands(0, 0) })
	},
	"watches stall": func(cluster *testCluster, leader int) {
		cluster.StallWatches(leader, true)
		cluster.After(20*time.Second, func() { cluster.StallWatches(leader, false) })
	},
	"messages duplicated": func(cluster *testCluster, _ int) {
		cluster.DuplicateMessages(0.4, 200*time.Millisecond, 20*time.Second)
	},
}

// TestCancellationsAcrossStateOutages makes the state service refuse only the leader while another controller confirms
// cancellations, and then fail for all controllers for longer than cancel_s. Meanwhile the workers keep sending
// heartbeats to the old leader. This happens twice. The refusal ends before, during or after the outage, and another
// fault overlaps it.
func TestCancellationsAcrossStateOutages(t *testing.T) {
	for name, inject := range concurrentFaults {
		for _, refusal := range []time.Duration{400 * time.Millisecond, 8 * time.Second, 22 * time.Second} {
			t.Run(fmt.Sprint(name, " ", refusal), func(t *testing.T) {
				cluster, _ := newBusyCluster(t, 201, 3, 24)
				confirmed := 0
				for outage := range 2 {
					leader := cluster.waitForLeader()
					cluster.RefuseController(leader, true)
					cluster.After(refusal, func() { cluster.RefuseController(leader, false) })
					cluster.After(300*time.Millisecond, func() { inject(cluster, leader) })
					users := cluster.users[8*outage : 8*outage+8]
					cluster.cancelEach(users, 50*time.Millisecond, 140*time.Millisecond, cluster.othersInTurn(leader))
					cluster.After(1100*time.Millisecond, func() { cluster.SetStateOutage(true) })
					cluster.Advance(1100*time.Millisecond + jobs.Seconds(1.2*shortTimers.CancelS))
					cluster.mu.Lock()
					if len(cluster.records.cancelledAt) < confirmed+4 {
						t.Errorf(
							"outage %d: %d cancellations were confirmed, want at least 4",
							outage,
							len(cluster.records.cancelledAt)-confirmed,
						)
					}
					confirmed = len(cluster.records.cancelledAt)
					cluster.mu.Unlock()
					cluster.SetStateOutage(false)
					cluster.Advance(6 * time.Second)
				}
				cluster.recoverAndCheck()
			})
		}
	}
}

// TestLeaderWithStaleStateStepsDown stalls the leader's watches while its lease renewals and reads succeed, and
// cancels jobs through other controllers. Once its state is too old for cancel_s, the leader must stop acting and
// hand over to another controller.
func TestLeaderWithStaleStateStepsDown(t *testing.T) {
	for _, slowState := range []bool{false, true} {
		cluster, _ := newBusyCluster(t, 202, 3, 24)
		leader, stalledAt := cluster.waitForLeader(), cluster.Now()
		cluster.StallWatches(leader, true)
		if slowState {
			cluster.DelayStateAnswers(20*time.Millisecond, 900*time.Millisecond)
		}
		cluster.cancelEach(cluster.users[:12], 100*time.Millisecond, 300*time.Millisecond, cluster.othersInTurn(leader))
		cluster.waitForOtherLeader(14*time.Second, leader)
		t.Logf("another controller led after %v", cluster.Now()-stalledAt)
		cluster.Advance(10 * time.Second)
		cluster.StallWatches(leader, false)
		cluster.DelayStateAnswers(0, 0)
		cluster.recoverAndCheck()
	}
}

// TestLostWatchIsReopened drops the watches of the state service for a short time while all other requests are
// answered. They must be reopened, and the leader and its term must stay the same.
func TestLostWatchIsReopened(t *testing.T) {
	cluster, _ := newBusyCluster(t, 203, 3, 6)
	leader := cluster.waitForLeader()
	_, term := cluster.Leader()
	cluster.mu.Lock()
	cluster.state.dropWatches = true
	cluster.mu.Unlock()
	cluster.Advance(1600 * time.Millisecond)
	cluster.mu.Lock()
	cluster.state.dropWatches = false
	cluster.mu.Unlock()
	cluster.Advance(10 * time.Second)
	if gotLeader, gotTerm := cluster.Leader(); gotLeader != leader || gotTerm != term {
		t.Errorf("controller %d leads in term %d, want still %d in term %d", gotLeader, gotTerm, leader, term)
	}
	if len(cluster.ActingLeaders()) != 1 {
		t.Error("got no or several acting leaders, want 1: the lost watches were not reopened")
	}
	cluster.recoverAndCheck()
}

// TestFirstHeartbeatAnswerHaltsCancelledTasks disconnects machines right after the first heartbeat answer of a new
// leader. A machine doesn't have the new token before this answer, which extends the machine's lease. So the same
// answer must halt the tasks that were cancelled on it.
func TestFirstHeartbeatAnswerHaltsCancelledTasks(t *testing.T) {
	cluster, _ := newBusyCluster(t, 204, 3, 30)
	leader := cluster.waitForLeader()
	zone := cluster.zoneWithoutLeader()
	cluster.PartitionZone(zone, RefuseBoth)
	partitionedAt := cluster.Now()
	cluster.cancelEach(cluster.users, 0, 20*time.Millisecond, cluster.othersInTurn(leader))
	cluster.Advance(200 * time.Millisecond)
	cluster.KillController(leader)
	cluster.After(30*time.Second, func() { cluster.StartController(leader) })
	oldTokens := map[string]uint64{}
	cluster.mu.Lock()
	for _, machine := range cluster.readyMachines() {
		oldTokens[machine.Name] = machine.token
	}
	cluster.mu.Unlock()
	cluster.Advance(5400*time.Millisecond - (cluster.Now() - partitionedAt))
	cluster.PartitionZone(zone, Connected)
	disconnected := 0
	for range 800 {
		cluster.Advance(time.Millisecond)
		cluster.mu.Lock()
		for _, machine := range cluster.readyMachines() {
			if machine.zone == zone && machine.token > oldTokens[machine.Name] && machine.inboundLostUntil == 0 &&
				oldTokens[machine.Name] > 0 {
				machine.inboundLostUntil = cluster.now() + 40*time.Second
				machine.outboundLostUntil = cluster.now() + 40*time.Second
				disconnected++
			}
		}
		cluster.mu.Unlock()
	}
	if disconnected == 0 {
		t.Error("no machine received a heartbeat answer of the new leader")
	}
	cluster.recoverAndCheck()
}

// TestDelayedMessages delays commands, their answers and the answers to heartbeats for up to a worker's lease, while
// jobs are cancelled, tasks move, leaders fail over, and sessions and attempts are renewed.
func TestDelayedMessages(t *testing.T) {
	const length = 12 * time.Second
	delayFaults := map[string]func(cluster *testCluster, maxDelay time.Duration){
		"commands": func(cluster *testCluster, maxDelay time.Duration) { cluster.DelayCommands(maxDelay/4, maxDelay) },
		"heartbeat answers": func(cluster *testCluster, maxDelay time.Duration) {
			cluster.DelayHeartbeatAnswers(maxDelay/4, maxDelay)
		},
		"both": func(cluster *testCluster, maxDelay time.Duration) {
			cluster.DelayCommands(maxDelay/4, maxDelay)
			cluster.DelayHeartbeatAnswers(maxDelay/8, maxDelay/2)
		},
	}
	events := map[string]func(cluster *testCluster, k int){
		"cancel": func(cluster *testCluster, k int) { cluster.cancelAt(cluster.users[k], k%3) },
		"move":   func(cluster *testCluster, k int) { cluster.ReclaimSpotMachine(2 * time.Second); cluster.KillMachine() },
		"failover": func(cluster *testCluster, k int) {
			cluster.onLeader(time.Duration(100+k*300)*time.Millisecond, cluster.KillController)
		},
		"session": func(cluster *testCluster, k int) {
			cluster.DropOutbound(3, "", 7*time.Second)
			cluster.HangMachine(7 * time.Second)
		},
		"attempt": func(cluster *testCluster, k int) { cluster.CrashTask(); cluster.CrashTask() },
	}
	for delayName, delay := range delayFaults {
		for eventName, trigger := range events {
			t.Run(delayName+" "+eventName, func(t *testing.T) {
				cluster, _ := newBusyCluster(t, 205, 3, 16)
				cluster.submitJobs(length)
				for k, maxDelay := range []time.Duration{800 * time.Millisecond, 2500 * time.Millisecond, 6 * time.Second} {
					cluster.After(time.Duration(k)*length/3, func() { delay(cluster, maxDelay) })
				}
				for k := range 6 {
					cluster.After(time.Duration(k)*length/6+500*time.Millisecond, func() { trigger(cluster, k) })
				}
				cluster.Advance(length)
				cluster.DelayCommands(0, 0)
				cluster.DelayHeartbeatAnswers(0, 0)
				cluster.Advance(2 * time.Second)
				cluster.recoverAndCheck()
			})
		}
	}
}

// TestLeaderKilledWhileMachinesAreUnreachable ends a leader while machines with long tasks are unreachable or don't
// receive the next leader's answers, for less than a worker's lease, more than one, and more than cancel_s. Tasks on
// these machines must count towards teams' limits and zones of gangs until they are proven to have ended, and no
// longer.
func TestLeaderKilledWhileMachinesAreUnreachable(t *testing.T) {
	ends := map[string]func(cluster *testCluster, leader int){
		"killed":  concurrentFaults["leader killed"],
		"frozen":  concurrentFaults["leader frozen"],
		"drained": concurrentFaults["leader drained"],
	}
	for partition := DropBoth; partition <= DropOutOf; partition++ {
		for _, duration := range []time.Duration{3 * time.Second, 8 * time.Second, 16 * time.Second} {
			for endName, end := range ends {
				t.Run(fmt.Sprint(partition, " ", duration, " ", endName), func(t *testing.T) {
					cluster, _ := newBusyCluster(t, 206, 5, 30)
					leader, zone := cluster.waitForLeader(), cluster.zoneWithoutLeader()
					cluster.PartitionZone(zone, partition)
					cluster.DropInbound(3, "", duration)
					cluster.After(300*time.Millisecond, func() { end(cluster, leader) })
					cluster.cancelEach(cluster.users[:6], 0, 400*time.Millisecond, func(int) int { return (leader + 1) % 5 })
					for k := range 10 { // these jobs have to wait, for their teams are at their limits
						cluster.submitLongJob(100+k, 4)
					}
					cluster.Advance(duration)
					cluster.PartitionZone(zone, Connected)
					cluster.Advance(time.Second)
					cluster.recoverAndCheck()
				})
			}
		}
	}
}

// TestRepeatedHandovers makes leadership pass back and forth, or kills all controllers and restarts one early, also
// within a second, while messages and writes of earlier incarnations are still under way. Each time a controller must
// lead soon, every controller must have its member key, and no task may run twice.
func TestRepeatedHandovers(t *testing.T) {
	for _, lateShare := range []float64{0, 0.3} {
		cluster, _ := newBusyCluster(t, 207, 3, 16)
		cluster.submitJobs(40 * time.Second)
		cluster.DelayWrites(lateShare, 500*time.Millisecond, 4*time.Second)
		cluster.DelayCommands(50*time.Millisecond, 3*time.Second)
		cluster.DuplicateMessages(0.3, 100*time.Millisecond, 10*time.Second)
		for round := range 9 {
			leader := cluster.waitForLeader()
			restartAfter := time.Duration(50+cluster.rng.IntN(900)) * time.Millisecond
			switch round % 3 {
			case 0: // the leader is killed and restarted
				cluster.KillController(leader)
				cluster.After(restartAfter, func() { cluster.StartController(leader) })
			case 1:
				cluster.DrainController(leader, func() {
					cluster.After(restartAfter, func() { cluster.StartController(leader) })
				})
			default: // all are killed, the former leader is restarted first
				for i := range 3 {
					cluster.KillController(i)
					cluster.After(restartAfter+time.Duration((i-leader+3)%3)*2*time.Second, func() { cluster.StartController(i) })
				}
			}
			cluster.Advance(restartAfter + 500*time.Millisecond)
			waitedFrom := cluster.Now()
			cluster.waitFor("led by one controller", 16*time.Second, func() bool { return len(cluster.ActingLeaders()) == 1 })
			if duration := cluster.Now() - waitedFrom; lateShare == 0 && duration > 6*time.Second {
				t.Errorf("round %d: %v without an acting leader, want 6s at most", round, duration)
			}
			cluster.Advance(time.Second)
		}
		cluster.DelayWrites(0, 0, 0)
		cluster.DelayCommands(0, 0)
		cluster.DuplicateMessages(0, 0, 0)
		cluster.Advance(5 * time.Second)
		cluster.recoverAndCheck()
	}
}

// TestDelayedWritesHaveNoEffect applies unanswered transactions late, after newer ones of the same controller, while
// jobs are submitted, end and are cancelled, machines are rented, and controllers restart. The late transactions must
// break no rule.
func TestDelayedWritesHaveNoEffect(t *testing.T) {
	for seed := range uint64(4) {
		cluster, _ := newBusyCluster(t, 210+seed, 3, 16)
		cluster.submitJobs(50 * time.Second)
		cluster.DelayWrites(
			[]float64{0.15, 0.4, 0.7}[seed%3],
			500*time.Millisecond,
			[]time.Duration{3 * time.Second, 6 * time.Second}[seed%2],
		)
		cluster.cancelEach(cluster.users[:12], 2*time.Second, 3*time.Second, cluster.inTurn(0))
		cluster.After(12*time.Second, func() { cluster.onLeader(200*time.Millisecond, cluster.KillController) })
		cluster.After(24*time.Second, func() { cluster.onLeader(time.Second, cluster.drainController) })
		cluster.After(36*time.Second, func() { cluster.onLeader(3*time.Second, cluster.KillController) })
		cluster.Advance(50 * time.Second)
		if n := cluster.Stats().LateWrites; n < 30 {
			t.Errorf("%d delayed writes, want at least 30", n)
		}
		cluster.DelayWrites(0, 0, 0)
		cluster.Advance(8 * time.Second)
		cluster.recoverAndCheck()
	}
}

// TestDelayedRegistrationOfFormerIncarnation delays a controller's registration, kills the controller and restarts it
// at once, so that the new incarnation's registration is applied first. The member key must remain when the former
// incarnation's lease ends.
func TestDelayedRegistrationOfFormerIncarnation(t *testing.T) {
	for _, delay := range []time.Duration{300 * time.Millisecond, 900 * time.Millisecond, 1400 * time.Millisecond} {
		cluster, _ := newBusyCluster(t, 214, 3, 6)
		i, delayed := (cluster.waitForLeader()+1)%3, 0
		key := "h/c/n/" + cluster.nodeNames()[i]
		cluster.KillController(i)
		cluster.Advance(3 * time.Second)
		cluster.InterceptTxns(func(from int, tx store.Txn) TxnOutcome {
			if from == i && delayed == 0 &&
				slices.ContainsFunc(tx.Then, func(o store.Op) bool { return o.Put == key }) {
				delayed++
				cluster.After(100*time.Millisecond, func() { cluster.KillController(i) })
				cluster.After(150*time.Millisecond, func() { cluster.StartController(i) })
				return TxnOutcome{Delay: delay}
			}
			return TxnOutcome{}
		})
		cluster.StartController(i)
		cluster.Advance(8 * time.Second)
		if delayed == 0 {
			t.Fatal("the controller sent no registration")
		}
		var member struct{ Hold uint64 }
		if _ = json.Unmarshal(cluster.StoredItem(key).Value, &member); member.Hold == 0 {
			t.Errorf("registration delayed by %v: no member key %s, want one with a lease", delay, key)
		}
		cluster.InterceptTxns(nil)
		cluster.recoverAndCheck()
	}
}

// TestDisconnectedLeaderAndCancellations cuts a leader off from the state service and its peers while workers and
// users still reach it, and cancels jobs through the other controllers. The old leader must never give an older answer
// than one before, and cancelled tasks must end within cancel_s.
func TestDisconnectedLeaderAndCancellations(t *testing.T) {
	for _, duration := range []time.Duration{
		1500 * time.Millisecond,
		4 * time.Second,
		9 * time.Second,
		25 * time.Second,
	} {
		for name, inject := range concurrentFaults {
			t.Run(fmt.Sprint(duration, " ", name), func(t *testing.T) {
				cluster, balancer := newBusyCluster(t, 215, 3, 24)
				pollers := cluster.startPolling(balancer)
				leader := cluster.waitForLeader()
				cluster.CutLinks(leader, StateLink|PeerLinks)
				cluster.After(duration, func() { cluster.CutLinks(leader, 0) })
				cluster.After(700*time.Millisecond, func() { inject(cluster, leader) })
				cluster.cancelEach(cluster.users[:14], 100*time.Millisecond, 450*time.Millisecond, cluster.othersInTurn(leader))
				cluster.Advance(duration + 12*time.Second)
				faultsEnd := cluster.Now()
				cluster.recoverAndCheck()
				cluster.checkAnswered(pollers, faultsEnd, 30*time.Second)
			})
		}
	}
}

// TestOldHeartbeatsHaveNoEffect delivers old heartbeats after newer ones, also of earlier sessions or attempts, before
// and after a failover, a move of tasks, a forget command, a restart of the machine and a partition.
func TestOldHeartbeatsHaveNoEffect(t *testing.T) {
	events := map[string]func(cluster *testCluster, k int){
		"failover": func(cluster *testCluster, k int) {
			cluster.onLeader(time.Duration(100+k*300)*time.Millisecond, cluster.KillController)
		},
		"move":   func(cluster *testCluster, k int) { cluster.KillMachine(); cluster.ReclaimSpotMachine(time.Second) },
		"forget": func(cluster *testCluster, k int) { cluster.CrashTask(); cluster.cancelAt(cluster.users[k], k%3) },
		"restart": func(cluster *testCluster, k int) {
			cluster.RestartMachine("", 200*time.Millisecond)
			cluster.RestartMachine("", time.Second)
		},
		"session":   func(cluster *testCluster, k int) { cluster.DropInbound(4, "", 7*time.Second) },
		"partition": func(cluster *testCluster, k int) { cluster.partitionZoneFor("a", DelayBoth, 2*time.Second) },
	}
	for name, trigger := range events {
		for _, maxDelay := range []time.Duration{3 * time.Second, 24 * time.Second} {
			t.Run(fmt.Sprint(name, " ", maxDelay), func(t *testing.T) {
				cluster, _ := newBusyCluster(t, 216, 3, 16)
				cluster.submitJobs(24 * time.Second)
				cluster.DuplicateMessages(0.7, 100*time.Millisecond, maxDelay)
				for k := range 8 {
					cluster.After(time.Duration(3*k)*time.Second, func() { trigger(cluster, k) })
				}
				cluster.Advance(25 * time.Second)
				if name != "failover" {
					cluster.DelayHeartbeatAnswers(100*time.Millisecond, 2*time.Second)
					cluster.Advance(4 * time.Second)
					cluster.DelayHeartbeatAnswers(0, 0)
				}
				cluster.recoverAndCheck()
			})
		}
	}
}

// TestAnswersAfterSlowStateServiceFails makes the state service answer slowly, then refuse the leader, and then fail
// for all controllers for longer than cancel_s, while users cancel and query. No answer may be older than an earlier
// one or deny that a job exists, and soon after the faults all queries must be answered.
func TestAnswersAfterSlowStateServiceFails(t *testing.T) {
	for _, maxDelay := range []time.Duration{300 * time.Millisecond, 1200 * time.Millisecond, 2200 * time.Millisecond} {
		cluster, balancer := newBusyCluster(t, 217, 5, 24)
		pollers := cluster.startPolling(balancer)
		cluster.submitJobs(30 * time.Second)
		cluster.DelayStateAnswers(10*time.Millisecond, maxDelay)
		cluster.Advance(4 * time.Second)
		if leader, _ := cluster.Leader(); leader >= 0 {
			cluster.RefuseController(leader, true)
			cluster.After(12*time.Second, func() { cluster.RefuseController(leader, false) })
		}
		cluster.cancelEach(cluster.users[:14], 0, 250*time.Millisecond, cluster.inTurn(0))
		cluster.Advance(3 * time.Second)
		cluster.SetStateOutage(true)
		cluster.Advance(jobs.Seconds(1.3 * shortTimers.CancelS))
		cluster.SetStateOutage(false)
		cluster.Advance(10 * time.Second)
		cluster.DelayStateAnswers(0, 0)
		faultsEnd := cluster.Now()
		cluster.Advance(75 * time.Second)
		if gap, job := pollers.LongestUnanswered(faultsEnd, cluster.Now()); gap > 30*time.Second {
			t.Errorf(
				"state answers delayed by up to %v: queries of %s unanswered for %v, want 30s at most",
				maxDelay,
				job,
				gap,
			)
		}
		cluster.recoverAndCheck()
	}
}

// completionWatch records when all tasks of each job are done, and when the state service stores the job as done.
type completionWatch struct {
	cluster      *testCluster
	doneAt       map[string]time.Duration // when all tasks were done, by job
	stored       map[string]bool          // whether the state service stores the job as done, by job
	longestDelay time.Duration            // longest time from doneAt until a job is stored as done
}

// watchCompletions returns a completionWatch of all jobs, which checks them every 50 ms.
func watchCompletions(cluster *testCluster) *completionWatch {
	w := &completionWatch{cluster: cluster, doneAt: map[string]time.Duration{}, stored: map[string]bool{}}
	w.check()
	return w
}

func (w *completionWatch) check() {
	for _, user := range w.cluster.users {
		job := user.spec.ID
		if _, ok := w.doneAt[job]; !ok && w.cluster.AllDone(job, user.spec.Tasks) {
			w.doneAt[job] = w.cluster.Now()
		}
		if !w.stored[job] && w.isStoredAsDone(job) {
			w.stored[job] = true
			w.longestDelay = max(w.longestDelay, w.cluster.Now()-w.doneAt[job])
		}
	}
	w.cluster.After(50*time.Millisecond, w.check)
}

func (w *completionWatch) isStoredAsDone(job string) bool {
	var record jobs.Record
	stored := w.cluster.StoredItem(jobs.RecordKey(job)).Value
	return json.Unmarshal(stored, &record) == nil && record.State == jobs.Done.String()
}

// TestTasksThatEndFarApartAreNotRerun changes the leader while the tasks of small jobs end at different times, also
// while no controller leads. A job must be stored as done soon after its last task, and no task that is done may start
// again.
func TestTasksThatEndFarApartAreNotRerun(t *testing.T) {
	// Longer than the controller's lease of 2 s, but short enough that workers, which wait 4 s for an answer, don't
	// lose their lease of 6 s.
	freeze := func(cluster *testCluster, leader int) { cluster.FreezeController(leader, 2600*time.Millisecond) }
	for name, inject := range map[string]func(cluster *testCluster, leader int){
		"killed":      concurrentFaults["leader restarted at once"],
		"frozen":      freeze,
		"drained":     concurrentFaults["leader drained"],
		"late writes": concurrentFaults["leader killed"],
	} {
		t.Run(name, func(t *testing.T) {
			cluster, _ := newBusyCluster(t, 218, 3, 0)
			if name == "late writes" {
				cluster.DelayWrites(0.2, 500*time.Millisecond, 3*time.Second)
			}
			for i := range 40 {
				cluster.After(time.Duration(500*i)*time.Millisecond, func() { cluster.submitLongJob(i, 6) })
			}
			completions := watchCompletions(cluster)
			for range 5 {
				cluster.Advance(5 * time.Second)
				inject(cluster, cluster.waitForLeader())
			}
			cluster.Advance(6 * time.Second)
			cluster.DelayWrites(0, 0, 0)
			cluster.recoverAndCheck()
			s := cluster.Stats()
			t.Logf(
				"jobs stored as done at most %v after their last task, %d worker leases expired, %d done tasks started again",
				completions.longestDelay,
				s.WorkerLeasesExpired,
				s.TasksRerun,
			)
			maxDelay := 8 * time.Second
			if name == "late writes" { // a late write times out after 2 s, and its retry may be late too
				maxDelay = 14 * time.Second
			}
			if completions.longestDelay > maxDelay {
				t.Errorf(
					"a job was stored as done %v after its last task, want 8s at most, 14s with late writes",
					completions.longestDelay,
				)
			}
			if s.TasksRerun > 0 && s.WorkerLeasesExpired == 0 {
				t.Errorf("%d done tasks started again though no worker lease expired, want 0", s.TasksRerun)
			}
		})
	}
}
