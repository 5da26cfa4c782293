package simulator

import (
	"fmt"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/rollout"
)

// TestLowerStateLimits lowers the state service's limits without notice, each alone and all together, announced by
// the settings or not, without other faults, right before or in a failover, before and after an outage, while
// writes get no answer: starts go on within seconds, all jobs end, and no rule is broken. Arrays of a hundred tasks
// spread over all machines make values as large as they get.
func TestLowerStateLimits(t *testing.T) {
	shrinks := map[string][3]float64{
		"value":   {2, 0, 0},
		"changes": {0, 8, 0},
		"rate":    {0, 0, 24},
		"all":     {2, 8, 24},
		"tiny":    {1.5, 5, 20},
	}
	around := map[string]func(cluster *testCluster){
		"calm": func(*testCluster) {},
		"leader ends": func(cluster *testCluster) {
			cluster.After(5*time.Second, func() { cluster.onLeader(3*time.Second, cluster.KillController) })
		},
		"in a takeover": func(cluster *testCluster) {
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
	for name, s := range shrinks {
		for what, do := range around {
			for _, announced := range []bool{false, true} {
				t.Run(fmt.Sprint(name, " ", what, " ", announced), func(t *testing.T) {
					t.Parallel()
					cluster := newTestClusterWith(t, 421, rollout.Newest, func(set *config.Settings) {
						if announced {
							set.Params.State.Next = &config.NextState{
								ValueKB:  s[0],
								TxnOps:   int(s[1]),
								WriteRPS: s[2],
							}
						}
					})
					cluster.Advance(10 * time.Second)
					give := func(n int) {
						spec := arraySpec(fmt.Sprintf("req-%06d", n), "c", teamInTurn(n))
						spec.Tasks = 150
						spec.EstimateS = 3
						cluster.submit(spec)
					}
					for n := range 60 { // twelve at a time, so that plans of many jobs are written together
						cluster.After(time.Duration(n/12)*9*time.Second, func() { give(n + 1) })
					}
					cluster.Advance(20 * time.Second)
					at := cluster.Now()
					cluster.LowerStateLimits(s[0], int(s[1]), s[2])
					do(cluster)
					cluster.Advance(30 * time.Second)
					if gap := cluster.LongestStartGap(at+14*time.Second, at+30*time.Second); gap > 6*time.Second {
						t.Errorf("nothing started for %v after the limits fell", gap)
					}
					cluster.waitUntilDone()
				})
			}
		}
	}
}
