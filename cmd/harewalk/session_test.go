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

func notebook(sim *simulator.Simulation, n int, cpus float64) *simulator.InteractiveSession {
	return sim.NewInteractiveSession(&jobs.Spec{
		ID: fmt.Sprintf("req-%06d", n), Class: "notebook", Team: "red", Kind: jobs.Service, Priority: "standard",
		Tasks: 1, CPUs: cpus, MemoryGB: 1, Image: "nb", ImageGB: 0.5, Spot: n%2 == 0, SaveS: 1, CheckpointS: 1,
	}, "kana")
}

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

func inState(session *simulator.InteractiveSession, states ...string) func() bool {
	return func() bool { return slices.Contains(states, session.View().State) }
}

func isUsable(session *simulator.InteractiveSession) func() bool {
	return func() bool { _, ok := session.Progress(); return ok }
}

// Every controller is killed when a session enters a state, for each state on the way: no cell is ended, no step is
// lost, and the user who attaches again has the session with all steps.
func TestSessionsThroughKills(t *testing.T) {
	states := []string{"warned", "saving"}
	if isLongRun() {
		states = []string{"opening", "active", "quiet", "warned", "saving", "reclaimed"}
	}
	sim := newSessionSimulation(t, 11, 6)
	cluster := startCluster(t, sim, sessionPolicy)
	for i, kill := range states {
		session := notebook(sim, i+1, 1)
		if status := session.Open(); status != 201 && status != 200 {
			t.Fatalf("%s: status %d", kill, status)
		}
		killed := false
		at := func(state string) {
			if state == kill && !killed {
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
		at("opening")
		waitUntil(t, kill+": usable", isUsable(session))
		steps := 0
		for range 5 {
			if session.Input() {
				steps++
			}
		}
		if kill == "saving" {
			session.SetSaveBehavior(false, time.Second) // so that there is time to be killed in
		}
		waitUntil(t, kill+": reclaimed", func() bool {
			state := session.View().State
			at(state)
			return state == "reclaimed"
		})
		at("reclaimed")
		waitUntil(t, kill+": stopped", func() bool { r, _ := session.Counts(); return r > 0 })
		status, v := session.Attach()
		if status != 200 {
			t.Fatalf("%s: attached with status %d", kill, status)
		}
		waitUntil(t, kill+": resumed", isUsable(session))
		work, _ := session.Progress()
		if work != steps || !killed {
			t.Fatalf("%s: %d of %d steps are back, killed %v, attached to %+v", kill, work, steps, killed, v)
		}
		if status := session.Close(); status != 200 {
			t.Fatalf("%s: closed with status %d", kill, status)
		}
	}
	t.Logf("%d sessions, %d controllers killed", len(states), cluster.Killed)
}

// Scripted cases of reclaim, save and attach that overlap, in one cluster at the same time.
func TestOverlappingSessionOperations(t *testing.T) {
	sim := newSessionSimulation(t, 12, 8)
	startCluster(t, sim, sessionPolicy)
	var wait sync.WaitGroup
	script := func(n int, name string, f func(t *testing.T, session *simulator.InteractiveSession)) {
		t.Helper()
		nb := notebook(sim, n, 1)
		if status := nb.Open(); status != 201 {
			t.Fatalf("%s: status %d", name, status)
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			t.Run(name, func(t *testing.T) {
				waitUntil(t, "used", nb.Input)
				f(t, nb)
			})
		}()
	}
	script(1, "a long cell runs", func(t *testing.T, session *simulator.InteractiveSession) {
		if !session.RunCell(8 * time.Second) {
			t.Fatal("no cell")
		}
		for end := time.Now().Add(7 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			if r, _ := session.Counts(); r > 0 {
				t.Fatal("reclaimed while a cell runs")
			}
		}
		waitUntil(t, "reclaimed after the cell", inState(session, "reclaimed"))
	})
	script(2, "the user returns before the save", func(t *testing.T, session *simulator.InteractiveSession) {
		waitUntil(t, "warned", inState(session, "warned"))
		if status, v := session.Attach(); status != 200 || v.State != "active" {
			t.Fatalf("status %d, %+v", status, v)
		}
		waitUntil(t, "usable", isUsable(session))
		if work, _ := session.Progress(); work != 1 {
			t.Fatalf("%d steps", work)
		}
	})
	script(3, "the user returns after the save was ordered", func(t *testing.T, session *simulator.InteractiveSession) {
		session.SetSaveBehavior(false, 1500*time.Millisecond)
		waitUntil(t, "saving", inState(session, "saving"))
		if status, _ := session.Attach(); status != 200 {
			t.Fatalf("status %d", status)
		}
		waitUntil(t, "usable", isUsable(session))
		if work, _ := session.Progress(); work != 1 {
			t.Fatalf("%d steps", work)
		}
	})
	script(4, "the save fails", func(t *testing.T, session *simulator.InteractiveSession) {
		session.SetSaveBehavior(true, 0)
		waitUntil(t, "saving", inState(session, "saving"))
		waitUntil(t, "quiet again", inState(session, "quiet", "active"))
		if r, _ := session.Counts(); r > 0 {
			t.Fatal("reclaimed although its save failed")
		}
		session.SetSaveBehavior(false, 0)
		waitUntil(t, "reclaimed once saves work", inState(session, "reclaimed"))
	})
	script(5, "the save takes too long", func(t *testing.T, session *simulator.InteractiveSession) {
		session.SetSaveBehavior(false, 30*time.Second)
		waitUntil(t, "saving", inState(session, "saving"))
		waitUntil(t, "given up", inState(session, "quiet", "active"))
		waitUntil(t, "usable", isUsable(session))
		if r, _ := session.Counts(); r > 0 {
			t.Fatal("reclaimed without its save")
		}
	})
	const attachesAndKeepAlives = "two attaches at once, and a flood of keep-alives"
	script(6, attachesAndKeepAlives, func(t *testing.T, session *simulator.InteractiveSession) {
		var ids [2]uint64
		var both sync.WaitGroup
		for i := range ids {
			both.Add(1)
			go func() {
				defer both.Done()
				_, v := session.Attach()
				ids[i] = v.AttachmentID
			}()
		}
		both.Wait()
		if ids[0] == ids[1] || ids[0] == 0 || ids[1] == 0 {
			t.Fatalf("attachments %v", ids)
		}
		statuses := map[int]int{}
		for range 200 {
			statuses[session.KeepAlive(min(ids[0], ids[1]))]++
		}
		if statuses[200] > 0 {
			t.Fatalf("the earlier attachment keeps it alive: %v", statuses)
		}
		for range 200 {
			statuses[session.KeepAlive(max(ids[0], ids[1]))]++
		}
		if statuses[200] > 20 {
			t.Fatalf("a flood was taken: %v", statuses)
		}
	})
	script(8, "spot notice while warned", func(t *testing.T, session *simulator.InteractiveSession) {
		waitUntil(t, "warned", inState(session, "warned"))
		session.ReclaimMachine(4 * time.Second) // or it was stopped already
		waitUntil(t, "elsewhere", func() bool {
			if session.View().State == "reclaimed" {
				session.Attach()
			}
			work, ok := session.Progress()
			return ok && work == 1 && session.View().State == "active"
		})
	})
	wait.Wait()
}

// Sessions left open hold most of the machines when a burst of jobs arrives. How long these wait, with and without
// reclaim: a measurement.
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
				t.Fatalf("status %d", status)
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
				t.Fatalf("status %d", status)
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
		t.Logf("reclaim %v: %d jobs of 4 cores on 32, 24 of them held by notebooks: "+
			"time to start p50 %.1f s, p95 %.1f s",
			reclaim, len(waits), waits[len(waits)/2], waits[len(waits)*95/100])
		cluster.Close()
	}
}

