package fleet

import (
	"cmp"
	"container/heap"
	"encoding/binary"
	"log/slog"
	"math"
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/events"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/licences"
	"github.com/harewalk/harewalk/internal/planner"
)

// Bounds on the work of one pass, so that no job however large stalls the loop.
const (
	planSlice  = 1024    // tasks planned at once
	reduceWork = 400_000 // lanes looked at by the loops of reduce, together
	reduceLoop = 256     // loops of reduce at once
	manyWork   = 64      // planned tasks read one by one into lane loads
	arraySteps = 40_000  // steps for planning arrays before the rest waits for the next pass
	searches   = 8       // preemptions for gangs
)

// endsFor is how long expected ends are used before they are estimated anew.
const endsFor = time.Second

// pass is what one pass of planning remembers.
type pass struct {
	fields map[shape]*field
	vain   map[plea]bool // preemption was tried for the like and nothing was found
	tries  int           // preemptions that were tried
	lowest int           // the lowest priority of any live job
	packed []*Machine    // see Fleet.packed
	began  uint64        // Steps at the start
}

// keeps is what tasks without an accelerator must leave of a machine, so that its idle
// accelerators can be used by work that waits for them: small tasks that took every core
// as it came free would never let a large one in.
func (f *Fleet) keeps(m *Machine, s planner.Size, idle float64) planner.Size {
	if s.GPUs > 0 || m.Size.GPUs == 0 || f.perGPU == (planner.Size{}) {
		return planner.Size{}
	}
	return f.perGPU.Times(idle)
}

// yields is by how many seconds a job that may use spot machines puts off an ordinary one
// which live jobs that may not use spot could need: they have no other.
func (f *Fleet) yields(m *Machine, j *jobs.Job) float64 {
	if m.Spot || !j.Spec.Spot || !f.ordinary[m.Type] {
		return 0
	}
	if j.Spec.Kind == jobs.Array {
		return yieldArray * f.estimate(j)
	}
	return yieldGang * f.estimate(j)
}

// What part of its run time a task may wait for a spot machine: one of an array is moved
// again if an ordinary machine stays free, a gang is not.
const (
	yieldArray = 0.5
	yieldGang  = 0.1
)

// share finds what waiting work takes of a machine for each accelerator.
func (f *Fleet) share() {
	f.perGPU = planner.Size{}
	clear(f.ordinary)
	for _, j := range f.order {
		if j.Parked {
			continue
		}
		if !j.Spec.Spot {
			for ix := range f.kinds {
				if t := f.Types(ix); t != nil && j.Allows(ix, j.Zone, false) && j.Spec.Size().Fits(t.Size) {
					f.ordinary[ix] = true
				}
			}
		}
		// What its team's limit keeps waiting needs no room.
		if s := j.Spec.Size(); s.GPUs > 0 && j.Left() > 0 && f.mayStart(j, 1) {
			f.perGPU.CPUs = max(f.perGPU.CPUs, s.CPUs/s.GPUs)
			f.perGPU.Mem = max(f.perGPU.Mem, s.Mem/s.GPUs)
		}
	}
}

// fits tells whether one more task of a job has room on a machine now.
func (f *Fleet) fits(m *Machine, j *jobs.Job) bool {
	s := j.Spec.Size()
	free := m.Free()
	if m.claimRank < f.rankOf(j) {
		free = free.Sub(m.claim)
	}
	free = free.Sub(f.keeps(m, s, m.Size.GPUs-m.Use.GPUs))
	if j.Spec.Kind == jobs.Array {
		// Gangs already planned here wait only for their plan to be durable.
		free = free.Sub(m.whole)
	}
	return s.Fits(free)
}

func (f *Fleet) rankOf(j *jobs.Job) int {
	if ix := int(j.Index); ix < len(f.rank) && f.rank[ix] > 0 {
		return f.rank[ix] - 1
	}
	return 1 << 30
}

