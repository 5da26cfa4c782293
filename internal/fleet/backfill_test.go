package fleet

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/licences"
	"github.com/harewalk/harewalk/internal/planner"
	"github.com/harewalk/harewalk/internal/store"
)

// preferredMachineCase is a scenario with two machines: a busy one, which a job prefers and which never becomes free,
// and a free one.
type preferredMachineCase struct {
	name       string
	kind       jobs.Kind
	imageGB    float64 // image size; machines fetch 1 GB a second
	busyIsSpot bool    // the busy machine is a spot machine, and other jobs need the free on-demand machine
}

// preferredMachineRun is one run of a scenario on its own rig.
type preferredMachineRun struct {
	*rig
	preferredMachineCase
	running map[string][]TaskReport // running tasks by machine
}

func newPreferredMachineRun(t *testing.T, scenario preferredMachineCase) *preferredMachineRun {
	t.Helper()
	return &preferredMachineRun{rig: newMixedRig(t), preferredMachineCase: scenario, running: map[string][]TaskReport{}}
}

// heartbeat delivers a heartbeat of a machine, starts the tasks of its start commands, and reports them in another
// heartbeat.
func (r *preferredMachineRun) heartbeat(machine string) {
	r.t.Helper()
	spot := machine == "busy" && r.busyIsSpot
	for _, command := range starts(r.heartbeatOfType(machine, "cpu", spot, r.running[machine]...)) {
		report := TaskReport{Task: command.Task, Attempt: command.Attempt, State: taskRunning}
		r.running[machine] = append(r.running[machine], report)
	}
	r.heartbeatOfType(machine, "cpu", spot, r.running[machine]...)
}

// settleMachine alternates ticks, writes and heartbeats of a machine until its queued tasks have started.
func (r *preferredMachineRun) settleMachine(machine string) {
	r.t.Helper()
	for range 3 {
		r.settleFor(3, store.Committed)
		r.heartbeat(machine)
	}
}

// submitNow submits a job at the current time. By default the job takes a whole machine and may use spot machines;
// change modifies its spec.
func (r *preferredMachineRun) submitNow(n int, change func(*jobs.Spec)) *jobs.Job {
	s := spec(n, 1)
	s.CPUs = 8
	s.ImageGB = r.imageGB
	s.EstimateS = 300
	s.Spot = true
	change(s)
	job := r.submit(s)
	job.SubmittedAt = r.now
	return job
}

// measureWait returns how long a job waits for its start, up to about 80 s. If starves is false, the time for which
// the job has waited beside free room is reset in each step, so that the job never counts as starving.
func (r *preferredMachineRun) measureWait(starves bool) time.Duration {
	r.t.Helper()
	const limit = 80 * time.Second
	r.heartbeat("busy")
	r.submitNow(1, func(s *jobs.Spec) { s.EstimateS = 1 }) // this task runs far longer than its estimate
	r.settleMachine("busy")
	r.heartbeat("free")
	if r.busyIsSpot { // a job that needs on-demand machines
		r.submitNow(2, func(s *jobs.Spec) { s.Spot, s.CPUs = false, 1 })
	}
	r.settleMachine("free")
	job := r.submitNow(3, func(s *jobs.Spec) { s.Kind, s.CPUs = r.kind, 7 })
	submittedAt := r.now
	for r.now-submittedAt < limit && job.TasksOnMachines() == 0 {
		r.now += 700 * time.Millisecond
		if !starves {
			job.StartableSince = 0
		}
		r.settleFor(3, store.Committed)
		r.heartbeat("busy")
		r.heartbeat("free")
	}
	if len(r.running["busy"]) != 1 {
		r.t.Fatalf("tasks on the busy machine: %v, want one", r.running["busy"])
	}
	return r.now - submittedAt
}

// One machine is free. Another machine is preferred, because it has the job's image or because other jobs need the
// free on-demand machine, but it runs a task that never ends. The job waits for the preferred machine for a bounded
// time. Without the bound it would wait forever.
func TestWaitForPreferredMachineIsBounded(t *testing.T) {
	for _, scenario := range []preferredMachineCase{
		{name: "array, image", kind: jobs.Array, imageGB: 90},
		{name: "gang, image", kind: jobs.Gang, imageGB: 90},
		{name: "array, on-demand machine", kind: jobs.Array, imageGB: 1, busyIsSpot: true},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			bounded := newPreferredMachineRun(t, scenario).measureWait(true)
			unbounded := newPreferredMachineRun(t, scenario).measureWait(false)
			t.Logf("wait with the bound: %v, without: %v", bounded, unbounded)
			if bounded > 60*time.Second {
				t.Errorf("the job waited %v beside free room, want at most 60 s", bounded)
			}
			if unbounded < 80*time.Second {
				t.Errorf("the job waited %v without the bound, want at least 80 s, or the scenario is ineffective", unbounded)
			}
		})
	}
}

