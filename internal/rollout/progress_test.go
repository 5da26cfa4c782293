package rollout

import (
	"testing"
	"time"
)

// reportHealth has all controllers report that they are healthy; c reports the given value.
func reportHealth(r *Rollout, now time.Duration, healthy bool) {
	for _, node := range []string{"a", "b", "c"} {
		r.HandleHealth(now, node, healthy || node != "c")
	}
}

// TestLevelIsUpgradedAfterAnUnbrokenSoak checks that without a directive the level is upgraded once all controllers
// have been healthy for the soak time. The soak time starts again after a controller was unhealthy.
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
			t.Fatalf("got state %s after %v, want soaking", r.State(), now)
		}
	}
	now := breakAt + testSoak + time.Second
	reportHealth(r, now, true)
	mustTick(t, r, now, 1, MigrationProgress{})
	if r.State() != Upgrading {
		t.Errorf("after the soak time: got state %s, want raising", r.State())
	}
}

// TestDeletedMemberIsDown checks that a controller is down after its member key was deleted, or was absent from a new
// listing. Its announcement stays valid.
func TestDeletedMemberIsDown(t *testing.T) {
	for name, remove := range map[string]func(*Rollout){
		"deleted": func(r *Rollout) { r.HandleDelete(MemberKey("b"), 9) },
		"absent":  func(r *Rollout) { r.HandleReset(nil) },
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestRollout(true)
			join(r, "b", presentRelease, Paged, 2, 3)
			if !r.peer("b").isUp() || !r.peer("b").isHealthy(0) {
				t.Fatal("with a member key: got a controller that is down or unhealthy, want it up and healthy")
			}
			remove(r)
			if r.peer("b").isUp() || r.peer("b").isHealthy(0) {
				t.Error("without a member key: got a controller that is up or healthy, want it down and unhealthy")
			}
			if level := r.peer("b").Announced(); level != Paged {
				t.Errorf("got announced level %d, want %d", level, Paged)
			}
		})
	}
}
