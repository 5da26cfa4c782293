package api

import (
	"time"

	"github.com/harewalk/harewalk/internal/archive"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// submitOverhead is more than what a submission takes in a transaction beside its record: its key and conditions.
const submitOverhead = 180

type pendingSubmission struct {
	spec  *jobs.Spec
	raw   []byte
	reply func(Reply)
}

// Submit takes a parsed submission.
func (n *Service) Submit(now time.Duration, spec *jobs.Spec, reply func(Reply)) {
	if n.draining {
		reply(Refuse(Unavailable, "this controller is being drained: ask another"))
		return
	}
	if !n.fit(reply) {
		return
	}
	if !n.Ready() {
		reply(Refuse(Unavailable, "still reading the jobs"))
		return
	}
	if r, ok := n.final(spec.ID, false); ok {
		reply(r)
		return
	}
	if n.Jobs.Get(spec.ID) != nil {
		n.queueCheck(now, statusQuery{id: spec.ID, reply: reply, submit: true})
		return
	}
	switch v := n.Admit(spec); {
	case !v.Known:
		reply(Refuse(Unavailable, v.Why))
		return
	case !v.OK:
		// A count of licences falls, or a machine type comes, while this job's record is on its way here
		// from the controller that took it; or the job was accepted under other settings and is archived. Only a
		// read tells a refusal from a repetition.
		if n.stateLost(now) || !n.Store.CanWrite(0, store.NormalPriority) {
			reply(noStateReply)
			return
		}
		n.reread(spec.ID, reply, false, Refuse(Unprocessable, v.Why))
		return
	}
	if n.stateLost(now) {
		reply(noStateReply)
		return
	}
	raw := jobs.EncodeRecord(jobs.Pending, n.Jobs.WallMS(now), spec.Tasks, spec)
	if len(raw) > n.MaxValue {
		reply(Refuse(Unprocessable, "the job's description is larger than what can be stored of a job"))
		return
	}
	if len(raw) > n.limits().MaxValueBytes {
		reply(Refuse(Unavailable, "the state service takes no value as large as the job's description now"))
		return
	}
	// Every job is taken for itself; together they must fit the leader's memory.
	if live := n.Jobs.LiveTasks(); live > 0 && live+spec.Tasks > n.MaxTasks {
		reply(Refuse(TooManyRequests, "too many unfinished tasks"))
		return
	}
	n.enqueue(now, pendingSubmission{spec, raw, reply})
}

// enqueue lets a submission wait to be stored, if there is room.
func (n *Service) enqueue(now time.Duration, s pendingSubmission) {
	if len(n.submissions) >= maxSubmits || n.bytes+len(s.raw) > n.MaxBytes {
		s.reply(n.later(now, "too many submissions"))
		return
	}
	n.submissions, n.bytes = append(n.submissions, s), n.bytes+len(s.raw)
	n.flush(now)
}

// flush writes all waiting submissions in one transaction; those that come meanwhile form
// the next.
func (n *Service) flush(now time.Duration) {
	if n.submitInFlight || len(n.submissions) == 0 {
		return
	}
	size, k := 200, 0
	seen := map[string]bool{}
	for k < len(n.submissions) && k < n.limits().MaxOps {
		s := n.submissions[k]
		if size += len(s.raw) + submitOverhead; size > 60<<10 || seen[s.spec.ID] {
			break
		}
		seen[s.spec.ID] = true
		k++
	}
	if !n.Store.CanWrite(k, store.NormalPriority) {
		if k = 1; !n.Store.CanWrite(k, store.NormalPriority) {
			for _, s := range n.submissions {
				s.reply(n.later(now, "the state service is at its limit"))
			}
			n.submissions, n.bytes = nil, 0
			return
		}
	}
	batch := append([]pendingSubmission(nil), n.submissions[:k]...)
	n.submissions = n.submissions[k:]
	txn := store.Txn{}
	for _, s := range batch {
		n.bytes -= len(s.raw)
		key := jobs.RecordKey(s.spec.ID)
		// Should this land after the job was accepted elsewhere, has ended and was archived, it makes nothing.
		txn.If = append(txn.If, store.Condition{Key: key}, archive.Absent(s.spec.ID))
		txn.Then = append(txn.Then, store.Op{Put: key, Value: s.raw})
	}
	txn.If = n.guarded(txn.If...)
	n.submitInFlight = true
	n.Store.Txn(txn, store.NormalPriority, func(result store.Result) {
		n.submitInFlight = false
		n.submitted(n.Store.Now(), batch, result)
		n.flush(n.Store.Now())
	})
}

func (n *Service) submitted(now time.Duration, batch []pendingSubmission, result store.Result) {
	failed := map[string]bool{}
	for _, k := range result.FailedKeys {
		failed[k] = true
	}
	for _, s := range batch {
		key := jobs.RecordKey(s.spec.ID)
		switch result.Outcome {
		case store.Committed:
			n.OnJobRecord(now, store.Item{Key: key, Value: s.raw, Version: result.Revision})
			n.accepted(s)
		case store.Conflict:
			if failed[key] || failed[archive.Key(s.spec.ID)] {
				n.reread(s.spec.ID, s.reply, false, notStored)
			} else if n.LevelCondition != nil && failed[n.LevelCondition().Key] {
				s.reply(Refuse(Unavailable, "the cluster's level has just changed"))
			} else {
				n.enqueue(now, s)
			}
		case store.Indeterminate:
			// It may have been stored: only a read can tell. If it was not, it may yet
			// be; then the user's retry finds it.
			n.reread(s.spec.ID, s.reply, false, notStored)
		default:
			s.reply(Refuse(Unavailable, "the state service did not take the job"))
		}
	}
}

// accepted answers a submission whose record is durable. Others may have read the record, users may have cancelled the
// job, and it may even be over, before the answer of the state service came: the newest that is known goes out.
func (n *Service) accepted(s pendingSubmission) {
	switch job := n.Jobs.Get(s.spec.ID); {
	case job == nil:
		n.reread(s.spec.ID, s.reply, false, notStored)
	case job.State.Terminal():
		s.reply(n.show(job, false))
	default:
		s.reply(Reply{Status: 201, Body: view{ID: s.spec.ID, Stance: "pending"}})
	}
}
