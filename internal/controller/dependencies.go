package controller

import (
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/harewalk/harewalk/internal/archive"
	"github.com/harewalk/harewalk/internal/dependencies"
	"github.com/harewalk/harewalk/internal/fleet"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/rollout"
	"github.com/harewalk/harewalk/internal/store"
)

// jobDependencies is the controller's state for jobs that depend on other jobs.
type jobDependencies struct {
	graph    *dependencies.Graph
	resolver *dependencies.Resolver
}

// newDependencies returns the dependency graph of all jobs, and the resolver of predecessors that were archived.
func (c *Controller) newDependencies() jobDependencies {
	graph := dependencies.New(c.jobs, c.handleJobReleased)
	resolver := dependencies.NewResolver(graph, dependencies.ResolverEnv{
		CanRead: func() bool { return c.store.CanWrite(0, store.NormalPriority) },
		Locate: func(id string, done func(archive.Location, error)) {
			c.archive.reader.Locate(id, store.NormalPriority, done)
		},
		OnJobRecord: c.handleJobRead,
		Now:         c.loop.Now,
	})
	return jobDependencies{graph: graph, resolver: resolver}
}

// newCanceller returns the canceller of a leader term, which cancels jobs with a cancelled predecessor.
func (c *Controller) newCanceller() *dependencies.Canceller {
	return dependencies.NewCanceller(c.dependencies.graph, dependencies.CancellerEnv{
		CanWrite: func(ops int) bool { return c.store.CanWrite(ops, store.NormalPriority) },
		Commit: func(txn store.Txn, done func(store.Result)) {
			c.commitInTerm(txn, store.NormalPriority, done)
		},
		Read:        c.readInTerm,
		OnJobRecord: c.handleJobRead,
		Now:         c.loop.Now,
		MaxOps:      func() int { return c.store.Limits().MaxOps },
	})
}

// handleJobReleased passes a job whose last predecessor is done to the fleet for planning, if this controller leads.
func (c *Controller) handleJobReleased(now time.Duration, job *jobs.Job) {
	if c.term.active() {
		c.term.fleet.HandleJobReleased(now, job)
	}
}

// tickDependencies looks up archived predecessors. It runs on every controller.
func (c *Controller) tickDependencies(now time.Duration) {
	if c.watchCache.Synced() && c.rollout.Compatible() {
		c.dependencies.resolver.Tick(now)
	}
}

// cancelDependentJobs cancels jobs with a cancelled predecessor, unless the term has ended within this tick.
func (c *Controller) cancelDependentJobs(now time.Duration) {
	if c.term.canceller != nil {
		c.term.canceller.Tick(now)
	}
}

// acceptsDependencies reports whether jobs with predecessors may be stored: every controller can read their records.
func (c *Controller) acceptsDependencies() bool {
	return c.rollout.AllSupportLevel(rollout.Dependencies)
}

// isBlockedCertain reports whether this controller may answer a user that a blocked job is waiting. A cancellation of
// a predecessor must have reached this controller within cancel_s after a user received its confirmation: the
// watched keys must be fresh enough, and the state of every ancestor of the job must be known.
func (c *Controller) isBlockedCertain(now time.Duration, id string) bool {
	isFresh := now-c.watchCache.FreshAt() <= c.settings.StalenessBound()
	return isFresh && !c.dependencies.graph.HasUnknownAncestor(id)
}

// maxNamedPredecessors is the maximum number of predecessors that a pending reason lists.
const maxNamedPredecessors = 5

// blockedReason returns the reason why a blocked job is pending.
func (c *Controller) blockedReason(job *jobs.Job) fleet.PendingReason {
	reason := fleet.PendingReason{Tasks: job.TaskCount, Cause: fleet.PredecessorsUnfinished}
	if job.CancelPending {
		reason.Text = "a predecessor is cancelled, and this job will be cancelled too"
		return reason
	}
	ids, count := c.dependencies.graph.Unfinished(job.ID, maxNamedPredecessors)
	names := strings.Join(ids, ", ")
	if count > len(ids) {
		names += " and others"
	}
	reason.Text = fmt.Sprintf("%d predecessors are not done: %s", count, names)
	return reason
}

// secondsUntilLatestEnd returns the number of seconds within which a live job must be done for its dependent jobs to
// meet their deadlines. It returns nil if the job has ended or no dependent job has a deadline.
func (c *Controller) secondsUntilLatestEnd(now time.Duration, job *jobs.Job) *float64 {
	if job.State.Terminal() {
		return nil
	}
	latestEnd, needed := c.dependencies.graph.LatestEnds(c.term.fleet.StageTime)(job)
	if !needed {
		return nil
	}
	seconds := math.Round((latestEnd - now).Seconds())
	return &seconds
}

// blockedJobs returns the number of live jobs that wait for predecessors.
func (c *Controller) blockedJobs() int {
	count := 0
	c.jobs.ForEachLive(func(job *jobs.Job) {
		if job.Blocked {
			count++
		}
	})
	return count
}
