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

// Further tests of overlapping faults, on the cluster of coinciding_faults_test.go.

// countLaunched counts the tasks on the named machines that were launched at or after a time, by a direct command or a
// heartbeat answer.
func (r *testCluster) countLaunched(names []string, since time.Duration) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range names {
		for _, task := range r.cloud.machineByName[name].tasks {
			if task.launchedAt >= since {
				n++
			}
		}
	}
	return n
}

// TestWorkersThatReachNoController refuses the connections of one worker, several or a whole zone to all controllers,
// while direct commands still reach them and are answered. The workers' tasks must end with their leases and run
// elsewhere once they are proven to have ended. The workers must soon get no new tasks, and must be used again when
// their heartbeats arrive. Jobs are cancelled, and the leader changes in some cases.
func TestWorkersThatReachNoController(t *testing.T) {
	// Heartbeats are as far apart as on large deployments, so that many commands are sent and answered between two.
	rareHeartbeats := config.Workers{HeartbeatIntervalS: 3, LeaseS: 15, GangWaitS: 10, GangPeerS: 2, CancelS: 35}
	for _, c := range []struct {
		machines  int
		inOneZone bool
		duration  time.Duration
		change    string
	}{
		{1, false, 50 * time.Second, ""},
		{6, false, 50 * time.Second, ""},
		{allZoneMachines, true, 50 * time.Second, ""},
		{6, false, 10 * time.Second, "killed"},
		{allZoneMachines, true, 50 * time.Second, "killed"},
		{allZoneMachines, true, 50 * time.Second, "drained"},
	} {
		t.Run(fmt.Sprint(c.machines, " ", c.duration, " ", c.change), func(t *testing.T) {
			t.Parallel()
			cluster, _ := newBusyClusterWith(t, 321, 3, 24, rareHeartbeats)
			for k := range 400 { // a stream of short tasks, so that there is always one to launch
				cluster.After(time.Duration(150*k)*time.Millisecond, func() { cluster.submitLongJob(100+k, 2) })
			}
			cluster.Advance(6 * time.Second)
			leader, zone := cluster.waitForLeader(), ""
			if c.inOneZone {
				zone = cluster.zoneWithoutLeader()
			}
			names := cluster.RefuseOutbound(c.machines, zone, c.duration)
			refusedAt := cluster.Now()
			cluster.After(time.Second, func() { cluster.CancelRunning(6, 0) })
			if c.change != "" {
				cluster.After(2*time.Second, func() { leaderChanges[c.change](cluster, leader) })
			}
			if c.change == "" {
				// Two heartbeats have been missed after 8 s.
				cluster.Advance(8 * time.Second)
				maxLaunched := 0
				for range 80 {
					cluster.Advance(500 * time.Millisecond)
					maxLaunched = max(maxLaunched, cluster.countLaunched(names, refusedAt+7*time.Second))
				}
				if maxLaunched > 0 {
					t.Errorf("%d tasks were launched on machines that reach no controller, want 0", maxLaunched)
				}
			}
			cluster.Advance(c.duration - (cluster.Now() - refusedAt) + time.Second)
			cluster.recoverAndCheck()
		})
	}
}

// TestZoneBoundJobsWaitForTheirZone makes machines of a zone fail, some or all, once or repeatedly, while arrays and
// gangs are bound to one zone. None of their tasks may run in another zone, and they must continue in their zone soon
// after the faults.
func TestZoneBoundJobsWaitForTheirZone(t *testing.T) {
	losses := map[string]func(cluster *testCluster, zone string){
		"some": func(cluster *testCluster, zone string) {
			for i := range 12 {
				cluster.After(time.Duration(i)*700*time.Millisecond, func() { cluster.killOneMachineIn(zone) })
			}
		},
		"all":                 func(cluster *testCluster, zone string) { cluster.powerOffZoneFor(zone, 4*time.Second) },
		"flapping partition":  func(cluster *testCluster, zone string) { cluster.flapZone(zone, 4*time.Second) },
		"long partition":      func(cluster *testCluster, zone string) { cluster.partitionZoneFor(zone, DropBoth, 18*time.Second) },
		"delaying partition":  func(cluster *testCluster, zone string) { cluster.partitionZoneFor(zone, DelayBoth, 9*time.Second) },
		"no inbound messages": func(cluster *testCluster, zone string) { cluster.DropInbound(allZoneMachines, zone, 14*time.Second) },
	}
	for loss, lose := range losses {
		for _, change := range []string{"", "killed"} {
			t.Run(loss+" "+change, func(t *testing.T) {
				t.Parallel()
				cluster, _ := newBusyCluster(t, 322, 3, 12)
				zone := cluster.zoneWithoutLeader()
				var bound []*testUser
				for k := range 18 {
					spec := arraySpec(fmt.Sprintf("req-4%05d", k), "bound", teamInTurn(k))
					spec.Kind = []jobs.Kind{jobs.Array, jobs.Gang, jobs.Array}[k%3]
					spec.Tasks = 1 + k%4
					spec.CPUs = 3
					spec.EstimateS = 8
					if k%2 == 0 {
						spec.Zone = &zone
					} else {
						spec.OneZone = true
					}
					user := cluster.newUser(spec)
					cluster.users, bound = append(cluster.users, user), append(bound, user)
					cluster.After(time.Duration(k)*600*time.Millisecond, user.submit)
				}
				cluster.Advance(4 * time.Second)
				leader := cluster.waitForLeader()
				lose(cluster, zone)
				if change != "" {
					cluster.After(time.Second, func() { leaderChanges[change](cluster, leader) })
				}
				for range 80 {
					cluster.Advance(500 * time.Millisecond)
					cluster.checkZones(bound, zone)
				}
				cluster.recoverAndCheck()
			})
		}
	}
}

