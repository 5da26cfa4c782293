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

// Controllers of several releases, in virtual time: a controller runs today's code, but supports no level above the
// one that it is given, as an earlier release does.

// FormerRelease is the release that a simulated controller announces where it stands for an earlier one.
const FormerRelease = "v0.20.9"

// levelKey is the stored key of the cluster's level.
const levelKey = "h/r/level"

// SetRelease makes a controller one of a release that supports levels up to one, from its next start on.
func (sim *Simulation) SetRelease(controller int, maxLevel rollout.Level) {
	release := rollout.Release
	if maxLevel < rollout.Newest {
		release = FormerRelease
	}
	sim.virtual.controllers[controller].settings.SimulateRelease(maxLevel, release)
}

// MaxLevel returns the highest level that a controller would support after its next start.
func (sim *Simulation) MaxLevel(controller int) rollout.Level {
	if level := sim.virtual.controllers[controller].settings.Rollout().SimulatedLevel; level > 0 {
		return level
	}
	return rollout.Newest
}

// StoredItems returns what the state service stores under a prefix, by key.
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

// StoredItem returns one stored key, with version 0 if there is none.
func (sim *Simulation) StoredItem(key string) store.Item {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.state.service.Keys[key]
}

// WriteKeys changes keys without the controllers' knowledge, as damage or an operator does.
func (sim *Simulation) WriteKeys(ops ...store.Op) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	before := sim.state.service.Revision
	sim.state.service.Now = sim.now()
	sim.state.service.Apply(ops)
	sim.wakeWatchers(before)
}

// ClusterLevel returns the stored level of the cluster.
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

// TxnOutcome is what becomes of a transaction and of its answer. The zero value is the ordinary one.
type TxnOutcome struct {
	// Dropped: it is not carried out, and there is no answer.
	Dropped bool
	// Delay: it is carried out after this time, without an answer.
	Delay time.Duration
	// Unanswered: it is carried out at once, without an answer.
	Unanswered bool
}

// InterceptTxns sets the function that decides what becomes of each transaction; nil ends it. It is set before or
// between events of a simulation in virtual time.
func (sim *Simulation) InterceptTxns(decide func(controller int, txn store.Txn) TxnOutcome) {
	sim.state.interceptTxn = decide
}

// intercepted does to a transaction what is injected. It returns false if the request goes its ordinary way.
func (sim *Simulation) intercepted(controller int, request httpRequest) bool {
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
	carryOut := func() {
		sim.mu.Lock()
		defer sim.mu.Unlock()
		_, _ = sim.applyStateRequest(controller, request)
	}
	switch {
	case outcome.Dropped:
	case outcome.Delay > 0:
		sim.env.schedule(outcome.Delay, carryOut)
	case outcome.Unanswered:
		carryOut()
	default:
		return false
	}
	return true
}

// CompactHistory makes every watch that is opened from now on, at a revision before the present one, fail because its
// revision is no longer in the history.
func (sim *Simulation) CompactHistory() {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.state.service.CompactedRevision = sim.state.service.Revision + 1
}

const (
	// rollPoll is the time between two queries of which controller to restart next.
	rollPoll = 500 * time.Millisecond
	// drainBeforeKill is how long a controller drains that is killed meanwhile.
	drainBeforeKill = 200 * time.Millisecond
)

// rollingRestart restarts all controllers with another release.
type rollingRestart struct {
	sim        *Simulation
	generation int // of virtualTime when it began: another one has ended it
	level      rollout.Level
	gap        time.Duration
	kill       func(controller int) bool
	done       func()
}

// RollingRestart restarts all controllers, one after the other in the order of the leader's plan, with a release
// that supports levels up to one. Each is drained or, if kill isn't nil and returns true, killed while it drains,
// and started again after gap. When all run the release, done is called. It needs virtual time.
func (sim *Simulation) RollingRestart(
	level rollout.Level,
	gap time.Duration,
	kill func(controller int) bool,
	done func(),
) {
	sim.StopRollingRestart()
	rolling := &rollingRestart{
		sim:        sim,
		generation: sim.virtual.rolloutGeneration,
		level:      level,
		gap:        gap,
		kill:       kill,
		done:       done,
	}
	rolling.next()
}

// StopRollingRestart ends a rolling restart after the restart that is under way.
func (sim *Simulation) StopRollingRestart() { sim.virtual.rolloutGeneration++ }

// next restarts the controller that the leader's plan names, and calls itself again until all run the release.
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
		sim.env.schedule(r.gap, func() {
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

// runningLevel returns the highest level that a controller's process supports, 0 if there is none.
func (sim *Simulation) runningLevel(controller int) rollout.Level {
	if !sim.ControllerRuns(controller) {
		return 0
	}
	return sim.virtual.controllers[controller].maxLevel
}
