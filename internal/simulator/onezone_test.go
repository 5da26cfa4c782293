package simulator

import (
	"os"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

// TestGangInOneZoneRunsBesideFreeMachinesElsewhere guards against a gang that must stay in one zone and waits for ever
// beside free machines in different zones, because these count as room and no machine is rented.
func TestGangInOneZoneRunsBesideFreeMachinesElsewhere(t *testing.T) {
	cluster := startFilledCluster(t, 67, shortTimersConfig(11, 10), 3, 9)
	spec := arraySpec("req-000001", "c", "red")
	spec.Kind = jobs.Gang
	spec.Tasks = 2
	spec.CPUs = 7
	spec.OneZone = true
	spec.Spot = false
	spec.EstimateS = 5
	user := cluster.submit(spec)
	cluster.waitFor("the gang is done", 90*time.Second, func() bool { return len(user.finalStates) > 0 })
	reportViolations(t, cluster.Simulation)
}

// TestChaosWithGangsInOneZone is TestChaos with gangs that must stay in one zone. Every job must end after the faults.
func TestChaosWithGangsInOneZone(t *testing.T) {
	seeds := uint64(4)
	if os.Getenv("HAREWALK_LONG") != "" {
		seeds = 1500
	}
	for seed := range seeds {
		sim, users := runChaosWith(t, seed+1, 60, 2*time.Minute, func(users []*testUser) {
			for _, user := range users {
				user.spec.OneZone = user.spec.Kind == jobs.Gang
			}
		})
		for _, violation := range sim.Violations() {
			t.Errorf("seed %d: %s", seed+1, violation)
		}
		for _, unfinished := range unfinishedJobs(users) {
			t.Errorf("seed %d: %s", seed+1, unfinished)
		}
	}
}
