package archive

import (
	"encoding/json"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// Store is what a Reader needs of the state service's client.
type Store interface {
	// Get reads one key; a missing key has version 0.
	Get(key string, class store.Priority, done func(store.Item, error))
}

// Reader finds answers. It keeps those it has found in a cache of bounded size: an answer never changes, so nothing
// in the cache is ever out of date. The absence of an answer is not cached.
type Reader struct {
	store Store
	cache *lru.Cache[string, Answer]
	// Unreadable and Readable are called for stored answers that can't be read, and for those that can; nil for no
	// call.
	Unreadable func(key string, raw json.RawMessage, cause error)
	Readable   func(key string)
}

// NewReader returns a Reader that keeps at most size answers in memory, and at least one.
func NewReader(client Store, size int) *Reader {
	cache, err := lru.New[string, Answer](max(1, size))
	if err != nil {
		panic(err) // only a size below 1 is refused
	}
	return &Reader{store: client, cache: cache}
}

// Cached returns an answer that is in the cache.
func (r *Reader) Cached(id string) (Answer, bool) { return r.cache.Get(id) }

// Remember caches an answer that is durable.
func (r *Reader) Remember(id string, answer Answer) { r.cache.Add(id, answer) }

// CacheLen returns how many answers are in memory.
func (r *Reader) CacheLen() int { return r.cache.Len() }

// Find reads a job's answer and passes it to done, at once if it is cached. found is false if there was none when the
// state service carried out the read; that shows that the job was never accepted only if its record was seen to be
// absent before. err wraps ErrUnreadable if there is an answer that can't be read; any other error is the read's.
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
		answer, err := r.decode(item)
		if err != nil {
			done(Answer{}, false, err)
			return
		}
		r.Remember(id, answer)
		done(answer, true, nil)
	})
}

// Location is where a job was found.
type Location struct {
	Record   store.Item // the job's record, with version 0 if there is none
	Answer   Answer     // where Archived is set
	Archived bool
}

// Absent reports whether the job was found nowhere: it wasn't accepted before the search began.
func (l Location) Absent() bool { return l.Record.Version == 0 && !l.Archived }

// Locate reads a job's record first and, where there is none, its answer second, and passes what it found to done. err
// is as of Find.
func (r *Reader) Locate(id string, class store.Priority, done func(found Location, err error)) {
	r.store.Get(jobs.RecordKey(id), class, func(record store.Item, err error) {
		if err != nil || record.Version != 0 {
			done(Location{Record: record}, err)
			return
		}
		r.Find(id, class, func(answer Answer, archived bool, err error) {
			done(Location{Answer: answer, Archived: archived}, err)
		})
	})
}

// decode reads a stored answer and reports whether that was possible.
func (r *Reader) decode(item store.Item) (Answer, error) {
	answer, err := Decode(item.Value)
	switch {
	case err != nil && r.Unreadable != nil:
		r.Unreadable(item.Key, item.Value, err)
	case err == nil && r.Readable != nil:
		r.Readable(item.Key)
	}
	return answer, err
}
