// Package pages decides which stored page holds which value. Many small values, such as the plans of small jobs,
// share a page; a page is one key of the state service, and writing it costs one change however many values in it
// are new. A value that changes moves to the page that is being written, as in a log-structured file system: what
// it leaves behind in its former page is dead, and pages with little that lives are the first to be written over.
//
// Of two pages that hold the same value the one that was written last counts. The package neither reads nor writes;
// its caller writes each batch in one transaction, conditional on the version of every page in it, and has one
// batch under way at a time.
package pages

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Ref names a value; what it means is the caller's matter.
type Ref struct{ A, B int32 }

// Entry is a value as it is to be stored: Name is its name in the page, Raw is JSON without spaces.
type Entry struct {
	Ref   Ref
	Name  string
	Value []byte
}

func (e *Entry) size() int { return len(e.Name) + len(e.Value) + 4 }

// page is one key. Its state follows from its fields:
//
//	fresh    version 0: nothing is stored yet
//	stored   version > 0, with what lives on it
//	doubtful a write of it has no known outcome: the next batch has to write it again, so that the lost one,
//	         should it land late, fails on its version
//	retired  nothing lives on it and its key is to be dropped; its number is never used again
type page struct {
	number        int
	version       uint64
	live          map[Ref]Entry
	size          int // bytes of what lives
	indeterminate bool
	retired       bool
	// createIndeterminate: a write that makes its key was given up. It lands whenever the key isn't there, so the key isn't
	// dropped as long as this owner's writes can land.
	createIndeterminate bool
}

// Pages are all pages of one kind. The zero value is not ready: use New.
type Pages struct {
	limit         int // bytes of a page's values
	pages         []*page
	pageOf        map[Ref]*page
	next          int
	indeterminate int
	retired       []*page
}

// overhead is what a page takes beside its values.
const overhead = 32

// New makes an empty set of pages whose values take at most limit bytes each. A larger value has a page for
// itself.
func New(limit int) *Pages {
	return &Pages{limit: max(1, limit-overhead), pageOf: map[Ref]*page{}}
}

// SetLimit changes how much the values of a page may take from the next batch on. Pages that hold more are kept as they
// are until what lives on them has moved.
func (p *Pages) SetLimit(limit int) { p.limit = max(1, limit-overhead) }

// StoredPage is a page as it was read.
type StoredPage struct {
	Number  int
	Version uint64 // of its key
	Values  map[string]json.RawMessage
}

// stored is a page's form in the state service.
type stored struct {
	Format int                        `json:"v,omitempty"`
	Values map[string]json.RawMessage `json:"plans"`
}

// Key is a page's key under a prefix.
func Key(prefix string, no int) string { return fmt.Sprintf("%s%05d", prefix, no) }

// Decode reads a page. Its error says what is wrong.
func Decode(prefix, key string, raw json.RawMessage, version uint64) (StoredPage, error) {
	no, err := strconv.Atoi(strings.TrimPrefix(key, prefix))
	if err != nil || no < 0 {
		return StoredPage{}, fmt.Errorf("page %q has no number", key)
	}
	var s stored
	if err := json.Unmarshal(raw, &s); err != nil {
		return StoredPage{Number: no}, err
	}
	if s.Format > 1 {
		return StoredPage{Number: no}, fmt.Errorf("page in format %d", s.Format)
	}
	return StoredPage{no, version, s.Values}, nil
}

// Load takes over a page that was read, with those of its values that still count. The caller gives each value to
// one page only: to the one with the highest version that holds it. An unreadable page is loaded by Reserve.
func (p *Pages) Load(no int, version uint64, live []Entry) {
	g := &page{number: no, version: version, live: map[Ref]Entry{}}
	p.pages = append(p.pages, g)
	p.next = max(p.next, no+1)
	for _, entry := range live {
		p.put(g, entry)
	}
}

// Reserve keeps a page's number from being used: what stands there can't be read, and must not be written over.
func (p *Pages) Reserve(no int) { p.next = max(p.next, no+1) }

func (p *Pages) put(g *page, entry Entry) {
	p.Drop(entry.Ref)
	g.live[entry.Ref] = entry
	g.size += entry.size()
	p.pageOf[entry.Ref] = g
}

// Drop forgets a value that is needed no more. What stands of it is dead.
func (p *Pages) Drop(r Ref) {
	if page := p.pageOf[r]; page != nil {
		entry := page.live[r]
		page.size -= entry.size()
		delete(page.live, r)
		delete(p.pageOf, r)
	}
}

