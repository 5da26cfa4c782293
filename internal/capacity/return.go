package capacity

import (
	"log/slog"
	"math"
	"sort"
	"time"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/fleet"
	"github.com/harewalk/harewalk/internal/httpio"
)

// idleLimit is how long a machine is kept idle. By default that is the time for which the
// same money would be spent on getting it back: its boot and the fetch of one image. Nobody
// can know whether work comes first, and this bounds the regret to twice the best choice.
func (c *Manager) idleLimit(machine *fleet.Machine) time.Duration {
	s := c.Settings.Operator.IdleS
	machineType := c.typ(machine.Type)
	if s == 0 && machineType != nil {
		s = machineType.BootS
		if machineType.FetchGB > 0 {
			s += c.Fleet.ImageGB() / machineType.FetchGB
		}
	}
	if c.Settings.MoneyCounts() {
		s /= 2
	}
	s *= c.excess
	if c.Fleet.Quiescent() {
		s = min(s, quietIdle)
	}
	return config.Seconds(s)
}

// excess shortens the time for which idle machines are kept when there are more of them
// than chance calls for. Of a small fleet several may be idle at once and be needed the next
// moment; the demand on a large one varies by about the root of its size, and what is idle
// beyond that is not needed soon.
func excess(up, idle int, headroom float64) float64 {
	target := max(headroom*float64(up), 2*math.Sqrt(float64(up)))
	return min(1, max(0.15, target/max(1, float64(idle))))
}

// overBudget tells whether more stands idle than the headroom allows.
func (c *Manager) overBudget() bool {
	all, idle := c.prices()
	return c.Fleet.Quiescent() || idle > c.Settings.Operator.Headroom*all
}

// quietIdle is the limit while there is no job at all.
const quietIdle = 30

func (c *Manager) giveBack(now time.Duration) {
	if c.returning || len(c.toReturn) == 0 {
		return
	}
	var names []string
	for n := range c.toReturn {
		names = append(names, n)
	}
	sort.Strings(names)
	names = names[:min(len(names), 100)]
	c.returning = c.call("POST", "/machines/return", map[string]any{"dens": names}, func(response httpio.Response) {
		c.returning = false
		if response.Err != nil || response.Status != 200 {
			return
		}
		at := c.Cloud.now()
		for _, n := range names {
			slog.Info("machine returned", "name", n, "cause", c.toReturn[n], "term", c.Term)
			if machine := c.Fleet.FindMachine(n); machine != nil {
				c.Fleet.HandleReturned(at, machine, c.toReturn[n])
			}
			delete(c.toReturn, n)
			delete(c.boots, n)
			c.gone[n] = at
		}
	})
}
