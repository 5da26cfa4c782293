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

// archiveInterval is the minimum time between two searches for jobs that may be archived.
const archiveInterval = 100 * time.Millisecond

// jobArchive is the controller's state for the archive of ended jobs.
type jobArchive struct {
	settings     config.Archive
	reader       *archive.Reader
	lastSearchAt time.Duration // time of the last search for ended jobs
}

// newArchiveReader returns a reader of the archived answers of jobs that caches up to cacheEntries answers.
func (c *Controller) newArchiveReader(cacheEntries int) *archive.Reader {
	reader := archive.NewReader(c.store, cacheEntries)
	reader.OnUnreadable = func(key string, raw json.RawMessage, cause error) { c.rollout.MarkUnreadable(key, raw, cause) }
	reader.OnReadable = func(key string) { c.rollout.MarkReadable(key) }
	return reader
}

// newArchiver returns the archiver of a leader term, which moves ended jobs into the archive.
func (c *Controller) newArchiver() *archive.Archiver {
	return archive.NewArchiver(archive.Env{
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

// archiveEndedJobs archives ended jobs, if every controller can read the archive at the cluster's level.
func (c *Controller) archiveEndedJobs(now time.Duration) {
	if c.term.archiver == nil || now-c.archive.lastSearchAt < archiveInterval {
		return
	}
	if c.archive.settings.Unsupported != nil || c.rollout.Level() < rollout.Archived {
		return
	}
	c.archive.lastSearchAt = now
	c.term.archiver.Tick(now, c.isArchiveOverdue(now), func(yield func(archive.Candidate) bool) {
		c.jobs.ForEachEnded(now-c.archive.settings.Retain, func(job *jobs.Job) bool {
			if !c.isArchivable(job) {
				return true
			}
			return yield(archiveCandidate(job))
		})
	})
}

// archiveCandidate returns the part of a job that the archive stores.
func archiveCandidate(job *jobs.Job) archive.Candidate {
	return archive.Candidate{
		ID:      job.ID,
		Version: job.Version,
		Entry:   archive.Entry{State: job.State, Tasks: job.TaskCount, Done: job.FinishedTasks},
	}
}

// isArchiveOverdue reports whether a job that may be archived ended more than twice the retention time ago.
func (c *Controller) isArchiveOverdue(now time.Duration) bool {
	isOverdue := false
	c.jobs.ForEachEnded(now-2*c.archive.settings.Retain, func(job *jobs.Job) bool {
		isOverdue = c.isArchivable(job)
		return !isOverdue
	})
	return isOverdue
}

// isArchivable reports whether an ended job may be archived: none of its tasks can still be on a machine, no other
// record of it is stored, and no live job has it as a predecessor. Every later leader would have to read an archived
// predecessor's answer.
func (c *Controller) isArchivable(job *jobs.Job) bool {
	if c.dependencies.graph.HasSuccessors(job.ID) {
		return false
	}
	if c.term.sessions != nil && c.term.sessions.Exists(job.ID) {
		return false
	}
	return c.term.fleet.Finalized(job) && !c.jobs.IsUnreadable(job.ID)
}

// archiveStatus returns the progress of archiving in this leader's term.
func (c *Controller) archiveStatus() ArchiveStatus {
	status := ArchiveStatus{
		Moved:   c.term.archiver.Stats.Moved,
		Waiting: c.jobs.Len() - c.jobs.LiveJobs(),
		RetainS: c.archive.settings.Retain.Seconds(),
		State:   c.term.archiver.State().String(),
	}
	switch {
	case c.archive.settings.Unsupported != nil:
		status.Problem = c.archive.settings.Unsupported.Error()
	case c.rollout.Level() < rollout.Archived:
		status.Problem = "the cluster's level is too low for the archive: some controller can't read it yet"
	}
	return status
}

// logArchiveProblem logs an error if the settings make archiving impossible.
func (c *Controller) logArchiveProblem() {
	if c.archive.settings.Unsupported != nil {
		slog.Error("ended jobs are not archived, memory grows with each job", "error", c.archive.settings.Unsupported)
	}
}
