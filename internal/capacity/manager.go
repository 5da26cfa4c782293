// Package capacity scales the fleet out and in: it rents machines for the work that the present ones can't do
// before a new one would be ready, and returns those that never boot, that are unreachable or faulty, or that are
// idle. It reads the cloud's list of machines, learns how long boots take, and evaluates which zones are lost.
//
// The leader makes one Manager for each of its terms, calls Tick on its event loop, and stops the Manager with the
// term. The package never decides where a task runs, and a machine only counts as gone once the cloud has confirmed
// its return or its list lacks an expired machine for long enough. The fleet then drops the machine's tasks.
package capacity

import (
	"time"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/fleet"
	"github.com/harewalk/harewalk/internal/httpio"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/zones"
)

// Intervals of the manager's work.
const (
	evaluationInterval = 250 * time.Millisecond
	scaleOutInterval   = 700 * time.Millisecond
	// scaleOutRequestInterval is the delay after a request that was sent: more may be needed at once.
	scaleOutRequestInterval = 200 * time.Millisecond
)

// Manager scales the fleet during one term. It runs on the event loop.
type Manager struct {
	Settings *config.Settings
	Cloud    *Cloud
	Fleet    *fleet.Fleet
	Names    *jobs.NameIndex
	Types    func() []MachineType
	Term     uint64
	// Zones hold each zone's reachability.
	Zones *zones.Zones

	stopped        bool
	authoritySince time.Duration // see Tick
	nextEvaluation time.Duration

	inventory inventory
	boots     map[string]*pendingBoot // by machine name
	bootTimes bootTimes

	// Scale-out.
	renting        bool // a request is in flight
	nextScaleOut   time.Duration
	claims         uint64                  // sent in this term; each claim is used once
	refusedUntil   map[offer]time.Duration // offers of which the cloud had too few machines
	atLimit        bool                    // max_machines was reached when the last scale-out was planned
	machinesByZone map[int32]int           // ready or booting when the last scale-out was planned

	// Scale-in.
	returning       bool                   // a request is in flight
	toReturn        map[string]returnCause // by machine name
	returnedAt      map[string]time.Duration
	idleLimitFactor float64 // set by the function of this name
}

// New returns the manager of a term. The fleet asks it from now on which zones accept work.
func New(
	settings *config.Settings,
	cloud *Cloud,
	f *fleet.Fleet,
	names *jobs.NameIndex,
	types func() []MachineType,
	term uint64,
) *Manager {
	m := &Manager{
		Settings:       settings,
		Cloud:          cloud,
		Fleet:          f,
		Names:          names,
		Types:          types,
		Term:           term,
		boots:          map[string]*pendingBoot{},
		bootTimes:      bootTimes{},
		refusedUntil:   map[offer]time.Duration{},
		machinesByZone: map[int32]int{},
		toReturn:       map[string]returnCause{},
		returnedAt:     map[string]time.Duration{},
	}
	zoneSettings := settings.Zones()
	m.Zones = zones.New(zones.Config{
		ReturnGrace:     zoneSettings.ReturnGrace,
		ProbationTime:   zoneSettings.ProbationTime,
		FlapForgiveness: zoneSettings.FlapForgiveness,
		MaxProbation:    zoneSettings.MaxProbation,
		OnStateChange:   m.onZoneStateChange,
	})
	f.ZoneAcceptsWork = func(zone int32, kind zones.WorkKind) bool {
		return m.Zones.AcceptsWork(f.Now(), zone, kind)
	}
	return m
}

// Stop ends the manager with its term. Responses that arrive later are ignored: the fleet's state ends with the
// term.
func (m *Manager) Stop() { m.stopped = true }

// call sends a request to the cloud. Its response is ignored after the term. It returns false if the cloud's rate
// doesn't allow the request now.
func (m *Manager) call(method, path string, body any, done func(httpio.Response)) bool {
	return m.Cloud.call(method, path, body, func(response httpio.Response) {
		if !m.stopped {
			done(response)
		}
	})
}

// Tick does the work that is due. authoritySince is when this controller last gained its authority: no worker could
// reach it before, so a machine's silence counts from then on.
func (m *Manager) Tick(now, authoritySince time.Duration) {
	m.authoritySince = authoritySince
	if !m.inventory.requesting && now >= m.inventory.nextRequest {
		m.requestList()
	}
	if now >= m.nextEvaluation {
		m.nextEvaluation = now + evaluationInterval
		isSteady := now-authoritySince > jobs.Seconds(m.Settings.Operator.MachineUnheardTimeoutS)
		m.evaluateMachines(now, isSteady)
	}
	m.returnMachines()
	// Before the list was read once, machines that exist already would be rented again.
	if m.inventory.readAt > 0 && !m.renting && now >= m.nextScaleOut {
		m.nextScaleOut = now + scaleOutInterval
		m.scaleOut(now)
	}
}
