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

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/rollout"
	"github.com/harewalk/harewalk/internal/simulator"
)

// plan asks the command line which controller is next.
func plan(t *testing.T, sim *simulator.Simulation) (v rollout.View) {
	t.Helper()
	until(t, "a plan", func() bool {
		for i := range 3 {
			out, code := command(t, "rollout", "plan", "--server", sim.UserAddr(i), "-o", "json")
			if code == 0 && json.Unmarshal([]byte(out), &v) == nil && v.ReportedBy != "" {
				return true
			}
		}
		return false
	})
	return v
}

// rollBy restarts controllers in the order of the command line's plan until as many as there are run something else.
func rollBy(t *testing.T, sim *simulator.Simulation, cluster *simulator.Cluster, swap func(i int)) {
	t.Helper()
	for done := map[string]bool{}; len(done) < 3; {
		v := plan(t, sim)
		if v.Restart == "" || done[v.Restart] {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		var i int
		_, _ = fmt.Sscanf(v.Restart, "node-%d", &i)
		if code := cluster.Signal(i, syscall.SIGTERM, drainWait); code != 0 {
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

// Real processes of the former release are rolled to this one by the command line, under load: in the order of its plan,
// held by an operator until the word is given; then nothing leads back, and the answers say so.
func TestRollProcesses(t *testing.T) {
	sim, err := simulator.NewRealTime(simulator.Config{Seed: 31, MaxMachines: 10, Teams: []config.Team{{Name: "red"}, {Name: "blue"}}})
	if err != nil {
		t.Fatal(err)
	}
	defer sim.Close()
	now, former := []string{asProgram + "=1", "LOG_LEVEL=info"}, []string{asProgram + "=1", asFormer + "=1", "LOG_LEVEL=info"}
	cluster, err := sim.NewCluster(t.TempDir(), "rollout { finish = \"operator\" }\n", former, os.Args[0], "serve")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.Close)
	startAll(t, cluster)
	users := sim.Users(31)
	for i := range 12 {
		if status := users.Submit(plainJob(i+1, 60, 0.6)); status != 201 {
			t.Fatalf("status %d", status)
		}
	}
	until(t, "work flows", func() bool { return sim.Stats().TaskStarts > 20 })
	_, before := sim.Leader()
	rollBy(t, sim, cluster, func(i int) { cluster.SetProgram(i, now, os.Args[0], "serve") })
	if _, after := sim.Leader(); after != before+1 {
		t.Errorf("the lead moved %d times", after-before)
	}
	l, _ := sim.Leader()
	server := sim.UserAddr(l)
	until(t, "all have announced it", func() bool {
		out, code := command(t, "rollout", "status", "--server", server)
		return code == 0 && strings.Contains(out, "announced by all")
	})
	if sim.ClusterLevel() != rollout.Newest-1 { // the former release's, at which it founded the cluster
		t.Error("the level rose without an operator's word")
	}
	if out, code := command(t, "rollout", "finish", "--server", server, "--revision", "7"); code != exitRefused {
		t.Errorf("a command on an old revision: exit code %d: %s", code, out)
	}
	if out, code := command(t, "rollout", "finish", "--server", server); code != 0 {
		t.Fatalf("exit code %d: %s", code, out)
	}
	until(t, "the migration's end", func() bool {
		out, code := command(t, "rollout", "status", "--server", server)
		return code == 0 && sim.ClusterLevel() == rollout.Newest && strings.Contains(out, "done")
	})
	if out, code := command(t, "rollout", "abort", "--server", server); code != exitRefused || !strings.Contains(out, "can't read what is stored") {
		t.Errorf("exit code %d: %s", code, out)
	}
	if err := users.Wait(2 * time.Minute); err != nil {
		t.Error(err)
	}
	users.Check()
	for _, b := range sim.Violations() {
		t.Error(b)
	}
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
	sim, err := simulator.NewRealTime(simulator.Config{Seed: seed, MaxMachines: 12, Teams: []config.Team{{Name: "red"}, {Name: "blue"}}})
	if err != nil {
		t.Fatal(err)
	}
	defer sim.Close()
	// No operators' settings: what is new in them the earlier one would refuse.
	cluster, err := sim.NewCluster(t.TempDir(), "", []string{"LOG_LEVEL=info"}, earlier, "serve")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.Close)
	now := func(i int) { cluster.SetProgram(i, []string{asProgram + "=1", "LOG_LEVEL=info"}, os.Args[0], "serve") }
	back := func(i int) { cluster.SetProgram(i, []string{"LOG_LEVEL=info"}, earlier, "serve") }
	startAll(t, cluster)
	users := sim.Users(seed)
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
			spec := licensed(rng, n)
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
				cluster.Signal(i, syscall.SIGTERM, drainWait)
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
	founded := sim.ClusterLevel() // the highest that the earlier revision knows
	wave(now, false)
	if sim.ClusterLevel() != founded || founded >= rollout.Newest {
		t.Error("the level rose before the soak time was over")
	}
	wave(back, true)
	wave(now, true)
	until(t, "the level rises", func() bool { time.Sleep(time.Second); return sim.ClusterLevel() == rollout.Newest })
	// One goes back though it must not: it doesn't know of levels, and can't read the term.
	l, _ := sim.Leader()
	old := (l + 1) % 3
	cluster.Kill(old)
	back(old)
	if err := cluster.Start(old); err != nil {
		t.Fatal(err)
	}
	time.Sleep(3 * time.Second)
	cluster.Kill(l)
	until(t, "another leads", func() bool { x, _ := sim.Leader(); return x >= 0 && x != l })
	if x, _ := sim.Leader(); x == old {
		t.Error("a release that knows nothing of levels leads")
	}
	cluster.Kill(old)
	now(old)
	for _, i := range []int{l, old} {
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
	for _, b := range sim.Violations() {
		t.Error(b)
	}
	final, repeated := users.Results()
	t.Logf("%d jobs: %v; %d starts, %d requests repeated, %d kills", n, final, sim.Stats().TaskStarts, repeated, cluster.Killed)
}
