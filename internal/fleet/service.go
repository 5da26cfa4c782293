package fleet

// Services: their replicas are placed one by one and spread over the zones.

import (
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

// placeService plans the replicas of a service that have no machine.
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

// chooseReplicaMachine returns the best candidate with room in the zone with the fewest replicas, so that the loss
// of a zone takes as little of the service as possible, or nil if there is none. Planned replicas count against a
// zone's limit too: otherwise those beyond it would wait in the queues of one zone for ever.
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

// TasksByZone counts a job's tasks by zone, planned ones and those on machines, without those on quarantined
// machines.
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
