// Package capacity scales the fleet out and in. It rents machines for work that the present machines can't do before a
// new machine would be ready. It returns machines that never boot, are unreachable or faulty, or are idle. It reads the
// cloud's list of machines, measures how long boots take, and determines which zones are lost.
//
// The leader makes one Manager for each of its terms, calls Tick on its event loop, and stops the Manager with the
// term. The package never decides where a task runs. A machine counts as gone only once the cloud has confirmed its
// return, or once the cloud's list has lacked a machine with an expired lease for long enough. The fleet then releases
// the machine's tasks.
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
	// scaleOutRequestInterval is the shorter interval after a request to rent, since one request may not be enough.
	scaleOutRequestInterval = 200 * time.Millisecond
)

// Manager scales the fleet during one term. It runs on the event loop.
type Manager struct {
	Settings *config.Settings
	Cloud    *CloudClient
	Fleet    *fleet.Fleet
	Names    *jobs.NameIndex
	Types    func() []MachineType
	Term     uint64
	// Zones tracks the reachability of each zone.
	Zones *zones.Zones

	stopped        bool
	authoritySince time.Duration // see Tick
	nextEvaluation time.Duration

	inventory inventory
	boots     map[string]*pendingBoot // pending boots by machine name
	bootTimes bootTimes               // durations of recent boots

	// Scale-out.
	renting        bool // a request is in flight
	nextScaleOut   time.Duration
	claims         uint64                  // claims sent in this term; each claim is used once
	refusedUntil   map[offer]time.Duration // end of the backoff after the cloud had too few machines of an offer
	atLimit        bool                    // max_machines was reached when the last scale-out was planned
	machinesByZone map[int32]int           // machines ready or booting when the last scale-out was planned

	// Scale-in.
	returning       bool                     // a request is in flight
	toReturn        map[string]returnCause   // cause of each machine marked for return, by name
	returnedAt      map[string]time.Duration // time at which the cloud confirmed the return, by machine name
	idleLimitFactor float64                  // last result of the function idleLimitFactor
	// awaitedInZone holds the time at which a job that must stay in one zone last counted on a machine, by the machine's
	// index.
	awaitedInZone map[int32]time.Duration
}

// New returns the manager of a term. It sets the fleet's ZoneAcceptsWork, so that the zones' state decides which zones
// accept work.
func New(
	settings *config.Settings,
	cloud *CloudClient,
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
		awaitedInZone:  map[int32]time.Duration{},
	}
	zoneSettings := settings.Zones()
	m.Zones = zones.New(zones.Config{
		ReturnGrace:   zoneSettings.ReturnGrace,
		ProbationTime: zoneSettings.ProbationTime,
		FlapDecayTime: zoneSettings.FlapDecayTime,
		MaxProbation:  zoneSettings.MaxProbation,
		OnStateChange: m.onZoneStateChange,
	})
	f.ZoneAcceptsWork = func(zone int32, kind zones.WorkKind) bool {
		return m.Zones.AcceptsWork(f.Now(), zone, kind)
	}
	return m
}

// Stop ends the manager with its term. Responses that arrive later are ignored, since the fleet's state ends with the
// term too.
func (m *Manager) Stop() { m.stopped = true }

// call sends a request to the cloud. A response that arrives after Stop is ignored. If the rate limit is reached, call
// returns false and done isn't called.
func (m *Manager) call(method, path string, body any, done func(httpio.Response)) bool {
	return m.Cloud.call(method, path, body, func(response httpio.Response) {
		if !m.stopped {
			done(response)
		}
	})
}

// Tick reads the list, evaluates machines, and sends requests to return and to rent, each when its interval has passed.
// authoritySince is when this controller last gained its authority. Workers couldn't reach the controller before, so a
// machine's silence counts from that time.
func (m *Manager) Tick(now, authoritySince time.Duration) {
	m.authoritySince = authoritySince
	if !m.inventory.requesting && now >= m.inventory.nextRequest {
		m.requestList()
	}
	if now >= m.nextEvaluation {
		m.nextEvaluation = now + evaluationInterval
		authorityIsStable := now-authoritySince > jobs.Seconds(m.Settings.Operator.MachineSilenceTimeoutS)
		m.evaluateMachines(now, authorityIsStable)
	}
	m.returnMachines()
	// Scale-out waits for the first complete list: without the list, existing machines would be rented again.
	if m.inventory.readAt > 0 && !m.renting && now >= m.nextScaleOut {
		m.nextScaleOut = now + scaleOutInterval
		m.scaleOut(now)
	}
}
