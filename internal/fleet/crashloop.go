package fleet

// Crash loops and faulty machines. A job whose tasks fail on several machines is in a crash loop and is retried
// with a growing back-off; a machine on which tasks of several jobs fail is faulty.

import (
	"log/slog"
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

// CrashLoopState is what the exits of a job's tasks have shown about the job.
type CrashLoopState uint8

// The crash loop states of a job and their transitions.
//
//	HealthUnknown -> Healthy       a task is done, or a replica ran for long
//	HealthUnknown -> CrashLooping  tasks fail on several machines and none is done
//	CrashLooping  -> Healthy       a task is done after all: the machines were at fault
const (
	HealthUnknown CrashLoopState = iota
	Healthy
	CrashLooping
)

// String returns the state's name in log lines.
func (s CrashLoopState) String() string {
	return [...]string{"health unknown", "healthy", "crash looping"}[s]
}

const (
	// crashLoopMachines is on how many machines a job must fail to be in a crash loop.
	crashLoopMachines = 2
	// minCrashLoopBackoff and maxCrashLoopBackoff bound the pause between two tries of a job in a crash loop, which
	// doubles with each.
	minCrashLoopBackoff = 2 * time.Second
	maxCrashLoopBackoff = 64 * time.Second
	// maxBackoffShift bounds how often the pause is doubled, before the bound above applies.
	maxBackoffShift = 10
	// triesPerNewMachine is how many tries such a job has before one may go to a machine on which it has not failed.
	triesPerNewMachine = 3
	// healthyAfter is how long a replica of a service must run to show that its job is healthy, since it is never
	// done.
	healthyAfter = 30 * time.Second
	// faultyThreshold is on how many jobs in a row a machine must fail to be faulty.
	faultyThreshold = 2
)

// crashLoop is the record of a job of which tasks have failed.
type crashLoop struct {
	state            CrashLoopState
	failedOn         []int32       // the latest machines on which it failed, at most 2*crashLoopMachines
	distinctMachines int           // on how many it failed, as far as failedOn tells them apart
	tries            int           // since it is in a crash loop
	retryAt          time.Duration // when the next try is due, while it is in a crash loop
}

// setCrashLoopState changes a job's state. Nothing else writes crashLoop.state. The failures of a job in a crash
// loop do not count against machines.
func (f *Fleet) setCrashLoopState(job *jobs.Job, loop *crashLoop, to CrashLoopState) {
	slog.Info("crash loop state changed", "job", job.ID, "from", loop.state.String(), "to", to.String(),
		"machines", len(loop.failedOn), "term", f.Term)
	loop.state = to
	if to != CrashLooping {
		return
	}
	for _, machine := range f.machines {
		if i := slices.Index(machine.failedJobs, job.Index); i >= 0 {
			machine.failedJobs = slices.Delete(machine.failedJobs, i, i+1)
		}
	}
}

// crashLooping returns the record of a job that is in a crash loop, nil for any other.
func (f *Fleet) crashLooping(job *jobs.Job) *crashLoop {
	if loop := f.crashLoops[job.Index]; loop != nil && loop.state == CrashLooping {
		return loop
	}
	return nil
}

// inBackoff reports whether a job in a crash loop must not be planned now: until its pause is over and, unless it
// is a gang, while one of its tasks is planned or on a machine. Thousands of tasks that fail together, each with
// its own pause, would take the launches of all other jobs.
func (f *Fleet) inBackoff(now time.Duration, job *jobs.Job) bool {
	loop := f.crashLooping(job)
	if loop == nil {
		return false
	}
	if now < loop.retryAt {
		return true
	}
	return job.Spec.Kind != jobs.Gang && job.TasksByState[jobs.Planned]+job.TasksOnMachines() > 0
}

// recordCrashLoopBackoff records the back-off of a job in a crash loop as its pending reason.
func (f *Fleet) recordCrashLoopBackoff(job *jobs.Job) {
	loop := f.crashLooping(job)
	f.setUnplannedReason(job, unplannedReason{
		cause:   CrashLoopBackoff,
		retryAt: loop.retryAt,
		backoff: crashBackoff{failedMachines: loop.distinctMachines, tries: loop.tries},
	})
}

// recordRetryLater records as a job's pending reason that its tasks failed and are not tried again before a time.
func (f *Fleet) recordRetryLater(job *jobs.Job, until time.Duration) {
	if f.crashLooping(job) != nil {
		f.recordCrashLoopBackoff(job)
		return
	}
	f.setUnplannedReason(job, unplannedReason{cause: RetryLater, retryAt: until})
}

// recordFailure records that a task failed on a machine.
func (f *Fleet) recordFailure(now time.Duration, machine *Machine, job *jobs.Job, taskIndex int32) {
	task := &job.Tasks[taskIndex]
	if job.Spec.Kind == jobs.Service && task.RunningSince > 0 && now-task.RunningSince >= healthyAfter {
		f.recordSuccess(job, machine)
	}
	loop := f.crashLoopOf(job)
	if loop.state != CrashLooping {
		machine.recordFailedJob(job.Index)
	}
	if loop.state == Healthy {
		return
	}
	loop.recordMachine(machine.Index)
	if loop.state == HealthUnknown && len(loop.failedOn) >= crashLoopMachines {
		f.setCrashLoopState(job, loop, CrashLooping)
	}
	if loop.state != CrashLooping || now < loop.retryAt {
		return // tasks that were launched together and fail one after the other are one try
	}
	f.beginBackoff(now, job, loop)
}

// crashLoopOf returns the record of a job, adding it if there is none.
func (f *Fleet) crashLoopOf(job *jobs.Job) *crashLoop {
	loop := f.crashLoops[job.Index]
	if loop == nil {
		loop = &crashLoop{}
		if job.FinishedTasks > 0 {
			loop.state = Healthy
		}
		f.crashLoops[job.Index] = loop
	}
	return loop
}

// recordFailedJob records that a job failed on the machine. More than faultyThreshold jobs are not kept.
func (m *Machine) recordFailedJob(jobIndex jobs.Index) {
	if len(m.failedJobs) < faultyThreshold && !slices.Contains(m.failedJobs, jobIndex) {
		m.failedJobs = append(m.failedJobs, jobIndex)
	}
}

// recordMachine records that the job failed on a machine.
func (l *crashLoop) recordMachine(machineIndex int32) {
	if slices.Contains(l.failedOn, machineIndex) {
		return
	}
	l.distinctMachines++
	l.failedOn = append(l.failedOn, machineIndex)
	excess := len(l.failedOn) - 2*crashLoopMachines
	l.failedOn = l.failedOn[max(0, excess):]
}

// beginBackoff ends a try of a job in a crash loop: nothing of it is planned until the pause is over.
func (f *Fleet) beginBackoff(now time.Duration, job *jobs.Job, loop *crashLoop) {
	loop.retryAt = now + min(maxCrashLoopBackoff, minCrashLoopBackoff<<min(loop.tries, maxBackoffShift))
	loop.tries++
	// The job stays on the machines that have its image, so that it is not downloaded everywhere, except for a try
	// now and then.
	clear(job.AvoidedMachines)
	if loop.tries%triesPerNewMachine == 0 {
		for _, machineIndex := range loop.failedOn {
			f.avoidMachine(now, f.machines[machineIndex], job)
		}
	}
	f.dropPlans(job, job.TasksByState[jobs.Planned])
}

// recordSuccess records that a task is done, or that a replica ran for healthyAfter, on a machine.
func (f *Fleet) recordSuccess(job *jobs.Job, machine *Machine) {
	machine.failedJobs = machine.failedJobs[:0]
	loop := f.crashLoops[job.Index]
	if loop == nil && job.Spec.Kind == jobs.Service {
		loop = &crashLoop{}
		f.crashLoops[job.Index] = loop
	}
	if loop == nil || loop.state == Healthy {
		return
	}
	f.setCrashLoopState(job, loop, Healthy)
	loop.failedOn = nil
	loop.retryAt = 0
	loop.tries = 0
	f.writer.planBecameDurable = true
}

// Faulty reports whether tasks of several jobs in a row, none of them in a crash loop, failed on a machine.
func (f *Fleet) Faulty(machine *Machine) bool { return len(machine.failedJobs) >= faultyThreshold }
