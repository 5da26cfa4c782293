package dependencies

import (
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

// jobView is what a controller has read of one job and not discarded since.
type jobView struct {
	follows         []string
	ownPriority     int
	deadline        time.Duration // noDeadline if the job has none
	runTime         time.Duration
	state           jobs.State // Done or Cancelled if the end was read; otherwise Pending, also for an unknown job
	isLive          bool       // whether its pending record was read and not removed from the watched keys
	isCancelPending bool       // whether it was CancelPending in an earlier state, which is final for a live job
	releasedAt      time.Duration
}

// model is a slow and simple model of the graph. It derives every result from the views on each call.
type model struct {
	views map[string]*jobView
}

// viewOf returns the view of a job. A new view is empty.
func (m *model) viewOf(id string) *jobView {
	if m.views[id] == nil {
		m.views[id] = &jobView{}
	}
	return m.views[id]
}

// state returns the state of a job in the graph.
func (m *model) state(id string) State {
	view := m.viewOf(id)
	switch {
	case view.state == jobs.Done:
		return Done
	case view.state == jobs.Cancelled:
		return Cancelled
	case !view.isLive:
		return Unknown
	}
	states := make([]State, 0, len(view.follows))
	for _, predecessor := range view.follows {
		states = append(states, m.state(predecessor))
	}
	switch {
	case view.isCancelPending || slices.Contains(states, CancelPending) || slices.Contains(states, Cancelled):
		return CancelPending
	case slices.ContainsFunc(states, func(state State) bool { return state != Done }):
		return Blocked
	}
	return Released
}

// isLive reports whether a job's pending record was read and its end wasn't.
func (m *model) isLive(id string) bool {
	view := m.viewOf(id)
	return view.isLive && view.state == jobs.Pending
}

// successors returns the live jobs that name a job as a predecessor.
func (m *model) successors(id string) []string {
	var found []string
	for other, view := range m.views {
		if m.isLive(other) && slices.Contains(view.follows, id) {
			found = append(found, other)
		}
	}
	slices.Sort(found)
	return found
}

// isInGraph reports whether a job has live successors, or is live and has predecessors.
func (m *model) isInGraph(id string) bool {
	return len(m.successors(id)) > 0 || m.isLive(id) && len(m.viewOf(id).follows) > 0
}

// priority returns the highest priority of a live job and all jobs that depend on it.
func (m *model) priority(id string) int {
	highest := m.viewOf(id).ownPriority
	for _, successor := range m.successors(id) {
		highest = max(highest, m.priority(successor))
	}
	return highest
}

// unfinished returns a live job's predecessors that aren't known to be done.
func (m *model) unfinished(id string) []string {
	var found []string
	if !m.isLive(id) {
		return nil
	}
	for _, predecessor := range m.viewOf(id).follows {
		if m.state(predecessor) != Done {
			found = append(found, predecessor)
		}
	}
	return found
}

// hasUnknownAncestor reports whether a direct or transitive predecessor of a live job is Unknown.
func (m *model) hasUnknownAncestor(id string) bool {
	if !m.isLive(id) {
		return false
	}
	return slices.ContainsFunc(m.viewOf(id).follows, func(predecessor string) bool {
		return m.state(predecessor) == Unknown || m.hasUnknownAncestor(predecessor)
	})
}

// latestEnd returns the earliest of the latest ends that the paths from a job to its dependent jobs allow.
func (m *model) latestEnd(id string) time.Duration {
	earliest := noDeadline
	m.forEachPath(id, 0, func(deadline, runTimes time.Duration) { earliest = min(earliest, deadline-runTimes) })
	return earliest
}

// forEachPath visits all paths from a job to a dependent job with a deadline. visit receives that deadline and the sum
// of the run times on the path, without the run time of the first job.
func (m *model) forEachPath(id string, runTimes time.Duration, visit func(deadline, runTimes time.Duration)) {
	for _, successor := range m.successors(id) {
		if m.state(successor) == CancelPending {
			continue
		}
		view := m.viewOf(successor)
		if view.deadline != noDeadline {
			visit(view.deadline, runTimes+view.runTime)
		}
		m.forEachPath(successor, runTimes+view.runTime, visit)
	}
}

// update records which jobs are CancelPending, since they stay so, and which were released. It clears the views of
// ended jobs that are neither in the table with a terminal state nor named by a live job. It returns the jobs that
// were Blocked in the states before and are Released now.
func (m *model) update(now time.Duration, before map[string]State, isEnded func(id string) bool) (released []string) {
	after := m.states()
	for id, view := range m.views {
		view.isCancelPending = after[id] == CancelPending
		if after[id] == Released && before[id] != Released && len(view.follows) > 0 {
			view.releasedAt = now
			if before[id] == Blocked {
				released = append(released, id)
			}
		}
	}
	for id, view := range m.views {
		if view.state.Terminal() && !isEnded(id) && len(m.successors(id)) == 0 {
			*view = jobView{}
		}
	}
	slices.Sort(released)
	return released
}

// states returns the states of all jobs.
func (m *model) states() map[string]State {
	all := map[string]State{}
	for id := range m.views {
		all[id] = m.state(id)
	}
	return all
}