// killOneMachineIn kills a random ready machine of a zone.
func (r *testCluster) killOneMachineIn(zone string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, machine := range r.shuffledReadyMachines() {
		if machine.zone == zone {
			r.stats.MachinesKilled++
			r.terminate(r.now(), machine)
			return
		}
	}
}

// checkZones reports a violation if a job's tasks run in more than one zone, or outside the zone that its spec sets.
func (r *testCluster) checkZones(users []*testUser, zone string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, user := range users {
		in := map[string]bool{}
		for _, machine := range r.cloud.machines {
			for _, task := range machine.tasks {
				if task.active && !machine.dead && task.spec.ID == user.spec.ID {
					in[machine.zone] = true
				}
			}
		}
		if len(in) > 1 || user.spec.Zone != nil && len(in) == 1 && !in[zone] {
			r.recordViolation("wrong_place: %s has tasks in zones %v", user.spec.ID, in)
		}
	}
}

// TestOverloadStartsEveryJob submits more jobs of three priorities than fit, over slow links and a change of the
// leader. Urgent jobs must start first, every job must start within four minutes of its submission, and queries must be
// answered.
func TestOverloadStartsEveryJob(t *testing.T) {
	for _, linkDelay := range []time.Duration{60 * time.Millisecond, 250 * time.Millisecond} {
		t.Run(fmt.Sprint(linkDelay), func(t *testing.T) {
			t.Parallel()
			cluster, balancer := newBusyCluster(t, 323, 3, 0)
			cluster.SetLinkDelay(linkDelay)
			pollers := balancer.NewJobPollers()
			for k := range 150 {
				cluster.After(time.Duration(300*k)*time.Millisecond, func() {
					user := cluster.submitLongJobWith(k, 14, func(spec *jobs.Spec) {
						spec.Priority = []string{"urgent", "standard", "best_effort"}[k%3]
						spec.CPUs = 4
						spec.Class = spec.Priority
					})
					cluster.After(8*time.Second, func() { pollers.Follow(user.spec.ID, nil) })
					if k%9 == 0 {
						cluster.After(12*time.Second, user.cancel)
					}
				})
			}
			cluster.Advance(30 * time.Second)
			leader := cluster.waitForLeader()
			leaderChanges["killed"](cluster, leader)
			cluster.Advance(20 * time.Second)
			cluster.SetLinkDelay(0)
			faultsEnd := cluster.Now()
			cluster.recoverAndCheck()
			urgent, others := cluster.StartDelays(
				"urgent",
			), append(
				cluster.StartDelays("standard"),
				cluster.StartDelays("best_effort")...)
			t.Logf("longest start delay: urgent jobs %v, others %v", slices.Max(urgent), slices.Max(others))
			if slices.Max(others) > 4*time.Minute || slices.Max(urgent) > slices.Max(others) {
				t.Error("want start delays of 4m at most, and urgent jobs not later than the others (delays above)")
			}
			if gap, job := pollers.LongestUnanswered(
				faultsEnd,
				min(cluster.Now(), faultsEnd+75*time.Second),
			); gap > 30*time.Second {
				t.Errorf("queries of %s unanswered for %v, want 30s at most", job, gap)
			}
		})
	}
}

