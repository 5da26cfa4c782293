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

// Further tests of faults that coincide, with the cluster of coinciding_faults_test.go.

// countLaunched counts the tasks that some machines were given by a direct command or an answer since a time, and
// got no further with.
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

// TestWorkersThatReachNoController refuses workers' connections to all controllers, while direct commands still
// reach them and are answered: they end with their leases and soon get no new work, their tasks run elsewhere as
// soon as proof allows, and they are used again when their heartbeats arrive. One worker, several, a whole zone;
// with cancellations, and with a change of the leader.
func TestWorkersThatReachNoController(t *testing.T) {
	// Reports as far apart as on large deployments: between two of them many commands can be sent, and each is
	// answered.
	rare := config.Workers{HeartbeatIntervalS: 3, LeaseS: 15, GangWaitS: 10, GangPeerS: 2, CancelS: 35}
	for _, c := range []struct {
		n    int
		zone bool
		d    time.Duration
		how  string
	}{
		{1, false, 50 * time.Second, ""},
		{6, false, 50 * time.Second, ""},
		{wholeZone, true, 50 * time.Second, ""},
		{6, false, 10 * time.Second, "killed"},
		{wholeZone, true, 50 * time.Second, "killed"},
		{wholeZone, true, 50 * time.Second, "drained"},
	} {
		t.Run(fmt.Sprint(c.n, " ", c.d, " ", c.how), func(t *testing.T) {
			t.Parallel()
			cluster, _ := newBusyClusterOn(t, 321, 3, 24, rare)
			for k := range 400 { // a stream of short tasks, so that there is always something to send
				cluster.After(time.Duration(150*k)*time.Millisecond, func() { cluster.submitLongJob(100+k, 2) })
			}
			cluster.Advance(6 * time.Second)
			l, zone := cluster.waitForLeader(), ""
			if c.zone {
				zone = cluster.zoneWithoutLeader()
			}
			names := cluster.RefuseOutbound(c.n, zone, c.d)
			from := cluster.Now()
			cluster.After(time.Second, func() { cluster.CancelRunning(6, 0) })
			if c.how != "" {
				cluster.After(2*time.Second, func() { changes[c.how](cluster, l) })
			}
			if c.how == "" {
				// Two reports have been missed by then.
				cluster.Advance(8 * time.Second)
				worst := 0
				for range 80 {
					cluster.Advance(500 * time.Millisecond)
					worst = max(worst, cluster.countLaunched(names, from+7*time.Second))
				}
				if worst > 0 {
					t.Errorf("%d tasks were sent to machines that reach nobody", worst)
				}
			}
			cluster.Advance(c.d - (cluster.Now() - from) + time.Second)
			cluster.recoverAndCheck()
		})
	}
}

// TestZoneBoundJobsWaitForTheirZone takes machines from arrays, gangs and services that are bound to one zone,
// once, again and again, or all of them: none of their tasks is anywhere else, and they go on in their zone soon
// after the faults.
func TestZoneBoundJobsWaitForTheirZone(t *testing.T) {
	losses := map[string]func(cluster *testCluster, zone string){
		"some": func(cluster *testCluster, zone string) {
			for i := range 12 {
				cluster.After(time.Duration(i)*700*time.Millisecond, func() { cluster.killMachinesIn(zone) })
			}
		},
		"all":   func(cluster *testCluster, zone string) { cluster.powerOffZoneFor(zone, 4*time.Second) },
		"flaps": func(cluster *testCluster, zone string) { cluster.flapZone(zone, 4*time.Second) },
		"long":  func(cluster *testCluster, zone string) { cluster.partitionZoneFor(zone, DropBoth, 18*time.Second) },
		"held":  func(cluster *testCluster, zone string) { cluster.partitionZoneFor(zone, DelayBoth, 9*time.Second) },
		"deaf":  func(cluster *testCluster, zone string) { cluster.DropInbound(wholeZone, zone, 14*time.Second) },
	}
	for what, lose := range losses {
		for _, how := range []string{"", "killed"} {
			t.Run(what+" "+how, func(t *testing.T) {
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
				l := cluster.waitForLeader()
				lose(cluster, zone)
				if how != "" {
					cluster.After(time.Second, func() { changes[how](cluster, l) })
				}
				for range 80 {
					cluster.Advance(500 * time.Millisecond)
					cluster.runsIn(bound, zone)
				}
				cluster.recoverAndCheck()
			})
		}
	}
}

// killMachinesIn ends one machine of a zone.
func (r *testCluster) killMachinesIn(zone string) {
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

// runsIn checks that jobs run only where they may: all in their zone, or all in one.
func (r *testCluster) runsIn(users []*testUser, zone string) {
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
			r.recordViolation("wrong_place: %s stands in %v", user.spec.ID, in)
		}
	}
}

