package fleet

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// newLoadedRig returns a rig under the load of a burst, and an encoded heartbeat of each machine. Every slot of the
// machines is in use, and the given number of arrays with perArray tasks each have been submitted.
func newLoadedRig(t testing.TB, machines, arrays, perArray int) (*rig, [][]byte) {
	t.Helper()
	g := newRigOf(t, 1, map[string]json.RawMessage{}, []config.Team{{Name: "t"}})
	running := map[string][]TaskReport{}
	for i := range machines {
		g.heartbeatOfType(fmt.Sprintf("i-%06d", i), "ty", false)
	}
	for i := range arrays {
		s := spec(i+1, perArray)
		s.EstimateS = 100
		g.submit(s)
	}
	for range 4 {
		g.settle(store.Committed)
		for i := range machines {
			g.startTasks(fmt.Sprintf("i-%06d", i), "ty", running)
		}
	}
	var heartbeats [][]byte
	for _, machine := range g.machines {
		heartbeat := Heartbeat{
			Machine: machine.Name,
			Addr:    machine.Addr,
			Type:    "ty",
			Zone:    "z",
			Session: 1,
			Token:   fenced,
			Tasks:   running[machine.Name],
		}
		encoded, err := json.Marshal(heartbeat.Wire())
		if err != nil {
			t.Fatal(err)
		}
		heartbeats = append(heartbeats, encoded)
	}
	return g, heartbeats
}

// respond parses a heartbeat and returns the response, as a connection and the event loop do. It doesn't call
// t.Helper, because benchmarks would measure that call.
func (g *rig) respond(encoded []byte) HeartbeatResponse {
	heartbeat, err := ParseHeartbeat(encoded)
	if err != nil {
		g.t.Fatal(err)
	}
	g.seq++
	heartbeat.Seq = g.seq
	response, outcome := g.HandleHeartbeat(g.now, heartbeat)
	if outcome != Accepted {
		g.t.Fatalf("heartbeat refused: %d", outcome)
	}
	return response
}

func BenchmarkHeartbeat(b *testing.B) {
	g, heartbeats := newLoadedRig(b, 700, 60, 120)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		g.respond(heartbeats[i%len(heartbeats)])
	}
}

// BenchmarkHeartbeatExchange measures the handling of a heartbeat from its encoded bytes to the encoded response.
func BenchmarkHeartbeatExchange(b *testing.B) {
	g, heartbeats := newLoadedRig(b, 700, 60, 120)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if _, err := json.Marshal(g.respond(heartbeats[i%len(heartbeats)]).Wire()); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkHeartbeatExchangeWithStops measures the same as BenchmarkHeartbeatExchange, with stop commands for all
// tasks of a heartbeat.
func BenchmarkHeartbeatExchangeWithStops(b *testing.B) {
	g, heartbeats := newLoadedRig(b, 700, 60, 120)
	var live []*jobs.Job
	g.Jobs.ForEachLive(func(job *jobs.Job) { live = append(live, job) })
	for _, job := range live {
		g.cancel(job)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		response := g.respond(heartbeats[i%len(heartbeats)])
		if len(response.Commands) == 0 {
			b.Fatal("the response has no commands, want stop commands")
		}
		if _, err := json.Marshal(response.Wire()); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkSchedulingCycle(b *testing.B) {
	g, _ := newLoadedRig(b, 700, 60, 120)
	b.ReportAllocs()
	for b.Loop() {
		g.now += 100 * time.Millisecond
		g.schedule(g.now)
	}
}

func BenchmarkDispatch(b *testing.B) {
	g, _ := newLoadedRig(b, 700, 60, 120)
	b.ReportAllocs()
	for b.Loop() {
		g.dispatch(g.now)
	}
}

func BenchmarkPlanWrite(b *testing.B) {
	g, _ := newLoadedRig(b, 700, 4, 2000)
	job := g.Jobs.Get("req-000001")
	b.ReportAllocs()
	for b.Loop() {
		job.EncodeSegment(job.Segments[0], 1, func(machineIndex int32) string { return g.machines[machineIndex].Name })
	}
}

func BenchmarkLoadPlans(b *testing.B) {
	g, _ := newLoadedRig(b, 700, 60, 120)
	b.ReportAllocs()
	for b.Loop() {
		next := newRig(b, 2, g.kv)
		if len(next.machines) == 0 {
			b.Fatal("no machine was loaded from the plans")
		}
	}
}

// The allocations for a heartbeat limit how many heartbeats a second a leader can handle. There are allocations for
// the names in the heartbeat and for its list of tasks, and only a few others.
func TestHeartbeatAllocationsAreBounded(t *testing.T) {
	g, heartbeats := newLoadedRig(t, 20, 4, 100)
	tasks := len(g.machines[0].Tasks)
	if tasks < 4 {
		t.Fatalf("%d tasks on a machine, want at least 4", tasks)
	}
	allocations := testing.AllocsPerRun(200, func() { g.respond(heartbeats[0]) })
	if limit := float64(12 + 2*tasks); allocations > limit {
		t.Fatalf("%v allocations for a heartbeat with %d tasks, want at most %v", allocations, tasks, limit)
	}
}

// A direct dispatch doesn't examine the queues of machines without room, regardless of how many tasks are queued
// there.
func TestDispatchSkipsFullMachines(t *testing.T) {
	g, _ := newLoadedRig(t, 40, 30, 100)
	queued := 0
	for _, job := range g.ranking.jobs {
		queued += job.TasksByState[jobs.Planned]
	}
	before := g.PlanningSteps
	g.dispatch(g.now)
	if steps := g.PlanningSteps - before; steps != 0 || queued < 1000 {
		t.Fatalf("%d planning steps for machines without room, want 0; %d queued tasks, want at least 1000", steps, queued)
	}
}

// The number of direct requests in flight is bounded. A task whose machine can't be prompted now stays planned, and is
// launched as soon as the bound allows.
func TestDirectRequestsAreBounded(t *testing.T) {
	g := newRigOf(t, 1, map[string]json.RawMessage{}, []config.Team{{Name: "t"}})
	g.MaxDirectRequests = 3
	for i := range 10 {
		g.heartbeatOfType(fmt.Sprintf("m%d", i), "ty", false)
	}
	job := g.submit(spec(1, 40))
	g.settle(store.Committed) // without authority to act: plans become durable, but no command is sent
	answered := 0
	for range 10 {
		g.now += 100 * time.Millisecond
		g.Tick(g.now, true)
		launched := job.TasksByState[jobs.Launched]
		if inFlight := len(g.directCallbacks) - answered; inFlight > 3 || launched != 4*len(g.sentDirect) {
			t.Fatalf("%d requests in flight, want at most 3; %d requests sent, which launched %d tasks, want 4 by each",
				inFlight, len(g.sentDirect), launched)
		}
		for ; answered < len(g.directCallbacks); answered++ {
			g.directCallbacks[answered](nil)
		}
	}
	if launched := job.TasksByState[jobs.Launched]; launched != 40 {
		t.Fatalf("%d tasks launched, want 40", launched)
	}
}
