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

// loaded is a fleet as a leader has it in a burst: every lane of the machines is full, and
// arrays times perArray tasks are planned besides. It returns a report of each machine.
func loaded(t testing.TB, machines, arrays, perArray int) (*rig, [][]byte) {
	g := newRigOf(t, 1, map[string]json.RawMessage{}, []config.Team{{Name: "t"}})
	on := map[string][]TaskReport{}
	for i := range machines {
		g.see(fmt.Sprintf("i-%06d", i), "ty", false)
	}
	for i := range arrays {
		s := spec(i+1, perArray)
		s.EstimateS = 100
		g.submit(s)
	}
	for range 4 {
		g.settle(store.Committed)
		for i := range machines {
			g.runAll(fmt.Sprintf("i-%06d", i), "ty", on)
		}
	}
	var reports [][]byte
	for _, machine := range g.machines {
		raw, err := json.Marshal(Heartbeat{Machine: machine.Name, Addr: machine.Addr, Type: "ty", Zone: "z", Session: 1, Token: fenced, Tasks: on[machine.Name]})
		if err != nil {
			t.Fatal(err)
		}
		reports = append(reports, raw)
	}
	return g, reports
}

// answer reads and answers one report, as a connection and the event loop do.
func (g *rig) answer(raw []byte) HeartbeatResponse {
	heartbeat, err := ParseHeartbeat(raw)
	if err != nil {
		g.t.Fatal(err)
	}
	g.seq++
	heartbeat.Seq = g.seq
	a, v := g.HandleHeartbeat(g.now, heartbeat)
	if v != Accepted {
		g.t.Fatalf("report refused: %d", v)
	}
	return a
}

func BenchmarkReport(b *testing.B) {
	g, reports := loaded(b, 700, 60, 120)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		g.answer(reports[i%len(reports)])
	}
}

func BenchmarkPass(b *testing.B) {
	g, _ := loaded(b, 700, 60, 120)
	b.ReportAllocs()
	for b.Loop() {
		g.now += 100 * time.Millisecond
		g.schedule(g.now)
	}
}

func BenchmarkPush(b *testing.B) {
	g, _ := loaded(b, 700, 60, 120)
	b.ReportAllocs()
	for b.Loop() {
		g.dispatch(g.now)
	}
}

func BenchmarkPlanWrite(b *testing.B) {
	g, _ := loaded(b, 700, 4, 2000)
	job := g.Jobs.Get("req-000001")
	b.ReportAllocs()
	for b.Loop() {
		job.EncodeSegment(job.Segments[0], 1, func(m int32) string { return g.machines[m].Name })
	}
}

func BenchmarkLoadPlans(b *testing.B) {
	g, _ := loaded(b, 700, 60, 120)
	b.ReportAllocs()
	for b.Loop() {
		n := newRig(b, 2, g.kv)
		if len(n.machines) == 0 {
			b.Fatal("nothing was loaded")
		}
	}
}

// What a report costs in memory bounds how many a second the leader can take: the names in it
// and its list of tasks, little else. Maps made for each report once doubled it.
func TestAllocationsOfAReport(t *testing.T) {
	g, reports := loaded(t, 20, 4, 100)
	tasks := len(g.machines[0].Tasks)
	if tasks < 4 {
		t.Fatalf("%d tasks on a machine", tasks)
	}
	n := testing.AllocsPerRun(200, func() { g.answer(reports[0]) })
	if limit := float64(12 + 2*tasks); n > limit {
		t.Fatalf("%v allocations for a report of %d tasks, want at most %v", n, tasks, limit)
	}
}

// Machines without room cost a push no look at their lanes, however much waits there.
func TestPushPassesFullMachinesOver(t *testing.T) {
	g, _ := loaded(t, 40, 30, 100)
	waiting := 0
	for _, job := range g.ranking.jobs {
		waiting += job.TasksByState[jobs.Planned]
	}
	before := g.PlanningSteps
	if g.dispatch(g.now); g.PlanningSteps != before || waiting < 1000 {
		t.Fatalf("%d steps for machines without room, with %d tasks waiting", g.PlanningSteps-before, waiting)
	}
}

// What can't be sent now stays planned, and goes out when there is room: launches beyond the
// bound once counted as sent and came to nothing.
func TestDirectCommandsAreBounded(t *testing.T) {
	g := newRigOf(t, 1, map[string]json.RawMessage{}, []config.Team{{Name: "t"}})
	g.MaxDirectRequests = 3
	for i := range 10 {
		g.see(fmt.Sprintf("m%d", i), "ty", false)
	}
	job := g.submit(spec(1, 40))
	g.settle(store.Committed) // without authority: planned and durable, nothing sent
	answered := 0
	for range 10 {
		g.now += 100 * time.Millisecond
		g.Tick(g.now, true)
		if open := len(g.directCallbacks) - answered; open > 3 || job.TasksByState[jobs.Launched] != 4*len(g.sentDirect) {
			t.Fatalf("%d commands under way, %d sent, %d tasks launched", open, len(g.sentDirect), job.TasksByState[jobs.Launched])
		}
		for ; answered < len(g.directCallbacks); answered++ {
			g.directCallbacks[answered](nil, true)
		}
	}
	if job.TasksByState[jobs.Launched] != 40 {
		t.Fatalf("%d of 40 tasks launched", job.TasksByState[jobs.Launched])
	}
}
