// Package zones keeps the health of each zone as a failure domain. A machine is reachable if its heartbeats arrive. The
// health of a zone is a state, which follows from how many of its machines are reachable and for how long, and the
// number of times that the zone has been lost lately. The state determines where new work may be placed, and in which
// order the kinds of work return to a zone. It never determines which tasks count as running.
//
// The package owns no machines, rents none and has no clock and no goroutine. The leader counts the machines of each
// zone, calls Evaluate with the counts, and queries Zones before it places work, rents a machine or returns an
// unreachable one.
package zones

import (
	"slices"
	"time"
)

// Count holds the numbers of machines in a zone: all machines (Machines), those that have missed a heartbeat (Quiet),
// and those of the quiet machines whose last heartbeat is so old that they will soon be returned (Silent).
type Count struct{ Machines, Quiet, Silent int }

// Config holds the durations by which zones are evaluated, and a callback.
type Config struct {
	// ReturnGrace is how long unreachable machines are retained after their zone has become reachable again.
	ReturnGrace time.Duration
	// ProbationTime is how long a zone must stay reachable before it counts as healthy. It doubles with each flap.
	ProbationTime time.Duration
	// FlapForgiveness is how long a zone must be healthy before Zone.Flaps is reduced by one. A loss within this time
	// after the previous loss is a flap.
	FlapForgiveness time.Duration
	// MaxProbation limits how long after a zone's return any kind of work may be kept away from the zone, regardless of
	// its flaps. 0 means that only the probation limits this time.
	MaxProbation time.Duration
	// OnStateChange is called after every change of a zone's state, unless it is nil.
	OnStateChange func(now time.Duration, zone int32, from, to State, count Count)
}

// Zone is the health of one zone. The zero value is a healthy zone.
type Zone struct {
	State      State
	Since      time.Duration // time at which the state was entered
	LostAt     time.Duration // time at which the zone was last lost
	ReturnedAt time.Duration // time at which the zone last became reachable again
	Flaps      int           // recent losses, not counting the first
	forgivenAt time.Duration // time at which Flaps was last reduced, or the zone became healthy after probation
	wasLost    bool          // the zone has been lost before: LostAt is valid
}

// Zones is the health of all zones, by their index. It belongs to the event loop of the leader of a term.
type Zones struct {
	cfg     Config
	zones   map[int32]*Zone
	isDirty bool // there are changes that have not been stored
}

// New returns Zones in which all zones are healthy.
func New(cfg Config) *Zones { return &Zones{cfg: cfg, zones: map[int32]*Zone{}} }

// Zone returns the health of a zone.
func (z *Zones) Zone(zone int32) Zone {
	if health := z.zones[zone]; health != nil {
		return *health
	}
	return Zone{}
}

// zoneForUpdate returns the entry of a zone, which the caller may change. It adds the entry if there is none.
func (z *Zones) zoneForUpdate(zone int32) *Zone {
	health := z.zones[zone]
	if health == nil {
		health = &Zone{}
		z.zones[zone] = health
	}
	return health
}

// HasRecoveringZones reports whether any zone is returning or on probation. In that time no machines of other zones are
// returned to the cloud.
func (z *Zones) HasRecoveringZones() bool {
	for _, zone := range z.zones {
		if zone.State == Returning || zone.State == OnProbation {
			return true
		}
	}
	return false
}

// Lost returns the indices of the lost zones, in ascending order.
func (z *Zones) Lost() []int32 {
	var lost []int32
	for index, zone := range z.zones {
		if zone.State == Lost {
			lost = append(lost, index)
		}
	}
	slices.Sort(lost)
	return lost
}
