package controller

import (
	"testing"

	"github.com/harewalk/harewalk/internal/config"
)

// The shares of all controllers together must stay within the state service's limits for rates and bursts, for any
// number of controllers. The shares of five controllers once added up to 1.3 times the rate.
func TestRateSharesStayWithinLimits(t *testing.T) {
	const rpsLimit, writeLimit, tolerance = 120, 30, 1e-9
	for controllers := 1; controllers <= 9; controllers++ {
		settings := &config.Settings{Peers: make([]config.Peer, controllers-1)}
		settings.Params.State = config.State{RPS: rpsLimit, WriteRPS: writeLimit}
		c := &Controller{settings: settings}
		rps, writes, burst := 0.0, 0.0, 0.0
		for i := range controllers {
			share := c.rateShare(i == 0)
			if share.RPS <= 0 || share.WriteRPS <= 0 {
				t.Fatalf("controller %d of %d has a rate of 0 in its share, want positive rates", i, controllers)
			}
			rps += share.RPS
			writes += share.WriteRPS
			burst += share.WriteRPS * share.BurstSeconds
		}
		if rps > rpsLimit+tolerance || writes > writeLimit+tolerance || burst > writeLimit+tolerance {
			t.Fatalf("%d controllers: %v requests and %v writes a second, %v writes at once; want at most 120, 30 and 30",
				controllers, rps, writes, burst)
		}
	}
}
