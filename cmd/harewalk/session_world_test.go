package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/capacity"
	"github.com/harewalk/harewalk/internal/config"
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
	return sim.InteractiveSession(&jobs.Spec{
		ID: fmt.Sprintf("req-%06d", n), Class: "notebook", Team: "red", Kind: jobs.Service, Priority: "standard",
		Tasks: 1, CPUs: cpus, MemoryGB: 1, Image: "nb", ImageGB: 0.5, Spot: n%2 == 0, SaveS: 1, CheckpointS: 1,
	}, "kana")
}

func sessionWorld(t *testing.T, seed uint64, machines int) *simulator.Simulation {
	t.Helper()
	sim, err := simulator.NewRealTime(simulator.Config{
		Seed: seed, MaxMachines: machines, Teams: []config.Team{{Name: "red"}, {Name: "blue"}},
		Types: []capacity.MachineType{{Name: "c8", CPUs: 8, Mem: 64, CacheGB: 100, FetchGB: 10, Price: 4, Spot: 1.5, BootS: 0.5, Zones: []string{"a", "b"}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		sim.Close()
		for _, b := range sim.Violations() {
			t.Error(b)
		}
	})
	return sim
}

// until waits until something is so; the time is a bound for what hangs, no measurement.
func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(60 * time.Second); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: never", what)
		}
	}
}

func in(session *simulator.InteractiveSession, states ...string) func() bool {
	return func() bool { return slices.Contains(states, session.View().State) }
}

func usable(session *simulator.InteractiveSession) func() bool {
	return func() bool { _, ok := session.Progress(); return ok }
}

// Every controller is killed whenever a session comes to a state, for each state on the way: no
// cell is ended, no step is lost, and the user who returns has the session back with all of them.
func TestSessionsThroughKills(t *testing.T) {
	states := []string{"warned", "saving"}
	if long() {
		states = []string{"opening", "active", "quiet", "warned", "saving", "reclaimed"}
	}
	sim := sessionWorld(t, 11, 6)
	c := cluster(t, sim, sessionPolicy)
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
					c.Kill(k)
				}
				for k := range 3 {
					if err := c.Start(k); err != nil {
						t.Fatal(err)
					}
				}
			}
		}
		at("opening")
		until(t, kill+": usable", usable(session))
		steps := 0
		for range 5 {
			if session.Input() {
				steps++
			}
		}
		if kill == "saving" {
			session.SetSaveBehavior(false, time.Second) // so that there is time to be killed in
		}
		until(t, kill+": reclaimed", func() bool {
			state := session.View().State
			at(state)
			return state == "reclaimed"
		})
		at("reclaimed")
		until(t, kill+": stopped", func() bool { r, _ := session.Counts(); return r > 0 })
		status, v := session.Attach()
		if status != 200 {
			t.Fatalf("%s: attached with status %d", kill, status)
		}
		until(t, kill+": resumed", usable(session))
		work, _ := session.Progress()
		if work != steps || !killed {
			t.Fatalf("%s: %d of %d steps are back, killed %v, attached to %+v", kill, work, steps, killed, v)
		}
		if status := session.Close(); status != 200 {
			t.Fatalf("%s: closed with status %d", kill, status)
		}
	}
	t.Logf("%d sessions, %d controllers killed", len(states), c.Killed)
}

