package fleet

import (
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// betterChoice is a scenario with a busy machine that a job prefers and that is never free, and a free one that has
// room.
type betterChoice struct {
	name       string
	kind       jobs.Kind
	imageGB    float64 // fetched at 1 GB a second
	busyIsSpot bool    // and the free machine is an on-demand one, which other jobs need
}

// betterChoiceRun is one run of a scenario.
type betterChoiceRun struct {
	*rig
	betterChoice
	running map[string][]TaskReport // by machine
}

func newBetterChoiceRun(t *testing.T, scenario betterChoice) *betterChoiceRun {
	t.Helper()
	return &betterChoiceRun{rig: mixed(t), betterChoice: scenario, running: map[string][]TaskReport{}}
}

// heartbeat lets a machine start what its commands ask for, and report it.
func (r *betterChoiceRun) heartbeat(machine string) {
	r.t.Helper()
	spot := machine == "busy" && r.busyIsSpot
	for _, command := range starts(r.see(machine, "cpu", spot, r.running[machine]...)) {
		report := TaskReport{Task: command.Task, Attempt: command.Attempt, State: taskRunning}
		r.running[machine] = append(r.running[machine], report)
	}
	r.see(machine, "cpu", spot, r.running[machine]...)
}

// settleMachine lets a machine and the store settle.
func (r *betterChoiceRun) settleMachine(machine string) {
	r.t.Helper()
	for range 3 {
		r.settleFor(3, store.Committed)
		r.heartbeat(machine)
	}
}

// submitNow submits a job that takes a whole machine and may use spot machines, but for what change says.
func (r *betterChoiceRun) submitNow(n int, change func(*jobs.Spec)) *jobs.Job {
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

// wait returns how long a job waits until it begins, at most 80 s and a little. If not starves, the time for which
// it has waited beside room is reset again and again.
func (r *betterChoiceRun) wait(starves bool) time.Duration {
	r.t.Helper()
	const limit = 80 * time.Second
	r.heartbeat("busy")
	r.submitNow(1, func(s *jobs.Spec) { s.EstimateS = 1 }) // it runs for far longer than that
	r.settleMachine("busy")
	r.heartbeat("free")
	if r.busyIsSpot { // what on-demand machines are needed for
		r.submitNow(2, func(s *jobs.Spec) { s.Spot, s.CPUs = false, 1 })
	}
	r.settleMachine("free")
	job := r.submitNow(3, func(s *jobs.Spec) { s.Kind, s.CPUs = r.kind, 7 })
	submittedAt := r.now
	for r.now-submittedAt < limit && job.TasksOnMachines() == 0 {
		r.now += 700 * time.Millisecond
		if !starves {
			job.RoomSince = 0
		}
		r.settleFor(3, store.Committed)
		r.heartbeat("busy")
		r.heartbeat("free")
	}
	if len(r.running["busy"]) != 1 {
		r.t.Fatalf("on the busy machine is %v", r.running["busy"])
	}
	return r.now - submittedAt
}

// A machine is free and has room, and a better choice is busy with a task that goes on and on: it has the job's
// image, or the free one is an on-demand machine that others need. A job waits for the better choice for a bounded
// time. Without the bound it waits for ever.
func TestWaitForBetterChoiceIsBounded(t *testing.T) {
	for _, scenario := range []betterChoice{
		{name: "array, image", kind: jobs.Array, imageGB: 90},
		{name: "gang, image", kind: jobs.Gang, imageGB: 90},
		{name: "array, on-demand machine", kind: jobs.Array, imageGB: 1, busyIsSpot: true},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			bounded := newBetterChoiceRun(t, scenario).wait(true)
			unbounded := newBetterChoiceRun(t, scenario).wait(false)
			t.Logf("it begins after %v, without the bound after %v", bounded, unbounded)
			if bounded > 60*time.Second {
				t.Errorf("it waits %v beside room", bounded)
			}
			if unbounded < 80*time.Second {
				t.Errorf("without the bound it waits %v only: the test shows nothing", unbounded)
			}
		})
	}
}
