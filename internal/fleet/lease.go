package fleet

// The end of machines: leases that ran out, returns, and drains.

import (
	"time"

	"github.com/harewalk/harewalk/internal/events"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/licences"
)

// expireLeases releases the tasks of machines whose workers' leases have surely run out: the
// worker counts from when it sent its last answered report, which was before our answer,
// on a clock that may be slow by the drift bound.
func (f *Fleet) expireLeases(now time.Duration) {
	lease := f.Settings.Lease()
	limit := lease + lease/500 + time.Second
	for _, machine := range f.machines {
		if machine.Condition == LeaseExpired || machine.Condition == Terminated || now-machine.LastAnsweredAt <= limit {
			continue
		}
		f.setCondition(machine, LeaseExpired, "lease ran out")
		machine.reachability.expiredSession = machine.Session
		f.releaseAllTasks(now, machine)
	}
}

// Quarantine plans nothing more on a machine that isn't heard and whose zone is lost; what was planned there and not sent
// goes elsewhere. What may run there counts as before. Its next report ends it.
func (f *Fleet) Quarantine(machine *Machine) {
	if machine.Quarantined || machine.Condition != Ready {
		return
	}
	machine.Quarantined = true
	f.clearQueues(machine)
}

// releaseAllTasks releases all of a machine's tasks, which are surely not on it any more.
func (f *Fleet) releaseAllTasks(now time.Duration, machine *Machine) {
	refs := make([]TaskRef, 0, len(machine.Tasks))
	for r := range machine.Tasks {
		refs = append(refs, r)
	}
	sortRefs(refs)
	for _, r := range refs {
		job := f.jobAt(r.Job)
		f.addTaskEvent(now, events.TaskLost, job, r.Task, "")
		f.release(now, job, r.Task, jobs.Unplanned, licences.Crashed)
		if !job.State.Terminal() {
			job.MarkDirty(r.Task, false, now)
		}
	}
	f.clearQueues(machine)
	clear(machine.indeterminateLaunches)
	machine.cachedImages = nil
}

// HandleReturned tells that the cloud confirmed that a machine is gone.
func (f *Fleet) HandleReturned(now time.Duration, machine *Machine, cause string) {
	f.setCondition(machine, Terminated, cause)
	f.releaseAllTasks(now, machine)
}

// ReturnMachine stops new starts on a machine that is to be given back.
func (f *Fleet) ReturnMachine(machine *Machine, cause string) {
	machine.Returning = true
	if machine.Condition == Ready {
		f.setCondition(machine, ReclaimNoticed, cause)
	}
	f.clearQueues(machine)
}
