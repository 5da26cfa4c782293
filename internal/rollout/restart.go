package rollout

import "fmt"

// planRestart sets which controller may be restarted next, and why no other may: one at a time, the leader last, so
// that the lead moves once. While releases differ, those that run the target release already are left out.
func (r *Rollout) planRestart(view *View, cluster Cluster) {
	if reason := r.restartBlocked(view, cluster); reason != "" {
		view.Why = reason
		for i := range view.Nodes {
			view.Nodes[i].NotNextReason = reason
		}
		return
	}
	oldest, newest := releaseRange(view.Nodes)
	target := newest
	if view.Mode == AbortedByOperator {
		target = oldest
	}
	inProgress := newest != oldest
	next := chooseRestart(view.Nodes, target, inProgress)
	if next != nil {
		view.Restart = next.Node
	}
	switch {
	case !inProgress:
		view.Why = "all run " + releaseName(newest) + ": a rollout may begin"
	case next != nil:
		view.Why = fmt.Sprintf("it runs %s, %s is the goal", releaseName(next.Release), releaseName(target))
	}
}

// restartBlocked returns why no controller at all may be restarted now, "" if one may.
func (r *Rollout) restartBlocked(view *View, cluster Cluster) string {
	down := lastDown(view.Nodes, cluster.Drained)
	zone := lostZone(view.Nodes)
	switch {
	case r.state == Loading:
		return "the keys have not been read yet"
	case r.state == Upgrading:
		return "the level is rising at this moment"
	case view.Mode == PausedByOperator:
		return fmt.Sprintf("%s holds the rollout", r.stored.directive.operator)
	case down != "" && zone != "":
		return fmt.Sprintf("no controller of zone %s is there: it may be lost", zone)
	case down != "":
		return fmt.Sprintf("%s is out: two at once leave too few", down)
	case cluster.Leader == "":
		return "nobody leads"
	}
	return ""
}

// chooseRestart returns the controller to restart next, nil if none is left, and sets the reasons of the others.
func chooseRestart(nodes []NodeView, target string, inProgress bool) *NodeView {
	var next, leader *NodeView
	for i := range nodes {
		node := &nodes[i]
		switch {
		case inProgress && node.Release == target:
			node.NotNextReason = "it runs " + releaseName(target) + " already"
		case node.Leads:
			node.NotNextReason = "it leads: restarted last, the lead moves once"
			leader = node
		case next == nil:
			next = node
		default:
			node.NotNextReason = fmt.Sprintf("%s comes first", next.Node)
		}
	}
	if next == nil && leader != nil {
		leader.NotNextReason = ""
		return leader
	}
	return next
}

// releaseRange returns the oldest and the newest release of the controllers that are up.
func releaseRange(nodes []NodeView) (oldest, newest string) {
	for _, node := range nodes {
		if !node.Alive {
			continue
		}
		if newest == "" || olderRelease(newest, node.Release) {
			newest = node.Release
		}
		if oldest == "" || olderRelease(node.Release, oldest) {
			oldest = node.Release
		}
	}
	return oldest, newest
}

// lastDown returns the last controller in the list that is down without a drain request, "" if there is none.
func lastDown(nodes []NodeView, drained map[string]bool) string {
	down := ""
	for _, node := range nodes {
		if !node.Alive && !drained[node.Node] {
			down = node.Node
		}
	}
	return down
}

// lostZone returns a zone of several controllers all of which are down, "" if there is none.
func lostZone(nodes []NodeView) string {
	total := map[string]int{}
	alive := map[string]int{}
	for _, node := range nodes {
		total[node.Zone]++
		if node.Alive {
			alive[node.Zone]++
		}
	}
	for _, node := range nodes {
		if node.Zone != "" && total[node.Zone] > 1 && alive[node.Zone] == 0 {
			return node.Zone
		}
	}
	return ""
}

// releaseName returns a release as operators read it.
func releaseName(release string) string {
	if release == "" {
		return "a release that doesn't say which"
	}
	return release
}
