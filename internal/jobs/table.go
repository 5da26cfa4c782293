package jobs

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/harewalk/harewalk/internal/licences"
)

// Table holds all jobs that this controller has read. A job never goes back from a terminal state to Pending.
type Table struct {
	byID        map[string]*Job
	byIndex     jobBlocks
	live        map[Index]*Job
	ended       endedQueue
	liveTasks   int
	epochWallMS int64 // wall-clock time at monotonic time 0, in milliseconds
	// Names maps the names in specifications to dense indices.
	Names *NameIndex
	// unreadable maps the id of each job whose newest record can't be read to the version of that record.
	unreadable map[string]uint64
	// newestFormat is the newest record format that the table accepts.
	newestFormat int
}

// NewTable returns an empty table. epochMS is the wall-clock time at monotonic time 0, in milliseconds.
func NewTable(epochMS int64) *Table {
	return &Table{
		byID:        map[string]*Job{},
		live:        map[Index]*Job{},
		epochWallMS: epochMS,
		Names:       &NameIndex{Pools: licences.NewCatalog(nil)},
		unreadable:  map[string]uint64{},

		newestFormat: newestRecordFormat,
	}
}

// LimitRecordFormat makes the table reject records in formats above newest, as the table of a former release does.
func (t *Table) LimitRecordFormat(newest int) { t.newestFormat = min(newest, newestRecordFormat) }

// ByIndex returns the job with an index, or nil if the job was removed. An index is never reused for another job.
func (t *Table) ByIndex(index Index) *Job { return t.byIndex.at(index) }

// Get returns the job with an id, or nil.
func (t *Table) Get(id string) *Job { return t.byID[id] }

// IsUnreadable reports whether the newest record of a job can't be read. Such a job must not be changed, and requests
// about it must not be answered.
func (t *Table) IsUnreadable(id string) bool {
	_, unreadable := t.unreadable[id]
	return unreadable
}

// UnreadableIDs returns the sorted ids of the jobs whose newest record can't be read.
func (t *Table) UnreadableIDs() []string { return slices.Sorted(maps.Keys(t.unreadable)) }

// Len returns the number of jobs in the table.
func (t *Table) Len() int { return len(t.byID) }

// LiveJobs returns the number of jobs that are not terminal.
func (t *Table) LiveJobs() int { return len(t.live) }

// LiveTasks returns the number of tasks of all jobs that are not terminal.
func (t *Table) LiveTasks() int { return t.liveTasks }

// ForEach calls visit for every job in ascending order of index.
func (t *Table) ForEach(visit func(*Job)) { t.byIndex.forEach(visit) }

// ForEachLive calls visit for every job that is not terminal, in no defined order.
func (t *Table) ForEachLive(visit func(*Job)) {
	for _, job := range t.live {
		visit(job)
	}
}

// ForEachEnded calls visit for each terminal job whose EndedAt is at most latest, the earliest first, until visit
// returns false. It skips archived jobs.
func (t *Table) ForEachEnded(latest time.Duration, visit func(*Job) bool) {
	for _, job := range t.ended.jobs {
		if job.EndedAt > latest {
			return
		}
		if job.removed || job.Archived {
			continue
		}
		if !visit(job) {
			return
		}
	}
}

// CancelledRecord returns the stored form of the record that cancels a job.
func (t *Table) CancelledRecord(job *Job) json.RawMessage {
	return EncodeRecord(Cancelled, t.WallMS(job.SubmittedAt), job.TaskCount, job.Spec)
}

// WallMS converts a monotonic time to wall-clock time, in milliseconds.
func (t *Table) WallMS(now time.Duration) int64 { return t.epochWallMS + now.Milliseconds() }

// MonotonicAt converts wall-clock milliseconds to a monotonic time.
func (t *Table) MonotonicAt(wallMS int64) time.Duration {
	return time.Duration(wallMS-t.epochWallMS) * time.Millisecond
}

