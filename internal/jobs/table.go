package jobs

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/harewalk/harewalk/internal/licences"
)

// Table holds all jobs of this controller. A job's state in it only goes forward.
type Table struct {
	byID        map[string]*Job
	byIndex     jobBlocks
	live        map[Index]*Job
	ended       endedQueue
	liveTasks   int
	epochWallMS int64 // wall clock at monotonic time 0, in milliseconds
	// Names maps the names in specifications to dense indices.
	Names *NameIndex
	// unreadable holds the version of the newest record of each job for which that record can't be read.
	unreadable map[string]uint64
	// newestFormat is the newest format of records that is read.
	newestFormat int
}

// NewTable returns an empty table. epochMS is the wall clock at monotonic time 0, in milliseconds.
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

// LimitFormat makes the table refuse records in newer formats than one, as that of a former release does.
func (t *Table) LimitFormat(newest int) { t.newestFormat = min(newest, newestRecordFormat) }

// ByIndex returns a job by its index, nil if it was removed. An index is never used for a second job.
func (t *Table) ByIndex(index Index) *Job { return t.byIndex.at(index) }

// Get returns a job by its id, or nil.
func (t *Table) Get(id string) *Job { return t.byID[id] }

// IsUnreadable reports whether the newest record of a job can't be read: nothing may be done with the job or answered
// about it.
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

// ForEach calls visit for every job in the order of their indices.
func (t *Table) ForEach(visit func(*Job)) { t.byIndex.forEach(visit) }

// ForEachLive calls visit for every job that is not terminal, in no defined order.
func (t *Table) ForEachLive(visit func(*Job)) {
	for _, job := range t.live {
		visit(job)
	}
}

// ForEachEnded calls visit for each terminal job whose end was learned at or before a time, the earliest first, until
// visit returns false.
func (t *Table) ForEachEnded(by time.Duration, visit func(*Job) bool) {
	for _, job := range t.ended.jobs {
		if job.EndedAt > by {
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

// CancelledRecord returns the stored form of a job's record once it is cancelled.
func (t *Table) CancelledRecord(job *Job) json.RawMessage {
	return EncodeRecord(Cancelled, t.WallMS(job.SubmittedAt), job.TaskCount, job.Spec)
}

// WallMS converts a monotonic time to the wall clock, in milliseconds.
func (t *Table) WallMS(now time.Duration) int64 { return t.epochWallMS + now.Milliseconds() }

// MonotonicAt converts wall-clock milliseconds to a monotonic time.
func (t *Table) MonotonicAt(wallMS int64) time.Duration {
	return time.Duration(wallMS-t.epochWallMS) * time.Millisecond
}

// Apply takes a record that was read or committed. It returns the job, nil if there is none yet, and whether its
// state is new here. An older version, which a read concurrent with the watch may bring, is ignored, and a terminal
// state stays. The error is about a record that can't be read: its job is quarantined.
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
		// Until the dependency graph has found all predecessors done.
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

// setState is the only place where a job's state changes.
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

// Archive takes note that a job's record has left the followed keys, at a version of its key. The job leaves the
// table at once, or at the end of the term if its planner still holds something of it.
func (t *Table) Archive(id string, version uint64) {
	delete(t.unreadable, id)
	job := t.Get(id)
	if job == nil || version <= job.Version {
		return
	}
	t.archive(job)
}

// Retain takes a new listing of all records, complete up to a version: jobs with a version up to that one that the
// listing lacks have been archived meanwhile.
func (t *Table) Retain(version uint64, present func(id string) bool) {
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
	// Only the leader archives, and only jobs of which it holds nothing. So another controller leads by now, and
	// this one is behind: it must not plan or start anything more of the job.
	job.Archived = true
	job.Quarantined = true
}

// ResetPlanning drops what only the planner of the jobs holds, after this controller has lost the lead, and
// removes the archived jobs that were kept for it.
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