// PageWrite is one page of a batch: what its key gets. Version is the key's version that the write depends on.
type PageWrite struct {
	Number  int
	Version uint64
	Value   json.RawMessage
	page    *page
	entries []Entry
}

// Batch gathers values to be written together.
type Batch struct {
	p       *Pages
	moved   map[Ref]struct{}
	bins    []*bin
	inBatch map[*page]struct{}
	bytes   int
}

type bin struct {
	page *page
	add  []Entry
	size int // with what stays
}

// Begin starts a batch. Pages in doubt are all part of it: each of the writes that may still land names one of them. What
// one of them holds beyond the limit moves to other pages with it, as far as a batch of at most pages pages has room.
func (p *Pages) Begin(pages int) *Batch {
	b := &Batch{p: p, moved: map[Ref]struct{}{}, inBatch: map[*page]struct{}{}}
	if p.indeterminate == 0 {
		return b
	}
	for _, page := range p.pages {
		if page.indeterminate {
			b.open(page)
		}
	}
	for _, bin := range b.bins[:len(b.bins):len(b.bins)] {
		b.shed(bin, pages)
	}
	return b
}

// Fits tells whether the batch keeps to a number of pages and to the limit of each. One that begins with more can't be
// written while its owner leads.
func (b *Batch) Fits(pages int) bool {
	return len(b.bins) <= pages && !slices.ContainsFunc(b.bins, func(n *bin) bool { return b.over(n) })
}

// over tells whether a page holds more than it may; a large value alone may stand anywhere.
func (b *Batch) over(n *bin) bool { return n.size > b.p.limit && len(n.page.live)+len(n.add) > 1 }

// maxShedBytes bounds the bytes of a batch that moves what pages hold beyond their limit.
const maxShedBytes = 48 << 10

// shed moves what a page holds beyond the limit to others.
func (b *Batch) shed(n *bin, pages int) {
	for _, entry := range sorted(n.page.live) {
		if !b.over(n) || !b.Add(entry, pages, maxShedBytes) {
			return
		}
	}
}

// sorted lists a page's values by name.
func sorted(live map[Ref]Entry) []Entry {
	entries := make([]Entry, 0, len(live))
	for _, entry := range live {
		entries = append(entries, entry)
	}
	slices.SortFunc(entries, func(x, y Entry) int { return cmp.Compare(x.Name, y.Name) })
	return entries
}

func (b *Batch) open(g *page) *bin {
	n := &bin{page: g, size: b.stays(g)}
	b.bins = append(b.bins, n)
	b.inBatch[g] = struct{}{}
	b.bytes += n.size + overhead
	return n
}

// stays is the size of what lives on a page and is not moved by this batch.
func (b *Batch) stays(g *page) int {
	size := g.size
	for r, entry := range g.live {
		if _, ok := b.moved[r]; ok {
			size -= entry.size()
		}
	}
	return size
}

// Size is how many pages the batch writes, and about how many bytes. A batch without values still writes the
// pages in doubt.
func (b *Batch) Size() (pages, bytes int) { return len(b.bins), b.bytes }

// Add takes a value into the batch unless that would need more than pages pages or bytes bytes.
func (b *Batch) Add(entry Entry, pages, bytes int) bool {
	size := entry.size()
	if b.bytes+size > bytes {
		return false
	}
	var into *bin
	for _, bin := range b.bins {
		if len(bin.add) == 0 && bin.size == 0 || bin.size+size <= b.p.limit {
			into = bin
			break
		}
	}
	if into == nil {
		if len(b.bins) >= pages {
			return false
		}
		page := b.emptiest(size)
		if stays := b.stays(page); b.bytes+size+stays+overhead > bytes {
			if b.bytes+size+overhead > bytes {
				return false
			}
			page = b.p.fresh()
		}
		into = b.open(page)
	}
	if page := b.p.pageOf[entry.Ref]; page != nil {
		if _, ok := b.inBatch[page]; ok {
			for _, bin := range b.bins {
				if bin.page == page {
					old := page.live[entry.Ref]
					bin.size -= old.size()
					b.bytes -= old.size()
				}
			}
		}
	}
	b.moved[entry.Ref] = struct{}{}
	into.add = append(into.add, entry)
	into.size += size
	b.bytes += size
	return true
}

