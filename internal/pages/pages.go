// Package pages decides which stored page contains which value. Many small values, such as the plans of small jobs,
// share a page. A page is one key of the state service. Writing a page costs one operation, however many of its values
// are new. A value that changes moves to a page of the batch being written, as in a log-structured file system. Its
// former entry is dead. Pages with the fewest live bytes are overwritten first.
//
// If two stored pages contain the same value, the page with the higher version is valid.
//
// The package performs no I/O and starts no goroutine. Its caller is the fleet's writer. The caller writes each batch
// in one transaction, which is conditional on the version of every page in the batch. It has one batch in flight at a
// time and reports the outcome of each page with Commit, MarkIndeterminate or Reload.
package pages

// Ref identifies a value. The caller chooses both numbers.
type Ref struct{ Owner, Number int32 }

// Entry is a value to be stored.
type Entry struct {
	Ref   Ref
	Name  string // unique among all pages; has no character that JSON escapes
	Value []byte // JSON without spaces
}

// entryOverheadBytes is the size of an entry's quotes, colon and comma in a page.
const entryOverheadBytes = 4

// size returns the bytes of the entry in a page.
func (e *Entry) size() int { return len(e.Name) + len(e.Value) + entryOverheadBytes }

// page is one key of the state service. Its state follows from its fields:
//
//	new            version is 0: the key doesn't exist yet
//	stored         version is above 0
//	indeterminate  the outcome of a write of the page is unknown. The next batch has to write the page again. The
//	               earlier write then fails on the key's version if it is applied late
//	retired        the page has no live value and its key is to be deleted; its number is never used again
type page struct {
	number        int
	version       uint64 // version of the page's key; 0: not stored
	live          map[Ref]Entry
	liveBytes     int // size of the live entries
	indeterminate bool
	retired       bool
	// createIndeterminate is set if the outcome of a write that creates the key was unknown. That write may be
	// applied at any time while the key doesn't exist, so the key isn't deleted as long as writes of this owner can
	// still be applied.
	createIndeterminate bool
}

// Pages contains all pages of one kind. New creates it; the zero value can't be used.
type Pages struct {
	maxValueBytes      int // limit of the total size of a page's entries
	pages              []*page
	pageOf             map[Ref]*page
	nextNumber         int
	indeterminateCount int
	retired            []*page // pages whose deletion is not confirmed yet
}

// pageOverheadBytes is an upper bound of the size of a page without its entries.
const pageOverheadBytes = 32

// New returns an empty set of pages of at most limit bytes each. A value larger than limit gets a page of its own.
func New(limit int) *Pages {
	p := &Pages{pageOf: map[Ref]*page{}}
	p.SetLimit(limit)
	return p
}

// SetLimit changes the size limit of a page, in bytes, from the next batch on. Pages beyond the limit are kept until
// their live values have moved.
func (p *Pages) SetLimit(limit int) { p.maxValueBytes = max(1, limit-pageOverheadBytes) }

// Load adds a page that was read, with its live values. The caller passes each value with one page only: the page with
// the highest version among the pages that contain the value. For a page that can't be decoded the caller calls
// Reserve instead.
func (p *Pages) Load(number int, version uint64, live []Entry) {
	page := p.addPage(number)
	page.version = version
	for _, entry := range live {
		p.put(page, entry)
	}
}

// Reserve excludes the number of a stored page that can't be decoded from use by new pages, so that the page is not
// overwritten.
func (p *Pages) Reserve(number int) { p.nextNumber = max(p.nextNumber, number+1) }

// newPage adds a page that is not stored yet, with the next free number.
func (p *Pages) newPage() *page { return p.addPage(p.nextNumber) }

func (p *Pages) addPage(number int) *page {
	added := &page{number: number, live: map[Ref]Entry{}}
	p.pages = append(p.pages, added)
	p.Reserve(number)
	return added
}

// put makes a value live on a page, and no longer live on its former page.
func (p *Pages) put(page *page, entry Entry) {
	p.Drop(entry.Ref)
	page.live[entry.Ref] = entry
	page.liveBytes += entry.size()
	p.pageOf[entry.Ref] = page
}

// Drop removes a value that is no longer needed. Its stored entry is dead. Drop must not be called between
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

// Commit records that a write was applied, and the version that it gave the page's key.
func (p *Pages) Commit(write PageWrite, version uint64) {
	p.setIndeterminate(write.page, false)
	write.page.version = version
	for _, entry := range write.entries {
		p.put(write.page, entry)
	}
}

// MarkIndeterminate records that a read after the write found the page unchanged, but that the write may still be
// applied. The next batch writes the page again. Until the next batch is committed, callers must not depend on a value
// that differs between the two writes.
func (p *Pages) MarkIndeterminate(write PageWrite) {
	p.recordCreate(write)
	p.setIndeterminate(write.page, true)
}

// Reload records that a read after the write found other content, from an earlier write of the page whose outcome was
// unknown. version and entries are those that were read. All entries become live on the page, and the next batch
// writes the page again.
func (p *Pages) Reload(write PageWrite, version uint64, entries []Entry) {
	p.recordCreate(write)
	write.page.version = version
	for _, entry := range entries {
		p.put(write.page, entry)
	}
	p.setIndeterminate(write.page, true)
}

// recordCreate sets createIndeterminate if a write of unknown outcome creates the page's key.
func (p *Pages) recordCreate(write PageWrite) {
	if write.Version == 0 {
		write.page.createIndeterminate = true
	}
}

// setIndeterminate changes page.indeterminate and keeps indeterminateCount in step. Only this method changes them.
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

// HasIndeterminate reports whether any page has to be written again because the outcome of a write is unknown.
func (p *Pages) HasIndeterminate() bool { return p.indeterminateCount > 0 }
