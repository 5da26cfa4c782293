package pages

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

const (
	modelPrefix = "p/@/"
	// A batch of the model has at most this many pages and bytes.
	modelMaxPages = 6
	modelMaxBytes = 2000
)

// storedValue is what the simulated state service has under a page's key.
type storedValue struct {
	raw     []byte
	version uint64
}

// pageStore is a simulated state service with nothing but pages, by their numbers.
type pageStore struct {
	revision uint64
	keys     map[int]storedValue
}

// apply carries out a transaction, all of it or nothing, and reports which.
func (s *pageStore) apply(writes []PageWrite) bool {
	for _, write := range writes {
		if s.keys[write.Number].version != write.Version {
			return false
		}
	}
	s.revision++
	for _, write := range writes {
		s.keys[write.Number] = storedValue{write.Value, s.revision}
	}
	return true
}

// read returns the values as a reader has them, of each the one written last, and all pages.
func (s *pageStore) read(t *rapid.T) (values map[string]string, stored []StoredPage) {
	t.Helper()
	values = map[string]string{}
	newest := map[string]uint64{}
	for number, key := range s.keys {
		page := decodePage(t, number, key)
		stored = append(stored, page)
		for name, raw := range page.Values {
			if page.Version > newest[name] {
				newest[name] = page.Version
				values[name] = string(raw)
			} else if page.Version == newest[name] {
				t.Fatalf("%s stands in two pages of one write", name)
			}
		}
	}
	return values, stored
}

func decodePage(t *rapid.T, number int, key storedValue) StoredPage {
	t.Helper()
	page, err := Decode(modelPrefix, Key(modelPrefix, number), key.raw, key.version)
	if err != nil {
		t.Fatal(err)
	}
	return page
}

// refOf returns the ref of a value that is named v and a number.
func refOf(name string) (ref Ref) {
	_, _ = fmt.Sscanf(name, "v%d", &ref.Owner)
	return ref
}

// fate is what happens to a write.
type fate int

const (
	answered   fate = iota // applied if its conditions hold, and the outcome is known
	lost                   // not applied, or late; the outcome is unknown
	unanswered             // applied if its conditions hold, but the outcome is unknown
)

// pagesModel compares pages with a map of what was written.
type pagesModel struct {
	limit   int
	store   pageStore
	pages   *Pages
	durable map[string]string          // the value last known to be written
	maybe   map[string]map[string]bool // values whose writes have no known outcome
	ended   map[string]bool
	seen    map[string]bool // was stored at some time
	late    [][]PageWrite   // writes that may still be applied
	writes  int
}

func newPagesModel(limit int) *pagesModel {
	return &pagesModel{
		limit:   limit,
		store:   pageStore{keys: map[int]storedValue{}},
		pages:   New(limit),
		durable: map[string]string{},
		maybe:   map[string]map[string]bool{},
		ended:   map[string]bool{},
		seen:    map[string]bool{},
	}
}

// write writes new values, as far as a batch has room for them.
func (m *pagesModel) write(t *rapid.T, names []string, fate fate) {
	t.Helper()
	batch := m.pages.Begin(100)
	values := m.addNewValues(batch, names)
	writes := batch.Writes()
	if len(writes) > modelMaxPages {
		t.Fatalf("%d pages in a batch", len(writes))
	}
	applied := fate != lost && m.store.apply(writes)
	if fate == lost && len(writes) > 0 {
		m.late = append(m.late, writes)
	}
	if fate == answered && applied {
		for _, write := range writes {
			m.pages.Commit(write, m.store.revision)
		}
		m.recordDurable(values)
		return
	}
	m.resolve(t, writes)
	if applied {
		m.recordDurable(values)
		return
	}
	for name, raw := range values {
		if m.maybe[name] == nil {
			m.maybe[name] = map[string]bool{}
		}
		m.maybe[name][raw] = true
	}
}

// addNewValues adds a new value for each name to a batch until it is full, and returns them.
func (m *pagesModel) addNewValues(batch *Batch, names []string) map[string]string {
	values := map[string]string{}
	for _, name := range names {
		if m.ended[name] {
			continue
		}
		m.writes++
		raw := fmt.Sprintf(`{"n":%d,"pad":"%0*d"}`, m.writes, int(refOf(name).Owner)%40+1, 7)
		if !batch.Add(Entry{refOf(name), name, []byte(raw)}, modelMaxPages, modelMaxBytes) {
			break
		}
		values[name] = raw
	}
	return values
}

func (m *pagesModel) recordDurable(values map[string]string) {
	for name, raw := range values {
		m.durable[name] = raw
		delete(m.maybe, name)
	}
}

