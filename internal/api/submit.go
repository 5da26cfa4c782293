package api

import (
	"net/http"
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/archive"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// Upper bounds of the size of a transaction without the records of its submissions.
const (
	submitTxnOverheadBytes = 200
	// submissionOverheadBytes is for the key and the conditions of each submission.
	submissionOverheadBytes = 180
)

// pendingSubmission is a submission that waits to be stored.
type pendingSubmission struct {
	spec   *jobs.Spec
	record []byte
	reply  func(Reply)
}

// Submit stores a new job and replies once its record is durable. A repeated submission gets the job's current state.
// The service owns spec after the call.
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
		s.enqueueQuery(now, statusQuery{lookup: lookup{id: spec.ID, replyIfAbsent: notStored, reply: reply}})
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

// submitInState queues a job to be stored in the given state. The job can run, and all its predecessors were checked.
func (s *Service) submitInState(now time.Duration, state jobs.State, spec *jobs.Spec, reply func(Reply)) {
	record := jobs.EncodeRecord(state, s.Jobs.WallMS(now), spec.Tasks, spec)
	if refusal, refused := s.refuseOversized(spec, record); refused {
		reply(refusal)
		return
	}
	s.enqueueSubmission(now, pendingSubmission{spec: spec, record: record, reply: reply})
}

// admit reports whether a job can run and can be stored now. If not, it replies to the submission.
func (s *Service) admit(now time.Duration, spec *jobs.Spec, reply func(Reply)) bool {
	result := s.Admit(spec)
	if !result.Decided {
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
	// The job may have been accepted before. Another controller may have accepted it before the number of licences
	// fell or while a machine type was added, and its record hasn't arrived here yet; or it was accepted under other
	// settings and has been archived since. Only a read distinguishes a rejection from a repeated submission.
	if s.stateServiceSilent(now) || !s.Store.CanWrite(0, store.NormalPriority) {
		reply(stateServiceUnavailable)
		return false
	}
	s.readAndReply(lookup{id: spec.ID, replyIfAbsent: Refuse(Unprocessable, result.Reason), reply: reply})
	return false
}

// refuseOversized returns the refusal of a job whose record is too large to be stored, or whose tasks and
// predecessors, together with those of all other jobs, exceed what a leader keeps in memory.
func (s *Service) refuseOversized(spec *jobs.Spec, record []byte) (refusal Reply, refused bool) {
	if len(record) > s.MaxRecordBytes {
		return Refuse(Unprocessable, "the job's description exceeds the maximum size of a job record"), true
	}
	if len(record) > s.limits().MaxValueBytes {
		return Refuse(Unavailable, "the job's description exceeds the state service's current size limit"), true
	}
	// While no other job is unfinished, a job of any size is accepted.
	liveTasksAndEdges := s.Jobs.LiveTasks() + s.dependencyEdges()
	if liveTasksAndEdges > 0 && liveTasksAndEdges+spec.Tasks+len(spec.Follows) > s.MaxTasks {
		return Refuse(TooManyRequests, "too many unfinished tasks"), true
	}
	return Reply{}, false
}

// dependencyEdges returns the total number of predecessors of all unfinished jobs.
func (s *Service) dependencyEdges() int {
	if s.DependencyEdges == nil {
		return 0
	}
	return s.DependencyEdges()
}

// enqueueSubmission queues a submission to be stored, or refuses it if the queue is full.
func (s *Service) enqueueSubmission(now time.Duration, submission pendingSubmission) {
	if len(s.submissions) >= maxWaitingSubmissions || s.submissionBytes+len(submission.record) > s.MaxQueuedBytes {
		submission.reply(s.refuseSubmission(now, "too many submissions"))
		return
	}
	s.submissions = append(s.submissions, submission)
	s.submissionBytes += len(submission.record)
	s.storeSubmissions(now)
}

// storeSubmissions writes the waiting submissions in one transaction, as many as fit in it. Submissions that arrive
// while it is in flight are written by the next transaction.
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

// submissionsThatFit returns how many waiting submissions fit in one transaction, which never contains a job twice.
func (s *Service) submissionsThatFit() int {
	count := 0
	totalBytes := submitTxnOverheadBytes
	inTxn := map[string]bool{}
	for count < len(s.submissions) && count < s.limits().MaxOps {
		submission := s.submissions[count]
		totalBytes += len(submission.record) + submissionOverheadBytes
		if totalBytes > maxTxnBytes || inTxn[submission.spec.ID] {
			break
		}
		inTxn[submission.spec.ID] = true
		count++
	}
	return count
}

// refuseAllSubmissions refuses all waiting submissions, because the write budget is exhausted.
func (s *Service) refuseAllSubmissions(now time.Duration) {
	for _, submission := range s.submissions {
		submission.reply(s.refuseSubmission(now, "the state service is at its limit"))
	}
	s.submissions = nil
	s.submissionBytes = 0
}

// dequeueSubmissions removes the first count submissions from the queue and returns them. The result is never nil.
func (s *Service) dequeueSubmissions(count int) []pendingSubmission {
	batch := slices.Clone(s.submissions[:count])
	s.submissions = s.submissions[count:]
	for _, submission := range batch {
		s.submissionBytes -= len(submission.record)
	}
	return batch
}

// submissionTxn returns the transaction that stores a batch of new jobs.
func (s *Service) submissionTxn(batch []pendingSubmission) store.Txn {
	txn := store.Txn{}
	for _, submission := range batch {
		id := submission.spec.ID
		key := jobs.RecordKey(id)
		// A delayed write must not recreate a job that was accepted elsewhere, has ended and was archived.
		txn.If = append(txn.If, store.Condition{Key: key}, archive.AbsentCondition(id))
		txn.Then = append(txn.Then, store.Op{Put: key, Value: submission.record})
	}
	txn.If = s.withLevelCondition(txn.If...)
	return txn
}

// replyToSubmissions replies to the submissions of a batch according to the outcome of its transaction, or queues
// them again.
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
			// Only a read shows whether the job was stored. If it wasn't, the write may still be applied later; then
			// the client's retry finds the job.
			s.readAndReplyToSubmission(submission)
		default:
			submission.reply(Refuse(Unavailable, "the state service did not take the job"))
		}
	}
}

