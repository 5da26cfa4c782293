package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/capacity"
	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/licences"
	"github.com/harewalk/harewalk/internal/simulator"
)

// Tasks, workers, controllers and the licence server crash, hang and restart, and commands to workers are delayed. The
// licence server counts independently and refuses no checkout: the cluster never uses more units than there are. Every
// job ends, and at the end all units are released.
func TestLicenceUnitsThroughCrashes(t *testing.T) {
	const seed = uint64(1)
	maxJobs, minStarts, faultRate := 40, 150, 2
	if isLongRun() {
		maxJobs, minStarts, faultRate = 900, 5500, 1
	}
	sim := newSimulation(t, simulator.Config{
		Seed:           seed,
		MaxMachines:    14,
		LicencePools:   licenceCounts(),
		LicenceTimeout: 3 * time.Second,
		Types: []capacity.MachineType{{
			Name: "g4", CPUs: 8, GPUs: 2, MemoryGB: 64, CacheGB: 100, FetchGBPerS: 10,
			OnDemandPrice: 4, SpotPrice: 1.5, BootS: 1, Zones: []string{"a", "b"},
		}},
		Teams: []config.Team{{Name: "red", CPUs: 10, CPUsMax: 60}, {Name: "blue", CPUs: 10, CPUsMax: 60}},
	})
	cluster := startCluster(t, sim, fmt.Sprintf(licencePools, sim.Licences.Addr))
	users := sim.NewUsers(seed)
	rng := rand.New(rand.NewPCG(seed, 3))
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		injectFaults(stop, sim, cluster, faultRate)
	}()
	submitted := 0
	for ; sim.Stats().TaskStarts < minStarts; time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond) {
		if submitted == maxJobs {
			continue
		}
		submitted++
		spec := randomJob(rng, submitted)
		if status := users.Submit(spec); status != 201 && status != 200 {
			t.Fatalf("submit %s: got status %d, want 200 or 201", spec.ID, status)
		}
	}
	close(stop)
	<-stopped
	if err := users.Wait(4 * time.Minute); err != nil {
		t.Error(err)
	}
	reportViolations(t, sim)
	for name, count := range licenceCounts() {
		used, peak, denied := sim.Licences.Usage(name)
		t.Logf("%s: %d units, peak use %d, %d checkouts refused, %d units in use at the end", name, count, peak, denied, used)
		if denied > 0 || used > 0 || peak < count/2 {
			t.Errorf("%s: got %d checkouts refused, %d units in use at the end, peak use %d; want 0, 0, at least half",
				name, denied, used, peak)
		}
	}
	final, repeated := users.Results()
	t.Logf("%d jobs: %v; %d requests repeated; %+v; %d controllers killed",
		submitted, final, repeated, sim.Stats(), cluster.Killed)
}

// injectFaults injects random faults until stop is closed. Then it restores the licence server and the controllers. The
// frequency of faults is proportional to rate.
func injectFaults(stop chan struct{}, sim *simulator.Simulation, cluster *simulator.Cluster, rate int) {
	rng := rand.New(rand.NewPCG(5, 5))
	var restartAt [3]time.Time // when each killed controller is started again
	var serverUpAt time.Time   // when the licence server's outage ends; zero: the server runs
	for tick := 0; ; tick++ {
		select {
		case <-stop:
			sim.Licences.SetDown(false)
			for i := range 3 {
				_ = cluster.Start(i)
			}
			return
		case <-time.After(100 * time.Millisecond):
		}
		now := time.Now()
		for i := range 3 {
			if !cluster.Running(i) && now.After(restartAt[i]) {
				_ = cluster.Start(i)
			}
		}
		if !serverUpAt.IsZero() && now.After(serverUpAt) {
			sim.Licences.SetDown(false)
			serverUpAt = time.Time{}
		}
		switch draw := rng.IntN(400 / rate); {
		case draw < 40:
			sim.CrashTask()
		case draw < 44:
			sim.KillMachine()
		case draw < 50:
			sim.HangMachine(time.Duration(1+rng.IntN(9)) * time.Second)
		case draw < 64:
			sim.DelayMachineCommands(time.Duration(1+rng.IntN(4)) * time.Second)
		case draw < 67 && tick > 20:
			i := rng.IntN(3)
			cluster.Kill(i)
			restartAt[i] = now.Add(time.Duration(200+rng.IntN(3000)) * time.Millisecond)
		case draw < 71 && serverUpAt.IsZero():
			sim.Licences.SetDown(true)
			serverUpAt = now.Add(time.Duration(300+rng.IntN(2000)) * time.Millisecond)
		}
	}
}

