package api

import (
	"time"

	"github.com/harewalk/harewalk/internal/access"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// Abort cancels a job. The answer is given once that is durable.
func (n *Service) Abort(now time.Duration, id string, reply func(Reply)) {
	n.AbortBy(now, nil, id, reply)
}

// AbortBy cancels a job for a user, who must be one of its team; nil is anybody.
func (n *Service) AbortBy(now time.Duration, w *access.Who, id string, reply func(Reply)) {
	if n.settled(id, false, reply) {
		return
	}
	if n.stateLost(now) {
		reply(noStateReply)
		return
	}
	n.abort(w, id, reply, 4)
}

func (n *Service) abort(w *access.Who, id string, reply func(Reply), tries int) {
	job := n.Jobs.Get(id)
	if job != nil && job.State.Terminal() {
		reply(n.show(job, false))
		return
	}
	if job != nil && w != nil && !w.May(job.Spec.Team) {
		reply(Refuse(Forbidden, w.Name+" may not cancel jobs of team "+job.Spec.Team))
		return
	}
	again := func() {
		n.Store.Get(jobs.RecordKey(id), store.NormalPriority, func(item store.Item, err error) {
			switch {
			case err != nil || tries == 0:
				reply(noStateReply)
			case item.Version == 0:
				n.archived(id, reply, false, noSuchJob, func(*jobs.Job) { n.abort(w, id, reply, tries-1) })
			default:
				n.OnJobRecord(n.Store.Now(), item)
				if n.Jobs.IsUnreadable(id) {
					reply(unreadable)
					return
				}
				n.abort(w, id, reply, tries-1)
			}
		})
	}
	if job == nil {
		again()
		return
	}
	key := jobs.RecordKey(id)
	raw := jobs.EncodeRecord(jobs.Cancelled, n.Jobs.WallMS(job.SubmittedAt), job.TaskCount, job.Spec)
	n.Store.Txn(store.Txn{If: n.guarded(store.Condition{Key: key, Version: job.Version}), Then: []store.Op{{Put: key, Value: raw}}},
		store.NormalPriority, func(result store.Result) {
			switch result.Outcome {
			case store.Committed:
				n.OnJobRecord(n.Store.Now(), store.Item{Key: key, Value: raw, Version: result.Revision})
				if r, ok := n.final(id, false); ok {
					reply(r)
					return
				}
				n.reread(id, reply, false, notStored) // archived before this answer came
			case store.Conflict, store.Indeterminate:
				if tries == 0 {
					reply(Refuse(Unavailable, "the job keeps changing"))
					return
				}
				again()
			default:
				reply(Refuse(Unavailable, "the state service did not take it"))
			}
		})
}
