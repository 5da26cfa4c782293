package fleet

import (
	"encoding/json"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

// This file handles stored plans that can't be decoded, because a newer release wrote them or they are damaged.

// reportUnreadable passes a stored record that can't be decoded to OnUnreadable.
func (f *Fleet) reportUnreadable(key string, raw json.RawMessage, cause error) {
	if f.OnUnreadable != nil {
		f.OnUnreadable(key, raw, cause)
	}
}

// quarantineSegment quarantines a plan segment whose stored value can't be decoded: each of its tasks may be on any
// machine. Until the term ends the segment is neither planned nor overwritten, and its tasks count against all limits.
func (f *Fleet) quarantineSegment(now time.Duration, job *jobs.Job, segment *jobs.PlanSegment) {
	if segment.Quarantined {
		return
	}
	segment.Quarantined = true
	job.Quarantined = true
	for i := range segment.DurableMachines {
		taskIndex := segmentTaskIndex(segment, i)
		if task := &job.Tasks[taskIndex]; !task.State.Occupies() && task.State != jobs.Finished {
			f.Gate.Acquire(now, licenceRef(job, taskIndex), 0, admissionClaim(job))
		}
	}
}

// quarantineOlder quarantines the plan segments that were loaded at a version older than pageVersion, the
// version of an unreadable page: the page may contain newer values of them. Jobs that are done are left out.
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