// A starving job's task in reserved room must leave the room beside the reservation as it was, and its end must free the
// reserved room again.
func TestTaskInReservedRoomCountsAgainstTheReservation(t *testing.T) {
	g := newRigOf(t, 1, map[string]json.RawMessage{}, []config.Team{{Name: "t"}})
	g.heartbeat("m", 1, fenced)
	machine := g.machines[0]
	wide := spec(1, 8)
	wide.CPUs = 2
	sweep := g.submit(wide)
	small := spec(2, 1)
	small.Priority = "best_effort"
	small.CPUs = 2
	waiting := g.submit(small)
	g.RankJobs(g.now)
	machine.reserved = planner.Size{CPUs: 3, Mem: 3}
	machine.reservedRank = -1
	before := machine.Free().Sub(g.reservedFrom(machine, sweep))
	g.now += starvingAfter + time.Minute
	waiting.StartableSince = time.Second
	waiting.Tasks[0].Machine = machine.Index
	g.checkTransition(waiting.SetTaskState(0, jobs.Planned))
	g.launch(g.now, machine, waiting, 0, 7)
	if after := machine.Free().Sub(g.reservedFrom(machine, sweep)); after != before {
		t.Errorf("got room %v beside the reservation after the launch, want %v as before", after, before)
	}
	g.checkTransition(waiting.SetTaskState(0, jobs.OnMachine))
	sweep.Priority = waiting.Priority + 1
	if refs, _, ok := g.victims(g.now, machine, sweep); ok || len(refs) > 0 {
		t.Errorf("got victims %v for a job that may not use the reserved room, want none", refs)
	}
	g.release(g.now, waiting, 0, jobs.Unplanned, licences.CleanExit)
	if room := machine.Free().Sub(g.reservedFrom(machine, sweep)); room != before || machine.borrowed != (planner.Size{}) {
		t.Errorf("got room %v, borrowed %v after the end, want %v, none", room, machine.borrowed, before)
	}
}

// A start that is undone before its task runs must not reset the time for which its job has waited beside room.
func TestUndoneStartDoesNotResetTheWait(t *testing.T) {
	g := newRig(t, 1, map[string]json.RawMessage{})
	g.heartbeat("m", 1, fenced)
	job := g.submit(spec(1, 1))
	g.settle(store.Committed)
	job.StartableSince = time.Millisecond
	commands := starts(g.heartbeat("m", 1, fenced))
	if len(commands) != 1 {
		t.Fatalf("got starts %v, want 1", commands)
	}
	g.settle(store.Committed)
	if job.StartableSince != time.Millisecond {
		t.Errorf("launched, not running: got a wait since %v, want it unchanged", job.StartableSince)
	}
	running := TaskReport{Task: commands[0].Task, Attempt: commands[0].Attempt, State: taskRunning}
	g.heartbeat("m", 1, fenced, running)
	g.settle(store.Committed)
	if job.StartableSince != 0 {
		t.Errorf("running: got a wait since %v, want none", job.StartableSince)
	}
}

// Places in one zone beyond the limit of a job that must be spread over zones, and places in several zones for a job that
// must stay in one, don't count as room.
func TestRoomIsCountedByZone(t *testing.T) {
	for _, test := range []struct {
		name            string
		spread, oneZone bool
		places          map[int32]int
		want            int
	}{
		{"any zone", false, false, map[int32]int{0: 5, 1: 1}, 6},
		{"one zone", false, true, map[int32]int{0: 2, 1: 3}, 3},
		{"spread, one zone has room", true, false, map[int32]int{0: 9}, 2},
		{"spread, two zones have room", true, false, map[int32]int{0: 9, 1: 1}, 3},
	} {
		job := &jobs.Job{Spec: &jobs.Spec{Tasks: 4, Spread: test.spread, OneZone: test.oneZone}}
		if got := placesFor(job, test.places); got != test.want {
			t.Errorf("%s: got %d places, want %d", test.name, got, test.want)
		}
	}
}
