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

// newSteadyCluster is a cluster with machines in three zones that have long work, with users' questions through a
// balancer.
func newSteadyCluster(t *testing.T, seed uint64, controllers int) (*testCluster, *Balancer) {
	cluster := newWideCluster(t, seed, controllers)
	balancer := cluster.Balance()
	cluster.submitSmallJobs(24, 20)
	cluster.submitJobs(60 * time.Second)
	cluster.waitForLoad()
	cluster.Advance(3 * time.Second)
	return cluster, balancer
}

// startPolling lets users ask about the jobs of the crowd from now on, through the balancer.
func (r *testCluster) startPolling(balancer *Balancer) *JobPollers {
	pollers := balancer.JobPollers()
	for _, user := range r.users[:24] {
		pollers.Follow(user.spec.ID, nil)
	}
	return pollers
}

// machineAlive tells whether a machine is rented still.
func (r *testCluster) machineAlive(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.cloud.machineByName[name].dead
}

// TestMachineWithLostInbound makes machines receive nothing while their heartbeats arrive: one, many, all of a
// zone; the leader changes meanwhile, and some receive again. Few launches are lost, the machines are returned and
// replaced, or used again when they receive, and all jobs end.
func TestMachineWithLostInbound(t *testing.T) {
	for _, c := range []struct {
		name string
		n    int
		zone bool
		d    time.Duration
		lead bool
	}{
		{"one", 1, false, 5 * time.Minute, false},
		{"many", 14, false, 5 * time.Minute, false},
		{"zone", wholeZone, true, 5 * time.Minute, false},
		{"zone and leader", wholeZone, true, 5 * time.Minute, true},
		{"many for a while", 14, false, 12 * time.Second, false},
		{"many and leader", 14, false, 5 * time.Minute, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			cluster, _ := newSteadyCluster(t, 81, 5)
			zone := ""
			if c.zone {
				zone = cluster.zoneWithoutLeader()
			}
			unreachable := cluster.DropInbound(c.n, zone, c.d)
			if c.lead {
				l, _ := cluster.Leader()
				cluster.After(2*time.Second, func() { cluster.KillController(l) })
				cluster.After(4*time.Second, func() { cluster.StartController(l) })
			}
			cluster.Advance(c.d / 2)
			if c.d > time.Minute {
				left := 0
				for _, m := range unreachable {
					if cluster.machineAlive(m) {
						left++
					}
				}
				if left > 0 {
					t.Errorf("%d of %d machines that receive nothing are paid for after %v", left, len(unreachable), c.d/2)
				}
			}
			// A slot or two each before it shows, not one each lease.
			s := cluster.Stats()
			t.Logf("%d launches sent in vain to %d machines", s.LaunchesLost, len(unreachable))
			if s.LaunchesLost > 6*len(unreachable) {
				t.Errorf("%d launches were sent to %d machines that receive nothing", s.LaunchesLost, len(unreachable))
			}
			cluster.waitUntilDone()
		})
	}
}

// TestMachineWithLostOutbound checks that a machine whose heartbeats are lost counts as silent, though it receives.
func TestMachineWithLostOutbound(t *testing.T) {
	cluster, _ := newSteadyCluster(t, 82, 3)
	silent := cluster.DropOutbound(3, "", 5*time.Minute)
	cluster.Advance(40 * time.Second)
	for _, m := range silent {
		if cluster.machineAlive(m) {
			t.Errorf("%s is still paid for", m)
		}
	}
	cluster.waitUntilDone()
}