// TestOverloadStartsEveryJob submits more work than there is room for, urgent and not, over slow links and a change
// of the leader: urgent work goes first, every job starts within four minutes of its submission, and nothing is
// forgotten.
func TestOverloadStartsEveryJob(t *testing.T) {
	for _, mean := range []time.Duration{60 * time.Millisecond, 250 * time.Millisecond} {
		t.Run(fmt.Sprint(mean), func(t *testing.T) {
			t.Parallel()
			cluster, balancer := newBusyCluster(t, 323, 3, 0)
			cluster.SetLinkDelay(mean)
			pollers := balancer.JobPollers()
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
			l := cluster.waitForLeader()
			changes["killed"](cluster, l)
			cluster.Advance(20 * time.Second)
			cluster.SetLinkDelay(0)
			from := cluster.Now()
			cluster.recoverAndCheck()
			urgent, rest := cluster.StartDelays(
				"urgent",
			), append(
				cluster.StartDelays("standard"),
				cluster.StartDelays("best_effort")...)
			t.Logf("urgent ones waited %v at most, the others %v", slices.Max(urgent), slices.Max(rest))
			if slices.Max(rest) > 4*time.Minute || slices.Max(urgent) > slices.Max(rest) {
				t.Error("they began too late, or in the wrong order")
			}
			if gap, job := pollers.LongestUnanswered(from, min(cluster.Now(), from+75*time.Second)); gap > 30*time.Second {
				t.Errorf("no query of %s was answered for %v", job, gap)
			}
		})
	}
}

// TestTenLeaderChanges changes the leader ten times in two minutes, and inside an outage that is longer than a
// lease too, while jobs are submitted, end and are cancelled.
func TestTenLeaderChanges(t *testing.T) {
	for _, controllers := range []int{3, 5} {
		for _, outage := range []time.Duration{0, 4 * time.Second, 14 * time.Second} {
			t.Run(fmt.Sprint(controllers, " ", outage), func(t *testing.T) {
				t.Parallel()
				cluster, _ := newBusyCluster(t, 324, controllers, 16)
				cluster.submitJobs(2 * time.Minute)
				_, term := cluster.Leader()
				cluster.KillLeaders(10, 2*time.Minute)
				if outage > 0 {
					for _, at := range []time.Duration{11 * time.Second, 46 * time.Second, 83 * time.Second} {
						cluster.After(at, func() { cluster.during(outage, cluster.SetStateOutage) })
					}
				}
				cluster.cancelEach(cluster.users[:16], 3*time.Second, 7*time.Second, cluster.inTurn(0))
				cluster.Advance(2 * time.Minute)
				_, now := cluster.Leader()
				if minChanges := uint64(8); now < term+minChanges && outage < 14*time.Second {
					t.Errorf("the leader changed %d times", now-term)
				}
				cluster.recoverAndCheck()
			})
		}
	}
}

// TestAllControllersDown stops all controllers for longer than lease_s, with cancellations confirmed just before:
// every worker's lease expires, nothing that was cancelled starts again, and everything else goes on.
func TestAllControllersDown(t *testing.T) {
	for _, part := range []float64{0.3, 1.1, 2.2} { // the first: some leases outlive it
		for _, controllers := range []int{3, 5} {
			t.Run(fmt.Sprint(part, " ", controllers), func(t *testing.T) {
				t.Parallel()
				cluster, _ := newBusyCluster(t, 325, controllers, 24)
				for k := range 8 {
					cluster.cancelAt(cluster.users[k], k%controllers)
				}
				cluster.Advance(30 * time.Millisecond)
				for k := range 4 { // these meet the end of the controllers
					cluster.cancelAt(cluster.users[8+k], k%controllers)
				}
				cluster.After(
					5*time.Millisecond,
					func() { killAll(cluster.Simulation, jobs.Seconds(part*shortTimers.LeaseS)) },
				)
				cluster.Advance(jobs.Seconds(part*shortTimers.LeaseS) + 6*time.Second)
				if s := cluster.Stats(); part > 1 && s.WorkerLeasesExpired < 10 {
					t.Errorf("%d leases ran out", s.WorkerLeasesExpired)
				}
				cluster.recoverAndCheck()
			})
		}
	}
}

// TestCancellationAtCompletionHasOneOutcome sends a cancellation, a query or a repeated submission at the end of a
// job's last task, without any other fault: the job is done or cancelled, in every answer and for good.
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
		t.Logf("%v, %d cancelled at their end", ends, cluster.Stats().JobsCancelled)
		if ends["done"] < 10 || ends["cancelled"] < 10 || cluster.Stats().JobsCancelled < 40 {
			t.Errorf("%v: they did not meet", ends)
		}
	}
}

