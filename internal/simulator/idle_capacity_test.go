package simulator

import (
	"fmt"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

// TestNoCapacityIdleBesideWork checks that whatever keeps capacity free, each alone and all together, does so for
// less than 90 s beside work that fits: gangs that can't start yet, or never, accelerators reserved for others, a
// zone that came back, machines on which tasks failed.
func TestNoCapacityIdleBesideWork(t *testing.T) {
	type put func(n int, change func(spec *jobs.Spec))
	for what, c := range map[string]struct {
		machines int
		begin    func(cluster *testCluster, give put)
	}{
		// A gang that needs more machines of one zone than there will ever be.
		"never in one zone": {15, func(cluster *testCluster, give put) {
			give(1, func(spec *jobs.Spec) {
				spec.Kind = jobs.Gang
				spec.Tasks = 12
				spec.CPUs = 12
				spec.OneZone = true
				spec.Priority = "urgent"
				spec.Class = "gang"
			})
		}},
		// Large gangs, one after the other, that begin whenever enough is free.
		"one after the other": {12, func(cluster *testCluster, give put) {
			for k := range 8 {
				cluster.After(time.Duration(40*k)*time.Second, func() {
					give(10+k, func(spec *jobs.Spec) {
						spec.Kind = jobs.Gang
						spec.Tasks = 9
						spec.CPUs = 12
						spec.Priority = "urgent"
						spec.Class = "gang"
						spec.EstimateS = 30
					})
				})
			}
		}},
		// Work for accelerators that can't begin: its type has none left in its only zone.
		"accelerators": {12, func(cluster *testCluster, give put) {
			for k := range 6 {
				give(20+k, func(spec *jobs.Spec) {
					spec.Kind = jobs.Gang
					spec.Tasks = 9
					spec.CPUs = 4
					spec.GPUs = 4
					spec.OneZone = true
					spec.Class = "gang"
				})
			}
		}},
		// Ordinary machines, which some jobs need and those that may use spot ones put off, with estimates that are
		// far too low.
		"ordinary ones": {12, func(cluster *testCluster, give put) {
			for k := range 60 {
				cluster.After(time.Duration(8*k)*time.Second, func() {
					give(40+k, func(spec *jobs.Spec) {
						spec.Spot = false
						spec.CPUs = 9
						spec.EstimateS = 12
						spec.Class = "ordinary"
					})
				})
			}
		}},
		// Images that not every machine has, large ones: a machine that is busy and has it is the better choice,
		// for how long?
		"images": {12, func(cluster *testCluster, give put) {
			for k := range 100 {
				cluster.After(time.Duration(4*k)*time.Second, func() {
					give(400+k, func(spec *jobs.Spec) {
						spec.Image = fmt.Sprint("big", k%4)
						spec.ImageGB = 60
						spec.CPUs = 10
						spec.EstimateS = 15
						spec.Class = "imaged"
					})
				})
			}
		}},
		"a zone flaps": {12, func(cluster *testCluster, give put) { cluster.flapZone("b", 9*time.Second) }},
	} {
		for _, kind := range []jobs.Kind{jobs.Array, jobs.Gang} {
			t.Run(fmt.Sprint(what, " ", kind), func(t *testing.T) {
				t.Parallel()
				cluster := startCluster(t, 43, shortTimersConfig(341, c.machines), nil)
				give := func(n int, change func(spec *jobs.Spec)) {
					spec := arraySpec(fmt.Sprintf("req-2%05d", n), "small", teamInTurn(n))
					spec.Kind = kind
					spec.CPUs = 6
					spec.EstimateS = 50
					change(spec)
					cluster.newUser(spec).submit()
				}
				cluster.Advance(5 * time.Second)
				for k := range 260 { // about as much as there is room for
					cluster.After(time.Duration(k)*2*time.Second, func() { give(1000+k, func(*jobs.Spec) {}) })
				}
				cluster.Advance(20 * time.Second)
				c.begin(cluster, give)
				cluster.Advance(90 * time.Second)
				idleWait := cluster.WatchIdleCapacity()
				cluster.Advance(380 * time.Second)
				longest, job := idleWait()
				t.Logf("%s waited %v beside idle capacity", job, longest)
				reportViolations(t, cluster.Simulation)
			})
		}
	}
}
