package fleet

// What one write takes in, where a chunk's value stands, and how plans move into pages.

import (
	"encoding/json"
	"log/slog"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/pages"
	"github.com/harewalk/harewalk/internal/store"
)

// mutation is one change of a write under way: a job's record becomes done, a chunk gets a new value, in a key of
// its own or in a page, or a page is written.
type mutation struct {
	job      *jobs.Job
	segment  *jobs.PlanSegment // nil: the job's record becomes done, or it is a page
	snapshot []int32
	key      string
	value    []byte
	page     *pages.PageWrite
	inPage   bool // the chunk's value is in one of the pages written along
	moved    bool // and its former key is dropped
}

// writeBatch gathers what one transaction changes, within its bounds.
type writeBatch struct {
	f         *Fleet
	mutations []mutation
	n         int // changes, without pages
	bytes     int
	pages     *pages.Batch // nil: every chunk has a key of its own
}

const (
	maxTxnBytes      = 60 << 10 // of a transaction
	txnOverheadBytes = 2000     // for what surrounds it
)

func (w *writeBatch) fits(extra int) bool {
	n := w.n + extra
	if w.pages != nil {
		k, _ := w.pages.Size()
		n += k
	}
	return n <= w.f.maxOps() && w.f.CanWrite(n)
}

func (w *writeBatch) size() int {
	if w.pages == nil {
		return w.bytes
	}
	_, b := w.pages.Size()
	return w.bytes + b
}

// addKey adds a change of a key of its own.
func (w *writeBatch) addKey(p mutation) bool {
	if !w.fits(1) || w.size()+len(p.value)+len(p.key)+64 > maxTxnBytes {
		return false
	}
	w.n++
	w.bytes += len(p.value) + 2*len(p.key) + 100
	w.mutations = append(w.mutations, p)
	return true
}

// addSegment adds a chunk's value, where it is to stand now.
func (w *writeBatch) addSegment(j *jobs.Job, c *jobs.PlanSegment) bool {
	f := w.f
	raw, snap, ok := j.EncodeSegmentWithin(c, f.Term, func(m int32) string { return f.machines[m].Name }, f.valueLimit()-len(j.PlanKey(c.Number)))
	if !ok {
		return true // more of it runs, on more machines, than a value can name: it is written once some of that has ended
	}
	p := mutation{job: j, segment: c, snapshot: snap, key: j.PlanKey(c.Number), value: raw}
	if w.pages == nil || c.CreateIndeterminate {
		return w.addKey(p)
	}
	p.inPage, p.moved = true, c.Version != 0
	extra := 0
	if p.moved {
		extra = 1
	}
	// One page more must fit, and the end of the former key.
	k, _ := w.pages.Size()
	most := k
	if w.fits(extra + 1) {
		most++
	} else if !w.fits(extra) {
		return false
	}
	e := pages.Entry{Ref: planRef(j, c), Name: j.PlanName(c.Number), Value: raw}
	if !w.pages.Add(e, most, maxTxnBytes-w.bytes-txnOverheadBytes) {
		return false
	}
	if p.moved {
		w.n++
		w.bytes += 2*len(p.key) + 100
	}
	w.mutations = append(w.mutations, p)
	return true
}

func planRef(j *jobs.Job, c *jobs.PlanSegment) pages.Ref {
	return pages.Ref{A: int32(j.Index), B: int32(c.Number)}
}

// migrate takes up chunks that still have a key of their own, where pages are in force, and reports whether there
// were any. It is the last thing that spare writes are for.
func (f *Fleet) migrate(w *writeBatch) bool {
	if w.pages == nil || f.migrated || !f.HasSpareWrites() {
		return false
	}
	n := 0
	for _, j := range f.ranked {
		for _, c := range j.Segments {
			if c.Version == 0 || c.CreateIndeterminate || c.Quarantined || c.InFlight != nil {
				continue
			}
			if n == migrateBatch || !w.addSegment(j, c) {
				return n > 0
			}
			n++
		}
	}
	f.migrated = n == 0 && f.UnmigratedPlans() == 0
	return n > 0
}

// migrateBatch is how many chunks a write moves in the background.
const migrateBatch = 8

// UnmigratedPlans counts the keys of plans that stand in the form that pages replace, with those of jobs that are over.
func (f *Fleet) UnmigratedPlans() int {
	n := len(f.obsoletePlanKeys)
	for _, js := range [][]*jobs.Job{f.ranked, f.endedJobs} {
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

// resolvePages takes over what became of a write's pages, its first operations, and of the chunks in them, by what
// was read of each page. It is false if the write landed between two of the reads: then they say nothing.
func (f *Fleet) resolvePages(ops []mutation, read []store.Item) bool {
	landed := 0
	for i, it := range read {
		if it.Version != ops[i].page.Version && string(it.Value) == string(ops[i].value) {
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
			f.confirmWrite(now, p, 0)
		default:
			p.segment.AddIndeterminate(p.snapshot)
			f.revertWrite(now, p)
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
		if j, c := f.segmentByName(name); c != nil {
			es = append(es, pages.Entry{Ref: planRef(j, c), Name: name, Value: raw})
		}
	}
	return es
}

// segmentByName finds a chunk of a job that is open here, by its name in a page.
func (f *Fleet) segmentByName(name string) (*jobs.Job, *jobs.PlanSegment) {
	id, no, ok := splitPlanName(name)
	j := f.Jobs.Get(id)
	if !ok || j == nil || no >= len(j.Segments) {
		return nil, nil
	}
	return j, j.Segments[no]
}

// reportUnreadable tells of a stored record that can't be read.
func (f *Fleet) reportUnreadable(key string, raw json.RawMessage, cause error) {
	if f.OnUnreadable != nil {
		f.OnUnreadable(key, raw, cause)
	}
}
