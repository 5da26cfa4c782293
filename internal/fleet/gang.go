package fleet

// Placement of gangs: all tasks of a gang are planned together, on machines that have or will have room for all.

import (
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/planner"
)

// replanGang resets a gang that can't start as planned. Either one of its machines was lost or filled up before the
// start, or the running gang lost a task.
func (f *Fleet) replanGang(job *jobs.Job) {
	onMachines := job.TasksOnMachines()
	if onMachines == 0 && f.gangPlanIsStale(job) {
		f.unplanTasks(job)
		return
	}
	if onMachines > 0 && job.TasksByState[jobs.Unplanned] > 0 && job.TaskCount > 1 {
		f.stopRestOfGang(job)
	}
}

// gangPlanIsStale reports whether a planned gang must be placed again. None of its tasks may be on a machine. The plan
// is stale if some tasks are unplanned, or if a machine of the plan no longer takes work or is full because a
// heartbeat reported another task there.
func (f *Fleet) gangPlanIsStale(job *jobs.Job) bool {
	if job.TasksByState[jobs.Planned] == 0 {
		return false
	}
	if job.TasksByState[jobs.Unplanned] > 0 {
		return true
	}
	for t := range job.Tasks {
		task := &job.Tasks[t]
		if task.State != jobs.Planned {
			continue
		}
		machine := f.machines[task.Machine]
		if machine.Condition != Ready || machine.Returning {
			return true
		}
		// The room for a task is checked only once its plan is durable: until then the write is in flight.
		if job.IsDurable(int32(t)) && !f.fits(machine, job) {
			return true
		}
	}
	return false
}

// stopRestOfGang stops the remaining tasks of a gang that lost a task. The gang can start again once all of them have
// stopped.
func (f *Fleet) stopRestOfGang(job *jobs.Job) {
	for t := range job.Tasks {
		task := &job.Tasks[t]
		if task.State.Occupies() {
			f.stopTask(job, int32(t))
		} else if task.State == jobs.Planned {
			f.unplanTask(job, int32(t))
		}
	}
}

// placeGang plans all tasks of an unplanned gang. If there is not enough room now, it preempts other work, or reserves
// the machines that will have room first so that lower-ranked jobs don't take the room that becomes free.
func (f *Fleet) placeGang(now time.Duration, job *jobs.Job) {
	if !f.mayPlaceGang(now, job) {
		return
	}
	list := f.candidatesFor(now, job)
	if len(list.candidates) == 0 {
		f.setUnplannedReason(job, unplannedReason{cause: NoMachine})
		return
	}
	if f.placeGangNow(now, job, list) {
		return
	}
	zone, start := f.earliestGangStart(job, list)
	shortage := gangShortage{machinesWithRoom: len(list.withRoom), secondsToStart: start}
	f.setUnplannedReason(job, unplannedReason{cause: GangLacksRoom, gang: shortage})
	if f.crashLooping(job) != nil {
		return // a job that fails on every machine neither preempts nor reserves
	}
	if start > f.maxWaitSeconds(now, job) && f.preemptForGang(now, job, list.candidates, start) {
		return
	}
	shortage.overdue = f.startOverdue(now, job)
	shortage.reservedMachines = f.reserveMachines(job, list, zone, shortage.overdue)
	f.setUnplannedReason(job, unplannedReason{cause: GangLacksRoom, gang: shortage})
}

// mayPlaceGang reports whether a gang may be placed now. If not, it records the reason.
func (f *Fleet) mayPlaceGang(now time.Duration, job *jobs.Job) bool {
	if job.TasksByState[jobs.Unplanned] < job.TaskCount {
		// The gang is planned, running or finished, or some of its tasks are still stopping.
		f.setUnplannedReason(job, unplannedReason{cause: GangStopping})
		return false
	}
	if f.inBackoff(now, job) {
		f.recordCrashLoopBackoff(job)
		return false
	}
	for t := range job.Tasks {
		if task := &job.Tasks[t]; task.NotBefore > now {
			f.recordRetryLater(job, task.NotBefore)
			return false
		}
	}
	if !f.mayStart(job, job.TaskCount) {
		f.recordDenied(job, job.TaskCount)
		return false
	}
	return true
}

