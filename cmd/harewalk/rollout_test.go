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
func rolloutPlan(t *testing.T, sim *simulator.Simulation) (v rollout.View) {
	t.Helper()
	waitUntil(t, "a plan", func() bool {
		for i := range 3 {
			out, code := runCommand(t, "rollout", "plan", "--server", sim.UserAddr(i), "-o", "json")
			if code == 0 && json.Unmarshal([]byte(out), &v) == nil && v.ReportedBy != "" {
				return true
			}
		}
		return false
	})
	return v
}

// restartByPlan restarts each controller once, in the order of the command line's plan; swap changes its program.
func restartByPlan(t *testing.T, sim *simulator.Simulation, cluster *simulator.Cluster, swap func(i int)) {
	t.Helper()
	for done := map[string]bool{}; len(done) < 3; {
		v := rolloutPlan(t, sim)
		if v.Restart == "" || done[v.Restart] {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		var i int
		_, _ = fmt.Sscanf(v.Restart, "node-%d", &i)
		if code := cluster.Signal(i, syscall.SIGTERM, drainTimeout); code != 0 {
			t.Fatalf("a drain ended with exit code %d", code)
		}
		swap(i)
		if err := cluster.Start(i); err != nil {
			t.Fatal(err)
		}
		if err := cluster.WaitReady(i, 20*time.Second); err != nil {
			t.Fatal(err)
		}
		done[v.Restart] = true
	}
}

// Real processes of the former release are rolled to this one by the command line, under load: in the order of its
// plan, held until an operator finishes it; after that it can't be aborted, and the responses name the cause.
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
			t.Fatalf("status %d", status)
		}
	}
	waitUntil(t, "work flows", func() bool { return sim.Stats().TaskStarts > 20 })
	_, before := sim.Leader()
	restartByPlan(t, sim, cluster, func(i int) { cluster.SetProgram(i, current, os.Args[0], "serve") })
	if _, after := sim.Leader(); after != before+1 {
		t.Errorf("the lead moved %d times", after-before)
	}
	leader, _ := sim.Leader()
	server := sim.UserAddr(leader)
	waitUntil(t, "all have announced it", func() bool {
		out, code := runCommand(t, "rollout", "status", "--server", server)
		return code == 0 && strings.Contains(out, "announced by all")
	})
	if sim.ClusterLevel() != rollout.Newest-1 { // the former release's, at which it founded the cluster
		t.Error("the level rose without an operator's word")
	}
	if out, code := runCommand(t, "rollout", "finish", "--server", server, "--revision", "7"); code != exitRefused {
		t.Errorf("a command on an old revision: exit code %d: %s", code, out)
	}
	if out, code := runCommand(t, "rollout", "finish", "--server", server); code != 0 {
		t.Fatalf("exit code %d: %s", code, out)
	}
	waitUntil(t, "the migration's end", func() bool {
		out, code := runCommand(t, "rollout", "status", "--server", server)
		return code == 0 && sim.ClusterLevel() == rollout.Newest && strings.Contains(out, "done")
	})
	out, code := runCommand(t, "rollout", "abort", "--server", server)
	if code != exitRefused || !strings.Contains(out, "can't read what is stored") {
		t.Errorf("exit code %d: %s", code, out)
	}
	if err := users.Wait(2 * time.Minute); err != nil {
		t.Error(err)
	}
	users.Check()
	reportViolations(t, sim)
}

// A program of another revision of this repository, named in the environment, is rolled forward to this one and, before
// the level has risen, back and forward again, with kills between, under a load of all kinds of jobs. It is
// played by deploy/roll-revision.sh, not where no such program is named.
func TestRollFromRevision(t *testing.T) {
	earlier := os.Getenv("HAREWALK_EARLIER")
	if earlier == "" {
		t.Skip("HAREWALK_EARLIER names no program of an earlier revision")
	}
	seed := uint64(77)
	sim := newSimulation(t, simulator.Config{Seed: seed, MaxMachines: 12, Teams: redAndBlue()})
	// No operators' settings: the earlier revision refuses those that it lacks.
	cluster, err := sim.NewCluster(t.TempDir(), "", []string{"LOG_LEVEL=info"}, earlier, "serve")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.Close)
	now := func(i int) {
		cluster.SetProgram(i, []string{runProgramEnv + "=1", "LOG_LEVEL=info"}, os.Args[0], "serve")
	}
	back := func(i int) { cluster.SetProgram(i, []string{"LOG_LEVEL=info"}, earlier, "serve") }
	startControllers(t, cluster)
	users := sim.NewUsers(seed)
	rng := rand.New(rand.NewPCG(seed, 5))
	stop := make(chan struct{})
	var loading sync.WaitGroup
	loading.Add(1)
	n := 0
	go func() {
		defer loading.Done()
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(rng.IntN(800)) * time.Millisecond):
			}
			n++
			spec := randomJob(rng, n)
			spec.Licences, spec.Class = nil, "c"
			spec.EstimateS *= 4
			if spec.Kind == jobs.Array && n%7 == 0 {
				spec.Tasks = 300
				spec.EstimateS /= 8
			}
			if status := users.Submit(spec); status != 200 && status != 201 {
				t.Errorf("%s: status %d", spec.ID, status)
			}
			if n%9 == 0 {
				go users.Cancel(spec.ID)
			}
		}
	}()
	wave := func(swap func(i int), kill bool) {
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
	founded := sim.ClusterLevel() // the highest of the earlier revision
	wave(now, false)
	if sim.ClusterLevel() != founded || founded >= rollout.Newest {
		t.Error("the level rose before the soak time was over")
	}
	wave(back, true)
	wave(now, true)
	// All have the present revision, and the level hasn't risen: users may submit pipelines. One is cancelled at its head.
	submitPipeline(t, users, 800_000, 4)
	cancelled := submitPipeline(t, users, 800_100, 4)
	users.Cancel(cancelled)
	waitUntil(t, "the level rises", func() bool {
		time.Sleep(time.Second)
		return sim.ClusterLevel() == rollout.Newest
	})
	// One goes back to the earlier revision although it must not: that has no levels, and can't read the term.
	leader, _ := sim.Leader()
	old := (leader + 1) % 3
	cluster.Kill(old)
	back(old)
	if err := cluster.Start(old); err != nil {
		t.Fatal(err)
	}
	time.Sleep(3 * time.Second)
	cluster.Kill(leader)
	waitUntil(t, "another leads", func() bool {
		next, _ := sim.Leader()
		return next >= 0 && next != leader
	})
	if next, _ := sim.Leader(); next == old {
		t.Error("a release that knows nothing of levels leads")
	}
	cluster.Kill(old)
	now(old)
	for _, i := range []int{leader, old} {
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
		n, final, sim.Stats().TaskStarts, repeated, cluster.Killed)
}

// submitPipeline submits a chain of jobs, each as soon as the one before it is accepted, and returns the id of the
// first.
func submitPipeline(t *testing.T, users *simulator.Users, first, length int) string {
	t.Helper()
	head := ""
	last := ""
	for i := range length {
		spec := plainJob(first+i, 4, 2)
		if last != "" {
			spec.Follows = []string{last}
		}
		if status := users.Submit(spec); status != 200 && status != 201 {
			t.Fatalf("%s: status %d", spec.ID, status)
		}
		if head == "" {
			head = spec.ID
		}
		last = spec.ID
	}
	return head
}
