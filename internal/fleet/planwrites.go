package fleet

import (
	"fmt"
	"log/slog"
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/pages"
	"github.com/harewalk/harewalk/internal/store"
)

// deleteBatch bounds the keys that one write drops.
const deleteBatch = 8

// gatherDelay is how long changes that nobody waits for are collected before a write.
const gatherDelay = time.Second

// FlushWrites writes what is due in one transaction: plans that starts wait for, terminal
// records, gathered bitmaps, and the removal of plans that are no longer needed. Only one
// write is under way at a time, so an open outcome is settled before the next.
func (f *Fleet) FlushWrites(now time.Duration) {
	if f.writer.inFlight || !f.plansLoaded {
		return
	}
	batch := &writeBatch{f: f, bytes: txnOverheadBytes}
	if f.PlansInPages() {
		f.writer.pages.SetLimit(f.pageLimit())
		batch.pages = f.writer.pages.Begin(f.maxOps())
		if f.writer.stuck = !batch.pages.Fits(f.maxOps()); f.writer.stuck {
			return
		}
	}
	f.collectWrites(now, batch)
	shard := f.nextHintShard(now)
	if len(batch.mutations) == 0 && shard < 0 && !f.writer.pages.HasIndeterminate() && !f.migrate(batch) {
		f.deleteObsoletePlans()
		return
	}
	txn := store.Txn{}
	if shard >= 0 && batch.fits(1) {
		if hints := f.encodeImageHints(shard); batch.size()+len(hints) < maxTxnBytes {
			f.hints.writtenAt, f.hints.lastShard, f.hints.dirtyShards[shard] = now, shard, false
			txn.Then = append(txn.Then, store.Op{Put: fmt.Sprintf("%s/%d", imageHintsPrefix, shard), Value: hints})
		}
	}
	for i := range batch.mutations {
		change := &batch.mutations[i]
		switch {
		case change.segment == nil:
			change.job.FinalWriteInFlight = true
			txn.If = append(txn.If, store.Condition{Key: change.key, Version: change.job.Version})
			txn.Then = append(txn.Then, store.Op{Put: change.key, Value: change.value})
			continue
		case !change.inPage:
			txn.If = append(txn.If, store.Condition{Key: change.key, Version: change.segment.Version})
			txn.Then = append(txn.Then, store.Op{Put: change.key, Value: change.value})
		case change.moved:
			txn.If = append(txn.If, store.Condition{Key: change.key, Version: change.segment.Version})
			txn.Then = append(txn.Then, store.Op{Delete: change.key})
		}
		change.segment.Dirty, change.segment.Urgent, change.segment.InFlight = false, false, change.snapshot
	}
	ops := batch.mutations
	if batch.pages != nil {
		// Pages come first: they say what became of the chunks in them.
		var puts []mutation
		for _, write := range batch.pages.Writes() {
			key := pages.Key(jobs.PlanPagePrefix, write.Number)
			txn.If = append(txn.If, store.Condition{Key: key, Version: write.Version})
			txn.Then = append(txn.Then, store.Op{Put: key, Value: write.Value})
			puts = append(puts, mutation{key: key, value: write.Value, page: &write})
		}
		ops = append(puts, ops...)
	}
	if len(txn.Then) == 0 {
		return
	}
	f.writer.inFlight = true
	f.Commit(txn, func(result store.Result) { f.handleOutcome(ops, result) })
}

// WritesStuck tells that writes without an outcome can't be settled in this term: the pages that they name take more than the
// state service, whose limits have shrunk, lets one transaction hold. The next leader's writes don't have to wait for them.
func (f *Fleet) WritesStuck() bool { return f.writer.stuck }

// collectWrites offers what is due, most urgent first.
func (f *Fleet) collectWrites(now time.Duration, batch *writeBatch) {
	for _, job := range f.ranking.jobs {
		if job.State == jobs.Pending && job.FinishedTasks == job.TaskCount && !job.FinalWriteInFlight && job.Spec.Kind != jobs.Service {
			raw := jobs.EncodeRecord(jobs.Done, 0, job.TaskCount, nil)
			if !batch.addKey(mutation{job: job, key: jobs.RecordKey(job.ID), value: raw}) {
				return
			}
		}
	}
	for _, urgent := range []bool{true, false} {
		if !urgent && !f.HasSpareWrites() {
			// Nobody waits for these: what is left of the budget is for submissions, and
			// for the plans of the next second.
			return
		}
		for _, job := range f.ranking.jobs {
			if job.State != jobs.Pending || job.FinishedTasks == job.TaskCount {
				continue
			}
			for _, segment := range job.Segments {
				if !segment.Dirty || segment.Quarantined || segment.InFlight != nil || segment.Urgent != urgent || (!urgent && now-segment.DirtySince < gatherDelay) {
					continue
				}
				if !batch.addSegment(job, segment) {
					return
				}
			}
		}
	}
}

// handleOutcome takes over a write's outcome.
func (f *Fleet) handleOutcome(ops []mutation, result store.Result) {
	now := f.Now()
	if result.Outcome == store.Committed {
		f.writer.inFlight = false
		for _, change := range ops {
			f.confirmWrite(now, change, result.Revision)
		}
		f.FlushWrites(now)
		return
	}
	if f.hints.lastShard < len(f.hints.dirtyShards) {
		f.hints.dirtyShards[f.hints.lastShard] = true
	}
	slog.Debug("write failed", "outcome", result.Outcome.String(), "failed", result.FailedKeys, "ops", len(ops), "term", f.Term)
	if result.Outcome == store.NotApplied || result.Outcome == store.LeaseExpired {
		f.writer.inFlight = false
		for _, change := range ops {
			f.revertWrite(now, change)
		}
		return
	}
	// A conflict, or an open outcome: every key is read again before anything else is
	// written. A transaction that lands after the read fails on its conditions, since
	// the next write to the same keys moves their versions.
	f.resolveOutcome(ops, 0, nil)
}

