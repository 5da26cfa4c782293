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

// Tasks, workers, controllers and the licence server crash, hang and restart; commands arrive late. The server, which
// counts on its own, never has more licence units checked out than there are, every job comes to its end, and no unit
// is lost.
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
			t.Fatalf("%s: status %d", spec.ID, status)
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
		t.Logf("%s: %d seats, %d at the highest, %d refused, %d taken at the end", name, count, peak, denied, used)
		if denied > 0 || used > 0 || peak < count/2 {
			t.Errorf("%s: %d refused, %d taken, %d at the highest", name, denied, used, peak)
		}
	}
	final, repeated := users.Results()
	t.Logf("%d jobs: %v; %d requests repeated; %+v; %d controllers killed",
		submitted, final, repeated, sim.Stats(), cluster.Killed)
}

// injectFaults plays faults until it is stopped, and then ends them. A higher rate means more of them.
func injectFaults(stop chan struct{}, sim *simulator.Simulation, cluster *simulator.Cluster, rate int) {
	rng := rand.New(rand.NewPCG(5, 5))
	var restartAt [3]time.Time // of killed controllers
	var serverUpAt time.Time   // zero: the licence server runs
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

// The share of the wanted licence units that is in use when nothing fails: a measurement.
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
			t.Fatalf("status %d", status)
		}
	}
	time.Sleep(10 * time.Second) // boots, fetches
	const samples = 400
	sum := 0
	for range samples {
		used, _, _ := sim.Licences.Usage("transcribe")
		sum += used
		time.Sleep(100 * time.Millisecond)
	}
	t.Logf("seats in use over seats wanted: %.3f (mean of %d samples of 40 seats, tasks of 5 s)",
		float64(sum)/float64(40*samples), samples)
	if sum*100 < 95*40*samples {
		t.Error("below 0.95")
	}
	reportViolations(t, sim)
}

// An operator changes the counts of pools through any controller while tasks run. The count survives a restart of all
// controllers, and the second of two conflicting commands is refused with the first as the cause.
func TestOperatorsChangeLicenceCounts(t *testing.T) {
	sim := newSimulation(t, simulator.Config{Seed: 3, MaxMachines: 4, LicencePools: licenceCounts()})
	cluster := startCluster(t, sim, fmt.Sprintf(licencePools, sim.Licences.Addr))
	pool := func(node int) (v licences.View) {
		t.Helper()
		out := expectExit(t, 0, "licence", "show", "transcribe", "-o", "json", "--server", sim.UserAddr(node))
		if err := json.Unmarshal([]byte(out), &v); err != nil {
			t.Fatalf("%v: %s", err, out)
		}
		return v
	}
	set := func(want int, args ...string) string {
		t.Helper()
		command := []string{"licence", "set-count", "transcribe", "--server", sim.UserAddr(1)}
		return expectExit(t, want, append(command, args...)...)
	}
	spec := &jobs.Spec{
		ID: "req-000001", Class: "c", Team: "red", Kind: jobs.Array, Priority: "standard",
		Tasks: 30, CPUs: 1, MemoryGB: 1,
		Image: "i", ImageGB: 1, EstimateS: 600, CheckpointS: 5, SaveS: 0.2, Licences: map[string]int{"transcribe": 1},
	}
	users := sim.NewUsers(3)
	if status := users.Submit(spec); status != 201 {
		t.Fatalf("status %d", status)
	}
	until := func(what string, ok func() bool) {
		t.Helper()
		for end := time.Now().Add(30 * time.Second); !ok(); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s: never; %+v", what, pool(0))
			}
		}
	}
	using := func(n int) func() bool {
		return func() bool { used, _, _ := sim.Licences.Usage("transcribe"); return used == n }
	}
	until("all that may be given are in use", using(22))
	before := pool(2)
	if before.CheckedOut != 22 || before.Count != 24 || before.Free != 0 || before.Version != 0 {
		t.Fatalf("%+v", before)
	}
	expectCommand(t, 0, "transcribe  24", "licence", "list", "--server", sim.UserAddr(0))
	set(0, "10", "--on-lower", "stop", "--version", "0")
	until("stopped down to the new count", using(10))
	sim.Licences.SetCount("transcribe", 10)
	if out := set(3, "30", "--version", "0"); !strings.Contains(out, "changed by") {
		t.Fatalf("the second of two conflicting commands is told: %s", out)
	}
	for i := range 3 {
		cluster.Kill(i)
	}
	for i := range 3 {
		if err := cluster.Start(i); err != nil {
			t.Fatal(err)
		}
	}
	until("the count survives all controllers", func() bool {
		view := pool(0)
		return view.Count == 10 && view.CheckedOut == 10 && view.Lowering == licences.PreemptHolders
	})
	sim.Licences.SetCount("transcribe", 14)
	set(0, "14")
	until("raised", using(12))
	sim.Licences.SetCount("transcribe", 24)
	set(0, "--reset")
	until("reset", using(22))
	for _, bad := range [][]string{{}, {"x"}, {"-1"}, {"5", "--reset"}, {"5", "--on-lower", "kill"}} {
		set(2, bad...)
	}
	expectCommand(t, 2, `no licence pool "nothing"`, "licence", "show", "nothing", "--server", sim.UserAddr(0))
	wrong := *spec
	wrong.ID, wrong.Licences = "req-000002", map[string]int{"transcribe": 23}
	if status := users.Submit(&wrong); status != 422 {
		t.Fatalf("more than the pool could ever give: status %d", status)
	}
	users.Cancel(spec.ID)
	until("given back", using(0))
	reportViolations(t, sim)
}
