package controller

import (
	"encoding/json"
	"log/slog"
	"time"

	"github.com/harewalk/harewalk/internal/archive"
	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/rollout"
	"github.com/harewalk/harewalk/internal/store"
)

// archiveInterval spaces the searches for jobs that may be archived.
const archiveInterval = 100 * time.Millisecond

// jobArchive is this controller's side of the archive of ended jobs.
type jobArchive struct {
	settings  config.Archive
	reader    *archive.Reader
	checkedAt time.Duration // when ended jobs were last searched for
}

// newArchiveReader makes the reader of archived jobs' answers.
func (c *Controller) newArchiveReader(cacheEntries int) *archive.Reader {
	reader := archive.NewReader(c.store, cacheEntries)
	reader.Unreadable = func(key string, raw json.RawMessage, cause error) { c.rollout.MarkUnreadable(key, raw, cause) }
	reader.Readable = func(key string) { c.rollout.MarkReadable(key) }
	return reader
}

// newArchiveMover makes a term's mover of ended jobs into the archive.
func (c *Controller) newArchiveMover() *archive.Mover {
	return archive.NewMover(archive.Env{
		CanWrite: func(n int) bool { return n <= c.store.Limits().MaxOps && c.store.HasSpareWritesFor(n) },
		Commit: func(txn store.Txn, done func(store.Result)) {
			c.commitInTerm(txn, store.BulkPriority, done)
		},
		Now:        c.loop.Now,
		OnArchived: c.archive.reader.Remember,
		TxnOps:     c.settings.Params.State.Limits().MaxOps,
		WritesPerS: c.settings.Params.State.WriteRPS,
	})
}

// archiveEndedJobs archives ended jobs, once the cluster's level has every controller read the archive.
func (c *Controller) archiveEndedJobs(now time.Duration) {
	if c.term.mover == nil || now-c.archive.checkedAt < archiveInterval {
		return
	}
	if c.archive.settings.Unsupported != nil || c.rollout.Level() < rollout.Archived {
		return
	}
	c.archive.checkedAt = now
	c.term.mover.Tick(now, c.isArchiveOverdue(now), func(take func(archive.Candidate) bool) {
		c.jobs.ForEachEnded(now-c.archive.settings.Retain, func(job *jobs.Job) bool {
			if !c.isArchivable(job) {
				return true
			}
			return take(archiveCandidate(job))
		})
	})
}

// archiveCandidate returns what the archive keeps of a job.
func archiveCandidate(job *jobs.Job) archive.Candidate {
	return archive.Candidate{
		ID:      job.ID,
		Version: job.Version,
		Answer:  archive.Answer{State: job.State, Tasks: job.TaskCount, Done: job.FinishedTasks},
	}
}

// isArchiveOverdue reports whether some ended job has waited for more than twice the time for which it is retained.
func (c *Controller) isArchiveOverdue(now time.Duration) bool {
	isOverdue := false
	c.jobs.ForEachEnded(now-2*c.archive.settings.Retain, func(job *jobs.Job) bool {
		isOverdue = c.isArchivable(job)
		return !isOverdue
	})
	return isOverdue
}

// isArchivable reports whether an ended job can't have a task on any machine, nothing else of it is stored, and no live
// job names it as a predecessor: every later leader would have to read its answer.
func (c *Controller) isArchivable(job *jobs.Job) bool {
	if c.dependencies.graph.HasSuccessors(job.ID) {
		return false
	}
	if c.term.sessions != nil && c.term.sessions.Exists(job.ID) {
		return false
	}
	return c.term.fleet.Finalized(job) && !c.jobs.IsUnreadable(job.ID)
}

// archiveStatus returns the leader's view of the archive.
func (c *Controller) archiveStatus() ArchiveStatus {
	status := ArchiveStatus{
		Moved:   c.term.mover.Stats.Moved,
		Waiting: c.jobs.Len() - c.jobs.LiveJobs(),
		RetainS: c.archive.settings.Retain.Seconds(),
		State:   c.term.mover.State().String(),
	}
	switch {
	case c.archive.settings.Unsupported != nil:
		status.Problem = c.archive.settings.Unsupported.Error()
	case c.rollout.Level() < rollout.Archived:
		status.Problem = "the cluster's level is below that of the archive: some controller can't read it yet"
	}
	return status
}

// logArchiveProblem logs why nothing will be archived, if that is so.
func (c *Controller) logArchiveProblem() {
	if c.archive.settings.Unsupported != nil {
		slog.Error("ended jobs are not archived, memory grows with each job", "error", c.archive.settings.Unsupported)
	}
}
