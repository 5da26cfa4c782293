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

func shapeOf(job *jobs.Job) jobShape {
	types := make([]byte, 0, 4*len(job.Types))
	for _, taskIndex := range job.Types {
		types = binary.LittleEndian.AppendUint32(types, uint32(taskIndex))
	}
	return jobShape{size: job.Spec.Size(), image: job.Image, zone: job.Zone, spot: job.Spec.Spot, types: string(types)}
}

// candidatesFor finds or makes the list of machines for a job. Jobs that must keep off some
// machine, or away from their own tasks, have a list of their own.
func (f *Fleet) candidatesFor(now time.Duration, job *jobs.Job) *candidateList {
	common := len(job.AvoidedMachines) == 0 && job.TasksOnMachines() == 0
	key := shapeOf(job)
	key.aged = f.hasWaitedLong(job)
	if candidates := f.cycle.fields[key]; common && candidates != nil {
		return candidates
	}
	candidates := &candidateList{ps: f.candidates(now, job), claimed: map[int32]int{}}
	for i, candidate := range candidates.ps {
		if candidate.at == 0 {
			candidates.open = append(candidates.open, i)
		}
	}
	if common {
		f.cycle.fields[key] = candidates
	}
	return candidates
}

// zoneAccepts tells whether a machine's zone gets new work of a job's kind now.
func (f *Fleet) zoneAccepts(machine *Machine, job *jobs.Job) bool {
	if f.ZoneAcceptsWork == nil || machine.Zone == jobs.None {
		return true
	}
	switch {
	case job.Spec.Kind == jobs.Service:
		return f.ZoneAcceptsWork(machine.Zone, zones.Lasting)
	case job.Spec.Kind == jobs.Gang && job.TaskCount > 1:
		return f.ZoneAcceptsWork(machine.Zone, zones.Together)
	}
	return f.ZoneAcceptsWork(machine.Zone, zones.Restartable)
}

