package fleet

// Start deadlines: every job, regardless of its size and rank, shall start within a configured time from its
// submission, or from the end of its last predecessor.

import (
	"cmp"
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

// startDeadlineTasks is how many tasks of an array or a service rank before all other jobs once its start is overdue.
// The number is small so that the promotion takes little from any team's guarantee. It ends with the first start.
const startDeadlineTasks = 2

// startDeadlineFraction is the fraction of the start deadline after which a job's start is overdue. The rest of the
// time is needed until enough machines become free for a large gang.
const startDeadlineFraction = 0.5

// startClass groups the jobs of the priority order by overdue starts. Jobs of lower classes rank first.
type startClass int

const (
	overdueArrayOrService  startClass = iota // arrays and services with an overdue start
	overdueWithinGuarantee                   // overdue gangs within their team's guarantee
	withinGuarantee                          // other jobs within their team's guarantee
	overdueBeyondGuarantee                   // overdue gangs beyond their team's guarantee
	beyondGuarantee                          // other jobs beyond their team's guarantee
)

// isOverdue reports whether the jobs of a class have overdue starts.
func (c startClass) isOverdue() bool { return c != withinGuarantee && c != beyondGuarantee }

// startOverdue reports whether startDeadlineFraction of the start deadline has passed and no task of the job has ever
// started. The time counts from the submission, which is durable, so that it survives a failover. For a job with
// predecessors it counts from the end of the last one, which is also available to every controller.
func (f *Fleet) startOverdue(now time.Duration, job *jobs.Job) bool {
	limit := jobs.Seconds(startDeadlineFraction * f.Settings.Operator.StartDeadlineS)
	if limit <= 0 || now-job.ReadyAt() <= limit {
		return false
	}
	hasStarted := job.Started || job.FinishedTasks > 0 || job.TasksOnMachines() > 0
	return !hasStarted && f.crashLooping(job) == nil && !job.PlanningBlocked()
}

// promoteOverdueJobs moves jobs with overdue starts forward in the priority order. Arrays and services, of which only
// startDeadlineTasks tasks are promoted, rank before all jobs. Gangs need more machines, so they rank only before the
// jobs that are, like them, within or beyond their team's guarantee.
//
// Without the promotion a large gang that has missed its objectives would rank behind every younger gang that can
// still meet them, forever if there is a constant stream of such gangs, and jobs of low priority would rank last as
// long as any other job waits. The promotion ends with a job's first start: otherwise the job, and another one that
// may preempt it, could stop each other in turn.
func (f *Fleet) promoteOverdueJobs(now time.Duration) {
	clear(f.ranking.startDeadlineDue)
	classes := make(map[jobs.Index]startClass, len(f.ranking.jobs))
	anyOverdue := false
	for _, job := range f.ranking.jobs {
		class := f.startClassOf(now, job)
		classes[job.Index] = class
		if class == overdueArrayOrService {
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
		return overdueArrayOrService
	case within && overdue:
		return overdueWithinGuarantee
	case within:
		return withinGuarantee
	case overdue:
		return overdueBeyondGuarantee
	}
	return beyondGuarantee
}
