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

// estimateSafetyFactor weighs the wait for room against a fetch: when a task ends is an estimate that is
// often wrong by half, while a fetch takes what it takes, and a gang that waits in vain has
// lost the time for the fetch as well.
const estimateSafetyFactor = 2.0

// candidate is when and how a machine could take a gang's task.
type candidate struct {
	m     *Machine
	at    float64 // seconds until room
	fetch float64
	score float64
}

// jobShape is what jobs have in common that may use the same machines equally well.
type jobShape struct {
	size  planner.Size
	image int32
	zone  int32
	spot  bool
	types string
	aged  bool // no room is kept from them any more
}

// candidateList lists the machines that may take tasks of a shape, best first, as they were when
// the pass first looked. Placing only takes room away during a pass, so what did not fit
// once is passed over for good.
type candidateList struct {
	ps      []candidate
	next    int           // before it no prospect has room any more
	open    []int         // those that had room
	claimed map[int32]int // by zone, None for any: how far claims have got
}

// preemptionShape is what jobs have in common for which the same tasks may be preempted.
type preemptionShape struct {
	jobShape
	team    int32
	level   int
	within  bool
	n       int
	oneZone bool
}

func shapeOf(j *jobs.Job) jobShape {
	types := make([]byte, 0, 4*len(j.Types))
	for _, t := range j.Types {
		types = binary.LittleEndian.AppendUint32(types, uint32(t))
	}
	return jobShape{size: j.Spec.Size(), image: j.Image, zone: j.Zone, spot: j.Spec.Spot, types: string(types)}
}

// candidatesFor finds or makes the list of machines for a job. Jobs that must keep off some
// machine, or away from their own tasks, have a list of their own.
func (f *Fleet) candidatesFor(now time.Duration, j *jobs.Job) *candidateList {
	common := len(j.AvoidedMachines) == 0 && j.TasksOnMachines() == 0
	key := shapeOf(j)
	key.aged = f.hasWaitedLong(j)
	if fd := f.cycle.fields[key]; common && fd != nil {
		return fd
	}
	fd := &candidateList{ps: f.candidates(now, j), claimed: map[int32]int{}}
	for i, p := range fd.ps {
		if p.at == 0 {
			fd.open = append(fd.open, i)
		}
	}
	if common {
		f.cycle.fields[key] = fd
	}
	return fd
}

// zoneAccepts tells whether a machine's zone gets new work of a job's kind now.
func (f *Fleet) zoneAccepts(m *Machine, j *jobs.Job) bool {
	if f.ZoneAcceptsWork == nil || m.Zone == jobs.None {
		return true
	}
	switch {
	case j.Spec.Kind == jobs.Service:
		return f.ZoneAcceptsWork(m.Zone, zones.Lasting)
	case j.Spec.Kind == jobs.Gang && j.TaskCount > 1:
		return f.ZoneAcceptsWork(m.Zone, zones.Together)
	}
	return f.ZoneAcceptsWork(m.Zone, zones.Restartable)
}

