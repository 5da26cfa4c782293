package main

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/capacity"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/simulator"
)

// sessionPolicy has short times, so that idle sessions are reclaimed within seconds.
const sessionPolicy = `
sessions {
  warn_s   = 1
  save_s   = 2
  silent_s = 4
  per_user = 50
  policy "default" {
    idle     = "input_s > 1 && cpu < 0.5"
    limit_s  = 1
    wanted_s = 0
  }
}
`

// notebook returns a session of user kana that is not open yet.
func notebook(sim *simulator.Simulation, n int, cpus float64) *simulator.InteractiveSession {
	return sim.NewInteractiveSession(&jobs.Spec{
		ID: fmt.Sprintf("req-%06d", n), Class: "notebook", Team: "red", Kind: jobs.Service, Priority: "standard",
		Tasks: 1, CPUs: cpus, MemoryGB: 1, Image: "nb", ImageGB: 0.5, Spot: n%2 == 0, SaveS: 1, CheckpointS: 1,
	}, "kana")
}

// newSessionSimulation starts a simulation in real time. The end of the test closes it and reports broken rules.
func newSessionSimulation(t *testing.T, seed uint64, machines int) *simulator.Simulation {
	t.Helper()
	sim, err := simulator.NewRealTime(simulator.Config{
		Seed: seed, MaxMachines: machines, Teams: redAndBlue(),
		Types: []capacity.MachineType{{
			Name: "c8", CPUs: 8, MemoryGB: 64, CacheGB: 100, FetchGBPerS: 10,
			OnDemandPrice: 4, SpotPrice: 1.5, BootS: 0.5, Zones: []string{"a", "b"},
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		sim.Close()
		reportViolations(t, sim)
	})
	return sim
}

// inState returns the condition that a session is in one of the states.
func inState(session *simulator.InteractiveSession, states ...string) func() bool {
	return func() bool { return slices.Contains(states, session.View().State) }
}

// isUsable returns the condition that a session runs and reports its progress.
func isUsable(session *simulator.InteractiveSession) func() bool {
	return func() bool { _, ok := session.Progress(); return ok }
}

// All controllers are killed when a session enters a state, once for each state. No running cell is ended, and no step
// of the user's work is lost: a user who attaches after the reclaim has all steps again.
func TestSessionsThroughKills(t *testing.T) {
	states := []string{"warned", "saving"}
	if isLongRun() {
		states = []string{"opening", "active", "quiet", "warned", "saving", "reclaimed"}
	}
	sim := newSessionSimulation(t, 11, 6)
	cluster := startCluster(t, sim, sessionPolicy)
	for i, killState := range states {
		session := notebook(sim, i+1, 1)
		if status := session.Open(); status != 201 && status != 200 {
			t.Fatalf("%s: open: got status %d, want 200 or 201", killState, status)
		}
		killed := false
		killAllIn := func(state string) {
			if state == killState && !killed {
				killed = true
				for k := range 3 {
					cluster.Kill(k)
				}
				for k := range 3 {
					if err := cluster.Start(k); err != nil {
						t.Fatal(err)
					}
				}
			}
		}
		killAllIn("opening")
		waitUntil(t, killState+": the opened session is usable", isUsable(session))
		steps := 0
		for range 5 {
			if session.Input() {
				steps++
			}
		}
		if killState == "saving" {
			session.SetSaveBehavior(false, time.Second) // long enough for a kill during the save
		}
		waitUntil(t, killState+": the session is reclaimed", func() bool {
			state := session.View().State
			killAllIn(state)
			return state == "reclaimed"
		})
		killAllIn("reclaimed")
		waitUntil(t, killState+": the session's task is stopped", func() bool { r, _ := session.Counts(); return r > 0 })
		status, view := session.Attach()
		if status != 200 {
			t.Fatalf("%s: attach: got status %d, want 200", killState, status)
		}
		waitUntil(t, killState+": the resumed session is usable", isUsable(session))
		restored, _ := session.Progress()
		if restored != steps || !killed {
			t.Fatalf("%s: got %d of %d steps after the attach, controllers killed %v, want true; attached to %+v",
				killState, restored, steps, killed, view)
		}
		if status := session.Close(); status != 200 {
			t.Fatalf("%s: close: got status %d, want 200", killState, status)
		}
	}
	t.Logf("%d sessions, %d controllers killed", len(states), cluster.Killed)
}

// Overlapping reclaims, saves, attaches and keep-alives, one case per session, at the same time in one cluster.
func TestOverlappingSessionOperations(t *testing.T) {
	sim := newSessionSimulation(t, 12, 8)
	startCluster(t, sim, sessionPolicy)
	var cases sync.WaitGroup
	runCase := func(n int, name string, test func(t *testing.T, session *simulator.InteractiveSession)) {
		t.Helper()
		session := notebook(sim, n, 1)
		if status := session.Open(); status != 201 {
			t.Fatalf("%s: open: got status %d, want 201", name, status)
		}
		cases.Add(1)
		go func() {
			defer cases.Done()
			t.Run(name, func(t *testing.T) {
				waitUntil(t, "the session accepts input", session.Input)
				test(t, session)
			})
		}()
	}
	runCase(1, "no reclaim while a long cell runs", func(t *testing.T, session *simulator.InteractiveSession) {
		if !session.RunCell(8 * time.Second) {
			t.Fatal("the session did not start the cell")
		}
		for end := time.Now().Add(7 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			if r, _ := session.Counts(); r > 0 {
				t.Fatal("the session was reclaimed while a cell was running")
			}
		}
		waitUntil(t, "the session is reclaimed after the cell", inState(session, "reclaimed"))
	})
	runCase(2, "attach after the warning cancels the reclaim", func(t *testing.T, session *simulator.InteractiveSession) {
		waitUntil(t, "the session is warned", inState(session, "warned"))
		if status, view := session.Attach(); status != 200 || view.State != "active" {
			t.Fatalf("attach: got status %d, session %+v, want 200 and state active", status, view)
		}
		waitUntil(t, "the session is usable", isUsable(session))
		if steps, _ := session.Progress(); steps != 1 {
			t.Fatalf("steps after the attach: got %d, want 1", steps)
		}
	})
	runCase(3, "attach during the save", func(t *testing.T, session *simulator.InteractiveSession) {
		session.SetSaveBehavior(false, 1500*time.Millisecond)
		waitUntil(t, "the session is being saved", inState(session, "saving"))
		if status, _ := session.Attach(); status != 200 {
			t.Fatalf("attach: got status %d, want 200", status)
		}
		waitUntil(t, "the session is usable", isUsable(session))
		if steps, _ := session.Progress(); steps != 1 {
			t.Fatalf("steps after the attach: got %d, want 1", steps)
		}
	})
	runCase(4, "no reclaim after a failed save", func(t *testing.T, session *simulator.InteractiveSession) {
		session.SetSaveBehavior(true, 0)
		waitUntil(t, "the session is being saved", inState(session, "saving"))
		waitUntil(t, "the session is quiet or active after the failed save", inState(session, "quiet", "active"))
		if r, _ := session.Counts(); r > 0 {
			t.Fatal("the session was reclaimed although its save had failed")
		}
		session.SetSaveBehavior(false, 0)
		waitUntil(t, "the session is reclaimed after a successful save", inState(session, "reclaimed"))
	})
	runCase(5, "no reclaim after a save that takes too long", func(t *testing.T, session *simulator.InteractiveSession) {
		session.SetSaveBehavior(false, 30*time.Second)
		waitUntil(t, "the session is being saved", inState(session, "saving"))
		waitUntil(t, "the session is quiet or active after the save timed out", inState(session, "quiet", "active"))
		waitUntil(t, "the session is usable", isUsable(session))
		if r, _ := session.Counts(); r > 0 {
			t.Fatal("the session was reclaimed without a save")
		}
	})
	const attachesAndKeepAlives = "two concurrent attaches, and too many keep-alives"
	runCase(6, attachesAndKeepAlives, func(t *testing.T, session *simulator.InteractiveSession) {
		var ids [2]uint64
		var attaches sync.WaitGroup
		for i := range ids {
			attaches.Add(1)
			go func() {
				defer attaches.Done()
				_, view := session.Attach()
				ids[i] = view.AttachmentID
			}()
		}
		attaches.Wait()
		if ids[0] == ids[1] || ids[0] == 0 || ids[1] == 0 {
			t.Fatalf("got attachment ids %v, want two different ids other than 0", ids)
		}
		statuses := map[int]int{}
		for range 200 {
			statuses[session.KeepAlive(min(ids[0], ids[1]))]++
		}
		if statuses[200] > 0 {
			t.Fatalf("keep-alives of the earlier attachment: got responses by status %v, want no 200", statuses)
		}
		for range 200 {
			statuses[session.KeepAlive(max(ids[0], ids[1]))]++
		}
		if statuses[200] > 20 {
			t.Fatalf("200 keep-alives at once: got responses by status %v, want at most 20 times 200", statuses)
		}
	})
	runCase(8, "spot notice after the warning", func(t *testing.T, session *simulator.InteractiveSession) {
		waitUntil(t, "the session is warned", inState(session, "warned"))
		session.ReclaimMachine(4 * time.Second) // does nothing if the task was stopped already
		waitUntil(t, "the session is active with its step after the spot notice", func() bool {
			if session.View().State == "reclaimed" {
				session.Attach()
			}
			steps, ok := session.Progress()
			return ok && steps == 1 && session.View().State == "active"
		})
	})
	cases.Wait()
}

// Idle sessions occupy most of the cores when a series of jobs arrives. The test logs the jobs' time to start, with and
// without reclaim of idle sessions.
func TestStartDelaysBesideIdleSessions(t *testing.T) {
	if !isLongRun() {
		t.Skip("a measurement: set HAREWALK_LONG")
	}
	for _, reclaim := range []bool{false, true} {
		policy := sessionPolicy
		if !reclaim {
			policy = "sessions {\n policy \"default\" {\n idle = \"false\"\n wanted_s = -1\n }\n}\n"
		}
		sim := newSessionSimulation(t, 13, 4) // 32 cores
		cluster := startCluster(t, sim, policy)
		for i := range 24 {
			session := notebook(sim, 1000+i, 1)
			if status := session.Open(); status != 201 {
				t.Fatalf("open: got status %d, want 201", status)
			}
		}
		time.Sleep(6 * time.Second)
		users := sim.NewUsers(13)
		var waits []float64
		for i := range 30 {
			spec := &jobs.Spec{
				ID: fmt.Sprintf("req-%06d", i+1), Class: "roster", Team: "blue", Kind: jobs.Gang, Priority: "standard",
				Tasks: 1,
				CPUs:  4, MemoryGB: 4, Image: "m", ImageGB: 1, EstimateS: 4,
			}
			if status := users.Submit(spec); status != 201 {
				t.Fatalf("submit: got status %d, want 201", status)
			}
			time.Sleep(500 * time.Millisecond)
		}
		if err := users.Wait(5 * time.Minute); err != nil {
			t.Error(err)
		}
		for _, duration := range sim.StartDelays("roster") {
			waits = append(waits, duration.Seconds())
		}
		slices.Sort(waits)
		t.Logf("reclaim %v: %d jobs of 4 cores on 32 cores, of which notebooks occupy 24: "+
			"time to start p50 %.1f s, p95 %.1f s",
			reclaim, len(waits), waits[len(waits)/2], waits[len(waits)*95/100])
		cluster.Close()
	}
}

// The command-line client opens, lists, attaches to, explains and closes a session, with the session's own token.
func TestSessionCommands(t *testing.T) {
	sim := newSessionSimulation(t, 14, 2)
	startCluster(t, sim, sessionPolicy)
	session := notebook(sim, 1, 1) // registers the job's spec with the simulated workers
	raw, err := json.Marshal(session.Spec)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	file := filepath.Join(dir, "nb.json")
	writeFile(t, file, string(raw))
	runSession := func(wantCode int, args ...string) string {
		t.Helper()
		return expectExit(t, wantCode, slices.Concat([]string{"session"}, args, []string{"--server", sim.UserAddr(2)})...)
	}
	var opened struct {
		ID    string `json:"name_id"`
		Token string `json:"token"`
		Agent string `json:"agent_token"`
	}
	err = json.Unmarshal([]byte(runSession(0, "open", file, "--user", "mio", "-o", "json")), &opened)
	if err != nil || opened.Token == "" || opened.Token == opened.Agent {
		t.Fatalf("opened session: got %+v, error %v, want two different tokens", opened, err)
	}
	token := filepath.Join(dir, "token")
	for name, text := range map[string]string{token: opened.Token, token + "2": opened.Agent} {
		writeFile(t, name, text+"\n")
	}
	if out := runSession(0, "list", "--user", "mio"); !strings.Contains(out, opened.ID) {
		t.Fatal(out)
	}
	if out := runSession(0, "list", "--user", "ren"); strings.Contains(out, opened.ID) {
		t.Fatal(out)
	}
	if out := runSession(0, "explain", opened.ID); !strings.Contains(out, "policy \"default\"") {
		t.Fatal(out)
	}
	runSession(0, "attach", opened.ID, "--session-token-file", token)
	runSession(3, "attach", opened.ID, "--session-token-file", token+"2")
	runSession(3, "close", opened.ID, "--session-token-file", token+"2")
	runSession(2, "close", opened.ID)
	runSession(2, "explain", "req-000099")
	runSession(3, "open", file, "--user", "mio")
	if out := runSession(0, "close", opened.ID, "--session-token-file", token); !strings.Contains(out, "closed") {
		t.Fatal(out)
	}
	sim.ConfirmCancelled(opened.ID)
}