// TestCancelledWhileLeaderIsRefused cancels jobs at the moment at which the state service refuses the leader alone,
// and stops the service a second later for longer than cancel_s; the workers send heartbeats to the old leader
// throughout.
func TestCancelledWhileLeaderIsRefused(t *testing.T) {
	for _, controllers := range []int{3, 5} {
		for _, at := range []time.Duration{
			-20 * time.Millisecond,
			-5 * time.Millisecond,
			0,
			2 * time.Millisecond,
			10 * time.Millisecond,
			50 * time.Millisecond,
		} {
			t.Run(fmt.Sprint(controllers, " ", at), func(t *testing.T) {
				t.Parallel()
				cluster, _ := newBusyCluster(t, 327, controllers, 24)
				l := cluster.waitForLeader()
				cluster.SetPollBursts(true)
				cluster.After(time.Second, func() { cluster.RefuseController(l, true) })
				cluster.cancelEach(cluster.users[:12], time.Second+at, time.Millisecond, cluster.inTurn(l))
				cluster.Advance(2 * time.Second)
				cluster.SetStateOutage(true)
				cluster.Advance(jobs.Seconds(1.15 * shortTimers.CancelS))
				cluster.SetStateOutage(false)
				cluster.Advance(2 * time.Second)
				cluster.RefuseController(l, false)
				cluster.mu.Lock()
				n := len(cluster.records.cancelledAt)
				cluster.mu.Unlock()
				if n < 8 {
					t.Errorf("%d cancellations were confirmed", n)
				}
				cluster.recoverAndCheck()
			})
		}
	}
}

// TestPartitionedZoneWithItsController partitions a zone with workers and a controller, the leader or another, for
// longer than lease_s, while jobs are cancelled outside and queried on both sides.
func TestPartitionedZoneWithItsController(t *testing.T) {
	for _, leads := range []bool{true, false} {
		for _, how := range []Partition{DropBoth, DelayBoth, RefuseBoth} {
			for _, part := range []float64{1.3, 2.5} {
				t.Run(fmt.Sprint(leads, " ", how, " ", part), func(t *testing.T) {
					t.Parallel()
					cluster, balancer := newBusyCluster(t, 328, 3, 24)
					pollers := cluster.startPolling(balancer)
					l := cluster.waitForLeader()
					zone := cluster.settings[l].Zone
					if !leads {
						zone = cluster.zoneWithoutLeader()
					}
					cluster.SetPollBursts(true)
					cluster.PartitionZone(zone, how)
					cluster.cancelEach(cluster.users[:12], 50*time.Millisecond, 400*time.Millisecond, cluster.inTurn(0))
					cluster.submitJobs(6 * time.Second)
					cluster.Advance(jobs.Seconds(part * shortTimers.LeaseS))
					cluster.PartitionZone(zone, Connected)
					from := cluster.Now()
					cluster.Advance(40 * time.Second)
					cluster.checkAnswered(pollers, from, 30*time.Second)
					cluster.recoverAndCheck()
				})
			}
		}
	}
}

// TestValidationWhileMachineTypesDiffer adds a machine type that one controller hasn't read yet: a job that fits no
// other type is accepted by the others, and that one, asked the same within milliseconds, refuses it neither for
// good nor as unknown.
func TestValidationWhileMachineTypesDiffer(t *testing.T) {
	cluster, _ := newBusyCluster(t, 329, 3, 6)
	l := cluster.waitForLeader()
	behind := (l + 1) % 3
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
	refused := 0
	for k := range 12 {
		spec := arraySpec(fmt.Sprintf("req-3%05d", k), "big", "red")
		spec.CPUs = 100
		spec.EstimateS = 3
		cluster.AddJob(spec)
		body, _ := json.Marshal(spec)
		cluster.Request(l, "POST", "/v2/runs", body, func(status int, _ []byte) {
			if status != 201 {
				t.Errorf("%s is answered %d", spec.ID, status)
			}
		})
		cluster.After(30*time.Millisecond, func() {
			cluster.Request(behind, "POST", "/v2/runs", body, func(status int, _ []byte) {
				if status == 400 || status == 422 {
					refused++
				}
			})
		})
		cluster.Advance(50 * time.Millisecond)
	}
	cluster.StallWatches(behind, false)
	cluster.Advance(3 * time.Second)
	if refused > 0 {
		t.Errorf("%d accepted jobs were refused for good", refused)
	}
	reportViolations(t, cluster.Simulation)
}