// resolveConflict handles a submission whose transaction wasn't applied because the conditions on the failed keys
// didn't hold. If none of these keys concerns the submission, it is queued again.
func (s *Service) resolveConflict(now time.Duration, submission pendingSubmission, failed map[string]bool) {
	id := submission.spec.ID
	switch {
	case failed[jobs.RecordKey(id)] || failed[archive.Key(id)]:
		s.readAndReplyToSubmission(submission)
	case s.LevelCondition != nil && failed[s.LevelCondition().Key]:
		submission.reply(Refuse(Unavailable, "the cluster's level has just changed"))
	default:
		s.enqueueSubmission(now, submission)
	}
}

// replyAccepted replies to a submission whose record is durable. Before the state service's response arrived, other
// controllers may have read the record, and the job may have been cancelled or have ended. The reply has the newest
// state in the job table.
func (s *Service) replyAccepted(submission pendingSubmission) {
	id := submission.spec.ID
	switch job := s.Jobs.Get(id); {
	case job == nil:
		s.readAndReplyToSubmission(submission)
	case job.State.Terminal() || job.CancelPending:
		s.replyWithJob(job, false, submission.reply)
	default:
		submission.reply(Reply{Status: http.StatusCreated, Body: jobBody{ID: id, State: jobs.Pending.String()}})
	}
}

// readAndReplyToSubmission replies to a submission from a fresh read.
func (s *Service) readAndReplyToSubmission(submission pendingSubmission) {
	s.readAndReply(lookup{id: submission.spec.ID, replyIfAbsent: notStored, reply: submission.reply})
}
