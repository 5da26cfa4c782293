package fleet

// What one write takes in, where a chunk's value stands, and how plans move into pages.

import (
	"encoding/json"
	"log/slog"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/pages"
	"github.com/harewalk/harewalk/internal/store"
)

// pending is one change of a write under way: a job's record becomes done, a chunk gets a new value, in a key of
// its own or in a page, or a page is written.
type pending struct {
	job      *jobs.Job
	chunk    *jobs.PlanSegment // nil: the job's record becomes done, or it is a page
	snapshot []int32
	key      string
	raw      []byte
	page     *pages.PageWrite
	inPage   bool // the chunk's value is in one of the pages written along
	moved    bool // and its former key is dropped
}

// write gathers what one transaction changes, within its bounds.
type write struct {
	f     *Fleet
	ops   []pending
	n     int // changes, without pages
	bytes int
	batch *pages.Batch // nil: every chunk has a key of its own
}

const (
	mostBytes = 60 << 10 // of a transaction
	firstly   = 2000     // for what surrounds it
)

func (w *write) changes(extra int) bool {
	n := w.n + extra
	if w.batch != nil {
		k, _ := w.batch.Size()
		n += k
	}
	return n <= w.f.ops() && w.f.Room(n)
}

func (w *write) size() int {
	if w.batch == nil {
		return w.bytes
	}
	_, b := w.batch.Size()
	return w.bytes + b
}

// key adds a change of a key of its own.
func (w *write) key(p pending) bool {
	if !w.changes(1) || w.size()+len(p.raw)+len(p.key)+64 > mostBytes {
		return false
	}
	w.n++
	w.bytes += len(p.raw) + 2*len(p.key) + 100
	w.ops = append(w.ops, p)
	return true
}

// chunk adds a chunk's value, where it is to stand now.
func (w *write) chunk(j *jobs.Job, c *jobs.PlanSegment) bool {
	f := w.f
	raw, snap, ok := j.EncodeSegmentWithin(c, f.Term, func(m int32) string { return f.machines[m].Name }, f.valueLimit()-len(j.PlanKey(c.Number)))
	if !ok {
		return true // more of it runs, on more machines, than a value can name: it is written once some of that has ended
	}
	p := pending{job: j, chunk: c, snapshot: snap, key: j.PlanKey(c.Number), raw: raw}
	if w.batch == nil || c.CreateIndeterminate {
		return w.key(p)
	}
	p.inPage, p.moved = true, c.Version != 0
	extra := 0
	if p.moved {
		extra = 1
	}
	// One page more must fit, and the end of the former key.
	k, _ := w.batch.Size()
	most := k
	if w.changes(extra + 1) {
		most++
	} else if !w.changes(extra) {
		return false
	}
	e := pages.Entry{Ref: planRef(j, c), Name: j.PlanName(c.Number), Value: raw}
	if !w.batch.Add(e, most, mostBytes-w.bytes-firstly) {
		return false
	}
	if p.moved {
		w.n++
		w.bytes += 2*len(p.key) + 100
	}
	w.ops = append(w.ops, p)
	return true
}

func planRef(j *jobs.Job, c *jobs.PlanSegment) pages.Ref {
	return pages.Ref{A: int32(j.Index), B: int32(c.Number)}
}

// migrate takes up chunks that still have a key of their own, where pages are in force, and reports whether there
// were any. It is the last thing that spare writes are for.
func (f *Fleet) migrate(w *write) bool {
	if w.batch == nil || f.migrated || !f.Spare() {
		return false
	}
	n := 0
	for _, j := range f.order {
		for _, c := range j.Segments {
			if c.Version == 0 || c.CreateIndeterminate || c.Quarantined || c.InFlight != nil {
				continue
			}
			if n == migrateAtOnce || !w.chunk(j, c) {
				return n > 0
			}
			n++
		}
	}
	f.migrated = n == 0 && f.OldPlans() == 0
	return n > 0
}

// migrateAtOnce is how many chunks a write moves in the background.
const migrateAtOnce = 8

// OldPlans counts the keys of plans that stand in the form that pages replace, with those of jobs that are over.
func (f *Fleet) OldPlans() int {
	n := len(f.garbage)
	for _, js := range [][]*jobs.Job{f.order, f.over} {
		for _, j := range js {
			for _, c := range j.Segments {
				if c.Version != 0 || c.CreateIndeterminate {
					n++
				}
			}
		}
	}
	return n
}

// Migrated tells whether no plan stands in the form that pages replace any more, as far as this term has found:
// none is written again where pages are in force.
func (f *Fleet) Migrated() bool { return f.migrated }

// settlePages takes over what became of a write's pages, its first operations, and of the chunks in them, by what
// was read of each page. It is false if the write landed between two of the reads: then they say nothing.
func (f *Fleet) settlePages(ops []pending, read []store.Item) bool {
	landed := 0
	for i, it := range read {
		if it.Version != ops[i].page.Version && string(it.Value) == string(ops[i].raw) {
			landed++
		}
	}
	if landed != 0 && landed != len(read) {
		return false
	}
	now := f.Now()
	for i, it := range read {
		switch x := ops[i].page; {
		case landed > 0:
			f.pages.Commit(*x, it.Version)
		case it.Version == x.Version:
			f.pages.MarkIndeterminate(*x)
		default:
			// An earlier write of the page, given up before, has landed meanwhile.
			f.pages.Reload(*x, it.Version, f.entries(it))
		}
	}
	for _, p := range ops {
		switch {
		case !p.inPage:
		case landed > 0:
			f.applied(now, p, 0)
		default:
			p.chunk.AddIndeterminate(p.snapshot)
			f.undone(now, p)
		}
	}
	return true
}

// entries are the values on a page that belong to jobs known here.
func (f *Fleet) entries(it store.Item) (es []pages.Entry) {
	s, err := pages.Decode(jobs.PlanPagePrefix, it.Key, it.Value, it.Version)
	if err != nil {
		slog.Error("a page of plans cannot be read", "key", it.Key, "cause", err)
		return nil
	}
	for name, raw := range s.Values {
		if j, c := f.chunkNamed(name); c != nil {
			es = append(es, pages.Entry{Ref: planRef(j, c), Name: name, Value: raw})
		}
	}
	return es
}

// chunkNamed finds a chunk of a job that is open here, by its name in a page.
func (f *Fleet) chunkNamed(name string) (*jobs.Job, *jobs.PlanSegment) {
	id, no, ok := splitPlanName(name)
	j := f.Jobs.Get(id)
	if !ok || j == nil || no >= len(j.Segments) {
		return nil, nil
	}
	return j, j.Segments[no]
}

// unreadable tells of a stored record that can't be read.
func (f *Fleet) unreadable(key string, raw json.RawMessage, cause error) {
	if f.Unreadable != nil {
		f.Unreadable(key, raw, cause)
	}
}
