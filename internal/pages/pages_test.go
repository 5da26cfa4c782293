package pages

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/harewalk/harewalk/internal/rollout"
)

// Many small values that change at different times share few pages, and each batch takes one or two writes.
func TestSmallValuesShareFewWrites(t *testing.T) {
	p := New(6 << 10)
	writes := 0
	for round := range 200 {
		batch := p.Begin(100)
		for i := range 20 {
			ref := Ref{Owner: int32((round*37 + i*11) % 1000)}
			value := []byte(`{"term":3,"done":"AA==","on":["i-000123"],"runs":[1,0]}`)
			if !batch.Add(Entry{ref, fmt.Sprintf("req-%06d/000", ref.Owner), value}, 20, 60<<10) {
				t.Fatal("batch has no room for 20 values, want all added")
			}
		}
		for _, write := range batch.Writes() {
			writes++
			p.Commit(write, uint64(round)+1)
			if len(write.Value) > 7<<10 {
				t.Fatalf("got a page of %d bytes, want at most 7 KiB", len(write.Value))
			}
		}
	}
	t.Logf("4,000 values in %d writes, %d live in %d pages", writes, len(p.pageOf), len(p.pages))
	if writes > 300 || len(p.pages) > 40 {
		t.Fatalf("got %d writes and %d pages, want at most 300 and 40", writes, len(p.pages))
	}
}

// The outcome of a write that creates a page is unknown. The page is written again and becomes empty. Its key is not
// deleted: a late first write would then be applied and restore an outdated value.
func TestPageWithAnIndeterminateCreateIsNotRetired(t *testing.T) {
	const values = 8
	p := New(60)
	writeValue := func(i int32) PageWrite {
		batch := p.Begin(100)
		batch.Add(Entry{Ref{Owner: i}, fmt.Sprintf("v%d", i), []byte(`"a long value that fills a page"`)}, 1, 1000)
		return batch.Writes()[0]
	}
	first := writeValue(0)
	p.MarkIndeterminate(first)
	for i := range int32(values) {
		p.Commit(writeValue(i), uint64(i)+1)
	}
	for i := range int32(values) {
		p.Drop(Ref{Owner: i})
	}
	numbers, _ := p.Retire(values)
	if len(numbers) != values-spareEmptyPages-1 || slices.Contains(numbers, first.Number) {
		t.Fatalf("got pages %v retired, want 3 without page %d, whose first write may be applied late", numbers, first.Number)
	}
}

const (
	manyValues   = 30
	manyMaxPages = 8
	manyMaxBytes = 60 << 10
)

// addMany adds manyValues values that consist of a letter to a batch, and returns how many the batch had room for.
func addMany(batch *Batch, letter string) (added int) {
	for i := range int32(manyValues) {
		value := []byte(`"` + strings.Repeat(letter, 90) + `"`)
		if batch.Add(Entry{Ref{Owner: i}, fmt.Sprintf("job-%02d", i), value}, manyMaxPages, manyMaxBytes) {
			added++
		}
	}
	return added
}

// newStoredPages returns pages with manyValues values, all of them committed.
func newStoredPages(t *testing.T) *Pages {
	t.Helper()
	p := New(2000)
	batch := p.Begin(manyMaxPages)
	if addMany(batch, "x") != manyValues {
		t.Fatal("batch has no room for all values, want all added")
	}
	for i, write := range batch.Writes() {
		p.Commit(write, uint64(i+1))
	}
	return p
}

// markIndeterminate marks all pages of a batch as indeterminate.
func markIndeterminate(p *Pages, batch *Batch) {
	for _, write := range batch.Writes() {
		p.MarkIndeterminate(write)
	}
}

// The size limit of a page shrinks while pages beyond it are indeterminate. The next batch includes all of these pages
// and moves their excess values to other pages.
func TestIndeterminatePagesAreSplitWhenTheLimitShrinks(t *testing.T) {
	p := newStoredPages(t)
	batch := p.Begin(manyMaxPages)
	batch.Add(Entry{Ref{Owner: 0}, "job-00", []byte(`"y"`)}, manyMaxPages, manyMaxBytes)
	markIndeterminate(p, batch)
	p.SetLimit(700)
	batch = p.Begin(manyMaxPages)
	if !batch.Fits(manyMaxPages) {
		t.Fatal("batch exceeds eight pages or their size limit, want it to fit")
	}
	seen := map[string]bool{}
	indeterminate := 0
	for _, write := range batch.Writes() {
		if len(write.Value) > 700 {
			t.Errorf("page %d: got %d bytes, want at most 700", write.Number, len(write.Value))
		}
		if write.page.indeterminate {
			indeterminate++
		}
		for _, entry := range write.entries {
			if seen[entry.Name] {
				t.Errorf("%s is on two pages of one batch, want one", entry.Name)
			}
			seen[entry.Name] = true
		}
		p.Commit(write, 50)
	}
	if indeterminate == 0 || p.HasIndeterminate() {
		t.Errorf("got %d indeterminate pages in the batch, some left after it: %v; want at least 1, none left",
			indeterminate, p.HasIndeterminate())
	}
	for i := range int32(manyValues) {
		if p.pageOf[Ref{Owner: i}] == nil {
			t.Errorf("value %d is on no page, want one", i)
		}
	}
}

