package fleet

import (
	"log/slog"
	"sort"
	"time"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/planner"
)

// Bounds on the work of one pass, so that no job however large stalls the loop.
const (
	planSlice  = 1024 // tasks planned at once
	reduceLoop = 256  // loops of reduce at once
	manyWork   = 64   // planned tasks read one by one into lane loads
)

// fits tells whether one more task of a job has room on a machine now.
func (f *Fleet) fits(m *Machine, j *jobs.Job) bool {
	s := j.Spec.Size()
	free := m.Free()
	if m.claimRank < f.rankOf(j) {
		free = free.Sub(m.claim)
	}
	if j.Spec.Kind == jobs.Array {
		// Gangs already planned here wait only for their plan to be durable.
		free = free.Sub(f.waitingHere(m))
	}
	return s.Fits(free)
}

func (f *Fleet) rankOf(j *jobs.Job) int {
	if r, ok := f.rank[j.Index]; ok {
		return r
	}
	return 1 << 30
}

// allowed tells whether a job's task may be on a machine, given where its others are.
func (f *Fleet) allowed(m *Machine, j *jobs.Job) bool {
	if !j.Allows(m.Type, m.Zone, m.Spot) || f.Now() < j.Avoid[m.Index] {
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
		j.IsDurable(t) && f.allowed(m, j) && f.fits(m, j) && f.Ledger.Fits(j.Team, j.Spec.Size(), 1)
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
	if m.Condition != Acting || m.Retiring || m.Planned == 0 {
		return nil
	}
	ixs := make([]jobs.Index, 0, len(m.Lanes))
	for ix := range m.Lanes {
		ixs = append(ixs, ix)
	}
	sort.Slice(ixs, func(a, b int) bool { return f.rankOf(f.job(ixs[a])) < f.rankOf(f.job(ixs[b])) })
	for _, ix := range ixs {
		j := f.job(ix)
		if j.Spec.Kind == jobs.Gang {
			out = append(out, f.startGang(now, m, j)...)
			continue
		}
		ts := m.Lanes[ix]
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
			m.Planned--
			out = append(out, f.launch(now, m, j, t, f.nextAttempt()))
		}
		if len(keep) == 0 {
			delete(m.Lanes, ix)
		} else {
			m.Lanes[ix] = keep
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
		if !f.Ledger.Fits(j.Team, j.Spec.Size(), planned) {
			return nil
		}
		j.Attempt = f.nextAttempt()
	}
	var out []Command
	for _, t := range append([]int32(nil), m.Lanes[j.Index]...) {
		if j.Tasks[t].State == jobs.Planned && f.startable(now, m, j, t) {
			f.dropLane(j, t)
			out = append(out, f.launch(now, m, j, t, j.Attempt))
		}
	}
	return out
}

// work lists what loads a machine: what is on it, then what is planned there and ranks
// before the job. Work that the job may preempt hardly counts.
func (f *Fleet) work(now time.Duration, m *Machine, rank int, over *jobs.Job) []planner.Work {
	var ws []planner.Work
	refs := make([]Ref, 0, len(m.On))
	for r := range m.On {
		refs = append(refs, r)
	}
	sortRefs(refs)
	for _, r := range refs {
		j := f.job(r.Job)
		left := 1.0
		if !j.Stance.Terminal() && (over == nil || !f.mayPreempt(over, j)) {
			left = f.left(now, j, r.Task)
		}
		ws = append(ws, planner.Work{Size: j.Spec.Size(), Left: left})
	}
	for _, j := range f.order {
		ts := m.Lanes[j.Index]
		if len(ts) == 0 || f.rankOf(j) > rank {
			continue
		}
		est := f.estimate(j) * m.slow
		if len(ts) > manyWork {
			if n := j.Spec.Size().Copies(m.Size); n > 0 {
				ws = append(ws, planner.Work{Size: m.Size, Left: est * float64(len(ts)) / float64(n)})
			}
			continue
		}
		for range ts {
			ws = append(ws, planner.Work{Size: j.Spec.Size(), Left: est})
		}
	}
	return ws
}

// planArray plans an array's unplanned tasks by Balance-Reduce over the lanes of all
// machines that may take them.
func (f *Fleet) planArray(now time.Duration, j *jobs.Job) {
	var tasks []int32
	for t := range j.Tasks {
		if k := &j.Tasks[t]; k.State == jobs.Unplanned && k.Until <= now {
			if tasks = append(tasks, int32(t)); len(tasks) == planSlice {
				break
			}
		}
	}
	if len(tasks) == 0 {
		return
	}
	p := &planner.Problem{Local: f.estimate(j), MaxLoop: reduceLoop}
	var lane []int32 // machine of each server
	var prefer, all []int32
	size := j.Spec.Size()
	hosts := 0
	fetch := 0.0
	zone := f.oneZone(j)
	for _, m := range f.packed() {
		if m.Condition != Acting || m.Retiring || !f.allowed(m, j) || (zone != jobs.None && m.Zone != zone) {
			continue
		}
		loads := planner.Lanes(m.Size, size, f.work(now, m, f.rankOf(j), j))
		if len(loads) == 0 {
			continue
		}
		hosts++
		has := m.HasImage(j.Image)
		if ty := f.typ(m); ty != nil && ty.FetchGB > 0 {
			fetch = max(fetch, j.Spec.ImageGB/ty.FetchGB)
		}
		for _, l := range loads {
			s := int32(len(lane))
			lane = append(lane, m.Index)
			p.Initial = append(p.Initial, l)
			all = append(all, s)
			if has {
				prefer = append(prefer, s)
			}
		}
	}
	if len(lane) == 0 {
		return
	}
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
// others stay free to be returned.
func (f *Fleet) packed() []*Machine {
	ms := append([]*Machine(nil), f.machines...)
	sort.SliceStable(ms, func(a, b int) bool {
		if ms[a].Spot != ms[b].Spot {
			return ms[a].Spot
		}
		return len(ms[a].On) > len(ms[b].On)
	})
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
}

// prospects lists the machines that may take a job, best first: earliest start, then the
// kind of machine that fewer jobs can use, then the tightest fit.
func (f *Fleet) prospects(now time.Duration, j *jobs.Job) []prospect {
	var ps []prospect
	size := j.Spec.Size()
	for _, m := range f.machines {
		if m.Condition != Acting || m.Retiring || !f.allowed(m, j) || !size.Fits(m.Size) {
			continue
		}
		p := prospect{m: m, fetch: f.fetchS(j, m)}
		if !f.fits(m, j) {
			p.at = f.freeIn(now, m, j)
		}
		ps = append(ps, p)
	}
	sort.SliceStable(ps, func(a, b int) bool {
		x, y := ps[a], ps[b]
		if d := (doubt*x.at + x.fetch) - (doubt*y.at + y.fetch); d < -1 || d > 1 {
			return d < 0
		}
		if x.m.Spot != y.m.Spot {
			return x.m.Spot
		}
		if gx, gy := x.m.Free().GPUs, y.m.Free().GPUs; gx != gy {
			return gx < gy
		}
		return x.m.Free().CPUs < y.m.Free().CPUs
	})
	return ps
}

// freeIn estimates when a machine will have room for a task of a job.
func (f *Fleet) freeIn(now time.Duration, m *Machine, j *jobs.Job) float64 {
	type end struct {
		at   float64
		size planner.Size
	}
	var ends []end
	for r := range m.On {
		o := f.job(r.Job)
		left := 1.0
		if !o.Stance.Terminal() {
			left = f.left(now, o, r.Task)
		}
		ends = append(ends, end{left, o.Spec.Size()})
	}
	sort.Slice(ends, func(a, b int) bool { return ends[a].at < ends[b].at })
	free := m.Free()
	if m.claimRank < f.rankOf(j) {
		free = free.Sub(m.claim)
	}
	for _, e := range ends {
		free = free.Add(e.size)
		if j.Spec.Size().Fits(free) {
			return e.at
		}
	}
	return 1e6
}

// placeGang places an unplanned gang whole, or claims the machines that will have room
// first so that lower ranks don't keep taking what frees up.
func (f *Fleet) placeGang(now time.Duration, j *jobs.Job) {
	for t := range j.Tasks {
		k := &j.Tasks[t]
		if k.State != jobs.Unplanned || k.Until > now {
			return // still here, finished, or some of it not gone yet
		}
	}
	size := j.Spec.Size()
	ps := f.prospects(now, j)
	if len(ps) == 0 {
		return
	}
	if f.Ledger.Fits(j.Team, size, j.N) {
		hosts := make([]planner.Host, 0, len(ps))
		for _, p := range ps {
			if p.at > 0 {
				if j.N == 1 {
					break // a busy machine that has the image is the better choice
				}
				continue
			}
			free := p.m.Free()
			if p.m.claimRank < f.rankOf(j) {
				free = free.Sub(p.m.claim)
			}
			hosts = append(hosts, planner.Host{ID: p.m.Index, Zone: p.m.Zone, Free: free.Sub(f.waitingHere(p.m))})
		}
		if got := planner.FirstFit(hosts, size, j.N, j.Spec.OneZone, j.Spec.ZoneLimit()); got != nil {
			for t, ix := range got {
				f.plan(now, j, int32(t), f.machines[ix])
			}
			return
		}
	} else {
		return
	}
	if j.N == 1 && ps[0].at+ps[0].fetch > f.canWait(now, j) && f.preemptFor(now, j, ps) {
		return
	}
	n := 0
	for _, p := range ps {
		if j.Spec.OneZone && p.m.Zone != ps[0].m.Zone {
			continue
		}
		if p.m.claimRank > f.rankOf(j) || p.m.claim == (planner.Size{}) {
			p.m.claim, p.m.claimRank = size, f.rankOf(j)
			n++
		}
		if n >= j.N {
			return
		}
	}
}

// waitingHere is what gangs already planned on a machine, not yet started, will take.
func (f *Fleet) waitingHere(m *Machine) planner.Size {
	var s planner.Size
	for ix, ts := range m.Lanes {
		if j := f.job(ix); j.Spec.Kind != jobs.Array {
			for range ts {
				s = s.Add(j.Spec.Size())
			}
		}
	}
	return s
}

// placeService plans the replicas that have no machine, one by one, first fit.
func (f *Fleet) placeService(now time.Duration, j *jobs.Job) {
	for t := range j.Tasks {
		k := &j.Tasks[t]
		if k.State != jobs.Unplanned || k.Until > now || !f.Ledger.Fits(j.Team, j.Spec.Size(), 1) {
			continue
		}
		placed := false
		for _, p := range f.prospects(now, j) {
			if p.at == 0 && j.Spec.Size().Fits(p.m.Free().Sub(f.waitingHere(p.m))) {
				f.plan(now, j, int32(t), p.m)
				placed = true
				break
			}
		}
		if !placed {
			return
		}
	}
}

// schedule plans what is unplanned, in rank order, and lets free lanes steal.
func (f *Fleet) schedule(now time.Duration) {
	if now-f.ranked > 500*time.Millisecond || f.ranked == 0 {
		f.Rank(now)
	}
	for _, m := range f.machines {
		m.claim, m.claimRank = planner.Size{}, 1<<30
	}
	for _, j := range f.order {
		if j.DoneN == j.N {
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
	for _, m := range f.machines {
		f.steal(now, m)
	}
}

// unwedge replans gangs that cannot start as planned: a planned gang whose machine was
// lost or filled up, and a running gang that lost a task.
func (f *Fleet) unwedge(now time.Duration, j *jobs.Job) {
	var unplanned, planned, on int
	for t := range j.Tasks {
		switch k := &j.Tasks[t]; {
		case k.State == jobs.Unplanned:
			unplanned++
		case k.State == jobs.Planned:
			planned++
		case k.State.Occupies():
			on++
		}
	}
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
				k.Halting = true
			} else if k.State == jobs.Planned {
				f.dropLane(j, int32(t))
				f.must(j.Set(int32(t), jobs.Unplanned))
			}
		}
	}
}

// steal gives a machine with free lanes unstarted tasks of the lane furthest behind.
func (f *Fleet) steal(now time.Duration, m *Machine) {
	if m.Condition != Acting || m.Retiring {
		return
	}
	for _, j := range f.order {
		if j.Spec.Kind != jobs.Array || j.N == j.DoneN || !f.allowed(m, j) {
			continue
		}
		for range 64 {
			if !f.fits(m, j) || !j.Spec.Size().Fits(m.Free().Sub(f.plannedHere(m))) || !f.Ledger.Fits(j.Team, j.Spec.Size(), 1) {
				break
			}
			v := f.victim(now, m, j)
			if v == nil {
				break
			}
			ts := v.Lanes[j.Index]
			t := ts[len(ts)-1]
			f.dropLane(j, t)
			f.plan(now, j, t, m)
		}
	}
}

// plannedHere is what the tasks planned on a machine would take if all started.
func (f *Fleet) plannedHere(m *Machine) planner.Size {
	var s planner.Size
	for ix, ts := range m.Lanes {
		one := f.job(ix).Spec.Size()
		n := float64(len(ts))
		s = s.Add(planner.Size{CPUs: one.CPUs * n, GPUs: one.GPUs * n, Mem: one.Mem * n})
	}
	return s
}

// victim finds the machine whose lanes are furthest behind with a job's unstarted tasks,
// if a start here would be earlier than there.
func (f *Fleet) victim(now time.Duration, m *Machine, j *jobs.Job) *Machine {
	var best *Machine
	most := f.fetchS(j, m)
	for _, v := range f.machines {
		ts := v.Lanes[j.Index]
		if v == m || len(ts) == 0 || !j.IsDurable(ts[len(ts)-1]) {
			continue
		}
		n := max(1, j.Spec.Size().Copies(v.Size))
		wait := f.freeIn(now, v, j)
		if f.fits(v, j) {
			wait = 0
		}
		if wait > 1e5 {
			wait = f.estimate(j)
		}
		wait += f.estimate(j) * v.slow * float64((len(ts)-1)/n)
		wait += f.fetchS(j, v)
		if wait > most+0.5 {
			best, most = v, wait
		}
	}
	return best
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
	f.schedule(now)
	f.Flush(now)
	if authority {
		f.push(now)
	}
}

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
		f.release(now, j, r.Task, jobs.Unplanned)
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
		if m.Condition != Acting || m.ordering || m.fencing || m.Addr == "" || now-m.Heard > config.Seconds(f.Settings.Params.Workers.ReportS*1.6) ||
			now-m.pushed < 200*time.Millisecond {
			continue
		}
		calls := f.starts(now, m)
		started := len(calls)
		for r := range m.On {
			j := f.job(r.Job)
			if k := &j.Tasks[r.Task]; k.Halting && k.State == jobs.OnMachine && k.Phase != jobs.Saving && now-k.HaltBy > time.Second {
				grace := j.Spec.SaveS + 1
				if j.Stance.Terminal() {
					grace = 0
				}
				k.HaltBy = now
				calls = append(calls, Command{Op: opStop, Task: taskName(j, r.Task), Attempt: k.Attempt, GraceS: &grace})
			}
		}
		if len(calls) == 0 {
			continue
		}
		f.direct(now, m, calls, started)
	}
}

// direct sends one direct request and keeps track of launches whose arrival stays open.
func (f *Fleet) direct(now time.Duration, m *Machine, calls []Command, started int) {
	m.ordering, m.pushed = true, now
	session := m.Session
	var sent []attempt
	for _, c := range calls[:started] {
		j, t := f.resolve(c.Task)
		sent = append(sent, attempt{Ref{j.Index, t}, c.Attempt})
		j.Tasks[t].Late = true
	}
	f.Order(m, Orders{Token: m.Token, Session: session, Commands: calls}, func(r *Report, ok bool) {
		m.ordering = false
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
