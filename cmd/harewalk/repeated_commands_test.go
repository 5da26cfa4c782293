package main

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/simulator"
)

const (
	// minRepeatedDelay is the shortest delay of a copy of a direct request.
	minRepeatedDelay = 2 * time.Second
	// maxRepeatedDelay is the longest delay of a copy of a direct request: three worker leases.
	maxRepeatedDelay = 18 * time.Second
	// repeatedShare is the share of direct requests that are delivered again at drawn times.
	repeatedShare = 0.5
	// minRepeatedRequests is the least number of copies that a long run must deliver.
	minRepeatedRequests = 25
)

// newRepeatingSimulation starts a simulation whose workers receive direct requests again after they have answered them.
func newRepeatingSimulation(t *testing.T, seed uint64) *simulator.Simulation {
	t.Helper()
	sim := newSimulation(t, simulator.Config{
		Seed:        seed,
		MaxMachines: 9,
		Teams:       []config.Team{{Name: "red", CPUsMax: 60}, {Name: "blue", CPUsMax: 60}},
		Workers:     config.Workers{HeartbeatIntervalS: 0.5, LeaseS: 6, GangWaitS: 10, GangPeerS: 2, CancelS: 11.5},
	})
	sim.RepeatCommandsAtWorstTime(true)
	sim.RepeatCommands(repeatedShare, minRepeatedDelay, maxRepeatedDelay)
	return sim
}

// injectRestarts makes machines faulty for a time and restarts machines, and controllers if wanted, within a second,
// until a time.
func injectRestarts(
	t *testing.T, sim *simulator.Simulation, cluster *simulator.Cluster, rng *rand.Rand, end time.Duration, kills bool,
) {
	for sim.Now() < end {
		soon := time.Duration(50+rng.IntN(850)) * time.Millisecond
		switch kind := rng.IntN(4); {
		case kind == 0 && kills:
			controller := rng.IntN(3)
			cluster.Kill(controller)
			time.Sleep(soon)
			if err := cluster.Start(controller); err != nil {
				t.Error(err)
			}
		case kind == 1:
			sim.RestartMachine("", soon)
		default:
			if name := sim.BusiestMachine(); name != "" {
				sim.SetMachineFaulty(name, true)
				sim.After(5*time.Second, func() { sim.SetMachineFaulty(name, false) })
			}
		}
		time.Sleep(time.Duration(1000+rng.IntN(3000)) * time.Millisecond)
	}
}

// submitUntil submits random jobs without licences until a time, of which a quarter is cancelled.
func submitUntil(sim *simulator.Simulation, users *simulator.Users, rng *rand.Rand, end time.Duration) (submitted int) {
	for sim.Now() < end {
		submitted++
		spec := randomJob(rng, submitted)
		spec.Licences = nil
		spec.EstimateS = 0.5 + 4*rng.Float64()
		if spec.Kind == jobs.Gang {
			spec.Tasks = 1 + rng.IntN(3)
		}
		users.Submit(spec)
		if rng.IntN(4) == 0 {
			sim.After(time.Duration(rng.IntN(3000))*time.Millisecond, func() { go users.Cancel(spec.ID) })
		}
		time.Sleep(time.Duration(rng.IntN(600)) * time.Millisecond)
	}
	return submitted
}

// TestRepeatedCommandsOnRealProcesses guards against a task on two machines, or a cancelled task that runs again, after
// a copy of an answered direct request.
func TestRepeatedCommandsOnRealProcesses(t *testing.T) {
	seeds, duration := 1, 20*time.Second
	if isLongRun() {
		seeds, duration = 3, 110*time.Second
	}
	for seed := range uint64(seeds) {
		for _, kills := range []bool{false, true} {
			t.Run(fmt.Sprintf("seed %d, controllers end %v", seed+1, kills), func(t *testing.T) {
				t.Parallel()
				sim := newRepeatingSimulation(t, seed+1)
				cluster := startCluster(t, sim, "")
				users := sim.NewUsers(seed + 1)
				end := sim.Now() + duration
				faultsEnded := make(chan struct{})
				go func() {
					defer close(faultsEnded)
					injectRestarts(t, sim, cluster, rand.New(rand.NewPCG(seed+1, 71)), end, kills)
				}()
				submitted := submitUntil(sim, users, rand.New(rand.NewPCG(seed+1, 73)), end)
				<-faultsEnded
				if err := users.Wait(2 * time.Minute); err != nil {
					t.Error(err)
				}
				users.Check()
				reportViolations(t, sim)
				stats := sim.Stats()
				t.Logf("%d jobs, %d task starts, %d requests repeated, %d executed, %d tasks launched by them; "+
					"%d machines restarted, %d controllers killed", submitted, stats.TaskStarts, stats.CommandsRepeated,
					stats.RepeatsExecuted, stats.RepeatedLaunches, stats.MachinesRestarted, cluster.Killed)
				if stats.CommandsRepeated == 0 || isLongRun() && stats.CommandsRepeated < minRepeatedRequests {
					t.Errorf("%d requests repeated, want some, at least %d in a long run",
						stats.CommandsRepeated, minRepeatedRequests)
				}
			})
		}
	}
}
