package fleet

import (
	"encoding/json"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

// This file handles stored plans that can't be read: written by a newer release, or damaged.

// reportUnreadable reports a stored record that can't be read.
func (f *Fleet) reportUnreadable(key string, raw json.RawMessage, cause error) {
	if f.OnUnreadable != nil {
		f.OnUnreadable(key, raw, cause)
	}
}

// quarantineSegment quarantines a plan segment whose stored value can't be read: any of its tasks may be on any
// machine. It is neither planned nor overwritten, and its tasks count against all limits, until the term ends.
func (f *Fleet) quarantineSegment(now time.Duration, job *jobs.Job, segment *jobs.PlanSegment) {
	if segment.Quarantined {
		return
	}
	segment.Quarantined = true
	job.Quarantined = true
	for i := range segment.DurableMachines {
		taskIndex := segmentTask(segment, i)
		if task := &job.Tasks[taskIndex]; !task.State.Occupies() && task.State != jobs.Finished {
			f.Gate.Acquire(now, licenceRef(job, taskIndex), 0, admissionClaim(job))
		}
	}
}

// quarantineOlder quarantines every plan segment, of jobs that are not done, that was loaded at a version older than
// that of an unreadable page: the page may contain a newer value of it.
func (f *Fleet) quarantineOlder(now time.Duration, loadedVersions map[*jobs.PlanSegment]uint64, pageVersion uint64) {
	f.Jobs.ForEach(func(job *jobs.Job) {
		if job.State == jobs.Done || job.Spec == nil {
			return
		}
		job.CreateTasks()
		for _, segment := range job.Segments {
			if loadedVersions[segment] < pageVersion {
				f.quarantineSegment(now, job, segment)
			}
		}
	})
}
