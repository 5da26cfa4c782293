package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/rollout"
	"github.com/harewalk/harewalk/internal/simulator"
)

// rolloutPlan returns what `rollout plan` prints, from the first controller that responds.
func rolloutPlan(t *testing.T, sim *simulator.Simulation) (view rollout.View) {
	t.Helper()
	waitUntil(t, "a controller returns a rollout plan", func() bool {
		for i := range 3 {
			out, code := runCommand(t, "rollout", "plan", "--server", sim.UserAddr(i), "-o", "json")
			if code == 0 && json.Unmarshal([]byte(out), &view) == nil && view.ReportedBy != "" {
				return true
			}
		}
		return false
	})
	return view
}

// restartByPlan drains and restarts each controller once, in the order that `rollout plan` gives. Before a controller
// is started again, swap changes its program.
func restartByPlan(t *testing.T, sim *simulator.Simulation, cluster *simulator.Cluster, swap func(i int)) {
	t.Helper()
	for done := map[string]bool{}; len(done) < 3; {
		plan := rolloutPlan(t, sim)
		if plan.Restart == "" || done[plan.Restart] {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		var i int
		_, _ = fmt.Sscanf(plan.Restart, "node-%d", &i)
		if code := cluster.Signal(i, syscall.SIGTERM, drainTimeout); code != 0 {
			t.Fatalf("drained controller: got exit code %d, want 0", code)
		}
		swap(i)
		if err := cluster.Start(i); err != nil {
			t.Fatal(err)
		}
		if err := cluster.WaitReady(i, 20*time.Second); err != nil {
			t.Fatal(err)
		}
		done[plan.Restart] = true
	}
}

// Controller processes of the former release are restarted with this one under load, in the order of `rollout plan`.
// The level stays until an operator runs `rollout finish`. After that, `rollout abort` is refused with the cause.
func TestRolloutOfRealProcesses(t *testing.T) {
	sim := newSimulation(t, simulator.Config{Seed: 31, MaxMachines: 10, Teams: redAndBlue()})
	current := []string{runProgramEnv + "=1", "LOG_LEVEL=info"}
	former := []string{runProgramEnv + "=1", formerReleaseEnv + "=1", "LOG_LEVEL=info"}
	cluster, err := sim.NewCluster(t.TempDir(), "rollout { finish = \"operator\" }\n", former, os.Args[0], "serve")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.Close)
	startControllers(t, cluster)
	users := sim.NewUsers(31)
	for i := range 12 {
		if status := users.Submit(plainJob(i+1, 60, 0.6)); status != 201 {
			t.Fatalf("submit: got status %d, want 201", status)
		}
	}
	waitUntil(t, "more than 20 tasks have started", func() bool { return sim.Stats().TaskStarts > 20 })
	_, termBefore := sim.Leader()
	restartByPlan(t, sim, cluster, func(i int) { cluster.SetProgram(i, current, os.Args[0], "serve") })
	if _, term := sim.Leader(); term != termBefore+1 {
		t.Errorf("changes of leader during the restarts: got %d, want 1", term-termBefore)
	}
	leader, _ := sim.Leader()
	server := sim.UserAddr(leader)
	waitUntil(t, "all controllers have announced the next level", func() bool {
		out, code := runCommand(t, "rollout", "status", "--server", server)
		return code == 0 && strings.Contains(out, "announced by all")
	})
	if sim.ClusterLevel() != rollout.Newest-1 { // the former release's level, at which the cluster was created
		t.Error("the level rose before an operator ran `rollout finish`")
	}
	if out, code := runCommand(t, "rollout", "finish", "--server", server, "--revision", "7"); code != exitRefused {
		t.Errorf("finish with a wrong revision: got exit code %d, want 3; output: %s", code, out)
	}
	if out, code := runCommand(t, "rollout", "finish", "--server", server); code != 0 {
		t.Fatalf("finish: got exit code %d, want 0; output: %s", code, out)
	}
	waitUntil(t, "the level has risen and the migration is done", func() bool {
		out, code := runCommand(t, "rollout", "status", "--server", server)
		return code == 0 && sim.ClusterLevel() == rollout.Newest && strings.Contains(out, "done")
	})
	out, code := runCommand(t, "rollout", "abort", "--server", server)
	if code != exitRefused || !strings.Contains(out, "can't read what is stored") {
		t.Errorf("abort after the level rose: got exit code %d, want 3 with the cause; output: %s", code, out)
	}
	if err := users.Wait(2 * time.Minute); err != nil {
		t.Error(err)
	}
	users.Check()
	reportViolations(t, sim)
}

