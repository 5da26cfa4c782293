package simulator

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/harewalk/harewalk/internal/rollout"
	"github.com/harewalk/harewalk/internal/simulator/state"
	"github.com/harewalk/harewalk/internal/store"
)

// This file simulates controllers of several releases, in virtual time. Every controller runs the current code, but
// supports no level above its configured one, as an earlier release does.

// FormerRelease is the release name that a controller announces when it simulates an earlier release.
const FormerRelease = "v0.20.9"

// levelKey is the key under which the state service stores the cluster's level.
const levelKey = "h/r/level"

// SetRelease makes a controller simulate a release that supports levels up to maxLevel, from its next start on.
func (sim *Simulation) SetRelease(controller int, maxLevel rollout.Level) {
	release := rollout.Release
	if maxLevel < rollout.Newest {
		release = FormerRelease
	}
	sim.virtual.controllers[controller].settings.SimulateRelease(maxLevel, release)
}

// MaxLevel returns the highest level that a controller supports from its next start on.
func (sim *Simulation) MaxLevel(controller int) rollout.Level {
	if level := sim.virtual.controllers[controller].settings.Rollout().SimulatedLevel; level > 0 {
		return level
	}
	return rollout.Newest
}

// StoredItems returns the stored items with a prefix, by key.
func (sim *Simulation) StoredItems(prefix string) map[string]store.Item {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	items := map[string]store.Item{}
	for key, item := range sim.state.service.Keys {
		if strings.HasPrefix(key, prefix) {
			items[key] = item
		}
	}
	return items
}

// StoredItem returns the stored item of a key; its version is 0 if the key doesn't exist.
func (sim *Simulation) StoredItem(key string) store.Item {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.state.service.Keys[key]
}

// WriteKeys changes stored keys without a controller's request, to simulate damage or an operator's changes.
func (sim *Simulation) WriteKeys(ops ...store.Op) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	before := sim.state.service.Revision
	sim.state.service.Now = sim.now()
	sim.state.service.Apply(ops)
	sim.wakeWatchers(before)
}

// ClusterLevel returns the cluster's stored level, rollout.Base if none is stored.
func (sim *Simulation) ClusterLevel() rollout.Level {
	var stored struct {
		Level rollout.Level `json:"level"`
	}
	raw := sim.StoredItem(levelKey).Value
	if raw == nil || json.Unmarshal(raw, &stored) != nil {
		return rollout.Base
	}
	return stored.Level
}

// TxnOutcome is the injected fault of a transaction. The zero value means that the transaction is applied and
// answered.
type TxnOutcome struct {
	// Dropped transactions are neither applied nor answered.
	Dropped bool
	// Delay, unless it is 0, is the time after which the transaction is applied, without an answer.
	Delay time.Duration
	// Unanswered transactions are applied immediately, without an answer.
	Unanswered bool
}

// InterceptTxns sets the function that decides the outcome of each transaction; nil removes the function. The
// simulation must be in virtual time, and InterceptTxns must be called before its start or between its events.
func (sim *Simulation) InterceptTxns(decide func(controller int, txn store.Txn) TxnOutcome) {
	sim.state.interceptTxn = decide
}

// applyTxnFault applies the injected fault to a transaction. It returns false if the request must be handled normally.
func (sim *Simulation) applyTxnFault(controller int, request httpRequest) bool {
	if request.path != state.TxnPath {
		return false
	}
	txn, err := state.DecodeTxn(request.body)
	if err != nil {
		return false
	}
	outcome := sim.drawTxnOutcome(txn)
	if outcome == (TxnOutcome{}) && sim.state.interceptTxn != nil {
		outcome = sim.state.interceptTxn(controller, txn)
	}
	apply := func() {
		sim.mu.Lock()
		defer sim.mu.Unlock()
		_, _ = sim.applyStateRequest(controller, request)
	}
	switch {
	case outcome.Dropped:
	case outcome.Delay > 0:
		sim.env.schedule(outcome.Delay, apply)
	case outcome.Unanswered:
		apply()
	default:
		return false
	}
	return true
}

// CompactHistory drops the history of changes: watches from the current revision or an earlier one fail from now on
// because the history no longer contains their revision.
func (sim *Simulation) CompactHistory() {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.state.service.CompactedRevision = sim.state.service.Revision + 1
}

const (
	// rollPoll is the time between two queries for the next controller to restart.
	rollPoll = 500 * time.Millisecond
	// drainBeforeKill is the time after which a draining controller is killed.
	drainBeforeKill = 200 * time.Millisecond
)

// rollingRestart restarts all controllers with another release.
type rollingRestart struct {
	sim        *Simulation
	generation int // virtualTime.rolloutGeneration at the start; the rolling restart stops once the counter changes
	level      rollout.Level
	downtime   time.Duration // time from a controller's end to its next start
	kill       func(controller int) bool
	done       func()
}

// RollingRestart restarts all controllers, one after the other in the order of the leader's plan, with a release that
// supports levels up to level. Each controller is drained or, if kill isn't nil and returns true, killed during its
// drain. It is started again after downtime. Once all controllers run the release, done is called. The simulation must
// be in virtual time.
func (sim *Simulation) RollingRestart(
	level rollout.Level,
	downtime time.Duration,
	kill func(controller int) bool,
	done func(),
) {
	sim.StopRollingRestart()
	rolling := &rollingRestart{
		sim:        sim,
		generation: sim.virtual.rolloutGeneration,
		level:      level,
		downtime:   downtime,
		kill:       kill,
		done:       done,
	}
	rolling.next()
}

// StopRollingRestart stops a rolling restart; the controller that is being restarted is still started again.
func (sim *Simulation) StopRollingRestart() { sim.virtual.rolloutGeneration++ }

// next restarts the controller that the leader's plan names, and reschedules itself until all run the release.
func (r *rollingRestart) next() {
	sim := r.sim
	if sim.virtual.rolloutGeneration != r.generation {
		return
	}
	if r.complete() {
		r.done()
		return
	}
	leader, _ := sim.Leader()
	if leader < 0 {
		r.retry()
		return
	}
	sim.Request(leader, http.MethodGet, "/v2/rollout", nil, func(status int, raw []byte) {
		var view rollout.View
		if status != http.StatusOK || json.Unmarshal(raw, &view) != nil || view.Restart == "" {
			r.retry()
			return
		}
		for i, node := range sim.nodeNames() {
			if node == view.Restart && sim.runningLevel(i) != r.level {
				r.restart(i)
				return
			}
		}
		r.retry()
	})
}

func (r *rollingRestart) complete() bool {
	for i := range r.sim.cfg.Controllers {
		if r.sim.runningLevel(i) != r.level {
			return false
		}
	}
	return true
}

func (r *rollingRestart) retry() { r.sim.env.schedule(rollPoll, r.next) }

func (r *rollingRestart) restart(controller int) {
	sim := r.sim
	startAgain := func() {
		sim.env.schedule(r.downtime, func() {
			sim.SetRelease(controller, r.level)
			sim.StartController(controller)
			r.retry()
		})
	}
	if r.kill == nil || !r.kill(controller) {
		sim.DrainController(controller, startAgain)
		return
	}
	sim.DrainController(controller, func() {})
	sim.env.schedule(drainBeforeKill, func() {
		sim.KillController(controller)
		startAgain()
	})
}

// runningLevel returns the highest level that a controller's process supports, 0 if the controller isn't running.
func (sim *Simulation) runningLevel(controller int) rollout.Level {
	if !sim.ControllerRuns(controller) {
		return 0
	}
	return sim.virtual.controllers[controller].maxLevel
}
