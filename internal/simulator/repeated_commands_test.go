package simulator

import (
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/config"
)

// repeatRun is a run in which answered direct requests are delivered again.
type repeatRun struct {
	name               string
	restartMachines    bool
	restartControllers bool
	repeatAll          bool // messages of users, workers and controllers to any service are delivered again as well
}

// repeatRunTime is the time for which faults are injected into a repeatRun.
const repeatRunTime = 90 * time.Second

// play submits jobs to a cluster of which two machines are faulty, some of whose jobs are cancelled, and in which
// machines and controllers restart within a second.
func (run repeatRun) play(t *testing.T, seed uint64) Stats {
	t.Helper()
	cfg := shortTimersConfig(seed, 9)
	cfg.LicencePools = map[string]int{"transcribe": 12}
	cfg.Teams = []config.Team{{Name: "red", CPUs: 20, CPUsMax: 60}, {Name: "blue", CPUs: 20, CPUsMax: 100}}
	sim, err := NewVirtualTime(cfg, readChaosPools)
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(seed, 53))
	sim.RepeatCommandsAtWorstTime(true)
	sim.RepeatCommands(repeatedShare, minRepeatDelay, sim.leaseFraction(maxRepeatLeases))
	if run.repeatAll {
		sim.DuplicateMessages(duplicateShare, minDuplicateAge, sim.leaseFraction(maxRepeatLeases))
		sim.RepeatServiceRequests(repeatedShare, minRepeatDelay, sim.leaseFraction(maxRepeatLeases))
	}
	users := sim.scheduleChaosUsers(rng, 60, repeatRunTime)
	sim.watchActingLeaders()
	for at := 8 * time.Second; at < repeatRunTime; at += time.Duration(2000+rng.IntN(6000)) * time.Millisecond {
		sim.After(at, func() { run.injectFault(sim, rng) })
	}
	sim.Advance(repeatRunTime)
	sim.startControllers()
	sim.advanceUntilOver(users, 5*time.Minute, 5*time.Second)
	if violations := sim.Violations(); len(violations) > 0 {
		t.Errorf("seed %d: %d violations, the first: %s", seed, len(violations), violations[0])
	}
	run.checkRepeatedWrites(t, seed, sim)
	for _, unfinished := range unfinishedJobs(users) {
		t.Errorf("seed %d: %s", seed, unfinished)
	}
	return sim.Stats()
}

// repeatableWrites are the prefixes of the keys that a repeated transaction may write: the image hints, which decide
// nothing, and the migration's progress, which is derived again.
var repeatableWrites = []string{"p/images", "h/r/migration"}

// checkRepeatedWrites checks that repeated transactions have changed no other keys than the repeatable ones.
func (run repeatRun) checkRepeatedWrites(t *testing.T, seed uint64, sim *Simulation) {
	t.Helper()
	for _, key := range sim.RepeatedWrites() {
		isRepeatable := func(prefix string) bool { return strings.HasPrefix(key, prefix) }
		if !slices.ContainsFunc(repeatableWrites, isRepeatable) {
			t.Errorf("seed %d: a repeated transaction wrote %s", seed, key)
			return
		}
	}
}

// injectFault makes a machine faulty for a time, or restarts a machine or a controller within a second.
func (run repeatRun) injectFault(sim *Simulation, rng *rand.Rand) {
	soon := time.Duration(50+rng.IntN(850)) * time.Millisecond
	switch kind := rng.IntN(4); {
	case kind == 0 && run.restartMachines:
		sim.RestartMachine("", soon)
	case kind == 1 && run.restartControllers:
		controller := rng.IntN(sim.Controllers())
		if leader, _ := sim.Leader(); leader >= 0 && rng.IntN(2) == 0 {
			controller = leader
		}
		sim.KillController(controller)
		sim.After(soon, func() { sim.StartController(controller) })
	default:
		if name := sim.BusiestMachine(); name != "" {
			sim.SetMachineFaulty(name, true)
			sim.After(5*time.Second, func() { sim.SetMachineFaulty(name, false) })
		}
	}
}

// repeatSeeds returns the seeds of a test: twelve, or two hundred with HAREWALK_LONG.
func repeatSeeds() uint64 {
	if os.Getenv("HAREWALK_LONG") != "" {
		return 200
	}
	return 12
}

// TestRepeatedLaunchOfForgottenAttemptStartsNothing guards against a task on two machines, or a cancelled task that
// runs again, after a copy of an answered direct request.
func TestRepeatedLaunchOfForgottenAttemptStartsNothing(t *testing.T) {
	for _, run := range []repeatRun{
		{name: "no restarts"},
		{name: "machines restart", restartMachines: true},
		{name: "controllers restart", restartControllers: true},
		{name: "both restart", restartMachines: true, restartControllers: true},
		{name: "all messages repeated", restartMachines: true, restartControllers: true, repeatAll: true},
	} {
		t.Run(run.name, func(t *testing.T) {
			t.Parallel()
			var total Stats
			for seed := range repeatSeeds() {
				stats := run.play(t, seed+1)
				total.CommandsRepeated += stats.CommandsRepeated
				total.RepeatsExecuted += stats.RepeatsExecuted
				total.RepeatedLaunches += stats.RepeatedLaunches
				total.ServiceRequestsRepeated += stats.ServiceRequestsRepeated
			}
			t.Logf("%d direct requests repeated, %d executed, %d tasks launched by them; %d other requests repeated",
				total.CommandsRepeated, total.RepeatsExecuted, total.RepeatedLaunches, total.ServiceRequestsRepeated)
			if total.CommandsRepeated < 25 || run.repeatAll && total.ServiceRequestsRepeated < 1000 {
				t.Error("want at least 25 direct requests repeated and, if all messages are, 1000 others")
			}
		})
	}
}
