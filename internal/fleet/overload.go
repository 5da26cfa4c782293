package fleet

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/planner"
)

// deadlineJob is a job with a deadline in an overload: its last task must start by due, and
// before that the work, in resource-seconds, has to be fitted in.
type deadlineJob struct {
	latestStart time.Duration
	work        planner.Size
}

// heaviestFirst orders claimants by what they take of the scarcest resource, largest first.
type heaviestFirst struct {
	deadlineJobs []deadlineJob
	poolSeconds  func(planner.Size) float64
	indices      []int
}

func (h *heaviestFirst) Len() int { return len(h.indices) }
func (h *heaviestFirst) Less(a, b int) bool {
	x, y := h.poolSeconds(h.deadlineJobs[h.indices[a]].work), h.poolSeconds(h.deadlineJobs[h.indices[b]].work)
	if x != y {
		return x > y
	}
	return h.indices[a] < h.indices[b]
}
func (h *heaviestFirst) Swap(a, b int) { h.indices[a], h.indices[b] = h.indices[b], h.indices[a] }
func (h *heaviestFirst) Push(x any)    { h.indices = append(h.indices, x.(int)) }
func (h *heaviestFirst) Pop() any {
	x := h.indices[len(h.indices)-1]
	h.indices = h.indices[:len(h.indices)-1]
	return x
}

// secondsOfWork is how many seconds a pool takes for an amount of work: that of the resource
// which takes longest.
func secondsOfWork(work, pool planner.Size) float64 {
	s := 0.0
	for _, d := range [...][2]float64{{work.CPUs, pool.CPUs}, {work.GPUs, pool.GPUs}, {work.Mem, pool.Mem}} {
		if d[0] > 1e-9 {
			s = max(s, d[0]/max(d[1], 1e-9))
		}
	}
	return s
}

// unattainableDeadlines chooses which of several jobs can't all be done in time by a pool of machines, so
// that as many as possible are: by due time, and whenever too much has to be done before one
// the largest so far is given up (Moore and Hodgson). It returns who is given up.
func unattainableDeadlines(now time.Duration, cs []deadlineJob, pool planner.Size) []bool {
	late := make([]bool, len(cs))
	order := make([]int, len(cs))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(cs[a].latestStart, cs[b].latestStart) })
	h := &heaviestFirst{deadlineJobs: cs, poolSeconds: func(size planner.Size) float64 { return secondsOfWork(size, pool) }}
	sum := planner.Size{}
	for _, i := range order {
		heap.Push(h, i)
		sum = sum.Add(cs[i].work)
		for h.Len() > 0 && secondsOfWork(sum, pool) > (cs[i].latestStart-now).Seconds() {
			out := heap.Pop(h).(int)
			late[out] = true
			sum = sum.Sub(cs[out].work)
		}
	}
	return late
}

// plannableFraction is the part of the machines that deadlines may count on.
const plannableFraction = 0.75

// demoteUnattainableDeadlines lets the arrays whose next deadline is given up in an overload change places
// with those that can still meet theirs. All other jobs keep their ranks: an array that was
// moved behind every job without a deadline lost more than the overload took (harmonia).
func (f *Fleet) demoteUnattainableDeadlines(now time.Duration, keys map[jobs.Index]urgency) {
	pool := planner.Size{}
	for _, machine := range f.machines {
		if machine.Condition == Ready && !machine.Returning && !machine.Quarantined {
			pool = pool.Add(machine.Capacity.Sub(f.keptFree(machine, nil, machine.Capacity.GPUs)))
		}
	}
	var jobList []*jobs.Job
	var cs []deadlineJob
	var places []int // in f.order
	for at, job := range f.ranking.jobs {
		n := job.UnstartedTasks()
		k := keys[job.Index]
		if f.crashLooping(job) != nil {
			continue // it holds up nothing, and no deadline gives way to it
		}
		if job.Spec.Kind != jobs.Array || job.Spec.DeadlineS == nil || !k.attainable || n == 0 {
			pool = pool.Sub(job.Spec.Size().Times(float64(job.TasksOnMachines())))
			continue
		}
		jobList, places = append(jobList, job), append(places, at)
		cs = append(cs, deadlineJob{k.latestStart, job.Spec.Size().Times(float64(n) * f.estimate(job))})
	}
	f.PlanningSteps += uint64(len(f.machines) + 2*len(jobList))
	// Estimates are wrong, machines are lost and lanes never fill up quite: a set that only
	// just fits would miss its deadlines one after the other.
	pool = pool.Times(plannableFraction)
	late := unattainableDeadlines(now, cs, pool)
	for lo := 0; lo < len(jobList); {
		// Only within a rank that may not preempt the other.
		hi := lo + 1
		for hi < len(jobList) && jobList[hi].Priority == jobList[lo].Priority && f.ranking.withinGuarantee[jobList[hi].Index] == f.ranking.withinGuarantee[jobList[lo].Index] {
			hi++
		}
		at := lo
		for _, given := range []bool{false, true} {
			for i := lo; i < hi; i++ {
				if late[i] == given {
					f.ranking.jobs[places[at]] = jobList[i]
					at++
				}
			}
		}
		lo = hi
	}
}
