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

// readAndReply replies from a fresh read of the job's record, or of its archived answer.
func (s *Service) readAndReply(l lookup) {
	replyAccepted := func(job *jobs.Job) { s.replyWithJob(job, l.withCounts, l.reply) }
	s.Store.Get(jobs.RecordKey(l.id), l.priority(), func(item store.Item, err error) {
		if err != nil {
			l.reply(stateServiceUnavailable)
			return
		}
		if item.Version == 0 {
			s.replyFromArchive(l, replyAccepted)
			return
		}
		s.OnJobRecord(s.Store.Now(), item)
		switch job := s.Jobs.Get(l.id); {
		case s.Jobs.IsUnreadable(l.id):
			l.reply(unreadableRecord)
		case job != nil:
			replyAccepted(job)
		default:
			// The watch has already delivered this record's deletion: it was archived after it was read.
			l.absent = notStored
			s.replyFromArchive(l, replyAccepted)
		}
	})
}

// replyFromArchive replies from a job's archived answer, after its record was read as absent. A job that was
// accepted since that read is passed to onAccepted instead.
func (s *Service) replyFromArchive(l lookup, onAccepted func(*jobs.Job)) {
	s.Archive.Find(l.id, l.priority(), func(answer archive.Answer, found bool, err error) {
		switch job := s.Jobs.Get(l.id); {
		case errors.Is(err, archive.ErrUnreadable):
			l.reply(unreadableRecord)
		case err != nil:
			l.reply(stateServiceUnavailable)
		case found:
			l.reply(archivedReply(l.id, answer, l.withCounts))
		case job != nil:
			onAccepted(job)
		default:
			l.reply(l.absent)
		}
	})
}
