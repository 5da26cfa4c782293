package fleet

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/licences"
	"github.com/harewalk/harewalk/internal/store"
)

func newLicenceRig(t testing.TB, term uint64, kv map[string]json.RawMessage, pools ...*licences.Pool) *rig {
	return newRigOf(t, term, kv, []config.Team{{Name: "t"}, {Name: "u"}}, pools...)
}

func specWithLicences(n, tasks int, of map[string]int) *jobs.Spec {
	s := spec(n, tasks)
	s.Licences = of
	return s
}

func (g *rig) freeUnits(pool int32) int {
	return g.Gate.Licences.Show(g.now, pool, func(int32) string { return "" }).Free
}

func taskReport(job *jobs.Job, t int, attempt uint64, state, why string) TaskReport {
	return TaskReport{Task: taskName(job, int32(t)), Attempt: attempt, State: state, Why: why}
}

// What waits for a seat is neither planned nor rented for, and doesn't keep work that needs
// none from starting; a raised count is used at the next pass.
func TestOnlyWhatHasASeatIsPlanned(t *testing.T) {
	pool := &licences.Pool{Name: "p", Count: 2}
	g := newLicenceRig(t, 1, map[string]json.RawMessage{}, pool)
	for i := range 3 {
		g.hear(fmt.Sprintf("m%d", i), 1, fenced)
	}
	job := g.submit(specWithLicences(1, 6, map[string]int{"p": 1}))
	other := g.submit(spec(2, 4))
	g.settle(store.Committed)
	if job.TasksByState[jobs.Planned] != 2 || other.TasksByState[jobs.Planned] != 4 {
		t.Fatalf("%d planned with two seats, %d without", job.TasksByState[jobs.Planned], other.TasksByState[jobs.Planned])
	}
	if d := g.Demand(g.now); len(d) != 2 || d[0].Tasks != 2 || d[1].Tasks != 4 {
		t.Fatalf("demand %+v", d)
	}
	n := 0
	for i := range 3 {
		n += len(starts(g.hear(fmt.Sprintf("m%d", i), 1, fenced)))
	}
	g.settle(store.Committed)
	if why, pool := g.LicenceDenial(job); n != 6 || g.freeUnits(0) != 0 || why != licences.NoSeat || pool != 0 || len(g.Demand(g.now)) != 0 {
		t.Fatalf("%d starts, %d seats free, denied %q in %d", n, g.freeUnits(0), why, pool)
	}
	pool.Count = 5
	g.settle(store.Committed)
	if job.TasksByState[jobs.Planned] != 3 {
		t.Fatalf("%d planned with three more seats", job.TasksByState[jobs.Planned])
	}
}

// A leader ends between the durable plan and the launch. The next one counts the seat until a
// fenced report says that the task is not there; then somebody else may have it.
func TestTakeoverBetweenBookingAndLaunch(t *testing.T) {
	kv := map[string]json.RawMessage{}
	g := newLicenceRig(t, 1, kv, &licences.Pool{Name: "p", Count: 1})
	g.hear("m", 1, fenced)
	g.submit(specWithLicences(1, 1, map[string]int{"p": 1}))
	g.settle(store.Committed)

	n := newLicenceRig(t, 2, kv, &licences.Pool{Name: "p", Count: 1})
	n.hear("spare", 1, 2*fenced)
	j2 := n.submit(specWithLicences(2, 1, map[string]int{"p": 1}))
	n.settle(store.Committed)
	if n.freeUnits(0) != 0 || j2.TasksByState[jobs.Planned] != 0 {
		t.Fatalf("%d free, %d planned, while the first may run", n.freeUnits(0), j2.TasksByState[jobs.Planned])
	}
	if cs := starts(n.hear("m", 1, 2*fenced)); len(cs) != 1 || n.freeUnits(0) != 0 {
		t.Fatalf("started %v, want the planned task, with the only seat", cs)
	}
}

// Seats of an earlier term that nobody remembers may linger where no server can be asked: for
// that long a new leader gives none out.
func TestTakeoverWaitsForUnknownLingers(t *testing.T) {
	n := newLicenceRig(t, 2, map[string]json.RawMessage{}, &licences.Pool{Name: "p", Count: 1, Linger: 8 * time.Second})
	n.hear("m", 1, 2*fenced)
	job := n.submit(specWithLicences(1, 1, map[string]int{"p": 1}))
	n.settle(store.Committed)
	if job.TasksByState[jobs.Planned] != 0 {
		t.Fatal("a seat was given out that a crashed task of the term before may hold")
	}
	n.now = 8 * time.Second
	n.hear("m", 1, 2*fenced)
	n.settle(store.Committed)
	if job.TasksByState[jobs.Planned] != 1 {
		t.Fatal("no seat after the linger")
	}
}

