package fleet

import (
	"cmp"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/licences"
	"github.com/harewalk/harewalk/internal/planner"
)

// This file runs the real Fleet within a simple model of its surroundings: workers, a state service, and a network
// that loses, delays and duplicates messages. Leaders follow one another, each with a Fleet of its own. The model
// holds the true state of every task and checks the protocol's rules whenever a task starts.

const (
	modelTick      = 50 * time.Millisecond  // interval between steps of the workers and the network
	modelFleetTick = 100 * time.Millisecond // interval between calls of Fleet.Tick
	faultRate      = 0.12                   // share of faulty messages and transactions, while faults are injected
)

// delayedEvent is an event scheduled for a later time.
type delayedEvent struct {
	at  time.Duration
	run func()
}

// lingeringUnits are licence units of a crashed task that the licence server still counts as taken.
type lingeringUnits struct {
	pool  string
	units int
	until time.Duration
}

// model is the state of everything around the Fleet.
type model struct {
	seed       uint64
	rng        *rand.Rand
	settings   *config.Settings
	now        time.Duration
	events     []delayedEvent
	faultRate  float64
	violations []string // broken rules, with the time and the facts
	afterTick  func()   // called after every tick of the fleet; may be nil

	items    map[string]modelItem // content of the state service, by key
	revision uint64

	fleet      *Fleet // nil while there is no leader
	jobs       *jobs.Table
	term       uint64
	nextTermAt time.Duration

	submitted   int
	specs       map[string]*jobs.Spec
	finished    map[string]map[int32]bool // finished tasks, by job
	cancelledAt map[string]time.Duration

	workers    []*modelWorker
	startCount int

	// unreliableMachines adds faults: machines receive nothing for a while or restart under their names, copies of
	// heartbeats arrive late, and direct requests that were executed are delivered again.
	unreliableMachines                                 bool
	unreachablePeriods, lateCopies, repeated, restarts int

	pools           []*licences.Pool // nil: no job needs a licence
	lingering       []lingeringUnits
	nextCountChange time.Duration
	maxUnits        map[string]int // highest count of each pool in the last minute: the limit of the units in use
	peakUnits       map[string]int // most units of each pool that were in use at once

	migrateAt    time.Duration // time at which the fleet begins to store plans in pages; 0: not during the run
	plansInPages bool
	migrated     bool // no plan segment has a key of its own any more
}

func newModel(seed uint64, pools ...*licences.Pool) *model {
	m := &model{
		seed:        seed,
		rng:         rand.New(rand.NewPCG(seed, 99)),
		settings:    modelSettings(),
		faultRate:   faultRate,
		items:       map[string]modelItem{},
		specs:       map[string]*jobs.Spec{},
		finished:    map[string]map[int32]bool{},
		cancelledAt: map[string]time.Duration{},
		pools:       pools,
		maxUnits:    map[string]int{},
		peakUnits:   map[string]int{},
	}
	for i := range 7 {
		worker := &modelWorker{
			name:        fmt.Sprintf("i-%03d", i),
			machineType: "cpu",
			zone:        []string{"a", "b"}[i%2],
			spot:        i%3 == 2,
			capacity:    planner.Size{CPUs: 4, Mem: 16},
			alive:       true,
			session:     1,
		}
		if i < 3 {
			worker.machineType = "gpu"
			worker.capacity = planner.Size{CPUs: 8, GPUs: 2, Mem: 32}
		}
		m.workers = append(m.workers, worker)
	}
	// A third of all runs has plans in pages from the start, a third migrates to them while jobs run, and a third
	// has a key for each plan segment throughout.
	switch seed % 3 {
	case 0:
		m.plansInPages = true
	case 1:
		m.migrateAt = 20*time.Second + time.Duration(seed%7)*15*time.Second
	}
	m.startTerm()
	return m
}

