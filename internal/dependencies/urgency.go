package dependencies

import (
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

// Users set the priority and the deadline that they care about on the last job of a pipeline only. So a job has the
// priority of any live job that needs it, and must end early enough for the critical path behind it.

// never is later than any time.
const never = time.Duration(1 << 62)

// raisePriorities gives the jobs before a new one at least its priority.
func (g *Graph) raisePriorities(added *node) {
	pending := []*node{added}
	for len(pending) > 0 {
		last := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		for _, incoming := range last.predecessors {
			before := incoming.from
			if before.state.live() && before.job.Priority < last.job.Priority {
				before.job.Priority = last.job.Priority
				pending = append(pending, before)
			}
		}
	}
}

// recomputePriorities gives a job the highest of its own priority and those of its live successors, and does the same
// for the jobs before it as far as that changes them.
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

// LatestEnds returns a function that gives the latest time at which a job may end if every job that needs it is still
// to meet its deadline, by the longest path of run times behind it; false if nothing behind it has a deadline. Results
// are kept between calls of the returned function, which must not be used once the graph has changed. runTime is the
// time that a job takes from its release to its end.
func (g *Graph) LatestEnds(runTime func(*jobs.Job) time.Duration) func(*jobs.Job) (time.Duration, bool) {
	g.stamp++
	return func(job *jobs.Job) (time.Duration, bool) {
		found, ok := g.nodes[job.ID]
		if !ok {
			return 0, false
		}
		end := g.latestEndOf(found, runTime)
		return end, end != never
	}
}

// latestEndOf computes a node's latest end from those of its successors.
func (g *Graph) latestEndOf(of *node, runTime func(*jobs.Job) time.Duration) time.Duration {
	if of.latestEndStamp == g.stamp {
		return of.latestEnd
	}
	end := never
	for _, outgoing := range of.successors {
		successor := outgoing.to
		if !successor.state.live() || successor.state == Doomed {
			continue
		}
		successorEnd := g.latestEndOf(successor, runTime)
		if deadline, ok := successor.job.Deadline(); ok {
			successorEnd = min(successorEnd, deadline)
		}
		if successorEnd != never {
			end = min(end, successorEnd-runTime(successor.job))
		}
	}
	of.latestEnd = end
	of.latestEndStamp = g.stamp
	return end
}
