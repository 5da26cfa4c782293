package archive

import (
	"encoding/json"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// Store is the part of the state service's client that a Reader uses.
type Store interface {
	// Get reads one key; a missing key has version 0.
	Get(key string, class store.Priority, done func(store.Item, error))
}

// Reader reads archive entries. It keeps entries that it has read in a cache of bounded size. An entry never changes,
// so the cache is never stale. The absence of an entry is not cached.
type Reader struct {
	store Store
	cache *lru.Cache[string, Entry]
	// OnUnreadable is called for each stored entry that can't be decoded, OnReadable for each that was decoded. Either may
	// be nil.
	OnUnreadable func(key string, raw json.RawMessage, cause error)
	OnReadable   func(key string)
}

// NewReader returns a Reader that caches up to size entries. A size below 1 is taken as 1.
func NewReader(client Store, size int) *Reader {
	cache, err := lru.New[string, Entry](max(1, size))
	if err != nil {
		panic(err) // cannot happen: lru.New fails only for a size below 1
	}
	return &Reader{store: client, cache: cache}
}

// Cached returns a job's entry if it is in the cache.
func (r *Reader) Cached(id string) (Entry, bool) { return r.cache.Get(id) }

// Remember adds an entry to the cache. The entry must be durable.
func (r *Reader) Remember(id string, entry Entry) { r.cache.Add(id, entry) }

// CacheLen returns the number of entries in the cache.
func (r *Reader) CacheLen() int { return r.cache.Len() }

// Find reads a job's archive entry and passes it to done, before it returns if the entry is cached. found is false if
// the entry didn't exist when the state service processed the read. That proves that the job was not accepted only if
// its record was found absent before. err wraps ErrUnreadable if the entry exists but can't be decoded. Any other
// error is that of the read.
func (r *Reader) Find(id string, class store.Priority, done func(entry Entry, found bool, err error)) {
	if entry, ok := r.Cached(id); ok {
		done(entry, true, nil)
		return
	}
	r.store.Get(Key(id), class, func(item store.Item, err error) {
		if err != nil || item.Version == 0 {
			done(Entry{}, false, err)
			return
		}
		entry, err := r.decode(item)
		if err != nil {
			done(Entry{}, false, err)
			return
		}
		r.Remember(id, entry)
		done(entry, true, nil)
	})
}

// Location is the result of Reader.Locate.
type Location struct {
	Record   store.Item // the job's record; version 0 if there is none
	Entry    Entry      // archive entry, if Archived is set
	Archived bool
}

// Absent reports whether neither a record nor an archive entry was found: the job wasn't accepted before the search
// began.
func (l Location) Absent() bool { return l.Record.Version == 0 && !l.Archived }

// Locate reads a job's record first. If there is none, it reads the job's archive entry second. It passes the result
// to done, with an error as described at Find.
func (r *Reader) Locate(id string, class store.Priority, done func(found Location, err error)) {
	r.store.Get(jobs.RecordKey(id), class, func(record store.Item, err error) {
		if err != nil || record.Version != 0 {
			done(Location{Record: record}, err)
			return
		}
		r.Find(id, class, func(entry Entry, archived bool, err error) {
			done(Location{Entry: entry, Archived: archived}, err)
		})
	})
}

// decode decodes a stored entry and calls OnUnreadable or OnReadable.
func (r *Reader) decode(item store.Item) (Entry, error) {
	entry, err := Decode(item.Value)
	switch {
	case err != nil && r.OnUnreadable != nil:
		r.OnUnreadable(item.Key, item.Value, err)
	case err == nil && r.OnReadable != nil:
		r.OnReadable(item.Key)
	}
	return entry, err
}
