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
	// The limits of a batch in the model.
	modelMaxPages = 6
	modelMaxBytes = 2000
)

// storedValue is the value and version of a page's key in the simulated state service.
type storedValue struct {
	raw     []byte
	version uint64
}

// pageStore is a simulated state service that contains only pages.
type pageStore struct {
	revision uint64
	keys     map[int]storedValue // stored values by page number
}

// apply applies all writes of a transaction if every page has the expected version, and otherwise none. It reports
// whether the writes were applied.
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

// read returns all stored pages, and for each name the value of the page with the highest version, as a reader does.
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
				t.Fatalf("%s is in two pages of one transaction, want one", name)
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

// refOf returns the ref of a value whose name is "v" and a number.
func refOf(name string) (ref Ref) {
	_, _ = fmt.Sscanf(name, "v%d", &ref.Owner)
	return ref
}

// delivery is how the request and the response of a write are delivered.
type delivery int

const (
	responseReceived delivery = iota // the write is applied if its conditions hold; the outcome is known
	requestLost                      // the write is applied late or never; the outcome is unknown
	responseLost                     // the write is applied if its conditions hold; the outcome is unknown
)

// pagesModel compares the stored pages with a map of the values written.
type pagesModel struct {
	limit         int
	store         pageStore
	pages         *Pages
	durable       map[string]string          // value of each name that was last known to be written
	indeterminate map[string]map[string]bool // values of each name whose writes have an unknown outcome
	dropped       map[string]bool            // names whose value was dropped
	everStored    map[string]bool            // names of which a value was stored at some time
	delayed       [][]PageWrite              // writes that may still be applied
	writes        int
}

func newPagesModel(limit int) *pagesModel {
	return &pagesModel{
		limit:         limit,
		store:         pageStore{keys: map[int]storedValue{}},
		pages:         New(limit),
		durable:       map[string]string{},
		indeterminate: map[string]map[string]bool{},
		dropped:       map[string]bool{},
		everStored:    map[string]bool{},
	}
}

// write writes new values in one batch, up to the batch's limits.
func (m *pagesModel) write(t *rapid.T, names []string, delivery delivery) {
	t.Helper()
	batch := m.pages.Begin(100)
	values := m.addNewValues(batch, names)
	writes := batch.Writes()
	if len(writes) > modelMaxPages {
		t.Fatalf("got %d pages in a batch, want at most 6", len(writes))
	}
	applied := delivery != requestLost && m.store.apply(writes)
	if delivery == requestLost && len(writes) > 0 {
		m.delayed = append(m.delayed, writes)
	}
	if delivery == responseReceived && applied {
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
		if m.indeterminate[name] == nil {
			m.indeterminate[name] = map[string]bool{}
		}
		m.indeterminate[name][raw] = true
	}
}

// addNewValues adds a new value for each name to a batch until the batch is full, and returns the values added.
func (m *pagesModel) addNewValues(batch *Batch, names []string) map[string]string {
	values := map[string]string{}
	for _, name := range names {
		if m.dropped[name] {
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
		delete(m.indeterminate, name)
	}
}

// resolve reads each page of a transaction whose outcome is unknown or a conflict, and reports the result to the
// pages.
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

// drop drops values. It does nothing while an outcome is unknown, as callers must not drop values then.
func (m *pagesModel) drop(names []string) {
	if m.pages.HasIndeterminate() {
		return
	}
	for _, name := range names {
		m.dropped[name] = true
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
			t.Fatalf("version of page %d to be deleted differs from the stored one, want the same", number)
		}
		delete(m.store.keys, number)
	}
	m.pages.ConfirmRetired()
}

// changeOwner replaces the pages by a new owner's, read from the store. Late writes of the former owner fail on its
// lease from now on.
func (m *pagesModel) changeOwner(t *rapid.T) {
	t.Helper()
	m.delayed = nil
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
			if newest[name] == page.Version && !m.dropped[name] {
				live = append(live, Entry{refOf(name), name, raw})
			}
		}
		m.pages.Load(page.Number, page.Version, live)
	}
	maps.Copy(m.durable, values)
	clear(m.indeterminate)
}

// check compares the values that a reader gets with those written. Each must be the value last known to be written, or
// a value whose write has an unknown outcome.
func (m *pagesModel) check(t *rapid.T) {
	t.Helper()
	values, _ := m.store.read(t)
	for name := range m.everStored {
		if values[name] == "" && !m.dropped[name] {
			t.Fatalf("%s was stored before and is missing now, want a value", name)
		}
	}
	for name := range values {
		m.everStored[name] = true
	}
	for name, want := range m.durable {
		if !m.dropped[name] && values[name] != want && !m.indeterminate[name][values[name]] {
			t.Fatalf("got %s = %s, want the value last written, %s", name, values[name], want)
		}
	}
}

// resolveAll writes until every outcome is known. Then it writes each value again whose last write has an unknown
// outcome.
func (m *pagesModel) resolveAll(t *rapid.T) {
	t.Helper()
	for m.pages.HasIndeterminate() {
		m.write(t, nil, responseReceived)
	}
	for _, writes := range m.delayed { // each of these writes fails now, or writes only dead values
		m.store.apply(writes)
	}
	unknown := slices.Collect(maps.Keys(m.indeterminate))
	for names := range slices.Chunk(unknown, 4) {
		m.write(t, names, responseReceived)
	}
}

func drawNames(t *rapid.T) (names []string) {
	for _, number := range rapid.SliceOfNDistinct(rapid.IntRange(0, 30), 0, 12, rapid.ID).Draw(t, "names") {
		names = append(names, fmt.Sprintf("v%02d", number))
	}
	return names
}

// Values are written and dropped. Some writes fail, are applied late or lose their response, and new owners read all
// pages again. A reader gets the value last known to be written, or a value whose write has an unknown outcome. Once
// writes succeed again, a reader gets exactly the last value.
func TestPagesKeepTheLastValue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newPagesModel(100 + 20*rapid.IntRange(0, 20).Draw(t, "limit"))
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2, 3:
				m.write(t, drawNames(t), responseReceived)
			case 4, 5:
				m.write(t, drawNames(t), delivery(rapid.IntRange(int(requestLost), int(responseLost)).Draw(t, "delivery")))
			case 6: // a write whose request was lost is applied late
				if len(m.delayed) > 0 {
					m.store.apply(m.delayed[rapid.IntRange(0, len(m.delayed)-1).Draw(t, "delayed")])
				}
			case 7:
				m.drop(drawNames(t))
			case 8:
				m.retire(t)
			case 9:
				m.changeOwner(t)
			}
			m.check(t)
		}
		m.resolveAll(t)
		m.check(t)
	})
}
