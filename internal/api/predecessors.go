package api

import (
	"errors"
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/archive"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// maxPredecessorReads bounds the reads for the predecessors of one submission. They are made one after the other, and
// the user waits five seconds. Once more have to be read, the submission is refused until the watch has brought them.
const maxPredecessorReads = 100

// predecessorCheck finds out, for a submission, what its predecessors are. It drops those that are done: that never
// changes, so the stored job needn't wait for them.
type predecessorCheck struct {
	spec      *jobs.Spec
	reply     func(Reply)
	unchecked []string
	waitFor   []string // accepted, and not known to be done
	cancelled bool     // one of them is cancelled, and so will the job be
	reads     int
}

// checkPredecessors stores a job whose predecessors have all been accepted. One that names an id that was never
// accepted can never run; only a read shows that, as any controller may have accepted it just now.
func (s *Service) checkPredecessors(now time.Duration, spec *jobs.Spec, reply func(Reply)) {
	if s.AcceptsDependencies == nil || !s.AcceptsDependencies() {
		reply(Refuse(Unavailable, "not every controller reads jobs with predecessors yet"))
		return
	}
	if s.IsBlockedCertain != nil && !s.IsBlockedCertain(now, spec.ID) {
		reply(stateServiceUnavailable)
		return
	}
	s.continueCheck(now, &predecessorCheck{spec: spec, reply: reply, unchecked: spec.Follows})
}

// continueCheck checks predecessors until one has to be read or all are settled.
func (s *Service) continueCheck(now time.Duration, check *predecessorCheck) {
	for len(check.unchecked) > 0 {
		id := check.unchecked[0]
		state, known := s.knownState(id)
		if !known {
			s.readPredecessor(check, id)
			return
		}
		check.settle(id, state)
	}
	check.spec.Follows = check.waitFor
	state := jobs.Pending
	if check.cancelled {
		state = jobs.Cancelled
	}
	s.submitInState(now, state, check.spec, check.reply)
}

// settle takes over the state of the next unchecked predecessor.
func (c *predecessorCheck) settle(id string, state jobs.State) {
	c.unchecked = c.unchecked[1:]
	switch state {
	case jobs.Pending:
		c.waitFor = append(c.waitFor, id)
	case jobs.Cancelled:
		c.cancelled = true
	}
}

// knownState returns the state of an accepted job as far as it is in memory. A pending one may have ended since: the
// dependency graph learns that.
func (s *Service) knownState(id string) (state jobs.State, known bool) {
	if job := s.Jobs.Get(id); job != nil {
		return job.State, true
	}
	answer, ok := s.Archive.Cached(id)
	return answer.State, ok
}

// readPredecessor reads a job's record first and its archived answer second, and continues the check.
func (s *Service) readPredecessor(check *predecessorCheck, id string) {
	check.reads++
	if check.reads > maxPredecessorReads || !s.Store.CanWrite(0, store.NormalPriority) {
		check.reply(stateServiceOverloaded)
		return
	}
	s.Store.Get(jobs.RecordKey(id), store.NormalPriority, func(item store.Item, err error) {
		if err != nil {
			check.reply(stateServiceUnavailable)
			return
		}
		if item.Version != 0 {
			s.OnJobRecord(s.Store.Now(), item)
		}
		if _, known := s.knownState(id); known {
			s.continueCheck(s.Store.Now(), check)
			return
		}
		s.findArchivedPredecessor(check, id, item.Version == 0)
	})
}

// findArchivedPredecessor continues the check with a job's archived answer. absent is whether its record was read as
// absent before: if there is no answer either, the job was never accepted.
func (s *Service) findArchivedPredecessor(check *predecessorCheck, id string, absent bool) {
	s.Archive.Find(id, store.NormalPriority, func(answer archive.Answer, found bool, err error) {
		_, known := s.knownState(id)
		switch {
		case errors.Is(err, archive.ErrUnreadable):
			check.reply(unreadableRecord)
		case err != nil:
			check.reply(stateServiceUnavailable)
		case found:
			check.settle(id, answer.State)
			s.continueCheck(s.Store.Now(), check)
		case known:
			s.continueCheck(s.Store.Now(), check)
		case absent && !s.isBeingSubmitted(id):
			check.reply(Refuse(Unprocessable, "follows names "+id+", which was never accepted"))
		default:
			check.reply(Refuse(Unavailable, "it isn't known yet whether "+id+" is accepted"))
		}
	})
}

// isBeingSubmitted reports whether a submission of the job waits here to be stored, or for the outcome of its write.
func (s *Service) isBeingSubmitted(id string) bool {
	isOfJob := func(submission pendingSubmission) bool { return submission.spec.ID == id }
	return slices.ContainsFunc(s.submissions, isOfJob) || slices.ContainsFunc(s.batchInFlight, isOfJob)
}

// replyWithJob replies to a query or a submission with a job of the job table that is up to date.
func (s *Service) replyWithJob(job *jobs.Job, withCounts bool, reply func(Reply)) {
	switch {
	case job.State.Terminal() || !job.Blocked:
		reply(s.jobReply(job, withCounts))
	case job.Doomed:
		// It will be cancelled, since a job before it is. Until that is durable another controller could still answer
		// that it waits, so the cancellation is written first.
		s.tryCancel(cancellation{id: job.ID, withCounts: withCounts, retriesLeft: maxCancelRetries, reply: reply})
	case s.IsBlockedCertain != nil && !s.IsBlockedCertain(s.Store.Now(), job.ID):
		reply(stateServiceUnavailable)
	default:
		reply(s.jobReply(job, withCounts))
	}
}
