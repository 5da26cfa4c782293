package fleet

// Who is at fault when a task fails: its machine, on which several jobs fail, or its job, which fails on several machines.

import (
	"log/slog"
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

// Standing is what a job's tasks have shown of it.
type Standing uint8

// The standings of a job.
//
//	Untried  -> Proven    a task is done, or a replica ran for long
//	Untried  -> Mistaken  tasks fail on several machines and none is done
//	Mistaken -> Proven    one is done after all: the machines were at fault
const (
	Untried Standing = iota
	Proven
	Mistaken
)

func (s Standing) String() string { return [...]string{"untried", "proven", "mistaken"}[s] }

// What is asked of a mistaken job: how many machines it takes to tell it from a faulty one, the first and the longest
// pause between two tries, and at which of them it goes to a machine that it hasn't tried.
const (
	mistakeOn        = 2
	firstPause       = 2 * time.Second
	longPause        = 64 * time.Second
	freshMachineEach = 3
)

// failing is the record of a job of which tasks have failed.
type failing struct {
	standing Standing
	on       []int32 // machines on which it failed, while it is untried; later, the last of them
	machines int     // on how many it failed, as far as they were told apart
	tries    int
	until    time.Duration // Mistaken: no try before
}

// stands is the only place where a job's standing changes.
func (f *Fleet) stands(j *jobs.Job, r *failing, to Standing) {
	slog.Info("job", "job", j.ID, "from", r.standing.String(), "to", to.String(), "machines", len(r.on), "term", f.Term)
	r.standing = to
	if to == Mistaken { // what it did on machines says nothing of them
		for _, m := range f.machines {
			if i := slices.Index(m.failed, j.Index); i >= 0 {
				m.failed = slices.Delete(m.failed, i, i+1)
			}
		}
	}
}

// mistaken returns the record of a job that fails wherever it runs, nil for any other.
func (f *Fleet) mistaken(j *jobs.Job) *failing {
	if r := f.failing[j.Index]; r != nil && r.standing == Mistaken {
		return r
	}
	return nil
}

// paused tells whether nothing of a mistaken job is to be started now: not before its pause is over, and of an array or
// a service one task at a time. Thousands of tasks that fail at once, each with pauses of its own, took the starts of all others.
func (f *Fleet) paused(now time.Duration, j *jobs.Job) bool {
	r := f.mistaken(j)
	return r != nil && (now < r.until || j.Spec.Kind != jobs.Gang && j.TasksByState[jobs.Planned]+j.TasksOnMachines() > 0)
}

// failingNote says why nothing of such a job is started.
func (f *Fleet) failingNote(j *jobs.Job) {
	r := f.mistaken(j)
	f.note(j, verdict{cause: Failing, have: r.machines, need: r.tries, until: r.until})
}

// retryNote says that a job's tasks failed and when they are tried again.
func (f *Fleet) retryNote(j *jobs.Job, until time.Duration) {
	if f.mistaken(j) != nil {
		f.failingNote(j)
		return
	}
	f.note(j, verdict{cause: Retry, until: until})
}

// provenS is how long a replica of a service must have run to say that its job is in order: it is never done.
const provenS = 30

// failed notes that a task of a job failed on a machine.
func (f *Fleet) failed(now time.Duration, m *Machine, j *jobs.Job, t int32) {
	if k := &j.Tasks[t]; j.Spec.Kind == jobs.Service && k.RunningSince > 0 && now-k.RunningSince >= provenS*time.Second {
		f.proves(j, m)
	}
	r := f.failing[j.Index]
	if r == nil {
		r = &failing{}
		if j.FinishedTasks > 0 {
			r.standing = Proven
		}
		f.failing[j.Index] = r
	}
	if r.standing != Mistaken && !slices.Contains(m.failed, j.Index) && len(m.failed) < faultyAfter {
		m.failed = append(m.failed, j.Index)
	}
	if r.standing == Proven {
		return
	}
	if !slices.Contains(r.on, m.Index) {
		r.machines++
		r.on = append(r.on, m.Index)
		r.on = r.on[max(0, len(r.on)-2*mistakeOn):]
	}
	if r.standing == Untried && len(r.on) >= mistakeOn {
		f.stands(j, r, Mistaken)
	}
	if r.standing != Mistaken || now < r.until {
		return // tasks that were sent before fail one after the other: that is one try
	}
	r.until = now + min(longPause, firstPause<<min(r.tries, 10))
	r.tries++
	// Images aren't fetched all over for it: it stays where it has been, but for a try now and then.
	clear(j.AvoidedMachines)
	if r.tries%freshMachineEach == 0 {
		for _, ix := range r.on {
			f.avoid(now, f.machines[ix], j)
		}
	}
	f.giveUpPlans(j, j.TasksByState[jobs.Planned])
}

// proves notes that a task of a job is done.
func (f *Fleet) proves(j *jobs.Job, m *Machine) {
	m.failed = m.failed[:0]
	r := f.failing[j.Index]
	if r == nil && j.Spec.Kind == jobs.Service {
		r = &failing{}
		f.failing[j.Index] = r
	}
	if r != nil && r.standing != Proven {
		f.stands(j, r, Proven)
		r.on, r.until, r.tries = nil, 0, 0
		f.news = true
	}
}

// faultyAfter is how many jobs fail on a machine in a row until it is at fault.
const faultyAfter = 2

// Faulty tells whether a machine fails what runs on it: several jobs in a row that don't fail elsewhere as well.
func (f *Fleet) Faulty(m *Machine) bool { return len(m.failed) >= faultyAfter }
