package simulator

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/membership"
	"github.com/harewalk/harewalk/internal/rollout"
)

// newThreeZoneLoadedCluster starts a cluster and returns once its machines in three zones run long tasks. The returned
// balancer forwards users' requests to the controllers.
func newThreeZoneLoadedCluster(t *testing.T, seed uint64, controllers int) (*testCluster, *Balancer) {
	cluster := newWideCluster(t, seed, controllers)
	balancer := cluster.NewBalancer()
	cluster.submitSmallJobs(24, 20)
	cluster.submitJobs(60 * time.Second)
	cluster.waitForLoad()
	cluster.Advance(3 * time.Second)
	return cluster, balancer
}

// startPolling polls the states of the first 24 users' jobs through the balancer from now on.
func (r *testCluster) startPolling(balancer *Balancer) *JobPollers {
	pollers := balancer.NewJobPollers()
	for _, user := range r.users[:24] {
		pollers.Follow(user.spec.ID, nil)
	}
	return pollers
}

// isRented reports whether a machine is still rented.
func (r *testCluster) isRented(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.cloud.machineByName[name].dead
}

// TestMachineWithLostInbound drops all messages to one machine, to many, or to all of a zone, while their heartbeats
// still arrive. In some cases the leader changes meanwhile, or the fault ends early. Few launches may be lost, the
// machines are returned and replaced, or used again once they receive messages, and all jobs end.
func TestMachineWithLostInbound(t *testing.T) {
	for _, c := range []struct {
		name          string
		n             int
		zone          bool
		duration      time.Duration // duration of the fault
		restartLeader bool          // the leader restarts during the fault
	}{
		{"one", 1, false, 5 * time.Minute, false},
		{"many", 14, false, 5 * time.Minute, false},
		{"zone", allZoneMachines, true, 5 * time.Minute, false},
		{"zone and leader", allZoneMachines, true, 5 * time.Minute, true},
		{"many, short fault", 14, false, 12 * time.Second, false},
		{"many and leader", 14, false, 5 * time.Minute, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			cluster, _ := newThreeZoneLoadedCluster(t, 81, 5)
			zone := ""
			if c.zone {
				zone = cluster.zoneWithoutLeader()
			}
			unreachable := cluster.DropInbound(c.n, zone, c.duration)
			if c.restartLeader {
				l, _ := cluster.Leader()
				cluster.After(2*time.Second, func() { cluster.KillController(l) })
				cluster.After(4*time.Second, func() { cluster.StartController(l) })
			}
			cluster.Advance(c.duration / 2)
			if c.duration > time.Minute {
				rented := 0
				for _, m := range unreachable {
					if cluster.isRented(m) {
						rented++
					}
				}
				if rented > 0 {
					t.Errorf("got %d of %d unreachable machines still rented after %v, want 0", rented, len(unreachable), c.duration/2)
				}
			}
			// A machine may lose a launch or two until the fault is detected, but not one launch per lease.
			s := cluster.Stats()
			t.Logf("%d launches were lost on the way to %d unreachable machines", s.LaunchesLost, len(unreachable))
			if s.LaunchesLost > 6*len(unreachable) {
				t.Errorf("got %d launches to %d unreachable machines, want at most 6 per machine", s.LaunchesLost, len(unreachable))
			}
			cluster.waitUntilDone()
		})
	}
}

// TestMachineWithLostOutbound checks that machines whose heartbeats are lost are returned, although they still receive
// messages.
func TestMachineWithLostOutbound(t *testing.T) {
	cluster, _ := newThreeZoneLoadedCluster(t, 82, 3)
	unreachable := cluster.DropOutbound(3, "", 5*time.Minute)
	cluster.Advance(40 * time.Second)
	for _, m := range unreachable {
		if cluster.isRented(m) {
			t.Errorf("machine %s is still rented 40 s after its heartbeats were lost, want returned", m)
		}
	}
	cluster.waitUntilDone()
}

