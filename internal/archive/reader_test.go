package archive

import (
	"encoding/json"
	"errors"
	"testing"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// fakeStore is a Store with some keys.
type fakeStore struct {
	items map[string]store.Item
	reads int
	err   error
}

func (s *fakeStore) Get(key string, _ store.Priority, done func(store.Item, error)) {
	s.reads++
	item := s.items[key]
	item.Key = key
	done(item, s.err)
}

// find calls Find on a Reader whose Store answers at once.
func find(r *Reader, id string) (answer Answer, found bool, err error) {
	r.Find(id, store.QueryPriority, func(a Answer, isFound bool, e error) {
		answer, found, err = a, isFound, e
	})
	return answer, found, err
}

// mustFind fails the test if there is no answer that can be read.
func mustFind(t *testing.T, r *Reader, id string) Answer {
	t.Helper()
	answer, found, err := find(r, id)
	if !found || err != nil {
		t.Errorf("%s: %v, %v, %v", id, answer, found, err)
	}
	return answer
}

// An answer is read once; absence and failure are not cached, and the cache is bounded.
func TestReaderCachesAnswersOnly(t *testing.T) {
	client := &fakeStore{items: map[string]store.Item{}}
	r := NewReader(client, 2)
	unreadable := 0
	r.Unreadable = func(string, json.RawMessage, error) { unreadable++ }
	for range 2 {
		if _, found, err := find(r, "req-1"); found || err != nil {
			t.Errorf("an absent answer: %v, %v", found, err)
		}
	}
	for _, id := range []string{"req-1", "req-2", "req-3"} {
		raw := Encode(Answer{State: jobs.Done, Tasks: 3, Done: 3})
		client.items[Key(id)] = store.Item{Value: raw, Version: 5}
	}

	client.reads = 0
	for range 3 {
		if answer := mustFind(t, r, "req-1"); answer.Tasks != 3 {
			t.Errorf("%v", answer)
		}
	}
	if client.reads != 1 {
		t.Errorf("%d reads of an answer that never changes", client.reads)
	}
	for _, id := range []string{"req-2", "req-3"} {
		mustFind(t, r, id)
		if r.CacheLen() != 2 {
			t.Errorf("%d answers are cached after %s, and the bound is 2", r.CacheLen(), id)
		}
	}

	client.items[Key("req-9")] = store.Item{Value: json.RawMessage(`{"v":9}`), Version: 6}
	if _, found, err := find(r, "req-9"); found || !errors.Is(err, ErrUnreadable) || unreadable != 1 {
		t.Errorf("an unreadable answer: %v, %v, reported %d times", found, err, unreadable)
	}
	client.err = errors.New("no answer")
	if _, found, err := find(r, "req-7"); found || err == nil {
		t.Errorf("a failed read: %v, %v", found, err)
	}
}
