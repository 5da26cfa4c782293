package fleet

// Arrays: the planner's work, and the lanes that follow from it.

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/planner"
)

// expectedEnds says when what is on a machine is expected to end, earliest first.
func (f *Fleet) expectedEnds(now time.Duration, machine *Machine) []expectedEnd {
	if machine.endsValid && now-machine.endsComputedAt < expectedEndsValidFor {
		return machine.expectedEnds
	}
	machine.expectedEnds, machine.endsComputedAt, machine.endsValid = machine.expectedEnds[:0], now, true
	for r := range machine.Tasks {
		job := f.jobAt(r.Job)
		left := 1.0
		if !job.State.Terminal() {
			left = f.remainingSeconds(now, job, r.Task)
		}
		machine.expectedEnds = append(machine.expectedEnds, expectedEnd{r, now + config.Seconds(left), job.Spec.Size()})
	}
	f.PlanningSteps += uint64(len(machine.expectedEnds))
	slices.SortFunc(machine.expectedEnds, func(a, b expectedEnd) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task))
	})
	return machine.expectedEnds
}

// appendMachineWork lists what loads a machine: what is on it, then what is planned there and ranks
// before the job. Work that the job may preempt hardly counts.
func (f *Fleet) appendMachineWork(ws []planner.Work, now time.Duration, machine *Machine, rank int, over *jobs.Job) []planner.Work {
	for _, e := range f.expectedEnds(now, machine) {
		left := max(1, (e.at - now).Seconds())
		if over != nil && f.mayPreempt(over, f.jobAt(e.Job)) {
			left = 1
		}
		ws = append(ws, planner.Work{Size: e.size, Left: left})
	}
	f.PlanningSteps += uint64(len(machine.expectedEnds))
	if rank < 0 || len(machine.queues) == 0 {
		return ws
	}
	ixs := f.scratch.jobs[:0]
	for _, queue := range machine.queues {
		if f.rankOf(f.jobAt(queue.job)) <= rank {
			ixs = append(ixs, queue.job)
		}
	}
	f.scratch.jobs = ixs
	f.sortRanked(ixs)
	f.PlanningSteps += uint64(len(ixs))
	for _, jobIndex := range ixs {
		job, n := f.jobAt(jobIndex), len(machine.queued(jobIndex))
		est := f.estimate(job) * machine.slowdown
		if n > maxTasksListedSingly {
			if c := job.Spec.Size().Copies(machine.Capacity); c > 0 {
				ws = append(ws, planner.Work{Size: machine.Capacity, Left: est * float64(n) / float64(c)})
			}
			continue
		}
		for range n {
			ws = append(ws, planner.Work{Size: job.Spec.Size(), Left: est})
		}
	}
	return ws
}

