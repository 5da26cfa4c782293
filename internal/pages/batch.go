package pages

import (
	"cmp"
	"encoding/json"
	"slices"
)

// PageWrite is the write of one page of a batch. The transaction has to be conditional on the page's key having
// Version, and sets the key to Value.
type PageWrite struct {
	Number  int    // number of the page
	Version uint64 // version of the page's key before the write; 0: the key doesn't exist
	Value   json.RawMessage
	page    *page
	entries []Entry // encoded in Value
}

// Batch collects values that are written in one transaction, and chooses the pages for them. It changes no stored
// page: pages change when the caller reports the outcome of the writes.
type Batch struct {
	pages     *Pages
	contents  []*pageContent // of the pages in the batch, in the order in which the pages were chosen
	contentOf map[*page]*pageContent
	added     map[Ref]struct{}
	bytes     int // size of all contents with pageOverheadBytes each
}

// pageContent is the content of a page as the batch will write it.
type pageContent struct {
	page  *page
	added []Entry
	size  int // bytes of the added entries and of the page's live entries that don't move
}

// Begin returns a new batch. The batch includes every indeterminate page, so that its transaction rules out all
// earlier writes that may still be applied: each of these contains an indeterminate page. Values of an indeterminate
// page beyond the size limit move to other pages, as far as a batch of maxPages pages has room.
func (p *Pages) Begin(maxPages int) *Batch {
	b := &Batch{pages: p, contentOf: map[*page]*pageContent{}, added: map[Ref]struct{}{}}
	if p.indeterminateCount == 0 {
		return b
	}
	for _, page := range p.pages {
		if page.indeterminate {
			b.addPage(page)
		}
	}
	// moveExcess appends other pages' contents, which this loop skips.
	for _, content := range b.contents[:len(b.contents):len(b.contents)] {
		b.moveExcess(content, maxPages)
	}
	return b
}

// Fits reports whether the batch has at most maxPages pages and each page is within its size limit. A new batch
// that doesn't fit can't be written by this owner at all.
func (b *Batch) Fits(maxPages int) bool {
	return len(b.contents) <= maxPages && !slices.ContainsFunc(b.contents, b.exceedsLimit)
}

// exceedsLimit reports whether a page would exceed the size limit. A page with a single value may have any size.
func (b *Batch) exceedsLimit(content *pageContent) bool {
	return content.size > b.pages.maxValueBytes && len(content.page.live)+len(content.added) > 1
}

// maxExcessBatchBytes is the size up to which a batch may grow by moving values from pages beyond the size limit.
const maxExcessBatchBytes = 48 << 10

// moveExcess moves values of a page to other pages, by name, until the page is within the size limit or the batch has
// no more room.
func (b *Batch) moveExcess(content *pageContent, maxPages int) {
	for _, entry := range sortedEntries(content.page.live) {
		if !b.exceedsLimit(content) || !b.Add(entry, maxPages, maxExcessBatchBytes) {
			return
		}
	}
}

// sortedEntries returns live values sorted by name.
func sortedEntries(live map[Ref]Entry) []Entry {
	entries := make([]Entry, 0, len(live))
	for _, entry := range live {
		entries = append(entries, entry)
	}
	sortByName(entries)
	return entries
}

func sortByName(entries []Entry) {
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Name, b.Name) })
}

// addPage includes a page in the batch. Its content keeps the live values that the batch doesn't move.
func (b *Batch) addPage(page *page) *pageContent {
	content := &pageContent{page: page, size: b.remainingBytes(page)}
	b.contents = append(b.contents, content)
	b.contentOf[page] = content
	b.bytes += content.size + pageOverheadBytes
	return content
}

// remainingBytes returns the size of a page's live values that the batch doesn't move.
func (b *Batch) remainingBytes(page *page) int {
	size := page.liveBytes
	for ref, entry := range page.live {
		if _, ok := b.added[ref]; ok {
			size -= entry.size()
		}
	}
	return size
}

// Size returns the number of pages that the batch writes, and about how many bytes. A batch without added values still
// writes the indeterminate pages.
func (b *Batch) Size() (pages, bytes int) { return len(b.contents), b.bytes }

// Add includes a value in the batch. It returns false and adds nothing if the batch would exceed maxPages pages or
// maxBytes bytes.
func (b *Batch) Add(entry Entry, maxPages, maxBytes int) bool {
	size := entry.size()
	if b.bytes+size > maxBytes {
		return false
	}
	target := b.pageWithRoom(size)
	if target == nil && len(b.contents) < maxPages {
		target = b.addPageWithRoom(size, maxBytes)
	}
	if target == nil {
		return false
	}
	b.subtractFormerSize(entry.Ref)
	b.added[entry.Ref] = struct{}{}
	target.added = append(target.added, entry)
	target.size += size
	b.bytes += size
	return true
}

// pageWithRoom returns the content of the first page that has room for size bytes, or nil. A page without values has
// room for any size.
func (b *Batch) pageWithRoom(size int) *pageContent {
	for _, content := range b.contents {
		isEmpty := len(content.added) == 0 && content.size == 0
		if isEmpty || content.size+size <= b.pages.maxValueBytes {
			return content
		}
	}
	return nil
}

// addPageWithRoom includes one more page with room for size bytes, and returns its content. If the batch would exceed
// maxBytes, it returns nil.
func (b *Batch) addPageWithRoom(size, maxBytes int) *pageContent {
	bytesWithNewPage := b.bytes + size + pageOverheadBytes
	page := b.leastOccupied(size)
	if bytesWithNewPage+b.remainingBytes(page) > maxBytes {
		if bytesWithNewPage > maxBytes {
			return nil
		}
		page = b.pages.newPage()
	}
	return b.addPage(page)
}

// subtractFormerSize subtracts the size of a value's former entry if the entry's page is in the batch.
func (b *Batch) subtractFormerSize(ref Ref) {
	page := b.pages.pageOf[ref]
	if page == nil {
		return
	}
	content, ok := b.contentOf[page]
	if !ok {
		return
	}
	former := page.live[ref]
	content.size -= former.size()
	b.bytes -= former.size()
}

// leastOccupied returns the page outside the batch with the fewest live bytes, or a new page if no page has room for
// size more bytes. A value larger than the size limit gets an empty page.
func (b *Batch) leastOccupied(size int) *page {
	var best *page
	bound := max(1, b.pages.maxValueBytes-size+1) // exclusive upper bound of the live bytes
	for _, page := range b.pages.pages {
		if _, inBatch := b.contentOf[page]; inBatch || page.retired {
			continue
		}
		// Values that this batch moves away still count here, so the page may have even more room.
		if page.liveBytes >= bound {
			continue
		}
		best = page
		bound = page.liveBytes
		if bound == 0 {
			break
		}
	}
	if best == nil {
		best = b.pages.newPage()
	}
	return best
}

// Writes returns the writes of all pages of the batch, to be sent in one transaction.
func (b *Batch) Writes() []PageWrite {
	writes := make([]PageWrite, 0, len(b.contents))
	for _, content := range b.contents {
		entries := b.entries(content)
		writes = append(writes, PageWrite{
			Number:  content.page.number,
			Version: content.page.version,
			Value:   encode(entries),
			page:    content.page,
			entries: entries,
		})
	}
	return writes
}

// entries returns the values that a page will contain, sorted by name: the added values and the live values that don't
// move.
func (b *Batch) entries(content *pageContent) []Entry {
	entries := slices.Clone(content.added)
	for ref, entry := range content.page.live {
		if _, ok := b.added[ref]; !ok {
			entries = append(entries, entry)
		}
	}
	sortByName(entries)
	return entries
}
