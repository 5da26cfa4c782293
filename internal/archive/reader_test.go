package archive

import (
	"encoding/json"
	"errors"
	"testing"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// fakeStore is a Store in memory that counts reads.
type fakeStore struct {
	items map[string]store.Item
	reads int
	err   error // result of every read, if not nil
}

func (s *fakeStore) Get(key string, _ store.Priority, done func(store.Item, error)) {
	s.reads++
	item := s.items[key]
	item.Key = key
	done(item, s.err)
}

// find calls Find and returns its result. The Store of the Reader must respond before Get returns.
func find(r *Reader, id string) (entry Entry, found bool, err error) {
	r.Find(id, store.QueryPriority, func(a Entry, isFound bool, e error) {
		entry, found, err = a, isFound, e
	})
	return entry, found, err
}

// mustFind returns a job's archive entry. The test fails if the entry isn't found.
func mustFind(t *testing.T, r *Reader, id string) Entry {
	t.Helper()
	entry, found, err := find(r, id)
	if !found || err != nil {
		t.Errorf("Find(%s) = %v, found %v, error %v; want an entry", id, entry, found, err)
	}
	return entry
}

// An existing entry is read once and then cached. Absent entries and failed reads are not cached, and the cache is
// bounded.
func TestReaderCachesOnlyFoundEntries(t *testing.T) {
	client := &fakeStore{items: map[string]store.Item{}}
	r := NewReader(client, 2)
	unreadable := 0
	r.OnUnreadable = func(string, json.RawMessage, error) { unreadable++ }
	for range 2 {
		if _, found, err := find(r, "req-1"); found || err != nil {
			t.Errorf("absent entry: found %v, error %v; want neither", found, err)
		}
	}
	for _, id := range []string{"req-1", "req-2", "req-3"} {
		raw := Encode(Entry{State: jobs.Done, Tasks: 3, Done: 3})
		client.items[Key(id)] = store.Item{Value: raw, Version: 5}
	}

	client.reads = 0
	for range 3 {
		if entry := mustFind(t, r, "req-1"); entry.Tasks != 3 {
			t.Errorf("entry %v, want 3 tasks", entry)
		}
	}
	if client.reads != 1 {
		t.Errorf("%d reads of one entry, want 1", client.reads)
	}
	for _, id := range []string{"req-2", "req-3"} {
		mustFind(t, r, id)
		if r.CacheLen() != 2 {
			t.Errorf("%d entries cached after reading %s, want 2", r.CacheLen(), id)
		}
	}

	client.items[Key("req-9")] = store.Item{Value: json.RawMessage(`{"v":9}`), Version: 6}
	if _, found, err := find(r, "req-9"); found || !errors.Is(err, ErrUnreadable) || unreadable != 1 {
		t.Errorf("unreadable entry: found %v, error %v, OnUnreadable called %d times; want ErrUnreadable and one call",
			found, err, unreadable)
	}
	client.err = errors.New("no response")
	if _, found, err := find(r, "req-7"); found || err == nil {
		t.Errorf("failed read: found %v, error %v; want the error of the read", found, err)
	}
}