// TestDuplicatedMessagesHaveNoEffect delivers copies of heartbeats and requests from one second to several leases
// late, at any controller, over killed machines, killed leaders and a lost zone: none revives, frees or finishes
// anything.
func TestDuplicatedMessagesHaveNoEffect(t *testing.T) {
	for seed := range uint64(3) {
		cluster, _ := newSteadyCluster(t, 90+seed, 3)
		cluster.DuplicateMessages(0.4, time.Second, 40*time.Second)
		dead := map[string]time.Duration{}
		for i := range 8 {
			cluster.After(time.Duration(4*i)*time.Second, func() {
				if name := cluster.BusiestMachine(); name != "" {
					cluster.mu.Lock()
					cluster.terminate(cluster.now(), cluster.cloud.machineByName[name])
					cluster.mu.Unlock()
					dead[name] = cluster.Now()
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
			for name, at := range dead {
				if c := cluster.virtual.controllers[l].process; c != nil && cluster.Now()-at > 40*time.Second &&
					c.IsReady(name) {
					revived++
				}
			}
		}
		if revived > 0 {
			t.Errorf("seed %d: machines that have ended counted as heard %d times", seed, revived)
		}
		cluster.waitUntilDone()
	}
}

// countMisdirectedMachines counts the ready machines that send heartbeats to a controller that doesn't lead, those left
// out that have been up only for a short time.
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

// TestControllerPartitionedWithItsWorkers cuts a controller off from the state service and its peers but not from
// its workers, the leader or another, alone, two at once, and during a rollout: it accepts no heartbeat after its
// lease, its workers and users are served elsewhere soon, and its return has no effect.
func TestControllerPartitionedWithItsWorkers(t *testing.T) {
	for _, c := range []string{"leader", "other", "two", "rolling"} {
		t.Run(c, func(t *testing.T) {
			cluster, balancer := newSteadyCluster(t, 83, 5)
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
					t.Errorf("controller %d is healthy after 8 s without state service and the others", i)
				}
			}
			if c == "leader" || c == "two" {
				cluster.waitFor(
					"led from elsewhere",
					10*time.Second,
					func() bool { l, _ := cluster.Leader(); return l >= 0 && !slices.Contains(partitioned, l) },
				)
			}
			cluster.Advance(6 * time.Second)
			if misdirected := cluster.countMisdirectedMachines(); misdirected > 2 {
				t.Errorf("%d machines report to a controller that doesn't lead", misdirected)
			}
			term := func() uint64 { _, n := cluster.Leader(); return n }
			was := term()
			for _, i := range partitioned {
				cluster.CutLinks(i, 0)
			}
			cluster.Advance(20 * time.Second)
			if now := term(); now != was && c != "rolling" {
				t.Errorf("the lead changed from term %d to %d on the return", was, now)
			}
			cluster.checkAnswered(pollers, before, 25*time.Second)
			cluster.waitUntilDone()
		})
	}
}

// TestLeaderLosesItsWorkers cuts only the leader's links to its workers: another leads as soon as the workers ask
// others, the former leader doesn't lead while the cut lasts, and the leader doesn't change again.
func TestLeaderLosesItsWorkers(t *testing.T) {
	cluster, _ := newSteadyCluster(t, 89, 5)
	old, was := cluster.Leader()
	cluster.CutLinks(old, WorkerLinks)
	from := cluster.Now()
	cluster.waitForOtherLeader(9*time.Second, old)
	t.Logf("led from elsewhere after %v", cluster.Now()-from)
	cluster.Advance(40 * time.Second)
	if l, term := cluster.Leader(); term != was+1 || l == old {
		t.Errorf("controller %d leads in term %d, the former one was %d", l, term, was)
	}
	cluster.CutLinks(old, 0)
	cluster.waitUntilDone()
}

// membershipStates returns the names of all states between a controller's start and its leadership, in their order.
func membershipStates() []string {
	var names []string
	for state := membership.LoadingKeys; state <= membership.Leading; state++ {
		names = append(names, state.String())
	}
	return names
}

// TestControllersThatRestartAtOnce kills controllers and starts them within 50 to 900 ms, between all steps of an
// election, again and again: there is a leader soon, one at most acts, and every job ends once.
func TestControllersThatRestartAtOnce(t *testing.T) {
	cluster, _ := newSteadyCluster(t, 84, 3)
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
		cluster.waitFor("led", 14*time.Second, func() bool { return len(cluster.ActingLeaders()) == 1 })
		if duration := cluster.Now() - from; duration > 8*time.Second {
			t.Logf("round %d: %v without a leader", round, duration)
		}
		cluster.Advance(2 * time.Second)
	}
	cluster.waitUntilDone()
}

// raiseHeartbeatSequences makes all machines look as if they had been up for hours.
func (r *testCluster) raiseHeartbeatSequences() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, machine := range r.cloud.machines {
		machine.seq += 100_000
	}
}

// drawReadyMachines returns the names of up to a number of machines that are ready.
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

// isHeardOrReturned returns whether a controller has a machine's last heartbeat, or the machine isn't rented any more.
func (r *testCluster) isHeardOrReturned(name string, controller int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	machine := r.cloud.machineByName[name]
	process := r.virtual.controllers[controller].process
	return machine.dead || process != nil && process.HasHeartbeat(name, machine.session, machine.seq)
}

// waitUntilHeardOrReturned advances time, at most a minute, until the leader has heard each machine once or the
// machine is returned. It returns how many are left, and how long it took.
func (r *testCluster) waitUntilHeardOrReturned(names []string) (left int, took time.Duration) {
	open := map[string]bool{}
	for _, name := range names {
		open[name] = true
	}
	from := r.Now()
	for ; r.Now() < from+time.Minute && len(open) > 0; r.Advance(250 * time.Millisecond) {
		leader, _ := r.Leader()
		if leader < 0 {
			continue
		}
		maps.DeleteFunc(open, func(name string, _ bool) bool { return r.isHeardOrReturned(name, leader) })
	}
	return len(open), r.Now() - from
}

