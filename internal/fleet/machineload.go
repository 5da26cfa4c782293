package fleet

// The expected load of a machine, and estimates of when it will have room.

import (
	"cmp"
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/planner"
)

const (
	// unknownWaitSeconds is the estimate for a wait without a foreseeable end.
	unknownWaitSeconds = 1e6
	// maxCredibleWaitSeconds is the longest wait that is treated as an estimate. It is less than unknownWaitSeconds.
	maxCredibleWaitSeconds = 1e5
	// minRemainingSeconds is the lower bound of a task's remaining time. It is also used for tasks that may be preempted
	// and for tasks of ended jobs.
	minRemainingSeconds = 1.0
	// noRank is before every rank: with it, appendMachineWork ignores queued tasks.
	noRank = -1
)

// expectedEnds returns the expected end of each task on a machine, earliest first. The machine caches the result for
// expectedEndsValidFor.
func (f *Fleet) expectedEnds(now time.Duration, machine *Machine) []expectedEnd {
	if machine.endsValid && now-machine.endsComputedAt < expectedEndsValidFor {
		return machine.expectedEnds
	}
	machine.expectedEnds = machine.expectedEnds[:0]
	machine.endsComputedAt = now
	machine.endsValid = true
	for ref := range machine.Tasks {
		job := f.jobAt(ref.Job)
		remaining := minRemainingSeconds
		if !job.State.Terminal() {
			remaining = f.remainingSeconds(now, job, ref.Task)
		}
		end := expectedEnd{ref, now + jobs.Seconds(remaining), job.Spec.Size()}
		machine.expectedEnds = append(machine.expectedEnds, end)
	}
	f.PlanningSteps += uint64(len(machine.expectedEnds))
	slices.SortFunc(machine.expectedEnds, func(a, b expectedEnd) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task))
	})
	return machine.expectedEnds
}

// secondsUntilRoom estimates in how many seconds tasks on a machine end and make room for a task of a job. It returns
// unknownWaitSeconds if there would be too little room even after all of them have ended.
func (f *Fleet) secondsUntilRoom(now time.Duration, machine *Machine, job *jobs.Job) float64 {
	free := machine.Free()
	free = free.Sub(f.reservedFrom(machine, job))
	size := job.Spec.Size()
	for _, end := range f.expectedEnds(now, machine) {
		free = free.Add(end.size)
		if size.Fits(free) {
			return max(minRemainingSeconds, (end.at - now).Seconds())
		}
	}
	return unknownWaitSeconds
}

// appendMachineWork appends the load of a machine to work: the tasks on it, then the tasks queued there for jobs up to
// rank. A task that preemptor may preempt counts with only minRemainingSeconds; preemptor may be nil.
func (f *Fleet) appendMachineWork(
	work []planner.QueuedWork,
	now time.Duration,
	machine *Machine,
	rank int,
	preemptor *jobs.Job,
) []planner.QueuedWork {
	for _, end := range f.expectedEnds(now, machine) {
		remaining := max(minRemainingSeconds, (end.at - now).Seconds())
		if preemptor != nil && f.mayPreempt(preemptor, f.jobAt(end.Job)) {
			remaining = minRemainingSeconds
		}
		work = append(work, planner.QueuedWork{Size: end.size, Remaining: remaining})
	}
	f.PlanningSteps += uint64(len(machine.expectedEnds))
	if rank <= noRank || len(machine.queues) == 0 {
		return work
	}
	return f.appendQueuedWork(work, machine, rank)
}

// appendQueuedWork appends the tasks that are queued on a machine for jobs up to rank, in priority order. More than
// maxTasksListedSingly tasks of a job are appended as one load of the whole machine.
func (f *Fleet) appendQueuedWork(work []planner.QueuedWork, machine *Machine, rank int) []planner.QueuedWork {
	queuedJobs := f.scratch.jobIndices[:0]
	for _, queue := range machine.queues {
		if f.rankOf(f.jobAt(queue.job)) <= rank {
			queuedJobs = append(queuedJobs, queue.job)
		}
	}
	f.scratch.jobIndices = queuedJobs
	f.sortIndicesByRank(queuedJobs)
	f.PlanningSteps += uint64(len(queuedJobs))
	for _, jobIndex := range queuedJobs {
		job := f.jobAt(jobIndex)
		size := job.Spec.Size()
		taskCount := len(machine.queued(jobIndex))
		taskSeconds := f.estimate(job) * machine.slowdown
		if taskCount > maxTasksListedSingly {
			if copies := size.FitCount(machine.Capacity); copies > 0 {
				total := taskSeconds * float64(taskCount) / float64(copies)
				work = append(work, planner.QueuedWork{Size: machine.Capacity, Remaining: total})
			}
			continue
		}
		for range taskCount {
			work = append(work, planner.QueuedWork{Size: size, Remaining: taskSeconds})
		}
	}
	return work
}

// ExpectedWork returns the tasks on a machine with their expected remaining times. The result is valid until the next
// scheduling cycle or call.
func (f *Fleet) ExpectedWork(now time.Duration, machine *Machine) []planner.QueuedWork {
	f.scratch.work = f.appendMachineWork(f.scratch.work[:0], now, machine, noRank, nil)
	return f.scratch.work
}
