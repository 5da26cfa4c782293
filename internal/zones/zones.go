// Package zones keeps the health of each zone as a failure domain: whether its machines are reachable, that is,
// whether their heartbeats arrive, since when they are not, how often the zone has been lost lately, and when it has
// been healthy for long enough again. A zone's state decides where work goes and in which order; it never decides what
// counts as running.
//
// The package owns no machines, rents none and has no clock and no goroutine. The leader's fleet counts the
// machines of each zone, calls Evaluate with the counts, and asks before it places work, rents a machine or gives
// one up.
package zones

import (
	"slices"
	"time"
)

// Count is the machines of a zone: how many there are, how many have missed a heartbeat (Quiet), and how many of
// these have been silent for so long that they would soon be given up (Silent).
type Count struct{ Machines, Quiet, Silent int }

// Config is the durations by which zones are evaluated.
type Config struct {
	// ReturnGrace is how long unreachable machines are retained once their zone returns.
	ReturnGrace time.Duration
	// ProbationTime is how long a zone must stay reachable before it counts as healthy. It doubles with each flap.
	ProbationTime time.Duration
	// FlapForgiveness is how long a zone must be healthy for one flap to be forgiven. A loss sooner than that after
	// the one before is a flap.
	FlapForgiveness time.Duration
	// MaxProbation is for how long after its return a zone may be kept from any work, however many flaps it has had;
	// 0: for as long as its probation takes.
	MaxProbation time.Duration
	// OnStateChange is called for every change of state; nil for no call.
	OnStateChange func(now time.Duration, zone int32, from, to State, count Count)
}

// Zone is the health of one zone. The zero value is a healthy zone.
type Zone struct {
	State      State
	Since      time.Duration // of the state
	LostAt     time.Duration // when it was lost last
	ReturnedAt time.Duration // when it was reachable again last
	Flaps      int           // recent losses, beyond the first
	forgivenAt time.Duration // when a flap was forgiven last
	wasLost    bool          // LostAt is set
}

// Zones is the health of all zones, by their index. It belongs to the event loop of the leader of a term.
type Zones struct {
	cfg     Config
	zones   map[int32]*Zone
	isDirty bool // there are changes that aren't stored
}

// New returns Zones that are all healthy.
func New(cfg Config) *Zones { return &Zones{cfg: cfg, zones: map[int32]*Zone{}} }

// Zone returns the health of a zone.
func (z *Zones) Zone(zone int32) Zone {
	if health := z.zones[zone]; health != nil {
		return *health
	}
	return Zone{}
}

// at returns a zone that may be changed.
func (z *Zones) at(zone int32) *Zone {
	health := z.zones[zone]
	if health == nil {
		health = &Zone{}
		z.zones[zone] = health
	}
	return health
}

// HasRecoveringZones reports whether any zone is returning or on probation: machines elsewhere are not returned to
// the cloud meanwhile.
func (z *Zones) HasRecoveringZones() bool {
	for _, zone := range z.zones {
		if zone.State == Returning || zone.State == OnProbation {
			return true
		}
	}
	return false
}

// Lost returns the indices of the zones that are lost, in ascending order.
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
