package fleet

import (
	"slices"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/pages"
	"github.com/harewalk/harewalk/internal/store"
)

// This file deletes the stored plans of jobs that have ended.

// maxDeletions is the maximum number of keys that one write deletes.
const maxDeletions = 8

// deleteObsoletePlans deletes the plans of ended jobs that have no tasks on machines, and the pages without values.
func (f *Fleet) deleteObsoletePlans() {
	f.writer.endedJobs = slices.DeleteFunc(f.writer.endedJobs, f.discardPlan)
	limit := min(f.maxOps(), maxDeletions)
	keyCount := min(len(f.writer.obsoleteKeys), limit)
	pageNumbers, pageVersions := f.writer.pages.Retire(limit - keyCount)
	deletions := keyCount + len(pageNumbers)
	// Nothing waits for deletions: they are sent only while the budget has room for twice as many operations.
	if deletions == 0 || !f.CanWrite(2*deletions) {
		return
	}
	txn := store.Txn{}
	for _, key := range f.writer.obsoleteKeys[:keyCount] {
		txn.Then = append(txn.Then, store.Op{Delete: key})
	}
	for i, number := range pageNumbers {
		key := pages.Key(jobs.PlanPagePrefix, number)
		txn.If = append(txn.If, store.Condition{Key: key, Version: pageVersions[i]})
		txn.Then = append(txn.Then, store.Op{Delete: key})
	}
	f.writer.state = writerInFlight
	f.Commit(txn, func(result store.Result) { f.handleDeletionOutcome(result, keyCount) })
}

// discardPlan marks an ended job's plan as obsolete and returns true. If tasks of the job may still be on machines it
// changes nothing and returns false.
func (f *Fleet) discardPlan(job *jobs.Job) bool {
	if job.TasksOnMachines() > 0 {
		return false
	}
	for _, segment := range job.Segments {
		f.writer.pages.Drop(planRef(job, segment))
		if hasOwnKey(segment) {
			f.writer.obsoleteKeys = append(f.writer.obsoleteKeys, job.PlanKey(segment.Number))
		}
	}
	job.Tasks = nil
	job.Segments = nil
	return true
}

// handleDeletionOutcome handles the outcome of a write that deletes the first keyCount obsolete keys, and pages. An
// indeterminate outcome needs no reads: the deletion is sent again, which is harmless, since a page number is not used
// again in this term.
func (f *Fleet) handleDeletionOutcome(result store.Result, keyCount int) {
	f.writer.state = writerIdle
	switch result.Outcome {
	case store.Committed:
		f.writer.obsoleteKeys = f.writer.obsoleteKeys[keyCount:]
		f.writer.pages.ConfirmRetired()
	case store.Conflict: // an earlier attempt was applied
		f.writer.pages.ConfirmRetired()
	}
}

// Finalized returns whether nothing is left of an ended job: no task that may be on a machine, and no plan, stored or
// unreadable.
func (f *Fleet) Finalized(job *jobs.Job) bool {
	return f.plansLoaded && job.State.Terminal() && job.Tasks == nil && !job.Quarantined && !f.unreadableJobs[job.ID]
}
