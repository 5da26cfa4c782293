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

// Former is the release that a simulated controller names where it is an earlier one.
const Former = "v0.20.9"

// Release makes a controller one of a release that knows levels up to one, from its next start on.
func (w *World) Release(i int, knows rollout.Level) {
	name := rollout.Release
	if knows < rollout.Newest {
		name = Former
	}
	w.sim.nodes[i].s.SimulateRelease(knows, name)
}

// Knows is the highest level that a controller would know after its next start.
func (w *World) Knows(i int) rollout.Level {
	if k := w.sim.nodes[i].s.Rollout().SimulatedLevel; k > 0 {
		return k
	}
	return rollout.Newest
}

// Stored is what the state service holds under a prefix.
func (w *World) Stored(prefix string) map[string]store.Item {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := map[string]store.Item{}
	for k, item := range w.svc.Keys {
		if strings.HasPrefix(k, prefix) {
			out[k] = item
		}
	}
	return out
}

// Key is one stored key, with version 0 if there is none.
func (w *World) Key(key string) store.Item {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.svc.Keys[key]
}

// Store changes keys behind the controllers' backs, as damage does.
func (w *World) Store(ops ...store.Op) {
	w.mu.Lock()
	defer w.mu.Unlock()
	before := w.svc.Rev
	w.svc.Now = w.now()
	w.svc.Apply(ops)
	w.woken(before)
}

// Level is the cluster's level by what is stored.
func (w *World) Level() rollout.Level {
	var d struct {
		Level rollout.Level `json:"level"`
	}
	if raw := w.Key("h/r/level").Value; raw == nil || json.Unmarshal(raw, &d) != nil {
		return rollout.Base
	}
	return d.Level
}

// Fate is what becomes of a transaction and of its answer.
type Fate struct {
	// Never: it is not carried out; Later: only after a time. Either way no answer comes.
	Never bool
	Later time.Duration
	// Unanswered: it is carried out, and its answer is lost.
	Unanswered bool
}

// Watch asks f what becomes of each transaction, nil: each is carried out and answered.
func (w *World) Watch(f func(controller int, txn store.Txn) Fate) { w.fate = f }

// fated does to a transaction what whoever watches says; false: it goes its ordinary way.
func (w *World) fated(controller int, q request) bool {
	var txn store.Txn
	if q.path != "/txn" || json.Unmarshal(q.body, &txn) != nil {
		return false
	}
	f := w.lateWrite(txn)
	if f == (Fate{}) && w.fate != nil {
		f = w.fate(controller, txn)
	}
	carry := func() {
		w.mu.Lock()
		_, _ = w.stateNow(controller, q)
		w.mu.Unlock()
	}
	switch {
	case f.Never:
	case f.Later > 0:
		w.ground.after(f.Later, carry)
	case f.Unanswered:
		carry()
	default:
		return false
	}
	return true
}

// Roll restarts all controllers, one after the other in the order that the leader's plan gives, with a release that
// knows levels up to one. Each is drained, or killed, and back after gap; done is called when all run it.
func (w *World) Roll(knows rollout.Level, gap time.Duration, kill func(i int) bool, done func()) {
	nodes := w.nodes()
	w.StopRoll()
	turn := w.sim.rolls
	var next func()
	again := func() { w.ground.after(500*time.Millisecond, next) }
	restart := func(i int) {
		back := func() {
			w.ground.after(gap, func() {
				w.Release(i, knows)
				w.StartController(i)
				again()
			})
		}
		if kill != nil && kill(i) {
			w.DrainController(i, func() {})
			w.ground.after(200*time.Millisecond, func() { w.KillController(i); back() })
			return
		}
		w.DrainController(i, back)
	}
	next = func() {
		if w.sim.rolls != turn {
			return
		}
		left := false
		for i := range nodes {
			left = left || w.running(i) != knows
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
		w.Ask(l, "GET", "/v2/rollout", nil, func(status int, raw []byte) {
			var v rollout.View
			if status != 200 || json.Unmarshal(raw, &v) != nil || v.Restart == "" {
				again()
				return
			}
			for i, n := range nodes {
				if n == v.Restart && w.running(i) != knows {
					restart(i)
					return
				}
			}
			again()
		})
	}
	next()
}

// StopRoll ends a roll after the restart that is under way.
func (w *World) StopRoll() { w.sim.rolls++ }

// running is the highest level that a controller's present process knows, 0: it has none.
func (w *World) running(i int) rollout.Level {
	if !w.Runs(i) {
		return 0
	}
	return w.sim.nodes[i].runs
}

// LosePositions lets every watch that is opened from now on, at a revision before the present one, be told that its
// position is too old.
func (w *World) LosePositions() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.svc.Gone = w.svc.Rev + 1
}
