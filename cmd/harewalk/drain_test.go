package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/controller"
	"github.com/harewalk/harewalk/internal/simulator"
)

// Controllers are killed, drained and restarted at random times while users submit, cancel and poll. Every accepted job
// has exactly one final state, and every controller returns that state. No state is reverted or lost, and every drain
// ends with exit code 0.
func TestJobHistoryThroughKillsAndDrains(t *testing.T) {
	jobCount, seed := 60, uint64(21)
	if isLongRun() {
		jobCount = 600
	}
	sim := newSimulation(t, simulator.Config{Seed: seed, MaxMachines: 10, Teams: redAndBlue()})
	cluster := startCluster(t, sim, "")
	users := sim.NewUsers(seed)
	stop := make(chan struct{})
	var faults, cancels sync.WaitGroup
	var drained atomic.Int32
	faults.Add(1)
	go func() {
		defer faults.Done()
		killAndDrain(t, cluster, stop, &drained)
	}()
	rng := rand.New(rand.NewPCG(seed, 10))
	for i := range jobCount {
		spec := plainJob(i+1, 1+rng.IntN(8), 0.3+rng.Float64())
		if status := users.Submit(spec); status != 200 && status != 201 {
			t.Fatalf("submit %s: got status %d, want 200 or 201", spec.ID, status)
		}
		if rng.IntN(4) == 0 {
			delay := time.Duration(rng.IntN(1000)) * time.Millisecond
			cancels.Add(1)
			go func() {
				defer cancels.Done()
				time.Sleep(delay)
				users.Cancel(spec.ID)
			}()
		}
		time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
	}
	cancels.Wait()
	waitUntil(t, "at least one controller is drained", func() bool { return drained.Load() > 0 })
	close(stop)
	faults.Wait()
	for i := range 3 {
		if err := cluster.Start(i); err != nil {
			t.Fatal(err)
		}
	}
	if err := users.Wait(3 * time.Minute); err != nil {
		t.Error(err)
	}
	users.Check()
	reportViolations(t, sim)
	final, repeated := users.Results()
	if got := final["done"] + final["cancelled"]; got != jobCount || final["done"] == 0 || final["cancelled"] == 0 {
		t.Errorf("final states of %d jobs: got %v, want all done or cancelled, some of each", jobCount, final)
	}
	t.Logf("%d jobs: %v; %d requests repeated; %d killed, %d drained",
		jobCount, final, repeated, cluster.Killed, drained.Load())
}

// killAndDrain kills, drains and restarts controllers at random times until stop is closed. It counts the drains.
func killAndDrain(t *testing.T, cluster *simulator.Cluster, stop <-chan struct{}, drained *atomic.Int32) {
	rng := rand.New(rand.NewPCG(21, 9))
	randomMillis := func(limit int) time.Duration { return time.Duration(rng.IntN(limit)) * time.Millisecond }
	for fault := 0; ; fault++ {
		select {
		case <-stop:
			return
		case <-time.After(500*time.Millisecond + randomMillis(2500)):
		}
		controller := rng.IntN(3)
		switch fault % 3 {
		case 0:
			cluster.Kill(controller)
		case 1: // kill it while it drains
			cluster.Signal(controller, syscall.SIGTERM, 0)
			time.Sleep(randomMillis(1500))
			cluster.Kill(controller)
		default:
			if code := cluster.Signal(controller, syscall.SIGTERM, drainTimeout); code != 0 {
				t.Errorf("drained controller: got exit code %d, want 0", code)
			}
			drained.Add(1)
		}
		time.Sleep(randomMillis(1000))
		if err := cluster.Start(controller); err != nil {
			t.Error(err)
		}
	}
}

