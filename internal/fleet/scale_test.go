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

// mixed is a rig whose machines are "cpu" with 8 cores or "gpu" with 12 cores and 2 accelerators, and whose teams
// "t" and "u" are guaranteed 8 accelerators each.
func mixed(t *testing.T) *rig {
	t.Helper()
	g := newRigOf(t, 1, map[string]json.RawMessage{}, []config.Team{{Name: "t", GPUs: 8}, {Name: "u", GPUs: 8}})
	g.Types = func(ix int32) *MachineType {
		if g.Jobs.Names.Types.Name(ix) == "gpu" {
			return &MachineType{Size: planner.Size{CPUs: 12, GPUs: 2, Mem: 96}, CacheGB: 100, FetchGB: 1}
		}
		return &MachineType{Size: planner.Size{CPUs: 8, Mem: 16}, CacheGB: 100, FetchGB: 1}
	}
	return g
}

// see delivers a heartbeat at the fencing token of a machine of a type, and returns the commands.
func (g *rig) see(name, typ string, spot bool, tasks ...TaskReport) []Command {
	g.t.Helper()
	g.seq++
	response, outcome := g.HandleHeartbeat(g.now, &Heartbeat{
		Machine: name,
		Addr:    "x",
		Type:    typ,
		Zone:    "z",
		Spot:    spot,
		Session: 1,
		Seq:     g.seq,
		Token:   fenced,
		Tasks:   tasks,
	})
	if outcome != Accepted {
		g.t.Fatalf("heartbeat refused: %d", outcome)
	}
	return response.Commands
}

// runAll lets a machine start all that its commands ask for, and report it. running holds the reports by machine.
func (g *rig) runAll(name, typ string, running map[string][]TaskReport) {
	g.t.Helper()
	for _, command := range starts(g.see(name, typ, false, running[name]...)) {
		report := TaskReport{Task: command.Task, Attempt: command.Attempt, State: taskRunning}
		running[name] = append(running[name], report)
	}
	g.see(name, typ, false, running[name]...)
}

// cycleSteps returns the planning steps of one scheduling cycle, with all slots full and the whole backlog planned.
func cycleSteps(t *testing.T, machines, arrays int) uint64 {
	t.Helper()
	g := mixed(t)
	running := map[string][]TaskReport{}
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
			g.runAll(fmt.Sprintf("m%d", i), "cpu", running)
		}
	}
	queued := 0
	for _, job := range g.ranking.jobs {
		if job.TasksByState[jobs.Unplanned] > 0 {
			t.Fatalf("%s has unplanned tasks", job.ID)
		}
		queued += job.TasksByState[jobs.Planned]
	}
	if queued == 0 {
		t.Fatal("nothing is queued")
	}
	before := g.PlanningSteps
	g.now += time.Millisecond
	g.schedule(g.now)
	return g.PlanningSteps - before
}

// A scheduling cycle looks at machines and jobs, not at every pair of them: four times the machines and jobs cost
// about four times the steps.
func TestStepsOfACycleGrowWithTheFleet(t *testing.T) {
	few := cycleSteps(t, 40, 20)
	many := cycleSteps(t, 160, 80)
	if many > 8*few || many > 160*40 {
		t.Fatalf("%d steps for 40 machines and 20 jobs, %d for 160 and 80", few, many)
	}
}

// gang is a gang whose tasks take most of a machine with accelerators each.
func gang(n, tasks int, team string) *jobs.Spec {
	s := spec(n, tasks)
	s.Kind = jobs.Gang
	s.Team = team
	s.CPUs = 10
	s.GPUs = 2
	s.MemoryGB = 70
	s.EstimateS = 200
	s.SaveS = 1
	return s
}

// Tasks without accelerators leave the cores beside idle accelerators to work that waits for those. Otherwise a
// gang that needs most of a machine would never get one.
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
		besideGPUs := len(starts(g.see("g1", "gpu", false)))
		elsewhere := len(starts(g.see("c1", "cpu", false)))
		if waits != (besideGPUs == 0) || elsewhere == 0 {
			t.Fatalf("gang waits: %v, %d small tasks of %d started beside the accelerators",
				waits, besideGPUs, job.TaskCount)
		}
	}
}