// sortRanked orders jobs by rank.
func (f *Fleet) sortRanked(ixs []jobs.Index) {
	slices.SortFunc(ixs, func(a, b jobs.Index) int {
		return cmp.Or(cmp.Compare(f.rankOf(f.job(a)), f.rankOf(f.job(b))), cmp.Compare(a, b))
	})
}

// allowed tells whether a job's task may be on a machine, given where its others are.
func (f *Fleet) allowed(m *Machine, j *jobs.Job) bool {
	if !j.Allows(m.Type, m.Zone, m.Spot) || (len(j.Avoid) > 0 && f.Now() < j.Avoid[m.Index]) {
		return false
	}
	if j.Spec.OneZone {
		for z, n := range j.ZoneUse {
			if n > 0 && z != m.Zone {
				return false
			}
		}
	}
	if lim := j.Spec.ZoneLimit(); lim > 0 && j.ZoneUse[m.Zone]+j.ZoneUse[jobs.None] >= lim {
		return false
	}
	return true
}

// startable tells whether a planned task may be launched now.
func (f *Fleet) startable(now time.Duration, m *Machine, j *jobs.Job, t int32) bool {
	k := &j.Tasks[t]
	return j.Stance == jobs.Pending && k.State == jobs.Planned && k.Machine == m.Index && k.Until <= now &&
		j.IsDurable(t) && f.allowed(m, j) && f.fits(m, j) && (f.Gate.Booked(seatRef(j, t)) || f.Gate.Fits(claimOf(j), 1))
}

// nextAttempt makes an attempt that no term has used.
func (f *Fleet) nextAttempt() uint64 {
	f.counter++
	return f.Term<<24 | f.counter
}

// launch turns a planned task into a command.
func (f *Fleet) launch(now time.Duration, m *Machine, j *jobs.Job, t int32, attempt uint64) Command {
	k := &j.Tasks[t]
	k.Since, k.RunSince, k.Attempt = now, 0, attempt
	if !j.Started {
		slog.Info("job starts", "job", j.ID, "class", j.Spec.Class, "machine", m.Name, "waited_s", int((now - j.At).Seconds()),
			"fetch_s", int(f.fetchS(j, m)), "term", f.Term)
	}
	j.Started = true
	f.place(now, j, t, jobs.Launched)
	return Command{Op: opStart, Task: taskName(j, t), Attempt: attempt}
}

// starts launches what a machine's lanes hold, best rank first: a lane that reports free
// gets its next planned task.
func (f *Fleet) starts(now time.Duration, m *Machine) []Command {
	var out []Command
	if f.held || m.Condition != Acting || m.Retiring || m.Planned == 0 || !m.least.Fits(m.Free()) {
		return nil
	}
	ixs := f.ixs[:0]
	for _, l := range m.lanes {
		if j := f.job(l.job); j.Spec.Kind == jobs.Gang || f.fits(m, j) {
			ixs = append(ixs, l.job)
		}
	}
	f.ixs = ixs
	f.Steps += uint64(len(m.lanes))
	f.sortRanked(ixs)
	for _, ix := range ixs {
		j := f.job(ix)
		if j.Spec.Kind == jobs.Gang {
			out = append(out, f.startGang(now, m, j)...)
			continue
		}
		ts := m.waiting(ix)
		keep := ts[:0]
		for i, t := range ts {
			if !f.fits(m, j) {
				keep = append(keep, ts[i:]...)
				break
			}
			if !f.startable(now, m, j, t) {
				keep = append(keep, t)
				continue
			}
			out = append(out, f.launch(now, m, j, t, f.nextAttempt()))
		}
		if n := len(ts) - len(keep); n > 0 {
			m.wait(ix, keep)
			f.unqueue(m, j, n)
		}
	}
	return out
}