// candidates lists the machines that may take a job, best first: earliest start, then the
// kind of machine that fewer jobs can use, then the tightest fit.
func (f *Fleet) candidates(now time.Duration, job *jobs.Job) []candidate {
	var candidates []candidate
	size := job.Spec.Size()
	for _, machine := range f.packed() {
		if machine.Condition != Ready || machine.Returning || !size.Fits(machine.Capacity) || !f.mayUse(machine, job) || !f.zoneAccepts(machine, job) {
			continue
		}
		p := candidate{m: machine, fetch: f.fetchS(job, machine)}
		if !f.fits(machine, job) {
			p.at = f.freeIn(now, machine, job)
		}
		// Differences below a second are none.
		p.score = math.Floor(estimateSafetyFactor*p.at + p.fetch + f.spotWaitLimit(machine, job))
		candidates = append(candidates, p)
	}
	f.PlanningSteps += uint64(len(f.machines) + 4*len(candidates))
	slices.SortFunc(candidates, func(x, y candidate) int {
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
	return candidates
}

// freeIn estimates when a machine will have room for a task of a job.
func (f *Fleet) freeIn(now time.Duration, machine *Machine, job *jobs.Job) float64 {
	free := machine.Free()
	if f.isReservedFrom(machine, job) {
		free = free.Sub(machine.reserved)
	}
	size := job.Spec.Size()
	for _, e := range f.expectedEnds(now, machine) {
		free = free.Add(e.size)
		if size.Fits(free) {
			return max(1, (e.at - now).Seconds())
		}
	}
	return 1e6
}

// room is what a job may take of a machine now: not what is claimed by those that rank
// before it, nor what gangs planned there will take.
func (f *Fleet) room(machine *Machine, job *jobs.Job) planner.Size {
	free := machine.Free().Sub(machine.queuedWhole)
	if f.isReservedFrom(machine, job) {
		free = free.Sub(machine.reserved)
	}
	return free
}

// placeGang places an unplanned gang whole, or claims the machines that will have room
// first so that lower ranks don't keep taking what frees up.
func (f *Fleet) placeGang(now time.Duration, job *jobs.Job) {
	if job.TasksByState[jobs.Unplanned] < job.TaskCount {
		f.setPendingNote(job, pendingNote{cause: GangStopping})
		return // still here, finished, or some of it not gone yet
	}
	if f.inBackoff(now, job) {
		f.noteCrashLoop(job)
		return
	}
	for t := range job.Tasks {
		if task := &job.Tasks[t]; task.NotBefore > now {
			f.noteRetry(job, task.NotBefore)
			return
		}
	}
	if !f.mayStart(job, job.TaskCount) {
		f.noteDenied(job, job.TaskCount)
		return
	}
	candidates := f.candidatesFor(now, job)
	if len(candidates.ps) == 0 {
		f.setPendingNote(job, pendingNote{cause: NoMachine})
		return
	}
	if f.placeOn(now, job, candidates) {
		return
	}
	zone, start := f.earliestGangStart(job, candidates)
	f.setPendingNote(job, pendingNote{cause: GangShort, need: job.TaskCount, have: len(candidates.open), start: start})
	if f.crashLooping(job) != nil {
		return // nobody waits or is stopped for what will fail
	}
	if start > f.secondsToWait(now, job) && f.preemptForGang(now, job, candidates.ps, start) {
		return
	}
	v := f.pendingNotes[job.Index]
	v.overdue = f.overdue(now, job)
	v.held = f.reserve(job, candidates, zone, v.overdue)
	f.setPendingNote(job, v)
}

// placeOn plans a gang on machines that have room now.
func (f *Fleet) placeOn(now time.Duration, job *jobs.Job, candidates *candidateList) bool {
	size := job.Spec.Size()
	if job.TaskCount == 1 {
		for ; candidates.next < len(candidates.ps) && candidates.ps[candidates.next].at == 0; candidates.next++ {
			if machine := candidates.ps[candidates.next].m; size.Fits(f.room(machine, job)) {
				f.planTask(now, job, 0, machine)
				return true
			}
		}
		if f.hasWaitedLong(job) { // that a busy machine is free soon hasn't come true for long
			for _, i := range candidates.open {
				if machine := candidates.ps[i].m; size.Fits(f.room(machine, job)) {
					f.planTask(now, job, 0, machine)
					return true
				}
			}
		}
		return false // a busy machine that has the image is the better choice
	}
	hosts := make([]planner.Host, 0, len(candidates.open))
	keep := candidates.open[:0]
	for _, i := range candidates.open {
		machine := candidates.ps[i].m
		if room := f.room(machine, job); size.Fits(room) {
			keep = append(keep, i)
			hosts = append(hosts, planner.Host{ID: machine.Index, Zone: machine.Zone, Free: room})
		}
	}
	candidates.open = keep
	f.PlanningSteps += uint64(len(hosts))
	got := planner.FirstFit(hosts, size, job.TaskCount, job.Spec.OneZone, job.Spec.ZoneLimit())
	for t, ix := range got {
		f.planTask(now, job, int32(t), f.machines[ix])
	}
	return got != nil
}

// earliestGangStart estimates when enough machines will have room for a gang, one for each task, and
// in which zone if it must stay in one.
func (f *Fleet) earliestGangStart(job *jobs.Job, candidates *candidateList) (zone int32, start float64) {
	n := map[int32]int{}
	for _, candidate := range candidates.ps {
		zone = jobs.None
		if job.Spec.OneZone {
			zone = candidate.m.Zone
		}
		f.PlanningSteps++
		if n[zone]++; n[zone] >= job.TaskCount {
			return zone, candidate.at + candidate.fetch
		}
	}
	return zone, 1e6
}

// reserve keeps what frees up first for a gang, and tells on how many machines.
func (f *Fleet) reserve(job *jobs.Job, candidates *candidateList, zone int32, firm bool) (n int) {
	i := candidates.claimed[zone]
	for ; i < len(candidates.ps) && n < job.TaskCount; i++ {
		machine := candidates.ps[i].m
		if (zone == jobs.None || machine.Zone == zone) && (machine.reservedRank > f.rankOf(job) || machine.reserved == (planner.Size{})) {
			machine.reserved, machine.reservedRank, machine.reservedFirmly = job.Spec.Size(), f.rankOf(job), firm
			n++
		}
		f.PlanningSteps++
	}
	candidates.claimed[zone] = i
	return n
}

// TasksByZone counts a job's tasks by zone, those that are planned with those on machines, but not on machines that
// are set aside.
func (f *Fleet) TasksByZone(job *jobs.Job) map[int32]int {
	use := map[int32]int{}
	for t := range job.Tasks {
		if task := &job.Tasks[t]; task.Machine != jobs.None && (task.State == jobs.Planned || task.State.Occupies()) && !f.machines[task.Machine].Quarantined {
			use[f.machines[task.Machine].Zone]++
		}
	}
	return use
}

// placeService plans the replicas that have no machine, one by one, first fit.
func (f *Fleet) placeService(now time.Duration, job *jobs.Job) {
	if job.TasksByState[jobs.Unplanned] == 0 {
		return
	}
	if f.inBackoff(now, job) {
		f.noteCrashLoop(job)
		return
	}
	candidates, use := f.candidatesFor(now, job), f.TasksByZone(job)
	for t := range job.Tasks {
		task := &job.Tasks[t]
		if task.State != jobs.Unplanned {
			continue
		}
		if task.NotBefore > now {
			f.setPendingNote(job, pendingNote{cause: RetryLater, until: task.NotBefore})
			continue
		}
		// Of the machines with room the first in the zone with fewest replicas: a loss takes as little of the service
		// as can be, and among equal zones first fit decides.
		// What is planned counts against a zone's bound too: replicas beyond it once waited in one zone's lanes for ever.
		i, lim := len(candidates.ps), job.Spec.ZoneLimit()
		for n, candidate := range candidates.ps {
			if lim > 0 && use[candidate.m.Zone] >= lim {
				continue
			}
			if candidate.at == 0 && (i == len(candidates.ps) || use[candidate.m.Zone] < use[candidates.ps[i].m.Zone]) && f.mayUse(candidate.m, job) && job.Spec.Size().Fits(f.room(candidate.m, job)) {
				i = n
			}
		}
		if !f.mayStart(job, 1) || job.TasksByState[jobs.Planned] >= f.grantedTasks(job, job.TaskCount) {
			f.noteDenied(job, 1)
			return
		}
		if i == len(candidates.ps) {
			f.setPendingNote(job, pendingNote{cause: NoRoom})
			return
		}
		f.planTask(now, job, int32(t), candidates.ps[i].m)
		use[candidates.ps[i].m.Zone]++
		if f.crashLooping(job) != nil || f.ranking.startDeadlineDue[job.Index] && job.TasksByState[jobs.Planned] >= startDeadlineTasks {
			return
		}
	}
}