// TestTenLeaderChanges kills the leader ten times in two minutes while jobs are submitted, end and are cancelled,
// also during outages of the state service that are longer than a controller's or a worker's lease.
func TestTenLeaderChanges(t *testing.T) {
	for _, controllers := range []int{3, 5} {
		for _, outage := range []time.Duration{0, 4 * time.Second, 14 * time.Second} {
			t.Run(fmt.Sprint(controllers, " ", outage), func(t *testing.T) {
				t.Parallel()
				cluster, _ := newBusyCluster(t, 324, controllers, 16)
				cluster.submitJobs(2 * time.Minute)
				_, firstTerm := cluster.Leader()
				cluster.KillLeaders(10, 2*time.Minute)
				if outage > 0 {
					for _, at := range []time.Duration{11 * time.Second, 46 * time.Second, 83 * time.Second} {
						cluster.After(at, func() { cluster.during(outage, cluster.SetStateOutage) })
					}
				}
				cluster.cancelEach(cluster.users[:16], 3*time.Second, 7*time.Second, cluster.inTurn(0))
				cluster.Advance(2 * time.Minute)
				_, lastTerm := cluster.Leader()
				if minChanges := uint64(8); lastTerm < firstTerm+minChanges && outage < 14*time.Second {
					t.Errorf("the term rose by %d, want at least 8", lastTerm-firstTerm)
				}
				cluster.recoverAndCheck()
			})
		}
	}
}

// TestAllControllersDown kills all controllers for less and more than lease_s, right after cancellations were sent.
// Beyond lease_s the workers' leases must expire. No cancelled task may start again, and all other jobs must continue.
func TestAllControllersDown(t *testing.T) {
	for _, leaseShare := range []float64{0.3, 1.1, 2.2} { // share of lease_s; with 0.3 some leases don't expire
		for _, controllers := range []int{3, 5} {
			t.Run(fmt.Sprint(leaseShare, " ", controllers), func(t *testing.T) {
				t.Parallel()
				cluster, _ := newBusyCluster(t, 325, controllers, 24)
				for k := range 8 {
					cluster.cancelAt(cluster.users[k], k%controllers)
				}
				cluster.Advance(30 * time.Millisecond)
				for k := range 4 { // sent as the controllers are killed
					cluster.cancelAt(cluster.users[8+k], k%controllers)
				}
				cluster.After(
					5*time.Millisecond,
					func() { killAll(cluster.Simulation, jobs.Seconds(leaseShare*shortTimers.LeaseS)) },
				)
				cluster.Advance(jobs.Seconds(leaseShare*shortTimers.LeaseS) + 6*time.Second)
				if s := cluster.Stats(); leaseShare > 1 && s.WorkerLeasesExpired < 10 {
					t.Errorf("%d worker leases expired, want at least 10", s.WorkerLeasesExpired)
				}
				cluster.recoverAndCheck()
			})
		}
	}
}

// TestCancellationAtCompletionHasOneOutcome sends a cancellation, a query or a repeated submission just as a job's
// last task ends, without any other fault. Every answer must agree, permanently, whether the job is done or cancelled.
func TestCancellationAtCompletionHasOneOutcome(t *testing.T) {
	for _, controllers := range []int{3, 5} {
		cluster, _ := newBusyCluster(t, 326, controllers, 0)
		cluster.CancelAtCompletion(0.7)
		cluster.SetPollBursts(true)
		for k := range 120 {
			cluster.After(time.Duration(120*k)*time.Millisecond, func() { cluster.submitLongJob(k, 1.5) })
		}
		cluster.Advance(25 * time.Second)
		cluster.recoverAndCheck()
		ends := map[string]int{}
		for _, user := range cluster.users {
			ends[user.finalStates[0]]++
		}
		t.Logf("final states %v, %d jobs cancelled at their end", ends, cluster.Stats().JobsCancelled)
		if ends["done"] < 10 || ends["cancelled"] < 10 || cluster.Stats().JobsCancelled < 40 {
			t.Errorf("final states %v: want at least 10 done and 10 cancelled, of at least 40 cancellations", ends)
		}
	}
}

