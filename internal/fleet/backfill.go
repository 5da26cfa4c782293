package fleet

// Backfilling: a job that starves beside free room may use what is kept free for other work.

import (
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/planner"
)

// Free room may be kept from a job: by the reservation of a gang that waits for more of it, as processors beside
// accelerators, as on-demand machines that others need, or because a busy machine would be the better choice. Each
// of these may wait for what never comes, such as a gang larger than its zone or an estimate that is far too low. A
// job that has waited for starvingAfter although there was room for it is starving: nothing is kept from it any
// more, but for the firm reservations of gangs that are overdue to start themselves. Those hold until
// firmReservationLimit, which is below the 90 s for which a job may wait so.
//
// Only the time with room counts, not the time waited: in an overload every job waits for long, and jobs would then
// take all that comes free from large gangs, which once started after 873 s instead of 235 s.
const (
	starvingAfter        = 40 * time.Second
	firmReservationLimit = 75 * time.Second
)

// roomCheckInterval is the time between two checks for room.
const roomCheckInterval = time.Second

// roomRequest is what jobs have in common for which there is room at the same time.
type roomRequest struct {
	jobShape
	tasks   int // that must start together
	oneZone bool
}

// updateRoomSince records, for each waiting job, since when there has been room for it, whatever that is kept for.
// There is none for a job that its team's limit or its licences hold back.
func (f *Fleet) updateRoomSince(now time.Duration) {
	if now < f.nextRoomCheck {
		return
	}
	f.nextRoomCheck = now + roomCheckInterval
	known := map[roomRequest]bool{}
	for _, job := range f.ranking.jobs {
		switch {
		case !f.waitsForRoom(job) || !f.hasRoom(job, known):
			job.RoomSince = 0
		case job.RoomSince == 0:
			job.RoomSince = now
		}
	}
}

// waitsForRoom reports whether a job has nothing on machines, but tasks that may start if there is room.
func (f *Fleet) waitsForRoom(job *jobs.Job) bool {
	return job.TasksOnMachines() == 0 &&
		job.UnstartedTasks() > 0 &&
		!job.Idle() &&
		f.crashLooping(job) == nil &&
		f.mayStart(job, tasksToStart(job))
}

// tasksToStart returns how many tasks of a job must start together for it to start at all.
func tasksToStart(job *jobs.Job) int {
	if job.Spec.Kind == jobs.Gang {
		return job.TaskCount
	}
	return 1
}

// hasRoom reports whether there is room for a job to start. Results are shared, in known, between jobs that may use
// the same machines.
func (f *Fleet) hasRoom(job *jobs.Job, known map[roomRequest]bool) bool {
	tasks := tasksToStart(job)
	if len(job.AvoidedMachines) > 0 {
		return f.findRoom(job, tasks)
	}
	request := roomRequest{shapeOf(job), tasks, job.Spec.OneZone}
	request.image = 0 // any machine may fetch it
	room, ok := known[request]
	if !ok {
		room = f.findRoom(job, tasks)
		known[request] = room
	}
	return room
}

// findRoom reports whether the free room of machines that may take a job is enough for a number of its tasks.
func (f *Fleet) findRoom(job *jobs.Job, tasks int) bool {
	size := job.Spec.Size()
	placesByZone := map[int32]int{}
	for _, machine := range f.machines {
		f.PlanningSteps++
		free := machine.Free()
		if !takesWork(machine) || !size.Fits(free) || !f.mayPlace(machine, job) || !f.zoneAccepts(machine, job) {
			continue
		}
		zone := jobs.None
		if job.Spec.OneZone {
			zone = machine.Zone
		}
		placesByZone[zone] += size.Copies(free)
		if placesByZone[zone] >= tasks {
			return true
		}
	}
	return false
}

// starvedFor returns how long a job has waited although there was room for it. A nil job has not.
func (f *Fleet) starvedFor(job *jobs.Job) time.Duration {
	if job == nil || job.RoomSince == 0 || job.TasksOnMachines() > 0 {
		return 0
	}
	return f.Now() - job.RoomSince
}

// isStarving reports whether a job has waited beside free room for so long that only firm reservations are kept
// from it.
func (f *Fleet) isStarving(job *jobs.Job) bool { return f.starvedFor(job) > starvingAfter }

// isReservedFrom reports whether the reservation on a machine holds against a job.
func (f *Fleet) isReservedFrom(machine *Machine, job *jobs.Job) bool {
	if machine.reservedRank >= f.rankOf(job) {
		return false
	}
	if machine.reservedFirmly {
		return f.starvedFor(job) <= firmReservationLimit
	}
	return !f.isStarving(job)
}

// spareRoom returns what a machine's queue leaves of its free room for a task that would be moved there. Queued
// tasks may be held back by what does not hold back a starving job: against such a job only gangs, services and
// other starving arrays count.
func (f *Fleet) spareRoom(machine *Machine, job *jobs.Job) planner.Size {
	if !f.isStarving(job) {
		return machine.Free().Sub(machine.queuedNeed)
	}
	free := machine.Free().Sub(machine.queuedWithoutArrays)
	for _, queue := range machine.queues {
		queuedJob := f.jobAt(queue.job)
		if queuedJob.Spec.Kind != jobs.Array || !f.isStarving(queuedJob) {
			continue
		}
		size := queuedJob.Spec.Size()
		// Tasks for which there is no room now take none either.
		startable := min(len(queue.tasks), max(0, size.Copies(free)))
		free = free.Sub(size.Scale(float64(startable)))
	}
	f.PlanningSteps += uint64(len(machine.queues))
	return free
}