// TestDuplicatedMessagesHaveNoEffect delivers copies of heartbeats and requests to any controller, delayed by one
// second to several lease durations, while machines and leaders are killed and a zone is cut off. No copy may make a
// terminated machine ready again, free its slots or complete a task.
func TestDuplicatedMessagesHaveNoEffect(t *testing.T) {
	for seed := range uint64(3) {
		cluster, _ := newThreeZoneLoadedCluster(t, 90+seed, 3)
		cluster.DuplicateMessages(0.4, time.Second, 40*time.Second)
		terminatedAt := map[string]time.Duration{}
		for i := range 8 {
			cluster.After(time.Duration(4*i)*time.Second, func() {
				if name := cluster.BusiestMachine(); name != "" {
					cluster.mu.Lock()
					cluster.terminate(cluster.now(), cluster.cloud.machineByName[name])
					cluster.mu.Unlock()
					terminatedAt[name] = cluster.Now()
				}
			})
		}
		cluster.After(12*time.Second, func() { cluster.onLeader(time.Second, cluster.KillController) })
		zone := cluster.zoneWithoutLeader()
		cluster.After(20*time.Second, func() { cluster.PartitionZone(zone, DelayBoth) })
		cluster.After(32*time.Second, func() { cluster.PartitionZone(zone, Connected) })
		revived := 0
		for range 100 {
			cluster.Advance(time.Second)
			l, _ := cluster.Leader()
			if l < 0 {
				continue
			}
			for name, at := range terminatedAt {
				if c := cluster.virtual.controllers[l].process; c != nil && cluster.Now()-at > 40*time.Second &&
					c.IsReady(name) {
					revived++
				}
			}
		}
		if revived > 0 {
			t.Errorf("seed %d: terminated machines were ready in %d checks, want 0", seed, revived)
		}
		cluster.waitUntilDone()
	}
}

// countMisdirectedMachines counts the ready machines that send heartbeats to a controller that isn't the leader.
// Machines rented less than 30 s ago are left out.
func (r *testCluster) countMisdirectedMachines() (n int) {
	leader, _ := r.Leader()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, machine := range r.readyMachines() {
		if machine.controller != leader && r.now()-machine.rentedAt > 30*time.Second {
			n++
		}
	}
	return n
}

// TestControllerPartitionedWithItsWorkers cuts controllers off from the state service and their peers but not from
// their workers: the leader, a follower, both, or the leader during a rollout. They accept no heartbeats once their
// lease has expired, other controllers soon serve their workers and users, and the leader doesn't change when the
// links are restored.
func TestControllerPartitionedWithItsWorkers(t *testing.T) {
	for _, c := range []string{"leader", "other", "two", "rolling"} {
		t.Run(c, func(t *testing.T) {
			cluster, balancer := newThreeZoneLoadedCluster(t, 83, 5)
			first, _ := cluster.Leader()
			partitioned := []int{first}
			switch c {
			case "other":
				partitioned = []int{(first + 1) % 5}
			case "two":
				partitioned = append(partitioned, (first+2)%5)
			case "rolling":
				cluster.RollingRestart(rollout.Newest, time.Second, nil, func() {})
				cluster.Advance(2 * time.Second)
				first, _ = cluster.Leader()
				partitioned = []int{first}
			}
			pollers := cluster.startPolling(balancer)
			before := cluster.Now()
			for _, i := range partitioned {
				cluster.CutLinks(i, StateLink|PeerLinks)
			}
			cluster.Advance(8 * time.Second)
			for _, i := range partitioned {
				if balancer.Healthy(i) && cluster.ControllerRuns(i) {
					t.Errorf("controller %d is healthy 8 s after losing the state service and its peers, want unhealthy", i)
				}
			}
			if c == "leader" || c == "two" {
				cluster.waitFor(
					"led by a connected controller",
					10*time.Second,
					func() bool { l, _ := cluster.Leader(); return l >= 0 && !slices.Contains(partitioned, l) },
				)
			}
			cluster.Advance(6 * time.Second)
			if misdirected := cluster.countMisdirectedMachines(); misdirected > 2 {
				t.Errorf("got %d machines that send heartbeats to a non-leader, want at most 2", misdirected)
			}
			term := func() uint64 { _, n := cluster.Leader(); return n }
			termBefore := term()
			for _, i := range partitioned {
				cluster.CutLinks(i, 0)
			}
			cluster.Advance(20 * time.Second)
			if now := term(); now != termBefore && c != "rolling" {
				t.Errorf("term changed from %d to %d after the links were restored, want no change", termBefore, now)
			}
			cluster.checkAnswered(pollers, before, 25*time.Second)
			cluster.waitUntilDone()
		})
	}
}

