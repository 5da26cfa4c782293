package simulator

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/harewalk/harewalk/internal/rollout"
	"github.com/harewalk/harewalk/internal/store"
)

// This file is about controllers of several releases in a simulation: a controller runs today's code, but knows no
// level above the one that it is given, which is what an earlier release is.

// FormerRelease is the release that a simulated controller names where it is an earlier one.
const FormerRelease = "v0.20.9"

// SetRelease makes a controller one of a release that knows levels up to one, from its next start on.
func (w *Simulation) SetRelease(i int, knows rollout.Level) {
	name := rollout.Release
	if knows < rollout.Newest {
		name = FormerRelease
	}
	w.virtual.controllers[i].settings.Earlier(knows, name)
}

// MaxLevel is the highest level that a controller would know after its next start.
func (w *Simulation) MaxLevel(i int) rollout.Level {
	if k := w.virtual.controllers[i].settings.Rollout().Knows; k > 0 {
		return k
	}
	return rollout.Newest
}

// StoredItems is what the state service holds under a prefix.
func (w *Simulation) StoredItems(prefix string) map[string]store.Item {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := map[string]store.Item{}
	for k, item := range w.stateService.Keys {
		if strings.HasPrefix(k, prefix) {
			out[k] = item
		}
	}
	return out
}

// StoredItem is one stored key, with version 0 if there is none.
func (w *Simulation) StoredItem(key string) store.Item {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stateService.Keys[key]
}

// WriteKeys changes keys behind the controllers' backs, as damage does.
func (w *Simulation) WriteKeys(ops ...store.Op) {
	w.mu.Lock()
	defer w.mu.Unlock()
	before := w.stateService.Rev
	w.stateService.Now = w.now()
	w.stateService.Apply(ops)
	w.wakeWatchers(before)
}

// ClusterLevel is the cluster's level by what is stored.
func (w *Simulation) ClusterLevel() rollout.Level {
	var d struct {
		Level rollout.Level `json:"level"`
	}
	if raw := w.StoredItem("h/r/level").Value; raw == nil || json.Unmarshal(raw, &d) != nil {
		return rollout.Base
	}
	return d.Level
}

// TxnOutcome is what becomes of a transaction and of its answer.
type TxnOutcome struct {
	// Dropped: it is not carried out; Later: only after a time. Either way no answer comes.
	Dropped bool
	Delay   time.Duration
	// Unanswered: it is carried out, and its answer is lost.
	Unanswered bool
}

// InterceptTxns asks f what becomes of each transaction, nil: each is carried out and answered.
func (w *Simulation) InterceptTxns(f func(controller int, txn store.Txn) TxnOutcome) {
	w.interceptTxn = f
}

// intercepted does to a transaction what whoever watches says; false: it goes its ordinary way.
func (w *Simulation) intercepted(controller int, request httpRequest) bool {
	var txn store.Txn
	if request.path != "/txn" || json.Unmarshal(request.body, &txn) != nil {
		return false
	}
	f := w.txnFault(txn)
	if f == (TxnOutcome{}) && w.interceptTxn != nil {
		f = w.interceptTxn(controller, txn)
	}
	carry := func() {
		w.mu.Lock()
		_, _ = w.applyStateRequest(controller, request)
		w.mu.Unlock()
	}
	switch {
	case f.Dropped:
	case f.Delay > 0:
		w.env.schedule(f.Delay, carry)
	case f.Unanswered:
		carry()
	default:
		return false
	}
	return true
}

// RollingRestart restarts all controllers, one after the other in the order that the leader's plan gives, with a release that
// knows levels up to one. Each is drained, or killed, and back after gap; done is called when all run it.
func (w *Simulation) RollingRestart(knows rollout.Level, gap time.Duration, kill func(i int) bool, done func()) {
	nodes := w.nodeNames()
	w.StopRollingRestart()
	turn := w.virtual.rolloutGeneration
	var next func()
	again := func() { w.env.schedule(500*time.Millisecond, next) }
	restart := func(i int) {
		back := func() {
			w.env.schedule(gap, func() {
				w.SetRelease(i, knows)
				w.StartController(i)
				again()
			})
		}
		if kill != nil && kill(i) {
			w.DrainController(i, func() {})
			w.env.schedule(200*time.Millisecond, func() { w.KillController(i); back() })
			return
		}
		w.DrainController(i, back)
	}
	next = func() {
		if w.virtual.rolloutGeneration != turn {
			return
		}
		left := false
		for i := range nodes {
			left = left || w.runningLevel(i) != knows
		}
		if !left {
			done()
			return
		}
		l, _ := w.Leader()
		if l < 0 {
			again()
			return
		}
		w.Request(l, "GET", "/v2/rollout", nil, func(status int, raw []byte) {
			var v rollout.View
			if status != 200 || json.Unmarshal(raw, &v) != nil || v.Restart == "" {
				again()
				return
			}
			for i, n := range nodes {
				if n == v.Restart && w.runningLevel(i) != knows {
					restart(i)
					return
				}
			}
			again()
		})
	}
	next()
}

// StopRollingRestart ends a roll after the restart that is under way.
func (w *Simulation) StopRollingRestart() { w.virtual.rolloutGeneration++ }

// runningLevel is the highest level that a controller's present process knows, 0: it has none.
func (w *Simulation) runningLevel(i int) rollout.Level {
	if !w.ControllerRuns(i) {
		return 0
	}
	return w.virtual.controllers[i].maxLevel
}

// CompactHistory lets every watch that is opened from now on, at a revision before the present one, be told that its
// position is too old.
func (w *Simulation) CompactHistory() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stateService.Gone = w.stateService.Rev + 1
}
