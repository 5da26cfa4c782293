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

// Tests of two faults that coincide, with the parameters of each varied. A controller's lease is 2 s here, a
// worker's 6 s, and cancel_s 11.5 s, 1 s more than the minimum that the settings accept.

// newBusyCluster is a cluster on tight workers, with jobs of all kinds that run for long, so that something is to
// be lost.
func newBusyCluster(t *testing.T, seed uint64, controllers, n int) (*testCluster, *Balancer) {
	t.Helper()
	return newBusyClusterOn(t, seed, controllers, n, shortTimers)
}

// newBusyClusterOn does so on other workers.
func newBusyClusterOn(
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
	balancer := cluster.Balance()
	for i := range n {
		cluster.submitLongJob(i, 20)
	}
	cluster.waitFor("working", 40*time.Second, func() bool { return n == 0 || cluster.Utilization().Running > n })
	return cluster, balancer
}

// submitLongJob submits a long job: an array, a gang, or an array that saves.
func (r *testCluster) submitLongJob(i int, estimate float64) *testUser {
	return r.submitLongJobWith(i, estimate, func(*jobs.Spec) {})
}

// submitLongJobWith does so with something changed.
func (r *testCluster) submitLongJobWith(i int, estimate float64, change func(*jobs.Spec)) *testUser {
	spec := arraySpec(fmt.Sprintf("req-6%05d", i), "long", teamInTurn(i))
	spec.Tasks = 1 + i%3
	spec.CPUs = 3
	spec.EstimateS = estimate
	if i%5 > 0 { // machines stand in all zones
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

// cancelAt lets a user's cancellation go through one controller, and elsewhere if that doesn't take it.
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

// waitForLeader names the controller that leads; one must.
func (r *testCluster) waitForLeader() int {
	r.t.Helper()
	r.waitFor("led", 15*time.Second, func() bool { return len(r.ActingLeaders()) == 1 })
	return r.ActingLeaders()[0]
}

// recoverAndCheck starts all controllers, waits for the end of all jobs, and checks the rules that apply then.
func (r *testCluster) recoverAndCheck() {
	r.t.Helper()
	r.startControllers()
	idleWait := r.WatchIdleCapacity()
	r.waitUntilDone()
	for _, n := range r.nodeNames() {
		if r.StoredItem("h/c/n/"+n).Version == 0 {
			r.t.Errorf("%s is there and has no member key", n)
		}
	}
	s := r.Stats()
	longest, job := idleWait()
	r.t.Logf(
		"cancelled tasks stayed %v at most, of %v; %s waited %v beside idle capacity; %d tasks began after their cancellation, the latest %v",
		s.LongestRunAfterCancel,
		jobs.Seconds(shortTimers.CancelS),
		job,
		longest,
		s.StartsAfterCancel,
		s.LatestStartAfterCancel,
	)
}

// gapFaults is what else goes on in a gap, by name; each is given the leader.
var gapFaults = map[string]func(cluster *testCluster, l int){
	"nothing": func(*testCluster, int) {},
	"leader killed": func(cluster *testCluster, l int) {
		cluster.KillController(l)
		cluster.After(4*time.Second, func() { cluster.StartController(l) })
	},
	"leader back at once": func(cluster *testCluster, l int) {
		cluster.KillController(l)
		cluster.After(100*time.Millisecond, func() { cluster.StartController(l) })
	},
	"leader frozen":  func(cluster *testCluster, l int) { cluster.FreezeController(l, 5*time.Second) },
	"leader drained": func(cluster *testCluster, l int) { cluster.DrainController(l, func() { cluster.StartController(l) }) },
	"machines hang": func(cluster *testCluster, _ int) {
		for range 6 {
			cluster.HangMachine(5 * time.Second)
		}
	},
	"machines deaf": func(cluster *testCluster, _ int) { cluster.DropInbound(8, "", 9*time.Second) },
	"commands held": func(cluster *testCluster, _ int) {
		cluster.DelayCommands(time.Second, 5*time.Second)
		cluster.After(6*time.Second, func() { cluster.DelayCommands(0, 0) })
	},
	"watches stick": func(cluster *testCluster, l int) {
		cluster.StallWatches(l, true)
		cluster.After(20*time.Second, func() { cluster.StallWatches(l, false) })
	},
	"copies": func(cluster *testCluster, _ int) {
		cluster.DuplicateMessages(0.4, 200*time.Millisecond, 20*time.Second)
	},
}

// TestCancellationsAcrossStateOutages makes the state service refuse the leader alone while another controller
// confirms cancellations, then fail for all for longer than cancel_s, while the workers keep sending heartbeats to
// the old leader; and once more. The refusal ends before, in or after the outage, and another fault goes on inside.
func TestCancellationsAcrossStateOutages(t *testing.T) {
	for what, f := range gapFaults {
		for _, refused := range []time.Duration{400 * time.Millisecond, 8 * time.Second, 22 * time.Second} {
			t.Run(fmt.Sprint(what, " ", refused), func(t *testing.T) {
				cluster, _ := newBusyCluster(t, 201, 3, 24)
				confirmed := 0
				for gap := range 2 {
					l := cluster.waitForLeader()
					cluster.RefuseController(l, true)
					cluster.After(refused, func() { cluster.RefuseController(l, false) })
					cluster.After(300*time.Millisecond, func() { f(cluster, l) })
					users := cluster.users[8*gap : 8*gap+8]
					cluster.cancelEach(users, 50*time.Millisecond, 140*time.Millisecond, cluster.othersInTurn(l))
					cluster.After(1100*time.Millisecond, func() { cluster.SetStateOutage(true) })
					cluster.Advance(1100*time.Millisecond + jobs.Seconds(1.2*shortTimers.CancelS))
					cluster.mu.Lock()
					if len(cluster.records.cancelledAt) < confirmed+4 {
						t.Errorf(
							"gap %d: %d cancellations were confirmed",
							gap,
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

// TestLeaderWithStaleStateStepsDown stalls the leader's watches while its renewals and reads succeed, and cancels
// jobs through others: the leader stops acting when its state is too old for cancel_s, and hands over so that
// another can lead.
func TestLeaderWithStaleStateStepsDown(t *testing.T) {
	for _, slow := range []bool{false, true} {
		cluster, _ := newBusyCluster(t, 202, 3, 24)
		l, from := cluster.waitForLeader(), cluster.Now()
		cluster.StallWatches(l, true)
		if slow {
			cluster.DelayStateAnswers(20*time.Millisecond, 900*time.Millisecond)
		}
		cluster.cancelEach(cluster.users[:12], 100*time.Millisecond, 300*time.Millisecond, cluster.othersInTurn(l))
		cluster.waitForOtherLeader(14*time.Second, l)
		t.Logf("led from elsewhere after %v", cluster.Now()-from)
		cluster.Advance(10 * time.Second)
		cluster.StallWatches(l, false)
		cluster.DelayStateAnswers(0, 0)
		cluster.recoverAndCheck()
	}
}

// TestLostWatchIsReopened loses a watch of the leader while the state service answers everything else: the watch is
// opened again, and the leader stays.
func TestLostWatchIsReopened(t *testing.T) {
	cluster, _ := newBusyCluster(t, 203, 3, 6)
	l := cluster.waitForLeader()
	_, term := cluster.Leader()
	cluster.mu.Lock()
	cluster.state.dropWatches = true
	cluster.mu.Unlock()
	cluster.Advance(1600 * time.Millisecond)
	cluster.mu.Lock()
	cluster.state.dropWatches = false
	cluster.mu.Unlock()
	cluster.Advance(10 * time.Second)
	if n, now := cluster.Leader(); n != l || now != term {
		t.Errorf("controller %d leads in term %d, it was %d in %d", n, now, l, term)
	}
	if len(cluster.ActingLeaders()) != 1 {
		t.Error("nobody may act: the watch is waited for")
	}
	cluster.recoverAndCheck()
}

// TestFirstHeartbeatAnswerHaltsCancelledTasks makes the first answer of a new leader the last that a machine
// receives: the machine doesn't have the new token yet, and what was cancelled on it must be halted by that answer,
// for it extends the lease.
func TestFirstHeartbeatAnswerHaltsCancelledTasks(t *testing.T) {
	cluster, _ := newBusyCluster(t, 204, 3, 30)
	l := cluster.waitForLeader()
	zone := cluster.zoneWithoutLeader()
	cluster.PartitionZone(zone, RefuseBoth)
	from := cluster.Now()
	cluster.cancelEach(cluster.users, 0, 20*time.Millisecond, cluster.othersInTurn(l))
	cluster.Advance(200 * time.Millisecond)
	cluster.KillController(l)
	cluster.After(30*time.Second, func() { cluster.StartController(l) })
	old := map[string]uint64{}
	cluster.mu.Lock()
	for _, machine := range cluster.readyMachines() {
		old[machine.Name] = machine.token
	}
	cluster.mu.Unlock()
	cluster.Advance(5400*time.Millisecond - (cluster.Now() - from))
	cluster.PartitionZone(zone, Connected)
	last := 0
	for range 800 {
		cluster.Advance(time.Millisecond)
		cluster.mu.Lock()
		for _, machine := range cluster.readyMachines() {
			if machine.zone == zone && machine.token > old[machine.Name] && machine.inboundLostUntil == 0 &&
				old[machine.Name] > 0 {
				machine.inboundLostUntil = cluster.now() + 40*time.Second
				machine.outboundLostUntil = cluster.now() + 40*time.Second
				last++
			}
		}
		cluster.mu.Unlock()
	}
	if last == 0 {
		t.Error("no machine had an answer of the new leader")
	}
	cluster.recoverAndCheck()
}

// TestDelayedMessages delays a command or its answer, or the answer to a heartbeat, for up to a lease, and the
// machine then goes on: across cancellations, moves of tasks, failovers, new sessions and new attempts.
func TestDelayedMessages(t *testing.T) {
	const d = 12 * time.Second
	delayFaults := map[string]func(cluster *testCluster, maxDelay time.Duration){
		"commands": func(cluster *testCluster, maxDelay time.Duration) { cluster.DelayCommands(maxDelay/4, maxDelay) },
		"answers": func(cluster *testCluster, maxDelay time.Duration) {
			cluster.DelayHeartbeatAnswers(maxDelay/4, maxDelay)
		},
		"both": func(cluster *testCluster, maxDelay time.Duration) {
			cluster.DelayCommands(maxDelay/4, maxDelay)
			cluster.DelayHeartbeatAnswers(maxDelay/8, maxDelay/2)
		},
	}
	meets := map[string]func(cluster *testCluster, k int){
		"cancel": func(cluster *testCluster, k int) { cluster.cancelAt(cluster.users[k], k%3) },
		"move":   func(cluster *testCluster, k int) { cluster.ReclaimSpotMachine(2 * time.Second); cluster.KillMachine() },
		"takeover": func(cluster *testCluster, k int) {
			cluster.onLeader(time.Duration(100+k*300)*time.Millisecond, cluster.KillController)
		},
		"session": func(cluster *testCluster, k int) {
			cluster.DropOutbound(3, "", 7*time.Second)
			cluster.HangMachine(7 * time.Second)
		},
		"attempt": func(cluster *testCluster, k int) { cluster.CrashTask(); cluster.CrashTask() },
	}
	for what, delay := range delayFaults {
		for with, f := range meets {
			t.Run(what+" "+with, func(t *testing.T) {
				cluster, _ := newBusyCluster(t, 205, 3, 16)
				cluster.submitJobs(d)
				for k, maxDelay := range []time.Duration{800 * time.Millisecond, 2500 * time.Millisecond, 6 * time.Second} {
					cluster.After(time.Duration(k)*d/3, func() { delay(cluster, maxDelay) })
				}
				for k := range 6 {
					cluster.After(time.Duration(k)*d/6+500*time.Millisecond, func() { f(cluster, k) })
				}
				cluster.Advance(d)
				cluster.DelayCommands(0, 0)
				cluster.DelayHeartbeatAnswers(0, 0)
				cluster.Advance(2 * time.Second)
				cluster.recoverAndCheck()
			})
		}
	}
}

// TestLeaderKilledWhileMachinesAreUnreachable kills a leader while machines with long tasks can't be reached or
// don't receive the next leader's answer, for less than a lease, more than one, and more than cancel_s: what is on
// them counts until proof, with teams' limits and zones of gangs, and no longer.
func TestLeaderKilledWhileMachinesAreUnreachable(t *testing.T) {
	ends := map[string]func(cluster *testCluster, l int){
		"killed":  gapFaults["leader killed"],
		"frozen":  gapFaults["leader frozen"],
		"drained": gapFaults["leader drained"],
	}
	for how := DropBoth; how <= DropOutOf; how++ {
		for _, duration := range []time.Duration{3 * time.Second, 8 * time.Second, 16 * time.Second} {
			for what, end := range ends {
				t.Run(fmt.Sprint(how, " ", duration, " ", what), func(t *testing.T) {
					cluster, _ := newBusyCluster(t, 206, 5, 30)
					l, zone := cluster.waitForLeader(), cluster.zoneWithoutLeader()
					cluster.PartitionZone(zone, how)
					cluster.DropInbound(3, "", duration)
					cluster.After(300*time.Millisecond, func() { end(cluster, l) })
					cluster.cancelEach(cluster.users[:6], 0, 400*time.Millisecond, func(int) int { return (l + 1) % 5 })
					for k := range 10 { // those that wait for a place, at their teams' limits
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

// TestRepeatedHandovers lets controllers hand over and back, and all of them end and one return, also within a
// second, while their old requests, writes and heartbeats are still on their way: each time there is a leader soon,
// every controller has its member key, and nothing runs twice.
func TestRepeatedHandovers(t *testing.T) {
	for _, late := range []float64{0, 0.3} {
		cluster, _ := newBusyCluster(t, 207, 3, 16)
		cluster.submitJobs(40 * time.Second)
		cluster.DelayWrites(late, 500*time.Millisecond, 4*time.Second)
		cluster.DelayCommands(50*time.Millisecond, 3*time.Second)
		cluster.DuplicateMessages(0.3, 100*time.Millisecond, 10*time.Second)
		for round := range 9 {
			l := cluster.waitForLeader()
			back := time.Duration(50+cluster.rng.IntN(900)) * time.Millisecond
			switch round % 3 {
			case 0: // A to B
				cluster.KillController(l)
				cluster.After(back, func() { cluster.StartController(l) })
			case 1:
				cluster.DrainController(l, func() { cluster.After(back, func() { cluster.StartController(l) }) })
			default: // all end, one returns, the others later
				for i := range 3 {
					cluster.KillController(i)
					cluster.After(back+time.Duration((i-l+3)%3)*2*time.Second, func() { cluster.StartController(i) })
				}
			}
			cluster.Advance(back + 500*time.Millisecond)
			from := cluster.Now()
			cluster.waitFor("led", 16*time.Second, func() bool { return len(cluster.ActingLeaders()) == 1 })
			if duration := cluster.Now() - from; late == 0 && duration > 6*time.Second {
				t.Errorf("round %d: %v without a leader", round, duration)
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

// TestDelayedWritesHaveNoEffect carries unanswered transactions out late, after newer ones of the same controller,
// while jobs are submitted, end and are cancelled, machines are rented, and controllers restart.
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
			t.Errorf("%d writes were late", n)
		}
		cluster.DelayWrites(0, 0, 0)
		cluster.Advance(8 * time.Second)
		cluster.recoverAndCheck()
	}
}

// TestDelayedRegistrationOfFormerIncarnation leaves a controller's registration unanswered, kills the controller
// and starts it at once, and lets the registration land after that of the new incarnation: the member key must stay
// when the former lease ends.
func TestDelayedRegistrationOfFormerIncarnation(t *testing.T) {
	for _, after := range []time.Duration{300 * time.Millisecond, 900 * time.Millisecond, 1400 * time.Millisecond} {
		cluster, _ := newBusyCluster(t, 214, 3, 6)
		i, caught := (cluster.waitForLeader()+1)%3, 0
		key := "h/c/n/" + cluster.nodeNames()[i]
		cluster.KillController(i)
		cluster.Advance(3 * time.Second)
		cluster.InterceptTxns(func(from int, tx store.Txn) TxnOutcome {
			if from == i && caught == 0 &&
				slices.ContainsFunc(tx.Then, func(o store.Op) bool { return o.Put == key }) {
				caught++
				cluster.After(100*time.Millisecond, func() { cluster.KillController(i) })
				cluster.After(150*time.Millisecond, func() { cluster.StartController(i) })
				return TxnOutcome{Delay: after}
			}
			return TxnOutcome{}
		})
		cluster.StartController(i)
		cluster.Advance(8 * time.Second)
		if caught == 0 {
			t.Fatal("it did not register")
		}
		var v struct{ Hold uint64 }
		if _ = json.Unmarshal(cluster.StoredItem(key).Value, &v); v.Hold == 0 {
			t.Errorf("%v: %s has no member key", after, key)
		}
		cluster.InterceptTxns(nil)
		cluster.recoverAndCheck()
	}
}

// TestDisconnectedLeaderAndCancellations cuts a leader off from the state service and its peers while workers and
// users still reach it, and cancels jobs through the new leader: the old one never gives an older answer
// afterwards, and what was cancelled is gone in time.
func TestDisconnectedLeaderAndCancellations(t *testing.T) {
	for _, duration := range []time.Duration{
		1500 * time.Millisecond,
		4 * time.Second,
		9 * time.Second,
		25 * time.Second,
	} {
		for what, f := range gapFaults {
			t.Run(fmt.Sprint(duration, " ", what), func(t *testing.T) {
				cluster, balancer := newBusyCluster(t, 215, 3, 24)
				pollers := cluster.startPolling(balancer)
				l := cluster.waitForLeader()
				cluster.CutLinks(l, StateLink|PeerLinks)
				cluster.After(duration, func() { cluster.CutLinks(l, 0) })
				cluster.After(700*time.Millisecond, func() { f(cluster, l) })
				cluster.cancelEach(cluster.users[:14], 100*time.Millisecond, 450*time.Millisecond, cluster.othersInTurn(l))
				cluster.Advance(duration + 12*time.Second)
				from := cluster.Now()
				cluster.recoverAndCheck()
				cluster.checkAnswered(pollers, from, 30*time.Second)
			})
		}
	}
}

// TestOldHeartbeatsHaveNoEffect delivers an old heartbeat after newer ones, also of an earlier session or attempt:
// before and after a failover, a move, a forget command and a restart of its machine.
func TestOldHeartbeatsHaveNoEffect(t *testing.T) {
	meets := map[string]func(cluster *testCluster, k int){
		"takeover": func(cluster *testCluster, k int) {
			cluster.onLeader(time.Duration(100+k*300)*time.Millisecond, cluster.KillController)
		},
		"move":   func(cluster *testCluster, k int) { cluster.KillMachine(); cluster.ReclaimSpotMachine(time.Second) },
		"forget": func(cluster *testCluster, k int) { cluster.CrashTask(); cluster.cancelAt(cluster.users[k], k%3) },
		"restart": func(cluster *testCluster, k int) {
			cluster.RestartMachine("", 200*time.Millisecond)
			cluster.RestartMachine("", time.Second)
		},
		"session": func(cluster *testCluster, k int) { cluster.DropInbound(4, "", 7*time.Second) },
		"cut":     func(cluster *testCluster, k int) { cluster.partitionZoneFor("a", DelayBoth, 2*time.Second) },
	}
	for what, f := range meets {
		for _, maxDelay := range []time.Duration{3 * time.Second, 24 * time.Second} {
			t.Run(fmt.Sprint(what, " ", maxDelay), func(t *testing.T) {
				cluster, _ := newBusyCluster(t, 216, 3, 16)
				cluster.submitJobs(24 * time.Second)
				cluster.DuplicateMessages(0.7, 100*time.Millisecond, maxDelay)
				for k := range 8 {
					cluster.After(time.Duration(3*k)*time.Second, func() { f(cluster, k) })
				}
				cluster.Advance(25 * time.Second)
				if what != "takeover" {
					cluster.DelayHeartbeatAnswers(100*time.Millisecond, 2*time.Second)
					cluster.Advance(4 * time.Second)
					cluster.DelayHeartbeatAnswers(0, 0)
				}
				cluster.recoverAndCheck()
			})
		}
	}
}

// TestAnswersAfterSlowStateServiceFails makes the state service answer slowly, refuse the leader alone and then
// everybody for longer than cancel_s, while users cancel and query: no answer is older than one before it or denies
// a job, and soon afterwards all queries are answered.
func TestAnswersAfterSlowStateServiceFails(t *testing.T) {
	for _, slow := range []time.Duration{300 * time.Millisecond, 1200 * time.Millisecond, 2200 * time.Millisecond} {
		cluster, balancer := newBusyCluster(t, 217, 5, 24)
		pollers := cluster.startPolling(balancer)
		cluster.submitJobs(30 * time.Second)
		cluster.DelayStateAnswers(10*time.Millisecond, slow)
		cluster.Advance(4 * time.Second)
		if l, _ := cluster.Leader(); l >= 0 {
			cluster.RefuseController(l, true)
			cluster.After(12*time.Second, func() { cluster.RefuseController(l, false) })
		}
		cluster.cancelEach(cluster.users[:14], 0, 250*time.Millisecond, cluster.inTurn(0))
		cluster.Advance(3 * time.Second)
		cluster.SetStateOutage(true)
		cluster.Advance(jobs.Seconds(1.3 * shortTimers.CancelS))
		cluster.SetStateOutage(false)
		cluster.Advance(10 * time.Second)
		cluster.DelayStateAnswers(0, 0)
		from := cluster.Now()
		cluster.Advance(75 * time.Second)
		if gap, job := pollers.LongestUnanswered(from, cluster.Now()); gap > 30*time.Second {
			t.Errorf("%v: no query of %s was answered for %v", slow, job, gap)
		}
		cluster.recoverAndCheck()
	}
}

// completionWatch records when the tasks of each job are done, and when the state service has the job as done.
type completionWatch struct {
	cluster      *testCluster
	doneAt       map[string]time.Duration // by job
	stored       map[string]bool
	longestDelay time.Duration // from doneAt until it is stored
}

// watchCompletions watches all jobs from now on.
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

// TestTasksThatEndFarApartAreNotRerun ends the tasks of small jobs far apart, across changes of the leader, one of
// them without any leader: a job is done soon after all its tasks are, and nothing that is done starts again.
func TestTasksThatEndFarApartAreNotRerun(t *testing.T) {
	// For longer than its lease, and not for so long that workers, who wait 4 s for an answer, outwait their lease
	// of 6.
	frozen := func(cluster *testCluster, l int) { cluster.FreezeController(l, 2600*time.Millisecond) }
	for what, f := range map[string]func(cluster *testCluster, l int){
		"killed":      gapFaults["leader back at once"],
		"frozen":      frozen,
		"drained":     gapFaults["leader drained"],
		"late writes": gapFaults["leader killed"],
	} {
		t.Run(what, func(t *testing.T) {
			cluster, _ := newBusyCluster(t, 218, 3, 0)
			if what == "late writes" {
				cluster.DelayWrites(0.2, 500*time.Millisecond, 3*time.Second)
			}
			for i := range 40 {
				cluster.After(time.Duration(500*i)*time.Millisecond, func() { cluster.submitLongJob(i, 6) })
			}
			completions := watchCompletions(cluster)
			for range 5 {
				cluster.Advance(5 * time.Second)
				f(cluster, cluster.waitForLeader())
			}
			cluster.Advance(6 * time.Second)
			cluster.DelayWrites(0, 0, 0)
			cluster.recoverAndCheck()
			s := cluster.Stats()
			t.Logf(
				"done is durable %v after the last task ended at most, %d leases ran out, %d tasks that were done began again",
				completions.longestDelay,
				s.WorkerLeasesExpired,
				s.TasksRerun,
			)
			maxDelay := 8 * time.Second
			if what == "late writes" { // each costs 2 s until it is given up, and the next may be late too
				maxDelay = 14 * time.Second
			}
			if completions.longestDelay > maxDelay {
				t.Errorf("that a job is done was durable %v after its last task had ended", completions.longestDelay)
			}
			if s.TasksRerun > 0 && s.WorkerLeasesExpired == 0 {
				t.Errorf("%d tasks began again though they were done", s.TasksRerun)
			}
		})
	}
}
