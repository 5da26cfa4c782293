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

// jobDependencies is this controller's side of the jobs that wait for others.
type jobDependencies struct {
	graph    *dependencies.Graph
	resolver *dependencies.Resolver
}

// newDependencies makes the dependency graph of all jobs, and what completes it.
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

// newCanceller makes a term's canceller of jobs with a cancelled predecessor.
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

// handleJobReleased hands a job whose last predecessor is done to the leader's planning.
func (c *Controller) handleJobReleased(now time.Duration, job *jobs.Job) {
	if c.term.active() {
		c.term.fleet.HandleJobReleased(now, job)
	}
}

// tickDependencies does what is due for the dependency graph on every controller.
func (c *Controller) tickDependencies(now time.Duration) {
	if c.watchCache.Synced() && c.rollout.Compatible() {
		c.dependencies.resolver.Tick(now)
	}
}

// cancelDoomedJobs cancels jobs with a cancelled predecessor, unless the term has ended within this tick.
func (c *Controller) cancelDoomedJobs(now time.Duration) {
	if c.term.canceller != nil {
		c.term.canceller.Tick(now)
	}
}

// acceptsDependencies reports whether jobs with predecessors may be stored: every controller can read their records.
func (c *Controller) acceptsDependencies() bool { return c.rollout.AllSupport(rollout.Dependencies) }

// isBlockedCertain reports whether this controller may say of a blocked job that it waits. A cancellation of a job
// before it must be known here within cancel_s after a user was told of it: the followed keys must be fresh enough, and
// nothing before the job unknown.
func (c *Controller) isBlockedCertain(now time.Duration, id string) bool {
	isFresh := now-c.watchCache.FreshAt() <= c.settings.StalenessBound()
	return isFresh && !c.dependencies.graph.HasUnknownAncestor(id)
}

// maxNamedPredecessors bounds the predecessors that a pending reason names.
const maxNamedPredecessors = 5

// blockedReason returns why a blocked job waits.
func (c *Controller) blockedReason(job *jobs.Job) fleet.PendingReason {
	reason := fleet.PendingReason{Tasks: job.TaskCount, Cause: fleet.PredecessorsUnfinished}
	if job.Doomed {
		reason.Text = "a job before it is cancelled, and it is about to be"
		return reason
	}
	ids, count := c.dependencies.graph.Unfinished(job.ID, maxNamedPredecessors)
	names := strings.Join(ids, ", ")
	if count > len(ids) {
		names += " and others"
	}
	reason.Text = fmt.Sprintf("%d jobs that must be done before it aren't: %s", count, names)
	return reason
}

// neededIn returns in how many seconds a live job must be done for the deadlines of the jobs that need it, nil if none
// has one.
func (c *Controller) neededIn(now time.Duration, job *jobs.Job) *float64 {
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
