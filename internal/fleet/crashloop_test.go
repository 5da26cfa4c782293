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

// Failures on several machines must be attributed to the job, and then not count against the machines. A job with a
// done task and a service that ran for a minute must count as healthy.
func TestFailuresAreAttributedToJobOrMachine(t *testing.T) {
	for _, c := range []struct {
		name        string
		kind        jobs.Kind
		hasDoneTask bool          // another task of the job is done before the failures
		ran         time.Duration // run time of the task before each failure
		machines    int           // number of machines on which the task fails
		want        CrashLoopState
	}{
		{"array on one machine", jobs.Array, false, time.Second, 1, HealthUnknown},
		{"array on two machines", jobs.Array, false, time.Second, 2, CrashLooping},
		{"gang on three machines", jobs.Gang, false, time.Second, 3, CrashLooping},
		{"array with a done task", jobs.Array, true, time.Second, 3, Healthy},
		{"service after a second", jobs.Service, false, time.Second, 2, CrashLooping},
		{"service after a minute", jobs.Service, false, time.Minute, 3, Healthy},
	} {
		g := newRigOf(t, 1, map[string]json.RawMessage{}, []config.Team{{Name: "t"}})
		s := spec(1, 3)
		s.Kind = c.kind
		job := g.submit(s)
		g.now = 5 * time.Minute
		if c.hasDoneTask {
			g.checkTransition(job.SetTaskState(0, jobs.Finished))
		}
		for i := range c.machines {
			machine := g.RegisterMachine(g.now, fmt.Sprintf("m%d", i))
			job.Tasks[1].RunningSince = g.now - c.ran
			g.recordFailure(g.now, machine, job, 1)
			g.now += time.Second
		}
		if loop := g.crashLoops[job.Index]; loop == nil || loop.state != c.want {
			t.Errorf("%s: got failure record %+v, want state %s", c.name, loop, c.want)
		}
		if machine := g.FindMachine("m0"); (len(machine.failedJobs) > 0) == (c.want == CrashLooping) {
			t.Errorf("%s: got failed jobs %v of the machine, want some only without a crash loop", c.name, machine.failedJobs)
		}
	}
}

// The delays between the tries of a job in a crash loop must double up to maxCrashLoopBackoff, without launches in
// between.
func TestCrashLoopBackoffGrows(t *testing.T) {
	g := newRigOf(t, 1, map[string]json.RawMessage{}, []config.Team{{Name: "t"}})
	job := g.submit(spec(1, 100))
	machineNames := []string{"m0", "m1", "m2"}
	lastStart, tries := time.Duration(0), 0
	var delays []time.Duration
	for range 400 {
		g.now += 700 * time.Millisecond
		for _, name := range machineNames {
			for _, c := range starts(g.heartbeat(name, 1, fenced)) {
				if tries++; tries > 12 {
					delays = append(delays, g.now-lastStart)
				}
				lastStart = g.now
				g.now += 100 * time.Millisecond
				failed := TaskReport{Task: c.Task, Attempt: c.Attempt, State: taskExited, ExitCause: exitError}
				g.heartbeat(name, 1, fenced, failed)
				g.heartbeat(name, 1, fenced)
			}
		}
		g.settleFor(3, store.Committed)
	}
	loop := g.crashLooping(job)
	if loop == nil || len(delays) < 3 || delays[len(delays)-1] < 16*time.Second {
		t.Fatalf("got crash loop %+v, delays %v, want at least 3 delays, the last one of 16 s or more", loop, delays)
	}
	for i, duration := range delays {
		if i > 0 && duration < delays[i-1]-2*time.Second || duration > maxCrashLoopBackoff+3*time.Second {
			t.Errorf("got delays %v, want increasing ones of at most about 64 s", delays)
		}
	}
	if reasons := g.PendingReasons(g.now, job); len(reasons) == 0 || reasons[0].Cause != CrashLoopBackoff {
		t.Errorf("got pending reasons %+v, want failing first", reasons)
	}
}
