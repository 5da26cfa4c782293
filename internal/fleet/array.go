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
func (f *Fleet) expectedEnds(now time.Duration, m *Machine) []expectedEnd {
	if m.endsValid && now-m.endsComputedAt < endsFor {
		return m.expectedEnds
	}
	m.expectedEnds, m.endsComputedAt, m.endsValid = m.expectedEnds[:0], now, true
	for r := range m.Tasks {
		j := f.jobAt(r.Job)
		left := 1.0
		if !j.State.Terminal() {
			left = f.remainingSeconds(now, j, r.Task)
		}
		m.expectedEnds = append(m.expectedEnds, expectedEnd{r, now + config.Seconds(left), j.Spec.Size()})
	}
	f.PlanningSteps += uint64(len(m.expectedEnds))
	slices.SortFunc(m.expectedEnds, func(a, b expectedEnd) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task))
	})
	return m.expectedEnds
}

// appendWork lists what loads a machine: what is on it, then what is planned there and ranks
// before the job. Work that the job may preempt hardly counts.
func (f *Fleet) appendWork(ws []planner.Work, now time.Duration, m *Machine, rank int, over *jobs.Job) []planner.Work {
	for _, e := range f.expectedEnds(now, m) {
		left := max(1, (e.at - now).Seconds())
		if over != nil && f.mayPreempt(over, f.jobAt(e.Job)) {
			left = 1
		}
		ws = append(ws, planner.Work{Size: e.size, Left: left})
	}
	f.PlanningSteps += uint64(len(m.expectedEnds))
	if rank < 0 || len(m.queues) == 0 {
		return ws
	}
	ixs := f.jobScratch[:0]
	for _, l := range m.queues {
		if f.rankOf(f.jobAt(l.job)) <= rank {
			ixs = append(ixs, l.job)
		}
	}
	f.jobScratch = ixs
	f.sortRanked(ixs)
	f.PlanningSteps += uint64(len(ixs))
	for _, ix := range ixs {
		j, n := f.jobAt(ix), len(m.queued(ix))
		est := f.estimate(j) * m.slowdown
		if n > manyWork {
			if c := j.Spec.Size().Copies(m.Capacity); c > 0 {
				ws = append(ws, planner.Work{Size: m.Capacity, Left: est * float64(n) / float64(c)})
			}
			continue
		}
		for range n {
			ws = append(ws, planner.Work{Size: j.Spec.Size(), Left: est})
		}
	}
	return ws
}

// planArray plans an array's unplanned tasks by Balance-Reduce over the lanes of all
// machines that may take them.
func (f *Fleet) planArray(now time.Duration, j *jobs.Job) {
	if j.TasksByState[jobs.Unplanned] == 0 || now < f.noMachineUntil[j.Index] {
		return
	}
	if f.inBackoff(now, j) {
		f.noteCrashLoop(j)
		return
	}
	if f.PlanningSteps-f.cycle.began > arraySteps {
		f.setPendingNote(j, pendingNote{cause: PlanningBehind})
		return
	}
	var tasks []int32
	slice := min(planSlice, f.grantedTasks(j, j.UnstartedTasks())-j.TasksByState[jobs.Planned])
	if f.crashLooping(j) != nil {
		slice = min(slice, 1)
	}
	if f.startDeadlineDue[j.Index] {
		slice = min(slice, startDeadlineTasks-j.TasksByState[jobs.Planned])
	}
	if slice <= 0 {
		f.noteDenied(j, 1)
		return
	}
	retry := time.Duration(1 << 62)
	for t := range j.Tasks {
		k := &j.Tasks[t]
		if k.State != jobs.Unplanned {
			continue
		}
		if k.NotBefore > now {
			retry = min(retry, k.NotBefore)
		} else if tasks = append(tasks, int32(t)); len(tasks) == slice {
			break
		}
	}
	if len(tasks) == 0 {
		f.noteRetry(j, retry)
		return
	}
	p := &planner.Problem{Local: f.estimate(j)}
	var lane []int32 // machine of each server
	var prefer, all []int32
	size := j.Spec.Size()
	hosts := 0
	fetch := 0.0
	zone := f.oneZone(j)
	rank := f.rankOf(j)
	for _, m := range f.packed() {
		if m.Condition != Ready || m.Returning || !f.mayUse(m, j) || (zone != jobs.None && m.Zone != zone) {
			continue
		}
		f.workScratch = f.appendWork(f.workScratch[:0], now, m, rank, j)
		p.Initial = planner.Lanes(p.Initial, m.Capacity.Sub(f.keptFree(m, j, m.Capacity.GPUs)), size, f.workScratch)
		if len(p.Initial) == len(lane) {
			continue
		}
		if later := f.spotWaitLimit(m, j); later > 0 {
			for i := len(lane); i < len(p.Initial); i++ {
				p.Initial[i] += later
			}
		}
		hosts++
		has := m.HasImage(j.Image)
		if ty := f.machineType(m); ty != nil && ty.FetchGB > 0 {
			fetch = max(fetch, j.Spec.ImageGB/ty.FetchGB)
		}
		for len(lane) < len(p.Initial) {
			s := int32(len(lane))
			lane = append(lane, m.Index)
			all = append(all, s)
			if has {
				prefer = append(prefer, s)
			}
		}
	}
	if len(lane) == 0 {
		f.noMachineUntil[j.Index] = now + 500*time.Millisecond
		f.setPendingNote(j, pendingNote{cause: NoMachine})
		return
	}
	delete(f.noMachineUntil, j.Index)
	f.setPendingNote(j, pendingNote{cause: PlanningBehind}) // the rest, if a pass takes only a part
	f.PlanningSteps += uint64(4 * len(lane))
	// A loop looks at every lane, so many lanes allow fewer loops.
	p.MaxLoop = min(reduceLoop, max(16, reduceWork/len(lane)))
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
	for i, t := range tasks {
		s := a.Server[0][i]
		if s < 0 {
			continue
		}
		m := f.machines[lane[s]]
		f.planTask(now, j, t, m)
		n++
	}
	slog.Debug("array planned", "job", j.ID, "tasks", n, "remote", a.NRemote, "lanes", len(lane), "machines", hosts,
		"makespan_s", int(a.Makespan), "term", f.Term)
}