// TestMachinesThatRestartAtOnce restarts machines within a fraction of a second under their names, session and
// sequence from the start, while copies of their earlier heartbeats are on their way: one, many, all. They are used
// again or returned, soon.
func TestMachinesThatRestartAtOnce(t *testing.T) {
	for _, n := range []int{1, 12, wholeZone} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			cluster, _ := newSteadyCluster(t, 85, 3)
			cluster.DuplicateMessages(0.2, time.Second, 20*time.Second)
			cluster.raiseHeartbeatSequences()
			cluster.Advance(15 * time.Second)
			names := cluster.drawReadyMachines(n)
			for _, name := range names {
				cluster.RestartMachine(name, time.Duration(50+cluster.rng.IntN(850))*time.Millisecond)
			}
			cluster.submitJobs(30 * time.Second)
			left, took := cluster.waitUntilHeardOrReturned(names)
			returned := 0
			for _, name := range names {
				if !cluster.machineAlive(name) {
					returned++
				}
			}
			t.Logf("%d machines: all heard or returned after %v, %d returned", len(names), took, returned)
			if took > 10*time.Second || returned > len(names)/4 {
				t.Errorf(
					"%d of %d machines were neither heard nor returned within %v, %d returned",
					left,
					len(names),
					took,
					returned,
				)
			}
			cluster.waitUntilDone()
		})
	}
}

// TestMachinesThatBootLateOrNever makes machines boot late by a multiple of their time, never, or at once: those
// that never come up are returned and replaced, and not rented again in a wave; those that are late are used or
// returned.
func TestMachinesThatBootLateOrNever(t *testing.T) {
	for _, c := range []struct {
		name          string
		factor, never float64
	}{{"late", 6, 0}, {"never", 1, 0.6}, {"at once", 0.01, 0}} {
		t.Run(c.name, func(t *testing.T) {
			cluster := newWideCluster(t, 86, 3)
			cluster.SetBootFault(c.factor, c.never)
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
						"%s never comes up and is paid for after %v",
						machine.Name,
						cluster.now()-machine.rentedAt,
					)
				}
			}
			cluster.mu.Unlock()
			t.Logf("at most %d machines", maxMachines)
			cluster.waitUntilDone()
		})
	}
}

// TestFailingJobsAndFaultyMachines submits jobs that fail on every machine until they are cancelled beside others:
// single tasks, gangs and arrays. No machine is returned for them, the others don't wait for them, and a faulty
// machine is detected all the same.
func TestFailingJobsAndFaultyMachines(t *testing.T) {
	cluster, _ := newSteadyCluster(t, 87, 3)
	for i := range 40 { // so much that no machine is idle
		spec := arraySpec(fmt.Sprintf("req-81%04d", i), "long", "blue")
		spec.Tasks = 8
		spec.CPUs = 4
		spec.EstimateS = 60
		cluster.submit(spec)
	}
	cluster.Advance(20 * time.Second)
	var wrong []*testUser
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
		wrong = append(wrong, user)
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
	was := returned()
	cluster.Advance(60 * time.Second)
	crashed := cluster.Stats().TasksCrashed - before.TasksCrashed
	t.Logf("%d failures in 60 s, %d machines returned", crashed, returned()-was)
	if crashed > 120 {
		t.Errorf("%d failures in a minute", crashed)
	}
	if n := returned() - was; n > 0 {
		t.Errorf("%d machines were returned while only jobs were at fault", n)
	}
	bad := cluster.BusiestMachine()
	cluster.FailTasksOnMachine(bad)
	cluster.waitFor("faulty machine given back", 90*time.Second, func() bool { return !cluster.machineAlive(bad) })
	for _, user := range wrong {
		user.cancel()
	}
	cluster.users = append(cluster.users, wrong...)
	cluster.waitUntilDone()
}

