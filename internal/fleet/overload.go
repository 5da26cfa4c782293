package fleet

// Overload: which deadlines are given up when not all can be met.

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/planner"
)

// plannableFraction is the part of the machines that deadlines may count on. Estimates are wrong, machines are lost
// and slots never fill up quite: a set of jobs that only just fits would miss its deadlines one after the other.
const plannableFraction = 0.75

// negligibleAmount is the amount of a resource below which it counts as none.
const negligibleAmount = 1e-9

// deadlineJob is an array with a deadline that can still be met.
type deadlineJob struct {
	job         *jobs.Job
	position    int           // in the priority order
	latestStart time.Duration // of its last task
	work        planner.Size  // to be done before that, in resource-seconds
}

// heaviestFirst is a heap of deadline jobs, the one with the most work in the scarcest resource first.
type heaviestFirst struct {
	jobs    []deadlineJob
	pool    planner.Size
	indices []int // into jobs
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

// secondsOfWork returns how many seconds a pool of machines takes for an amount of work: those of the resource that
// takes longest.
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

// unattainableDeadlines chooses the jobs whose deadlines are given up, so that a pool of machines meets as many of
// the others as possible. It uses the algorithm of Moore and Hodgson: jobs are taken by latest start, and whenever
// the work up to one takes too long, the heaviest job so far is given up. The result is true for each job that is
// given up.
func unattainableDeadlines(now time.Duration, deadlineJobs []deadlineJob, pool planner.Size) []bool {
	givenUp := make([]bool, len(deadlineJobs))
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
			givenUp[heaviest] = true
			total = total.Sub(deadlineJobs[heaviest].work)
		}
	}
	return givenUp
}

// demoteUnattainableDeadlines lets the arrays whose deadlines are given up in an overload change places, in the
// priority order, with arrays whose deadlines can still be met. All other jobs keep their ranks: to rank a given-up
// array behind every job without a deadline would lose more than the overload does.
func (f *Fleet) demoteUnattainableDeadlines(now time.Duration, urgencies map[jobs.Index]urgency) {
	deadlineJobs, pool := f.collectDeadlineJobs(urgencies)
	givenUp := unattainableDeadlines(now, deadlineJobs, pool.Scale(plannableFraction))
	for start := 0; start < len(deadlineJobs); {
		end := start + 1
		for end < len(deadlineJobs) && f.mayChangePlaces(deadlineJobs[start].job, deadlineJobs[end].job) {
			end++
		}
		f.moveGivenUpLast(deadlineJobs[start:end], givenUp[start:end])
		start = end
	}
}

// collectDeadlineJobs returns the arrays with deadlines that can still be met, in priority order, and the capacity
// that running tasks of other jobs leave for them. Jobs in a crash loop count on neither side.
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

// mayChangePlaces reports whether two jobs may change places in the priority order: neither may preempt the other.
func (f *Fleet) mayChangePlaces(a, b *jobs.Job) bool {
	return a.Priority == b.Priority && f.ranking.withinGuarantee[a.Index] == f.ranking.withinGuarantee[b.Index]
}

// moveGivenUpLast puts jobs whose deadlines are given up on the last of the positions that a group of jobs has in the
// priority order, and the others on the first. Both keep their order among themselves.
func (f *Fleet) moveGivenUpLast(group []deadlineJob, givenUp []bool) {
	next := 0
	for _, last := range []bool{false, true} {
		for i := range group {
			if givenUp[i] == last {
				f.ranking.jobs[group[next].position] = group[i].job
				next++
			}
		}
	}
}