// TestLeaderLosesItsWorkers cuts only the leader's links to its workers. Another controller becomes leader once the
// workers contact other controllers, and the leader doesn't change again while the links are cut.
func TestLeaderLosesItsWorkers(t *testing.T) {
	cluster, _ := newThreeZoneLoadedCluster(t, 89, 5)
	old, oldTerm := cluster.Leader()
	cluster.CutLinks(old, WorkerLinks)
	from := cluster.Now()
	cluster.waitForOtherLeader(9*time.Second, old)
	t.Logf("another controller led after %v", cluster.Now()-from)
	cluster.Advance(40 * time.Second)
	if l, term := cluster.Leader(); term != oldTerm+1 || l == old {
		t.Errorf("got leader %d in term %d, want another leader in term %d+1", l, term, oldTerm)
	}
	cluster.CutLinks(old, 0)
	cluster.waitUntilDone()
}

// membershipStates returns the names of all states from a controller's start to its leadership, in order.
func membershipStates() []string {
	var names []string
	for state := membership.LoadingKeys; state <= membership.Leading; state++ {
		names = append(names, state.String())
	}
	return names
}

// TestControllersThatRestartAtOnce repeatedly kills controllers at each step of an election and restarts them after 50
// to 900 ms. Each time exactly one leader acts within 14 s, and every job ends once.
func TestControllersThatRestartAtOnce(t *testing.T) {
	cluster, _ := newThreeZoneLoadedCluster(t, 84, 3)
	steps := membershipStates()
	for round := range 14 {
		all := round%3 == 2
		l, _ := cluster.Leader()
		for i := range 3 {
			if all || i == l {
				cluster.KillController(i)
				after := time.Duration(50+cluster.rng.IntN(850)) * time.Millisecond
				cluster.After(after, func() { cluster.StartController(i) })
			}
		}
		cluster.Advance(time.Second)
		cluster.RestartControllerAtStep(
			cluster.rng.IntN(3),
			steps[round%len(steps)],
			time.Duration(50+cluster.rng.IntN(850))*time.Millisecond,
		)
		from := cluster.Now()
		cluster.waitFor("one acting leader", 14*time.Second, func() bool { return len(cluster.ActingLeaders()) == 1 })
		if duration := cluster.Now() - from; duration > 8*time.Second {
			t.Logf("round %d: %v without a leader", round, duration)
		}
		cluster.Advance(2 * time.Second)
	}
	cluster.waitUntilDone()
}

// raiseHeartbeatSequences raises the heartbeat sequence numbers of all machines, as if they had been up for hours.
func (r *testCluster) raiseHeartbeatSequences() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, machine := range r.cloud.machines {
		machine.seq += 100_000
	}
}

// drawReadyMachines returns the names of up to limit ready machines, drawn at random.
func (r *testCluster) drawReadyMachines(limit int) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []string
	for _, machine := range r.shuffledReadyMachines() {
		if len(names) < limit {
			names = append(names, machine.Name)
		}
	}
	return names
}

// isReachableOrReturned reports whether a controller has received a machine's latest heartbeat, or the machine is no
// longer rented.
func (r *testCluster) isReachableOrReturned(name string, controller int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	machine := r.cloud.machineByName[name]
	process := r.virtual.controllers[controller].process
	return machine.dead || process != nil && process.HasHeartbeat(name, machine.session, machine.seq)
}

