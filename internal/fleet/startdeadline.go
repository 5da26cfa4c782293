package fleet

// Start deadlines: every job, whatever its size and rank, starts within a time from its submission, or from the end of
// its last predecessor.

import (
	"cmp"
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

// startDeadlineTasks is how many tasks of an array or a service go before all other jobs once its start is overdue.
// So few hardly take from any team's guarantee, and the rule ends with the first start.
const startDeadlineTasks = 2

// startDeadlineFraction is the part of the time in which every job is to start after which its start is overdue.
// The rest is left for a large gang's machines to come free.
const startDeadlineFraction = 0.5

// startClass is a class of jobs in the priority order, by overdue starts. Lower classes rank first.
type startClass int

const (
	overdueTasks           startClass = iota // arrays and services with an overdue start
	overdueWithinGuarantee                   // overdue gangs within their team's guarantee
	withinGuarantee                          // other jobs within their team's guarantee
	overdueBeyondGuarantee                   // overdue gangs beyond it
	beyondGuarantee                          // other jobs beyond it
)

// isOverdue reports whether the jobs of a class have overdue starts.
func (c startClass) isOverdue() bool { return c != withinGuarantee && c != beyondGuarantee }

// startOverdue reports whether no task of a job has ever started although it has been ready for long. Its age
// counts from its submission, which is durable, so that it survives a failover; that of a job with predecessors counts
// from the end of the last one, which every controller learns.
func (f *Fleet) startOverdue(now time.Duration, job *jobs.Job) bool {
	limit := jobs.Seconds(startDeadlineFraction * f.Settings.Operator.StartDeadlineS)
	if limit <= 0 || now-job.ReadyAt() <= limit {
		return false
	}
	hasStarted := job.Started || job.FinishedTasks > 0 || job.TasksOnMachines() > 0
	return !hasStarted && f.crashLooping(job) == nil && !job.Idle()
}

// promoteOverdueJobs moves jobs with overdue starts forward in the priority order: a few tasks of arrays and
// services before all jobs; gangs, which take more, before all others that are within their team's guarantee like
// them, or beyond it.
//
// Without it a large gang that has missed its objectives would rank behind every younger one that can still meet
// them, for ever under a constant stream of those, and low priorities behind all others as long as any job waits.
// The promotion ends with a job's first start, so that the job and another that may preempt it can't stop each
// other in turn.
func (f *Fleet) promoteOverdueJobs(now time.Duration) {
	clear(f.ranking.startDeadlineDue)
	classes := make(map[jobs.Index]startClass, len(f.ranking.jobs))
	anyOverdue := false
	for _, job := range f.ranking.jobs {
		class := f.startClassOf(now, job)
		classes[job.Index] = class
		if class == overdueTasks {
			f.ranking.startDeadlineDue[job.Index] = true
		}
		anyOverdue = anyOverdue || class.isOverdue()
	}
	if !anyOverdue {
		return
	}
	slices.SortStableFunc(f.ranking.jobs, func(a, b *jobs.Job) int {
		class := classes[a.Index]
		if class != classes[b.Index] {
			return cmp.Compare(class, classes[b.Index])
		}
		if class.isOverdue() {
			return cmp.Compare(a.ReadyAt(), b.ReadyAt())
		}
		return 0
	})
}

// startClassOf returns a job's class in the priority order.
func (f *Fleet) startClassOf(now time.Duration, job *jobs.Job) startClass {
	overdue := f.startOverdue(now, job)
	within := f.ranking.withinGuarantee[job.Index]
	switch {
	case overdue && job.Spec.Kind != jobs.Gang:
		return overdueTasks
	case within && overdue:
		return overdueWithinGuarantee
	case within:
		return withinGuarantee
	case overdue:
		return overdueBeyondGuarantee
	}
	return beyondGuarantee
}
