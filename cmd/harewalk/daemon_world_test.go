package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/controller"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/simulator"
)

func plainJob(n, tasks int, estimate float64) *jobs.Spec {
	return &jobs.Spec{
		ID: fmt.Sprintf("req-%06d", n), Class: "c", Team: "red", Kind: jobs.Array, Priority: "standard", Tasks: tasks, CPUs: 1, MemoryGB: 1,
		Image: "i", ImageGB: 0.5, EstimateS: estimate, Spot: true,
	}
}

// drainWait is within what a drain may take.
const drainWait = 12 * time.Second

// Controllers are killed, drained and restarted at random moments while users submit, cancel and
// poll. Every accepted job gets exactly one final answer, which every controller gives, none goes back or
// is forgotten, and a drain always ends well.
func TestHistoryThroughKillsAndDrains(t *testing.T) {
	n, seed := 60, uint64(21)
	if long() {
		n = 600
	}
	sim, err := simulator.NewRealTime(simulator.Config{Seed: seed, MaxMachines: 10, Teams: []config.Team{{Name: "red"}, {Name: "blue"}}})
	if err != nil {
		t.Fatal(err)
	}
	defer sim.Close()
	c := cluster(t, sim, "")
	users := sim.Users(seed)
	stop := make(chan struct{})
	var playing, cancels sync.WaitGroup
	var drained atomic.Int32
	playing.Add(1)
	go func() {
		defer playing.Done()
		rng := rand.New(rand.NewPCG(seed, 9))
		for kind := 0; ; kind++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(500+rng.IntN(2500)) * time.Millisecond):
			}
			i := rng.IntN(3)
			switch kind % 3 {
			case 0:
				c.Kill(i)
			case 1: // killed while it drains
				c.Signal(i, syscall.SIGTERM, 0)
				time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
				c.Kill(i)
			default:
				if code := c.Signal(i, syscall.SIGTERM, drainWait); code != 0 {
					t.Errorf("a drain ended with exit code %d", code)
				}
				drained.Add(1)
			}
			time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond)
			if err := c.Start(i); err != nil {
				t.Error(err)
			}
		}
	}()
	rng := rand.New(rand.NewPCG(seed, 10))
	for i := range n {
		spec := plainJob(i+1, 1+rng.IntN(8), 0.3+rng.Float64())
		if status := users.Submit(spec); status != 200 && status != 201 {
			t.Fatalf("%s: status %d", spec.ID, status)
		}
		if rng.IntN(4) == 0 {
			cancels.Add(1)
			go func() {
				defer cancels.Done()
				time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond)
				users.Cancel(spec.ID)
			}()
		}
		time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
	}
	cancels.Wait()
	until(t, "each kind of end", func() bool { return drained.Load() > 0 })
	close(stop)
	playing.Wait()
	for i := range 3 {
		if err := c.Start(i); err != nil {
			t.Fatal(err)
		}
	}
	if err := users.Wait(3 * time.Minute); err != nil {
		t.Error(err)
	}
	users.Check()
	for _, b := range sim.Violations() {
		t.Error(b)
	}
	final, repeated := users.Results()
	if got := final["done"] + final["cancelled"]; got != n || final["done"] == 0 || final["cancelled"] == 0 {
		t.Errorf("%d jobs, final answers %v", n, final)
	}
	t.Logf("%d jobs: %v; %d requests repeated; %d killed, %d drained", n, final, repeated, c.Killed, drained.Load())
}