// waitUntilReachableOrReturned advances time until the leader has received a heartbeat from each machine or the
// machine is returned, for at most a minute. It returns the number of remaining machines and the time it took.
func (r *testCluster) waitUntilReachableOrReturned(names []string) (count int, took time.Duration) {
	remaining := map[string]bool{}
	for _, name := range names {
		remaining[name] = true
	}
	from := r.Now()
	for ; r.Now() < from+time.Minute && len(remaining) > 0; r.Advance(250 * time.Millisecond) {
		leader, _ := r.Leader()
		if leader < 0 {
			continue
		}
		maps.DeleteFunc(remaining, func(name string, _ bool) bool { return r.isReachableOrReturned(name, leader) })
	}
	return len(remaining), r.Now() - from
}

// TestMachinesThatRestartAtOnce restarts one, many or all machines within a second, under the same names but with a
// new session and sequence numbers from the start, while copies of their earlier heartbeats are in flight. They are
// used again or returned within 10 s, and at most a quarter is returned.
func TestMachinesThatRestartAtOnce(t *testing.T) {
	for _, n := range []int{1, 12, allZoneMachines} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			cluster, _ := newThreeZoneLoadedCluster(t, 85, 3)
			cluster.DuplicateMessages(0.2, time.Second, 20*time.Second)
			cluster.raiseHeartbeatSequences()
			cluster.Advance(15 * time.Second)
			names := cluster.drawReadyMachines(n)
			for _, name := range names {
				cluster.RestartMachine(name, time.Duration(50+cluster.rng.IntN(850))*time.Millisecond)
			}
			cluster.submitJobs(30 * time.Second)
			remaining, took := cluster.waitUntilReachableOrReturned(names)
			returned := 0
			for _, name := range names {
				if !cluster.isRented(name) {
					returned++
				}
			}
			t.Logf("%d machines: all reachable or returned after %v, %d returned", len(names), took, returned)
			if took > 10*time.Second || returned > len(names)/4 {
				t.Errorf(
					"%d of %d machines sent no heartbeat and were not returned within %v (want 0 within 10 s), %d returned (want a quarter at most)",
					remaining,
					len(names),
					took,
					returned,
				)
			}
			cluster.waitUntilDone()
		})
	}
}

// TestMachinesThatBootLateOrNever makes machines boot several times slower, never, or at once. Machines that never
// boot are returned and replaced, but not by a burst of rentals; late machines are used or returned.
func TestMachinesThatBootLateOrNever(t *testing.T) {
	for _, c := range []struct {
		name               string
		factor, neverShare float64 // factor multiplies the boot time; neverShare is the share of machines that never boot
	}{{"late", 6, 0}, {"never", 1, 0.6}, {"at once", 0.01, 0}} {
		t.Run(c.name, func(t *testing.T) {
			cluster := newWideCluster(t, 86, 3)
			cluster.SetBootFault(c.factor, c.neverShare)
			cluster.submitSmallJobs(16, 15)
			maxMachines := 0
			for range 90 {
				cluster.Advance(time.Second)
				cluster.mu.Lock()
				n := 0
				for _, machine := range cluster.cloud.machines {
					if !machine.dead {
						n++
					}
				}
				cluster.mu.Unlock()
				maxMachines = max(maxMachines, n)
			}
			cluster.SetBootFault(0, 0)
			cluster.Advance(2 * time.Minute)
			cluster.mu.Lock()
			for _, machine := range cluster.cloud.machines {
				if !machine.dead && machine.upAt > cluster.now()+time.Hour {
					t.Errorf(
						"machine %s never boots and is still rented after %v, want returned",
						machine.Name,
						cluster.now()-machine.rentedAt,
					)
				}
			}
			cluster.mu.Unlock()
			t.Logf("at most %d machines were rented at once", maxMachines)
			cluster.waitUntilDone()
		})
	}
}

