package fleet

import (
	"sort"
	"time"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/planner"
)

// latestUsefulStart is when a job's next start should have happened at the latest, and whether any of
// its aims can still be met.
func (f *Fleet) latestUsefulStart(now time.Duration, job *jobs.Job) (time.Duration, bool) {
	best, ok := time.Duration(1<<62), false
	est := config.Seconds(f.estimate(job))
	consider := func(duration time.Duration) {
		if duration >= now && duration < best {
			best, ok = duration, true
		}
	}
	if job.Spec.DeadlineS != nil {
		consider(job.SubmittedAt + config.Seconds(*job.Spec.DeadlineS) - est)
	}
	for _, o := range f.Settings.Params.Objectives {
		if o.Kind == "guarantee" && f.ranking.withinGuarantee[job.Index] && !job.Started {
			consider(job.SubmittedAt + config.Seconds(o.WithinS))
		}
		if o.Class != job.Spec.Class {
			continue
		}
		switch o.Kind {
		case "wait":
			if !job.Started {
				consider(job.SubmittedAt + config.Seconds(o.WithinS))
			}
		case "finished":
			consider(job.SubmittedAt + config.Seconds(o.WithinS) - est)
		case "deadline":
			if job.Spec.DeadlineS != nil && o.Times > 1 {
				consider(job.SubmittedAt + config.Seconds(*job.Spec.DeadlineS*o.Times) - est)
			}
		}
	}
	if !ok {
		return job.SubmittedAt, false
	}
	return best, true
}

// urgency is a job's place among its equals: its latest useful start, and whether an aim
// can still be met.
type urgency struct {
	latestStart time.Duration
	attainable  bool
}

// RankJobs orders the live jobs: what lies within its team's guarantee first, then by
// priority, then the latest start that still meets an aim; jobs past all aims come last, oldest
// first.
func (f *Fleet) RankJobs(now time.Duration) {
	f.ranking.at = now
	for _, job := range f.ranking.jobs {
		job.QueuePosition = 0
	}
	f.ranking.jobs = f.ranking.jobs[:0]
	f.Jobs.ForEachLive(func(job *jobs.Job) {
		if job.Tasks != nil && job.Spec != nil {
			f.ranking.jobs = append(f.ranking.jobs, job)
		}
	})
	sort.Slice(f.ranking.jobs, func(a, b int) bool {
		if f.ranking.jobs[a].SubmittedAt != f.ranking.jobs[b].SubmittedAt {
			return f.ranking.jobs[a].SubmittedAt < f.ranking.jobs[b].SubmittedAt
		}
		return f.ranking.jobs[a].ID < f.ranking.jobs[b].ID
	})
	demand := map[int32]planner.Size{}
	clear(f.ranking.withinGuarantee)
	keys := make(map[jobs.Index]urgency, len(f.ranking.jobs))
	for _, job := range f.ranking.jobs {
		size := job.Spec.Size()
		n := float64(job.TaskCount - job.FinishedTasks)
		sum := demand[job.Team].Add(planner.Size{CPUs: size.CPUs * n, GPUs: size.GPUs * n})
		demand[job.Team] = sum
		f.ranking.withinGuarantee[job.Index] = f.Gate.Quota.Within(job.Team, size, sum)
		duration, ok := f.latestUsefulStart(now, job)
		keys[job.Index] = urgency{duration, ok}
	}
	f.sortByRank(f.ranking.jobs, keys)
	f.demoteUnattainableDeadlines(now, keys)
	f.promoteOverdueJobs(now)
	for i, job := range f.ranking.jobs {
		job.QueuePosition = i + 1
	}
}

// sortByRank orders jobs among which equal ones keep their places.
func (f *Fleet) sortByRank(jobList []*jobs.Job, keys map[jobs.Index]urgency) {
	sort.SliceStable(jobList, func(a, b int) bool {
		x, y := jobList[a], jobList[b]
		// What may preempt the other must also rank before it, or the room it made
		// would be taken by its victims again.
		if wx, wy := f.ranking.withinGuarantee[x.Index], f.ranking.withinGuarantee[y.Index]; wx != wy {
			return wx
		}
		if x.Priority != y.Priority {
			return x.Priority > y.Priority
		}
		kx, ky := keys[x.Index], keys[y.Index]
		if kx.attainable != ky.attainable {
			return kx.attainable
		}
		return kx.latestStart < ky.latestStart
	})
}
