package simulator

import (
	"fmt"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/rollout"
)

// submitWideArray submits an array of 150 tasks, which spreads over all machines, so that its plan is large.
func (r *testCluster) submitWideArray(n int) {
	spec := arraySpec(fmt.Sprintf("req-%06d", n), "c", teamInTurn(n))
	spec.Tasks = 150
	spec.EstimateS = 3
	r.submit(spec)
}

// TestLowerStateLimits lowers the state service's limits during a run, each limit alone and all together, with and
// without an announcement in the settings. It does so without other faults, before and in a failover, in an outage,
// and while transactions get no answer. Tasks start again within seconds, all jobs end, and no invariant is violated.
// Arrays of 150 tasks on all machines make the stored values as large as they get.
func TestLowerStateLimits(t *testing.T) {
	lowered := map[string]config.AnnouncedStateLimits{
		"value":   {ValueKB: 2},
		"changes": {TxnOps: 8},
		"rate":    {WriteRPS: 24},
		"all":     {ValueKB: 2, TxnOps: 8, WriteRPS: 24},
		"tiny":    {ValueKB: 1.5, TxnOps: 5, WriteRPS: 20},
	}
	faults := map[string]func(cluster *testCluster){
		"no fault": func(*testCluster) {},
		"leader killed": func(cluster *testCluster) {
			cluster.After(5*time.Second, func() { cluster.onLeader(3*time.Second, cluster.KillController) })
		},
		"in a failover": func(cluster *testCluster) {
			l := cluster.waitForLeader()
			cluster.KillController(l)
			cluster.After(2*time.Second, func() { cluster.StartController(l) })
		},
		"outage": func(cluster *testCluster) {
			cluster.SetStateOutage(true)
			cluster.After(8*time.Second, func() { cluster.SetStateOutage(false) })
		},
		"answers lost": func(cluster *testCluster) {
			cluster.LoseTxnAnswers(0.3)
			cluster.After(6*time.Second, func() { cluster.LoseTxnAnswers(0) })
		},
	}
	for name, limits := range lowered {
		for fault, begin := range faults {
			for _, announced := range []bool{false, true} {
				t.Run(fmt.Sprint(name, " ", fault, " ", announced), func(t *testing.T) {
					t.Parallel()
					cluster := newTestClusterWith(t, 421, rollout.Newest, func(set *config.Settings) {
						if announced {
							next := limits // each controller gets its own copy
							set.Params.State.Next = &next
						}
					})
					cluster.Advance(10 * time.Second)
					for n := range 60 { // twelve at the same time, so that plans of many jobs are written together
						cluster.After(time.Duration(n/12)*9*time.Second, func() { cluster.submitWideArray(n + 1) })
					}
					cluster.Advance(20 * time.Second)
					loweredAt := cluster.Now()
					cluster.SetStateLimits(limits.ValueKB, limits.TxnOps, limits.WriteRPS)
					begin(cluster)
					cluster.Advance(30 * time.Second)
					if gap := cluster.LongestStartGap(loweredAt+14*time.Second, loweredAt+30*time.Second); gap > 6*time.Second {
						t.Errorf("longest time without a start after the limits fell: got %v, want at most 6 s", gap)
					}
					cluster.waitUntilDone()
				})
			}
		}
	}
}
