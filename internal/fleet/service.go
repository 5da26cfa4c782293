package fleet

// Placement of services: replicas are placed one by one and spread over the zones.

import (
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

// placeService plans the unplanned replicas of a service.
func (f *Fleet) placeService(now time.Duration, job *jobs.Job) {
	if job.TasksByState[jobs.Unplanned] == 0 {
		return
	}
	if f.inBackoff(now, job) {
		f.recordCrashLoopBackoff(job)
		return
	}
	list := f.candidatesFor(now, job)
	replicas := f.TasksByZone(job)
	for t := range job.Tasks {
		task := &job.Tasks[t]
		if task.State != jobs.Unplanned {
			continue
		}
		if task.NotBefore > now {
			f.setUnplannedReason(job, unplannedReason{cause: RetryLater, retryAt: task.NotBefore})
			continue
		}
		if !f.mayStart(job, 1) || job.TasksByState[jobs.Planned] >= f.grantedTasks(job, job.TaskCount) {
			f.recordDenied(job, 1)
			return
		}
		machine := f.chooseReplicaMachine(job, list, replicas)
		if machine == nil {
			f.setUnplannedReason(job, unplannedReason{cause: NoRoom})
			return
		}
		f.planTask(now, job, int32(t), machine)
		replicas[machine.Zone]++
		promotionUsed := f.ranking.startDeadlineDue[job.Index] && job.TasksByState[jobs.Planned] >= startDeadlineTasks
		if f.crashLooping(job) != nil || promotionUsed {
			return
		}
	}
}

// chooseReplicaMachine returns the best candidate with room in the zone with the fewest replicas, or nil if no
// candidate has room. Spreading the replicas limits the damage if a zone is lost. Planned replicas count toward a
// zone's limit too: otherwise the replicas above the limit would wait forever in the queues of one zone.
func (f *Fleet) chooseReplicaMachine(job *jobs.Job, list *candidateList, replicas map[int32]int) *Machine {
	size := job.Spec.Size()
	limit := job.Spec.ZoneLimit()
	var best *Machine
	for i := range list.candidates {
		option := &list.candidates[i]
		machine := option.machine
		if limit > 0 && replicas[machine.Zone] >= limit {
			continue
		}
		if option.secondsUntilRoom > 0 || best != nil && replicas[machine.Zone] >= replicas[best.Zone] {
			continue
		}
		if f.mayPlace(machine, job) && size.Fits(f.availableRoom(machine, job)) {
			best = machine
		}
	}
	return best
}

// TasksByZone returns, by zone, how many tasks of a job are planned or on machines. Tasks on quarantined machines
// don't count.
func (f *Fleet) TasksByZone(job *jobs.Job) map[int32]int {
	byZone := map[int32]int{}
	for t := range job.Tasks {
		task := &job.Tasks[t]
		if task.Machine == jobs.None {
			continue
		}
		machine := f.machines[task.Machine]
		if (task.State == jobs.Planned || task.State.Occupies()) && !machine.Quarantined {
			byZone[machine.Zone]++
		}
	}
	return byZone
}