// planArray plans an array's unplanned tasks by Balance-Reduce over the lanes of all
// machines that may take them.
func (f *Fleet) planArray(now time.Duration, job *jobs.Job) {
	if job.TasksByState[jobs.Unplanned] == 0 || now < f.noMachineUntil[job.Index] {
		return
	}
	if f.inBackoff(now, job) {
		f.noteCrashLoop(job)
		return
	}
	if f.PlanningSteps-f.cycle.stepsAtStart > maxArraySteps {
		f.setPendingNote(job, pendingNote{cause: PlanningBehind})
		return
	}
	var tasks []int32
	slice := min(maxTasksPerPlan, f.grantedTasks(job, job.UnstartedTasks())-job.TasksByState[jobs.Planned])
	if f.crashLooping(job) != nil {
		slice = min(slice, 1)
	}
	if f.ranking.startDeadlineDue[job.Index] {
		slice = min(slice, startDeadlineTasks-job.TasksByState[jobs.Planned])
	}
	if slice <= 0 {
		f.noteDenied(job, 1)
		return
	}
	retry := time.Duration(1 << 62)
	for t := range job.Tasks {
		task := &job.Tasks[t]
		if task.State != jobs.Unplanned {
			continue
		}
		if task.NotBefore > now {
			retry = min(retry, task.NotBefore)
		} else if tasks = append(tasks, int32(t)); len(tasks) == slice {
			break
		}
	}
	if len(tasks) == 0 {
		f.noteRetry(job, retry)
		return
	}
	p := &planner.Problem{Local: f.estimate(job)}
	var lane []int32 // machine of each server
	var prefer, all []int32
	size := job.Spec.Size()
	hosts := 0
	fetch := 0.0
	zone := f.chooseZone(job)
	rank := f.rankOf(job)
	for _, machine := range f.packingOrder() {
		if machine.Condition != Ready || machine.Returning || !f.mayUse(machine, job) || (zone != jobs.None && machine.Zone != zone) {
			continue
		}
		f.scratch.work = f.appendMachineWork(f.scratch.work[:0], now, machine, rank, job)
		p.Initial = planner.Lanes(p.Initial, machine.Capacity.Sub(f.keptFree(machine, job, machine.Capacity.GPUs)), size, f.scratch.work)
		if len(p.Initial) == len(lane) {
			continue
		}
		if later := f.spotWaitLimit(machine, job); later > 0 {
			for i := len(lane); i < len(p.Initial); i++ {
				p.Initial[i] += later
			}
		}
		hosts++
		has := machine.HasImage(job.Image)
		if ty := f.machineType(machine); ty != nil && ty.FetchGB > 0 {
			fetch = max(fetch, job.Spec.ImageGB/ty.FetchGB)
		}
		for len(lane) < len(p.Initial) {
			s := int32(len(lane))
			lane = append(lane, machine.Index)
			all = append(all, s)
			if has {
				prefer = append(prefer, s)
			}
		}
	}
	if len(lane) == 0 {
		f.noMachineUntil[job.Index] = now + 500*time.Millisecond
		f.setPendingNote(job, pendingNote{cause: NoMachine})
		return
	}
	delete(f.noMachineUntil, job.Index)
	f.setPendingNote(job, pendingNote{cause: PlanningBehind}) // the rest, if a pass takes only a part
	f.PlanningSteps += uint64(4 * len(lane))
	// A loop looks at every lane, so many lanes allow fewer loops.
	p.MaxLoop = min(maxReduceLoops, max(16, maxSlotVisits/len(lane)))
	if len(prefer) == 0 {
		prefer = all
	}
	p.Groups = []planner.Group{{Tasks: tasks, Prefer: prefer}}
	// A machine fetches an image once for all its tasks, so the pool's tasks share the
	// fetches: with one lane's worth of remote tasks the cost is one whole fetch.
	q := f.Settings.Operator.NetworkFactor * fetch / float64(len(lane))
	p.Remote = func(r int) float64 { return p.Local + q*float64(r) }
	a := planner.Plan(p, f.Rng)
	n := 0
	for i, taskIndex := range tasks {
		s := a.Server[0][i]
		if s < 0 {
			continue
		}
		machine := f.machines[lane[s]]
		f.planTask(now, job, taskIndex, machine)
		n++
	}
	slog.Debug("array planned", "job", job.ID, "tasks", n, "remote", a.NRemote, "lanes", len(lane), "machines", hosts,
		"makespan_s", int(a.Makespan), "term", f.Term)
}

// packingOrder orders the machines for planning: between equally loaded lanes the planner takes
// the first, so spot machines, which fewer jobs can use, and machines in use come first and
// others stay free to be returned. The order is kept for the pass. It is made by counting: sorting
// the fleet in each pass was a twentieth of a leader's processor time.
func (f *Fleet) packingOrder() []*Machine {
	if f.cycle.packedMachines != nil {
		return f.cycle.packedMachines
	}
	most, n := 0, 0
	for _, machine := range f.machines {
		most = max(most, len(machine.Tasks))
	}
	// A machine's class is its place among the kinds of machine, first to last.
	class := func(machine *Machine) int {
		c := most - len(machine.Tasks)
		if !machine.Spot {
			c += most + 1
		}
		return c
	}
	at := make([]int, 2*(most+1)+1)
	for _, machine := range f.machines {
		if machine.Condition == Ready && !machine.Returning && !machine.Quarantined {
			at[class(machine)+1]++
			n++
		}
	}
	for c := 1; c < len(at); c++ {
		at[c] += at[c-1]
	}
	ms := make([]*Machine, n)
	for _, machine := range f.machines {
		if machine.Condition == Ready && !machine.Returning && !machine.Quarantined {
			c := class(machine)
			ms[at[c]] = machine
			at[c]++
		}
	}
	f.PlanningSteps += uint64(2 * len(ms))
	f.cycle.packedMachines = ms
	return ms
}

// chooseZone chooses the zone of a job that must stay in one: where its tasks are, else
// where most lanes are free.
func (f *Fleet) chooseZone(job *jobs.Job) int32 {
	if !job.Spec.OneZone {
		return jobs.None
	}
	for t := range job.Tasks {
		if task := &job.Tasks[t]; task.State == jobs.Planned || task.State.Occupies() {
			return f.machines[task.Machine].Zone
		}
	}
	best, zone := -1, jobs.None
	sum := map[int32]int{}
	for _, machine := range f.machines {
		if machine.Condition == Ready && !machine.Quarantined && f.mayUse(machine, job) {
			sum[machine.Zone] += 1 + 4*job.Spec.Size().Copies(machine.Free())
			if sum[machine.Zone] > best {
				best, zone = sum[machine.Zone], machine.Zone
			}
		}
	}
	return zone
}

// planTask names a task's machine; the start waits until that is durable.
func (f *Fleet) planTask(now time.Duration, job *jobs.Job, taskIndex int32, machine *Machine) {
	f.checkTransition(job.SetTaskState(taskIndex, jobs.Planned))
	job.Tasks[taskIndex].Machine = machine.Index
	f.enqueue(machine, job, taskIndex)
	job.MarkDirty(taskIndex, true, now)
}