// startGang launches a gang's tasks on one machine, once the whole gang is planned
// durably and fits the team's limit. All tasks carry the attempt of the first.
func (f *Fleet) startGang(now time.Duration, m *Machine, j *jobs.Job) []Command {
	first := true
	planned := 0
	for t := range j.Tasks {
		k := &j.Tasks[t]
		switch {
		case k.State == jobs.Unplanned || k.State == jobs.Recovered || k.Halting || k.Until > now:
			return nil
		case k.State == jobs.Planned:
			if !j.IsDurable(int32(t)) || f.machines[k.Machine].Condition != Acting {
				return nil
			}
			planned++
		case k.State.Occupies():
			first = false
		}
	}
	if first {
		if !f.mayStart(j, planned) {
			return nil
		}
		j.Attempt = f.nextAttempt()
		j.GangAt, j.FetchS = now, 0
		for t := range j.Tasks {
			if k := &j.Tasks[t]; k.State == jobs.Planned {
				j.FetchS = max(j.FetchS, f.fetchS(j, f.machines[k.Machine]))
			}
		}
	}
	// A task that has its image waits gang_wait_s for the others and then gives up, which
	// costs the whole gang its start: where the image is at hand the launch is put off for
	// as long as the others fetch it, less a good part of what the task may wait.
	lead := j.FetchS - f.fetchS(j, m) - f.Settings.Params.Workers.GangWaitS/4
	if now < j.GangAt+config.Seconds(lead) {
		return nil
	}
	var out []Command
	for _, t := range slices.Clone(m.waiting(j.Index)) {
		if j.Tasks[t].State == jobs.Planned && f.startable(now, m, j, t) {
			f.dropLane(j, t)
			out = append(out, f.launch(now, m, j, t, j.Attempt))
		}
	}
	if first && len(out) > 0 {
		// The rest follows from other machines, some of it seconds later: nobody may take
		// its place meanwhile.
		f.book(now, j)
	}
	return out
}

