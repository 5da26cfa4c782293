package rollout

import "testing"

// TestFollowersAreRestartedBeforeTheLeader: one controller at a time is restarted, followers first and the leader last,
// towards the former release after an abort; none while another is down, the rollout is paused or there is no leader.
func TestFollowersAreRestartedBeforeTheLeader(t *testing.T) {
	const former, present, down = formerRelease, presentRelease, ""
	supported := map[string]Level{former: Base, present: Paged}
	for _, c := range []struct {
		name     string
		releases [3]string // of a, b and c
		mode     Mode
		leader   string
		next     string
	}{
		{"nothing has begun", [3]string{former, former, former}, NoDirective, "a", "b"},
		{"one is restarted", [3]string{former, present, former}, NoDirective, "a", "c"},
		{"the leader is left", [3]string{former, present, present}, NoDirective, "a", "a"},
		{"all are restarted", [3]string{present, present, present}, NoDirective, "a", "b"},
		{"another is down", [3]string{former, present, down}, NoDirective, "a", ""},
		{"paused", [3]string{former, present, former}, PausedByOperator, "a", ""},
		{"aborted", [3]string{former, present, former}, AbortedByOperator, "a", "b"},
		{"aborted, the leader is new", [3]string{present, former, present}, AbortedByOperator, "a", "c"},
		{"no leader", [3]string{former, present, former}, NoDirective, "", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newTestRollout(true)
			for i, node := range []string{"a", "b", "c"} {
				if release := c.releases[i]; release != down {
					join(r, node, release, supported[release], uint64(i+1), uint64(i+2))
				}
			}
			direct(r, directiveRecord{Mode: c.mode}, 9)
			r.Tick(0, 0, MigrationProgress{})
			view := r.View(0, Cluster{Leader: c.leader})
			if view.Restart != c.next || view.Why == "" {
				t.Errorf("%q (%s), want %q", view.Restart, view.Why, c.next)
			}
			for _, node := range view.Nodes {
				if (node.NotNextReason == "") != (node.Node == view.Restart) {
					t.Errorf("%s is not next because of %q", node.Node, node.NotNextReason)
				}
			}
		})
	}
}
