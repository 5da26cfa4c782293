package simulator

import (
	"time"

	"github.com/harewalk/harewalk/internal/rollout"
)

// restartAfterKill is the time after which KillLeaders starts a killed controller again.
const restartAfterKill = 700 * time.Millisecond

// KillLeaders kills the current leader n times, evenly spread over the duration. Each killed controller is started
// again after restartAfterKill. The simulation must be in virtual time.
func (sim *Simulation) KillLeaders(n int, duration time.Duration) {
	for i := range n {
		sim.env.schedule(time.Duration(i)*duration/time.Duration(n), func() {
			sim.onLeader(restartAfterKill, sim.KillController)
		})
	}
}

// onLeader calls do with the current leader, if there is one. Unless restartAfter is 0, it starts that controller
// again after restartAfter, but not before the controller's drain has ended.
func (sim *Simulation) onLeader(restartAfter time.Duration, do func(controller int)) {
	leader, _ := sim.Leader()
	if leader < 0 {
		return
	}
	do(leader)
	if restartAfter == 0 {
		return
	}
	var restart func()
	restart = func() {
		sim.StartController(leader)
		if sim.virtual.controllers[leader].draining {
			sim.env.schedule(sim.cfg.TickInterval, restart)
		}
	}
	sim.env.schedule(restartAfter, restart)
}

// RefuseLeader makes the state service refuse the current leader's requests for the duration.
func (sim *Simulation) RefuseLeader(duration time.Duration) {
	if leader, _ := sim.Leader(); leader >= 0 {
		sim.RefuseController(leader, true)
		sim.env.schedule(duration, func() { sim.RefuseController(leader, false) })
	}
}

// StallWatches stalls or resumes a controller's watches of the state service. Stalled watches stay open without an
// answer, while the controller's other requests are served.
func (sim *Simulation) StallWatches(controller int, on bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.state.watchesStalled[controller] = on
}

// stallLeaderWatches stalls the watches of the current leader for the duration.
func (sim *Simulation) stallLeaderWatches(duration time.Duration) {
	if leader, _ := sim.Leader(); leader >= 0 {
		sim.StallWatches(leader, true)
		sim.env.schedule(duration, func() { sim.StallWatches(leader, false) })
	}
}

func (sim *Simulation) drainController(controller int) { sim.DrainController(controller, func() {}) }

func (sim *Simulation) cutLinksFor(controller int, links Links, duration time.Duration) {
	sim.CutLinks(controller, links)
	sim.env.schedule(duration, func() { sim.CutLinks(controller, 0) })
}

// killControllers kills all controllers, and starts them again after the duration.
func (sim *Simulation) killControllers(duration time.Duration) {
	for i := range sim.cfg.Controllers {
		sim.KillController(i)
		sim.env.schedule(duration, func() { sim.StartController(i) })
	}
}

// rollTo restarts the controllers one after the other with a release that supports the level. Each controller is down
// for downtime after its drain.
func (sim *Simulation) rollTo(level rollout.Level, downtime time.Duration) {
	sim.RollingRestart(level, downtime, nil, func() {})
}
