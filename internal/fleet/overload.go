package fleet

// Overload: the choice of deadlines to abandon if not all deadlines can be met.

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/planner"
)

// plannableFraction is the fraction of the machines' capacity on which deadlines may rely. The rest is a margin for
// wrong estimates, lost machines and slots that can't be filled completely. Without the margin, a set of jobs that
// barely fits would miss one deadline after the other.
const plannableFraction = 0.75

// negligibleAmount is the amount of a resource up to which it is treated as zero.
const negligibleAmount = 1e-9

// deadlineJob is an array with a deadline that can still be met.
type deadlineJob struct {
	job         *jobs.Job
	position    int           // index in the priority order
	latestStart time.Duration // latest start of its last task
	work        planner.Size  // work of its unstarted tasks, in resource-seconds
}

// heaviestFirst is a heap of deadline jobs with the most work in its scarcest resource on top.
type heaviestFirst struct {
	jobs    []deadlineJob
	pool    planner.Size
	indices []int // indices into jobs
}

// Len implements heap.Interface.
func (h *heaviestFirst) Len() int { return len(h.indices) }

// Less implements heap.Interface.
func (h *heaviestFirst) Less(a, b int) bool {
	x := h.indices[a]
	y := h.indices[b]
	xSeconds := secondsOfWork(h.jobs[x].work, h.pool)
	ySeconds := secondsOfWork(h.jobs[y].work, h.pool)
	if xSeconds != ySeconds {
		return xSeconds > ySeconds
	}
	return x < y
}

// Swap implements heap.Interface.
func (h *heaviestFirst) Swap(a, b int) { h.indices[a], h.indices[b] = h.indices[b], h.indices[a] }

// Push implements heap.Interface.
func (h *heaviestFirst) Push(x any) { h.indices = append(h.indices, x.(int)) }

// Pop implements heap.Interface.
func (h *heaviestFirst) Pop() any {
	last := h.indices[len(h.indices)-1]
	h.indices = h.indices[:len(h.indices)-1]
	return last
}

// secondsOfWork returns how many seconds a pool of machines needs for an amount of work. This is the time of the
// resource that takes longest.
func secondsOfWork(work, pool planner.Size) float64 {
	resources := [...]struct{ work, pool float64 }{
		{work.CPUs, pool.CPUs},
		{work.GPUs, pool.GPUs},
		{work.Mem, pool.Mem},
	}
	seconds := 0.0
	for _, resource := range resources {
		if resource.work > negligibleAmount {
			seconds = max(seconds, resource.work/max(resource.pool, negligibleAmount))
		}
	}
	return seconds
}

// unattainableDeadlines chooses the jobs whose deadlines are abandoned, so that a pool of machines meets as many
// deadlines as possible. It uses the Moore-Hodgson algorithm: jobs are added in the order of their latest starts, and
// whenever the added work takes too long, the heaviest job so far is removed. The result is true for each removed job.
func unattainableDeadlines(now time.Duration, deadlineJobs []deadlineJob, pool planner.Size) []bool {
	abandoned := make([]bool, len(deadlineJobs))
	order := make([]int, len(deadlineJobs))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(deadlineJobs[a].latestStart, deadlineJobs[b].latestStart)
	})
	accepted := &heaviestFirst{jobs: deadlineJobs, pool: pool}
	total := planner.Size{}
	for _, i := range order {
		heap.Push(accepted, i)
		total = total.Add(deadlineJobs[i].work)
		available := (deadlineJobs[i].latestStart - now).Seconds()
		for accepted.Len() > 0 && secondsOfWork(total, pool) > available {
			heaviest := heap.Pop(accepted).(int)
			abandoned[heaviest] = true
			total = total.Sub(deadlineJobs[heaviest].work)
		}
	}
	return abandoned
}

// demoteUnattainableDeadlines swaps the ranks of arrays whose deadlines are abandoned in an overload with those of
// lower-ranked arrays whose deadlines can still be met. All other jobs keep their ranks: ranking an abandoned array
// behind every job without a deadline would lose more than the overload does.
func (f *Fleet) demoteUnattainableDeadlines(now time.Duration, urgencies map[jobs.Index]urgency) {
	deadlineJobs, pool := f.collectDeadlineJobs(urgencies)
	abandoned := unattainableDeadlines(now, deadlineJobs, pool.Scale(plannableFraction))
	for start := 0; start < len(deadlineJobs); {
		end := start + 1
		for end < len(deadlineJobs) && f.maySwapRanks(deadlineJobs[start].job, deadlineJobs[end].job) {
			end++
		}
		f.moveAbandonedLast(deadlineJobs[start:end], abandoned[start:end])
		start = end
	}
}

// collectDeadlineJobs returns the arrays with deadlines that can still be met, in priority order, and the capacity of
// all machines without that of other jobs' running tasks. Jobs in a crash loop are ignored on both sides.
func (f *Fleet) collectDeadlineJobs(urgencies map[jobs.Index]urgency) ([]deadlineJob, planner.Size) {
	pool := planner.Size{}
	for _, machine := range f.machines {
		if takesWork(machine) {
			pool = pool.Add(machine.Capacity.Sub(f.reservedForGPUWork(machine, nil, machine.Capacity.GPUs)))
		}
	}
	var deadlineJobs []deadlineJob
	for position, job := range f.ranking.jobs {
		if f.crashLooping(job) != nil {
			continue
		}
		unstarted := job.UnstartedTasks()
		jobUrgency := urgencies[job.Index]
		hasDeadline := job.Spec.Kind == jobs.Array && job.Spec.DeadlineS != nil
		if !hasDeadline || !jobUrgency.attainable || unstarted == 0 {
			pool = pool.Sub(job.Spec.Size().Scale(float64(job.TasksOnMachines())))
			continue
		}
		deadlineJobs = append(deadlineJobs, deadlineJob{
			job:         job,
			position:    position,
			latestStart: jobUrgency.latestStart,
			work:        job.Spec.Size().Scale(float64(unstarted) * f.estimate(job)),
		})
	}
	f.PlanningSteps += uint64(len(f.machines) + 2*len(deadlineJobs))
	return deadlineJobs, pool
}

// maySwapRanks reports whether two jobs may swap ranks. This requires that neither may preempt the other.
func (f *Fleet) maySwapRanks(a, b *jobs.Job) bool {
	return a.Priority == b.Priority && f.ranking.withinGuarantee[a.Index] == f.ranking.withinGuarantee[b.Index]
}

// moveAbandonedLast redistributes the positions that a group of jobs has in the priority order. Jobs with abandoned
// deadlines get the last positions and the others the first. Within each of the two sets the order is kept.
func (f *Fleet) moveAbandonedLast(group []deadlineJob, abandoned []bool) {
	next := 0
	for _, last := range []bool{false, true} {
		for i := range group {
			if abandoned[i] == last {
				f.ranking.jobs[group[next].position] = group[i].job
				next++
			}
		}
	}
}
