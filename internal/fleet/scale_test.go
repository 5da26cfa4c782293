package fleet

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/planner"
	"github.com/harewalk/harewalk/internal/store"
)

// mixed is a rig whose machines are "cpu" with 8 cores or "gpu" with 12 and 2 accelerators,
// and whose teams "t" and "u" are guaranteed 8 accelerators each.
func mixed(t *testing.T) *rig {
	g := newRigOf(t, 1, map[string]json.RawMessage{}, []config.Team{{Name: "t", GPUs: 8}, {Name: "u", GPUs: 8}})
	g.Types = func(ix int32) *MachineType {
		if g.Jobs.Names.Types.Name(ix) == "gpu" {
			return &MachineType{Size: planner.Size{CPUs: 12, GPUs: 2, Mem: 96}, CacheGB: 100, FetchGB: 1}
		}
		return &MachineType{Size: planner.Size{CPUs: 8, Mem: 16}, CacheGB: 100, FetchGB: 1}
	}
	return g
}

// see delivers a fenced report of a machine of a type.
func (g *rig) see(name, typ string, spot bool, tasks ...TaskReport) []Command {
	g.seq++
	a, v := g.HandleHeartbeat(g.now, &Heartbeat{Machine: name, Addr: "x", Type: typ, Zone: "z", Spot: spot, Session: 1, Seq: g.seq, Token: fenced, Tasks: tasks})
	if v != Accepted {
		g.t.Fatalf("report refused: %d", v)
	}
	return a.Commands
}

// runAll lets a machine run whatever it is told to start.
func (g *rig) runAll(name, typ string, on map[string][]TaskReport) {
	for _, c := range starts(g.see(name, typ, false, on[name]...)) {
		on[name] = append(on[name], TaskReport{Task: c.Task, Attempt: c.Attempt, State: taskRunning})
	}
	g.see(name, typ, false, on[name]...)
}

// A pass looks at machines and jobs, not at every pair of them: with all lanes full and the
// whole backlog planned, four times the fleet and the jobs cost about four times the steps. The
// pass once took all of a controller's processor share at 700 machines.
func TestStepsOfAPassGrowWithTheFleet(t *testing.T) {
	steps := func(machines, arrays int) uint64 {
		g := mixed(t)
		on := map[string][]TaskReport{}
		for i := range machines {
			g.see(fmt.Sprintf("m%d", i), "cpu", false)
		}
		for i := range arrays {
			s := spec(i+1, 40)
			s.EstimateS = 100
			g.submit(s)
		}
		for range 4 {
			g.settle(store.Committed)
			for i := range machines {
				g.runAll(fmt.Sprintf("m%d", i), "cpu", on)
			}
		}
		waiting := 0
		for _, job := range g.ranking.jobs {
			if job.TasksByState[jobs.Unplanned] > 0 {
				t.Fatalf("%s has unplanned tasks", job.ID)
			}
			waiting += job.TasksByState[jobs.Planned]
		}
		if waiting == 0 {
			t.Fatal("nothing waits")
		}
		before := g.PlanningSteps
		g.now += time.Millisecond
		g.schedule(g.now)
		return g.PlanningSteps - before
	}
	few, many := steps(40, 20), steps(160, 80)
	if many > 8*few || many > 160*40 {
		t.Fatalf("%d steps for 40 machines and 20 jobs, %d for 160 and 80", few, many)
	}
}

func gang(n, tasks int, team string) *jobs.Spec {
	s := spec(n, tasks)
	s.Kind, s.Team, s.CPUs, s.GPUs, s.MemoryGB, s.EstimateS, s.SaveS = jobs.Gang, team, 10, 2, 70, 200, 1
	return s
}

// Tasks without accelerators leave the cores beside idle ones to work that waits for them,
// or a gang that needs most of a machine never gets one.
func TestCoresBesideIdleAcceleratorsAreKept(t *testing.T) {
	for _, waits := range []bool{false, true} {
		g := mixed(t)
		g.see("g1", "gpu", false)
		g.see("c1", "cpu", false)
		if waits {
			g.submit(gang(1, 2, "t")) // needs a second machine, which is not there
		}
		job := g.submit(spec(2, 30))
		g.settle(store.Committed)
		n := len(starts(g.see("g1", "gpu", false)))
		if waits != (n == 0) || len(starts(g.see("c1", "cpu", false))) == 0 {
			t.Fatalf("gang waits: %v, %d small tasks of %d started beside the accelerators", waits, n, job.TaskCount)
		}
	}
}