// The command-line client opens, lists, attaches to, explains and closes a session, with the session's own token.
func TestSessionCommands(t *testing.T) {
	sim := newSessionSimulation(t, 14, 2)
	startCluster(t, sim, sessionPolicy)
	session := notebook(sim, 1, 1) // its spec is known to the workers
	raw, err := json.Marshal(session.Spec)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	file := filepath.Join(dir, "nb.json")
	writeFile(t, file, string(raw))
	run := func(want int, args ...string) string {
		t.Helper()
		return expectExit(t, want, slices.Concat([]string{"session"}, args, []string{"--server", sim.UserAddr(2)})...)
	}
	var opened struct {
		ID    string `json:"name_id"`
		Token string `json:"token"`
		Agent string `json:"agent_token"`
	}
	err = json.Unmarshal([]byte(run(0, "open", file, "--user", "mio", "-o", "json")), &opened)
	if err != nil || opened.Token == "" || opened.Token == opened.Agent {
		t.Fatalf("%+v, %v", opened, err)
	}
	token := filepath.Join(dir, "token")
	for name, text := range map[string]string{token: opened.Token, token + "2": opened.Agent} {
		writeFile(t, name, text+"\n")
	}
	if out := run(0, "list", "--user", "mio"); !strings.Contains(out, opened.ID) {
		t.Fatal(out)
	}
	if out := run(0, "list", "--user", "ren"); strings.Contains(out, opened.ID) {
		t.Fatal(out)
	}
	if out := run(0, "explain", opened.ID); !strings.Contains(out, "policy \"default\"") {
		t.Fatal(out)
	}
	run(0, "attach", opened.ID, "--session-token-file", token)
	run(3, "attach", opened.ID, "--session-token-file", token+"2")
	run(3, "close", opened.ID, "--session-token-file", token+"2")
	run(2, "close", opened.ID)
	run(2, "explain", "req-000099")
	run(3, "open", file, "--user", "mio")
	if out := run(0, "close", opened.ID, "--session-token-file", token); !strings.Contains(out, "closed") {
		t.Fatal(out)
	}
	sim.ConfirmCancelled(opened.ID)
}
