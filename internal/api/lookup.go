package api

import (
	"errors"

	"github.com/harewalk/harewalk/internal/archive"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// lookup searches for a job whose current state the job table doesn't prove. It reads the job's record first and its
// archived answer second. A job only ever moves from its record to the archive, so a job that was accepted before the
// first read is found by one of the two reads.
type lookup struct {
	id            string
	withCounts    bool  // the reply has the task counts, as for a status query
	replyIfAbsent Reply // sent if neither the record nor the archived answer exists
	reply         func(Reply)
}

// priority returns the priority of the lookup's reads. Clients soon repeat status queries, so these come after all
// other requests.
func (l lookup) priority() store.Priority {
	if l.withCounts {
		return store.QueryPriority
	}
	return store.NormalPriority
}

// finalReply returns the reply about a job that has ended and is in memory, in the job table or as a cached answer. A
// final state never changes, so no read is needed.
func (s *Service) finalReply(id string, withCounts bool) (reply Reply, ended bool) {
	if job := s.Jobs.Get(id); job != nil {
		if !job.State.Terminal() {
			return Reply{}, false
		}
		return s.jobReply(job, withCounts), true
	}
	entry, ok := s.Archive.Cached(id)
	if !ok {
		return Reply{}, false
	}
	return archivedReply(id, entry, withCounts), true
}

// replyWithoutRead returns the reply to a status query or cancellation if no read is needed: the id is invalid, this
// controller isn't ready, or the job has ended.
func (s *Service) replyWithoutRead(id string, withCounts bool) (reply Reply, ok bool) {
	if !jobs.ValidID(id) {
		return noSuchJob, true
	}
	if refusal, refused := s.refuseUnlessReady(); refused {
		return refusal, true
	}
	return s.finalReply(id, withCounts)
}

// searchResult is the result of a search for a job: a job of the job table, an archived answer, proof that the job
// was never accepted, or the refusal to send if none of these is certain.
type searchResult struct {
	job     *jobs.Job
	answer  archive.Entry
	kind    searchResultKind
	refusal Reply
}

// searchResultKind tells which field of a searchResult is set.
type searchResultKind uint8

// The kinds of results.
const (
	inTable       searchResultKind = iota // job is set
	inArchive                             // answer is set
	neverAccepted                         // no field is set: the job wasn't accepted before the search began
	undecided                             // refusal is set
)

// inTableResult returns the result of a search that has found a job in the job table.
func inTableResult(job *jobs.Job) searchResult { return searchResult{kind: inTable, job: job} }

// undecidedResult returns the result of a search that couldn't determine whether the job exists. Users get the
// refusal.
func undecidedResult(refusal Reply) searchResult {
	return searchResult{kind: undecided, refusal: refusal}
}

// findJob searches for a job with a fresh read of its record and, if there is none, of its archived answer.
func (s *Service) findJob(id string, priority store.Priority, done func(searchResult)) {
	s.Archive.Locate(id, priority, func(found archive.Location, err error) {
		if err != nil || found.Record.Version == 0 {
			done(s.resultWithoutRecord(id, found.Entry, found.Archived, err))
			return
		}
		s.OnJobRecord(s.Store.Now(), found.Record)
		switch job := s.Jobs.Get(id); {
		case s.Jobs.IsUnreadable(id):
			done(undecidedResult(unreadableRecord))
		case job != nil:
			done(inTableResult(job))
		default:
			s.findArchivedAfterRecordRead(id, priority, done)
		}
	})
}

// findArchivedAfterRecordRead searches the archive for a job whose record was read although the watch has already
// delivered the record's deletion: the job was archived after the read.
func (s *Service) findArchivedAfterRecordRead(id string, priority store.Priority, done func(searchResult)) {
	s.findArchived(id, priority, func(result searchResult) {
		if result.kind == neverAccepted {
			result = undecidedResult(notStored)
		}
		done(result)
	})
}

// findArchived searches for a job's archived answer, after its record was read as absent.
func (s *Service) findArchived(id string, priority store.Priority, done func(searchResult)) {
	s.Archive.Find(id, priority, func(entry archive.Entry, archived bool, err error) {
		done(s.resultWithoutRecord(id, entry, archived, err))
	})
}

// resultWithoutRecord returns the result of a search that found no record. A job that was accepted in the meantime is
// in the job table.
func (s *Service) resultWithoutRecord(id string, entry archive.Entry, archived bool, err error) searchResult {
	switch job := s.Jobs.Get(id); {
	case errors.Is(err, archive.ErrUnreadable):
		return undecidedResult(unreadableRecord)
	case err != nil:
		return undecidedResult(stateServiceUnavailable)
	case archived:
		return searchResult{kind: inArchive, answer: entry}
	case job != nil:
		return inTableResult(job)
	default:
		return searchResult{kind: neverAccepted}
	}
}

// readAndReply replies to a lookup from a fresh read of the job's record or, if there is none, of its archived
// answer.
func (s *Service) readAndReply(l lookup) {
	s.findJob(l.id, l.priority(), func(result searchResult) { s.replyWithResult(l, result) })
}

// replyFromArchive replies to a lookup from the job's archived answer, after its record was read as absent.
func (s *Service) replyFromArchive(l lookup) {
	s.findArchived(l.id, l.priority(), func(result searchResult) { s.replyWithResult(l, result) })
}

// replyWithResult replies to a lookup with the result of its search.
func (s *Service) replyWithResult(l lookup, result searchResult) {
	switch result.kind {
	case inTable:
		s.replyWithJob(result.job, l.withCounts, l.reply)
	case inArchive:
		l.reply(archivedReply(l.id, result.answer, l.withCounts))
	case neverAccepted:
		l.reply(l.replyIfAbsent)
	default:
		l.reply(result.refusal)
	}
}
