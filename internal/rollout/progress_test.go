package rollout

import (
	"testing"
	"time"
)

func reportHealth(r *Rollout, now time.Duration, healthy bool) {
	for _, node := range []string{"a", "b", "c"} {
		r.HandleHealth(now, node, healthy || node != "c")
	}
}

// TestLevelIsUpgradedAfterAnUnbrokenSoak: without a directive the level is upgraded once all controllers have been
// healthy for the soak time, which starts again after a break.
func TestLevelIsUpgradedAfterAnUnbrokenSoak(t *testing.T) {
	r := newTestRollout(true)
	for i, node := range []string{"a", "b", "c"} {
		join(r, node, presentRelease, Paged, uint64(i+1), uint64(i+2))
	}
	const breakAt = testSoak - time.Second
	for now := time.Duration(0); now < breakAt+testSoak+time.Second; now += time.Second {
		reportHealth(r, now, now != breakAt)
		mustNotTick(t, r, now, 1, MigrationProgress{})
		if r.State() != Soaking {
			t.Fatalf("state %s after %v", r.State(), now)
		}
	}
	now := breakAt + testSoak + time.Second
	reportHealth(r, now, true)
	mustTick(t, r, now, 1, MigrationProgress{})
	if r.State() != Upgrading {
		t.Errorf("state %s", r.State())
	}
}

// TestDeletedMemberIsDown: a controller without a member key isn't up, whether its deletion is followed or the key
// is absent from a new listing; its announcement still counts.
func TestDeletedMemberIsDown(t *testing.T) {
	for name, remove := range map[string]func(*Rollout){
		"deleted": func(r *Rollout) { r.HandleDelete(MemberKey("b"), 9) },
		"absent":  func(r *Rollout) { r.HandleReset(nil) },
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestRollout(true)
			join(r, "b", presentRelease, Paged, 2, 3)
			if !r.peer("b").isUp() || !r.peer("b").isHealthy(0) {
				t.Fatal("a controller with a member key isn't up and healthy")
			}
			remove(r)
			if r.peer("b").isUp() || r.peer("b").isHealthy(0) {
				t.Error("a controller without a member key is up or healthy")
			}
			if level := r.peer("b").Announced(); level != Paged {
				t.Errorf("announced level %d, want %d", level, Paged)
			}
		})
	}
}
