package dependencies

import (
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

// Users set a priority and a deadline only on the last job of a pipeline. A job therefore has at least the priority of
// every live job that depends on it, and must end early enough for the critical path of its successors.

// noDeadline is later than any time. It is the latest end of a job without a deadline among its successors.
const noDeadline = time.Duration(1 << 62)

// raisePriorities raises the priorities of a new job's direct and transitive predecessors to at least its priority.
func (g *Graph) raisePriorities(added *node) {
	pending := []*node{added}
	for len(pending) > 0 {
		last := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		for _, incoming := range last.predecessors {
			predecessor := incoming.from
			if predecessor.state.live() && predecessor.job.Priority < last.job.Priority {
				predecessor.job.Priority = last.job.Priority
				pending = append(pending, predecessor)
			}
		}
	}
}

// recomputePriorities sets a job's priority to the highest of its own priority and those of its live successors. If
// that changes the priority, it does the same for the job's predecessors.
func (g *Graph) recomputePriorities(start *node) {
	pending := []*node{start}
	for len(pending) > 0 {
		last := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		if !last.state.live() {
			continue
		}
		priority := last.job.Spec.PriorityLevel()
		for _, outgoing := range last.successors {
			priority = max(priority, outgoing.to.job.Priority)
		}
		if priority == last.job.Priority {
			continue
		}
		last.job.Priority = priority
		for _, incoming := range last.predecessors {
			pending = append(pending, incoming.from)
		}
	}
}

// LatestEnds returns a function that computes the latest time at which a job may end so that every job that depends on
// it can still meet its deadline, given the run times on the longest path between them. The function returns false if
// no dependent job has a deadline. It caches results, so it must not be used after the graph has changed. runTime
// returns the time that a job takes from its release to its end.
func (g *Graph) LatestEnds(runTime func(*jobs.Job) time.Duration) func(*jobs.Job) (time.Duration, bool) {
	g.rankingNumber++
	return func(job *jobs.Job) (time.Duration, bool) {
		found, ok := g.nodes[job.ID]
		if !ok {
			return 0, false
		}
		end := g.latestEndOf(found, runTime)
		return end, end != noDeadline
	}
}

// latestEndOf computes a node's latest end from the latest ends and deadlines of its successors.
func (g *Graph) latestEndOf(target *node, runTime func(*jobs.Job) time.Duration) time.Duration {
	if target.latestEndRanking == g.rankingNumber {
		return target.latestEnd
	}
	end := noDeadline
	for _, outgoing := range target.successors {
		successor := outgoing.to
		if !successor.state.live() || successor.state == CancelPending {
			continue
		}
		successorEnd := g.latestEndOf(successor, runTime)
		if deadline, ok := successor.job.Deadline(); ok {
			successorEnd = min(successorEnd, deadline)
		}
		if successorEnd != noDeadline {
			end = min(end, successorEnd-runTime(successor.job))
		}
	}
	target.latestEnd = end
	target.latestEndRanking = g.rankingNumber
	return end
}
