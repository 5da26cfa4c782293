package fleet

import (
	"fmt"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/pages"
	"github.com/harewalk/harewalk/internal/store"
)

// This file composes the next transaction and sends it. Its outcome is handled in writeoutcome.go.

// segmentWriteDelay is how long changes of a plan segment are collected before they are written, if no start waits
// for them.
const segmentWriteDelay = time.Second

// WriteInFlight returns whether a write is in flight or its outcome is still being resolved.
func (f *Fleet) WriteInFlight() bool {
	return f.writer.state == writerInFlight || f.writer.state == writerResolving
}

// WritesStuck returns whether writes with an indeterminate outcome can't be resolved in this term: the limits of the
// state service have shrunk, and one transaction can't hold all pages of these writes any more. The next leader's
// writes don't have to wait for them.
func (f *Fleet) WritesStuck() bool { return f.writer.state == writerStuck }

// FlushWrites sends all writes that are due in one transaction: records of jobs that become done, plan segments and
// image hints. If none of these is due it moves plans into pages or deletes obsolete plans. It does nothing while a
// write is in flight, so an indeterminate outcome is resolved before the next write.
func (f *Fleet) FlushWrites(now time.Duration) {
	if f.WriteInFlight() || !f.plansLoaded {
		return
	}
	batch := f.newWriteBatch()
	if !batch.fitsIndeterminatePages() {
		f.writer.state = writerStuck
		return
	}
	f.writer.state = writerIdle
	f.collectWrites(now, batch)
	hintShard := f.nextHintShard(now)
	nothingDue := len(batch.mutations) == 0 && hintShard < 0 && !f.writer.pages.HasIndeterminate()
	if nothingDue && !f.collectUnmigrated(batch) {
		f.deleteObsoletePlans()
		return
	}
	txn := store.Txn{}
	if hintShard >= 0 {
		f.appendImageHints(now, &txn, batch, hintShard)
	}
	for _, change := range batch.mutations {
		change.markInFlight()
		change.appendTo(&txn)
	}
	pageWrites := batch.pageMutations()
	for _, write := range pageWrites {
		write.appendTo(&txn)
	}
	if len(txn.Then) == 0 {
		return
	}
	// The outcome of a page decides the outcome of the segments in it, so pages come first.
	mutations := append(pageWrites, batch.mutations...)
	f.writer.state = writerInFlight
	f.Commit(txn, func(result store.Result) { f.handleOutcome(mutations, result) })
}

// collectWrites adds the writes that are due to a batch, the most urgent first, until the batch is full.
func (f *Fleet) collectWrites(now time.Duration, batch *writeBatch) {
	if !f.collectDoneRecords(batch) || !f.collectSegments(now, batch, true) {
		return
	}
	// No start waits for the other segments. Without spare write budget they are not written: the rest of the budget
	// is for submissions and for the urgent segments of the next second.
	if f.HasSpareWrites() {
		f.collectSegments(now, batch, false)
	}
}

// collectDoneRecords adds the records of jobs whose tasks have all finished. It returns false when the batch is full.
func (f *Fleet) collectDoneRecords(batch *writeBatch) bool {
	for _, job := range f.ranking.jobs {
		allFinished := job.State == jobs.Pending && job.FinishedTasks == job.TaskCount
		if !allFinished || job.FinalWriteInFlight || job.Spec.Kind == jobs.Service {
			continue
		}
		raw := jobs.EncodeRecord(jobs.Done, 0, job.TaskCount, nil)
		if !batch.addKey(mutation{kind: writeJobRecord, job: job, key: jobs.RecordKey(job.ID), value: raw}) {
			return false
		}
	}
	return true
}

// collectSegments adds the plan segments whose write is due, either the urgent ones or the others. It returns false
// when the batch is full.
func (f *Fleet) collectSegments(now time.Duration, batch *writeBatch, urgent bool) bool {
	for _, job := range f.ranking.jobs {
		if job.State != jobs.Pending || job.FinishedTasks == job.TaskCount {
			continue
		}
		for _, segment := range job.Segments {
			if !segmentDue(now, segment, urgent) {
				continue
			}
			if !batch.addSegment(job, segment) {
				return false
			}
		}
	}
	return true
}

// segmentDue returns whether a plan segment has the given urgency and has to be written now. Segments that are not
// urgent are due after segmentWriteDelay.
func segmentDue(now time.Duration, segment *jobs.PlanSegment, urgent bool) bool {
	if !segment.Dirty || segment.Quarantined || segment.InFlight != nil || segment.Urgent != urgent {
		return false
	}
	return urgent || now-segment.DirtySince >= segmentWriteDelay
}

// appendImageHints adds a shard of the image hints to a transaction if there is room for it. Hints are written without
// a condition: a wrong or lost hint only costs an image fetch.
func (f *Fleet) appendImageHints(now time.Duration, txn *store.Txn, batch *writeBatch, shard int) {
	if !batch.hasRoomFor(1) {
		return
	}
	hints := f.encodeImageHints(shard)
	if batch.size()+len(hints) >= maxTxnBytes {
		return
	}
	f.hints.writtenAt = now
	f.hints.lastShard = shard
	f.hints.dirtyShards[shard] = false
	txn.Then = append(txn.Then, store.Op{Put: fmt.Sprintf("%s/%d", imageHintsPrefix, shard), Value: hints})
}

// markInFlight records in the job or plan segment that its write is in flight.
func (m *mutation) markInFlight() {
	if m.kind == writeJobRecord {
		m.job.FinalWriteInFlight = true
		return
	}
	m.segment.Dirty = false
	m.segment.Urgent = false
	m.segment.InFlight = m.snapshot
}

// appendTo adds a mutation's operation to a transaction, with the condition that its key is unchanged. A segment that
// is written in a page adds neither: the page's mutation has both.
func (m *mutation) appendTo(txn *store.Txn) {
	condition := store.Condition{Key: m.key}
	operation := store.Op{Put: m.key, Value: m.value}
	switch m.kind {
	case writeSegmentInPage:
		return
	case writeJobRecord:
		condition.Version = m.job.Version
	case writeSegmentKey:
		condition.Version = m.segment.Version
	case moveSegmentToPage:
		condition.Version = m.segment.Version
		operation = store.Op{Delete: m.key}
	case writePage:
		condition.Version = m.page.Version
	}
	txn.If = append(txn.If, condition)
	txn.Then = append(txn.Then, operation)
}

// planRef identifies a plan segment in the pages.
func planRef(job *jobs.Job, segment *jobs.PlanSegment) pages.Ref {
	return pages.Ref{Owner: int32(job.Index), Number: int32(segment.Number)}
}
