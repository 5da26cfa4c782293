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

// sweepAtOnce bounds the keys that one write drops.
const sweepAtOnce = 8

// gather is how long changes that nobody waits for are collected before a write.
const gather = time.Second

// Flush writes what is due in one transaction: plans that starts wait for, terminal
// records, gathered bitmaps, and the removal of plans that are no longer needed. Only one
// write is under way at a time, so an open outcome is settled before the next.
func (f *Fleet) Flush(now time.Duration) {
	if f.writing || !f.loaded {
		return
	}
	w := &write{f: f, bytes: firstly}
	if f.Paged() {
		f.pages.SetLimit(f.pageLimit())
		w.batch = f.pages.Begin(f.ops())
		if f.stuck = !w.batch.Fits(f.ops()); f.stuck {
			return
		}
	}
	f.collect(now, w)
	shard := f.nextShard(now)
	if len(w.ops) == 0 && shard < 0 && !f.pages.HasIndeterminate() && !f.migrate(w) {
		f.sweep()
		return
	}
	t := store.Txn{}
	if shard >= 0 && w.changes(1) {
		if hints := f.encodeImages(shard); w.size()+len(hints) < mostBytes {
			f.imagesAt, f.shard, f.shards[shard] = now, shard, false
			t.Then = append(t.Then, store.Op{Put: fmt.Sprintf("%s/%d", imagesKey, shard), Value: hints})
		}
	}
	for i := range w.ops {
		p := &w.ops[i]
		switch {
		case p.chunk == nil:
			p.job.FinalWriteInFlight = true
			t.If = append(t.If, store.Condition{Key: p.key, Version: p.job.Version})
			t.Then = append(t.Then, store.Op{Put: p.key, Value: p.raw})
			continue
		case !p.inPage:
			t.If = append(t.If, store.Condition{Key: p.key, Version: p.chunk.Version})
			t.Then = append(t.Then, store.Op{Put: p.key, Value: p.raw})
		case p.moved:
			t.If = append(t.If, store.Condition{Key: p.key, Version: p.chunk.Version})
			t.Then = append(t.Then, store.Op{Delete: p.key})
		}
		p.chunk.Dirty, p.chunk.Urgent, p.chunk.InFlight = false, false, p.snapshot
	}
	ops := w.ops
	if w.batch != nil {
		// Pages come first: they say what became of the chunks in them.
		var puts []pending
		for _, x := range w.batch.Writes() {
			key := pages.Key(jobs.PlanPagePrefix, x.Number)
			t.If = append(t.If, store.Condition{Key: key, Version: x.Version})
			t.Then = append(t.Then, store.Op{Put: key, Value: x.Value})
			puts = append(puts, pending{key: key, raw: x.Value, page: &x})
		}
		ops = append(puts, ops...)
	}
	if len(t.Then) == 0 {
		return
	}
	f.writing = true
	f.Commit(t, func(r store.Result) { f.committed(ops, r) })
}

// Stuck tells that writes without an outcome can't be settled in this term: the pages that they name take more than the
// state service, whose limits have shrunk, lets one transaction hold. The next leader's writes don't have to wait for them.
func (f *Fleet) Stuck() bool { return f.stuck }

// collect offers what is due, most urgent first.
func (f *Fleet) collect(now time.Duration, w *write) {
	for _, j := range f.order {
		if j.State == jobs.Pending && j.FinishedTasks == j.TaskCount && !j.FinalWriteInFlight && j.Spec.Kind != jobs.Service {
			raw := jobs.EncodeRecord(jobs.Done, 0, j.TaskCount, nil)
			if !w.key(pending{job: j, key: jobs.RecordKey(j.ID), raw: raw}) {
				return
			}
		}
	}
	for _, urgent := range []bool{true, false} {
		if !urgent && !f.Spare() {
			// Nobody waits for these: what is left of the budget is for submissions, and
			// for the plans of the next second.
			return
		}
		for _, j := range f.order {
			if j.State != jobs.Pending || j.FinishedTasks == j.TaskCount {
				continue
			}
			for _, c := range j.Segments {
				if !c.Dirty || c.Quarantined || c.InFlight != nil || c.Urgent != urgent || (!urgent && now-c.DirtySince < gather) {
					continue
				}
				if !w.chunk(j, c) {
					return
				}
			}
		}
	}
}

// committed takes over a write's outcome.
func (f *Fleet) committed(ops []pending, r store.Result) {
	now := f.Now()
	if r.Outcome == store.Committed {
		f.writing = false
		for _, p := range ops {
			f.applied(now, p, r.Revision)
		}
		f.Flush(now)
		return
	}
	if f.shard < len(f.shards) {
		f.shards[f.shard] = true
	}
	slog.Debug("write failed", "outcome", r.Outcome.String(), "failed", r.FailedKeys, "ops", len(ops), "term", f.Term)
	if r.Outcome == store.NotApplied || r.Outcome == store.LeaseExpired {
		f.writing = false
		for _, p := range ops {
			f.undone(now, p)
		}
		return
	}
	// A conflict, or an open outcome: every key is read again before anything else is
	// written. A transaction that lands after the read fails on its conditions, since
	// the next write to the same keys moves their versions.
	f.settle(ops, 0, nil)
}

