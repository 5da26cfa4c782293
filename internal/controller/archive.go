package controller

import (
	"encoding/json"
	"log/slog"
	"strings"
	"time"

	"github.com/harewalk/harewalk/internal/archive"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/rollout"
	"github.com/harewalk/harewalk/internal/store"
)

// archiveEvery spaces the looks at what may be archived.
const archiveEvery = 100 * time.Millisecond

// newReader makes what finds archived answers.
func (c *Controller) newReader(entries int) *archive.Reader {
	r := archive.NewReader(c.store, entries)
	r.Unreadable = func(key string, raw json.RawMessage, cause error) { c.rollout.MarkUnreadable(key, raw, cause) }
	r.Readable = func(key string) { c.rollout.MarkReadable(key) }
	return r
}

// newMover makes what moves ended jobs into the archive, for a term.
func (c *Controller) newMover() *archive.Mover {
	return archive.NewMover(archive.Env{
		CanWrite:   func(n int) bool { return n <= c.store.Limits().MaxOps && c.store.HasSpareWritesFor(n) },
		Commit:     func(txn store.Txn, done func(store.Result)) { c.commit(txn, store.BulkPriority, done) },
		Now:        c.loop.Now,
		OnArchived: c.archive.reader.Remember,
		TxnOps:     c.settings.Params.State.Limits().MaxOps, WritesPerS: c.settings.Params.State.WriteRPS,
	})
}

// moveEnded archives ended jobs, where the cluster's level has every controller read them.
func (c *Controller) moveEnded(now time.Duration) {
	if c.term.mover == nil || now-c.archive.checkedAt < archiveEvery || c.archive.settings.Unsupported != nil || c.rollout.Level() < rollout.Archived {
		return
	}
	c.archive.checkedAt = now
	c.term.mover.Tick(now, c.backlog(now), func(take func(archive.Candidate) bool) {
		c.jobs.ForEachEnded(now-c.archive.settings.Retain, func(job *jobs.Job) bool {
			if !c.settled(job) {
				return true
			}
			return take(archive.Candidate{ID: job.ID, Version: job.Version, Answer: archive.Answer{State: job.State, Tasks: job.TaskCount, Done: job.FinishedTasks}})
		})
	})
}

// backlog tells whether some ended job has waited for more than twice the time for which it is retained.
func (c *Controller) backlog(now time.Duration) (late bool) {
	c.jobs.ForEachEnded(now-2*c.archive.settings.Retain, func(job *jobs.Job) bool {
		late = c.settled(job)
		return !late
	})
	return late
}

// settled tells whether an ended job can't have a task on any machine, and nothing else stands of it.
func (c *Controller) settled(job *jobs.Job) bool {
	if c.term.sessions != nil && c.term.sessions.Exists(job.ID) {
		return false
	}
	return c.term.fleet.Finalized(job) && !c.jobs.IsUnreadable(job.ID)
}

// recordGone takes over that a job's record has left the followed keys.
func (c *Controller) recordGone(key string, version uint64) {
	id := strings.TrimPrefix(key, jobs.Prefix)
	c.jobs.Archive(id, version)
	if c.term.mover != nil {
		c.term.mover.ForgetConflict(id)
	}
}

// recordsRead takes over a new reading of all followed keys, as far as jobs are concerned.
func (c *Controller) recordsRead(items []store.Item) {
	present := make(map[string]bool, len(items))
	for _, item := range items {
		if strings.HasPrefix(item.Key, jobs.Prefix) {
			present[strings.TrimPrefix(item.Key, jobs.Prefix)] = true
		}
	}
	c.jobs.Retain(c.watchCache.Revision(), func(id string) bool { return present[id] })
}

// ArchiveStatus is what operators are told of the archive.
type ArchiveStatus struct {
	// Moved counts the jobs that this leader has archived in its term, Waiting the ended ones that it holds still.
	Moved   uint64  `json:"moved"`
	Waiting int     `json:"waiting"`
	RetainS float64 `json:"retain_s"`
	State   string  `json:"stance"`
	// Problem says why nothing is archived, "": it is.
	Problem string `json:"problem,omitempty"`
}

// archiveStatus is told by the leader.
func (c *Controller) archiveStatus() ArchiveStatus {
	s := ArchiveStatus{Moved: c.term.mover.Stats.Moved, Waiting: c.jobs.Len() - c.liveJobs(), RetainS: c.archive.settings.Retain.Seconds(), State: c.term.mover.State().String()}
	switch {
	case c.archive.settings.Unsupported != nil:
		s.Problem = c.archive.settings.Unsupported.Error()
	case c.rollout.Level() < rollout.Archived:
		s.Problem = "the cluster's level is below that of the archive: some controller can't read it yet"
	}
	return s
}

// sayArchive logs at the start why nothing will be archived.
func (c *Controller) sayArchive() {
	if c.archive.settings.Unsupported != nil {
		slog.Error("ended jobs are not archived: memory grows with each job", "cause", c.archive.settings.Unsupported)
	}
}

// resetKeys takes a new reading of all followed keys: what it lacks is gone.
func (c *Controller) resetKeys(items []store.Item) {
	c.rollout.HandleReset(items)
	c.membership.HandleReset(c.loop.Now(), items)
	present := make(map[string]bool, len(items))
	for _, item := range items {
		present[item.Key] = true
	}
	c.licencePools.Reset(func(key string) bool { return present[key] })
	c.drains.machines.Reset(c.watchCache.Revision(), func(key string) bool { return present[key] })
	c.recordsRead(items)
}
