package rollout

import "testing"

// TestFollowersAreRestartedBeforeTheLeader checks which controller View names to restart next: a follower first and the
// leader last, or one that runs the newer release after an abort. View names none while another controller is down, the
// rollout is paused or there is no leader.
func TestFollowersAreRestartedBeforeTheLeader(t *testing.T) {
	const former, present, down = formerRelease, presentRelease, ""
	supported := map[string]Level{former: Base, present: Paged}
	for _, c := range []struct {
		name     string
		releases [3]string // releases of controllers a, b and c
		mode     Mode
		leader   string
		next     string // controller to restart next; "": none
	}{
		{"no controller is restarted", [3]string{former, former, former}, NoDirective, "a", "b"},
		{"one follower is restarted", [3]string{former, present, former}, NoDirective, "a", "c"},
		{"only the leader is not restarted", [3]string{former, present, present}, NoDirective, "a", "a"},
		{"all controllers are restarted", [3]string{present, present, present}, NoDirective, "a", "b"},
		{"one controller is down", [3]string{former, present, down}, NoDirective, "a", ""},
		{"paused", [3]string{former, present, former}, PausedByOperator, "a", ""},
		{"aborted", [3]string{former, present, former}, AbortedByOperator, "a", "b"},
		{"aborted, the leader is to go back", [3]string{present, former, present}, AbortedByOperator, "a", "c"},
		{"no leader", [3]string{former, present, former}, NoDirective, "", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newTestRollout(true)
			for i, node := range []string{"a", "b", "c"} {
				if release := c.releases[i]; release != down {
					join(r, node, release, supported[release], uint64(i+1), uint64(i+2))
				}
			}
			setDirective(r, directiveRecord{Mode: c.mode}, 9)
			r.Tick(0, 0, MigrationProgress{})
			view := r.View(0, Cluster{Leader: c.leader})
			if view.Restart != c.next || view.Why == "" {
				t.Errorf("got controller %q (reason %q), want %q and a reason", view.Restart, view.Why, c.next)
			}
			for _, node := range view.Nodes {
				if (node.NotNextReason == "") != (node.Node == view.Restart) {
					t.Errorf("%s: got NotNextReason %q, want a reason unless it is restarted next",
						node.Node, node.NotNextReason)
				}
			}
		})
	}
}
