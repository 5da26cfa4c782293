package api

import (
	"time"

	"github.com/harewalk/harewalk/internal/access"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// maxCancelRetries bounds how often a cancellation is retried after a new read of the job's record.
const maxCancelRetries = 4

// cancellation is a cancellation in progress.
type cancellation struct {
	id          string
	user        *access.Identity // nil if no user is authenticated: every team's jobs may be cancelled
	withCounts  bool             // the reply has the task counts, because a status query started the cancellation
	retriesLeft int
	reply       func(Reply)
}

// Cancel cancels a job and replies once the cancellation is durable. It refuses a user who may not act for the job's
// team. A nil user, on a controller without user tokens, may cancel every job.
func (s *Service) Cancel(now time.Duration, user *access.Identity, id string, reply func(Reply)) {
	if immediate, ok := s.replyWithoutRead(id, false); ok {
		reply(immediate)
		return
	}
	if s.stateServiceSilent(now) {
		reply(stateServiceUnavailable)
		return
	}
	s.tryCancel(cancellation{id: id, user: user, retriesLeft: maxCancelRetries, reply: reply})
}

// tryCancel writes the cancellation if the job is in the job table; otherwise it reads the job's record first.
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
		s.writeCancellation(c, job)
	}
}

// readAndCancel reads the job's record and retries the cancellation.
func (s *Service) readAndCancel(c cancellation) {
	s.Store.Get(jobs.RecordKey(c.id), store.NormalPriority, func(item store.Item, err error) {
		if err != nil || c.retriesLeft == 0 {
			c.reply(stateServiceUnavailable)
			return
		}
		c.retriesLeft--
		if item.Version == 0 {
			s.replyArchivedOrRetryCancel(c)
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

// replyArchivedOrRetryCancel replies with the job's archived final state. If the job was accepted in the meantime, it
// retries the cancellation.
func (s *Service) replyArchivedOrRetryCancel(c cancellation) {
	archiveLookup := lookup{id: c.id, withCounts: c.withCounts, replyIfAbsent: noSuchJob, reply: c.reply}
	s.findArchived(c.id, archiveLookup.priority(), func(result searchResult) {
		if result.kind == inTable {
			s.tryCancel(c)
			return
		}
		s.replyWithResult(archiveLookup, result)
	})
}

// writeCancellation stores the job's record as cancelled, on condition that the record hasn't changed.
func (s *Service) writeCancellation(c cancellation, job *jobs.Job) {
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
				c.reply(Refuse(Unavailable, "the job's record kept changing during the cancellation"))
				return
			}
			s.readAndCancel(c)
		default:
			c.reply(Refuse(Unavailable, "the state service did not take it"))
		}
	})
}

// replyCancelled replies to a cancellation that is durable. If the job was archived before the write's response
// arrived, the archived answer is read.
func (s *Service) replyCancelled(c cancellation) {
	if final, ok := s.finalReply(c.id, c.withCounts); ok {
		c.reply(final)
		return
	}
	s.readAndReply(lookup{id: c.id, withCounts: c.withCounts, replyIfAbsent: notStored, reply: c.reply})
}
