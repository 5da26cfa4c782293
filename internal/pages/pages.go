// Package pages decides which stored page holds which value. Many small values, such as the plans of small jobs,
// share a page. A page is one key of the state service, so writing it costs one operation however many of its values
// are new. A value that changes moves to a page of the batch being written, as in a log-structured file system: its
// former place is dead, and the pages with the fewest live bytes are written over first.
//
// If two stored pages hold the same value, the one with the higher version counts.
//
// The package performs no I/O and starts no goroutine. Its caller, the fleet's writer, writes each batch in one
// transaction that is conditional on the version of every page in it, has one batch in flight at a time, and reports
// the outcome by Commit, MarkIndeterminate or Reload for each page.
package pages

// Ref identifies a value. Its two numbers are chosen by the caller.
type Ref struct{ Owner, Number int32 }

// Entry is a value as it is to be stored.
type Entry struct {
	Ref   Ref
	Name  string // of the value, unique among all pages; needs no escaping in JSON
	Value []byte // JSON without spaces
}

// entryOverheadBytes is what an entry takes in a page beside its name and value: quotes, colon and comma.
const entryOverheadBytes = 4

// size returns the bytes that the entry takes in a page.
func (e *Entry) size() int { return len(e.Name) + len(e.Value) + entryOverheadBytes }

// page is one key. Its state follows from its fields:
//
//	new            version is 0: nothing is stored yet
//	stored         version is above 0
//	indeterminate  a write of it has no known outcome. The next batch has to write it again, so that the former write,
//	               should it be applied late, fails on its version
//	retired        it holds no live value and its key is to be deleted; its number is never used again
type page struct {
	number        int
	version       uint64
	live          map[Ref]Entry
	liveBytes     int
	indeterminate bool
	retired       bool
	// createIndeterminate is set when a write that creates the key had no known outcome. It may be applied whenever
	// the key doesn't exist, so the key is not deleted while writes of this owner can still be applied.
	createIndeterminate bool
}

// Pages holds all pages of one kind. It has to be made by New.
type Pages struct {
	maxValueBytes      int // of all values in a page
	pages              []*page
	pageOf             map[Ref]*page
	nextNumber         int
	indeterminateCount int
	retired            []*page
}

// pageOverheadBytes is what a page takes beside its entries.
const pageOverheadBytes = 32

// New returns an empty set of pages of at most limit bytes each. A larger value gets a page for itself.
func New(limit int) *Pages {
	p := &Pages{pageOf: map[Ref]*page{}}
	p.SetLimit(limit)
	return p
}

// SetLimit changes the bytes that a page may take, from the next batch on. Pages that hold more are kept until their
// live values have moved.
func (p *Pages) SetLimit(limit int) { p.maxValueBytes = max(1, limit-pageOverheadBytes) }

// Load adds a page that was read, with those of its values that still count. The caller passes each value with one
// page only: the one with the highest version among those that hold it. A page that can't be decoded is passed to
// Reserve instead.
func (p *Pages) Load(number int, version uint64, live []Entry) {
	page := p.addPage(number)
	page.version = version
	for _, entry := range live {
		p.put(page, entry)
	}
}

// Reserve keeps the number of a stored page that can't be decoded from being used, so that the page is not written
// over.
func (p *Pages) Reserve(number int) { p.nextNumber = max(p.nextNumber, number+1) }

// newPage adds a page that is not stored yet.
func (p *Pages) newPage() *page { return p.addPage(p.nextNumber) }

func (p *Pages) addPage(number int) *page {
	added := &page{number: number, live: map[Ref]Entry{}}
	p.pages = append(p.pages, added)
	p.Reserve(number)
	return added
}

// put makes a page the one that holds a value.
func (p *Pages) put(page *page, entry Entry) {
	p.Drop(entry.Ref)
	page.live[entry.Ref] = entry
	page.liveBytes += entry.size()
	p.pageOf[entry.Ref] = page
}

// Drop removes a value that is no longer needed. What is stored of it is dead. Nothing may be dropped between
// Batch.Writes and the outcome of the batch.
func (p *Pages) Drop(ref Ref) {
	page := p.pageOf[ref]
	if page == nil {
		return
	}
	entry := page.live[ref]
	page.liveBytes -= entry.size()
	delete(page.live, ref)
	delete(p.pageOf, ref)
}

// Commit records that a page was written, and the version that its key has since.
func (p *Pages) Commit(write PageWrite, version uint64) {
	p.setIndeterminate(write.page, false)
	write.page.version = version
	for _, entry := range write.entries {
		p.put(write.page, entry)
	}
}

// MarkIndeterminate records that a page had not been written when it was read, but that the write may still be
// applied. The next batch writes the page again; until that is committed, nothing may depend on a value for which
// the two writes differ.
func (p *Pages) MarkIndeterminate(write PageWrite) {
	p.recordCreate(write)
	p.setIndeterminate(write.page, true)
}

// Reload records the version and values that a read returned in place of what was to be written: those of an earlier
// write of the page whose outcome was unknown. All these values count as live there; the next batch writes the page
// again.
func (p *Pages) Reload(write PageWrite, version uint64, entries []Entry) {
	p.recordCreate(write)
	write.page.version = version
	for _, entry := range entries {
		p.put(write.page, entry)
	}
	p.setIndeterminate(write.page, true)
}

// recordCreate records that a write without a known outcome creates its key, if it does.
func (p *Pages) recordCreate(write PageWrite) {
	if write.Version == 0 {
		write.page.createIndeterminate = true
	}
}

// setIndeterminate is the only place where that state of a page changes.
func (p *Pages) setIndeterminate(page *page, indeterminate bool) {
	if page.indeterminate == indeterminate {
		return
	}
	page.indeterminate = indeterminate
	if indeterminate {
		p.indeterminateCount++
	} else {
		p.indeterminateCount--
	}
}

// HasIndeterminate reports whether a page has to be written again because the outcome of a write is unknown.
func (p *Pages) HasIndeterminate() bool { return p.indeterminateCount > 0 }