// The leader is drained while work flows: another leads without waiting for its hold to run out. How
// long nothing starts is logged beside the same for a leader that is killed.
func TestPlannedHandOver(t *testing.T) {
	sim, err := simulator.NewRealTime(simulator.Config{Seed: 22, MaxMachines: 8, Teams: []config.Team{{Name: "red"}, {Name: "blue"}}})
	if err != nil {
		t.Fatal(err)
	}
	defer sim.Close()
	c := cluster(t, sim, "")
	users := sim.Users(22)
	for i := range 6 {
		// More than can be done meanwhile: where work runs out, nothing starts for want of it.
		if status := users.Submit(plainJob(i+1, 20_000, 0.5)); status != 201 {
			t.Fatalf("status %d", status)
		}
	}
	rounds := 1
	if long() {
		rounds = 5
	}
	until(t, "work flows", func() bool { return sim.Stats().TaskStarts > 100 })
	var drained, killed []time.Duration
	for range rounds {
		for _, kill := range []bool{false, true} {
			leader, term := -1, uint64(0)
			until(t, "a leader", func() bool { leader, term = sim.Leader(); return leader >= 0 && c.Running(leader) })
			time.Sleep(3 * time.Second)
			from := sim.Now()
			if kill {
				c.Kill(leader)
			} else if code := c.Signal(leader, syscall.SIGTERM, drainWait); code != 0 {
				t.Fatalf("the leader's drain ended with exit code %d", code)
			}
			until(t, "another leads", func() bool { l, now := sim.Leader(); return l >= 0 && now > term })
			time.Sleep(4 * time.Second)
			if gap := sim.LongestStartGap(from, sim.Now()-time.Second); kill {
				killed = append(killed, gap)
			} else {
				drained = append(drained, gap)
			}
			if err := c.Start(leader); err != nil {
				t.Fatal(err)
			}
			if err := c.WaitReady(leader, 20*time.Second); err != nil {
				t.Fatal(err)
			}
		}
	}
	before := sim.Stats().TaskStarts
	until(t, "work still flows at the end", func() bool { return sim.Stats().TaskStarts > before })
	for i := range 6 {
		users.Cancel(fmt.Sprintf("req-%06d", i+1))
	}
	for _, b := range sim.Violations() {
		t.Error(b)
	}
	t.Logf("longest time without a start: leader drained %v, leader killed %v (hold's life 2 s)", drained, killed)
}

// The leader is drained while the state service answers nobody: its end comes within bounds all the
// same, and what was accepted goes on afterwards. A second signal ends a drain at once.
func TestDrainInAnOutage(t *testing.T) {
	sim, err := simulator.NewRealTime(simulator.Config{Seed: 23, MaxMachines: 4, Teams: []config.Team{{Name: "red"}, {Name: "blue"}}})
	if err != nil {
		t.Fatal(err)
	}
	defer sim.Close()
	c := cluster(t, sim, "")
	users := sim.Users(23)
	if status := users.Submit(plainJob(1, 40, 0.5)); status != 201 {
		t.Fatalf("status %d", status)
	}
	until(t, "work flows", func() bool { return sim.Stats().TaskStarts > 5 })
	leader, _ := sim.Leader()
	sim.SetStateOutage(true)
	if code := c.Signal(leader, syscall.SIGTERM, drainWait); code != 0 {
		t.Fatalf("exit code %d", code)
	}
	other := (leader + 1) % 3
	c.Signal(other, syscall.SIGTERM, 0)
	time.Sleep(200 * time.Millisecond)
	if code := c.Signal(other, syscall.SIGTERM, drainWait); code != 1 {
		t.Fatalf("exit code %d after a second signal", code)
	}
	sim.SetStateOutage(false)
	for _, i := range []int{leader, other} {
		if err := c.Start(i); err != nil {
			t.Fatal(err)
		}
	}
	if err := users.Wait(time.Minute); err != nil {
		t.Error(err)
	}
	users.Check()
	for _, b := range sim.Violations() {
		t.Error(b)
	}
}

