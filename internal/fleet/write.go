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
	if f.writeInFlight || !f.plansLoaded {
		return
	}
	w := &writeBatch{f: f, bytes: txnOverheadBytes}
	if f.PlansInPages() {
		f.pages.SetLimit(f.pageLimit())
		w.pages = f.pages.Begin(f.maxOps())
		if f.writesStuck = !w.pages.Fits(f.maxOps()); f.writesStuck {
			return
		}
	}
	f.collectWrites(now, w)
	shard := f.nextHintShard(now)
	if len(w.mutations) == 0 && shard < 0 && !f.pages.HasIndeterminate() && !f.migrate(w) {
		f.deleteObsoletePlans()
		return
	}
	t := store.Txn{}
	if shard >= 0 && w.fits(1) {
		if hints := f.encodeImages(shard); w.size()+len(hints) < maxTxnBytes {
			f.hintsWrittenAt, f.lastHintShard, f.dirtyHintShards[shard] = now, shard, false
			t.Then = append(t.Then, store.Op{Put: fmt.Sprintf("%s/%d", imagesKey, shard), Value: hints})
		}
	}
	for i := range w.mutations {
		p := &w.mutations[i]
		switch {
		case p.segment == nil:
			p.job.FinalWriteInFlight = true
			t.If = append(t.If, store.Condition{Key: p.key, Version: p.job.Version})
			t.Then = append(t.Then, store.Op{Put: p.key, Value: p.value})
			continue
		case !p.inPage:
			t.If = append(t.If, store.Condition{Key: p.key, Version: p.segment.Version})
			t.Then = append(t.Then, store.Op{Put: p.key, Value: p.value})
		case p.moved:
			t.If = append(t.If, store.Condition{Key: p.key, Version: p.segment.Version})
			t.Then = append(t.Then, store.Op{Delete: p.key})
		}
		p.segment.Dirty, p.segment.Urgent, p.segment.InFlight = false, false, p.snapshot
	}
	ops := w.mutations
	if w.pages != nil {
		// Pages come first: they say what became of the chunks in them.
		var puts []mutation
		for _, x := range w.pages.Writes() {
			key := pages.Key(jobs.PlanPagePrefix, x.Number)
			t.If = append(t.If, store.Condition{Key: key, Version: x.Version})
			t.Then = append(t.Then, store.Op{Put: key, Value: x.Value})
			puts = append(puts, mutation{key: key, value: x.Value, page: &x})
		}
		ops = append(puts, ops...)
	}
	if len(t.Then) == 0 {
		return
	}
	f.writeInFlight = true
	f.Commit(t, func(r store.Result) { f.handleOutcome(ops, r) })
}

// WritesStuck tells that writes without an outcome can't be settled in this term: the pages that they name take more than the
// state service, whose limits have shrunk, lets one transaction hold. The next leader's writes don't have to wait for them.
func (f *Fleet) WritesStuck() bool { return f.writesStuck }

