package fleet

import "github.com/harewalk/harewalk/internal/jobs"

// This file moves plan segments from keys of their own, the stored form of cluster version 1, into pages.

// maxMigratedSegments is the maximum number of plan segments that one write of the background migration moves.
const maxMigratedSegments = 8

// collectUnmigrated adds plan segments that still have a key of their own to a batch, if plans are stored in pages
// and the write budget has room to spare. It returns whether it added any.
func (f *Fleet) collectUnmigrated(batch *writeBatch) bool {
	if batch.pages == nil || f.writer.migrated || !f.HasSpareWrites() {
		return false
	}
	added := 0
	for _, job := range f.ranking.jobs {
		for _, segment := range job.Segments {
			movable := segment.Version != 0 && !segment.CreateIndeterminate
			if !movable || segment.Quarantined || segment.InFlight != nil {
				continue
			}
			if added == maxMigratedSegments || !batch.addSegment(job, segment) {
				return added > 0
			}
			added++
		}
	}
	f.writer.migrated = added == 0 && f.UnmigratedSegments() == 0
	return added > 0
}

// UnmigratedSegments returns how many plan segments have or may have a key of their own, those of ended jobs included.
func (f *Fleet) UnmigratedSegments() int {
	count := len(f.writer.obsoleteKeys)
	for _, jobList := range [][]*jobs.Job{f.ranking.jobs, f.writer.endedJobs} {
		for _, job := range jobList {
			for _, segment := range job.Segments {
				if hasOwnKey(segment) {
					count++
				}
			}
		}
	}
	return count
}

// hasOwnKey returns whether a plan segment has, or may have after an indeterminate write, a key of its own.
func hasOwnKey(segment *jobs.PlanSegment) bool {
	return segment.Version != 0 || segment.CreateIndeterminate
}

// PlansMigrated returns whether this term has found that no plan segment has a key of its own any more. Once plans are
// stored in pages, no such key is written again.
func (f *Fleet) PlansMigrated() bool { return f.writer.migrated }