// TestFailingJobsAndFaultyMachines submits jobs that fail on every machine until they are cancelled, beside other
// jobs: a single task, a gang and an array. No machine is returned because of them, other jobs don't wait for them,
// and a faulty machine is still detected.
func TestFailingJobsAndFaultyMachines(t *testing.T) {
	cluster, _ := newThreeZoneLoadedCluster(t, 87, 3)
	for i := range 40 { // enough jobs to keep every machine busy
		spec := arraySpec(fmt.Sprintf("req-81%04d", i), "long", "blue")
		spec.Tasks = 8
		spec.CPUs = 4
		spec.EstimateS = 60
		cluster.submit(spec)
	}
	cluster.Advance(20 * time.Second)
	var failingUsers []*testUser
	for i, failing := range []struct {
		kind  jobs.Kind
		tasks int
	}{
		{jobs.Array, 1},
		{jobs.Gang, 4},
		{jobs.Array, 2000},
	} {
		spec := arraySpec(fmt.Sprintf("req-90000%d", i), "wrong", "red")
		spec.Kind = failing.kind
		spec.Tasks = failing.tasks
		spec.Image = fmt.Sprintf("w-%d", i)
		spec.ImageGB = 2
		spec.EstimateS = 10
		user := cluster.newUser(spec)
		cluster.FailJob(spec.ID)
		user.submit()
		failingUsers = append(failingUsers, user)
	}
	before := cluster.Stats()
	returned := func() (n int) {
		cluster.mu.Lock()
		defer cluster.mu.Unlock()
		for _, machine := range cluster.cloud.machines {
			if machine.returned && !machine.faulty && machine.incarnation == 0 {
				n++
			}
		}
		return n
	}
	returnedBefore := returned()
	cluster.Advance(60 * time.Second)
	crashed := cluster.Stats().TasksCrashed - before.TasksCrashed
	t.Logf("%d failures in 60 s, %d machines returned", crashed, returned()-returnedBefore)
	if crashed > 120 {
		t.Errorf("got %d task failures in 60 s, want at most 120", crashed)
	}
	if n := returned() - returnedBefore; n > 0 {
		t.Errorf("got %d machines returned while only jobs failed, want 0", n)
	}
	faulty := cluster.BusiestMachine()
	cluster.FailTasksOnMachine(faulty)
	cluster.waitFor("faulty machine returned", 90*time.Second, func() bool { return !cluster.isRented(faulty) })
	for _, user := range failingUsers {
		user.cancel()
	}
	cluster.users = append(cluster.users, failingUsers...)
	cluster.waitUntilDone()
}

// TestLeadersFrozenForAMinute freezes the leader for more than a minute, three leaders in a row. Each time another
// controller leads within 12 s, and a controller that resumes does nothing on its expired leadership.
func TestLeadersFrozenForAMinute(t *testing.T) {
	cluster, balancer := newThreeZoneLoadedCluster(t, 88, 5)
	pollers := cluster.startPolling(balancer)
	cluster.submitJobs(2 * time.Minute)
	from := cluster.Now()
	for range 3 {
		l, _ := cluster.Leader()
		cluster.FreezeController(l, 70*time.Second)
		cluster.waitForOtherLeader(12*time.Second, l)
		cluster.Advance(10 * time.Second)
	}
	cluster.Advance(90 * time.Second)
	cluster.checkAnswered(pollers, from, 30*time.Second)
	cluster.waitUntilDone()
}

