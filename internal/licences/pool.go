// Package licences counts licences: pools of units of which only a limited number may be in use at a time, by the
// cluster's tasks and by outside holders together. Catalog owns the pools' declarations and the counts set at run
// time. Ledger owns, for one term of one leader, the units that each task holds, the last answers of the licence
// servers, and the allocation of free units to waiting jobs.
//
// The package does no I/O and reads no clock: the controller sends the queries that are due, and passes the answers
// and the time as arguments. All calls come from the controller's event loop, one at a time. Package admission
// records which tasks hold units; the fleet and the controller call the other functions.
//
// A pool is a licensed product, a unit is one licence of a pool, a holder is one attempt of a task, and a checkout is
// the units that one holder has of one pool.
package licences

import (
	"time"

	"github.com/harewalk/harewalk/internal/calendar"
)

// Requirement is the number of units of one pool that a task holds while it is on a machine.
type Requirement struct {
	Pool  int32 // dense index of the pool
	Units int   // units, at least 1
}

// LoweringPolicy is the policy for holders when a pool's count falls below the units in use.
type LoweringPolicy string

// The policies for a lowered count.
const (
	WaitForRelease LoweringPolicy = "wait" // no task starts until the units in use fit the count again
	PreemptHolders LoweringPolicy = "stop" // the least costly holders are preempted, with time to write a checkpoint
)

// TeamQuota is a team's quota of a pool, in units. A Guarantee of 0 means no guarantee, a Limit of 0 no limit.
type TeamQuota struct{ Guarantee, Limit int }

// ReserveWindow is a number of units kept for outside holders during a window of the week. It replaces the pool's
// OutsideReserve if it is larger.
type ReserveWindow struct {
	Units  int
	Window calendar.Window
}

// Pool is the declaration of a licence pool in the operators' settings.
type Pool struct {
	Name  string
	Count int // units in total, unless a count was set at run time
	// Server is the address of the licence server ("host:port"); "": the pool has no server.
	Server       string
	PollInterval time.Duration // interval of queries to the server; 0: the default
	// ReleaseTimeout is how long a crashed holder's units may stay checked out after its task is proven to be gone.
	ReleaseTimeout time.Duration
	OutsideReserve int // units kept for outside holders at all times
	ReserveWindows []ReserveWindow
	OnCountLowered LoweringPolicy
	Teams          map[string]TeamQuota // quotas by team name
}

// ReserveAt returns the number of units kept for outside holders at a time of day: the largest of OutsideReserve and
// the reserves of the windows that contain the time.
func (p *Pool) ReserveAt(wall time.Time) int {
	units := p.OutsideReserve
	for _, window := range p.ReserveWindows {
		if window.Units > units && window.Window.Contains(wall) {
			units = window.Units
		}
	}
	return units
}
