package fleet

// Backfilling: a job that has waited too long although there is free room may use room reserved for other work.

import (
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/planner"
)

// A job may be denied free room for four reasons: the room is reserved for a gang that waits for more, it is processor
// room reserved beside accelerators, it is on an on-demand machine that other jobs need, or a busy machine is the
// better choice. Each reason can last forever, for example if a gang is larger than its zone or an estimate is far too
// low. A job that has waited for starvingAfter while there was room is starving. It may use any free room except the
// firm reservations of gangs whose own start is overdue. These are effective against the job until
// firmReservationLimit, which is below the 90 s that a job may wait beside free room.
//
// Only the time with room counts, not the whole waiting time. In an overload every job waits for a long time, and all
// of them would take room from large gangs: a large gang then started after 873 s instead of 235 s.
const (
	starvingAfter        = 40 * time.Second
	firmReservationLimit = 75 * time.Second
)

// roomCheckInterval is the time between two runs of updateRoomSince.
const roomCheckInterval = time.Second

// roomRequest is the part of a job that determines whether there is room for it. It is the key of cached results.
type roomRequest struct {
	jobShape
	tasks     int // number of tasks that must start together
	oneZone   bool
	zoneLimit int
}

// updateRoomSince sets RoomSince of each job to the time since which the job has waited although there is room for it;
// reserved room counts as room. It sets 0 if there is no room, or if the team's limit or missing licences keep the job
// from starting.
func (f *Fleet) updateRoomSince(now time.Duration) {
	if now < f.nextRoomCheck {
		return
	}
	f.nextRoomCheck = now + roomCheckInterval
	roomByRequest := map[roomRequest]bool{}
	for _, job := range f.ranking.jobs {
		switch {
		case job.TasksOnMachines() > 0 && job.RunningTasks == 0:
			// A start that is undone before any task runs does not end the wait.
		case !f.waitsForRoom(job) || !f.hasRoom(job, roomByRequest):
			job.StartableSince = 0
		case job.StartableSince == 0:
			job.StartableSince = now
		}
	}
}

// waitsForRoom reports whether a job has no task on a machine, and has tasks that may start as soon as there is room.
func (f *Fleet) waitsForRoom(job *jobs.Job) bool {
	return job.TasksOnMachines() == 0 &&
		job.UnstartedTasks() > 0 &&
		!job.PlanningBlocked() &&
		f.crashLooping(job) == nil &&
		f.mayStart(job, tasksToStart(job))
}

// tasksToStart returns how many tasks of a job must start together: all tasks of a gang, one of any other job.
func tasksToStart(job *jobs.Job) int {
	if job.Spec.Kind == jobs.Gang {
		return job.TaskCount
	}
	return 1
}

// hasRoom reports whether there is room for a job to start. It caches the result in roomByRequest for jobs with the
// same request.
func (f *Fleet) hasRoom(job *jobs.Job, roomByRequest map[roomRequest]bool) bool {
	tasks := tasksToStart(job)
	if len(job.AvoidedMachines) > 0 {
		return f.findRoom(job, tasks)
	}
	request := roomRequest{shapeOf(job), tasks, job.Spec.OneZone, job.Spec.ZoneLimit()}
	request.image = 0 // any machine can fetch the image
	room, ok := roomByRequest[request]
	if !ok {
		room = f.findRoom(job, tasks)
		roomByRequest[request] = room
	}
	return room
}

// findRoom reports whether the machines that are eligible for a job have free room for a number of its tasks.
func (f *Fleet) findRoom(job *jobs.Job, tasks int) bool {
	size := job.Spec.Size()
	placesByZone := map[int32]int{}
	for _, machine := range f.machines {
		f.PlanningSteps++
		free := machine.Free()
		if !takesWork(machine) || !size.Fits(free) || !f.mayPlace(machine, job) || !f.zoneAccepts(machine, job) {
			continue
		}
		placesByZone[machine.Zone] += size.FitCount(free)
		if placesFor(job, placesByZone) >= tasks {
			return true
		}
	}
	return false
}

// placesFor returns how many tasks of a job may use the given places at once, by the zones to which the job is limited.
func placesFor(job *jobs.Job, placesByZone map[int32]int) int {
	limit := job.Spec.ZoneLimit()
	total, largest := 0, 0
	for _, places := range placesByZone {
		if limit > 0 {
			places = min(places, limit)
		}
		total += places
		largest = max(largest, places)
	}
	if job.Spec.OneZone {
		return largest
	}
	return total
}

// starvedFor returns how long a job has waited while there was room for it. It returns 0 for a nil job.
func (f *Fleet) starvedFor(job *jobs.Job) time.Duration {
	if job == nil || job.StartableSince == 0 || job.TasksOnMachines() > 0 {
		return 0
	}
	return f.Now() - job.StartableSince
}

// isStarving reports whether a job has waited for more than starvingAfter while there was room for it. Such a job
// ignores all reservations except firm ones.
func (f *Fleet) isStarving(job *jobs.Job) bool { return f.starvedFor(job) > starvingAfter }

// reservedFrom returns the room on a machine that a reservation keeps a job from using. Tasks that use reserved room
// count against the reservation: the room beside it is the same as before they started.
func (f *Fleet) reservedFrom(machine *Machine, job *jobs.Job) planner.Size {
	if machine.reserved == (planner.Size{}) || !f.isReservedFrom(machine, job) {
		return planner.Size{}
	}
	return machine.reserved.Sub(machine.borrowed).NotNegative()
}

// recordBorrower records that a task that was just launched may use room that is reserved for a job of higher rank.
func (f *Fleet) recordBorrower(machine *Machine, job *jobs.Job, taskIndex int32) {
	if machine.reserved == (planner.Size{}) || machine.reservedRank >= f.rankOf(job) || !f.isStarving(job) {
		return
	}
	if machine.borrowers == nil {
		machine.borrowers = map[TaskRef]struct{}{}
	}
	machine.borrowers[TaskRef{job.Index, taskIndex}] = struct{}{}
	machine.borrowed = machine.borrowed.Add(job.Spec.Size())
}

// removeBorrower records that a task no longer counts as on a machine.
func (m *Machine) removeBorrower(ref TaskRef, size planner.Size) {
	if _, isBorrower := m.borrowers[ref]; !isBorrower {
		return
	}
	delete(m.borrowers, ref)
	m.borrowed = m.borrowed.Sub(size)
	if len(m.borrowers) == 0 {
		m.borrowed = planner.Size{} // clears rounding errors
	}
}

// isReservedFrom reports whether the reservation on a machine keeps a job from using the reserved room.
func (f *Fleet) isReservedFrom(machine *Machine, job *jobs.Job) bool {
	if machine.reservedRank >= f.rankOf(job) {
		return false
	}
	if machine.reservedFirmly {
		return f.starvedFor(job) <= firmReservationLimit
	}
	return !f.isStarving(job)
}

// roomBesideQueue returns the free room of a machine for tasks of a job that are moved there from another queue. Room
// for the tasks in the machine's own queue is not included. For a starving job only queued tasks of gangs, services
// and other starving arrays are deducted: other queued tasks may be waiting for reasons that don't apply to a starving
// job.
func (f *Fleet) roomBesideQueue(machine *Machine, job *jobs.Job) planner.Size {
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
		// Queued tasks that don't fit now are not deducted.
		startable := min(len(queue.tasks), max(0, size.FitCount(free)))
		free = free.Sub(size.Scale(float64(startable)))
	}
	f.PlanningSteps += uint64(len(machine.queues))
	return free
}
