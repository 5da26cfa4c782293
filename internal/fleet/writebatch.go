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
func (w *writeBatch) addKey(change mutation) bool {
	if !w.fits(1) || w.size()+len(change.value)+len(change.key)+64 > maxTxnBytes {
		return false
	}
	w.n++
	w.bytes += len(change.value) + 2*len(change.key) + 100
	w.mutations = append(w.mutations, change)
	return true
}

// addSegment adds a chunk's value, where it is to stand now.
func (w *writeBatch) addSegment(job *jobs.Job, segment *jobs.PlanSegment) bool {
	f := w.f
	raw, snap, ok := job.EncodeSegmentWithin(segment, f.Term, func(m int32) string { return f.machines[m].Name }, f.valueLimit()-len(job.PlanKey(segment.Number)))
	if !ok {
		return true // more of it runs, on more machines, than a value can name: it is written once some of that has ended
	}
	change := mutation{job: job, segment: segment, snapshot: snap, key: job.PlanKey(segment.Number), value: raw}
	if w.pages == nil || segment.CreateIndeterminate {
		return w.addKey(change)
	}
	change.inPage, change.moved = true, segment.Version != 0
	extra := 0
	if change.moved {
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
	entry := pages.Entry{Ref: planRef(job, segment), Name: job.PlanName(segment.Number), Value: raw}
	if !w.pages.Add(entry, most, maxTxnBytes-w.bytes-txnOverheadBytes) {
		return false
	}
	if change.moved {
		w.n++
		w.bytes += 2*len(change.key) + 100
	}
	w.mutations = append(w.mutations, change)
	return true
}

func planRef(job *jobs.Job, segment *jobs.PlanSegment) pages.Ref {
	return pages.Ref{A: int32(job.Index), B: int32(segment.Number)}
}

// migrate takes up chunks that still have a key of their own, where pages are in force, and reports whether there
// were any. It is the last thing that spare writes are for.
func (f *Fleet) migrate(batch *writeBatch) bool {
	if batch.pages == nil || f.writer.migrated || !f.HasSpareWrites() {
		return false
	}
	n := 0
	for _, job := range f.ranking.jobs {
		for _, segment := range job.Segments {
			if segment.Version == 0 || segment.CreateIndeterminate || segment.Quarantined || segment.InFlight != nil {
				continue
			}
			if n == migrateBatch || !batch.addSegment(job, segment) {
				return n > 0
			}
			n++
		}
	}
	f.writer.migrated = n == 0 && f.UnmigratedPlans() == 0
	return n > 0
}

// migrateBatch is how many chunks a write moves in the background.
const migrateBatch = 8

// UnmigratedPlans counts the keys of plans that stand in the form that pages replace, with those of jobs that are over.
func (f *Fleet) UnmigratedPlans() int {
	n := len(f.writer.obsoleteKeys)
	for _, jobList := range [][]*jobs.Job{f.ranking.jobs, f.writer.endedJobs} {
		for _, job := range jobList {
			for _, segment := range job.Segments {
				if segment.Version != 0 || segment.CreateIndeterminate {
					n++
				}
			}
		}
	}
	return n
}

// Migrated tells whether no plan stands in the form that pages replace any more, as far as this term has found:
// none is written again where pages are in force.
func (f *Fleet) Migrated() bool { return f.writer.migrated }

// resolvePages takes over what became of a write's pages, its first operations, and of the chunks in them, by what
// was read of each page. It is false if the write landed between two of the reads: then they say nothing.
func (f *Fleet) resolvePages(ops []mutation, read []store.Item) bool {
	landed := 0
	for i, item := range read {
		if item.Version != ops[i].page.Version && string(item.Value) == string(ops[i].value) {
			landed++
		}
	}
	if landed != 0 && landed != len(read) {
		return false
	}
	now := f.Now()
	for i, item := range read {
		switch x := ops[i].page; {
		case landed > 0:
			f.writer.pages.Commit(*x, item.Version)
		case item.Version == x.Version:
			f.writer.pages.MarkIndeterminate(*x)
		default:
			// An earlier write of the page, given up before, has landed meanwhile.
			f.writer.pages.Reload(*x, item.Version, f.entries(item))
		}
	}
	for _, change := range ops {
		switch {
		case !change.inPage:
		case landed > 0:
			f.confirmWrite(now, change, 0)
		default:
			change.segment.AddIndeterminate(change.snapshot)
			f.revertWrite(now, change)
		}
	}
	return true
}

// entries are the values on a page that belong to jobs known here.
func (f *Fleet) entries(item store.Item) (entries []pages.Entry) {
	s, err := pages.Decode(jobs.PlanPagePrefix, item.Key, item.Value, item.Version)
	if err != nil {
		slog.Error("a page of plans cannot be read", "key", item.Key, "cause", err)
		return nil
	}
	for name, raw := range s.Values {
		if job, segment := f.segmentByName(name); segment != nil {
			entries = append(entries, pages.Entry{Ref: planRef(job, segment), Name: name, Value: raw})
		}
	}
	return entries
}

// segmentByName finds a chunk of a job that is open here, by its name in a page.
func (f *Fleet) segmentByName(name string) (*jobs.Job, *jobs.PlanSegment) {
	id, no, ok := splitPlanName(name)
	job := f.Jobs.Get(id)
	if !ok || job == nil || no >= len(job.Segments) {
		return nil, nil
	}
	return job, job.Segments[no]
}

// reportUnreadable tells of a stored record that can't be read.
func (f *Fleet) reportUnreadable(key string, raw json.RawMessage, cause error) {
	if f.OnUnreadable != nil {
		f.OnUnreadable(key, raw, cause)
	}
}
