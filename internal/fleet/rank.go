package fleet

import (
	"sort"
	"time"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/planner"
)

// nextDue is when a job's next start should have happened at the latest, and whether any of
// its aims can still be met.
func (f *Fleet) nextDue(now time.Duration, j *jobs.Job) (time.Duration, bool) {
	best, ok := time.Duration(1<<62), false
	est := config.Seconds(f.estimate(j))
	consider := func(d time.Duration) {
		if d >= now && d < best {
			best, ok = d, true
		}
	}
	if j.Spec.DeadlineS != nil {
		consider(j.SubmittedAt + config.Seconds(*j.Spec.DeadlineS) - est)
	}
	for _, o := range f.Settings.Params.Objectives {
		if o.Kind == "guarantee" && f.withinGuarantee[j.Index] && !j.Started {
			consider(j.SubmittedAt + config.Seconds(o.WithinS))
		}
		if o.Class != j.Spec.Class {
			continue
		}
		switch o.Kind {
		case "wait":
			if !j.Started {
				consider(j.SubmittedAt + config.Seconds(o.WithinS))
			}
		case "finished":
			consider(j.SubmittedAt + config.Seconds(o.WithinS) - est)
		case "deadline":
			if j.Spec.DeadlineS != nil && o.Times > 1 {
				consider(j.SubmittedAt + config.Seconds(*j.Spec.DeadlineS*o.Times) - est)
			}
		}
	}
	if !ok {
		return j.SubmittedAt, false
	}
	return best, true
}

// rankKey is a job's place among its equals: its latest useful start, and whether an aim
// can still be met.
type rankKey struct {
	due time.Duration
	ok  bool
}

// RankJobs orders the live jobs: what lies within its team's guarantee first, then by
// priority, then the latest start that still meets an aim; jobs past all aims come last, oldest
// first.
func (f *Fleet) RankJobs(now time.Duration) {
	f.rankedAt = now
	for _, j := range f.ranked {
		j.QueuePosition = 0
	}
	f.ranked = f.ranked[:0]
	f.Jobs.ForEachLive(func(j *jobs.Job) {
		if j.Tasks != nil && j.Spec != nil {
			f.ranked = append(f.ranked, j)
		}
	})
	sort.Slice(f.ranked, func(a, b int) bool {
		if f.ranked[a].SubmittedAt != f.ranked[b].SubmittedAt {
			return f.ranked[a].SubmittedAt < f.ranked[b].SubmittedAt
		}
		return f.ranked[a].ID < f.ranked[b].ID
	})
	demand := map[int32]planner.Size{}
	clear(f.withinGuarantee)
	keys := make(map[jobs.Index]rankKey, len(f.ranked))
	for _, j := range f.ranked {
		s := j.Spec.Size()
		n := float64(j.TaskCount - j.FinishedTasks)
		sum := demand[j.Team].Add(planner.Size{CPUs: s.CPUs * n, GPUs: s.GPUs * n})
		demand[j.Team] = sum
		f.withinGuarantee[j.Index] = f.Gate.Quota.Within(j.Team, s, sum)
		d, ok := f.nextDue(now, j)
		keys[j.Index] = rankKey{d, ok}
	}
	f.sortByRank(f.ranked, keys)
	f.yieldRanks(now, keys)
	f.markStartDeadlines(now)
	for i, j := range f.ranked {
		j.QueuePosition = i + 1
	}
}

// sortByRank orders jobs among which equal ones keep their places.
func (f *Fleet) sortByRank(js []*jobs.Job, keys map[jobs.Index]rankKey) {
	sort.SliceStable(js, func(a, b int) bool {
		x, y := js[a], js[b]
		// What may preempt the other must also rank before it, or the room it made
		// would be taken by its victims again.
		if wx, wy := f.withinGuarantee[x.Index], f.withinGuarantee[y.Index]; wx != wy {
			return wx
		}
		if x.Priority != y.Priority {
			return x.Priority > y.Priority
		}
		kx, ky := keys[x.Index], keys[y.Index]
		if kx.ok != ky.ok {
			return kx.ok
		}
		return kx.due < ky.due
	})
}
