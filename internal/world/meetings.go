package world

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/store"
)

// What is held up or carried out late, so that it meets another trouble: writes of the state service, its answers, direct
// commands and answers to reports.

// delays are the times by which messages of each kind are late now.
type delays struct {
	rng     *rand.Rand // of its own: what is late doesn't change what else is drawn
	writes  span       // of transactions without an answer
	share   float64    // of transactions that are late
	state   span       // of the state service's answers
	orders  span       // of direct commands, and of the answers to them
	answers span       // of the answers to reports
}

// span is a range of times; its zero value is none.
type span struct{ least, most time.Duration }

func (s span) draw(rng *rand.Rand) time.Duration {
	if s.most <= s.least {
		return s.least
	}
	return s.least + time.Duration(rng.Int64N(int64(s.most-s.least)))
}

// LateWrites lets a share of the transactions get no answer and be carried out between least and most later, after newer
// ones of the same controller; share 0 ends it.
func (w *World) LateWrites(share float64, least, most time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.delays.share, w.delays.writes = share, span{least, most}
}

// lateWrite tells what becomes of a transaction while writes are late.
func (w *World) lateWrite(t store.Txn) Fate {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.delays.share == 0 || len(t.Then) == 0 || w.delays.rng.Float64() >= w.delays.share {
		return Fate{}
	}
	w.stats.LateWrites++
	return Fate{Later: w.delays.writes.draw(w.delays.rng)}
}

// SlowState lets every answer of the state service be held up between least and most, whether the request was carried out
// at once or only then; most 0 ends it.
func (w *World) SlowState(least, most time.Duration) { w.held(&w.delays.state, least, most) }

// HoldOrders lets direct commands, and the answers to them, be held up between least and most; most 0 ends it.
func (w *World) HoldOrders(least, most time.Duration) { w.held(&w.delays.orders, least, most) }

// HoldAnswers lets the answers to reports be held up between least and most; most 0 ends it.
func (w *World) HoldAnswers(least, most time.Duration) { w.held(&w.delays.answers, least, most) }

func (w *World) held(s *span, least, most time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	*s = span{least, most}
}

// late draws by how much a message is late.
func (w *World) late(s *span) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s.most == 0 {
		return 0
	}
	return s.draw(w.delays.rng)
}

// later calls f after a time, at once if that is 0.
func (w *World) later(d time.Duration, f func()) {
	if d == 0 {
		f()
		return
	}
	w.ground.after(d, f)
}

// slowly puts a request to the state service off, or its answer.
func (w *World) slowly(carry func(answer), reply answer) {
	d := w.late(&w.delays.state)
	if d == 0 {
		carry(reply)
		return
	}
	w.mu.Lock()
	first := w.delays.rng.IntN(2) == 0
	w.mu.Unlock()
	if first {
		w.ground.after(d, func() { carry(reply) })
		return
	}
	carry(func(status int, body any) { w.ground.after(d, func() { reply(status, body) }) })
}

// stays looks at a task that is on a machine though its user was told that its job is cancelled.
func (w *World) stays(now time.Duration, m *Machine, k *task) {
	at, ok := w.told[k.spec.ID]
	if !ok || !k.counted || k.state == exited {
		return
	}
	w.stats.LongestCancelled = max(w.stats.LongestCancelled, now-at)
	if now > at+seconds(w.cfg.Workers.CancelS) {
		w.fail("ran_cancelled: %s on %s", k.name, m.Name)
	}
}

// RefuseLeader lets the state service refuse whoever leads now, and serve it again after a time.
func (w *World) RefuseLeader(d time.Duration) {
	if i, _ := w.Leader(); i >= 0 {
		w.Refuse(i, true)
		w.ground.after(d, func() { w.Refuse(i, false) })
	}
}

// Stick lets a controller's watches of the state service stay open without an answer while its other requests are served,
// or answers them again.
func (w *World) Stick(controller int, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stuck[controller] = on
}

// stickLeader does so to whoever leads now, for a time.
func (w *World) stickLeader(d time.Duration) {
	if i, _ := w.Leader(); i >= 0 {
		w.Stick(i, true)
		w.ground.after(d, func() { w.Stick(i, false) })
	}
}

// OnCancelled calls f once, as soon as the next user is told that a job is cancelled.
func (w *World) OnCancelled(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onTold = append(w.onTold, f)
}

// tell notes that a user was told of a cancellation; the caller calls what it returns without the lock.
func (w *World) tell(id string) (wait []func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.told[id]; ok {
		return nil
	}
	w.told[id] = w.now()
	wait, w.onTold = w.onTold, nil
	return slices.Clone(wait)
}

// lateness is a part of a worker's lease, for scripts: they are as late in a small world as in a large one.
func (w *World) lateness(part float64) time.Duration { return seconds(part * w.cfg.Workers.LeaseS) }
