package archive

import (
	"encoding/json"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/harewalk/harewalk/internal/store"
)

// Store is what a Reader needs of the state service's client.
type Store interface {
	Get(key string, class store.Priority, done func(store.Item, error))
}

// Reader finds answers. What it has found it keeps in a cache of bounded size: an answer never changes, so nothing in
// the cache is ever out of date, and what isn't in the cache means nothing.
type Reader struct {
	store Store
	cache *lru.Cache[string, Answer]
	// Unreadable and Readable are told of stored answers that can't be read, and of those that can; nil for nobody.
	Unreadable func(key string, raw json.RawMessage, cause error)
	Readable   func(key string)
}

// NewReader makes a reader that keeps at most size answers in memory.
func NewReader(s Store, size int) *Reader {
	cache, err := lru.New[string, Answer](max(1, size))
	if err != nil {
		panic(err) // only a size below 1 is refused
	}
	return &Reader{store: s, cache: cache}
}

// Cached gives an answer that is in the cache.
func (r *Reader) Cached(id string) (Answer, bool) { return r.cache.Get(id) }

// Remember keeps an answer that is durable.
func (r *Reader) Remember(id string, answer Answer) { r.cache.Add(id, answer) }

// CacheLen is how many answers are in memory.
func (r *Reader) CacheLen() int { return r.cache.Len() }

// Find reads a job's answer. found is false if there was none when the state service carried out the read; that says
// that the job was never accepted only if its record was seen to be absent before.
func (r *Reader) Find(id string, class store.Priority, done func(answer Answer, found bool, err error)) {
	if answer, ok := r.Cached(id); ok {
		done(answer, true, nil)
		return
	}
	r.store.Get(Key(id), class, func(item store.Item, err error) {
		if err != nil || item.Version == 0 {
			done(Answer{}, false, err)
			return
		}
		answer, err := Decode(item.Value)
		if err != nil {
			if r.Unreadable != nil {
				r.Unreadable(item.Key, item.Value, err)
			}
			done(Answer{}, false, err)
			return
		}
		if r.Readable != nil {
			r.Readable(item.Key)
		}
		r.Remember(id, answer)
		done(answer, true, nil)
	})
}
