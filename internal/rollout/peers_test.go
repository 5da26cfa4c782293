package rollout

import "testing"

// TestNewestReleaseIsPreferredAsLeader checks that controllers of a newer release are preferred as leader and, while
// controllers are being restarted, those that have already been restarted.
func TestNewestReleaseIsPreferredAsLeader(t *testing.T) {
	const nowMS, restartedMS = 1_000_000, 990_000
	r := newTestRollout(true)
	check := func(situation string, wallMS int64, drained string, want int) {
		t.Helper()
		count := r.PreferredLeaders(wallMS, func(node string) bool { return node == drained })
		if count != want {
			t.Errorf("%s: got %d preferred controllers, want %d", situation, count, want)
		}
	}
	join(r, "a", presentRelease, Paged, 1, 2)
	join(r, "b", presentRelease, Paged, 2, 3)
	join(r, "c", formerRelease, Base, 3, 4)
	check("no release is newer", nowMS, "", 0)
	join(r, "b", nextRelease, Paged, 5, 6)
	check("b runs a newer release", nowMS, "", 1)
	check("b runs a newer release and is drained", nowMS, "b", 0)
	restarted := announcementRecord{
		Node: "b", Release: presentRelease, Level: Paged, Lease: 5, StartedAtMS: restartedMS,
	}
	announce(r, restarted, 7)
	check("b has just been restarted", nowMS, "", 1)
	check("b was restarted long ago", restartedMS+restartWindow.Milliseconds(), "", 0)
}