// HAREWALK_EARLIER names a program of an earlier revision. Under a load of all kinds of jobs, the controllers are
// restarted with the present revision. Before the level rises they are killed and restarted with the earlier revision,
// then with the present one again. deploy/roll-revision.sh runs this test; without HAREWALK_EARLIER it is skipped.
func TestRollFromRevision(t *testing.T) {
	earlier := os.Getenv("HAREWALK_EARLIER")
	if earlier == "" {
		t.Skip("HAREWALK_EARLIER is not set to a program of an earlier revision")
	}
	seed := uint64(77)
	sim := newSimulation(t, simulator.Config{Seed: seed, MaxMachines: 12, Teams: redAndBlue()})
	// Without operators' settings, because the earlier revision refuses settings that it doesn't have.
	cluster, err := sim.NewCluster(t.TempDir(), "", []string{"LOG_LEVEL=info"}, earlier, "serve")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.Close)
	usePresent := func(i int) {
		cluster.SetProgram(i, []string{runProgramEnv + "=1", "LOG_LEVEL=info"}, os.Args[0], "serve")
	}
	useEarlier := func(i int) { cluster.SetProgram(i, []string{"LOG_LEVEL=info"}, earlier, "serve") }
	startControllers(t, cluster)
	users := sim.NewUsers(seed)
	rng := rand.New(rand.NewPCG(seed, 5))
	stop := make(chan struct{})
	var loading sync.WaitGroup
	loading.Add(1)
	submitted := 0
	go func() {
		defer loading.Done()
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(rng.IntN(800)) * time.Millisecond):
			}
			submitted++
			spec := randomJob(rng, submitted)
			spec.Licences, spec.Class = nil, "c"
			spec.EstimateS *= 4
			if spec.Kind == jobs.Array && submitted%7 == 0 {
				spec.Tasks = 300
				spec.EstimateS /= 8
			}
			if status := users.Submit(spec); status != 200 && status != 201 {
				t.Errorf("submit %s: got status %d, want 200 or 201", spec.ID, status)
			}
			if submitted%9 == 0 {
				go users.Cancel(spec.ID)
			}
		}
	}()
	restartAll := func(swap func(i int), kill bool) {
		for i := range 3 {
			if kill {
				cluster.Kill(i)
			} else {
				cluster.Signal(i, syscall.SIGTERM, drainTimeout)
			}
			swap(i)
			time.Sleep(300 * time.Millisecond)
			if err := cluster.Start(i); err != nil {
				t.Fatal(err)
			}
			if err := cluster.WaitReady(i, 20*time.Second); err != nil {
				t.Fatal(err)
			}
			time.Sleep(2 * time.Second)
		}
	}
	time.Sleep(3 * time.Second)
	initialLevel := sim.ClusterLevel() // the highest level of the earlier revision
	restartAll(usePresent, false)
	if sim.ClusterLevel() != initialLevel || initialLevel >= rollout.Newest {
		t.Error("the level rose before the end of the soak time, or the earlier revision has the newest level already")
	}
	restartAll(useEarlier, true)
	restartAll(usePresent, true)
	// All controllers have the present revision and the level hasn't risen, so users may submit pipelines. One pipeline
	// is cancelled at its first job.
	submitPipeline(t, users, 800_000, 4)
	cancelledID := submitPipeline(t, users, 800_100, 4)
	users.Cancel(cancelledID)
	waitUntil(t, "the level has risen to the newest", func() bool {
		time.Sleep(time.Second)
		return sim.ClusterLevel() == rollout.Newest
	})
	// One controller is started with the earlier revision, which operators must not do once the level has risen. The
	// earlier revision has no levels and can't read the term's record, so it must not lead.
	leader, _ := sim.Leader()
	downgraded := (leader + 1) % 3
	cluster.Kill(downgraded)
	useEarlier(downgraded)
	if err := cluster.Start(downgraded); err != nil {
		t.Fatal(err)
	}
	time.Sleep(3 * time.Second)
	cluster.Kill(leader)
	waitUntil(t, "another controller leads", func() bool {
		next, _ := sim.Leader()
		return next >= 0 && next != leader
	})
	if next, _ := sim.Leader(); next == downgraded {
		t.Error("the controller of the earlier revision, which has no levels, became the leader")
	}
	cluster.Kill(downgraded)
	usePresent(downgraded)
	for _, i := range []int{leader, downgraded} {
		if err := cluster.Start(i); err != nil {
			t.Fatal(err)
		}
	}
	close(stop)
	loading.Wait()
	if err := users.Wait(3 * time.Minute); err != nil {
		t.Error(err)
	}
	users.Check()
	reportViolations(t, sim)
	final, repeated := users.Results()
	t.Logf("%d jobs: %v; %d starts, %d requests repeated, %d kills",
		submitted, final, sim.Stats().TaskStarts, repeated, cluster.Killed)
}

// submitPipeline submits a chain of jobs, each as soon as its predecessor is accepted, and returns the id of the first
// job. The jobs' numbers begin with first.
func submitPipeline(t *testing.T, users *simulator.Users, first, length int) string {
	t.Helper()
	firstID := ""
	lastID := ""
	for i := range length {
		spec := plainJob(first+i, 4, 2)
		if lastID != "" {
			spec.Follows = []string{lastID}
		}
		if status := users.Submit(spec); status != 200 && status != 201 {
			t.Fatalf("submit %s: got status %d, want 200 or 201", spec.ID, status)
		}
		if firstID == "" {
			firstID = spec.ID
		}
		lastID = spec.ID
	}
	return firstID
}
