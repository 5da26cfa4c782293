package fleet

// Room that is held for some work stands idle beside other work for a bounded time only.

import (
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/planner"
)

// What keeps room idle: the claim of a gang that waits for more of it, cores beside accelerators that such work is to come
// for, ordinary machines that others need, and the better choice of a busy machine that is free soon. All may wait for what never comes: a gang
// larger than its zone, accelerators that nobody gives back, an estimate that doesn't come true. A job that has stood beside room
// that fits for starvingAfter lets none of them hold it up: it is backfilled. Only the claims of gangs that are overdue to
// begin themselves hold against it, until firmReservationLimit, which stays under the 90 s for which a job may wait so. What counts is the time
// beside room, not the time waited: in an overload everybody waits, and what had waited for long once took all that came free from
// large gangs (they began after 873 s instead of 235).
const (
	starvingAfter        = 40 * time.Second
	firmReservationLimit = 75 * time.Second
)

// updateRoomSince notes, for each waiting job, since when there has been room for it: machines that it may use with as much
// free as it needs to begin, whatever that is held for, and its team under its limit.
func (f *Fleet) updateRoomSince(now time.Duration) {
	if now < f.nextRoomCheck {
		return
	}
	f.nextRoomCheck = now + time.Second
	type ask struct {
		jobShape
		n       int
		oneZone bool
	}
	known := map[ask]bool{}
	for _, job := range f.ranking.jobs {
		n := 1
		if job.Spec.Kind == jobs.Gang {
			n = job.TaskCount
		}
		if job.TasksOnMachines() > 0 || job.UnstartedTasks() == 0 || job.Idle() || f.crashLooping(job) != nil || !f.mayStart(job, n) {
			job.RoomSince = 0
			continue
		}
		k := ask{shapeOf(job), n, job.Spec.OneZone}
		k.image = 0 // any machine may fetch it
		room, ok := known[k]
		if !ok || len(job.AvoidedMachines) > 0 {
			room = f.hasRoomFor(job, n)
		}
		if len(job.AvoidedMachines) == 0 {
			known[k] = room
		}
		switch {
		case !room:
			job.RoomSince = 0
		case job.RoomSince == 0:
			job.RoomSince = now
		}
	}
}

// hasRoomFor tells whether there is room for n tasks of a job.
func (f *Fleet) hasRoomFor(job *jobs.Job, n int) bool {
	size, in := job.Spec.Size(), map[int32]int{}
	for _, machine := range f.machines {
		f.PlanningSteps++
		if machine.Condition != Ready || machine.Returning || machine.Quarantined || !size.Fits(machine.Free()) || !f.mayUse(machine, job) || !f.zoneAccepts(machine, job) {
			continue
		}
		zone := jobs.None
		if job.Spec.OneZone {
			zone = machine.Zone
		}
		if in[zone] += size.Copies(machine.Free()); in[zone] >= n {
			return true
		}
	}
	return false
}

// starvedFor is for how long a job has stood beside room.
func (f *Fleet) starvedFor(job *jobs.Job) time.Duration {
	if job == nil || job.RoomSince == 0 || job.TasksOnMachines() > 0 {
		return 0
	}
	return f.Now() - job.RoomSince
}

// isStarving tells whether a job has stood beside room for so long that none is kept from it any more, but by firm claims.
func (f *Fleet) isStarving(job *jobs.Job) bool { return f.starvedFor(job) > starvingAfter }

// isReservedFrom tells whether the claim on a machine holds against a job.
func (f *Fleet) isReservedFrom(machine *Machine, job *jobs.Job) bool {
	if machine.reservedRank >= f.rankOf(job) {
		return false
	}
	if machine.reservedFirmly {
		return f.starvedFor(job) <= firmReservationLimit
	}
	return !f.isStarving(job)
}

// spareRoom is what of a machine's room what is planned there leaves for a job that would be moved there. What is planned may be
// held up itself by what holds a job that has waited for long no more: for such a job only gangs count, and others like it.
func (f *Fleet) spareRoom(machine *Machine, job *jobs.Job) planner.Size {
	if !f.isStarving(job) {
		return machine.Free().Sub(machine.queuedNeed)
	}
	free := machine.Free().Sub(machine.queuedWhole)
	for _, queue := range machine.queues {
		if o := f.jobAt(queue.job); o.Spec.Kind == jobs.Array && f.isStarving(o) {
			size := o.Spec.Size() // what has no room there now takes none either
			free = free.Sub(size.Times(float64(min(len(queue.tasks), max(0, size.Copies(free))))))
		}
	}
	f.PlanningSteps += uint64(len(machine.queues))
	return free
}
