package fleet

// Candidates: the machines that are eligible for a task of a gang or a service, in order of preference.

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

// waitWeight is the weight of a second of waiting for room, relative to a second of fetching an image. The time until
// a task ends is an estimate that is often wrong by half, while the time of a fetch is certain. A gang that waits
// longer than estimated, and is then placed on another machine, has to fetch the image anyway.
const waitWeight = 2.0

// candidate is a machine that is eligible for a task of a job, with the expected delays there.
type candidate struct {
	machine          *Machine
	secondsUntilRoom float64 // 0: the machine has room now
	fetchSeconds     float64
	score            float64 // weighted seconds; the lowest score is preferred
}

// jobShape is the part of a job that determines its candidates. Jobs of the same shape share a candidate list.
type jobShape struct {
	size     planner.Size
	image    int32
	zone     int32
	spot     bool
	types    string // machine type indices, four bytes each
	starving bool   // the job ignores all reservations except firm ones
}

// preemptionShape is the part of a job that determines which tasks it may preempt.
type preemptionShape struct {
	jobShape
	team            int32
	priority        int
	withinGuarantee bool
	tasks           int
	oneZone         bool
}

// candidateList lists the machines that are eligible for tasks of a shape, best first. Room is as of the time when the
// cycle built the list. Placing tasks during a cycle only uses up room, so a machine that had too little room is not
// examined again in that cycle.
type candidateList struct {
	candidates    []candidate
	firstWithRoom int   // index of the first candidate that may have room
	withRoom      []int // indices of the candidates that had room when last checked
	// reservedUpTo holds, by zone (jobs.None for any), the index of the first candidate that has not been considered for
	// a reservation yet.
	reservedUpTo map[int32]int
}

// shapeOf returns the shape of a job, with starving left false.
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

// candidatesFor returns the candidate list of a job. Jobs of the same shape share a list during a cycle. A job that
// avoids some machines, or has tasks on machines, gets its own list.
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

// findCandidates returns the machines that are eligible for a job, ordered by score. At equal scores, spot machines
// come first because fewer jobs can use them, then the machines with the least free room.
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
		// The score is in whole seconds, so that smaller differences have no effect.
		wait := waitWeight * option.secondsUntilRoom
		option.score = math.Floor(wait + option.fetchSeconds + f.spotWaitLimit(machine, job))
		candidates = append(candidates, option)
	}
	f.PlanningSteps += uint64(len(f.machines) + 4*len(candidates))
	slices.SortFunc(candidates, compareCandidates)
	return candidates
}

// compareCandidates orders candidates by preference, as findCandidates describes.
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

// zoneAccepts reports whether the zone of a machine accepts new work of a job's kind now.
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

// availableRoom returns the free room of a machine that a job may use now. It excludes the room for queued tasks of
// gangs and services, and the room reserved against the job.
func (f *Fleet) availableRoom(machine *Machine, job *jobs.Job) planner.Size {
	free := machine.Free().Sub(machine.queuedWithoutArrays)
	free = free.Sub(f.reservedFrom(machine, job))
	return free
}
