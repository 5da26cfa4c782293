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
// that fits for longWaitAfter lets none of them hold it up: it is backfilled. Only the claims of gangs that are overdue to
// begin themselves hold against it, until firmReservationAfter, which stays under the 90 s for which a job may wait so. What counts is the time
// beside room, not the time waited: in an overload everybody waits, and what had waited for long once took all that came free from
// large gangs (they began after 873 s instead of 235).
const (
	longWaitAfter        = 40 * time.Second
	firmReservationAfter = 75 * time.Second
)

// trackRoom notes, for each waiting job, since when there has been room for it: machines that it may use with as much
// free as it needs to begin, whatever that is held for, and its team under its limit.
func (f *Fleet) trackRoom(now time.Duration) {
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
	for _, j := range f.ranked {
		n := 1
		if j.Spec.Kind == jobs.Gang {
			n = j.TaskCount
		}
		if j.TasksOnMachines() > 0 || j.UnstartedTasks() == 0 || j.Idle() || f.crashLooping(j) != nil || !f.mayStart(j, n) {
			j.RoomSince = 0
			continue
		}
		k := ask{shapeOf(j), n, j.Spec.OneZone}
		k.image = 0 // any machine may fetch it
		room, ok := known[k]
		if !ok || len(j.AvoidedMachines) > 0 {
			room = f.hasRoomFor(j, n)
		}
		if len(j.AvoidedMachines) == 0 {
			known[k] = room
		}
		switch {
		case !room:
			j.RoomSince = 0
		case j.RoomSince == 0:
			j.RoomSince = now
		}
	}
}

// hasRoomFor tells whether there is room for n tasks of a job.
func (f *Fleet) hasRoomFor(j *jobs.Job, n int) bool {
	size, in := j.Spec.Size(), map[int32]int{}
	for _, m := range f.machines {
		f.PlanningSteps++
		if m.Condition != Ready || m.Returning || m.Quarantined || !size.Fits(m.Free()) || !f.mayUse(m, j) || !f.zoneAccepts(m, j) {
			continue
		}
		zone := jobs.None
		if j.Spec.OneZone {
			zone = m.Zone
		}
		if in[zone] += size.Copies(m.Free()); in[zone] >= n {
			return true
		}
	}
	return false
}

// waitedBesideRoom is for how long a job has stood beside room.
func (f *Fleet) waitedBesideRoom(j *jobs.Job) time.Duration {
	if j == nil || j.RoomSince == 0 || j.TasksOnMachines() > 0 {
		return 0
	}
	return f.Now() - j.RoomSince
}

// hasWaitedLong tells whether a job has stood beside room for so long that none is kept from it any more, but by firm claims.
func (f *Fleet) hasWaitedLong(j *jobs.Job) bool { return f.waitedBesideRoom(j) > longWaitAfter }

// isReservedFrom tells whether the claim on a machine holds against a job.
func (f *Fleet) isReservedFrom(m *Machine, j *jobs.Job) bool {
	if m.reservedRank >= f.rankOf(j) {
		return false
	}
	if m.reservedFirmly {
		return f.waitedBesideRoom(j) <= firmReservationAfter
	}
	return !f.hasWaitedLong(j)
}

// unneededRoom is what of a machine's room what is planned there leaves for a job that would be moved there. What is planned may be
// held up itself by what holds a job that has waited for long no more: for such a job only gangs count, and others like it.
func (f *Fleet) unneededRoom(m *Machine, j *jobs.Job) planner.Size {
	if !f.hasWaitedLong(j) {
		return m.Free().Sub(m.queuedNeed)
	}
	free := m.Free().Sub(m.queuedWhole)
	for _, l := range m.queues {
		if o := f.jobAt(l.job); o.Spec.Kind == jobs.Array && f.hasWaitedLong(o) {
			size := o.Spec.Size() // what has no room there now takes none either
			free = free.Sub(size.Times(float64(min(len(l.tasks), max(0, size.Copies(free))))))
		}
	}
	f.PlanningSteps += uint64(len(m.queues))
	return free
}
