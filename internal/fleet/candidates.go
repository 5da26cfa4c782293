package fleet

// Candidates: the machines that may take a gang's or a service's task, and in which order they are preferred.

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

// waitWeight weighs the wait for room against a fetch. The time until a task ends is an estimate that is often
// wrong by half, while the time of a fetch is certain, and a gang that waited in vain has to fetch all the same.
const waitWeight = 2.0

// candidate is a machine that may take a job's task, and how soon.
type candidate struct {
	machine          *Machine
	secondsUntilRoom float64 // 0: there is room now
	fetchSeconds     float64
	score            float64 // in weighted seconds, the lowest is preferred
}

// jobShape is what jobs have in common that may use the same machines equally well.
type jobShape struct {
	size     planner.Size
	image    int32
	zone     int32
	spot     bool
	types    string // machine type indices, four bytes each
	starving bool   // only firm reservations are kept from such jobs
}

// preemptionShape is what jobs have in common for which the same tasks may be preempted.
type preemptionShape struct {
	jobShape
	team            int32
	priority        int
	withinGuarantee bool
	tasks           int
	oneZone         bool
}

// candidateList lists the machines that may take tasks of a shape, best first, as they were when the cycle first
// needed the list. Within a cycle placing only takes room away, so a machine that once had too little is not looked
// at again.
type candidateList struct {
	candidates   []candidate
	firstOpen    int           // candidates before it have no room any more
	withRoom     []int         // indices of the candidates that had room
	reservedUpTo map[int32]int // by zone, None for any: the index up to which machines were considered for reservations
}

// shapeOf returns the shape of a job that is not starving.
func shapeOf(job *jobs.Job) jobShape {
	types := make([]byte, 0, 4*len(job.Types))
	for _, typeIndex := range job.Types {
		types = binary.LittleEndian.AppendUint32(types, uint32(typeIndex))
	}
	return jobShape{
		size:  job.Spec.Size(),
		image: job.Image,
		zone:  job.Zone,
		spot:  job.Spec.Spot,
		types: string(types),
	}
}

// candidatesFor returns the candidates for a job, shared with other jobs of its shape in the same cycle. A job that
// avoids some machines, or has tasks on machines, gets a list of its own.
func (f *Fleet) candidatesFor(now time.Duration, job *jobs.Job) *candidateList {
	shared := len(job.AvoidedMachines) == 0 && job.TasksOnMachines() == 0
	shape := shapeOf(job)
	shape.starving = f.isStarving(job)
	if list := f.cycle.candidatesByShape[shape]; shared && list != nil {
		return list
	}
	list := &candidateList{candidates: f.findCandidates(now, job), reservedUpTo: map[int32]int{}}
	for i := range list.candidates {
		if list.candidates[i].secondsUntilRoom == 0 {
			list.withRoom = append(list.withRoom, i)
		}
	}
	if shared {
		f.cycle.candidatesByShape[shape] = list
	}
	return list
}

// findCandidates lists the machines that may take a job: those with the lowest score first, then spot machines, which
// fewer jobs can use, then the tightest fit.
func (f *Fleet) findCandidates(now time.Duration, job *jobs.Job) []candidate {
	var candidates []candidate
	size := job.Spec.Size()
	for _, machine := range f.packingOrder() {
		if !size.Fits(machine.Capacity) || !f.mayPlace(machine, job) || !f.zoneAccepts(machine, job) {
			continue
		}
		option := candidate{machine: machine, fetchSeconds: f.fetchSeconds(job, machine)}
		if !f.fits(machine, job) {
			option.secondsUntilRoom = f.secondsUntilRoom(now, machine, job)
		}
		// Differences below a second count for nothing.
		wait := waitWeight * option.secondsUntilRoom
		option.score = math.Floor(wait + option.fetchSeconds + f.spotWaitLimit(machine, job))
		candidates = append(candidates, option)
	}
	f.PlanningSteps += uint64(len(f.machines) + 4*len(candidates))
	slices.SortFunc(candidates, compareCandidates)
	return candidates
}

// compareCandidates orders candidates as findCandidates returns them.
func compareCandidates(x, y candidate) int {
	if x.score != y.score {
		return cmp.Compare(x.score, y.score)
	}
	if x.machine.Spot != y.machine.Spot {
		if x.machine.Spot {
			return -1
		}
		return 1
	}
	xFree := x.machine.Free()
	yFree := y.machine.Free()
	return cmp.Or(
		cmp.Compare(xFree.GPUs, yFree.GPUs),
		cmp.Compare(xFree.CPUs, yFree.CPUs),
		cmp.Compare(x.machine.Index, y.machine.Index),
	)
}

// zoneAccepts reports whether a machine's zone takes new work of a job's kind now.
func (f *Fleet) zoneAccepts(machine *Machine, job *jobs.Job) bool {
	if f.ZoneAcceptsWork == nil || machine.Zone == jobs.None {
		return true
	}
	switch {
	case job.Spec.Kind == jobs.Service:
		return f.ZoneAcceptsWork(machine.Zone, zones.Service)
	case job.Spec.Kind == jobs.Gang && job.TaskCount > 1:
		return f.ZoneAcceptsWork(machine.Zone, zones.Gang)
	}
	return f.ZoneAcceptsWork(machine.Zone, zones.Array)
}

// availableRoom is what a job may take of a machine now: what is neither reserved for a job that ranks before it nor
// planned for gangs and services.
func (f *Fleet) availableRoom(machine *Machine, job *jobs.Job) planner.Size {
	free := machine.Free().Sub(machine.queuedWithoutArrays)
	if f.isReservedFrom(machine, job) {
		free = free.Sub(machine.reserved)
	}
	return free
}