func modelSettings() *config.Settings {
	settings := &config.Settings{}
	settings.Params.Teams = []config.Team{
		{Name: "t0", CPUs: 4, CPUsMax: 14},
		{Name: "t1", CPUs: 4, CPUsMax: 14},
	}
	settings.Params.Workers = config.Workers{HeartbeatIntervalS: 1.5, LeaseS: 10, GangWaitS: 8, GangPeerS: 2, CancelS: 30}
	settings.Params.State.ValueKB = 8
	settings.Operator.NetworkFactor = 1
	return settings
}

// violation records a broken rule, which ends the run.
func (m *model) violation(format string, args ...any) {
	m.violations = append(m.violations, fmt.Sprintf("%v: ", m.now)+fmt.Sprintf(format, args...))
}

// after schedules run for a time after a delay.
func (m *model) after(delay time.Duration, run func()) {
	m.events = append(m.events, delayedEvent{m.now + delay, run})
}

// networkDelay returns the random delay of a message. A fault delays it by up to 25 s, so it may miss its timeout.
func (m *model) networkDelay() time.Duration {
	if m.rng.Float64() < m.faultRate {
		return time.Duration(m.rng.Int64N(int64(25 * time.Second)))
	}
	return time.Duration(m.rng.Int64N(int64(60 * time.Millisecond)))
}

// runEvents runs the events that are due, in the order of their times.
func (m *model) runEvents() {
	m.sortEvents()
	for len(m.events) > 0 && m.events[0].at <= m.now {
		event := m.events[0]
		m.events = m.events[1:]
		event.run()
		m.sortEvents()
	}
}

func (m *model) sortEvents() {
	slices.SortStableFunc(m.events, func(a, b delayedEvent) int { return cmp.Compare(a.at, b.at) })
}

// run injects faults until faultsEnd, then calls repair and continues until end, by when all jobs have to end. It
// stops at the first violation.
func (m *model) run(faultsEnd, end time.Duration) {
	repaired := false
	for ; m.now < end && len(m.violations) == 0; m.now += modelTick {
		if m.now < faultsEnd {
			m.injectFaults()
		} else if !repaired {
			repaired = true
			m.repair()
		}
		m.runEvents()
		if m.fleet == nil && m.now >= m.nextTermAt {
			m.startTerm()
		}
		for _, worker := range m.workers {
			if worker.alive && worker.hung {
				m.expireLease(worker)
			} else if worker.alive {
				m.advanceTasks(worker)
				m.sendHeartbeat(worker)
			}
		}
		if m.fleet != nil && m.now%modelFleetTick == 0 {
			m.tickFleet()
		}
	}
}

// repair ends all faults, gives all pools enough units and cancels the services, which never end by themselves.
func (m *model) repair() {
	m.faultRate = 0
	for _, pool := range m.pools {
		pool.Count = 8
		m.maxUnits[pool.Name] = 8
	}
	for id, spec := range m.specs {
		if spec.Kind == jobs.Service {
			m.cancel(id)
		}
	}
	for _, worker := range m.workers {
		worker.hung = false
		worker.reclaimAt = 0
		worker.unreachableUntil = 0
	}
}

func (m *model) tickFleet() {
	if m.migrateAt > 0 && m.now > m.migrateAt {
		m.plansInPages = true
	}
	m.fleet.Tick(m.now, true)
	m.migrated = m.migrated || (m.plansInPages && m.fleet.PlansMigrated())
	if m.afterTick != nil {
		m.afterTick()
	}
}

// runAndCheck runs the model and returns the number of jobs. The test fails if a rule is broken or a job never ends.
func (m *model) runAndCheck(t *testing.T) (ended int) {
	t.Helper()
	m.run(150*time.Second, 420*time.Second)
	if len(m.violations) > 0 {
		t.Fatalf("seed %d: %s", m.seed, m.violations[0])
	}
	for id := range m.specs {
		if m.recordState(id) == "pending" {
			m.failPending(t, id)
		}
		ended++
	}
	if m.plansInPages != m.migrated {
		t.Fatalf("seed %d: %d plan segments have keys of their own at the end, want 0", m.seed, m.fleet.UnmigratedSegments())
	}
	return ended
}

