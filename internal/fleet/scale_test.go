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

// newMixedRig returns a rig with two machine types: "cpu" with 8 cores, and "gpu" with 12 cores and 2 accelerators.
// The teams "t" and "u" are guaranteed 8 accelerators each.
func newMixedRig(t *testing.T) *rig {
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

// heartbeatOfType delivers a heartbeat of a machine of a type, at the current fencing token, and returns the commands
// of the response.
func (g *rig) heartbeatOfType(name, typ string, spot bool, tasks ...TaskReport) []Command {
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

// startTasks delivers a heartbeat of a machine, starts the tasks of its start commands, and reports them in another
// heartbeat. running holds the task reports by machine.
func (g *rig) startTasks(name, typ string, running map[string][]TaskReport) {
	g.t.Helper()
	for _, command := range starts(g.heartbeatOfType(name, typ, false, running[name]...)) {
		report := TaskReport{Task: command.Task, Attempt: command.Attempt, State: taskRunning}
		running[name] = append(running[name], report)
	}
	g.heartbeatOfType(name, typ, false, running[name]...)
}

// cycleSteps returns the number of planning steps of a scheduling cycle when all slots are full and all waiting tasks
// are planned.
func cycleSteps(t *testing.T, machines, arrays int) uint64 {
	t.Helper()
	g := newMixedRig(t)
	running := map[string][]TaskReport{}
	for i := range machines {
		g.heartbeatOfType(fmt.Sprintf("m%d", i), "cpu", false)
	}
	for i := range arrays {
		s := spec(i+1, 40)
		s.EstimateS = 100
		g.submit(s)
	}
	for range 4 {
		g.settle(store.Committed)
		for i := range machines {
			g.startTasks(fmt.Sprintf("m%d", i), "cpu", running)
		}
	}
	queued := 0
	for _, job := range g.ranking.jobs {
		if job.TasksByState[jobs.Unplanned] > 0 {
			t.Fatalf("job %s has unplanned tasks, want none", job.ID)
		}
		queued += job.TasksByState[jobs.Planned]
	}
	if queued == 0 {
		t.Fatal("0 queued tasks, want at least one")
	}
	before := g.PlanningSteps
	g.now += time.Millisecond
	g.schedule(g.now)
	return g.PlanningSteps - before
}

// A scheduling cycle examines machines and jobs, but not every pair of a machine and a job: four times the machines
// and jobs cost about four times the steps.
func TestCycleStepsGrowLinearlyWithFleet(t *testing.T) {
	few := cycleSteps(t, 40, 20)
	many := cycleSteps(t, 160, 80)
	if many > 8*few || many > 160*40 {
		t.Fatalf("%d steps for 40 machines and 20 jobs, %d for 160 and 80, want at most 8 times as many and at most 6400",
			few, many)
	}
}

// gangSpec returns the spec of a gang. Each of its tasks takes most of a "gpu" machine.
func gangSpec(n, tasks int, team string) *jobs.Spec {
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

// Cores beside idle accelerators are reserved while other work waits for accelerators, so tasks without accelerators
// don't use them. Otherwise a gang that needs most of a machine might never find one with enough room.
func TestCoresBesideIdleAcceleratorsAreReserved(t *testing.T) {
	for _, waits := range []bool{false, true} {
		g := newMixedRig(t)
		g.heartbeatOfType("g1", "gpu", false)
		g.heartbeatOfType("c1", "cpu", false)
		if waits {
			g.submit(gangSpec(1, 2, "t")) // needs a second "gpu" machine, which doesn't exist
		}
		job := g.submit(spec(2, 30))
		g.settle(store.Committed)
		besideGPUs := len(starts(g.heartbeatOfType("g1", "gpu", false)))
		elsewhere := len(starts(g.heartbeatOfType("c1", "cpu", false)))
		if waits != (besideGPUs == 0) || elsewhere == 0 {
			t.Fatalf("gang waits: %v; %d of %d small tasks started on g1, want 0 only if it waits, and some on c1",
				waits, besideGPUs, job.TaskCount)
		}
	}
}

// A gang of several tasks within its team's guarantee preempts tasks on as many machines as the gang has tasks. It
// then waits for this room and preempts no further tasks.
func TestGangPreemptsOneMachinePerTask(t *testing.T) {
	g := newMixedRig(t)
	running := map[string][]TaskReport{}
	names := []string{"g1", "g2", "g3", "g4"}
	for _, name := range names {
		g.heartbeatOfType(name, "gpu", false)
	}
	s := spec(1, 48)
	s.EstimateS, s.Team = 300, "u"
	g.submit(s)
	for range 4 {
		g.settle(store.Committed)
		for _, name := range names {
			g.startTasks(name, "gpu", running)
		}
	}
	g.submit(gangSpec(2, 2, "t"))
	stopped := map[string]bool{}
	for range 8 {
		g.settle(store.Committed)
		for _, name := range names {
			for _, command := range g.heartbeatOfType(name, "gpu", false, running[name]...) {
				if command.Op == opStop {
					stopped[name] = true
				}
			}
		}
	}
	if len(stopped) != 2 {
		t.Fatalf("tasks were stopped on the machines %v, want two machines", stopped)
	}
}

// Tasks are preempted only where a gang may use the room: for no more tasks in a zone than the gang's zone limit.
func TestPreemptionOptionsRespectZoneLimit(t *testing.T) {
	var options []preemptionOption
	for i, zone := range []int32{0, 0, 0, 1, 1} {
		options = append(options, preemptionOption{machine: &Machine{Index: int32(i), Zone: zone}, cost: float64(i)})
	}
	got := selectOptions(options, 4, 2)
	if len(got) != 4 || got[2].machine.Index != 3 {
		t.Fatalf("%d options selected, want 4 with machine 3 as the third", len(got))
	}
	if selectOptions(options[:3], 3, 2) != nil || len(selectOptions(options, 4, 0)) != 4 {
		t.Fatal("three options of one zone were selected at a limit of 2, or fewer than four without a limit")
	}
}

// A task of a gang whose machine has the image is launched later than the tasks that must fetch it. Otherwise it would
// reach the time limit for the wait for its gang, and the start of the gang would fail.
func TestGangLaunchesWaitForFetches(t *testing.T) {
	g := newMixedRig(t)
	g.heartbeatOfType("g1", "gpu", false)
	g.heartbeatOfType("g2", "gpu", false)
	s := gangSpec(1, 2, "t")
	s.ImageGB = 40 // 40 s to fetch, twice the time for which a task waits for its gang
	g.FindMachine("g1").touchImage(g.Jobs.Names.Images.Index(s.Image), 40, 100)
	g.submit(s)
	g.settle(store.Committed)
	launchedAfter := map[string]time.Duration{}
	reports := map[string][]TaskReport{}
	submittedAt := g.now
	for range 45 {
		g.now += time.Second
		for _, name := range []string{"g1", "g2"} {
			for _, command := range starts(g.heartbeatOfType(name, "gpu", false, reports[name]...)) {
				report := TaskReport{Task: command.Task, Attempt: command.Attempt, State: taskFetching}
				reports[name] = append(reports[name], report)
				launchedAfter[name] = g.now - submittedAt
			}
		}
	}
	withImage := launchedAfter["g1"]
	fetching := launchedAfter["g2"]
	if fetching == 0 || fetching > 2*time.Second || withImage < 25*time.Second || withImage > 40*time.Second {
		t.Fatalf("time to launch by machine: %v, want up to 2 s on g2, which fetches, and 25 s to 40 s on g1", launchedAfter)
	}
}

// A job that may use spot machines is planned there, even if it has to wait a little, and leaves on-demand machines to
// a job that may not use spot machines.
func TestSpotJobsPreferSpotMachines(t *testing.T) {
	g := newMixedRig(t)
	submitHalves := func(n int, estimate float64) *jobs.Job { // two tasks, each of which takes half a machine
		s := spec(n, 2)
		s.CPUs = 6
		s.GPUs = 1
		s.MemoryGB = 40
		s.Spot = true
		s.EstimateS = estimate
		return g.submit(s)
	}
	g.heartbeatOfType("spot", "gpu", true)
	submitHalves(1, 20)
	g.settle(store.Committed)
	if commands := starts(g.heartbeatOfType("spot", "gpu", true)); len(commands) != 2 {
		t.Fatalf("start commands %v on the only machine, want two", commands)
	}
	g.heartbeatOfType("on-demand", "gpu", false)
	g.submit(gangSpec(2, 4, "t")) // may not use spot machines, and needs more machines than there are
	job := submitHalves(3, 100)
	g.now += 100 * time.Millisecond
	g.Tick(g.now, false)
	for i := range job.Tasks {
		if machineIndex := job.Tasks[i].Machine; machineIndex == jobs.None || !g.machines[machineIndex].Spot {
			t.Fatalf("task %d is not planned on the spot machine", i)
		}
	}
}

// The packing order is computed with a counting sort. It equals the result of a comparison sort of the machines that
// take work: spot machines first, then by descending number of tasks, then by index.
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
			t.Fatalf("the order of %d machines differs from that of a stable sort", len(got))
		}
	}
}