// A gang of several tasks within its team's guarantee preempts on as many machines as it has tasks, and waits for
// that room instead of stopping more.
func TestGangOfSeveralPreempts(t *testing.T) {
	g := mixed(t)
	running := map[string][]TaskReport{}
	names := []string{"g1", "g2", "g3", "g4"}
	for _, name := range names {
		g.see(name, "gpu", false)
	}
	s := spec(1, 48)
	s.EstimateS, s.Team = 300, "u"
	g.submit(s)
	for range 4 {
		g.settle(store.Committed)
		for _, name := range names {
			g.runAll(name, "gpu", running)
		}
	}
	g.submit(gang(2, 2, "t"))
	stopped := map[string]bool{}
	for range 8 {
		g.settle(store.Committed)
		for _, name := range names {
			for _, command := range g.see(name, "gpu", false, running[name]...) {
				if command.Op == opStop {
					stopped[name] = true
				}
			}
		}
	}
	if len(stopped) != 2 {
		t.Fatalf("tasks were stopped on %v, want two machines", stopped)
	}
}

// Room is only made where a gang may use it: for no more tasks in a zone than its limit allows.
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

// A gang's task whose machine has the image is launched later than those that fetch it. Otherwise it would give up
// waiting for them, and the gang's start would be lost.
func TestGangLaunchesWaitForFetches(t *testing.T) {
	g := mixed(t)
	g.see("g1", "gpu", false)
	g.see("g2", "gpu", false)
	s := gang(1, 2, "t")
	s.ImageGB = 40 // 40 s, twice the time for which a task waits for its gang
	g.FindMachine("g1").touchImage(g.Jobs.Names.Images.Index(s.Image), 40, 100)
	g.submit(s)
	g.settle(store.Committed)
	launchedAfter := map[string]time.Duration{}
	reports := map[string][]TaskReport{}
	submittedAt := g.now
	for range 45 {
		g.now += time.Second
		for _, name := range []string{"g1", "g2"} {
			for _, command := range starts(g.see(name, "gpu", false, reports[name]...)) {
				report := TaskReport{Task: command.Task, Attempt: command.Attempt, State: taskFetching}
				reports[name] = append(reports[name], report)
				launchedAfter[name] = g.now - submittedAt
			}
		}
	}
	withImage := launchedAfter["g1"]
	fetching := launchedAfter["g2"]
	if fetching == 0 || fetching > 2*time.Second || withImage < 25*time.Second || withImage > 40*time.Second {
		t.Fatalf("launched after %v", launchedAfter)
	}
}

// A job that may use spot machines leaves the on-demand ones to a job that may not, even if it has to wait a little
// for that.
func TestSpotJobsLeaveOnDemandMachines(t *testing.T) {
	g := mixed(t)
	submitHalves := func(n int, estimate float64) *jobs.Job { // two tasks that take half a machine each
		s := spec(n, 2)
		s.CPUs = 6
		s.GPUs = 1
		s.MemoryGB = 40
		s.Spot = true
		s.EstimateS = estimate
		return g.submit(s)
	}
	g.see("spot", "gpu", true)
	submitHalves(1, 20)
	g.settle(store.Committed)
	if commands := starts(g.see("spot", "gpu", true)); len(commands) != 2 {
		t.Fatalf("started %v on the only machine", commands)
	}
	g.see("on-demand", "gpu", false)
	g.submit(gang(2, 4, "t")) // may not use spot, and keeps waiting
	job := submitHalves(3, 100)
	g.now += 100 * time.Millisecond
	g.Tick(g.now, false)
	for i := range job.Tasks {
		if machineIndex := job.Tasks[i].Machine; machineIndex == jobs.None || !g.machines[machineIndex].Spot {
			t.Fatalf("task %d is not planned on the spot machine", i)
		}
	}
}

// The packing order is made by counting. It is that of a plain sort: spot machines first, then those with the most
// tasks, then by index, and only those that take work.
func TestPackingOrderIsSorted(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	for range 200 {
		f := &Fleet{}
		var want []*Machine
		for i := range 1 + rng.IntN(60) {
			machine := &Machine{
				Index:     int32(i),
				Spot:      rng.IntN(2) == 0,
				Condition: Ready,
				Tasks:     map[TaskRef]struct{}{},
				Returning: rng.IntN(9) == 0,
			}
			if rng.IntN(5) == 0 {
				machine.Condition = LeaseExpired
			}
			for taskIndex := range rng.IntN(9) {
				machine.Tasks[TaskRef{0, int32(taskIndex)}] = struct{}{}
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
		if got := f.packingOrder(); !slices.Equal(got, want) {
			t.Fatalf("%d machines in another order than sorted", len(got))
		}
	}
}
