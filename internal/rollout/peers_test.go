package rollout

import "testing"

// TestNewestReleaseIsPreferredAsLeader: of the controllers that are up the one with the newest release should lead;
// while controllers are being restarted, one that was restarted already.
func TestNewestReleaseIsPreferredAsLeader(t *testing.T) {
	const nowMS, restartedMS = 1_000_000, 990_000
	r := newTestRollout(true)
	check := func(situation string, wallMS int64, drained string, want int) {
		t.Helper()
		count := r.PreferredLeaders(wallMS, func(node string) bool { return node == drained })
		if count != want {
			t.Errorf("%s: %d controllers are preferred, want %d", situation, count, want)
		}
	}
	join(r, "a", presentRelease, Paged, 1, 2)
	join(r, "b", presentRelease, Paged, 2, 3)
	join(r, "c", formerRelease, Base, 3, 4)
	check("none is newer", nowMS, "", 0)
	join(r, "b", nextRelease, Paged, 5, 6)
	check("b is newer", nowMS, "", 1)
	check("b is newer and drained", nowMS, "b", 0)
	restarted := announcementRecord{
		Node: "b", Release: presentRelease, Level: Paged, Lease: 5, StartedAtMS: restartedMS,
	}
	announce(r, restarted, 7)
	check("b has just been restarted", nowMS, "", 1)
	check("b was restarted long ago", restartedMS+restartWindow.Milliseconds(), "", 0)
}
