package fleet

// Gangs and services: placed whole, on machines that have or will have room together.

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/planner"
	"github.com/harewalk/harewalk/internal/zones"
)

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
	aged  bool // no room is kept from them any more
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
	return shape{size: j.Spec.Size(), image: j.Image, zone: j.Zone, spot: j.Spec.Spot, types: string(types)}
}

// field finds or makes the list of machines for a job. Jobs that must keep off some
// machine, or away from their own tasks, have a list of their own.
func (f *Fleet) field(now time.Duration, j *jobs.Job) *field {
	common := len(j.AvoidedMachines) == 0 && j.TasksOnMachines() == 0
	key := shapeOf(j)
	key.aged = f.aged(j)
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

// takes tells whether a machine's zone gets new work of a job's kind now.
func (f *Fleet) takes(m *Machine, j *jobs.Job) bool {
	if f.Zones == nil || m.Zone == jobs.None {
		return true
	}
	switch {
	case j.Spec.Kind == jobs.Service:
		return f.Zones(m.Zone, zones.Lasting)
	case j.Spec.Kind == jobs.Gang && j.TaskCount > 1:
		return f.Zones(m.Zone, zones.Together)
	}
	return f.Zones(m.Zone, zones.Restartable)
}

// prospects lists the machines that may take a job, best first: earliest start, then the
// kind of machine that fewer jobs can use, then the tightest fit.
func (f *Fleet) prospects(now time.Duration, j *jobs.Job) []prospect {
	var ps []prospect
	size := j.Spec.Size()
	for _, m := range f.packed() {
		if m.Condition != Acting || m.Retiring || !size.Fits(m.Size) || !f.allowed(m, j) || !f.takes(m, j) {
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
	if f.claimed(m, j) {
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
	if f.claimed(m, j) {
		free = free.Sub(m.claim)
	}
	return free
}

// placeGang places an unplanned gang whole, or claims the machines that will have room
// first so that lower ranks don't keep taking what frees up.
func (f *Fleet) placeGang(now time.Duration, j *jobs.Job) {
	if j.TasksByState[jobs.Unplanned] < j.TaskCount {
		f.note(j, verdict{cause: Leaving})
		return // still here, finished, or some of it not gone yet
	}
	if f.paused(now, j) {
		f.failingNote(j)
		return
	}
	for t := range j.Tasks {
		if k := &j.Tasks[t]; k.NotBefore > now {
			f.retryNote(j, k.NotBefore)
			return
		}
	}
	if !f.mayStart(j, j.TaskCount) {
		f.denied(j, j.TaskCount)
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
	f.note(j, verdict{cause: GangShort, need: j.TaskCount, have: len(fd.open), start: start})
	if f.mistaken(j) != nil {
		return // nobody waits or is stopped for what will fail
	}
	if start > f.canWait(now, j) && f.preemptFor(now, j, fd.ps, start) {
		return
	}
	v := f.verdicts[j.Index]
	v.overdue = f.overdue(now, j)
	v.held = f.claim(j, fd, zone, v.overdue)
	f.note(j, v)
}

// placeIn plans a gang on machines that have room now.
func (f *Fleet) placeIn(now time.Duration, j *jobs.Job, fd *field) bool {
	size := j.Spec.Size()
	if j.TaskCount == 1 {
		for ; fd.next < len(fd.ps) && fd.ps[fd.next].at == 0; fd.next++ {
			if m := fd.ps[fd.next].m; size.Fits(f.room(m, j)) {
				f.plan(now, j, 0, m)
				return true
			}
		}
		if f.aged(j) { // that a busy machine is free soon hasn't come true for long
			for _, i := range fd.open {
				if m := fd.ps[i].m; size.Fits(f.room(m, j)) {
					f.plan(now, j, 0, m)
					return true
				}
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
	got := planner.FirstFit(hosts, size, j.TaskCount, j.Spec.OneZone, j.Spec.ZoneLimit())
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
		if n[zone]++; n[zone] >= j.TaskCount {
			return zone, p.at + p.fetch
		}
	}
	return zone, 1e6
}

// claim keeps what frees up first for a gang, and tells on how many machines.
func (f *Fleet) claim(j *jobs.Job, fd *field, zone int32, firm bool) (n int) {
	i := fd.claimed[zone]
	for ; i < len(fd.ps) && n < j.TaskCount; i++ {
		m := fd.ps[i].m
		if (zone == jobs.None || m.Zone == zone) && (m.claimRank > f.rankOf(j) || m.claim == (planner.Size{})) {
			m.claim, m.claimRank, m.claimFirm = j.Spec.Size(), f.rankOf(j), firm
			n++
		}
		f.Steps++
	}
	fd.claimed[zone] = i
	return n
}

// InZones counts a job's tasks by zone, those that are planned with those on machines, but not on machines that
// are set aside.
func (f *Fleet) InZones(j *jobs.Job) map[int32]int {
	use := map[int32]int{}
	for t := range j.Tasks {
		if k := &j.Tasks[t]; k.Machine != jobs.None && (k.State == jobs.Planned || k.State.Occupies()) && !f.machines[k.Machine].Aside {
			use[f.machines[k.Machine].Zone]++
		}
	}
	return use
}

// placeService plans the replicas that have no machine, one by one, first fit.
func (f *Fleet) placeService(now time.Duration, j *jobs.Job) {
	if j.TasksByState[jobs.Unplanned] == 0 {
		return
	}
	if f.paused(now, j) {
		f.failingNote(j)
		return
	}
	fd, use := f.field(now, j), f.InZones(j)
	for t := range j.Tasks {
		k := &j.Tasks[t]
		if k.State != jobs.Unplanned {
			continue
		}
		if k.NotBefore > now {
			f.note(j, verdict{cause: Retry, until: k.NotBefore})
			continue
		}
		// Of the machines with room the first in the zone with fewest replicas: a loss takes as little of the service
		// as can be, and among equal zones first fit decides.
		// What is planned counts against a zone's bound too: replicas beyond it once waited in one zone's lanes for ever.
		i, lim := len(fd.ps), j.Spec.ZoneLimit()
		for n, p := range fd.ps {
			if lim > 0 && use[p.m.Zone] >= lim {
				continue
			}
			if p.at == 0 && (i == len(fd.ps) || use[p.m.Zone] < use[fd.ps[i].m.Zone]) && f.allowed(p.m, j) && j.Spec.Size().Fits(f.room(p.m, j)) {
				i = n
			}
		}
		if !f.mayStart(j, 1) || j.TasksByState[jobs.Planned] >= f.granted(j, j.TaskCount) {
			f.denied(j, 1)
			return
		}
		if i == len(fd.ps) {
			f.note(j, verdict{cause: NoRoom})
			return
		}
		f.plan(now, j, int32(t), fd.ps[i].m)
		use[fd.ps[i].m.Zone]++
		if f.mistaken(j) != nil || f.first[j.Index] && j.TasksByState[jobs.Planned] >= beginTasks {
			return
		}
	}
}
