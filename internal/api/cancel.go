package api

import (
	"time"

	"github.com/harewalk/harewalk/internal/access"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// maxCancelRetries bounds how often a cancellation is tried again after the job's record has changed.
const maxCancelRetries = 4

// cancellation is a cancellation in progress.
type cancellation struct {
	id          string
	user        *access.Identity // nil: no user is authenticated, so every team's jobs may be cancelled
	withCounts  bool             // the reply carries the counts of tasks: a status query met a doomed job
	retriesLeft int
	reply       func(Reply)
}

// Cancel cancels a job and replies once that is durable. A user who isn't of the job's team is refused; nil stands
// for a controller without users' tokens, where everybody may cancel.
func (s *Service) Cancel(now time.Duration, user *access.Identity, id string, reply func(Reply)) {
	if settled, ok := s.replyWithoutRead(id, false); ok {
		reply(settled)
		return
	}
	if s.stateServiceSilent(now) {
		reply(stateServiceUnavailable)
		return
	}
	s.tryCancel(cancellation{id: id, user: user, retriesLeft: maxCancelRetries, reply: reply})
}

// tryCancel writes the cancellation if the job's record is in the job table, and reads the record otherwise.
func (s *Service) tryCancel(c cancellation) {
	job := s.Jobs.Get(c.id)
	switch {
	case job == nil:
		s.readAndCancel(c)
	case job.State.Terminal():
		c.reply(s.jobReply(job, c.withCounts))
	case c.user != nil && !c.user.MayActFor(job.Spec.Team):
		c.reply(Refuse(Forbidden, c.user.Name+" may not cancel jobs of team "+job.Spec.Team))
	default:
		s.writeCancelled(c, job)
	}
}

// readAndCancel reads the job's record and tries again.
func (s *Service) readAndCancel(c cancellation) {
	s.Store.Get(jobs.RecordKey(c.id), store.NormalPriority, func(item store.Item, err error) {
		if err != nil || c.retriesLeft == 0 {
			c.reply(stateServiceUnavailable)
			return
		}
		c.retriesLeft--
		if item.Version == 0 {
			s.findArchivedAndCancel(c)
			return
		}
		s.OnJobRecord(s.Store.Now(), item)
		if s.Jobs.IsUnreadable(c.id) {
			c.reply(unreadableRecord)
			return
		}
		s.tryCancel(c)
	})
}

// findArchivedAndCancel replies from the job's archived answer, or tries again if the job was accepted meanwhile.
func (s *Service) findArchivedAndCancel(c cancellation) {
	archived := lookup{id: c.id, withCounts: c.withCounts, absent: noSuchJob, reply: c.reply}
	s.findArchived(c.id, archived.priority(), func(result searchResult) {
		if result.kind == inTable {
			s.tryCancel(c)
			return
		}
		s.replyWithResult(archived, result)
	})
}

// writeCancelled stores the job's record as cancelled, unless the record has changed.
func (s *Service) writeCancelled(c cancellation, job *jobs.Job) {
	key := jobs.RecordKey(c.id)
	record := s.Jobs.CancelledRecord(job)
	txn := store.Txn{
		If:   s.withLevelCondition(store.Condition{Key: key, Version: job.Version}),
		Then: []store.Op{{Put: key, Value: record}},
	}
	s.Store.Txn(txn, store.NormalPriority, func(result store.Result) {
		switch result.Outcome {
		case store.Committed:
			s.OnJobRecord(s.Store.Now(), store.Item{Key: key, Value: record, Version: result.Revision})
			s.replyCancelled(c)
		case store.Conflict, store.Indeterminate:
			if c.retriesLeft == 0 {
				c.reply(Refuse(Unavailable, "the job keeps changing"))
				return
			}
			s.readAndCancel(c)
		default:
			c.reply(Refuse(Unavailable, "the state service did not take it"))
		}
	})
}

// replyCancelled replies to a cancellation that is durable. The job may have been archived before the write's
// response arrived; then its answer is read.
func (s *Service) replyCancelled(c cancellation) {
	if final, ok := s.finalReply(c.id, c.withCounts); ok {
		c.reply(final)
		return
	}
	s.readAndReply(lookup{id: c.id, withCounts: c.withCounts, absent: notStored, reply: c.reply})
}