// Apply applies a record that was read or committed. It returns the job, nil if the table doesn't contain the job, and
// whether the job is new or its state has changed. Apply ignores a version that is not newer than the job's, since a
// read concurrent with the watch may return an older one, and any record after a terminal one. If the record can't be
// read, Apply quarantines the job and returns an error.
func (t *Table) Apply(id string, raw json.RawMessage, version uint64) (*Job, bool, error) {
	job := t.Get(id)
	if job != nil && (version <= job.Version || job.State.Terminal()) {
		return job, false, nil
	}
	record, state, err := decodeRecord(raw, t.newestFormat)
	if err != nil {
		t.markUnreadable(id, job, version)
		return job, false, err
	}
	if unreadableVersion, unreadable := t.unreadable[id]; unreadable {
		if version < unreadableVersion {
			return job, false, nil
		}
		t.markReadable(id, job)
	}
	if job == nil {
		job = t.insert(id, record.Tasks)
	} else if job.State == state {
		job.Version = version
		return job, false, nil
	}
	job.Version = version
	t.setState(job, state)
	if record.Spec != nil {
		job.Spec = (*Spec)(record.Spec)
		job.Priority = job.Spec.PriorityLevel()
		t.Names.assign(job)
		job.SubmittedAt = t.MonotonicAt(record.AtMS)
		// The dependency graph clears Blocked once all predecessors are done.
		job.Blocked = state == Pending && len(job.Spec.Follows) > 0
	}
	return job, true, nil
}

func (t *Table) markUnreadable(id string, job *Job, version uint64) {
	t.unreadable[id] = version
	if job != nil {
		job.Quarantined = true
	}
}

func (t *Table) markReadable(id string, job *Job) {
	delete(t.unreadable, id)
	if job != nil {
		job.Quarantined = false
	}
}

func (t *Table) insert(id string, tasks int) *Job {
	job := &Job{ID: strings.Clone(id), TaskCount: tasks, TasksByZone: map[int32]int{}}
	t.byIndex.add(job)
	t.byID[job.ID] = job
	return job
}

// setState sets a job's state and updates the table's live and ended jobs. All changes of a job's state go through it.
func (t *Table) setState(job *Job, to State) {
	job.State = to
	_, wasLive := t.live[job.Index]
	if !to.Terminal() {
		if !wasLive {
			t.liveTasks += job.TaskCount
		}
		t.live[job.Index] = job
		return
	}
	if wasLive {
		t.liveTasks -= job.TaskCount
	}
	delete(t.live, job.Index)
	t.ended.add(job)
	if to == Done {
		job.FinishedTasks = job.TaskCount
	}
	job.ReportedRunning = 0
}

// Archive records that a job's record was moved out of the watched keys, at the given version of its key. The job is
// removed from the table at once, or by ResetPlanning if it has Tasks.
func (t *Table) Archive(id string, version uint64) {
	delete(t.unreadable, id)
	job := t.Get(id)
	if job == nil || version <= job.Version {
		return
	}
	t.archive(job)
}

// ArchiveMissing archives the jobs that are missing from a listing of all records at the given version: jobs of that
// version or older for which present returns false.
func (t *Table) ArchiveMissing(version uint64, present func(id string) bool) {
	t.ForEach(func(job *Job) {
		if job.Version <= version && !present(job.ID) {
			t.archive(job)
		}
	})
}

func (t *Table) archive(job *Job) {
	if job.Tasks == nil {
		t.remove(job)
		return
	}
	// Only the leader archives jobs, and only those for which it has no tasks. So another controller is the leader by
	// now, and this controller hasn't detected that yet: it must not plan or start the job any more.
	job.Archived = true
	job.Quarantined = true
}

// ResetPlanning clears the state that only the leader has, after this controller has lost leadership, and removes the
// archived jobs that are still in the table.
func (t *Table) ResetPlanning() {
	t.ForEach(func(job *Job) {
		job.resetPlanning()
		job.Quarantined = t.IsUnreadable(job.ID)
		if job.Archived {
			t.remove(job)
		}
	})
}

// remove deletes a job from the table.
func (t *Table) remove(job *Job) {
	if _, live := t.live[job.Index]; live {
		delete(t.live, job.Index)
		t.liveTasks -= job.TaskCount
	} else {
		t.ended.markRemoved()
	}
	job.removed = true
	delete(t.byID, job.ID)
	t.byIndex.remove(job)
}
