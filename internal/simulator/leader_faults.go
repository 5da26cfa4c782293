package simulator

import (
	"time"

	"github.com/harewalk/harewalk/internal/rollout"
)

// restartAfterKill is how long after its end KillLeaders starts a controller again.
const restartAfterKill = 700 * time.Millisecond

// KillLeaders kills the leader n times, evenly over a time, and starts it again within a second. It needs virtual
// time.
func (sim *Simulation) KillLeaders(n int, duration time.Duration) {
	for i := range n {
		sim.env.schedule(time.Duration(i)*duration/time.Duration(n), func() {
			sim.onLeader(restartAfterKill, sim.KillController)
		})
	}
}

// onLeader does something to the controller that leads and, unless restartAfter is 0, starts it again after that
// time.
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

// RefuseLeader makes the state service refuse the controller that leads now, for a time.
func (sim *Simulation) RefuseLeader(duration time.Duration) {
	if leader, _ := sim.Leader(); leader >= 0 {
		sim.RefuseController(leader, true)
		sim.env.schedule(duration, func() { sim.RefuseController(leader, false) })
	}
}

// StallWatches makes a controller's watches of the state service stay open without an answer while its other requests
// are served, or answers them again.
func (sim *Simulation) StallWatches(controller int, on bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.state.watchesStalled[controller] = on
}

// stallLeaderWatches stalls the watches of the controller that leads now, for a time.
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

// killControllers kills all controllers, and starts them again after a time.
func (sim *Simulation) killControllers(duration time.Duration) {
	for i := range sim.cfg.Controllers {
		sim.KillController(i)
		sim.env.schedule(duration, func() { sim.StartController(i) })
	}
}

// rollTo restarts the controllers one after the other with a release of a level.
func (sim *Simulation) rollTo(level rollout.Level, gap time.Duration) {
	sim.RollingRestart(level, gap, nil, func() {})
}