// collectWrites offers what is due, most urgent first.
func (f *Fleet) collectWrites(now time.Duration, w *writeBatch) {
	for _, j := range f.ranked {
		if j.State == jobs.Pending && j.FinishedTasks == j.TaskCount && !j.FinalWriteInFlight && j.Spec.Kind != jobs.Service {
			raw := jobs.EncodeRecord(jobs.Done, 0, j.TaskCount, nil)
			if !w.addKey(mutation{job: j, key: jobs.RecordKey(j.ID), value: raw}) {
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
		for _, j := range f.ranked {
			if j.State != jobs.Pending || j.FinishedTasks == j.TaskCount {
				continue
			}
			for _, c := range j.Segments {
				if !c.Dirty || c.Quarantined || c.InFlight != nil || c.Urgent != urgent || (!urgent && now-c.DirtySince < gatherDelay) {
					continue
				}
				if !w.addSegment(j, c) {
					return
				}
			}
		}
	}
}

// handleOutcome takes over a write's outcome.
func (f *Fleet) handleOutcome(ops []mutation, r store.Result) {
	now := f.Now()
	if r.Outcome == store.Committed {
		f.writeInFlight = false
		for _, p := range ops {
			f.confirmWrite(now, p, r.Revision)
		}
		f.FlushWrites(now)
		return
	}
	if f.lastHintShard < len(f.dirtyHintShards) {
		f.dirtyHintShards[f.lastHintShard] = true
	}
	slog.Debug("write failed", "outcome", r.Outcome.String(), "failed", r.FailedKeys, "ops", len(ops), "term", f.Term)
	if r.Outcome == store.NotApplied || r.Outcome == store.LeaseExpired {
		f.writeInFlight = false
		for _, p := range ops {
			f.revertWrite(now, p)
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
		f.writeInFlight = false
		return
	}
	p := ops[i]
	if p.page == nil && i == len(read) && i > 0 && !f.resolvePages(ops, read) {
		f.resolveOutcome(ops, 0, nil) // it landed between two reads
		return
	}
	if p.inPage && (!p.moved || p.segment.Version == 0) { // settled with its page
		f.resolveOutcome(ops, i+1, read)
		return
	}
	f.Read(p.key, func(it store.Item, err error) {
		now := f.Now()
		if err != nil {
			f.retry = func(time.Duration) { f.resolveOutcome(ops, i, read) }
			f.retryAt = now + 300*time.Millisecond
			return
		}
		switch {
		case p.page != nil:
			read = append(read, it)
			if i == len(ops)-1 && !f.resolvePages(ops, read) {
				f.resolveOutcome(ops, 0, nil)
				return
			}
		case p.inPage: // not moved: what was its key may be gone by an earlier try
			p.segment.Version = it.Version
		case p.segment == nil:
			p.job.FinalWriteInFlight = false
			if it.Version != 0 {
				f.OnJobRecord(now, it)
			}
		case it.Version != p.segment.Version && string(it.Value) == string(p.value):
			f.confirmWrite(now, p, it.Version)
		default:
			p.segment.CreateIndeterminate = p.segment.CreateIndeterminate || p.segment.Version == 0
			p.segment.Version = it.Version
			p.segment.AddIndeterminate(p.snapshot)
			f.revertWrite(now, p)
		}
		f.resolveOutcome(ops, i+1, read)
	})
}

func (f *Fleet) confirmWrite(now time.Duration, p mutation, version uint64) {
	f.planBecameDurable = true
	switch {
	case p.page != nil:
		f.pages.Commit(*p.page, version)
	case p.segment != nil:
		p.segment.DurableMachines, p.segment.InFlight, p.segment.Indeterminate = p.snapshot, nil, nil
		if p.segment.Version = version; p.inPage {
			p.segment.Version = 0 // it has no key of its own any more
		}
	default:
		f.OnJobRecord(now, store.Item{Key: p.key, Value: p.value, Version: version})
	}
}

func (f *Fleet) revertWrite(now time.Duration, p mutation) {
	switch {
	case p.page != nil:
		return
	case p.segment == nil:
		p.job.FinalWriteInFlight = false
		return
	}
	p.segment.InFlight = nil
	if !p.segment.Dirty {
		p.segment.Dirty, p.segment.DirtySince = true, now
	}
	p.segment.Urgent = true
}

// deleteObsoletePlans removes plans of jobs that are over and have nothing on any machine any more.
func (f *Fleet) deleteObsoletePlans() {
	f.endedJobs = slices.DeleteFunc(f.endedJobs, func(j *jobs.Job) bool {
		if j.TasksOnMachines() > 0 {
			return false
		}
		for _, c := range j.Segments {
			f.pages.Drop(planRef(j, c))
			if c.Version != 0 || c.CreateIndeterminate {
				f.obsoletePlanKeys = append(f.obsoletePlanKeys, j.PlanKey(c.Number))
			}
		}
		j.Tasks, j.Segments = nil, nil
		return true
	})
	n := min(len(f.obsoletePlanKeys), f.maxOps(), deleteBatch)
	nos, versions := f.pages.Retire(min(f.maxOps(), deleteBatch) - n)
	if n+len(nos) == 0 || !f.CanWrite((n+len(nos))*2) {
		return
	}
	t := store.Txn{}
	for _, k := range f.obsoletePlanKeys[:n] {
		t.Then = append(t.Then, store.Op{Delete: k})
	}
	for i, no := range nos {
		key := pages.Key(jobs.PlanPagePrefix, no)
		t.If = append(t.If, store.Condition{Key: key, Version: versions[i]})
		t.Then = append(t.Then, store.Op{Delete: key})
	}
	f.writeInFlight = true
	f.Commit(t, func(r store.Result) {
		f.writeInFlight = false
		// A page's number is not used again in this term, and a key that is gone may be dropped once more.
		switch r.Outcome {
		case store.Committed:
			f.obsoletePlanKeys = f.obsoletePlanKeys[n:]
			f.pages.ConfirmRetired()
		case store.Conflict: // an earlier try has landed
			f.pages.ConfirmRetired()
		}
	})
}

// Finalized tells whether an ended job has nothing left here: no task that may be on a machine, no plan that stands or
// couldn't be read.
func (f *Fleet) Finalized(j *jobs.Job) bool {
	return f.plansLoaded && j.State.Terminal() && j.Tasks == nil && !j.Quarantined && !f.unreadableJobs[j.ID]
}
