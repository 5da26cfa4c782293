package pages

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/harewalk/harewalk/internal/rollout"
)

// Many small values that change one at a time share few pages, and each batch is one or two writes.
func TestSmallValuesShareFewWrites(t *testing.T) {
	p := New(6 << 10)
	writes := 0
	for round := range 200 {
		batch := p.Begin(100)
		for i := range 20 {
			ref := Ref{Owner: int32((round*37 + i*11) % 1000)}
			value := []byte(`{"term":3,"done":"AA==","on":["i-000123"],"runs":[1,0]}`)
			if !batch.Add(Entry{ref, fmt.Sprintf("req-%06d/000", ref.Owner), value}, 20, 60<<10) {
				t.Fatal("no room")
			}
		}
		for _, write := range batch.Writes() {
			writes++
			p.Commit(write, uint64(round)+1)
			if len(write.Value) > 7<<10 {
				t.Fatalf("a page of %d bytes", len(write.Value))
			}
		}
	}
	t.Logf("4,000 values in %d writes, %d live in %d pages", writes, len(p.pageOf), len(p.pages))
	if writes > 300 || len(p.pages) > 40 {
		t.Fatalf("%d writes, %d pages", writes, len(p.pages))
	}
}

// A write that creates a page has no known outcome; the page is written again and becomes empty. Its key stays: if it
// were deleted, the first write would be applied and bring back a value that changed long ago.
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
		t.Fatalf("pages %v are retired, page %d may be created late", numbers, first.Number)
	}
}

const (
	manyValues   = 30
	manyMaxPages = 8
	manyMaxBytes = 60 << 10
)

// addMany adds many values of a letter to a batch, as far as it has room.
func addMany(batch *Batch, letter string) (added int) {
	for i := range int32(manyValues) {
		value := []byte(`"` + strings.Repeat(letter, 90) + `"`)
		if batch.Add(Entry{Ref{Owner: i}, fmt.Sprintf("job-%02d", i), value}, manyMaxPages, manyMaxBytes) {
			added++
		}
	}
	return added
}

// manyStored returns pages with many values, all of them committed.
func manyStored(t *testing.T) *Pages {
	t.Helper()
	p := New(2000)
	batch := p.Begin(manyMaxPages)
	if addMany(batch, "x") != manyValues {
		t.Fatal("no room")
	}
	for i, write := range batch.Writes() {
		p.Commit(write, uint64(i+1))
	}
	return p
}

// markIndeterminate leaves the outcome of all writes of a batch unknown.
func markIndeterminate(p *Pages, batch *Batch) {
	for _, write := range batch.Writes() {
		p.MarkIndeterminate(write)
	}
}

// The limit of a page shrinks while pages that hold more are indeterminate: the next batch includes them all, and
// what is beyond the limit moves to other pages.
func TestIndeterminatePagesAreSplitWhenTheLimitShrinks(t *testing.T) {
	p := manyStored(t)
	batch := p.Begin(manyMaxPages)
	batch.Add(Entry{Ref{Owner: 0}, "job-00", []byte(`"y"`)}, manyMaxPages, manyMaxBytes)
	markIndeterminate(p, batch)
	p.SetLimit(700)
	batch = p.Begin(manyMaxPages)
	if !batch.Fits(manyMaxPages) {
		t.Fatal("what fits in eight pages doesn't")
	}
	seen := map[string]bool{}
	indeterminate := 0
	for _, write := range batch.Writes() {
		if len(write.Value) > 700 {
			t.Errorf("page %d takes %d bytes", write.Number, len(write.Value))
		}
		if write.page.indeterminate {
			indeterminate++
		}
		for _, entry := range write.entries {
			if seen[entry.Name] {
				t.Errorf("%s is on two pages of one batch", entry.Name)
			}
			seen[entry.Name] = true
		}
		p.Commit(write, 50)
	}
	if indeterminate == 0 || p.HasIndeterminate() {
		t.Errorf("%d pages of the batch were indeterminate; still some: %v", indeterminate, p.HasIndeterminate())
	}
	for i := range int32(manyValues) {
		if p.pageOf[Ref{Owner: i}] == nil {
			t.Errorf("value %d is lost", i)
		}
	}
}

// More pages are indeterminate than a batch may have: the batch reports that it doesn't fit.
func TestBatchWithTooManyIndeterminatePagesDoesNotFit(t *testing.T) {
	p := manyStored(t)
	batch := p.Begin(manyMaxPages)
	addMany(batch, "y")
	markIndeterminate(p, batch)
	p.SetLimit(300)
	if p.Begin(3).Fits(3) {
		t.Error("a batch of more than three pages fits in three")
	}
}

// An empty page whose last write has no known outcome is not retired: the write could be applied after the deletion
// was decided on.
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
	last.Version = values // of a second write of the page
	p.MarkIndeterminate(last)
	numbers, _ := p.Retire(values)
	if len(numbers) != values-spareEmptyPages-1 || slices.Contains(numbers, last.Number) {
		t.Fatalf("pages %v are retired, the outcome of page %d is unknown", numbers, last.Number)
	}
}

// A page whose key is being deleted is not written any more.
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
			t.Errorf("page %d is written while its key is being deleted", write.Number)
		}
	}
	if len(retired) == 0 || len(batch.Writes()) != values {
		t.Errorf("%d pages retired, %d written", len(retired), len(batch.Writes()))
	}
}

// A page that can't be decoded still yields its number, and the cause as operators read it, with a type of its own
// where the caller can tell it.
func TestUnreadablePagesYieldNumberAndCause(t *testing.T) {
	cases := []struct {
		name, key, value string
		number, values   int
		cause            string
	}{
		{name: "first format", key: "p/@/00007", value: `{"plans":{"a":1,"b":2}}`, number: 7, values: 2},
		{name: "format named", key: "p/@/00007", value: `{"v":1,"plans":{"a":1}}`, number: 7, values: 1},
		{name: "newer format", key: "p/@/00007", value: `{"v":2,"plans":{"a":1}}`, number: 7, cause: "page in format 2"},
		{name: "no JSON", key: "p/@/00007", value: `{"plans"`, number: 7, cause: "unexpected end of JSON input"},
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
				t.Errorf("page %d with %d values, error %q", page.Number, len(page.Values), cause)
			}
			var newer *rollout.NewerFormatError
			var badKey *KeyError
			isNewer, isBadKey := errors.As(err, &newer), errors.As(err, &badKey)
			if isNewer != strings.Contains(tc.cause, "in format") || isBadKey != strings.Contains(tc.cause, "no number") {
				t.Errorf("error of type %T for %q", err, tc.cause)
			}
		})
	}
}
