package dependencies

import (
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

// view is what a controller was told of one job and may still know.
type view struct {
	follows     []string
	ownPriority int
	deadline    time.Duration // never: it has none
	runTime     time.Duration
	state       jobs.State // Done and Cancelled are known, Pending unless isLive is not
	isLive      bool       // its pending record was read and hasn't left the followed keys
	isDoomed    bool       // it was doomed in an earlier state: that is final
	releasedAt  time.Duration
}

// model is a slow, plain model of the graph. It derives everything from the views, each time anew.
type model struct {
	views map[string]*view
}

// viewOf returns the view of a job, which knows nothing at first.
func (m *model) viewOf(id string) *view {
	if m.views[id] == nil {
		m.views[id] = &view{}
	}
	return m.views[id]
}

// state returns what is known of a job.
func (m *model) state(id string) State {
	known := m.viewOf(id)
	switch {
	case known.state == jobs.Done:
		return Done
	case known.state == jobs.Cancelled:
		return Cancelled
	case !known.isLive:
		return Unknown
	}
	states := make([]State, 0, len(known.follows))
	for _, predecessor := range known.follows {
		states = append(states, m.state(predecessor))
	}
	switch {
	case known.isDoomed || slices.Contains(states, Doomed) || slices.Contains(states, Cancelled):
		return Doomed
	case slices.ContainsFunc(states, func(state State) bool { return state != Done }):
		return Blocked
	}
	return Released
}

// isLive reports whether a job's pending record is known.
func (m *model) isLive(id string) bool {
	known := m.viewOf(id)
	return known.isLive && known.state == jobs.Pending
}

// successors returns the live jobs that name a job.
func (m *model) successors(id string) []string {
	var found []string
	for other, known := range m.views {
		if m.isLive(other) && slices.Contains(known.follows, id) {
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

// priority returns the highest priority of a live job and of all jobs that need it.
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

// hasUnknownAncestor reports whether a job before a live one, direct or not, is unknown.
func (m *model) hasUnknownAncestor(id string) bool {
	if !m.isLive(id) {
		return false
	}
	return slices.ContainsFunc(m.viewOf(id).follows, func(predecessor string) bool {
		return m.state(predecessor) == Unknown || m.hasUnknownAncestor(predecessor)
	})
}

// latestEnd returns the earliest of the latest ends that the single paths behind a job demand.
func (m *model) latestEnd(id string) time.Duration {
	earliest := never
	m.forEachPath(id, 0, func(deadline, runTimes time.Duration) { earliest = min(earliest, deadline-runTimes) })
	return earliest
}

// forEachPath visits all paths behind a job that lead to one with a deadline, each with that deadline and the sum of the
// run times of its jobs.
func (m *model) forEachPath(id string, runTimes time.Duration, visit func(deadline, runTimes time.Duration)) {
	for _, successor := range m.successors(id) {
		if m.state(successor) == Doomed {
			continue
		}
		known := m.viewOf(successor)
		if known.deadline != never {
			visit(known.deadline, runTimes+known.runTime)
		}
		m.forEachPath(successor, runTimes+known.runTime, visit)
	}
}

// update makes doomed jobs stay doomed, notes releases, and forgets the ends of jobs that are neither kept in the table
// nor named by a live job. It returns the jobs that were released since the states before.
func (m *model) update(now time.Duration, before map[string]State, isKept func(id string) bool) (released []string) {
	after := m.states()
	for id, known := range m.views {
		known.isDoomed = after[id] == Doomed
		if after[id] == Released && before[id] != Released && len(known.follows) > 0 {
			known.releasedAt = now
			if before[id] == Blocked {
				released = append(released, id)
			}
		}
	}
	for id, known := range m.views {
		if known.state.Terminal() && !isKept(id) && len(m.successors(id)) == 0 {
			*known = view{}
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