// emptiest is the page outside the batch with least that stays, if there is room beside it; else a fresh one.
func (b *Batch) emptiest(size int) *page {
	var best *page
	least := b.p.limit - size + 1
	if least <= 0 {
		least = 1 // a large value goes alone
	}
	for _, page := range b.p.pages {
		if _, in := b.inBatch[page]; in || page.retired {
			continue
		}
		// An upper bound first: what is moved only makes it smaller.
		if page.size < least {
			best, least = page, page.size
			if least == 0 {
				break
			}
		}
	}
	if best == nil {
		best = b.p.fresh()
	}
	return best
}

func (p *Pages) fresh() *page {
	g := &page{number: p.next, live: map[Ref]Entry{}}
	p.next++
	p.pages = append(p.pages, g)
	return g
}

// Writes is what the batch writes, in one transaction.
func (b *Batch) Writes() []PageWrite {
	out := make([]PageWrite, 0, len(b.bins))
	for _, bin := range b.bins {
		entries := slices.Clone(bin.add)
		for r, entry := range bin.page.live {
			if _, ok := b.moved[r]; !ok {
				entries = append(entries, entry)
			}
		}
		slices.SortFunc(entries, func(x, y Entry) int { return cmp.Compare(x.Name, y.Name) })
		out = append(out, PageWrite{Number: bin.page.number, Version: bin.page.version, Value: encode(entries), page: bin.page, entries: entries})
	}
	return out
}

func encode(entries []Entry) json.RawMessage {
	var w bytes.Buffer
	w.WriteString(`{"plans":{`)
	for i, entry := range entries {
		if i > 0 {
			w.WriteByte(',')
		}
		w.WriteByte('"')
		w.WriteString(entry.Name)
		w.WriteString(`":`)
		w.Write(entry.Value)
	}
	w.WriteString(`}}`)
	return w.Bytes()
}

// Commit takes over that a page was written, at a version of its key. Nothing may be dropped between a batch's Puts
// and its outcome.
func (p *Pages) Commit(write PageWrite, version uint64) {
	p.setIndeterminate(write.page, false)
	write.page.version = version
	for _, entry := range write.entries {
		p.put(write.page, entry)
	}
}

// MarkIndeterminate takes over that a page was not written, as far as a read of it shows, but may be yet. It is written again
// with the next batch, and until that is through nothing may depend on what only one of the two says.
func (p *Pages) MarkIndeterminate(write PageWrite) {
	write.page.createIndeterminate = write.page.createIndeterminate || write.Version == 0
	p.setIndeterminate(write.page, true)
}

// Reload takes over what a read shows on a page in place of what was to be written: an earlier write of it that
// had been given up. All that stands there lives there; the page is written again with the next batch.
func (p *Pages) Reload(write PageWrite, version uint64, entries []Entry) {
	write.page.version = version
	write.page.createIndeterminate = write.page.createIndeterminate || write.Version == 0
	for _, entry := range entries {
		p.put(write.page, entry)
	}
	p.setIndeterminate(write.page, true)
}

func (p *Pages) setIndeterminate(g *page, on bool) {
	if g.indeterminate != on {
		g.indeterminate = on
		if on {
			p.indeterminate++
		} else {
			p.indeterminate--
		}
	}
}

// HasIndeterminate tells whether a page has to be written again.
func (p *Pages) HasIndeterminate() bool { return p.indeterminate > 0 }

// spare is how many empty pages are kept to be written next.
const spare = 4

// Retire picks at most n stored pages without anything that lives, beyond a few, for their keys to be dropped.
// It names them again until Retired says that they are gone.
func (p *Pages) Retire(n int) (nos []int, versions []uint64) {
	empty := 0
	for _, page := range p.pages {
		if len(page.live) > 0 || page.indeterminate || page.createIndeterminate || page.version == 0 || page.retired {
			continue
		}
		if empty++; empty > spare && len(p.retired) < n {
			page.retired = true
			p.retired = append(p.retired, page)
		}
	}
	for _, page := range p.retired {
		nos, versions = append(nos, page.number), append(versions, page.version)
	}
	return nos, versions
}

// ConfirmRetired takes over that the pages last named were dropped.
func (p *Pages) ConfirmRetired() {
	p.pages = slices.DeleteFunc(p.pages, func(g *page) bool { return g.retired })
	p.retired = nil
}