// failPending fails the test for a job that is still pending, and logs the state of its tasks and of the workers.
func (m *model) failPending(t *testing.T, id string) {
	t.Helper()
	job := m.jobs.Get(id)
	for i := range job.Tasks {
		task := &job.Tasks[i]
		t.Logf("task %d is %s on machine %d, %d failures", i, task.State, task.Machine, task.Failures)
	}
	for _, worker := range m.workers {
		for _, task := range worker.tasks {
			t.Logf("worker %s with capacity %+v has task %+v", worker.name, worker.capacity, *task)
		}
	}
	t.Fatalf("seed %d: job %s (%+v) still pending at the end: licence denial %s, reasons %+v",
		m.seed, id, *m.specs[id], job.LicenceDenial, m.fleet.PendingReasons(m.now, job))
}

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	os.Exit(m.Run())
}

// seedCount returns the number of seeds, with one run of the model each.
func seedCount() uint64 {
	if os.Getenv("HAREWALK_LONG") != "" {
		return 1500
	}
	return 60
}

// modelPools returns the licence pools of the model. Pool q counts the units of crashed tasks as taken for 6 s.
func modelPools() []*licences.Pool {
	return []*licences.Pool{{Name: "p", Count: 6}, {Name: "q", Count: 5, ReleaseTimeout: 6 * time.Second}}
}

// No rule is broken while messages and writes are lost, late or repeated, machines crash or are reclaimed and leaders
// change. Every job ends once all faults are repaired.
func TestModelKeepsRules(t *testing.T) {
	starts, ended := 0, 0
	for seed := uint64(1); seed <= seedCount(); seed++ {
		m := newModel(seed)
		ended += m.runAndCheck(t)
		starts += m.startCount
	}
	if starts < 2000 || ended < 1000 {
		t.Fatalf("%d starts and %d ended jobs, want at least 2000 and 1000", starts, ended)
	}
}

// No rule is broken with machines that send heartbeats but receive nothing, machines that restart under their names
// with session and sequence numbers from the start, and copies of heartbeats and of executed direct requests that
// arrive up to four leases late.
func TestModelKeepsRulesWithUnreliableMachines(t *testing.T) {
	starts, ended, unreachable, copies, repeated, restarts := 0, 0, 0, 0, 0, 0
	for seed := uint64(1); seed <= seedCount(); seed++ {
		m := newModel(seed)
		m.unreliableMachines = true
		ended += m.runAndCheck(t)
		starts += m.startCount
		unreachable += m.unreachablePeriods
		copies += m.lateCopies
		repeated += m.repeated
		restarts += m.restarts
	}
	t.Logf("%d starts, %d ended jobs, %d unreachable periods, %d late copies, %d repeated requests, %d restarts",
		starts, ended, unreachable, copies, repeated, restarts)
	if starts < 2000 || ended < 1000 || unreachable < 100 || copies < 5000 || repeated < 1000 || restarts < 100 {
		t.Fatal("want at least 2000 starts, 1000 jobs, 100 unreachable periods, 5000 copies, 1000 repeated requests " +
			"and 100 restarts")
	}
}

// No rule is broken with licences: the units in use, those of crashed holders included, never exceed a pool's count
// while counts fall and rise and leaders change. Every unit is free at the end.
func TestModelKeepsRulesWithLicences(t *testing.T) {
	starts, ended, fullPools := 0, 0, 0
	for seed := uint64(1); seed <= seedCount(); seed++ {
		m := newModel(seed, modelPools()...)
		ended += m.runAndCheck(t)
		starts += m.startCount
		for _, pool := range m.pools {
			if m.peakUnits[pool.Name] >= 5 {
				fullPools++
			}
			index, _ := m.jobs.Names.Pools.Index(pool.Name)
			view := m.fleet.Gate.Licences.View(m.now, index, func(int32) string { return "" })
			if view.Free != pool.Count {
				t.Fatalf("seed %d: pool %s has units in use after all jobs ended: %+v", m.seed, pool.Name, view)
			}
		}
	}
	if starts < 1500 || ended < 1000 || fullPools < 30 {
		t.Fatalf("%d starts, %d ended jobs, %d full pools, want at least 1500, 1000, 30", starts, ended, fullPools)
	}
}