// A leader that is drained while tasks start hands leadership over: the next leader doesn't wait until the old lease
// expires. The test logs the longest time without a task start after a drain and, for comparison, after a kill.
func TestDrainedLeaderHandsOver(t *testing.T) {
	sim := newSimulation(t, simulator.Config{Seed: 22, MaxMachines: 8, Teams: redAndBlue()})
	cluster := startCluster(t, sim, "")
	users := sim.NewUsers(22)
	for i := range 6 {
		// The jobs have more tasks than can run meanwhile, so that a time without starts is never due to a lack of tasks.
		if status := users.Submit(plainJob(i+1, 20_000, 0.5)); status != 201 {
			t.Fatalf("submit: got status %d, want 201", status)
		}
	}
	rounds := 1
	if isLongRun() {
		rounds = 5
	}
	waitUntil(t, "more than 100 tasks have started", func() bool { return sim.Stats().TaskStarts > 100 })
	var drained, killed []time.Duration
	for range rounds {
		for _, kill := range []bool{false, true} {
			leader, term := -1, uint64(0)
			waitUntil(t, "a running controller leads", func() bool {
				leader, term = sim.Leader()
				return leader >= 0 && cluster.Running(leader)
			})
			time.Sleep(3 * time.Second)
			start := sim.Now()
			if kill {
				cluster.Kill(leader)
			} else if code := cluster.Signal(leader, syscall.SIGTERM, drainTimeout); code != 0 {
				t.Fatalf("drained leader: got exit code %d, want 0", code)
			}
			waitUntil(t, "a controller leads in a later term", func() bool {
				current, currentTerm := sim.Leader()
				return current >= 0 && currentTerm > term
			})
			time.Sleep(4 * time.Second)
			if pause := sim.LongestStartGap(start, sim.Now()-time.Second); kill {
				killed = append(killed, pause)
			} else {
				drained = append(drained, pause)
			}
			if err := cluster.Start(leader); err != nil {
				t.Fatal(err)
			}
			if err := cluster.WaitReady(leader, 20*time.Second); err != nil {
				t.Fatal(err)
			}
		}
	}
	before := sim.Stats().TaskStarts
	waitUntil(t, "tasks start after the last change of leader", func() bool { return sim.Stats().TaskStarts > before })
	for i := range 6 {
		users.Cancel(fmt.Sprintf("req-%06d", i+1))
	}
	reportViolations(t, sim)
	t.Logf("longest time without a task start: leader drained %v, leader killed %v (leader's lease: 2 s)", drained, killed)
}

// A leader that is drained while the state service is down ends within drainTimeout, and accepted jobs end after the
// outage. A second signal ends a drain at once, with exit code 1.
func TestDrainDuringStateServiceOutage(t *testing.T) {
	sim := newSimulation(t, simulator.Config{Seed: 23, MaxMachines: 4, Teams: redAndBlue()})
	cluster := startCluster(t, sim, "")
	users := sim.NewUsers(23)
	if status := users.Submit(plainJob(1, 40, 0.5)); status != 201 {
		t.Fatalf("submit: got status %d, want 201", status)
	}
	waitUntil(t, "more than 5 tasks have started", func() bool { return sim.Stats().TaskStarts > 5 })
	leader, _ := sim.Leader()
	sim.SetStateOutage(true)
	if code := cluster.Signal(leader, syscall.SIGTERM, drainTimeout); code != 0 {
		t.Fatalf("leader drained during the outage: got exit code %d, want 0", code)
	}
	other := (leader + 1) % 3
	cluster.Signal(other, syscall.SIGTERM, 0)
	time.Sleep(200 * time.Millisecond)
	if code := cluster.Signal(other, syscall.SIGTERM, drainTimeout); code != 1 {
		t.Fatalf("controller after a second signal: got exit code %d, want 1", code)
	}
	sim.SetStateOutage(false)
	for _, i := range []int{leader, other} {
		if err := cluster.Start(i); err != nil {
			t.Fatal(err)
		}
	}
	if err := users.Wait(time.Minute); err != nil {
		t.Error(err)
	}
	users.Check()
	reportViolations(t, sim)
}

