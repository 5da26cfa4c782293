package simulator

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/capacity"
	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/jobs"
)

// gpuMachineTypes returns the one machine type of most tests' clouds: 16 processors and 4 accelerators, in the zones a,
// b and c, ready after bootS seconds.
func gpuMachineTypes(bootS float64) []capacity.MachineType {
	machineType := defaultMachineType(zoneNames())
	machineType.BootS = bootS
	return []capacity.MachineType{machineType}
}

// spreadServiceSpec returns a service of six replicas, at most half of which may be in one zone.
func spreadServiceSpec() *jobs.Spec {
	return &jobs.Spec{
		ID:       "req-000777",
		Class:    "svc",
		Team:     "blue",
		Kind:     jobs.Service,
		Priority: "urgent",
		Tasks:    6,
		CPUs:     1,
		MemoryGB: 1,
		Image:    "i",
		ImageGB:  1,
		Spread:   true,
	}
}

// zoneNames returns the zones of most tests' clouds.
func zoneNames() []string { return []string{"a", "b", "c"} }

// allZoneMachines exceeds the number of machines in any test. As the count of a machine fault it selects all
// machines.
const allZoneMachines = 99

// reportViolations reports every violation of the protocol's rules that a simulation has recorded as a test error.
func reportViolations(t *testing.T, sim *Simulation) {
	t.Helper()
	for _, violation := range sim.Violations() {
		t.Error(violation)
	}
}

// startControllers starts every controller that doesn't run.
func (sim *Simulation) startControllers() {
	for i := range sim.Controllers() {
		sim.StartController(i)
	}
}

// newUser returns a user of a job. The checks at the end of a test don't include this user.
func (r *testCluster) newUser(spec *jobs.Spec) *testUser {
	return &testUser{simulation: r.Simulation, rng: r.rng, spec: spec}
}

// submit submits a job and returns its user, which the checks at the end of a test include.
func (r *testCluster) submit(spec *jobs.Spec) *testUser {
	user := r.newUser(spec)
	r.users = append(r.users, user)
	user.submit()
	return user
}

// waitForLoad waits until more than 60 tasks run on a wide cluster.
func (r *testCluster) waitForLoad() {
	r.t.Helper()
	r.waitFor("running more than 60 tasks", 60*time.Second, func() bool { return r.Utilization().Running > 60 })
}

// waitForOtherLeader waits until another controller than the former leader leads.
func (r *testCluster) waitForOtherLeader(limit time.Duration, former int) {
	r.t.Helper()
	r.waitFor("led by another controller", limit, func() bool {
		leader, _ := r.Leader()
		return leader >= 0 && leader != former
	})
}

// largestZone returns the zone with the most ready machines. A zone with very few machines never counts as lost.
func (sim *Simulation) largestZone() (largest string) {
	machines := map[string]int{}
	for _, machine := range sim.readyMachines() {
		machines[machine.zone]++
		if machines[machine.zone] > machines[largest] {
			largest = machine.zone
		}
	}
	return largest
}

// checkAnswered checks that no job's queries have been unanswered for longer than a limit since a time.
func (r *testCluster) checkAnswered(pollers *JobPollers, since, limit time.Duration) {
	r.t.Helper()
	if gap, job := pollers.LongestUnanswered(since, r.Now()); gap > limit {
		r.t.Errorf("queries of %s unanswered for %v, which exceeds the limit", job, gap)
	}
}

// teamInTurn returns the teams red and blue of most tests in turn.
func teamInTurn(i int) string { return []string{"red", "blue"}[i%2] }

// arraySpec returns an array of one small task that may run on spot machines. Tests change the fields that matter to
// them.
func arraySpec(id, class, team string) *jobs.Spec {
	return &jobs.Spec{
		ID:       id,
		Class:    class,
		Team:     team,
		Kind:     jobs.Array,
		Priority: "standard",
		Tasks:    1,
		CPUs:     1,
		MemoryGB: 1,
		Image:    "i",
		ImageGB:  1,
		Spot:     true,
	}
}

// smallStateLimits returns the limits of a state service that accepts only few and small writes, so that controllers
// have to queue and split theirs.
func smallStateLimits() config.State {
	return config.State{RPS: 400, WriteRPS: 60, ValueKB: 8, TxnOps: 24}
}

// shortTimersConfig returns the configuration of three controllers whose workers' leases are short, with two teams
// without limits. Tests change the fields that matter to them.
func shortTimersConfig(seed uint64, maxMachines int) Config {
	return Config{
		Seed:           seed,
		MaxMachines:    maxMachines,
		Types:          gpuMachineTypes(3),
		Controllers:    3,
		Zones:          zoneNames(),
		TickInterval:   50 * time.Millisecond,
		Workers:        shortTimers,
		VariedRunTimes: true,
		State:          smallStateLimits(),
		Teams:          []config.Team{{Name: "red"}, {Name: "blue"}},
	}
}

// startCluster starts a simulation and checks its invariants continuously. Its users draw from a random source of
// their own, seeded with the simulation's seed and a stream number.
func startCluster(t *testing.T, stream uint64, cfg Config, configure func(*config.Settings) error) *testCluster {
	t.Helper()
	sim, err := NewVirtualTime(cfg, configure)
	if err != nil {
		t.Fatal(err)
	}
	cluster := &testCluster{Simulation: sim, t: t, rng: rand.New(rand.NewPCG(cfg.Seed, stream))}
	cluster.watchInvariants()
	return cluster
}

// startFilledCluster starts a cluster with ready machines, each of which runs one long task with the given number of
// CPUs. These tasks keep the machines from being returned. Each must be larger than half of a machine.
func startFilledCluster(t *testing.T, stream uint64, cfg Config, machines int, cpus float64) *testCluster {
	t.Helper()
	cluster := startCluster(t, stream, cfg, nil)
	if err := cluster.BootMachines(machines); err != nil {
		t.Fatal(err)
	}
	cluster.waitForLeader()
	cluster.Advance(3 * time.Second)
	filler := arraySpec("req-000002", "c", "red")
	filler.Spot = false
	filler.Tasks = machines
	filler.CPUs = cpus
	filler.EstimateS = 600
	cluster.newUser(filler).submit()
	cluster.waitFor("a task on each machine", 20*time.Second, func() bool {
		return cluster.Utilization().Running == machines
	})
	return cluster
}

// cancelEach cancels the jobs of users one after the other, the first after a delay. Job k is cancelled through
// controller via(k).
func (r *testCluster) cancelEach(users []*testUser, first, interval time.Duration, via func(k int) int) {
	for k, user := range users {
		r.After(first+time.Duration(k)*interval, func() { r.cancelAt(user, via(k)) })
	}
}

// inTurn returns a function for cancelEach that selects all controllers in turn.
func (r *testCluster) inTurn(first int) func(k int) int {
	return func(k int) int { return (first + k) % r.Controllers() }
}

// forOthers calls do for every controller except one, in their order.
func (r *testCluster) forOthers(except int, do func(controller int)) {
	for i := range r.Controllers() {
		if i != except {
			do(i)
		}
	}
}

// othersInTurn returns a function for cancelEach that selects the two controllers after a given one in turn.
func (r *testCluster) othersInTurn(except int) func(k int) int {
	return func(k int) int { return (except + 1 + k%2) % r.Controllers() }
}

// countEnds counts the jobs of users by their final states.
func countEnds(ends map[string]int, users []*testUser) {
	for _, user := range users {
		if len(user.finalStates) > 0 {
			ends[user.finalStates[0]]++
		}
	}
}