// TestLeadersFrozenForAMinute freezes a leader for more than a minute, and then the next one: each time another
// leads within a lease, and a controller that goes on does nothing on its former authority.
func TestLeadersFrozenForAMinute(t *testing.T) {
	cluster, balancer := newSteadyCluster(t, 88, 5)
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

// TestFloodOfQueriesIsShed multiplies users' queries, for jobs that run, that have ended and that nobody submitted,
// while the leader is frozen: each is answered at once or with a retry, no lease expires because of it, submissions
// are accepted and no job's queries starve.
func TestFloodOfQueriesIsShed(t *testing.T) {
	cluster, balancer := newSteadyCluster(t, 91, 3)
	pollers := cluster.startPolling(balancer)
	cluster.Advance(20 * time.Second)
	before, from := cluster.Stats(), cluster.Now()
	statuses := map[int]int{}
	slowest, late := time.Duration(0), 0
	for i := range 60_000 { // a thousand a second
		id, real := fmt.Sprintf("req-7%05d", i%1000), false
		if i%3 > 0 {
			id, real = cluster.users[i%len(cluster.users)].spec.ID, true
		}
		cluster.After(time.Duration(i)*time.Millisecond, func() {
			at, to := cluster.Now(), i%3
			frozen := cluster.virtual.controllers[to].frozenUntil > at
			cluster.Request(to, "GET", "/v2/runs/"+id, nil, func(status int, _ []byte) {
				statuses[status]++
				if !frozen && status != 0 {
					slowest = max(slowest, cluster.Now()-at)
				}
				if status == 200 && !real || status == 404 && real && cluster.accepted(id) {
					t.Errorf("%s is answered %d", id, status)
				}
				if cluster.Now()-at > 2*time.Second {
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
	t.Logf("answers %v, the slowest of a controller that isn't frozen %v, %d late", statuses, slowest, late)
	if n := cluster.Stats().WorkerLeasesExpired - before.WorkerLeasesExpired; n > 0 {
		t.Errorf("%d leases ran out under a flood of questions", n)
	}
	cluster.checkAnswered(pollers, from, 20*time.Second)
	if statuses[200] == 0 || statuses[404] == 0 {
		t.Errorf("answers %v", statuses)
	}
	cluster.waitUntilDone()
}

// accepted tells whether a user's submission was taken.
func (r *testCluster) accepted(id string) bool {
	return slices.ContainsFunc(
		r.users,
		func(user *testUser) bool { return user.spec.ID == id && user.isAccepted() },
	)
}

// TestJobsWithoutGuaranteeDoNotDelayOthers lets teams without a guarantee submit one array of thousands of short
// tasks, a flood of tiny jobs and idle-time work: teams with a guarantee wait no longer for it, and the others are
// served.
func TestJobsWithoutGuaranteeDoNotDelayOthers(t *testing.T) {
	types := gpuMachineTypes(12)
	cluster := newTestClusterOn(
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
			submit(520000+i, "red", "owed", "standard", 4, 4, 10)
		})
	}
	cluster.Advance(65 * time.Second)
	cluster.waitUntilDone()
	if n := len(cluster.StartDelays("owed")); n != 20 {
		t.Fatalf("%d jobs with a guarantee began", n)
	}
	if w := slices.Max(cluster.StartDelays("owed")); w > 10*time.Second {
		t.Errorf("a job within its guarantee waited %v", w)
	}
	if w := slices.Max(append(cluster.StartDelays("sweep"), cluster.StartDelays("idle")...)); w > 4*time.Minute {
		t.Errorf("guests waited %v", w)
	}
	t.Logf(
		"within the guarantee %v at most, guests %v, tiny ones %v",
		slices.Max(cluster.StartDelays("owed")),
		slices.Max(append(cluster.StartDelays("sweep"), cluster.StartDelays("idle")...)),
		slices.Max(cluster.StartDelays("tiny")),
	)
}

// playLargeGangs submits gangs of half the machines under a stream of small urgent jobs, over a kill and a freeze of
// the leader, with an operator's settings. It returns the longest time until one of the large gangs started, and how
// many haven't.
func playLargeGangs(t *testing.T, operator string) (longest time.Duration, left int) {
	t.Helper()
	types := gpuMachineTypes(12)
	types[0].Zones = []string{"a", "b"}
	sim, err := NewVirtualTime(Config{
		Seed:         93,
		MaxMachines:  16,
		Types:        types,
		TickInterval: 50 * time.Millisecond,
		Teams:        []config.Team{{Name: "red"}, {Name: "blue"}},
	}, func(settings *config.Settings) error { return settings.ReadOperator("o.hcl", []byte(operator)) })
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
	for i := range 300 { // 16 machines, of which these take some 13
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
			left++
		}
	}
	reportViolations(t, sim)
	return longest, left
}

// TestLargestJobsStartAcrossFailovers submits gangs that need half of all machines at once, under a constant stream
// of small urgent jobs that takes most of them, while the leader is killed and the next one frozen: the gangs start
// within four minutes of their submission under any leader. Without the rule they don't.
func TestLargestJobsStartAcrossFailovers(t *testing.T) {
	longest, left := playLargeGangs(t, "")
	t.Logf("the last begins after %v", longest)
	if left > 0 || longest > 4*time.Minute {
		t.Errorf("%d haven't begun, the last of the others after %v", left, longest)
	}
	if longest, left = playLargeGangs(t, "begin_s = 1000000\n"); left == 0 && longest < 4*time.Minute {
		t.Errorf("without the rule the last begins after %v: the test shows nothing", longest)
	}
	t.Logf("without the rule %d don't begin, the last of the others after %v", left, longest)
}
