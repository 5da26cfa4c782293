package api

import (
	"net/http"
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/archive"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// Upper bounds of what a transaction takes beside the records of its submissions, in bytes.
const (
	submitTxnOverhead = 200
	// submitOverhead is for each submission: its key and its conditions.
	submitOverhead = 180
)

// pendingSubmission is a submission that waits to be stored.
type pendingSubmission struct {
	spec   *jobs.Spec
	record []byte
	reply  func(Reply)
}

// Submit stores a new job and replies once that is durable. A repeated submission gets the job's present state. The
// service owns the specification from then on.
func (s *Service) Submit(now time.Duration, spec *jobs.Spec, reply func(Reply)) {
	if s.draining {
		reply(Refuse(Unavailable, "this controller is being drained: ask another"))
		return
	}
	if refusal, refused := s.refuseUnlessReady(); refused {
		reply(refusal)
		return
	}
	if final, ok := s.finalReply(spec.ID, false); ok {
		reply(final)
		return
	}
	if s.Jobs.Get(spec.ID) != nil {
		s.enqueueQuery(now, statusQuery{lookup: lookup{id: spec.ID, absent: notStored, reply: reply}})
		return
	}
	if !s.admit(now, spec, reply) {
		return
	}
	if len(spec.Follows) > 0 {
		s.checkPredecessors(now, spec, reply)
		return
	}
	s.submitInState(now, jobs.Pending, spec, reply)
}

// submitInState queues a job that can run and whose predecessors are settled to be stored in a state.
func (s *Service) submitInState(now time.Duration, state jobs.State, spec *jobs.Spec, reply func(Reply)) {
	record := jobs.EncodeRecord(state, s.Jobs.WallMS(now), spec.Tasks, spec)
	if refusal, refused := s.refuseOversized(spec, record); refused {
		reply(refusal)
		return
	}
	s.enqueueSubmission(now, pendingSubmission{spec: spec, record: record, reply: reply})
}

// admit reports whether a job can run and can be stored now, and replies if not.
func (s *Service) admit(now time.Duration, spec *jobs.Spec, reply func(Reply)) bool {
	result := s.Admit(spec)
	if !result.Known {
		reply(Refuse(Unavailable, result.Reason))
		return false
	}
	if result.OK {
		if s.stateServiceSilent(now) {
			reply(stateServiceUnavailable)
			return false
		}
		return true
	}
	// The job may have been accepted all the same: by another controller, before the number of licences fell or
	// while a machine type was added, with its record on its way here; or under other settings, and archived since.
	// Only a read distinguishes a rejection from a repeated submission.
	if s.stateServiceSilent(now) || !s.Store.CanWrite(0, store.NormalPriority) {
		reply(stateServiceUnavailable)
		return false
	}
	s.readAndReply(lookup{id: spec.ID, absent: Refuse(Unprocessable, result.Reason), reply: reply})
	return false
}

// refuseOversized returns the refusal of a job whose record can't be stored, or whose tasks exceed what a leader
// keeps in memory together with those of all other jobs.
func (s *Service) refuseOversized(spec *jobs.Spec, record []byte) (refusal Reply, refused bool) {
	if len(record) > s.MaxValue {
		return Refuse(Unprocessable, "the job's description is larger than what can be stored of a job"), true
	}
	if len(record) > s.limits().MaxValueBytes {
		return Refuse(Unavailable, "the state service takes no value as large as the job's description now"), true
	}
	// A job is accepted whatever its size if it is the only one.
	live := s.Jobs.LiveTasks() + s.dependencies()
	if live > 0 && live+spec.Tasks+len(spec.Follows) > s.MaxTasks {
		return Refuse(TooManyRequests, "too many unfinished tasks"), true
	}
	return Reply{}, false
}

// dependencies returns how many predecessors all unfinished jobs have together.
func (s *Service) dependencies() int {
	if s.Dependencies == nil {
		return 0
	}
	return s.Dependencies()
}

// enqueueSubmission queues a submission to be stored, or refuses it if the queue is full.
func (s *Service) enqueueSubmission(now time.Duration, submission pendingSubmission) {
	if len(s.submissions) >= maxWaitingSubmissions || s.submissionBytes+len(submission.record) > s.MaxBytes {
		submission.reply(s.refuseSubmission(now, "too many submissions"))
		return
	}
	s.submissions = append(s.submissions, submission)
	s.submissionBytes += len(submission.record)
	s.storeSubmissions(now)
}

// storeSubmissions writes the waiting submissions in one transaction, as far as they fit; those that arrive
// meanwhile form the next one.
func (s *Service) storeSubmissions(now time.Duration) {
	if s.batchInFlight != nil || len(s.submissions) == 0 {
		return
	}
	count := s.submissionsThatFit()
	if !s.Store.CanWrite(count, store.NormalPriority) {
		count = 1
		if !s.Store.CanWrite(count, store.NormalPriority) {
			s.refuseAllSubmissions(now)
			return
		}
	}
	batch := s.dequeueSubmissions(count)
	s.batchInFlight = batch
	s.Store.Txn(s.submissionTxn(batch), store.NormalPriority, func(result store.Result) {
		s.batchInFlight = nil
		s.replyToSubmissions(s.Store.Now(), batch, result)
		s.storeSubmissions(s.Store.Now())
	})
}

// submissionsThatFit returns how many waiting submissions fit in one transaction. No job occurs in it twice.
func (s *Service) submissionsThatFit() int {
	count := 0
	size := submitTxnOverhead
	inTxn := map[string]bool{}
	for count < len(s.submissions) && count < s.limits().MaxOps {
		submission := s.submissions[count]
		size += len(submission.record) + submitOverhead
		if size > maxTxnBytes || inTxn[submission.spec.ID] {
			break
		}
		inTxn[submission.spec.ID] = true
		count++
	}
	return count
}

// refuseAllSubmissions empties the queue while the budget for writes is used up.
func (s *Service) refuseAllSubmissions(now time.Duration) {
	for _, submission := range s.submissions {
		submission.reply(s.refuseSubmission(now, "the state service is at its limit"))
	}
	s.submissions = nil
	s.submissionBytes = 0
}

// dequeueSubmissions takes the first count submissions off the queue. The result isn't nil.
func (s *Service) dequeueSubmissions(count int) []pendingSubmission {
	batch := slices.Clone(s.submissions[:count])
	s.submissions = s.submissions[count:]
	for _, submission := range batch {
		s.submissionBytes -= len(submission.record)
	}
	return batch
}

// submissionTxn is the transaction that stores a batch of new jobs.
func (s *Service) submissionTxn(batch []pendingSubmission) store.Txn {
	txn := store.Txn{}
	for _, submission := range batch {
		id := submission.spec.ID
		key := jobs.RecordKey(id)
		// A write that lands late must not bring back a job that was accepted elsewhere, ended and was archived.
		txn.If = append(txn.If, store.Condition{Key: key}, archive.Absent(id))
		txn.Then = append(txn.Then, store.Op{Put: key, Value: submission.record})
	}
	txn.If = s.withLevelCondition(txn.If...)
	return txn
}

// replyToSubmissions replies to a batch whose transaction has an outcome, or queues its submissions again.
func (s *Service) replyToSubmissions(now time.Duration, batch []pendingSubmission, result store.Result) {
	failed := failedKeys(result)
	for _, submission := range batch {
		switch result.Outcome {
		case store.Committed:
			key := jobs.RecordKey(submission.spec.ID)
			s.OnJobRecord(now, store.Item{Key: key, Value: submission.record, Version: result.Revision})
			s.replyAccepted(submission)
		case store.Conflict:
			s.resolveConflict(now, submission, failed)
		case store.Indeterminate:
			// It may have been stored: only a read shows that. If not, it may be stored later; then the client's
			// retry finds it.
			s.readSubmission(submission)
		default:
			submission.reply(Refuse(Unavailable, "the state service did not take the job"))
		}
	}
}

// resolveConflict settles a submission whose transaction changed nothing because conditions on the failed keys
// didn't hold. If none of these concerns the submission, it is queued again.
func (s *Service) resolveConflict(now time.Duration, submission pendingSubmission, failed map[string]bool) {
	id := submission.spec.ID
	switch {
	case failed[jobs.RecordKey(id)] || failed[archive.Key(id)]:
		s.readSubmission(submission)
	case s.LevelCondition != nil && failed[s.LevelCondition().Key]:
		submission.reply(Refuse(Unavailable, "the cluster's level has just changed"))
	default:
		s.enqueueSubmission(now, submission)
	}
}

// replyAccepted replies to a submission whose record is durable. Before the state service's response arrived,
// others may have read the record, and the job may have been cancelled or even ended: the newest known state is
// sent.
func (s *Service) replyAccepted(submission pendingSubmission) {
	id := submission.spec.ID
	switch job := s.Jobs.Get(id); {
	case job == nil:
		s.readSubmission(submission)
	case job.State.Terminal() || job.Doomed:
		s.replyWithJob(job, false, submission.reply)
	default:
		submission.reply(Reply{Status: http.StatusCreated, Body: jobBody{ID: id, State: jobs.Pending.String()}})
	}
}

// readSubmission replies to a submission from a fresh read.
func (s *Service) readSubmission(submission pendingSubmission) {
	s.readAndReply(lookup{id: submission.spec.ID, absent: notStored, reply: submission.reply})
}
