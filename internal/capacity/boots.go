package capacity

// What boots take, by type and zone, and what follows from it for those on their way.

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/harewalk/harewalk/internal/config"
)

// keptBoots is how many boots of a type in a zone are remembered.
const keptBoots = 16

// place is a type of machine in a zone.
type place struct{ typ, zone int32 }

// bootTimes are the times that boots took lately, in seconds, the newest last.
type bootTimes map[place][]float64

// took notes a boot that has come up.
func (b bootTimes) took(o offer, duration time.Duration) {
	p := place{o.typ, o.zone}
	b[p] = append(b[p], duration.Seconds())
	b[p] = b[p][max(0, len(b[p])-keptBoots):]
}

// usual is by when a boot is up as a rule: a quarter more than nine of ten took lately in its zone, and before anything is
// known the protocol's usual time and as much again (0.6 to 1.5 times it, some several times).
func (b bootTimes) usual(o offer, bootS float64) time.Duration {
	seen := b[place{o.typ, o.zone}]
	plain := 2.2*bootS + 10
	if len(seen) < 4 {
		return config.Seconds(plain)
	}
	s := slices.Clone(seen)
	sort.Float64s(s)
	return config.Seconds(min(max(1.25*s[len(s)*9/10], 1.5*bootS+5), 4*plain))
}

// givenUp is when a boot is given back: when it has waited as long beyond what is usual as getting another takes, so
// that neither waiting for one that never comes nor giving one up that comes late costs more than twice the best choice.
func (b bootTimes) givenUp(o offer, bootS float64) time.Duration { return 2 * b.usual(o, bootS) }

// group is the boots of one offer that are overdue.
type group struct {
	names []string
	worst time.Duration // by how much the one that has waited longest is overdue
}

// overdue tells which boots don't count as capacity any more. Those of one offer are given up on one after the other, over
// as long again as the usual time: where a whole batch is late together, all of it was rented anew at once, and both came.
func (c *Manager) overdue(now time.Duration) map[string]bool {
	groups := map[offer]*group{}
	for name, b := range c.boots {
		machineType := c.typ(b.typ)
		if machineType == nil {
			continue
		}
		if over := now - b.since - c.bootTimes.usual(b.offer, machineType.BootS); over > 0 {
			g := groups[b.offer]
			if g == nil {
				g = &group{}
				groups[b.offer] = g
			}
			g.names, g.worst = append(g.names, name), max(g.worst, over)
		}
	}
	out := map[string]bool{}
	for offer, g := range groups {
		part := float64(g.worst) / float64(c.bootTimes.usual(offer, c.typ(offer.typ).BootS))
		sort.Strings(g.names)
		for _, name := range g.names[:min(len(g.names), int(math.Ceil(part*float64(len(g.names)))))] {
			out[name] = true
		}
	}
	return out
}