// A gang of several tasks within its team's guarantee has room made on as many machines as
// it has tasks, and waits for that instead of stopping more.
func TestGangOfSeveralPreempts(t *testing.T) {
	g := mixed(t)
	on := map[string][]TaskReport{}
	names := []string{"g1", "g2", "g3", "g4"}
	for _, n := range names {
		g.see(n, "gpu", false)
	}
	s := spec(1, 48)
	s.EstimateS, s.Team = 300, "u"
	g.submit(s)
	for range 4 {
		g.settle(store.Committed)
		for _, n := range names {
			g.runAll(n, "gpu", on)
		}
	}
	g.submit(gang(2, 2, "t"))
	stopped := map[string]bool{}
	for range 8 {
		g.settle(store.Committed)
		for _, n := range names {
			for _, c := range g.see(n, "gpu", false, on[n]...) {
				if c.Op == opStop {
					stopped[n] = true
				}
			}
		}
	}
	if len(stopped) != 2 {
		t.Fatalf("tasks were stopped on %v, want two machines", stopped)
	}
}

// Room is only made where a gang may use it: at most half of one that must be spread in a zone.
func TestPreemptionKeepsToZones(t *testing.T) {
	var options []preemptionOption
	for i, zone := range []int32{0, 0, 0, 1, 1} {
		options = append(options, preemptionOption{machine: &Machine{Index: int32(i), Zone: zone}, cost: float64(i)})
	}
	got := selectOptions(options, 4, 2)
	if len(got) != 4 || got[2].machine.Index != 3 {
		t.Fatalf("%d machines chosen", len(got))
	}
	if selectOptions(options[:3], 3, 2) != nil || len(selectOptions(options, 4, 0)) != 4 {
		t.Fatal("a zone's bound was not kept, or kept where there is none")
	}
}

// A gang's task that has its image is launched later than those that fetch, or it gives up
// waiting for them and the gang's start is lost.
func TestGangLaunchesWaitForFetches(t *testing.T) {
	g := mixed(t)
	g.see("g1", "gpu", false)
	g.see("g2", "gpu", false)
	spec := gang(1, 2, "t")
	spec.ImageGB = 40 // 40 s, twice what a task waits for its gang
	g.FindMachine("g1").touchImage(g.Jobs.Names.Images.Index(spec.Image), 40, 100)
	g.submit(spec)
	g.settle(store.Committed)
	at, on := map[string]time.Duration{}, map[string][]TaskReport{}
	began := g.now
	for range 45 {
		g.now += time.Second
		for _, n := range []string{"g1", "g2"} {
			for _, c := range starts(g.see(n, "gpu", false, on[n]...)) {
				on[n] = append(on[n], TaskReport{Task: c.Task, Attempt: c.Attempt, State: taskFetching})
				at[n] = g.now - began
			}
		}
	}
	if at["g2"] == 0 || at["g2"] > 2*time.Second || at["g1"] < 25*time.Second || at["g1"] > 40*time.Second {
		t.Fatalf("launched on %v", at)
	}
}

// A job that may use spot machines leaves the ordinary ones to a job that may not, even if it
// has to wait a little for that.
func TestSpotJobsYieldOrdinaryMachines(t *testing.T) {
	g := mixed(t)
	half := func(n int, estimate float64) *jobs.Job {
		s := spec(n, 2)
		s.CPUs, s.GPUs, s.MemoryGB, s.Spot, s.EstimateS = 6, 1, 40, true, estimate
		return g.submit(s)
	}
	g.see("spot", "gpu", true)
	half(1, 20)
	g.settle(store.Committed)
	if cs := starts(g.see("spot", "gpu", true)); len(cs) != 2 {
		t.Fatalf("started %v on the only machine", cs)
	}
	g.see("ordinary", "gpu", false)
	g.submit(gang(2, 4, "t")) // may not use spot, and keeps waiting
	job := half(3, 100)
	g.now += 100 * time.Millisecond
	g.Tick(g.now, false)
	for i := range job.Tasks {
		if m := job.Tasks[i].Machine; m == jobs.None || !g.machines[m].Spot {
			t.Fatalf("task %d is not planned on the spot machine", i)
		}
	}
}

// The order of the machines is made by counting; it must be that of a plain sort: spot machines
// first, then those with most tasks, then as they were heard of, and only those that act.
func TestPackedIsSorted(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	for range 200 {
		f := &Fleet{}
		var want []*Machine
		for i := range 1 + rng.IntN(60) {
			machine := &Machine{Index: int32(i), Spot: rng.IntN(2) == 0, Condition: Ready, Tasks: map[TaskRef]struct{}{}, Returning: rng.IntN(9) == 0}
			if rng.IntN(5) == 0 {
				machine.Condition = LeaseExpired
			}
			for k := range rng.IntN(9) {
				machine.Tasks[TaskRef{0, int32(k)}] = struct{}{}
			}
			f.machines = append(f.machines, machine)
			if machine.Condition == Ready && !machine.Returning {
				want = append(want, machine)
			}
		}
		slices.SortStableFunc(want, func(a, b *Machine) int {
			if a.Spot != b.Spot {
				return map[bool]int{true: -1, false: 1}[a.Spot]
			}
			return len(b.Tasks) - len(a.Tasks)
		})
		if got := f.packed(); !slices.Equal(got, want) {
			t.Fatalf("%d machines in another order than sorted", len(got))
		}
	}
}