// The hard cases, each scripted, in one cluster at the same time.
func TestSessionsHardCases(t *testing.T) {
	sim := sessionWorld(t, 12, 8)
	cluster(t, sim, sessionPolicy)
	var wait sync.WaitGroup
	script := func(n int, name string, f func(t *testing.T, session *simulator.InteractiveSession)) {
		nb := notebook(sim, n, 1)
		if status := nb.Open(); status != 201 {
			t.Fatalf("%s: status %d", name, status)
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			t.Run(name, func(t *testing.T) {
				until(t, "used", nb.Input)
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
		until(t, "reclaimed after the cell", in(session, "reclaimed"))
	})
	script(2, "the user returns before the save", func(t *testing.T, session *simulator.InteractiveSession) {
		until(t, "warned", in(session, "warned"))
		if status, v := session.Attach(); status != 200 || v.State != "active" {
			t.Fatalf("status %d, %+v", status, v)
		}
		until(t, "usable", usable(session))
		if work, _ := session.Progress(); work != 1 {
			t.Fatalf("%d steps", work)
		}
	})
	script(3, "the user returns after the save was ordered", func(t *testing.T, session *simulator.InteractiveSession) {
		session.SetSaveBehavior(false, 1500*time.Millisecond)
		until(t, "saving", in(session, "saving"))
		if status, _ := session.Attach(); status != 200 {
			t.Fatalf("status %d", status)
		}
		until(t, "usable", usable(session))
		if work, _ := session.Progress(); work != 1 {
			t.Fatalf("%d steps", work)
		}
	})
	script(4, "the save fails", func(t *testing.T, session *simulator.InteractiveSession) {
		session.SetSaveBehavior(true, 0)
		until(t, "saving", in(session, "saving"))
		until(t, "quiet again", in(session, "quiet", "active"))
		if r, _ := session.Counts(); r > 0 {
			t.Fatal("reclaimed although its save failed")
		}
		session.SetSaveBehavior(false, 0)
		until(t, "reclaimed once saves work", in(session, "reclaimed"))
	})
	script(5, "the save takes too long", func(t *testing.T, session *simulator.InteractiveSession) {
		session.SetSaveBehavior(false, 30*time.Second)
		until(t, "saving", in(session, "saving"))
		until(t, "given up", in(session, "quiet", "active"))
		until(t, "usable", usable(session))
		if r, _ := session.Counts(); r > 0 {
			t.Fatal("reclaimed without its save")
		}
	})
	script(6, "two attaches at once, and a flood of keep-alives", func(t *testing.T, session *simulator.InteractiveSession) {
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
		until(t, "warned", in(session, "warned"))
		session.ReclaimMachine(4 * time.Second) // or it was stopped already
		until(t, "elsewhere", func() bool {
			if session.View().State == "reclaimed" {
				session.Attach()
			}
			work, ok := session.Progress()
			return ok && work == 1 && session.View().State == "active"
		})
	})
	wait.Wait()
}

// A Friday evening: notebooks left open hold most of the machines when rehearsal models come. How
// long those wait, with and without reclaim: a measurement.
func TestFridayEvening(t *testing.T) {
	if !long() {
		t.Skip("a measurement: set HAREWALK_LONG")
	}
	for _, reclaim := range []bool{false, true} {
		policy := sessionPolicy
		if !reclaim {
			policy = "sessions {\n policy \"default\" {\n idle = \"false\"\n wanted_s = -1\n }\n}\n"
		}
		sim := sessionWorld(t, 13, 4) // 32 cores
		c := cluster(t, sim, policy)
		for i := range 24 {
			session := notebook(sim, 1000+i, 1)
			if status := session.Open(); status != 201 {
				t.Fatalf("status %d", status)
			}
		}
		time.Sleep(6 * time.Second)
		users := sim.Users(13)
		var waits []float64
		for i := range 30 {
			spec := &jobs.Spec{
				ID: fmt.Sprintf("req-%06d", i+1), Class: "roster", Team: "blue", Kind: jobs.Gang, Priority: "standard", Tasks: 1,
				CPUs: 4, MemoryGB: 4, Image: "m", ImageGB: 1, EstimateS: 4,
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
		t.Logf("reclaim %v: %d jobs of 4 cores on 32, 24 of them held by notebooks: time to start p50 %.1f s, p95 %.1f s", reclaim, len(waits),
			waits[len(waits)/2], waits[len(waits)*95/100])
		c.Close()
	}
}

// A user opens, finds, attaches to and closes a session with the command-line client, and learns
// why it is or isn't reclaimed.
func TestSessionCommands(t *testing.T) {
	sim := sessionWorld(t, 14, 2)
	cluster(t, sim, sessionPolicy)
	session := notebook(sim, 1, 1) // its spec is known to the workers
	raw, err := json.Marshal(session.Spec)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	file := filepath.Join(dir, "nb.json")
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	run := func(want int, args ...string) string {
		t.Helper()
		out, code := command(t, append(append([]string{"session"}, args...), "--server", sim.UserAddr(2))...)
		if code != want {
			t.Fatalf("session %v: exit %d, want %d: %s", args, code, want, out)
		}
		return out
	}
	var opened struct {
		ID    string `json:"name_id"`
		Token string `json:"token"`
		Agent string `json:"agent_token"`
	}
	if err := json.Unmarshal([]byte(run(0, "open", file, "--user", "mio", "-o", "json")), &opened); err != nil || opened.Token == "" || opened.Token == opened.Agent {
		t.Fatalf("%+v, %v", opened, err)
	}
	token := filepath.Join(dir, "token")
	for name, text := range map[string]string{token: opened.Token, token + "2": opened.Agent} {
		if err := os.WriteFile(name, []byte(text+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
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