// A task of the durable plan that its machine doesn't have may have run and crashed under the
// leader before: its seat may linger.
func TestRecoveredTaskMayHaveCrashed(t *testing.T) {
	kv := map[string]json.RawMessage{}
	pool := func() *licences.Pool { return &licences.Pool{Name: "p", Count: 1, Linger: 8 * time.Second} }
	g := newLicenceRig(t, 1, kv, pool())
	g.now = 8 * time.Second
	g.hear("m", 1, fenced)
	g.submit(specWithLicences(1, 1, map[string]int{"p": 1}))
	g.settle(store.Committed)

	n := newLicenceRig(t, 2, kv, pool())
	n.now = 9 * time.Second
	n.Tick(n.now, false)
	if cs := starts(n.hear("m", 1, 2*fenced)); len(cs) != 0 || n.freeUnits(0) != 0 {
		t.Fatalf("started %v, %d free", cs, n.freeUnits(0))
	}
	n.now = 18 * time.Second
	n.settle(store.Committed)
	if cs := starts(n.hear("m", 1, 2*fenced)); len(cs) != 1 {
		t.Fatalf("started %v after the linger", cs)
	}
}

// Who gets the next seat follows rank: what is planned and not started gives its place up.
func TestPlansYieldSeatsToHigherRanks(t *testing.T) {
	g := newLicenceRig(t, 1, map[string]json.RawMessage{}, &licences.Pool{Name: "p", Count: 2})
	g.hear("m", 1, fenced)
	low, high := specWithLicences(1, 2, map[string]int{"p": 1}), specWithLicences(2, 2, map[string]int{"p": 1})
	low.Priority, high.Priority = "best_effort", "prod"
	a := g.submit(low)
	g.settle(store.Committed)
	b := g.submit(high)
	was := a.TasksByState[jobs.Planned]
	g.settle(store.Committed)
	if was != 2 || a.TasksByState[jobs.Planned] != 0 || b.TasksByState[jobs.Planned] != 2 {
		t.Fatalf("planned %d, then %d beside %d of higher rank", was, a.TasksByState[jobs.Planned], b.TasksByState[jobs.Planned])
	}
}

// A direct launch that was never answered may land late: its seat is taken until a report
// carries a raised token.
func TestLateLaunchHoldsItsSeat(t *testing.T) {
	g := newLicenceRig(t, 1, map[string]json.RawMessage{}, &licences.Pool{Name: "p", Count: 1})
	g.hear("m", 1, fenced)
	job := g.submit(specWithLicences(1, 1, map[string]int{"p": 1}))
	g.settle(store.Committed)
	g.hearNothing()
	g.Tick(g.now, true)
	g.orders[0](nil, false)
	g.cancel(job)
	for _, token := range []uint64{fenced, fenced} {
		if g.hear("m", 1, token); g.freeUnits(0) != 0 {
			t.Fatal("the seat is free while the launch may land")
		}
	}
	if g.hear("m", 1, fenced+1); g.freeUnits(0) != 1 {
		t.Fatal("the seat is lost for good")
	}
}

// A machine hangs with a task that it was just sent, its lease runs out, and it comes back in a
// new session: the process of the old one crashed with its seat, so the same attempt is not
// sent again.
func TestLaunchOfALostSession(t *testing.T) {
	g := newLicenceRig(t, 1, map[string]json.RawMessage{}, &licences.Pool{Name: "p", Count: 1, Linger: 5 * time.Second})
	g.now = 6 * time.Second // past the lingers of an earlier term
	g.hear("m", 1, fenced)
	job := g.submit(specWithLicences(1, 1, map[string]int{"p": 1}))
	g.settle(store.Committed)
	cs := starts(g.hear("m", 1, fenced))
	if len(cs) != 1 || job.Tasks[0].State != jobs.Launched {
		t.Fatalf("commands %v", cs)
	}
	g.now += 21 * time.Second // its lease
	if again := starts(g.hear("m", 2, fenced)); len(again) != 0 || g.freeUnits(0) != 0 {
		t.Fatalf("sent %v again, %d seats free while the old process may hold one", again, g.freeUnits(0))
	}
	g.now += 6 * time.Second
	g.settle(store.Committed)
	again := starts(g.hear("m", 2, fenced))
	if len(again) != 1 || again[0].Attempt == cs[0].Attempt {
		t.Fatalf("commands %v after the linger, the first attempt was %d", again, cs[0].Attempt)
	}
}