// placeGangNow plans a gang on machines that have room now. It returns false if there are too few.
func (f *Fleet) placeGangNow(now time.Duration, job *jobs.Job, list *candidateList) bool {
	if job.TaskCount == 1 {
		return f.placeSingleTask(now, job, list)
	}
	size := job.Spec.Size()
	hosts := make([]planner.Host, 0, len(list.withRoom))
	stillWithRoom := list.withRoom[:0]
	for _, i := range list.withRoom {
		machine := list.candidates[i].machine
		if room := f.availableRoom(machine, job); size.Fits(room) {
			stillWithRoom = append(stillWithRoom, i)
			hosts = append(hosts, planner.Host{ID: machine.Index, Zone: machine.Zone, Free: room})
		}
	}
	list.withRoom = stillWithRoom
	f.PlanningSteps += uint64(len(hosts))
	placement := planner.FirstFit(hosts, size, job.TaskCount, job.Spec.OneZone, job.Spec.ZoneLimit())
	for t, machineIndex := range placement {
		f.planTask(now, job, int32(t), f.machines[machineIndex])
	}
	return placement != nil
}

// placeSingleTask plans a gang of one task on the best candidate if that machine has room now, and reports whether it
// did. If the best candidate is busy, the job waits for it, unless the job is starving: then any machine with room
// will do.
func (f *Fleet) placeSingleTask(now time.Duration, job *jobs.Job, list *candidateList) bool {
	size := job.Spec.Size()
	for ; list.firstWithRoom < len(list.candidates); list.firstWithRoom++ {
		best := &list.candidates[list.firstWithRoom]
		if best.secondsUntilRoom != 0 {
			break
		}
		if size.Fits(f.availableRoom(best.machine, job)) {
			f.planTask(now, job, 0, best.machine)
			return true
		}
	}
	if !f.isStarving(job) {
		return false
	}
	for _, i := range list.withRoom {
		if machine := list.candidates[i].machine; size.Fits(f.availableRoom(machine, job)) {
			f.planTask(now, job, 0, machine)
			return true
		}
	}
	return false
}

// earliestGangStart estimates in how many seconds enough machines will have room for a gang, one machine for each
// task. It also returns the zone of these machines, or jobs.None if the gang may span zones.
func (f *Fleet) earliestGangStart(job *jobs.Job, list *candidateList) (zone int32, start float64) {
	machinesByZone := map[int32]int{}
	for i := range list.candidates {
		option := &list.candidates[i]
		zone = jobs.None
		if job.Spec.OneZone {
			zone = option.machine.Zone
		}
		f.PlanningSteps++
		machinesByZone[zone]++
		if machinesByZone[zone] >= job.TaskCount {
			return zone, option.secondsUntilRoom + option.fetchSeconds
		}
	}
	return zone, unknownWaitSeconds
}

// reserveMachines reserves for a gang the machines that will have room first, and returns how many it reserved. A firm
// reservation is also effective against starving jobs.
func (f *Fleet) reserveMachines(job *jobs.Job, list *candidateList, zone int32, firm bool) int {
	rank := f.rankOf(job)
	reserved := 0
	i := list.reservedUpTo[zone]
	for ; i < len(list.candidates) && reserved < job.TaskCount; i++ {
		machine := list.candidates[i].machine
		inZone := zone == jobs.None || machine.Zone == zone
		if inZone && (machine.reservedRank > rank || machine.reserved == (planner.Size{})) {
			machine.reserved = job.Spec.Size()
			machine.reservedRank = rank
			machine.reservedFirmly = firm
			reserved++
		}
		f.PlanningSteps++
	}
	list.reservedUpTo[zone] = i
	return reserved
}
