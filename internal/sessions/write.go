package sessions

import (
	"encoding/json"
	"time"

	"github.com/harewalk/harewalk/internal/store"
)

// recordWrite is a write of a session's record that is in flight.
type recordWrite struct {
	session         *session
	record          Record
	raw             json.RawMessage
	previousVersion uint64
	done            func(now time.Duration, ok bool)
}

// reread is a scheduled read of a record, to determine the outcome of a write.
type reread struct {
	at    time.Duration
	write *recordWrite
}

// write stores a session's record and calls done with whether the record is durable. Until then writePending blocks all
// other decisions about the session.
func (m *Manager) write(s *session, record Record, done func(now time.Duration, ok bool)) {
	write := &recordWrite{
		session:         s,
		record:          record,
		raw:             record.encode(),
		previousVersion: s.version,
		done:            done,
	}
	s.writePending = true
	m.Commit(write.txn(write.raw), func(result store.Result) {
		switch result.Outcome {
		case store.Committed:
			m.finishWrite(write, result.Revision)
		case store.NotApplied, store.LeaseExpired:
			m.failWrite(write)
		default:
			m.resolveWrite(write)
		}
	})
}

// txn returns a transaction that stores a record if the stored version is still previousVersion.
func (w *recordWrite) txn(raw json.RawMessage) store.Txn {
	key := Key(w.session.id)
	return store.Txn{
		If:   []store.Condition{{Key: key, Version: w.previousVersion}},
		Then: []store.Op{{Put: key, Value: raw}},
	}
}

func (m *Manager) finishWrite(write *recordWrite, version uint64) {
	write.session.record = write.record
	write.session.version = version
	m.endWrite(write, true)
}

func (m *Manager) failWrite(write *recordWrite) { m.endWrite(write, false) }

func (m *Manager) endWrite(write *recordWrite, ok bool) {
	s := write.session
	s.writePending = false
	write.done(m.Now(), ok)
	s.runDeferred()
	if m.byID[s.id] == s {
		m.queue.schedule(s, m.Now())
	}
}

// resolveWrite determines the outcome of an indeterminate write. If a read shows the former record, the write may still
// be applied later, and the next leader would then stop a session in use. Therefore the former record is written again:
// its version changes, and the indeterminate write can no longer be applied.
func (m *Manager) resolveWrite(write *recordWrite) {
	s := write.session
	m.Read(Key(s.id), func(item store.Item, err error) {
		switch {
		case err != nil:
			m.scheduleReread(write)
		case item.Version == write.previousVersion:
			m.overwrite(write)
		case string(item.Value) == string(write.raw):
			m.finishWrite(write, item.Version)
		default:
			s.version = item.Version
			m.failWrite(write)
		}
	})
}

// overwrite writes the former record again, so that an indeterminate write can no longer be applied.
func (m *Manager) overwrite(write *recordWrite) {
	s := write.session
	m.Commit(write.txn(s.record.encode()), func(result store.Result) {
		if result.Outcome != store.Committed {
			m.scheduleReread(write)
			return
		}
		s.version = result.Revision
		m.failWrite(write)
	})
}

func (m *Manager) scheduleReread(write *recordWrite) {
	m.rereads = append(m.rereads, reread{at: m.Now() + rereadDelay, write: write})
}

// runAfterWrite calls a function at once, or, if a write is in flight, after its outcome is determined.
func (s *session) runAfterWrite(f func()) {
	if s.writePending {
		s.afterWrite = append(s.afterWrite, f)
		return
	}
	f()
}

// runDeferred calls the functions that runAfterWrite has deferred.
func (s *session) runDeferred() {
	deferred := s.afterWrite
	s.afterWrite = nil
	for _, f := range deferred {
		f()
	}
}

// deleteRecord deletes the record of a session whose job has ended, and then removes the session.
func (m *Manager) deleteRecord(s *session) {
	s.writePending = true
	txn := store.Txn{Then: []store.Op{{Delete: Key(s.id)}}}
	m.Commit(txn, func(result store.Result) {
		s.writePending = false
		if result.Outcome == store.Committed {
			m.remove(m.Now(), s)
		} else {
			m.queue.schedule(s, m.Now()+writeRetryDelay)
		}
		s.runDeferred() // replies to requests that arrived during the deletion
	})
}