// TestFloodOfQueriesIsShed sends a thousand queries a second for running, ended and unknown jobs, while the leader is
// frozen for a time. Each query is answered at once or with a request to retry, no worker lease expires, submissions
// are accepted, and every job's queries are answered again and again.
func TestFloodOfQueriesIsShed(t *testing.T) {
	cluster, balancer := newThreeZoneLoadedCluster(t, 91, 3)
	pollers := cluster.startPolling(balancer)
	cluster.Advance(20 * time.Second)
	before, from := cluster.Stats(), cluster.Now()
	statuses := map[int]int{}
	slowest, late := time.Duration(0), 0
	for i := range 60_000 { // 1000 jobs a second
		id, real := fmt.Sprintf("req-7%05d", i%1000), false
		if i%3 > 0 {
			id, real = cluster.users[i%len(cluster.users)].spec.ID, true
		}
		cluster.After(time.Duration(i)*time.Millisecond, func() {
			sentAt, to := cluster.Now(), i%3
			frozen := cluster.virtual.controllers[to].frozenUntil > sentAt
			cluster.Request(to, "GET", "/v2/runs/"+id, nil, func(status int, _ []byte) {
				statuses[status]++
				if !frozen && status != 0 {
					slowest = max(slowest, cluster.Now()-sentAt)
				}
				if status == 200 && !real || status == 404 && real && cluster.accepted(id) {
					t.Errorf("query of %s: got status %d, want 200 for accepted jobs and 404 for unknown ones", id, status)
				}
				if cluster.Now()-sentAt > 2*time.Second {
					late++
				}
			})
		})
	}
	cluster.After(20*time.Second, func() {
		cluster.onLeader(0, func(i int) { cluster.FreezeController(i, 12*time.Second) })
	})
	cluster.submitJobs(60 * time.Second)
	cluster.Advance(62 * time.Second)
	t.Logf("answers by status %v, slowest from a controller that isn't frozen %v, %d later than 2 s", statuses, slowest, late)
	if n := cluster.Stats().WorkerLeasesExpired - before.WorkerLeasesExpired; n > 0 {
		t.Errorf("got %d worker leases expired during the flood of queries, want 0", n)
	}
	cluster.checkAnswered(pollers, from, 20*time.Second)
	if statuses[200] == 0 || statuses[404] == 0 {
		t.Errorf("got answers by status %v, want some of 200 and of 404", statuses)
	}
	cluster.waitUntilDone()
}

// accepted reports whether the submission of the job was accepted.
func (r *testCluster) accepted(id string) bool {
	return slices.ContainsFunc(
		r.users,
		func(user *testUser) bool { return user.spec.ID == id && user.isAccepted() },
	)
}

// TestJobsWithoutGuaranteeDoNotDelayOthers submits an array of thousands of short tasks, many tiny jobs and
// best-effort work for a team without a guarantee. Jobs within a guarantee start within 10 s all the same, and the
// other team's jobs start within 4 minutes.
func TestJobsWithoutGuaranteeDoNotDelayOthers(t *testing.T) {
	types := gpuMachineTypes(12)
	cluster := newTestClusterWithMachines(
		t,
		92,
		3,
		rollout.Newest,
		"",
		24,
		types,
		[]config.Team{{Name: "red", CPUs: 80}, {Name: "blue", CPUs: 80}, {Name: "guest"}},
	)
	cluster.submitSmallJobs(10, 15)
	cluster.Advance(30 * time.Second)
	submit := func(n int, team, class, priority string, tasks int, cpus, estimateS float64) {
		spec := arraySpec(fmt.Sprintf("req-%06d", n), class, team)
		spec.Priority = priority
		spec.Tasks = tasks
		spec.CPUs = cpus
		spec.MemoryGB = 0.4
		spec.ImageGB = 0.5
		spec.EstimateS = estimateS
		cluster.submit(spec)
	}
	submit(500000, "guest", "sweep", "best_effort", 4000, 0.25, 4)
	submit(500001, "guest", "idle", "best_effort", 60, 4, 30)
	for i := range 200 {
		cluster.After(time.Duration(i)*300*time.Millisecond, func() {
			submit(510000+i, "guest", "tiny", "best_effort", 1, 0.5, 2)
		})
	}
	for i := range 20 {
		cluster.After(time.Duration(3*i)*time.Second, func() {
			submit(520000+i, "red", "guaranteed", "standard", 4, 4, 10)
		})
	}
	cluster.Advance(65 * time.Second)
	cluster.waitUntilDone()
	if n := len(cluster.StartDelays("guaranteed")); n != 20 {
		t.Fatalf("got %d jobs within the guarantee started, want 20", n)
	}
	if w := slices.Max(cluster.StartDelays("guaranteed")); w > 10*time.Second {
		t.Errorf("longest start delay within the guarantee: got %v, want at most 10 s", w)
	}
	if w := slices.Max(append(cluster.StartDelays("sweep"), cluster.StartDelays("idle")...)); w > 4*time.Minute {
		t.Errorf("longest start delay without a guarantee: got %v, want at most 4 m", w)
	}
	t.Logf(
		"longest start delays: within the guarantee %v, without a guarantee %v, tiny jobs %v",
		slices.Max(cluster.StartDelays("guaranteed")),
		slices.Max(append(cluster.StartDelays("sweep"), cluster.StartDelays("idle")...)),
		slices.Max(cluster.StartDelays("tiny")),
	)
}

