// Package licences counts licences: units of a pool of which only a limited number may be in use at a time, by the
// cluster's tasks and by outside holders together. It owns the pools' declarations and run-time counts (Catalog) and,
// for one term of one leader, the units that each task holds, the last answers of the licence servers, and the
// allocation of free units to waiting jobs (Ledger).
//
// The package does no I/O and reads no clock: the controller sends the queries that are due, passes the answers in,
// and gives the time as an argument. The caller serialises all calls: the controller's event loop is the only one.
// Package admission records which tasks hold units; the fleet and the controller call all else.
//
// A pool is what is licensed, a unit is one licence of it, a holder is one attempt of a task, and a checkout is
// what one holder has of one pool.
package licences

import (
	"time"

	"github.com/harewalk/harewalk/internal/calendar"
)

// Unit is the number of units of one pool that a task holds while it is on a machine.
type Unit struct {
	Pool int32 // dense index of the pool
	N    int   // units, at least 1
}

// LoweringPolicy is the policy for holders when a pool's count falls below the units in use.
type LoweringPolicy string

// The policies for a lowered count.
const (
	WaitForRelease LoweringPolicy = "wait" // no task starts until the units in use fit the count again
	PreemptHolders LoweringPolicy = "stop" // the least costly holders are preempted, with time to write a checkpoint
)

// TeamQuota is a team's quota of a pool, in units. A Guarantee of 0 means none, a Limit of 0 no limit.
type TeamQuota struct{ Guarantee, Limit int }

// ReserveWindow is a number of units kept for outside holders during a window of the week. It replaces the pool's
// standing reserve where it is larger.
type ReserveWindow struct {
	Units  int
	During calendar.Window
}

// Pool is a licence pool as the operators declare it.
type Pool struct {
	Name  string
	Count int // units in total, unless a count was set at run time
	// Server is the licence server's address ("host:port"), "" if the pool has none.
	Server string
	Poll   time.Duration // between two queries to the server
	// ReleaseTimeout is how long a crashed holder's units may stay checked out after its task is proven to be gone.
	ReleaseTimeout time.Duration
	OutsideReserve int // units kept for outside holders at all times
	ReserveWindows []ReserveWindow
	OnCountLowered LoweringPolicy
	Teams          map[string]TeamQuota // by team name
}

// ReserveAt returns the number of units kept for outside holders at a moment: the standing reserve, or that of the
// largest window that contains the moment if it is larger.
func (p *Pool) ReserveAt(wall time.Time) int {
	units := p.OutsideReserve
	for _, window := range p.ReserveWindows {
		if window.Units > units && window.During.Contains(wall) {
			units = window.Units
		}
	}
	return units
}
