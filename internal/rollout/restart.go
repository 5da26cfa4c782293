package rollout

import "fmt"

// planRestart sets in a view which controller may be restarted next, and for each other one the reason why it may not.
// Controllers are restarted one at a time and the leader last, so that leadership changes only once. While releases
// differ, controllers that already run the target release are skipped.
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

// restartBlocked returns why no controller may be restarted now, or "" if one may.
func (r *Rollout) restartBlocked(view *View, cluster Cluster) string {
	down := lastDown(view.Nodes, cluster.Drained)
	zone := lostZone(view.Nodes)
	switch {
	case r.state == Loading:
		return "the keys have not been read yet"
	case r.state == Upgrading:
		return "the level is being upgraded"
	case view.Mode == PausedByOperator:
		return fmt.Sprintf("%s holds the rollout", r.stored.directive.operator)
	case down != "" && zone != "":
		return fmt.Sprintf("all controllers of zone %s are down: the zone may be lost", zone)
	case down != "":
		return fmt.Sprintf("%s is out: two at once leave too few", down)
	case cluster.Leader == "":
		return "there is no leader"
	}
	return ""
}

// chooseRestart returns the controller to restart next, or nil if all run the target release. It sets the NotNextReason
// of the others.
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

// lastDown returns the last controller in the list that is down without a drain request, or "" if there is none.
func lastDown(nodes []NodeView, drained map[string]bool) string {
	down := ""
	for _, node := range nodes {
		if !node.Alive && !drained[node.Node] {
			down = node.Node
		}
	}
	return down
}

// lostZone returns a zone that has several controllers, all of them down, or "" if there is none.
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

// releaseName returns the name of a release for operators.
func releaseName(release string) string {
	if release == "" {
		return "an unannounced release"
	}
	return release
}