// Without faults, at least 95 % of a saturated licence pool's units are in use on average. The test logs the share.
func TestLicenceUseUnderSaturation(t *testing.T) {
	if !isLongRun() {
		t.Skip("a measurement: set HAREWALK_LONG")
	}
	sim := newSimulation(t, simulator.Config{
		Seed:         2,
		MaxMachines:  12,
		LicencePools: map[string]int{"transcribe": 40, "optimise": 8},
	})
	withoutReserve := strings.NewReplacer("count    = 24", "count    = 40", "reserve  = 2", "").Replace(licencePools)
	startCluster(t, sim, fmt.Sprintf(withoutReserve, sim.Licences.Addr))
	users := sim.NewUsers(2)
	for n := range 6 {
		spec := &jobs.Spec{
			ID: fmt.Sprintf("req-%06d", n+1), Class: "c", Team: "red", Kind: jobs.Array, Priority: "standard",
			Tasks: 100, CPUs: 1, MemoryGB: 1, Image: "i", ImageGB: 1, EstimateS: 5,
			Licences: map[string]int{"transcribe": 1},
		}
		if status := users.Submit(spec); status != 201 {
			t.Fatalf("submit: got status %d, want 201", status)
		}
	}
	time.Sleep(10 * time.Second) // time for boots and image fetches
	const samples = 400
	sum := 0
	for range samples {
		used, _, _ := sim.Licences.Usage("transcribe")
		sum += used
		time.Sleep(100 * time.Millisecond)
	}
	t.Logf("share of 40 units in use: %.3f (mean of %d samples, tasks of 5 s)",
		float64(sum)/float64(40*samples), samples)
	if sum*100 < 95*40*samples {
		t.Error("share of units in use: got less than 0.95, want at least 0.95")
	}
	reportViolations(t, sim)
}

// Operators change a pool's count through any controller while tasks run. The count survives a restart of all
// controllers. Of two conflicting commands, the second is refused with an error that names the first.
func TestOperatorsChangeLicenceCounts(t *testing.T) {
	sim := newSimulation(t, simulator.Config{Seed: 3, MaxMachines: 4, LicencePools: licenceCounts()})
	cluster := startCluster(t, sim, fmt.Sprintf(licencePools, sim.Licences.Addr))
	showPool := func(node int) (view licences.View) {
		t.Helper()
		out := expectExit(t, 0, "licence", "show", "transcribe", "-o", "json", "--server", sim.UserAddr(node))
		if err := json.Unmarshal([]byte(out), &view); err != nil {
			t.Fatalf("`licence show` printed invalid JSON: %v: %s", err, out)
		}
		return view
	}
	setCount := func(wantCode int, args ...string) string {
		t.Helper()
		command := []string{"licence", "set-count", "transcribe", "--server", sim.UserAddr(1)}
		return expectExit(t, wantCode, append(command, args...)...)
	}
	spec := &jobs.Spec{
		ID: "req-000001", Class: "c", Team: "red", Kind: jobs.Array, Priority: "standard",
		Tasks: 30, CPUs: 1, MemoryGB: 1,
		Image: "i", ImageGB: 1, EstimateS: 600, CheckpointS: 5, SaveS: 0.2, Licences: map[string]int{"transcribe": 1},
	}
	users := sim.NewUsers(3)
	if status := users.Submit(spec); status != 201 {
		t.Fatalf("submit: got status %d, want 201", status)
	}
	waitFor := func(condition string, ok func() bool) {
		t.Helper()
		for end := time.Now().Add(30 * time.Second); !ok(); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("condition did not hold within 30 s: %s; pool: %+v", condition, showPool(0))
			}
		}
	}
	unitsInUse := func(want int) func() bool {
		return func() bool { used, _, _ := sim.Licences.Usage("transcribe"); return used == want }
	}
	waitFor("all 22 units outside the reserve are in use", unitsInUse(22))
	before := showPool(2)
	if before.CheckedOut != 22 || before.Count != 24 || before.Free != 0 || before.Version != 0 {
		t.Fatalf("pool before the change: got %+v, want 22 held of 24, none free, version 0", before)
	}
	expectCommand(t, 0, "transcribe  24", "licence", "list", "--server", sim.UserAddr(0))
	setCount(0, "10", "--on-lower", "stop", "--version", "0")
	waitFor("holders are stopped until 10 units are in use", unitsInUse(10))
	sim.Licences.SetCount("transcribe", 10)
	if out := setCount(3, "30", "--version", "0"); !strings.Contains(out, "changed by") {
		t.Fatalf("second of two conflicting commands: got %s, want an error that names the first", out)
	}
	for i := range 3 {
		cluster.Kill(i)
	}
	for i := range 3 {
		if err := cluster.Start(i); err != nil {
			t.Fatal(err)
		}
	}
	waitFor("the count of 10 is in effect after the restart", func() bool {
		view := showPool(0)
		return view.Count == 10 && view.CheckedOut == 10 && view.Lowering == licences.PreemptHolders
	})
	sim.Licences.SetCount("transcribe", 14)
	setCount(0, "14")
	waitFor("12 units are in use after the raise to 14", unitsInUse(12))
	sim.Licences.SetCount("transcribe", 24)
	setCount(0, "--reset")
	waitFor("22 units are in use after the reset", unitsInUse(22))
	for _, invalid := range [][]string{{}, {"x"}, {"-1"}, {"5", "--reset"}, {"5", "--on-lower", "kill"}} {
		setCount(2, invalid...)
	}
	expectCommand(t, 2, `no licence pool "nothing"`, "licence", "show", "nothing", "--server", sim.UserAddr(0))
	tooLarge := *spec
	tooLarge.ID, tooLarge.Licences = "req-000002", map[string]int{"transcribe": 23}
	if status := users.Submit(&tooLarge); status != 422 {
		t.Fatalf("submit of a task that needs more units than the pool can give: got status %d, want 422", status)
	}
	users.Cancel(spec.ID)
	waitFor("all units are released after the cancellation", unitsInUse(0))
	reportViolations(t, sim)
}