// TestCancelledWhileLeaderIsRefused cancels jobs just as the state service begins to refuse only the leader, and stops
// the service a second later for longer than cancel_s. The workers send heartbeats to the old leader throughout.
func TestCancelledWhileLeaderIsRefused(t *testing.T) {
	for _, controllers := range []int{3, 5} {
		for _, offset := range []time.Duration{
			-20 * time.Millisecond,
			-5 * time.Millisecond,
			0,
			2 * time.Millisecond,
			10 * time.Millisecond,
			50 * time.Millisecond,
		} {
			t.Run(fmt.Sprint(controllers, " ", offset), func(t *testing.T) {
				t.Parallel()
				cluster, _ := newBusyCluster(t, 327, controllers, 24)
				leader := cluster.waitForLeader()
				cluster.SetPollBursts(true)
				cluster.After(time.Second, func() { cluster.RefuseController(leader, true) })
				cluster.cancelEach(cluster.users[:12], time.Second+offset, time.Millisecond, cluster.inTurn(leader))
				cluster.Advance(2 * time.Second)
				cluster.SetStateOutage(true)
				cluster.Advance(jobs.Seconds(1.15 * shortTimers.CancelS))
				cluster.SetStateOutage(false)
				cluster.Advance(2 * time.Second)
				cluster.RefuseController(leader, false)
				cluster.mu.Lock()
				n := len(cluster.records.cancelledAt)
				cluster.mu.Unlock()
				if n < 8 {
					t.Errorf("%d cancellations were confirmed, want at least 8", n)
				}
				cluster.recoverAndCheck()
			})
		}
	}
}

// TestPartitionedZoneWithItsController partitions a zone with workers and a controller, the leader or a follower, for
// longer than lease_s, while jobs are cancelled and queried. Soon afterwards all queries must be answered.
func TestPartitionedZoneWithItsController(t *testing.T) {
	for _, withLeader := range []bool{true, false} {
		for _, partition := range []Partition{DropBoth, DelayBoth, RefuseBoth} {
			for _, leaseShare := range []float64{1.3, 2.5} {
				t.Run(fmt.Sprint(withLeader, " ", partition, " ", leaseShare), func(t *testing.T) {
					t.Parallel()
					cluster, balancer := newBusyCluster(t, 328, 3, 24)
					pollers := cluster.startPolling(balancer)
					leader := cluster.waitForLeader()
					zone := cluster.settings[leader].Zone
					if !withLeader {
						zone = cluster.zoneWithoutLeader()
					}
					cluster.SetPollBursts(true)
					cluster.PartitionZone(zone, partition)
					cluster.cancelEach(cluster.users[:12], 50*time.Millisecond, 400*time.Millisecond, cluster.inTurn(0))
					cluster.submitJobs(6 * time.Second)
					cluster.Advance(jobs.Seconds(leaseShare * shortTimers.LeaseS))
					cluster.PartitionZone(zone, Connected)
					healedAt := cluster.Now()
					cluster.Advance(40 * time.Second)
					cluster.checkAnswered(pollers, healedAt, 30*time.Second)
					cluster.recoverAndCheck()
				})
			}
		}
	}
}

// TestValidationWhileMachineTypesDiffer adds a machine type that one controller hasn't read yet. The leader must accept
// jobs that fit no other type, and that controller, which gets the same submissions within milliseconds, must not
// reject them permanently (400 or 422).
func TestValidationWhileMachineTypesDiffer(t *testing.T) {
	cluster, _ := newBusyCluster(t, 329, 3, 6)
	leader := cluster.waitForLeader()
	behind := (leader + 1) % 3
	cluster.StallWatches(behind, true)
	cluster.SetPollBursts(true)
	big := cluster.cfg.Types[0]
	big.Name = "g40"
	big.CPUs = 160
	cluster.mu.Lock()
	cluster.cfg.Types = append(slices.Clone(cluster.cfg.Types), big)
	raw, _ := json.Marshal(map[string]any{"builds": cluster.cfg.Types})
	cluster.mu.Unlock()
	cluster.WriteKeys(store.Op{Put: "h/c/types", Value: raw})
	cluster.Advance(300 * time.Millisecond)
	rejected := 0
	for k := range 12 {
		spec := arraySpec(fmt.Sprintf("req-3%05d", k), "big", "red")
		spec.CPUs = 100
		spec.EstimateS = 3
		cluster.RecordSubmission(spec)
		body, _ := json.Marshal(spec)
		cluster.Request(leader, "POST", "/v2/runs", body, func(status int, _ []byte) {
			if status != 201 {
				t.Errorf("submission of %s at the leader: status %d, want 201", spec.ID, status)
			}
		})
		cluster.After(30*time.Millisecond, func() {
			cluster.Request(behind, "POST", "/v2/runs", body, func(status int, _ []byte) {
				if status == 400 || status == 422 {
					rejected++
				}
			})
		})
		cluster.Advance(50 * time.Millisecond)
	}
	cluster.StallWatches(behind, false)
	cluster.Advance(3 * time.Second)
	if rejected > 0 {
		t.Errorf("%d accepted jobs were rejected with 400 or 422 by another controller, want 0", rejected)
	}
	reportViolations(t, cluster.Simulation)
}
