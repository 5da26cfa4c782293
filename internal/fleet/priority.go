package fleet

// The priority order of jobs.

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/planner"
)

// The kinds of objectives in the settings.
const (
	objectiveGuarantee = "guarantee" // a job within its team's guarantee starts within WithinS
	objectiveWait      = "wait"      // a job of the class starts within WithinS
	objectiveFinished  = "finished"  // a job of the class ends within WithinS
	objectiveDeadline  = "deadline"  // a job of the class ends within Times * its deadline
)

// never is a time later than any other.
const never = time.Duration(1 << 62)

// startLimit computes the earliest of several latest starts. Those that have passed are ignored.
type startLimit struct {
	now      time.Duration
	earliest time.Duration // never if none was added or all have passed
}

// add adds a latest start. It ignores a time in the past.
func (l *startLimit) add(latestStart time.Duration) {
	if latestStart >= l.now {
		l.earliest = min(l.earliest, latestStart)
	}
}

// latestUsefulStart returns the latest time at which a job can start without missing a further objective or deadline.
// If the job has none, or has missed them all, it returns the time of submission and false.
func (f *Fleet) latestUsefulStart(now time.Duration, job *jobs.Job) (time.Duration, bool) {
	limit := startLimit{now: now, earliest: never}
	runTime := jobs.Seconds(f.estimate(job))
	if deadline, ok := job.Deadline(); ok {
		limit.add(deadline - runTime)
	}
	if latestEnd, needed := f.ranking.latestEnds[job.Index]; needed {
		limit.add(latestEnd - runTime)
	}
	for i := range f.Settings.Params.Objectives {
		objective := &f.Settings.Params.Objectives[i]
		if objective.Kind == objectiveGuarantee && f.ranking.withinGuarantee[job.Index] && !job.Started {
			limit.add(job.ReadyAt() + jobs.Seconds(objective.WithinS))
		}
		if objective.Class != job.Spec.Class {
			continue
		}
		switch objective.Kind {
		case objectiveWait:
			if !job.Started {
				limit.add(job.ReadyAt() + jobs.Seconds(objective.WithinS))
			}
		case objectiveFinished:
			limit.add(job.ReadyAt() + jobs.Seconds(objective.WithinS) - runTime)
		case objectiveDeadline:
			if job.Spec.DeadlineS != nil && objective.Times > 1 {
				limit.add(job.SubmittedAt + jobs.Seconds(*job.Spec.DeadlineS*objective.Times) - runTime)
			}
		}
	}
	if limit.earliest == never {
		return job.SubmittedAt, false
	}
	return limit.earliest, true
}

// urgency is the sort key of jobs that have the same priority.
type urgency struct {
	latestStart time.Duration
	attainable  bool // the job can still meet an objective or deadline
}

// RankJobs rebuilds the priority order of live jobs. Jobs within their team's guarantee come first, then jobs are
// ordered by priority, then by the latest start that still meets an objective. At equal priority, jobs that can no
// longer meet an objective come last, oldest first.
func (f *Fleet) RankJobs(now time.Duration) {
	f.ranking.at = now
	for _, job := range f.ranking.jobs {
		job.QueuePosition = 0
	}
	f.collectLiveJobs()
	f.findJobsWithinGuarantee()
	f.findLatestEnds()
	urgencies := make(map[jobs.Index]urgency, len(f.ranking.jobs))
	for _, job := range f.ranking.jobs {
		latestStart, attainable := f.latestUsefulStart(now, job)
		urgencies[job.Index] = urgency{latestStart, attainable}
	}
	f.sortByRank(f.ranking.jobs, urgencies)
	f.demoteUnattainableDeadlines(now, urgencies)
	f.promoteOverdueJobs(now)
	for i, job := range f.ranking.jobs {
		job.QueuePosition = i + 1
	}
}

// collectLiveJobs fills the ranking with the live jobs, oldest first.
func (f *Fleet) collectLiveJobs() {
	f.ranking.jobs = f.ranking.jobs[:0]
	f.Jobs.ForEachLive(func(job *jobs.Job) {
		if job.Tasks != nil && job.Spec != nil {
			f.ranking.jobs = append(f.ranking.jobs, job)
		}
	})
	slices.SortFunc(f.ranking.jobs, func(a, b *jobs.Job) int {
		if a.SubmittedAt != b.SubmittedAt {
			return cmp.Compare(a.SubmittedAt, b.SubmittedAt)
		}
		return cmp.Compare(a.ID, b.ID)
	})
}

// findLatestEnds records, for each job on which jobs with deadlines depend, the latest end that still lets those
// deadlines be met.
func (f *Fleet) findLatestEnds() {
	clear(f.ranking.latestEnds)
	if f.LatestEnds == nil {
		return
	}
	latestEndOf := f.LatestEnds(f.StageTime)
	for _, job := range f.ranking.jobs {
		if latestEnd, needed := latestEndOf(job); needed {
			f.ranking.latestEnds[job.Index] = latestEnd
		}
	}
}

// findJobsWithinGuarantee marks the jobs that their team's guarantee covers. Each job is counted together with the
// unfinished tasks of the team's older jobs.
func (f *Fleet) findJobsWithinGuarantee() {
	clear(f.ranking.withinGuarantee)
	demandByTeam := map[int32]planner.Size{}
	for _, job := range f.ranking.jobs {
		size := job.Spec.Size()
		unfinished := float64(job.TaskCount - job.FinishedTasks)
		demand := demandByTeam[job.Team].Add(planner.Size{CPUs: size.CPUs * unfinished, GPUs: size.GPUs * unfinished})
		demandByTeam[job.Team] = demand
		f.ranking.withinGuarantee[job.Index] = f.Gate.Quota.WithinGuarantee(job.Team, size, demand)
	}
}

// sortByRank sorts jobs into priority order. The sort is stable.
func (f *Fleet) sortByRank(jobList []*jobs.Job, urgencies map[jobs.Index]urgency) {
	sort.SliceStable(jobList, func(a, b int) bool {
		x := jobList[a]
		y := jobList[b]
		// A job must rank before every job that it may preempt: otherwise its victims would be started again in the
		// room that it freed.
		xWithin := f.ranking.withinGuarantee[x.Index]
		if xWithin != f.ranking.withinGuarantee[y.Index] {
			return xWithin
		}
		if x.Priority != y.Priority {
			return x.Priority > y.Priority
		}
		xUrgency := urgencies[x.Index]
		yUrgency := urgencies[y.Index]
		if xUrgency.attainable != yUrgency.attainable {
			return xUrgency.attainable
		}
		return xUrgency.latestStart < yUrgency.latestStart
	})
}