// playLargeGangs submits gangs that need half of the machines during a stream of small urgent jobs, with an operator's
// settings, while one leader is killed and the next frozen. It returns the longest start delay of the large gangs, and
// the number that haven't started.
func playLargeGangs(t *testing.T, operator string) (longest time.Duration, unstarted int) {
	t.Helper()
	types := gpuMachineTypes(12)
	types[0].Zones = []string{"a", "b"}
	sim, err := NewVirtualTime(Config{
		Seed:         93,
		MaxMachines:  16,
		Types:        types,
		TickInterval: 50 * time.Millisecond,
		Teams:        []config.Team{{Name: "red"}, {Name: "blue"}},
	}, func(settings *config.Settings) error { return settings.ParseOperator("o.hcl", []byte(operator)) })
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(93, 1))
	submit := func(n, tasks int, priority string, estimateS float64) {
		spec := arraySpec(fmt.Sprintf("req-%06d", n), priority, "red")
		spec.Kind = jobs.Gang
		spec.Priority = priority
		spec.Tasks = tasks
		spec.CPUs = 12
		spec.EstimateS = estimateS
		spec.Spot = false
		(&testUser{simulation: sim, rng: rng, spec: spec}).submit()
	}
	for i := range 300 { // these jobs occupy about 13 of 16 machines
		sim.After(time.Duration(i)*1500*time.Millisecond, func() { submit(i, 1, "urgent", 16+8*rng.Float64()) })
	}
	const largeGangs, firstLarge = 3, 900
	for i := range largeGangs {
		sim.After(time.Duration(60+70*i)*time.Second, func() { submit(firstLarge+i, 8, "standard", 10) })
	}
	sim.After(100*time.Second, func() { sim.onLeader(3*time.Second, sim.KillController) })
	freeze := func(leader int) { sim.FreezeController(leader, 70*time.Second) }
	sim.After(170*time.Second, func() { sim.onLeader(0, freeze) })
	sim.Advance(450 * time.Second)
	for i := range largeGangs {
		if delay, ok := sim.FirstStart(fmt.Sprintf("req-%06d", firstLarge+i)); ok {
			longest = max(longest, delay)
		} else {
			unstarted++
		}
	}
	reportViolations(t, sim)
	return longest, unstarted
}

// TestLargestJobsStartAcrossFailovers submits gangs that need half of all machines at once, during a constant stream
// of small urgent jobs that occupies most machines, while the leader is killed and the next one frozen. The gangs
// start within four minutes of their submission despite the failovers. With begin_s practically unlimited they don't.
func TestLargestJobsStartAcrossFailovers(t *testing.T) {
	longest, unstarted := playLargeGangs(t, "")
	t.Logf("the longest start delay is %v", longest)
	if unstarted > 0 || longest > 4*time.Minute {
		t.Errorf("got %d large gangs not started, longest start delay %v; want 0 and at most 4 m", unstarted, longest)
	}
	if longest, unstarted = playLargeGangs(t, "begin_s = 1000000\n"); unstarted == 0 && longest < 4*time.Minute {
		t.Errorf("with begin_s unlimited all large gangs started, the last after %v; want a gang later than 4 m or not at all", longest)
	}
	t.Logf("with begin_s unlimited: %d large gangs not started, longest start delay of the others %v", unstarted, longest)
}
