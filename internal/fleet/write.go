package fleet

import (
	"fmt"
	"log/slog"
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// gather is how long changes that nobody waits for are collected before a write.
const gather = time.Second

// pending is one operation of a write under way.
type pending struct {
	job      *jobs.Job
	chunk    *jobs.Chunk // nil: the job's record becomes done
	snapshot []int32
	key      string
	raw      []byte
}

// Flush writes what is due in one transaction: plans that starts wait for, terminal
// records, gathered bitmaps, and the removal of plans that are no longer needed. Only one
// write is under way at a time, so an open outcome is settled before the next.
func (f *Fleet) Flush(now time.Duration) {
	if f.writing || !f.loaded {
		return
	}
	var ops []pending
	bytes := 2000
	add := func(p pending) bool {
		if len(ops) >= f.TxnOps || bytes+len(p.raw)+len(p.key)+64 > 60<<10 || !f.Room(len(ops)+1) {
			return false
		}
		bytes += len(p.raw) + 2*len(p.key) + 100
		ops = append(ops, p)
		return true
	}
	f.collect(now, add)
	shard := f.nextShard(now)
	if len(ops) == 0 && shard < 0 {
		f.sweep()
		return
	}
	t := store.Txn{}
	if shard >= 0 && len(ops) < f.TxnOps && f.Room(len(ops)+1) {
		if hints := f.encodeImages(shard); bytes+len(hints) < 60<<10 {
			f.imagesAt, f.shard, f.shards[shard] = now, shard, false
			t.Then = append(t.Then, store.Op{Put: fmt.Sprintf("%s/%d", imagesKey, shard), Value: hints})
		}
	}
	if len(ops)+len(t.Then) == 0 {
		return
	}
	for _, p := range ops {
		v := p.job.Version
		if p.chunk != nil {
			v = p.chunk.Version
			p.chunk.Dirty, p.chunk.Urgent, p.chunk.Pending = false, false, p.snapshot
		} else {
			p.job.Closing = true
		}
		t.If = append(t.If, store.Cond{Key: p.key, Version: v})
		t.Then = append(t.Then, store.Op{Put: p.key, Value: p.raw})
	}
	f.writing = true
	f.Commit(t, func(r store.Result) { f.committed(ops, r) })
}

// collect offers what is due, most urgent first.
func (f *Fleet) collect(now time.Duration, add func(pending) bool) {
	for _, j := range f.order {
		if j.Stance == jobs.Pending && j.DoneN == j.N && !j.Closing && j.Spec.Kind != jobs.Service {
			raw := jobs.EncodeRecord(jobs.Done, 0, j.N, nil)
			if !add(pending{job: j, key: jobs.RecordKey(j.ID), raw: raw}) {
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
			if j.Stance != jobs.Pending || j.DoneN == j.N {
				continue
			}
			for _, c := range j.Chunks {
				if !c.Dirty || c.Pending != nil || c.Urgent != urgent || (!urgent && now-c.Since < gather) {
					continue
				}
				raw, snap := j.EncodeChunk(c, f.Term, func(m int32) string { return f.machines[m].Name })
				if !add(pending{j, c, snap, j.PlanKey(c.No), raw}) {
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
	slog.Debug("write failed", "outcome", r.Outcome.String(), "failed", r.Failed, "ops", len(ops), "term", f.Term)
	if r.Outcome == store.NotDone || r.Outcome == store.NoHold {
		f.writing = false
		for _, p := range ops {
			f.undone(now, p)
		}
		return
	}
	// A conflict, or an open outcome: every key is read again before anything else is
	// written. A transaction that lands after the read fails on its conditions, since
	// the next write to the same keys moves their versions.
	f.settle(ops, 0)
}

// settle re-reads the keys of a write, one after the other.
func (f *Fleet) settle(ops []pending, i int) {
	if i == len(ops) {
		f.writing = false
		return
	}
	p := ops[i]
	f.Read(p.key, func(it store.Item, err error) {
		now := f.Now()
		if err != nil {
			f.retry = func(time.Duration) { f.settle(ops, i) }
			f.retryAt = now + 300*time.Millisecond
			return
		}
		switch {
		case p.chunk == nil:
			p.job.Closing = false
			if it.Version != 0 {
				f.Learned(now, it)
			}
		case it.Version != p.chunk.Version && string(it.Value) == string(p.raw):
			f.applied(now, p, it.Version)
		default:
			p.chunk.Version = it.Version
			f.undone(now, p)
		}
		f.settle(ops, i+1)
	})
}

func (f *Fleet) applied(now time.Duration, p pending, version uint64) {
	f.news = true
	if p.chunk != nil {
		p.chunk.Version, p.chunk.Durable, p.chunk.Pending = version, p.snapshot, nil
		return
	}
	f.Learned(now, store.Item{Key: p.key, Value: p.raw, Version: version})
}

func (f *Fleet) undone(now time.Duration, p pending) {
	if p.chunk == nil {
		p.job.Closing = false
		return
	}
	p.chunk.Pending = nil
	if !p.chunk.Dirty {
		p.chunk.Dirty, p.chunk.Since = true, now
	}
	p.chunk.Urgent = true
}

// sweep removes plans of jobs that are over and have nothing on any machine any more.
func (f *Fleet) sweep() {
	f.over = slices.DeleteFunc(f.over, func(j *jobs.Job) bool {
		if j.On() > 0 {
			return false
		}
		for _, c := range j.Chunks {
			if c.Version != 0 {
				f.garbage = append(f.garbage, j.PlanKey(c.No))
			}
		}
		j.Tasks, j.Chunks = nil, nil
		return true
	})
	n := min(len(f.garbage), f.TxnOps, 8)
	if n == 0 || !f.Room(n*2) {
		return
	}
	t := store.Txn{}
	for _, k := range f.garbage[:n] {
		t.Then = append(t.Then, store.Op{Delete: k})
	}
	f.writing = true
	f.Commit(t, func(r store.Result) {
		f.writing = false
		if r.Outcome == store.Committed || r.Outcome == store.Unknown {
			f.garbage = f.garbage[n:]
		}
	})
}
