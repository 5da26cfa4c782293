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
func plan(t *testing.T, w *simulator.World) (v rollout.View) {
	t.Helper()
	until(t, "a plan", func() bool {
		for i := range 3 {
			out, code := command(t, "rollout", "plan", "--server", w.Public(i), "-o", "json")
			if code == 0 && json.Unmarshal([]byte(out), &v) == nil && v.ReportedBy != "" {
				return true
			}
		}
		return false
	})
	return v
}

// rollBy restarts controllers in the order of the command line's plan until as many as there are run something else.
func rollBy(t *testing.T, w *simulator.World, c *simulator.Cluster, swap func(i int)) {
	t.Helper()
	for done := map[string]bool{}; len(done) < 3; {
		v := plan(t, w)
		if v.Restart == "" || done[v.Restart] {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		var i int
		_, _ = fmt.Sscanf(v.Restart, "node-%d", &i)
		if code := c.Signal(i, syscall.SIGTERM, drainWait); code != 0 {
			t.Fatalf("a drain ended with exit code %d", code)
		}
		swap(i)
		if err := c.Start(i); err != nil {
			t.Fatal(err)
		}
		if err := c.Ready(i, 20*time.Second); err != nil {
			t.Fatal(err)
		}
		done[v.Restart] = true
	}
}

// Real processes of the former release are rolled to this one by the command line, under load: in the order of its plan,
// held by an operator until the word is given; then nothing leads back, and the answers say so.
func TestRollProcesses(t *testing.T) {
	w, err := simulator.New(simulator.Config{Seed: 31, Machines: 10, Teams: []config.Team{{Name: "red"}, {Name: "blue"}}})
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	now, former := []string{asProgram + "=1", "LOG_LEVEL=info"}, []string{asProgram + "=1", asFormer + "=1", "LOG_LEVEL=info"}
	c, err := w.Run(t.TempDir(), "rollout { finish = \"operator\" }\n", former, os.Args[0], "serve")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	startAll(t, c)
	u := w.Users(31)
	for i := range 12 {
		if status := u.Submit(plainJob(i+1, 60, 0.6)); status != 201 {
			t.Fatalf("status %d", status)
		}
	}
	until(t, "work flows", func() bool { return w.Stats().Starts > 20 })
	_, before := w.Leader()
	rollBy(t, w, c, func(i int) { c.Program(i, now, os.Args[0], "serve") })
	if _, after := w.Leader(); after != before+1 {
		t.Errorf("the lead moved %d times", after-before)
	}
	l, _ := w.Leader()
	server := w.Public(l)
	until(t, "all have announced it", func() bool {
		out, code := command(t, "rollout", "status", "--server", server)
		return code == 0 && strings.Contains(out, "announced by all")
	})
	if w.Level() != rollout.Newest-1 { // the former release's, at which it founded the cluster
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
		return code == 0 && w.Level() == rollout.Newest && strings.Contains(out, "done")
	})
	if out, code := command(t, "rollout", "abort", "--server", server); code != exitRefused || !strings.Contains(out, "can't read what is stored") {
		t.Errorf("exit code %d: %s", code, out)
	}
	if err := u.Wait(2 * time.Minute); err != nil {
		t.Error(err)
	}
	u.Check()
	for _, b := range w.Broken() {
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
	w, err := simulator.New(simulator.Config{Seed: seed, Machines: 12, Teams: []config.Team{{Name: "red"}, {Name: "blue"}}})
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	// No operators' settings: what is new in them the earlier one would refuse.
	c, err := w.Run(t.TempDir(), "", []string{"LOG_LEVEL=info"}, earlier, "serve")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	now := func(i int) { c.Program(i, []string{asProgram + "=1", "LOG_LEVEL=info"}, os.Args[0], "serve") }
	back := func(i int) { c.Program(i, []string{"LOG_LEVEL=info"}, earlier, "serve") }
	startAll(t, c)
	u := w.Users(seed)
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
			if status := u.Submit(spec); status != 200 && status != 201 {
				t.Errorf("%s: status %d", spec.ID, status)
			}
			if n%9 == 0 {
				go u.Cancel(spec.ID)
			}
		}
	}()
	wave := func(swap func(i int), kill bool) {
		for i := range 3 {
			if kill {
				c.Kill(i)
			} else {
				c.Signal(i, syscall.SIGTERM, drainWait)
			}
			swap(i)
			time.Sleep(300 * time.Millisecond)
			if err := c.Start(i); err != nil {
				t.Fatal(err)
			}
			if err := c.Ready(i, 20*time.Second); err != nil {
				t.Fatal(err)
			}
			time.Sleep(2 * time.Second)
		}
	}
	time.Sleep(3 * time.Second)
	founded := w.Level() // the highest that the earlier revision knows
	wave(now, false)
	if w.Level() != founded || founded >= rollout.Newest {
		t.Error("the level rose before the soak time was over")
	}
	wave(back, true)
	wave(now, true)
	until(t, "the level rises", func() bool { time.Sleep(time.Second); return w.Level() == rollout.Newest })
	// One goes back though it must not: it doesn't know of levels, and can't read the term.
	l, _ := w.Leader()
	old := (l + 1) % 3
	c.Kill(old)
	back(old)
	if err := c.Start(old); err != nil {
		t.Fatal(err)
	}
	time.Sleep(3 * time.Second)
	c.Kill(l)
	until(t, "another leads", func() bool { x, _ := w.Leader(); return x >= 0 && x != l })
	if x, _ := w.Leader(); x == old {
		t.Error("a release that knows nothing of levels leads")
	}
	c.Kill(old)
	now(old)
	for _, i := range []int{l, old} {
		if err := c.Start(i); err != nil {
			t.Fatal(err)
		}
	}
	close(stop)
	loading.Wait()
	if err := u.Wait(3 * time.Minute); err != nil {
		t.Error(err)
	}
	u.Check()
	for _, b := range w.Broken() {
		t.Error(b)
	}
	final, repeated := u.Final()
	t.Logf("%d jobs: %v; %d starts, %d requests repeated, %d kills", n, final, w.Stats().Starts, repeated, c.Kills)
}