// resolve reads each page of a write again whose outcome is unknown, or was a conflict.
func (m *pagesModel) resolve(t *rapid.T, writes []PageWrite) {
	t.Helper()
	for _, write := range writes {
		switch key := m.store.keys[write.Number]; {
		case key.version == write.Version:
			m.pages.MarkIndeterminate(write)
		case string(key.raw) == string(write.Value):
			m.pages.Commit(write, key.version)
		default:
			var entries []Entry
			for name, raw := range decodePage(t, write.Number, key).Values {
				entries = append(entries, Entry{refOf(name), name, raw})
			}
			m.pages.Reload(write, key.version, entries)
		}
	}
}

// end drops values, which callers do only while every outcome is known.
func (m *pagesModel) end(names []string) {
	if m.pages.HasIndeterminate() {
		return
	}
	for _, name := range names {
		m.ended[name] = true
		m.pages.Drop(refOf(name))
	}
}

// retire deletes the keys of empty pages.
func (m *pagesModel) retire(t *rapid.T) {
	t.Helper()
	numbers, versions := m.pages.Retire(3)
	if len(numbers) == 0 {
		return
	}
	for i, number := range numbers {
		if m.store.keys[number].version != versions[i] {
			t.Fatalf("page %d to be deleted has changed", number)
		}
		delete(m.store.keys, number)
	}
	m.pages.ConfirmRetired()
}

// changeOwner reads everything again. Writes of the former owner fail on its lease from now on.
func (m *pagesModel) changeOwner(t *rapid.T) {
	t.Helper()
	m.late = nil
	values, stored := m.store.read(t)
	newest := map[string]uint64{}
	for _, page := range stored {
		for name := range page.Values {
			newest[name] = max(newest[name], page.Version)
		}
	}
	m.pages = New(m.limit)
	for _, page := range stored {
		var live []Entry
		for name, raw := range page.Values {
			if newest[name] == page.Version && !m.ended[name] {
				live = append(live, Entry{refOf(name), name, raw})
			}
		}
		m.pages.Load(page.Number, page.Version, live)
	}
	maps.Copy(m.durable, values)
	clear(m.maybe)
}

// check compares what a reader has with what was written: the value last known to be written, or one whose write has
// no known outcome.
func (m *pagesModel) check(t *rapid.T) {
	t.Helper()
	values, _ := m.store.read(t)
	for name := range m.seen {
		if values[name] == "" && !m.ended[name] {
			t.Fatalf("%s was stored and is gone", name)
		}
	}
	for name := range values {
		m.seen[name] = true
	}
	for name, want := range m.durable {
		if !m.ended[name] && values[name] != want && !m.maybe[name][values[name]] {
			t.Fatalf("%s is %s, last written %s", name, values[name], want)
		}
	}
}

// settle writes until every outcome is known, and then each value again whose write had none.
func (m *pagesModel) settle(t *rapid.T) {
	t.Helper()
	for m.pages.HasIndeterminate() {
		m.write(t, nil, answered)
	}
	for _, writes := range m.late { // each of them fails by now, or only writes dead values
		m.store.apply(writes)
	}
	unknown := slices.Collect(maps.Keys(m.maybe))
	for names := range slices.Chunk(unknown, 4) {
		m.write(t, names, answered)
	}
}

func drawNames(t *rapid.T) (names []string) {
	for _, number := range rapid.SliceOfNDistinct(rapid.IntRange(0, 30), 0, 12, rapid.ID).Draw(t, "names") {
		names = append(names, fmt.Sprintf("v%02d", number))
	}
	return names
}

// Values change, end and are written, by writes that fail, are applied late or whose answer is lost, and by owners
// that read everything again. A reader has the value last known to be written, or one whose outcome is unknown; once
// writes succeed again, exactly the last.
func TestPagesKeepTheLastValue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newPagesModel(100 + 20*rapid.IntRange(0, 20).Draw(t, "limit"))
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2, 3:
				m.write(t, drawNames(t), answered)
			case 4, 5:
				m.write(t, drawNames(t), fate(rapid.IntRange(int(lost), int(unanswered)).Draw(t, "fate")))
			case 6: // a lost write is applied after all
				if len(m.late) > 0 {
					m.store.apply(m.late[rapid.IntRange(0, len(m.late)-1).Draw(t, "late")])
				}
			case 7:
				m.end(drawNames(t))
			case 8:
				m.retire(t)
			case 9:
				m.changeOwner(t)
			}
			m.check(t)
		}
		m.settle(t)
		m.check(t)
	})
}