// candidates lists the machines that may take a job, best first: earliest start, then the
// kind of machine that fewer jobs can use, then the tightest fit.
func (f *Fleet) candidates(now time.Duration, j *jobs.Job) []candidate {
	var ps []candidate
	size := j.Spec.Size()
	for _, m := range f.packed() {
		if m.Condition != Ready || m.Returning || !size.Fits(m.Capacity) || !f.mayUse(m, j) || !f.zoneAccepts(m, j) {
			continue
		}
		p := candidate{m: m, fetch: f.fetchS(j, m)}
		if !f.fits(m, j) {
			p.at = f.freeIn(now, m, j)
		}
		// Differences below a second are none.
		p.score = math.Floor(estimateSafetyFactor*p.at + p.fetch + f.spotWaitLimit(m, j))
		ps = append(ps, p)
	}
	f.PlanningSteps += uint64(len(f.machines) + 4*len(ps))
	slices.SortFunc(ps, func(x, y candidate) int {
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
	if f.isReservedFrom(m, j) {
		free = free.Sub(m.reserved)
	}
	size := j.Spec.Size()
	for _, e := range f.expectedEnds(now, m) {
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
	free := m.Free().Sub(m.queuedWhole)
	if f.isReservedFrom(m, j) {
		free = free.Sub(m.reserved)
	}
	return free
}

// placeGang places an unplanned gang whole, or claims the machines that will have room
// first so that lower ranks don't keep taking what frees up.
func (f *Fleet) placeGang(now time.Duration, j *jobs.Job) {
	if j.TasksByState[jobs.Unplanned] < j.TaskCount {
		f.setPendingNote(j, pendingNote{cause: GangStopping})
		return // still here, finished, or some of it not gone yet
	}
	if f.inBackoff(now, j) {
		f.noteCrashLoop(j)
		return
	}
	for t := range j.Tasks {
		if k := &j.Tasks[t]; k.NotBefore > now {
			f.noteRetry(j, k.NotBefore)
			return
		}
	}
	if !f.mayStart(j, j.TaskCount) {
		f.noteDenied(j, j.TaskCount)
		return
	}
	fd := f.candidatesFor(now, j)
	if len(fd.ps) == 0 {
		f.setPendingNote(j, pendingNote{cause: NoMachine})
		return
	}
	if f.placeOn(now, j, fd) {
		return
	}
	zone, start := f.earliestGangStart(j, fd)
	f.setPendingNote(j, pendingNote{cause: GangShort, need: j.TaskCount, have: len(fd.open), start: start})
	if f.crashLooping(j) != nil {
		return // nobody waits or is stopped for what will fail
	}
	if start > f.secondsToWait(now, j) && f.preemptFor(now, j, fd.ps, start) {
		return
	}
	v := f.pendingNotes[j.Index]
	v.overdue = f.overdue(now, j)
	v.held = f.reserve(j, fd, zone, v.overdue)
	f.setPendingNote(j, v)
}

// placeOn plans a gang on machines that have room now.
func (f *Fleet) placeOn(now time.Duration, j *jobs.Job, fd *candidateList) bool {
	size := j.Spec.Size()
	if j.TaskCount == 1 {
		for ; fd.next < len(fd.ps) && fd.ps[fd.next].at == 0; fd.next++ {
			if m := fd.ps[fd.next].m; size.Fits(f.room(m, j)) {
				f.planTask(now, j, 0, m)
				return true
			}
		}
		if f.hasWaitedLong(j) { // that a busy machine is free soon hasn't come true for long
			for _, i := range fd.open {
				if m := fd.ps[i].m; size.Fits(f.room(m, j)) {
					f.planTask(now, j, 0, m)
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
	f.PlanningSteps += uint64(len(hosts))
	got := planner.FirstFit(hosts, size, j.TaskCount, j.Spec.OneZone, j.Spec.ZoneLimit())
	for t, ix := range got {
		f.planTask(now, j, int32(t), f.machines[ix])
	}
	return got != nil
}

// earliestGangStart estimates when enough machines will have room for a gang, one for each task, and
// in which zone if it must stay in one.
func (f *Fleet) earliestGangStart(j *jobs.Job, fd *candidateList) (zone int32, start float64) {
	n := map[int32]int{}
	for _, p := range fd.ps {
		zone = jobs.None
		if j.Spec.OneZone {
			zone = p.m.Zone
		}
		f.PlanningSteps++
		if n[zone]++; n[zone] >= j.TaskCount {
			return zone, p.at + p.fetch
		}
	}
	return zone, 1e6
}

// reserve keeps what frees up first for a gang, and tells on how many machines.
func (f *Fleet) reserve(j *jobs.Job, fd *candidateList, zone int32, firm bool) (n int) {
	i := fd.claimed[zone]
	for ; i < len(fd.ps) && n < j.TaskCount; i++ {
		m := fd.ps[i].m
		if (zone == jobs.None || m.Zone == zone) && (m.reservedRank > f.rankOf(j) || m.reserved == (planner.Size{})) {
			m.reserved, m.reservedRank, m.reservedFirmly = j.Spec.Size(), f.rankOf(j), firm
			n++
		}
		f.PlanningSteps++
	}
	fd.claimed[zone] = i
	return n
}

// TasksByZone counts a job's tasks by zone, those that are planned with those on machines, but not on machines that
// are set aside.
func (f *Fleet) TasksByZone(j *jobs.Job) map[int32]int {
	use := map[int32]int{}
	for t := range j.Tasks {
		if k := &j.Tasks[t]; k.Machine != jobs.None && (k.State == jobs.Planned || k.State.Occupies()) && !f.machines[k.Machine].Quarantined {
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
	if f.inBackoff(now, j) {
		f.noteCrashLoop(j)
		return
	}
	fd, use := f.candidatesFor(now, j), f.TasksByZone(j)
	for t := range j.Tasks {
		k := &j.Tasks[t]
		if k.State != jobs.Unplanned {
			continue
		}
		if k.NotBefore > now {
			f.setPendingNote(j, pendingNote{cause: RetryLater, until: k.NotBefore})
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
			if p.at == 0 && (i == len(fd.ps) || use[p.m.Zone] < use[fd.ps[i].m.Zone]) && f.mayUse(p.m, j) && j.Spec.Size().Fits(f.room(p.m, j)) {
				i = n
			}
		}
		if !f.mayStart(j, 1) || j.TasksByState[jobs.Planned] >= f.grantedTasks(j, j.TaskCount) {
			f.noteDenied(j, 1)
			return
		}
		if i == len(fd.ps) {
			f.setPendingNote(j, pendingNote{cause: NoRoom})
			return
		}
		f.planTask(now, j, int32(t), fd.ps[i].m)
		use[fd.ps[i].m.Zone]++
		if f.crashLooping(j) != nil || f.startDeadlineDue[j.Index] && j.TasksByState[jobs.Planned] >= startDeadlineTasks {
			return
		}
	}
}
