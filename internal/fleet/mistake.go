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
	newMachineEvery     = 3
)

// crashLoop is the record of a job of which tasks have failed.
type crashLoop struct {
	state    CrashLoopState
	failedOn []int32 // machines on which it failed, while it is untried; later, the last of them
	machines int     // on how many it failed, as far as they were told apart
	tries    int
	retryAt  time.Duration // Mistaken: no try before
}

// setCrashLoopState is the only place where a job's standing changes.
func (f *Fleet) setCrashLoopState(j *jobs.Job, r *crashLoop, to CrashLoopState) {
	slog.Info("job", "job", j.ID, "from", r.state.String(), "to", to.String(), "machines", len(r.failedOn), "term", f.Term)
	r.state = to
	if to == CrashLooping { // what it did on machines says nothing of them
		for _, m := range f.machines {
			if i := slices.Index(m.failedJobs, j.Index); i >= 0 {
				m.failedJobs = slices.Delete(m.failedJobs, i, i+1)
			}
		}
	}
}

// crashLooping returns the record of a job that fails wherever it runs, nil for any other.
func (f *Fleet) crashLooping(j *jobs.Job) *crashLoop {
	if r := f.crashLoops[j.Index]; r != nil && r.state == CrashLooping {
		return r
	}
	return nil
}

// inBackoff tells whether nothing of a mistaken job is to be started now: not before its pause is over, and of an array or
// a service one task at a time. Thousands of tasks that fail at once, each with pauses of its own, took the starts of all others.
func (f *Fleet) inBackoff(now time.Duration, j *jobs.Job) bool {
	r := f.crashLooping(j)
	return r != nil && (now < r.retryAt || j.Spec.Kind != jobs.Gang && j.TasksByState[jobs.Planned]+j.TasksOnMachines() > 0)
}

// noteCrashLoop says why nothing of such a job is started.
func (f *Fleet) noteCrashLoop(j *jobs.Job) {
	r := f.crashLooping(j)
	f.setPendingNote(j, pendingNote{cause: CrashLoopBackoff, have: r.machines, need: r.tries, until: r.retryAt})
}

// noteRetry says that a job's tasks failed and when they are tried again.
func (f *Fleet) noteRetry(j *jobs.Job, until time.Duration) {
	if f.crashLooping(j) != nil {
		f.noteCrashLoop(j)
		return
	}
	f.setPendingNote(j, pendingNote{cause: RetryLater, until: until})
}

// healthyAfterS is how long a replica of a service must have run to say that its job is in order: it is never done.
const healthyAfterS = 30

// recordFailure notes that a task of a job failed on a machine.
func (f *Fleet) recordFailure(now time.Duration, m *Machine, j *jobs.Job, t int32) {
	if k := &j.Tasks[t]; j.Spec.Kind == jobs.Service && k.RunningSince > 0 && now-k.RunningSince >= healthyAfterS*time.Second {
		f.recordSuccess(j, m)
	}
	r := f.crashLoops[j.Index]
	if r == nil {
		r = &crashLoop{}
		if j.FinishedTasks > 0 {
			r.state = Healthy
		}
		f.crashLoops[j.Index] = r
	}
	if r.state != CrashLooping && !slices.Contains(m.failedJobs, j.Index) && len(m.failedJobs) < faultyThreshold {
		m.failedJobs = append(m.failedJobs, j.Index)
	}
	if r.state == Healthy {
		return
	}
	if !slices.Contains(r.failedOn, m.Index) {
		r.machines++
		r.failedOn = append(r.failedOn, m.Index)
		r.failedOn = r.failedOn[max(0, len(r.failedOn)-2*crashLoopMachines):]
	}
	if r.state == HealthUnknown && len(r.failedOn) >= crashLoopMachines {
		f.setCrashLoopState(j, r, CrashLooping)
	}
	if r.state != CrashLooping || now < r.retryAt {
		return // tasks that were sent before fail one after the other: that is one try
	}
	r.retryAt = now + min(maxCrashLoopBackoff, minCrashLoopBackoff<<min(r.tries, 10))
	r.tries++
	// Images aren't fetched all over for it: it stays where it has been, but for a try now and then.
	clear(j.AvoidedMachines)
	if r.tries%newMachineEvery == 0 {
		for _, ix := range r.failedOn {
			f.avoid(now, f.machines[ix], j)
		}
	}
	f.dropPlans(j, j.TasksByState[jobs.Planned])
}

// recordSuccess notes that a task of a job is done.
func (f *Fleet) recordSuccess(j *jobs.Job, m *Machine) {
	m.failedJobs = m.failedJobs[:0]
	r := f.crashLoops[j.Index]
	if r == nil && j.Spec.Kind == jobs.Service {
		r = &crashLoop{}
		f.crashLoops[j.Index] = r
	}
	if r != nil && r.state != Healthy {
		f.setCrashLoopState(j, r, Healthy)
		r.failedOn, r.retryAt, r.tries = nil, 0, 0
		f.planBecameDurable = true
	}
}

// faultyThreshold is how many jobs fail on a machine in a row until it is at fault.
const faultyThreshold = 2

// Faulty tells whether a machine fails what runs on it: several jobs in a row that don't fail elsewhere as well.
func (f *Fleet) Faulty(m *Machine) bool { return len(m.failedJobs) >= faultyThreshold }
