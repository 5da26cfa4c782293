package fleet

// Who is at fault when a task fails: its machine, on which several jobs fail, or its job, which fails on several machines.

import (
	"log/slog"
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

// CrashLoopState is what a job's tasks have shown of it.
type CrashLoopState uint8

// The standings of a job.
//
//	Untried  -> Proven    a task is done, or a replica ran for long
//	Untried  -> Mistaken  tasks fail on several machines and none is done
//	Mistaken -> Proven    one is done after all: the machines were at fault
const (
	HealthUnknown CrashLoopState = iota
	Healthy
	CrashLooping
)

func (s CrashLoopState) String() string { return [...]string{"untried", "proven", "mistaken"}[s] }

// What is asked of a mistaken job: how many machines it takes to tell it from a faulty one, the first and the longest
// pause between two tries, and at which of them it goes to a machine that it hasn't tried.
const (
	crashLoopMachines   = 2
	minCrashLoopBackoff = 2 * time.Second
	maxCrashLoopBackoff = 64 * time.Second
	triesPerNewMachine  = 3
)

// crashLoop is the record of a job of which tasks have failed.
type crashLoop struct {
	state            CrashLoopState
	failedOn         []int32 // machines on which it failed, while it is untried; later, the last of them
	distinctMachines int     // on how many it failed, as far as they were told apart
	tries            int
	retryAt          time.Duration // Mistaken: no try before
}

// setCrashLoopState is the only place where a job's standing changes.
func (f *Fleet) setCrashLoopState(job *jobs.Job, loop *crashLoop, to CrashLoopState) {
	slog.Info("job", "job", job.ID, "from", loop.state.String(), "to", to.String(), "machines", len(loop.failedOn), "term", f.Term)
	loop.state = to
	if to == CrashLooping { // what it did on machines says nothing of them
		for _, machine := range f.machines {
			if i := slices.Index(machine.failedJobs, job.Index); i >= 0 {
				machine.failedJobs = slices.Delete(machine.failedJobs, i, i+1)
			}
		}
	}
}

// crashLooping returns the record of a job that fails wherever it runs, nil for any other.
func (f *Fleet) crashLooping(job *jobs.Job) *crashLoop {
	if loop := f.crashLoops[job.Index]; loop != nil && loop.state == CrashLooping {
		return loop
	}
	return nil
}

// inBackoff tells whether nothing of a mistaken job is to be started now: not before its pause is over, and of an array or
// a service one task at a time. Thousands of tasks that fail at once, each with pauses of its own, took the starts of all others.
func (f *Fleet) inBackoff(now time.Duration, job *jobs.Job) bool {
	loop := f.crashLooping(job)
	return loop != nil && (now < loop.retryAt || job.Spec.Kind != jobs.Gang && job.TasksByState[jobs.Planned]+job.TasksOnMachines() > 0)
}

// noteCrashLoopBackoff says why nothing of such a job is started.
func (f *Fleet) noteCrashLoopBackoff(job *jobs.Job) {
	loop := f.crashLooping(job)
	f.setPendingNote(job, pendingNote{cause: CrashLoopBackoff, have: loop.distinctMachines, need: loop.tries, until: loop.retryAt})
}

// noteRetryLater says that a job's tasks failed and when they are tried again.
func (f *Fleet) noteRetryLater(job *jobs.Job, until time.Duration) {
	if f.crashLooping(job) != nil {
		f.noteCrashLoopBackoff(job)
		return
	}
	f.setPendingNote(job, pendingNote{cause: RetryLater, until: until})
}

// healthyAfterS is how long a replica of a service must have run to say that its job is in order: it is never done.
const healthyAfterS = 30

// recordFailure notes that a task of a job failed on a machine.
func (f *Fleet) recordFailure(now time.Duration, machine *Machine, job *jobs.Job, taskIndex int32) {
	if task := &job.Tasks[taskIndex]; job.Spec.Kind == jobs.Service && task.RunningSince > 0 && now-task.RunningSince >= healthyAfterS*time.Second {
		f.recordSuccess(job, machine)
	}
	loop := f.crashLoops[job.Index]
	if loop == nil {
		loop = &crashLoop{}
		if job.FinishedTasks > 0 {
			loop.state = Healthy
		}
		f.crashLoops[job.Index] = loop
	}
	if loop.state != CrashLooping && !slices.Contains(machine.failedJobs, job.Index) && len(machine.failedJobs) < faultyThreshold {
		machine.failedJobs = append(machine.failedJobs, job.Index)
	}
	if loop.state == Healthy {
		return
	}
	if !slices.Contains(loop.failedOn, machine.Index) {
		loop.distinctMachines++
		loop.failedOn = append(loop.failedOn, machine.Index)
		loop.failedOn = loop.failedOn[max(0, len(loop.failedOn)-2*crashLoopMachines):]
	}
	if loop.state == HealthUnknown && len(loop.failedOn) >= crashLoopMachines {
		f.setCrashLoopState(job, loop, CrashLooping)
	}
	if loop.state != CrashLooping || now < loop.retryAt {
		return // tasks that were sent before fail one after the other: that is one try
	}
	loop.retryAt = now + min(maxCrashLoopBackoff, minCrashLoopBackoff<<min(loop.tries, 10))
	loop.tries++
	// Images aren't fetched all over for it: it stays where it has been, but for a try now and then.
	clear(job.AvoidedMachines)
	if loop.tries%triesPerNewMachine == 0 {
		for _, ix := range loop.failedOn {
			f.avoidMachine(now, f.machines[ix], job)
		}
	}
	f.dropPlans(job, job.TasksByState[jobs.Planned])
}

// recordSuccess notes that a task of a job is done.
func (f *Fleet) recordSuccess(job *jobs.Job, machine *Machine) {
	machine.failedJobs = machine.failedJobs[:0]
	loop := f.crashLoops[job.Index]
	if loop == nil && job.Spec.Kind == jobs.Service {
		loop = &crashLoop{}
		f.crashLoops[job.Index] = loop
	}
	if loop != nil && loop.state != Healthy {
		f.setCrashLoopState(job, loop, Healthy)
		loop.failedOn, loop.retryAt, loop.tries = nil, 0, 0
		f.writer.planBecameDurable = true
	}
}

// faultyThreshold is how many jobs fail on a machine in a row until it is at fault.
const faultyThreshold = 2

// Faulty tells whether a machine fails what runs on it: several jobs in a row that don't fail elsewhere as well.
func (f *Fleet) Faulty(machine *Machine) bool { return len(machine.failedJobs) >= faultyThreshold }
