package api

import (
	"errors"

	"github.com/harewalk/harewalk/internal/archive"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// This file finds out what has become of a job where the table of jobs doesn't tell: its record is read first and its
// archived answer second. A job only ever moves from the one to the other, so one that was accepted before the first
// read is found by one of the two.

// Answers about a job that can't be told more of.
var (
	noSuchJob = Refuse(NotFound, "no such job")
	// notStored is the answer to a submission whose record is not there: it may come yet.
	notStored    = Refuse(Unavailable, "the job was not stored")
	unreadable   = Refuse(Unavailable, "the job's record cannot be read")
	noStateReply = Refuse(Unavailable, "the state service does not answer")
)

// final gives the answer about a job that is known to have ended; it never changes, so no read is needed.
func (n *Service) final(id string, full bool) (Reply, bool) {
	if job := n.Jobs.Get(id); job != nil {
		if !job.State.Terminal() {
			return Reply{}, false
		}
		return n.show(job, full), true
	}
	answer, ok := n.Archive.Cached(id)
	return showArchived(id, answer, full), ok
}

// settled answers what needs no read: an id that is none, a controller that can't answer, a job that has ended. It is
// false if it has answered nothing.
func (n *Service) settled(id string, full bool, reply func(Reply)) bool {
	if !jobs.ValidID(id) {
		reply(noSuchJob)
		return true
	}
	if !n.fit(reply) {
		return true
	}
	if !n.Ready() {
		reply(Refuse(Unavailable, "still reading the jobs"))
		return true
	}
	r, ok := n.final(id, full)
	if ok {
		reply(r)
	}
	return ok
}

// showArchived tells an archived job's answer.
func showArchived(id string, answer archive.Answer, full bool) Reply {
	v := view{ID: id, Stance: answer.State.String()}
	if full {
		running := 0
		v.Done, v.Running = &answer.Done, &running
	}
	return Reply{Status: 200, Body: v}
}

// classOf is how urgent a read is: questions are asked again soon.
func classOf(full bool) store.Priority {
	if full {
		return store.QueryPriority
	}
	return store.NormalPriority
}

// reread answers from a fresh read of a job's record, or of its archived answer, with absent if there is neither.
func (n *Service) reread(id string, reply func(Reply), full bool, absent Reply) {
	accepted := func(job *jobs.Job) { reply(n.show(job, full)) }
	n.Store.Get(jobs.RecordKey(id), classOf(full), func(item store.Item, err error) {
		if err != nil {
			reply(noStateReply)
			return
		}
		if item.Version == 0 {
			n.archived(id, reply, full, absent, accepted)
			return
		}
		n.OnJobRecord(n.Store.Now(), item)
		switch job := n.Jobs.Get(id); {
		case n.Jobs.IsUnreadable(id):
			reply(unreadable)
		case job != nil:
			reply(n.show(job, full))
		default:
			// The followed keys have already seen this record go: it was moved after it was read.
			n.archived(id, reply, full, notStored, accepted)
		}
	})
}

// archived answers from a job's archived answer, after its record was seen to be absent; accepted goes on with a job that
// was accepted since then.
func (n *Service) archived(id string, reply func(Reply), full bool, absent Reply, accepted func(*jobs.Job)) {
	n.Archive.Find(id, classOf(full), func(answer archive.Answer, found bool, err error) {
		switch job := n.Jobs.Get(id); {
		case errors.Is(err, archive.ErrUnreadable):
			reply(unreadable)
		case err != nil:
			reply(noStateReply)
		case found:
			reply(showArchived(id, answer, full))
		case job != nil:
			accepted(job)
		default:
			reply(absent)
		}
	})
}
