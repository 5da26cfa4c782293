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

// endsOf says when what is on a machine is expected to end, earliest first.
func (f *Fleet) endsOf(now time.Duration, m *Machine) []end {
	if m.endsOK && now-m.endsAt < endsFor {
		return m.ends
	}
	m.ends, m.endsAt, m.endsOK = m.ends[:0], now, true
	for r := range m.On {
		j := f.job(r.Job)
		left := 1.0
		if !j.State.Terminal() {
			left = f.left(now, j, r.Task)
		}
		m.ends = append(m.ends, end{r, now + config.Seconds(left), j.Spec.Size()})
	}
	f.Steps += uint64(len(m.ends))
	slices.SortFunc(m.ends, func(a, b end) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task))
	})
	return m.ends
}

// work lists what loads a machine: what is on it, then what is planned there and ranks
// before the job. Work that the job may preempt hardly counts.
func (f *Fleet) work(ws []planner.Work, now time.Duration, m *Machine, rank int, over *jobs.Job) []planner.Work {
	for _, e := range f.endsOf(now, m) {
		left := max(1, (e.at - now).Seconds())
		if over != nil && f.mayPreempt(over, f.job(e.Job)) {
			left = 1
		}
		ws = append(ws, planner.Work{Size: e.size, Left: left})
	}
	f.Steps += uint64(len(m.ends))
	if rank < 0 || len(m.lanes) == 0 {
		return ws
	}
	ixs := f.ixs[:0]
	for _, l := range m.lanes {
		if f.rankOf(f.job(l.job)) <= rank {
			ixs = append(ixs, l.job)
		}
	}
	f.ixs = ixs
	f.sortRanked(ixs)
	f.Steps += uint64(len(ixs))
	for _, ix := range ixs {
		j, n := f.job(ix), len(m.waiting(ix))
		est := f.estimate(j) * m.slow
		if n > manyWork {
			if c := j.Spec.Size().Copies(m.Size); c > 0 {
				ws = append(ws, planner.Work{Size: m.Size, Left: est * float64(n) / float64(c)})
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
	if j.TasksByState[jobs.Unplanned] == 0 || now < f.barren[j.Index] {
		return
	}
	if f.paused(now, j) {
		f.failingNote(j)
		return
	}
	if f.Steps-f.pass.began > arraySteps {
		f.note(j, verdict{cause: NotYet})
		return
	}
	var tasks []int32
	slice := min(planSlice, f.granted(j, j.UnstartedTasks())-j.TasksByState[jobs.Planned])
	if f.mistaken(j) != nil {
		slice = min(slice, 1)
	}
	if f.first[j.Index] {
		slice = min(slice, beginTasks-j.TasksByState[jobs.Planned])
	}
	if slice <= 0 {
		f.denied(j, 1)
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
		f.retryNote(j, retry)
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
		if m.Condition != Acting || m.Retiring || !f.allowed(m, j) || (zone != jobs.None && m.Zone != zone) {
			continue
		}
		f.works = f.work(f.works[:0], now, m, rank, j)
		p.Initial = planner.Lanes(p.Initial, m.Size.Sub(f.keeps(m, j, m.Size.GPUs)), size, f.works)
		if len(p.Initial) == len(lane) {
			continue
		}
		if later := f.yields(m, j); later > 0 {
			for i := len(lane); i < len(p.Initial); i++ {
				p.Initial[i] += later
			}
		}
		hosts++
		has := m.HasImage(j.Image)
		if ty := f.typ(m); ty != nil && ty.FetchGB > 0 {
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
		f.barren[j.Index] = now + 500*time.Millisecond
		f.note(j, verdict{cause: NoMachine})
		return
	}
	delete(f.barren, j.Index)
	f.note(j, verdict{cause: NotYet}) // the rest, if a pass takes only a part
	f.Steps += uint64(4 * len(lane))
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
		f.plan(now, j, t, m)
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
	if f.pass.packed != nil {
		return f.pass.packed
	}
	most, n := 0, 0
	for _, m := range f.machines {
		most = max(most, len(m.On))
	}
	// A machine's class is its place among the kinds of machine, first to last.
	class := func(m *Machine) int {
		c := most - len(m.On)
		if !m.Spot {
			c += most + 1
		}
		return c
	}
	at := make([]int, 2*(most+1)+1)
	for _, m := range f.machines {
		if m.Condition == Acting && !m.Retiring && !m.Aside {
			at[class(m)+1]++
			n++
		}
	}
	for c := 1; c < len(at); c++ {
		at[c] += at[c-1]
	}
	ms := make([]*Machine, n)
	for _, m := range f.machines {
		if m.Condition == Acting && !m.Retiring && !m.Aside {
			c := class(m)
			ms[at[c]] = m
			at[c]++
		}
	}
	f.Steps += uint64(2 * len(ms))
	f.pass.packed = ms
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
		if m.Condition == Acting && !m.Aside && f.allowed(m, j) {
			sum[m.Zone] += 1 + 4*j.Spec.Size().Copies(m.Free())
			if sum[m.Zone] > best {
				best, zone = sum[m.Zone], m.Zone
			}
		}
	}
	return zone
}

// plan names a task's machine; the start waits until that is durable.
func (f *Fleet) plan(now time.Duration, j *jobs.Job, t int32, m *Machine) {
	f.must(j.SetTaskState(t, jobs.Planned))
	j.Tasks[t].Machine = m.Index
	f.lane(m, j, t)
	j.MarkDirty(t, true, now)
}