// If more pages are indeterminate than a batch may have, Fits returns false.
func TestBatchWithTooManyIndeterminatePagesDoesNotFit(t *testing.T) {
	p := newStoredPages(t)
	batch := p.Begin(manyMaxPages)
	addMany(batch, "y")
	markIndeterminate(p, batch)
	p.SetLimit(300)
	if p.Begin(3).Fits(3) {
		t.Error("Fits(3) is true for a batch with more than three indeterminate pages, want false")
	}
}

// An empty page is not retired while the outcome of its last write is unknown: the write could be applied after Retire
// has chosen the page.
func TestIndeterminatePageIsNotRetired(t *testing.T) {
	const values = 8
	p := New(60)
	var last PageWrite
	for i := range int32(values) {
		batch := p.Begin(100)
		batch.Add(Entry{Ref{Owner: i}, fmt.Sprintf("v%d", i), []byte(`"a long value that fills a page"`)}, 1, 1000)
		last = batch.Writes()[0]
		p.Commit(last, uint64(i)+1)
	}
	for i := range int32(values) {
		p.Drop(Ref{Owner: i})
	}
	last.Version = values // the version on which a second write of the page is conditional
	p.MarkIndeterminate(last)
	numbers, _ := p.Retire(values)
	if len(numbers) != values-spareEmptyPages-1 || slices.Contains(numbers, last.Number) {
		t.Fatalf("got pages %v retired, want 3 without page %d, which is indeterminate", numbers, last.Number)
	}
}

// A retired page is not written again while its key is being deleted.
func TestRetiredPageIsNotWritten(t *testing.T) {
	const values = 8
	p := New(60)
	add := func(batch *Batch, i int32) {
		batch.Add(Entry{Ref{Owner: i}, fmt.Sprintf("v%d", i), []byte(`"a long value that fills a page"`)}, 100, 10_000)
	}
	batch := p.Begin(100)
	for i := range int32(values) {
		add(batch, i)
	}
	for _, write := range batch.Writes() {
		p.Commit(write, 1)
	}
	for i := range int32(values) {
		p.Drop(Ref{Owner: i})
	}
	retired, _ := p.Retire(values)
	batch = p.Begin(100)
	for i := range int32(values) {
		add(batch, values+i)
	}
	for _, write := range batch.Writes() {
		if slices.Contains(retired, write.Number) {
			t.Errorf("batch writes page %d, which is retired; want other pages only", write.Number)
		}
	}
	if len(retired) == 0 || len(batch.Writes()) != values {
		t.Errorf("got %d pages retired and %d written, want at least 1 and 8", len(retired), len(batch.Writes()))
	}
}

// For a page that can't be decoded, Decode returns the page's number and the cause as shown to operators. A newer
// format and a key without a number have errors of their own types.
func TestUnreadablePagesYieldNumberAndCause(t *testing.T) {
	cases := []struct {
		name, key, value string
		number, values   int
		cause            string
	}{
		{name: "first format", key: "p/@/00007", value: `{"plans":{"a":1,"b":2}}`, number: 7, values: 2},
		{name: "format named", key: "p/@/00007", value: `{"v":1,"plans":{"a":1}}`, number: 7, values: 1},
		{name: "newer format", key: "p/@/00007", value: `{"v":2,"plans":{"a":1}}`, number: 7, cause: "page in format 2"},
		{name: "invalid JSON", key: "p/@/00007", value: `{"plans"`, number: 7, cause: "unexpected end of JSON input"},
		{name: "no number", key: "p/@/x", value: `{"plans":{}}`, cause: `page "p/@/x" has no number`},
		{name: "negative number", key: "p/@/-1", value: `{"plans":{}}`, cause: `page "p/@/-1" has no number`},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			page, err := Decode("p/@/", tc.key, []byte(tc.value), 3)
			cause := ""
			if err != nil {
				cause = err.Error()
			}
			if page.Number != tc.number || len(page.Values) != tc.values || cause != tc.cause {
				t.Errorf("got page %d with %d values, error %q; want the number, values and cause of the case",
					page.Number, len(page.Values), cause)
			}
			var newer *rollout.NewerFormatError
			var badKey *KeyError
			isNewer, isBadKey := errors.As(err, &newer), errors.As(err, &badKey)
			if isNewer != strings.Contains(tc.cause, "in format") || isBadKey != strings.Contains(tc.cause, "no number") {
				t.Errorf("got error of type %T for %q, want the type of the cause", err, tc.cause)
			}
		})
	}
}