// A gang is launched machine by machine, seconds apart where images differ: nobody takes the
// seats and the room under its team's limit that the later launches need.
func TestGangTakesAllItsSeatsAtOnce(t *testing.T) {
	g := newRigOf(t, 1, map[string]json.RawMessage{}, []config.Team{{Name: "t", CPUsMax: 6}}, &licences.Pool{Name: "p", Count: 3})
	g.hear("a", 1, fenced)
	g.hear("b", 1, fenced)
	spec := specWithLicences(1, 2, map[string]int{"p": 1})
	spec.Kind, spec.CPUs = jobs.Gang, 3
	job := g.submit(spec)
	g.settle(store.Committed)
	if cs := starts(g.hear(g.machines[job.Tasks[0].Machine].Name, 1, fenced)); len(cs) != 1 {
		t.Fatalf("commands %v, want the first of the gang", cs)
	}
	if used := g.Gate.Quota.Team(job.Team).Used.CPUs; used != 6 || g.freeUnits(0) != 1 {
		t.Fatalf("the team uses %v CPUs, %d seats are free: the second task is not booked", used, g.freeUnits(0))
	}
	if !g.Gate.Reserved(licenceRef(job, 1)) && !g.Gate.Reserved(licenceRef(job, 0)) {
		t.Fatal("nothing is booked")
	}
	if cs := starts(g.hear(g.machines[job.Tasks[1].Machine].Name, 1, fenced)); len(cs) != 1 || g.Gate.Quota.Team(job.Team).Used.CPUs != 6 {
		t.Fatalf("commands %v, want the second", cs)
	}
	// It ends before the other was reported: what is booked or held goes with it.
	g.cancel(job)
	for i := range job.Tasks {
		g.hear(g.machines[job.Tasks[i].Machine].Name, 1, fenced)
	}
	g.settle(store.Committed)
	if used := g.Gate.Quota.Team(job.Team).Used.CPUs; used != 0 || g.freeUnits(0) != 3 {
		t.Fatalf("the team uses %v CPUs, %d seats are free after its end", used, g.freeUnits(0))
	}
}

// Booked seats go back when the gang loses its plan before the launch.
func TestUnbookWhatWillNotStart(t *testing.T) {
	g := newLicenceRig(t, 1, map[string]json.RawMessage{}, &licences.Pool{Name: "p", Count: 2})
	g.hear("a", 1, fenced)
	g.hear("b", 1, fenced)
	spec := specWithLicences(1, 2, map[string]int{"p": 1})
	spec.Kind, spec.CPUs = jobs.Gang, 3
	job := g.submit(spec)
	g.settle(store.Committed)
	first, second := g.machines[job.Tasks[0].Machine], g.machines[job.Tasks[1].Machine]
	at := starts(g.hear(first.Name, 1, fenced))[0].Attempt
	g.HandleReturned(g.now, second, "gone")
	g.settle(store.Committed)
	if g.freeUnits(0) != 1 || g.Gate.Quota.Team(job.Team).Used.CPUs != 3 {
		t.Fatalf("%d free, the team uses %v", g.freeUnits(0), g.Gate.Quota.Team(job.Team).Used.CPUs)
	}
	g.hear(first.Name, 1, fenced, taskReport(job, 0, at, taskExited, "alone"))
	if g.freeUnits(0) != 2 {
		t.Fatalf("%d free", g.freeUnits(0))
	}
}

// startHolders starts n tasks, one for each seat, of jobs that can save or not.
func startHolders(t *testing.T, g *rig, n int) (*jobs.Job, map[string][]TaskReport) {
	on := map[string][]TaskReport{}
	for i := range n {
		g.hear(fmt.Sprintf("m%d", i), 1, fenced)
	}
	spec := specWithLicences(1, n, map[string]int{"p": 1})
	spec.CPUs, spec.EstimateS, spec.Priority = 4, 1000, "best_effort"
	job := g.submit(spec)
	g.settle(store.Committed)
	for i := range n {
		m := fmt.Sprintf("m%d", i)
		for _, c := range starts(g.hear(m, 1, fenced)) {
			on[m] = append(on[m], TaskReport{Task: c.Task, Attempt: c.Attempt, State: taskRunning})
		}
		g.now += time.Second // the later, the less there is to lose
		g.hear(m, 1, fenced, on[m]...)
	}
	if job.RunningTasks != n {
		t.Fatalf("%d of %d run", job.RunningTasks, n)
	}
	return job, on
}

