package pages

import (
	"cmp"
	"encoding/json"
	"slices"
)

// PageWrite is one page of a batch: the value that its key gets, and the version of the key on which the write is to
// be conditional.
type PageWrite struct {
	Number  int
	Version uint64
	Value   json.RawMessage
	page    *page
	entries []Entry
}

// Batch collects values that are written together, and picks the pages for them. It changes no page until its writes
// are committed.
type Batch struct {
	pages   *Pages
	drafts  []*draft // in the order in which their pages were picked
	draftOf map[*page]*draft
	added   map[Ref]struct{}
	bytes   int // of all drafts, with their overhead
}

// draft is a page of a batch as it will be written.
type draft struct {
	page  *page
	added []Entry
	size  int // bytes of the added values and of the page's own that stay
}

// Begin starts a batch. It includes every indeterminate page: each write that may still be applied names one of them.
// What one of them holds beyond the limit moves to other pages, as far as a batch of maxPages pages has room.
func (p *Pages) Begin(maxPages int) *Batch {
	b := &Batch{pages: p, draftOf: map[*page]*draft{}, added: map[Ref]struct{}{}}
	if p.indeterminateCount == 0 {
		return b
	}
	for _, page := range p.pages {
		if page.indeterminate {
			b.openDraft(page)
		}
	}
	// Moving values opens further drafts: only those of indeterminate pages are gone through.
	for _, draft := range b.drafts[:len(b.drafts):len(b.drafts)] {
		b.moveExcess(draft, maxPages)
	}
	return b
}

// Fits reports whether the batch has at most maxPages pages and each is within its limit. A batch that exceeds them
// when it begins can't be written by this owner at all.
func (b *Batch) Fits(maxPages int) bool {
	return len(b.drafts) <= maxPages && !slices.ContainsFunc(b.drafts, b.exceedsLimit)
}

// exceedsLimit reports whether a page would hold more than it may. A large value alone may be on any page.
func (b *Batch) exceedsLimit(draft *draft) bool {
	return draft.size > b.pages.maxValueBytes && len(draft.page.live)+len(draft.added) > 1
}

// maxExcessBatchBytes bounds the bytes of a batch that moves what pages hold beyond their limit.
const maxExcessBatchBytes = 48 << 10

// moveExcess moves what a page holds beyond the limit to other pages.
func (b *Batch) moveExcess(draft *draft, maxPages int) {
	for _, entry := range sortedEntries(draft.page.live) {
		if !b.exceedsLimit(draft) || !b.Add(entry, maxPages, maxExcessBatchBytes) {
			return
		}
	}
}

// sortedEntries returns values by name.
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

// openDraft includes a page in the batch, with those of its values that stay on it.
func (b *Batch) openDraft(page *page) *draft {
	opened := &draft{page: page, size: b.remainingBytes(page)}
	b.drafts = append(b.drafts, opened)
	b.draftOf[page] = opened
	b.bytes += opened.size + pageOverheadBytes
	return opened
}

// remainingBytes returns the bytes of a page's live values that this batch does not move.
func (b *Batch) remainingBytes(page *page) int {
	size := page.liveBytes
	for ref, entry := range page.live {
		if _, ok := b.added[ref]; ok {
			size -= entry.size()
		}
	}
	return size
}

// Size returns how many pages the batch writes, and about how many bytes. A batch without added values still writes
// the indeterminate pages.
func (b *Batch) Size() (pages, bytes int) { return len(b.drafts), b.bytes }

// Add includes a value in the batch and reports true, unless that would take more than maxPages pages or maxBytes
// bytes.
func (b *Batch) Add(entry Entry, maxPages, maxBytes int) bool {
	size := entry.size()
	if b.bytes+size > maxBytes {
		return false
	}
	target := b.draftWithRoom(size)
	if target == nil && len(b.drafts) < maxPages {
		target = b.openDraftFor(size, maxBytes)
	}
	if target == nil {
		return false
	}
	b.removeFormer(entry.Ref)
	b.added[entry.Ref] = struct{}{}
	target.added = append(target.added, entry)
	target.size += size
	b.bytes += size
	return true
}

// draftWithRoom returns the first draft that has room for size bytes, or nil. An empty one takes a value of any size.
func (b *Batch) draftWithRoom(size int) *draft {
	for _, draft := range b.drafts {
		isEmpty := len(draft.added) == 0 && draft.size == 0
		if isEmpty || draft.size+size <= b.pages.maxValueBytes {
			return draft
		}
	}
	return nil
}

// openDraftFor includes one more page, with room for size bytes. It returns nil if the batch would exceed maxBytes.
func (b *Batch) openDraftFor(size, maxBytes int) *draft {
	withNewPage := b.bytes + size + pageOverheadBytes
	page := b.leastOccupied(size)
	if withNewPage+b.remainingBytes(page) > maxBytes {
		if withNewPage > maxBytes {
			return nil
		}
		page = b.pages.newPage()
	}
	return b.openDraft(page)
}

// removeFormer takes off the size of a value's former place if its page is in the batch too.
func (b *Batch) removeFormer(ref Ref) {
	page := b.pages.pageOf[ref]
	if page == nil {
		return
	}
	draft, ok := b.draftOf[page]
	if !ok {
		return
	}
	former := page.live[ref]
	draft.size -= former.size()
	b.bytes -= former.size()
}

// leastOccupied returns the page outside the batch with the fewest live bytes, if it has room for size bytes beside
// them, or else a new page. A value larger than a page gets an empty one.
func (b *Batch) leastOccupied(size int) *page {
	var best *page
	bound := max(1, b.pages.maxValueBytes-size+1) // live bytes have to be below it
	for _, page := range b.pages.pages {
		if _, inBatch := b.draftOf[page]; inBatch || page.retired {
			continue
		}
		// The live bytes are an upper bound: what this batch moves away only makes them fewer.
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

// Writes returns the pages that the batch writes, all in one transaction.
func (b *Batch) Writes() []PageWrite {
	writes := make([]PageWrite, 0, len(b.drafts))
	for _, draft := range b.drafts {
		entries := b.entries(draft)
		writes = append(writes, PageWrite{
			Number:  draft.page.number,
			Version: draft.page.version,
			Value:   encode(entries),
			page:    draft.page,
			entries: entries,
		})
	}
	return writes
}

// entries returns the values that a page will hold, by name: the added ones and those that stay.
func (b *Batch) entries(draft *draft) []Entry {
	entries := slices.Clone(draft.added)
	for ref, entry := range draft.page.live {
		if _, ok := b.added[ref]; !ok {
			entries = append(entries, entry)
		}
	}
	sortByName(entries)
	return entries
}
