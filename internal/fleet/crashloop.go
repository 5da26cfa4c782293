package fleet

// Crash loops and faulty machines. A job whose tasks fail on several machines is in a crash loop, and is retried with
// exponential back-off. A machine on which tasks of several jobs fail is faulty.

import (
	"log/slog"
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

// CrashLoopState is the health of a job, as inferred from the exits of its tasks.
type CrashLoopState uint8

// The crash loop states of a job and their transitions.
//
//	HealthUnknown -> Healthy       a task is done, or a replica ran for healthyAfter
//	HealthUnknown -> CrashLooping  tasks failed on several machines and none is done
//	CrashLooping  -> Healthy       a task is done, or a replica ran for healthyAfter: the machines were at fault
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
	// crashLoopMachines is the number of machines on which a job must fail to be in a crash loop.
	crashLoopMachines = 2
	// minCrashLoopBackoff and maxCrashLoopBackoff are the bounds of the delay between two tries of a job in a crash
	// loop. The delay doubles with each try.
	minCrashLoopBackoff = 2 * time.Second
	maxCrashLoopBackoff = 64 * time.Second
	// maxBackoffShift limits the doublings of the delay, so that the shift does not overflow before
	// maxCrashLoopBackoff applies.
	maxBackoffShift = 10
	// triesPerNewMachine is the interval, in tries, at which a job in a crash loop is placed on machines on which it
	// has not failed.
	triesPerNewMachine = 3
	// healthyAfter is the run time of a service's replica after which its job counts as healthy, since a replica is
	// never done.
	healthyAfter = 30 * time.Second
	// faultyThreshold is the number of different jobs that must fail on a machine, without a success in between, for
	// the machine to be faulty.
	faultyThreshold = 2
)

// crashLoop is the failure record of a job.
type crashLoop struct {
	state            CrashLoopState
	failedOn         []int32       // latest machines on which the job failed, at most 2*crashLoopMachines
	distinctMachines int           // number of machines on which it failed; those dropped from failedOn may count twice
	tries            int           // number of tries since the crash loop began
	retryAt          time.Duration // time of the next try, while the job is in a crash loop
}

// setCrashLoopState changes the crash loop state of a job. Nothing else writes crashLoop.state, apart from the initial
// state. The failures of a job in a crash loop do not count against machines.
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

// crashLooping returns the failure record of a job that is in a crash loop, or nil for any other job.
func (f *Fleet) crashLooping(job *jobs.Job) *crashLoop {
	if loop := f.crashLoops[job.Index]; loop != nil && loop.state == CrashLooping {
		return loop
	}
	return nil
}

// inBackoff reports whether a job in a crash loop must not be planned now: until its delay has passed and, unless it is
// a gang, while any of its tasks is planned or on a machine. Otherwise thousands of tasks that fail together, each with
// its own delay, would use up the launches of all other jobs.
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

// recordRetryLater records as a job's pending reason that its tasks failed and are not launched again before a time.
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
	loop.recordFailedMachine(machine.Index)
	if loop.state == HealthUnknown && len(loop.failedOn) >= crashLoopMachines {
		f.setCrashLoopState(job, loop, CrashLooping)
	}
	if loop.state != CrashLooping || now < loop.retryAt {
		return // tasks that were launched together count as one try, though they fail one after the other
	}
	f.beginBackoff(now, job, loop)
}

// crashLoopOf returns the failure record of a job, and adds one if there is none.
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

// recordFailedJob records that a job failed on the machine. It keeps at most faultyThreshold jobs.
func (m *Machine) recordFailedJob(jobIndex jobs.Index) {
	if len(m.failedJobs) < faultyThreshold && !slices.Contains(m.failedJobs, jobIndex) {
		m.failedJobs = append(m.failedJobs, jobIndex)
	}
}

// recordFailedMachine records that the job failed on a machine.
func (l *crashLoop) recordFailedMachine(machineIndex int32) {
	if slices.Contains(l.failedOn, machineIndex) {
		return
	}
	l.distinctMachines++
	l.failedOn = append(l.failedOn, machineIndex)
	excess := len(l.failedOn) - 2*crashLoopMachines
	l.failedOn = l.failedOn[max(0, excess):]
}

// beginBackoff ends a try of a job in a crash loop. No task of the job is planned until the delay has passed.
func (f *Fleet) beginBackoff(now time.Duration, job *jobs.Job, loop *crashLoop) {
	loop.retryAt = now + min(maxCrashLoopBackoff, minCrashLoopBackoff<<min(loop.tries, maxBackoffShift))
	loop.tries++
	// The job stays on the machines that have its image, so that the image is not downloaded on all machines. One of
	// triesPerNewMachine tries avoids these machines.
	clear(job.AvoidedMachines)
	if loop.tries%triesPerNewMachine == 0 {
		for _, machineIndex := range loop.failedOn {
			f.avoidMachine(now, f.machines[machineIndex], job)
		}
	}
	f.dropPlans(job, job.TasksByState[jobs.Planned])
}

// recordSuccess records that a task of a job was done, or that a replica ran for healthyAfter, on a machine.
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

// IsFaulty reports whether tasks of several jobs in a row, none of them in a crash loop, failed on a machine.
func (f *Fleet) IsFaulty(machine *Machine) bool { return len(machine.failedJobs) >= faultyThreshold }
