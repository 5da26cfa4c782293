package fleet

// Room that is held for some work stands idle beside other work for a bounded time only.

import (
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/planner"
)

// What keeps room idle: the claim of a gang that waits for more of it, cores beside accelerators that such work is to come
// for, ordinary machines that others need, and the better choice of a busy machine that is free soon. All may wait for what never comes: a gang
// larger than its zone, accelerators that nobody gives back, an estimate that doesn't come true. A job of which nothing has
// been on a machine for agedAfter lets none of them hold it up: it is backfilled. Only the claims of
// gangs that are overdue themselves go on against it, for firmFor at a time and then not for as long again; without that
// a constant stream of such jobs would take what frees up from every large gang. Together they stay well under the 90 s for which
// a job may wait beside room.
const (
	agedAfter = 50 * time.Second
	firmFor   = 35 * time.Second
)

// aged tells whether a job has waited for so long with nothing of it on a machine that no room is kept from it any more.
func (f *Fleet) aged(j *jobs.Job) bool {
	return j != nil && j.On() == 0 && f.Now()-max(j.At, j.Off) > agedAfter && f.mistaken(j) == nil
}

// claimed is what of a machine's room is claimed by those that rank before a job, as far as that holds against it.
func (f *Fleet) claimed(m *Machine, j *jobs.Job) (held bool) {
	return m.claimRank < f.rankOf(j) && (m.claimFirm || !f.aged(j))
}

// firm tells whether the claims of a gang hold against jobs that have waited for long as well.
func (f *Fleet) firm(now time.Duration, j *jobs.Job) bool {
	if !f.overdue(now, j) {
		return false
	}
	if f.firmAt == 0 || now-f.firmAt >= 2*firmFor {
		f.firmAt = now
	}
	return now-f.firmAt < firmFor
}

// unneeded is what of a machine's room what is planned there leaves for a job that would be moved there. What is planned may be
// held up itself by what holds a job that has waited for long no more: for such a job only gangs count, and others like it.
func (f *Fleet) unneeded(m *Machine, j *jobs.Job) planner.Size {
	if !f.aged(j) {
		return m.Free().Sub(m.need)
	}
	free := m.Free().Sub(m.whole)
	for _, l := range m.lanes {
		if o := f.job(l.job); o.Spec.Kind == jobs.Array && f.aged(o) {
			size := o.Spec.Size() // what has no room there now takes none either
			free = free.Sub(size.Times(float64(min(len(l.tasks), max(0, size.Copies(free))))))
		}
	}
	f.Steps += uint64(len(m.lanes))
	return free
}
