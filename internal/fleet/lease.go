package fleet

// The end of machines: leases that ran out, returns, and drains.

import (
	"time"

	"github.com/harewalk/harewalk/internal/events"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/licences"
)

// expire releases the tasks of machines whose workers' leases have surely run out: the
// worker counts from when it sent its last answered report, which was before our answer,
// on a clock that may be slow by the drift bound.
func (f *Fleet) expire(now time.Duration) {
	lease := f.Settings.Lease()
	limit := lease + lease/500 + time.Second
	for _, m := range f.machines {
		if m.Condition == LeaseExpired || m.Condition == Terminated || now-m.LastAnsweredAt <= limit {
			continue
		}
		f.setCondition(m, LeaseExpired, "lease ran out")
		m.reachability.expiredSession = m.Session
		f.forgetTasks(now, m)
	}
}

// Quarantine plans nothing more on a machine that isn't heard and whose zone is lost; what was planned there and not sent
// goes elsewhere. What may run there counts as before. Its next report ends it.
func (f *Fleet) Quarantine(m *Machine) {
	if m.Quarantined || m.Condition != Ready {
		return
	}
	m.Quarantined = true
	f.clearQueues(m)
}

// forgetTasks releases all of a machine's tasks, which are surely not on it any more.
func (f *Fleet) forgetTasks(now time.Duration, m *Machine) {
	refs := make([]TaskRef, 0, len(m.Tasks))
	for r := range m.Tasks {
		refs = append(refs, r)
	}
	sortRefs(refs)
	for _, r := range refs {
		j := f.jobAt(r.Job)
		f.addTaskEvent(now, events.TaskLost, j, r.Task, "")
		f.release(now, j, r.Task, jobs.Unplanned, licences.Crashed)
		if !j.State.Terminal() {
			j.MarkDirty(r.Task, false, now)
		}
	}
	f.clearQueues(m)
	clear(m.indeterminateLaunches)
	m.cachedImages = nil
}

// HandleReturned tells that the cloud confirmed that a machine is gone.
func (f *Fleet) HandleReturned(now time.Duration, m *Machine, cause string) {
	f.setCondition(m, Terminated, cause)
	f.forgetTasks(now, m)
}

// ReturnMachine stops new starts on a machine that is to be given back.
func (f *Fleet) ReturnMachine(m *Machine, cause string) {
	m.Returning = true
	if m.Condition == Ready {
		f.setCondition(m, ReclaimNoticed, cause)
	}
	f.clearQueues(m)
}