func stoppingTasks(job *jobs.Job) (ts []int) {
	for t := range job.Tasks {
		if job.Tasks[t].Stopping {
			ts = append(ts, t)
		}
	}
	return ts
}

// The count falls below what is in use. Operators chose: nothing is stopped, or those with the
// least work to lose are, as many as it takes and no more.
func TestCountLoweredWhileTasksRun(t *testing.T) {
	pool := &licences.Pool{Name: "p", Count: 5, Lowering: licences.Wait}
	g := newLicenceRig(t, 1, map[string]json.RawMessage{}, pool)
	job, _ := startHolders(t, g, 5)
	pool.Count = 3
	g.settle(store.Committed)
	if hs := stoppingTasks(job); hs != nil {
		t.Fatalf("tasks %v are stopped, and the operators want to wait", hs)
	}
	pool.Lowering = licences.Stop
	g.settle(store.Committed)
	hs := stoppingTasks(job)
	if len(hs) != 2 {
		t.Fatalf("tasks %v are stopped, want two", hs)
	}
	for t2 := range job.Tasks {
		for _, h := range hs {
			if !job.Tasks[t2].Stopping && job.Tasks[t2].RunningSince > job.Tasks[h].RunningSince {
				t.Fatalf("task %d was stopped, and %d had less to lose", h, t2)
			}
		}
	}
}

// A job that may preempt others has a holder stopped when all seats are taken, after patience,
// once, and no more of them than it needs; so does one within its team's guaranteed seats.
func TestSeatsArePreempted(t *testing.T) {
	for _, guaranteed := range []bool{false, true} {
		pool := &licences.Pool{Name: "p", Count: 4, Teams: map[string]licences.Share{"u": {Guarantee: 2}}}
		g := newLicenceRig(t, 1, map[string]json.RawMessage{}, pool)
		job, on := startHolders(t, g, 4)
		g.hear("spare", 1, fenced)
		spec := specWithLicences(2, 2, map[string]int{"p": 1})
		spec.Kind, spec.Priority = jobs.Gang, "prod"
		if guaranteed {
			spec.Priority, spec.Team = "best_effort", "u"
		}
		deadline := 10.0
		spec.DeadlineS, spec.EstimateS = &deadline, 2
		raw := jobs.EncodeRecord(jobs.Pending, g.now.Milliseconds(), spec.Tasks, spec)
		g.learn(jobs.RecordKey(spec.ID), raw)
		g.settle(store.Committed)
		if hs := stoppingTasks(job); hs != nil && g.now < 4*time.Second+preemptionDelay {
			t.Fatalf("tasks %v are stopped at once", hs)
		}
		g.now += preemptionDelay
		g.settle(store.Committed)
		hs := stoppingTasks(job)
		if len(hs) != 2 {
			t.Fatalf("guaranteed %v: tasks %v are stopped, want two", guaranteed, hs)
		}
		for m, ts := range on {
			for i := range ts {
				if _, no := g.findTask(ts[i].Task); job.Tasks[no].Stopping {
					ts[i].State, ts[i].Why = taskExited, exitStopped
				}
			}
			g.hear(m, 1, fenced, ts...)
		}
		g.settle(store.Committed)
		if gang := g.Jobs.Get("req-000002"); gang.TasksByState[jobs.Planned]+gang.TasksOnMachines() != 2 || job.TasksByState[jobs.Planned] != 0 {
			t.Fatalf("guaranteed %v: the gang has %d planned, its victims %d", guaranteed, gang.TasksByState[jobs.Planned], job.TasksByState[jobs.Planned])
		}
	}
}

// BenchmarkSeats is a pass with 200 jobs that need licences, 20 of which hold seats.
func BenchmarkSeats(b *testing.B) {
	g := newLicenceRig(b, 1, map[string]json.RawMessage{}, &licences.Pool{Name: "p", Count: 400}, &licences.Pool{Name: "q", Count: 100})
	for i := range 200 {
		g.hear(fmt.Sprintf("m%03d", i), 1, fenced)
	}
	for i := range 200 {
		g.submit(specWithLicences(i+1, 50, map[string]int{"p": 1, "q": 1}))
	}
	g.settle(store.Committed)
	b.ReportAllocs()
	for b.Loop() {
		g.now += 100 * time.Millisecond
		g.schedule(g.now)
	}
}
