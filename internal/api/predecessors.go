package api

import (
	"slices"
	"time"

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
	if !s.isBlockedCertain(now, spec.ID) {
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

// readPredecessor searches a predecessor that isn't in memory and continues the check.
func (s *Service) readPredecessor(check *predecessorCheck, id string) {
	check.reads++
	if check.reads > maxPredecessorReads || !s.Store.CanWrite(0, store.NormalPriority) {
		check.reply(stateServiceOverloaded)
		return
	}
	s.find(id, store.NormalPriority, func(result searchResult) {
		switch result.kind {
		case inTable:
			check.settle(id, result.job.State)
		case inArchive:
			check.settle(id, result.answer.State)
		case neverAccepted:
			check.reply(s.refuseUnknownPredecessor(id))
			return
		default:
			check.reply(result.refusal)
			return
		}
		s.continueCheck(s.Store.Now(), check)
	})
}

// refuseUnknownPredecessor returns the refusal of a submission that names a job of which neither record nor answer is
// stored.
func (s *Service) refuseUnknownPredecessor(id string) Reply {
	if s.isBeingSubmitted(id) {
		return Refuse(Unavailable, "it isn't known yet whether "+id+" is accepted")
	}
	return Refuse(Unprocessable, "follows names "+id+", which was never accepted")
}

// isBeingSubmitted reports whether a submission of the job waits here to be stored, or for the outcome of its write.
func (s *Service) isBeingSubmitted(id string) bool {
	isOfJob := func(submission pendingSubmission) bool { return submission.spec.ID == id }
	return slices.ContainsFunc(s.submissions, isOfJob) || slices.ContainsFunc(s.batchInFlight, isOfJob)
}

// replyWithJob replies to a query or a submission with a job of the job table that is up to date.
func (s *Service) replyWithJob(job *jobs.Job, withCounts bool, reply func(Reply)) {
	waits := job.Blocked && !job.State.Terminal()
	switch {
	case waits && job.Doomed:
		// It will be cancelled, since a job before it is. Until that is durable another controller could still answer
		// that it waits, so the cancellation is written first.
		s.tryCancel(cancellation{id: job.ID, withCounts: withCounts, retriesLeft: maxCancelRetries, reply: reply})
	case waits && !s.isBlockedCertain(s.Store.Now(), job.ID):
		reply(stateServiceUnavailable)
	default:
		reply(s.jobReply(job, withCounts))
	}
}

// isBlockedCertain reports whether this controller may answer that a blocked job waits.
func (s *Service) isBlockedCertain(now time.Duration, id string) bool {
	return s.IsBlockedCertain == nil || s.IsBlockedCertain(now, id)
}