// Operators drain controllers and a machine through any controller. If two commands drain the last two controllers in
// service at the same time, one command is refused: no controller would be left, or the document has changed. Undrained
// controllers serve again.
func TestOperatorsDrainControllersAndMachines(t *testing.T) {
	sim := newSimulation(t, simulator.Config{Seed: 26, MaxMachines: 4, Teams: redAndBlue()})
	cluster := startCluster(t, sim, "")
	users := sim.NewUsers(26)
	spec := plainJob(1, 20, 600)
	spec.CheckpointS = 1
	spec.SaveS = 0.2
	if status := users.Submit(spec); status != 201 {
		t.Fatalf("submit: got status %d, want 201", status)
	}
	waitUntil(t, "all 20 tasks have started", func() bool { return sim.Stats().TaskStarts >= 20 })
	admin := func(want int, args ...string) string {
		t.Helper()
		return expectExit(t, want, slices.Concat([]string{"admin"}, args, []string{"--server", sim.UserAddr(0)})...)
	}
	status := func() (s controller.Status) {
		t.Helper()
		if err := json.Unmarshal([]byte(admin(0, "status", "-o", "json")), &s); err != nil {
			t.Fatal(err)
		}
		return s
	}
	waitUntil(t, "the leader receives heartbeats of all controllers", func() bool {
		for _, n := range status().Nodes {
			if !n.Alive {
				return false
			}
		}
		return true
	})
	before := status()
	machine := sim.BusiestMachine()
	admin(0, "drain", "machine", machine, "--stop", "--revision", fmt.Sprint(before.Revision))
	out := admin(3, "drain", "machine", machine, "--revision", fmt.Sprint(before.Revision))
	if !strings.Contains(out, "drain machine "+machine) {
		t.Fatalf("second of two conflicting commands: got %s, want an error that names the first", out)
	}
	waitUntil(t, "the drained machine is returned to the cloud", func() bool { return sim.MachineReturned(machine) })
	waitUntil(t, "all 20 tasks run on other machines", func() bool {
		out, _ := runCommand(t, "job", "why", spec.ID, "-o", "json", "--server", sim.UserAddr(2))
		return strings.Contains(out, `"running": 20`)
	})
	leader, term := sim.Leader()
	admin(0, "drain", "node", fmt.Sprintf("node-%d", leader))
	waitUntil(t, "another controller leads", func() bool {
		current, currentTerm := sim.Leader()
		return current >= 0 && current != leader && currentTerm > term
	})
	waitUntil(t, "the drained controller responds with 503", func() bool {
		resp, err := sendPlain("GET", "http://"+sim.UserAddr(leader)+"/up", nil)
		return err == nil && resp.status == 503
	})
	second, _ := sim.Leader()
	third := 3 - leader - second
	var wait sync.WaitGroup
	var codes [2]int
	var outputs [2]string
	for index, controller := range []int{second, third} {
		wait.Add(1)
		go func() {
			defer wait.Done()
			node := fmt.Sprintf("node-%d", controller)
			outputs[index], codes[index] = runCommand(t,
				"admin", "drain", "node", node, "--server", sim.UserAddr(third))
		}()
	}
	wait.Wait()
	isExactlyOneRefused := codes == [2]int{0, exitRefused} || codes == [2]int{exitRefused, 0}
	printed := outputs[0] + outputs[1]
	isReasonNamed := strings.Contains(printed, "no controller would be left") ||
		strings.Contains(printed, "changed meanwhile")
	if !isExactlyOneRefused || !isReasonNamed {
		t.Fatalf("drain of the last two controllers: got exit codes %v, want 0 and 3 with the reason; output: %v",
			codes, outputs)
	}
	waitUntil(t, "a controller that is not drained leads", func() bool {
		current, _ := sim.Leader()
		return current >= 0 && current != leader
	})
	for i := range 3 {
		admin(0, "undrain", "node", fmt.Sprintf("node-%d", i))
	}
	for i := range 3 {
		if err := cluster.WaitReady(i, 20*time.Second); err != nil {
			t.Fatal(err)
		}
	}
	admin(2, "drain", "node", "node-9")
	admin(2, "drain", "zone", "a")
	if code := cluster.Signal(leader, syscall.SIGTERM, drainTimeout); code != 0 {
		t.Fatalf("controller that had been drained and undrained: got exit code %d, want 0", code)
	}
	users.Cancel(spec.ID)
	reportViolations(t, sim)
}