// One command runs a whole cluster: the sample it prints is done, faults of a script are played, and
// it ends cleanly.
func TestDevCluster(t *testing.T) {
	script := filepath.Join(t.TempDir(), "faults")
	if err := os.WriteFile(script, []byte("100ms crash-task\n200ms outage 300ms\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	d := dev{
		machines: 6, controllers: 3, zones: []string{"a", "b"}, seed: 1, speed: 40, script: script, logs: "error",
		operator: filepath.Join("..", "..", "deploy", "licences.hcl"),
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var out, errs lockedBuffer
	ended := make(chan error, 1)
	go func() { ended <- d.run(ctx, &out, &errs) }()
	until(t, "welcome", func() bool { return strings.Contains(out.String(), "Ctrl-C ends it.") })
	server := strings.Fields(out.String()[strings.Index(out.String(), "controller 0"):])[2]
	if !strings.HasPrefix(server, "127.0.0.1:") {
		t.Fatalf("controller at %s", server)
	}
	raw, err := json.Marshal(sample)
	if err != nil {
		t.Fatal(err)
	}
	if status, body, _, err := once("POST", "http://"+server+"/v2/runs", raw); err != nil || status != 201 {
		t.Fatalf("status %d, %v: %s", status, err, body)
	}
	until(t, "the sample is done", func() bool {
		_, body, _, _ := once("GET", "http://"+server+"/v2/runs/req-000001", nil)
		return bytes.Contains(body, []byte(`"done","done":16`))
	})
	until(t, "faults are played", func() bool { return strings.Contains(errs.String(), "outage 300ms") })
	stop()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	for _, bad := range []dev{{machines: 0, controllers: 3, zones: []string{"a"}, speed: 1}, {machines: 1, controllers: 3, zones: []string{"a"}, speed: 0}, {machines: 1, zones: []string{"a"}, speed: 1}} {
		if err := bad.run(ctx, &out, &errs); err == nil || !strings.HasPrefix(err.Error(), "--") {
			t.Errorf("%+v: error %v names no flag", bad, err)
		}
	}
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// A user asks any controller why a job waits, and is told in plain words.
func TestWhyCommand(t *testing.T) {
	sim, err := simulator.NewRealTime(simulator.Config{Seed: 24, MaxMachines: 2, Teams: []config.Team{{Name: "red", CPUsMax: 4}, {Name: "blue"}}, LicencePools: map[string]int{"transcribe": 24, "optimise": 8}})
	if err != nil {
		t.Fatal(err)
	}
	defer sim.Close()
	cluster(t, sim, fmt.Sprintf(pools, sim.Licences.Addr))
	users := sim.Users(24)
	limited, large := plainJob(1, 10, 600), plainJob(2, 60, 600)
	large.Team = "blue"
	gang := plainJob(3, 4, 600)
	gang.Kind, gang.Team, gang.CPUs = jobs.Gang, "blue", 10
	seats := plainJob(4, 9, 600)
	seats.Licences, seats.Team, seats.Priority = map[string]int{"optimise": 2}, "blue", "prod"
	for _, spec := range []*jobs.Spec{seats, limited, large, gang} {
		if status := users.Submit(spec); status != 201 {
			t.Fatalf("status %d", status)
		}
	}
	for id, want := range map[string]string{
		"req-000001": "team red is at its limit", "req-000002": "in the lanes of what is there now", "req-000003": "a gang of 4 tasks needs as many places",
		"req-000004": "licence optimise: no seat is free",
	} {
		out, code := "", 0
		until(t, id+" is explained: "+want, func() bool {
			out, code = command(t, "job", "why", id, "--server", sim.UserAddr(1))
			return code == 0 && strings.Contains(out, want)
		})
	}
	if out, code := command(t, "job", "why", "req-000099", "--server", sim.UserAddr(2)); code != 2 || !strings.Contains(out, "no such job") {
		t.Fatalf("exit %d: %s", code, out)
	}
	if out, code := command(t, "job", "why", "req-000003", "-o", "json", "--server", sim.UserAddr(2)); code != 0 || !strings.Contains(out, `"why": "gang_short"`) {
		t.Fatalf("exit %d: %s", code, out)
	}
	if out, code := command(t, "job", "why", "req-000003", "-o", "yaml", "--server", sim.UserAddr(2)); code != 0 || !strings.Contains(out, "why: gang_short") {
		t.Fatalf("exit %d: %s", code, out)
	}
	if out, code := command(t, "job", "list", "-o", "xml", "--server", sim.UserAddr(2)); code != 2 || !strings.Contains(out, `"xml"`) {
		t.Fatalf("exit %d: %s", code, out)
	}
	if out, code := command(t, "job", "events", "req-000004", "--where", "event = task_running and task < 4", "--server", sim.UserAddr(1)); code != 0 || strings.Count(out, "task_running") != 4 || !strings.Contains(out, "i-0000") {
		t.Fatalf("exit %d: %s", code, out)
	}
	list := func(want int, where string) string {
		t.Helper()
		out, code := command(t, "job", "list", "--where", where, "--server", sim.UserAddr(2))
		if code != want {
			t.Fatalf("%s: exit %d: %s", where, code, out)
		}
		return out
	}
	if out := list(0, `team = blue and (waiting >= 4 or class ~ nothing) and not tasks = 60`); strings.Contains(out, "req-000001") || strings.Contains(out, "req-000002") || !strings.Contains(out, "req-000003") {
		t.Fatal(out)
	}
	if out := list(2, "team = blue and waitin > 3"); !strings.Contains(out, "column 17") || !strings.Contains(out, `no field "waitin"`) {
		t.Fatal(out)
	}
	for i := 1; i <= 4; i++ {
		users.Cancel(fmt.Sprintf("req-%06d", i))
	}
	if out, code := command(t, "job", "watch", "req-000001", "--server", sim.UserAddr(0)); code != 3 || !strings.Contains(out, "req-000001 cancelled") {
		t.Fatalf("exit %d: %s", code, out)
	}
	for _, b := range sim.Violations() {
		t.Error(b)
	}
}

// Figures are served on an address of their own, by every controller; only the leader tells of
// machines and seats.
func TestMetrics(t *testing.T) {
	sim, err := simulator.NewRealTime(simulator.Config{Seed: 25, MaxMachines: 2, LicencePools: map[string]int{"transcribe": 24, "optimise": 8}})
	if err != nil {
		t.Fatal(err)
	}
	defer sim.Close()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	_ = l.Close()
	file := filepath.Join(t.TempDir(), "o.hcl")
	if err := os.WriteFile(file, []byte(fmt.Sprintf("debug_addr = %q\n", addr)+fmt.Sprintf(pools, sim.Licences.Addr)), 0o600); err != nil {
		t.Fatal(err)
	}
	settings, err := config.Parse(sim.SettingsJSON(0))
	if err != nil {
		t.Fatal(err)
	}
	if err := settings.LoadOperator(file); err != nil {
		t.Fatal(err)
	}
	go func() { _ = controller.New(settings).Run() }()
	get := func(path string) string {
		r, err := http.Get("http://" + addr + path)
		if err != nil {
			return ""
		}
		defer func() { _ = r.Body.Close() }()
		raw, _ := io.ReadAll(r.Body)
		return string(raw)
	}
	for _, want := range []string{
		"harewalk_leading 1", `harewalk_licence_seats{pool="transcribe",what="count"} 24`, `harewalk_machines{condition="acting"}`,
		`harewalk_tasks{state="on machine"} 0`, "go_goroutines",
	} {
		until(t, want, func() bool { return strings.Contains(get("/metrics"), want) })
	}
	if !strings.Contains(get("/debug/pprof/"), "goroutine") {
		t.Error("no profiles")
	}
}

// Operators drain a controller and a machine, through any controller. Of two who drain the same last two
// controllers one is told that nobody would be left, or of the other's command; and what is undrained serves
// again.
func TestOperatorsDrain(t *testing.T) {
	sim, err := simulator.NewRealTime(simulator.Config{Seed: 26, MaxMachines: 4, Teams: []config.Team{{Name: "red"}, {Name: "blue"}}})
	if err != nil {
		t.Fatal(err)
	}
	defer sim.Close()
	c := cluster(t, sim, "")
	users := sim.Users(26)
	long := plainJob(1, 20, 600)
	long.CheckpointS, long.SaveS = 1, 0.2
	if status := users.Submit(long); status != 201 {
		t.Fatalf("status %d", status)
	}
	until(t, "all run", func() bool { return sim.Stats().TaskStarts >= 20 })
	admin := func(want int, args ...string) string {
		t.Helper()
		out, code := command(t, append(append([]string{"admin"}, args...), "--server", sim.UserAddr(0))...)
		if code != want {
			t.Fatalf("admin %v: exit %d, want %d: %s", args, code, want, out)
		}
		return out
	}
	status := func() (s controller.Status) {
		t.Helper()
		if err := json.Unmarshal([]byte(admin(0, "status", "-o", "json")), &s); err != nil {
			t.Fatal(err)
		}
		return s
	}
	until(t, "all controllers are heard", func() bool {
		for _, n := range status().Nodes {
			if !n.Alive {
				return false
			}
		}
		return true
	})
	was := status()
	machine := sim.BusiestMachine()
	admin(0, "drain", "machine", machine, "--stop", "--revision", fmt.Sprint(was.Revision))
	if out := admin(3, "drain", "machine", machine, "--revision", fmt.Sprint(was.Revision)); !strings.Contains(out, "drain machine "+machine) {
		t.Fatalf("of two conflicting commands the second is told: %s", out)
	}
	until(t, "given back", func() bool { return sim.MachineReturned(machine) })
	until(t, "its tasks run elsewhere", func() bool {
		out, _ := command(t, "job", "why", long.ID, "-o", "json", "--server", sim.UserAddr(2))
		return strings.Contains(out, `"running": 20`)
	})
	leader, term := sim.Leader()
	admin(0, "drain", "node", fmt.Sprintf("node-%d", leader))
	until(t, "another leads", func() bool { l, now := sim.Leader(); return l >= 0 && l != leader && now > term })
	until(t, "out of service", func() bool {
		s, _, _, err := once("GET", "http://"+sim.UserAddr(leader)+"/up", nil)
		return err == nil && s == 503
	})
	second, _ := sim.Leader()
	third := 3 - leader - second
	var wait sync.WaitGroup
	var codes [2]int
	var outs [2]string
	for k, i := range []int{second, third} {
		wait.Add(1)
		go func() {
			defer wait.Done()
			outs[k], codes[k] = command(t, "admin", "drain", "node", fmt.Sprintf("node-%d", i), "--server", sim.UserAddr(third))
		}()
	}
	wait.Wait()
	if codes[0]+codes[1] != 3 || codes[0]*codes[1] != 0 || !(strings.Contains(outs[0]+outs[1], "nobody would be left") || strings.Contains(outs[0]+outs[1], "changed meanwhile")) {
		t.Fatalf("exit codes %v: %v", codes, outs)
	}
	until(t, "somebody leads", func() bool { l, _ := sim.Leader(); return l >= 0 && l != leader })
	for i := range 3 {
		admin(0, "undrain", "node", fmt.Sprintf("node-%d", i))
	}
	for i := range 3 {
		if err := c.WaitReady(i, 20*time.Second); err != nil {
			t.Fatal(err)
		}
	}
	admin(2, "drain", "node", "node-9")
	admin(2, "drain", "zone", "a")
	if code := c.Signal(leader, syscall.SIGTERM, drainWait); code != 0 {
		t.Fatalf("exit code %d of one that was drained before", code)
	}
	users.Cancel(long.ID)
	for _, b := range sim.Violations() {
		t.Error(b)
	}
}
