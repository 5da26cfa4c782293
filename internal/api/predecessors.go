package api

import (
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// maxPredecessorReads bounds the reads for the predecessors of one submission. The reads are sequential, and the user
// waits five seconds. A submission that needs more reads is refused until the watch has delivered the missing
// records.
const maxPredecessorReads = 100

// predecessorCheck determines the states of a submission's predecessors. It drops those that are done: a final state
// never changes, so the stored job needn't wait for them.
type predecessorCheck struct {
	spec         *jobs.Spec
	reply        func(Reply)
	unchecked    []string
	unfinished   []string // accepted predecessors that are not known to be done
	anyCancelled bool     // a predecessor is cancelled, so the job is stored as cancelled
	reads        int      // number of predecessors that were read
}

// checkPredecessors stores a job if all its predecessors have been accepted. A job with a predecessor that was never
// accepted can never run. Only a read proves that a predecessor was never accepted, because any controller may have
// just accepted it.
func (s *Service) checkPredecessors(now time.Duration, spec *jobs.Spec, reply func(Reply)) {
	if s.AcceptsDependencies == nil || !s.AcceptsDependencies() {
		reply(Refuse(Unavailable, "not every controller supports jobs with predecessors yet"))
		return
	}
	if !s.canReportBlocked(now, spec.ID) {
		reply(stateServiceUnavailable)
		return
	}
	s.continueCheck(now, &predecessorCheck{spec: spec, reply: reply, unchecked: spec.Follows})
}

// continueCheck checks predecessors until one has to be read. Once all are checked, it queues the job to be stored.
func (s *Service) continueCheck(now time.Duration, check *predecessorCheck) {
	for len(check.unchecked) > 0 {
		id := check.unchecked[0]
		state, known := s.stateInMemory(id)
		if !known {
			s.readPredecessor(check, id)
			return
		}
		check.resolveNext(id, state)
	}
	check.spec.Follows = check.unfinished
	state := jobs.Pending
	if check.anyCancelled {
		state = jobs.Cancelled
	}
	s.submitInState(now, state, check.spec, check.reply)
}

// resolveNext records the state of the next unchecked predecessor.
func (c *predecessorCheck) resolveNext(id string, state jobs.State) {
	c.unchecked = c.unchecked[1:]
	switch state {
	case jobs.Pending:
		c.unfinished = append(c.unfinished, id)
	case jobs.Cancelled:
		c.anyCancelled = true
	}
}

// stateInMemory returns the state of an accepted job if the job is in memory. A pending job may have ended since; the
// dependency graph handles that once the change arrives.
func (s *Service) stateInMemory(id string) (state jobs.State, known bool) {
	if job := s.Jobs.Get(id); job != nil {
		return job.State, true
	}
	entry, ok := s.Archive.Cached(id)
	return entry.State, ok
}

// readPredecessor searches for a predecessor that isn't in memory and continues the check.
func (s *Service) readPredecessor(check *predecessorCheck, id string) {
	check.reads++
	if check.reads > maxPredecessorReads || !s.Store.CanWrite(0, store.NormalPriority) {
		check.reply(stateServiceOverloaded)
		return
	}
	s.findJob(id, store.NormalPriority, func(result searchResult) {
		switch result.kind {
		case inTable:
			check.resolveNext(id, result.job.State)
		case inArchive:
			check.resolveNext(id, result.answer.State)
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

// refuseUnknownPredecessor returns the refusal of a submission with a predecessor that has neither a record nor an
// archived answer.
func (s *Service) refuseUnknownPredecessor(id string) Reply {
	if s.isBeingSubmitted(id) {
		return Refuse(Unavailable, "follows names "+id+", whose submission is not complete yet")
	}
	return Refuse(Unprocessable, "follows names "+id+", which was never accepted")
}

// isBeingSubmitted reports whether a submission of the job is queued on this controller or its write is in flight.
func (s *Service) isBeingSubmitted(id string) bool {
	hasID := func(submission pendingSubmission) bool { return submission.spec.ID == id }
	return slices.ContainsFunc(s.submissions, hasID) || slices.ContainsFunc(s.batchInFlight, hasID)
}

// replyWithJob replies to a status query or a submission with the state of a job whose job table entry is up to date.
func (s *Service) replyWithJob(job *jobs.Job, withCounts bool, reply func(Reply)) {
	blocked := job.Blocked && !job.State.Terminal()
	switch {
	case blocked && job.CancelPending:
		// The job will be cancelled, because a job before it is cancelled. Until its cancellation is durable, another
		// controller could still reply that it is pending, so the cancellation is written first.
		s.tryCancel(cancellation{id: job.ID, withCounts: withCounts, retriesLeft: maxCancelRetries, reply: reply})
	case blocked && !s.canReportBlocked(s.Store.Now(), job.ID):
		reply(stateServiceUnavailable)
	default:
		reply(s.jobReply(job, withCounts))
	}
}

// canReportBlocked reports whether this controller may reply that a blocked job is pending.
func (s *Service) canReportBlocked(now time.Duration, id string) bool {
	return s.CanReportBlocked == nil || s.CanReportBlocked(now, id)
}
