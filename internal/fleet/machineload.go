package fleet

// What loads a machine, and when it is expected to have room.

import (
	"cmp"
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/planner"
)

const (
	// unknownWaitSeconds stands for a wait of which no end is expected.
	unknownWaitSeconds = 1e6
	// maxCredibleWaitSeconds is the longest wait that counts as an estimate. It is below unknownWaitSeconds.
	maxCredibleWaitSeconds = 1e5
	// minRemainingSeconds is the least remaining time counted for a task, and what counts for one that is being
	// stopped or may be preempted.
	minRemainingSeconds = 1.0
	// noRank is below every rank: no queued work counts.
	noRank = -1
)

// expectedEnds returns when each task on a machine is expected to end, earliest first. The machine keeps the result.
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

// secondsUntilRoom estimates when a machine will have room for a task of a job: unknownWaitSeconds if the end of
// all its tasks does not make room.
func (f *Fleet) secondsUntilRoom(now time.Duration, machine *Machine, job *jobs.Job) float64 {
	free := machine.Free()
	if f.isReservedFrom(machine, job) {
		free = free.Sub(machine.reserved)
	}
	size := job.Spec.Size()
	for _, end := range f.expectedEnds(now, machine) {
		free = free.Add(end.size)
		if size.Fits(free) {
			return max(minRemainingSeconds, (end.at - now).Seconds())
		}
	}
	return unknownWaitSeconds
}

// appendMachineWork appends to work what loads a machine: the tasks on it, then the tasks queued there for jobs up
// to a rank. Tasks that preemptor, which may be nil, may preempt hardly count.
func (f *Fleet) appendMachineWork(
	work []planner.Work,
	now time.Duration,
	machine *Machine,
	rank int,
	preemptor *jobs.Job,
) []planner.Work {
	for _, end := range f.expectedEnds(now, machine) {
		remaining := max(minRemainingSeconds, (end.at - now).Seconds())
		if preemptor != nil && f.mayPreempt(preemptor, f.jobAt(end.Job)) {
			remaining = minRemainingSeconds
		}
		work = append(work, planner.Work{Size: end.size, Remaining: remaining})
	}
	f.PlanningSteps += uint64(len(machine.expectedEnds))
	if rank <= noRank || len(machine.queues) == 0 {
		return work
	}
	return f.appendQueuedWork(work, machine, rank)
}

// appendQueuedWork appends the tasks that are queued on a machine for jobs up to a rank, in priority order.
func (f *Fleet) appendQueuedWork(work []planner.Work, machine *Machine, rank int) []planner.Work {
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
			if copies := size.Copies(machine.Capacity); copies > 0 {
				total := taskSeconds * float64(taskCount) / float64(copies)
				work = append(work, planner.Work{Size: machine.Capacity, Remaining: total})
			}
			continue
		}
		for range taskCount {
			work = append(work, planner.Work{Size: size, Remaining: taskSeconds})
		}
	}
	return work
}

// ExpectedWork returns the tasks on a machine with their remaining times, in a buffer that is valid until the next
// call.
func (f *Fleet) ExpectedWork(now time.Duration, machine *Machine) []planner.Work {
	f.scratch.work = f.appendMachineWork(f.scratch.work[:0], now, machine, noRank, nil)
	return f.scratch.work
}
