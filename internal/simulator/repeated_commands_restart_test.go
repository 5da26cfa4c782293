package simulator

import (
	"fmt"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

// backAtOnce is the time after which a controller or machine that ended is back.
const backAtOnce = 300 * time.Millisecond

// lateCopyRun is a run in which copies of answered direct requests reach a machine right after a restart.
type lateCopyRun struct {
	*testCluster
	machine string // the machine on which the task ran first
	user    *testUser
}

// newLateCopyRun returns a run in which the only task of a job was launched on a machine.
func newLateCopyRun(t *testing.T, seed uint64, isFaulty bool) *lateCopyRun {
	t.Helper()
	run := &lateCopyRun{testCluster: startFilledCluster(t, 61, shortTimersConfig(seed, 4), 4, 15)}
	run.setAllFaulty(isFaulty)
	run.KeepCommands()
	spec := arraySpec("req-000001", "c", "red")
	spec.Spot = false
	spec.EstimateS = 300
	run.user = run.submit(spec)
	run.waitFor("the task is on a machine", 20*time.Second, func() bool {
		run.machine = run.machineOf(spec.ID + "/0")
		return run.machine != ""
	})
	return run
}

// setAllFaulty makes the tasks that start on any machine from now on fail, or succeed again.
func (run *lateCopyRun) setAllFaulty(isFaulty bool) {
	for _, machine := range run.readyMachines() {
		run.SetMachineFaulty(machine.Name, isFaulty)
	}
}

// machineOf returns the name of the machine on which a task is, "" if it is on none.
func (run *lateCopyRun) machineOf(task string) (name string) {
	run.forEachActiveTask(func(machine *Machine, active *workerTask) {
		if active.name == task {
			name = machine.Name
		}
	})
	return name
}

// moveTask waits until the task has failed on its machine and runs on another one.
func (run *lateCopyRun) moveTask() {
	run.t.Helper()
	run.waitFor("the task failed", 10*time.Second, func() bool { return run.Stats().TasksCrashed > 0 })
	run.setAllFaulty(false)
	run.waitFor("the task runs elsewhere", 30*time.Second, func() bool {
		other := run.machineOf("req-000001/0")
		return other != "" && other != run.machine
	})
}

// cancelTask cancels the job and waits until its cancellation limit has passed.
func (run *lateCopyRun) cancelTask() {
	run.t.Helper()
	run.user.cancel()
	run.Advance(jobs.Seconds(run.cfg.Workers.CancelS) + 2*time.Second)
	if other := run.machineOf("req-000001/0"); other != "" {
		run.t.Fatalf("the task is on %s after its cancellation limit", other)
	}
}

// restartMachine restarts the machine and delivers the copies as soon as it is up, and again later.
func (run *lateCopyRun) restartMachine() {
	run.RestartMachine(run.machine, backAtOnce)
	run.repeatFrom(backAtOnce)
}

// restartLeader restarts the leader and delivers the copies until another leader has been elected.
func (run *lateCopyRun) restartLeader() {
	leader, _ := run.Leader()
	run.KillController(leader)
	run.After(backAtOnce, func() { run.StartController(leader) })
	run.repeatFrom(0)
}

// repeatFrom delivers the copies every 100 ms, from a delay on, for longer than an election takes.
func (run *lateCopyRun) repeatFrom(delay time.Duration) {
	for after := delay; after < 8*time.Second; after += 100 * time.Millisecond {
		run.After(after, func() { run.RepeatOldestCommands(run.machine) })
	}
	run.Advance(10 * time.Second)
}

// TestLateCopyOfAnsweredStartAfterRestart guards against a moved or cancelled task that starts again when a copy of an
// answered direct request reaches its machine right after the machine or the leader has restarted.
func TestLateCopyOfAnsweredStartAfterRestart(t *testing.T) {
	changes := map[string]func(*lateCopyRun){"moved": (*lateCopyRun).moveTask, "cancelled": (*lateCopyRun).cancelTask}
	restarts := map[string]func(*lateCopyRun){
		"machine":    (*lateCopyRun).restartMachine,
		"controller": (*lateCopyRun).restartLeader,
	}
	for change, apply := range changes {
		for restarted, restart := range restarts {
			t.Run(fmt.Sprintf("task %s, %s back at once", change, restarted), func(t *testing.T) {
				run := newLateCopyRun(t, 7, change == "moved")
				apply(run)
				restart(run)
				reportViolations(t, run.Simulation)
				if stats := run.Stats(); stats.RepeatsExecuted == 0 || stats.RepeatedLaunches > 0 {
					t.Errorf("%d copies executed, which launched %d tasks, want some copies and no task",
						stats.RepeatsExecuted, stats.RepeatedLaunches)
				}
			})
		}
	}
}