// resolveOutcome re-reads the keys of a write, one after the other: its pages first, for they are written all or none.
func (f *Fleet) resolveOutcome(ops []mutation, i int, read []store.Item) {
	if i == len(ops) {
		f.writer.inFlight = false
		return
	}
	change := ops[i]
	if change.page == nil && i == len(read) && i > 0 && !f.resolvePages(ops, read) {
		f.resolveOutcome(ops, 0, nil) // it landed between two reads
		return
	}
	if change.inPage && (!change.moved || change.segment.Version == 0) { // settled with its page
		f.resolveOutcome(ops, i+1, read)
		return
	}
	f.Read(change.key, func(item store.Item, err error) {
		now := f.Now()
		if err != nil {
			f.writer.retry = func(time.Duration) { f.resolveOutcome(ops, i, read) }
			f.writer.retryAt = now + 300*time.Millisecond
			return
		}
		switch {
		case change.page != nil:
			read = append(read, item)
			if i == len(ops)-1 && !f.resolvePages(ops, read) {
				f.resolveOutcome(ops, 0, nil)
				return
			}
		case change.inPage: // not moved: what was its key may be gone by an earlier try
			change.segment.Version = item.Version
		case change.segment == nil:
			change.job.FinalWriteInFlight = false
			if item.Version != 0 {
				f.OnJobRecord(now, item)
			}
		case item.Version != change.segment.Version && string(item.Value) == string(change.value):
			f.confirmWrite(now, change, item.Version)
		default:
			change.segment.CreateIndeterminate = change.segment.CreateIndeterminate || change.segment.Version == 0
			change.segment.Version = item.Version
			change.segment.AddIndeterminate(change.snapshot)
			f.revertWrite(now, change)
		}
		f.resolveOutcome(ops, i+1, read)
	})
}

func (f *Fleet) confirmWrite(now time.Duration, change mutation, version uint64) {
	f.writer.planBecameDurable = true
	switch {
	case change.page != nil:
		f.writer.pages.Commit(*change.page, version)
	case change.segment != nil:
		change.segment.DurableMachines, change.segment.InFlight, change.segment.Indeterminate = change.snapshot, nil, nil
		if change.segment.Version = version; change.inPage {
			change.segment.Version = 0 // it has no key of its own any more
		}
	default:
		f.OnJobRecord(now, store.Item{Key: change.key, Value: change.value, Version: version})
	}
}

func (f *Fleet) revertWrite(now time.Duration, change mutation) {
	switch {
	case change.page != nil:
		return
	case change.segment == nil:
		change.job.FinalWriteInFlight = false
		return
	}
	change.segment.InFlight = nil
	if !change.segment.Dirty {
		change.segment.Dirty, change.segment.DirtySince = true, now
	}
	change.segment.Urgent = true
}

// deleteObsoletePlans removes plans of jobs that are over and have nothing on any machine any more.
func (f *Fleet) deleteObsoletePlans() {
	f.writer.endedJobs = slices.DeleteFunc(f.writer.endedJobs, func(job *jobs.Job) bool {
		if job.TasksOnMachines() > 0 {
			return false
		}
		for _, segment := range job.Segments {
			f.writer.pages.Drop(planRef(job, segment))
			if segment.Version != 0 || segment.CreateIndeterminate {
				f.writer.obsoleteKeys = append(f.writer.obsoleteKeys, job.PlanKey(segment.Number))
			}
		}
		job.Tasks, job.Segments = nil, nil
		return true
	})
	n := min(len(f.writer.obsoleteKeys), f.maxOps(), deleteBatch)
	nos, versions := f.writer.pages.Retire(min(f.maxOps(), deleteBatch) - n)
	if n+len(nos) == 0 || !f.CanWrite((n+len(nos))*2) {
		return
	}
	txn := store.Txn{}
	for _, k := range f.writer.obsoleteKeys[:n] {
		txn.Then = append(txn.Then, store.Op{Delete: k})
	}
	for i, no := range nos {
		key := pages.Key(jobs.PlanPagePrefix, no)
		txn.If = append(txn.If, store.Condition{Key: key, Version: versions[i]})
		txn.Then = append(txn.Then, store.Op{Delete: key})
	}
	f.writer.inFlight = true
	f.Commit(txn, func(result store.Result) {
		f.writer.inFlight = false
		// A page's number is not used again in this term, and a key that is gone may be dropped once more.
		switch result.Outcome {
		case store.Committed:
			f.writer.obsoleteKeys = f.writer.obsoleteKeys[n:]
			f.writer.pages.ConfirmRetired()
		case store.Conflict: // an earlier try has landed
			f.writer.pages.ConfirmRetired()
		}
	})
}

// Finalized tells whether an ended job has nothing left here: no task that may be on a machine, no plan that stands or
// couldn't be read.
func (f *Fleet) Finalized(job *jobs.Job) bool {
	return f.plansLoaded && job.State.Terminal() && job.Tasks == nil && !job.Quarantined && !f.unreadableJobs[job.ID]
}