// endsOf says when what is on a machine is expected to end, earliest first.
func (f *Fleet) endsOf(now time.Duration, m *Machine) []end {
	if m.endsOK && now-m.endsAt < endsFor {
		return m.ends
	}
	m.ends, m.endsAt, m.endsOK = m.ends[:0], now, true
	for r := range m.On {
		j := f.job(r.Job)
		left := 1.0
		if !j.Stance.Terminal() {
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
	if j.In[jobs.Unplanned] == 0 || now < f.barren[j.Index] {
		return
	}
	if f.Steps-f.pass.began > arraySteps {
		f.note(j, verdict{cause: NotYet})
		return
	}
	var tasks []int32
	slice := min(planSlice, f.granted(j, j.Left())-j.In[jobs.Planned])
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
		if k.Until > now {
			retry = min(retry, k.Until)
		} else if tasks = append(tasks, int32(t)); len(tasks) == slice {
			break
		}
	}
	if len(tasks) == 0 {
		f.note(j, verdict{cause: Retry, until: retry})
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
		p.Initial = planner.Lanes(p.Initial, m.Size.Sub(f.keeps(m, size, m.Size.GPUs)), size, f.works)
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
		if m.Condition == Acting && !m.Retiring {
			at[class(m)+1]++
			n++
		}
	}
	for c := 1; c < len(at); c++ {
		at[c] += at[c-1]
	}
	ms := make([]*Machine, n)
	for _, m := range f.machines {
		if m.Condition == Acting && !m.Retiring {
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
		if m.Condition == Acting && f.allowed(m, j) {
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
	f.must(j.Set(t, jobs.Planned))
	j.Tasks[t].Machine = m.Index
	f.lane(m, j, t)
	j.Touch(t, true, now)
}

// doubt weighs the wait for room against a fetch: when a task ends is an estimate that is
// often wrong by half, while a fetch takes what it takes, and a gang that waits in vain has
// lost the time for the fetch as well.
const doubt = 2.0

// prospect is when and how a machine could take a gang's task.
type prospect struct {
	m     *Machine
	at    float64 // seconds until room
	fetch float64
	score float64
}

// shape is what jobs have in common that may use the same machines equally well.
type shape struct {
	size  planner.Size
	image int32
	zone  int32
	spot  bool
	types string
}

// field lists the machines that may take tasks of a shape, best first, as they were when
// the pass first looked. Placing only takes room away during a pass, so what did not fit
// once is passed over for good.
type field struct {
	ps      []prospect
	next    int           // before it no prospect has room any more
	open    []int         // those that had room
	claimed map[int32]int // by zone, None for any: how far claims have got
}

// plea is what jobs have in common for which the same tasks may be preempted.
type plea struct {
	shape
	team    int32
	level   int
	within  bool
	n       int
	oneZone bool
}

func shapeOf(j *jobs.Job) shape {
	types := make([]byte, 0, 4*len(j.Types))
	for _, t := range j.Types {
		types = binary.LittleEndian.AppendUint32(types, uint32(t))
	}
	return shape{j.Spec.Size(), j.Image, j.Zone, j.Spec.Spot, string(types)}
}

// field finds or makes the list of machines for a job. Jobs that must keep off some
// machine, or away from their own tasks, have a list of their own.
func (f *Fleet) field(now time.Duration, j *jobs.Job) *field {
	common := len(j.Avoid) == 0 && j.On() == 0
	key := shapeOf(j)
	if fd := f.pass.fields[key]; common && fd != nil {
		return fd
	}
	fd := &field{ps: f.prospects(now, j), claimed: map[int32]int{}}
	for i, p := range fd.ps {
		if p.at == 0 {
			fd.open = append(fd.open, i)
		}
	}
	if common {
		f.pass.fields[key] = fd
	}
	return fd
}

// prospects lists the machines that may take a job, best first: earliest start, then the
// kind of machine that fewer jobs can use, then the tightest fit.
func (f *Fleet) prospects(now time.Duration, j *jobs.Job) []prospect {
	var ps []prospect
	size := j.Spec.Size()
	for _, m := range f.packed() {
		if m.Condition != Acting || m.Retiring || !size.Fits(m.Size) || !f.allowed(m, j) {
			continue
		}
		p := prospect{m: m, fetch: f.fetchS(j, m)}
		if !f.fits(m, j) {
			p.at = f.freeIn(now, m, j)
		}
		// Differences below a second are none.
		p.score = math.Floor(doubt*p.at + p.fetch + f.yields(m, j))
		ps = append(ps, p)
	}
	f.Steps += uint64(len(f.machines) + 4*len(ps))
	slices.SortFunc(ps, func(x, y prospect) int {
		if x.score != y.score {
			return cmp.Compare(x.score, y.score)
		}
		if x.m.Spot != y.m.Spot {
			if x.m.Spot {
				return -1
			}
			return 1
		}
		a, b := x.m.Free(), y.m.Free()
		return cmp.Or(cmp.Compare(a.GPUs, b.GPUs), cmp.Compare(a.CPUs, b.CPUs), cmp.Compare(x.m.Index, y.m.Index))
	})
	return ps
}

// freeIn estimates when a machine will have room for a task of a job.
func (f *Fleet) freeIn(now time.Duration, m *Machine, j *jobs.Job) float64 {
	free := m.Free()
	if m.claimRank < f.rankOf(j) {
		free = free.Sub(m.claim)
	}
	size := j.Spec.Size()
	for _, e := range f.endsOf(now, m) {
		free = free.Add(e.size)
		if size.Fits(free) {
			return max(1, (e.at - now).Seconds())
		}
	}
	return 1e6
}

// room is what a job may take of a machine now: not what is claimed by those that rank
// before it, nor what gangs planned there will take.
func (f *Fleet) room(m *Machine, j *jobs.Job) planner.Size {
	free := m.Free().Sub(m.whole)
	if m.claimRank < f.rankOf(j) {
		free = free.Sub(m.claim)
	}
	return free
}

// placeGang places an unplanned gang whole, or claims the machines that will have room
// first so that lower ranks don't keep taking what frees up.
func (f *Fleet) placeGang(now time.Duration, j *jobs.Job) {
	if j.In[jobs.Unplanned] < j.N {
		f.note(j, verdict{cause: Leaving})
		return // still here, finished, or some of it not gone yet
	}
	for t := range j.Tasks {
		if k := &j.Tasks[t]; k.Until > now {
			f.note(j, verdict{cause: Retry, until: k.Until})
			return
		}
	}
	if !f.mayStart(j, j.N) {
		f.denied(j, j.N)
		return
	}
	fd := f.field(now, j)
	if len(fd.ps) == 0 {
		f.note(j, verdict{cause: NoMachine})
		return
	}
	if f.placeIn(now, j, fd) {
		return
	}
	zone, start := f.soonest(j, fd)
	f.note(j, verdict{cause: GangShort, need: j.N, have: len(fd.open), start: start})
	if start > f.canWait(now, j) && f.preemptFor(now, j, fd.ps, start) {
		return
	}
	f.claim(j, fd, zone)
}

// placeIn plans a gang on machines that have room now.
func (f *Fleet) placeIn(now time.Duration, j *jobs.Job, fd *field) bool {
	size := j.Spec.Size()
	if j.N == 1 {
		for ; fd.next < len(fd.ps) && fd.ps[fd.next].at == 0; fd.next++ {
			if m := fd.ps[fd.next].m; size.Fits(f.room(m, j)) {
				f.plan(now, j, 0, m)
				return true
			}
		}
		return false // a busy machine that has the image is the better choice
	}
	hosts := make([]planner.Host, 0, len(fd.open))
	keep := fd.open[:0]
	for _, i := range fd.open {
		m := fd.ps[i].m
		if room := f.room(m, j); size.Fits(room) {
			keep = append(keep, i)
			hosts = append(hosts, planner.Host{ID: m.Index, Zone: m.Zone, Free: room})
		}
	}
	fd.open = keep
	f.Steps += uint64(len(hosts))
	got := planner.FirstFit(hosts, size, j.N, j.Spec.OneZone, j.Spec.ZoneLimit())
	for t, ix := range got {
		f.plan(now, j, int32(t), f.machines[ix])
	}
	return got != nil
}

// soonest estimates when enough machines will have room for a gang, one for each task, and
// in which zone if it must stay in one.
func (f *Fleet) soonest(j *jobs.Job, fd *field) (zone int32, start float64) {
	n := map[int32]int{}
	for _, p := range fd.ps {
		zone = jobs.None
		if j.Spec.OneZone {
			zone = p.m.Zone
		}
		f.Steps++
		if n[zone]++; n[zone] >= j.N {
			return zone, p.at + p.fetch
		}
	}
	return zone, 1e6
}

// claim keeps what frees up first for a gang.
func (f *Fleet) claim(j *jobs.Job, fd *field, zone int32) {
	i := fd.claimed[zone]
	for n := 0; i < len(fd.ps) && n < j.N; i++ {
		m := fd.ps[i].m
		if (zone == jobs.None || m.Zone == zone) && (m.claimRank > f.rankOf(j) || m.claim == (planner.Size{})) {
			m.claim, m.claimRank = j.Spec.Size(), f.rankOf(j)
			n++
		}
		f.Steps++
	}
	fd.claimed[zone] = i
}

// placeService plans the replicas that have no machine, one by one, first fit.
func (f *Fleet) placeService(now time.Duration, j *jobs.Job) {
	if j.In[jobs.Unplanned] == 0 {
		return
	}
	fd, i := f.field(now, j), 0
	for t := range j.Tasks {
		k := &j.Tasks[t]
		if k.State != jobs.Unplanned {
			continue
		}
		if k.Until > now {
			f.note(j, verdict{cause: Retry, until: k.Until})
			continue
		}
		for ; i < len(fd.ps); i++ {
			if p := fd.ps[i]; p.at == 0 && f.allowed(p.m, j) && j.Spec.Size().Fits(f.room(p.m, j)) {
				break
			}
		}
		if !f.mayStart(j, 1) || j.In[jobs.Planned] >= f.granted(j, j.N) {
			f.denied(j, 1)
			return
		}
		if i == len(fd.ps) {
			f.note(j, verdict{cause: NoRoom})
			return
		}
		f.plan(now, j, int32(t), fd.ps[i].m)
	}
}

// schedule plans what is unplanned, in rank order, and lets free lanes steal.
func (f *Fleet) schedule(now time.Duration) {
	f.pass = pass{fields: map[shape]*field{}, vain: map[plea]bool{}, began: f.Steps, lowest: math.MaxInt}
	if now-f.ranked > 500*time.Millisecond || f.ranked == 0 {
		f.Rank(now)
	}
	for _, m := range f.machines {
		m.claim, m.claimRank = planner.Size{}, 1<<30
	}
	for _, j := range f.order {
		f.pass.lowest = min(f.pass.lowest, j.Level)
	}
	f.allot(now)
	f.share()
	f.Steps += uint64(len(f.machines) + 2*len(f.order))
	for _, j := range f.order {
		if j.DoneN == j.N || j.Parked {
			continue
		}
		switch j.Spec.Kind {
		case jobs.Gang:
			f.unwedge(now, j)
			f.placeGang(now, j)
		case jobs.Service:
			f.placeService(now, j)
		default:
			f.planArray(now, j)
			f.preemptArray(now, j)
		}
	}
	f.steal(now)
}

// unwedge replans gangs that cannot start as planned: a planned gang whose machine was
// lost or filled up, and a running gang that lost a task.
func (f *Fleet) unwedge(now time.Duration, j *jobs.Job) {
	unplanned, planned, on := j.In[jobs.Unplanned], j.In[jobs.Planned], j.On()
	if planned > 0 && on == 0 {
		for t := range j.Tasks {
			k := &j.Tasks[t]
			if k.State != jobs.Planned {
				continue
			}
			m := f.machines[k.Machine]
			// Placed gangs are started at the next chance; one that no longer fits
			// (its room went to a task that a report brought up) is placed anew.
			if m.Condition != Acting || m.Retiring || (j.IsDurable(int32(t)) && !f.fits(m, j)) || unplanned > 0 {
				for o := range j.Tasks {
					if j.Tasks[o].State == jobs.Planned {
						f.dropLane(j, int32(o))
						f.must(j.Set(int32(o), jobs.Unplanned))
					}
				}
				return
			}
		}
	}
	if on > 0 && unplanned > 0 && j.N > 1 {
		// The rest must go before the gang can start anew.
		for t := range j.Tasks {
			k := &j.Tasks[t]
			if k.State.Occupies() {
				f.halt(j, int32(t))
			} else if k.State == jobs.Planned {
				f.dropLane(j, int32(t))
				f.must(j.Set(int32(t), jobs.Unplanned))
			}
		}
	}
}

// behind is a machine on which a job's planned tasks wait, and for how long the last one
// is expected to wait there.
type behind struct {
	m    *Machine
	wait float64
}

type delays []behind

func (d delays) Len() int           { return len(d) }
func (d delays) Less(a, b int) bool { return d[a].wait > d[b].wait }
func (d delays) Swap(a, b int)      { d[a], d[b] = d[b], d[a] }
func (d *delays) Push(x any)        { *d = append(*d, x.(behind)) }
func (d *delays) Pop() any {
	old := *d
	x := old[len(old)-1]
	*d = old[:len(old)-1]
	return x
}

// steal gives machines with free lanes unstarted tasks of the lanes furthest behind, job by
// job in rank order. Only machines with room are looked at, and of a job only those on
// which it waits.
func (f *Fleet) steal(now time.Duration) {
	least := planner.Size{CPUs: math.Inf(1), GPUs: math.Inf(1), Mem: math.Inf(1)}
	var waiting []*jobs.Job
	for _, j := range f.order {
		if j.Spec.Kind == jobs.Array && j.In[jobs.Planned] > 0 && f.mayStart(j, 1) {
			waiting = append(waiting, j)
			least = least.Min(j.Spec.Size())
		}
	}
	if len(waiting) == 0 {
		return
	}
	var idle []*Machine
	for _, m := range f.packed() {
		if least.Fits(m.Free().Sub(m.need)) {
			idle = append(idle, m)
		}
	}
	f.Steps += uint64(len(f.pass.packed))
	for _, j := range waiting {
		var ds delays
		size := j.Spec.Size()
		for _, m := range idle {
			f.Steps++
			if !size.Fits(m.Free().Sub(m.need)) || !f.fits(m, j) || !f.allowed(m, j) {
				continue
			}
			if ds == nil {
				ds = f.delays(now, j)
			}
			f.stealFor(now, m, j, &ds)
			if len(ds) == 0 {
				break
			}
		}
	}
}

// delays lists where a job's planned tasks wait, furthest behind first.
func (f *Fleet) delays(now time.Duration, j *jobs.Job) delays {
	ds := delays{}
	for _, ix := range f.waitsAt(j) {
		if w, ok := f.waits(now, j, f.machines[ix]); ok {
			ds = append(ds, behind{f.machines[ix], w})
		}
	}
	f.Steps += uint64(2 * len(ds))
	heap.Init(&ds)
	return ds
}

// waits estimates how long the last of a job's planned tasks waits on a machine; ok is
// false if it can't be moved.
func (f *Fleet) waits(now time.Duration, j *jobs.Job, m *Machine) (float64, bool) {
	ts := m.waiting(j.Index)
	if len(ts) == 0 || !j.IsDurable(ts[len(ts)-1]) {
		return 0, false
	}
	est := f.estimate(j)
	wait := 0.0
	if !f.fits(m, j) {
		if wait = f.freeIn(now, m, j); wait > 1e5 {
			wait = est
		}
	}
	n := max(1, j.Spec.Size().Copies(m.Size))
	return wait + est*m.slow*float64((len(ts)-1)/n) + f.fetchS(j, m), true
}

// stealFor moves a job's tasks to a machine for as long as it has room and they would start
// sooner there, fetch included.
func (f *Fleet) stealFor(now time.Duration, m *Machine, j *jobs.Job, ds *delays) {
	size := j.Spec.Size()
	sooner := f.fetchS(j, m) + 0.5 + f.yields(m, j)
	for range 64 {
		if len(*ds) == 0 || (*ds)[0].wait <= sooner || !size.Fits(m.Free().Sub(m.need)) || !f.fits(m, j) {
			return
		}
		v := (*ds)[0].m
		ts := v.waiting(j.Index)
		t := ts[len(ts)-1]
		f.dropLane(j, t)
		f.plan(now, j, t, m)
		f.Steps += 4
		if w, ok := f.waits(now, j, v); ok {
			(*ds)[0].wait = w
			heap.Fix(ds, 0)
		} else {
			heap.Pop(ds)
		}
	}
}

// Tick does what is due at a time: ends leases, plans, writes and sends launches.
func (f *Fleet) Tick(now time.Duration, authority bool) {
	if !f.loaded {
		return
	}
	if f.retry != nil && now >= f.retryAt {
		again := f.retry
		f.retry = nil
		again(now)
	}
	f.expire(now)
	if !f.Gate.Seats.None() {
		f.Gate.Seats.Tick(now, time.UnixMilli(f.Book.WallMS(now)))
	}
	planned := now >= f.nextPass
	if planned {
		before := f.Steps
		f.schedule(now)
		// Planning leaves most of the processor to reports and renewals: the next pass
		// comes the later the more this one had to look at.
		cores := f.Settings.Params.Limits.Processor()
		f.nextPass = now + time.Duration(float64(f.Steps-before)*float64(stepPause)/cores)
	}
	f.Flush(now)
	if authority && (planned || f.news) {
		f.news = false
		f.push(now)
	}
}

// stepPause is the pause for each step of planning on a full core: about three times what
// a step costs.
const stepPause = 300 * time.Nanosecond

// expire releases the tasks of machines whose workers' leases have surely run out: the
// worker counts from when it sent its last answered report, which was before our answer,
// on a clock that may be slow by the drift bound.
func (f *Fleet) expire(now time.Duration) {
	lease := f.Settings.Lease()
	limit := lease + lease/500 + time.Second
	for _, m := range f.machines {
		if m.Condition == Lost || m.Condition == Gone || now-m.Answered <= limit {
			continue
		}
		f.condition(m, Lost, "lease ran out")
		f.abandon(now, m)
	}
}

// abandon releases all of a machine's tasks, which are surely not on it any more.
func (f *Fleet) abandon(now time.Duration, m *Machine) {
	refs := make([]Ref, 0, len(m.On))
	for r := range m.On {
		refs = append(refs, r)
	}
	sortRefs(refs)
	for _, r := range refs {
		j := f.job(r.Job)
		f.happened(now, events.TaskLost, j, r.Task, "")
		f.release(now, j, r.Task, jobs.Unplanned, licences.Crashed)
		if !j.Stance.Terminal() {
			j.Touch(r.Task, false, now)
		}
	}
	f.unlane(m)
	clear(m.late)
	m.images = nil
}

// Returned tells that the cloud confirmed that a machine is gone.
func (f *Fleet) Returned(now time.Duration, m *Machine, cause string) {
	f.condition(m, Gone, cause)
	f.abandon(now, m)
}

// Retire stops new starts on a machine that is to be given back.
func (f *Fleet) Retire(m *Machine, cause string) {
	m.Retiring = true
	if m.Condition == Acting {
		f.condition(m, Noticed, cause)
	}
	f.unlane(m)
}

// push sends launches and stops straight to machines instead of waiting for their next
// reports. A machine has at most one such request under way.
func (f *Fleet) push(now time.Duration) {
	for _, m := range f.machines {
		if f.MaxOrders > 0 && f.ordering >= f.MaxOrders {
			// The rest stays where it is planned: what can't be sent now must not count as
			// launched.
			f.news = true
			return
		}
		if m.Condition != Acting || m.ordering || m.fencing || m.Addr == "" || now-m.Heard > config.Seconds(f.Settings.Params.Workers.ReportS*1.6) ||
			now-m.pushed < 200*time.Millisecond {
			continue
		}
		if m.Planned == 0 && !m.halts {
			continue
		}
		calls := f.starts(now, m)
		started := len(calls)
		if m.halts {
			calls = append(calls, f.stops(now, m)...)
		}
		if len(calls) == 0 {
			continue
		}
		f.direct(now, m, calls, started)
	}
}

// stops tells a machine's tasks that must go to stop, again if they have not after a second.
func (f *Fleet) stops(now time.Duration, m *Machine) (calls []Command) {
	m.halts = false
	for r := range m.On {
		j := f.job(r.Job)
		k := &j.Tasks[r.Task]
		m.halts = m.halts || k.Halting
		if k.Halting && k.State == jobs.OnMachine && k.Phase != jobs.Saving && now-k.HaltBy > time.Second {
			grace := j.Spec.SaveS + 1
			if j.Stance.Terminal() {
				grace = 0
			}
			k.HaltBy = now
			calls = append(calls, Command{Op: opStop, Task: taskName(j, r.Task), Attempt: k.Attempt, GraceS: &grace})
		}
	}
	return calls
}

// direct sends one direct request and keeps track of launches whose arrival stays open.
func (f *Fleet) direct(now time.Duration, m *Machine, calls []Command, started int) {
	m.ordering, m.pushed = true, now
	f.ordering++
	f.orders++
	session := m.Session
	var sent []attempt
	for _, c := range calls[:started] {
		j, t := f.resolve(c.Task)
		sent = append(sent, attempt{Ref{j.Index, t}, c.Attempt})
		j.Tasks[t].Late = true
	}
	f.Order(m, Orders{Token: m.Token, Session: session, Commands: calls}, func(r *Report, ok bool) {
		m.ordering = false
		f.ordering--
		for _, a := range sent {
			// The job may have ended and been swept while the request was under way.
			if j := f.job(a.Job); ok && j.Tasks != nil && j.Tasks[a.Task].Attempt == a.n {
				j.Tasks[a.Task].Late = false
			}
			if !ok && m.Session == session {
				m.late[a] = struct{}{}
			}
		}
		if r != nil && r.Machine == m.Name {
			f.take(f.Now(), r, true)
		}
	})
}
