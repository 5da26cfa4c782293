package api

import (
	"errors"

	"github.com/harewalk/harewalk/internal/archive"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// lookup finds a job that the job table doesn't settle: its record is read first and its archived answer second. A
// job only ever moves from the one to the other, so one that was accepted before the first read is found by one of
// the two.
type lookup struct {
	id         string
	withCounts bool  // the reply carries the counts of tasks: it answers a status query
	absent     Reply // sent if there is neither record nor archived answer
	reply      func(Reply)
}

// priority is that of the lookup's reads. Clients repeat status queries soon, so these come after all others.
func (l lookup) priority() store.Priority {
	if l.withCounts {
		return store.QueryPriority
	}
	return store.NormalPriority
}

// finalReply returns the reply about a job that is in memory and has ended. That never changes, so no read is
// needed.
func (s *Service) finalReply(id string, withCounts bool) (reply Reply, ended bool) {
	if job := s.Jobs.Get(id); job != nil {
		if !job.State.Terminal() {
			return Reply{}, false
		}
		return s.jobReply(job, withCounts), true
	}
	answer, ok := s.Archive.Cached(id)
	if !ok {
		return Reply{}, false
	}
	return archivedReply(id, answer, withCounts), true
}

// replyWithoutRead returns the reply to a query or cancellation that needs no read: the id is invalid, this
// controller can't answer, or the job has ended.
func (s *Service) replyWithoutRead(id string, withCounts bool) (reply Reply, ok bool) {
	if !jobs.ValidID(id) {
		return noSuchJob, true
	}
	if refusal, refused := s.refuseUnlessReady(); refused {
		return refusal, true
	}
	return s.finalReply(id, withCounts)
}

// searchResult is what a search for a job has found: one of a job of the job table, an archived answer, the proof that
// there is neither, or why that can't be told.
type searchResult struct {
	job     *jobs.Job
	answer  archive.Answer
	kind    searchResultKind
	refusal Reply
}

// searchResultKind tells which field of a searchResult is set.
type searchResultKind uint8

// The kinds of results.
const (
	inTable       searchResultKind = iota // job
	inArchive                             // answer
	neverAccepted                         // none: it wasn't accepted before the search began
	undecided                             // refusal
)

// foundInTable is the result of a search that has found a job of the job table.
func foundInTable(job *jobs.Job) searchResult { return searchResult{kind: inTable, job: job} }

// refusedSearch is the result of a search that can't tell, with what its users are told.
func refusedSearch(refusal Reply) searchResult {
	return searchResult{kind: undecided, refusal: refusal}
}

// find searches a job by a fresh read of its record, or of its archived answer.
func (s *Service) find(id string, priority store.Priority, done func(searchResult)) {
	s.Archive.Locate(id, priority, func(found archive.Location, err error) {
		if err != nil || found.Record.Version == 0 {
			done(s.searchResultOf(id, found.Answer, found.Archived, err))
			return
		}
		s.OnJobRecord(s.Store.Now(), found.Record)
		switch job := s.Jobs.Get(id); {
		case s.Jobs.IsUnreadable(id):
			done(refusedSearch(unreadableRecord))
		case job != nil:
			done(foundInTable(job))
		default:
			s.findAfterRecord(id, priority, done)
		}
	})
}

// findAfterRecord searches the archive for a job whose record was read although the watch has already delivered its
// deletion: it was archived after it was read.
func (s *Service) findAfterRecord(id string, priority store.Priority, done func(searchResult)) {
	s.findArchived(id, priority, func(result searchResult) {
		if result.kind == neverAccepted {
			result = refusedSearch(notStored)
		}
		done(result)
	})
}

// findArchived searches a job by its archived answer, after its record was read as absent.
func (s *Service) findArchived(id string, priority store.Priority, done func(searchResult)) {
	s.Archive.Find(id, priority, func(answer archive.Answer, archived bool, err error) {
		done(s.searchResultOf(id, answer, archived, err))
	})
}

// searchResultOf returns the result of a search that found no record. A job that was accepted since is in the job
// table.
func (s *Service) searchResultOf(id string, answer archive.Answer, archived bool, err error) searchResult {
	switch job := s.Jobs.Get(id); {
	case errors.Is(err, archive.ErrUnreadable):
		return refusedSearch(unreadableRecord)
	case err != nil:
		return refusedSearch(stateServiceUnavailable)
	case archived:
		return searchResult{kind: inArchive, answer: answer}
	case job != nil:
		return foundInTable(job)
	default:
		return searchResult{kind: neverAccepted}
	}
}

// readAndReply replies from a fresh read of the job's record, or of its archived answer.
func (s *Service) readAndReply(l lookup) {
	s.find(l.id, l.priority(), func(result searchResult) { s.replyWithResult(l, result) })
}

// replyFromArchive replies from a job's archived answer, after its record was read as absent.
func (s *Service) replyFromArchive(l lookup) {
	s.findArchived(l.id, l.priority(), func(result searchResult) { s.replyWithResult(l, result) })
}

// replyWithResult replies to a lookup with what the search for its job has found.
func (s *Service) replyWithResult(l lookup, result searchResult) {
	switch result.kind {
	case inTable:
		s.replyWithJob(result.job, l.withCounts, l.reply)
	case inArchive:
		l.reply(archivedReply(l.id, result.answer, l.withCounts))
	case neverAccepted:
		l.reply(l.absent)
	default:
		l.reply(result.refusal)
	}
}
