package fleet

// That every job begins: whatever its size and rank, within a time from its submission.

import (
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/jobs"
)

// startDeadlineTasks is how many tasks of an array or a service go before everybody else once it is overdue to begin. That is
// so little that nobody's guarantee feels it, and stops with its first start.
const startDeadlineTasks = 2

// startDeadlineFraction is the part of the time in which every job is to begin after which one goes first: what a large gang needs is
// gathered as tasks end, and that takes the rest.
const startDeadlineFraction = 0.5

// startOverdue tells whether nothing of a job has ever started though it has waited for long. Its age counts from its
// submission, which is durable, so that it survives a change of the lead.
func (f *Fleet) startOverdue(now time.Duration, job *jobs.Job) bool {
	limit := config.Seconds(startDeadlineFraction * f.Settings.Operator.BeginS)
	return limit > 0 && !job.Started && job.FinishedTasks == 0 && job.TasksOnMachines() == 0 && now-job.SubmittedAt > limit && f.crashLooping(job) == nil && !job.Idle()
}

// promoteOverdueJobs moves what is overdue to begin forward in the order of ranks: a few tasks of arrays and services before
// everybody; gangs, which take more, before all others that lie within their team's guarantee like them, or don't. Without it
// a large gang that has missed its aims ranks behind every younger one that still can meet them, for ever under a
// constant stream, and guests behind everybody as long as anybody waits. It ends with a job's first start, so that
// it and a job that may preempt it can't take turns.
func (f *Fleet) promoteOverdueJobs(now time.Duration) {
	clear(f.ranking.startDeadlineDue)
	place := func(job *jobs.Job) int {
		late := f.startOverdue(now, job)
		switch {
		case late && job.Spec.Kind != jobs.Gang:
			f.ranking.startDeadlineDue[job.Index] = true
			return 0
		case f.ranking.withinGuarantee[job.Index] && late:
			return 1
		case f.ranking.withinGuarantee[job.Index]:
			return 2
		case late:
			return 3
		}
		return 4
	}
	places := make(map[jobs.Index]int, len(f.ranking.jobs))
	moved := false
	for _, job := range f.ranking.jobs {
		p := place(job)
		places[job.Index] = p
		moved = moved || p%2 == 1 || p == 0
	}
	if !moved {
		return
	}
	slices.SortStableFunc(f.ranking.jobs, func(a, b *jobs.Job) int {
		if d := places[a.Index] - places[b.Index]; d != 0 || places[a.Index]%2 == 0 && places[a.Index] > 0 {
			return d
		}
		return int(min(1, max(-1, a.SubmittedAt-b.SubmittedAt))) // the oldest first among those that are overdue
	})
}
