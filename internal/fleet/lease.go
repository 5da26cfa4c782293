package fleet

// Expired leases, and the return and termination of machines.

import (
	"time"

	"github.com/harewalk/harewalk/internal/events"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/licences"
)

const (
	// clockDriftDivisor is the inverse of the maximum drift of a worker's clock, which may be slow by one part in 500.
	clockDriftDivisor = 500
	// leaseExpiryMargin is added to the lease and the drift, so that the expiry is certain.
	leaseExpiryMargin = time.Second
)

// expireLeases releases the tasks of machines whose workers' leases have certainly expired. A worker counts its lease
// from the time at which it sent the last heartbeat that got a response, and so from before the response was sent. The
// worker's clock may be slow by the maximum drift.
func (f *Fleet) expireLeases(now time.Duration) {
	lease := f.Settings.WorkerLease()
	limit := lease + lease/clockDriftDivisor + leaseExpiryMargin
	for _, machine := range f.machines {
		isEnded := machine.Condition == LeaseExpired || machine.Condition == Terminated
		if isEnded || now-machine.LeaseRenewedAt <= limit {
			continue
		}
		f.setCondition(machine, LeaseExpired, "lease expired")
		machine.reachability.expiredSession = machine.Session
		f.releaseAllTasks(now, machine)
	}
}

// Quarantine stops planning on a ready machine whose zone is lost and that is not in contact. Its queued tasks become
// unplanned, so that they can be planned on other machines. Launched tasks still count as on the machine. The machine's
// next heartbeat ends the quarantine.
func (f *Fleet) Quarantine(machine *Machine) {
	if machine.Quarantined || machine.Condition != Ready {
		return
	}
	machine.Quarantined = true
	f.clearQueues(machine)
}

// ReturnMachine stops new launches on a machine that is to be returned to the cloud.
func (f *Fleet) ReturnMachine(machine *Machine, cause string) {
	machine.Returning = true
	if machine.Condition == Ready {
		f.setCondition(machine, ReclaimNoticed, cause)
	}
	f.clearQueues(machine)
}

// HandleTerminated records that the cloud confirmed the termination of a machine.
func (f *Fleet) HandleTerminated(now time.Duration, machine *Machine, cause string) {
	f.setCondition(machine, Terminated, cause)
	f.releaseAllTasks(now, machine)
}

// releaseAllTasks releases all tasks that count as on a machine. The caller has proof that none is on the machine.
func (f *Fleet) releaseAllTasks(now time.Duration, machine *Machine) {
	refs := make([]TaskRef, 0, len(machine.Tasks))
	for ref := range machine.Tasks {
		refs = append(refs, ref)
	}
	sortRefs(refs)
	for _, ref := range refs {
		job := f.jobAt(ref.Job)
		f.addTaskEvent(now, events.TaskLost, job, ref.Task)
		f.release(now, job, ref.Task, jobs.Unplanned, licences.Crashed)
		if !job.State.Terminal() {
			job.MarkDirty(ref.Task, false, now)
		}
	}
	f.clearQueues(machine)
	machine.cachedImages = nil
}
