// Package capacity rents and returns machines: what the waiting work needs beyond the
// machines at hand, given how long a new one takes to boot. It reads the cloud's list,
// deletes machines that never come up and replaces those that died.
package capacity

import (
	"math"
	"time"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/fleet"
	"github.com/harewalk/harewalk/internal/httpio"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/zones"
)

const (
	booting = "starting"
	failed  = "failed"
)

// pendingBoot is a machine that was rented and has not reported yet.
type pendingBoot struct {
	offer
	since time.Duration
}

// Manager rents for one term.
type Manager struct {
	Settings *config.Settings
	Cloud    *Cloud
	Fleet    *fleet.Fleet
	Names    *jobs.NameIndex
	Types    func() []MachineType
	Term     uint64
	// Zones say where machines are heard.
	Zones *zones.Zones

	closed      bool
	since       time.Duration // of authority, see Tick
	claims      uint64
	boots       map[string]*pendingBoot
	bootTimes   bootTimes
	refused     map[offer]time.Duration
	renting     bool
	listing     bool
	returning   bool
	nextList    time.Duration
	nextRent    time.Duration
	nextJudge   time.Duration
	page        string
	listedSoFar []listed
	toReturn    map[string]string        // name -> cause
	gone        map[string]time.Duration // returned when: lagging lists may still show them
	listedAt    time.Duration
	excess      float64       // see excess
	full        bool          // as many machines as max_machines allows, when rent last looked
	zones       map[int32]int // machines by zone that act or boot, when rent last looked
}

// New starts a manager for a term.
func New(settings *config.Settings, c *Cloud, f *fleet.Fleet, d *jobs.NameIndex, types func() []MachineType, term uint64) *Manager {
	m := &Manager{
		Settings: settings, Cloud: c, Fleet: f, Names: d, Types: types, Term: term,
		boots: map[string]*pendingBoot{}, bootTimes: bootTimes{}, zones: map[int32]int{}, refused: map[offer]time.Duration{}, toReturn: map[string]string{}, gone: map[string]time.Duration{},
	}
	z := settings.Zones()
	m.Zones = zones.New(zones.Config{ReturnGrace: z.Patience, ProbationTime: z.Prove, FlapForgiveness: z.Calm, MaxProbation: z.Most, OnStateChange: m.zoneTurned})
	f.ZoneAcceptsWork = func(zone int32, w zones.WorkKind) bool { return m.Zones.AcceptsWork(f.Now(), zone, w) }
	return m
}

// Stop ends the manager with its term. Answers that come later find a fleet whose tasks
// are no longer kept; touching it once ended the controller.
func (c *Manager) Stop() { c.closed = true }

// call sends a request whose answer only counts within the term.
func (c *Manager) call(method, path string, body any, done func(httpio.Response)) bool {
	return c.Cloud.call(method, path, body, func(response httpio.Response) {
		if !c.closed {
			done(response)
		}
	})
}

// Tick does what is due. since is when this controller last came by its authority: before it
// no worker could make itself heard, so that silence only counts from then on.
func (c *Manager) Tick(now, since time.Duration) {
	c.since = since
	if !c.listing && now >= c.nextList {
		c.list(now)
	}
	if now >= c.nextJudge {
		c.nextJudge = now + judgeEvery
		c.judge(now, now-since > config.Seconds(c.Settings.Operator.SilentS))
	}
	c.giveBack(now)
	// The list must have been read once, or machines already at hand are rented again.
	if c.listedAt > 0 && !c.renting && now >= c.nextRent {
		c.nextRent = now + 700*time.Millisecond
		c.rent(now)
	}
}

// Booting tells how many machines are on their way that a job may use, and in how many seconds
// the first of them is expected, 0 where it is overdue.
func (c *Manager) Booting(now time.Duration, job *jobs.Job) (n int, next float64) {
	next = math.Inf(1)
	for _, b := range c.boots {
		machineType := c.typ(b.typ)
		if machineType == nil || !job.Allows(b.typ, b.zone, b.spot) || !job.Spec.Size().Fits(machineType.Size()) {
			continue
		}
		n++
		next = min(next, max(0, machineType.BootS-(now-b.since).Seconds()))
	}
	if n == 0 {
		return 0, 0
	}
	return n, next
}