// packed orders the machines for planning: between equally loaded lanes the planner takes
// the first, so spot machines, which fewer jobs can use, and machines in use come first and
// others stay free to be returned. The order is kept for the pass. It is made by counting: sorting
// the fleet in each pass was a twentieth of a leader's processor time.
func (f *Fleet) packed() []*Machine {
	if f.cycle.packed != nil {
		return f.cycle.packed
	}
	most, n := 0, 0
	for _, m := range f.machines {
		most = max(most, len(m.Tasks))
	}
	// A machine's class is its place among the kinds of machine, first to last.
	class := func(m *Machine) int {
		c := most - len(m.Tasks)
		if !m.Spot {
			c += most + 1
		}
		return c
	}
	at := make([]int, 2*(most+1)+1)
	for _, m := range f.machines {
		if m.Condition == Ready && !m.Returning && !m.Quarantined {
			at[class(m)+1]++
			n++
		}
	}
	for c := 1; c < len(at); c++ {
		at[c] += at[c-1]
	}
	ms := make([]*Machine, n)
	for _, m := range f.machines {
		if m.Condition == Ready && !m.Returning && !m.Quarantined {
			c := class(m)
			ms[at[c]] = m
			at[c]++
		}
	}
	f.PlanningSteps += uint64(2 * len(ms))
	f.cycle.packed = ms
	return ms
}

// oneZone chooses the zone of a job that must stay in one: where its tasks are, else
// where most lanes are free.
func (f *Fleet) oneZone(j *jobs.Job) int32 {
	if !j.Spec.OneZone {
		return jobs.None
	}
	for t := range j.Tasks {
		if k := &j.Tasks[t]; k.State == jobs.Planned || k.State.Occupies() {
			return f.machines[k.Machine].Zone
		}
	}
	best, zone := -1, jobs.None
	sum := map[int32]int{}
	for _, m := range f.machines {
		if m.Condition == Ready && !m.Quarantined && f.mayUse(m, j) {
			sum[m.Zone] += 1 + 4*j.Spec.Size().Copies(m.Free())
			if sum[m.Zone] > best {
				best, zone = sum[m.Zone], m.Zone
			}
		}
	}
	return zone
}

// planTask names a task's machine; the start waits until that is durable.
func (f *Fleet) planTask(now time.Duration, j *jobs.Job, t int32, m *Machine) {
	f.checkTransition(j.SetTaskState(t, jobs.Planned))
	j.Tasks[t].Machine = m.Index
	f.enqueue(m, j, t)
	j.MarkDirty(t, true, now)
}