// settle re-reads the keys of a write, one after the other: its pages first, for they are written all or none.
func (f *Fleet) settle(ops []pending, i int, read []store.Item) {
	if i == len(ops) {
		f.writing = false
		return
	}
	p := ops[i]
	if p.page == nil && i == len(read) && i > 0 && !f.settlePages(ops, read) {
		f.settle(ops, 0, nil) // it landed between two reads
		return
	}
	if p.inPage && (!p.moved || p.chunk.Version == 0) { // settled with its page
		f.settle(ops, i+1, read)
		return
	}
	f.Read(p.key, func(it store.Item, err error) {
		now := f.Now()
		if err != nil {
			f.retry = func(time.Duration) { f.settle(ops, i, read) }
			f.retryAt = now + 300*time.Millisecond
			return
		}
		switch {
		case p.page != nil:
			read = append(read, it)
			if i == len(ops)-1 && !f.settlePages(ops, read) {
				f.settle(ops, 0, nil)
				return
			}
		case p.inPage: // not moved: what was its key may be gone by an earlier try
			p.chunk.Version = it.Version
		case p.chunk == nil:
			p.job.FinalWriteInFlight = false
			if it.Version != 0 {
				f.Learned(now, it)
			}
		case it.Version != p.chunk.Version && string(it.Value) == string(p.raw):
			f.applied(now, p, it.Version)
		default:
			p.chunk.CreateIndeterminate = p.chunk.CreateIndeterminate || p.chunk.Version == 0
			p.chunk.Version = it.Version
			p.chunk.AddIndeterminate(p.snapshot)
			f.undone(now, p)
		}
		f.settle(ops, i+1, read)
	})
}

func (f *Fleet) applied(now time.Duration, p pending, version uint64) {
	f.news = true
	switch {
	case p.page != nil:
		f.pages.Commit(*p.page, version)
	case p.chunk != nil:
		p.chunk.DurableMachines, p.chunk.InFlight, p.chunk.Indeterminate = p.snapshot, nil, nil
		if p.chunk.Version = version; p.inPage {
			p.chunk.Version = 0 // it has no key of its own any more
		}
	default:
		f.Learned(now, store.Item{Key: p.key, Value: p.raw, Version: version})
	}
}

func (f *Fleet) undone(now time.Duration, p pending) {
	switch {
	case p.page != nil:
		return
	case p.chunk == nil:
		p.job.FinalWriteInFlight = false
		return
	}
	p.chunk.InFlight = nil
	if !p.chunk.Dirty {
		p.chunk.Dirty, p.chunk.DirtySince = true, now
	}
	p.chunk.Urgent = true
}

// sweep removes plans of jobs that are over and have nothing on any machine any more.
func (f *Fleet) sweep() {
	f.over = slices.DeleteFunc(f.over, func(j *jobs.Job) bool {
		if j.TasksOnMachines() > 0 {
			return false
		}
		for _, c := range j.Segments {
			f.pages.Drop(planRef(j, c))
			if c.Version != 0 || c.CreateIndeterminate {
				f.garbage = append(f.garbage, j.PlanKey(c.Number))
			}
		}
		j.Tasks, j.Segments = nil, nil
		return true
	})
	n := min(len(f.garbage), f.ops(), sweepAtOnce)
	nos, versions := f.pages.Retire(min(f.ops(), sweepAtOnce) - n)
	if n+len(nos) == 0 || !f.Room((n+len(nos))*2) {
		return
	}
	t := store.Txn{}
	for _, k := range f.garbage[:n] {
		t.Then = append(t.Then, store.Op{Delete: k})
	}
	for i, no := range nos {
		key := pages.Key(jobs.PlanPagePrefix, no)
		t.If = append(t.If, store.Condition{Key: key, Version: versions[i]})
		t.Then = append(t.Then, store.Op{Delete: key})
	}
	f.writing = true
	f.Commit(t, func(r store.Result) {
		f.writing = false
		// A page's number is not used again in this term, and a key that is gone may be dropped once more.
		switch r.Outcome {
		case store.Committed:
			f.garbage = f.garbage[n:]
			f.pages.ConfirmRetired()
		case store.Conflict: // an earlier try has landed
			f.pages.ConfirmRetired()
		}
	})
}

// Settled tells whether an ended job has nothing left here: no task that may be on a machine, no plan that stands or
// couldn't be read.
func (f *Fleet) Settled(j *jobs.Job) bool {
	return f.loaded && j.State.Terminal() && j.Tasks == nil && !j.Quarantined && !f.unread[j.ID]
}
