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
		if m.Condition == Lost || m.Condition == Gone || now-m.Answered <= limit {
			continue
		}
		f.condition(m, Lost, "lease ran out")
		m.hearing.over = m.Session
		f.abandon(now, m)
	}
}

// SetAside plans nothing more on a machine that isn't heard and whose zone is lost; what was planned there and not sent
// goes elsewhere. What may run there counts as before. Its next report ends it.
func (f *Fleet) SetAside(m *Machine) {
	if m.Aside || m.Condition != Acting {
		return
	}
	m.Aside = true
	f.unlane(m)
}

// abandon releases all of a machine's tasks, which are surely not on it any more.
func (f *Fleet) abandon(now time.Duration, m *Machine) {
	refs := make([]Ref, 0, len(m.On))
	for r := range m.On {
		refs = append(refs, r)
	}
	sortRefs(refs)
	for _, r := range refs {
		j := f.job(r.Job)
		f.happened(now, events.TaskLost, j, r.Task, "")
		f.release(now, j, r.Task, jobs.Unplanned, licences.Crashed)
		if !j.State.Terminal() {
			j.MarkDirty(r.Task, false, now)
		}
	}
	f.unlane(m)
	clear(m.late)
	m.images = nil
}

// Returned tells that the cloud confirmed that a machine is gone.
func (f *Fleet) Returned(now time.Duration, m *Machine, cause string) {
	f.condition(m, Gone, cause)
	f.abandon(now, m)
}

// Retire stops new starts on a machine that is to be given back.
func (f *Fleet) Retire(m *Machine, cause string) {
	m.Retiring = true
	if m.Condition == Acting {
		f.condition(m, Noticed, cause)
	}
	f.unlane(m)
}
