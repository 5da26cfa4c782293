package simulator

import (
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/config"
)

// repeatRun is a run in which answered direct requests are delivered again.
type repeatRun struct {
	name               string
	restartMachines    bool
	restartControllers bool
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
	for _, unfinished := range unfinishedJobs(users) {
		t.Errorf("seed %d: %s", seed, unfinished)
	}
	return sim.Stats()
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
	} {
		t.Run(run.name, func(t *testing.T) {
			t.Parallel()
			var repeated, executed, launched int
			for seed := range repeatSeeds() {
				stats := run.play(t, seed+1)
				repeated += stats.CommandsRepeated
				executed += stats.RepeatsExecuted
				launched += stats.RepeatedLaunches
			}
			t.Logf("%d requests repeated, %d executed, %d tasks launched by them", repeated, executed, launched)
			if repeated < 25 {
				t.Errorf("%d requests repeated, want at least 25", repeated)
			}
		})
	}
}
